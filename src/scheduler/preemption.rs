//! Making room: which tasks are stopped for one that waits.

use std::collections::HashMap;
use std::time::Duration;

use tracing::info;

use super::Scheduler;
use super::usage::Usage;
use crate::domain::{Attempt, BlockId, Job, JobKind, MachineId, Now, Zone, since};
use crate::leader_context::LeaderContext;
use crate::placement::Candidate;
use crate::store::WatchCache;

/// Tasks that may be stopping at a time to make room: one for so many machines, and at least so many.
const STOPS_PART: usize = 4;
const STOPS_LEAST: usize = 40;

/// A way to make room on a machine.
struct PreemptionOption<'c, 'v> {
    /// The work that it loses, in CPU seconds.
    cost: f64,
    candidate: &'c Candidate,
    /// The tasks to be preempted there.
    victims: Vec<Victim<'v>>,
}

#[derive(Debug, Clone)]
pub(super) struct Victim<'v> {
    pub(super) lost: f64,
    pub(super) attempt: Attempt,
    pub(super) block: &'v BlockId,
    pub(super) job: &'v Job,
}

pub(super) type Victims<'v> = HashMap<&'v MachineId, Vec<Victim<'v>>>;

/// A machine on which tasks are being stopped to make room, and those tasks.
pub(super) struct MadeRoom {
    pub(super) machine: Candidate,
    pub(super) preempted: Vec<Attempt>,
}

impl Scheduler {
    /// Stops tasks so that one of `job` fits. PROTOCOL allows it for those of lower priority, and for those that
    /// another team runs beyond its guarantee if this team is within its own; of the latter, those of higher
    /// priority are left alone. The cheapest way is taken: the least work lost.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn make_room<'c>(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        candidates: &'c [Candidate],
        kept: &mut Usage,
        victims: &mut Victims<'_>,
        job: &Job,
        allows_task_in_zone: &impl Fn(&Zone) -> bool,
    ) -> Option<MadeRoom> {
        let most = (candidates.len() / STOPS_PART).max(STOPS_LEAST);
        if self
            .block_states
            .values()
            .map(|block_state| block_state.stop_requests.len())
            .sum::<usize>()
            >= most
        {
            return None;
        }
        let LeaderContext { config, policy, .. } = *leader;
        let owed = kept.within_guarantee(config, job);
        let may_stop = |other: &Job| {
            let beyond = kept.beyond_guarantee(config, other);
            // A team beyond its guarantee takes nothing from one that is within: what it took would be owed
            // back at once, and the two would stop each other's tasks in turn.
            let lower = other.priority > job.priority;
            let equal = other.priority == job.priority && other.team != job.team;
            let for_priority = policy.preempt_for_priority && lower && (owed || beyond);
            let for_guarantee = policy.preempt_for_guarantee && owed && beyond && equal;
            for_priority || for_guarantee
        };
        let mut best: Option<PreemptionOption<'c, '_>> = None;
        for candidate in candidates
            .iter()
            .filter(|c| c.allows(job) && allows_task_in_zone(&c.zone))
        {
            let Some(there) = victims.get(&candidate.machine) else {
                continue;
            };
            let mut free = candidate.free;
            let mut cost = if candidate.images.contains(&job.image) {
                0.0
            } else {
                job.image_gb * candidate.fetch_s_per_gb * job.need.cpus
            };
            let mut chosen = Vec::new();
            for victim in there.iter().filter(|victim| may_stop(victim.job)) {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&victim.job.need);
                cost += victim.lost;
                chosen.push(victim.clone());
            }
            if free.fits(&job.need) && best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(PreemptionOption {
                    cost,
                    candidate,
                    victims: chosen,
                });
            }
        }
        let PreemptionOption {
            cost: lost,
            candidate,
            victims: chosen,
        } = best?;
        if let Some(there) = victims.get_mut(&candidate.machine) {
            there.retain(|victim| chosen.iter().all(|chosen| chosen.attempt != victim.attempt));
        }
        let preempted = chosen.iter().map(|victim| victim.attempt).collect();
        for Victim {
            attempt,
            block,
            job: other,
            ..
        } in chosen
        {
            info!(%attempt, machine = %candidate.machine, class = %job.class, lost, "preempted");
            kept.remove(other);
            if let Some(block_state) = self.block_states.get_mut(block) {
                block_state.stop_requests.insert(attempt, now.monotonic);
                block_state.update_pending = true;
            }
        }
        Some(MadeRoom {
            machine: candidate.clone(),
            preempted,
        })
    }

    /// Tasks that could be stopped, by machine, the least work first. Replicas are not among them: one that is
    /// stopped is down, which no start is worth. Nor are tasks of gangs: stopping one would stop them all.
    pub(super) fn victims<'v>(&self, now: Now, cache: &'v WatchCache) -> Victims<'v> {
        let mut victims: Victims<'v> = HashMap::new();
        for (live, attempt) in cache
            .live_placements()
            .flat_map(|live| live.attempts().map(move |attempt| (live, attempt)))
        {
            let Some(open) = cache
                .open
                .get(&attempt.task.job)
                .filter(|open| !open.cancelled)
            else {
                continue;
            };
            let stopping = self
                .block_states
                .get(live.block)
                .is_none_or(|block_state| block_state.stop_requests.contains_key(&attempt));
            if stopping || open.job.kind != JobKind::Array {
                continue;
            }
            let ran = self
                .observed_attempts
                .get(&attempt.number)
                .map_or(Duration::ZERO, |seen| since(now, seen.first_seen));
            let lost = ran.as_secs_f64() * open.job.need.cpus.max(0.1);
            victims.entry(live.id).or_default().push(Victim {
                lost,
                attempt,
                block: live.block,
                job: &open.job,
            });
        }
        for there in victims.values_mut() {
            there.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        }
        victims
    }
}
