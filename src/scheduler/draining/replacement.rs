//! The replacement of evicted tasks: stops their attempts, reserves capacity, and releases replacements once the old
//! attempts are proven ended.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_drain::planner::NoCapacity;
use dappleshore_drain::{EvictionTarget, Ledger};
use tracing::info;

use super::super::capacity_view::CapacityView;
use super::super::waiting::{WaitingJob, allows_task_in_zone};
use super::super::{Plan, Scheduler};
use super::fleet_view::{placed_attempts, shortage_reason, unplaced_waiting_job};
use crate::domain::{Attempt, Job, JobId, MachineId, Now, Resources, TaskId, Team, Zone};
use crate::placement;
use crate::store::WatchCache;
use crate::store::cache::OpenJob;

impl Plan {
    /// Reserves capacity for a task on the best candidate with a free slot in its block. Returns the machine.
    pub(super) fn reserve_capacity(
        &mut self,
        cache: &WatchCache,
        job: &Job,
        tasks_per_zone: &BTreeMap<Zone, u32>,
    ) -> Option<MachineId> {
        let has_block_slot = |machine: &MachineId| {
            let block = cache.machines.get(machine).map(|machine| &machine.block);
            block.is_some_and(|block| self.block_slots.get(block).is_some_and(|slots| *slots > 0))
        };
        let candidates = self
            .candidates
            .iter()
            .filter(|c| has_block_slot(&c.machine));
        let chosen = placement::best_candidate(candidates, job, |zone| {
            allows_task_in_zone(job, tasks_per_zone, zone)
        })?;
        let machine = chosen.machine.clone();
        let index = self.index_of(&machine)?;
        self.reserve_on_candidate(cache, index, &job.need);
        Some(machine)
    }

