//! Waiting jobs: collects the open jobs with pending tasks, sorts them, and states where their tasks may run.

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
use crate::store::records::TaskRanges;

/// A job without any assigned task that has waited this long gets its first task before older jobs of its team and
/// priority get more tasks. Otherwise, under heavy overload, large jobs would not begin for many minutes.
pub(super) const FIRST_TASK_OVERDUE_AFTER: Duration = Duration::from_secs(90);

/// The requirements that decide where a task may run. Tasks with equal requirements can use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PlacementRequirements {
    /// CPUs, GPUs and memory, as the bits of their floating-point values.
    need: [u64; 3],
    types: Option<Vec<InstanceTypeName>>,
    zone: Option<Zone>,
    spot: bool,
    /// The zones in which the job's other tasks allow one more task.
    eligible_zones: Vec<Zone>,
    eligible_machines: EligibleMachines,
}

impl PlacementRequirements {
    /// Returns the requirements of the next task of a job.
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

/// A job with pending tasks, and the state of its release decisions in the current plan.
pub(super) struct WaitingJob<'v> {
    pub(super) id: JobId,
    pub(super) open: &'v OpenJob,
    /// The number of tasks that are neither done, placed nor released.
    pub(super) pending_tasks: u64,
    /// The indexes of tasks that are done, placed or released.
    pub(super) assigned_tasks: TaskRanges,
    /// The number of placed and released tasks by zone.
    pub(super) tasks_per_zone: BTreeMap<Zone, u32>,
    /// No task was assigned within [`FIRST_TASK_OVERDUE_AFTER`], so one is released before other work of the team.
    pub(super) first_task_overdue: bool,
    /// The time since the job was accepted.
    pub(super) waited: Duration,
    /// No more tasks of the job are released in this plan.
    pub(super) blocked: bool,
}

impl WaitingJob<'_> {
    /// Returns the machines that the next task may use. A job that has waited for [`BEST_EFFORT_RESTRICTION_TIME`] and
    /// has no placed or released task may use any machine for one task.
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

    /// Returns the maximum price of a task.
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
    /// Returns the jobs with pending tasks, in the order in which jobs of the same team, priority, kind and class get
    /// releases.
    pub(super) fn waiting_jobs<'v>(&self, now: Now, cache: &'v WatchCache) -> Vec<WaitingJob<'v>> {
        let mut released: HashMap<JobId, Vec<(u32, Zone)>> = HashMap::new();
        for (block, block_state) in &self.block_states {
            // All machines of a block are in one zone, so the zone is right even if the machine of the release no longer
            // exists and the holder chooses another one.
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
        for (id, open) in &cache.open_jobs {
            if open.cancelled || self.failures.is_backing_off(now, *id) {
                continue;
            }
            // Skips most jobs early, since all their tasks are done or placed.
            let assigned_count = open.done.len() + placed_counts.get(id).copied().unwrap_or(0);
            if !released.contains_key(id) && assigned_count >= u64::from(open.job.tasks) {
                continue;
            }
            let mut assigned_tasks = open.done.clone();
            let mut tasks_per_zone: BTreeMap<Zone, u32> = BTreeMap::new();
            for ((index, _), placement) in cache.job_placements(*id) {
                // Placements on a machine without a record are void.
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
                // A gang with assigned tasks is running, done, or must be stopped before a new attempt.
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

/// Whether one more task of the job may run in a zone, given the number of its other tasks by zone.
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

/// Returns the minimum need of the waiting jobs, separately for each resource.
pub(super) fn minimum_need(waiting_jobs: &[WaitingJob<'_>]) -> Option<Resources> {
    let needs = waiting_jobs.iter().map(|waiting| waiting.open.job.need);
    needs.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    })
}
