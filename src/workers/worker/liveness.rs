//! Decides whether a worker is alive and reachable, from its heartbeats, unanswered commands and probes.

use std::time::{Duration, Instant};

use crate::domain::{Now, since};
use crate::policy::Policy;

/// The age of the last heartbeat from which a worker gets no new tasks.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(9);
/// The minimum time between two probes of a worker.
pub(in crate::workers) const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// An empty command, sent to check whether a worker responds.
#[derive(Debug, Clone, Copy)]
struct Probe {
    sent_at: Instant,
    unanswered: bool,
}

/// The evidence that a worker is alive and reachable.
///
/// Only a heartbeat shows that the worker reaches this controller, and only the response to a command shows that this
/// controller reaches the worker.
#[derive(Debug)]
pub(in crate::workers) struct Liveness {
    /// When the last heartbeat arrived. If none has arrived yet, when the block lease was acquired or the machine was
    /// added to the block.
    last_heartbeat: Instant,
    /// Whether the worker has ever reported its state, in a heartbeat or in the response to a command.
    has_reported: bool,
    /// Since when commands have gone unanswered. Heartbeats may still arrive, but if the responses do not reach the
    /// worker, its lease expires regardless of them, and a task launched there never starts.
    unanswered_since: Option<Instant>,
    /// The last probe since the last heartbeat.
    probe: Option<Probe>,
}

impl Liveness {
    /// Creates the state for a worker that becomes known now.
    pub(in crate::workers) fn new(now: Now) -> Self {
        Liveness {
            last_heartbeat: now.monotonic,
            has_reported: false,
            unanswered_since: None,
            probe: None,
        }
    }

    /// Records a heartbeat. It clears a probe only if commands are answered as well.
    pub(in crate::workers) fn record_heartbeat(&mut self, now: Now) {
        self.has_reported = true;
        self.last_heartbeat = now.monotonic;
        if self.unanswered_since.is_none() {
            self.probe = None;
        }
    }

    /// Records a report that arrived with the response to a command.
    pub(in crate::workers) fn record_response(&mut self) {
        self.has_reported = true;
        if let Some(probe) = &mut self.probe {
            probe.unanswered = false;
        }
    }

    /// Records that the worker responded to a command, whether or not the report in the response is new.
    pub(in crate::workers) fn record_answered_command(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that a command got no response.
    pub(in crate::workers) fn record_unanswered_command(&mut self, now: Now) {
        self.unanswered_since.get_or_insert(now.monotonic);
        let sent_at = self.probe.map_or(now.monotonic, |probe| probe.sent_at);
        self.probe = Some(Probe {
            sent_at,
            unanswered: true,
        });
    }

    /// Records that a probe is being sent.
    pub(in crate::workers) fn record_probe(&mut self, now: Now) {
        self.probe = Some(Probe {
            sent_at: now.monotonic,
            unanswered: false,
        });
    }

    /// Shifts the recorded times by a pause of this process, in which it could receive nothing.
    pub(in crate::workers) fn process_paused(&mut self, pause: Duration) {
        self.last_heartbeat += pause;
        self.unanswered_since = self.unanswered_since.map(|at| at + pause);
    }

    /// Whether the worker has ever reported its state.
    pub(in crate::workers) fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// Whether the worker responded to the last command, if there was one.
    pub(in crate::workers) fn answers_commands(&self) -> bool {
        self.unanswered_since.is_none()
    }

    /// Whether the last heartbeat is recent enough for the worker to get new tasks.
    pub(in crate::workers) fn heartbeat_is_recent(&self, now: Now) -> bool {
        since(now, self.last_heartbeat) < HEARTBEAT_TIMEOUT
    }

    /// Whether the last heartbeat is older than `overdue_after`.
    pub(in crate::workers) fn heartbeat_overdue(&self, now: Now, overdue_after: Duration) -> bool {
        since(now, self.last_heartbeat) > overdue_after
    }

    /// Whether a probe should be sent: a heartbeat is overdue or a command was not answered, and the last probe is older
    /// than `PROBE_INTERVAL`.
    pub(in crate::workers) fn probe_due(&self, now: Now, overdue_after: Duration) -> bool {
        let suspected = self.heartbeat_overdue(now, overdue_after) || !self.answers_commands();
        let probed_recently = self
            .probe
            .is_some_and(|probe| since(now, probe.sent_at) <= PROBE_INTERVAL);
        suspected && !probed_recently
    }

    /// Whether the worker counts as unresponsive: no heartbeat arrived within the policy's timeout, which is shorter
    /// after a failed probe, or commands have gone unanswered for the policy's `worker_timeout`.
    ///
    /// `addr_known`: whether the worker's address is known, so that it can be probed.
    pub(in crate::workers) fn is_unresponsive(
        &self,
        now: Now,
        policy: &Policy,
        addr_known: bool,
    ) -> bool {
        let probe_failed = self.probe.is_some_and(|probe| probe.unanswered);
        let timeout = match (probe_failed, addr_known) {
            (true, _) => policy.worker_timeout_after_failed_probe,
            (false, true) => policy.worker_timeout,
            // Without an address the worker can't be probed. The previous holder of the block, if it lost only the
            // connection to the state service, responds to its heartbeats until the block lease expires.
            (false, false) => policy
                .worker_timeout
                .max(policy.block_lease_duration + policy.worker_timeout_after_failed_probe),
        };
        let unreachable = self
            .unanswered_since
            .is_some_and(|at| since(now, at) >= policy.worker_timeout);
        since(now, self.last_heartbeat) >= timeout || unreachable
    }
}
