//! Preemption: selects running tasks to stop so that a waiting task fits.

use std::collections::HashMap;
use std::time::Duration;

use tracing::info;

use super::Scheduler;
use super::usage::Usage;
use crate::domain::{Attempt, BlockId, Job, JobKind, MachineId, Now, Zone, since};
use crate::leader_context::LeaderContext;
use crate::placement::Candidate;
use crate::store::WatchCache;

/// At most one task may be stopping at a time for this many machines.
const MACHINES_PER_CONCURRENT_STOP: usize = 4;
/// The number of tasks that may be stopping at a time, however few machines there are.
const MIN_CONCURRENT_STOPS: usize = 40;

/// A set of tasks on one machine whose preemption would make the waiting task fit.
struct PreemptionOption<'c, 'v> {
    /// The lost work and the time to fetch the image, in CPU seconds.
    cost_cpu_s: f64,
    candidate: &'c Candidate,
    /// The tasks to preempt.
    victims: Vec<Victim<'v>>,
}

/// A running task that may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Victim<'v> {
    /// The work that is lost if it is stopped, in CPU seconds.
    pub(super) lost_cpu_s: f64,
    pub(super) attempt: Attempt,
    pub(super) block: &'v BlockId,
    pub(super) job: &'v Job,
}

/// Tasks that may be preempted, by machine, those with the least lost work first.
pub(super) type VictimsByMachine<'v> = HashMap<&'v MachineId, Vec<Victim<'v>>>;

/// A machine chosen for preemption, and the tasks that are stopped there.
pub(super) struct Preemption {
    pub(super) candidate: Candidate,
    pub(super) preempted: Vec<Attempt>,
}

impl Scheduler {
    /// Stops tasks so that a task of `job` fits. PROTOCOL allows preempting tasks of lower priority, and tasks that
    /// another team runs beyond its guarantee while this team is within its own guarantee; of the latter, tasks of
    /// higher priority are not preempted. Chooses the machine where preemption costs the least, mostly in lost work.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn preempt_for_job<'c>(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        candidates: &'c [Candidate],
        usage_after_stops: &mut Usage,
        victims: &mut VictimsByMachine<'_>,
        job: &Job,
        allows_zone: &impl Fn(&Zone) -> bool,
    ) -> Option<Preemption> {
        let max_stops = (candidates.len() / MACHINES_PER_CONCURRENT_STOP).max(MIN_CONCURRENT_STOPS);
        if self
            .block_states
            .values()
            .map(|block_state| block_state.stop_requests.len())
            .sum::<usize>()
            >= max_stops
        {
            return None;
        }
        let LeaderContext { config, policy, .. } = *leader;
        let within_guarantee = usage_after_stops.within_guarantee(config, job);
        let may_preempt = |victim_job: &Job| {
            let beyond_guarantee = usage_after_stops.beyond_guarantee(config, victim_job);
            // A team beyond its guarantee does not preempt tasks of a team within its guarantee: that team could
            // preempt back at once, and the two would keep stopping each other's tasks.
            let lower_priority = victim_job.priority > job.priority;
            let other_team_same_priority =
                victim_job.priority == job.priority && victim_job.team != job.team;
            let for_priority = policy.preempt_for_priority
                && lower_priority
                && (within_guarantee || beyond_guarantee);
            let for_guarantee = policy.preempt_for_guarantee
                && within_guarantee
                && beyond_guarantee
                && other_team_same_priority;
            for_priority || for_guarantee
        };
        let mut best: Option<PreemptionOption<'c, '_>> = None;
        for candidate in candidates
            .iter()
            .filter(|c| c.allows(job) && allows_zone(&c.zone))
        {
            let Some(machine_victims) = victims.get(&candidate.machine) else {
                continue;
            };
            let mut free = candidate.free;
            let mut cost_cpu_s = if candidate.images.contains(&job.image) {
                0.0
            } else {
                job.image_gb * candidate.fetch_s_per_gb * job.need.cpus
            };
            let mut chosen = Vec::new();
            for victim in machine_victims
                .iter()
                .filter(|victim| may_preempt(victim.job))
            {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&victim.job.need);
                cost_cpu_s += victim.lost_cpu_s;
                chosen.push(victim.clone());
            }
            if free.fits(&job.need)
                && best
                    .as_ref()
                    .is_none_or(|best| cost_cpu_s < best.cost_cpu_s)
            {
                best = Some(PreemptionOption {
                    cost_cpu_s,
                    candidate,
                    victims: chosen,
                });
            }
        }
        let PreemptionOption {
            cost_cpu_s,
            candidate,
            victims: chosen,
        } = best?;
        if let Some(machine_victims) = victims.get_mut(&candidate.machine) {
            machine_victims
                .retain(|victim| chosen.iter().all(|chosen| chosen.attempt != victim.attempt));
        }
        let preempted = chosen.iter().map(|victim| victim.attempt).collect();
        for Victim {
            attempt,
            block,
            job: victim_job,
            ..
        } in chosen
        {
            info!(%attempt, machine = %candidate.machine, class = %job.class, cost_cpu_s, "preempting task");
            usage_after_stops.remove(victim_job);
            if let Some(block_state) = self.block_states.get_mut(block) {
                block_state.stop_requests.insert(attempt, now.monotonic);
                block_state.update_pending = true;
            }
        }
        Some(Preemption {
            candidate: candidate.clone(),
            preempted,
        })
    }

    /// Returns the tasks that could be preempted, by machine, those with the least lost work first. Replicas are
    /// excluded, since a service that is down costs more than any earlier start gains. Tasks of gangs are excluded, since
    /// stopping one would stop the whole gang.
    pub(super) fn preemption_victims<'v>(
        &self,
        now: Now,
        cache: &'v WatchCache,
    ) -> VictimsByMachine<'v> {
        let mut victims: VictimsByMachine<'v> = HashMap::new();
        for (live, attempt) in cache
            .live_placements()
            .flat_map(|live| live.attempts().map(move |attempt| (live, attempt)))
        {
            let Some(open) = cache
                .open_jobs
                .get(&attempt.task.job)
                .filter(|open| !open.cancelled)
            else {
                continue;
            };
            let is_stopping = self
                .block_states
                .get(live.block)
                .is_none_or(|block_state| block_state.stop_requests.contains_key(&attempt));
            if is_stopping || open.job.kind != JobKind::Array {
                continue;
            }
            let run_time = self
                .observed_attempts
                .get(&attempt.number)
                .map_or(Duration::ZERO, |observed| since(now, observed.first_seen));
            let lost_cpu_s = run_time.as_secs_f64() * open.job.need.cpus.max(0.1);
            victims.entry(live.id).or_default().push(Victim {
                lost_cpu_s,
                attempt,
                block: live.block,
                job: &open.job,
            });
        }
        for machine_victims in victims.values_mut() {
            machine_victims.sort_by(|a, b| a.lost_cpu_s.total_cmp(&b.lost_cpu_s));
        }
        victims
    }
}
