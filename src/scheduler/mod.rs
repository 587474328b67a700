//! The leader's queues: one for each team, served in turn by shares. Only the leader releases tasks to the
//! holders of blocks, so only it has to keep the teams' limits.
//!
//! A released task counts as placed until its holder has said that it never will be: see `reconcile`.

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
    Attempt, BlockId, ControllerName, Image, Job, JobId, JobKind, JobOutcome, MachineId, Now,
    Priority, Resources, TaskId, Team, Term, since,
};
use crate::leader_context::LeaderContext;
use crate::peer::{BlockStatus, MachineStatus};
use crate::placement::Candidate;
use crate::provisioning::{Demand, MachineHealth, MachinePool, Provisioner, RunTimes};
use crate::store::records::{JobRecord, LEADER, job_key, progress_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, Writer};
use best_effort::BestEffortPlacement;
use block_state::BlockState;
use capacity_view::CapacityView;
use demand::Present;
use draining::DrainCoordinator;
use failures::Failures;
use releases::ReleaseContext;
use usage::Usage;
use waiting::{PlacementRequirements, minimum_need};

/// A holder's word on its machines is believed this long.
const HOLDER_STATUS_TTL: Duration = Duration::from_secs(5);
/// What one attempt takes of its block's value, at the most.
const ATTEMPT_BYTES: usize = 64;

#[derive(Debug, Clone)]
struct ObservedAttempt {
    task: TaskId,
    machine: MachineId,
    first_seen: Instant,
    /// The last look in which it was there.
    look: u64,
}

#[derive(Debug)]
pub struct Scheduler {
    term: Term,
    next_attempt: u64,
    next_message: u64,
    block_states: BTreeMap<BlockId, BlockState>,
    writer: Writer,
    /// Where each attempt was when last looked, to notice those that vanish without being done.
    observed_attempts: HashMap<u64, ObservedAttempt>,
    looks: u64,
    failures: Failures,
    run_times: BTreeMap<MachinePool, RunTimes>,
    measured: Instant,
    /// Machines heard by another controller than their holder, and when.
    misrouted: HashMap<MachineId, Instant>,
    /// What operators want emptied. None: draining is switched off.
    draining: Option<DrainCoordinator>,
    pub pending_tasks: BTreeMap<Team, u64>,
}

/// What was found not to go while planning, so that it is not tried for each of a thousand jobs alike.
#[derive(Debug, Default)]
struct InfeasiblePlacements {
    without_capacity: HashSet<PlacementRequirements>,
    preemption_failed: HashSet<(PlacementRequirements, Team, Priority)>,
    /// Gangs, by their tasks' shape and image and their number of tasks.
    gangs_without_capacity: HashSet<(PlacementRequirements, Image, u32)>,
}

/// What is left to be given away, while a plan is made.
struct Plan {
    candidates: Vec<Candidate>,
    /// How many more tasks each block holds.
    block_slots: BTreeMap<BlockId, usize>,
    usage: Usage,
    /// What each team will use once the tasks that are being stopped are gone.
    usage_after_stops: Usage,
    demand: Demand,
    infeasible: InfeasiblePlacements,
    /// A gang has the room kept that there is for it.
    gang_capacity_reserved: bool,
}

impl Plan {
    /// Takes what a released task needs of a machine.
    fn allocate(&mut self, index: usize, block: &BlockId, job: &Job) {
        let chosen = &mut self.candidates[index];
        chosen.free.take(&job.need);
        if let Some(space) = self.block_slots.get_mut(block) {
            *space = space.saturating_sub(1);
        }
        self.count_release(index, job);
    }

    fn index_of(&self, machine: &MachineId) -> Option<usize> {
        self.candidates.iter().position(|c| c.machine == *machine)
    }

    /// Counts a task that is released to a machine.
    fn count_release(&mut self, index: usize, job: &Job) {
        let chosen = &self.candidates[index];
        self.usage.add(job);
        self.usage_after_stops.add(job);
        let each = f64::from(chosen.size.count_of(&job.need).max(1));
        let pool = MachinePool::new(chosen.type_name.clone(), chosen.capacity_type);
        self.demand.add(pool, 1.0 / each);
        self.demand.occupied.insert(chosen.machine.clone());
    }
}

