//! Leader election: the leader record goes to whoever writes it first while there is none.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use tracing::info;

use super::{Leadership, Tag};
use crate::domain::{Now, Term, since};
use crate::store::records::{LEADER, Leader, TOKEN, Token};
use crate::store::{StoreRequest, Transaction, WatchCache};

/// A candidate waits for a random time below this, in milliseconds, so that one of them is first.
const MAX_ELECTION_DELAY_MS: u64 = 200;

/// A election_delay of the leader's place as this process has seen it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ElectionDelay {
    started: Instant,
    /// How long this process waits before it runs.
    delay: Duration,
}

impl Leadership {
    /// Keeps the leader's lease alive, and runs for leader while the place is vacant.
    pub(super) fn poll_leader_lease(
        &mut self,
        now: Now,
        cache: &WatchCache,
        rng: &mut SmallRng,
        requests: &mut Vec<(Tag, StoreRequest)>,
    ) {
        if let Some(held) = self.leader.held() {
            requests.extend(self.leader.keep_alive(now));
            if self.current_term(cache).is_none() && cache.covers(held.renewed_at) {
                // The lease is ours but the record is not: the election was lost, or its outcome unknown.
                if self.may_claim_leadership(cache) {
                    requests.push(self.claim_leadership(held.id, held.last_confirmed, cache));
                } else {
                    self.leader.abandon();
                }
            }
            return;
        }
        if !self.leader.is_not_held() || !cache.ready() || !self.may_claim_leadership(cache) {
            self.election_delay = None;
            return;
        }
        let election_delay = *self.election_delay.get_or_insert_with(|| ElectionDelay {
            started: now.monotonic,
            delay: Duration::from_millis(rng.random_range(0..MAX_ELECTION_DELAY_MS)),
        });
        if since(now, election_delay.started) >= election_delay.delay && self.leader.may_retry(now)
        {
            requests.push(self.leader.request_grant());
        }
    }

    /// Whether the leader's place is free. That of an earlier process of this controller is: only after a process
    /// has ended is the next one started.
    pub(super) fn may_claim_leadership(&self, cache: &WatchCache) -> bool {
        cache.leader.as_ref().is_none_or(|leader| {
            leader.value.controller == self.controller
                && leader.value.incarnation != self.incarnation
        })
    }

    /// WriteAllowance the leader record with a new term, attached to the lease.
    pub(super) fn claim_leadership(
        &mut self,
        lease: u64,
        last_confirmed: Instant,
        cache: &WatchCache,
    ) -> (Tag, StoreRequest) {
        let term = cache.last_token() + 1;
        info!(term, "leader election started");
        let record = Leader {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            term: Term(term),
        };
        let leader_version = cache.leader.as_ref().map_or(0, |leader| leader.version);
        let token_version = cache.token.as_ref().map_or(0, |token| token.version);
        let transaction = Transaction::default()
            .when(LEADER, leader_version)
            .when(TOKEN, token_version)
            .put_with_lease(LEADER, &record, Some(lease))
            .put(TOKEN, &Token { last: term });
        self.leader.attach_key(lease, last_confirmed, transaction)
    }
}
