//! Which finished tasks are compacted and which are not.

use super::*;
use crate::config::tests::SETTINGS;
use crate::domain::{Attempt, MachineId, TaskId};
use crate::placement::tests::job;
use crate::store::Change;
use crate::store::records::{JobRecord, encode, job_key, placements_key};

const BLOCK: &str = "a.0";
const JOB: JobId = JobId(1);

struct BlockFixture {
    config: Config,
    cache: WatchCache,
    version: u64,
}

impl BlockFixture {
    /// A block with as many running tasks as fill this part of its value's size limit, and with these finished tasks.
    fn new(running_ratio: f64, finished: impl IntoIterator<Item = u32>) -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the sample settings are valid");
        let mut block = BlockFixture {
            cache: WatchCache::loaded_for_tests(),
            version: 0,
            config,
        };
        block.put(job_key(JOB), encode(&JobRecord::Open(job(100_000, 0.1))));
        let mut placements = BlockPlacements::default();
        let limit = block.config.state_limits.value_bytes as f64;
        let machine = MachineId::from("m-1");
        for index in 50_000.. {
            if placements.worst_case_size() as f64 >= limit * running_ratio {
                break;
            }
            placements.add(
                &machine,
                Attempt {
                    task: TaskId { job: JOB, index },
                    number: u64::from(index),
                },
            );
        }
        for index in finished {
            placements.done.entry(JOB).or_default().insert(index);
        }
        block.put(placements_key(&BLOCK.into()), encode(&placements));
        block
    }

    fn put(&mut self, key: String, value: ciborium::Value) {
        self.version += 1;
        self.cache.apply(Change {
            key,
            version: self.version,
            value: Some(value),
        });
    }

    fn compacted_keys(&self) -> Vec<String> {
        let txn = compact(&self.config, &self.cache, Transaction::default(), 16);
        txn.conditions.into_iter().map(|(key, _)| key).collect()
    }
}

/// `count` even task indexes from 0 on: they form no ranges, so each takes space of its own.
fn even_indexes(count: u32) -> impl Iterator<Item = u32> {
    (0..count).map(|n| 2 * n)
}

#[test]
fn finished_tasks_of_a_nearly_full_block_are_compacted_by_chunk() {
    let block = BlockFixture::new(0.6, even_indexes(300));
    assert_eq!(
        block.compacted_keys(),
        [progress_key(JOB, 0), progress_key(JOB, 1)]
    );
}

#[test]
fn a_block_that_is_not_nearly_full_is_not_compacted() {
    assert_eq!(
        BlockFixture::new(0.2, even_indexes(300)).compacted_keys(),
        [] as [String; 0]
    );
}

/// Seen in an incident: blocks were full of running tasks, each task that ended was recorded by a change of its own,
/// and for six minutes the leader had no writes left for its own blocks.
#[test]
fn a_block_full_of_running_tasks_is_not_compacted_for_a_few_finished_ones() {
    assert_eq!(
        BlockFixture::new(0.95, even_indexes(10)).compacted_keys(),
        [] as [String; 0]
    );
}

/// Seen in the same incident: compacted tasks remain in the block's value until its holder writes the value again. They
/// must not be counted as finished tasks that compaction would remove.
#[test]
fn finished_tasks_already_in_progress_records_are_not_compacted_again() {
    let mut block = BlockFixture::new(0.6, even_indexes(300));
    for chunk in 0..2 {
        let mut progress = Progress::default();
        even_indexes(300)
            .filter(|index| index / TASKS_PER_PROGRESS_CHUNK == chunk)
            .for_each(|index| progress.done.insert(index));
        block.put(progress_key(JOB, chunk), encode(&progress));
    }
    assert_eq!(block.compacted_keys(), [] as [String; 0]);
    // A few more tasks have ended since, too few to be compacted.
    let mut placements = block.cache.placements[&BLOCK.into()].value.clone();
    for index in [1001, 1003, 1005] {
        placements.done.entry(JOB).or_default().insert(index);
    }
    block.put(placements_key(&BLOCK.into()), encode(&placements));
    assert_eq!(block.compacted_keys(), [] as [String; 0]);
}