impl Scheduler {
    pub fn new(now: Now, term: Term) -> Self {
        Scheduler {
            term,
            // Attempts of different leaders never meet: each has a range of its own.
            next_attempt: term.0 << 20,
            next_message: 0,
            block_states: BTreeMap::new(),
            writer: Writer::Unconfirmed {
                since: now.monotonic,
            },
            observed_attempts: HashMap::new(),
            looks: 0,
            failures: Failures::default(),
            run_times: BTreeMap::new(),
            measured: now.monotonic,
            misrouted: HashMap::new(),
            draining: None,
            pending_tasks: BTreeMap::new(),
        }
    }

    /// A holder's word on one of its blocks.
    pub fn observe_block_status(&mut self, now: Now, mut status: BlockStatus) {
        let Some(block_state) = self.block_states.get_mut(&status.block) else {
            return;
        };
        // A message that comes late holds nothing that the later ones did not say too, or correct.
        if block_state.lease_version != status.lease_version
            || status.sequence_number <= block_state.heard
        {
            return;
        }
        block_state.heard = status.sequence_number;
        block_state.ack_due |= !status.machines.is_empty();
        for machine in status.machines.drain(..) {
            self.failures
                .observe(now, &machine, block_state.machines.get(&machine.machine));
            block_state
                .machines
                .insert(machine.machine.clone(), machine);
        }
        block_state.status = Some((status, now.monotonic));
    }

    /// Whether a placed attempt's holder has proven it gone. None: it has not spoken under its present block lease.
    pub fn is_proven_ended(&self, block: &BlockId, attempt: &Attempt) -> Option<bool> {
        let (status, _) = self.block_states.get(block)?.status.as_ref()?;
        Some(status.proven_ended.contains(&attempt.number))
    }

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

