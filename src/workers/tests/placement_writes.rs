//! Tests of the transactions on placements.

use super::*;
use crate::store::records::{FORMAT_KEY, FormatSwitch, PARTS_FORMAT};

/// A placement must not be committed if one of its jobs was cancelled before, even if the cached records do not show
/// that.
#[test]
fn a_placement_is_conditional_on_the_versions_of_its_jobs() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.now.monotonic += WRITE_CHECK_INTERVAL;
    let transaction = holder.fleet.next_transaction(
        holder.now,
        &holder.config,
        SPARE_WRITES,
        &mut holder.cache,
        &holder.catalog,
    );
    let Some((_, StoreRequest::Commit(txn))) = transaction else {
        panic!("a transaction must be due: {transaction:?}")
    };
    let version = holder.cache.open_jobs[&JobId(1)].version;
    assert!(
        txn.conditions.contains(&(job_key(JobId(1)), version)),
        "{:?}",
        txn.conditions
    );
}

/// Found on the bench: blocks that kept getting assignments from the leader wrote first each time, and the ended tasks of
/// another block were not recorded for over a minute.
#[test]
fn blocks_with_changes_write_in_turn() {
    let mut holder = Holder::new(Job {
        tasks: 50,
        ..job(1, 0.1)
    });
    holder.put_inventory("a.1", &["m-3"]);
    holder.grant_block_lease("a.1", FencingToken(5));
    holder.send_heartbeat("m-3", FencingToken(5), &[]);
    // Each round brings new assignments for both blocks, but only one transaction can be sent.
    let mut written: HashMap<BlockId, usize> = HashMap::new();
    for round in 0..8 {
        for (block, machine) in [("a.0", "m-1"), ("a.1", "m-3")] {
            let lease_version = holder.fleet.lease_version(&block.into());
            let index = round * 2 + u32::from(block == "a.1");
            let attempt = Attempt {
                task: TaskId {
                    job: JobId(1),
                    index,
                },
                number: u64::from(index) + 20,
            };
            let assignments = vec![Assignment {
                attempt,
                machine: machine.into(),
            }];
            let number = u64::from(round) + 1;
            let update = AssignmentUpdate {
                block: block.into(),
                ..assignment_update(lease_version, number, assignments)
            };
            assert!(holder.fleet.apply_assignments(update));
        }
        holder.now.monotonic += WRITE_CHECK_INTERVAL;
        let transaction = holder.fleet.next_transaction(
            holder.now,
            &holder.config,
            SPARE_WRITES,
            &mut holder.cache,
            &holder.catalog,
        );
        let (block, _) = transaction.expect("a transaction must be due");
        let lease_version = holder.fleet.lease_version(&block);
        *written.entry(block.clone()).or_default() += 1;
        holder.keys.revision += 1;
        let revision = holder.keys.revision;
        holder.fleet.apply_write_outcome(
            holder.now,
            &block,
            lease_version,
            &StoreResponse::Committed { revision },
        );
    }
    assert_eq!(written.values().min(), Some(&4), "{written:?}");
}

/// Found on the bench: each ended attempt was recorded by a write of its own, and placements waited up to two seconds
/// for a write.
#[test]
fn ended_attempts_are_batched_while_there_are_no_spare_writes() {
    let mut holder = Holder::new(Job {
        tasks: 3,
        ..job(1, 0.1)
    });
    holder.assign_task(20, "m-1", 1);
    assert_eq!(holder.commit_due_writes().len(), 1);
    holder.send_heartbeat(
        "m-1",
        FencingToken(4),
        &[(20, TaskState::Exited, Some(ExitCause::Done))],
    );
    let no_spare_writes = WriteAllowance {
        has_spare_writes: false,
        ..SPARE_WRITES
    };
    let mut has_transaction = |allowance: WriteAllowance, elapsed: Duration| {
        holder.now.monotonic += elapsed;
        let Holder {
            fleet,
            now,
            config,
            cache,
            catalog,
            ..
        } = &mut holder;
        fleet
            .next_transaction(*now, config, allowance, cache, catalog)
            .is_some()
    };
    assert!(
        !has_transaction(no_spare_writes, WRITE_CHECK_INTERVAL),
        "the block must wait for more ended attempts after a recent write"
    );
    assert!(
        has_transaction(no_spare_writes, Duration::from_secs(1)),
        "the block must write again after the batch interval"
    );
}

