//! When gangs are released, taken back and over.

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

fn count(tasks: u32) -> GangCount {
    GangCount {
        tasks,
        ..GangCount::default()
    }
}

#[test]
fn a_gang_is_whole_or_has_to_go() {
    assert_eq!(GangState::of(3, count(0)), GangState::Queued);
    assert_eq!(GangState::of(3, count(3)), GangState::Whole);
    assert_eq!(GangState::of(3, count(2)), GangState::Broken);
    let mixed = GangCount {
        mixed: true,
        ..count(3)
    };
    assert_eq!(GangState::of(3, mixed), GangState::Broken);
    for tasks in 0..=3 {
        let done = GangCount {
            any_done: true,
            ..count(tasks)
        };
        assert_eq!(
            GangState::of(3, done),
            GangState::Ended,
            "one done, all done"
        );
    }
}

#[test]
fn all_tasks_are_released_at_once_under_one_number_or_none_is() {
    let mut fixture = Fixture::new(2);
    // Machines have 16 CPUs.
    fixture.add_job(1, gang(5, 8.0));
    let released = fixture.plan().1;
    assert!(
        released.iter().all(|work| work.assignments.is_empty()),
        "room for four only"
    );
    fixture.add_job(2, gang(4, 8.0));
    let (_, work) = fixture.plan();
    let attempts: Vec<Attempt> = work[0]
        .assignments
        .iter()
        .map(|wanted| wanted.attempt)
        .collect();
    let indexes: BTreeSet<u32> = attempts.iter().map(|attempt| attempt.task.index).collect();
    assert_eq!(indexes, (0..4).collect());
    let numbers: BTreeSet<u64> = attempts.iter().map(Attempt::wire_number).collect();
    assert_eq!(numbers.len(), 1, "{attempts:?}");
}

#[test]
fn a_gang_needs_its_team_to_have_room_for_all_of_it() {
    let mut fixture = Fixture::new(6);
    // The team `red` may use 64 CPUs.
    fixture.add_job(1, job(1, 16.0));
    let (_, work) = fixture.plan();
    fixture.record_assignments(&work[0]);
    fixture.add_job(2, gang(4, 16.0));
    fixture.report_status(6, work[0].sequence_number, &[]);
    assert!(
        fixture
            .plan()
            .1
            .iter()
            .all(|work| work.assignments.is_empty())
    );
    fixture.add_job(3, gang(3, 16.0));
    let released: usize = fixture
        .plan()
        .1
        .iter()
        .map(|work| work.assignments.len())
        .sum();
    assert_eq!(released, 3);
}

/// The rest would wait for a task that never comes, in room that others need.
#[test]
fn what_is_left_of_a_gang_that_lost_a_task_is_stopped_before_it_starts_anew() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, gang(3, 16.0));
    let (_, work) = fixture.plan();
    let first = work[0].assignments[0].attempt.gang_start();
    fixture.record_assignments(&work[0]);
    fixture.report_status(3, work[0].sequence_number, &[]);
    assert_eq!(
        fixture
            .plan()
            .1
            .iter()
            .map(|work| work.attempts_to_stop.len())
            .sum::<usize>(),
        0
    );
    // One of them is gone.
    let block: BlockId = "a.0".into();
    let mut placements = fixture.cache.placements[&block].value.clone();
    let lost = work[0].assignments[1].clone();
    assert!(placements.remove(&lost.machine, lost.attempt));
    fixture.put(placements_key(&block), encode(&placements));
    fixture.report_status(3, work[0].sequence_number, &[]);
    let (_, stopping) = fixture.plan();
    let stopped: Vec<Attempt> = stopping
        .iter()
        .flat_map(|work| work.attempts_to_stop.clone())
        .collect();
    assert_eq!(stopped.len(), 2);
    assert!(
        stopping.iter().all(|work| work.assignments.is_empty()),
        "not before they are gone"
    );
    fixture.put(placements_key(&block), encode(&BlockPlacements::default()));
    fixture.report_status(3, stopping[0].sequence_number, &[]);
    let (_, anew) = fixture.plan();
    let assignments: Vec<_> = anew.iter().flat_map(|work| &work.assignments).collect();
    assert_eq!(assignments.len(), 3);
    assert!(
        assignments
            .iter()
            .all(|wanted| wanted.attempt.gang_start() > first)
    );
}

#[test]
fn one_task_done_ends_the_whole_gang() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, gang(3, 16.0));
    let (_, work) = fixture.plan();
    fixture.record_assignments(&work[0]);
    let block: BlockId = "a.0".into();
    let mut placements = fixture.cache.placements[&block].value.clone();
    let done = work[0].assignments[1].clone();
    placements.remove(&done.machine, done.attempt);
    placements
        .done
        .entry(JobId(1))
        .or_default()
        .insert(done.attempt.task.index);
    fixture.put(placements_key(&block), encode(&placements));
    fixture.report_status(3, work[0].sequence_number, &[]);
    let (_, messages) = fixture.plan();
    assert!(
        messages
            .iter()
            .all(|work| work.attempts_to_stop.is_empty() && work.assignments.is_empty())
    );
    let ended = fixture.ended_jobs();
    assert_eq!(ended, [JobId(1)]);
}

/// Without it smaller jobs take each bit of room that gets free, and a gang never finds enough of it.
#[test]
fn a_gang_that_has_waited_keeps_the_room_that_there_is() {
    let mut fixture = Fixture::new(2);
    fixture.add_job(1, job(1, 16.0));
    let (_, work) = fixture.plan();
    fixture.record_assignments(&work[0]);
    let waited = u64::try_from(KEEP_ROOM_AFTER.as_millis()).expect("short") + 1;
    let accepted_ms = fixture.now.unix_ms() - waited;
    fixture.add_job(
        2,
        Job {
            accepted_ms,
            ..gang(2, 16.0)
        },
    );
    fixture.add_job(3, job(1, 4.0));
    fixture.report_status(2, work[0].sequence_number, &[]);
    assert!(
        fixture
            .plan()
            .1
            .iter()
            .all(|work| work.assignments.is_empty())
    );
    let gone = JobRecord::Cancelled(gang(2, 16.0), 0);
    fixture.put(job_key(JobId(2)), encode(&gone));
    assert_eq!(
        fixture.plan().1[0].assignments.len(),
        1,
        "{}",
        machine_id(0)
    );
}
