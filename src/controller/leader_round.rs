//! The leader's round: while this process leads and its authority lasts, it switches record formats, leases blocks, and
//! makes plans.
//!
//! A plan reads all machines and jobs, so the interval between plans depends on the time that they take. The decisions
//! of a round are collected in `RoundOutput` and sent afterwards. Writes are conditioned on the leader record; requests
//! to the cloud carry no condition and are therefore sent with the end of the leader's authority.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Controller, Effect, StoreTag};
use crate::block_leases::BlockLeaseManager;
use crate::cancellation::Cancellations;
use crate::cloud::{CloudRequest, InstanceCatalog};
use crate::config::Config;
use crate::domain::{Attempt, BlockId, Now, Term, Zone, since};
use crate::features::Features;
use crate::leader_context::LeaderContext;
use crate::leadership::LeaderTerm;
use crate::metrics::Metrics;
use crate::peer::AssignmentUpdate;
use crate::policy::Policy;
use crate::provisioning::{self, Demand, Provisioner};
use crate::scheduler::Scheduler;
use crate::scheduler::draining::DrainCoordinator;
use crate::store::rate_limiter::RequestPriority;
use crate::store::{StoreRequest, WatchCache};
use crate::upgrade::Upgrade;

/// The minimum time between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(40);
/// The minimum time between two plans if nothing has changed since the last one.
const UNCHANGED_PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum time between two plans, however long plans take.
const MAX_PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum fraction of the time spent on plans, since a plan delays every response.
const PLAN_TIME_FRACTION: f64 = 0.2;

/// The state of the leader during its term.
pub(super) struct LeaderState {
    pub(super) scheduler: Scheduler,
    pub(super) provisioner: Provisioner,
    /// The demand for machines as of the last plan.
    pub(super) demand: Demand,
    /// When the last summary was logged.
    pub(super) last_summary: Option<Instant>,
    last_plan: Option<Instant>,
    /// The time between two plans, adapted to the duration of the last plans.
    plan_interval: Duration,
}

impl LeaderState {
    /// Creates the empty state at the beginning of a term.
    fn new(now: Now, term: Term, features: &Features) -> Self {
        let scheduler = Scheduler::new(now, term);
        let settings = &features.drain;
        let scheduler = if settings.enabled {
            scheduler.with_draining(DrainCoordinator::new(now, settings.clone()))
        } else {
            scheduler
        };
        LeaderState {
            scheduler,
            provisioner: Provisioner::new(now, term),
            demand: Demand::default(),
            last_summary: None,
            last_plan: None,
            plan_interval: MIN_PLAN_INTERVAL,
        }
    }

    /// Whether a plan is due. `plan_outdated`: something has changed since the last plan.
    fn plan_due(&self, now: Now, plan_outdated: bool) -> bool {
        let interval = if plan_outdated {
            self.plan_interval
        } else {
            self.plan_interval.max(UNCHANGED_PLAN_INTERVAL)
        };
        self.last_plan.is_none_or(|at| since(now, at) >= interval)
    }

    /// Adapts the interval between plans if the event handled at this time made a plan. Nearly all of the event's
    /// duration is then the plan's.
    pub(super) fn record_plan_duration(&mut self, now: Now, duration: Duration) {
        if self.last_plan != Some(now.monotonic) {
            return;
        }
        let interval = duration
            .div_f64(PLAN_TIME_FRACTION)
            .clamp(MIN_PLAN_INTERVAL, MAX_PLAN_INTERVAL);
        self.plan_interval = (self.plan_interval * 3 + interval) / 4;
    }
}

/// Returns the context in which the leader's modules act in this term. For the parameters see [`LeaderContext`].
pub(super) fn leader_context<'a>(
    config: &'a Config,
    policy: &'a Policy,
    catalog: &'a InstanceCatalog,
    leader: LeaderTerm,
    max_changes: usize,
    has_spare_writes: bool,
) -> LeaderContext<'a> {
    LeaderContext {
        config,
        policy,
        catalog,
        term: leader.term,
        record_version: leader.record_version,
        max_changes,
        has_spare_writes,
    }
}

