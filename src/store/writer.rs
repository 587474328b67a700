//! One writer of records: at most one transaction at a time, and nothing new before the last one is understood.

use std::time::{Duration, Instant};

use super::{StoreResponse, WatchCache};
use crate::domain::{Now, since};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Writer {
    Idle,
    InFlight,
    /// Committed; our copy may not show it yet.
    AwaitingCache {
        revision: u64,
    },
    /// Failed or unknown: our copy must first be newer than this time.
    Unconfirmed {
        since: Instant,
    },
    /// Refused as malformed or too large: the same again would be refused again.
    Rejected {
        since: Instant,
    },
}

/// A refused write is tried again after this long.
const PAUSE: Duration = Duration::from_millis(200);
/// ... and one that was refused for what it holds, after this long: what it holds has to change first.
const REJECTED_PAUSE: Duration = Duration::from_secs(2);

impl Writer {
    /// Whether a new transaction may be prepared from `cache`. Asks for a fresh copy if one is needed.
    pub fn ready(&mut self, now: Now, cache: &mut WatchCache) -> bool {
        match *self {
            Writer::Idle => {}
            Writer::InFlight => return false,
            Writer::AwaitingCache { revision } => {
                if cache.revision < revision {
                    return false;
                }
                *self = Writer::Idle;
            }
            Writer::Unconfirmed { since: then } | Writer::Rejected { since: then } => {
                if !cache.covers(then) {
                    cache.request_refresh();
                    return false;
                }
                let rejected = matches!(self, Writer::Rejected { .. });
                let pause = if rejected { REJECTED_PAUSE } else { PAUSE };
                if since(now, then) < pause {
                    return false;
                }
                *self = Writer::Idle;
            }
        }
        cache.ready()
    }

    /// Whether the last transaction was not understood to be committed.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self, Writer::Unconfirmed { .. } | Writer::Rejected { .. })
    }

    pub fn sent(&mut self) {
        *self = Writer::InFlight;
    }

    pub fn answered(&mut self, now: Now, outcome: &StoreResponse) {
        *self = match outcome {
            StoreResponse::Committed { revision } => Writer::AwaitingCache {
                revision: *revision,
            },
            StoreResponse::Invalid => Writer::Rejected {
                since: now.monotonic,
            },
            _ => Writer::Unconfirmed {
                since: now.monotonic,
            },
        };
    }
}

#[cfg(test)]
mod tests;
