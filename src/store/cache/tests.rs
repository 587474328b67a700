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

/// This many seconds after `start`.
fn seconds_after(start: Now, seconds: u64) -> Now {
    Now {
        monotonic: start.monotonic + Duration::from_secs(seconds),
        ..start
    }
}

/// A change that sets a key to a record at this version.
fn put(key: String, version: u64, record: &impl Record) -> Change {
    Change {
        key,
        version,
        value: Some(encode(record)),
    }
}

/// The record of an open job with one task.
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

/// Seen in a benchmark: a controller that had lost contact with the state service for 46 s
/// requested all changes since then. The response was larger than it could receive, and it repeated
/// the request forever.
#[test]
fn a_cache_that_is_far_behind_stays_readable_while_it_is_reloaded() {
    let start = Now::read();
    let at = |seconds| seconds_after(start, seconds);
    let mut cache = WatchCache::loaded_for_tests();
    cache.revision = 5;
    cache.set_current_as_of(start.monotonic);
    cache.apply(put(job_key(JobId(1)), 5, &open_job()));
    let next = |cache: &mut WatchCache, now: Now| cache.poll(now).remove(0);
    let (tag, request) = next(&mut cache, at(40));
    assert!(
        matches!(
            (&tag, request),
            (RequestTag::LagCheck { .. }, StoreRequest::Get { .. })
        ),
        "a cache that may be stale checks its lag first"
    );
    cache.handle_response(
        at(40),
        tag,
        StoreResponse::Missing {
            revision: 5 + MAX_MISSED_BYTES / 8192,
        },
    );
    let (tag, request) = next(&mut cache, at(40));
    assert!(
        matches!(request, StoreRequest::Watch { after: 5, .. }),
        "a cache within the limit follows changes: {request:?}"
    );
    cache.handle_response(at(44), tag, StoreResponse::Unknown);
    let (tag, _) = next(&mut cache, at(45));
    assert!(
        matches!(tag, RequestTag::LagCheck { .. }),
        "a watch without a response is followed by a lag check"
    );
    cache.handle_response(at(45), tag, StoreResponse::Missing { revision: 9000 });
    let (tag, request) = next(&mut cache, at(45));
    assert!(matches!(request, StoreRequest::Range { .. }), "{request:?}");
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
    let (_, request) = next(&mut cache, at(46));
    assert!(
        matches!(request, StoreRequest::Watch { after: 9000, .. }),
        "{request:?}"
    );
}

/// Seen in a simulation: the placement of a lost attempt hid the attempt that replaced it, and the
/// task was released a second time.
#[test]
fn a_lost_attempt_does_not_hide_the_next_attempt_of_its_task() {
    let mut cache = WatchCache::loaded_for_tests();
    let (first, second) = (MachineId::from("m-000014"), MachineId::from("m-000011"));
    let (machines_key, tasks_key) = (inventory_key(&"a.0".into()), placements_key(&"a.0".into()));
    cache.apply(put(job_key(JobId(1)), 1, &open_job()));
    cache.apply(put(
        machines_key.clone(),
        2,
        &inventory_of(&[&first, &second]),
    ));
    let attempt = |number| Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number,
    };
    let mut placements = BlockPlacements::default();
    placements.add(&first, attempt(7));
    cache.apply(put(tasks_key.clone(), 3, &placements));
    cache.apply(put(machines_key, 4, &inventory_of(&[&second])));
    placements.add(&second, attempt(8));
    cache.apply(put(tasks_key.clone(), 5, &placements));
    let live: Vec<u64> = cache
        .live_placements()
        .flat_map(|live| live.attempts())
        .map(|attempt| attempt.number)
        .collect();
    assert_eq!(live, [8]);
    let placed = cache.job_placements(JobId(1));
    assert!(
        placed.values().any(|placement| placement.machine == second),
        "{placed:?}"
    );
    placements.remove(&first, attempt(7));
    cache.apply(put(tasks_key.clone(), 6, &placements));
    assert_eq!(cache.job_placements(JobId(1)).len(), 1);
}

/// A cancellation reported by another controller applies only until the cache has reached its
/// version, and never overrides newer records.
#[test]
fn a_reported_cancellation_applies_until_the_cache_has_reached_its_version() {
    let mut cache = WatchCache::loaded_for_tests();
    let put_job = |id, version| put(job_key(JobId(id)), version, &open_job());
    (1..=3).for_each(|id| cache.apply(put_job(id, id)));
    cache.revision = 10;
    let _ = cache.take_changed();
    assert!(cache.record_cancellation(JobId(1), 9, 1000));
    assert!(
        !cache.open_jobs[&JobId(1)].cancelled,
        "the cache is newer and the job is not cancelled"
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
    // A cancellation of a job that is not in the cache yet.
    assert!(cache.record_cancellation(JobId(4), 13, 1000));
    cache.apply(put_job(4, 11));
    assert!(cache.open_jobs[&JobId(4)].cancelled);
    // Pages of a reload that were read before the cancellation was committed.
    cache.clear();
    (2..=4).for_each(|id| cache.apply(put_job(id, id)));
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
        "cancellations that the cache contains are removed"
    );
    // Cancellations above the limit are reported as not stored.
    let job_ids = 100..100 + MAX_PENDING_CANCELLATIONS as u64;
    assert!(
        job_ids
            .clone()
            .all(|id| cache.record_cancellation(JobId(id), 20, 1000))
    );
    assert!(!cache.record_cancellation(JobId(job_ids.end), 20, 1000));
    assert!(
        cache.record_cancellation(JobId(100), 20, 1000),
        "a repeated cancellation is stored"
    );
}
