//! The leader's scheduler: it decides which waiting tasks are released to which machines, in the order of the teams'
//! fair shares. Only the leader releases tasks to the holders of blocks, so it alone enforces the teams' limits.
//!
//! A released task counts as placed until its holder's status shows that it will not be placed: see
//! `Scheduler::reconcile`.

mod best_effort;
mod block_state;
mod capacity_view;
mod completion_compaction;
mod demand;
pub mod draining;
mod failures;
mod fair_share_order;
mod gangs;
mod holder_health;
mod outdated_leases;
mod preemption;
mod releases;
mod usage;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::debug;

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{
    Attempt, BlockId, ControllerName, Job, JobId, JobKind, JobOutcome, MachineId, Now, Priority,
    Resources, TaskId, Team, Term, since,
};
use crate::leader_context::LeaderContext;
use crate::peer::{BlockStatus, MachineStatus};
use crate::placement::Candidate;
use crate::provisioning::{Demand, MachineHealth, MachinePool, Provisioner, RunTimes};
use crate::store::records::{JobRecord, LEADER_KEY, job_key, progress_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, WriterState};
use best_effort::BestEffortPlacement;
use block_state::BlockState;
use capacity_view::CapacityView;
use demand::CurrentLoad;
use draining::DrainCoordinator;
use failures::Failures;
use gangs::GangRequirements;
use outdated_leases::OutdatedLeases;
use releases::ReleaseContext;
use usage::Usage;
use waiting::{PlacementRequirements, minimum_need};

/// A holder's status of its machines is valid for this long after it was received.
const HOLDER_STATUS_TTL: Duration = Duration::from_secs(5);
/// The most bytes that one attempt takes in its block's value.
const MAX_ATTEMPT_BYTES: usize = 64;

/// An attempt that the placement records have shown.
#[derive(Debug, Clone)]
struct ObservedAttempt {
    task: TaskId,
    machine: MachineId,
    first_seen: Instant,
    /// The last planning round in which the records showed it.
    last_seen_round: u64,
}

/// The leader's scheduler of one term.
#[derive(Debug)]
pub struct Scheduler {
    term: Term,
    /// The number of the next attempt.
    next_attempt: u64,
    /// The sequence number of the last assignment update of this term.
    update_sequence_number: u64,
    /// The state of each block whose lease is of this term.
    block_states: BTreeMap<BlockId, BlockState>,
    outdated_leases: OutdatedLeases,
    writer: WriterState,
    /// The attempts that the records showed in the last round, by number, to detect those that have ended since.
    observed_attempts: HashMap<u64, ObservedAttempt>,
    /// The number of planning rounds.
    rounds: u64,
    failures: Failures,
    run_times: BTreeMap<MachinePool, RunTimes>,
    /// Until when the run times of running tasks have been counted.
    run_times_updated_at: Instant,
    /// Machines that reported to another controller than their holder, with the time of the last such report.
    misrouted: HashMap<MachineId, Instant>,
    /// Coordinates drains. `None` if draining is disabled.
    draining: Option<DrainCoordinator>,
    /// The number of waiting tasks of each team, as of the last plan.
    pub pending_tasks: BTreeMap<Team, u64>,
}

/// Placements that failed earlier in a plan, so that they are not tried again for each of a thousand similar jobs.
#[derive(Debug, Default)]
struct InfeasiblePlacements {
    /// Requirements of tasks that no machine has the resources for.
    without_capacity: HashSet<PlacementRequirements>,
    /// Requirements, team and priority of tasks that no preemption can free resources for.
    preemption_failed: HashSet<(PlacementRequirements, Team, Priority)>,
    /// Requirements of gangs that there is no capacity for.
    gangs_without_capacity: HashSet<GangRequirements>,
}

/// The free resources, usage and demand while a plan is made.
struct Plan {
    candidates: Vec<Candidate>,
    /// How many more tasks each block's value can hold.
    block_slots: BTreeMap<BlockId, usize>,
    usage: Usage,
    /// The usage once all tasks with a stop request have ended.
    usage_after_stops: Usage,
    demand: Demand,
    infeasible: InfeasiblePlacements,
    /// A gang has reserved the capacity that there is for it; at most one does so in a plan.
    gang_capacity_reserved: bool,
}

