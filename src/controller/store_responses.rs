//! Responses of the state service and of the cloud, passed to the module that sent the request.
//!
//! Responses to requests of the leader are ignored after the end of the term in which they were sent.

use std::time::Instant;

use tracing::warn;

use super::leader_round::LeaderState;
use super::{Controller, Effect, StoreTag};
use crate::cloud::CloudResponse;
use crate::domain::{Now, Term};
use crate::job_api::RequestId;
use crate::peer::Message;
use crate::provisioning;
use crate::store::StoreResponse;
use crate::store::rate_limiter::RequestPriority;

/// The module label under which a request's transaction is counted. None for requests that maintain leases and the
/// cache, which are not counted.
fn transaction_module(tag: &StoreTag) -> Option<&'static str> {
    match tag {
        StoreTag::WatchCache(_) | StoreTag::Leadership(_) => None,
        StoreTag::JobApi(_) => Some("job_api"),
        StoreTag::BlockLeases(_) => Some("block_leases"),
        StoreTag::Upgrade => Some("upgrade"),
        StoreTag::Provisioning(_) => Some("provisioning"),
        StoreTag::Scheduler(_) => Some("scheduler"),
        StoreTag::Draining(_) => Some("draining"),
        StoreTag::Operations => Some("operations"),
        StoreTag::Block { .. } => Some("workers"),
    }
}

impl Controller {
    /// Handles a response of the state service to the request with this tag, sent at `sent`.
    pub(super) fn handle_store_response(
        &mut self,
        now: Now,
        tag: StoreTag,
        sent: Instant,
        outcome: StoreResponse,
        effects: &mut Vec<Effect>,
    ) {
        self.rate_limiter.record_response(now, &outcome);
        if let Some(module) = transaction_module(&tag) {
            self.metrics.record_transaction(module, &outcome);
            if outcome == StoreResponse::Invalid {
                warn!(module, "transaction rejected: malformed or too large");
            }
        }
        match tag {
            StoreTag::WatchCache(tag) => {
                for (tag, request) in self.cache.handle_response(now, tag, outcome) {
                    let tag = StoreTag::WatchCache(tag);
                    self.push_store_request(RequestPriority::Lease, tag, request);
                }
            }
            StoreTag::Leadership(tag) => {
                let request =
                    self.leadership
                        .handle_response(now, sent, tag, &outcome, &self.cache);
                if let Some((tag, request)) = request {
                    let tag = StoreTag::Leadership(tag);
                    self.push_store_request(RequestPriority::Lease, tag, request);
                }
            }
            StoreTag::JobApi(id) => self.handle_job_response(now, id, &outcome, effects),
            StoreTag::BlockLeases(term) => {
                let leader = self.leadership.current_term(&self.cache);
                if leader.is_some_and(|leader| leader.term == term) {
                    self.block_lease_manager
                        .handle_store_response(now, &outcome);
                }
            }
            StoreTag::Upgrade => self.upgrade.handle_store_response(now, &outcome),
            StoreTag::Provisioning(term) => {
                if let Some(state) = self.leader_state_in_term(term) {
                    state.provisioner.handle_store_response(now, &outcome);
                }
            }
            StoreTag::Scheduler(term) => {
                if let Some(state) = self.leader_state_in_term(term) {
                    state.scheduler.handle_store_response(now, &outcome);
                }
            }
            StoreTag::Draining(term) => {
                if let Some(state) = self.leader_state_in_term(term) {
                    state.scheduler.handle_drain_store_response(now, &outcome);
                }
            }
            StoreTag::Operations => self.operations.handle_store_response(now, &outcome),
            StoreTag::Block {
                block,
                lease_version,
            } => {
                self.worker_fleet
                    .apply_write_outcome(now, &block, lease_version, &outcome);
                self.reports.request_status();
            }
        }
    }

    /// The leader's state if it belongs to this term.
    fn leader_state_in_term(&mut self, term: Term) -> Option<&mut LeaderState> {
        self.leader_state
            .as_mut()
            .filter(|state| state.scheduler.term() == term)
    }

    /// Handles the response to a user's transaction. A committed cancellation is sent to the other controllers
    /// immediately.
    fn handle_job_response(
        &mut self,
        now: Now,
        id: RequestId,
        outcome: &StoreResponse,
        effects: &mut Vec<Effect>,
    ) {
        let (job_api, mut context) = self.job_api_with_context();
        let cancelled = job_api.committed_cancellation(id, outcome);
        let response = job_api.handle_store_response(now, id, outcome, &mut context);
        effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
        if let Some(cancelled) = cancelled {
            self.apply_cancellations([cancelled]);
            self.broadcast(&Message::Cancelled(vec![cancelled]), effects);
        }
    }

    /// Handles a response of the cloud to the request with this tag.
    pub(super) fn handle_cloud_response(
        &mut self,
        now: Now,
        tag: provisioning::CloudRequestPurpose,
        outcome: CloudResponse,
    ) {
        if tag == provisioning::CloudRequestPurpose::TerminateForCancellation {
            self.cancellations.handle_cloud_response(now, &outcome);
        } else if tag == provisioning::CloudRequestPurpose::RefreshCatalog {
            self.catalog.handle_response(match outcome {
                CloudResponse::InstanceTypes(list) => Some(list),
                _ => None,
            });
        } else if let Some(state) = &mut self.leader_state {
            state.provisioner.handle_cloud_response(
                now,
                &self.policy,
                &self.config,
                &self.cache,
                tag,
                outcome,
            );
        }
        self.plan_outdated = true;
    }
}
