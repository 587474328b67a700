//! The time at which an event is handled.

use std::time::{Duration, Instant, SystemTime};

/// The readings of both clocks at an event. They are read once per event, so that state machines
/// read no clock themselves.
///
/// Deadlines use the monotonic clock; the time of day only orders jobs.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// The time of day.
    pub wall: SystemTime,
}

impl Now {
    /// Reads both clocks.
    pub fn read() -> Self {
        Now {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// The time of day in milliseconds since the Unix epoch; 0 before it.
    pub fn unix_ms(&self) -> u64 {
        self.wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| {
                u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
            })
    }
}

/// Time since `then`; zero if `then` is later than `now`.
pub fn since(now: Now, then: Instant) -> Duration {
    now.monotonic.saturating_duration_since(then)
}
