use std::time::Duration;

use super::pending_cancellations::MAX_PENDING_CANCELLATIONS;
use super::sync::MAX_MISSED_BYTES;
use super::*;
use crate::domain::{Attempt, Now, TaskId};
use crate::placement::tests::job;
use crate::store::records::{
    Change, InventoryEntry, JobRecord, Record, encode, inventory_key, job_key, placements_key,
};
use crate::store::{KeyValue, StoreRequest, StoreResponse};

/// The time so many seconds after `start`.
fn at(start: Now, seconds: u64) -> Now {
    Now {
        monotonic: start.monotonic + Duration::from_secs(seconds),
        ..start
    }
}

/// A record that was written as this version.
fn put(key: String, version: u64, record: &impl Record) -> Change {
    Change {
        key,
        version,
        value: Some(encode(record)),
    }
}

/// The open record of a job of one task.
fn open_job() -> JobRecord {
    JobRecord::Open(job(1, 1.0))
}

fn inventory_of(machines: &[&MachineId]) -> MachineInventory {
    let entry = || InventoryEntry {
        type_name: "small".into(),
        capacity_type: CapacityType::Spot,
        state: MachineState::InService,
        rented_s: 0,
    };
    MachineInventory {
        zone: "a".into(),
        machines: machines
            .iter()
            .map(|machine| ((*machine).clone(), entry()))
            .collect(),
    }
}

/// Found on the bench: a controller that had been cut off from the state service for 46 s asked for all changes since,
/// more than it could take in one answer, and asked again for ever.
#[test]
fn a_copy_that_is_far_behind_is_read_anew_while_the_old_one_is_still_in_use() {
    let start = Now::read();
    let at = |seconds| at(start, seconds);
    let mut cache = WatchCache::loaded_for_tests();
    cache.revision = 5;
    cache.set_current_as_of(start.monotonic);
    cache.apply(put(job_key(JobId(1)), 5, &open_job()));
    let next = |cache: &mut WatchCache, now: Now| cache.poll(now).remove(0);
    let (tag, op) = next(&mut cache, at(40));
    assert!(
        matches!(
            (&tag, op),
            (RequestTag::LagCheck { .. }, StoreRequest::Get { .. })
        ),
        "how far behind?"
    );
    cache.handle_response(
        at(40),
        tag,
        StoreResponse::Missing {
            revision: 5 + MAX_MISSED_BYTES / 8192,
        },
    );
    let (tag, op) = next(&mut cache, at(40));
    assert!(
        matches!(op, StoreRequest::Watch { after: 5, .. }),
        "near enough: {op:?}"
    );
    cache.handle_response(at(44), tag, StoreResponse::Unknown);
    let (tag, _) = next(&mut cache, at(45));
    assert!(
        matches!(tag, RequestTag::LagCheck { .. }),
        "the answer was too much after all, or none came"
    );
    cache.handle_response(at(45), tag, StoreResponse::Missing { revision: 9000 });
    let (tag, op) = next(&mut cache, at(45));
    assert!(matches!(op, StoreRequest::Range { .. }), "{op:?}");
    assert!(cache.is_loaded() && cache.open_jobs.contains_key(&JobId(1)));
    assert_eq!(cache.current_as_of(), Some(start.monotonic), "unchanged");
    let key_values = vec![KeyValue {
        key: job_key(JobId(2)),
        value: encode(&open_job()),
        version: 800,
    }];
    cache.handle_response(
        at(46),
        tag,
        StoreResponse::RangePage {
            key_values,
            more: false,
            revision: 9000,
        },
    );
    assert!(!cache.open_jobs.contains_key(&JobId(1)) && cache.open_jobs.contains_key(&JobId(2)));
    assert!(cache.take_changed().all);
    let (_, op) = next(&mut cache, at(46));
    assert!(
        matches!(op, StoreRequest::Watch { after: 9000, .. }),
        "{op:?}"
    );
}

