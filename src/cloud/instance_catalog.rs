//! The catalogue of instance types, as listed by the cloud.
//!
//! Each controller owns one and refreshes it every 30 seconds. Invariants: at most one request is in flight; types
//! with a negative or non-finite number are ignored; a type that is no longer listed stays in the catalogue, since
//! machines of it may still run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::wire::{InstanceType, InstanceTypeList};
use crate::config::Config;
use crate::domain::{InstanceTypeName, Job, Now, Zone, since};

/// The instance types; empty until the cloud has listed them.
#[derive(Debug, Default)]
pub struct InstanceCatalog {
    types: BTreeMap<InstanceTypeName, InstanceType>,
    last_request_at: Option<Instant>,
    in_flight: bool,
}

/// How long after a request the next one is due while no type is known.
const CATALOG_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long after a request the next one is due once types are known.
const CATALOG_REFRESH_INTERVAL: Duration = Duration::from_secs(30);

impl InstanceCatalog {
    /// Whether any type is known.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        !self.types.is_empty()
    }

    /// The type with this name.
    #[must_use]
    pub fn get(&self, name: &InstanceTypeName) -> Option<&InstanceType> {
        self.types.get(name)
    }

    /// All types, by name.
    pub fn all(&self) -> impl Iterator<Item = &InstanceType> {
        self.types.values()
    }

    /// Whether a task of the job fits on an empty machine of some type and zone that the job allows.
    #[must_use]
    pub fn fits_job(&self, job: &Job) -> bool {
        self.all().any(|instance_type| {
            job.allows_type(&instance_type.name)
                && instance_type.resources().fits(&job.need)
                && instance_type.zones.iter().any(|zone| job.allows_zone(zone))
        })
    }

    /// The zones of the settings and of all types, sorted by name.
    #[must_use]
    pub fn zones(&self, config: &Config) -> Vec<Zone> {
        let mut zones: BTreeSet<Zone> = config.zones.iter().cloned().collect();
        zones.extend(
            self.all()
                .flat_map(|instance_type| instance_type.zones.iter().cloned()),
        );
        zones.into_iter().collect()
    }

    /// Whether the types are to be requested now; if so, records that a request is in flight.
    pub fn try_begin_refresh(&mut self, now: Now) -> bool {
        let interval = if self.is_loaded() {
            CATALOG_REFRESH_INTERVAL
        } else {
            CATALOG_RETRY_INTERVAL
        };
        let due = !self.in_flight
            && self
                .last_request_at
                .is_none_or(|at| since(now, at) >= interval);
        if due {
            self.in_flight = true;
            self.last_request_at = Some(now.monotonic);
        }
        due
    }

    /// Handles the response to the request. None: the request was refused or not answered.
    pub fn handle_response(&mut self, list: Option<InstanceTypeList>) {
        self.in_flight = false;
        let Some(list) = list else { return };
        let is_valid = |instance_type: &InstanceType| {
            [
                instance_type.cpus,
                instance_type.gpus,
                instance_type.memory_gb,
                instance_type.price,
                instance_type.spot_price,
                instance_type.boot_s,
                instance_type.fetch_gb_per_s,
            ]
            .iter()
            .all(|value| value.0.is_finite() && value.0 >= 0.0)
        };
        for instance_type in list.types.into_iter().filter(is_valid) {
            self.types.insert(instance_type.name.clone(), instance_type);
        }
    }
}
