//! Jobs, and the finished tasks of large jobs.
//!
//! A job is written by the controller that accepts or cancels it; its end and its progress are
//! written by the leader's scheduler. An ended job stays ended, and progress only grows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{TaskRanges, encode, json_size};
use crate::domain::{Job, JobOutcome};

/// The record of a job: the whole job while any of its tasks may be running, and only the outcome
/// after that.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// Accepted, and neither cancelled nor ended.
    #[serde(rename = "o")]
    Open(Job),
    /// Cancelled. Its tasks still take resources until they are proven ended. The second field is
    /// the time of the cancellation in milliseconds since the Unix epoch, from which the limit for
    /// stopping its tasks is counted.
    #[serde(rename = "c")]
    Cancelled(Job, u64),
    /// Ended, with the number of its tasks.
    #[serde(rename = "e")]
    Ended(JobOutcome, u32),
}

impl JobRecord {
    /// Creates the record of a cancelled job with a size of at most `value_bytes`. If the whole job
    /// does not fit, the class, types, zone and image are omitted. The resources of its tasks and
    /// its team are kept because they are still needed.
    pub fn cancelled(job: &Job, at_ms: u64, value_bytes: usize) -> JobRecord {
        let full_record = JobRecord::Cancelled(job.clone(), at_ms);
        if json_size(&encode(&full_record)) <= value_bytes {
            return full_record;
        }
        let reduced_job = Job {
            class: Arc::from(""),
            types: None,
            zone: None,
            image: "".into(),
            ..job.clone()
        };
        JobRecord::Cancelled(reduced_job, at_ms)
    }
}

/// The finished tasks of one chunk of a large job. Chunks keep the size of a value independent of
/// the size of the job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The indexes of the finished tasks.
    pub done: TaskRanges,
}

/// Number of tasks in a chunk of a job's progress. Even if every second task is done (`0,2,4,...`),
/// the value stays below the smallest limit on the size of a value.
pub const TASKS_PER_PROGRESS_CHUNK: u32 = 512;
