//! Client-side rate limiter for the state service, with a queue for each priority.
//!
//! The controller queues every request to the state service ([`RequestRateLimiter::push`]), takes
//! the requests that may be sent ([`RequestRateLimiter::take_ready`]) and reports the responses
//! ([`RequestRateLimiter::record_response`]). Two token buckets hold this controller's shares of
//! the request rate and of the write rate; a transaction costs one write for each change. The
//! limiter reads no clock and sends nothing itself.
//!
//! Invariants: requests of one priority keep their order; a write never overtakes a write of a
//! higher priority that waits for tokens; after a refusal only requests of the highest priority are
//! sent until the backoff ends.

mod token_bucket;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use self::token_bucket::TokenBucket;
use super::{StoreRequest, StoreResponse};
use crate::config::StateLimits;
use crate::domain::{Now, since};

/// Priority of a request when the rate does not suffice for all, from the highest to the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Leases and leadership: a delay can cost the lease.
    Lease,
    /// Requests that a user waits for.
    User,
    /// Completions of jobs: a user is told of the completion only after it is recorded.
    JobCompletion,
    /// Placements and finished tasks.
    Placement,
    /// Requests that can be deferred.
    Maintenance,
}

const PRIORITY_COUNT: usize = 5;
/// A queue that holds this many requests accepts no more; the caller retries later.
const MAX_QUEUED_PER_PRIORITY: usize = 400;

/// Part of the request rate that all controllers together may use. It is above 1 because the
/// controllers are seldom busy at the same time, and a refused request is only delayed.
const COMBINED_REQUEST_SHARE: f64 = 1.2;
/// Maximum part of the request rate that one controller may use.
const MAX_REQUEST_SHARE: f64 = 0.9;

/// Parts of the write rate for a single controller, for the leader, and for all other controllers
/// together. The leader performs the writes that the others do and those of its own duties. The
/// last two add up to less than 1 because a refused write costs its block a linearizable read and
/// all requests a backoff.
const SINGLE_WRITE_SHARE: f64 = 0.9;
const LEADER_WRITE_SHARE: f64 = 0.48;
const OTHERS_WRITE_SHARE: f64 = 0.46;

/// Part of a second's writes, at least one write, that deferrable writes reserve for users, because
/// several submissions may arrive at once.
const USER_RESERVED_SHARE: f64 = 0.4;

/// Part of a second's writes that must be available before optional writes are sent.
const MIN_SPARE_WRITE_SHARE: f64 = 0.6;

/// A refusal within this time after a successful response does not count as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);

/// Backoff after the service refused a request or did not respond.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// Queues requests until the rates allow them. Each request has a tag that identifies its response.
pub struct RequestRateLimiter<Tag> {
    /// One queue per priority.
    queues: [VecDeque<(Tag, StoreRequest)>; PRIORITY_COUNT],
    requests: TokenBucket,
    writes: TokenBucket,
    write_limit: f64,
    controllers: usize,
    /// Until when only requests of the highest priority are sent, so that the service can recover
    /// from a refusal.
    backoff_until: Option<Instant>,
    last_response: Option<Instant>,
    last_refusal: Option<Instant>,
}

/// Requests per second that one controller may send.
fn request_share(limit: f64, controllers: usize) -> f64 {
    (limit * COMBINED_REQUEST_SHARE / controllers.max(1) as f64)
        .min(limit * MAX_REQUEST_SHARE)
        .max(1.0)
}

/// Writes per second that one controller may send.
fn write_share(limit: f64, controllers: usize, is_leader: bool) -> f64 {
    let other_controllers = controllers.saturating_sub(1).max(1) as f64;
    let share = if controllers <= 1 {
        SINGLE_WRITE_SHARE
    } else if is_leader {
        LEADER_WRITE_SHARE
    } else {
        OTHERS_WRITE_SHARE / other_controllers
    };
    (limit * share).max(1.0)
}

