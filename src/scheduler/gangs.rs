//! Gang scheduling: all tasks of a gang run at the same time, or none does.
//!
//! Either all tasks of a gang are released in one plan, under one attempt number, or none is. If a task is lost, the
//! rest of the gang is stopped: its releases are withdrawn, and its placed tasks are told to stop. The gang is released
//! again, under a new number, only when no task of the old attempt can be on any machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{debug, info, trace};

use super::waiting::{PlacementRequirements, WaitingJob};
use super::{Plan, Scheduler};
use crate::domain::{Attempt, BlockId, Job, JobId, JobKind, MachineId, Now, TaskId, Zone};
use crate::leader_context::LeaderContext;
use crate::placement::{self, Candidate};
use crate::store::WatchCache;

/// A gang that has waited this long reserves the free capacity that it can use, else smaller jobs would take it again
/// and again. Only one gang reserves at a time, so that no two gangs hold parts of the capacity that both need.
const RESERVE_CAPACITY_AFTER: Duration = Duration::from_secs(8);

/// All that decides whether a gang fits into the capacity that there is: gangs with equal requirements either all fit
/// or none does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct GangRequirements {
    /// The requirements of each task.
    task: PlacementRequirements,
    tasks: u32,
    /// All tasks must be in the same zone.
    one_zone: bool,
    /// The maximum number of tasks in one zone.
    zone_limit: u32,
}

impl GangRequirements {
    /// Returns the requirements of a gang whose tasks each have the given ones.
    pub(super) fn of(job: &Job, task: PlacementRequirements) -> Self {
        GangRequirements {
            task,
            tasks: job.tasks,
            one_zone: job.one_zone,
            zone_limit: job.zone_limit(),
        }
    }
}

/// The state of a gang, by the placed and released tasks of its current attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GangState {
    /// No task is released or placed.
    Queued,
    /// All tasks are released or placed.
    FullyAssigned,
    /// Tasks are missing, stopping or of different attempts: the rest must be stopped.
    Incomplete,
    /// One task is done, which means that all are.
    Done,
}

/// Summary of a gang's assigned tasks, from which its state follows.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangTaskSummary {
    /// The number of tasks that are released or placed.
    pub(super) assigned: u32,
    /// Tasks belong to different attempts, are stopping, or are withdrawn.
    pub(super) inconsistent: bool,
    pub(super) any_done: bool,
}

impl GangState {
    /// Returns the state of a gang of `size` tasks.
    pub(super) fn of(size: u32, summary: GangTaskSummary) -> GangState {
        match summary {
            GangTaskSummary { any_done: true, .. } => GangState::Done,
            GangTaskSummary { assigned: 0, .. } => GangState::Queued,
            GangTaskSummary {
                inconsistent: true, ..
            } => GangState::Incomplete,
            GangTaskSummary { assigned, .. } if assigned < size => GangState::Incomplete,
            _ => GangState::FullyAssigned,
        }
    }
}

/// The placed and released tasks of a gang.
#[derive(Default)]
struct AssignedGang {
    placed: Vec<(BlockId, Attempt)>,
    released: Vec<(BlockId, Attempt)>,
    /// The numbers of the attempts that the tasks belong to.
    start_numbers: BTreeSet<u64>,
    /// Whether a task is told to stop or a release is withdrawn.
    any_stopping: bool,
}

impl Plan {
    /// Reserves the capacity that there is for a gang that does not fit yet.
    fn reserve_for_gang(&mut self, job: &Job, candidate_indexes: &[usize]) {
        self.gang_capacity_reserved = true;
        for index in candidate_indexes {
            self.candidates[*index].free.subtract(&job.need);
        }
    }
}

