//! Best-effort work: that of teams without a guarantee. It runs where machines are cheap and leaves free what guaranteed
//! work needs for its next starts: else it fills every gap, and each start of the others has to wait for a preemption.
//!
//! Asked by the plan for each task and machine; it changes nothing. The settings call such work `opportunistic`.

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

/// A job of which nothing has run for this long gets its first task wherever there is room.
pub(super) const BEST_EFFORT_RESTRICTION_TIME: Duration = Duration::from_secs(45);

/// Whether the job's team has no guarantee, while others have one, and the job is not urgent.
pub(super) fn is_best_effort(config: &Config, job: &Job) -> bool {
    let urgent = matches!(job.priority, Priority::Production | Priority::High);
    let has_guarantee = |cpus: f64, gpus: f64| cpus > 0.0 || gpus > 0.0;
    let of_job = config
        .team(&job.team)
        .is_some_and(|team| has_guarantee(team.cpus, team.gpus));
    let of_others = config
        .teams
        .iter()
        .any(|team| has_guarantee(team.cpus, team.gpus));
    !urgent && !of_job && of_others
}

/// Which machines a job's next task may go to, of those that fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum EligibleMachines {
    All,
    /// Best-effort work that may cost what it will.
    Unreserved,
    /// Best-effort work.
    CheapAndUnreserved,
}

/// What a task of the job costs on machines of a pool. None: it does not fit there or may not go there.
fn price_of(job: &Job, instance_type: &InstanceType, capacity_type: CapacityType) -> Option<f64> {
    let each = instance_type.resources().count_of(&job.need);
    let allowed =
        each > 0 && job.allows_type(&instance_type.name) && job.allows_capacity_type(capacity_type);
    let price = if capacity_type.is_spot() {
        instance_type.spot_price.0
    } else {
        instance_type.price.0
    };
    allowed.then(|| price / f64::from(each))
}

/// The most that a task of the job may cost. Of a best-effort job a multiple of what it costs on the cheapest
/// machines, whether these can be had or not. Those may all be taken for good: if less than half of it got anywhere in
/// a while, the rest may cost what it will. `waited`: since it was accepted; `begun`: its tasks that are done, placed or
/// released.
pub(super) fn price_limit(
    leader: &LeaderContext<'_>,
    job: &Job,
    waited: Duration,
    begun: u64,
) -> f64 {
    let LeaderContext {
        config,
        policy,
        catalog,
        ..
    } = *leader;
    let starved =
        waited >= policy.best_effort_price_limit_duration && begun * 2 < u64::from(job.tasks);
    if !is_best_effort(config, job) || starved {
        return f64::INFINITY;
    }
    let pools = catalog.all().flat_map(|instance_type| {
        [CapacityType::OnDemand, CapacityType::Spot]
            .map(|capacity_type| (instance_type, capacity_type))
    });
    let prices = pools
        .filter_map(|(instance_type, capacity_type)| price_of(job, instance_type, capacity_type));
    // A little more, since equal prices may be computed in different ways.
    prices.fold(f64::INFINITY, f64::min) * policy.best_effort_max_price_ratio * (1.0 + 1e-9)
}

/// Where best-effort work may go.
pub(super) struct BestEffortPlacement<'a> {
    catalog: &'a InstanceCatalog,
    /// Machines whose room is left for the next starts of guaranteed work.
    reserved: HashSet<MachineId>,
}

impl<'a> BestEffortPlacement<'a> {
    /// `guaranteed`: the demand of all other work, in machines. What the rule adds to it as its margin is reserved, on
    /// the machines with the most room.
    pub(super) fn new(
        leader: &LeaderContext<'a>,
        provisioner: &Provisioner,
        runs: &BTreeMap<MachinePool, RunTimes>,
        guaranteed: &BTreeMap<MachinePool, f64>,
        candidates: &[Candidate],
    ) -> Self {
        let mut reserved = HashSet::new();
        for (pool, demand) in guaranteed {
            let Some(instance_type) = leader.catalog.get(&pool.type_name) else {
                continue;
            };
            let eta = provisioner.boot_to_run_ratio(instance_type, runs.get(pool));
            let margin = square_root_rule::headroom(*demand, eta) * leader.policy.headroom;
            reserved.extend(emptiest(candidates, pool, (margin - 1e-9).ceil() as usize));
        }
        BestEffortPlacement {
            catalog: leader.catalog,
            reserved,
        }
    }

    /// Whether a task of a best-effort job may go to this machine.
    pub(super) fn allow(&self, job: &Job, price_limit: f64, candidate: &Candidate) -> bool {
        let instance_type = self.catalog.get(&candidate.type_name);
        let price = instance_type
            .and_then(|instance_type| price_of(job, instance_type, candidate.capacity_type));
        let cheap = price.is_some_and(|price| price <= price_limit);
        cheap && !self.reserved.contains(&candidate.machine)
    }
}

/// The machines of a pool with the most room left, up to so many. Their order is stable, so that room gathers on the
/// same ones from plan to plan.
fn emptiest(
    candidates: &[Candidate],
    pool: &MachinePool,
    count: usize,
) -> impl Iterator<Item = MachineId> {
    let of_pool = candidates
        .iter()
        .filter(|candidate| pool.contains(&candidate.type_name, candidate.capacity_type));
    let mut by_room: Vec<(Reverse<u64>, &MachineId)> = of_pool
        .map(|candidate| {
            // In thousandths, to compare as equal what is.
            let left = (candidate.size.left_over(&candidate.free).max(0.0) * 1000.0).round() as u64;
            (Reverse(left), &candidate.machine)
        })
        .collect();
    by_room.sort();
    by_room
        .into_iter()
        .take(count)
        .map(|(_, machine)| machine.clone())
        .collect::<Vec<_>>()
        .into_iter()
}

#[cfg(test)]
mod tests;
