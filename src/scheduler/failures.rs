//! Whether the job or the machine is at fault when tasks fail.
//!
//! A job with a mistake fails on every machine until its user cancels it. It waits longer after each failure and then
//! tries a single task, on a machine where it has not failed yet, so that it costs others next to nothing. A machine is
//! at fault when tasks of several jobs fail there that do not fail elsewhere.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::info;

use crate::domain::{JobId, JobOutcome, MachineId, Now};
use crate::peer::MachineStatus;
use crate::store::WatchCache;

/// Failures of a job without a success that are taken for bad luck.
const TOLERATED_FAILURES: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(20);
/// Failures in a row after which a machine may be faulty, and the jobs that they must be of at least.
const FAULTY_MIN_FAILURES: u32 = 3;
const FAULTY_MIN_JOBS: usize = 2;

#[derive(Debug, Default)]
struct JobFailures {
    /// Since one of its tasks was done.
    count: u32,
    machines: HashSet<MachineId>,
    retry_at: Option<Instant>,
}

/// What has failed lately, as the holders tell.
#[derive(Debug, Default)]
pub(super) struct Failures {
    jobs: HashMap<JobId, JobFailures>,
}

impl Failures {
    /// Takes in what a holder tells of a machine; `before` is what it told last.
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
        // Tasks that began together fail together: they are one reason to wait longer, not many.
        if failures.retry_at.is_none_or(|at| now.monotonic >= at) {
            let doublings = (failures.count - TOLERATED_FAILURES - 1).min(8);
            let backoff = MIN_BACKOFF * 2u32.pow(doublings);
            failures.retry_at = Some(now.monotonic + backoff.min(MAX_BACKOFF));
        }
        if before <= TOLERATED_FAILURES {
            info!(%job, %machine, "tasks of this job keep failing: one is tried at a time");
        }
    }

    /// A task of the job is done.
    pub(super) fn record_success(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    pub(super) fn retain_open_jobs(&mut self, cache: &WatchCache) {
        self.jobs.retain(|job, _| cache.open.contains_key(job));
    }

    /// Whether a job keeps failing: one task of it is enough to see whether that is over.
    pub(super) fn keeps_failing(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|failures| failures.count > TOLERATED_FAILURES)
    }

    /// Whether the job should wait before it is tried again.
    pub(super) fn is_backing_off(&self, now: Now, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .and_then(|failures| failures.retry_at)
            .is_some_and(|at| now.monotonic < at)
    }

    /// Whether a task of the job has failed on this machine, and none has been done since anywhere.
    pub(super) fn failed_on(&self, job: JobId, machine: &MachineId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|failures| failures.machines.contains(machine))
    }

    /// Whether so many tasks of so many jobs have failed on the machine that it must be faulty.
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

    /// Whether a job's failures say nothing against a machine: it has failed on others too without any success, or was
    /// cancelled without one.
    fn is_job_at_fault(&self, job: JobId, cache: &WatchCache) -> bool {
        match cache.ended.get(&job) {
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
