//! Release decisions: in fair-share order, each waiting job gets a task released to the best machine with free capacity,
//! or to one where other tasks are preempted.

use std::collections::{BTreeSet, HashMap};

use tracing::debug;

use super::best_effort::{BestEffortPlacement, EligibleMachines};
use super::fair_share_order::FairShareOrder;
use super::preemption::{Preemption, VictimsByMachine};
use super::waiting::{PlacementRequirements, WaitingJob, allows_task_in_zone};
use super::{Plan, Scheduler};
use crate::domain::{Attempt, BlockId, Image, JobId, JobKind, Now, Resources, TaskId, Zone};
use crate::leader_context::LeaderContext;
use crate::placement::{Candidate, Ranking};
use crate::store::WatchCache;

/// The maximum number of tasks released in one plan, so that a large job cannot delay everything else.
const MAX_RELEASES_PER_ROUND: usize = 150;
/// The free resources set for a machine whose block cannot store another task, so that nothing fits there.
const FULL_BLOCK_RESOURCES: Resources = Resources {
    cpus: -1.0,
    gpus: -1.0,
    memory_gb: -1.0,
};

/// The inputs of the release decisions of one plan, and results that several decisions share.
pub(super) struct ReleaseContext<'a, 'v> {
    now: Now,
    leader: &'a LeaderContext<'a>,
    cache: &'v WatchCache,
    /// The zones of all blocks.
    zones: BTreeSet<Zone>,
    best_effort: BestEffortPlacement<'a>,
    /// Rankings of the candidates by requirements and image. Jobs that keep failing have rankings of their own.
    rankings: HashMap<(PlacementRequirements, Image, Option<JobId>), Ranking>,
    /// Tasks that may be preempted, collected when first needed.
    victims: Option<VictimsByMachine<'v>>,
}

