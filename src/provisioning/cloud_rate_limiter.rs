//! The rate limit for the provisioner's requests to the cloud, as a token bucket.
//!
//! Each request needs a permit first. The bucket belongs to the provisioner of one term: a new leader starts with one
//! permit.

use std::time::Instant;

use crate::domain::{Now, since};

/// The part of the cloud's request rate that the leader uses; the rest is left for other controllers' requests.
const PROVISIONER_RATE_SHARE: f64 = 0.8;

/// Permits for requests, refilled over time up to those of one second.
#[derive(Debug)]
pub(super) struct CloudRateLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl CloudRateLimiter {
    /// A bucket with one permit.
    pub(super) fn new(now: Now) -> Self {
        CloudRateLimiter {
            tokens: 1.0,
            refilled_at: now.monotonic,
        }
    }

    /// Takes a permit if there is one. `requests_per_second`: the requests in a second that the cloud allows.
    pub(super) fn try_acquire(&mut self, now: Now, requests_per_second: f64) -> bool {
        let refill = since(now, self.refilled_at).as_secs_f64()
            * requests_per_second
            * PROVISIONER_RATE_SHARE;
        self.tokens = (self.tokens + refill).min(requests_per_second);
        self.refilled_at = now.monotonic;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
