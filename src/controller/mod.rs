//! One controller: all slices together, as one state machine. Events come in, effects go out; it reads no clock
//! and does no I/O, so the tests drive whole services of it through simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dappleshore_drain::operator;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tracing::{info, warn};

use crate::block_leases::BlockLeaseManager;
use crate::cancellation::Cancellations;
use crate::cloud::{CloudRequest, CloudResponse, InstanceCatalog};
use crate::config::Config;
use crate::domain::{
    Attempt, BlockId, ControllerName, Incarnation, MachineId, Now, Term, Zone, since,
};
use crate::features::Features;
use crate::job_api::{self, JobApi, RequestId, Response};
use crate::leader_context::LeaderContext;
use crate::leadership::{self, LeaderTerm, Leadership};
use crate::metrics::Metrics;
use crate::operations::{self, Operations};
use crate::peer::{AssignmentUpdate, CancelledJob, ControllerHeartbeat, Message, Status};
use crate::policy::Policy;
use crate::provisioning::{self, Demand, Provisioner};
use crate::scheduler::Scheduler;
use crate::scheduler::draining::Draining;
use crate::store::rate_limiter::{RequestRateLimiter, WritePriority};
use crate::store::records::FORMAT;
use crate::store::{StoreRequest, StoreResponse, WatchCache, cache};
use crate::upgrade::Upgrade;
use crate::workers::wire::{Heartbeat, WorkerCommands};
use crate::workers::{
    CommandOutcome, DirectCommand, HeartbeatResponse, WorkerFleet, WriteAllowance,
};

/// Which slice a request to the state service belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
    WatchCache(cache::Tag),
    Leadership(leadership::Tag),
    JobApi(RequestId),
    BlockLeases(Term),
    Upgrade,
    Provisioning(Term),
    Scheduler(Term),
    Draining(Term),
    Operations,
    Block { block: BlockId, lease_version: u64 },
}

#[derive(Debug)]
pub enum Event {
    Tick,
    Submit {
        id: RequestId,
        body: Vec<u8>,
    },
    Poll {
        id: RequestId,
        job: String,
    },
    Cancel {
        id: RequestId,
        job: String,
    },
    Health {
        id: RequestId,
    },
    /// An operator asks.
    Operate {
        id: RequestId,
        request: operator::Request,
    },
    Heartbeat {
        id: RequestId,
        heartbeat: Heartbeat,
    },
    Store {
        tag: StoreTag,
        sent: Instant,
        outcome: StoreResponse,
    },
    Commanded {
        block: BlockId,
        machine: MachineId,
        body: WorkerCommands,
        outcome: CommandOutcome,
    },
    CloudResponse {
        tag: provisioning::CloudRequestPurpose,
        outcome: CloudResponse,
    },
    Peer(Message),
}

#[derive(Debug)]
pub enum Effect {
    Store {
        tag: StoreTag,
        op: StoreRequest,
    },
    /// `until`, here and below: our authority ends then. Whoever sends this looks at the clock once more before. None:
    /// it needs no authority.
    Command {
        command: DirectCommand,
        until: Option<Instant>,
    },
    Cloud {
        tag: provisioning::CloudRequestPurpose,
        call: CloudRequest,
        until: Option<Instant>,
    },
    Peer {
        to: ControllerName,
        message: Message,
    },
    RespondToUser {
        id: RequestId,
        response: Response,
    },
    RespondToWorker {
        id: RequestId,
        answer: HeartbeatResponse,
        until: Instant,
    },
    RespondToHealthCheck {
        id: RequestId,
        healthy: bool,
    },
    RespondToOperator {
        id: RequestId,
        reply: operator::Reply,
    },
    /// The records are in a format newer than this program knows: it must not go on.
    Unsupported {
        format: u32,
    },
}

