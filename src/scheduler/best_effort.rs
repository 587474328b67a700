//! Placement rules for best-effort work, which is that of teams without a guarantee.
//!
//! Best-effort tasks run on cheap machines, and leave free the capacity that guaranteed work needs for its next starts.
//! Otherwise they would fill all free capacity, and each start of guaranteed work would wait for a preemption. The rules
//! are evaluated for each task and machine, and change no state. The settings call this work `opportunistic`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceType;
use crate::config::Config;
use crate::domain::{CapacityType, Job, MachineId, Priority};
use crate::leader_context::LeaderContext;
use crate::placement::Candidate;
use crate::provisioning::{MachinePool, Provisioner, RunTimes, square_root_rule};

/// A best-effort job without placed or released tasks that has waited this long may start one task on any machine.
pub(super) const BEST_EFFORT_RESTRICTION_TIME: Duration = Duration::from_secs(45);

/// Whether the job's team has no guarantee while other teams have one, and the job has neither production nor high
/// priority.
pub(super) fn is_best_effort(config: &Config, job: &Job) -> bool {
    let is_urgent = matches!(job.priority, Priority::Production | Priority::High);
    let has_guarantee = |cpus: f64, gpus: f64| cpus > 0.0 || gpus > 0.0;
    let team_has_guarantee = config
        .team_limits(&job.team)
        .is_some_and(|team| has_guarantee(team.guaranteed_cpus, team.guaranteed_gpus));
    let any_has_guarantee = config
        .teams
        .iter()
        .any(|team| has_guarantee(team.guaranteed_cpus, team.guaranteed_gpus));
    !is_urgent && !team_has_guarantee && any_has_guarantee
}

/// The machines that a job's next task may use, among those that fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum EligibleMachines {
    /// All machines.
    All,
    /// Machines not reserved for guaranteed work: for best-effort jobs without a price limit.
    Unreserved,
    /// Machines within the price limit and not reserved: for other best-effort jobs.
    CheapAndUnreserved,
}

/// Returns the price of the share of a machine that a task of the job takes, or `None` if the task does not fit or is not
/// allowed there.
fn task_price(job: &Job, instance_type: &InstanceType, capacity_type: CapacityType) -> Option<f64> {
    let tasks_per_machine = instance_type.resources().max_tasks(&job.need);
    let is_allowed = tasks_per_machine > 0
        && job.allows_type(&instance_type.name)
        && job.allows_capacity_type(capacity_type);
    let price = if capacity_type.is_spot() {
        instance_type.spot_price.0
    } else {
        instance_type.price.0
    };
    is_allowed.then(|| price / f64::from(tasks_per_machine))
}

/// Returns the maximum price of a task of the job. For a best-effort job this is a multiple of the price on the cheapest
/// machines, whether these are available or not. Since other work may occupy the cheapest machines for good, the limit
/// no longer applies if less than half of the tasks are assigned after the configured duration. `waited` is the time
/// since the job was accepted, `assigned_tasks` the number of its tasks that are done, placed or released.
pub(super) fn price_limit(
    leader: &LeaderContext<'_>,
    job: &Job,
    waited: Duration,
    assigned_tasks: u64,
) -> f64 {
    let LeaderContext {
        config,
        policy,
        catalog,
        ..
    } = *leader;
    let is_starved = waited >= policy.best_effort_price_limit_duration
        && assigned_tasks * 2 < u64::from(job.tasks);
    if !is_best_effort(config, job) || is_starved {
        return f64::INFINITY;
    }
    let machine_pools = catalog.all().flat_map(|instance_type| {
        [CapacityType::OnDemand, CapacityType::Spot]
            .map(|capacity_type| (instance_type, capacity_type))
    });
    let prices = machine_pools
        .filter_map(|(instance_type, capacity_type)| task_price(job, instance_type, capacity_type));
    // The tolerance covers rounding, since equal prices may be computed in different ways.
    prices.fold(f64::INFINITY, f64::min) * policy.best_effort_max_price_ratio * (1.0 + 1e-9)
}

/// Decides which machines best-effort tasks may use.
pub(super) struct BestEffortPlacement<'a> {
    catalog: &'a InstanceCatalog,
    /// Machines kept free of best-effort tasks for the next starts of guaranteed work.
    reserved_machines: HashSet<MachineId>,
}

impl<'a> BestEffortPlacement<'a> {
    /// Reserves machines for guaranteed work: as many as the headroom that the scale-out rule adds to
    /// `guaranteed_demand` (the demand of all other work, in machines), chosen by the most free capacity.
    pub(super) fn new(
        leader: &LeaderContext<'a>,
        provisioner: &Provisioner,
        run_times: &BTreeMap<MachinePool, RunTimes>,
        guaranteed_demand: &BTreeMap<MachinePool, f64>,
        candidates: &[Candidate],
    ) -> Self {
        let mut reserved_machines = HashSet::new();
        for (pool, demand) in guaranteed_demand {
            let Some(instance_type) = leader.catalog.get(&pool.type_name) else {
                continue;
            };
            let boot_to_run_ratio =
                provisioner.boot_to_run_ratio(instance_type, run_times.get(pool));
            let headroom_machines =
                square_root_rule::headroom(*demand, boot_to_run_ratio) * leader.policy.headroom;
            reserved_machines.extend(machines_with_most_capacity(
                candidates,
                pool,
                (headroom_machines - 1e-9).ceil() as usize,
            ));
        }
        BestEffortPlacement {
            catalog: leader.catalog,
            reserved_machines,
        }
    }

    /// Whether a task of a best-effort job may use this machine.
    pub(super) fn allows(&self, job: &Job, price_limit: f64, candidate: &Candidate) -> bool {
        let instance_type = self.catalog.get(&candidate.type_name);
        let price = instance_type
            .and_then(|instance_type| task_price(job, instance_type, candidate.capacity_type));
        let is_cheap = price.is_some_and(|price| price <= price_limit);
        is_cheap && !self.reserved_machines.contains(&candidate.machine)
    }
}

/// Returns up to `count` machines of a pool with the most free capacity. Their order is stable, so that free capacity
/// accumulates on the same machines from plan to plan.
fn machines_with_most_capacity(
    candidates: &[Candidate],
    pool: &MachinePool,
    count: usize,
) -> impl Iterator<Item = MachineId> {
    let pool_candidates = candidates
        .iter()
        .filter(|candidate| pool.contains(&candidate.type_name, candidate.capacity_type));
    let mut by_free_capacity: Vec<(Reverse<u64>, &MachineId)> = pool_candidates
        .map(|candidate| {
            // Rounded to thousandths, so that equal amounts compare as equal in spite of rounding errors.
            let free_thousandths =
                (candidate.size.free_share(&candidate.free).max(0.0) * 1000.0).round() as u64;
            (Reverse(free_thousandths), &candidate.machine)
        })
        .collect();
    by_free_capacity.sort();
    by_free_capacity
        .into_iter()
        .take(count)
        .map(|(_, machine)| machine.clone())
        .collect::<Vec<_>>()
        .into_iter()
}

#[cfg(test)]
mod tests;