    /// Takes resources of a candidate, and a slot of its block.
    pub(super) fn reserve_on_candidate(
        &mut self,
        cache: &WatchCache,
        candidate_index: usize,
        need: &Resources,
    ) {
        let candidate = &mut self.candidates[candidate_index];
        candidate.free.subtract(need);
        let block = cache.machines.get(&candidate.machine).map(|m| &m.block);
        if let Some(slots) = block.and_then(|block| self.block_slots.get_mut(block)) {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Returns the machine's candidate index if a task of the job fits it and may run there.
    fn find_candidate_with_capacity(&self, machine: &MachineId, job: &Job) -> Option<usize> {
        let fits = |c: &placement::Candidate| {
            c.machine == *machine && c.free.fits(&job.need) && c.allows(job)
        };
        self.candidates.iter().position(fits)
    }
}

impl Scheduler {
    /// Requests a stop for each placed attempt that is recorded as evicted.
    pub(super) fn stop_evicted_attempts(
        &mut self,
        now: Now,
        cache: &WatchCache,
        ledgers: &BTreeMap<Team, Ledger>,
    ) {
        let targets = ledgers.values().flat_map(|ledger| &ledger.evictions);
        for target in targets.map(|eviction| eviction.target) {
            for ((index, number), placement) in cache.job_placements(target.job()) {
                let attempt = Attempt {
                    task: TaskId {
                        job: target.job(),
                        index: *index,
                    },
                    number: *number,
                };
                let Some(block_state) = self.block_states.get_mut(&placement.block) else {
                    continue;
                };
                if target.includes(&attempt) && !block_state.stop_requests.contains_key(&attempt) {
                    block_state.stop_requests.insert(attempt, now.monotonic);
                    block_state.update_pending = true;
                }
            }
        }
    }

    /// Releases replacements of evicted tasks to the machines reserved for them once the old attempts are proven ended.
    /// Keeps the reservations of the other evicted tasks.
    pub(super) fn replace_evicted_tasks(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        ledgers: &BTreeMap<Team, Ledger>,
    ) {
        let Some(draining) = &mut self.draining else {
            return;
        };
        let outstanding: Vec<EvictionTarget> = draining
            .planner
            .outstanding(ledgers)
            .into_iter()
            .map(|eviction| eviction.target)
            .collect();
        let evicted_tasks: BTreeSet<TaskId> =
            outstanding.iter().flat_map(EvictionTarget::tasks).collect();
        let unconfirmed_evictions = &draining.unconfirmed_evictions;
        draining
            .reservations
            .retain(|task, _| evicted_tasks.contains(task) || unconfirmed_evictions.contains(task));
        draining.without_capacity.clear();
        for target in outstanding {
            let Some(open) = cache
                .open_jobs
                .get(&target.job())
                .filter(|open| !open.cancelled)
            else {
                continue;
            };
            match target {
                EvictionTarget::Task(attempt) => {
                    self.replace_task(capacity, cache, plan, open, attempt);
                }
                EvictionTarget::Gang { job, .. } => {
                    self.replace_gang(capacity, cache, plan, open, job)
                }
            }
        }
        self.reserve_for_unconfirmed_evictions(cache, plan);
        let without_capacity = self.draining.iter().flat_map(|d| &d.without_capacity);
        let unplaced = without_capacity.filter(|(_, reason)| **reason == NoCapacity::NotYet);
        for (task, _) in unplaced {
            add_unplaced_demand(
                capacity,
                cache,
                plan,
                *task,
                &self.other_tasks_per_zone(cache, *task),
            );
        }
    }

    /// Reserves capacity in this plan for the replacements of evictions that are not confirmed yet.
    fn reserve_for_unconfirmed_evictions(&self, cache: &WatchCache, plan: &mut Plan) {
        let Some(draining) = &self.draining else {
            return;
        };
        for task in &draining.unconfirmed_evictions {
            let open = cache.open_jobs.get(&task.job);
            let machine = draining.reservations.get(task);
            if let (Some(open), Some(machine)) = (open, machine)
                && let Some(candidate_index) = plan.find_candidate_with_capacity(machine, &open.job)
            {
                plan.reserve_on_candidate(cache, candidate_index, &open.job.need);
            }
        }
    }

    /// Reserves capacity for an evicted task, and releases its replacement once the evicted attempt has ended.
    fn replace_task(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        open: &OpenJob,
        evicted: Attempt,
    ) {
        let task = evicted.task;
        let other_attempts =
            placed_attempts(cache, task).filter(|(attempt, _)| *attempt != evicted);
        if other_attempts.count() > 0 || self.is_released(task) || open.done.contains(task.index) {
            return;
        }
        let tasks_per_zone = self.other_tasks_per_zone(cache, task);
        let Some(draining) = &mut self.draining else {
            return;
        };
        if draining.unconfirmed_evictions.contains(&task) {
            return;
        }
        let reserved_machine = draining.reservations.get(&task).and_then(|machine| {
            let candidate_index = plan.find_candidate_with_capacity(machine, &open.job)?;
            let zone = plan.candidates[candidate_index].zone.clone();
            allows_task_in_zone(&open.job, &tasks_per_zone, &zone).then(|| machine.clone())
        });
        let machine = match reserved_machine {
            Some(machine) => {
                if let Some(candidate_index) =
                    plan.find_candidate_with_capacity(&machine, &open.job)
                {
                    plan.reserve_on_candidate(cache, candidate_index, &open.job.need);
                }
                Some(machine)
            }
            None => plan.reserve_capacity(cache, &open.job, &tasks_per_zone),
        };
        let Some(machine) = machine else {
            draining.reservations.remove(&task);
            let reason = shortage_reason(capacity, &open.job, &tasks_per_zone);
            draining.without_capacity.insert(task, reason);
            return;
        };
        draining.reservations.insert(task, machine.clone());
        let has_ended = placed_attempts(cache, task).next().is_none();
        let within_limit = plan.usage.within_limit(capacity.leader.config, &open.job);
        if has_ended && within_limit && !self.failures.is_backing_off(capacity.now, task.job) {
            self.release_replacement(capacity.now, cache, plan, open, task, &machine);
        }
    }

    /// Releases a task to the machine on which capacity is reserved for it.
    fn release_replacement(
        &mut self,
        now: Now,
        cache: &WatchCache,
        plan: &mut Plan,
        open: &OpenJob,
        task: TaskId,
        machine: &MachineId,
    ) {
        let block = cache.machines.get(machine).map(|machine| &machine.block);
        let Some(block_state) = block.and_then(|block| self.block_states.get_mut(block)) else {
            return;
        };
        let attempt = Attempt {
            task,
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        info!(%attempt, %machine, "replacement released");
        block_state.release(now, attempt, machine.clone(), Vec::new());
        if let Some(index) = plan.index_of(machine) {
            plan.count_release(index, &open.job);
        }
        if let Some(draining) = &mut self.draining {
            draining.reservations.remove(&task);
        }
    }

    /// Renews the reservations of an evicted gang, and releases all its tasks once no old attempt is placed.
    fn replace_gang(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        open: &OpenJob,
        job: JobId,
    ) {
        let tasks = || (0..open.job.tasks).map(|index| TaskId { job, index });
        let placed: Vec<Attempt> = tasks()
            .flat_map(|task| placed_attempts(cache, task).map(|(attempt, _)| attempt))
            .collect();
        let any_released = tasks().any(|task| self.is_released(task));
        let Some(draining) = &mut self.draining else {
            return;
        };
        let machines: Option<Vec<MachineId>> = tasks()
            .map(|task| draining.reservations.get(&task).cloned())
            .collect();
        let start_numbers: BTreeSet<Option<u64>> = placed.iter().map(Attempt::gang_start).collect();
        if any_released || start_numbers.len() > 1 {
            return;
        }
        // Without a reservation for each task, the gang waits in the queue like any other.
        let Some(machines) = machines else { return };
        let mut reserved_candidates = Vec::new();
        for machine in &machines {
            let Some(candidate_index) = plan.find_candidate_with_capacity(machine, &open.job)
            else {
                break;
            };
            plan.reserve_on_candidate(cache, candidate_index, &open.job.need);
            reserved_candidates.push(candidate_index);
        }
        let all_reserved = reserved_candidates.len() == machines.len();
        if !all_reserved {
            for task in tasks() {
                draining.reservations.remove(&task);
            }
            for candidate_index in reserved_candidates {
                plan.candidates[candidate_index].free.add(&open.job.need);
            }
            return;
        }
        let tasks_within_limit = plan
            .usage
            .tasks_within_limit(capacity.leader.config, &open.job);
        if placed.is_empty() && tasks_within_limit >= u64::from(open.job.tasks) {
            self.release_gang_replacement(capacity.now, cache, plan, open, job, &machines);
        }
    }

    /// Releases all tasks of a gang to their reserved machines, under one new attempt number.
    fn release_gang_replacement(
        &mut self,
        now: Now,
        cache: &WatchCache,
        plan: &mut Plan,
        open: &OpenJob,
        job: JobId,
        machines: &[MachineId],
    ) {
        let start = self.next_attempt;
        self.next_attempt += 1;
        info!(%job, start, "gang replacement released");
        for (index, machine) in (0..).zip(machines) {
            let task = TaskId { job, index };
            let block = cache.machines.get(machine).map(|machine| &machine.block);
            let block_state = block.and_then(|block| self.block_states.get_mut(block));
            if let (Some(attempt), Some(block_state)) = (Attempt::of_gang(task, start), block_state)
            {
                block_state.release(now, attempt, machine.clone(), Vec::new());
            }
            if let Some(index) = plan.index_of(machine) {
                plan.count_release(index, &open.job);
            }
            if let Some(draining) = &mut self.draining {
                draining.reservations.remove(&task);
            }
        }
    }
}

/// Adds a task for which no machine has enough free capacity to the demand, so that the scale-out rule rents a machine.
/// If the task may only run in some zones, the demand is pinned to one of them.
pub(super) fn add_unplaced_demand(
    capacity: &CapacityView<'_>,
    cache: &WatchCache,
    plan: &mut Plan,
    task: TaskId,
    tasks_per_zone: &BTreeMap<Zone, u32>,
) {
    let Some(open) = cache.open_jobs.get(&task.job) else {
        return;
    };
    let waiting_job = WaitingJob {
        tasks_per_zone: tasks_per_zone.clone(),
        ..unplaced_waiting_job(task.job, open)
    };
    let pinned_zone = capacity.pinned_zone(&waiting_job);
    let cheapest_pool =
        capacity.cheapest_pool(&open.job, &plan.demand, pinned_zone.as_ref(), f64::INFINITY);
    let Some((pool, share)) = cheapest_pool else {
        return;
    };
    match pinned_zone {
        Some(zone) => plan.demand.add_pinned(pool, zone, share),
        None => plan.demand.add(pool, share),
    }
}
