//! The controller: a state machine that combines all modules of one process.
//!
//! The service, or the simulation in tests, passes events to it and performs the effects that it returns. It reads no
//! clock and does no I/O, so that tests can run whole clusters of controllers in simulated time. Each event is
//! handled completely before the next one, and nothing here blocks.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::block_leases::BlockLeaseManager;
use crate::cancellation::Cancellations;
use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Incarnation, Now, Zone};
use crate::features::Features;
use crate::job_api::{self, JobApi};
use crate::leadership::Leadership;
use crate::metrics::Metrics;
use crate::operations::OperatorRequests;
use crate::policy::Policy;
use crate::store::WatchCache;
use crate::store::rate_limiter::RequestRateLimiter;
use crate::store::records::NEWEST_FORMAT;
use crate::upgrade::Upgrade;
use crate::workers::WorkerFleet;

mod dispatcher;
mod events;
mod health;
mod leader_round;
mod metrics_summary;
mod operator_requests;
mod peer_messages;
mod store_responses;
mod workers;

pub use events::{Effect, Event, StoreTag};
use health::StateServiceReachability;
use leader_round::LeaderState;
use peer_messages::ReportSchedule;

/// The state of a controller process.
pub struct Controller {
    config: Config,
    policy: Policy,
    features: Features,
    operations: OperatorRequests,
    incarnation: Incarnation,
    rng: SmallRng,
    cache: WatchCache,
    rate_limiter: RequestRateLimiter<StoreTag>,
    leadership: Leadership,
    block_lease_manager: BlockLeaseManager,
    upgrade: Upgrade,
    /// The record format that this process has adopted.
    format: u32,
    cancellations: Cancellations,
    catalog: InstanceCatalog,
    worker_fleet: WorkerFleet,
    job_api: JobApi,
    /// The state of the leader; None while this process does not lead.
    leader_state: Option<LeaderState>,
    /// Whether a change since the last plan may affect the leader's plan.
    plan_outdated: bool,
    /// The number of plans made since the process started.
    plans_made: u64,
    metrics: Metrics,
    last_metrics_summary: Instant,
    reports: ReportSchedule,
    reachability: StateServiceReachability,
    /// Zones with a controller that has sent a heartbeat to this process.
    heard_zones: BTreeSet<Zone>,
    /// The revision of the cache at the last run of `apply_record_changes`.
    applied_revision: u64,
    /// When the last event was handled.
    last_event: Instant,
}

impl Controller {
    /// Creates a controller of this version. `seed` determines the incarnation and all random choices.
    pub fn new(config: Config, policy: Policy, seed: u64, now: Now) -> Self {
        Controller::with_record_format(NEWEST_FORMAT, config, policy, seed, now)
    }

    /// Creates a controller that registers as supporting record formats up to `format`: 0 for the production version,
    /// which does not register a format.
    pub fn with_record_format(
        format: u32,
        config: Config,
        policy: Policy,
        seed: u64,
        now: Now,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random::<u64>() >> 12);
        let rate_limiter =
            RequestRateLimiter::new(&config.state_limits, config.controller_count(), now);
        Controller {
            leadership: Leadership::new(config.name.clone(), incarnation, format),
            policy,
            features: Features::default(),
            operations: OperatorRequests::default(),
            incarnation,
            rng,
            cache: WatchCache::new(&config.state_limits, config.controller_count()),
            config,
            rate_limiter,
            block_lease_manager: BlockLeaseManager::new(),
            upgrade: Upgrade::new(),
            format: 0,
            cancellations: Cancellations::new(),
            catalog: InstanceCatalog::default(),
            worker_fleet: WorkerFleet::new(),
            job_api: JobApi::new(),
            leader_state: None,
            plan_outdated: true,
            plans_made: 0,
            metrics: Metrics::new(),
            last_metrics_summary: now.monotonic,
            reports: ReportSchedule::new(),
            reachability: StateServiceReachability::default(),
            heard_zones: BTreeSet::new(),
            applied_revision: 0,
            last_event: now.monotonic,
        }
    }

    /// Sets the features that operators have enabled.
    pub fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// The cache of the state service's records.
    pub fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// Returns the number of machines and tasks examined so far, without those in the leader's plans, and the number of
    /// plans made.
    pub fn work_counts(&self) -> (u64, u64) {
        (self.worker_fleet.items_examined(), self.plans_made)
    }

    /// The metrics of this process.
    pub fn metrics(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    /// Returns the job API and the context that its methods need.
    fn job_api_with_context(&mut self) -> (&mut JobApi, job_api::Context<'_, StoreTag>) {
        let context = job_api::Context {
            config: &self.config,
            catalog: &self.catalog,
            cache: &mut self.cache,
            rate_limiter: &mut self.rate_limiter,
            store_tag: StoreTag::JobApi,
        };
        (&mut self.job_api, context)
    }
}

#[cfg(test)]
mod tests;
