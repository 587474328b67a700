//! Tests of releasing, stopping and completing gangs.

use super::super::tests::{Fixture, machine_id};
use super::*;
use crate::domain::Job;
use crate::placement::tests::job;
use crate::store::records::{BlockPlacements, JobRecord, encode, job_key, placements_key};

fn gang(tasks: u32, cpus: f64) -> Job {
    Job {
        kind: JobKind::Gang,
        checkpoint_every_s: 20.0,
        checkpoint_s: 2.0,
        ..job(tasks, cpus)
    }
}

fn assigned(count: u32) -> GangTaskSummary {
    GangTaskSummary {
        assigned: count,
        ..GangTaskSummary::default()
    }
}

#[test]
fn gang_state_follows_the_assigned_tasks() {
    assert_eq!(GangState::of(3, assigned(0)), GangState::Queued);
    assert_eq!(GangState::of(3, assigned(3)), GangState::FullyAssigned);
    assert_eq!(GangState::of(3, assigned(2)), GangState::Incomplete);
    let inconsistent = GangTaskSummary {
        inconsistent: true,
        ..assigned(3)
    };
    assert_eq!(GangState::of(3, inconsistent), GangState::Incomplete);
    for tasks in 0..=3 {
        let done = GangTaskSummary {
            any_done: true,
            ..assigned(tasks)
        };
        assert_eq!(
            GangState::of(3, done),
            GangState::Done,
            "one done task must mean that the gang is done"
        );
    }
}

#[test]
fn all_gang_tasks_are_released_under_one_number_or_none() {
    let mut fixture = Fixture::new(2);
    // Machines have 16 CPUs.
    fixture.add_job(1, gang(5, 8.0));
    let first_updates = fixture.plan().1;
    assert!(
        first_updates
            .iter()
            .all(|update| update.assignments.is_empty()),
        "a gang of five must not be released into capacity for four"
    );
    fixture.add_job(2, gang(4, 8.0));
    let (_, updates) = fixture.plan();
    let attempts: Vec<Attempt> = updates[0]
        .assignments
        .iter()
        .map(|assignment| assignment.attempt)
        .collect();
    let indexes: BTreeSet<u32> = attempts.iter().map(|attempt| attempt.task.index).collect();
    assert_eq!(indexes, (0..4).collect());
    let numbers: BTreeSet<u64> = attempts.iter().map(Attempt::wire_number).collect();
    assert_eq!(numbers.len(), 1, "{attempts:?}");
}

#[test]
fn a_gang_is_released_only_if_its_team_limit_allows_all_tasks() {
    let mut fixture = Fixture::new(6);
    // The limit of the team `red` is 64 CPUs.
    fixture.add_job(1, job(1, 16.0));
    let (_, updates) = fixture.plan();
    fixture.record_assignments(&updates[0]);
    fixture.add_job(2, gang(4, 16.0));
    fixture.report_status(6, updates[0].sequence_number, &[]);
    assert!(
        fixture
            .plan()
            .1
            .iter()
            .all(|update| update.assignments.is_empty())
    );
    fixture.add_job(3, gang(3, 16.0));
    let released: usize = fixture
        .plan()
        .1
        .iter()
        .map(|update| update.assignments.len())
        .sum();
    assert_eq!(released, 3);
}

/// Guards against the remaining tasks of a gang waiting for the lost one, on resources that other jobs need.
#[test]
fn the_rest_of_a_gang_that_lost_a_task_is_stopped_before_a_restart() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, gang(3, 16.0));
    let (_, updates) = fixture.plan();
    let first_start = updates[0].assignments[0].attempt.gang_start();
    fixture.record_assignments(&updates[0]);
    fixture.report_status(3, updates[0].sequence_number, &[]);
    assert_eq!(
        fixture
            .plan()
            .1
            .iter()
            .map(|update| update.attempts_to_stop.len())
            .sum::<usize>(),
        0
    );
    // One attempt disappears from the placements.
    let block: BlockId = "a.0".into();
    let mut placements = fixture.cache.placements[&block].value.clone();
    let lost = updates[0].assignments[1].clone();
    assert!(placements.remove(&lost.machine, lost.attempt));
    fixture.put(placements_key(&block), encode(&placements));
    fixture.report_status(3, updates[0].sequence_number, &[]);
    let (_, stop_updates) = fixture.plan();
    let stopped: Vec<Attempt> = stop_updates
        .iter()
        .flat_map(|update| update.attempts_to_stop.clone())
        .collect();
    assert_eq!(stopped.len(), 2);
    assert!(
        stop_updates
            .iter()
            .all(|update| update.assignments.is_empty()),
        "the gang must not be released while old attempts are placed"
    );
    fixture.put(placements_key(&block), encode(&BlockPlacements::default()));
    fixture.report_status(3, stop_updates[0].sequence_number, &[]);
    let (_, restart_updates) = fixture.plan();
    let assignments: Vec<_> = restart_updates
        .iter()
        .flat_map(|update| &update.assignments)
        .collect();
    assert_eq!(assignments.len(), 3);
    assert!(
        assignments
            .iter()
            .all(|assignment| assignment.attempt.gang_start() > first_start)
    );
}

