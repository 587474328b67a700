//! Leader election: while there is no leader record, the first candidate that writes one becomes the leader.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use tracing::info;

use super::{Leadership, Tag};
use crate::domain::{Now, Term, since};
use crate::store::records::{LEADER_KEY, Leader, TOKEN_KEY, TokenCounter};
use crate::store::{StoreRequest, Transaction, WatchCache};

/// Upper bound of a candidate's random delay in milliseconds, so that candidates do not all start at once.
const MAX_ELECTION_DELAY_MS: u64 = 200;

/// The random delay of this candidate since it saw that there is no leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct ElectionDelay {
    started: Instant,
    /// How long this process waits before it requests the leader lease.
    delay: Duration,
}

impl Leadership {
    /// Keeps the leader lease alive, and requests one after the election delay while there is no leader.
    pub(super) fn poll_leader_lease(
        &mut self,
        now: Now,
        cache: &WatchCache,
        rng: &mut SmallRng,
        requests: &mut Vec<(Tag, StoreRequest)>,
    ) {
        if let Some(held) = self.leader.held() {
            requests.extend(self.leader.keep_alive(now));
            if self.current_term(cache).is_none() && cache.is_current_as_of(held.renewed_at) {
                // This process holds the lease but not the record: it lost the election, or the outcome is unknown.
                if self.may_claim_leadership(cache) {
                    requests.push(self.claim_leadership(held.id, held.last_confirmed, cache));
                } else {
                    self.leader.abandon();
                }
            }
            return;
        }
        if !self.leader.is_idle() || !cache.is_loaded() || !self.may_claim_leadership(cache) {
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

    /// Whether there is no leader record, or only one of an earlier process of this controller: a process is started
    /// only after the previous one has ended.
    pub(super) fn may_claim_leadership(&self, cache: &WatchCache) -> bool {
        cache.leader.as_ref().is_none_or(|leader| {
            leader.value.controller == self.controller
                && leader.value.incarnation != self.incarnation
        })
    }

    /// Writes the leader record with a new term, attached to the lease.
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
            .require_version(LEADER_KEY, leader_version)
            .require_version(TOKEN_KEY, token_version)
            .put_with_lease(LEADER_KEY, &record, Some(lease))
            .put(TOKEN_KEY, &TokenCounter { last: term });
        self.leader.attach_key(lease, last_confirmed, transaction)
    }
}
