//! Detects isolated holders of block leases: they receive heartbeats from few of their machines, while other
//! controllers receive heartbeats from these machines.
//!
//! The leader queries it in each round and gives the blocks of isolated holders to other controllers for a while.

use std::collections::{BTreeMap, BTreeSet};

use super::{HOLDER_STATUS_TTL, Scheduler};
use crate::config::Config;
use crate::domain::{ControllerName, MachineId, Now, since};
use crate::store::WatchCache;
use crate::workers::misrouted_window;

/// A holder is suspected to be isolated when more than half of its workers, and at least this many, are overdue.
const MIN_OVERDUE_WORKERS: u32 = 4;
/// A suspected holder is isolated or too slow, and its machines are not dead, when other controllers receive heartbeats
/// from most of its overdue machines, and from at least this many. A few misrouted machines are no evidence: a worker
/// that no response reaches also goes from controller to controller.
const MIN_MISROUTED_MACHINES: u32 = 3;
/// No holder needs more misrouted machines than this to count as isolated: a controller reports only some of many
/// misrouted machines at a time.
const MAX_REQUIRED_MISROUTED_MACHINES: u32 = 24;

/// The workers of a holder: how many it expects heartbeats from, how many of these are overdue, and how many of its
/// machines report to other controllers.
#[derive(Debug, Clone, Copy, Default)]
struct HolderReachability {
    expected_workers: u32,
    overdue_workers: u32,
    misrouted_machines: u32,
}

impl HolderReachability {
    /// Whether more than half of the holder's workers, and enough of them, are overdue.
    fn is_suspect(self) -> bool {
        self.overdue_workers >= MIN_OVERDUE_WORKERS
            && self.overdue_workers * 2 > self.expected_workers
    }

    /// Whether it is the holder that is isolated, since other controllers hear from most of its overdue machines.
    fn is_isolated(self) -> bool {
        let required = (self.overdue_workers / 2 + 1)
            .clamp(MIN_MISROUTED_MACHINES, MAX_REQUIRED_MISROUTED_MACHINES);
        self.is_suspect() && self.misrouted_machines >= required
    }
}

impl Scheduler {
    /// Records machines that reported to a controller that is not their holder.
    pub fn record_misrouted(&mut self, now: Now, machines: Vec<MachineId>) {
        self.misrouted
            .extend(machines.into_iter().map(|machine| (machine, now.monotonic)));
    }

    /// Holders that receive no heartbeats from most of their machines, although other controllers do.
    pub fn isolated_holders(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
    ) -> BTreeSet<ControllerName> {
        let window = misrouted_window(config);
        self.misrouted.retain(|_, at| since(now, *at) < window);
        let mut holders = self.holder_reachability(now, cache);
        if !holders
            .values()
            .any(|reachability| reachability.is_suspect())
        {
            return BTreeSet::new();
        }
        for machine in self.misrouted.keys() {
            let Some(block) = cache.machines.get(machine).map(|machine| &machine.block) else {
                continue;
            };
            let status = self
                .block_states
                .get(block)
                .and_then(|block_state| block_state.machines.get(machine));
            let holder = cache
                .block_leases
                .get(block)
                .map(|lease| &lease.value.holder);
            let affected_holder = holder.filter(|_| status.is_some_and(|status| !status.usable));
            if let Some(counts) = affected_holder.and_then(|holder| holders.get_mut(holder)) {
                counts.misrouted_machines += 1;
            }
        }
        let isolated = holders
            .into_iter()
            .filter(|(_, reachability)| reachability.is_isolated());
        isolated.map(|(holder, _)| holder).collect()
    }

    /// Expected and overdue workers of each holder, from statuses within their time to live.
    fn holder_reachability(
        &self,
        now: Now,
        cache: &WatchCache,
    ) -> BTreeMap<ControllerName, HolderReachability> {
        let mut holders: BTreeMap<ControllerName, HolderReachability> = BTreeMap::new();
        for (block, block_state) in &self.block_states {
            let recent = block_state
                .status
                .as_ref()
                .filter(|(_, at)| since(now, *at) < HOLDER_STATUS_TTL);
            if let (Some((status, _)), Some(lease)) = (recent, cache.block_leases.get(block)) {
                let counts = holders.entry(lease.value.holder.clone()).or_default();
                counts.expected_workers += status.expected_workers;
                counts.overdue_workers += status.overdue_workers;
            }
        }
        holders
    }
}
