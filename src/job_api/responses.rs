//! What users are told.

use std::time::Duration;

use super::wire::JobState;
use crate::domain::{JobId, JobOutcome};
use crate::store::WatchCache;
use crate::store::cache::OpenJob;

/// The decided reply to a user's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The job is known.
    State {
        /// The HTTP status.
        status: u16,
        /// The body.
        state: JobState,
    },
    /// The request can't be fulfilled, or not now.
    Problem {
        /// The HTTP status.
        status: u16,
        /// What the body says.
        message: &'static str,
        /// When to come back; none if that is of no use.
        retry_after: Option<Duration>,
    },
}

/// The user is to ask again.
pub(super) fn retry_later(status: u16, message: &'static str) -> Response {
    Response::Problem {
        status,
        message,
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// The same request will never do.
pub(super) fn reject(status: u16, message: &'static str) -> Response {
    Response::Problem {
        status,
        message,
        retry_after: None,
    }
}

/// The state of a job of which no task runs.
pub(super) fn idle_state(status: u16, id: JobId, job_status: &'static str, done: u64) -> Response {
    let state = JobState {
        id,
        status: job_status,
        done,
        running: 0,
    };
    Response::State { status, state }
}

/// The state of a job that has ended. It is final, so that any copy will do, however old.
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