impl Plan {
    /// Allocates a machine's resources and a slot of its block to a released task.
    fn allocate(&mut self, index: usize, block: &BlockId, job: &Job) {
        let candidate = &mut self.candidates[index];
        candidate.free.subtract(&job.need);
        if let Some(slots) = self.block_slots.get_mut(block) {
            *slots = slots.saturating_sub(1);
        }
        self.count_release(index, job);
    }

    fn index_of(&self, machine: &MachineId) -> Option<usize> {
        self.candidates.iter().position(|c| c.machine == *machine)
    }

    /// Adds a task that is released to a machine to the usage and the demand.
    fn count_release(&mut self, index: usize, job: &Job) {
        let candidate = &self.candidates[index];
        self.usage.add(job);
        self.usage_after_stops.add(job);
        let tasks_per_machine = f64::from(candidate.size.max_tasks(&job.need).max(1));
        let pool = MachinePool::new(candidate.type_name.clone(), candidate.capacity_type);
        self.demand.add(pool, 1.0 / tasks_per_machine);
        self.demand.occupied.insert(candidate.machine.clone());
    }
}

impl Scheduler {
    /// The scheduler of a term that begins now.
    pub fn new(now: Now, term: Term) -> Self {
        Scheduler {
            term,
            // Each term has its own range of attempt numbers, so numbers of different leaders never collide.
            next_attempt: term.0 << 20,
            update_sequence_number: 0,
            block_states: BTreeMap::new(),
            outdated_leases: OutdatedLeases::new(now, term),
            writer: WriterState::Unconfirmed {
                since: now.monotonic,
            },
            observed_attempts: HashMap::new(),
            rounds: 0,
            failures: Failures::default(),
            run_times: BTreeMap::new(),
            run_times_updated_at: now.monotonic,
            misrouted: HashMap::new(),
            draining: None,
            pending_tasks: BTreeMap::new(),
        }
    }

    /// Processes a holder's status of one of its blocks.
    pub fn observe_block_status(&mut self, now: Now, mut status: BlockStatus) {
        let Some(block_state) = self.block_states.get_mut(&status.block) else {
            return;
        };
        // A delayed status is ignored: later ones repeat or supersede its contents.
        if block_state.lease_version != status.lease_version
            || status.sequence_number <= block_state.last_status_sequence_number
        {
            return;
        }
        block_state.last_status_sequence_number = status.sequence_number;
        block_state.status_ack_pending |= !status.machines.is_empty();
        for machine in status.machines.drain(..) {
            self.failures
                .observe(now, &machine, block_state.machines.get(&machine.machine));
            block_state
                .machines
                .insert(machine.machine.clone(), machine);
        }
        block_state.status = Some((status, now.monotonic));
    }

    /// Whether the holder of a placed attempt has proven that it ended. `None` if the holder has sent no status under
    /// its present block lease.
    pub fn is_proven_ended(&self, block: &BlockId, attempt: &Attempt) -> Option<bool> {
        let (status, _) = self.block_states.get(block)?.status.as_ref()?;
        Some(status.proven_ended.contains(&attempt.number))
    }

    /// The machines of all blocks whose last status is still valid.
    fn recent_machine_statuses(&self, now: Now) -> impl Iterator<Item = &MachineStatus> {
        self.block_states
            .values()
            .filter(move |block_state| {
                block_state
                    .status
                    .as_ref()
                    .is_some_and(|(_, at)| since(now, *at) < HOLDER_STATUS_TTL)
            })
            .flat_map(|block_state| block_state.machines.values())
    }

    /// The health of machines, from the holders' statuses.
    ///
    /// `isolated_holders`: holders that are isolated, so that their reports of unresponsive machines are no evidence
    /// against the machines.
    pub fn machine_health(
        &self,
        now: Now,
        cache: &WatchCache,
        isolated_holders: &BTreeSet<ControllerName>,
    ) -> BTreeMap<MachineId, MachineHealth> {
        let holder = |machine: &MachineId| {
            let block = cache.machines.get(machine).map(|machine| &machine.block)?;
            cache
                .block_leases
                .get(block)
                .map(|lease| &lease.value.holder)
        };
        self.recent_machine_statuses(now)
            .map(|machine| {
                let health = MachineHealth {
                    has_reported: machine.has_reported,
                    unresponsive: machine.unresponsive,
                    faulty: self.failures.is_machine_faulty(machine, cache),
                    usable: machine.usable,
                    holder_isolated: !isolated_holders.is_empty()
                        && holder(&machine.machine)
                            .is_some_and(|holder| isolated_holders.contains(holder)),
                };
                (machine.machine.clone(), health)
            })
            .collect()
    }

