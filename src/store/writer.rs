//! The state of a module's writes: at most one transaction at a time, and none until the outcome of
//! the previous one is known.
//!
//! Each module that writes keeps a [`WriterState`]. It calls [`WriterState::can_write`] before it
//! prepares a transaction from the cache, and reports when the transaction is sent and how the
//! service responded. This module sends nothing itself.

use std::time::{Duration, Instant};

use super::{StoreResponse, WatchCache};
use crate::domain::{Now, since};

/// State of a writer's last transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WriterState {
    /// The cache contains the transaction, or there was none.
    Idle,
    /// The transaction is queued or sent.
    InFlight,
    /// The transaction is committed; the cache may not contain it yet.
    AwaitingCache {
        /// The revision that the cache has to reach.
        revision: u64,
    },
    /// The transaction failed or its outcome is unknown. Before the next one, the cache must
    /// contain all that was committed before `since`.
    Unconfirmed {
        /// When the response arrived or the request failed.
        since: Instant,
    },
    /// The transaction was rejected as malformed or too large; resending it unchanged would fail
    /// again.
    Rejected {
        /// When the response arrived.
        since: Instant,
    },
}

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before a rejected write is retried. It is longer because the contents of the write have to
/// change first.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(2);

impl WriterState {
    /// Whether a new transaction may be prepared from `cache`. Requests a refresh of the cache if
    /// it is too old.
    pub fn can_write(&mut self, now: Now, cache: &mut WatchCache) -> bool {
        match *self {
            WriterState::Idle => {}
            WriterState::InFlight => return false,
            WriterState::AwaitingCache { revision } => {
                if cache.revision < revision {
                    return false;
                }
                *self = WriterState::Idle;
            }
            WriterState::Unconfirmed { since: failed_at }
            | WriterState::Rejected { since: failed_at } => {
                if !cache.is_current_as_of(failed_at) {
                    cache.request_refresh();
                    return false;
                }
                let rejected = matches!(self, WriterState::Rejected { .. });
                let retry_delay = if rejected {
                    REJECTED_RETRY_DELAY
                } else {
                    RETRY_DELAY
                };
                if since(now, failed_at) < retry_delay {
                    return false;
                }
                *self = WriterState::Idle;
            }
        }
        cache.is_loaded()
    }

    /// Whether the last transaction is not known to be committed: it failed, was rejected, or has
    /// an unknown outcome.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(
            self,
            WriterState::Unconfirmed { .. } | WriterState::Rejected { .. }
        )
    }

    /// Records that a transaction was queued or sent.
    pub fn mark_sent(&mut self) {
        *self = WriterState::InFlight;
    }

    /// Records the response to the transaction, or that none arrived.
    pub fn record_response(&mut self, now: Now, response: &StoreResponse) {
        *self = match response {
            StoreResponse::Committed { revision } => WriterState::AwaitingCache {
                revision: *revision,
            },
            StoreResponse::Invalid => WriterState::Rejected {
                since: now.monotonic,
            },
            _ => WriterState::Unconfirmed {
                since: now.monotonic,
            },
        };
    }
}

#[cfg(test)]
mod tests;
