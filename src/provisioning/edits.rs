//! Which block a machine goes to, and changes to rosters so that each block's value is written once.

use std::collections::{BTreeMap, HashMap};

use super::Demand;
use crate::blocks;
use crate::domain::{BlockId, MachineId, TypeName, Zone};
use crate::leadership::Lead;
use crate::store::records::{Roster, Rostered, roster_key};
use crate::store::{Txn, View};

/// Changes to rosters, gathered so that each block's value is written once.
pub(super) struct Edits<'v> {
    pub(super) view: &'v View,
    pub(super) rosters: BTreeMap<BlockId, Roster>,
    /// Blocks that one transaction may change.
    pub(super) most: usize,
    /// The blocks of each zone, and how full each is for its value: by its machines, and by the tasks they may get.
    pub(super) blocks: BTreeMap<Zone, BTreeMap<BlockId, f64>>,
    pub(super) value_bytes: f64,
    pub(super) tasks: HashMap<TypeName, f64>,
}

/// How full a block may be of what its machines may hold before a new one is opened: what a value can't hold can't
/// be placed. The rest is for finished tasks of arrays that are spread over many blocks.
pub(super) const BLOCK_FULL: f64 = 0.7;
/// Tasks expected on a machine before there are any to go by.
pub(super) const TASKS_UNKNOWN: f64 = 4.0;
/// From so many machines on, what they have tells how many tasks to expect, with so much to spare.
pub(super) const ENOUGH_SEEN: usize = 10;
pub(super) const TASKS_SPARE: f64 = 1.25;

impl<'v> Edits<'v> {
    pub(super) fn new(lead: &Lead<'_>, view: &'v View, demand: &Demand) -> Self {
        let Lead {
            config,
            policy,
            flavors,
            ..
        } = *lead;
        let mut seen: HashMap<&TypeName, (usize, usize)> = HashMap::new();
        for live in view.live_places() {
            let (machines, tasks) = seen.entry(&live.machine.type_name).or_default();
            *machines += 1;
            *tasks += live.attempts().count();
        }
        let tasks = flavors
            .all()
            .map(|flavor| {
                let most = demand.smallest.map_or(TASKS_UNKNOWN, |need| {
                    f64::from(flavor.room().count_of(&need))
                });
                let usual = seen
                    .get(&flavor.name)
                    .filter(|(machines, _)| *machines >= ENOUGH_SEEN)
                    .map_or(most, |(machines, tasks)| {
                        *tasks as f64 / *machines as f64 * TASKS_SPARE
                    });
                (flavor.name.clone(), usual.min(most).clamp(1.0, MOST_TASKS))
            })
            .collect();
        let mut edits = Edits {
            view,
            rosters: BTreeMap::new(),
            most: config.state_limits.txn_ops - 1,
            blocks: BTreeMap::new(),
            value_bytes: config.state_limits.value_bytes as f64,
            tasks,
        };
        for (block, zone) in blocks::wanted(&flavors.zones(config), config, policy, view) {
            let fill = view.rosters.get(&block).map_or(0.0, |roster| {
                roster
                    .value
                    .on
                    .iter()
                    .map(|(id, entry)| edits.share(id, entry))
                    .sum()
            });
            edits.blocks.entry(zone).or_default().insert(block, fill);
        }
        edits
    }

    /// The part of a block's values that a machine may come to need.
    pub(super) fn share(&self, id: &MachineId, entry: &Rostered) -> f64 {
        let tasks = self
            .tasks
            .get(&entry.type_name)
            .copied()
            .unwrap_or(TASKS_UNKNOWN);
        let places = (id.0.len() + 8) as f64 + tasks * TASK_BYTES;
        (entry.size(id) as f64).max(places) / self.value_bytes
    }

    /// Puts a machine into the emptiest block of its zone, or a new one if all are full. False: the transaction
    /// has no room.
    pub(super) fn add(
        &mut self,
        zone: &Zone,
        id: &MachineId,
        entry: Rostered,
        reserved: usize,
    ) -> bool {
        let share = self.share(id, &entry);
        let full = self.rosters.len() + reserved >= self.most;
        let of_zone = self.blocks.entry(zone.clone()).or_default();
        let usable = of_zone
            .iter()
            .filter(|(block, _)| !full || self.rosters.contains_key(*block));
        let emptiest = usable
            .min_by(|a, b| a.1.total_cmp(b.1))
            .map(|(block, fill)| (block.clone(), *fill));
        let block = match emptiest {
            Some((block, fill)) if fill + share <= BLOCK_FULL => block,
            _ if full => return false,
            _ => blocks::name(zone, of_zone.len()),
        };
        *of_zone.entry(block.clone()).or_default() += share;
        let fresh = || {
            self.view
                .rosters
                .get(&block)
                .map_or_else(|| Roster::new(zone.clone()), |r| r.value.clone())
        };
        self.rosters
            .entry(block.clone())
            .or_insert_with(fresh)
            .on
            .insert(id.clone(), entry);
        true
    }

    /// Changes the roster that a machine is in. False: the transaction has no room, or there is no such machine.
    pub(super) fn change(&mut self, id: &MachineId, change: impl FnOnce(&mut Roster)) -> bool {
        let Some(block) = self.view.machines.get(id).map(|machine| &machine.block) else {
            return false;
        };
        if !self.rosters.contains_key(block) {
            let Some(roster) = self
                .view
                .rosters
                .get(block)
                .filter(|_| self.rosters.len() < self.most)
            else {
                return false;
            };
            self.rosters.insert(block.clone(), roster.value.clone());
        }
        if let Some(roster) = self.rosters.get_mut(block) {
            change(roster);
        }
        true
    }

    pub(super) fn any(&self) -> bool {
        !self.rosters.is_empty()
    }

    pub(super) fn apply(self, mut txn: Txn) -> Txn {
        for (block, roster) in &self.rosters {
            let version = self.view.rosters.get(block).map_or(0, |old| old.version);
            txn = txn
                .when(roster_key(block), version)
                .put(roster_key(block), roster);
        }
        txn
    }
}

/// What one placed task takes of its block's value, and the most of them that are reckoned with on one machine.
pub(super) const TASK_BYTES: f64 = 22.0;
pub(super) const MOST_TASKS: f64 = 32.0;
