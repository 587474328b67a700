//! Releases in turn: the next job that may run gets a task placed where it fits best, or room is made for it.

use std::collections::{BTreeSet, HashMap};

use tracing::debug;

use super::best_effort::{BestEffortPlacement, EligibleMachines};
use super::fair_share_order::FairShareOrder;
use super::preemption::{MadeRoom, Victims};
use super::waiting::{PlacementRequirements, WaitingJob, allows_task_in_zone};
use super::{Plan, Scheduler};
use crate::domain::{Attempt, BlockId, Image, JobId, JobKind, Now, Resources, TaskId, Zone};
use crate::leader_context::LeaderContext;
use crate::placement::{Candidate, Ranking};
use crate::store::WatchCache;

/// Releases decided in one go, so that a large job can't hold up everything else.
const RELEASES: usize = 150;
/// The room of a machine whose block can't hold another task.
const BLOCK_IS_FULL: Resources = Resources {
    cpus: -1.0,
    gpus: -1.0,
    memory_gb: -1.0,
};

/// What the releases of one plan go by, and what was worked out for several of them.
pub(super) struct ReleaseContext<'a, 'v> {
    now: Now,
    leader: &'a LeaderContext<'a>,
    cache: &'v WatchCache,
    zones: BTreeSet<Zone>,
    best_effort: BestEffortPlacement<'a>,
    /// Machines in order for each kind of task; jobs that keep failing have an order of their own.
    rankings: HashMap<(PlacementRequirements, Image, Option<JobId>), Ranking>,
    victims: Option<Victims<'v>>,
}

impl<'a, 'v> ReleaseContext<'a, 'v> {
    /// Of a plan that begins.
    pub(super) fn new(
        now: Now,
        leader: &'a LeaderContext<'a>,
        cache: &'v WatchCache,
        best_effort: BestEffortPlacement<'a>,
    ) -> Self {
        let zones = cache
            .block_leases
            .values()
            .map(|lease| lease.value.zone.clone());
        ReleaseContext {
            now,
            leader,
            cache,
            zones: zones.collect(),
            best_effort,
            rankings: HashMap::new(),
            victims: None,
        }
    }
}

/// Where a task goes, and the tasks that are stopped for it.
struct Choice {
    machine: Candidate,
    preempted: Vec<Attempt>,
}

impl From<MadeRoom> for Choice {
    fn from(room: MadeRoom) -> Self {
        Choice {
            machine: room.machine,
            preempted: room.preempted,
        }
    }
}

