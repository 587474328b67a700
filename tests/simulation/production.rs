//! A second copy of the schema of the production version (commit 134d869): the records and messages that its processes
//! can read. As in that version, unknown fields are ignored, while unknown variants and missing fields are errors.

use std::collections::BTreeMap;

use ciborium::{Value, cbor};
use serde::Deserialize;
use serde::de::DeserializeOwned;

macro_rules! schema {
    ($($name:ident { $($field:ident $(as $spelling:literal)?: $kind:ty),* $(,)? })*) => {
        $(
            #[derive(Deserialize)]
            #[allow(dead_code, reason = "only read to check that it can be")]
            struct $name { $($(#[serde(rename = $spelling)])? $field: $kind),* }
        )*
    };
}

schema! {
    Leader { node: String, boot: u64, term: u64 }
    Token { last: u64 }
    Member { boot: u64 }
    BlockLease { zone: String, holder: String, boot: u64, token: u64, term: u64 }
    MachineInventory { zone as "z": String, types as "ty": Vec<String>, on: BTreeMap<String, String> }
    PendingRental { request: String, zone: String, tenure: CapacityType, count: u32 }
    BlockPlacements { on: BTreeMap<String, Vec<String>>, done: BTreeMap<String, String> }
    Progress { done: String }
    Resources { cpus: f64, gpus: f64, memory_gb: f64 }
    Job {
        class as "c": String, team as "t": String, kind as "k": JobKind, priority as "p": Priority,
        tasks as "n": u32, need as "r": Resources, types as "ty": Option<Vec<String>>,
        zone as "z": Option<String>, one_zone as "oz": bool, spread as "sp": bool, spot as "l": bool,
        image as "i": String, image_gb as "ig": f64, estimate_s as "e": f64,
        checkpoint_every_s as "ce": f64, checkpoint_s as "cs": f64, deadline_s as "d": Option<f64>,
        accepted_ms as "at": u64,
    }
    CancelledJob { job: String, version: u64, at_ms: u64 }
    ControllerHeartbeat {
        node: String, boot: u64, number: u64, reaches_state: bool, cancelled: Vec<CancelledJob>,
        complete: bool, heard: BTreeMap<String, (u64, u64)>,
    }
    ControllerStatus { node: String, boot: u64, blocks: Vec<BlockStatus>, strays: Vec<String> }
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
    AssignmentUpdate {
        block: String, grant_version: u64, number: u64, heard: u64, want: Vec<Assignment>,
        stop: Vec<Attempt>, addresses: Vec<(String, String)>,
    }
    Assignment { attempt: Attempt, machine: String }
    Attempt { task: String, number: u64 }
}

#[derive(Deserialize)]
enum CapacityType {
    Ordinary,
    Spot,
}

#[derive(Deserialize)]
enum JobKind {
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
#[allow(dead_code, reason = "only read to check that it can be")]
enum JobRecord {
    #[serde(rename = "o")]
    Open(Job),
    #[serde(rename = "c")]
    Cancelled(Job, u64),
    #[serde(rename = "e")]
    Ended(EndState, u32),
}

#[derive(Deserialize)]
enum EndState {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "cancelled")]
    Cancelled,
}

#[derive(Deserialize)]
#[allow(dead_code, reason = "only read to check that it can be")]
enum Message {
    Status(ControllerStatus),
    Alive(ControllerHeartbeat),
    Cancelled(Vec<CancelledJob>),
    Work(Vec<AssignmentUpdate>),
}

fn can_read<T: DeserializeOwned>(value: &Value) -> bool {
    value.deserialized::<T>().is_ok()
}

/// Whether the production version can read the record under this key. It ignores keys that it does not know.
pub fn can_read_record(key: &str, value: &Value) -> bool {
    let Some(name) = key.strip_prefix("dappleshore/") else {
        return true;
    };
    match name.split('/').next().unwrap_or_default() {
        "leader" => can_read::<Leader>(value),
        "token" => can_read::<Token>(value),
        "node" => can_read::<Member>(value),
        "grant" => can_read::<BlockLease>(value),
        "places" => can_read::<BlockPlacements>(value) && can_read_attempts(value),
        "machines" => can_read::<MachineInventory>(value),
        "order" => can_read::<PendingRental>(value),
        "job" => can_read::<JobRecord>(value),
        "progress" => can_read::<Progress>(value),
        _ => true,
    }
}

/// Whether all attempts have the form `JOB/INDEX:NUMBER`, as in `412/3:17`.
fn can_read_attempts(value: &Value) -> bool {
    let Ok(placements) = value.deserialized::<BlockPlacements>() else {
        return false;
    };
    let well_formed = |text: &String| {
        let parts: Vec<&str> = text.split(['/', ':']).collect();
        parts.len() == 3 && parts.iter().all(|part| part.parse::<u64>().is_ok())
    };
    placements.on.values().flatten().all(well_formed)
}

/// Whether the production version can read a message between controllers.
pub fn can_read_message(value: &Value) -> bool {
    can_read::<Message>(value)
}

#[test]
fn the_schema_reads_production_data_and_rejects_newer_forms() {
    let sample = include_bytes!("../data/production.cbor");
    let rows: Vec<(String, Value)> =
        ciborium::from_reader(sample.as_slice()).expect("the sample is CBOR");
    for (key, value) in &rows {
        let readable = if key.starts_with("message ") {
            can_read_message(value)
        } else {
            can_read_record(key, value)
        };
        assert!(readable, "{key} can't be read");
    }
    let gang = super::gangs::gang(2, 1.0, true);
    let record = dappleshore::store::records::JobRecord::Open(gang);
    let value = dappleshore::store::records::encode(&record);
    assert!(!can_read_record("dappleshore/job/j-000001", &value));
    let attempt = cbor!({"on" => {"m-1" => ["412/3:g17"]}, "done" => {}});
    assert!(!can_read_record(
        "dappleshore/places/a.0",
        &attempt.expect("valid")
    ));
}
