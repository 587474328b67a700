//! Event handling: passes each event to its module, then advances all modules to the new state.
//!
//! The order of the steps in `advance` is part of the behaviour: each step sees the changes made by the steps before
//! it.

use tracing::{info, warn};

use super::{Controller, Effect, Event, StoreTag};
use crate::cloud::CloudRequest;
use crate::domain::{Attempt, BlockId, MachineId, Now};
use crate::job_api::Response;
use crate::provisioning;
use crate::store::StoreRequest;
use crate::store::rate_limiter::RequestPriority;
use crate::store::records::NEWEST_FORMAT;

impl Controller {
    /// Handles an event and returns the effects to perform.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.detect_process_pause(now);
        self.dispatch(now, event, &mut effects);
        self.advance(now, &mut effects);
        for effect in &effects {
            if let Effect::RespondToUser {
                response: Response::Problem { status, .. },
                ..
            } = effect
            {
                self.metrics.record_refusal(*status);
            }
        }
        effects
    }

    /// Passes the event to its module.
    fn dispatch(&mut self, now: Now, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now),
            Event::Submit { id, body } => {
                let (job_api, mut context) = self.job_api_with_context();
                let response = job_api.submit(now, id, &body, &mut context);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Poll { id, job } => {
                let (job_api, mut context) = self.job_api_with_context();
                let response = job_api.poll(now, id, &job, &mut context);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Cancel { id, job } => {
                let (job_api, mut context) = self.job_api_with_context();
                let response = job_api.cancel(now, id, &job, &mut context);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Health { id } => effects.push(Effect::RespondToHealthCheck {
                id,
                healthy: self.is_healthy(now),
            }),
            Event::OperatorRequest { id, request } => {
                let reply = self.operations.add_request(now, id, request);
                effects.extend(reply.map(|reply| Effect::RespondToOperator { id, reply }));
            }
            Event::Heartbeat { id, heartbeat } => {
                self.handle_worker_heartbeat(now, id, heartbeat, effects);
            }
            Event::StoreResponse { tag, sent, outcome } => {
                self.handle_store_response(now, tag, sent, outcome, effects);
            }
            Event::CommandCompleted {
                block,
                machine,
                commands,
                outcome,
            } => {
                self.worker_fleet.apply_command_outcome(
                    now,
                    &block,
                    &machine,
                    &commands,
                    outcome,
                    &self.cache,
                );
                self.reports.request_status();
            }
            Event::CloudResponse { tag, outcome } => self.handle_cloud_response(now, tag, outcome),
            Event::Peer(message) => self.handle_peer_message(now, message),
        }
    }

    /// Runs all steps that may be due in the current state.
    fn advance(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let format = self.cache.format();
        if format > NEWEST_FORMAT {
            effects.push(Effect::UnsupportedFormat { format });
            return;
        }
        self.adopt_record_format(now);
        self.request_instance_catalog(now, effects);
        self.apply_record_changes(now);
        for (tag, request) in self.leadership.poll(now, &self.cache, &mut self.rng) {
            self.push_store_request(RequestPriority::Lease, StoreTag::Leadership(tag), request);
        }
        self.run_leader_round(now, effects);
        self.respond_to_operators(now, effects);
        self.write_placements(now, effects);
        self.send_worker_commands(now, effects);
        self.delete_machines_of_cancelled_tasks(now, effects);
        self.broadcast_heartbeat(now, effects);
        self.report_status(now, effects);
        let (job_api, mut context) = self.job_api_with_context();
        for (id, response) in job_api.resolve_pending(now, &mut context) {
            effects.push(Effect::RespondToUser { id, response });
        }
        for (tag, request) in self.cache.poll(now) {
            self.push_store_request(RequestPriority::Lease, StoreTag::WatchCache(tag), request);
        }
        self.send_store_requests(now, effects);
    }

    /// Queues a request to the state service, which is sent when the rate limit allows.
    pub(super) fn push_store_request(
        &mut self,
        priority: RequestPriority,
        tag: StoreTag,
        request: StoreRequest,
    ) {
        if let Err(tag) = self.rate_limiter.push(priority, tag, request) {
            // Not expected: the modules that call this have one request in flight each, so the queue can't be full.
            warn!(?tag, "state service request dropped: queue is full");
        }
    }

    /// Sends the queued requests that the rate limit allows.
    pub(super) fn send_store_requests(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let ready = self.rate_limiter.take_ready(now);
        effects.extend(
            ready
                .into_iter()
                .map(|(tag, request)| Effect::Store { tag, request }),
        );
    }

    /// Adopts the format that the records were switched to. From then on the next limits of the state service apply in
    /// addition to the current ones.
    fn adopt_record_format(&mut self, now: Now) {
        if self.cache.format() == self.format {
            return;
        }
        self.format = self.cache.format();
        self.config.apply_next_state_limits();
        let limits = self.config.state_limits;
        self.rate_limiter
            .set_limits(now, &limits, self.leader_state.is_some());
        info!(format = self.format, ?limits, "record format adopted");
    }

    /// Requests the list of instance types from the cloud when a refresh is due.
    fn request_instance_catalog(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.catalog.try_begin_refresh(now) {
            effects.push(Effect::Cloud {
                tag: provisioning::CloudRequestPurpose::RefreshCatalog,
                request: CloudRequest::ListInstanceTypes,
                authority_until: None,
            });
        }
    }

    /// Updates the state that is derived from the records if the cache has changed.
    fn apply_record_changes(&mut self, now: Now) {
        if self.cache.revision == self.applied_revision && !self.cache.has_changed() {
            return;
        }
        self.applied_revision = self.cache.revision;
        self.plan_outdated = true;
        if self.cache.is_loaded() {
            let changed = self.cache.take_changed();
            self.cancellations.sync(&self.cache, &changed);
            self.worker_fleet
                .sync(now, &self.config, self.incarnation, &self.cache, &changed);
        }
        self.reports.request_status();
    }

    /// Deletes machines that may still run cancelled tasks near their deadline. This needs no authority, since a
    /// cancellation is final.
    fn delete_machines_of_cancelled_tasks(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let is_proven_ended = |block: &BlockId, machine: &MachineId, attempt: &Attempt| {
            self.worker_fleet.is_proven_ended(block, machine, attempt)
        };
        let request = self.cancellations.poll(
            now,
            &self.config,
            self.incarnation,
            &self.cache,
            is_proven_ended,
        );
        effects.extend(request.map(|(tag, request)| Effect::Cloud {
            tag,
            request,
            authority_until: None,
        }));
    }
}