    /// Updates the block states from the records: adds blocks under block leases of this term and drops the others,
    /// records ended attempts, and removes or withdraws releases.
    fn reconcile(&mut self, now: Now, cache: &WatchCache) {
        let term = self.term;
        self.block_states
            .retain(|block, _| cache.block_leases.contains_key(block));
        for (block, lease) in &cache.block_leases {
            if lease.value.term != term {
                // The holder may still place tasks that an earlier leader released.
                self.block_states.remove(block);
                continue;
            }
            let is_current = self
                .block_states
                .get(block)
                .is_some_and(|block_state| block_state.lease_version == lease.version);
            if !is_current {
                // Tasks that were released under the old block lease can no longer be placed under a new one.
                let block_state = BlockState {
                    lease_version: lease.version,
                    releases: BTreeMap::new(),
                    stop_requests: BTreeMap::new(),
                    watched_attempts: Vec::new(),
                    status: None,
                    machines: BTreeMap::new(),
                    last_status_sequence_number: 0,
                    status_ack_pending: false,
                    last_sent_at: None,
                    last_sent_sequence_number: 0,
                    update_pending: false,
                    addressed_machines: HashSet::new(),
                };
                self.block_states.insert(block.clone(), block_state);
            }
        }
        self.rounds += 1;
        let round = self.rounds;
        let elapsed = since(now, self.run_times_updated_at);
        self.run_times_updated_at = now.monotonic;
        for live in cache.live_placements() {
            let mut count = 0;
            for attempt in live.attempts() {
                count += 1;
                let observed = self
                    .observed_attempts
                    .entry(attempt.number)
                    .or_insert_with(|| ObservedAttempt {
                        task: attempt.task,
                        machine: live.id.clone(),
                        first_seen: now.monotonic,
                        last_seen_round: round,
                    });
                observed.last_seen_round = round;
            }
            let pool = MachinePool::new(live.machine.type_name.clone(), live.machine.capacity_type);
            self.run_times.entry(pool).or_default().total += elapsed * count;
        }
        let mut ended_attempts = Vec::new();
        self.observed_attempts.retain(|number, observed| {
            if observed.last_seen_round != round {
                ended_attempts.push((*number, observed.clone()));
            }
            observed.last_seen_round == round
        });
        self.record_ended_attempts(now, cache, ended_attempts);
        let live_attempts = &self.observed_attempts;
        for (block, block_state) in &mut self.block_states {
            block_state
                .machines
                .retain(|machine, _| cache.machines.contains_key(machine));
            block_state
                .addressed_machines
                .retain(|machine| cache.machines.contains_key(machine));
            let placements_revision = cache.placements_revision(block);
            let status = block_state.status.as_ref().map(|(status, _)| status);
            block_state.releases.retain(|number, release| {
                if live_attempts.contains_key(number) {
                    return false;
                }
                // A release is resolved when its holder has received it, no longer lists it as pending, and the cache
                // covers all placements that the holder has recorded.
                let resolved = status.is_some_and(|status| {
                    status.last_assignment_update >= release.first_sequence_number
                        && placements_revision >= status.placements_revision
                        && !status.pending.contains(number)
                });
                !resolved
            });
            block_state
                .stop_requests
                .retain(|attempt, _| live_attempts.contains_key(&attempt.number));
            for release in block_state.releases.values_mut() {
                let job_open = cache
                    .open_jobs
                    .get(&release.attempt.task.job)
                    .is_some_and(|open| !open.cancelled);
                let unplaceable = status
                    .is_some_and(|status| status.unplaceable.contains(&release.attempt.number));
                let should_withdraw =
                    release.should_withdraw(now, &block_state.stop_requests, unplaceable);
                if !release.withdrawn && (!job_open || should_withdraw) {
                    release.withdraw();
                    block_state.update_pending = true;
                }
            }
        }
    }

