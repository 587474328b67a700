//! One controller: all modules together, as one state machine.
//!
//! The service, and in tests the simulation, gives it events and carries out the effects that it returns. It reads no clock
//! and does no I/O, so that the tests drive whole clusters of it through simulated time. Each event is handled to its end
//! before the next one; nothing here blocks.

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
use crate::operations::Operations;
use crate::policy::Policy;
use crate::store::WatchCache;
use crate::store::rate_limiter::RequestRateLimiter;
use crate::store::records::FORMAT;
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

/// A controller process.
pub struct Controller {
    config: Config,
    policy: Policy,
    features: Features,
    operations: Operations,
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
    /// While this process leads.
    leader_state: Option<LeaderState>,
    /// Something changed that the leader's plan depends on.
    plan_outdated: bool,
    /// The plans made so far.
    plans_made: u64,
    metrics: Metrics,
    last_metrics_summary: Instant,
    reports: ReportSchedule,
    reachability: StateServiceReachability,
    /// Zones of which a controller has sent a heartbeat to this process.
    heard_zones: BTreeSet<Zone>,
    /// The revision of the local copy that `apply_record_changes` has seen last.
    applied_revision: u64,
    /// When the last event was handled.
    last_event: Instant,
}

impl Controller {
    /// A controller of this version. `seed`: of the incarnation and of all random choices.
    pub fn new(config: Config, policy: Policy, seed: u64, now: Now) -> Self {
        Controller::with_record_format(FORMAT, config, policy, seed, now)
    }

    /// A controller that tells the others that it knows records up to this format: 0 as the production version, which
    /// does not say.
    pub fn with_record_format(
        format: u32,
        config: Config,
        policy: Policy,
        seed: u64,
        now: Now,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random::<u64>() >> 12);
        let rate_limiter = RequestRateLimiter::new(&config.state_limits, config.controllers(), now);
        Controller {
            leadership: Leadership::new(config.name.clone(), incarnation, format),
            policy,
            features: Features::default(),
            operations: Operations::default(),
            incarnation,
            rng,
            cache: WatchCache::new(&config.state_limits, config.controllers()),
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

    /// With what operators have switched on.
    pub fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// The local copy of the records.
    pub fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// The machines and tasks that were examined so far, the leader's plans apart, and the plans made.
    pub fn work_counts(&self) -> (u64, u64) {
        (self.worker_fleet.items_examined(), self.plans_made)
    }

    /// The metrics of this process.
    pub fn metrics(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    /// The users' requests, and what they need of the rest.
    fn job_api_with_context(&mut self) -> (&mut JobApi, job_api::Context<'_, StoreTag>) {
        let context = job_api::Context {
            config: &self.config,
            catalog: &self.catalog,
            cache: &mut self.cache,
            rate_limiter: &mut self.rate_limiter,
            tag: StoreTag::JobApi,
        };
        (&mut self.job_api, context)
    }
}

#[cfg(test)]
mod tests;