/// A write decided in a round.
struct PendingWrite {
    priority: RequestPriority,
    tag: StoreTag,
    request: StoreRequest,
}

/// The decisions of a round.
#[derive(Default)]
struct RoundOutput {
    writes: Vec<PendingWrite>,
    cloud_requests: Vec<(provisioning::CloudRequestPurpose, CloudRequest)>,
    assignment_updates: Vec<AssignmentUpdate>,
}

impl RoundOutput {
    fn write(&mut self, priority: RequestPriority, tag: StoreTag, request: Option<StoreRequest>) {
        self.writes.extend(request.map(|request| PendingWrite {
            priority,
            tag,
            request,
        }));
    }
}

/// One round: the state that its steps read and change.
pub(super) struct LeaderRound<'a> {
    pub(super) now: Now,
    context: LeaderContext<'a>,
    pub(super) cache: &'a mut WatchCache,
    pub(super) state: &'a mut LeaderState,
    pub(super) metrics: &'a mut Metrics,
    upgrade: &'a mut Upgrade,
    block_lease_manager: &'a mut BlockLeaseManager,
    cancellations: &'a Cancellations,
    /// Zones with a controller that has sent a heartbeat to this process.
    heard_zones: &'a BTreeSet<Zone>,
    output: RoundOutput,
}

impl LeaderRound<'_> {
    /// Switches to a newer record format once every controller supports it.
    fn switch_record_format(&mut self) {
        let request = self.upgrade.poll(self.now, &self.context, self.cache);
        self.output
            .write(RequestPriority::Lease, StoreTag::Upgrade, request);
    }

    /// Leases blocks to controllers. Requires the instance catalogue, which is the only source of the zones.
    fn write_block_leases(&mut self) {
        if !self.context.catalog.is_loaded() {
            return;
        }
        let request = self
            .block_lease_manager
            .poll(self.now, &self.context, self.cache);
        let tag = StoreTag::BlockLeases(self.context.term);
        self.output.write(RequestPriority::Lease, tag, request);
    }

    /// Whether a plan is due and the instance catalogue is loaded.
    fn plan_due(&self, plan_outdated: bool) -> bool {
        self.context.catalog.is_loaded() && self.state.plan_due(self.now, plan_outdated)
    }

    /// Makes a plan and collects the requests, writes and messages that result from it.
    fn plan(&mut self) {
        self.state.last_plan = Some(self.now.monotonic);
        self.log_summary();
        self.observe_machines();
        self.place_tasks();
        self.request_machines();
        self.write_records();
        self.collect_assignment_updates();
    }

    /// Updates the health of holders and machines. Holders that can't reach their machines are suspended.
    fn observe_machines(&mut self) {
        let (now, config) = (self.now, self.context.config);
        let LeaderState {
            scheduler,
            provisioner,
            ..
        } = &mut *self.state;
        let isolated_holders = scheduler.isolated_holders(now, config, self.cache);
        for holder in &isolated_holders {
            self.block_lease_manager.suspend_holder(now, holder);
        }
        let health = scheduler.machine_health(now, self.cache, &isolated_holders);
        let (cache, cancellations) = (&*self.cache, self.cancellations);
        let attempt_resolved = |block: &BlockId, attempt: &Attempt| {
            let is_holder_alive = || {
                let lease = cache.block_leases.get(block);
                lease.is_some_and(|lease| cancellations.is_holder_alive(now, &lease.value))
            };
            scheduler
                .is_proven_ended(block, attempt)
                .unwrap_or_else(is_holder_alive)
        };
        provisioner.observe(
            now,
            &self.context,
            cache,
            &health,
            self.heard_zones,
            attempt_resolved,
        );
        provisioner.update_drained_scopes(cache);
    }

    /// Decides the placement of tasks, and the machines required for tasks without capacity.
    fn place_tasks(&mut self) {
        let LeaderState {
            scheduler,
            provisioner,
            demand,
            ..
        } = &mut *self.state;
        *demand = scheduler.plan(self.now, &self.context, self.cache, provisioner);
    }

    /// Requests and returns machines according to the demand.
    fn request_machines(&mut self) {
        let LeaderState {
            provisioner,
            demand,
            ..
        } = &mut *self.state;
        let requests =
            provisioner.cloud_requests(self.now, self.context.config, self.cache, demand);
        self.output.cloud_requests.extend(requests);
    }

    /// Writes the states of drains, the progress of jobs and the machine inventory.
    fn write_records(&mut self) {
        let (now, term) = (self.now, self.context.term);
        let LeaderState {
            scheduler,
            provisioner,
            demand,
            ..
        } = &mut *self.state;
        if let Some(draining) = scheduler.draining() {
            provisioner.set_desired_states(draining.desired_machine_states());
        }
        let request = scheduler.next_drain_transaction(now, &self.context, self.cache);
        let tag = StoreTag::Draining(term);
        self.output.write(RequestPriority::Placement, tag, request);
        let request = scheduler.next_transaction(now, &self.context, self.cache);
        let tag = StoreTag::Scheduler(term);
        self.output
            .write(RequestPriority::JobCompletion, tag, request);
        let request = provisioner.next_transaction(now, &self.context, self.cache, demand);
        let tag = StoreTag::Provisioning(term);
        self.output.write(RequestPriority::Placement, tag, request);
    }

    /// Collects the assignment updates for holders.
    fn collect_assignment_updates(&mut self) {
        let LeaderState {
            scheduler,
            provisioner,
            ..
        } = &mut *self.state;
        self.output.assignment_updates =
            scheduler.assignment_updates(self.now, self.cache, provisioner.addresses());
    }
}

