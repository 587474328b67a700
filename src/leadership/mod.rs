//! Membership and leadership: two leases in the state service.
//!
//! The member record tells the others that this process is up. The leader record is the leader's authority:
//! every write that a leader makes is conditioned on its version, so that a leader that was replaced without
//! knowing it can change nothing.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use tracing::info;

use crate::domain::{ControllerName, Incarnation, Now, Term, since};
use crate::store::records::{LEADER, Leader, Member, TOKEN, Token, member_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache};

/// Long enough that a slow process is not taken for dead, short enough that a dead one is noticed.
const MEMBER_LEASE_TTL: Duration = Duration::from_secs(10);
/// How long the service can be without a leader after one has died.
const LEADER_LEASE_TTL: Duration = Duration::from_millis(3500);
/// By how much the steady clocks of two machines may drift apart.
const CLOCK_DRIFT: f64 = 0.0005;
const RETRY: Duration = Duration::from_millis(500);

/// A lease and the record attached to it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum KeyLease {
    NotHeld,
    /// Asked for, not granted yet.
    Requested,
    /// Open, and the record's transaction is on its way.
    AttachingKey {
        id: u64,
        /// When it was asked for: it does not end before its life from then is over.
        last_confirmed: Instant,
    },
    Held {
        id: u64,
        renewed: Instant,
        /// When the last request was sent that is known to have opened or extended it.
        last_confirmed: Instant,
        renewing: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    Member,
    Leader,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Tag {
    GrantLease(LeaseRole),
    AttachKey(LeaseRole, u64),
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

#[derive(Debug)]
pub struct Leadership {
    controller: ControllerName,
    incarnation: Incarnation,
    format: u32,
    member: KeyLease,
    leader: KeyLease,
    member_retry: Option<Instant>,
    leader_retry: Option<Instant>,
    vacant_since: Option<Instant>,
    patience: Duration,
    was_leading: Option<Term>,
}

impl Leadership {
    /// `format`: the newest that this process knows.
    pub fn new(controller: ControllerName, incarnation: Incarnation, format: u32) -> Self {
        Leadership {
            controller,
            incarnation,
            format,
            member: KeyLease::NotHeld,
            leader: KeyLease::NotHeld,
            member_retry: None,
            leader_retry: None,
            vacant_since: None,
            patience: Duration::ZERO,
            was_leading: None,
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

    /// Until when nobody else can be leading: the life of our lease, counted from before the last request was sent that
    /// opened or extended it. What goes to the cloud is conditioned on nothing, so a leader that stood still, or that
    /// can't reach the state service, must send nothing there: another may have taken its place.
    pub fn authority_until(&self) -> Option<Instant> {
        match self.leader {
            KeyLease::Held { last_confirmed, .. } => {
                Some(last_confirmed + LEADER_LEASE_TTL.mul_f64(1.0 - CLOCK_DRIFT))
            }
            _ => None,
        }
    }

    pub fn poll(
        &mut self,
        now: Now,
        cache: &WatchCache,
        rng: &mut SmallRng,
    ) -> Vec<(Tag, StoreRequest)> {
        let term = self.current_term(cache).map(|leader| leader.term);
        if term != self.was_leading {
            match term {
                Some(term) => info!(%term, "leadership acquired"),
                None => info!("leadership lost"),
            }
            self.was_leading = term;
        }
        let mut ops = Vec::new();
        self.poll_member(now, cache, &mut ops);
        self.poll_leader(now, cache, rng, &mut ops);
        ops
    }

    fn poll_member(&mut self, now: Now, cache: &WatchCache, ops: &mut Vec<(Tag, StoreRequest)>) {
        match &mut self.member {
            KeyLease::NotHeld => {
                if cache.ready() && self.member_retry.is_none_or(|at| now.monotonic >= at) {
                    self.member = KeyLease::Requested;
                    ops.push((
                        Tag::GrantLease(LeaseRole::Member),
                        StoreRequest::GrantLease {
                            life: MEMBER_LEASE_TTL,
                        },
                    ));
                }
            }
            KeyLease::Held {
                id,
                renewed,
                last_confirmed,
                renewing,
            } => {
                let (id, last_confirmed) = (*id, *last_confirmed);
                // The record can be lost without the lease: removed with an older process's lease, say.
                let listed = cache
                    .members
                    .get(&self.controller)
                    .is_some_and(|m| m.value.incarnation == self.incarnation);
                if cache.covers(*renewed) && !listed && !*renewing {
                    self.member = KeyLease::AttachingKey { id, last_confirmed };
                    ops.push((Tag::AttachKey(LeaseRole::Member, id), self.join(id, cache)));
                } else if !*renewing && since(now, *renewed) >= MEMBER_LEASE_TTL / 4 {
                    *renewing = true;
                    ops.push((
                        Tag::KeepAlive(LeaseRole::Member, id),
                        StoreRequest::KeepAliveLease { id },
                    ));
                }
            }
            KeyLease::Requested | KeyLease::AttachingKey { .. } => {}
        }
    }

    /// Conditioned on the record that it replaces: an earlier process's lease may still last when a late copy of its
    /// request comes, and would put its record over ours.
    fn join(&self, lease: u64, cache: &WatchCache) -> StoreRequest {
        let record = Member {
            incarnation: self.incarnation,
            format: self.format,
        };
        let key = member_key(&self.controller);
        let version = cache
            .members
            .get(&self.controller)
            .map_or(0, |old| old.version);
        StoreRequest::Commit(
            Transaction::default()
                .when(key.clone(), version)
                .put_with_lease(key, &record, Some(lease)),
        )
    }

    fn poll_leader(
        &mut self,
        now: Now,
        cache: &WatchCache,
        rng: &mut SmallRng,
        ops: &mut Vec<(Tag, StoreRequest)>,
    ) {
        if let KeyLease::Held {
            id,
            renewed,
            renewing,
            ..
        } = &mut self.leader
        {
            if !*renewing && since(now, *renewed) >= LEADER_LEASE_TTL / 4 {
                *renewing = true;
                ops.push((
                    Tag::KeepAlive(LeaseRole::Leader, *id),
                    StoreRequest::KeepAliveLease { id: *id },
                ));
            }
            let kept = self.current_term(cache).is_some();
            if let KeyLease::Held {
                id,
                renewed,
                last_confirmed,
                ..
            } = self.leader
                && !kept
                && cache.covers(renewed)
            {
                // The lease is ours but the record is not: the election was lost, or its outcome unknown.
                if self.vacant(cache) {
                    self.run_for_leader(id, last_confirmed, cache, ops);
                } else {
                    self.leader = KeyLease::NotHeld;
                }
            }
            return;
        }
        if self.leader != KeyLease::NotHeld || !cache.ready() || !self.vacant(cache) {
            self.vacant_since = None;
            return;
        }
        let began = *self.vacant_since.get_or_insert_with(|| {
            // Not everyone at once: the first to ask usually wins.
            self.patience = Duration::from_millis(rng.random_range(0..200));
            now.monotonic
        });
        if since(now, began) >= self.patience
            && self.leader_retry.is_none_or(|at| now.monotonic >= at)
        {
            self.leader = KeyLease::Requested;
            ops.push((
                Tag::GrantLease(LeaseRole::Leader),
                StoreRequest::GrantLease {
                    life: LEADER_LEASE_TTL,
                },
            ));
        }
    }

    /// Whether the leader's place is free. That of an earlier process of this controller is: only after a process
    /// has ended is the next one started.
    fn vacant(&self, cache: &WatchCache) -> bool {
        cache.leader.as_ref().is_none_or(|leader| {
            leader.value.controller == self.controller
                && leader.value.incarnation != self.incarnation
        })
    }

    fn run_for_leader(
        &mut self,
        lease: u64,
        last_confirmed: Instant,
        cache: &WatchCache,
        ops: &mut Vec<(Tag, StoreRequest)>,
    ) {
        let term = cache.last_token() + 1;
        let record = Leader {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            term: Term(term),
        };
        let txn = Transaction::default()
            .when(
                LEADER,
                cache.leader.as_ref().map_or(0, |leader| leader.version),
            )
            .when(TOKEN, cache.token.as_ref().map_or(0, |token| token.version))
            .put_with_lease(LEADER, &record, Some(lease))
            .put(TOKEN, &Token { last: term });
        self.leader = KeyLease::AttachingKey {
            id: lease,
            last_confirmed,
        };
        ops.push((
            Tag::AttachKey(LeaseRole::Leader, lease),
            StoreRequest::Commit(txn),
        ));
    }

    /// The one place where the leases change.
    pub fn handle(
        &mut self,
        now: Now,
        sent: Instant,
        tag: Tag,
        outcome: &StoreResponse,
        cache: &WatchCache,
    ) -> Vec<(Tag, StoreRequest)> {
        let mut ops = Vec::new();
        let retry = Some(now.monotonic + RETRY);
        match (tag, outcome) {
            (Tag::GrantLease(LeaseRole::Member), StoreResponse::LeaseGranted { id }) => {
                self.member = KeyLease::AttachingKey {
                    id: *id,
                    last_confirmed: sent,
                };
                ops.push((
                    Tag::AttachKey(LeaseRole::Member, *id),
                    self.join(*id, cache),
                ));
            }
            (Tag::GrantLease(LeaseRole::Member), _) => {
                self.member = KeyLease::NotHeld;
                self.member_retry = retry;
            }
            (Tag::GrantLease(LeaseRole::Leader), StoreResponse::LeaseGranted { id }) => {
                if self.vacant(cache) && cache.ready() {
                    self.run_for_leader(*id, sent, cache, &mut ops);
                } else {
                    // Left to run out: nothing is attached to it.
                    self.leader = KeyLease::NotHeld;
                }
            }
            (Tag::GrantLease(LeaseRole::Leader), _) => {
                self.leader = KeyLease::NotHeld;
                self.leader_retry = retry;
            }
            (Tag::AttachKey(which, id), outcome) => {
                let last_confirmed = match *self.slot(which) {
                    KeyLease::AttachingKey { last_confirmed, .. } => last_confirmed,
                    _ => sent,
                };
                let next = match outcome {
                    // Unknown may mean committed: keep the lease and see what our copy says.
                    StoreResponse::Committed { .. } | StoreResponse::Unknown => KeyLease::Held {
                        id,
                        renewed: now.monotonic,
                        last_confirmed,
                        renewing: false,
                    },
                    _ => KeyLease::NotHeld,
                };
                if next == KeyLease::NotHeld {
                    match which {
                        LeaseRole::Member => self.member_retry = retry,
                        LeaseRole::Leader => self.leader_retry = retry,
                    }
                }
                *self.slot(which) = next;
            }
            (Tag::KeepAlive(which, id), outcome) => {
                let slot = self.slot(which);
                if let KeyLease::Held {
                    id: held,
                    renewed,
                    last_confirmed,
                    renewing,
                } = slot
                    && *held == id
                {
                    *renewing = false;
                    match outcome {
                        StoreResponse::LeaseExpired | StoreResponse::Invalid => {
                            *slot = KeyLease::NotHeld
                        }
                        StoreResponse::LeaseGranted { .. } => {
                            *renewed = sent;
                            *last_confirmed = sent;
                        }
                        // Asked again soon, not at once.
                        _ => {
                            *renewed =
                                (*renewed).max(now.monotonic - LEADER_LEASE_TTL / 4 + RETRY / 2)
                        }
                    }
                }
            }
        }
        ops
    }

    fn slot(&mut self, which: LeaseRole) -> &mut KeyLease {
        match which {
            LeaseRole::Member => &mut self.member,
            LeaseRole::Leader => &mut self.leader,
        }
    }
}

#[cfg(test)]
mod tests;
