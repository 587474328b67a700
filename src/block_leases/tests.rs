use super::*;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{Incarnation, Term};
use crate::store::records::{Member, encode, member_key};
use crate::store::{Change, TransactionChange};

/// A controller that can't do a holder's work must not win blocks back at once: they would go to and fro.
#[test]
fn blocks_leave_a_suspended_holder_and_stay_away_longer_each_time() {
    let config = Config::parse("s.toml", SETTINGS).expect("valid");
    let policy = Policy::defaults(&config);
    let mut catalog = InstanceCatalog::default();
    catalog.answered(Some(InstanceTypeList {
        types: vec![instance_type()],
    }));
    let start = Now::read();
    let at = |seconds: u64| Now {
        monotonic: start.monotonic + Duration::from_secs(seconds),
        ..start
    };
    let mut cache = WatchCache::following();
    let other = config.peers[0].name.clone();
    for (version, controller) in [(1, &config.name), (2, &other)] {
        let change = Change {
            key: member_key(controller),
            version,
            value: Some(encode(&Member {
                incarnation: Incarnation(1),
                format: 0,
            })),
        };
        cache.apply(change);
    }
    let mut block_lease_manager = BlockLeaseManager::new();
    let mut version = 2;
    // Grants what is due and commits it. Returns how many blocks the other one holds.
    let mut lease = |block_lease_manager: &mut BlockLeaseManager, now: Now| {
        let leader = LeaderContext {
            config: &config,
            policy: &policy,
            catalog: &catalog,
            term: Term(1),
            version: 1,
            batch: 16,
            spare: true,
        };
        for _ in 0..40 {
            block_lease_manager.record_heartbeat(now, &other, Incarnation(1));
            block_lease_manager.writer = Writer::Idle;
            let Some(StoreRequest::Commit(txn)) =
                block_lease_manager.poll(now, &leader, &mut cache)
            else {
                break;
            };
            version += 1;
            for change in txn.changes {
                let TransactionChange::Put { key, value, .. } = change else {
                    panic!("{change:?}")
                };
                cache.apply(Change {
                    key,
                    version,
                    value: Some(value),
                });
            }
        }
        cache
            .block_leases
            .values()
            .filter(|lease| lease.value.holder == other)
            .count()
    };
    lease(&mut block_lease_manager, at(0));
    block_lease_manager.writer = Writer::Idle;
    assert!(lease(&mut block_lease_manager, at(1)) > 0);
    block_lease_manager.suspend_holder(at(10), &other);
    assert_eq!(lease(&mut block_lease_manager, at(10)), 0);
    assert_eq!(lease(&mut block_lease_manager, at(39)), 0);
    assert!(lease(&mut block_lease_manager, at(41)) > 0);
    block_lease_manager.suspend_holder(at(50), &other);
    assert_eq!(lease(&mut block_lease_manager, at(100)), 0, "twice as long");
    assert!(lease(&mut block_lease_manager, at(111)) > 0);
    // If nobody can do it, things stay as they are.
    block_lease_manager.suspend_holder(at(120), &other);
    block_lease_manager.suspend_holder(at(120), &config.name);
    assert!(lease(&mut block_lease_manager, at(121)) > 0);
}
