use super::*;

#[test]
fn ranges_keep_what_was_put_in() {
    let mut ranges = Ranges::default();
    for index in [0, 1, 2, 7, 9] {
        ranges.insert(index);
    }
    let text = encode_text(&ranges);
    assert_eq!(text, "0-2,7,9");
    assert_eq!(parse_ranges(&text), Some(ranges.clone()));
    assert_eq!(ranges.len(), 5);
    assert_eq!(ranges.first_gap(10), Some(3));
    assert_eq!(ranges.first_gap(3), None);
    assert_eq!(parse_ranges("4-2"), None);
}

fn encode_text(ranges: &Ranges) -> String {
    match ciborium::Value::serialized(ranges) {
        Ok(ciborium::Value::Text(text)) => text,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_chunk_of_progress_fits_the_smallest_value() {
    let mut worst = Ranges::default();
    for index in (99_488..100_000).step_by(2) {
        worst.insert(index);
    }
    assert!(encode_text(&worst).len() < 2000);
}

/// Guards against a block that can't be written any more: ends of tasks need room too.
#[test]
fn a_block_never_outgrows_its_worst_case_by_ends_of_tasks() {
    let mut places = Places::default();
    for n in 0..200u32 {
        let attempt = Attempt {
            task: TaskId {
                job: JobId(u64::from(n) + 999_000),
                index: 99_000 + n,
            },
            number: 1,
        };
        places.add(&"m-000001".into(), attempt);
    }
    let worst = places.worst();
    let attempts: Vec<Attempt> = places.attempts().map(|(_, attempt)| attempt).collect();
    for attempt in attempts {
        places.remove(&"m-000001".into(), attempt);
        places
            .done
            .entry(attempt.task.job)
            .or_default()
            .insert(attempt.task.index);
        assert!(places.size() <= worst, "{} > {worst}", places.size());
    }
}

#[test]
fn the_size_of_places_is_never_underestimated() {
    let mut places = Places::default();
    for n in 0..50u32 {
        let machine = MachineId::from(format!("m-{n:06}").as_str());
        for index in 0..n {
            let task = TaskId {
                job: JobId(u64::from(n) * 977),
                index,
            };
            places.add(
                &machine,
                Attempt {
                    task,
                    number: u64::from(index) << 20,
                },
            );
            places
                .done
                .entry(JobId(u64::from(n)))
                .or_default()
                .insert(index * 2);
        }
    }
    let json = json_size(&encode(&places));
    assert!(json <= places.size(), "{json} > {}", places.size());
}

#[test]
fn a_roster_is_kept_as_it_was_and_its_size_is_not_underestimated() {
    let mut roster = Roster::new("zone".into());
    for n in 0..50u32 {
        let type_name = if n % 2 == 0 {
            "small"
        } else {
            "type-of-a-long-name"
        };
        let tenure = Tenure::spot(n % 3 == 0);
        let rented_s = 1_800_000_000 + u64::from(n);
        let entry = Rostered {
            type_name: type_name.into(),
            tenure,
            draining: n % 5 == 0,
            rented_s,
        };
        roster.on.insert(format!("m-{n:06}").as_str().into(), entry);
    }
    let value = encode(&roster);
    assert_eq!(value.deserialized::<Roster>().ok(), Some(roster.clone()));
    let names = 100;
    let size: usize = names
        + roster
            .on
            .iter()
            .map(|(id, entry)| entry.size(id))
            .sum::<usize>();
    assert!(json_size(&value) <= size, "{} > {size}", json_size(&value));
    assert!(size < 50 * 40, "{size}");
    let wrong = RosterText {
        on: [("m-1".into(), "7s1".to_owned())].into(),
        ..RosterText::from(roster)
    };
    assert!(Roster::try_from(wrong).is_err());
}

fn json_size(value: &ciborium::Value) -> usize {
    match value {
        ciborium::Value::Text(text) => text.len() + 2,
        ciborium::Value::Array(list) => 2 + list.iter().map(|v| json_size(v) + 1).sum::<usize>(),
        ciborium::Value::Map(map) => {
            2 + map
                .iter()
                .map(|(k, v)| json_size(k) + json_size(v) + 2)
                .sum::<usize>()
        }
        ciborium::Value::Bool(_) => 5,
        _ => 20,
    }
}
