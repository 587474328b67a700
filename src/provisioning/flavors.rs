//! The machine types, as the cloud tells them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::wire::{Flavor, FlavorList};
use crate::config::Config;
use crate::domain::{InstanceTypeName, Job, Now, Zone, since};

/// The machine types, once the cloud has told them.
#[derive(Debug, Default)]
pub struct Flavors {
    types: BTreeMap<InstanceTypeName, Flavor>,
    asked: Option<Instant>,
    busy: bool,
}

const FLAVORS_RETRY: Duration = Duration::from_secs(1);
const FLAVORS_REFRESH: Duration = Duration::from_secs(30);

impl Flavors {
    pub fn known(&self) -> bool {
        !self.types.is_empty()
    }

    pub fn get(&self, name: &InstanceTypeName) -> Option<&Flavor> {
        self.types.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &Flavor> {
        self.types.values()
    }

    /// Whether an empty machine of some allowed type holds a task.
    pub fn fit(&self, job: &Job) -> bool {
        self.all().any(|flavor| {
            job.allows_type(&flavor.name)
                && flavor.room().fits(&job.need)
                && flavor.zones.iter().any(|zone| job.allows_zone(zone))
        })
    }

    pub fn zones(&self, config: &Config) -> Vec<Zone> {
        let mut zones: BTreeSet<Zone> = config.zones.iter().cloned().collect();
        zones.extend(self.all().flat_map(|flavor| flavor.zones.iter().cloned()));
        zones.into_iter().collect()
    }

    pub fn due(&mut self, now: Now) -> bool {
        let pause = if self.known() {
            FLAVORS_REFRESH
        } else {
            FLAVORS_RETRY
        };
        let due = !self.busy && self.asked.is_none_or(|asked| since(now, asked) >= pause);
        if due {
            self.busy = true;
            self.asked = Some(now.monotonic);
        }
        due
    }

    pub fn answered(&mut self, list: Option<FlavorList>) {
        self.busy = false;
        let Some(list) = list else { return };
        let sane = |f: &Flavor| {
            [
                f.cpus,
                f.gpus,
                f.memory_gb,
                f.price,
                f.spot_price,
                f.boot_s,
                f.fetch_gb_per_s,
            ]
            .iter()
            .all(|value| value.0.is_finite() && value.0 >= 0.0)
        };
        for flavor in list.types.into_iter().filter(sane) {
            self.types.insert(flavor.name.clone(), flavor);
        }
    }
}
