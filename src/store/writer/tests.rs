use super::*;

fn millis_after(start: Now, millis: u64) -> Now {
    Now {
        monotonic: start.monotonic + Duration::from_millis(millis),
        ..start
    }
}

/// Whether it may write so long after this outcome, with a copy that is always new enough.
fn can_write_after(outcome: &StoreResponse, millis: u64) -> bool {
    let start = Now::read();
    let mut cache = WatchCache::loaded_for_tests();
    cache.set_current_as_of(millis_after(start, 60_000).monotonic);
    let mut writer = WriterState::Idle;
    writer.mark_sent();
    assert!(!writer.can_write(start, &mut cache), "one at a time");
    writer.record_response(start, outcome);
    writer.can_write(millis_after(start, millis), &mut cache)
}

/// A transaction that is too large was sent again five times a second, and each time cost its share of the rate.
#[test]
fn a_rejected_write_is_retried_later_than_a_refused_one() {
    assert!(can_write_after(&StoreResponse::Refused, 250));
    assert!(can_write_after(&StoreResponse::Conflict, 250));
    assert!(!can_write_after(&StoreResponse::Invalid, 250));
    assert!(!can_write_after(&StoreResponse::Invalid, 1900));
    assert!(can_write_after(&StoreResponse::Invalid, 2100));
}
