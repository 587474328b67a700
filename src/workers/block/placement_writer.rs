//! The transaction on a block's placements that is under way, and what those of unknown outcome may still change.

use std::collections::BTreeSet;

use crate::domain::Now;
use crate::store::records::Part;
use crate::store::{StoreResponse, WatchCache, Writer};
use crate::workers::parts::PartsTransaction;

/// What transactions that are under way, or whose outcome is not known, may still change.
#[derive(Debug, Clone, Default)]
struct UndecidedWrites {
    /// The numbers of the attempts that they place.
    attempts: Vec<u64>,
    /// The parts that they change.
    parts: BTreeSet<Part>,
}

/// A transaction that was committed.
#[derive(Debug)]
pub(super) struct CommittedWrite {
    pub(super) parts: PartsTransaction,
    pub(super) revision: u64,
}

/// Sends the transactions on a block's placements one at a time.
///
/// The next transaction after one of unknown outcome writes the parts of that one again, so that at most one of the two
/// is executed: either decides the other.
#[derive(Debug)]
pub(super) struct PlacementWriter {
    writer: Writer,
    /// What the transaction under way leaves behind.
    in_flight: Option<PartsTransaction>,
    undecided: UndecidedWrites,
    /// `undecided` before the transaction under way. If that is not executed, an earlier one of unknown outcome still may
    /// be.
    undecided_before: UndecidedWrites,
}

impl PlacementWriter {
    /// A writer that has sent nothing.
    pub(super) fn new() -> Self {
        PlacementWriter {
            writer: Writer::Idle,
            in_flight: None,
            undecided: UndecidedWrites::default(),
            undecided_before: UndecidedWrites::default(),
        }
    }

    /// Takes up a new version of the block lease. No write under the old one can be committed any more, so nothing is
    /// undecided; the response to one that is under way is still waited for.
    pub(super) fn reset_after_lease_renewal(&mut self) {
        self.clear_undecided();
        if self.writer != Writer::InFlight {
            self.in_flight = None;
            self.writer = Writer::Idle;
        }
    }

    /// Whether the last transaction may have failed, so that the records must be read again.
    pub(super) fn must_reload(&self) -> bool {
        self.writer.is_unconfirmed()
    }

    /// Whether a transaction may be prepared from the cache now. Asks for a fresh copy if one is needed.
    pub(super) fn ready(&mut self, now: Now, cache: &mut WatchCache) -> bool {
        self.writer.ready(now, cache)
    }

    /// The attempts that transactions under way, or of unknown outcome, place.
    pub(super) fn undecided_attempts(&self) -> &[u64] {
        &self.undecided.attempts
    }

    /// The parts that they change: the next transaction has to write them again.
    pub(super) fn undecided_parts(&self) -> &BTreeSet<Part> {
        &self.undecided.parts
    }

    /// Forgets the undecided transactions: the records show what became of them.
    pub(super) fn clear_undecided(&mut self) {
        self.undecided = UndecidedWrites::default();
    }

    /// Takes over the transaction that is sent now. `attempts`: the numbers of those that it places.
    pub(super) fn begin(&mut self, parts: PartsTransaction, attempts: Vec<u64>) {
        self.undecided_before = self.undecided.clone();
        self.undecided.attempts.extend(attempts);
        self.undecided.parts = parts.changed().clone();
        self.in_flight = Some(parts);
        self.writer.sent();
    }

    /// Applies the response to a transaction that was sent under an earlier version of the block lease: the records that
    /// we read next hold it if it was committed.
    pub(super) fn apply_outdated_outcome(&mut self, now: Now) {
        self.in_flight = None;
        self.writer = Writer::Unconfirmed {
            since: now.monotonic,
        };
    }

    /// Applies the response to the transaction under way, and returns that if it was committed.
    pub(super) fn apply_outcome(
        &mut self,
        now: Now,
        outcome: &StoreResponse,
    ) -> Option<CommittedWrite> {
        self.writer.answered(now, outcome);
        match (outcome, self.in_flight.take()) {
            (StoreResponse::Committed { revision }, Some(parts)) => {
                // We know our own placements: there is no need to wait until the cache shows them.
                self.writer = Writer::Idle;
                self.clear_undecided();
                Some(CommittedWrite {
                    parts,
                    revision: *revision,
                })
            }
            (StoreResponse::Unknown, _) => None,
            // Not executed.
            _ => {
                self.undecided = std::mem::take(&mut self.undecided_before);
                None
            }
        }
    }
}
