//! What the records say of a block's tasks.

use std::collections::BTreeMap;

use crate::domain::{Attempt, BlockId, MachineId, TaskId};
use crate::store::WatchCache;
use crate::store::cache::Parts;
use crate::store::records::BlockPlacements;
use crate::workers::parts::{PartsTransaction, merged};

/// The recorded placements of a block, as of our last own write or the last copy that we have read.
#[derive(Debug)]
pub(in crate::workers) struct RecordedPlacements {
    /// All parts together.
    placements: BlockPlacements,
    /// The version of the last change to any part.
    version: u64,
    parts: Parts<BlockPlacements>,
}

impl RecordedPlacements {
    /// The placements of a block as the cache holds them.
    pub(in crate::workers) fn read(cache: &WatchCache, block: &BlockId) -> Self {
        let placements = cache.placements.get(block);
        RecordedPlacements {
            placements: placements
                .map(|placements| placements.value.clone())
                .unwrap_or_default(),
            version: placements.map_or(0, |placements| placements.version),
            parts: cache.placements_parts(block).cloned().unwrap_or_default(),
        }
    }

    /// Takes over what a transaction has committed.
    pub(super) fn apply_commit(&mut self, parts: PartsTransaction, revision: u64) {
        self.parts = parts.into_committed(revision);
        self.placements = merged(&self.parts);
        self.version = revision;
    }

    /// The version of the last change to any part.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// The values that the placements are kept in.
    pub(super) fn parts(&self) -> &Parts<BlockPlacements> {
        &self.parts
    }

    /// All attempts, with the machines that they are placed on.
    pub(in crate::workers) fn attempts(&self) -> impl Iterator<Item = (&MachineId, Attempt)> {
        self.placements.attempts()
    }

    /// The machines that have attempts.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.placements.on.keys()
    }

    /// The attempts on a machine, in the order of their record.
    pub(in crate::workers) fn attempts_on(
        &self,
        machine: &MachineId,
    ) -> impl Iterator<Item = Attempt> {
        let list = self.placements.on.get(machine);
        list.into_iter().flatten().map(|placed| placed.0)
    }

    /// The number of the recorded attempt of each task on a machine.
    pub(super) fn attempt_numbers_on(&self, machine: &MachineId) -> BTreeMap<TaskId, u64> {
        self.attempts_on(machine)
            .map(|attempt| (attempt.task, attempt.number))
            .collect()
    }

    /// Whether the attempt is recorded on this machine.
    pub(in crate::workers) fn contains(&self, machine: &MachineId, attempt: &Attempt) -> bool {
        self.attempts_on(machine).any(|placed| placed == *attempt)
    }

    /// Whether finished tasks are recorded that may be recorded elsewhere by now.
    pub(super) fn has_finished_tasks(&self) -> bool {
        !self.placements.done.is_empty()
    }
}
