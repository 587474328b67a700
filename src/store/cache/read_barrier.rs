//! Linearizable reads from the copy: when a read was asked for, which revision the service had by then, and whether the
//! copy has reached it.
//!
//! Called by [`super::WatchCache`] only. One request to the service answers all reads that came before it was sent. The
//! request reads a key that is never written, which costs least and tells the service's revision.

use std::time::{Duration, Instant};

use super::RequestTag;
use crate::domain::{Now, since};
use crate::store::StoreRequest;
use crate::store::records::UNWRITTEN_KEY;

/// A revision that the service had when it answered a request of the barrier.
#[derive(Debug)]
struct ObservedRevision {
    /// When the request was sent: the copy at `revision` holds all that was committed before.
    sent: Instant,
    revision: u64,
}

/// The requests of the barrier and the revisions that the copy has yet to reach.
#[derive(Debug, Default)]
pub(super) struct ReadBarrier {
    /// A read has come since the last request was sent.
    requested: bool,
    in_flight: bool,
    last_sent: Option<Instant>,
    pending: Vec<ObservedRevision>,
}

impl ReadBarrier {
    /// Asks for the copy to be brought up to the present.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// The request that is due. Requests are `interval` apart at least.
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

    /// Records the revision that the service answered; None if it gave none, after which it is asked again.
    pub(super) fn record_revision(&mut self, sent: Instant, revision: Option<u64>) {
        self.in_flight = false;
        match revision {
            Some(revision) => self.pending.push(ObservedRevision { sent, revision }),
            None => self.requested = true,
        }
    }

    /// Takes out the revisions that a copy at `revision` has reached. Returns the time before which it holds everything,
    /// None if it has reached none.
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

    /// Forgets the revisions observed so far, as the copy is reloaded. A read that was in flight is asked for again.
    pub(super) fn restart(&mut self) {
        *self = ReadBarrier {
            requested: self.requested || self.in_flight,
            ..ReadBarrier::default()
        };
    }
}
