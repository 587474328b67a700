use std::collections::BTreeSet;

use ciborium::cbor;

use super::inventory::{InventoryEncoding, InventoryEntryError};
use super::task_ranges::ParseTaskRangesError;
use super::*;
use crate::domain::{Attempt, BlockId, CapacityType, Incarnation, Job, JobId, MachineId, TaskId};

#[test]
fn task_ranges_round_trip_as_text() {
    let mut ranges = TaskRanges::default();
    for index in [0, 1, 2, 7, 9] {
        ranges.insert(index);
    }
    let text = encode_text(&ranges);
    assert_eq!(text, "0-2,7,9");
    assert_eq!(text.parse(), Ok(ranges.clone()));
    assert_eq!(ranges.len(), 5);
    assert_eq!(ranges.first_gap(10), Some(3));
    assert_eq!(ranges.first_gap(3), None);
    assert_eq!(
        "4-2".parse::<TaskRanges>(),
        Err(ParseTaskRangesError::ReversedRange { start: 4, end: 2 })
    );
}

fn encode_text(ranges: &TaskRanges) -> String {
    match ciborium::Value::serialized(ranges) {
        Ok(ciborium::Value::Text(text)) => text,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_chunk_of_progress_fits_the_smallest_value() {
    let mut worst_case = TaskRanges::default();
    for index in (99_488..100_000).step_by(2) {
        worst_case.insert(index);
    }
    assert!(encode_text(&worst_case).len() < 2000);
}

/// Guards against placements that can no longer be written: recording the ends of their tasks may
/// take additional bytes.
#[test]
fn placements_never_exceed_their_worst_case_size_as_tasks_finish() {
    let mut placements = BlockPlacements::default();
    for n in 0..200u32 {
        let attempt = Attempt {
            task: TaskId {
                job: JobId(u64::from(n) + 999_000),
                index: 99_000 + n,
            },
            number: 1,
        };
        placements.add(&"m-000001".into(), attempt);
    }
    let worst_case = placements.worst_case_size();
    let attempts: Vec<Attempt> = placements.attempts().map(|(_, attempt)| attempt).collect();
    for attempt in attempts {
        placements.remove(&"m-000001".into(), attempt);
        placements
            .done
            .entry(attempt.task.job)
            .or_default()
            .insert(attempt.task.index);
        assert!(
            placements.size() <= worst_case,
            "{} > {worst_case}",
            placements.size()
        );
    }
}

#[test]
fn the_size_of_placements_is_never_underestimated() {
    let mut placements = BlockPlacements::default();
    for n in 0..50u32 {
        let machine = MachineId::from(format!("m-{n:06}").as_str());
        for index in 0..n {
            let task = TaskId {
                job: JobId(u64::from(n) * 977),
                index,
            };
            placements.add(
                &machine,
                Attempt {
                    task,
                    number: u64::from(index) << 20,
                },
            );
            placements
                .done
                .entry(JobId(u64::from(n)))
                .or_default()
                .insert(index * 2);
        }
    }
    let json = measured_json_size(&encode(&placements));
    assert!(json <= placements.size(), "{json} > {}", placements.size());
}

#[test]
fn an_inventory_round_trips_and_its_size_is_not_underestimated() {
    let mut inventory = MachineInventory::new("zone".into());
    for n in 0..50u32 {
        let type_name = if n % 2 == 0 {
            "small"
        } else {
            "type-of-a-long-name"
        };
        let capacity_type = CapacityType::from_spot(n % 3 == 0);
        let rented_s = 1_800_000_000 + u64::from(n);
        let entry = InventoryEntry {
            type_name: type_name.into(),
            capacity_type,
            state: [
                MachineState::InService,
                MachineState::Cordoned,
                MachineState::Returning,
            ][n as usize / 3 % 3],
            rented_s,
        };
        inventory
            .machines
            .insert(format!("m-{n:06}").as_str().into(), entry);
    }
    let value = encode(&inventory);
    assert_eq!(
        value.deserialized::<MachineInventory>().ok(),
        Some(inventory.clone())
    );
    let envelope_bytes = 100;
    let size: usize = envelope_bytes
        + inventory
            .machines
            .iter()
            .map(|(id, entry)| entry.size(id))
            .sum::<usize>();
    assert!(
        measured_json_size(&value) <= size,
        "{} > {size}",
        measured_json_size(&value)
    );
    assert!(size < 50 * 40, "{size}");
    let invalid = InventoryEncoding {
        on: [("m-1".into(), "7s1".to_owned())].into(),
        ..InventoryEncoding::from(inventory)
    };
    assert_eq!(
        MachineInventory::try_from(invalid),
        Err(InventoryEntryError::UnknownTypeIndex(7))
    );
}

fn measured_json_size(value: &ciborium::Value) -> usize {
    match value {
        ciborium::Value::Text(text) => text.len() + 2,
        ciborium::Value::Array(list) => {
            2 + list
                .iter()
                .map(|v| measured_json_size(v) + 1)
                .sum::<usize>()
        }
        ciborium::Value::Map(map) => {
            2 + map
                .iter()
                .map(|(k, v)| measured_json_size(k) + measured_json_size(v) + 2)
                .sum::<usize>()
        }
        ciborium::Value::Bool(_) => 5,
        _ => 20,
    }
}

/// Records by key and messages between controllers, recorded from a run of the production version
/// (commit 134d869).
const PRODUCTION_CBOR: &[u8] = include_bytes!("../../../tests/data/production.cbor");

fn production_fixture() -> Vec<(String, ciborium::Value)> {
    ciborium::from_reader(PRODUCTION_CBOR).expect("the value decodes")
}

/// Whether a value is the same after decoding and encoding it.
fn round_trips<T: serde::Serialize + serde::de::DeserializeOwned>(value: &ciborium::Value) -> bool {
    let read: T = value.deserialized().expect("the value decodes");
    ciborium::Value::serialized(&read).is_ok_and(|again| again == *value)
}

#[test]
fn records_and_messages_of_production_round_trip_unchanged() {
    let mut kinds = BTreeSet::new();
    for (key, value) in production_fixture() {
        let same = match RecordKey::of(&key) {
            Some(RecordKey::Leader) => round_trips::<Leader>(&value),
            Some(RecordKey::TokenCounter) => round_trips::<TokenCounter>(&value),
            Some(RecordKey::Member(_)) => round_trips::<Member>(&value),
            Some(RecordKey::BlockLease(_)) => round_trips::<BlockLease>(&value),
            Some(RecordKey::BlockPlacements(_, FIRST_PART)) => {
                round_trips::<BlockPlacements>(&value)
            }
            Some(RecordKey::MachineInventory(_, FIRST_PART)) => {
                round_trips::<MachineInventory>(&value)
            }
            Some(RecordKey::PendingRental(_)) => round_trips::<PendingRental>(&value),
            Some(RecordKey::Job(_)) => round_trips::<JobRecord>(&value),
            Some(RecordKey::Progress(..)) => round_trips::<Progress>(&value),
            Some(other) => panic!("not a record of production: {other:?}"),
            None => round_trips::<crate::peer::Message>(&value),
        };
        assert!(same, "{key}");
        kinds.insert(key.split(['/', ' ']).nth(1).unwrap_or_default().to_owned());
    }
    let expected = [
        "alivetrue",
        "cancelled",
        "grant",
        "job",
        "leader",
        "machines",
    ];
    assert!(
        expected.iter().all(|kind| kinds.contains(*kind)),
        "{kinds:?}"
    );
}

#[test]
fn a_member_without_a_format_has_the_production_format() {
    let old: Member = cbor!({"boot" => 7})
        .expect("a valid CBOR value")
        .deserialized()
        .expect("the value decodes");
    assert_eq!(
        old,
        Member {
            incarnation: Incarnation(7),
            format: 0
        }
    );
    let value = encode(&Member {
        incarnation: Incarnation(7),
        format: NEWEST_FORMAT,
    });
    assert_eq!(
        value,
        cbor!({"boot" => 7, "format" => 2}).expect("a valid CBOR value")
    );
}

#[test]
fn keys_of_first_parts_sort_before_keys_of_other_parts() {
    let block = BlockId::from("z.9");
    assert!(placements_part_key(&block, FIRST_PART) < placements_part_key(&"a.0".into(), 1));
    assert!(inventory_part_key(&block, FIRST_PART) < inventory_part_key(&"a.0".into(), 1));
    assert_eq!(
        RecordKey::of(&placements_part_key(&block, 12)),
        Some(RecordKey::BlockPlacements(block.clone(), 12))
    );
    assert_eq!(
        RecordKey::of(&inventory_part_key(&block, 0)),
        Some(RecordKey::MachineInventory(block, 0))
    );
}

/// The names in a job can exceed the state service's limit on the size of a value; the record of
/// its cancellation must still be within the limit.
#[test]
fn the_record_of_a_cancelled_large_job_omits_what_does_not_fit() {
    let types = (0..30).map(|n| format!("{n}-{}", "t".repeat(180)));
    let job = Job {
        types: Some(types.map(|name| name.as_str().into()).collect()),
        ..crate::placement::tests::job(3, 1.0)
    };
    assert!(measured_json_size(&encode(&JobRecord::Open(job.clone()))) > 2048);
    let record = JobRecord::cancelled(&job, 17, 2048);
    assert!(measured_json_size(&encode(&record)) <= 2048);
    let JobRecord::Cancelled(kept, 17) = record else {
        panic!("{record:?}")
    };
    assert_eq!(
        (kept.team, kept.need, kept.tasks, kept.kind),
        (job.team.clone(), job.need, job.tasks, job.kind)
    );
    let whole = JobRecord::cancelled(&job, 17, 8192);
    assert_eq!(
        whole,
        JobRecord::Cancelled(job, 17),
        "a record that fits is kept whole"
    );
}

#[test]
fn attempts_of_a_gang_start_share_only_their_wire_number() {
    let task = |index| TaskId {
        job: JobId(412),
        index,
    };
    let attempts = [0, 3, 99_999]
        .map(|index| Attempt::of_gang(task(index), 5 << 20).expect("the gang start is in range"));
    let wire_numbers = attempts.map(|attempt| attempt.wire_number());
    assert!(wire_numbers.iter().all(|number| *number == wire_numbers[0]));
    for (attempt, number) in attempts.into_iter().zip(wire_numbers) {
        assert_eq!(Attempt::from_wire(attempt.task, number), attempt);
        assert_eq!(attempt.gang_start(), Some(5 << 20));
        let text =
            ciborium::Value::serialized(&AttemptEncoding(attempt)).expect("the attempt serializes");
        assert_eq!(
            text.deserialized::<AttemptEncoding>()
                .expect("the attempt decodes"),
            AttemptEncoding(attempt)
        );
    }
    assert_ne!(attempts[0].number, attempts[1].number);
    let plain = Attempt {
        task: task(3),
        number: 17,
    };
    assert_eq!(Attempt::from_wire(task(3), plain.wire_number()), plain);
    assert_eq!(plain.gang_start(), None);
    let text =
        ciborium::Value::serialized(&AttemptEncoding(attempts[1])).expect("the attempt serializes");
    assert_eq!(text, ciborium::Value::from("412/3:g5242880"));
}
