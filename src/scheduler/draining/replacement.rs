//! What is recorded as evicted: it is stopped, room is kept for it, and it is released once the old attempt is proven gone.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_drain::planner::NoRoom;
use dappleshore_drain::{Ledger, Subject};
use tracing::info;

use super::super::capacity_view::CapacityView;
use super::super::waiting::{WaitingJob, allows_task_in_zone};
use super::super::{Plan, Scheduler};
use super::fleet_view::{attempts_of, gang_waiting, no_room};
use crate::domain::{Attempt, Job, JobId, MachineId, Now, Resources, TaskId, Team, Zone};
use crate::placement;
use crate::store::WatchCache;
use crate::store::cache::OpenJob;

impl Plan {
    /// Keeps room for a task where it would be placed best. Returns the machine.
    pub(super) fn keep_room(
        &mut self,
        cache: &WatchCache,
        job: &Job,
        zones: &BTreeMap<Zone, u32>,
    ) -> Option<MachineId> {
        let has_space = |machine: &MachineId| {
            let block = cache.machines.get(machine).map(|machine| &machine.block);
            block.is_some_and(|block| self.block_slots.get(block).is_some_and(|space| *space > 0))
        };
        let open = self.candidates.iter().filter(|c| has_space(&c.machine));
        let chosen =
            placement::best_candidate(open, job, |zone| allows_task_in_zone(job, zones, zone))?;
        let machine = chosen.machine.clone();
        let index = self.index_of(&machine)?;
        self.take_room(cache, index, &job.need);
        Some(machine)
    }

    /// Takes room of a machine, and of its block's value.
    pub(super) fn take_room(&mut self, cache: &WatchCache, candidate: usize, need: &Resources) {
        let chosen = &mut self.candidates[candidate];
        chosen.free.take(need);
        let block = cache.machines.get(&chosen.machine).map(|m| &m.block);
        if let Some(space) = block.and_then(|block| self.block_slots.get_mut(block)) {
            *space = space.saturating_sub(1);
        }
    }

    /// The machine's index, if it has room for a task.
    fn room_on(&self, machine: &MachineId, job: &Job) -> Option<usize> {
        let fits = |c: &placement::Candidate| {
            c.machine == *machine && c.free.fits(&job.need) && c.allows(job)
        };
        self.candidates.iter().position(fits)
    }
}

impl Scheduler {
    pub(super) fn stop_evicted(
        &mut self,
        now: Now,
        cache: &WatchCache,
        ledgers: &BTreeMap<Team, Ledger>,
    ) {
        let subjects = ledgers.values().flat_map(|ledger| &ledger.evictions);
        for subject in subjects.map(|eviction| eviction.subject) {
            for ((index, number), placement) in cache.placed(subject.job()) {
                let attempt = Attempt {
                    task: TaskId {
                        job: subject.job(),
                        index: *index,
                    },
                    number: *number,
                };
                let Some(block_state) = self.block_states.get_mut(&placement.block) else {
                    continue;
                };
                if subject.covers(&attempt) && !block_state.stop_requests.contains_key(&attempt) {
                    block_state.stop_requests.insert(attempt, now.monotonic);
                    block_state.update_pending = true;
                }
            }
        }
    }

    /// Releases evicted tasks that are proven gone to the machines that have room kept for them. For the others the
    /// room is kept on.
    pub(super) fn replace_evicted(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        ledgers: &BTreeMap<Team, Ledger>,
    ) {
        let Some(draining) = &mut self.draining else {
            return;
        };
        let outstanding: Vec<Subject> = draining
            .planner
            .outstanding(ledgers)
            .into_iter()
            .map(|eviction| eviction.subject)
            .collect();
        let evicted: BTreeSet<TaskId> = outstanding.iter().flat_map(Subject::tasks).collect();
        let proposed = &draining.proposed;
        draining
            .reserved
            .retain(|task, _| evicted.contains(task) || proposed.contains(task));
        draining.without_room.clear();
        for subject in outstanding {
            let Some(open) = cache
                .open
                .get(&subject.job())
                .filter(|open| !open.cancelled)
            else {
                continue;
            };
            match subject {
                Subject::Task(old) => {
                    self.replace_task(capacity, cache, plan, open, old);
                }
                Subject::Gang { job, .. } => self.replace_gang(capacity, cache, plan, open, job),
            }
        }
        self.keep_proposed_room(cache, plan);
        let without_room = self.draining.iter().flat_map(|d| &d.without_room);
        let unplaced = without_room.filter(|(_, reason)| **reason == NoRoom::Yet);
        for (task, _) in unplaced {
            count_unplaced(
                capacity,
                cache,
                plan,
                *task,
                &self.zones_of_others(cache, *task),
            );
        }
    }

