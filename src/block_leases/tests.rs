//! Tests of the choice of holders.

use super::*;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{Incarnation, Term};
use crate::store::records::{Member, encode, member_key};
use crate::store::{Change, TransactionChange};

/// A leader and one other controller, both of them members.
struct Fixture {
    config: Config,
    policy: Policy,
    catalog: InstanceCatalog,
    start: Now,
    cache: WatchCache,
    /// The version of the last record written.
    version: u64,
    other: ControllerName,
    manager: BlockLeaseManager,
    term: Term,
}

impl Fixture {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the test settings are valid");
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let mut cache = WatchCache::loaded_for_tests();
        let other = config.peers[0].name.clone();
        for (version, controller) in [(1, &config.name), (2, &other)] {
            cache.apply(Change {
                key: member_key(controller),
                version,
                value: Some(encode(&Member {
                    incarnation: Incarnation(1),
                    format: 0,
                })),
            });
        }
        Fixture {
            policy: Policy::built_in(&config),
            config,
            catalog,
            start: Now::read(),
            cache,
            version: 2,
            other,
            manager: BlockLeaseManager::new(),
            term: Term(1),
        }
    }

    fn at(&self, seconds: u64) -> Now {
        Now {
            monotonic: self.start.monotonic + Duration::from_secs(seconds),
            ..self.start
        }
    }

    fn suspend(&mut self, seconds: u64, controller: &ControllerName) {
        self.manager.suspend_holder(self.at(seconds), controller);
    }

    /// Commits the leases that are due at this time. Returns the number of blocks that the other controller holds.
    fn commit_leases(&mut self, seconds: u64) -> usize {
        let now = self.at(seconds);
        let leader = LeaderContext {
            config: &self.config,
            policy: &self.policy,
            catalog: &self.catalog,
            term: self.term,
            record_version: 1,
            max_changes: 16,
            has_spare_writes: true,
        };
        for _ in 0..40 {
            self.manager
                .record_heartbeat(now, &self.other, Incarnation(1));
            self.manager.writer = WriterState::Idle;
            let Some(StoreRequest::Commit(transaction)) =
                self.manager.poll(now, &leader, &mut self.cache)
            else {
                break;
            };
            self.version += 1;
            for change in transaction.changes {
                let TransactionChange::Put { key, value, .. } = change else {
                    panic!("{change:?}")
                };
                self.cache.apply(Change {
                    key,
                    version: self.version,
                    value: Some(value),
                });
            }
        }
        let leases = self.cache.block_leases.values();
        leases
            .filter(|lease| lease.value.holder == self.other)
            .count()
    }
}

/// Guards against blocks that move back and forth: a holder that can't reach its machines must not get them back at
/// once.
#[test]
fn blocks_leave_a_suspended_holder_and_stay_away_longer_each_time() {
    let mut fixture = Fixture::new();
    let other = fixture.other.clone();
    fixture.commit_leases(0);
    fixture.manager.writer = WriterState::Idle;
    assert!(fixture.commit_leases(1) > 0);
    fixture.suspend(10, &other);
    assert_eq!(fixture.commit_leases(10), 0);
    assert_eq!(fixture.commit_leases(39), 0);
    assert!(fixture.commit_leases(41) > 0);
    fixture.suspend(50, &other);
    assert_eq!(
        fixture.commit_leases(100),
        0,
        "the second suspension lasts twice as long"
    );
    assert!(fixture.commit_leases(111) > 0);
    // If all controllers are suspended, blocks stay with their holders.
    let leader = fixture.config.name.clone();
    fixture.suspend(120, &other);
    fixture.suspend(120, &leader);
    assert!(fixture.commit_leases(121) > 0);
}

/// Guards against leases that no leader renews, for which all releases wait: those of blocks that a restart with a lower
/// `blocks_per_controller`, or with fewer controllers or zones, no longer requires.
#[test]
fn a_new_leader_renews_the_leases_of_blocks_that_are_no_longer_required() {
    let mut fixture = Fixture::new();
    fixture.policy.blocks_per_controller = 2;
    fixture.commit_leases(0);
    fixture.commit_leases(1);
    let leased = fixture.cache.block_leases.len();
    fixture.policy.blocks_per_controller = 1;
    let zones = fixture.catalog.zones(&fixture.config);
    let required = required_blocks(&zones, &fixture.config, &fixture.policy, &fixture.cache);
    assert!(required.len() < leased, "{required:?} of {leased}");
    fixture.term = Term(2);
    // The holder of some of them is gone.
    fixture.cache.apply(Change {
        key: member_key(&fixture.other),
        version: fixture.version,
        value: None,
    });
    fixture.commit_leases(2);
    fixture.commit_leases(3);
    assert_eq!(fixture.cache.block_leases.len(), leased);
    for (block, lease) in &fixture.cache.block_leases {
        assert_eq!(lease.value.term, Term(2), "{block}");
        assert_eq!(lease.value.holder, fixture.config.name, "{block}");
    }
}
