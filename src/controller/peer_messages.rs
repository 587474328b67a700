//! Messages from and to other controllers.
//!
//! Messages are not trusted beyond what the conditions of the state service's transactions allow. A message to this
//! controller itself, such as the status of a holder that is also the leader, is handled directly and not sent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Controller, Effect};
use crate::domain::{ControllerName, Now, since};
use crate::peer::{
    AssignmentUpdate, BlockStatus, CancelledJob, ControllerHeartbeat, ControllerStatus, Message,
};

/// The time between two heartbeats, and between two statuses if nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// The minimum time between two statuses if something has changed.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// The schedule of heartbeats and statuses.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    last_heartbeat: Option<Instant>,
    last_status: Option<Instant>,
    /// Whether the state of a block may have changed since the last status.
    status_requested: bool,
}

impl ReportSchedule {
    /// Creates a schedule in which both are due immediately.
    pub(super) fn new() -> Self {
        ReportSchedule {
            last_heartbeat: None,
            last_status: None,
            status_requested: true,
        }
    }

    /// Requests a status soon because a change may concern the leader.
    pub(super) fn request_status(&mut self) {
        self.status_requested = true;
    }

    fn heartbeat_due(&self, now: Now) -> bool {
        self.last_heartbeat
            .is_none_or(|at| since(now, at) >= REPORT_INTERVAL)
    }

    fn status_due(&self, now: Now) -> bool {
        let interval = if self.status_requested {
            MIN_STATUS_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        self.last_status.is_none_or(|at| since(now, at) >= interval)
    }
}

impl Controller {
    /// Handles a message from another controller or from this controller to itself.
    pub(super) fn handle_peer_message(&mut self, now: Now, message: Message) {
        match message {
            Message::Status(status) => self.handle_status(now, status),
            Message::Cancelled(jobs) => {
                // Cancellations that can't be stored now are repeated in heartbeats.
                self.apply_cancellations(jobs);
            }
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat),
            Message::AssignmentUpdates(updates) => {
                for update in updates {
                    self.worker_fleet.apply_assignments(update);
                }
                self.reports.request_status();
            }
        }
    }

    /// Handles a holder's status. The status of a block is ignored unless it comes from the process that holds the
    /// block.
    fn handle_status(&mut self, now: Now, status: ControllerStatus) {
        self.block_lease_manager
            .record_heartbeat(now, &status.controller, status.incarnation);
        if let Some(state) = &mut self.leader_state {
            state.scheduler.record_misrouted(now, status.misrouted);
        }
        for block in status.blocks {
            let lease = self.cache.block_leases.get(&block.block);
            let current = lease.is_some_and(|lease| {
                lease.value.holder == status.controller
                    && lease.value.incarnation == status.incarnation
                    && lease.value.token == block.token
            });
            if current {
                self.handle_block_status(now, block);
            }
        }
    }

    /// Handles the status of a block from its holder.
    fn handle_block_status(&mut self, now: Now, block: BlockStatus) {
        if block.token_renewal_required {
            self.block_lease_manager
                .require_token_renewal(&block.block, block.token);
        }
        if let Some(state) = &mut self.leader_state {
            state.scheduler.observe_block_status(now, block);
            self.plan_outdated = true;
        }
    }

    fn handle_heartbeat(&mut self, now: Now, mut heartbeat: ControllerHeartbeat) {
        heartbeat.lists_all_cancellations &=
            self.apply_cancellations(heartbeat.cancelled_jobs.iter().copied());
        self.cancellations
            .record_heartbeat(now, &self.config.name, self.incarnation, &heartbeat);
        let ControllerHeartbeat {
            controller,
            reaches_state_service,
            ..
        } = heartbeat;
        let zone = self
            .config
            .peers
            .iter()
            .find(|peer| peer.name == controller)
            .map(|peer| peer.zone.clone());
        self.heard_zones.extend(zone);
        self.reachability
            .record_peer(now, controller, reaches_state_service);
    }

    /// Applies cancellations to the cache. Returns whether all of them could be stored.
    pub(super) fn apply_cancellations(
        &mut self,
        jobs: impl IntoIterator<Item = CancelledJob>,
    ) -> bool {
        let mut all_stored = true;
        for CancelledJob {
            job,
            version,
            cancelled_ms,
        } in jobs
        {
            all_stored &= self.cache.record_cancellation(job, version, cancelled_ms);
        }
        all_stored
    }

    /// Sends this controller's heartbeat to all other controllers when it is due.
    pub(super) fn broadcast_heartbeat(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let reaches_state_service = self.rate_limiter.available(now);
        self.reachability.record_own(now, reaches_state_service);
        if !self.reports.heartbeat_due(now) {
            return;
        }
        self.reports.last_heartbeat = Some(now.monotonic);
        let heartbeat = self.cancellations.next_heartbeat(
            now,
            &self.config.name,
            self.incarnation,
            &self.cache,
            reaches_state_service,
        );
        self.broadcast(&Message::Heartbeat(heartbeat), effects);
    }

    /// Sends a message to all other controllers.
    pub(super) fn broadcast(&self, message: &Message, effects: &mut Vec<Effect>) {
        for peer in &self.config.peers {
            effects.push(Effect::Peer {
                to: peer.name.clone(),
                message: message.clone(),
            });
        }
    }

    /// Sends the status of this holder's blocks to the leader when it is due.
    pub(super) fn report_status(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if !self.reports.status_due(now) {
            return;
        }
        let Some(leader) = &self.cache.leader else {
            return;
        };
        let leader = leader.value.controller.clone();
        self.reports.last_status = Some(now.monotonic);
        self.reports.status_requested = false;
        let status = ControllerStatus {
            controller: self.config.name.clone(),
            incarnation: self.incarnation,
            blocks: self.worker_fleet.prepare_block_statuses(now, &self.policy),
            misrouted: self
                .worker_fleet
                .recent_misrouted_machines(now, &self.config),
        };
        if leader == self.config.name {
            self.handle_peer_message(now, Message::Status(status));
        } else {
            let messages = status.into_messages().into_iter();
            effects.extend(messages.map(|status| Effect::Peer {
                to: leader.clone(),
                message: Message::Status(status),
            }));
        }
    }

    /// Sends the leader's assignment updates to the holders of the blocks, in one message per holder.
    pub(super) fn send_assignment_updates(
        &mut self,
        now: Now,
        updates: Vec<AssignmentUpdate>,
        effects: &mut Vec<Effect>,
    ) {
        let mut by_holder: BTreeMap<ControllerName, Vec<AssignmentUpdate>> = BTreeMap::new();
        for update in updates {
            if let Some(lease) = self.cache.block_leases.get(&update.block) {
                by_holder
                    .entry(lease.value.holder.clone())
                    .or_default()
                    .push(update);
            }
        }
        for (holder, updates) in by_holder {
            let message = Message::AssignmentUpdates(updates);
            if holder == self.config.name {
                self.handle_peer_message(now, message);
            } else {
                effects.push(Effect::Peer {
                    to: holder,
                    message,
                });
            }
        }
    }
}