impl<'a, 'v> ReleaseContext<'a, 'v> {
    /// Creates the context for a new plan.
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

/// The machine chosen for a task, and the tasks that are preempted for it.
struct PlacementChoice {
    candidate: Candidate,
    preempted: Vec<Attempt>,
}

impl From<Preemption> for PlacementChoice {
    fn from(preemption: Preemption) -> Self {
        PlacementChoice {
            candidate: preemption.candidate,
            preempted: preemption.preempted,
        }
    }
}

impl Scheduler {
    /// Releases tasks in fair-share order until none can be placed or the limit of one plan is reached.
    pub(super) fn release_waiting_tasks(
        &mut self,
        context: &mut ReleaseContext<'_, '_>,
        waiting_jobs: &mut [WaitingJob<'_>],
        plan: &mut Plan,
    ) {
        let mut released = 0;
        let mut order = FairShareOrder::new(waiting_jobs);
        while released < MAX_RELEASES_PER_ROUND {
            let Some(next) = order.next_index(waiting_jobs, &plan.usage, context.leader) else {
                break;
            };
            let Some(waiting) = waiting_jobs.get_mut(next) else {
                break;
            };
            released += if waiting.open.job.kind == JobKind::Gang {
                self.release_next_gang(context, waiting, plan)
            } else {
                self.release_next_task(context, waiting, plan)
            };
        }
    }

    /// Releases the whole gang if there is capacity for it. Returns the number of released tasks.
    fn release_next_gang(
        &mut self,
        context: &ReleaseContext<'_, '_>,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
    ) -> usize {
        let ReleaseContext {
            now, leader, cache, ..
        } = *context;
        waiting.blocked = true;
        let eligible_machines = waiting.eligible_machines(leader);
        let price_limit = waiting.price_limit(leader);
        let job = &waiting.open.job;
        let best_effort = &context.best_effort;
        let is_allowed = |c: &Candidate| {
            eligible_machines == EligibleMachines::All || best_effort.allows(job, price_limit, c)
        };
        let requirements = PlacementRequirements::of(
            job,
            &context.zones,
            |zone| job.allows_zone(zone),
            eligible_machines,
        );
        self.release_gang(now, leader, cache, waiting, requirements, is_allowed, plan)
    }

    /// Releases one task of the job if a machine is found for it. Returns the number of released tasks.
    fn release_next_task(
        &mut self,
        context: &mut ReleaseContext<'_, '_>,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
    ) -> usize {
        let index = waiting.assigned_tasks.first_gap(waiting.open.job.tasks);
        let choice = self.choose_placement(context, waiting, plan);
        let (Some(choice), Some(index)) = (choice, index) else {
            waiting.blocked = true;
            return 0;
        };
        let machine = &choice.candidate.machine;
        let block = context.cache.machines.get(machine).map(|m| m.block.clone());
        let (Some(block), Some(candidate_index)) = (block, plan.index_of(machine)) else {
            waiting.blocked = true;
            return 0;
        };
        self.release_to_block(
            context.now,
            waiting,
            plan,
            (block, candidate_index),
            choice,
            index,
        )
    }

    /// Releases a task to the chosen machine if its block has a free slot. Returns the number of released tasks.
    fn release_to_block(
        &mut self,
        now: Now,
        waiting: &mut WaitingJob<'_>,
        plan: &mut Plan,
        (block, candidate_index): (BlockId, usize),
        choice: PlacementChoice,
        index: u32,
    ) -> usize {
        let free_slots = plan.block_slots.get(&block).copied().unwrap_or(0);
        let block_state = self.block_states.get_mut(&block).filter(|_| free_slots > 0);
        let Some(block_state) = block_state else {
            plan.candidates[candidate_index].free = FULL_BLOCK_RESOURCES;
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
        let PlacementChoice {
            candidate,
            preempted,
        } = choice;
        debug!(%attempt, machine = %candidate.machine, "task released");
        block_state.release(now, attempt, candidate.machine, preempted);
        plan.allocate(candidate_index, &block, &waiting.open.job);
        *waiting.tasks_per_zone.entry(candidate.zone).or_default() += 1;
        waiting.assigned_tasks.insert(index);
        waiting.pending_tasks -= 1;
        // An overdue job gets only its first task early; its other tasks are released in a later plan.
        waiting.blocked = waiting.first_task_overdue;
        1
    }

    /// Returns the best machine with free capacity, or one where tasks are preempted.
    fn choose_placement(
        &mut self,
        context: &mut ReleaseContext<'_, '_>,
        waiting: &WaitingJob<'_>,
        plan: &mut Plan,
    ) -> Option<PlacementChoice> {
        let job = &waiting.open.job;
        if !plan.usage.within_limit(context.leader.config, job) {
            return None;
        }
        let allows_zone = |zone: &Zone| allows_task_in_zone(job, &waiting.tasks_per_zone, zone);
        let eligible_machines = waiting.eligible_machines(context.leader);
        let requirements =
            PlacementRequirements::of(job, &context.zones, allows_zone, eligible_machines);
        // If one job found no capacity, jobs with the same requirements find none either: capacity only shrinks while
        // tasks are released.
        if !plan.infeasible.without_capacity.contains(&requirements) {
            if let Some(candidate) = self.best_machine_candidate(
                context,
                waiting,
                plan,
                &requirements,
                eligible_machines,
            ) {
                return Some(PlacementChoice {
                    candidate,
                    preempted: Vec::new(),
                });
            }
            plan.infeasible
                .without_capacity
                .insert(requirements.clone());
        }
        let preemption_key = (requirements, job.team.clone(), job.priority);
        if eligible_machines != EligibleMachines::All
            || plan.infeasible.preemption_failed.contains(&preemption_key)
        {
            return None;
        }
        let ReleaseContext {
            now, leader, cache, ..
        } = *context;
        let victims = context
            .victims
            .get_or_insert_with(|| self.preemption_victims(now, cache));
        let candidates = &plan.candidates;
        let usage_after_stops = &mut plan.usage_after_stops;
        let preemption = self.preempt_for_job(
            now,
            leader,
            candidates,
            usage_after_stops,
            victims,
            job,
            &allows_zone,
        );
        if preemption.is_none() {
            plan.infeasible.preemption_failed.insert(preemption_key);
        }
        preemption.map(PlacementChoice::from)
    }

    /// Returns the best candidate for the next task of the job, from the ranking that jobs with the same requirements and
    /// image share.
    fn best_machine_candidate(
        &self,
        context: &mut ReleaseContext<'_, '_>,
        waiting: &WaitingJob<'_>,
        plan: &Plan,
        requirements: &PlacementRequirements,
        eligible_machines: EligibleMachines,
    ) -> Option<Candidate> {
        let job = &waiting.open.job;
        // A job that keeps failing is ranked on its own, since it prefers machines on which it has not failed yet.
        let id = waiting.id;
        let failing_job = self.failures.keeps_failing(id).then_some(id);
        let key = (requirements.clone(), job.image.clone(), failing_job);
        let (leader, best_effort) = (context.leader, &context.best_effort);
        let ranking = context.rankings.entry(key).or_insert_with(|| {
            let price_limit = waiting.price_limit(leader);
            let is_eligible = |c: &Candidate| {
                eligible_machines == EligibleMachines::All
                    || best_effort.allows(job, price_limit, c)
            };
            let is_allowed = |c: &Candidate| {
                allows_task_in_zone(job, &waiting.tasks_per_zone, &c.zone) && is_eligible(c)
            };
            let is_avoided =
                |c: &Candidate| failing_job.is_some() && self.failures.failed_on(id, &c.machine);
            Ranking::new(&plan.candidates, job, is_allowed, is_avoided)
        });
        ranking.best(&plan.candidates, job).cloned()
    }
}