#[test]
fn one_task_done_ends_the_whole_gang() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, gang(3, 16.0));
    let (_, updates) = fixture.plan();
    fixture.record_assignments(&updates[0]);
    let block: BlockId = "a.0".into();
    let mut placements = fixture.cache.placements[&block].value.clone();
    let done = updates[0].assignments[1].clone();
    placements.remove(&done.machine, done.attempt);
    placements
        .done
        .entry(JobId(1))
        .or_default()
        .insert(done.attempt.task.index);
    fixture.put(placements_key(&block), encode(&placements));
    fixture.report_status(3, updates[0].sequence_number, &[]);
    let (_, final_updates) = fixture.plan();
    assert!(
        final_updates
            .iter()
            .all(|update| update.attempts_to_stop.is_empty() && update.assignments.is_empty())
    );
    let ended = fixture.ended_jobs();
    assert_eq!(ended, [JobId(1)]);
}

/// Guards against starvation: without the reservation, smaller jobs take all capacity that becomes free, and the gang
/// never finds enough at once.
#[test]
fn a_gang_that_has_waited_long_reserves_free_capacity() {
    let mut fixture = Fixture::new(2);
    fixture.add_job(1, job(1, 16.0));
    let (_, updates) = fixture.plan();
    fixture.record_assignments(&updates[0]);
    let waited = u64::try_from(RESERVE_CAPACITY_AFTER.as_millis())
        .expect("the reservation delay must fit in u64 milliseconds")
        + 1;
    let accepted_ms = fixture.now.unix_ms() - waited;
    fixture.add_job(
        2,
        Job {
            accepted_ms,
            ..gang(2, 16.0)
        },
    );
    fixture.add_job(3, job(1, 4.0));
    fixture.report_status(2, updates[0].sequence_number, &[]);
    assert!(
        fixture
            .plan()
            .1
            .iter()
            .all(|update| update.assignments.is_empty())
    );
    let cancelled = JobRecord::Cancelled(gang(2, 16.0), 0);
    fixture.put(job_key(JobId(2)), encode(&cancelled));
    assert_eq!(
        fixture.plan().1[0].assignments.len(),
        1,
        "the small job must be released to {} once the gang is cancelled",
        machine_id(0)
    );
}

/// Guards against gangs that are never tried because one of their size, with other bounds on its zones, does not fit.
#[test]
fn a_gang_is_tried_although_one_with_stricter_bounds_on_its_zones_does_not_fit() {
    let in_one_zone = Job {
        one_zone: true,
        ..gang(4, 16.0)
    };
    let spread = Job {
        spread: true,
        ..gang(4, 16.0)
    };
    for unfitting in [in_one_zone, spread] {
        let mut fixture = Fixture::new(3);
        fixture.add_block("b", 3..4);
        let earlier_ms = fixture.now.unix_ms() - 1000;
        fixture.add_job(
            1,
            Job {
                accepted_ms: earlier_ms,
                ..unfitting
            },
        );
        fixture.add_job(2, gang(4, 16.0));
        let (_, updates) = fixture.plan();
        let released: Vec<JobId> = updates
            .iter()
            .flat_map(|update| &update.assignments)
            .map(|assignment| assignment.attempt.task.job)
            .collect();
        assert_eq!(released, [JobId(2); 4]);
    }
}
