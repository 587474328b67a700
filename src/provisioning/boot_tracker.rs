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
const BOOT_UNKNOWN: Duration = Duration::from_secs(30);
/// A granted machine is recorded within this time, or was terminated.
const FORGET_BOOT_AFTER: Duration = Duration::from_secs(60);

/// The machines that boot, and the boot times measured.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    times: BootTimes,
    /// When machines were granted that are not up yet. Of others, an earlier leader's or found up, that is not known well
    /// enough to measure their boot.
    booting: HashMap<MachineId, Instant>,
    /// Machines that take so long to come up that others are requested in their place. They are used if they come up all
    /// the same.
    late: BTreeSet<MachineId>,
}

impl BootTracker {
    /// Notes machines that the cloud has granted just now.
    pub(super) fn start(&mut self, now: Now, machines: &[MachineId]) {
        let started = machines
            .iter()
            .map(|machine| (machine.clone(), now.monotonic));
        self.booting.extend(started);
    }

    /// Forgets machines that are gone.
    pub(super) fn retain_recorded(&mut self, now: Now, cache: &WatchCache) {
        self.booting.retain(|id, granted| {
            cache.machines.contains_key(id) || since(now, *granted) < FORGET_BOOT_AFTER
        });
        self.late.retain(|id| cache.machines.contains_key(id));
    }

    /// Notes that a machine is up.
    pub(super) fn finish(&mut self, now: Now, id: &MachineId, type_name: &InstanceTypeName) {
        self.late.remove(id);
        if let Some(granted) = self.booting.remove(id) {
            self.times.record(type_name, since(now, granted));
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
        let mut booting: BTreeMap<&InstanceTypeName, Vec<(&MachineId, Duration)>> = BTreeMap::new();
        for (id, granted) in &self.booting {
            if let Some(machine) = cache.machines.get(id).filter(|_| !failed.contains(id)) {
                booting
                    .entry(&machine.type_name)
                    .or_default()
                    .push((id, since(now, *granted)));
            }
        }
        for instance_type in catalog.all() {
            let (name, stated) = (&instance_type.name, instance_type.boot_time());
            let booting = booting.remove(name).unwrap_or_default();
            let ages: Vec<Duration> = booting.iter().map(|(_, age)| *age).collect();
            self.times.update(name, stated, &ages);
            for (id, age) in booting {
                if self.times.is_late(name, stated, age) && self.late.insert(id.clone()) {
                    info!(machine = %id, ?age, "machine boot overdue: replacement allowed");
                }
            }
        }
    }

    /// Whether the machine takes so long to boot that another may be requested in its place.
    pub(super) fn is_late(&self, id: &MachineId) -> bool {
        self.late.contains(id)
    }

    /// Whether a machine of that age that is not up yet will never be.
    pub(super) fn never_comes_up(
        &self,
        catalog: &InstanceCatalog,
        type_name: &InstanceTypeName,
        age: Duration,
    ) -> bool {
        let stated = catalog
            .get(type_name)
            .map_or(BOOT_UNKNOWN, InstanceType::boot_time);
        self.times.is_lost(type_name, stated, age)
    }

    /// The boot time to expect of a type.
    pub(super) fn expected(&self, instance_type: &InstanceType) -> Duration {
        self.times
            .expected(&instance_type.name, instance_type.boot_time())
    }
}
