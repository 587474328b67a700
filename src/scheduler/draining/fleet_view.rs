//! The fleet as the drain planner sees it, and the reservation of capacity for replacements.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use dappleshore_drain::planner::{NoCapacity, Reservation};
use dappleshore_drain::{EvictionTarget, Fleet, JobView, MachineView};

use super::super::capacity_view::CapacityView;
use super::super::gangs::find_gang_capacity;
use super::super::waiting::{WaitingJob, allows_task_in_zone};
use super::super::{Plan, Scheduler};
use crate::cloud::wire::InstanceType;
use crate::domain::{Attempt, Job, JobId, JobKind, MachineId, TaskId, Zone};
use crate::store::WatchCache;
use crate::store::cache::OpenJob;
use crate::store::records::TaskRanges;

/// The fleet and the free capacity of the current plan, as the drain planner accesses them.
pub(super) struct FleetView<'a, 'v> {
    pub(super) scheduler: &'a Scheduler,
    pub(super) capacity: &'a CapacityView<'a>,
    pub(super) cache: &'v WatchCache,
    pub(super) plan: &'a mut Plan,
    pub(super) machines: Vec<MachineView>,
    /// Numbers of the watched attempts that are running.
    pub(super) running: HashSet<u64>,
    /// Tasks for which no machine had enough free capacity, but for which machines can be rented.
    pub(super) unplaced: Vec<TaskId>,
}

impl FleetView<'_, '_> {
    /// Returns the job if it is open and not cancelled.
    fn open_job(&self, job: JobId) -> Option<&OpenJob> {
        self.cache
            .open_jobs
            .get(&job)
            .filter(|open| !open.cancelled)
    }

    /// Counts the job's other tasks by zone: placed, released, or with reserved capacity.
    fn other_tasks_per_zone(&self, task: TaskId) -> BTreeMap<Zone, u32> {
        self.scheduler.other_tasks_per_zone(self.cache, task)
    }

    /// Reserves capacity for one task.
    fn reserve_task(&mut self, task: TaskId) -> Result<Vec<Reservation>, NoCapacity> {
        let Some(open) = self.cache.open_jobs.get(&task.job) else {
            return Err(NoCapacity::NoAllowedPlacement);
        };
        let tasks_per_zone = self.other_tasks_per_zone(task);
        match self
            .plan
            .reserve_capacity(self.cache, &open.job, &tasks_per_zone)
        {
            Some(machine) => Ok(vec![Reservation { task, machine }]),
            None => {
                let reason = shortage_reason(self.capacity, &open.job, &tasks_per_zone);
                if reason == NoCapacity::NotYet {
                    self.unplaced.push(task);
                }
                Err(reason)
            }
        }
    }

    /// Reserves capacity for all tasks of a gang, or for none.
    fn reserve_gang(&mut self, id: JobId) -> Result<Vec<Reservation>, NoCapacity> {
        let Some(open) = self.cache.open_jobs.get(&id) else {
            return Err(NoCapacity::NoAllowedPlacement);
        };
        let waiting_job = unplaced_waiting_job(id, open);
        let block_of = |machine: &MachineId| Some(self.cache.machines.get(machine)?.block.clone());
        let gang_capacity = find_gang_capacity(
            &self.plan.candidates,
            &waiting_job,
            |_| true,
            &self.plan.block_slots,
            block_of,
        );
        if !gang_capacity.is_complete {
            if shortage_reason(self.capacity, &open.job, &BTreeMap::new())
                == NoCapacity::NoAllowedPlacement
            {
                return Err(NoCapacity::NoAllowedPlacement);
            }
            let unplaced = gang_capacity.candidate_indexes.len() as u32..open.job.tasks;
            self.unplaced
                .extend(unplaced.map(|index| TaskId { job: id, index }));
            return Err(NoCapacity::NotYet);
        }
        let mut reservations = Vec::new();
        for (index, candidate_index) in (0..).zip(gang_capacity.candidate_indexes) {
            let machine = self.plan.candidates[candidate_index].machine.clone();
            self.plan
                .reserve_on_candidate(self.cache, candidate_index, &open.job.need);
            let task = TaskId { job: id, index };
            reservations.push(Reservation { task, machine });
        }
        Ok(reservations)
    }
}

