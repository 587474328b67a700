//! Indexes derived from the records and the queries on them: the attempts of a job, the machines
//! with tasks, the parts of a block, finished tasks that are recorded twice.
//!
//! [`PlacementIndex`] is modified by [`super::apply`] only; the queries of [`WatchCache`] are used
//! by all modules.

use std::collections::{BTreeMap, HashMap};

use super::{Machine, Parts, Versioned, WatchCache};
use crate::domain::{Attempt, BlockId, JobId, MachineId};
use crate::store::records::{
    AttemptEncoding, BlockPlacements, MachineInventory, Part, TASKS_PER_PROGRESS_CHUNK, TaskRanges,
};

/// The machine and the block that an attempt is placed in.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The block whose placements contain the attempt.
    pub block: BlockId,
    /// The machine, which may have been removed already.
    pub machine: MachineId,
}

/// A job's attempts in the placements of all blocks, by task index and attempt number. A lost
/// attempt, whose machine's record has been removed, may still be listed next to the attempt that
/// replaced it.
pub type JobPlacements = BTreeMap<(u32, u64), Placement>;

static EMPTY_JOB_PLACEMENTS: JobPlacements = BTreeMap::new();

/// A machine that may run tasks, with the attempts placed on it.
#[derive(Debug, Clone, Copy)]
pub struct MachinePlacements<'cache> {
    /// The block that contains the machine.
    pub block: &'cache BlockId,
    /// The machine's id.
    pub id: &'cache MachineId,
    /// The machine.
    pub machine: &'cache Machine,
    attempts: &'cache [AttemptEncoding],
}

impl<'cache> MachinePlacements<'cache> {
    /// The attempts that are placed on the machine.
    pub fn attempts(&self) -> impl Iterator<Item = Attempt> + use<'cache> {
        self.attempts.iter().map(|placed| placed.0)
    }
}

/// The attempts in the placements of all blocks, by job. A job without attempts has no entry.
#[derive(Debug, Default)]
pub(super) struct PlacementIndex {
    by_job: HashMap<JobId, JobPlacements>,
}

impl PlacementIndex {
    pub(super) fn insert(&mut self, attempt: Attempt, placement: Placement) {
        let job_placements = self.by_job.entry(attempt.task.job).or_default();
        job_placements.insert((attempt.task.index, attempt.number), placement);
    }

    pub(super) fn remove(&mut self, attempt: Attempt) {
        if let Some(job_placements) = self.by_job.get_mut(&attempt.task.job) {
            job_placements.remove(&(attempt.task.index, attempt.number));
            if job_placements.is_empty() {
                self.by_job.remove(&attempt.task.job);
            }
        }
    }

    fn get(&self, job: JobId) -> &JobPlacements {
        self.by_job.get(&job).unwrap_or(&EMPTY_JOB_PLACEMENTS)
    }
}

impl WatchCache {
    /// The stored parts of a block's placements.
    pub fn placements_parts(&self, block: &BlockId) -> Option<&Parts<BlockPlacements>> {
        self.placements_parts.get(block)
    }

    /// The stored parts of a block's inventory.
    pub fn inventory_parts(&self, block: &BlockId) -> Option<&Parts<MachineInventory>> {
        self.inventory_parts.get(block)
    }

    /// The part of the block's inventory that contains a machine. While the machine is moved
    /// between parts, the last of them.
    pub fn inventory_part_of(&self, block: &BlockId, machine: &MachineId) -> Option<Part> {
        let mut parts = self.inventory_parts(block)?.iter().rev();
        let (part, _) = parts.find(|(_, part)| part.value.machines.contains_key(machine))?;
        Some(*part)
    }

    /// The stored parts of all blocks' placements.
    pub fn all_placements_parts(&self) -> impl Iterator<Item = &Versioned<BlockPlacements>> {
        self.placements_parts.values().flat_map(BTreeMap::values)
    }

    /// The revision up to which the cache contains all changes of a block's placements. Parts that
    /// were read during a load can be newer than others, so the merged placements are incomplete
    /// until the cache has caught up.
    pub fn placements_revision(&self, block: &BlockId) -> u64 {
        let version = self
            .placements
            .get(block)
            .map_or(0, |placements| placements.version);
        let parts = self.placements_parts.get(block).map_or(0, BTreeMap::len);
        if parts > 1 {
            version.min(self.revision)
        } else {
            version
        }
    }

    /// The placements of a job's attempts, including attempts that are proven ended because their
    /// machine has been removed.
    pub fn job_placements(&self, job: JobId) -> &JobPlacements {
        self.placement_index.get(job)
    }

    /// The machines that may run tasks, with their attempts. Machines without a record are left
    /// out, since their tasks are proven ended.
    pub fn live_placements(&self) -> impl Iterator<Item = MachinePlacements<'_>> {
        self.placements.iter().flat_map(move |(block, placements)| {
            placements
                .value
                .attempts_by_machine
                .iter()
                .filter_map(move |(id, attempts)| {
                    let machine = self.machines.get(id)?;
                    Some(MachinePlacements {
                        block,
                        id,
                        machine,
                        attempts,
                    })
                })
        })
    }

    /// Removes finished tasks that are recorded elsewhere: those of ended jobs and those in the
    /// progress of their job.
    pub fn remove_recorded_tasks(&self, placements: &mut BlockPlacements) {
        placements.done.retain(|job, done| {
            if self.ended_jobs.contains_key(job) {
                return false;
            }
            if self
                .progress
                .range((*job, 0)..=(*job, u32::MAX))
                .next()
                .is_none()
            {
                return true;
            }
            *done = self.unrecorded_tasks(*job, done);
            !done.is_empty()
        });
    }

    fn unrecorded_tasks(&self, job: JobId, done: &TaskRanges) -> TaskRanges {
        let mut unrecorded = TaskRanges::default();
        for index in done.0.iter().flat_map(Clone::clone) {
            let progress = self.progress.get(&(job, index / TASKS_PER_PROGRESS_CHUNK));
            if !progress.is_some_and(|progress| progress.value.done.contains(index)) {
                unrecorded.insert(index);
            }
        }
        unrecorded
    }
}