/// Found by a seeded run: the place of a lost attempt hid the one that followed it, and the task was
/// released a second time.
#[test]
fn a_lost_attempt_does_not_hide_the_next_attempt_of_its_task() {
    let mut cache = WatchCache::loaded_for_tests();
    let (first, second) = (MachineId::from("m-000014"), MachineId::from("m-000011"));
    let (inventory, block) = (inventory_key(&"a.0".into()), placements_key(&"a.0".into()));
    cache.apply(put(job_key(JobId(1)), 1, &open_job()));
    cache.apply(put(inventory.clone(), 2, &inventory_of(&[&first, &second])));
    let attempt = |number| Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number,
    };
    let mut placements = BlockPlacements::default();
    placements.add(&first, attempt(7));
    cache.apply(put(block.clone(), 3, &placements));
    cache.apply(put(inventory, 4, &inventory_of(&[&second])));
    placements.add(&second, attempt(8));
    cache.apply(put(block.clone(), 5, &placements));
    let live: Vec<u64> = cache
        .live_placements()
        .flat_map(|live| live.attempts())
        .map(|attempt| attempt.number)
        .collect();
    assert_eq!(live, [8]);
    let placed = cache.job_placements(JobId(1));
    assert!(
        placed.values().any(|place| place.machine == second),
        "{placed:?}"
    );
    placements.remove(&first, attempt(7));
    cache.apply(put(block.clone(), 6, &placements));
    assert_eq!(cache.job_placements(JobId(1)).len(), 1);
}

/// What a controller is told by others goes before the watch, never against it.
#[test]
fn a_reported_cancellation_counts_until_the_cache_has_reached_its_version() {
    let mut cache = WatchCache::loaded_for_tests();
    let put = |id, version| put(job_key(JobId(id)), version, &open_job());
    (1..=3).for_each(|id| cache.apply(put(id, id)));
    cache.revision = 10;
    let _ = cache.take_changed();
    assert!(cache.record_cancellation(JobId(1), 9, 1000));
    assert!(
        !cache.open_jobs[&JobId(1)].cancelled,
        "the copy is newer and shows otherwise"
    );
    assert!(cache.record_cancellation(JobId(2), 12, 1000));
    assert!(cache.record_cancellation(JobId(2), 12, 1000));
    assert!(cache.open_jobs[&JobId(2)].cancelled && cache.open_jobs[&JobId(2)].version == 12);
    assert!(
        cache.has_changed()
            && cache
                .take_changed()
                .cancelled_or_ended_jobs
                .contains(&JobId(2))
    );
    // Of a job that is not in the copy yet.
    assert!(cache.record_cancellation(JobId(4), 13, 1000));
    cache.apply(put(4, 11));
    assert!(cache.open_jobs[&JobId(4)].cancelled);
    // Pages that were read before it was committed.
    cache.clear();
    (2..=4).for_each(|id| cache.apply(put(id, id)));
    assert!(
        cache.open_jobs[&JobId(2)].cancelled
            && cache.open_jobs[&JobId(4)].cancelled
            && !cache.open_jobs[&JobId(3)].cancelled
    );
    cache.sync.state = SyncState::Following { maybe_stale: false };
    let events = StoreResponse::WatchEvents {
        revision: 14,
        changes: Vec::new(),
    };
    cache.handle_watch_response(Now::read(), events);
    assert!(
        cache.cancellations.is_empty(),
        "the copy is new enough to know by itself"
    );
    // Nothing is claimed to be known that could not be kept.
    let most = 100..100 + MAX_PENDING_CANCELLATIONS as u64;
    assert!(
        most.clone()
            .all(|id| cache.record_cancellation(JobId(id), 20, 1000))
    );
    assert!(!cache.record_cancellation(JobId(most.end), 20, 1000));
    assert!(cache.record_cancellation(JobId(100), 20, 1000), "a repeat");
}
