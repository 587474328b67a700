//! The parts (values of the state service) that a block's placements are stored in, and transactions on them.
//!
//! Chooses the part in which an attempt is recorded, and enforces the limits on the size of a part and on the parts
//! that one transaction changes. The block prepares each of its transactions with a [`PartsTransaction`] and replaces
//! its parts by the resulting ones once it is committed.
//!
//! Invariants: an attempt is recorded in one part only, any with space, so that placements made at the same time are a
//! single change; no part is made larger than its limit. A value that is too large for the limits in force can't be
//! written again: its entries are copied to other parts, and it is deleted once they contain all of them (`split`).
//!
//! All transactions are conditioned on the block's write fence, and one that deletes a part writes it. Otherwise an
//! earlier transaction of unknown outcome that creates the part, and so requires its absence, could be executed after
//! the deletion and restore attempts that have ended since.

mod split;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::StateLimits;
use crate::domain::{Attempt, BlockId, FencingToken, MachineId};
use crate::store::cache::Parts;
use crate::store::records::{
    AttemptEncoding, BlockPlacements, FIRST_PART, Part, PlacementsFence, done_entry_size,
    placements_fence_key, placements_part_key,
};
use crate::store::{Transaction, Versioned, WatchCache};

/// Finished tasks that are recorded elsewhere are removed when their part is written anyway, or when it has reached this
/// fraction of its size limit. Until then they do no harm, and pruning a part costs one change.
const PRUNE_FILL_RATIO: f64 = 0.6;
/// The changes that delete a part: one of the part and one of the write fence.
const CHANGES_PER_DELETION: usize = 2;
/// A transaction that splits an oversized value needs one change to copy entries to a new part and, in the end, those
/// that delete the value.
const MIN_CHANGES_PER_TRANSACTION: usize = CHANGES_PER_DELETION;
/// The weight of an ended attempt that blocks the placement of another task on its machine; other ended attempts weigh 1.
const BLOCKING_END_WEIGHT: usize = 4;
/// Added to the computed growth of a part, for overhead that the computation does not include.
const SIZE_MARGIN_BYTES: usize = 64;

/// The limits on one value and on one transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartLimits {
    /// The maximum size of one value, in bytes.
    pub(super) max_value_bytes: usize,
    /// The maximum number of parts that one transaction changes.
    pub(super) max_changes: usize,
    /// Whether the placements may be stored in more than the first part.
    pub(super) multiple_parts: bool,
}

impl PartLimits {
    /// `max_changes`: the maximum number of changes that the write rate allows for a transaction.
    pub(super) fn new(limits: &StateLimits, max_changes: usize, multiple_parts: bool) -> Self {
        let changes = max_changes.clamp(MIN_CHANGES_PER_TRANSACTION, limits.txn_ops);
        PartLimits {
            max_value_bytes: limits.value_bytes,
            max_changes: if multiple_parts { changes } else { 1 },
            multiple_parts,
        }
    }
}

/// A recorded attempt that is proven to have ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedPlacement<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) attempt: Attempt,
    /// Whether its task has to be recorded as finished.
    pub(super) done: bool,
    /// Whether another task has to be placed on its machine.
    pub(super) blocks_placement: bool,
}

/// The ended attempts of one part, with the sum of their weights.
#[derive(Debug, Default)]
struct WeightedEnds<'a> {
    weight: usize,
    ends: Vec<EndedPlacement<'a>>,
}

/// Merges all parts.
pub(super) fn merged(parts: &Parts<BlockPlacements>) -> BlockPlacements {
    let mut merged = BlockPlacements::default();
    parts.values().for_each(|part| merged.merge(&part.value));
    merged
}

/// A transaction on a block's parts, from its preparation until its outcome is known.
#[derive(Debug, Clone)]
pub(super) struct PartsTransaction {
    limits: PartLimits,
    /// The parts as the transaction leaves them.
    parts: Parts<BlockPlacements>,
    /// The parts that the transaction writes or deletes.
    changed: BTreeSet<Part>,
    /// Whether the transaction writes the block's write fence.
    writes_fence: bool,
}

impl PartsTransaction {
    /// Creates a transaction that only writes the parts in `undecided`, which a transaction of unknown outcome changes.
    /// Writing them again decides the outcome: one of the two transactions fails.
    pub(super) fn new(
        parts: &Parts<BlockPlacements>,
        limits: PartLimits,
        undecided: &BTreeSet<Part>,
    ) -> Self {
        let mut transaction = PartsTransaction {
            limits,
            parts: parts.clone(),
            changed: undecided.clone(),
            writes_fence: false,
        };
        for part in undecided {
            transaction.parts.entry(*part).or_insert_with(empty_part);
        }
        transaction
    }

    /// Whether the transaction changes anything.
    pub(super) fn has_changes(&self) -> bool {
        !self.changed.is_empty() || self.writes_fence
    }

    /// Whether the transaction writes the block's write fence.
    pub(super) fn writes_fence(&self) -> bool {
        self.writes_fence
    }

    /// Whether the transaction writes the block's write fence and nothing else.
    pub(super) fn only_writes_fence(&self) -> bool {
        self.writes_fence && self.changed.is_empty()
    }

    /// Returns the parts that the transaction writes or deletes.
    pub(super) fn changed(&self) -> &BTreeSet<Part> {
        &self.changed
    }

    /// Returns the placements as the transaction leaves them.
    pub(super) fn merged(&self) -> BlockPlacements {
        merged(&self.parts)
    }

    /// Returns the maximum number of parts that the transaction may change.
    pub(super) fn max_changes(&self) -> usize {
        self.limits.max_changes
    }

