//! The state machine of one lease in the state service and the record attached to it.
//!
//! Only this module changes the state on responses of the state service. Member registration and leader election decide
//! when to request a lease and what the record contains.

use std::time::{Duration, Instant};

use super::{LEADER_LEASE_TTL, LeaseRole, Tag};
use crate::domain::{Now, since};
use crate::store::{StoreRequest, StoreResponse, Transaction};

/// The minimum time between a failure and the next lease request.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A lease whose record is attached, or may be: the outcome of the transaction can be unknown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct HeldLease {
    pub(super) id: u64,
    /// The start of the renewal interval: the next keep-alive is due a quarter of the TTL later.
    pub(super) renewed_at: Instant,
    /// When the last request was sent that is known to have granted or extended the lease.
    pub(super) last_confirmed: Instant,
    /// Whether a keep-alive request is in flight.
    pub(super) keep_alive_pending: bool,
}

/// The state of a lease as far as this process knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LeaseState {
    /// Neither held nor requested.
    Idle,
    /// Requested, not granted yet.
    Requested,
    /// Granted; the transaction that writes the record is in flight.
    AttachingKey {
        /// When the lease was requested: it does not expire before its TTL from then has passed.
        last_confirmed: Instant,
    },
    Held(HeldLease),
}

/// The lease of one role, with its state and retry time.
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
            state: LeaseState::Idle,
            retry_at: None,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state == LeaseState::Idle
    }

    /// Returns the lease if its record is attached, or may be.
    pub(super) fn held(&self) -> Option<HeldLease> {
        match self.state {
            LeaseState::Held(held) => Some(held),
            _ => None,
        }
    }

    /// Whether the retry delay after the last failure has passed.
    pub(super) fn may_retry(&self, now: Now) -> bool {
        self.retry_at.is_none_or(|at| now.monotonic >= at)
    }

    /// Requests a new lease.
    pub(super) fn request_grant(&mut self) -> (Tag, StoreRequest) {
        self.state = LeaseState::Requested;
        let request = StoreRequest::GrantLease { life: self.ttl };
        (Tag::GrantLease(self.role), request)
    }

    /// Attaches the record to the granted lease by the transaction that writes it.
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

    /// Returns a keep-alive request when one is due.
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

    /// Stops renewing the lease, so that it expires.
    pub(super) fn abandon(&mut self) {
        self.state = LeaseState::Idle;
    }

    /// Abandons the lease and delays the next request by [`RETRY_INTERVAL`].
    pub(super) fn record_failure(&mut self, now: Now) {
        self.state = LeaseState::Idle;
        self.retry_at = Some(now.monotonic + RETRY_INTERVAL);
    }

    /// Handles the response to the transaction that attaches the record.
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
            // An unknown outcome may be a commit: the lease is kept until the cache shows whether the record was
            // written.
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

    /// Handles the response to a keep-alive request.
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
            // Retries after a short delay instead of immediately: half of the retry interval for the leader lease.
            _ => {
                let retry_base = now.monotonic - LEADER_LEASE_TTL / 4 + RETRY_INTERVAL / 2;
                held.renewed_at = held.renewed_at.max(retry_base);
            }
        }
    }
}
