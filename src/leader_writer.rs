//! Sends the transactions of one of the leader's modules one at a time, and fences those of unknown outcome.
//!
//! A transaction without a response may still be executed, minutes later and after newer ones of the same module. Its
//! own conditions do not prevent this if the newer ones change other records. A module whose later decisions assume
//! that an earlier transaction was not executed therefore writes through a [`LeaderWriter`]: all its transactions are
//! conditioned on the module's [`WriteFence`], and after one of unknown outcome the fence is written before anything
//! else is decided. By then the transaction either is contained in the watch cache or can't be executed any more.
//!
//! Transactions of earlier terms need no fence, since all are conditioned on the leader's record.

use tracing::info;

use crate::domain::Now;
use crate::leader_context::LeaderContext;
use crate::store::cache::version_of;
use crate::store::records::{FencedModule, LEADER_KEY, WriteFence, write_fence_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, WriterState};

/// Whether a transaction of the module may still be executed although newer ones are prepared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FenceState {
    /// The outcomes of all transactions but the one in flight are known.
    Current,
    /// A transaction that is conditioned on this version of the leader's record has an unknown outcome.
    Outdated { leader_version: u64 },
}

/// What a module may write now.
#[derive(Debug)]
pub enum WriteTurn {
    /// Nothing: a transaction is in flight, or the watch cache is too old.
    Wait,
    /// Nothing of its own: this request, which writes the fence, has to be sent first.
    Fence(StoreRequest),
    /// The next transaction, created by [`LeaderWriter::begin`].
    Ready,
}

/// The writer of one of the leader's modules.
#[derive(Debug)]
pub struct LeaderWriter {
    module: FencedModule,
    state: WriterState,
    fence: FenceState,
    /// The version of the leader's record that the transaction in flight is conditioned on.
    in_flight_leader_version: u64,
    /// Whether the transaction in flight writes the fence.
    in_flight_is_fence: bool,
}

impl LeaderWriter {
    /// Creates a writer that has sent nothing. `state`: [`WriterState::Unconfirmed`] if it must wait for the
    /// transactions of earlier terms.
    pub fn new(module: FencedModule, state: WriterState) -> Self {
        LeaderWriter {
            module,
            state,
            fence: FenceState::Current,
            in_flight_leader_version: 0,
            in_flight_is_fence: false,
        }
    }

    /// Returns whether a transaction may be prepared from `cache`, or the write of the fence if that is due. Requests a
    /// refresh of the cache if it is too old.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> WriteTurn {
        if !self.state.can_write(now, cache) {
            return WriteTurn::Wait;
        }
        let leader_version = leader.record_version;
        if self.fence != (FenceState::Outdated { leader_version }) {
            return WriteTurn::Ready;
        }
        info!(module = %self.module, "writing fence: a transaction has an unknown outcome");
        let fence = WriteFence { term: leader.term };
        let txn = self
            .begin(leader, cache)
            .put(write_fence_key(self.module), &fence);
        self.in_flight_is_fence = true;
        WriteTurn::Fence(self.send(leader, txn))
    }

    /// Returns a transaction with the conditions that all transactions of the module have in common, and without
    /// changes.
    pub fn begin(&self, leader: &LeaderContext<'_>, cache: &WatchCache) -> Transaction {
        let fence_version = version_of(cache.write_fences.get(&self.module));
        Transaction::default()
            .require_version(LEADER_KEY, leader.record_version)
            .require_version(write_fence_key(self.module), fence_version)
    }

    /// Records that a transaction is sent, and returns the request that commits it.
    pub fn send(&mut self, leader: &LeaderContext<'_>, txn: Transaction) -> StoreRequest {
        self.in_flight_leader_version = leader.record_version;
        self.state.mark_sent();
        StoreRequest::Commit(txn)
    }

    /// Records the response to the transaction in flight, or that none arrived.
    pub fn record_response(&mut self, now: Now, response: &StoreResponse) {
        let is_fence = std::mem::take(&mut self.in_flight_is_fence);
        match response {
            StoreResponse::Committed { .. } if is_fence => self.fence = FenceState::Current,
            StoreResponse::Unknown => {
                self.fence = FenceState::Outdated {
                    leader_version: self.in_flight_leader_version,
                };
            }
            _ => {}
        }
        self.state.record_response(now, response);
    }
}

#[cfg(test)]
mod tests;
