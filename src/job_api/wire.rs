//! The users' protocol, as PROTOCOL spells it.

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

/// The most tasks that a job may have.
const MOST_TASKS: u64 = 100_000;
/// Names longer than this are refused: a job is one value in the state service.
const LONGEST_NAME: usize = 200;
const MOST_TYPES: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// Reads a submission. Everything about it that can be wrong by itself is found here.
pub fn parse(body: &[u8], now_ms: u64) -> Result<(JobId, Job), Malformed> {
    let mut rest = body;
    let value: Value = ciborium::from_reader(&mut rest).map_err(|_| Malformed("not CBOR"))?;
    if !rest.is_empty() {
        return Err(Malformed("more than one CBOR item"));
    }
    if !value.is_map() {
        return Err(Malformed("not a map"));
    }
    let submission: Submission = value
        .deserialized()
        .map_err(|_| Malformed("a field is missing or invalid"))?;
    check(submission, now_ms)
}

fn check(s: Submission, now_ms: u64) -> Result<(JobId, Job), Malformed> {
    let due = s.due_s.unwrap_or_default();
    let amounts = [
        s.cpus,
        s.cards,
        s.ram_gb,
        s.image_gb,
        s.expect_s,
        s.stamp_every_s,
        s.stamp_s,
        due,
    ];
    if !amounts
        .iter()
        .all(|amount| amount.0.is_finite() && amount.0 >= 0.0)
    {
        return Err(Malformed("an amount is negative or not a number"));
    }
    if s.entries == 0 || s.entries > MOST_TASKS {
        return Err(Malformed("entries must be 1 to 100000"));
    }
    let types = s.berth_kinds.unwrap_or_default();
    let names = [&s.docket, &s.desk, &s.bundle]
        .into_iter()
        .chain(&s.wing)
        .chain(&types);
    if names.clone().any(|name| name.len() > LONGEST_NAME) || types.len() > MOST_TYPES {
        return Err(Malformed("a name is too long"));
    }
    if [&s.docket, &s.desk, &s.bundle]
        .into_iter()
        .any(|name| name.is_empty())
    {
        return Err(Malformed("a name is empty"));
    }
    let job = Job {
        class: Arc::from(s.docket.as_str()),
        team: Team::from(s.desk.as_str()),
        kind: s.shape,
        priority: s.precedence,
        tasks: u32::try_from(s.entries).map_err(|_| Malformed("entries must be 1 to 100000"))?,
        need: Resources {
            cpus: s.cpus.0,
            gpus: s.cards.0,
            memory_gb: s.ram_gb.0,
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
        zone: s.wing.as_deref().map(Zone::from),
        one_zone: s.same_place,
        spread: s.scatter,
        spot: s.loaner,
        image: Image::from(s.bundle.as_str()),
        image_gb: s.image_gb.0,
        estimate_s: s.expect_s.0,
        checkpoint_every_s: s.stamp_every_s.0,
        checkpoint_s: s.stamp_s.0,
        deadline_s: s.due_s.map(|due| due.0),
        accepted_ms: now_ms,
    };
    Ok((s.id, job))
}

/// What a user is told of a job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobState {
    pub id: JobId,
    pub status: &'static str,
    pub done: u64,
    pub running: u64,
}

#[cfg(test)]
pub mod tests;
