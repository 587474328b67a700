//! Loads the records and follows their changes.
//!
//! The controller calls [`WatchCache::poll`] and [`WatchCache::handle_response`] and sends the
//! requests through the rate limiter. At most one request for loading or following is in flight;
//! requests of the read barrier are sent independently of it.
//!
//! All records are loaded page by page; then the cache follows changes with watches from its
//! revision on. If the cache may be too far behind for one response of a watch, or if the service
//! has compacted its revision, the records are loaded again. The old records stay in use until the
//! new load is complete, because a holder answers its workers from them for the life of its block
//! lease.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::{RequestTag, WatchCache};
use crate::config::StateLimits;
use crate::domain::{Now, since};
use crate::store::records::{Change, KEY_PREFIX, UNWRITTEN_KEY};
use crate::store::{KeyValue, StoreRequest, StoreResponse};

/// Timeout of a watch, which bounds the age of the cache.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2500);
/// Parts of the state service's request rate that the watches and the linearizable reads of all
/// controllers together may use.
const WATCH_RATE_SHARE: f64 = 0.4;
const BARRIER_RATE_SHARE: f64 = 0.25;
/// Delay after a request that was refused or got no response.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// A cache that was not found current for this long may be far behind. This must be longer than a
/// watch takes to return.
const MAYBE_STALE_AFTER: Duration = Duration::from_secs(6);
/// Maximum total size in bytes of missed changes, with each change counted at the maximum size of a
/// value. A watch returns all of them in one response.
pub(super) const MAX_MISSED_BYTES: u64 = 8 << 20;

/// Minimum intervals between requests, which follow from the request rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct PollIntervals {
    watch: Duration,
    /// Interval of barrier requests. One request serves all reads that were requested since the
    /// previous one.
    pub(super) barrier: Duration,
}

impl PollIntervals {
    /// The intervals at which this many controllers together stay within their parts of the rate.
    pub(super) fn new(limits: &StateLimits, controllers: usize) -> Self {
        let interval = |share: f64| {
            Duration::from_secs_f64(controllers.max(1) as f64 / (limits.rps.max(1.0) * share))
        };
        PollIntervals {
            watch: interval(WATCH_RATE_SHARE),
            barrier: interval(BARRIER_RATE_SHARE),
        }
    }
}

/// How the cache is kept up to date.
#[derive(Debug)]
pub(super) enum SyncState {
    /// The records are loaded for the first time; the cache is incomplete.
    Loading,
    /// Changes are watched. A cache that may be stale first checks how far behind it is.
    Following { maybe_stale: bool },
    /// All records are loaded again while the old ones stay in use.
    Reloading { buffered: Vec<Change> },
}

/// State of the request for loading or following.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Idle,
    /// The last request failed; the next one is sent at this time.
    RetryAt(Instant),
    InFlight,
}

impl RequestState {
    fn retry(now: Now) -> Self {
        RequestState::RetryAt(now.monotonic + RETRY_DELAY)
    }

    fn is_due(self, now: Now) -> bool {
        match self {
            RequestState::Idle => true,
            RequestState::RetryAt(at) => now.monotonic >= at,
            RequestState::InFlight => false,
        }
    }
}

/// The state of loading and following.
#[derive(Debug)]
pub(super) struct Synchronizer {
    pub(super) state: SyncState,
    request: RequestState,
    /// Number of the current load, which identifies responses to an abandoned one.
    load_id: u64,
    /// The revision of the first page of the load.
    load_revision: u64,
    intervals: PollIntervals,
    watch_sent: Option<Instant>,
    /// When the cache was last found not to be far behind.
    last_known_current: Option<Instant>,
    /// Maximum size of a change in bytes.
    value_bytes: u64,
}

impl Synchronizer {
    /// Creates the state before anything was read.
    pub(super) fn new(intervals: PollIntervals, value_bytes: u64) -> Self {
        Synchronizer {
            state: SyncState::Loading,
            request: RequestState::Idle,
            load_id: 0,
            load_revision: 0,
            intervals,
            watch_sent: None,
            last_known_current: None,
            value_bytes,
        }
    }

    /// The state before anything was read, with the limits and the load id kept.
    fn restarted(&self) -> Self {
        Synchronizer {
            load_id: self.load_id,
            ..Synchronizer::new(self.intervals, self.value_bytes)
        }
    }

