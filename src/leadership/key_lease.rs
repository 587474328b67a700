//! A lease of the state service and the record that is attached to it: asked for, attached, kept alive, lost.
//!
//! The service's outcomes change it here only. What the record says, and when a lease should be asked for, is for the
//! member registration and the leader election to decide.

use std::time::{Duration, Instant};

use super::{LEADER_LEASE_TTL, LeaseRole, Tag};
use crate::domain::{Now, since};
use crate::store::{StoreRequest, StoreResponse, Transaction};

/// After a failure it is asked again no sooner than this.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A lease whose record is attached, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct HeldLease {
    pub(super) id: u64,
    /// When the request was sent that last extended it; the next one is due a quarter of its life later.
    pub(super) renewed_at: Instant,
    /// When the last request was sent that is known to have opened or extended it.
    pub(super) last_confirmed: Instant,
    /// Whether a request to extend it is under way.
    pub(super) keep_alive_pending: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LeaseState {
    NotHeld,
    /// Asked for, not granted yet.
    Requested,
    /// Granted, and the record's transaction is under way.
    AttachingKey {
        /// When it was asked for: it does not end before its life from then is over.
        last_confirmed: Instant,
    },
    Held(HeldLease),
}

/// The lease of one role.
#[derive(Debug)]
pub(super) struct KeyLease {
    role: LeaseRole,
    ttl: Duration,
    state: LeaseState,
    retry_at: Option<Instant>,
}

impl KeyLease {
    pub(super) fn new(role: LeaseRole, ttl: Duration) -> Self {
        KeyLease {
            role,
            ttl,
            state: LeaseState::NotHeld,
            retry_at: None,
        }
    }

    pub(super) fn is_not_held(&self) -> bool {
        self.state == LeaseState::NotHeld
    }

    /// The lease if its record is attached, as far as is known.
    pub(super) fn held(&self) -> Option<HeldLease> {
        match self.state {
            LeaseState::Held(held) => Some(held),
            _ => None,
        }
    }

    /// Whether the pause after the last failure is over.
    pub(super) fn may_retry(&self, now: Now) -> bool {
        self.retry_at.is_none_or(|at| now.monotonic >= at)
    }

    /// Asks for a lease.
    pub(super) fn request_grant(&mut self) -> (Tag, StoreRequest) {
        self.state = LeaseState::Requested;
        let request = StoreRequest::GrantLease { life: self.ttl };
        (Tag::GrantLease(self.role), request)
    }

    /// Attaches the record that the transaction writes.
    pub(super) fn attach_key(
        &mut self,
        id: u64,
        last_confirmed: Instant,
        transaction: Transaction,
    ) -> (Tag, StoreRequest) {
        self.state = LeaseState::AttachingKey { last_confirmed };
        let request = StoreRequest::Commit(transaction);
        (Tag::AttachKey(self.role, id), request)
    }

    /// Extends the lease when that is due.
    pub(super) fn keep_alive(&mut self, now: Now) -> Option<(Tag, StoreRequest)> {
        let LeaseState::Held(held) = &mut self.state else {
            return None;
        };
        if held.keep_alive_pending || since(now, held.renewed_at) < self.ttl / 4 {
            return None;
        }
        held.keep_alive_pending = true;
        let request = StoreRequest::KeepAliveLease { id: held.id };
        Some((Tag::KeepAlive(self.role, held.id), request))
    }

    /// Leaves the lease to run out.
    pub(super) fn abandon(&mut self) {
        self.state = LeaseState::NotHeld;
    }

    /// Leaves the lease, and asks for none for a while.
    pub(super) fn record_failure(&mut self, now: Now) {
        self.state = LeaseState::NotHeld;
        self.retry_at = Some(now.monotonic + RETRY_INTERVAL);
    }

    /// The transaction that attaches the record was answered.
    pub(super) fn handle_attach_response(
        &mut self,
        now: Now,
        sent: Instant,
        id: u64,
        outcome: &StoreResponse,
    ) {
        let last_confirmed = match self.state {
            LeaseState::AttachingKey { last_confirmed } => last_confirmed,
            _ => sent,
        };
        match outcome {
            // Unknown may mean committed: the lease is kept until the local copy shows what became of it.
            StoreResponse::Committed { .. } | StoreResponse::Unknown => {
                self.state = LeaseState::Held(HeldLease {
                    id,
                    renewed_at: now.monotonic,
                    last_confirmed,
                    keep_alive_pending: false,
                });
            }
            _ => self.record_failure(now),
        }
    }

    /// The request to extend the lease was answered.
    pub(super) fn handle_keep_alive_response(
        &mut self,
        now: Now,
        sent: Instant,
        id: u64,
        outcome: &StoreResponse,
    ) {
        let LeaseState::Held(held) = &mut self.state else {
            return;
        };
        if held.id != id {
            return;
        }
        held.keep_alive_pending = false;
        match outcome {
            StoreResponse::LeaseExpired | StoreResponse::Invalid => self.abandon(),
            StoreResponse::LeaseGranted { .. } => {
                held.renewed_at = sent;
                held.last_confirmed = sent;
            }
            // Asked again soon, not at once.
            _ => {
                let retry_base = now.monotonic - LEADER_LEASE_TTL / 4 + RETRY_INTERVAL / 2;
                held.renewed_at = held.renewed_at.max(retry_base);
            }
        }
    }
}
