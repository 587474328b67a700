//! Which holders can't do their work: they hear few of their machines, while others hear them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Queues, STATUS_LIFE};
use crate::config::Config;
use crate::domain::{MachineId, NodeName, Now, since};
use crate::fleet::stray_for;
use crate::store::View;

/// A holder that does not hear most of its machines, and at least so many, is suspected; if others hear so many of
/// them, it is the holder that is cut off or too slow, not they that are dead.
const UNHEARD_LEAST: u32 = 4;
const STRAYS_LEAST: usize = 3;

impl Queues {
    /// Machines that reported to a controller that is not their holder.
    pub fn strayed(&mut self, now: Now, machines: Vec<MachineId>) {
        self.strays.extend(machines.into_iter().map(|machine| (machine, now.steady)));
    }

    /// Holders that hear hardly any of their machines, although others hear them.
    pub fn unreaching(&mut self, now: Now, config: &Config, view: &View) -> BTreeSet<NodeName> {
        let lately = stray_for(config);
        self.strays.retain(|_, at| since(now, *at) < lately);
        let mut counts: BTreeMap<&NodeName, (u32, u32)> = BTreeMap::new();
        for (block, desk) in &self.desks {
            let recent = desk.status.as_ref().filter(|(_, at)| since(now, *at) < STATUS_LIFE);
            if let (Some((status, _)), Some(grant)) = (recent, view.grants.get(block)) {
                let (expected, overdue) = counts.entry(&grant.value.holder).or_default();
                *expected += status.expected;
                *overdue += status.overdue;
            }
        }
        let suspected = |(expected, overdue): (u32, u32)| overdue >= UNHEARD_LEAST && overdue * 2 > expected;
        let suspects: BTreeSet<&NodeName> =
            counts.into_iter().filter(|(_, counts)| suspected(*counts)).map(|(node, _)| node).collect();
        if suspects.is_empty() {
            return BTreeSet::new();
        }
        let mut heard: BTreeMap<&NodeName, usize> = BTreeMap::new();
        for machine in self.strays.keys() {
            let block = view.machines.get(machine).map(|machine| &machine.block);
            let holder = block.and_then(|block| view.grants.get(block)).map(|grant| &grant.value.holder);
            let unusable = block
                .and_then(|block| self.desks.get(block)?.machines.get(machine))
                .is_some_and(|status| !status.usable);
            if let Some(holder) = holder.filter(|holder| unusable && suspects.contains(holder)) {
                *heard.entry(holder).or_default() += 1;
            }
        }
        heard.into_iter().filter(|(_, count)| *count >= STRAYS_LEAST).map(|(holder, _)| holder.clone()).collect()
    }
}