    fn start_load(&mut self) -> (RequestTag, StoreRequest) {
        self.load_id += 1;
        self.request = RequestState::InFlight;
        self.page_request(None)
    }

    /// The request for the page after a key; `None` for the first page.
    fn page_request(&self, after: Option<String>) -> (RequestTag, StoreRequest) {
        let tag = RequestTag::Page {
            load_id: self.load_id,
            after: after.clone(),
        };
        let prefix = KEY_PREFIX.to_owned();
        (tag, StoreRequest::Range { prefix, after })
    }

    fn lag_check_request(&mut self) -> (RequestTag, StoreRequest) {
        self.request = RequestState::InFlight;
        let key = UNWRITTEN_KEY.to_owned();
        (
            RequestTag::LagCheck {
                load_id: self.load_id,
            },
            StoreRequest::Get { key },
        )
    }

    /// The watch for all changes after `revision`, or `None` until the interval since the previous
    /// one has elapsed.
    fn watch_request(&mut self, now: Now, revision: u64) -> Option<(RequestTag, StoreRequest)> {
        let interval_elapsed = self
            .watch_sent
            .is_none_or(|sent| since(now, sent) >= self.intervals.watch);
        if !interval_elapsed {
            return None;
        }
        self.request = RequestState::InFlight;
        self.watch_sent = Some(now.monotonic);
        let request = StoreRequest::Watch {
            prefix: KEY_PREFIX.to_owned(),
            after: revision,
            wait: WATCH_TIMEOUT,
        };
        Some((
            RequestTag::Watch {
                load_id: self.load_id,
            },
            request,
        ))
    }
}

impl WatchCache {
    /// Returns the requests that are due.
    pub fn poll(&mut self, now: Now) -> Vec<(RequestTag, StoreRequest)> {
        let barrier = if self.is_loaded() {
            self.barrier.poll(now, self.sync.intervals.barrier)
        } else {
            None
        };
        barrier.into_iter().chain(self.poll_sync(now)).collect()
    }

    fn poll_sync(&mut self, now: Now) -> Option<(RequestTag, StoreRequest)> {
        if !self.sync.request.is_due(now) {
            return None;
        }
        self.sync.request = RequestState::Idle;
        let no_recent_contact = self.no_recent_contact(now);
        match &mut self.sync.state {
            SyncState::Loading => {
                self.clear();
                Some(self.sync.start_load())
            }
            SyncState::Reloading { buffered } => {
                buffered.clear();
                Some(self.sync.start_load())
            }
            SyncState::Following { maybe_stale } if *maybe_stale || no_recent_contact => {
                Some(self.sync.lag_check_request())
            }
            SyncState::Following { .. } => self.sync.watch_request(now, self.revision),
        }
    }

    /// Whether the cache was last known to be current so long ago that many changes may have been
    /// missed. A process that was paused has not seen its watch fail.
    fn no_recent_contact(&self, now: Now) -> bool {
        self.current_as_of
            .max(self.sync.last_known_current)
            .is_some_and(|at| since(now, at) > MAYBE_STALE_AFTER)
    }

    /// Removes all records. Requested reads and pending cancellations are kept.
    pub(super) fn clear(&mut self) {
        let mut barrier = std::mem::take(&mut self.barrier);
        barrier.restart();
        let cancellations = std::mem::take(&mut self.cancellations);
        *self = WatchCache {
            barrier,
            cancellations,
            ..WatchCache::with_sync(self.sync.restarted())
        };
    }

    /// Handles the response to a request. Returns the requests to send next without waiting for a
    /// poll.
    pub fn handle_response(
        &mut self,
        now: Now,
        tag: RequestTag,
        response: StoreResponse,
    ) -> Vec<(RequestTag, StoreRequest)> {
        match tag {
            RequestTag::Barrier { sent } => {
                let revision = match response {
                    StoreResponse::Missing { revision } => Some(revision),
                    _ => None,
                };
                self.barrier.record_revision(sent, revision);
                self.complete_barrier_reads();
                Vec::new()
            }
            RequestTag::Page { load_id, after } if load_id == self.sync.load_id => {
                let next = self.handle_page(now, after.is_none(), response);
                next.into_iter().collect()
            }
            RequestTag::LagCheck { load_id } if load_id == self.sync.load_id => {
                self.handle_lag_check(now, &response);
                Vec::new()
            }
            RequestTag::Watch { load_id } if load_id == self.sync.load_id => {
                self.handle_watch_response(now, response);
                Vec::new()
            }
            RequestTag::Page { .. } | RequestTag::LagCheck { .. } | RequestTag::Watch { .. } => {
                Vec::new()
            }
        }
    }