/// Returns why no capacity was found for a task of the job, given its other tasks by zone: no fitting machine has been
/// rented yet, or none can be rented in any allowed zone.
pub(super) fn shortage_reason(
    capacity: &CapacityView<'_>,
    job: &Job,
    tasks_per_zone: &BTreeMap<Zone, u32>,
) -> NoCapacity {
    let can_rent = |instance_type: &InstanceType, zone: &Zone| {
        job.allows_zone(zone)
            && allows_task_in_zone(job, tasks_per_zone, zone)
            && !capacity.provisioner.is_drained(&instance_type.name, zone)
    };
    let obtainable = capacity.leader.catalog.all().any(|instance_type| {
        let fits = job.allows_type(&instance_type.name)
            && instance_type.resources().max_tasks(&job.need) > 0;
        fits && instance_type
            .zones
            .iter()
            .any(|zone| can_rent(instance_type, zone))
    });
    if obtainable {
        NoCapacity::NotYet
    } else {
        NoCapacity::NoAllowedPlacement
    }
}

/// Returns the job as waiting, without any assigned task.
pub(super) fn unplaced_waiting_job<'v>(id: JobId, open: &'v OpenJob) -> WaitingJob<'v> {
    WaitingJob {
        id,
        open,
        pending_tasks: u64::from(open.job.tasks),
        assigned_tasks: TaskRanges::default(),
        tasks_per_zone: BTreeMap::new(),
        first_task_overdue: false,
        waited: Duration::ZERO,
        blocked: false,
    }
}

impl Fleet for FleetView<'_, '_> {
    fn machines(&self) -> &[MachineView] {
        &self.machines
    }

    fn job(&self, job: JobId) -> Option<JobView> {
        let open = self.open_job(job)?;
        let is_gang = open.job.kind == JobKind::Gang;
        Some(JobView {
            team: open.job.team.clone(),
            class: open.job.class.clone(),
            gang_tasks: is_gang.then_some(open.job.tasks),
        })
    }

    fn is_done(&self, task: TaskId) -> bool {
        self.open_job(task.job)
            .is_none_or(|open| open.done.contains(task.index))
    }

    fn attempts(&self, task: TaskId) -> Vec<Attempt> {
        placed_attempts(self.cache, task)
            .map(|(attempt, _)| attempt)
            .collect()
    }

    fn is_running(&self, attempt: &Attempt) -> bool {
        self.running.contains(&attempt.number)
    }

    fn is_stopping(&self, attempt: &Attempt) -> bool {
        self.scheduler.is_stop_requested(attempt)
    }

    fn keeps_failing(&self, job: JobId) -> bool {
        self.scheduler.failures.keeps_failing(job)
    }

    fn missing_capacity(&self, task: TaskId) -> Option<NoCapacity> {
        let draining = self.scheduler.draining.as_ref()?;
        draining.without_capacity.get(&task).copied()
    }

    fn reserve(&mut self, target: &EvictionTarget) -> Result<Vec<Reservation>, NoCapacity> {
        match target {
            EvictionTarget::Task(attempt) => self.reserve_task(attempt.task),
            EvictionTarget::Gang { job, .. } => self.reserve_gang(*job),
        }
    }
}

/// Returns the placed attempts of a task with their machines, without machines that have no record.
pub(super) fn placed_attempts(
    cache: &WatchCache,
    task: TaskId,
) -> impl Iterator<Item = (Attempt, &MachineId)> {
    cache
        .job_placements(task.job)
        .range((task.index, 0)..=(task.index, u64::MAX))
        .filter(|(_, placement)| cache.machines.contains_key(&placement.machine))
        .map(move |((_, number), placement)| {
            let number = *number;
            (Attempt { task, number }, &placement.machine)
        })
}