impl Controller {
    /// Runs a round if this process is the leader and its authority has not expired.
    pub(super) fn run_leader_round(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(leader) = self.leadership.current_term(&self.cache) else {
            if self.leader_state.take().is_some() {
                self.rate_limiter.set_leading(now, false);
            }
            return;
        };
        self.begin_term(now, leader.term);
        let Some(authority_until) = self
            .leadership
            .authority_until()
            .filter(|until| now.monotonic < *until)
        else {
            return;
        };
        let output = self.run_round_steps(now, leader);
        effects.extend(
            output
                .cloud_requests
                .into_iter()
                .map(|(tag, request)| Effect::Cloud {
                    tag,
                    request,
                    authority_until: Some(authority_until),
                }),
        );
        for write in output.writes {
            self.push_store_request(write.priority, write.tag, write.request);
        }
        self.send_assignment_updates(now, output.assignment_updates, effects);
    }

    /// Replaces the leader's state by an empty one if the term is new.
    fn begin_term(&mut self, now: Now, term: Term) {
        let current = self.leader_state.as_ref();
        if current.is_some_and(|state| state.scheduler.term() == term) {
            return;
        }
        self.rate_limiter.set_leading(now, true);
        self.leader_state = Some(LeaderState::new(now, term, &self.features));
        self.reports.request_status();
    }

    /// Runs the steps of a round and returns its decisions.
    fn run_round_steps(&mut self, now: Now, leader: LeaderTerm) -> RoundOutput {
        let max_changes = self
            .rate_limiter
            .max_batch(self.config.state_limits.txn_ops);
        let has_spare_writes = self.rate_limiter.has_spare_writes(now);
        let Some(state) = &mut self.leader_state else {
            return RoundOutput::default();
        };
        let mut round = LeaderRound {
            now,
            context: leader_context(
                &self.config,
                &self.policy,
                &self.catalog,
                leader,
                max_changes,
                has_spare_writes,
            ),
            cache: &mut self.cache,
            state,
            metrics: &mut self.metrics,
            upgrade: &mut self.upgrade,
            block_lease_manager: &mut self.block_lease_manager,
            cancellations: &self.cancellations,
            heard_zones: &self.heard_zones,
            output: RoundOutput::default(),
        };
        round.switch_record_format();
        round.write_block_leases();
        if round.plan_due(self.plan_outdated) {
            round.plan();
            self.plans_made += 1;
            self.plan_outdated = false;
        }
        round.output
    }
}