    /// Continues to follow changes from the cache's revision, or reloads all records if too many
    /// changes may have been missed.
    fn handle_lag_check(&mut self, now: Now, response: &StoreResponse) {
        let StoreResponse::Missing { revision } = response else {
            self.sync.request = RequestState::retry(now);
            return;
        };
        self.sync.request = RequestState::Idle;
        let missed = revision.saturating_sub(self.revision);
        if missed.saturating_mul(self.sync.value_bytes) > MAX_MISSED_BYTES {
            info!(missed, "watch cache resync: too far behind");
            self.sync.state = SyncState::Reloading {
                buffered: Vec::new(),
            };
        } else {
            self.sync.state = SyncState::Following { maybe_stale: false };
            self.sync.last_known_current = Some(now.monotonic);
        }
    }

    /// Stores a page. Returns the request for the next page, or `None` if there is none or the
    /// request has to be retried.
    fn handle_page(
        &mut self,
        now: Now,
        first: bool,
        response: StoreResponse,
    ) -> Option<(RequestTag, StoreRequest)> {
        let StoreResponse::RangePage {
            key_values,
            more,
            revision,
        } = response
        else {
            self.sync.request = RequestState::retry(now);
            return None;
        };
        if first {
            // Later pages may be newer. Following changes from the first page's revision repeats,
            // and thereby corrects, all changes made during the load.
            self.sync.load_revision = revision;
        }
        let last = key_values.last().map(|entry| entry.key.clone());
        self.apply_or_buffer(key_values);
        if more && last.is_some() {
            return Some(self.sync.page_request(last));
        }
        self.complete_load();
        None
    }

    fn apply_or_buffer(&mut self, key_values: Vec<KeyValue>) {
        let changes = key_values.into_iter().map(Change::from);
        if let SyncState::Reloading { buffered } = &mut self.sync.state {
            buffered.extend(changes);
        } else {
            changes.for_each(|change| self.apply(change));
        }
    }

    fn complete_load(&mut self) {
        let revision = self.sync.load_revision;
        if let SyncState::Reloading { buffered } = &mut self.sync.state {
            let buffered = std::mem::take(buffered);
            self.clear();
            buffered.into_iter().for_each(|change| self.apply(change));
        }
        self.sync.request = RequestState::Idle;
        self.revision = revision;
        self.sync.state = SyncState::Following { maybe_stale: false };
        self.cancellations.remove_up_to(self.revision);
        // The first page may be older than the rest, so only commits before its request are certain
        // to be contained.
        self.current_as_of = None;
        self.sync.watch_sent = None;
        info!(
            revision = self.revision,
            open = self.open_jobs.len(),
            ended = self.ended_jobs.len(),
            "watch cache loaded"
        );
    }

    /// Handles the response to a watch.
    pub(super) fn handle_watch_response(&mut self, now: Now, response: StoreResponse) {
        self.sync.request = RequestState::Idle;
        match response {
            StoreResponse::WatchEvents { revision, changes } => {
                for change in changes {
                    self.apply(change);
                }
                self.revision = self.revision.max(revision);
                self.cancellations.remove_up_to(self.revision);
                self.current_as_of = self.current_as_of.max(self.sync.watch_sent);
                self.complete_barrier_reads();
            }
            StoreResponse::Compacted => {
                warn!(
                    revision = self.revision,
                    "watch cache resync: revision compacted"
                );
                self.sync.state = SyncState::Reloading {
                    buffered: Vec::new(),
                };
            }
            _ => {
                self.sync.state = SyncState::Following { maybe_stale: true };
                self.sync.request = RequestState::retry(now);
            }
        }
    }

    fn complete_barrier_reads(&mut self) {
        if self.is_loaded() {
            let reached = self.barrier.take_reached(self.revision);
            self.current_as_of = self.current_as_of.max(reached);
        }
    }
}
