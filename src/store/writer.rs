//! The state of one writer of records: at most one transaction at a time, and none before the outcome of the last is known.
//!
//! Each module that writes keeps a [`WriterState`] and asks it before it prepares a transaction from the copy ([`WriterState::can_write`]);
//! it reports when the transaction is sent and what the answer was. It sends nothing itself.

use std::time::{Duration, Instant};

use super::{StoreResponse, WatchCache};
use crate::domain::{Now, since};

/// What is known of a writer's last transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WriterState {
    /// It is in the copy, or there was none.
    Idle,
    /// It is queued or sent.
    InFlight,
    /// It is committed; the copy may not show it yet.
    AwaitingCache {
        /// The revision that the copy has to reach.
        revision: u64,
    },
    /// It failed, or its outcome is unknown: the copy must first hold all that was committed before this time.
    Unconfirmed {
        /// When the answer came.
        since: Instant,
    },
    /// It was refused as malformed or too large: the same again would be refused again.
    Rejected {
        /// When the answer came.
        since: Instant,
    },
}

/// A failed write is tried again after this long.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A rejected write is tried again after this long: its contents have to change first.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(2);

impl WriterState {
    /// Whether a new transaction may be prepared from `cache`. Asks it to be brought up to the present if that is needed.
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

    /// Whether the last transaction is not known to be committed.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(
            self,
            WriterState::Unconfirmed { .. } | WriterState::Rejected { .. }
        )
    }

    /// A transaction was queued or sent.
    pub fn mark_sent(&mut self) {
        *self = WriterState::InFlight;
    }

    /// The answer to the transaction, or that none came.
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
