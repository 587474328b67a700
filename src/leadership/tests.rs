use super::*;
use crate::domain::Incarnation;

/// Guards against a leader that acts after its lease has expired. Found on the bench: a leader that was paused for
/// half a minute deleted machines after it resumed, before it learned that another leader had been elected.
#[test]
fn authority_lasts_for_the_life_of_the_lease_counted_from_before_it_was_requested() {
    let start = Now::read();
    let at = |ms: u64| Now {
        monotonic: start.monotonic + Duration::from_millis(ms),
        ..start
    };
    let cache = WatchCache::loaded_for_tests();
    let mut leadership = Leadership::new("node-0".into(), Incarnation(1), 0);
    let respond =
        |leadership: &mut Leadership, now: Now, sent: Now, tag: Tag, outcome: StoreResponse| {
            leadership.handle_response(now, sent.monotonic, tag, &outcome, &cache);
        };
    let has_authority = |leadership: &Leadership, now: Now| {
        leadership
            .authority_until()
            .is_some_and(|until| now.monotonic < until)
    };
    respond(
        &mut leadership,
        at(900),
        at(0),
        Tag::GrantLease(LeaseRole::Leader),
        StoreResponse::LeaseGranted { id: 7 },
    );
    assert!(
        !has_authority(&leadership, at(900)),
        "the leader record is not written yet"
    );
    respond(
        &mut leadership,
        at(1000),
        at(900),
        Tag::AttachKey(LeaseRole::Leader, 7),
        StoreResponse::Committed { revision: 1 },
    );
    assert!(has_authority(&leadership, at(3400)));
    assert!(
        !has_authority(&leadership, at(3500)),
        "the TTL counts from the time the lease was requested"
    );
    respond(
        &mut leadership,
        at(3600),
        at(2000),
        Tag::KeepAlive(LeaseRole::Leader, 7),
        StoreResponse::LeaseGranted { id: 7 },
    );
    assert!(has_authority(&leadership, at(5400)));
    assert!(
        !has_authority(&leadership, at(5600)),
        "the TTL counts from the time the keep-alive was sent, not from the response"
    );
    respond(
        &mut leadership,
        at(5600),
        at(5000),
        Tag::KeepAlive(LeaseRole::Leader, 7),
        StoreResponse::Refused,
    );
    assert!(!has_authority(&leadership, at(5700)));
}
