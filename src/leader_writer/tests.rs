use std::time::Duration;

use super::*;
use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::config::tests::SETTINGS;
use crate::domain::Term;
use crate::policy::Policy;
use crate::store::TransactionChange;
use crate::store::records::Change;

const MODULE: FencedModule = FencedModule::Provisioning;

/// A writer with a state service that has one record: the writer's fence.
struct WriterFixture {
    config: Config,
    policy: Policy,
    catalog: InstanceCatalog,
    now: Now,
    cache: WatchCache,
    writer: LeaderWriter,
}

fn leader_context<'a>(
    config: &'a Config,
    policy: &'a Policy,
    catalog: &'a InstanceCatalog,
    record_version: u64,
) -> LeaderContext<'a> {
    LeaderContext {
        config,
        policy,
        catalog,
        term: Term(1),
        record_version,
        max_changes: 16,
        has_spare_writes: true,
    }
}

impl WriterFixture {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("valid settings");
        WriterFixture {
            policy: Policy::built_in(&config),
            config,
            catalog: InstanceCatalog::default(),
            now: Now::read(),
            cache: WatchCache::loaded_for_tests(),
            writer: LeaderWriter::new(MODULE, WriterState::Idle),
        }
    }

    /// Lets time pass until the next transaction may be prepared from a current cache.
    fn poll(&mut self, leader_version: u64) -> WriteTurn {
        self.now.monotonic += Duration::from_secs(1);
        self.cache.set_current_as_of(self.now.monotonic);
        let leader = leader_context(&self.config, &self.policy, &self.catalog, leader_version);
        self.writer.poll(self.now, &leader, &mut self.cache)
    }

    /// Sends a transaction, which gets this response.
    fn send(&mut self, leader_version: u64, response: &StoreResponse) -> Transaction {
        assert!(matches!(self.poll(leader_version), WriteTurn::Ready));
        let leader = leader_context(&self.config, &self.policy, &self.catalog, leader_version);
        let txn = self.writer.begin(&leader, &self.cache);
        self.writer.send(&leader, txn.clone());
        self.writer.record_response(self.now, response);
        txn
    }

    /// Sends the fence, which has to be due, and returns the transaction that writes it.
    fn send_fence(&mut self, leader_version: u64, response: &StoreResponse) -> Transaction {
        let WriteTurn::Fence(StoreRequest::Commit(txn)) = self.poll(leader_version) else {
            panic!("the fence is not written");
        };
        self.writer.record_response(self.now, response);
        txn
    }

    /// Executes the transaction that writes the fence, with this revision.
    fn execute(&mut self, txn: &Transaction, revision: u64) {
        let [TransactionChange::Put { key, value, .. }] = &txn.changes[..] else {
            panic!("the fence is not the only change: {txn:?}");
        };
        self.cache.apply(Change {
            key: key.clone(),
            version: revision,
            value: Some(value.clone()),
        });
        self.cache.revision = revision;
    }

    /// Whether the conditions of the transaction on the fence still hold.
    fn may_be_executed(&self, txn: &Transaction) -> bool {
        let version = version_of(self.cache.write_fences.get(&MODULE));
        let mut conditions = txn.conditions.iter();
        let fence_key = write_fence_key(MODULE);
        conditions.all(|(key, required)| *key != fence_key || *required == version)
    }
}

/// Guards against a transaction that is executed late, after newer ones were decided on the assumption that it failed.
#[test]
fn nothing_is_decided_after_an_unknown_outcome_until_the_transaction_can_no_longer_be_executed() {
    let mut fixture = WriterFixture::new();
    let unanswered = fixture.send(1, &StoreResponse::Unknown);
    for response in [StoreResponse::Refused, StoreResponse::Unknown] {
        fixture.send_fence(1, &response);
    }
    assert!(fixture.may_be_executed(&unanswered));
    let committed = StoreResponse::Committed { revision: 7 };
    let fence = fixture.send_fence(1, &committed);
    assert!(
        matches!(fixture.poll(1), WriteTurn::Wait),
        "the cache does not show whether the transaction was executed before the fence"
    );
    fixture.execute(&fence, 7);
    assert!(!fixture.may_be_executed(&unanswered));
    assert!(!fixture.may_be_executed(&fence), "a fence is written once");
    let next = fixture.send(1, &StoreResponse::Committed { revision: 7 });
    assert!(fixture.may_be_executed(&next));
}

#[test]
fn a_known_outcome_needs_no_fence() {
    let mut fixture = WriterFixture::new();
    for response in [
        StoreResponse::Conflict,
        StoreResponse::Refused,
        StoreResponse::Invalid,
    ] {
        fixture.send(1, &response);
        fixture.now.monotonic += Duration::from_secs(2);
    }
    assert!(matches!(fixture.poll(1), WriteTurn::Ready));
}

#[test]
fn a_transaction_of_an_earlier_term_needs_no_fence() {
    let mut fixture = WriterFixture::new();
    fixture.send(1, &StoreResponse::Unknown);
    assert!(matches!(fixture.poll(2), WriteTurn::Ready));
    fixture.send(2, &StoreResponse::Unknown);
    fixture.send_fence(2, &StoreResponse::Unknown);
}
