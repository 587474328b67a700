//! The machine types, as the cloud tells them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::wire::{InstanceType, InstanceTypeList};
use crate::config::Config;
use crate::domain::{InstanceTypeName, Job, Now, Zone, since};

/// The machine types, once the cloud has told them.
#[derive(Debug, Default)]
pub struct InstanceCatalog {
    types: BTreeMap<InstanceTypeName, InstanceType>,
    asked: Option<Instant>,
    busy: bool,
}

const CATALOG_RETRY: Duration = Duration::from_secs(1);
const CATALOG_REFRESH: Duration = Duration::from_secs(30);

impl InstanceCatalog {
    pub fn known(&self) -> bool {
        !self.types.is_empty()
    }

    pub fn get(&self, name: &InstanceTypeName) -> Option<&InstanceType> {
        self.types.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &InstanceType> {
        self.types.values()
    }

    /// Whether an empty machine of some allowed type holds a task.
    pub fn fit(&self, job: &Job) -> bool {
        self.all().any(|instance_type| {
            job.allows_type(&instance_type.name)
                && instance_type.room().fits(&job.need)
                && instance_type.zones.iter().any(|zone| job.allows_zone(zone))
        })
    }

    pub fn zones(&self, config: &Config) -> Vec<Zone> {
        let mut zones: BTreeSet<Zone> = config.zones.iter().cloned().collect();
        zones.extend(
            self.all()
                .flat_map(|instance_type| instance_type.zones.iter().cloned()),
        );
        zones.into_iter().collect()
    }

    pub fn due(&mut self, now: Now) -> bool {
        let pause = if self.known() {
            CATALOG_REFRESH
        } else {
            CATALOG_RETRY
        };
        let due = !self.busy && self.asked.is_none_or(|asked| since(now, asked) >= pause);
        if due {
            self.busy = true;
            self.asked = Some(now.monotonic);
        }
        due
    }

    pub fn answered(&mut self, list: Option<InstanceTypeList>) {
        self.busy = false;
        let Some(list) = list else { return };
        let sane = |f: &InstanceType| {
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
        for instance_type in list.types.into_iter().filter(sane) {
            self.types.insert(instance_type.name.clone(), instance_type);
        }
    }
}
