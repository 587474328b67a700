//! Divides the number of sockets in the settings among the kinds of connections.
//!
//! Commands in flight to workers get one of every `COMMAND_SOCKET_DIVISOR` sockets, and so do idle connections to
//! workers, because a command may be in flight for as long as an idle connection is kept. Connections with other
//! controllers and this controller's other requests get up to `INTERNAL_SOCKETS`. The public listener gets the rest.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::http::connections::ConnectionLimiter;
use crate::workers::COMMAND_SOCKET_DIVISOR;

/// The time for which idle connections to the state service, the cloud and other controllers are kept.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time for which idle connections to workers are kept. It is short because there are thousands of workers.
pub(super) const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Sockets for other controllers and for this controller's requests other than commands to workers.
const INTERNAL_SOCKETS: usize = 150;

/// The connection limits of the two listeners.
pub(super) struct ConnectionLimits {
    pub public: ConnectionLimiter,
    pub peers: ConnectionLimiter,
}

impl ConnectionLimits {
    /// Divides this number of sockets.
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

/// The times of the latest commands to workers. While there are fewer than the limit, a command keeps its connection
/// open for later commands.
pub(super) struct RecentCommands {
    limit: usize,
    sent_at: VecDeque<Instant>,
}

impl RecentCommands {
    /// Allows at most `limit` idle connections.
    pub fn new(limit: usize) -> Self {
        RecentCommands {
            limit,
            sent_at: VecDeque::new(),
        }
    }

    /// Whether another command may keep its connection open. If so, the command is counted.
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
