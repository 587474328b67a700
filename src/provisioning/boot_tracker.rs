//! Machines that boot: how long they take, and which of them take too long.
//!
//! Called by the observation of machines in each plan, and by the cloud's response that granted them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use tracing::info;

use super::boot_times::BootTimes;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceType;
use crate::domain::{InstanceTypeName, MachineId, Now, since};
use crate::store::WatchCache;

/// Taken for the boot time of a type that the cloud no longer lists.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(30);
/// A granted machine is recorded within this time, or was terminated.
const UNRECORDED_BOOT_RETENTION: Duration = Duration::from_secs(60);

/// The machines that boot, and the boot times measured.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    boot_times: BootTimes,
    /// When machines were granted that are not up yet. Of others, an earlier leader's or found up, that is not known well
    /// enough to measure their boot.
    granted_at: HashMap<MachineId, Instant>,
    /// Machines that take so long to come up that others are requested in their place. They are used if they come up all
    /// the same.
    overdue: BTreeSet<MachineId>,
}

impl BootTracker {
    /// Notes machines that the cloud has granted just now.
    pub(super) fn record_granted(&mut self, now: Now, machines: &[MachineId]) {
        let granted = machines
            .iter()
            .map(|machine| (machine.clone(), now.monotonic));
        self.granted_at.extend(granted);
    }

    /// Forgets machines that are gone.
    pub(super) fn retain_recorded(&mut self, now: Now, cache: &WatchCache) {
        self.granted_at.retain(|id, granted| {
            cache.machines.contains_key(id) || since(now, *granted) < UNRECORDED_BOOT_RETENTION
        });
        self.overdue.retain(|id| cache.machines.contains_key(id));
    }

    /// Notes that a machine is up.
    pub(super) fn record_up(&mut self, now: Now, id: &MachineId, type_name: &InstanceTypeName) {
        self.overdue.remove(id);
        if let Some(granted) = self.granted_at.remove(id) {
            self.boot_times.record(type_name, since(now, granted));
        }
    }

    /// Updates the expected boot times, and finds the machines that are late. Failed machines count no longer.
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

    /// Whether the machine takes so long to boot that another may be requested in its place.
    pub(super) fn is_overdue(&self, id: &MachineId) -> bool {
        self.overdue.contains(id)
    }

    /// Whether a machine of that age that is not up yet will never be.
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

    /// The boot time to expect of a type.
    pub(super) fn expected_boot_time(&self, instance_type: &InstanceType) -> Duration {
        self.boot_times
            .expected(&instance_type.name, instance_type.boot_time())
    }
}
