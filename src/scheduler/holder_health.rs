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
const UNHEARD_LEAST: u32 = 4;
const STRAYS_LEAST: u32 = 3;
/// Of a large holder's machines not all are named as misrouted workers at a time: so many are enough.
const STRAYS_ENOUGH: u32 = 24;

/// The machines of a holder that it does not hear, and how many of them others hear.
#[derive(Debug, Clone, Copy, Default)]
struct Unheard {
    expected: u32,
    overdue: u32,
    heard_elsewhere: u32,
}

impl Unheard {
    fn is_suspicious(self) -> bool {
        self.overdue >= UNHEARD_LEAST && self.overdue * 2 > self.expected
    }

    fn shows_holder_cut_off(self) -> bool {
        let most = (self.overdue / 2 + 1).clamp(STRAYS_LEAST, STRAYS_ENOUGH);
        self.is_suspicious() && self.heard_elsewhere >= most
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
        let lately = misrouted_window(config);
        self.misrouted.retain(|_, at| since(now, *at) < lately);
        let mut holders = self.unheard(now, cache);
        if !holders.values().any(|unheard| unheard.is_suspicious()) {
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
            let unheard = holder.filter(|_| status.is_some_and(|status| !status.usable));
            if let Some(counts) = unheard.and_then(|holder| holders.get_mut(holder)) {
                counts.heard_elsewhere += 1;
            }
        }
        let cut_off = holders
            .into_iter()
            .filter(|(_, unheard)| unheard.shows_holder_cut_off());
        cut_off.map(|(holder, _)| holder).collect()
    }

    /// What the holders told lately of machines that they do not hear.
    fn unheard(&self, now: Now, cache: &WatchCache) -> BTreeMap<ControllerName, Unheard> {
        let mut holders: BTreeMap<ControllerName, Unheard> = BTreeMap::new();
        for (block, block_state) in &self.block_states {
            let recent = block_state
                .status
                .as_ref()
                .filter(|(_, at)| since(now, *at) < HOLDER_STATUS_TTL);
            if let (Some((status, _)), Some(lease)) = (recent, cache.block_leases.get(block)) {
                let counts = holders.entry(lease.value.holder.clone()).or_default();
                counts.expected += status.expected_workers;
                counts.overdue += status.overdue_workers;
            }
        }
        holders
    }
}
