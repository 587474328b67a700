//! Compaction of completions: moves finished tasks from the values of nearly full blocks to the progress records of
//! their jobs.
//!
//! Each chunk of progress costs a change in a transaction, and a job that ends soon needs no progress record. Finished
//! tasks are therefore compacted only where that frees much space. Called for the scheduler's next transaction when no
//! job has ended.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::config::Config;
use crate::domain::JobId;
use crate::store::records::{
    BlockPlacements, PARTS_FORMAT, Progress, TASKS_PER_PROGRESS_CHUNK, TaskRanges, progress_key,
};
use crate::store::{Transaction, WatchCache};

/// Finished tasks of a block are compacted when the worst-case size of its value exceeds this part of the size limit
/// and they take at least the part below.
const NEARLY_FULL_RATIO: f64 = 0.8;
/// The least part of the size limit that finished tasks must take to be compacted. A block that is full of running
/// tasks gains nothing from compaction: each finished task would be recorded in a change of its own.
const MIN_FINISHED_RATIO: f64 = 0.15;
/// The same where a block may have several values: adding a value then gains space for finished tasks more cheaply than
/// compaction.
const MIN_FINISHED_RATIO_DIVIDED: f64 = 0.5;

/// Adds the progress records of chunks to be compacted to the transaction, up to `max_changes` changes in all.
pub(super) fn compact(
    config: &Config,
    cache: &WatchCache,
    mut txn: Transaction,
    max_changes: usize,
) -> Transaction {
    let limit = config.state_limits.value_bytes as f64;
    let min_finished_ratio = if cache.format() >= PARTS_FORMAT {
        MIN_FINISHED_RATIO_DIVIDED
    } else {
        MIN_FINISHED_RATIO
    };
    for placements in cache
        .all_placements_parts()
        .filter(|placements| placements.value.worst_case_size() as f64 > limit * NEARLY_FULL_RATIO)
    {
        let mut remaining = placements.value.clone();
        cache.remove_recorded_tasks(&mut remaining);
        if (remaining.done_size() as f64) < limit * min_finished_ratio {
            continue;
        }
        for (job, chunk) in chunks_by_finished_size(&remaining) {
            if txn.changes.len() >= max_changes {
                return txn;
            }
            txn = compact_chunk(cache, txn, job, chunk);
        }
    }
    txn
}

/// The chunks of progress that a block's finished tasks belong to. Jobs whose finished tasks take the most space come
/// first, since compacting them frees the most.
fn chunks_by_finished_size(placements: &BlockPlacements) -> Vec<(JobId, u32)> {
    let mut finished_by_job: Vec<(&JobId, &TaskRanges)> = placements.done.iter().collect();
    finished_by_job.sort_by_key(|(_, done)| Reverse(done.size()));
    let mut chunks = Vec::new();
    for (job, done) in finished_by_job {
        let job_chunks: BTreeSet<u32> = done
            .0
            .iter()
            .flat_map(|range| {
                (range.start() / TASKS_PER_PROGRESS_CHUNK)
                    ..=(range.end() / TASKS_PER_PROGRESS_CHUNK)
            })
            .collect();
        chunks.extend(job_chunks.into_iter().map(|chunk| (*job, chunk)));
    }
    chunks
}

/// Adds the progress record of a chunk with all its finished tasks, whichever blocks they finished in.
fn compact_chunk(cache: &WatchCache, txn: Transaction, job: JobId, chunk: u32) -> Transaction {
    let Some(open) = cache.open_jobs.get(&job) else {
        return txn;
    };
    let (first, last) = (
        chunk * TASKS_PER_PROGRESS_CHUNK,
        chunk * TASKS_PER_PROGRESS_CHUNK + TASKS_PER_PROGRESS_CHUNK - 1,
    );
    let mut progress = Progress::default();
    for range in open.done.0.overlapping(&(first..=last)) {
        progress
            .done
            .0
            .insert((*range.start()).max(first)..=(*range.end()).min(last));
    }
    let old = cache.progress.get(&(job, chunk));
    let key = progress_key(job, chunk);
    let recorded = old.is_some_and(|old| old.value == progress);
    if recorded || txn.conditions.iter().any(|(known, _)| *known == key) {
        return txn;
    }
    txn.require_version(key.clone(), old.map_or(0, |old| old.version))
        .put(key, &progress)
}

#[cfg(test)]
mod tests;
