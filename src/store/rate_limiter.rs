//! The state service's rates, kept on the side of the client: requests wait here by priority.
//!
//! The controller queues every request to the state service here ([`RequestRateLimiter::push`]), takes those that may be sent
//! ([`RequestRateLimiter::take_ready`]) and reports the answers ([`RequestRateLimiter::record_response`]). Two token buckets hold
//! this controller's shares of the rates of requests and of writes; a transaction costs a write for each change. It reads no
//! clock and sends nothing itself.
//!
//! Invariants: within a priority requests keep their order; a write never overtakes one of a higher priority that waits for
//! the rate; after a refusal only requests of the highest priority are sent until the backoff is
//! over.

mod token_bucket;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use self::token_bucket::TokenBucket;
use super::{StoreRequest, StoreResponse};
use crate::config::StateLimits;
use crate::domain::{Now, since};

/// What goes first when the rate does not suffice for all, from the highest priority to the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Leases and leadership: late means lost.
    Lease,
    /// What a user waits for.
    User,
    /// Ends of jobs: their users are told only afterwards.
    JobCompletion,
    /// Placements and finished tasks.
    Placement,
    /// Whatever can be deferred.
    Maintenance,
}

const PRIORITY_COUNT: usize = 5;
/// A queue of this many requests refuses more: the caller tries again later.
const MAX_QUEUED_PER_PRIORITY: usize = 400;

/// The part of the rate of requests that the controllers together may take. Above 1, since they are seldom busy at the same
/// time and a refusal only delays.
const COMBINED_REQUEST_SHARE: f64 = 1.2;
/// The most of the rate of requests that one controller takes.
const MAX_REQUEST_SHARE: f64 = 0.9;

/// The parts of the rate of writes of a single controller, of the leader, and of all other controllers together. The leader
/// writes what the others do and its own duties besides. Below 1 together: a refused write costs its block a read of the
/// present state and everyone a pause.
const SINGLE_WRITE_SHARE: f64 = 0.9;
const LEADER_WRITE_SHARE: f64 = 0.48;
const OTHERS_WRITE_SHARE: f64 = 0.46;

/// The part of a second's writes, but at least one, that deferrable writes leave for users: several submissions may come at
/// once.
const USER_RESERVED_SHARE: f64 = 0.4;

/// The part of a second's writes that must be left for optional writes.
const MIN_SPARE_WRITE_SHARE: f64 = 0.6;

/// A refusal that follows an answer within this time is not taken for an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);

/// How long to back off after the service refused or did not answer.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// Requests that wait for the rates, each with a tag by which its answer is recognized.
pub struct RequestRateLimiter<Tag> {
    /// By priority.
    queues: [VecDeque<(Tag, StoreRequest)>; PRIORITY_COUNT],
    requests: TokenBucket,
    writes: TokenBucket,
    write_limit: f64,
    controllers: usize,
    /// After a refusal the service is asked less often, so that it can recover.
    backoff_until: Option<Instant>,
    last_response: Option<Instant>,
    last_refusal: Option<Instant>,
}

/// Requests a second that one controller may send.
fn request_share(limit: f64, controllers: usize) -> f64 {
    (limit * COMBINED_REQUEST_SHARE / controllers.max(1) as f64)
        .min(limit * MAX_REQUEST_SHARE)
        .max(1.0)
}

/// Writes a second that one controller may send.
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
    /// A limiter that has a second's worth of this controller's shares to spend.
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

    /// Keeps within other limits from now on.
    pub fn set_limits(&mut self, now: Now, limits: &StateLimits, is_leader: bool) {
        let rate = request_share(limits.rps, self.controllers);
        self.requests.set_rate(now, rate);
        self.write_limit = limits.write_rps;
        self.set_leading(now, is_leader);
    }

    /// Sets this controller's share of the writes by whether it leads.
    pub fn set_leading(&mut self, now: Now, is_leader: bool) {
        let rate = write_share(self.write_limit, self.controllers, is_leader);
        self.writes.set_rate(now, rate);
    }

    /// Whether most of the writes that may go in a second are left, so that optional ones can be sent.
    pub fn has_spare_writes(&mut self, now: Now) -> bool {
        self.writes.refill(now);
        self.writes.tokens() >= self.writes.burst() * MIN_SPARE_WRITE_SHARE
    }

    /// The most changes that one transaction should have, `txn_ops` at most: a larger one would make users wait for the rate.
    pub fn max_batch(&self, txn_ops: usize) -> usize {
        (self.writes.burst() as usize / 2).clamp(3, txn_ops)
    }

    /// The most changes that a deferrable transaction should have, `txn_ops` at most: with more it would take what is kept
    /// for users.
    pub fn max_deferrable_batch(&self, txn_ops: usize) -> usize {
        let unreserved = self.writes.burst() - writes_reserved_for_users(&self.writes);
        (unreserved as usize).clamp(1, txn_ops)
    }

    /// Queues a request.
    ///
    /// # Errors
    /// The tag, when the queue of this priority is full.
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

    /// Takes the requests that may be sent now, by priority.
    pub fn take_ready(&mut self, now: Now) -> Vec<(Tag, StoreRequest)> {
        self.requests.refill(now);
        self.writes.refill(now);
        let mut ready = Vec::new();
        let backing_off = self.is_backing_off(now);
        // A write that is too large for now must not be overtaken for ever by smaller ones of a lower priority.
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
                // A transaction may cost more than a second's worth: it goes when the bucket is full.
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

    /// Whether a write of this priority would be sent at once. Writes that gather changes are prepared only then, so that
    /// each holds all that came up while the ones before it waited.
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

    /// Takes note of an answer: after one that was refused or did not come, requests back off.
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

    /// Whether the service answered since it last refused, or only just began to refuse.
    pub fn available(&self, now: Now) -> bool {
        match (self.last_response, self.last_refusal) {
            (Some(response), Some(refusal)) => {
                response >= refusal || since(now, response) < OUTAGE_THRESHOLD
            }
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// How long a user's new request would wait for its write at the present rate.
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

/// The writes that deferrable writes leave in the bucket.
fn writes_reserved_for_users(writes: &TokenBucket) -> f64 {
    (writes.burst() * USER_RESERVED_SHARE).max(1.0)
}

/// How many writes a request counts as.
fn write_cost(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Commit(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

#[cfg(test)]
mod tests;
