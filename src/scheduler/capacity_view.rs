//! Existing and obtainable capacity, and the pool in which the demand of a waiting task is counted.
//!
//! A plan creates one view and queries it for each group of similar waiting tasks; queries change nothing.

use std::collections::{BTreeMap, BTreeSet};

use super::gangs::may_reserve_capacity;
use super::waiting::{WaitingJob, allows_task_in_zone};
use crate::domain::{CapacityType, Job, Now, Zone};
use crate::leader_context::LeaderContext;
use crate::provisioning::{Demand, MachinePool, Provisioner};

/// The cost of placing a task in a pool. Compared field by field in this order; the lowest is best.
#[derive(Debug, PartialEq, PartialOrd)]
struct PlacementCost {
    /// The pool has neither free capacity nor obtainable machines.
    unavailable: bool,
    /// The price of the task's share of a machine, in units of 1/10,000 and rounded, so that prices that differ only by
    /// rounding errors compare as equal.
    task_price: f64,
    machine_price: f64,
}

/// The machines that exist and those that can be obtained, as known to one plan.
pub(super) struct CapacityView<'a> {
    pub(super) now: Now,
    pub(super) leader: &'a LeaderContext<'a>,
    pub(super) provisioner: &'a Provisioner,
    /// The number of machines of each pool, running or requested.
    pub(super) machines: BTreeMap<MachinePool, u32>,
}

impl CapacityView<'_> {
    /// The zone that the demand for a job's next task is counted in, or `None` if all zones are allowed. Of the allowed
    /// zones, one with available capacity is preferred.
    pub(super) fn pinned_zone(&self, waiting: &WaitingJob<'_>) -> Option<Zone> {
        let job = &waiting.open.job;
        let zones: BTreeSet<&Zone> = self
            .leader
            .catalog
            .all()
            .flat_map(|instance_type| &instance_type.zones)
            .collect();
        let is_allowed = |zone: &&Zone| {
            job.allows_zone(zone) && allows_task_in_zone(job, &waiting.tasks_per_zone, zone)
        };
        let allowed: Vec<&Zone> = zones.iter().copied().filter(is_allowed).collect();
        // The scaling rule counts machines of all zones together. A gang that must run in one zone could wait for ever
        // while there is enough capacity in all zones together, but not in any one of them.
        let gang_needs_one_zone = job.one_zone && may_reserve_capacity(waiting);
        if allowed.len() == zones.len() && !gang_needs_one_zone {
            return None;
        }
        let is_available_in = |zone: &&Zone| {
            self.leader
                .catalog
                .all()
                .filter(|instance_type| job.allows_type(&instance_type.name))
                .any(|instance_type| {
                    let capacity_types = [CapacityType::OnDemand, CapacityType::Spot]
                        .into_iter()
                        .filter(|t| job.allows_capacity_type(*t));
                    capacity_types.into_iter().any(|t| {
                        self.provisioner
                            .is_available(self.now, &instance_type.name, zone, t)
                    })
                })
        };
        allowed
            .into_iter()
            .max_by_key(|zone| is_available_in(zone))
            .cloned()
    }

    /// The pool in which a task costs least, and its share of a machine there. Obtainable pools are preferred; at equal
    /// cost the pool with the cheaper machine wins, because smaller machines follow the demand more closely.
    ///
    /// A type without available capacity still counts as obtainable for the tasks that fit on its running and requested
    /// machines. Otherwise a refused request for spare machines moved the whole queue to the next more expensive type.
    ///
    /// `pinned_zone`: the only zone that is allowed, if any. Pools where the task costs more than `price_limit` are
    /// skipped: it waits for cheaper machines.
    pub(super) fn cheapest_pool(
        &self,
        job: &Job,
        demand: &Demand,
        pinned_zone: Option<&Zone>,
        price_limit: f64,
    ) -> Option<(MachinePool, f64)> {
        let mut best: Option<(PlacementCost, (MachinePool, f64))> = None;
        for instance_type in self
            .leader
            .catalog
            .all()
            .filter(|instance_type| job.allows_type(&instance_type.name))
        {
            let tasks_per_machine = instance_type.resources().max_tasks(&job.need);
            if tasks_per_machine == 0 {
                continue;
            }
            let share = 1.0 / f64::from(tasks_per_machine);
            for capacity_type in [CapacityType::OnDemand, CapacityType::Spot]
                .into_iter()
                .filter(|capacity_type| job.allows_capacity_type(*capacity_type))
            {
                let pool = MachinePool::new(instance_type.name.clone(), capacity_type);
                let free_machines = f64::from(self.machines.get(&pool).copied().unwrap_or(0))
                    - demand.for_pool(&pool);
                let available = |zone: &Zone| {
                    pinned_zone.map_or(job.allows_zone(zone), |pinned| pinned == zone)
                        && self.provisioner.is_available(
                            self.now,
                            &instance_type.name,
                            zone,
                            capacity_type,
                        )
                };
                let has_free_capacity = pinned_zone.is_none() && free_machines + 1e-9 >= share;
                let obtainable = has_free_capacity || instance_type.zones.iter().any(available);
                let price = if capacity_type.is_spot() {
                    instance_type.spot_price.0
                } else {
                    instance_type.price.0
                };
                if price * share > price_limit {
                    continue;
                }
                // A pool that is unavailable everywhere is still a candidate: its machines are requested again in each
                // round.
                let cost = PlacementCost {
                    unavailable: !obtainable,
                    task_price: (price * share * 1e4).round(),
                    machine_price: price,
                };
                if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                    best = Some((cost, (pool, share)));
                }
            }
        }
        best.map(|(_, pool_and_share)| pool_and_share)
    }
}
