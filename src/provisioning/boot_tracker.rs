//! Tracks booting machines: measures their boot times and finds machines that take too long.
//!
//! Called when the machines are observed in each plan, and when the cloud grants machines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use tracing::info;

use super::boot_times::BootTimes;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceType;
use crate::domain::{InstanceTypeName, MachineId, Now, since};
use crate::store::WatchCache;

/// The boot time assumed for a type that the cloud no longer lists.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(30);
/// How long the grant of an unrecorded machine is kept: a granted machine is recorded within this time, or was
/// terminated.
const UNRECORDED_BOOT_RETENTION: Duration = Duration::from_secs(60);

/// The booting machines and the measured boot times.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    boot_times: BootTimes,
    /// When machines that are not up yet were granted. Machines that an earlier leader rented or that were found up
    /// are not included: their grant time is not known well enough to measure the boot.
    granted_at: HashMap<MachineId, Instant>,
    /// Machines whose boot is overdue, so that replacements may be requested. They are used if they come up after all.
    overdue: BTreeSet<MachineId>,
}

impl BootTracker {
    /// Records machines that the cloud has just granted.
    pub(super) fn record_granted(&mut self, now: Now, machines: &[MachineId]) {
        let granted = machines
            .iter()
            .map(|machine| (machine.clone(), now.monotonic));
        self.granted_at.extend(granted);
    }

    /// Drops machines that are not recorded, newly granted ones only after [`UNRECORDED_BOOT_RETENTION`].
    pub(super) fn retain_recorded(&mut self, now: Now, cache: &WatchCache) {
        self.granted_at.retain(|id, granted| {
            cache.machines.contains_key(id) || since(now, *granted) < UNRECORDED_BOOT_RETENTION
        });
        self.overdue.retain(|id| cache.machines.contains_key(id));
    }

    /// Records that a machine is up.
    pub(super) fn record_up(&mut self, now: Now, id: &MachineId, type_name: &InstanceTypeName) {
        self.overdue.remove(id);
        if let Some(granted) = self.granted_at.remove(id) {
            self.boot_times.record(type_name, since(now, granted));
        }
    }

    /// Updates the expected boot times and finds the overdue machines. Failed machines are ignored.
    pub(super) fn update(
        &mut self,
        now: Now,
        catalog: &InstanceCatalog,
        cache: &WatchCache,
        failed: &BTreeSet<MachineId>,
    ) {
        let mut booting_by_type: BTreeMap<&InstanceTypeName, Vec<(&MachineId, Duration)>> =
            BTreeMap::new();
        for (id, granted) in &self.granted_at {
            if let Some(machine) = cache.machines.get(id).filter(|_| !failed.contains(id)) {
                booting_by_type
                    .entry(&machine.type_name)
                    .or_default()
                    .push((id, since(now, *granted)));
            }
        }
        for instance_type in catalog.all() {
            let (name, advertised) = (&instance_type.name, instance_type.boot_time());
            let booting = booting_by_type.remove(name).unwrap_or_default();
            let ages: Vec<Duration> = booting.iter().map(|(_, age)| *age).collect();
            self.boot_times.update(name, advertised, &ages);
            for (id, age) in booting {
                if self.boot_times.is_overdue(name, advertised, age)
                    && self.overdue.insert(id.clone())
                {
                    info!(machine = %id, ?age, "machine boot overdue: replacement allowed");
                }
            }
        }
    }

    /// Whether the machine's boot is overdue, so that a replacement may be requested.
    pub(super) fn is_overdue(&self, id: &MachineId) -> bool {
        self.overdue.contains(id)
    }

    /// Whether a machine of this age that is not up yet is assumed never to come up.
    pub(super) fn has_timed_out(
        &self,
        catalog: &InstanceCatalog,
        type_name: &InstanceTypeName,
        age: Duration,
    ) -> bool {
        let advertised = catalog
            .get(type_name)
            .map_or(DEFAULT_BOOT_TIME, InstanceType::boot_time);
        self.boot_times.has_timed_out(type_name, advertised, age)
    }

    /// The expected boot time of an instance type.
    pub(super) fn expected_boot_time(&self, instance_type: &InstanceType) -> Duration {
        self.boot_times
            .expected(&instance_type.name, instance_type.boot_time())
    }
}
