//! Gangs: jobs of which all tasks run at the same time or none does.
//!
//! All tasks of a gang are released in one plan, under one attempt number, or none is. A gang of which a task is missing
//! is taken back: what was released is withdrawn and what was placed is stopped. It starts anew, under another number,
//! only when nothing of the old attempt can be on any machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{debug, info};

use super::waiting::{PlacementRequirements, WaitingJob};
use super::{Plan, Scheduler};
use crate::domain::{Attempt, BlockId, JobId, JobKind, MachineId, Now, TaskId, Zone};
use crate::leader_context::LeaderContext;
use crate::placement::{self, Candidate};
use crate::store::WatchCache;

/// A gang that has waited for this long has the room kept that there is for it, so that smaller work does not take it
/// again and again. One gang at a time: no two of them may hold parts of what both need.
const KEEP_ROOM_AFTER: Duration = Duration::from_secs(8);

/// Where a gang is, by what is recorded and released of its present attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GangState {
    /// Nothing of it is anywhere.
    Queued,
    /// All its tasks are released or placed.
    Whole,
    /// Some are missing, being stopped or of another attempt: the rest has to go.
    Broken,
    /// A task is done, and so all are.
    Ended,
}

/// The tasks of a gang that are released or placed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangCount {
    pub(super) tasks: u32,
    /// Of different attempts, or on their way out.
    pub(super) mixed: bool,
    pub(super) any_done: bool,
}

impl GangState {
    /// `size`: the gang's tasks.
    pub(super) fn of(size: u32, count: GangCount) -> GangState {
        match count {
            GangCount { any_done: true, .. } => GangState::Ended,
            GangCount { tasks: 0, .. } => GangState::Queued,
            GangCount { mixed: true, .. } => GangState::Broken,
            GangCount { tasks, .. } if tasks < size => GangState::Broken,
            _ => GangState::Whole,
        }
    }
}

/// What is under way of a gang.
#[derive(Default)]
struct UnderWay {
    placed: Vec<(BlockId, Attempt)>,
    released: Vec<(BlockId, Attempt)>,
    starts: BTreeSet<u64>,
    leaving: bool,
}

impl Scheduler {
    /// Releases all tasks of a gang, or none. Returns how many.
    #[allow(
        clippy::too_many_arguments,
        reason = "what a plan goes by, and what it may give away"
    )]
    pub(super) fn release_gang(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        waiting: &mut WaitingJob<'_>,
        shape: PlacementRequirements,
        allowed: impl Fn(&Candidate) -> bool,
        plan: &mut Plan,
    ) -> usize {
        let job = &waiting.open.job;
        if plan.usage.tasks_within_limit(leader.config, job) < u64::from(job.tasks) {
            return 0;
        }
        let reserves_capacity = may_reserve_capacity(waiting) && !plan.gang_capacity_reserved;
        let like = (shape, job.image.clone(), job.tasks);
        if plan.infeasible.gangs_without_capacity.contains(&like) && !reserves_capacity {
            return 0;
        }
        let block_of = |machine: &MachineId| Some(cache.machines.get(machine)?.block.clone());
        let room = find_room(
            &plan.candidates,
            waiting,
            allowed,
            &plan.block_slots,
            block_of,
        );
        if !room.whole {
            plan.infeasible.gangs_without_capacity.insert(like);
            if reserves_capacity {
                plan.gang_capacity_reserved = true;
                for index in room.tasks {
                    plan.candidates[index].free.take(&job.need);
                }
            }
            return 0;
        }
        let start = self.next_attempt;
        self.next_attempt += 1;
        debug!(job = %waiting.id, start, tasks = room.tasks.len(), "gang released");
        for (index, candidate) in (0..).zip(&room.tasks) {
            let task = TaskId {
                job: waiting.id,
                index,
            };
            let machine = plan.candidates[*candidate].machine.clone();
            let (Some(attempt), Some(block)) = (Attempt::of_gang(task, start), block_of(&machine))
            else {
                continue;
            };
            if let Some(block_state) = self.block_states.get_mut(&block) {
                block_state.release(now, attempt, machine, Vec::new());
                plan.allocate(*candidate, &block, job);
                waiting.taken.insert(index);
                waiting.pending_tasks -= 1;
            }
        }
        room.tasks.len()
    }

    /// Takes back what is left of gangs that have lost a task.
    pub(super) fn stop_incomplete_gangs(&mut self, now: Now, cache: &WatchCache) {
        for (id, under_way) in self.gangs_under_way(cache) {
            let Some(open) = cache.open.get(&id).filter(|open| !open.cancelled) else {
                continue;
            };
            let count = GangCount {
                tasks: (under_way.placed.len() + under_way.released.len()) as u32,
                mixed: under_way.starts.len() > 1 || under_way.leaving,
                any_done: !open.done.is_empty(),
            };
            if GangState::of(open.job.tasks, count) != GangState::Broken {
                continue;
            }
            self.take_back(now, id, &under_way);
        }
    }

    fn gangs_under_way(&self, cache: &WatchCache) -> BTreeMap<JobId, UnderWay> {
        let mut gangs: BTreeMap<JobId, UnderWay> = BTreeMap::new();
        for live in cache.live_placements() {
            for attempt in live.attempts() {
                let Some(start) = attempt.gang_start() else {
                    continue;
                };
                let gang = gangs.entry(attempt.task.job).or_default();
                gang.starts.insert(start);
                gang.leaving |= self.is_stopping(live.block, &attempt);
                gang.placed.push((live.block.clone(), attempt));
            }
        }
        for (block, block_state) in &self.block_states {
            for release in block_state.releases.values() {
                let Some(start) = release.attempt.gang_start() else {
                    continue;
                };
                let gang = gangs.entry(release.attempt.task.job).or_default();
                gang.starts.insert(start);
                gang.leaving |= release.withdrawn;
                gang.released.push((block.clone(), release.attempt));
            }
        }
        gangs
    }

    fn is_stopping(&self, block: &BlockId, attempt: &Attempt) -> bool {
        self.block_states
            .get(block)
            .is_some_and(|block_state| block_state.stop_requests.contains_key(attempt))
    }

    fn take_back(&mut self, now: Now, id: JobId, under_way: &UnderWay) {
        let mut stopped = 0;
        for (block, attempt) in &under_way.placed {
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
        for (block, attempt) in &under_way.released {
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
            info!(job = %id, stopped, withdrawn, "gang is not whole: taken back");
        }
    }
}

