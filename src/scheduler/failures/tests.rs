//! Backoff of failing jobs, and detection of faulty machines.

use super::*;
use crate::peer::JobFailures as ReportedFailures;
use crate::placement::tests::job;
use crate::store::Change;
use crate::store::records::{JobRecord, encode, job_key};

fn status(machine: &str, failures: &[(u64, u32)]) -> MachineStatus {
    MachineStatus {
        machine: machine.into(),
        usable: true,
        has_reported: true,
        unresponsive: false,
        termination_notice: false,
        consecutive_failures: failures.iter().map(|(_, count)| count).sum(),
        failures_by_job: failures
            .iter()
            .map(|(job, count)| ReportedFailures {
                job: JobId(*job),
                count: *count,
            })
            .collect(),
        images: Vec::new(),
    }
}

fn cache_with_open_jobs(jobs: &[u64]) -> WatchCache {
    let mut cache = WatchCache::loaded_for_tests();
    for (version, id) in (1..).zip(jobs) {
        let value = Some(encode(&JobRecord::Open(job(10, 1.0))));
        cache.apply(Change {
            key: job_key(JobId(*id)),
            version,
            value,
        });
    }
    cache
}

fn seconds_after(now: Now, seconds: u64) -> Now {
    Now {
        monotonic: now.monotonic + Duration::from_secs(seconds),
        ..now
    }
}

#[test]
fn backoff_of_a_failing_job_grows_and_ends_with_a_success() {
    let now = Now::read();
    let mut failures = Failures::default();
    failures.observe(now, &status("m-1", &[(1, 2)]), None);
    assert!(
        !failures.keeps_failing(JobId(1)) && !failures.is_backing_off(now, JobId(1)),
        "two failures are tolerated"
    );
    // The holder repeats its status until the leader acknowledges it: a repeated status adds no failures.
    failures.observe(
        now,
        &status("m-1", &[(1, 2)]),
        Some(&status("m-1", &[(1, 2)])),
    );
    assert!(!failures.keeps_failing(JobId(1)));
    let mut backoffs = Vec::new();
    let mut at = now;
    for count in 3..10 {
        let before = status("m-1", &[(1, count - 1)]);
        failures.observe(at, &status("m-1", &[(1, count)]), Some(&before));
        let backoff = (0..60)
            .find(|seconds| !failures.is_backing_off(seconds_after(at, *seconds), JobId(1)))
            .expect("the backoff ends within a minute");
        backoffs.push(backoff);
        at = seconds_after(at, backoff);
    }
    assert_eq!(backoffs, [1, 2, 4, 8, 16, 20, 20]);
    failures.record_success(JobId(1));
    assert!(!failures.keeps_failing(JobId(1)) && !failures.is_backing_off(at, JobId(1)));
}

/// Tasks of a job that started together fail together: fifty such failures must not extend the backoff as fifty
/// consecutive attempts would.
#[test]
fn failures_during_a_backoff_do_not_lengthen_it() {
    let now = Now::read();
    let mut failures = Failures::default();
    failures.observe(now, &status("m-1", &[(1, 3)]), None);
    failures.observe(now, &status("m-2", &[(1, 50)]), None);
    assert!(!failures.is_backing_off(seconds_after(now, 1), JobId(1)));
}

/// Two faulty jobs run on the same machines, which would otherwise be marked as faulty one after the other.
#[test]
fn jobs_that_fail_on_several_machines_do_not_mark_machines_as_faulty() {
    let now = Now::read();
    let cache = cache_with_open_jobs(&[1, 2, 3, 4]);
    let mut failures = Failures::default();
    let statuses = [
        status("m-1", &[(1, 3), (2, 3)]),
        status("m-2", &[(1, 1), (2, 1)]),
    ];
    statuses
        .iter()
        .for_each(|status| failures.observe(now, status, None));
    assert!(
        !failures.is_machine_faulty(&statuses[0], &cache),
        "both jobs fail on another machine too"
    );
    let faulty_machine = status("m-3", &[(3, 2), (4, 1)]);
    failures.observe(now, &faulty_machine, None);
    assert!(
        failures.is_machine_faulty(&faulty_machine, &cache),
        "these jobs fail on no other machine"
    );
    assert!(
        !failures.is_machine_faulty(&status("m-4", &[(3, 9)]), &cache),
        "a single job may be faulty itself"
    );
}

#[test]
fn failures_of_completed_jobs_count_against_a_machine_and_those_of_cancelled_jobs_do_not() {
    let mut cache = cache_with_open_jobs(&[1, 2, 3, 4]);
    for (version, id, outcome) in [
        (11, 1, JobOutcome::Cancelled),
        (12, 2, JobOutcome::Cancelled),
        (13, 3, JobOutcome::Done),
        (14, 4, JobOutcome::Done),
    ] {
        let value = Some(encode(&JobRecord::Ended(outcome, 10)));
        cache.apply(Change {
            key: job_key(JobId(id)),
            version,
            value,
        });
    }
    let failures = Failures::default();
    assert!(!failures.is_machine_faulty(&status("m-1", &[(1, 2), (2, 2)]), &cache));
    assert!(failures.is_machine_faulty(&status("m-1", &[(3, 2), (4, 2)]), &cache));
}
