//! Counts the failures of tasks on a machine, from which the leader detects faulty machines.

use std::collections::BTreeMap;

use crate::domain::JobId;
use crate::peer::JobFailures;
use crate::workers::wire::ExitCause;

/// The maximum number of jobs whose failures are counted on one machine.
const MAX_TRACKED_JOBS: usize = 16;
/// The errors reported for a machine if all are of one job: failures of two jobs are needed to find a machine faulty.
const MAX_ERRORS_OF_ONE_JOB: u32 = 2;

/// The failures on a machine since a task last succeeded there.
///
/// A defective job fails on every machine, so the failures of a single job never make a machine faulty.
#[derive(Debug, Default)]
pub(in crate::workers) struct TaskFailures {
    /// The number of tasks that ended with an error.
    errors: u32,
    /// The number of failed tasks of each job, with any cause that counts as a failure.
    by_job: BTreeMap<JobId, u32>,
}

impl TaskFailures {
    /// Records the exit of a task. A success resets all counts.
    pub(in crate::workers) fn record_exit(&mut self, job: JobId, cause: Option<ExitCause>) {
        match cause {
            Some(ExitCause::Done) => {
                self.errors = 0;
                self.by_job.clear();
            }
            // A stop by command or the failure of another task of the gang is no evidence about this machine.
            None
            | Some(ExitCause::Stopped | ExitCause::GangMemberLost | ExitCause::GangIncomplete) => {}
            Some(cause) => {
                self.errors += u32::from(cause == ExitCause::Error);
                *self.by_job.entry(job).or_default() += 1;
                if self.by_job.len() > MAX_TRACKED_JOBS {
                    // Job ids grow with time, so the first entry is most likely the oldest job.
                    self.by_job.pop_first();
                }
            }
        }
    }

    /// The errors to report, bounded by `MAX_ERRORS_OF_ONE_JOB` if the failures are of one job only.
    pub(in crate::workers) fn reported_errors(&self) -> u32 {
        if self.by_job.len() > 1 {
            self.errors
        } else {
            self.errors.min(MAX_ERRORS_OF_ONE_JOB)
        }
    }

    /// The failures of each job, in the order of job ids.
    pub(in crate::workers) fn by_job(&self) -> Vec<JobFailures> {
        self.by_job
            .iter()
            .map(|(job, count)| JobFailures {
                job: *job,
                count: *count,
            })
            .collect()
    }
}
