//! Tracks the transaction on a block's placements that is in flight, and the changes that transactions of unknown outcome
//! may still make.

use std::collections::BTreeSet;

use crate::domain::Now;
use crate::store::records::Part;
use crate::store::{StoreResponse, WatchCache, WriterState};
use crate::workers::parts::PartsTransaction;

/// The changes that transactions in flight or of unknown outcome may still make.
#[derive(Debug, Clone, Default)]
struct UndecidedWrites {
    /// The numbers of the attempts that they place.
    attempts: Vec<u64>,
    /// The parts that they change.
    parts: BTreeSet<Part>,
}

/// A committed transaction.
#[derive(Debug)]
pub(super) struct CommittedWrite {
    pub(super) transaction: PartsTransaction,
    pub(super) revision: u64,
}

/// Ensures that the transactions on a block's placements are sent one at a time.
///
/// The next transaction after one of unknown outcome writes the same parts again, so that at most one of the two is
/// executed: the outcome of either one decides that of the other. If these parts can't be written again, it writes the
/// block's write fence instead, and the records that are read afterwards show the outcome.
#[derive(Debug)]
pub(super) struct PlacementWriter {
    writer: WriterState,
    /// The transaction in flight, with the parts as it leaves them.
    in_flight: Option<PartsTransaction>,
    undecided: UndecidedWrites,
    /// The value of `undecided` before the transaction in flight. If that one is not executed, an earlier transaction of
    /// unknown outcome may still be.
    undecided_before: UndecidedWrites,
}

impl PlacementWriter {
    /// Creates a writer that has sent nothing.
    pub(super) fn new() -> Self {
        PlacementWriter {
            writer: WriterState::Idle,
            in_flight: None,
            undecided: UndecidedWrites::default(),
            undecided_before: UndecidedWrites::default(),
        }
    }

    /// Resets the writer for a new version of the block lease. No write under the old version can be committed any
    /// more, so nothing is undecided. If a transaction is in flight, the writer still waits for its response.
    pub(super) fn reset_after_lease_renewal(&mut self) {
        self.clear_undecided();
        if self.writer != WriterState::InFlight {
            self.in_flight = None;
            self.writer = WriterState::Idle;
        }
    }

    /// Whether the last transaction is unconfirmed, so that the recorded placements must be reloaded.
    pub(super) fn must_reload(&self) -> bool {
        self.writer.is_unconfirmed()
    }

    /// Whether a transaction may be prepared from the cache now. Requests a fresh copy of the records if one is needed.
    pub(super) fn ready(&mut self, now: Now, cache: &mut WatchCache) -> bool {
        self.writer.can_write(now, cache)
    }

    /// Returns the numbers of the attempts that transactions in flight or of unknown outcome place.
    pub(super) fn undecided_attempts(&self) -> &[u64] {
        &self.undecided.attempts
    }

    /// Returns the parts that these transactions change. The next transaction has to write them again.
    pub(super) fn undecided_parts(&self) -> &BTreeSet<Part> {
        &self.undecided.parts
    }

    /// Clears the undecided transactions, once the records show their outcome.
    pub(super) fn clear_undecided(&mut self) {
        self.undecided = UndecidedWrites::default();
    }

    /// Records that a transaction is being sent. `attempts`: the numbers of the attempts that it places.
    pub(super) fn begin(&mut self, transaction: PartsTransaction, attempts: Vec<u64>) {
        self.undecided_before = self.undecided.clone();
        self.undecided.attempts.extend(attempts);
        self.undecided.parts.extend(transaction.changed());
        self.in_flight = Some(transaction);
        self.writer.mark_sent();
    }

    /// Applies the response to a transaction that was sent under an earlier version of the block lease. The records
    /// that are read next contain it if it was committed.
    pub(super) fn apply_outdated_outcome(&mut self, now: Now) {
        self.in_flight = None;
        self.writer = WriterState::Unconfirmed {
            since: now.monotonic,
        };
    }

    /// Applies the response to the transaction in flight, and returns the transaction if it was committed.
    pub(super) fn apply_outcome(
        &mut self,
        now: Now,
        outcome: &StoreResponse,
    ) -> Option<CommittedWrite> {
        self.writer.record_response(now, outcome);
        match (outcome, self.in_flight.take()) {
            (StoreResponse::Committed { .. }, Some(fence)) if fence.only_writes_fence() => {
                self.writer = WriterState::Unconfirmed {
                    since: now.monotonic,
                };
                None
            }
            (StoreResponse::Committed { revision }, Some(transaction)) => {
                // The committed parts are known, so there is no need to wait until the cache shows them.
                self.writer = WriterState::Idle;
                self.clear_undecided();
                Some(CommittedWrite {
                    transaction,
                    revision: *revision,
                })
            }
            (StoreResponse::Unknown, _) => None,
            // The transaction was not executed.
            _ => {
                self.undecided = std::mem::take(&mut self.undecided_before);
                None
            }
        }
    }
}
