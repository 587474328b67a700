//! What time alone decides: health for the load balancer, the end of this holder's authority, process pauses, the tick.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::Controller;
use crate::domain::{ControllerName, Now, since};

/// Events come with every tick. If none came for this long, the process was paused while its clocks ran on.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// How long only this controller must be without the state service before users are sent elsewhere.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Who reachable the state service: this controller, and the others by what they last said.
#[derive(Debug, Default)]
pub(super) struct StateServiceReachability {
    /// When each of the others last said that it reachable it. Without entry: it last said that it doesn't.
    peers_reached_at: BTreeMap<ControllerName, Instant>,
    /// Since when this controller doesn't.
    unreachable_since: Option<Instant>,
}

impl StateServiceReachability {
    /// Records whether this controller reachable it now.
    pub(super) fn record_own(&mut self, now: Now, reachable: bool) {
        self.unreachable_since = if reachable {
            None
        } else {
            self.unreachable_since.or(Some(now.monotonic))
        };
    }

    /// Records what another controller said.
    pub(super) fn record_peer(&mut self, now: Now, peer: ControllerName, reachable: bool) {
        if reachable {
            self.peers_reached_at.insert(peer, now.monotonic);
        } else {
            self.peers_reached_at.remove(&peer);
        }
    }

    /// Whether this controller has not reached it for a while and another one has.
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
    /// Whether users should come here. Not if only this controller can't reach the state service; during an outage for all,
    /// staying is better than being taken out, since coming back takes the load balancer its time.
    pub(super) fn is_healthy(&self, now: Now) -> bool {
        self.cache.ready() && self.catalog.is_loaded() && !self.reachability.is_isolated(now)
    }

    /// Until when the known block leases may be acted on: counted from before they were asked for. That others may hold
    /// them by now is what fencing tokens are for; what has an end is how long a cancellation may be unknown here.
    pub(super) fn authority_until(&self, now: Now) -> Instant {
        let known_until = self.cache.current_as_of().map(|cache_as_of| {
            self.cancellations
                .all_cancellations_known_until(now, &self.config)
                .max(Some(cache_as_of))
        });
        known_until.flatten().map_or(now.monotonic, |known_until| {
            known_until + self.policy.block_lease_duration
        })
    }

    /// Silence of others during a pause of this process is not theirs: the pause is added to when they were last heard.
    pub(super) fn detect_process_pause(&mut self, now: Now) {
        let pause = since(now, std::mem::replace(&mut self.last_event, now.monotonic));
        if pause > MIN_PROCESS_PAUSE {
            info!(?pause, "process pause detected");
            self.worker_fleet.process_paused(pause);
            self.block_lease_manager.process_paused(pause);
            self.cancellations.process_paused(pause);
        }
    }

    /// What is done with every tick.
    pub(super) fn tick(&mut self, now: Now) {
        self.worker_fleet.tick(now, &self.config, &self.policy);
        for accepted_ms in self.worker_fleet.take_accept_times_of_started_tasks() {
            self.metrics
                .start_ms
                .record(now.unix_ms().saturating_sub(accepted_ms));
        }
        self.log_metrics(now);
    }

    /// Records how long the last event took to handle, as whoever runs this controller measured it. `now` is the time
    /// that the event was handled at.
    pub fn record_event_duration(&mut self, now: Now, duration: Duration) {
        self.metrics.record_event_duration(duration);
        if let Some(state) = &mut self.leader_state {
            state.record_plan_duration(now, duration);
        }
    }
}
