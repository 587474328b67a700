//! How the sockets that the settings allow are divided.
//!
//! A command to a worker may be under way for as long as an idle connection is kept; each of the two has one socket in
//! `COMMAND_SOCKET_DIVISOR`. Other controllers and this controller's own requests have a few. Whoever calls has the rest.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::http::connections::ConnectionLimiter;
use crate::workers::COMMAND_SOCKET_DIVISOR;

/// How long idle connections to the state service, the cloud and other controllers are kept.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long idle connections to workers are kept: there are thousands of workers.
pub(super) const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Sockets for other controllers and for this controller's requests to anyone but workers.
const INTERNAL_SOCKETS: usize = 150;

/// The limits of the two listeners.
pub(super) struct ConnectionLimits {
    pub public: ConnectionLimiter,
    pub peers: ConnectionLimiter,
}

impl ConnectionLimits {
    /// Divides this many sockets.
    pub fn new(sockets: usize) -> Self {
        let internal = INTERNAL_SOCKETS.min(sockets / 4);
        ConnectionLimits {
            public: ConnectionLimiter::new(
                sockets - internal - 2 * (sockets / COMMAND_SOCKET_DIVISOR),
            ),
            peers: ConnectionLimiter::new(internal / 2),
        }
    }
}

/// When the latest commands to workers were sent. While they are few, their connections are kept for later ones.
pub(super) struct RecentCommands {
    limit: usize,
    sent_at: VecDeque<Instant>,
}

impl RecentCommands {
    /// At most `limit` idle connections are to be left.
    pub fn new(limit: usize) -> Self {
        RecentCommands {
            limit,
            sent_at: VecDeque::new(),
        }
    }

    /// Whether another command may leave its connection open. If so, it is counted.
    pub fn try_keep_alive(&mut self, now: Instant) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > WORKER_IDLE_TIMEOUT)
        {
            self.sent_at.pop_front();
        }
        if self.sent_at.len() >= self.limit {
            return false;
        }
        self.sent_at.push_back(now);
        true
    }
}
