//! Jobs and the finished tasks of large ones.
//!
//! A job is written by the controller that accepts or cancels it, its end and its progress by the leader's scheduler. An ended
//! job stays ended, and progress only grows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{TaskRanges, encode, json_size};
use crate::domain::{Job, JobOutcome};

/// A job: what was asked for while tasks of it may be somewhere, only its end afterwards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// Accepted and neither cancelled nor ended.
    #[serde(rename = "o")]
    Open(Job),
    /// Cancelled, but its tasks still take resources until they are proven gone. With the time of the cancellation, in
    /// milliseconds since the Unix epoch, from which the time counts by which they must be gone.
    #[serde(rename = "c")]
    Cancelled(Job, u64),
    /// Ended, with its count of tasks.
    #[serde(rename = "e")]
    Ended(JobOutcome, u32),
}

impl JobRecord {
    /// The record of a cancelled job, in `value_bytes` at most. Where the whole would not fit, all is left out but what it is
    /// still needed for: what its tasks take, and of which team.
    pub fn cancelled(job: &Job, at_ms: u64, value_bytes: usize) -> JobRecord {
        let whole = JobRecord::Cancelled(job.clone(), at_ms);
        if json_size(&encode(&whole)) <= value_bytes {
            return whole;
        }
        let rest = Job {
            class: Arc::from(""),
            types: None,
            zone: None,
            image: "".into(),
            ..job.clone()
        };
        JobRecord::Cancelled(rest, at_ms)
    }
}

/// The finished tasks of one chunk of a large job, so that no value grows with the job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The numbers of the finished tasks.
    pub done: TaskRanges,
}

/// Tasks in one chunk of a job's progress: even with every second task done, `0,2,4,...` stays below the
/// smallest value size.
pub const TASKS_PER_PROGRESS_CHUNK: u32 = 512;
