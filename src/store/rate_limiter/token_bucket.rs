//! A token bucket that refills at a constant rate.

use std::time::Instant;

use crate::domain::{Now, since};

/// A token bucket. It starts with the tokens of one second.
pub(super) struct TokenBucket {
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    /// The maximum number of tokens in the bucket.
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with the tokens of one second at this rate.
    pub(super) fn new(rate: f64, now: Now) -> Self {
        TokenBucket {
            tokens: rate,
            rate,
            burst: rate,
            refilled_at: now.monotonic,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Now) {
        self.tokens =
            (self.tokens + since(now, self.refilled_at).as_secs_f64() * self.rate).min(self.burst);
        self.refilled_at = now.monotonic;
    }

    /// Sets the rate, and the maximum to the tokens of one second.
    pub(super) fn set_rate(&mut self, now: Now, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate;
    }

    /// The tokens in the bucket at the last refill.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// The maximum number of tokens in the bucket.
    pub(super) fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes tokens. The number of tokens may become negative.
    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
