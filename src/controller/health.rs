//! Time-dependent state: health for the load balancer, the end of this holder's authority, process pauses, and the
//! tick.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::Controller;
use crate::domain::{ControllerName, Now, since};

/// The minimum gap between two events that counts as a pause of the process. Every tick is an event, so that a longer
/// gap means that the process was paused while its clocks continued.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// How long this controller alone must be unable to reach the state service before it reports itself unhealthy.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// The reachability of the state service from this controller and, as last reported, from its peers.
#[derive(Debug, Default)]
pub(super) struct StateServiceReachability {
    /// When each peer last reported that it reaches the state service. A peer whose last report says that it does not
    /// has no entry.
    peers_reached_at: BTreeMap<ControllerName, Instant>,
    /// The time since which this controller can't reach the state service.
    unreachable_since: Option<Instant>,
}

impl StateServiceReachability {
    /// Records whether the state service is reachable from this controller now.
    pub(super) fn record_own(&mut self, now: Now, reachable: bool) {
        self.unreachable_since = if reachable {
            None
        } else {
            self.unreachable_since.or(Some(now.monotonic))
        };
    }

    /// Records a report of a peer.
    pub(super) fn record_peer(&mut self, now: Now, peer: ControllerName, reachable: bool) {
        if reachable {
            self.peers_reached_at.insert(peer, now.monotonic);
        } else {
            self.peers_reached_at.remove(&peer);
        }
    }

    /// Whether this controller has been unable to reach the state service for [`ISOLATION_TIMEOUT`] while a peer
    /// reached it.
    fn is_isolated(&self, now: Now) -> bool {
        self.unreachable_since
            .is_some_and(|at| since(now, at) > ISOLATION_TIMEOUT)
            && self
                .peers_reached_at
                .values()
                .any(|at| since(now, *at) < ISOLATION_TIMEOUT)
    }
}

impl Controller {
    /// Whether the load balancer should send users to this controller. False if only this controller can't reach the
    /// state service. During an outage for all controllers it stays healthy, because a load balancer takes time to
    /// add a controller again.
    pub(super) fn is_healthy(&self, now: Now) -> bool {
        self.cache.is_loaded() && self.catalog.is_loaded() && !self.reachability.is_isolated(now)
    }

    /// The time until which this holder may act on the cached block leases, counted from before they were read. Fencing
    /// tokens guard against another holder of the same block; this limit bounds how long a cancellation may be unknown
    /// here.
    pub(super) fn authority_until(&self, now: Now) -> Instant {
        let known_until = self.cache.current_as_of().map(|cache_as_of| {
            self.cancellations
                .all_cancellations_known_until(now, &self.config)
                .max(Some(cache_as_of))
        });
        known_until.flatten().map_or(now.monotonic, |until| {
            until + self.policy.block_lease_duration
        })
    }

    /// Detects a pause of this process and adds it to the times of the last heartbeats, so that the pause does not
    /// count as missed heartbeats of peers.
    pub(super) fn detect_process_pause(&mut self, now: Now) {
        let pause = since(now, std::mem::replace(&mut self.last_event, now.monotonic));
        if pause > MIN_PROCESS_PAUSE {
            info!(?pause, "process pause detected");
            self.worker_fleet.process_paused(pause);
            self.block_lease_manager.process_paused(pause);
            self.cancellations.process_paused(pause);
        }
    }

    /// Handles the periodic timer.
    pub(super) fn tick(&mut self, now: Now) {
        self.worker_fleet.tick(now, &self.config, &self.policy);
        for accepted_ms in self.worker_fleet.take_accept_times_of_started_tasks() {
            self.metrics
                .start_ms
                .record(now.unix_ms().saturating_sub(accepted_ms));
        }
        self.log_metrics(now);
    }

    /// Records how long the last event took to handle, as measured by the caller. `now` is the time passed with the
    /// event.
    pub fn record_event_duration(&mut self, now: Now, duration: Duration) {
        self.metrics.record_event_duration(duration);
        if let Some(state) = &mut self.leader_state {
            state.record_plan_duration(now, duration);
        }
    }
}
