//! The values that a block's tasks are kept in, and changes to them that fit one transaction.
//!
//! An attempt is recorded in one part only, whichever has room, so that what starts together is one change. A value that
//! is too large for the limits in force can't be written again: what it holds is copied to other parts, and it is deleted
//! once they hold everything.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::StateLimits;
use crate::domain::{Attempt, BlockId, JobId, MachineId};
use crate::store::cache::Parts;
use crate::store::records::{
    AttemptEncoding, BlockPlacements, FIRST_PART, Part, Ranges, done_entry_size,
    placements_part_key,
};
use crate::store::{Transaction, Versioned, WatchCache};

/// How full a part is made when a large value is divided. The rest is for tasks that end there.
const DIVIDED_FULL: f64 = 0.7;
/// Finished tasks that are recorded elsewhere are removed when their part is written anyway, or when it is this full:
/// until then they do no harm, and each part costs a change.
const PRUNED_FULL: f64 = 0.6;
/// A large value is divided by copying a part of it and, in the end, deleting it.
const LEAST_CHANGES: usize = 2;
/// How many recorded ends it is worth to record one whose room is wanted.
const ROOM_WANTED_WEIGHT: usize = 4;
/// Added to the sizes worked out here, for what they leave out.
const RESERVE_BYTES: usize = 64;

/// What one value and one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartLimits {
    pub(super) value_bytes: usize,
    /// The most parts that one transaction changes.
    pub(super) changes: usize,
    /// Whether there may be other parts than the first.
    pub(super) divided: bool,
}

impl PartLimits {
    /// `most`: the changes that a transaction should not exceed, by the rate at which it may write.
    pub(super) fn new(limits: &StateLimits, most: usize, divided: bool) -> Self {
        let changes = most.clamp(LEAST_CHANGES, limits.txn_ops);
        PartLimits {
            value_bytes: limits.value_bytes,
            changes: if divided { changes } else { 1 },
            divided,
        }
    }
}

/// An attempt that is proven gone.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ended<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) attempt: Attempt,
    pub(super) done: bool,
    /// Another task is to be placed on its machine.
    pub(super) room_wanted: bool,
}

/// All parts together.
pub(super) fn merged(parts: &Parts<BlockPlacements>) -> BlockPlacements {
    let mut merged = BlockPlacements::default();
    parts.values().for_each(|part| merged.merge(&part.value));
    merged
}

/// A block's parts as the next transaction is to leave them.
#[derive(Debug, Clone)]
pub(super) struct PartsDraft {
    limits: PartLimits,
    parts: Parts<BlockPlacements>,
    changed: BTreeSet<Part>,
    deleted: BTreeSet<Part>,
}

impl PartsDraft {
    /// `settle`: parts of a transaction of unknown outcome. Writing them once more decides it: either of the two fails.
    pub(super) fn new(
        parts: &Parts<BlockPlacements>,
        limits: PartLimits,
        settle: &BTreeSet<Part>,
    ) -> Self {
        let mut draft = PartsDraft {
            limits,
            parts: parts.clone(),
            changed: settle.clone(),
            deleted: BTreeSet::new(),
        };
        for part in settle {
            draft.parts.entry(*part).or_insert_with(empty_part);
        }
        draft
    }

    pub(super) fn any(&self) -> bool {
        !self.changed.is_empty()
    }

    pub(super) fn changed(&self) -> &BTreeSet<Part> {
        &self.changed
    }

    pub(super) fn merged(&self) -> BlockPlacements {
        merged(&self.parts)
    }

    pub(super) fn most_changes(&self) -> usize {
        self.limits.changes
    }

    fn may_change(&self, part: Part) -> bool {
        self.changed.contains(&part) || self.changed.len() < self.limits.changes
    }

