//! The demand for machines of each pool: that of placed and released tasks, and that of waiting tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Scheduler;
use super::best_effort::{EligibleMachines, is_best_effort};
use super::capacity_view::CapacityView;
use super::usage::Usage;
use super::waiting::{PlacementRequirements, WaitingJob};
use crate::domain::{Job, Team, Zone};
use crate::leader_context::LeaderContext;
use crate::provisioning::{Demand, MachinePool};
use crate::store::cache::OpenJob;
use crate::store::{Machine, WatchCache};

/// The waiting tasks of one group are counted in at most this many steps: a job can have up to 100,000 tasks.
const MAX_STEPS_PER_GROUP: u64 = 64;

/// The usage and demand of the tasks that are placed or released.
#[derive(Default)]
pub(super) struct CurrentLoad {
    pub(super) usage: Usage,
    /// The demand of all tasks that are not best-effort, in machines.
    pub(super) guaranteed_demand: BTreeMap<MachinePool, f64>,
    pub(super) demand: Demand,
}

/// A task on an on-demand machine that may run on a spot machine, and its share of its present machine.
struct SpotEligibleTask<'v> {
    open: &'v OpenJob,
    pool: MachinePool,
    share: f64,
}

impl CurrentLoad {
    /// Counts a task. If it runs on an on-demand machine but may run on a spot machine, it is not added to the demand but
    /// returned: it is no reason to keep an on-demand machine.
    fn count<'v>(
        &mut self,
        leader: &LeaderContext<'_>,
        machine: &Machine,
        open: &'v OpenJob,
    ) -> Option<SpotEligibleTask<'v>> {
        self.usage.add(&open.job);
        let instance_type = leader.catalog.get(&machine.type_name)?;
        let share = 1.0 / f64::from(instance_type.resources().max_tasks(&open.job.need).max(1));
        let pool = MachinePool::new(machine.type_name.clone(), machine.capacity_type);
        if !is_best_effort(leader.config, &open.job) {
            *self.guaranteed_demand.entry(pool.clone()).or_default() += share;
        }
        if open.job.spot && !machine.capacity_type.is_spot() {
            return Some(SpotEligibleTask { open, pool, share });
        }
        self.demand.add(pool, share);
        None
    }
}

impl Scheduler {
    /// Counts all placed and released tasks.
    pub(super) fn current_load(
        &self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
    ) -> CurrentLoad {
        let mut load = CurrentLoad::default();
        load.demand.run_times = self.run_times.clone();
        let mut spot_eligible_tasks = Vec::new();
        for live in cache.live_placements() {
            load.demand.occupied.insert(live.id.clone());
            for open in live
                .attempts()
                .filter_map(|attempt| cache.open_jobs.get(&attempt.task.job))
            {
                spot_eligible_tasks.extend(load.count(capacity.leader, live.machine, open));
            }
        }
        for release in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
        {
            load.demand.occupied.insert(release.machine.clone());
            let Some(open) = cache.open_jobs.get(&release.attempt.task.job) else {
                continue;
            };
            match cache.machines.get(&release.machine) {
                Some(machine) => {
                    spot_eligible_tasks.extend(load.count(capacity.leader, machine, open))
                }
                // The machine no longer exists, but the holder may still place the task on another one.
                None => load.usage.add(&open.job),
            }
        }
        for SpotEligibleTask { open, pool, share } in spot_eligible_tasks {
            let cheapest = capacity.cheapest_pool(&open.job, &load.demand, None, f64::INFINITY);
            let (pool, share) = cheapest.unwrap_or((pool, share));
            load.demand.add(pool, share);
        }
        load
    }
}

/// Adds the demand of the waiting tasks that fit within their team's limit, each in the cheapest obtainable pool.
pub(super) fn add_pending_demand(
    capacity: &CapacityView<'_>,
    queue: &[WaitingJob<'_>],
    usage: &mut Usage,
    demand: &mut Demand,
) {
    // Jobs with the same requirements, team and zone form one group, at the position of the first of them.
    let mut groups: Vec<(&Job, Option<Zone>, f64, u64)> = Vec::new();
    let mut group_indexes: HashMap<(PlacementRequirements, &Team, Option<Zone>), usize> =
        HashMap::new();
    for waiting in queue {
        let job = &waiting.open.job;
        let pinned_zone = capacity.pinned_zone(waiting);
        let price_limit = waiting.price_limit(capacity.leader);
        let eligible_machines = if price_limit.is_finite() {
            EligibleMachines::CheapAndUnreserved
        } else {
            EligibleMachines::All
        };
        let requirements =
            PlacementRequirements::of(job, &BTreeSet::new(), |_| true, eligible_machines);
        let index = *group_indexes
            .entry((requirements, &job.team, pinned_zone.clone()))
            .or_insert_with(|| {
                groups.push((job, pinned_zone, price_limit, 0));
                groups.len() - 1
            });
        groups[index].3 += waiting.pending_tasks;
    }
    for (job, pinned_zone, price_limit, tasks) in groups {
        let mut tasks = tasks.min(usage.tasks_within_limit(capacity.leader.config, job));
        let step = tasks.div_ceil(MAX_STEPS_PER_GROUP).max(1);
        while tasks > 0 {
            let count = step.min(tasks);
            tasks -= count;
            let Some((pool, share)) =
                capacity.cheapest_pool(job, demand, pinned_zone.as_ref(), price_limit)
            else {
                break;
            };
            usage.add_tasks(job, count as f64);
            let machines = share * count as f64;
            match &pinned_zone {
                Some(zone) => demand.add_pinned(pool, zone.clone(), machines),
                None => demand.add(pool, machines),
            }
        }
    }
}
