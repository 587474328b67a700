//! Compatibility tests with stored records of format 2. The fixture holds every kind of record in
//! the bytes that were stored when it was made. They must be decoded and encoded again to the same
//! bytes, however the types in the program change.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;

use dappleshore_drain::DrainId;

use super::*;
use crate::domain::{BlockId, CapacityType, JobId, JobOutcome, Team};
use crate::http;

/// Stored values of format 2 by key, as CBOR in hexadecimal.
const FORMAT_2_JSON: &str = include_str!("../../../tests/data/records-format-2.json");

/// The values of the fixture in hexadecimal, by key.
fn load_fixture() -> BTreeMap<String, String> {
    serde_json::from_str(FORMAT_2_JSON).expect("the fixture is a JSON map of strings")
}

/// Decodes hexadecimal digits.
fn from_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "{text}");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits"))
        .collect()
}

/// Encodes bytes in hexadecimal.
fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes a value and encodes it again with `encode`, as records are stored.
fn reencoded<T: Record>(bytes: &[u8]) -> Vec<u8> {
    let value: ciborium::Value = ciborium::from_reader(bytes).expect("the value is CBOR");
    let record: T = value.deserialized().expect("the value decodes");
    http::encode_body(&encode(&record))
}

/// The kind of a record, including its variant if it has several, and the value after decoding and
/// encoding it.
fn kind(key: &str, bytes: &[u8]) -> (&'static str, Vec<u8>) {
    match RecordKey::of(key).expect("the key belongs to a known record") {
        RecordKey::Leader => ("leader", reencoded::<Leader>(bytes)),
        RecordKey::TokenCounter => ("token", reencoded::<TokenCounter>(bytes)),
        RecordKey::Member(_) => ("member", reencoded::<Member>(bytes)),
        RecordKey::BlockLease(_) => ("block lease", reencoded::<BlockLease>(bytes)),
        RecordKey::Format => ("format", reencoded::<FormatSwitch>(bytes)),
        RecordKey::BlockPlacements(_, FIRST_PART) => {
            ("placements", reencoded::<BlockPlacements>(bytes))
        }
        RecordKey::BlockPlacements(..) => ("placements part", reencoded::<BlockPlacements>(bytes)),
        RecordKey::MachineInventory(_, FIRST_PART) => {
            ("inventory", reencoded::<MachineInventory>(bytes))
        }
        RecordKey::MachineInventory(..) => ("inventory part", reencoded::<MachineInventory>(bytes)),
        RecordKey::PendingRental(_) => ("pending rental", reencoded::<PendingRental>(bytes)),
        RecordKey::Job(_) => {
            let value: ciborium::Value = ciborium::from_reader(bytes).expect("the value is CBOR");
            let kind = match value.deserialized().expect("the value decodes") {
                JobRecord::Open(_) => "open job",
                JobRecord::Cancelled(..) => "cancelled job",
                JobRecord::Ended(JobOutcome::Done, _) => "done job",
                JobRecord::Ended(JobOutcome::Cancelled, _) => "ended cancelled job",
            };
            (kind, reencoded::<JobRecord>(bytes))
        }
        RecordKey::Progress(..) => ("progress", reencoded::<Progress>(bytes)),
        RecordKey::Drain(_) => ("drain", reencoded::<DrainRecord>(bytes)),
        RecordKey::DrainBudget(_) => ("drain budget", reencoded::<TeamBudget>(bytes)),
        RecordKey::DrainLedger(_) => ("drain ledger", reencoded::<Ledger>(bytes)),
        RecordKey::WriteFence(_) => ("write fence", reencoded::<WriteFence>(bytes)),
        RecordKey::PlacementsFence(_) => ("placements fence", reencoded::<PlacementsFence>(bytes)),
    }
}

/// All kinds that `kind` can return; the fixture must contain each. For a new record, `kind` fails
/// to compile until it has a case; the kind has to be added here as well.
const KINDS: [&str; 18] = [
    "cancelled job",
    "done job",
    "drain",
    "drain budget",
    "drain ledger",
    "ended cancelled job",
    "format",
    "block lease",
    "leader",
    "member",
    "open job",
    "pending rental",
    "placements",
    "placements part",
    "progress",
    "inventory",
    "inventory part",
    "token",
];