#[test]
fn ended_attempts_are_recorded_at_once_with_spare_writes_or_with_placements() {
    for has_placements in [false, true] {
        let mut holder = Holder::new(Job {
            tasks: 3,
            ..job(1, 0.1)
        });
        holder.assign_task(20, "m-1", 1);
        assert_eq!(holder.commit_due_writes().len(), 1);
        holder.send_heartbeat(
            "m-1",
            FencingToken(4),
            &[(20, TaskState::Exited, Some(ExitCause::Done))],
        );
        if has_placements {
            holder.assign_task(21, "m-2", 2);
        }
        holder.now.monotonic += WRITE_CHECK_INTERVAL;
        let allowance = WriteAllowance {
            has_spare_writes: !has_placements,
            ..SPARE_WRITES
        };
        let transaction = holder.fleet.next_transaction(
            holder.now,
            &holder.config,
            allowance,
            &mut holder.cache,
            &holder.catalog,
        );
        assert!(transaction.is_some(), "has_placements: {has_placements}");
    }
}

/// A transaction whose response was lost can still be executed, whatever the outcome of the next one. Until that is
/// decided, the leader must not release its tasks again.
#[test]
fn a_placement_of_unknown_outcome_stays_pending_when_the_next_write_is_refused() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(20, "m-1", 1);
    let write_with_outcome = |holder: &mut Holder, outcome: StoreResponse| {
        holder.now.monotonic += Duration::from_secs(1);
        holder.cache.set_current_as_of(holder.now.monotonic);
        let Holder {
            fleet,
            now,
            config,
            cache,
            catalog,
            ..
        } = holder;
        let (block, _) = fleet
            .next_transaction(*now, config, SPARE_WRITES, cache, catalog)
            .expect("a transaction must be due");
        let lease_version = fleet.lease_version(&block);
        fleet.apply_write_outcome(*now, &block, lease_version, &outcome);
    };
    let policy = Policy::built_in(&holder.config);
    write_with_outcome(&mut holder, StoreResponse::Unknown);
    // The leader withdraws the assignment.
    let lease_version = holder.fleet.lease_version(&"a.0".into());
    assert!(
        holder
            .fleet
            .apply_assignments(assignment_update(lease_version, 2, Vec::new()))
    );
    for outcome in [
        StoreResponse::Refused,
        StoreResponse::Conflict,
        StoreResponse::Refused,
    ] {
        write_with_outcome(&mut holder, outcome);
        let status = holder
            .fleet
            .prepare_block_statuses(holder.now, &policy)
            .remove(0);
        assert_eq!(status.pending, [20]);
    }
    // The next committed transaction decides the outcome.
    let revision = holder.keys.revision + 1;
    write_with_outcome(&mut holder, StoreResponse::Committed { revision });
    let status = holder
        .fleet
        .prepare_block_statuses(holder.now, &policy)
        .remove(0);
    assert_eq!(status.pending, [] as [u64; 0]);
}

/// Guards against tasks that count as ended, and run twice, because a second block lists the machine that they run on.
#[test]
fn a_machine_that_another_block_lists_too_is_no_proof_that_its_tasks_have_ended() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(1, "m-1", 1);
    let running = [("m-1".to_owned(), 1)];
    assert_eq!(holder.commit_due_writes(), running);
    holder.put_inventory("a.1", &["m-1"]);
    assert_eq!(holder.commit_due_writes(), running);
    holder.put_inventory("a.0", &["m-2"]);
    assert_eq!(holder.commit_due_writes(), running, "still in block a.1");
    holder.put_inventory("a.1", &[]);
    assert_eq!(holder.commit_due_writes(), [], "deleted");
}

