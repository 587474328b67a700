//! The recorded placements of a block.

use std::collections::BTreeMap;

use crate::domain::{Attempt, BlockId, MachineId, TaskId};
use crate::store::WatchCache;
use crate::store::cache::{Parts, version_of};
use crate::store::records::BlockPlacements;
use crate::workers::parts::{PartsTransaction, merged};

/// The recorded placements of a block, as of this holder's last committed transaction or the last copy read from the
/// cache.
#[derive(Debug)]
pub(in crate::workers) struct RecordedPlacements {
    /// All parts merged.
    placements: BlockPlacements,
    /// The version of the last change to any part.
    version: u64,
    /// The version of the block's write fence.
    fence_version: u64,
    parts: Parts<BlockPlacements>,
}

impl RecordedPlacements {
    /// Reads the placements of a block from the cache.
    pub(in crate::workers) fn read(cache: &WatchCache, block: &BlockId) -> Self {
        let placements = cache.placements.get(block);
        RecordedPlacements {
            placements: placements
                .map(|placements| placements.value.clone())
                .unwrap_or_default(),
            version: placements.map_or(0, |placements| placements.version),
            fence_version: version_of(cache.placements_fences.get(block)),
            parts: cache.placements_parts(block).cloned().unwrap_or_default(),
        }
    }

    /// Replaces the placements by those that a committed transaction leaves.
    pub(super) fn apply_commit(&mut self, transaction: PartsTransaction, revision: u64) {
        if transaction.writes_fence() {
            self.fence_version = revision;
        }
        self.parts = transaction.into_committed(revision);
        self.placements = merged(&self.parts);
        self.version = revision;
    }

    /// Returns the version of the last change to any part.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the block's write fence, which all transactions on the placements require.
    pub(super) fn fence_version(&self) -> u64 {
        self.fence_version
    }

    /// Returns the parts that the placements are stored in.
    pub(super) fn parts(&self) -> &Parts<BlockPlacements> {
        &self.parts
    }

    /// Returns all attempts, with the machines that they are placed on.
    pub(in crate::workers) fn attempts(&self) -> impl Iterator<Item = (&MachineId, Attempt)> {
        self.placements.attempts()
    }

    /// Returns the machines that have attempts.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.placements.attempts_by_machine.keys()
    }

    /// Returns the attempts on a machine, in the order in which they are recorded.
    pub(in crate::workers) fn attempts_on(
        &self,
        machine: &MachineId,
    ) -> impl Iterator<Item = Attempt> {
        let list = self.placements.attempts_by_machine.get(machine);
        list.into_iter().flatten().map(|placed| placed.0)
    }

    /// Returns the number of the recorded attempt of each task on a machine.
    pub(super) fn attempt_numbers_on(&self, machine: &MachineId) -> BTreeMap<TaskId, u64> {
        self.attempts_on(machine)
            .map(|attempt| (attempt.task, attempt.number))
            .collect()
    }

    /// Whether the attempt is recorded on this machine.
    pub(in crate::workers) fn contains(&self, machine: &MachineId, attempt: &Attempt) -> bool {
        self.attempts_on(machine).any(|placed| placed == *attempt)
    }

    /// Whether the placements contain finished tasks, which may have been recorded elsewhere by now.
    pub(super) fn has_finished_tasks(&self) -> bool {
        !self.placements.done.is_empty()
    }
}
