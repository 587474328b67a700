//! The state service's rates, kept on our side: requests wait here in order of importance.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{StoreRequest, StoreResponse};
use crate::config::StateLimits;
use crate::domain::{Now, since};

/// What goes first when the rate does not suffice for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Holds and leadership: late means lost.
    Lease,
    /// What a user waits for.
    User,
    /// Ends of jobs: their users hear of them only afterwards.
    JobCompletion,
    /// Placements and their ends.
    Placement,
    /// Whatever can wait.
    Maintenance,
}

const LANES: usize = 5;
/// A lane longer than this refuses more: whoever asked tries again later.
const LANE_LIMIT: usize = 400;

struct Bucket {
    tokens: f64,
    rate: f64,
    burst: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64, now: Now) -> Self {
        Bucket {
            tokens: rate,
            rate,
            burst: rate,
            filled: now.monotonic,
        }
    }

    fn fill(&mut self, now: Now) {
        self.tokens =
            (self.tokens + since(now, self.filled).as_secs_f64() * self.rate).min(self.burst);
        self.filled = now.monotonic;
    }

    /// What writes that can wait leave in the bucket.
    fn kept_for_users(&self) -> f64 {
        (self.burst * KEPT_FOR_USERS).max(1.0)
    }
}

/// Requests that wait for their turn.
pub struct RequestRateLimiter<Tag> {
    lanes: [VecDeque<(Tag, StoreRequest)>; LANES],
    requests: Bucket,
    writes: Bucket,
    write_limit: f64,
    controllers: usize,
    /// After a refusal the service is asked less often, so that its recovery is not a stampede.
    hold_off_until: Option<Instant>,
    last_answer: Option<Instant>,
    last_refusal: Option<Instant>,
}

/// The share of the rate of requests that one controller takes: together a little more than all, since controllers are seldom
/// busy at the same time and a refusal only delays.
fn share(limit: f64, controllers: usize) -> f64 {
    (limit * 1.2 / controllers.max(1) as f64)
        .min(limit * 0.9)
        .max(1.0)
}

/// The share of the rate of writes. The leader writes what the others do and its own duties besides. Together a
/// little less than all: a refused write costs its block a fresh read and everyone a pause.
fn write_share(limit: f64, controllers: usize, leading: bool) -> f64 {
    let others = controllers.saturating_sub(1).max(1) as f64;
    let share = if controllers <= 1 {
        0.9
    } else if leading {
        0.48
    } else {
        0.46 / others
    };
    (limit * share).max(1.0)
}

/// Writes that can wait leave this part of a second's worth, but at least one, for users: several submissions may come
/// at once, and would else wait for the rate one by one.
const KEPT_FOR_USERS: f64 = 0.4;

/// The part of a second's writes that must be left for writes that could be done without.
const SPARE: f64 = 0.6;

/// How long to hold off after the service refused.
const HOLD_OFF: Duration = Duration::from_millis(150);

impl<Tag> RequestRateLimiter<Tag> {
    pub fn new(limits: &StateLimits, controllers: usize, now: Now) -> Self {
        RequestRateLimiter {
            lanes: Default::default(),
            requests: Bucket::new(share(limits.rps, controllers), now),
            writes: Bucket::new(write_share(limits.write_rps, controllers, false), now),
            write_limit: limits.write_rps,
            controllers,
            hold_off_until: None,
            last_answer: None,
            last_refusal: None,
        }
    }

    /// Keeps within other limits from now on.
    pub fn set_limits(&mut self, now: Now, limits: &StateLimits, leading: bool) {
        self.requests.fill(now);
        self.requests.rate = share(limits.rps, self.controllers);
        self.requests.burst = self.requests.rate;
        self.write_limit = limits.write_rps;
        self.set_leading(now, leading);
    }

    /// Sets this controller's share of the writes by whether it leads.
    pub fn set_leading(&mut self, now: Now, leading: bool) {
        self.writes.fill(now);
        self.writes.rate = write_share(self.write_limit, self.controllers, leading);
        self.writes.burst = self.writes.rate;
    }

    /// Whether writes are to be had in plenty: most of what may go in a second is left.
    pub fn has_spare_writes(&mut self, now: Now) -> bool {
        self.writes.fill(now);
        self.writes.tokens >= self.writes.burst * SPARE
    }