/// Guards against ended attempts that are recorded again, and run twice, by a transaction executed late that requires the
/// absence of a value which was divided and deleted since.
#[test]
fn a_first_write_executed_late_fails_after_its_value_was_divided() {
    let mut holder = Holder::new(Job {
        tasks: TASKS_OF_LARGE_VALUE + 1,
        ..job(1, 0.1)
    });
    holder.assign((0..TASKS_OF_LARGE_VALUE).map(assignment).collect(), 1);
    let late_transaction = holder.send_without_response();
    assert!(holder.keys.conditions_hold(&late_transaction));
    // The same value is written again.
    assert_eq!(
        holder.commit_due_writes().len(),
        TASKS_OF_LARGE_VALUE as usize
    );
    assert!(!holder.keys.conditions_hold(&late_transaction));
    // It is divided, once the limits are lower and something has to be written.
    holder.lower_limits();
    holder.assign(vec![assignment(TASKS_OF_LARGE_VALUE)], 2);
    assert!(holder.records_within_limits(TASKS_OF_LARGE_VALUE + 1));
    assert!(!holder.keys.conditions_hold(&late_transaction));
}

/// Guards against blocks whose placements are never written again, because the repeat of a lost transaction contains a
/// value above the lowered limits.
#[test]
fn an_oversized_value_is_divided_after_its_last_transaction_was_lost() {
    let mut holder = Holder::new(Job {
        tasks: TASKS_OF_LARGE_VALUE + 2,
        ..job(1, 0.1)
    });
    holder.assign((0..TASKS_OF_LARGE_VALUE).map(assignment).collect(), 1);
    holder.commit_due_writes();
    holder.assign(vec![assignment(TASKS_OF_LARGE_VALUE)], 2);
    holder.send_without_response();
    holder.lower_limits();
    assert!(holder.records_within_limits(TASKS_OF_LARGE_VALUE + 1));
}

/// Enough tasks that their value exceeds the lowered limit by far.
const TASKS_OF_LARGE_VALUE: u32 = 80;

/// Assigns a task of job 1.
fn assignment(index: u32) -> Assignment {
    let task = TaskId {
        job: JobId(1),
        index,
    };
    Assignment {
        attempt: Attempt {
            task,
            number: u64::from(index) + 20,
        },
        machine: "m-1".into(),
    }
}

impl Holder {
    /// Sends the next transaction, which gets no response. Returns it: it may still be executed.
    fn send_without_response(&mut self) -> Transaction {
        self.now.monotonic += WRITE_CHECK_INTERVAL;
        let (block, transaction) = self.next_transaction().expect("a transaction must be due");
        let lease_version = self.fleet.lease_version(&block);
        self.fleet
            .apply_write_outcome(self.now, &block, lease_version, &StoreResponse::Unknown);
        self.wait_for_cache();
        transaction
    }

    /// Lets time pass until the cache contains all that was committed before.
    fn wait_for_cache(&mut self) {
        self.now.monotonic += Duration::from_secs(1);
        self.cache.set_current_as_of(self.now.monotonic);
    }

    /// Switches parts on, and lowers the limits so that a large value needs several transactions to be divided.
    fn lower_limits(&mut self) {
        let switch = FormatSwitch {
            version: PARTS_FORMAT,
        };
        self.put_record(FORMAT_KEY.to_owned(), encode(&switch));
        self.config.state_limits.value_bytes = 512;
        self.config.state_limits.txn_ops = 4;
    }

    /// Whether this number of attempts is recorded after some writes, in several parts that are all within the limit.
    fn records_within_limits(&mut self, attempts: u32) -> bool {
        (0..20).any(|_| {
            self.wait_for_cache();
            let recorded = self.commit_due_writes().len();
            let parts = self.cache.placements_parts(&"a.0".into());
            let limit = self.config.state_limits.value_bytes;
            recorded == attempts as usize
                && parts.is_some_and(|parts| {
                    parts.len() > 2 && parts.values().all(|part| part.value.size() <= limit)
                })
        })
    }
}
