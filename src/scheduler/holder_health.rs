//! Holder health: which holders of block leases can't do their work, since they receive heartbeats of few of their
//! machines while other controllers receive them.
//!
//! Asked by the leader in each round, which then gives these holders' blocks to others for a while.

use std::collections::{BTreeMap, BTreeSet};

use super::{HOLDER_STATUS_TTL, Scheduler};
use crate::config::Config;
use crate::domain::{ControllerName, MachineId, Now, since};
use crate::store::WatchCache;
use crate::workers::misrouted_window;

/// A holder that does not hear most of its machines, and at least so many, is suspected; if others hear most of those
/// that it does not, it is the holder that is cut off or too slow, not they that are dead. A few that others hear show
/// nothing: machines that no answer reaches go from controller to controller too.
const MIN_OVERDUE_WORKERS: u32 = 4;
const MIN_MISROUTED_MACHINES: u32 = 3;
/// Of a large holder's machines not all are named as misrouted workers at a time: so many are enough.
const MAX_REQUIRED_MISROUTED_MACHINES: u32 = 24;

/// The machines of a holder that it does not hear, and how many of them others hear.
#[derive(Debug, Clone, Copy, Default)]
struct HolderReachability {
    expected_workers: u32,
    overdue_workers: u32,
    misrouted_machines: u32,
}

impl HolderReachability {
    fn is_suspect(self) -> bool {
        self.overdue_workers >= MIN_OVERDUE_WORKERS
            && self.overdue_workers * 2 > self.expected_workers
    }

    fn is_isolated(self) -> bool {
        let required = (self.overdue_workers / 2 + 1)
            .clamp(MIN_MISROUTED_MACHINES, MAX_REQUIRED_MISROUTED_MACHINES);
        self.is_suspect() && self.misrouted_machines >= required
    }
}

impl Scheduler {
    /// Machines that reported to a controller that is not their holder.
    pub fn record_misrouted(&mut self, now: Now, machines: Vec<MachineId>) {
        self.misrouted
            .extend(machines.into_iter().map(|machine| (machine, now.monotonic)));
    }

    /// Holders that hear hardly any of their machines, although others hear them.
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

    /// What the holders told lately of machines that they do not hear.
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