    /// Records attempts that the records no longer show: as a success or a loss, and in the run times of their pool.
    fn record_ended_attempts(
        &mut self,
        now: Now,
        cache: &WatchCache,
        ended_attempts: Vec<(u64, ObservedAttempt)>,
    ) {
        for (number, ObservedAttempt { task, machine, .. }) in ended_attempts {
            let open = cache
                .open_jobs
                .get(&task.job)
                .filter(|open| !open.cancelled);
            let done = open.is_some_and(|open| open.done.contains(task.index));
            if done {
                self.failures.record_success(task.job);
            } else if open.is_some() {
                self.record_lost_attempt(now, Attempt { task, number }, &machine);
            }
            if (done || open.is_none())
                && let Some(machine) = cache.machines.get(&machine)
            {
                self.run_times
                    .entry(MachinePool::new(
                        machine.type_name.clone(),
                        machine.capacity_type,
                    ))
                    .or_default()
                    .ended += 1;
            }
        }
        self.failures.retain_open_jobs(cache);
    }

    /// The machines that accept tasks, with their free resources.
    fn candidates(
        &self,
        now: Now,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        provisioner: &Provisioner,
    ) -> Vec<Candidate> {
        let mut allocated: HashMap<&MachineId, Resources> = HashMap::new();
        let statuses = self
            .block_states
            .values()
            .filter_map(|block_state| block_state.status.as_ref());
        let ended: HashSet<u64> = statuses
            .flat_map(|(status, _)| status.proven_ended.iter().copied())
            .collect();
        for live in cache.live_placements() {
            let allocated = allocated.entry(live.id).or_default();
            // Attempts that are proven to have ended use no resources: their holder removes them in the same write that
            // places their successors.
            let unfinished = live
                .attempts()
                .filter(|attempt| !ended.contains(&attempt.number));
            for open in unfinished.filter_map(|attempt| cache.open_jobs.get(&attempt.task.job)) {
                allocated.add(&open.job.need);
            }
        }
        for release in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
        {
            if let Some(open) = cache.open_jobs.get(&release.attempt.task.job) {
                allocated
                    .entry(&release.machine)
                    .or_default()
                    .add(&open.job.need);
            }
        }
        let mut candidates = Vec::new();
        for status in self
            .recent_machine_statuses(now)
            .filter(|status| status.usable && !self.failures.is_machine_faulty(status, cache))
        {
            let Some(machine) = cache.machines.get(&status.machine) else {
                continue;
            };
            let Some(instance_type) = catalog.get(&machine.type_name) else {
                continue;
            };
            if !machine.state.takes_tasks() || provisioner.is_failed(&status.machine) {
                continue;
            }
            let allocated = allocated.get(&status.machine).copied().unwrap_or_default();
            let images = status.images.clone();
            candidates.push(Candidate::new(
                &status.machine,
                machine,
                instance_type,
                &allocated,
                images,
            ));
        }
        candidates
    }

    /// How many more tasks each block's value can hold: no task is placed in a block whose value is full.
    fn block_slots(&self, config: &Config, cache: &WatchCache) -> BTreeMap<BlockId, usize> {
        let count_slots = |(block, block_state): (&BlockId, &BlockState)| {
            let placements = cache.placements.get(block);
            let size = placements.map_or(0, |placements| placements.value.worst_case_size());
            let slots = config.max_block_bytes.saturating_sub(size) / MAX_ATTEMPT_BYTES;
            (
                block.clone(),
                slots.saturating_sub(block_state.releases.len()),
            )
        };
        self.block_states.iter().map(count_slots).collect()
    }

    /// The usage once all tasks with a stop request have ended.
    fn usage_after_stops(&self, usage: &Usage, cache: &WatchCache) -> Usage {
        let mut remaining = usage.clone();
        let stop_requests = self
            .block_states
            .values()
            .flat_map(|block_state| block_state.stop_requests.keys());
        for open in stop_requests.filter_map(|attempt| cache.open_jobs.get(&attempt.task.job)) {
            remaining.remove(&open.job);
        }
        remaining
    }