/// Whether a waiting gang has the room kept that there is.
pub(super) fn may_reserve_capacity(waiting: &WaitingJob<'_>) -> bool {
    waiting.open.job.kind == JobKind::Gang && waiting.waited >= KEEP_ROOM_AFTER
}

/// What room there is for a gang.
pub(super) struct GangRoom {
    /// For each task the index of its candidate.
    pub(super) tasks: Vec<usize>,
    pub(super) whole: bool,
}

/// Room for all tasks of a gang at once: where its tasks may go, as many as there is room for, and in one zone if it asks
/// for that. Of several zones the one that has room for most; of those, the one whose slowest image fetch is shortest,
/// since no task starts before the last has its image.
pub(super) fn find_room(
    candidates: &[Candidate],
    waiting: &WaitingJob<'_>,
    allowed: impl Fn(&Candidate) -> bool,
    block_slots: &BTreeMap<BlockId, usize>,
    block_of: impl Fn(&MachineId) -> Option<BlockId>,
) -> GangRoom {
    let job = &waiting.open.job;
    let order: Vec<usize> = placement::ranked_indexes(candidates, job)
        .into_iter()
        .filter(|index| allowed(&candidates[*index]))
        .collect();
    let zones: BTreeSet<&Zone> = order.iter().map(|index| &candidates[*index].zone).collect();
    let choices: Vec<Option<&Zone>> = if job.one_zone {
        zones.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<(usize, f64, Vec<usize>)> = None;
    for zone in choices {
        let within = |index: &&usize| zone.is_none_or(|zone| candidates[**index].zone == *zone);
        let tasks = fill(
            candidates,
            waiting,
            order.iter().filter(within),
            block_slots,
            &block_of,
        );
        let fetch_s = tasks
            .iter()
            .map(|index| placement::image_fetch_s(&candidates[*index], job))
            .fold(0.0, f64::max);
        let better = best
            .as_ref()
            .is_none_or(|(most, least_s, _)| (tasks.len(), -fetch_s) > (*most, -least_s));
        if better {
            best = Some((tasks.len(), fetch_s, tasks));
        }
    }
    let tasks = best.map(|(_, _, tasks)| tasks).unwrap_or_default();
    GangRoom {
        whole: tasks.len() >= job.tasks as usize,
        tasks,
    }
}

fn fill<'i>(
    candidates: &[Candidate],
    waiting: &WaitingJob<'_>,
    order: impl Iterator<Item = &'i usize>,
    block_slots: &BTreeMap<BlockId, usize>,
    block_of: &impl Fn(&MachineId) -> Option<BlockId>,
) -> Vec<usize> {
    let job = &waiting.open.job;
    let mut block_slots = block_slots.clone();
    let mut in_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
    let mut tasks = Vec::new();
    for index in order {
        let candidate = &candidates[*index];
        let Some(space) =
            block_of(&candidate.machine).and_then(|block| block_slots.get_mut(&block))
        else {
            continue;
        };
        let here = in_zone.entry(&candidate.zone).or_default();
        let left = job.tasks - tasks.len() as u32;
        let count = candidate
            .free
            .count_of(&job.need)
            .min(left)
            .min(job.zone_limit() - *here)
            .min(u32::try_from(*space).unwrap_or(u32::MAX));
        *space -= count as usize;
        *here += count;
        tasks.extend(std::iter::repeat_n(*index, count as usize));
        if tasks.len() >= job.tasks as usize {
            break;
        }
    }
    tasks
}

#[cfg(test)]
mod tests;
