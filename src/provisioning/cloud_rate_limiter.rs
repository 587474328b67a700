//! The rate limit for the provisioner's requests to the cloud, as a token bucket.
//!
//! Each request takes a token. The bucket belongs to the provisioner of one term: a new leader starts with one token.

use std::time::Instant;

use crate::domain::{Now, since};

/// Fraction of the cloud's request rate that the leader uses; the rest is left for requests of other controllers.
const PROVISIONER_RATE_SHARE: f64 = 0.8;

/// A bucket that is refilled over time up to the tokens of one second.
#[derive(Debug)]
pub(super) struct CloudRateLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl CloudRateLimiter {
    /// Creates a bucket with one token.
    pub(super) fn new(now: Now) -> Self {
        CloudRateLimiter {
            tokens: 1.0,
            refilled_at: now.monotonic,
        }
    }

    /// Takes a token if there is one. `requests_per_second`: the rate that the cloud allows.
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
