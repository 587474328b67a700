//! The failures of tasks on a machine, by which the leader recognizes a faulty one.

use std::collections::BTreeMap;

use crate::domain::JobId;
use crate::peer::JobFailures;
use crate::workers::wire::ExitCause;

/// Jobs whose failures on one machine are counted.
const MAX_TRACKED_JOBS: usize = 16;
/// The errors that one job alone can add to a machine's count: it takes two jobs to tell a faulty machine.
const MAX_ERRORS_OF_ONE_JOB: u32 = 2;

/// The failures on a machine since a task last succeeded there.
///
/// A job with a mistake fails on every machine, so failures of one job alone never make a machine faulty.
#[derive(Debug, Default)]
pub(in crate::workers) struct TaskFailures {
    /// Tasks that ended with an error.
    errors: u32,
    /// Failed tasks of each job, whatever their cause.
    by_job: BTreeMap<JobId, u32>,
}

impl TaskFailures {
    /// Records how a task ended. A success sets all counts back.
    pub(in crate::workers) fn record_exit(&mut self, job: JobId, cause: Option<ExitCause>) {
        match cause {
            Some(ExitCause::Done) => {
                self.errors = 0;
                self.by_job.clear();
            }
            // A stop by command, or the failure of another task of the gang, says nothing of this machine.
            None
            | Some(ExitCause::Stopped | ExitCause::GangMemberLost | ExitCause::GangIncomplete) => {}
            Some(cause) => {
                self.errors += u32::from(cause == ExitCause::Error);
                *self.by_job.entry(job).or_default() += 1;
                if self.by_job.len() > MAX_TRACKED_JOBS {
                    // Ids grow with time: the first is most likely the oldest.
                    self.by_job.pop_first();
                }
            }
        }
    }

    /// The errors to report, bounded if all are of one job.
    pub(in crate::workers) fn reported_errors(&self) -> u32 {
        if self.by_job.len() > 1 {
            self.errors
        } else {
            self.errors.min(MAX_ERRORS_OF_ONE_JOB)
        }
    }

    /// The failures of each job, in the order of their ids.
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