impl<Tag> RequestRateLimiter<Tag> {
    /// Creates a limiter with tokens for one second at this controller's shares.
    pub fn new(limits: &StateLimits, controllers: usize, now: Now) -> Self {
        RequestRateLimiter {
            queues: Default::default(),
            requests: TokenBucket::new(request_share(limits.rps, controllers), now),
            writes: TokenBucket::new(write_share(limits.write_rps, controllers, false), now),
            write_limit: limits.write_rps,
            controllers,
            backoff_until: None,
            last_response: None,
            last_refusal: None,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, now: Now, limits: &StateLimits, is_leader: bool) {
        let rate = request_share(limits.rps, self.controllers);
        self.requests.set_rate(now, rate);
        self.write_limit = limits.write_rps;
        self.set_leading(now, is_leader);
    }

    /// Sets this controller's share of the write rate, which depends on whether it is the leader.
    pub fn set_leading(&mut self, now: Now, is_leader: bool) {
        let rate = write_share(self.write_limit, self.controllers, is_leader);
        self.writes.set_rate(now, rate);
    }

    /// Whether enough of a second's writes are available to send optional writes.
    pub fn has_spare_writes(&mut self, now: Now) -> bool {
        self.writes.refill(now);
        self.writes.tokens() >= self.writes.burst() * MIN_SPARE_WRITE_SHARE
    }

    /// Maximum number of changes that a transaction should have, at most `txn_ops`. A larger one
    /// would make users wait for the write rate.
    pub fn max_batch(&self, txn_ops: usize) -> usize {
        (self.writes.burst() as usize / 2).clamp(3, txn_ops)
    }

    /// Maximum number of changes that a deferrable transaction should have, at most `txn_ops`. A
    /// larger one would use the writes that are reserved for users.
    pub fn max_deferrable_batch(&self, txn_ops: usize) -> usize {
        let unreserved = self.writes.burst() - writes_reserved_for_users(&self.writes);
        (unreserved as usize).clamp(1, txn_ops)
    }

    /// Queues a request.
    ///
    /// # Errors
    /// Returns the tag if the queue of this priority is full.
    pub fn push(
        &mut self,
        priority: RequestPriority,
        tag: Tag,
        request: StoreRequest,
    ) -> Result<(), Tag> {
        let queue = &mut self.queues[priority as usize];
        if queue.len() >= MAX_QUEUED_PER_PRIORITY {
            return Err(tag);
        }
        queue.push_back((tag, request));
        Ok(())
    }

    /// Takes the requests that may be sent now, in the order of their priorities.
    pub fn take_ready(&mut self, now: Now) -> Vec<(Tag, StoreRequest)> {
        self.requests.refill(now);
        self.writes.refill(now);
        let mut ready = Vec::new();
        let backing_off = self.is_backing_off(now);
        // While a large write waits for tokens, smaller writes of lower priority must not use them,
        // or it would starve.
        let mut larger_write_waits = false;
        for (priority, queue) in self.queues.iter_mut().enumerate() {
            if backing_off && priority != RequestPriority::Lease as usize {
                break;
            }
            let reserved = if priority > RequestPriority::User as usize {
                writes_reserved_for_users(&self.writes)
            } else {
                0.0
            };
            while let Some((_, request)) = queue.front() {
                let writes = write_cost(request);
                // A transaction may cost more than a second's writes; it is sent when the bucket is
                // full.
                let affordable = !larger_write_waits
                    && self.writes.tokens() >= (writes + reserved).min(self.writes.burst());
                if self.requests.tokens() < 1.0 || (writes > 0.0 && !affordable) {
                    larger_write_waits |= writes > 0.0;
                    break;
                }
                self.requests.take(1.0);
                self.writes.take(writes);
                ready.extend(queue.pop_front());
            }
        }
        ready
    }

    /// Whether a write of this priority would be sent at once. Writes that batch changes are
    /// prepared only then, so that each contains all changes that arrived while earlier writes
    /// waited.
    pub fn can_send_now(&mut self, now: Now, priority: RequestPriority) -> bool {
        self.requests.refill(now);
        self.writes.refill(now);
        let no_earlier_requests = self.queues[..=priority as usize]
            .iter()
            .all(VecDeque::is_empty);
        let required = (1.0 + writes_reserved_for_users(&self.writes)).min(self.writes.burst());
        no_earlier_requests
            && !self.is_backing_off(now)
            && self.requests.tokens() >= 1.0
            && self.writes.tokens() >= required
    }

    /// Records a response. A refusal or a missing response starts a backoff.
    pub fn record_response(&mut self, now: Now, response: &StoreResponse) {
        match response {
            StoreResponse::Refused | StoreResponse::Unknown => {
                self.last_refusal = Some(now.monotonic);
                self.backoff_until = Some(now.monotonic + REFUSAL_BACKOFF);
            }
            _ => {
                self.last_response = Some(now.monotonic);
            }
        }
    }

    fn is_backing_off(&self, now: Now) -> bool {
        self.backoff_until
            .is_some_and(|until| now.monotonic < until)
    }

    /// Whether the service has responded since its last refusal, or less than `OUTAGE_THRESHOLD`
    /// ago.
    pub fn available(&self, now: Now) -> bool {
        match (self.last_response, self.last_refusal) {
            (Some(response), Some(refusal)) => {
                response >= refusal || since(now, response) < OUTAGE_THRESHOLD
            }
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Estimated delay of the write for a user's new request at the current rate.
    pub fn estimated_user_delay(&self) -> Duration {
        let queued_writes: f64 = self.queues[..=RequestPriority::User as usize]
            .iter()
            .flatten()
            .map(|(_, request)| write_cost(request))
            .sum();
        let missing_tokens = (queued_writes + 1.0 - self.writes.tokens()).max(0.0);
        Duration::from_secs_f64(missing_tokens / self.writes.rate())
    }
}

/// Number of writes that deferrable writes leave in the bucket.
fn writes_reserved_for_users(writes: &TokenBucket) -> f64 {
    (writes.burst() * USER_RESERVED_SHARE).max(1.0)
}

/// Number of writes that a request counts as.
fn write_cost(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Commit(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

#[cfg(test)]
mod tests;
