//! Whether a worker is alive and reachable: its heartbeats, the commands that it did not answer, and probes.

use std::time::{Duration, Instant};

use crate::domain::{Now, since};
use crate::policy::Policy;

/// A worker whose last heartbeat is older than this gets no new tasks.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(9);
/// The least time between two probes of a worker.
pub(in crate::workers) const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// An empty command, sent to learn whether a worker answers.
#[derive(Debug, Clone, Copy)]
struct Probe {
    sent_at: Instant,
    unanswered: bool,
}

/// What is known of a worker's being alive.
///
/// Only a heartbeat shows that the worker reaches us, and only the response to a command that we reach it.
#[derive(Debug)]
pub(in crate::workers) struct Liveness {
    /// When the last heartbeat came, or the block lease was acquired if none has come since.
    last_heartbeat: Instant,
    /// Whether the worker has reported at all, in a heartbeat or in the response to a command.
    has_reported: bool,
    /// Since when commands have gone unanswered. Heartbeats may still arrive: then our responses do not reach the worker,
    /// its lease expires whatever we respond, and a task that is launched there never starts.
    unanswered_since: Option<Instant>,
    /// The last probe since the last heartbeat.
    probe: Option<Probe>,
}

impl Liveness {
    /// A worker that is first known of now.
    pub(in crate::workers) fn new(now: Now) -> Self {
        Liveness {
            last_heartbeat: now.monotonic,
            has_reported: false,
            unanswered_since: None,
            probe: None,
        }
    }

    /// Records a heartbeat. It ends a probe only if commands are answered as well.
    pub(in crate::workers) fn record_heartbeat(&mut self, now: Now) {
        self.has_reported = true;
        self.last_heartbeat = now.monotonic;
        if self.unanswered_since.is_none() {
            self.probe = None;
        }
    }

    /// Records the state that came with the response to a command.
    pub(in crate::workers) fn record_response(&mut self) {
        self.has_reported = true;
        if let Some(probe) = &mut self.probe {
            probe.unanswered = false;
        }
    }

    /// Records that the worker responded to a command, whether or not the state in its response is new.
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

    /// Records that a probe is sent now.
    pub(in crate::workers) fn record_probe(&mut self, now: Now) {
        self.probe = Some(Probe {
            sent_at: now.monotonic,
            unanswered: false,
        });
    }

    /// Leaves out a time in which this process was paused and could hear nothing.
    pub(in crate::workers) fn process_paused(&mut self, pause: Duration) {
        self.last_heartbeat += pause;
        self.unanswered_since = self.unanswered_since.map(|at| at + pause);
    }

    /// Whether the worker has reported at all.
    pub(in crate::workers) fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// Whether the last command, if any, was answered.
    pub(in crate::workers) fn answers_commands(&self) -> bool {
        self.unanswered_since.is_none()
    }

    /// Whether a heartbeat came within the time after which a worker gets no new tasks.
    pub(in crate::workers) fn heartbeat_is_recent(&self, now: Now) -> bool {
        since(now, self.last_heartbeat) < HEARTBEAT_TIMEOUT
    }

    /// Whether the last heartbeat is older than `overdue_after`.
    pub(in crate::workers) fn heartbeat_overdue(&self, now: Now, overdue_after: Duration) -> bool {
        since(now, self.last_heartbeat) > overdue_after
    }

    /// Whether a probe should be sent: a heartbeat is overdue or a command was not answered, and the last probe was some
    /// time ago.
    pub(in crate::workers) fn probe_due(&self, now: Now, overdue_after: Duration) -> bool {
        let suspected = self.heartbeat_overdue(now, overdue_after) || !self.answers_commands();
        let probed_recently = self
            .probe
            .is_some_and(|probe| since(now, probe.sent_at) <= PROBE_INTERVAL);
        suspected && !probed_recently
    }

    /// Whether the worker is taken for unresponsive: heartbeats are missing for as long as the policy allows, which is
    /// shorter once a probe failed, or commands have gone unanswered for long.
    ///
    /// `addr_known`: whether the worker can be probed at all.
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
            // Nobody knows its address, so it can't be probed, and the block's last holder, if it lost only the state
            // service, answers its heartbeats for the life of its block lease.
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
