//! The schema of the production version (commit 134d869), written down once more: what its processes read. As there,
//! unknown fields are ignored, while unknown variants and missing fields are errors.

use std::collections::BTreeMap;

use ciborium::{Value, cbor};
use serde::Deserialize;
use serde::de::DeserializeOwned;

macro_rules! schema {
    ($($name:ident { $($field:ident $(as $spelling:literal)?: $kind:ty),* $(,)? })*) => {
        $(
            #[derive(Deserialize)]
            #[allow(dead_code, reason = "only whether it can be read matters")]
            struct $name { $($(#[serde(rename = $spelling)])? $field: $kind),* }
        )*
    };
}

schema! {
    Leader { node: String, boot: u64, term: u64 }
    Token { last: u64 }
    Member { boot: u64 }
    Grant { zone: String, holder: String, boot: u64, token: u64, term: u64 }
    Roster { zone as "z": String, types as "ty": Vec<String>, on: BTreeMap<String, String> }
    Order { request: String, zone: String, tenure: Tenure, count: u32 }
    Places { on: BTreeMap<String, Vec<String>>, done: BTreeMap<String, String> }
    Progress { done: String }
    Room { cpus: f64, gpus: f64, memory_gb: f64 }
    Job {
        class as "c": String, team as "t": String, kind as "k": Kind, priority as "p": Priority,
        tasks as "n": u32, need as "r": Room, types as "ty": Option<Vec<String>>,
        zone as "z": Option<String>, one_zone as "oz": bool, spread as "sp": bool, spot as "l": bool,
        image as "i": String, image_gb as "ig": f64, estimate_s as "e": f64,
        checkpoint_every_s as "ce": f64, checkpoint_s as "cs": f64, deadline_s as "d": Option<f64>,
        accepted_ms as "at": u64,
    }
    CancelledJob { job: String, version: u64, at_ms: u64 }
    Alive {
        node: String, boot: u64, number: u64, reaches_state: bool, cancelled: Vec<CancelledJob>,
        complete: bool, heard: BTreeMap<String, (u64, u64)>,
    }
    Status { node: String, boot: u64, blocks: Vec<BlockStatus>, strays: Vec<String> }
    BlockStatus {
        block: String, token: u64, grant_version: u64, last_work: u64, pending: Vec<u64>,
        refused: Vec<u64>, ended: Vec<u64>, revision: u64, wants_new_token: bool, expected: u32,
        overdue: u32, number: u64, machines: Vec<MachineStatus>,
    }
    MachineStatus {
        machine: String, usable: bool, seen: bool, silent: bool, notice: bool, errors: u32,
        failures: Vec<JobFailures>, images: Vec<String>,
    }
    JobFailures { job: String, count: u32 }
    Work {
        block: String, grant_version: u64, number: u64, heard: u64, want: Vec<Wanted>,
        stop: Vec<Attempt>, addresses: Vec<(String, String)>,
    }
    Wanted { attempt: Attempt, machine: String }
    Attempt { task: String, number: u64 }
}

#[derive(Deserialize)]
enum Tenure {
    Ordinary,
    Spot,
}

#[derive(Deserialize)]
enum Kind {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "service")]
    Service,
}

#[derive(Deserialize)]
enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "low")]
    Low,
}

#[derive(Deserialize)]
#[allow(dead_code, reason = "only whether it can be read matters")]
enum JobRecord {
    #[serde(rename = "o")]
    Open(Job),
    #[serde(rename = "c")]
    Cancelled(Job, u64),
    #[serde(rename = "e")]
    Ended(Final, u32),
}

#[derive(Deserialize)]
enum Final {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "cancelled")]
    Cancelled,
}

#[derive(Deserialize)]
#[allow(dead_code, reason = "only whether it can be read matters")]
enum Message {
    Status(Status),
    Alive(Alive),
    Cancelled(Vec<CancelledJob>),
    Work(Vec<Work>),
}

fn reads<T: DeserializeOwned>(value: &Value) -> bool {
    value.deserialized::<T>().is_ok()
}

/// Whether production reads what is stored under this key. Keys that it does not know are as good as absent to it.
pub fn reads_record(key: &str, value: &Value) -> bool {
    let Some(name) = key.strip_prefix("dappleshore/") else {
        return true;
    };
    match name.split('/').next().unwrap_or_default() {
        "leader" => reads::<Leader>(value),
        "token" => reads::<Token>(value),
        "node" => reads::<Member>(value),
        "grant" => reads::<Grant>(value),
        "places" => reads::<Places>(value) && reads_attempts(value),
        "machines" => reads::<Roster>(value),
        "order" => reads::<Order>(value),
        "job" => reads::<JobRecord>(value),
        "progress" => reads::<Progress>(value),
        _ => true,
    }
}

/// An attempt as `412/3:17`.
fn reads_attempts(value: &Value) -> bool {
    let Ok(places) = value.deserialized::<Places>() else {
        return false;
    };
    let well_formed = |text: &String| {
        let parts: Vec<&str> = text.split(['/', ':']).collect();
        parts.len() == 3 && parts.iter().all(|part| part.parse::<u64>().is_ok())
    };
    places.on.values().flatten().all(well_formed)
}

/// Whether production reads what a controller says to another.
pub fn reads_message(value: &Value) -> bool {
    reads::<Message>(value)
}

#[test]
fn the_schema_reads_what_production_wrote_and_nothing_newer() {
    let sample = include_bytes!("../data/production.cbor");
    let rows: Vec<(String, Value)> = ciborium::from_reader(sample.as_slice()).expect("readable");
    for (key, value) in &rows {
        let readable = if key.starts_with("message ") {
            reads_message(value)
        } else {
            reads_record(key, value)
        };
        assert!(readable, "{key}");
    }
    let gang = super::gangs::gang(2, 1.0, true);
    let record = dappleshore::store::records::JobRecord::Open(gang);
    let value = dappleshore::store::records::encode(&record);
    assert!(!reads_record("dappleshore/job/j-000001", &value));
    let attempt = cbor!({"on" => {"m-1" => ["412/3:g17"]}, "done" => {}});
    assert!(!reads_record(
        "dappleshore/places/a.0",
        &attempt.expect("valid")
    ));
}