struct LeaderState {
    scheduler: Scheduler,
    provisioner: Provisioner,
    demand: Demand,
    planned: Option<Instant>,
    /// How long to wait for the next plan, by what the last ones took.
    pause: Duration,
    summary: Option<Instant>,
}

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
    /// The format that this process has taken up.
    format: u32,
    cancellations: Cancellations,
    catalog: InstanceCatalog,
    worker_fleet: WorkerFleet,
    job_api: JobApi,
    leader_state: Option<LeaderState>,
    /// Something changed that the leader's plan depends on.
    stale_plan: bool,
    metrics: Metrics,
    reported: Instant,
    told: Option<Instant>,
    told_all: Option<Instant>,
    /// When each of the others last said that it reaches the state service.
    peers_reach_state: BTreeMap<ControllerName, Instant>,
    /// Zones of which a controller has spoken to this process.
    heard_zones: BTreeSet<Zone>,
    /// Since when we don't.
    cut_off: Option<Instant>,
    status_due: bool,
    seen_revision: u64,
    plans: u64,
    /// When the last event was handled.
    last_event: Instant,
}

/// Events come with every tick. If none came for this long, the process stood still while its clocks ran on.
const PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// The plan is made anew at most this often, and at least that often when nothing has changed.
const PLAN_SPACING: Duration = Duration::from_millis(40);
const PLAN_AT_LEAST: Duration = Duration::from_millis(500);
/// The part of the time that plans may take: they look at all there is, and must not hold up answers.
const PLAN_PART: f64 = 0.2;
/// ... but however long they take, they are made this often.
const PLAN_SLOWEST: Duration = Duration::from_secs(2);
const SUMMARY_EVERY: Duration = Duration::from_secs(60);
const STATUS_EVERY: Duration = Duration::from_millis(1000);
/// How long only this controller must be without the state service before users are sent elsewhere.
const CUT_OFF_AFTER: Duration = Duration::from_secs(3);
const STATUS_SPACING: Duration = Duration::from_millis(100);

