//! Read barrier for linearizable reads from the cache: which revision the service had after a read
//! was requested, and whether the cache has reached it.
//!
//! It is used by [`super::WatchCache`] only. One request to the service serves all reads that were
//! requested before it was sent. The request reads a key that is never written, which is the
//! cheapest way to learn the service's revision.

use std::time::{Duration, Instant};

use super::RequestTag;
use crate::domain::{Now, since};
use crate::store::StoreRequest;
use crate::store::records::UNWRITTEN_KEY;

/// A revision that the service reported in response to a barrier request.
#[derive(Debug)]
struct ObservedRevision {
    /// When the request was sent. A cache at `revision` contains all that was committed before this
    /// time.
    sent: Instant,
    revision: u64,
}

/// The barrier's requests, and the revisions that the cache has not reached yet.
#[derive(Debug, Default)]
pub(super) struct ReadBarrier {
    /// Whether a read was requested since the last request was sent.
    requested: bool,
    in_flight: bool,
    last_sent: Option<Instant>,
    pending: Vec<ObservedRevision>,
}

impl ReadBarrier {
    /// Requests a refresh of the cache.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns the request that is due. Requests are at least `interval` apart.
    pub(super) fn poll(
        &mut self,
        now: Now,
        interval: Duration,
    ) -> Option<(RequestTag, StoreRequest)> {
        let interval_elapsed = self
            .last_sent
            .is_none_or(|sent| since(now, sent) >= interval);
        if !self.requested || self.in_flight || !interval_elapsed {
            return None;
        }
        self.requested = false;
        self.in_flight = true;
        self.last_sent = Some(now.monotonic);
        let tag = RequestTag::Barrier {
            sent: now.monotonic,
        };
        let key = UNWRITTEN_KEY.to_owned();
        Some((tag, StoreRequest::Get { key }))
    }

    /// Records the revision in the service's response. `None` means that the request failed and is
    /// repeated.
    pub(super) fn record_revision(&mut self, sent: Instant, revision: Option<u64>) {
        self.in_flight = false;
        match revision {
            Some(revision) => self.pending.push(ObservedRevision { sent, revision }),
            None => self.requested = true,
        }
    }

    /// Removes the revisions that a cache at `revision` has reached. Returns the time before which
    /// the cache contains all commits, or `None` if it has reached none of them.
    pub(super) fn take_reached(&mut self, revision: u64) -> Option<Instant> {
        let mut current_as_of = None;
        self.pending.retain(|observed| {
            let reached = revision >= observed.revision;
            if reached {
                current_as_of = current_as_of.max(Some(observed.sent));
            }
            !reached
        });
        current_as_of
    }

    /// Discards the observed revisions because the cache is reloaded. A request in flight is
    /// repeated.
    pub(super) fn restart(&mut self) {
        *self = ReadBarrier {
            requested: self.requested || self.in_flight,
            ..ReadBarrier::default()
        };
    }
}