    fn keep_proposed_room(&self, cache: &WatchCache, plan: &mut Plan) {
        let Some(draining) = &self.draining else {
            return;
        };
        for task in &draining.proposed {
            let open = cache.open.get(&task.job);
            let machine = draining.reserved.get(task);
            if let (Some(open), Some(machine)) = (open, machine)
                && let Some(candidate) = plan.room_on(machine, &open.job)
            {
                plan.take_room(cache, candidate, &open.job.need);
            }
        }
    }

    fn replace_task(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        open: &OpenJob,
        old: Attempt,
    ) {
        let task = old.task;
        let others = attempts_of(cache, task).filter(|(attempt, _)| *attempt != old);
        if others.count() > 0 || self.is_released(task) || open.done.contains(task.index) {
            return;
        }
        let zones = self.zones_of_others(cache, task);
        let Some(draining) = &mut self.draining else {
            return;
        };
        if draining.proposed.contains(&task) {
            return;
        }
        let kept = draining.reserved.get(&task).and_then(|machine| {
            let candidate = plan.room_on(machine, &open.job)?;
            let zone = plan.candidates[candidate].zone.clone();
            allows_task_in_zone(&open.job, &zones, &zone).then(|| machine.clone())
        });
        let machine = match kept {
            Some(machine) => {
                if let Some(candidate) = plan.room_on(&machine, &open.job) {
                    plan.take_room(cache, candidate, &open.job.need);
                }
                Some(machine)
            }
            None => plan.keep_room(cache, &open.job, &zones),
        };
        let Some(machine) = machine else {
            draining.reserved.remove(&task);
            let reason = no_room(capacity, &open.job, &zones);
            draining.without_room.insert(task, reason);
            return;
        };
        draining.reserved.insert(task, machine.clone());
        let gone = attempts_of(cache, task).next().is_none();
        let within_limit = plan.usage.within_limit(capacity.leader.config, &open.job);
        if gone && within_limit && !self.failures.is_backing_off(capacity.now, task.job) {
            self.release_replacement(capacity.now, cache, plan, open, task, &machine);
        }
    }

    /// Releases a task to a machine whose room has been taken for it.
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
            draining.reserved.remove(&task);
        }
    }

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
            .flat_map(|task| attempts_of(cache, task).map(|(attempt, _)| attempt))
            .collect();
        let released = tasks().any(|task| self.is_released(task));
        let Some(draining) = &mut self.draining else {
            return;
        };
        let machines: Option<Vec<MachineId>> = tasks()
            .map(|task| draining.reserved.get(&task).cloned())
            .collect();
        let starts: BTreeSet<Option<u64>> = placed.iter().map(Attempt::gang_start).collect();
        if released || starts.len() > 1 {
            return;
        }
        // Without room for all of it, it waits as any gang.
        let Some(machines) = machines else { return };
        let mut taken = Vec::new();
        for machine in &machines {
            let Some(candidate) = plan.room_on(machine, &open.job) else {
                break;
            };
            plan.take_room(cache, candidate, &open.job.need);
            taken.push(candidate);
        }
        let whole = taken.len() == machines.len();
        if !whole {
            for task in tasks() {
                draining.reserved.remove(&task);
            }
            for candidate in taken {
                plan.candidates[candidate].free.add(&open.job.need);
            }
            return;
        }
        let within = plan
            .usage
            .tasks_within_limit(capacity.leader.config, &open.job);
        if placed.is_empty() && within >= u64::from(open.job.tasks) {
            self.release_gang_replacement(capacity.now, cache, plan, open, job, &machines);
        }
    }

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
        info!(%job, start, "gang released to the room kept for it");
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
                draining.reserved.remove(&task);
            }
        }
    }
}

/// Counts a task for which no machine has room as waiting, so that the rule orders one. Where it may go only to some
/// zones, one of those.
pub(super) fn count_unplaced(
    capacity: &CapacityView<'_>,
    cache: &WatchCache,
    plan: &mut Plan,
    task: TaskId,
    zones: &BTreeMap<Zone, u32>,
) {
    let Some(open) = cache.open.get(&task.job) else {
        return;
    };
    let waiting = WaitingJob {
        tasks_per_zone: zones.clone(),
        ..gang_waiting(task.job, open)
    };
    let pinned = capacity.pinned_zone(&waiting);
    let cheapest = capacity.cheapest_pool(&open.job, &plan.demand, pinned.as_ref(), f64::INFINITY);
    let Some((pool, share)) = cheapest else {
        return;
    };
    match pinned {
        Some(zone) => plan.demand.add_pinned(pool, zone, share),
        None => plan.demand.add(pool, share),
    }
}