    fn may_change(&self, part: Part) -> bool {
        self.changed.contains(&part) || self.changed.len() < self.limits.max_changes
    }

    /// Removes ended attempts within the limit on changed parts, beginning with the parts of the greatest weight.
    pub(super) fn remove_ended(&mut self, ended: Vec<EndedPlacement<'_>>) {
        let mut by_part: BTreeMap<Part, WeightedEnds<'_>> = BTreeMap::new();
        for end in ended {
            let mut parts = self.parts.iter();
            let holding =
                parts.find(|(_, part)| contains_attempt(&part.value, end.machine, end.attempt));
            let Some((index, _)) = holding else {
                continue;
            };
            let part_ends = by_part.entry(*index).or_default();
            part_ends.weight += if end.blocks_placement {
                BLOCKING_END_WEIGHT
            } else {
                1
            };
            part_ends.ends.push(end);
        }
        let mut by_weight: Vec<WeightedEnds<'_>> = by_part.into_values().collect();
        by_weight.sort_by_key(|part_ends| Reverse(part_ends.weight));
        for end in by_weight.into_iter().flat_map(|part_ends| part_ends.ends) {
            self.remove(end.machine, end.attempt, end.done);
        }
    }

    /// Removes an ended attempt, and records its task as finished if `done` is set. Returns false if the attempt is not
    /// recorded, or if no more parts can be changed.
    fn remove(&mut self, machine: &MachineId, attempt: Attempt, done: bool) -> bool {
        let holding: Vec<Part> = self
            .parts
            .iter()
            .filter(|(_, part)| contains_attempt(&part.value, machine, attempt))
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
        let prune_threshold_bytes = self.limits.max_value_bytes as f64 * PRUNE_FILL_RATIO;
        let indexes: Vec<Part> = self.parts.keys().copied().collect();
        for index in indexes {
            let may_change = self.may_change(index);
            let Some(part) = self.parts.get_mut(&index) else {
                continue;
            };
            let should_prune = !self.limits.multiple_parts
                || self.changed.contains(&index)
                || part.value.worst_case_size() as f64 > prune_threshold_bytes;
            if part.value.done.is_empty() || !should_prune || !may_change {
                continue;
            }
            let mut pruned = part.value.clone();
            cache.remove_recorded_tasks(&mut pruned);
            if pruned != part.value {
                part.value = pruned;
                self.changed.insert(index);
            }
        }
    }

    /// Records an attempt in a part with space: preferably one that is changed anyway, otherwise the smallest,
    /// otherwise a new one. Returns false if this transaction has no space for it.
    pub(super) fn add(&mut self, machine: &MachineId, attempt: Attempt) -> bool {
        let Some(index) = self.choose_part(machine, attempt) else {
            return false;
        };
        let part = self.parts.entry(index).or_insert_with(empty_part);
        part.value.add(machine, attempt);
        self.changed.insert(index);
        true
    }

    /// Returns the number after that of the last part.
    fn next_part(&self) -> Part {
        self.parts
            .last_key_value()
            .map_or(FIRST_PART, |(last, _)| last + 1)
    }

    /// Returns the part in which to record an attempt, if there is one with space that the transaction may change.
    fn choose_part(&self, machine: &MachineId, attempt: Attempt) -> Option<Part> {
        let changeable = self
            .parts
            .iter()
            .filter(|(index, _)| self.may_change(**index));
        let with_space = changeable.filter_map(|(index, part)| {
            let size = part.value.worst_case_size();
            let fits = size + worst_case_growth(&part.value, machine, attempt)
                <= self.limits.max_value_bytes;
            fits.then_some((!self.changed.contains(index), size, *index))
        });
        let emptiest = with_space.min().map(|(_, _, index)| index);
        emptiest.or_else(|| {
            let next = self.next_part();
            let allowed = next == FIRST_PART || self.limits.multiple_parts;
            (allowed && self.may_change(next)).then_some(next)
        })
    }

    /// Adds the conditions on the parts and the changes to a transaction of the state service. `token`: of the block's
    /// holder. `old`: the parts from which this one was made.
    pub(super) fn add_to(
        &self,
        block: &BlockId,
        token: FencingToken,
        old: &Parts<BlockPlacements>,
        mut txn: Transaction,
    ) -> Transaction {
        if self.writes_fence {
            txn = txn.put(placements_fence_key(block), &PlacementsFence { token });
        }
        for index in &self.changed {
            let key = placements_part_key(block, *index);
            txn = txn.require_version(key.clone(), old.get(index).map_or(0, |part| part.version));
            txn = match self.parts.get(index) {
                Some(part) => txn.put(key, &part.value),
                None => txn.delete(key),
            };
        }
        txn
    }

    /// Returns the parts after the transaction was committed with this revision.
    pub(super) fn into_committed(mut self, revision: u64) -> Parts<BlockPlacements> {
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

fn contains_attempt(placements: &BlockPlacements, machine: &MachineId, attempt: Attempt) -> bool {
    placements
        .attempts_by_machine
        .get(machine)
        .is_some_and(|list| list.contains(&AttemptEncoding(attempt)))
}

/// Returns by how many bytes one more attempt may enlarge a part, including the record of its finished task.
fn worst_case_growth(placements: &BlockPlacements, machine: &MachineId, attempt: Attempt) -> usize {
    let entry = if placements.attempts_by_machine.contains_key(machine) {
        0
    } else {
        machine.0.len() + 8
    };
    entry + AttemptEncoding(attempt).size() + done_entry_size(attempt.task.job) + SIZE_MARGIN_BYTES
}

#[cfg(test)]
mod tests;
