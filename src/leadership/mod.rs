//! Membership and leader election: two leases in the state service, each with a record attached.
//!
//! The member record shows the other controllers that this process is up. The leader record is the leader's
//! authority: every write of a leader is conditioned on its version, so that a leader that was replaced without
//! noticing can't change anything. The controller polls [`Leadership`] with every event and sends the requests that
//! it returns; their responses go to [`Leadership::handle_response`].

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tracing::info;

use crate::domain::{ControllerName, Incarnation, Now, Term};
use crate::store::{StoreRequest, StoreResponse, WatchCache};

mod election;
mod key_lease;
mod membership;

use election::ElectionDelay;
use key_lease::KeyLease;

/// Long enough that a slow process does not lose its membership, short enough that a dead process is detected soon.
const MEMBER_LEASE_TTL: Duration = Duration::from_secs(10);
/// The longest time that the cluster has no leader after one has died.
const LEADER_LEASE_TTL: Duration = Duration::from_millis(3500);
/// The maximum drift between the monotonic clocks of two machines, as a fraction of the elapsed time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.0005;

/// The record that a lease is attached to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// The member record.
    Member,
    /// The leader record.
    Leader,
}

/// The request that a response belongs to. The numbers are lease ids.
#[derive(Debug, Clone, PartialEq)]
pub enum Tag {
    /// Requests a new lease.
    GrantLease(LeaseRole),
    /// Attaches the record to the lease.
    AttachKey(LeaseRole, u64),
    /// Extends the lease.
    KeepAlive(LeaseRole, u64),
}

/// A term of this process as leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The number of the term.
    pub term: Term,
    /// The version of the leader record: every write of the leader is conditioned on it.
    pub record_version: u64,
}

/// This process as a member, and as a candidate or leader.
#[derive(Debug)]
pub struct Leadership {
    controller: ControllerName,
    incarnation: Incarnation,
    format: u32,
    member: KeyLease,
    leader: KeyLease,
    /// Set while there is no leader and this process waits before it claims leadership.
    election_delay: Option<ElectionDelay>,
    /// The term that was logged last.
    logged_term: Option<Term>,
}

impl Leadership {
    /// Creates the state of a process that holds no lease. `format`: the newest record format that it supports.
    pub fn new(controller: ControllerName, incarnation: Incarnation, format: u32) -> Self {
        Leadership {
            controller,
            incarnation,
            format,
            member: KeyLease::new(LeaseRole::Member, MEMBER_LEASE_TTL),
            leader: KeyLease::new(LeaseRole::Leader, LEADER_LEASE_TTL),
            election_delay: None,
            logged_term: None,
        }
    }

    /// The term of this process if it is the leader according to the cached leader record.
    ///
    /// The cache may be stale. That is safe: a write conditioned on an old version of the record fails.
    pub fn current_term(&self, cache: &WatchCache) -> Option<LeaderTerm> {
        let leader = cache.leader.as_ref()?;
        let ours = cache.is_loaded()
            && leader.value.controller == self.controller
            && leader.value.incarnation == self.incarnation;
        ours.then_some(LeaderTerm {
            term: leader.value.term,
            record_version: leader.version,
        })
    }

    /// The time until which no other process can be leader: the lease's TTL, counted from the time at which the last
    /// confirmed grant or renewal was sent. Requests to the cloud carry no condition, so a leader that was paused or
    /// can't reach the state service must not send any after this time: another leader may have been elected.
    pub fn authority_until(&self) -> Option<Instant> {
        let held = self.leader.held()?;
        Some(held.last_confirmed + LEADER_LEASE_TTL.mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO))
    }

    /// Returns the requests that are due now.
    pub fn poll(
        &mut self,
        now: Now,
        cache: &WatchCache,
        rng: &mut SmallRng,
    ) -> Vec<(Tag, StoreRequest)> {
        let term = self.current_term(cache).map(|leader| leader.term);
        if term != self.logged_term {
            match term {
                Some(term) => info!(%term, "leadership acquired"),
                None => info!("leadership lost"),
            }
            self.logged_term = term;
        }
        let mut requests = Vec::from_iter(self.poll_member_lease(now, cache));
        self.poll_leader_lease(now, cache, rng, &mut requests);
        requests
    }

    /// Handles the response to the request with this tag, sent at `sent`, and returns the request to send next.
    pub fn handle_response(
        &mut self,
        now: Now,
        sent: Instant,
        tag: Tag,
        outcome: &StoreResponse,
        cache: &WatchCache,
    ) -> Option<(Tag, StoreRequest)> {
        match tag {
            Tag::GrantLease(role) => {
                let StoreResponse::LeaseGranted { id } = *outcome else {
                    self.lease_mut(role).record_failure(now);
                    return None;
                };
                return self.attach_granted_lease(sent, role, id, cache);
            }
            Tag::AttachKey(role, id) => self
                .lease_mut(role)
                .handle_attach_response(now, sent, id, outcome),
            Tag::KeepAlive(role, id) => self
                .lease_mut(role)
                .handle_keep_alive_response(now, sent, id, outcome),
        }
        None
    }

    /// Attaches the record to a newly granted lease. If there is a leader by now, the granted leader lease is left to
    /// expire; no record is attached to it.
    fn attach_granted_lease(
        &mut self,
        sent: Instant,
        role: LeaseRole,
        id: u64,
        cache: &WatchCache,
    ) -> Option<(Tag, StoreRequest)> {
        match role {
            LeaseRole::Member => {
                let registration = self.registration_transaction(id, cache);
                Some(self.member.attach_key(id, sent, registration))
            }
            LeaseRole::Leader if self.may_claim_leadership(cache) && cache.is_loaded() => {
                Some(self.claim_leadership(id, sent, cache))
            }
            LeaseRole::Leader => {
                self.leader.abandon();
                None
            }
        }
    }

    fn lease_mut(&mut self, role: LeaseRole) -> &mut KeyLease {
        match role {
            LeaseRole::Member => &mut self.member,
            LeaseRole::Leader => &mut self.leader,
        }
    }
}

#[cfg(test)]
mod tests;