    /// Releases waiting tasks that may run and for which there is capacity. Returns the demand for machines.
    pub fn plan(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        provisioner: &Provisioner,
    ) -> Demand {
        let LeaderContext {
            config, catalog, ..
        } = *leader;
        self.reconcile(now, cache);
        self.stop_incomplete_gangs(now, cache);
        let capacity = CapacityView {
            now,
            leader,
            provisioner,
            machines: provisioner.capacity_by_pool(cache),
        };
        let CurrentLoad {
            usage,
            guaranteed_demand,
            demand,
        } = self.current_load(&capacity, cache);
        let candidates = self.candidates(now, cache, catalog, provisioner);
        let best_effort = BestEffortPlacement::new(
            leader,
            provisioner,
            &self.run_times,
            &guaranteed_demand,
            &candidates,
        );
        let mut plan = Plan {
            block_slots: self.block_slots(config, cache),
            usage_after_stops: self.usage_after_stops(&usage, cache),
            candidates,
            usage,
            demand,
            infeasible: InfeasiblePlacements::default(),
            gang_capacity_reserved: false,
        };
        // Tasks are released only when all placements are known: every block has a block lease of this term.
        self.outdated_leases.warn_if_overdue(now, cache);
        let all_leases_current =
            !cache.block_leases.is_empty() && self.outdated_lease_count(cache) == 0;
        if all_leases_current {
            self.plan_drains(&capacity, cache, &mut plan);
        }
        let mut queue = self.waiting_jobs(now, cache);
        self.count_pending_tasks(&queue);
        plan.demand.smallest_task = minimum_need(&queue);
        if all_leases_current {
            let mut releases = ReleaseContext::new(now, leader, cache, best_effort);
            self.release_waiting_tasks(&mut releases, &mut queue, &mut plan);
        }
        demand::add_pending_demand(&capacity, &queue, &mut plan.usage, &mut plan.demand);
        plan.demand
    }

    /// The number of block leases of earlier terms. No task is released until this leader has renewed them.
    pub fn outdated_lease_count(&self, cache: &WatchCache) -> usize {
        self.outdated_leases.blocks(cache).count()
    }

    /// Counts the waiting tasks of each team.
    fn count_pending_tasks(&mut self, queue: &[waiting::WaitingJob<'_>]) {
        self.pending_tasks.clear();
        for waiting in queue {
            let team = waiting.open.job.team.clone();
            *self.pending_tasks.entry(team).or_default() += waiting.pending_tasks;
        }
    }

    /// The next transaction: it records ended jobs and deletes their progress or, if there are none, compacts finished
    /// tasks. `None` if there is nothing to write or the outcome of the last transaction is not known.
    pub fn next_transaction(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        let (config, leader_version, max_changes) =
            (leader.config, leader.record_version, leader.max_changes);
        if !self.writer.can_write(now, cache) {
            return None;
        }
        let mut txn = Transaction::default().require_version(LEADER_KEY, leader_version);
        for (id, open) in &cache.open_jobs {
            if txn.changes.len() >= max_changes {
                break;
            }
            let tasks = open.job.tasks;
            let outcome = if open.cancelled {
                let all_stopped = cache.job_placements(*id).is_empty() && !self.has_releases(*id);
                all_stopped.then_some(JobOutcome::Cancelled)
            } else {
                // The tasks of a gang complete together: if one is done, all are.
                let required = if open.job.kind == JobKind::Gang {
                    1
                } else {
                    u64::from(tasks)
                };
                (open.done.len() >= required).then_some(JobOutcome::Done)
            };
            let Some(outcome) = outcome else { continue };
            debug!(job = %id, ?outcome, tasks, "job ended");
            txn = txn
                .require_version(job_key(*id), open.version)
                .put(job_key(*id), &JobRecord::Ended(outcome, tasks));
        }
        for ((job, chunk), progress) in &cache.progress {
            if txn.changes.len() >= max_changes {
                break;
            }
            if cache.ended_jobs.contains_key(job) {
                txn = txn
                    .require_version(progress_key(*job, *chunk), progress.version)
                    .delete(progress_key(*job, *chunk));
            }
        }
        if txn.changes.is_empty() {
            txn = completion_compaction::compact(config, cache, txn, max_changes);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.writer.mark_sent();
        Some(StoreRequest::Commit(txn))
    }

    /// Whether a task of the job is released and not placed yet.
    fn has_releases(&self, job: JobId) -> bool {
        self.block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
            .any(|release| release.attempt.task.job == job)
    }

    /// Handles the state service's response to the last transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.record_response(now, outcome);
    }

    /// The term of this scheduler.
    pub fn term(&self) -> Term {
        self.term
    }
}

#[cfg(test)]
mod tests;