impl Scheduler {
    /// Releases what may run and has room, one job after the other in turn.
    pub(super) fn release_waiting_tasks(
        &mut self,
        releases: &mut ReleaseContext<'_, '_>,
        queue: &mut [WaitingJob<'_>],
        plan: &mut Plan,
    ) {
        let mut released = 0;
        let mut turns = FairShareOrder::new(queue);
        while released < RELEASES {
            let Some(next) = turns.next(queue, &plan.usage, releases.leader) else {
                break;
            };
            let Some(waiting) = queue.get_mut(next) else {
                break;
            };
            released += if waiting.open.job.kind == JobKind::Gang {
                self.release_next_gang(releases, waiting, plan)
            } else {
                self.release_next_task(releases, waiting, plan)
            };
        }
    }

    fn release_next_gang(
        &mut self,
        releases: &ReleaseContext<'_, '_>,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
    ) -> usize {
        let ReleaseContext {
            now, leader, cache, ..
        } = *releases;
        waiting.blocked = true;
        let reach = waiting.eligible_machines(leader);
        let limit = waiting.price_limit(leader);
        let job = &waiting.open.job;
        let best_effort = &releases.best_effort;
        let allowed =
            |c: &Candidate| reach == EligibleMachines::All || best_effort.allow(job, limit, c);
        let shape =
            PlacementRequirements::of(job, &releases.zones, |zone| job.allows_zone(zone), reach);
        self.release_gang(now, leader, cache, waiting, shape, allowed, plan)
    }

    /// Releases a task of the job, if there is a place for it. Returns how many.
    fn release_next_task(
        &mut self,
        releases: &mut ReleaseContext<'_, '_>,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
    ) -> usize {
        let index = waiting.taken.first_gap(waiting.open.job.tasks);
        let choice = self.choose_place(releases, waiting, plan);
        let (Some(choice), Some(index)) = (choice, index) else {
            waiting.blocked = true;
            return 0;
        };
        let machine = &choice.machine.machine;
        let block = releases
            .cache
            .machines
            .get(machine)
            .map(|m| m.block.clone());
        let (Some(block), Some(candidate)) = (block, plan.index_of(machine)) else {
            waiting.blocked = true;
            return 0;
        };
        self.release_to(
            releases.now,
            waiting,
            plan,
            (block, candidate),
            choice,
            index,
        )
    }

    fn release_to(
        &mut self,
        now: Now,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
        (block, candidate): (BlockId, usize),
        choice: Choice,
        index: u32,
    ) -> usize {
        let space = plan.block_slots.get(&block).copied().unwrap_or(0);
        let block_state = self.block_states.get_mut(&block).filter(|_| space > 0);
        let Some(block_state) = block_state else {
            plan.candidates[candidate].free = BLOCK_IS_FULL;
            return 0;
        };
        let attempt = Attempt {
            task: TaskId {
                job: waiting.id,
                index,
            },
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        let Choice { machine, preempted } = choice;
        debug!(%attempt, machine = %machine.machine, "released");
        block_state.release(now, attempt, machine.machine, preempted);
        plan.allocate(candidate, &block, &waiting.open.job);
        *waiting.tasks_per_zone.entry(machine.zone).or_default() += 1;
        waiting.taken.insert(index);
        waiting.pending_tasks -= 1;
        // It has begun: the rest of it waits for its turn.
        waiting.blocked = waiting.overdue;
        1
    }

    /// A machine with room, or one where room is made.
    fn choose_place(
        &mut self,
        releases: &mut ReleaseContext<'_, '_>,
        waiting: &WaitingJob<'_>,
        plan: &mut Plan,
    ) -> Option<Choice> {
        let job = &waiting.open.job;
        if !plan.usage.within_limit(releases.leader.config, job) {
            return None;
        }
        let open_zone = |zone: &Zone| allows_task_in_zone(job, &waiting.tasks_per_zone, zone);
        let reach = waiting.eligible_machines(releases.leader);
        let shape = PlacementRequirements::of(job, &releases.zones, open_zone, reach);
        // Jobs alike find no room where one of them found none: room only shrinks while tasks are released.
        if !plan.infeasible.without_capacity.contains(&shape) {
            if let Some(machine) = self.best_machine(releases, waiting, plan, &shape, reach) {
                return Some(Choice {
                    machine,
                    preempted: Vec::new(),
                });
            }
            plan.infeasible.without_capacity.insert(shape.clone());
        }
        let urgency = (shape, job.team.clone(), job.priority);
        if reach != EligibleMachines::All || plan.infeasible.preemption_failed.contains(&urgency) {
            return None;
        }
        let ReleaseContext {
            now, leader, cache, ..
        } = *releases;
        let victims = releases
            .victims
            .get_or_insert_with(|| self.victims(now, cache));
        let candidates = &plan.candidates;
        let kept = &mut plan.usage_after_stops;
        let room = self.make_room(now, leader, candidates, kept, victims, job, &open_zone);
        if room.is_none() {
            plan.infeasible.preemption_failed.insert(urgency);
        }
        room.map(Choice::from)
    }

    fn best_machine(
        &self,
        releases: &mut ReleaseContext<'_, '_>,
        waiting: &WaitingJob<'_>,
        plan: &Plan,
        shape: &PlacementRequirements,
        reach: EligibleMachines,
    ) -> Option<Candidate> {
        let job = &waiting.open.job;
        // A job that keeps failing goes to machines on which it has not failed yet: its own ranking.
        let id = waiting.id;
        let failing = self.failures.keeps_failing(id).then_some(id);
        let key = (shape.clone(), job.image.clone(), failing);
        let (leader, best_effort) = (releases.leader, &releases.best_effort);
        let ranking = releases.rankings.entry(key).or_insert_with(|| {
            let limit = waiting.price_limit(leader);
            let open =
                |c: &Candidate| reach == EligibleMachines::All || best_effort.allow(job, limit, c);
            let allowed = |c: &Candidate| {
                allows_task_in_zone(job, &waiting.tasks_per_zone, &c.zone) && open(c)
            };
            let avoided =
                |c: &Candidate| failing.is_some() && self.failures.failed_on(id, &c.machine);
            Ranking::new(&plan.candidates, job, allowed, avoided)
        });
        ranking.best(&plan.candidates, job).cloned()
    }
}
