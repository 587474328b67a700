//! Compaction of completions: finished tasks are moved from the values of blocks that are nearly full into their jobs' progress.
//!
//! Each chunk of progress costs a change, and jobs that are over soon need none, so this is done only where it frees
//! much. Called for the scheduler's next write when no job is over.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::config::Config;
use crate::domain::JobId;
use crate::store::records::{BlockPlacements, CHUNK, PARTS_FORMAT, Progress, Ranges, progress_key};
use crate::store::{Transaction, WatchCache};

/// A block's finished tasks are compacted when its value is this full of all that it may come to hold ...
const NEARLY_FULL_RATIO: f64 = 0.8;
/// ... and they take this much of it. A block that is full of running tasks alone gains nothing: its every finished task
/// would be recorded by itself.
const MIN_FINISHED_RATIO: f64 = 0.15;
const MIN_FINISHED_RATIO_DIVIDED: f64 = 0.5;

/// Adds to the transaction what should be compacted, up to `most` changes.
pub(super) fn compact(
    config: &Config,
    cache: &WatchCache,
    mut txn: Transaction,
    max_changes: usize,
) -> Transaction {
    let limit = config.state_limits.value_bytes as f64;
    // Where a block may have more values, room for finished tasks is had more cheaply than by compaction.
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
        cache.forget_recorded_ends(&mut remaining);
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

/// The chunks of progress that finished tasks of a block belong to; of the largest sets first, for they free the most.
fn chunks_by_finished_size(placements: &BlockPlacements) -> Vec<(JobId, u32)> {
    let mut sets: Vec<(&JobId, &Ranges)> = placements.done.iter().collect();
    sets.sort_by_key(|(_, done)| Reverse(done.size()));
    let mut chunks = Vec::new();
    for (job, done) in sets {
        let of_job: BTreeSet<u32> = done
            .0
            .iter()
            .flat_map(|range| (range.start() / CHUNK)..=(range.end() / CHUNK))
            .collect();
        chunks.extend(of_job.into_iter().map(|chunk| (*job, chunk)));
    }
    chunks
}

/// Records all finished tasks of a chunk, whichever blocks they finished in.
fn compact_chunk(cache: &WatchCache, txn: Transaction, job: JobId, chunk: u32) -> Transaction {
    let Some(open) = cache.open.get(&job) else {
        return txn;
    };
    let (first, last) = (chunk * CHUNK, chunk * CHUNK + CHUNK - 1);
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
    txn.when(key.clone(), old.map_or(0, |old| old.version))
        .put(key, &progress)
}

#[cfg(test)]
mod tests;