    /// Removes attempts that are gone, as many as the transaction can: those of the parts with the most of them.
    pub(super) fn end_all(&mut self, ended: Vec<Ended<'_>>) {
        let mut of_part: BTreeMap<Part, (usize, Vec<Ended<'_>>)> = BTreeMap::new();
        for end in ended {
            let mut parts = self.parts.iter();
            let holding = parts.find(|(_, part)| holds(&part.value, end.machine, end.attempt));
            let Some((index, _)) = holding else {
                continue;
            };
            let (weight, list) = of_part.entry(*index).or_default();
            *weight += if end.room_wanted {
                ROOM_WANTED_WEIGHT
            } else {
                1
            };
            list.push(end);
        }
        let mut by_weight: Vec<(usize, Vec<Ended<'_>>)> = of_part.into_values().collect();
        by_weight.sort_by_key(|(weight, _)| Reverse(*weight));
        for end in by_weight.into_iter().flat_map(|(_, list)| list) {
            self.end(end.machine, end.attempt, end.done);
        }
    }

    /// Removes an attempt that is gone, and notes its task as done if it is. False: there is no such attempt, or no more
    /// parts can be changed.
    fn end(&mut self, machine: &MachineId, attempt: Attempt, done: bool) -> bool {
        let holding: Vec<Part> = self
            .parts
            .iter()
            .filter(|(_, part)| holds(&part.value, machine, attempt))
            .map(|(part, _)| *part)
            .collect();
        if holding.is_empty() || !holding.iter().all(|part| self.may_change(*part)) {
            return false;
        }
        for index in holding {
            let Some(part) = self.parts.get_mut(&index) else {
                continue;
            };
            part.value.remove(machine, attempt);
            if done {
                let task = attempt.task;
                part.value
                    .done
                    .entry(task.job)
                    .or_default()
                    .insert(task.index);
            }
            self.changed.insert(index);
        }
        true
    }

    /// Removes finished tasks that are recorded elsewhere.
    pub(super) fn prune(&mut self, cache: &WatchCache) {
        let full = self.limits.value_bytes as f64 * PRUNED_FULL;
        let indexes: Vec<Part> = self.parts.keys().copied().collect();
        for index in indexes {
            let may_change = self.may_change(index);
            let Some(part) = self.parts.get_mut(&index) else {
                continue;
            };
            let due = !self.limits.divided
                || self.changed.contains(&index)
                || part.value.worst_case_size() as f64 > full;
            if part.value.done.is_empty() || !due || !may_change {
                continue;
            }
            let mut pruned = part.value.clone();
            cache.forget_recorded_ends(&mut pruned);
            if pruned != part.value {
                part.value = pruned;
                self.changed.insert(index);
            }
        }
    }

    /// Records an attempt in a part with room: one that is changed anyway, else the emptiest, else a new one. False: there
    /// is no room for it in this transaction.
    pub(super) fn add(&mut self, machine: &MachineId, attempt: Attempt) -> bool {
        let Some(index) = self.part_for(machine, attempt) else {
            return false;
        };
        let part = self.parts.entry(index).or_insert_with(empty_part);
        part.value.add(machine, attempt);
        self.changed.insert(index);
        true
    }

    fn part_for(&self, machine: &MachineId, attempt: Attempt) -> Option<Part> {
        let mut fitting: Vec<(bool, usize, Part)> = Vec::new();
        for (index, part) in self
            .parts
            .iter()
            .filter(|(index, _)| self.may_change(**index))
        {
            let size = part.value.worst_case_size();
            if size + growth(&part.value, machine, attempt) <= self.limits.value_bytes {
                fitting.push((!self.changed.contains(index), size, *index));
            }
        }
        let emptiest = fitting.into_iter().min().map(|(_, _, index)| index);
        emptiest.or_else(|| {
            let next = self
                .parts
                .last_key_value()
                .map_or(FIRST_PART, |(last, _)| last + 1);
            let allowed = next == FIRST_PART || self.limits.divided;
            (allowed && self.may_change(next)).then_some(next)
        })
    }

    /// A draft that only brings a value which is too large into others, if there is one.
    pub(super) fn dividing(
        parts: &Parts<BlockPlacements>,
        limits: PartLimits,
        settle: &BTreeSet<Part>,
    ) -> Option<Self> {
        let (large, _) = parts.iter().find(|(_, part)| {
            limits.divided
                && part.value.size().max(part.value.worst_case_size()) > limits.value_bytes
        })?;
        let mut draft = PartsDraft::new(parts, limits, settle);
        draft.divide(*large);
        Some(draft)
    }

    fn divide(&mut self, large: Part) {
        let mut left = self
            .parts
            .get(&large)
            .map(|part| part.value.clone())
            .unwrap_or_default();
        for (_, part) in self.parts.iter().filter(|(index, _)| **index != large) {
            subtract(&mut left, &part.value);
        }
        // One change is left for the deletion.
        let most = self.limits.changes.saturating_sub(1).max(1);
        let full = (self.limits.value_bytes as f64 * DIVIDED_FULL) as usize;
        while !left.is_empty() && self.changed.iter().filter(|part| **part != large).count() < most
        {
            let copied = take_up_to(&mut left, full);
            let next = self
                .parts
                .last_key_value()
                .map_or(FIRST_PART, |(last, _)| last + 1);
            let mut part = empty_part();
            part.value = copied;
            self.parts.insert(next, part);
            self.changed.insert(next);
        }
        if left.is_empty() {
            self.parts.remove(&large);
            self.changed.insert(large);
            self.deleted.insert(large);
        }
    }

    /// Adds the conditions and changes to a transaction.
    pub(super) fn apply(
        &self,
        block: &BlockId,
        old: &Parts<BlockPlacements>,
        mut txn: Transaction,
    ) -> Transaction {
        for index in &self.changed {
            let key = placements_part_key(block, *index);
            txn = txn.when(key.clone(), old.get(index).map_or(0, |part| part.version));
            txn = match self.parts.get(index) {
                Some(part) => txn.put(key, &part.value),
                None => txn.delete(key),
            };
        }
        txn
    }

    /// The parts once the transaction is committed.
    pub(super) fn committed(mut self, revision: u64) -> Parts<BlockPlacements> {
        for index in &self.changed {
            if let Some(part) = self.parts.get_mut(index) {
                part.version = revision;
            }
        }
        self.parts
    }
}

fn empty_part() -> Versioned<BlockPlacements> {
    Versioned {
        value: BlockPlacements::default(),
        version: 0,
    }
}

fn holds(placements: &BlockPlacements, machine: &MachineId, attempt: Attempt) -> bool {
    placements
        .on
        .get(machine)
        .is_some_and(|list| list.contains(&AttemptEncoding(attempt)))
}

/// By how much a part may grow with one more attempt, until that has ended.
fn growth(placements: &BlockPlacements, machine: &MachineId, attempt: Attempt) -> usize {
    let entry = if placements.on.contains_key(machine) {
        0
    } else {
        machine.0.len() + 8
    };
    entry + AttemptEncoding(attempt).size() + done_entry_size(attempt.task.job) + RESERVE_BYTES
}

/// Removes what the other part holds too.
fn subtract(placements: &mut BlockPlacements, other: &BlockPlacements) {
    for (machine, list) in &other.on {
        for placed in list {
            placements.remove(machine, placed.0);
        }
    }
    placements.done.retain(|job, done| {
        if let Some(known) = other.done.get(job) {
            known
                .0
                .iter()
                .for_each(|range| done.0.remove(range.clone()));
        }
        !done.is_empty()
    });
}

/// Takes out what makes a part of this size.
fn take_up_to(placements: &mut BlockPlacements, bytes: usize) -> BlockPlacements {
    let mut taken = BlockPlacements::default();
    while let Some((machine, list)) = placements.on.pop_first() {
        let mut rest = list;
        while let Some(placed) = rest.pop() {
            if taken.worst_case_size() + growth(&taken, &machine, placed.0) > bytes
                && !taken.is_empty()
            {
                rest.push(placed);
                placements.on.insert(machine, rest);
                return taken;
            }
            taken.add(&machine, placed.0);
        }
    }
    take_done(placements, &mut taken, bytes);
    taken
}

fn take_done(placements: &mut BlockPlacements, taken: &mut BlockPlacements, bytes: usize) {
    let jobs: BTreeMap<JobId, Ranges> = std::mem::take(&mut placements.done);
    let mut size = taken.worst_case_size();
    for (job, done) in jobs {
        size += done_entry_size(job);
        for range in done.0.iter() {
            let one = Ranges([range.clone()].into_iter().collect());
            size += one.size();
            let target = if size + RESERVE_BYTES > bytes && !taken.is_empty() {
                &mut placements.done
            } else {
                &mut taken.done
            };
            target.entry(job).or_default().merge(&one);
        }
    }
}

#[cfg(test)]
mod tests;
