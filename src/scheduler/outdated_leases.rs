//! Watches for block leases of earlier terms, for which the leader's releases wait.

use std::time::{Duration, Instant};

use tracing::warn;

use crate::domain::{BlockId, Now, Term, since};
use crate::store::WatchCache;

/// A new leader renews all leases within a second or two unless the state service refuses its writes.
const WARN_AFTER: Duration = Duration::from_secs(10);

/// The leases that a leader has not renewed yet.
#[derive(Debug)]
pub(super) struct OutdatedLeases {
    term: Term,
    term_started_at: Instant,
    warned: bool,
}

impl OutdatedLeases {
    /// For a term that begins now.
    pub(super) fn new(now: Now, term: Term) -> Self {
        OutdatedLeases {
            term,
            term_started_at: now.monotonic,
            warned: false,
        }
    }

    /// The blocks whose lease is of an earlier term.
    pub(super) fn blocks<'v>(&self, cache: &'v WatchCache) -> impl Iterator<Item = &'v BlockId> {
        let term = self.term;
        let leases = cache.block_leases.iter();
        leases
            .filter(move |(_, lease)| lease.value.term != term)
            .map(|(block, _)| block)
    }

    /// Logs once a term that leases have stayed outdated.
    pub(super) fn warn_if_overdue(&mut self, now: Now, cache: &WatchCache) {
        if self.warned || since(now, self.term_started_at) < WARN_AFTER {
            return;
        }
        let blocks: Vec<&BlockId> = self.blocks(cache).collect();
        if !blocks.is_empty() {
            warn!(?blocks, term = %self.term, "no task is released: block leases not renewed");
            self.warned = true;
        }
    }
}