impl Scheduler {
    /// Releases all tasks of a gang, or none. Returns the number of released tasks.
    #[allow(
        clippy::too_many_arguments,
        reason = "the inputs of a release decision and the plan that it changes"
    )]
    pub(super) fn release_gang(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        waiting: &mut WaitingJob<'_>,
        requirements: PlacementRequirements,
        is_allowed: impl Fn(&Candidate) -> bool,
        plan: &mut Plan,
    ) -> usize {
        let job = &waiting.open.job;
        if plan.usage.tasks_within_limit(leader.config, job) < u64::from(job.tasks) {
            return 0;
        }
        let reserves_capacity = may_reserve_capacity(waiting) && !plan.gang_capacity_reserved;
        let requirements = GangRequirements::of(job, requirements);
        let is_infeasible = plan
            .infeasible
            .gangs_without_capacity
            .contains(&requirements);
        if is_infeasible && !reserves_capacity {
            trace!(job = %waiting.id, "gang not tried: another one with its requirements did not fit");
            return 0;
        }
        let block_of = |machine: &MachineId| Some(cache.machines.get(machine)?.block.clone());
        let gang_capacity = find_gang_capacity(
            &plan.candidates,
            waiting,
            is_allowed,
            &plan.block_slots,
            block_of,
        );
        if !gang_capacity.is_complete {
            let fitting = gang_capacity.candidate_indexes.len();
            trace!(job = %waiting.id, fitting, reserves_capacity, "gang does not fit");
            plan.infeasible.gangs_without_capacity.insert(requirements);
            if reserves_capacity {
                plan.reserve_for_gang(job, &gang_capacity.candidate_indexes);
            }
            return 0;
        }
        self.release_gang_tasks(now, cache, waiting, &gang_capacity.candidate_indexes, plan)
    }

    /// Releases all tasks of a gang, each to the candidate with the index at its position. Returns the number of tasks.
    fn release_gang_tasks(
        &mut self,
        now: Now,
        cache: &WatchCache,
        waiting: &mut WaitingJob<'_>,
        candidate_indexes: &[usize],
        plan: &mut Plan,
    ) -> usize {
        let start = self.next_attempt;
        self.next_attempt += 1;
        debug!(job = %waiting.id, start, tasks = candidate_indexes.len(), "gang released");
        for (index, candidate_index) in (0..).zip(candidate_indexes) {
            let task = TaskId {
                job: waiting.id,
                index,
            };
            let machine = plan.candidates[*candidate_index].machine.clone();
            let block = cache.machines.get(&machine).map(|m| m.block.clone());
            let (Some(attempt), Some(block)) = (Attempt::of_gang(task, start), block) else {
                continue;
            };
            if let Some(block_state) = self.block_states.get_mut(&block) {
                block_state.release(now, attempt, machine, Vec::new());
                plan.allocate(*candidate_index, &block, &waiting.open.job);
                waiting.assigned_tasks.insert(index);
                waiting.pending_tasks -= 1;
            }
        }
        candidate_indexes.len()
    }

    /// Stops the remaining tasks of gangs that have lost a task.
    pub(super) fn stop_incomplete_gangs(&mut self, now: Now, cache: &WatchCache) {
        for (id, gang) in self.assigned_gangs(cache) {
            let Some(open) = cache.open_jobs.get(&id).filter(|open| !open.cancelled) else {
                continue;
            };
            let summary = GangTaskSummary {
                assigned: (gang.placed.len() + gang.released.len()) as u32,
                inconsistent: gang.start_numbers.len() > 1 || gang.any_stopping,
                any_done: !open.done.is_empty(),
            };
            if GangState::of(open.job.tasks, summary) != GangState::Incomplete {
                continue;
            }
            self.stop_gang(now, id, &gang);
        }
    }

    /// Collects the placed and released tasks of all gangs.
    fn assigned_gangs(&self, cache: &WatchCache) -> BTreeMap<JobId, AssignedGang> {
        let mut gangs: BTreeMap<JobId, AssignedGang> = BTreeMap::new();
        for live in cache.live_placements() {
            for attempt in live.attempts() {
                let Some(start) = attempt.gang_start() else {
                    continue;
                };
                let gang = gangs.entry(attempt.task.job).or_default();
                gang.start_numbers.insert(start);
                gang.any_stopping |= self.is_stop_requested_in(live.block, &attempt);
                gang.placed.push((live.block.clone(), attempt));
            }
        }
        for (block, block_state) in &self.block_states {
            for release in block_state.releases.values() {
                let Some(start) = release.attempt.gang_start() else {
                    continue;
                };
                let gang = gangs.entry(release.attempt.task.job).or_default();
                gang.start_numbers.insert(start);
                gang.any_stopping |= release.withdrawn;
                gang.released.push((block.clone(), release.attempt));
            }
        }
        gangs
    }

    /// Whether the attempt is told to stop in the given block.
    fn is_stop_requested_in(&self, block: &BlockId, attempt: &Attempt) -> bool {
        self.block_states
            .get(block)
            .is_some_and(|block_state| block_state.stop_requests.contains_key(attempt))
    }

    /// Stops the placed tasks of a gang and withdraws its releases.
    fn stop_gang(&mut self, now: Now, id: JobId, gang: &AssignedGang) {
        let mut stopped = 0;
        for (block, attempt) in &gang.placed {
            let Some(block_state) = self.block_states.get_mut(block) else {
                continue;
            };
            if !block_state.stop_requests.contains_key(attempt) {
                block_state.stop_requests.insert(*attempt, now.monotonic);
                block_state.update_pending = true;
                stopped += 1;
            }
        }
        let mut withdrawn = 0;
        for (block, attempt) in &gang.released {
            let block_state = self.block_states.get_mut(block);
            let release = block_state.and_then(|block_state| {
                block_state.update_pending = true;
                block_state.releases.get_mut(&attempt.number)
            });
            if let Some(release) = release.filter(|release| !release.withdrawn) {
                release.withdraw();
                withdrawn += 1;
            }
        }
        if stopped + withdrawn > 0 {
            info!(job = %id, stopped, withdrawn, "stopping incomplete gang");
        }
    }
}

