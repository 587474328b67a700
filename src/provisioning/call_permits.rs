//! The rate limit for the provisioner's requests to the cloud, as a token bucket.
//!
//! Each request needs a permit first. The bucket belongs to the provisioner of one term: a new leader starts with one
//! permit.

use std::time::Instant;

use crate::domain::{Now, since};

/// The part of the cloud's request rate that the leader uses; the rest is left for other controllers' requests.
const RATE_SHARE: f64 = 0.8;

/// Permits for requests, refilled over time up to those of one second.
#[derive(Debug)]
pub(super) struct CallPermits {
    available: f64,
    refilled: Instant,
}

impl CallPermits {
    /// A bucket with one permit.
    pub(super) fn new(now: Now) -> Self {
        CallPermits {
            available: 1.0,
            refilled: now.monotonic,
        }
    }

    /// Takes a permit if there is one. `rate`: the requests in a second that the cloud allows.
    pub(super) fn try_acquire(&mut self, now: Now, rate: f64) -> bool {
        let refill = since(now, self.refilled).as_secs_f64() * rate * RATE_SHARE;
        self.available = (self.available + refill).min(rate);
        self.refilled = now.monotonic;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
