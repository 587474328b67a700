use super::*;
use crate::store::Transaction;

const LIMITS: StateLimits = StateLimits {
    rps: 10.0,
    write_rps: 2.0,
    value_bytes: 8192,
    txn_ops: 16,
};

fn write() -> StoreRequest {
    StoreRequest::Commit(Transaction::default().delete("k"))
}

fn millis_after(start: Now, millis: u64) -> Now {
    Now {
        monotonic: start.monotonic + Duration::from_millis(millis),
        ..start
    }
}

/// A limiter for one of this many controllers, with this limit of writes per second.
fn with_write_rate(write_rps: f64, controllers: usize, start: Now) -> RequestRateLimiter<i32> {
    let limits = StateLimits {
        write_rps,
        ..LIMITS
    };
    RequestRateLimiter::new(&limits, controllers, start)
}

/// The tags of the requests that are sent at this time.
fn send_ready(rate_limiter: &mut RequestRateLimiter<i32>, now: Now) -> Vec<i32> {
    let ready = rate_limiter.take_ready(now);
    ready.iter().map(|(tag, _)| *tag).collect()
}

#[test]
fn writes_are_sent_by_priority_within_the_rate() {
    let start = Now::read();
    let mut rate_limiter = RequestRateLimiter::new(&LIMITS, 1, start);
    for n in 0..4 {
        assert!(
            rate_limiter
                .push(RequestPriority::Placement, n, write())
                .is_ok()
        );
    }
    assert!(rate_limiter.push(RequestPriority::User, 9, write()).is_ok());
    // At 1.8 writes per second the user's write is sent at once, and the others as soon as one
    // write would remain for the next user.
    assert!(rate_limiter.has_spare_writes(start));
    assert_eq!(send_ready(&mut rate_limiter, start), [9]);
    assert!(!rate_limiter.has_spare_writes(start));
    assert_eq!(
        send_ready(&mut rate_limiter, millis_after(start, 400)),
        [] as [i32; 0]
    );
    assert_eq!(send_ready(&mut rate_limiter, millis_after(start, 700)), [0]);
    assert!(
        rate_limiter
            .push(RequestPriority::User, 10, write())
            .is_ok()
    );
    assert_eq!(
        send_ready(&mut rate_limiter, millis_after(start, 900)),
        [10]
    );
}

/// Seen in an incident: one-task jobs arrived at ten per second, and each waited for a write of its
/// own.
#[test]
fn concurrent_submissions_use_the_writes_reserved_for_users() {
    let start = Now::read();
    let mut rate_limiter = with_write_rate(10.0, 1, start);
    for n in 0..100 {
        assert!(
            rate_limiter
                .push(RequestPriority::Placement, n, write())
                .is_ok()
        );
    }
    // Nine writes per second, 3.6 of which are reserved for users whatever is queued.
    assert_eq!(rate_limiter.take_ready(start).len(), 5);
    let sent_in_a_second: usize = (1..=10)
        .map(|n| rate_limiter.take_ready(millis_after(start, n * 100)).len())
        .sum();
    assert!(
        (8..=9).contains(&sent_in_a_second),
        "{sent_in_a_second} writes were sent: the rest of the rate is used"
    );
    for n in 200..203 {
        assert!(rate_limiter.push(RequestPriority::User, n, write()).is_ok());
    }
    assert_eq!(
        send_ready(&mut rate_limiter, millis_after(start, 1000)),
        [200, 201, 202]
    );
}

/// Seen in a benchmark: a leader's batches waited for a full bucket, which single writes never let
/// fill.
#[test]
fn small_writes_of_lower_priority_do_not_starve_a_large_write() {
    let start = Now::read();
    let mut rate_limiter = with_write_rate(10.0, 1, start);
    let batch = StoreRequest::Commit(
        (0..9).fold(Transaction::default(), |txn, n| txn.delete(format!("k{n}"))),
    );
    assert!(
        rate_limiter
            .push(RequestPriority::Placement, 1, write())
            .is_ok()
    );
    assert_eq!(send_ready(&mut rate_limiter, start), [1]);
    assert!(
        rate_limiter
            .push(RequestPriority::JobCompletion, 2, batch)
            .is_ok()
    );
    for n in 0..20 {
        assert!(
            rate_limiter
                .push(RequestPriority::Placement, 10 + n, write())
                .is_ok()
        );
    }
    let order: Vec<i32> = (0..30)
        .flat_map(|n| send_ready(&mut rate_limiter, millis_after(start, n * 40)))
        .collect();
    assert_eq!(order.first(), Some(&2), "{order:?}");
}

#[test]
fn only_repeated_refusals_count_as_an_outage() {
    let start = Now::read();
    let mut rate_limiter: RequestRateLimiter<()> = RequestRateLimiter::new(&LIMITS, 1, start);
    assert!(!rate_limiter.available(start));
    rate_limiter.record_response(start, &StoreResponse::Conflict);
    rate_limiter.record_response(millis_after(start, 100), &StoreResponse::Refused);
    assert!(rate_limiter.available(millis_after(start, 200)));
    rate_limiter.record_response(millis_after(start, 1500), &StoreResponse::Unknown);
    assert!(!rate_limiter.available(millis_after(start, 1600)));
    rate_limiter.record_response(millis_after(start, 1700), &StoreResponse::Conflict);
    assert!(rate_limiter.available(millis_after(start, 1700)));
}

/// Seen in a benchmark: at a low rate a block's write of five changes was sent when the bucket was
/// full and used the writes reserved for users. Submissions then waited for most of a second.
#[test]
fn a_deferrable_write_leaves_the_writes_reserved_for_users() {
    let start = Now::read();
    let mut rate_limiter = with_write_rate(15.0, 3, start);
    let max_changes = rate_limiter.max_deferrable_batch(5);
    assert!((1..5).contains(&max_changes), "{max_changes} changes");
    let batch = (0..max_changes).fold(Transaction::default(), |txn, n| txn.delete(n.to_string()));
    assert!(
        rate_limiter
            .push(RequestPriority::Placement, 0, StoreRequest::Commit(batch))
            .is_ok()
    );
    assert_eq!(rate_limiter.take_ready(start).len(), 1);
    assert!(rate_limiter.push(RequestPriority::User, 1, write()).is_ok());
    assert_eq!(
        rate_limiter.take_ready(start).len(),
        1,
        "the user's write is sent at once"
    );
    assert_eq!(
        rate_limiter.max_deferrable_batch(1),
        1,
        "at least one change, however low the rate"
    );
}
