//! One writer of records: at most one transaction at a time, and nothing new before the last one is understood.

use std::time::{Duration, Instant};

use super::{Outcome, View};
use crate::domain::{Now, since};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Writer {
    Idle,
    Sent,
    /// Committed; our copy may not show it yet.
    Settling {
        revision: u64,
    },
    /// Failed or unknown: our copy must first be newer than this time.
    Unsure {
        since: Instant,
    },
}

/// A refused write is tried again after this long.
const PAUSE: Duration = Duration::from_millis(200);

impl Writer {
    /// Whether a new transaction may be prepared from `view`. Asks for a fresh copy if one is needed.
    pub fn ready(&mut self, now: Now, view: &mut View) -> bool {
        match *self {
            Writer::Idle => {}
            Writer::Sent => return false,
            Writer::Settling { revision } => {
                if view.revision < revision {
                    return false;
                }
                *self = Writer::Idle;
            }
            Writer::Unsure { since: then } => {
                if !view.covers(then) {
                    view.want_fresh();
                    return false;
                }
                if since(now, then) < PAUSE {
                    return false;
                }
                *self = Writer::Idle;
            }
        }
        view.ready()
    }

    pub fn sent(&mut self) {
        *self = Writer::Sent;
    }

    pub fn answered(&mut self, now: Now, outcome: &Outcome) {
        *self = match outcome {
            Outcome::Committed { revision } => Writer::Settling {
                revision: *revision,
            },
            _ => Writer::Unsure { since: now.steady },
        };
    }
}
