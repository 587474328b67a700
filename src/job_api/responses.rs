//! The responses to users.

use std::time::Duration;

use super::wire::JobState;
use crate::domain::{JobId, JobOutcome};
use crate::store::WatchCache;
use crate::store::cache::OpenJob;

/// The response to a user's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The state of the job.
    State {
        /// The HTTP status.
        status: u16,
        /// The body.
        state: JobState,
    },
    /// The request failed, permanently or for now.
    Problem {
        /// The HTTP status.
        status: u16,
        /// The error text in the body.
        message: &'static str,
        /// The delay before a retry; none if a retry can't succeed.
        retry_after: Option<Duration>,
    },
}

/// An error response with a retry delay.
pub(super) fn retry_later(status: u16, message: &'static str) -> Response {
    Response::Problem {
        status,
        message,
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// An error response to a request that can't succeed on a retry.
pub(super) fn reject(status: u16, message: &'static str) -> Response {
    Response::Problem {
        status,
        message,
        retry_after: None,
    }
}

/// The state of a job without running tasks.
pub(super) fn idle_state(status: u16, id: JobId, job_status: &'static str, done: u64) -> Response {
    let state = JobState {
        id,
        status: job_status,
        done,
        running: 0,
    };
    Response::State { status, state }
}

/// The state of a job that has ended. It is final, so that a watch cache of any age may be read.
pub(super) fn final_state(cache: &WatchCache, job: JobId) -> Option<Response> {
    if !cache.is_loaded() {
        return None;
    }
    let (outcome, tasks) = cache.ended_jobs.get(&job)?;
    let (job_status, done) = match outcome {
        JobOutcome::Done => ("done", u64::from(*tasks)),
        JobOutcome::Cancelled => ("cancelled", 0),
    };
    Some(idle_state(200, job, job_status, done))
}

/// The state of a job that has not ended.
pub(super) fn open_state(cache: &WatchCache, id: JobId, open: &OpenJob) -> Response {
    let running = cache.job_placements(id).len() as u64;
    let status = match (open.cancelled, running) {
        (true, _) => "cancelled",
        (false, 0) => "queued",
        (false, _) => "running",
    };
    let state = JobState {
        id,
        status,
        done: open.done.len(),
        running,
    };
    Response::State { status: 200, state }
}
