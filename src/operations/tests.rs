use super::*;
use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::config::tests::SETTINGS;
use crate::domain::Term;
use crate::policy::Policy;
use crate::store::TransactionChange;
use crate::store::records::{FORMAT_KEY, FormatSwitch, LEADER_KEY};
use crate::store::tests::StoredKeys;

const LEADER_VERSION: u64 = 1;

/// A leader with its records, which handles requests of operators.
struct Leader {
    config: Config,
    policy: Policy,
    catalog: InstanceCatalog,
    draining: DrainCoordinator,
    requests: OperatorRequests,
    cache: WatchCache,
    keys: StoredKeys,
    now: Now,
}

impl Leader {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("valid settings");
        let now = Now::read();
        let settings = dappleshore_drain::DrainSettings {
            enabled: true,
            ..Default::default()
        };
        let mut leader = Leader {
            policy: Policy::built_in(&config),
            config,
            catalog: InstanceCatalog::default(),
            draining: DrainCoordinator::new(now, settings),
            requests: OperatorRequests::default(),
            cache: WatchCache::loaded_for_tests(),
            keys: StoredKeys::with_versions([(LEADER_KEY, LEADER_VERSION)]),
            now,
        };
        let format = FormatSwitch {
            version: DRAIN_FORMAT,
        };
        leader.put(FORMAT_KEY.to_owned(), encode(&format));
        leader
    }

    fn put(&mut self, key: String, value: ciborium::Value) {
        self.keys.set(&mut self.cache, key, Some(value));
        self.cache.revision = self.keys.revision;
    }

    /// Commits a transaction that deletes nothing, if its conditions hold.
    fn execute(&mut self, txn: &Transaction) -> StoreResponse {
        let is_put = |change: &TransactionChange| matches!(change, TransactionChange::Put { .. });
        assert!(txn.changes.iter().all(is_put), "{:?}", txn.changes);
        let response = self.keys.execute(&mut self.cache, txn);
        self.cache.revision = self.keys.revision;
        response
    }

    /// Polls the requests after this time, with a current cache. Returns the replies and the next transaction.
    fn poll_after(&mut self, elapsed: Duration) -> (Vec<Reply>, Option<Transaction>) {
        self.now.monotonic += elapsed;
        self.cache.set_current_as_of(self.now.monotonic);
        let leader = LeaderContext {
            config: &self.config,
            policy: &self.policy,
            catalog: &self.catalog,
            term: Term(1),
            record_version: LEADER_VERSION,
            max_changes: 16,
            has_spare_writes: true,
        };
        let context = Context {
            leader: &leader,
            draining: Some(&self.draining),
        };
        let result = self.requests.poll(self.now, &context, &mut self.cache);
        let txn = result.request.map(|request| {
            let StoreRequest::Commit(txn) = request else {
                panic!("not a transaction: {request:?}");
            };
            txn
        });
        let replies = result.replies.into_iter().map(|(_, reply)| reply);
        (replies.collect(), txn)
    }
}

/// Guards against a reply that nothing has to change, after which an earlier request is still carried out.
#[test]
fn a_request_that_got_no_response_is_not_carried_out_after_a_later_one_was_answered() {
    let mut leader = Leader::new();
    let team = leader.config.teams[0].name.clone();
    let set = Request::SetBudget {
        team: team.clone(),
        class: None,
        limit: Limit::Count(3),
    };
    leader.requests.add_request(leader.now, 1, set);
    let (_, unanswered) = leader.poll_after(Duration::ZERO);
    let unanswered = unanswered.expect("the budget is recorded");
    let no_response = StoreResponse::Unknown;
    leader
        .requests
        .handle_store_response(leader.now, &no_response);
    let (replies, _) = leader.poll_after(REPLY_TIMEOUT);
    assert!(
        matches!(replies[..], [Reply::Problem(_)]),
        "the outcome is unknown: {replies:?}"
    );
    let clear = Request::ClearBudget { team, class: None };
    leader.requests.add_request(leader.now, 2, clear);
    let mut replies = Vec::new();
    while replies.is_empty() {
        let (new_replies, txn) = leader.poll_after(Duration::from_secs(1));
        replies = new_replies;
        if let Some(txn) = txn {
            let response = leader.execute(&txn);
            leader.requests.handle_store_response(leader.now, &response);
        }
    }
    assert!(matches!(replies[..], [Reply::Budgets(_)]), "{replies:?}");
    assert_eq!(leader.execute(&unanswered), StoreResponse::Conflict);
}
