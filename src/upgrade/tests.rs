//! Tests of the conditions for the switch of the record format.

use super::*;
use crate::cloud::InstanceCatalog;
use crate::config::tests::SETTINGS;
use crate::domain::{Incarnation, Term};
use crate::policy::Policy;
use crate::store::Change;
use crate::store::records::{Member, PARTS_FORMAT, encode};

struct Fixture {
    config: Config,
    cache: WatchCache,
    version: u64,
}

impl Fixture {
    fn new() -> Self {
        Fixture {
            config: Config::parse("s.toml", SETTINGS).expect("the test settings are valid"),
            cache: WatchCache::loaded_for_tests(),
            version: 0,
        }
    }

    fn put_member(&mut self, controller: &str, format: u32) {
        self.version += 1;
        self.cache.apply(Change {
            key: member_key(&controller.into()),
            version: self.version,
            value: Some(encode(&Member {
                incarnation: Incarnation(1),
                format,
            })),
        });
    }

    fn poll(&mut self, upgrade: &mut Upgrade) -> Option<Transaction> {
        let policy = Policy::built_in(&self.config);
        let leader = LeaderContext {
            config: &self.config,
            policy: &policy,
            catalog: &InstanceCatalog::default(),
            term: Term(1),
            record_version: 9,
            max_changes: 16,
            has_spare_writes: true,
        };
        match upgrade.poll(Now::read(), &leader, &mut self.cache)? {
            StoreRequest::Commit(transaction) => Some(transaction),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn the_format_is_switched_on_once_every_controller_supports_it() {
    let mut fixture = Fixture::new();
    let mut upgrade = Upgrade::new();
    fixture.put_member("node-0", NEWEST_FORMAT);
    fixture.put_member("node-1", NEWEST_FORMAT);
    assert_eq!(fixture.poll(&mut upgrade), None, "node-2 is not a member");
    fixture.put_member("node-2", 0);
    assert_eq!(
        fixture.poll(&mut upgrade),
        None,
        "node-2 still runs the production version"
    );
    fixture.put_member("node-2", NEWEST_FORMAT);
    let transaction = fixture
        .poll(&mut upgrade)
        .expect("all controllers support the format");
    let conditions: Vec<(&str, u64)> = transaction
        .conditions
        .iter()
        .map(|(key, version)| (key.as_str(), *version))
        .collect();
    assert_eq!(
        conditions,
        [
            ("dappleshore/leader", 9),
            ("dappleshore/format", 0),
            ("dappleshore/node/node-1", 2),
            ("dappleshore/node/node-2", 4),
            ("dappleshore/node/node-0", 1),
        ]
    );
    assert_eq!(
        fixture.poll(&mut upgrade),
        None,
        "a transaction is in flight"
    );
}

#[test]
fn the_switch_is_neither_reverted_nor_written_again() {
    let mut fixture = Fixture::new();
    for controller in ["node-0", "node-1", "node-2"] {
        fixture.put_member(controller, NEWEST_FORMAT);
    }
    fixture.version += 1;
    fixture.cache.apply(Change {
        key: FORMAT_KEY.to_owned(),
        version: fixture.version,
        value: Some(encode(&FormatSwitch {
            version: NEWEST_FORMAT,
        })),
    });
    fixture.put_member("node-2", 0);
    assert_eq!(fixture.cache.format(), NEWEST_FORMAT);
    assert_eq!(fixture.poll(&mut Upgrade::new()), None);
}

#[test]
fn the_newest_format_that_all_controllers_support_is_switched_on() {
    let mut fixture = Fixture::new();
    for (controller, format) in [
        ("node-0", NEWEST_FORMAT),
        ("node-1", PARTS_FORMAT),
        ("node-2", NEWEST_FORMAT),
    ] {
        fixture.put_member(controller, format);
    }
    let written_format = |transaction: Transaction| match transaction.changes.as_slice() {
        [crate::store::TransactionChange::Put { value, .. }] => value
            .deserialized::<FormatSwitch>()
            .map(|switch| switch.version)
            .ok(),
        _ => None,
    };
    let transaction = fixture
        .poll(&mut Upgrade::new())
        .expect("all controllers support the format");
    assert_eq!(written_format(transaction), Some(PARTS_FORMAT));
    fixture.put_member("node-1", NEWEST_FORMAT);
    let transaction = fixture
        .poll(&mut Upgrade::new())
        .expect("all controllers support the format");
    assert_eq!(written_format(transaction), Some(NEWEST_FORMAT));
}