/// Whether a waiting job is a gang that has waited long enough to reserve free capacity.
pub(super) fn may_reserve_capacity(waiting: &WaitingJob<'_>) -> bool {
    waiting.open.job.kind == JobKind::Gang && waiting.waited >= RESERVE_CAPACITY_AFTER
}

/// The capacity found for a gang.
pub(super) struct GangCapacity {
    /// The candidate index for each task that fits.
    pub(super) candidate_indexes: Vec<usize>,
    /// Whether all tasks of the gang fit.
    pub(super) is_complete: bool,
}

/// Finds capacity for as many tasks of a gang as fit at once, in a single zone if the job requires one. Among zones,
/// prefers the one that fits the most tasks, then the one whose slowest image fetch takes the least time, since no task
/// starts before the last one has its image.
pub(super) fn find_gang_capacity(
    candidates: &[Candidate],
    waiting: &WaitingJob<'_>,
    is_allowed: impl Fn(&Candidate) -> bool,
    block_slots: &BTreeMap<BlockId, usize>,
    block_of: impl Fn(&MachineId) -> Option<BlockId>,
) -> GangCapacity {
    let job = &waiting.open.job;
    let ranked: Vec<usize> = placement::ranked_indexes(candidates, job)
        .into_iter()
        .filter(|index| is_allowed(&candidates[*index]))
        .collect();
    let zones: BTreeSet<&Zone> = ranked
        .iter()
        .map(|index| &candidates[*index].zone)
        .collect();
    let zone_choices: Vec<Option<&Zone>> = if job.one_zone {
        zones.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<(usize, f64, Vec<usize>)> = None;
    for zone in zone_choices {
        let is_in_zone = |index: &&usize| zone.is_none_or(|zone| candidates[**index].zone == *zone);
        let candidate_indexes = assign_in_order(
            candidates,
            waiting,
            ranked.iter().filter(is_in_zone),
            block_slots,
            &block_of,
        );
        let fetch_s = candidate_indexes
            .iter()
            .map(|index| placement::image_fetch_s(&candidates[*index], job))
            .fold(0.0, f64::max);
        let is_better = best.as_ref().is_none_or(|(most_tasks, least_fetch_s, _)| {
            (candidate_indexes.len(), -fetch_s) > (*most_tasks, -least_fetch_s)
        });
        if is_better {
            best = Some((candidate_indexes.len(), fetch_s, candidate_indexes));
        }
    }
    let candidate_indexes = best.map(|(_, _, indexes)| indexes).unwrap_or_default();
    GangCapacity {
        is_complete: candidate_indexes.len() >= job.tasks as usize,
        candidate_indexes,
    }
}

/// Assigns tasks to the candidates in the given order, within their free resources, the zone limit and the block slots.
fn assign_in_order<'i>(
    candidates: &[Candidate],
    waiting: &WaitingJob<'_>,
    order: impl Iterator<Item = &'i usize>,
    block_slots: &BTreeMap<BlockId, usize>,
    block_of: &impl Fn(&MachineId) -> Option<BlockId>,
) -> Vec<usize> {
    let job = &waiting.open.job;
    let mut block_slots = block_slots.clone();
    let mut tasks_per_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
    let mut candidate_indexes = Vec::new();
    for index in order {
        let candidate = &candidates[*index];
        let Some(free_slots) =
            block_of(&candidate.machine).and_then(|block| block_slots.get_mut(&block))
        else {
            continue;
        };
        let zone_tasks = tasks_per_zone.entry(&candidate.zone).or_default();
        let remaining = job.tasks - candidate_indexes.len() as u32;
        let count = candidate
            .free
            .max_tasks(&job.need)
            .min(remaining)
            .min(job.zone_limit() - *zone_tasks)
            .min(u32::try_from(*free_slots).unwrap_or(u32::MAX));
        *free_slots -= count as usize;
        *zone_tasks += count;
        candidate_indexes.extend(std::iter::repeat_n(*index, count as usize));
        if candidate_indexes.len() >= job.tasks as usize {
            break;
        }
    }
    candidate_indexes
}

#[cfg(test)]
mod tests;