impl Controller {
    /// A controller of this version.
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
            stale_plan: true,
            metrics: Metrics::new(),
            reported: now.monotonic,
            told: None,
            told_all: None,
            peers_reach_state: BTreeMap::new(),
            heard_zones: BTreeSet::new(),
            cut_off: None,
            status_due: true,
            seen_revision: 0,
            plans: 0,
            last_event: now.monotonic,
        }
    }

    /// With what operators have switched on.
    pub fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    pub fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// How long the last event took to handle, as whoever runs this measured it.
    pub fn record_event_duration(&mut self, now: Now, duration: Duration) {
        self.metrics.record_event_duration(duration);
        // The event in which a plan was made: its time is nearly all the plan's.
        if let Some(leader_state) = self
            .leader_state
            .as_mut()
            .filter(|leader_state| leader_state.planned == Some(now.monotonic))
        {
            let pause = duration
                .div_f64(PLAN_PART)
                .clamp(PLAN_SPACING, PLAN_SLOWEST);
            leader_state.pause = (leader_state.pause * 3 + pause) / 4;
        }
    }

    /// Machines and tasks looked at so far, the leader's plans apart, and the plans made.
    pub fn work_counts(&self) -> (u64, u64) {
        (self.worker_fleet.items_examined(), self.plans)
    }

    pub fn metrics(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    fn log_metrics(&mut self, now: Now) {
        if since(now, self.reported) < SUMMARY_EVERY {
            return;
        }
        self.reported = now.monotonic;
        let Metrics {
            accept_ms,
            start_ms,
            step_us,
            refused,
            transactions,
            ..
        } = &self.metrics;
        info!(
            accepted = accept_ms.count(),
            accept_p90_ms = accept_ms.quantile(0.9),
            started = start_ms.count(),
            start_p50_ms = start_ms.quantile(0.5),
            start_p90_ms = start_ms.quantile(0.9),
            step_p99_us = step_us.quantile(0.99),
            step_max_us = step_us.quantile(1.0),
            refused = refused.values().sum::<u64>(),
            ?transactions,
            "metrics"
        );
    }

    /// Until when what we know of the block leases may be acted on: counted from before it was asked for. That others may hold
    /// them by now is what tokens are for; what has an end is how long a cancellation may be unknown to us.
    fn authority_until(&self, now: Now) -> Instant {
        let fresh = self.cache.current_as_of().map(|fresh| {
            self.cancellations
                .all_known_until(now, &self.config)
                .max(Some(fresh))
        });
        fresh.flatten().map_or(now.monotonic, |known| {
            known + self.policy.block_lease_duration
        })
    }

    /// Whether users should come here. Not if only we can't reach the state service; during an outage for all,
    /// staying is better than being taken out, since coming back takes the load balancer its time.
    fn healthy(&self, now: Now) -> bool {
        let alone = self
            .cut_off
            .is_some_and(|at| since(now, at) > CUT_OFF_AFTER)
            && self
                .peers_reach_state
                .values()
                .any(|at| since(now, *at) < CUT_OFF_AFTER);
        self.cache.ready() && self.catalog.known() && !alone
    }

    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let gap = since(now, std::mem::replace(&mut self.last_event, now.monotonic));
        if gap > PROCESS_PAUSE {
            info!(?gap, "process pause detected");
            self.worker_fleet.process_paused(gap);
            self.block_lease_manager.process_paused(gap);
            self.cancellations.process_paused(gap);
        }
        match event {
            Event::Tick => {
                self.worker_fleet.tick(now, &self.config, &self.policy);
                for accepted_ms in self.worker_fleet.take_started() {
                    self.metrics
                        .start_ms
                        .record(now.unix_ms().saturating_sub(accepted_ms));
                }
                self.log_metrics(now);
            }
            Event::Submit { id, body } => {
                let (job_api, mut cx) = self.job_api();
                let response = job_api.submit(now, id, &body, &mut cx);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Poll { id, job } => {
                let (job_api, mut cx) = self.job_api();
                let response = job_api.poll(now, id, &job, &mut cx);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Cancel { id, job } => {
                let (job_api, mut cx) = self.job_api();
                let response = job_api.cancel(now, id, &job, &mut cx);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
            }
            Event::Health { id } => effects.push(Effect::RespondToHealthCheck {
                id,
                healthy: self.healthy(now),
            }),
            Event::Operate { id, request } => {
                let reply = self.operations.ask(now, id, request);
                effects.extend(reply.map(|reply| Effect::RespondToOperator { id, reply }));
            }
            Event::Heartbeat { id, heartbeat } => {
                let until = self.authority_until(now);
                let entitled = now.monotonic < until;
                if !self.cache.machines.contains_key(&heartbeat.machine)
                    && let Some(leader_state) = &mut self.leader_state
                {
                    leader_state
                        .provisioner
                        .observe_unrecorded_machine(now, &heartbeat);
                }
                let answer = self.worker_fleet.handle_heartbeat(
                    now,
                    heartbeat,
                    &self.config,
                    &self.cache,
                    entitled,
                );
                self.status_due = true;
                effects.push(Effect::RespondToWorker { id, answer, until });
            }
            Event::Store { tag, sent, outcome } => {
                self.stored(now, tag, sent, outcome, &mut effects)
            }
            Event::Commanded {
                block,
                machine,
                body,
                outcome,
            } => {
                self.worker_fleet.apply_command_outcome(
                    now,
                    &block,
                    &machine,
                    &body,
                    outcome,
                    &self.cache,
                );
                self.status_due = true;
            }
            Event::CloudResponse { tag, outcome } => self.cloud_responded(now, tag, outcome),
            Event::Peer(message) => self.peer(now, message),
        }
        self.advance(now, &mut effects);
        for effect in &effects {
            if let Effect::RespondToUser {
                response: Response::Problem { status, .. },
                ..
            } = effect
            {
                self.metrics.refused(*status);
            }
        }
        effects
    }

    fn job_api(&mut self) -> (&mut JobApi, job_api::Context<'_, StoreTag>) {
        let cx = job_api::Context {
            config: &self.config,
            catalog: &self.catalog,
            cache: &mut self.cache,
            rate_limiter: &mut self.rate_limiter,
            tag: StoreTag::JobApi,
        };
        (&mut self.job_api, cx)
    }

    fn stored(
        &mut self,
        now: Now,
        tag: StoreTag,
        sent: Instant,
        outcome: StoreResponse,
        effects: &mut Vec<Effect>,
    ) {
        self.rate_limiter.record_response(now, &outcome);
        let slice = match &tag {
            StoreTag::WatchCache(_) | StoreTag::Leadership(_) => None,
            StoreTag::JobApi(_) => Some("job_api"),
            StoreTag::BlockLeases(_) => Some("block_leases"),
            StoreTag::Upgrade => Some("upgrade"),
            StoreTag::Provisioning(_) => Some("provisioning"),
            StoreTag::Scheduler(_) => Some("scheduler"),
            StoreTag::Draining(_) => Some("draining"),
            StoreTag::Operations => Some("operations"),
            StoreTag::Block { .. } => Some("workers"),
        };
        if let Some(slice) = slice {
            self.metrics.transaction(slice, &outcome);
            if outcome == StoreResponse::Invalid {
                warn!(slice, "a transaction is refused as malformed or too large");
            }
        }
        match tag {
            StoreTag::WatchCache(tag) => {
                for (tag, op) in self.cache.handle(now, tag, outcome) {
                    self.ask(WritePriority::Lease, StoreTag::WatchCache(tag), op);
                }
            }
            StoreTag::Leadership(tag) => {
                for (tag, op) in self
                    .leadership
                    .handle(now, sent, tag, &outcome, &self.cache)
                {
                    self.ask(WritePriority::Lease, StoreTag::Leadership(tag), op);
                }
            }
            StoreTag::JobApi(id) => {
                let (job_api, mut cx) = self.job_api();
                let cancelled = job_api.cancelled(id, &outcome);
                let response = job_api.committed(now, id, &outcome, &mut cx);
                effects.extend(response.map(|response| Effect::RespondToUser { id, response }));
                if let Some(cancelled) = cancelled {
                    self.note_cancellations([cancelled]);
                    self.tell_peers(&Message::Cancelled(vec![cancelled]), effects);
                }
            }
            StoreTag::BlockLeases(term) => {
                if self.term() == Some(term) {
                    self.block_lease_manager.answered(now, &outcome);
                }
            }
            StoreTag::Upgrade => self.upgrade.answered(now, &outcome),
            StoreTag::Provisioning(term) => {
                if let Some(leader_state) = self
                    .leader_state
                    .as_mut()
                    .filter(|l| l.provisioner.term() == term)
                {
                    leader_state.provisioner.answered(now, &outcome);
                }
            }
            StoreTag::Scheduler(term) => {
                if let Some(leader_state) = self
                    .leader_state
                    .as_mut()
                    .filter(|l| l.scheduler.term() == term)
                {
                    leader_state.scheduler.answered(now, &outcome);
                }
            }
            StoreTag::Draining(term) => {
                if let Some(leader_state) = self
                    .leader_state
                    .as_mut()
                    .filter(|l| l.scheduler.term() == term)
                {
                    leader_state.scheduler.drains_written(now, &outcome);
                }
            }
            StoreTag::Operations => self.operations.written(now, &outcome),
            StoreTag::Block {
                block,
                lease_version,
            } => {
                self.worker_fleet
                    .apply_write_outcome(now, &block, lease_version, &outcome);
                self.status_due = true;
            }
        }
    }

    fn cloud_responded(
        &mut self,
        now: Now,
        tag: provisioning::CloudRequestPurpose,
        outcome: CloudResponse,
    ) {
        if tag == provisioning::CloudRequestPurpose::TerminateForCancellation {
            self.cancellations.cloud_responded(now, &outcome);
        } else if tag == provisioning::CloudRequestPurpose::RefreshCatalog {
            self.catalog.answered(match outcome {
                CloudResponse::InstanceTypes(list) => Some(list),
                _ => None,
            });
        } else if let Some(leader_state) = &mut self.leader_state {
            leader_state.provisioner.cloud_responded(
                now,
                &self.policy,
                &self.config,
                &self.cache,
                tag,
                outcome,
            );
        }
        self.stale_plan = true;
    }

    fn peer(&mut self, now: Now, message: Message) {
        match message {
            Message::Status(status) => {
                self.block_lease_manager.record_heartbeat(
                    now,
                    &status.controller,
                    status.incarnation,
                );
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.scheduler.note_misrouted(now, status.misrouted);
                }
                for block in status.blocks {
                    let granted = self.cache.block_leases.get(&block.block);
                    let current = granted.is_some_and(|lease| {
                        lease.value.holder == status.controller
                            && lease.value.incarnation == status.incarnation
                            && lease.value.token == block.token
                    });
                    if !current {
                        continue;
                    }
                    if block.token_renewal_required {
                        self.block_lease_manager
                            .require_token_renewal(&block.block, block.token);
                    }
                    if let Some(leader_state) = &mut self.leader_state {
                        leader_state.scheduler.observe_block_status(now, block);
                        self.stale_plan = true;
                    }
                }
            }
            Message::Cancelled(jobs) => {
                // Repeated by all that know of them.
                self.note_cancellations(jobs);
            }
            Message::Heartbeat(mut heartbeat) => {
                heartbeat.complete &= self.note_cancellations(heartbeat.cancelled.iter().copied());
                self.cancellations.record_heartbeat(
                    now,
                    (&self.config.name, self.incarnation),
                    &heartbeat,
                );
                let ControllerHeartbeat {
                    controller,
                    reaches_state,
                    ..
                } = heartbeat;
                let zone = self
                    .config
                    .peers
                    .iter()
                    .find(|peer| peer.name == controller)
                    .map(|peer| peer.zone.clone());
                self.heard_zones.extend(zone);
                if reaches_state {
                    self.peers_reach_state.insert(controller, now.monotonic);
                } else {
                    self.peers_reach_state.remove(&controller);
                }
            }
            Message::AssignmentUpdates(blocks) => {
                for work in blocks {
                    self.worker_fleet.apply_assignments(work);
                }
                self.status_due = true;
            }
        }
    }

    fn term(&self) -> Option<Term> {
        self.leadership
            .current_term(&self.cache)
            .map(|leader| leader.term)
    }

    fn ask(&mut self, urgency: WritePriority, tag: StoreTag, op: StoreRequest) {
        if let Err(tag) = self.rate_limiter.push(urgency, tag, op) {
            // Only slices with one request at a time come here; their lane can't be full.
            warn!(?tag, "no room for a request to the state service");
        }
    }

    /// Whatever follows from the present state.
    fn advance(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.cache.format() > FORMAT {
            let format = self.cache.format();
            effects.push(Effect::Unsupported { format });
            return;
        }
        self.adopt_record_format(now);
        if self.catalog.due(now) {
            effects.push(Effect::Cloud {
                tag: provisioning::CloudRequestPurpose::RefreshCatalog,
                call: CloudRequest::ListInstanceTypes,
                until: None,
            });
        }
        if self.cache.revision != self.seen_revision || self.cache.has_changed() {
            self.seen_revision = self.cache.revision;
            self.stale_plan = true;
            if self.cache.ready() {
                let changed = self.cache.take_changed();
                self.cancellations.sync(&self.cache, &changed);
                self.worker_fleet
                    .sync(now, &self.config, self.incarnation, &self.cache, &changed);
            }
            self.status_due = true;
        }
        for (tag, op) in self.leadership.poll(now, &self.cache, &mut self.rng) {
            self.ask(WritePriority::Lease, StoreTag::Leadership(tag), op);
        }
        self.lead(now, effects);
        self.operate(now, effects);
        while self
            .rate_limiter
            .can_send_now(now, WritePriority::Placement)
            && let writes = self.writes(now)
            && let Some((block, op)) =
                self.worker_fleet
                    .write(now, &self.config, writes, &mut self.cache, &self.catalog)
        {
            let lease_version = self.worker_fleet.lease_version(&block);
            self.ask(
                WritePriority::Placement,
                StoreTag::Block {
                    block,
                    lease_version,
                },
                op,
            );
            let ready = self.rate_limiter.take_ready(now);
            effects.extend(ready.into_iter().map(|(tag, op)| Effect::Store { tag, op }));
        }
        let until = self.authority_until(now);
        let entitled = now.monotonic < until;
        let commands = self
            .worker_fleet
            .commands(now, &self.config, &self.cache, entitled);
        let until = entitled.then_some(until);
        effects.extend(
            commands
                .into_iter()
                .map(|command| Effect::Command { command, until }),
        );
        let proven = |block: &BlockId, machine: &MachineId, attempt: &Attempt| {
            self.worker_fleet.proven_gone(block, machine, attempt)
        };
        let call =
            self.cancellations
                .poll(now, &self.config, self.incarnation, &self.cache, proven);
        effects.extend(call.map(|(tag, call)| Effect::Cloud {
            tag,
            call,
            until: None,
        }));
        self.tell_all(now, effects);
        self.tell_leader(now, effects);
        let (job_api, mut cx) = self.job_api();
        for (id, response) in job_api.advance(now, &mut cx) {
            effects.push(Effect::RespondToUser { id, response });
        }
        for (tag, op) in self.cache.poll(now) {
            self.ask(WritePriority::Lease, StoreTag::WatchCache(tag), op);
        }
        for (tag, op) in self.rate_limiter.take_ready(now) {
            effects.push(Effect::Store { tag, op });
        }
    }

    fn writes(&mut self, now: Now) -> WriteAllowance {
        WriteAllowance {
            max_changes: self
                .rate_limiter
                .max_deferrable_batch(self.config.state_limits.txn_ops),
            ample: self.rate_limiter.has_spare_writes(now),
        }
    }

    /// From the switch on, the limits to come count as well as the present ones.
    fn adopt_record_format(&mut self, now: Now) {
        if self.cache.format() == self.format {
            return;
        }
        self.format = self.cache.format();
        self.config.adopt_next_limits();
        let limits = self.config.state_limits;
        self.rate_limiter
            .set_limits(now, &limits, self.leader_state.is_some());
        info!(format = self.format, ?limits, "new format of records");
    }

    fn lead(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(LeaderTerm {
            term,
            record_version: version,
        }) = self.leadership.current_term(&self.cache)
        else {
            if self.leader_state.take().is_some() {
                self.rate_limiter.set_leading(now, false);
            }
            return;
        };
        if self
            .leader_state
            .as_ref()
            .is_none_or(|leader_state| leader_state.scheduler.term() != term)
        {
            self.rate_limiter.set_leading(now, true);
            let scheduler = Scheduler::new(now, term);
            let settings = &self.features.drain;
            let scheduler = if settings.enabled {
                scheduler.with_draining(Draining::new(now, settings.clone()))
            } else {
                scheduler
            };
            self.leader_state = Some(LeaderState {
                scheduler,
                provisioner: Provisioner::new(now, term),
                demand: Demand::default(),
                planned: None,
                pause: PLAN_SPACING,
                summary: None,
            });
            self.status_due = true;
        }
        let Some(until) = self
            .leadership
            .authority_until()
            .filter(|until| now.monotonic < *until)
        else {
            return;
        };
        let batch = self
            .rate_limiter
            .max_batch(self.config.state_limits.txn_ops);
        let spare = self.rate_limiter.has_spare_writes(now);
        let lead = LeaderContext {
            config: &self.config,
            policy: &self.policy,
            catalog: &self.catalog,
            term,
            version,
            batch,
            spare,
        };
        let mut ops = Vec::new();
        let op = self.upgrade.poll(now, &lead, &mut self.cache);
        ops.extend(op.map(|op| (WritePriority::Lease, StoreTag::Upgrade, op)));
        if self.catalog.known() {
            let op = self.block_lease_manager.poll(now, &lead, &mut self.cache);
            ops.extend(op.map(|op| (WritePriority::Lease, StoreTag::BlockLeases(term), op)));
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let rested = |pause| {
            leader_state
                .planned
                .is_none_or(|at| since(now, at) >= pause)
        };
        let pause = if self.stale_plan {
            leader_state.pause
        } else {
            leader_state.pause.max(PLAN_AT_LEAST)
        };
        if !self.catalog.known() || !rested(pause) {
            for (urgency, tag, op) in ops {
                self.ask(urgency, tag, op);
            }
            return;
        }
        leader_state.planned = Some(now.monotonic);
        self.plans += 1;
        if leader_state
            .summary
            .is_none_or(|at| since(now, at) >= SUMMARY_EVERY)
        {
            leader_state.summary = Some(now.monotonic);
            let gauges = &mut self.metrics.gauges;
            gauges.clear();
            leader_state
                .provisioner
                .summary(&self.cache, &leader_state.demand, gauges);
            if let Some(draining) = leader_state.scheduler.draining() {
                draining.summary(&self.cache, gauges);
            }
            for (team, count) in &leader_state.scheduler.pending_tasks {
                gauges.insert(format!("waiting{{team=\"{team}\"}}"), *count as f64);
            }
            gauges.insert("jobs_open".to_owned(), self.cache.open.len() as f64);
            gauges.insert("jobs_ended".to_owned(), self.cache.ended.len() as f64);
            let waiting: u64 = leader_state.scheduler.pending_tasks.values().sum();
            info!(
                open = self.cache.open.len(),
                ended = self.cache.ended.len(),
                waiting,
                "jobs"
            );
        }
        self.stale_plan = false;
        let isolated_holders =
            leader_state
                .scheduler
                .isolated_holders(now, &self.config, &self.cache);
        for holder in &isolated_holders {
            self.block_lease_manager.suspend_holder(now, holder);
        }
        let health = leader_state
            .scheduler
            .machine_health(now, &self.cache, &isolated_holders);
        let settled = |block: &BlockId, attempt: &Attempt| {
            let heard = || {
                let lease = self.cache.block_leases.get(block);
                lease.is_some_and(|lease| self.cancellations.holder_is_alive(now, &lease.value))
            };
            leader_state
                .scheduler
                .proven_gone(block, attempt)
                .unwrap_or_else(heard)
        };
        leader_state.provisioner.observe(
            now,
            &lead,
            &self.cache,
            &health,
            &self.heard_zones,
            settled,
        );
        leader_state.provisioner.observe_drains(&self.cache);
        leader_state.demand =
            leader_state
                .scheduler
                .plan(now, &lead, &self.cache, &leader_state.provisioner);
        for (tag, call) in leader_state.provisioner.cloud_requests(
            now,
            &self.config,
            &self.cache,
            &leader_state.demand,
        ) {
            effects.push(Effect::Cloud {
                tag,
                call,
                until: Some(until),
            });
        }
        if let Some(draining) = leader_state.scheduler.draining() {
            leader_state
                .provisioner
                .set_desired_states(draining.machine_states());
        }
        let op = leader_state
            .scheduler
            .write_drains(now, &lead, &mut self.cache);
        ops.extend(op.map(|op| (WritePriority::Placement, StoreTag::Draining(term), op)));
        let op = leader_state.scheduler.write(now, &lead, &mut self.cache);
        ops.extend(op.map(|op| (WritePriority::JobCompletion, StoreTag::Scheduler(term), op)));
        let op = leader_state
            .provisioner
            .write(now, &lead, &mut self.cache, &leader_state.demand);
        ops.extend(op.map(|op| (WritePriority::Placement, StoreTag::Provisioning(term), op)));
        let messages = leader_state.scheduler.assignment_updates(
            now,
            &self.cache,
            leader_state.provisioner.addresses(),
        );
        for (urgency, tag, op) in ops {
            self.ask(urgency, tag, op);
        }
        let mut by_holder: BTreeMap<ControllerName, Vec<AssignmentUpdate>> = BTreeMap::new();
        for work in messages {
            if let Some(lease) = self.cache.block_leases.get(&work.block) {
                by_holder
                    .entry(lease.value.holder.clone())
                    .or_default()
                    .push(work);
            }
        }
        for (holder, blocks) in by_holder {
            if holder == self.config.name {
                self.peer(now, Message::AssignmentUpdates(blocks));
            } else {
                effects.push(Effect::Peer {
                    to: holder,
                    message: Message::AssignmentUpdates(blocks),
                });
            }
        }
    }

    /// Answers operators, as far as that can be done now.
    fn operate(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.operations.is_idle() {
            return;
        }
        let certain = self.leadership.authority_until();
        let leads = self
            .leadership
            .current_term(&self.cache)
            .filter(|_| certain.is_some_and(|until| now.monotonic < until));
        let (
            Some(LeaderTerm {
                term,
                record_version: version,
            }),
            Some(leader_state),
        ) = (leads, &self.leader_state)
        else {
            let replies = self.operations.refer(self.leader_elsewhere());
            effects.extend(
                replies
                    .into_iter()
                    .map(|(id, reply)| Effect::RespondToOperator { id, reply }),
            );
            return;
        };
        let lead = LeaderContext {
            config: &self.config,
            policy: &self.policy,
            catalog: &self.catalog,
            term,
            version,
            batch: self
                .rate_limiter
                .max_batch(self.config.state_limits.txn_ops),
            spare: false,
        };
        let cx = operations::Context {
            leader: &lead,
            draining: leader_state.scheduler.draining(),
        };
        let progress = self.operations.poll(now, &cx, &mut self.cache);
        if let Some(op) = progress.op {
            self.ask(WritePriority::User, StoreTag::Operations, op);
        }
        let replies = progress.replies.into_iter();
        effects.extend(replies.map(|(id, reply)| Effect::RespondToOperator { id, reply }));
    }

    /// The controller that leads, if it is another one, and its address.
    fn leader_elsewhere(&self) -> Option<(ControllerName, String)> {
        let leader = &self.cache.leader.as_ref()?.value.controller;
        let mut peers = self.config.peers.iter();
        let peer = peers.find(|peer| peer.name == *leader)?;
        Some((leader.clone(), peer.addr.to_string()))
    }

    fn tell_all(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let reaches_state = self.rate_limiter.available(now);
        self.cut_off = if reaches_state {
            None
        } else {
            self.cut_off.or(Some(now.monotonic))
        };
        if self
            .told_all
            .is_some_and(|told| since(now, told) < STATUS_EVERY)
        {
            return;
        }
        self.told_all = Some(now.monotonic);
        let heartbeat = self.cancellations.next_heartbeat(
            now,
            &self.config.name,
            self.incarnation,
            &self.cache,
            reaches_state,
        );
        self.tell_peers(&Message::Heartbeat(heartbeat), effects);
    }

    fn tell_peers(&self, message: &Message, effects: &mut Vec<Effect>) {
        for peer in &self.config.peers {
            effects.push(Effect::Peer {
                to: peer.name.clone(),
                message: message.clone(),
            });
        }
    }

    /// Whether all of them could be kept in mind.
    fn note_cancellations(&mut self, jobs: impl IntoIterator<Item = CancelledJob>) -> bool {
        let mut noted = true;
        for CancelledJob {
            job,
            version,
            at_ms,
        } in jobs
        {
            noted &= self.cache.note_cancellation(job, version, at_ms);
        }
        noted
    }

    fn tell_leader(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let pause = if self.status_due {
            STATUS_SPACING
        } else {
            STATUS_EVERY
        };
        if self.told.is_some_and(|told| since(now, told) < pause) {
            return;
        }
        let Some(leader) = self
            .cache
            .leader
            .as_ref()
            .map(|leader| leader.value.controller.clone())
        else {
            return;
        };
        self.told = Some(now.monotonic);
        self.status_due = false;
        let status = Status {
            controller: self.config.name.clone(),
            incarnation: self.incarnation,
            blocks: self.worker_fleet.status(now, &self.policy),
            misrouted: self.worker_fleet.misrouted(now, &self.config),
        };
        if leader == self.config.name {
            self.peer(now, Message::Status(status));
        } else {
            let messages = status.in_messages().into_iter();
            effects.extend(messages.map(|status| Effect::Peer {
                to: leader.clone(),
                message: Message::Status(status),
            }));
        }
    }
}

#[cfg(test)]
mod tests;