#[test]
fn every_record_of_format_2_is_reencoded_to_the_same_bytes() {
    let mut kinds = BTreeSet::new();
    for (key, hex) in load_fixture() {
        let bytes = from_hex(&hex);
        let (kind, again) = kind(&key, &bytes);
        assert_eq!(to_hex(&again), hex, "{key}");
        kinds.insert(kind);
    }
    assert_eq!(kinds, BTreeSet::from(KINDS));
}

/// The keys that the program generates are those in the fixture.
#[test]
fn the_keys_of_format_2_stay_the_same() {
    let (block, team) = (BlockId::from("a.0"), Team::from("red"));
    let id: DrainId = "disk".parse().expect("a valid drain id");
    let keys = [
        LEADER_KEY.to_owned(),
        TOKEN_KEY.to_owned(),
        FORMAT_KEY.to_owned(),
        member_key(&"node-0".into()),
        block_lease_key(&block),
        placements_key(&block),
        inventory_key(&block),
        placements_part_key(&block, 1),
        inventory_part_key(&block, 1),
        pending_rental_key(&"small".into()),
        job_key(JobId(412)),
        progress_key(JobId(412), 1),
        drain_key(&id),
        drain_budget_key(&team),
        drain_ledger_key(&team),
    ];
    let fixture = load_fixture();
    for key in keys {
        assert!(fixture.contains_key(&key), "{key}");
    }
}

/// Every state and capacity type of a machine, every phase and scope of a drain and every kind of
/// attempt occurs in the fixture. Without them the test above would not cover their encoding.
#[test]
fn the_fixture_of_format_2_holds_every_variant() {
    fn read<T: DeserializeOwned>(prefix: &str) -> Vec<T> {
        let prefix = format!("{KEY_PREFIX}{prefix}/");
        load_fixture()
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .map(|(_, hex)| ciborium::from_reader(&*from_hex(hex)).expect("the value decodes"))
            .collect()
    }
    let inventories: Vec<MachineInventory> = read("machines");
    let states = [
        MachineState::InService,
        MachineState::Cordoned,
        MachineState::Returning,
    ];
    let variants = [CapacityType::OnDemand, CapacityType::Spot]
        .into_iter()
        .flat_map(|capacity_type| states.map(|state| (capacity_type, state)));
    for (capacity_type, state) in variants {
        let mut machines = inventories
            .iter()
            .flat_map(|inventory| inventory.machines.values());
        assert!(
            machines
                .any(|machine| (machine.capacity_type, machine.state) == (capacity_type, state)),
            "{capacity_type:?} {state:?}"
        );
    }
    let placements: Vec<BlockPlacements> = read("places");
    let attempts = || placements.iter().flat_map(BlockPlacements::attempts);
    assert!(attempts().any(|(_, attempt)| attempt.gang_start().is_some()));
    assert!(attempts().any(|(_, attempt)| attempt.gang_start().is_none()));
    let drains: Vec<DrainRecord> = read("drain");
    let variant_name = |value: ciborium::Value| match value {
        ciborium::Value::Text(name) => name,
        ciborium::Value::Map(map) => match &map[0].0 {
            ciborium::Value::Text(name) => name.clone(),
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    };
    let names = |part: fn(&DrainRecord) -> ciborium::Value| -> BTreeSet<String> {
        drains.iter().map(part).map(variant_name).collect()
    };
    let phases = names(|drain| ciborium::Value::serialized(&drain.phase).expect("serializes"));
    let expected = ["active", "cancelled", "done", "halted", "uncordoned"];
    assert_eq!(phases, expected.map(String::from).into());
    let scopes = names(|drain| ciborium::Value::serialized(&drain.scope).expect("serializes"));
    let expected = ["block", "machines", "type", "zone"];
    assert_eq!(scopes, expected.map(String::from).into());
    let purposes = names(|drain| ciborium::Value::serialized(&drain.purpose).expect("serializes"));
    assert_eq!(purposes, ["cordon", "drain"].map(String::from).into());
    let ledgers: Vec<Ledger> = read("drain_ledger");
    assert!(ledgers.iter().any(|ledger| !ledger.lost.is_empty()));
    let subjects: BTreeSet<String> = ledgers
        .iter()
        .flat_map(|ledger| &ledger.evictions)
        .map(|eviction| ciborium::Value::serialized(&eviction.target).expect("serializes"))
        .map(variant_name)
        .collect();
    assert_eq!(subjects, ["g", "t"].map(String::from).into());
}
