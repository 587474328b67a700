use super::*;

fn millis_after(start: Now, millis: u64) -> Now {
    Now {
        monotonic: start.monotonic + Duration::from_millis(millis),
        ..start
    }
}

/// Whether a writer may write this long after this outcome, with a cache that is always recent
/// enough.
fn can_write_after(outcome: &StoreResponse, millis: u64) -> bool {
    let start = Now::read();
    let mut cache = WatchCache::loaded_for_tests();
    cache.set_current_as_of(millis_after(start, 60_000).monotonic);
    let mut writer = WriterState::Idle;
    writer.mark_sent();
    assert!(
        !writer.can_write(start, &mut cache),
        "only one transaction at a time"
    );
    writer.record_response(start, outcome);
    writer.can_write(millis_after(start, millis), &mut cache)
}

/// A transaction that was too large was resent five times a second, and each attempt used up part
/// of the write rate.
#[test]
fn a_rejected_write_is_retried_later_than_a_refused_one() {
    assert!(can_write_after(&StoreResponse::Refused, 250));
    assert!(can_write_after(&StoreResponse::Conflict, 250));
    assert!(!can_write_after(&StoreResponse::Invalid, 250));
    assert!(!can_write_after(&StoreResponse::Invalid, 1900));
    assert!(can_write_after(&StoreResponse::Invalid, 2100));
}