    /// `isolated_holders`: holders whose word on their machines' silence says more about themselves.
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
                    faulty: self.failures.is_faulty(machine, cache),
                    usable: machine.usable,
                    holder_isolated: !isolated_holders.is_empty()
                        && holder(&machine.machine)
                            .is_some_and(|holder| isolated_holders.contains(holder)),
                };
                (machine.machine.clone(), health)
            })
            .collect()
    }

    /// Blocks under block leases of this term, and what became of the releases to them.
    fn reconcile(&mut self, now: Now, cache: &WatchCache) {
        let term = self.term;
        self.block_states
            .retain(|block, _| cache.block_leases.contains_key(block));
        for (block, lease) in &cache.block_leases {
            if lease.value.term != term {
                // Its holder may still place what an earlier leader wanted.
                self.block_states.remove(block);
                continue;
            }
            let known = self
                .block_states
                .get(block)
                .is_some_and(|block_state| block_state.lease_version == lease.version);
            if !known {
                // Under a new block lease nothing that was released under the old one can be placed any more.
                let block_state = BlockState {
                    lease_version: lease.version,
                    releases: BTreeMap::new(),
                    stop_requests: BTreeMap::new(),
                    watched_attempts: Vec::new(),
                    status: None,
                    machines: BTreeMap::new(),
                    heard: 0,
                    ack_due: false,
                    sent: None,
                    last_message: 0,
                    update_pending: false,
                    addressed: HashSet::new(),
                };
                self.block_states.insert(block.clone(), block_state);
            }
        }
        self.looks += 1;
        let look = self.looks;
        let passed = since(now, self.measured);
        self.measured = now.monotonic;
        for live in cache.live_placements() {
            let mut count = 0;
            for attempt in live.attempts() {
                count += 1;
                let seen = self
                    .observed_attempts
                    .entry(attempt.number)
                    .or_insert_with(|| ObservedAttempt {
                        task: attempt.task,
                        machine: live.id.clone(),
                        first_seen: now.monotonic,
                        look,
                    });
                seen.look = look;
            }
            let pool = MachinePool::new(live.machine.type_name.clone(), live.machine.capacity_type);
            self.run_times.entry(pool).or_default().total += passed * count;
        }
        let mut gone = Vec::new();
        self.observed_attempts.retain(|number, seen| {
            if seen.look != look {
                gone.push((*number, seen.clone()));
            }
            seen.look == look
        });
        self.note_ends(now, cache, gone);
        let live = &self.observed_attempts;
        for (block, block_state) in &mut self.block_states {
            block_state
                .machines
                .retain(|machine, _| cache.machines.contains_key(machine));
            block_state
                .addressed
                .retain(|machine| cache.machines.contains_key(machine));
            let placements = cache.placements_known_to(block);
            let status = block_state.status.as_ref().map(|(status, _)| status);
            block_state.releases.retain(|number, release| {
                if live.contains_key(number) {
                    return false;
                }
                // Its holder has heard of it, does not hold it any more, and our copy shows all it recorded.
                let settled = status.is_some_and(|status| {
                    status.last_assignment_update >= release.message
                        && placements >= status.placements_revision
                        && !status.pending.contains(number)
                });
                !settled
            });
            block_state
                .stop_requests
                .retain(|attempt, _| live.contains_key(&attempt.number));
            for release in block_state.releases.values_mut() {
                let alive = cache
                    .open
                    .get(&release.attempt.task.job)
                    .is_some_and(|open| !open.cancelled);
                let refused = status
                    .is_some_and(|status| status.unplaceable.contains(&release.attempt.number));
                let stuck = release.is_stuck(now, &block_state.stop_requests, refused);
                if !release.withdrawn && (!alive || stuck) {
                    release.withdraw();
                    block_state.update_pending = true;
                }
            }
        }
    }

    /// Counts tasks that have ended.
    fn note_ends(&mut self, now: Now, cache: &WatchCache, gone: Vec<(u64, ObservedAttempt)>) {
        for (number, ObservedAttempt { task, machine, .. }) in gone {
            let open = cache.open.get(&task.job).filter(|open| !open.cancelled);
            let done = open.is_some_and(|open| open.done.contains(task.index));
            if done {
                self.failures.succeeded(task.job);
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
        self.failures.retain_open(cache);
    }

    fn candidates(
        &self,
        now: Now,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        provisioner: &Provisioner,
    ) -> Vec<Candidate> {
        let mut taken: HashMap<&MachineId, Resources> = HashMap::new();
        let statuses = self
            .block_states
            .values()
            .filter_map(|block_state| block_state.status.as_ref());
        let ended: HashSet<u64> = statuses
            .flat_map(|(status, _)| status.proven_ended.iter().copied())
            .collect();
        for live in cache.live_placements() {
            let taken = taken.entry(live.id).or_default();
            // Their holder removes them in the write that places what takes their room.
            let there = live
                .attempts()
                .filter(|attempt| !ended.contains(&attempt.number));
            for open in there.filter_map(|attempt| cache.open.get(&attempt.task.job)) {
                taken.add(&open.job.need);
            }
        }
        for release in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
        {
            if let Some(open) = cache.open.get(&release.attempt.task.job) {
                taken
                    .entry(&release.machine)
                    .or_default()
                    .add(&open.job.need);
            }
        }
        let mut candidates = Vec::new();
        for status in self
            .recent_machine_statuses(now)
            .filter(|status| status.usable && !self.failures.is_faulty(status, cache))
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
            let taken = taken.get(&status.machine).copied().unwrap_or_default();
            let images = status.images.clone();
            candidates.push(Candidate::new(
                &status.machine,
                machine,
                instance_type,
                &taken,
                images,
            ));
        }
        candidates
    }

    /// How many more tasks each block's value holds: what does not fit it can't be placed there.
    fn block_slots(&self, config: &Config, cache: &WatchCache) -> BTreeMap<BlockId, usize> {
        let space = |(block, block_state): (&BlockId, &BlockState)| {
            let placements = cache.placements.get(block);
            let size = placements.map_or(0, |placements| placements.value.worst_case_size());
            let space = config.block_bytes.saturating_sub(size) / ATTEMPT_BYTES;
            (
                block.clone(),
                space.saturating_sub(block_state.releases.len()),
            )
        };
        self.block_states.iter().map(space).collect()
    }

    /// What each team will use once the tasks that are being stopped are gone.
    fn usage_after_stops(&self, usage: &Usage, cache: &WatchCache) -> Usage {
        let mut kept = usage.clone();
        let stops = self
            .block_states
            .values()
            .flat_map(|block_state| block_state.stop_requests.keys());
        for open in stops.filter_map(|attempt| cache.open.get(&attempt.task.job)) {
            kept.remove(&open.job);
        }
        kept
    }

    /// Releases what may run and has room. Returns the demand that provisioning has to meet.
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
        let Present {
            usage,
            guaranteed,
            demand,
        } = self.present(&capacity, cache);
        let candidates = self.candidates(now, cache, catalog, provisioner);
        let best_effort = BestEffortPlacement::new(
            leader,
            provisioner,
            &self.run_times,
            &guaranteed,
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
        // Releases only where all that is placed is known: every block under a block lease of this term.
        let complete = !cache.block_leases.is_empty()
            && cache
                .block_leases
                .values()
                .all(|lease| lease.value.term == self.term);
        if complete {
            self.plan_drains(&capacity, cache, &mut plan);
        }
        let mut queue = self.waiting_jobs(now, cache);
        self.count_waiting(&queue);
        plan.demand.smallest_task = minimum_need(&queue);
        if complete {
            let mut releases = ReleaseContext::new(now, leader, cache, best_effort);
            self.release_waiting_tasks(&mut releases, &mut queue, &mut plan);
        }
        demand::count_waiting(&capacity, &queue, &mut plan.usage, &mut plan.demand);
        plan.demand
    }

    /// Counts the tasks that wait, by team.
    fn count_waiting(&mut self, queue: &[waiting::WaitingJob<'_>]) {
        self.pending_tasks.clear();
        for waiting in queue {
            let team = waiting.open.job.team.clone();
            *self.pending_tasks.entry(team).or_default() += waiting.pending_tasks;
        }
    }

    /// The next write: jobs that are over, and progress to be compacted.
    pub fn next_transaction(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        let (config, leader_version, most) =
            (leader.config, leader.record_version, leader.max_changes);
        if !self.writer.ready(now, cache) {
            return None;
        }
        let mut txn = Transaction::default().when(LEADER, leader_version);
        for (id, open) in &cache.open {
            if txn.changes.len() >= most {
                break;
            }
            let tasks = open.job.tasks;
            let end = if open.cancelled {
                let clear = cache.placed(*id).is_empty() && !self.released(*id);
                clear.then_some(JobOutcome::Cancelled)
            } else {
                // The tasks of a gang complete together: if one is done, all are.
                let enough = if open.job.kind == JobKind::Gang {
                    1
                } else {
                    u64::from(tasks)
                };
                (open.done.len() >= enough).then_some(JobOutcome::Done)
            };
            let Some(end) = end else { continue };
            debug!(job = %id, ?end, tasks, "job over");
            txn = txn
                .when(job_key(*id), open.version)
                .put(job_key(*id), &JobRecord::Ended(end, tasks));
        }
        for ((job, chunk), progress) in &cache.progress {
            if txn.changes.len() >= most {
                break;
            }
            if cache.ended.contains_key(job) {
                txn = txn
                    .when(progress_key(*job, *chunk), progress.version)
                    .delete(progress_key(*job, *chunk));
            }
        }
        if txn.changes.is_empty() {
            txn = completion_compaction::compact(config, cache, txn, most);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.writer.sent();
        Some(StoreRequest::Commit(txn))
    }

    fn released(&self, job: JobId) -> bool {
        self.block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
            .any(|release| release.attempt.task.job == job)
    }

    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.answered(now, outcome);
    }

    pub fn term(&self) -> Term {
        self.term
    }
}

#[cfg(test)]
mod tests;
