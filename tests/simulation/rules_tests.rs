//! Tests of the rules: each is violated on purpose and has to report it.

use std::time::Duration;

use dappleshore::domain::{CapacityType, Job, JobId, Priority, Resources, TaskId};

use super::rules::{Place, Rules};

const ON_DEMAND: CapacityType = CapacityType::OnDemand;

/// A time in seconds.
fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An array of the only team, which may not run on spot machines.
fn job(tasks: u32, cpus: f64) -> Job {
    Job {
        tasks,
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        spot: false,
        ..super::cluster::array("class", "red", Priority::Standard)
    }
}

/// The only machine of a zone.
fn place(zone: &str, capacity_type: CapacityType) -> Place {
    Place {
        machine: zone.into(),
        type_name: "small".into(),
        zone: zone.into(),
        capacity_type,
    }
}

/// A task of the only job.
fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        index,
    }
}

/// Rules for a team with a limit of 8 CPUs and one submitted job. A cancelled task must have ended after 50 s, and
/// faults end after 5 s.
fn rules_with_job(job: Job) -> Rules {
    let mut rules = Rules::new([("red".into(), 8.0)].into(), at(50), at(5));
    rules.submitted(JobId(1), job);
    rules
}

/// The name of the first rule that the events of `record` violate.
fn first_violation(job: Job, record: &dyn Fn(&mut Rules)) -> Option<String> {
    let mut rules = rules_with_job(job);
    record(&mut rules);
    rules.check(at(100));
    let first = rules.violations.first()?;
    Some(first.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// As `first_violation`, for a job that has been accepted.
fn first_violation_once_accepted(record: &dyn Fn(&mut Rules)) -> Option<String> {
    first_violation(job(1, 1.0), &|rules| {
        rules.status_reported(at(1), JobId(1), Some("queued"));
        record(rules);
    })
}

/// Asserts that the first violated rule is this one.
fn expect_violation(rule: &str, first_violation: Option<String>) {
    assert_eq!(first_violation, Some(format!("{rule}:")));
}

/// The user cancels the job and the cancellation is confirmed.
fn confirm_cancellation(rules: &mut Rules) {
    rules.cancel_asked(JobId(1));
    rules.status_reported(at(10), JobId(1), Some("cancelled"));
}

#[test]
fn tasks_beyond_the_quota_break_quota() {
    let start = |count: u32| {
        move |rules: &mut Rules| {
            (0..count).for_each(|n| rules.task_started(at(1), task(n), place("a", ON_DEMAND)));
        }
    };
    assert_eq!(first_violation(job(2, 4.0), &start(2)), None);
    expect_violation("quota", first_violation(job(3, 4.0), &start(3)));
}

#[test]
fn a_task_on_two_machines_breaks_ran_twice() {
    let on_two_machines = |rules: &mut Rules| {
        for zone in ["a", "b"] {
            rules.task_started(at(1), task(0), place(zone, ON_DEMAND));
        }
    };
    expect_violation("ran_twice", first_violation(job(1, 1.0), &on_two_machines));
}

#[test]
fn a_task_on_a_spot_machine_that_it_may_not_use_breaks_wrong_place() {
    let on_spot = |rules: &mut Rules| {
        rules.task_started(at(1), task(0), place("a", CapacityType::Spot));
    };
    expect_violation("wrong_place", first_violation(job(1, 1.0), &on_spot));
}

#[test]
fn spread_tasks_in_one_zone_break_wrong_place() {
    let spread = Job {
        spread: true,
        ..job(2, 1.0)
    };
    let in_one_zone = |rules: &mut Rules| {
        (0..2).for_each(|n| rules.task_started(at(1), task(n), place("a", ON_DEMAND)));
    };
    expect_violation("wrong_place", first_violation(spread, &in_one_zone));
}

#[test]
fn a_cancelled_task_that_stays_or_starts_too_late_breaks_ran_cancelled() {
    let stays = |rules: &mut Rules| {
        rules.task_started(at(1), task(0), place("a", ON_DEMAND));
        confirm_cancellation(rules);
    };
    expect_violation("ran_cancelled", first_violation(job(1, 1.0), &stays));
    let late = |rules: &mut Rules| {
        confirm_cancellation(rules);
        rules.task_started(at(61), task(0), place("a", ON_DEMAND));
    };
    expect_violation("ran_cancelled", first_violation(job(1, 1.0), &late));
}

#[test]
fn a_cancelled_task_that_starts_in_time_is_counted() {
    let mut rules = rules_with_job(job(1, 1.0));
    confirm_cancellation(&mut rules);
    rules.task_started(at(12), task(0), place("a", ON_DEMAND));
    assert_eq!(rules.starts_after_cancellation, [(task(0), at(2))]);
}

#[test]
fn an_accepted_job_that_is_unknown_or_refused_later_breaks_forgotten() {
    expect_violation(
        "forgotten",
        first_violation_once_accepted(&|rules| rules.status_reported(at(2), JobId(1), None)),
    );
    expect_violation(
        "forgotten",
        first_violation_once_accepted(&|rules| rules.refused(at(2), JobId(1), 422)),
    );
}

#[test]
fn an_accepted_job_without_an_answer_breaks_forgotten() {
    expect_violation(
        "forgotten",
        first_violation_once_accepted(&|rules| rules.asked(at(3), JobId(1))),
    );
    let answered = |rules: &mut Rules| {
        rules.asked(at(3), JobId(1));
        rules.status_reported(at(70), JobId(1), Some("queued"));
        rules.asked(at(75), JobId(1));
    };
    assert_eq!(first_violation_once_accepted(&answered), None);
}

#[test]
fn jobs_without_a_completed_task_are_unserved() {
    let unserved = |started_s: u64, done: bool| {
        let mut rules = rules_with_job(job(1, 1.0));
        rules.status_reported(at(1), JobId(1), Some("queued"));
        rules.task_started(at(started_s), task(0), place("a", ON_DEMAND));
        rules.task_ended(task(0), "a", done);
        rules.unserved()
    };
    assert_eq!(unserved(200, true), [] as [&str; 0]);
    assert_eq!(
        unserved(200, false),
        ["class class: 0 of 1", "team red: 0 of 1"]
    );
    assert_eq!(unserved(242, true), ["largest of class: 0 of 1"]);
}

#[test]
fn an_answer_about_a_job_that_nobody_submitted_breaks_invented() {
    expect_violation(
        "invented",
        first_violation_once_accepted(&|rules| {
            rules.status_reported(at(2), JobId(2), Some("queued"))
        }),
    );
}

#[test]
fn a_job_called_done_before_its_tasks_are_breaks_not_done() {
    expect_violation(
        "not_done",
        first_violation_once_accepted(&|rules| {
            rules.status_reported(at(2), JobId(1), Some("done"))
        }),
    );
}

#[test]
fn an_unrequested_cancellation_or_a_change_of_a_final_state_breaks_went_back() {
    expect_violation(
        "went_back",
        first_violation_once_accepted(&|rules| {
            rules.status_reported(at(2), JobId(1), Some("cancelled"))
        }),
    );
    let running_again = |rules: &mut Rules| {
        confirm_cancellation(rules);
        rules.status_reported(at(11), JobId(1), Some("running"));
    };
    expect_violation("went_back", first_violation(job(1, 1.0), &running_again));
}

#[test]
fn a_job_that_waits_despite_capacity_for_90_s_breaks_idle() {
    let waiting = |from: u64, to: u64| {
        first_violation_once_accepted(&move |rules| {
            (from..=to).for_each(|second| {
                rules.record_waiting_despite_capacity(at(second), [JobId(1)].into())
            });
        })
    };
    assert_eq!(
        waiting(2, 95),
        None,
        "the time counts from the end of the faults"
    );
    expect_violation("idle", waiting(2, 96));
    let gap = |rules: &mut Rules| {
        (6..=110).for_each(|second| {
            let waiting_job = (second != 50).then_some(JobId(1));
            rules.record_waiting_despite_capacity(at(second), waiting_job.into_iter().collect());
        });
    };
    assert_eq!(
        first_violation_once_accepted(&gap),
        None,
        "a moment without capacity restarts the count"
    );
}

#[test]
fn a_job_that_can_not_run_and_is_accepted_breaks_odd() {
    let answered = |status: u16| {
        first_violation(job(1, 1.0), &move |rules| {
            rules.irregular_request_answered(at(1), 422, status);
        })
    };
    expect_violation("odd", answered(201));
    assert_eq!(answered(503), None);
}
