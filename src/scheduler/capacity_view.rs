//! The capacity there is and that can be had, and in which pool a waiting task's demand is counted by it.
//!
//! Made anew for each plan, which asks it for each kind of task that waits; it changes nothing.

use std::collections::{BTreeMap, BTreeSet};

use super::gangs::may_reserve_capacity;
use super::waiting::{WaitingJob, allows_task_in_zone};
use crate::domain::{CapacityType, Job, Now, Zone};
use crate::leader_context::LeaderContext;
use crate::provisioning::{Demand, MachinePool, Provisioner};

/// What placing a task in a pool costs. Compared in the order of the fields; the least is best.
#[derive(Debug, PartialEq, PartialOrd)]
struct PlacementCost {
    unavailable: bool,
    /// The price of the task's share, in hundredths of hundredths: equal prices for each task must compare as equal.
    task_price: f64,
    machine_price: f64,
}

/// The machines that there are and that can be had, as known in one plan.
pub(super) struct CapacityView<'a> {
    pub(super) now: Now,
    pub(super) leader: &'a LeaderContext<'a>,
    pub(super) provisioner: &'a Provisioner,
    /// Machines of each pool, up or requested.
    pub(super) machines: BTreeMap<MachinePool, u32>,
}

impl CapacityView<'_> {
    /// The zone that a job's next task has to go to, if not all zones will do: one that has machines to give, if
    /// any of those that will do has.
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
        // The rule counts machines of all zones alike: a gang that must be in one could wait for ever beside enough room
        // in all of them together.
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

    /// Where a task costs least among what can be had, and its share of a machine there. Of equals, the smaller
    /// machines: they follow the demand more closely.
    ///
    /// A type that has run out still serves what its machines, up or on order, have room for. Without that, a
    /// refused order for spare machines moved the whole queue to the next dearer type.
    ///
    /// A task that costs more than `price_limit` there waits for cheaper machines.
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
            let tasks_per_machine = instance_type.resources().count_of(&job.need);
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
                // What has run out everywhere is still asked for, again each round.
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
