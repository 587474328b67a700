//! Splits a value that is too large for the limits in force into several parts, over several transactions if necessary.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CHANGES_PER_DELETION, PartLimits, PartsTransaction, SIZE_MARGIN_BYTES, empty_part,
    worst_case_growth,
};
use crate::domain::JobId;
use crate::store::cache::Parts;
use crate::store::records::{BlockPlacements, Part, TaskRanges, done_entry_size};

/// The fraction of the size limit to which parts are filled when a value is split. The rest is for records of tasks that
/// finish there.
const SPLIT_FILL_RATIO: f64 = 0.7;

impl PartsTransaction {
    /// Creates a transaction that only splits an oversized value into other parts, if there is one.
    ///
    /// If there are parts in `undecided`, which a transaction of unknown outcome changes, it only writes the fence: an
    /// oversized part can't be written again, as others are to decide the outcome. The parts have to be read anew
    /// afterwards.
    pub(in crate::workers) fn split_oversized(
        parts: &Parts<BlockPlacements>,
        limits: PartLimits,
        undecided: &BTreeSet<Part>,
    ) -> Option<Self> {
        let (oversized, _) = parts.iter().find(|(_, part)| {
            limits.multiple_parts
                && part.value.size().max(part.value.worst_case_size()) > limits.max_value_bytes
        })?;
        let mut transaction = PartsTransaction::new(parts, limits, &BTreeSet::new());
        if undecided.is_empty() {
            transaction.split(*oversized);
        } else {
            transaction.writes_fence = true;
        }
        Some(transaction)
    }

    /// Copies entries of the oversized part that no other part contains to new parts, within the limits of the
    /// transaction. Deletes the oversized part once all its entries are copied.
    fn split(&mut self, oversized: Part) {
        let mut not_copied = self
            .parts
            .get(&oversized)
            .map(|part| part.value.clone())
            .unwrap_or_default();
        for (_, part) in self.parts.iter().filter(|(index, _)| **index != oversized) {
            subtract(&mut not_copied, &part.value);
        }
        let max_copies = self
            .limits
            .max_changes
            .saturating_sub(CHANGES_PER_DELETION)
            .max(1);
        let max_bytes = (self.limits.max_value_bytes as f64 * SPLIT_FILL_RATIO) as usize;
        while !not_copied.is_empty() && self.changed.len() < max_copies {
            let copied = take_entries(&mut not_copied, max_bytes);
            let next = self.next_part();
            let mut part = empty_part();
            part.value = copied;
            self.parts.insert(next, part);
            self.changed.insert(next);
        }
        let deletable = self.changed.len() + CHANGES_PER_DELETION <= self.limits.max_changes;
        if not_copied.is_empty() && deletable {
            self.parts.remove(&oversized);
            self.changed.insert(oversized);
            self.writes_fence = true;
        }
    }
}

/// Removes the entries that the other part contains as well.
fn subtract(placements: &mut BlockPlacements, other: &BlockPlacements) {
    for (machine, list) in &other.attempts_by_machine {
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

/// Removes and returns attempts, then finished tasks, up to this total size, but at least one entry.
fn take_entries(placements: &mut BlockPlacements, max_bytes: usize) -> BlockPlacements {
    let mut taken = BlockPlacements::default();
    while let Some((machine, list)) = placements.attempts_by_machine.pop_first() {
        let mut rest = list;
        while let Some(placed) = rest.pop() {
            if taken.worst_case_size() + worst_case_growth(&taken, &machine, placed.0) > max_bytes
                && !taken.is_empty()
            {
                rest.push(placed);
                placements.attempts_by_machine.insert(machine, rest);
                return taken;
            }
            taken.add(&machine, placed.0);
        }
    }
    take_finished_tasks(placements, &mut taken, max_bytes);
    taken
}

/// Moves finished tasks to `taken` up to this total size, but at least one range of them if `taken` is empty.
fn take_finished_tasks(
    placements: &mut BlockPlacements,
    taken: &mut BlockPlacements,
    max_bytes: usize,
) {
    let jobs: BTreeMap<JobId, TaskRanges> = std::mem::take(&mut placements.done);
    let mut size = taken.worst_case_size();
    for (job, done) in jobs {
        size += done_entry_size(job);
        for range in done.0.iter() {
            let single_range = TaskRanges([range.clone()].into_iter().collect());
            size += single_range.size();
            let target = if size + SIZE_MARGIN_BYTES > max_bytes && !taken.is_empty() {
                &mut placements.done
            } else {
                &mut taken.done
            };
            target.entry(job).or_default().merge(&single_range);
        }
    }
}
