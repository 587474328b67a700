//! The users' protocol: decodes submissions and defines the reported state of a job, with the field names of the
//! protocol.

use std::sync::Arc;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::domain::{
    Amount, Image, InstanceTypeName, Job, JobId, JobKind, Priority, Resources, Team, Zone,
};

#[derive(Debug, Clone, Deserialize)]
struct Submission {
    id: JobId,
    docket: String,
    desk: String,
    shape: JobKind,
    precedence: Priority,
    entries: u64,
    cpus: Amount,
    cards: Amount,
    #[serde(rename = "ramGb")]
    ram_gb: Amount,
    bundle: String,
    #[serde(rename = "imageGb")]
    image_gb: Amount,
    #[serde(rename = "berthKinds", default)]
    berth_kinds: Option<Vec<String>>,
    #[serde(default)]
    wing: Option<String>,
    #[serde(rename = "samePlace")]
    same_place: bool,
    scatter: bool,
    loaner: bool,
    #[serde(rename = "expectS")]
    expect_s: Amount,
    #[serde(rename = "stampEveryS")]
    stamp_every_s: Amount,
    #[serde(rename = "stampS")]
    stamp_s: Amount,
    #[serde(rename = "dueS", default)]
    due_s: Option<Amount>,
}

/// The maximum number of tasks of a job.
const MAX_TASKS: u64 = 100_000;
/// Bounds the size of a job's record, which is one value in the state service.
const MAX_NAME_BYTES: usize = 200;
const MAX_INSTANCE_TYPES: usize = 32;

/// A fault in the body of a submission that can be detected without settings or instance types.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum MalformedSubmission {
    /// The body can't be decoded.
    NotCbor,
    /// Bytes follow the first item.
    TrailingBytes,
    /// The item is not a map.
    NotAMap,
    /// A field is missing or has a wrong type or format.
    InvalidField,
    /// An amount is negative, infinite or not a number.
    InvalidAmount,
    /// The number of tasks is 0 or exceeds the limit.
    InvalidTaskCount,
    /// A name is too long, or there are too many instance types.
    NameTooLong,
    /// A required name is empty.
    EmptyName,
}

impl MalformedSubmission {
    /// The error text in the response to the user.
    pub fn message(self) -> &'static str {
        match self {
            MalformedSubmission::NotCbor => "not CBOR",
            MalformedSubmission::TrailingBytes => "more than one CBOR item",
            MalformedSubmission::NotAMap => "not a map",
            MalformedSubmission::InvalidField => "a field is missing or invalid",
            MalformedSubmission::InvalidAmount => "an amount is negative or not a number",
            MalformedSubmission::InvalidTaskCount => "entries must be 1 to 100000",
            MalformedSubmission::NameTooLong => "a name is too long",
            MalformedSubmission::EmptyName => "a name is empty",
        }
    }
}

/// Decodes a submission that arrived at `now_ms`, in milliseconds of Unix time.
///
/// # Errors
///
/// The submission is malformed, independent of the settings and of the instance types.
pub fn parse(body: &[u8], now_ms: u64) -> Result<(JobId, Job), MalformedSubmission> {
    let mut rest = body;
    let value: Value =
        ciborium::from_reader(&mut rest).map_err(|_| MalformedSubmission::NotCbor)?;
    if !rest.is_empty() {
        return Err(MalformedSubmission::TrailingBytes);
    }
    if !value.is_map() {
        return Err(MalformedSubmission::NotAMap);
    }
    let submission: Submission = value
        .deserialized()
        .map_err(|_| MalformedSubmission::InvalidField)?;
    validate(&submission)?;
    into_job(submission, now_ms)
}

fn validate(submission: &Submission) -> Result<(), MalformedSubmission> {
    let due = submission.due_s.unwrap_or_default();
    let amounts = [
        submission.cpus,
        submission.cards,
        submission.ram_gb,
        submission.image_gb,
        submission.expect_s,
        submission.stamp_every_s,
        submission.stamp_s,
        due,
    ];
    if !amounts
        .iter()
        .all(|amount| amount.0.is_finite() && amount.0 >= 0.0)
    {
        return Err(MalformedSubmission::InvalidAmount);
    }
    if submission.entries == 0 || submission.entries > MAX_TASKS {
        return Err(MalformedSubmission::InvalidTaskCount);
    }
    let types = submission.berth_kinds.as_deref().unwrap_or_default();
    let names = [&submission.docket, &submission.desk, &submission.bundle]
        .into_iter()
        .chain(&submission.wing)
        .chain(types);
    if names.clone().any(|name| name.len() > MAX_NAME_BYTES) || types.len() > MAX_INSTANCE_TYPES {
        return Err(MalformedSubmission::NameTooLong);
    }
    if [&submission.docket, &submission.desk, &submission.bundle]
        .into_iter()
        .any(|name| name.is_empty())
    {
        return Err(MalformedSubmission::EmptyName);
    }
    Ok(())
}

fn into_job(submission: Submission, now_ms: u64) -> Result<(JobId, Job), MalformedSubmission> {
    let types = submission.berth_kinds.unwrap_or_default();
    let job = Job {
        class: Arc::from(submission.docket.as_str()),
        team: Team::from(submission.desk.as_str()),
        kind: submission.shape,
        priority: submission.precedence,
        tasks: u32::try_from(submission.entries)
            .map_err(|_| MalformedSubmission::InvalidTaskCount)?,
        need: Resources {
            cpus: submission.cpus.0,
            gpus: submission.cards.0,
            memory_gb: submission.ram_gb.0,
        },
        types: if types.is_empty() {
            None
        } else {
            Some(
                types
                    .iter()
                    .map(|t| InstanceTypeName::from(t.as_str()))
                    .collect(),
            )
        },
        zone: submission.wing.as_deref().map(Zone::from),
        one_zone: submission.same_place,
        spread: submission.scatter,
        spot: submission.loaner,
        image: Image::from(submission.bundle.as_str()),
        image_gb: submission.image_gb.0,
        estimate_s: submission.expect_s.0,
        checkpoint_every_s: submission.stamp_every_s.0,
        checkpoint_s: submission.stamp_s.0,
        deadline_s: submission.due_s.map(|due| due.0),
        accepted_ms: now_ms,
    };
    Ok((submission.id, job))
}

/// The state of a job as reported to users.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobState {
    /// The job.
    pub id: JobId,
    /// `queued`, `running`, `done` or `cancelled`.
    pub status: &'static str,
    /// The number of its tasks that have ended successfully.
    pub done: u64,
    /// The number of its tasks that are placed on a machine.
    pub running: u64,
}

#[cfg(test)]
pub(crate) mod tests;
