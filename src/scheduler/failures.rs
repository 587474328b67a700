//! Tracks task failures and decides whether a job or a machine is at fault.
//!
//! A faulty job fails on every machine until its user cancels it. It is retried with exponential backoff, one task at a
//! time and on a machine where it has not failed yet, so that it uses few resources. A machine is faulty when tasks of
//! several jobs fail on it that do not fail elsewhere.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::info;

use crate::domain::{JobId, JobOutcome, MachineId, Now};
use crate::peer::MachineStatus;
use crate::store::WatchCache;

/// Failures of a job since its last success that are tolerated as accidental: more of them cause a backoff.
const TOLERATED_FAILURES: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(20);
/// The least number of consecutive task failures on a faulty machine, and of jobs that they belong to. A single failing
/// job does not show that a machine is faulty.
const FAULTY_MIN_FAILURES: u32 = 3;
const FAULTY_MIN_JOBS: usize = 2;

#[derive(Debug, Default)]
struct JobFailures {
    /// Failures since one of its tasks was completed.
    count: u32,
    /// Machines on which its tasks have failed.
    machines: HashSet<MachineId>,
    /// The end of the backoff.
    retry_at: Option<Instant>,
}

/// Recent failures of each open job, as reported by the holders.
#[derive(Debug, Default)]
pub(super) struct Failures {
    jobs: HashMap<JobId, JobFailures>,
}

impl Failures {
    /// Records the new failures in a holder's status of a machine. `before`: its previous status of the machine.
    pub(super) fn observe(
        &mut self,
        now: Now,
        status: &MachineStatus,
        before: Option<&MachineStatus>,
    ) {
        for failures in &status.failures_by_job {
            let reported_before = before
                .into_iter()
                .flat_map(|before| &before.failures_by_job)
                .find(|previous| previous.job == failures.job);
            let new_failures = failures
                .count
                .saturating_sub(reported_before.map_or(0, |previous| previous.count));
            if new_failures > 0 {
                self.record_failures(now, failures.job, &status.machine, new_failures);
            }
        }
    }

    fn record_failures(&mut self, now: Now, job: JobId, machine: &MachineId, new_failures: u32) {
        let failures = self.jobs.entry(job).or_default();
        let before = failures.count;
        failures.count += new_failures;
        failures.machines.insert(machine.clone());
        if failures.count <= TOLERATED_FAILURES {
            return;
        }
        // Tasks that started together fail together: failures during a backoff do not extend it.
        if failures.retry_at.is_none_or(|at| now.monotonic >= at) {
            let doublings = (failures.count - TOLERATED_FAILURES - 1).min(8);
            let backoff = MIN_BACKOFF * 2u32.pow(doublings);
            failures.retry_at = Some(now.monotonic + backoff.min(MAX_BACKOFF));
        }
        if before <= TOLERATED_FAILURES {
            info!(%job, %machine, "job fails repeatedly; retrying one task at a time");
        }
    }

    /// Forgets the failures of a job, one of whose tasks was completed.
    pub(super) fn record_success(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Forgets the failures of jobs that are no longer open.
    pub(super) fn retain_open_jobs(&mut self, cache: &WatchCache) {
        self.jobs.retain(|job, _| cache.open_jobs.contains_key(job));
    }

    /// Whether a job fails repeatedly: only one of its tasks is tried at a time, until one succeeds.
    pub(super) fn keeps_failing(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|failures| failures.count > TOLERATED_FAILURES)
    }

    /// Whether the job has to wait before its next attempt.
    pub(super) fn is_backing_off(&self, now: Now, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .and_then(|failures| failures.retry_at)
            .is_some_and(|at| now.monotonic < at)
    }

    /// Whether a task of the job has failed on this machine and none of its tasks has been completed since.
    pub(super) fn failed_on(&self, job: JobId, machine: &MachineId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|failures| failures.machines.contains(machine))
    }

    /// Whether enough tasks of enough jobs have failed on the machine in a row for it to be faulty.
    pub(super) fn is_machine_faulty(&self, status: &MachineStatus, cache: &WatchCache) -> bool {
        let counts_against_machine = |job: JobId| !self.is_job_at_fault(job, cache);
        status.consecutive_failures >= FAULTY_MIN_FAILURES
            && status
                .failures_by_job
                .iter()
                .filter(|failures| counts_against_machine(failures.job))
                .count()
                >= FAULTY_MIN_JOBS
    }

    /// Whether the job rather than a machine is at fault for its failures: its tasks have failed on several machines
    /// without a success since, or it was cancelled before it was complete.
    fn is_job_at_fault(&self, job: JobId, cache: &WatchCache) -> bool {
        match cache.ended_jobs.get(&job) {
            Some((outcome, _)) => *outcome == JobOutcome::Cancelled,
            None => self
                .jobs
                .get(&job)
                .is_some_and(|failures| failures.machines.len() > 1),
        }
    }
}

#[cfg(test)]
mod tests;