    /// The most changes that one batch should have: a larger one would make users wait for the rate to recover.
    pub fn max_batch(&self, txn_ops: usize) -> usize {
        (self.writes.burst as usize / 2).clamp(3, txn_ops)
    }

    /// The most changes that a write which can wait should have: with more it would take what is kept for users.
    pub fn max_deferrable_batch(&self, txn_ops: usize) -> usize {
        let spare = self.writes.burst - self.writes.kept_for_users();
        (spare as usize).clamp(1, txn_ops)
    }

    /// Queues a request; gives the tag back when the lane is full.
    pub fn push(&mut self, urgency: WritePriority, tag: Tag, op: StoreRequest) -> Result<(), Tag> {
        let lane = &mut self.lanes[urgency as usize];
        if lane.len() >= LANE_LIMIT {
            return Err(tag);
        }
        lane.push_back((tag, op));
        Ok(())
    }

    /// Takes what may be sent now.
    pub fn take_ready(&mut self, now: Now) -> Vec<(Tag, StoreRequest)> {
        self.requests.fill(now);
        self.writes.fill(now);
        let mut ready = Vec::new();
        let holding_off = self
            .hold_off_until
            .is_some_and(|until| now.monotonic < until);
        // What is more urgent and too dear for now must not be overtaken for ever by what is cheap.
        let mut saving = false;
        for (lane, queue) in self.lanes.iter_mut().enumerate() {
            if holding_off && lane != WritePriority::Lease as usize {
                break;
            }
            let kept = if lane > WritePriority::User as usize {
                self.writes.kept_for_users()
            } else {
                0.0
            };
            while let Some((_, op)) = queue.front() {
                let writes = cost(op);
                // A transaction may cost more than a second's worth: it goes when the bucket is full.
                let affordable =
                    !saving && self.writes.tokens >= (writes + kept).min(self.writes.burst);
                if self.requests.tokens < 1.0 || (writes > 0.0 && !affordable) {
                    saving |= writes > 0.0;
                    break;
                }
                self.requests.tokens -= 1.0;
                self.writes.tokens -= writes;
                ready.extend(queue.pop_front());
            }
        }
        ready
    }

    /// Whether a write of this urgency would go at once. Writes that gather changes are prepared only then, so
    /// that each holds all that came up while the ones before it waited.
    pub fn can_send_now(&mut self, now: Now, urgency: WritePriority) -> bool {
        self.requests.fill(now);
        self.writes.fill(now);
        let holding_off = self
            .hold_off_until
            .is_some_and(|until| now.monotonic < until);
        let clear = self.lanes[..=urgency as usize]
            .iter()
            .all(VecDeque::is_empty);
        let enough = (1.0 + self.writes.kept_for_users()).min(self.writes.burst);
        clear && !holding_off && self.requests.tokens >= 1.0 && self.writes.tokens >= enough
    }

    pub fn record_response(&mut self, now: Now, outcome: &StoreResponse) {
        match outcome {
            StoreResponse::Refused | StoreResponse::Unknown => {
                self.last_refusal = Some(now.monotonic);
                self.hold_off_until = Some(now.monotonic + HOLD_OFF);
            }
            _ => {
                self.last_answer = Some(now.monotonic);
            }
        }
    }

    /// Whether the service answered since it last refused, or only just began to refuse.
    pub fn available(&self, now: Now) -> bool {
        match (self.last_answer, self.last_refusal) {
            (Some(answer), Some(refusal)) => {
                answer >= refusal || since(now, answer) < Duration::from_secs(1)
            }
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// How long a new request of a user would wait for a write.
    pub fn estimated_user_delay(&self) -> Duration {
        let ahead: f64 = self.lanes[..=WritePriority::User as usize]
            .iter()
            .flatten()
            .map(|(_, op)| cost(op))
            .sum();
        let lacking = (ahead + 1.0 - self.writes.tokens).max(0.0);
        Duration::from_secs_f64(lacking / self.writes.rate)
    }
}

fn cost(op: &StoreRequest) -> f64 {
    match op {
        StoreRequest::Commit(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

#[cfg(test)]
mod tests;
