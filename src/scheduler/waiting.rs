//! Jobs with tasks that wait.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::Scheduler;
use super::best_effort::{
    BEST_EFFORT_RESTRICTION_TIME, EligibleMachines, is_best_effort, price_limit,
};
use crate::domain::{InstanceTypeName, Job, JobId, JobKind, Now, Resources, Zone};
use crate::leader_context::LeaderContext;
use crate::store::WatchCache;
use crate::store::cache::OpenJob;
use crate::store::records::Ranges;

/// A job that has waited this long gets a first task before older jobs of its team and priority get more: when there is
/// far too much work, large jobs would else not begin for many minutes.
pub(super) const FIRST_TASK_OVERDUE_AFTER: Duration = Duration::from_secs(90);

/// What decides where a task may go: tasks of one shape can go to the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PlacementRequirements {
    need: [u64; 3],
    types: Option<Vec<InstanceTypeName>>,
    zone: Option<Zone>,
    spot: bool,
    /// The zones that the job's other tasks leave open.
    eligible_zones: Vec<Zone>,
    eligible_machines: EligibleMachines,
}

impl PlacementRequirements {
    pub(super) fn of(
        job: &Job,
        zones: &BTreeSet<Zone>,
        is_eligible: impl Fn(&Zone) -> bool,
        eligible_machines: EligibleMachines,
    ) -> Self {
        PlacementRequirements {
            need: [job.need.cpus, job.need.gpus, job.need.memory_gb].map(f64::to_bits),
            types: job.types.clone(),
            zone: job.zone.clone(),
            spot: job.spot,
            eligible_zones: zones
                .iter()
                .filter(|zone| is_eligible(zone))
                .cloned()
                .collect(),
            eligible_machines,
        }
    }
}

/// What a task may have and what it takes, in the order in which it is served.
pub(super) struct WaitingJob<'v> {
    pub(super) id: JobId,
    pub(super) open: &'v OpenJob,
    /// Tasks that are neither done, placed nor released.
    pub(super) pending_tasks: u64,
    pub(super) assigned_tasks: Ranges,
    pub(super) tasks_per_zone: BTreeMap<Zone, u32>,
    /// None of its tasks has got anywhere for so long that one goes before its team's other work.
    pub(super) first_task_overdue: bool,
    /// How long ago it was accepted.
    pub(super) waited: Duration,
    pub(super) blocked: bool,
}

impl WaitingJob<'_> {
    /// Where its next task may go. A job that has waited for long, and of which nothing is under way, gets one task
    /// wherever there is room.
    pub(super) fn eligible_machines(&self, leader: &LeaderContext<'_>) -> EligibleMachines {
        let any_active = self.assigned_tasks.len() > self.open.done.len();
        let first_task_late = !any_active && self.waited > BEST_EFFORT_RESTRICTION_TIME;
        if !is_best_effort(leader.config, &self.open.job) || first_task_late {
            EligibleMachines::All
        } else if self.price_limit(leader).is_finite() {
            EligibleMachines::CheapAndUnreserved
        } else {
            EligibleMachines::Unreserved
        }
    }

    /// The most that its tasks may cost.
    pub(super) fn price_limit(&self, leader: &LeaderContext<'_>) -> f64 {
        price_limit(
            leader,
            &self.open.job,
            self.waited,
            self.assigned_tasks.len(),
        )
    }
}

impl Scheduler {
    /// The jobs with tasks that wait, in the order in which they are served within a line.
    pub(super) fn waiting_jobs<'v>(&self, now: Now, cache: &'v WatchCache) -> Vec<WaitingJob<'v>> {
        let mut released: HashMap<JobId, Vec<(u32, Zone)>> = HashMap::new();
        for (block, block_state) in &self.block_states {
            // A block is of one zone, so this holds even when the machine meant is gone: its holder may choose
            // another one.
            let Some(zone) = cache.block_leases.get(block).map(|lease| &lease.value.zone) else {
                continue;
            };
            for release in block_state.releases.values() {
                let task = release.attempt.task;
                released
                    .entry(task.job)
                    .or_default()
                    .push((task.index, zone.clone()));
            }
        }
        let mut placed_counts: HashMap<JobId, u64> = HashMap::new();
        for attempt in cache.live_placements().flat_map(|live| live.attempts()) {
            *placed_counts.entry(attempt.task.job).or_default() += 1;
        }
        let mut waiting_jobs = Vec::new();
        for (id, open) in &cache.open {
            if open.cancelled || self.failures.is_backing_off(now, *id) {
                continue;
            }
            // Most jobs have all their tasks somewhere: they need no closer look.
            let assigned_count = open.done.len() + placed_counts.get(id).copied().unwrap_or(0);
            if !released.contains_key(id) && assigned_count >= u64::from(open.job.tasks) {
                continue;
            }
            let mut assigned_tasks = open.done.clone();
            let mut tasks_per_zone: BTreeMap<Zone, u32> = BTreeMap::new();
            for ((index, _), placement) in cache.placed(*id) {
                // Places on a machine whose record is gone are void.
                if let Some(machine) = cache.machines.get(&placement.machine) {
                    assigned_tasks.insert(*index);
                    *tasks_per_zone.entry(machine.zone.clone()).or_default() += 1;
                }
            }
            for (index, zone) in released.remove(id).unwrap_or_default() {
                assigned_tasks.insert(index);
                *tasks_per_zone.entry(zone).or_default() += 1;
            }
            let mut pending_tasks = u64::from(open.job.tasks).saturating_sub(assigned_tasks.len());
            let is_gang = open.job.kind == JobKind::Gang;
            if is_gang && !assigned_tasks.is_empty() {
                // It is under way, or over, or has to go first.
                continue;
            }
            if self.failures.keeps_failing(*id) && !is_gang {
                let active_tasks = assigned_tasks.len().saturating_sub(open.done.len());
                pending_tasks = pending_tasks.min(1u64.saturating_sub(active_tasks));
            }
            if pending_tasks > 0 {
                let waited =
                    Duration::from_millis(now.unix_ms().saturating_sub(open.job.accepted_ms));
                let first_task_overdue =
                    assigned_tasks.is_empty() && waited > FIRST_TASK_OVERDUE_AFTER;
                waiting_jobs.push(WaitingJob {
                    id: *id,
                    open,
                    pending_tasks,
                    assigned_tasks,
                    tasks_per_zone,
                    first_task_overdue,
                    waited,
                    blocked: false,
                });
            }
        }
        waiting_jobs.sort_by_key(|waiting| {
            (
                waiting.open.job.priority,
                !waiting.first_task_overdue,
                waiting.open.job.accepted_ms,
                waiting.id,
            )
        });
        waiting_jobs
    }
}

/// Whether one more task of the job may go to a zone, given where its others are.
pub(super) fn allows_task_in_zone(
    job: &Job,
    tasks_per_zone: &BTreeMap<Zone, u32>,
    zone: &Zone,
) -> bool {
    let others_elsewhere = tasks_per_zone
        .iter()
        .any(|(other, count)| other != zone && *count > 0);
    let tasks_in_zone = tasks_per_zone.get(zone).copied().unwrap_or(0);
    !(job.one_zone && others_elsewhere) && tasks_in_zone < job.zone_limit()
}

/// The least that any waiting task takes, each resource for itself.
pub(super) fn minimum_need(waiting_jobs: &[WaitingJob<'_>]) -> Option<Resources> {
    let needs = waiting_jobs.iter().map(|waiting| waiting.open.job.need);
    needs.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    })
}
