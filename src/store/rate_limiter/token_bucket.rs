//! A bucket of tokens that refills at a rate.

use std::time::Instant;

use crate::domain::{Now, since};

/// A bucket of tokens, one for each request or write. It starts with a second's worth.
pub(super) struct TokenBucket {
    tokens: f64,
    /// Tokens a second.
    rate: f64,
    /// The most tokens that it holds.
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A bucket with a second's worth at this rate.
    pub(super) fn new(rate: f64, now: Now) -> Self {
        TokenBucket {
            tokens: rate,
            rate,
            burst: rate,
            refilled_at: now.monotonic,
        }
    }

    /// Adds what the time since the last refill has brought.
    pub(super) fn refill(&mut self, now: Now) {
        self.tokens =
            (self.tokens + since(now, self.refilled_at).as_secs_f64() * self.rate).min(self.burst);
        self.refilled_at = now.monotonic;
    }

    /// Sets the rate, and the most that the bucket holds to a second's worth.
    pub(super) fn set_rate(&mut self, now: Now, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate;
    }

    /// The tokens in the bucket at the last refill.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens a second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// The most tokens that the bucket holds.
    pub(super) fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes tokens. The bucket may be left with less than none.
    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
