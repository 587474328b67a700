//! Membership and leadership: two leases in the state service, each with a record attached.
//!
//! The member record tells the others that this process is up. The leader record is the leader's authority: every write
//! that a leader makes is conditioned on its version, so that a leader that was replaced without knowing it can change
//! nothing. The controller polls this with every event and sends the requests that it returns; their responses come back to
//! [`Leadership::handle`].

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

/// Long enough that a slow process is not taken for dead, short enough that a dead one is noticed.
const MEMBER_LEASE_TTL: Duration = Duration::from_secs(10);
/// How long the service can be without a leader after one has died.
const LEADER_LEASE_TTL: Duration = Duration::from_millis(3500);
/// By how much the monotonic clocks of two machines may drift apart, as a part of the time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.0005;

/// What a lease is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// The member record.
    Member,
    /// The leader record.
    Leader,
}

/// Which request a response belongs to. Leases are named by their id.
#[derive(Debug, Clone, PartialEq)]
pub enum Tag {
    /// A lease was asked for.
    GrantLease(LeaseRole),
    /// The record was attached to the lease.
    AttachKey(LeaseRole, u64),
    /// The lease was extended.
    KeepAlive(LeaseRole, u64),
}

/// A term of this process as leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Its number.
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
    /// While the leader's place is vacant and this process does not run yet.
    election_delay: Option<ElectionDelay>,
    /// The term that was last logged.
    logged_term: Option<Term>,
}

impl Leadership {
    /// `format`: the newest record format that this process knows.
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

    /// The term of this process if it leads, by the local copy of the records.
    ///
    /// The copy may be old. That is harmless: a write conditioned on the version of the record then fails.
    pub fn current_term(&self, cache: &WatchCache) -> Option<LeaderTerm> {
        let leader = cache.leader.as_ref()?;
        let ours = cache.ready()
            && leader.value.controller == self.controller
            && leader.value.incarnation == self.incarnation;
        ours.then_some(LeaderTerm {
            term: leader.value.term,
            record_version: leader.version,
        })
    }

    /// Until when nobody else can be leading: the life of the lease, counted from before the last request was sent that
    /// opened or extended it. What goes to the cloud is conditioned on nothing, so a leader that was paused, or that
    /// can't reach the state service, must send nothing there: another may have taken its place.
    pub fn authority_until(&self) -> Option<Instant> {
        let held = self.leader.held()?;
        Some(held.last_confirmed + LEADER_LEASE_TTL.mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO))
    }

    /// The requests that are due now.
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

    /// Handles the response to the request with this tag, sent at `sent`, and returns what is to be sent next.
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

    /// Attaches the record to a lease that was granted. If there is a leader by now, its lease is left to run out, for
    /// nothing is attached to it.
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
            LeaseRole::Leader if self.may_claim_leadership(cache) && cache.ready() => {
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
