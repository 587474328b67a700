//! A round of the scale-out rule, which decides which machines are requested and which are returned.
//!
//! Runs when no other write of the provisioner is due, at most once in each `scaling_interval` of the policy. Its
//! result is one transaction with at most one pending rental for each instance type, and with machines marked as
//! returning.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tracing::{debug, info};

use super::inventory_edits::InventoryEdits;
use super::{Demand, MachinePool, Provisioner, RunTimes, ZonedPool, square_root_rule};
use crate::cloud::wire::InstanceType;
use crate::domain::{BlockId, CapacityType, MachineId, Now, Zone, since};
use crate::leader_context::LeaderContext;
use crate::store::records::{MachineState, PendingRental, pending_rental_key};
use crate::store::{Machine, Transaction, WatchCache};

/// Limit of the cloud's protocol for the machines of one scale-out request.
const MAX_MACHINES_PER_SCALE_OUT: i64 = 50;
/// Fractions of a machine below this are rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Minimum boot time used in the scale-out rule, in seconds.
const MIN_BOOT_S: f64 = 0.1;

/// The inputs of the provisioner's decisions in a round.
#[derive(Clone, Copy)]
pub(super) struct ProvisioningContext<'a> {
    pub(super) now: Now,
    pub(super) leader: &'a LeaderContext<'a>,
    pub(super) cache: &'a WatchCache,
    pub(super) demand: &'a Demand,
}

impl<'a> ProvisioningContext<'a> {
    /// Edits of at most as many inventories as the rate limit of writes allows.
    pub(super) fn batched_edits(self) -> InventoryEdits<'a> {
        InventoryEdits::with_limit(
            self.leader,
            self.cache,
            self.demand,
            self.leader.max_changes,
        )
    }
}

/// The result of the scale-out rule for a pool.
struct Recommendation {
    /// The demand that the rule was applied to, in machines.
    demand: f64,
    /// Machines to rent; if negative, machines to return.
    machines_to_add: i64,
}

/// A zone with waiting tasks that can't run in another one.
struct ZoneShortage {
    zone: Zone,
    /// The machines that still have to be requested for them.
    count: i64,
}

/// The machines that a pool lacks.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Shortage {
    pub(super) capacity_type: CapacityType,
    /// The only zone in which some of the waiting tasks can run.
    zone: Option<Zone>,
    count: i64,
    /// Whether the demand itself exceeds the capacity, not only the demand plus its margin.
    demand_unmet: bool,
    /// Whether some of the machines are believed to be available.
    obtainable: bool,
}

impl Shortage {
    /// Returns the shortage to request machines for, since each instance type gets one request in a round. Obtainable
    /// shortages come first: unavailable capacity must not block requests for the other capacity type, however many
    /// machines it lacks.
    pub(super) fn most_urgent(
        shortages: impl IntoIterator<Item = Option<Shortage>>,
    ) -> Option<Shortage> {
        shortages
            .into_iter()
            .flatten()
            .max_by_key(|shortage| (shortage.obtainable, shortage.count))
    }
}

impl Provisioner {
    /// Runs a round of the rule if the interval has passed, and adds its decisions to the transaction.
    pub(super) fn run_scaling_round(
        &mut self,
        context: ProvisioningContext<'_>,
        mut txn: Transaction,
    ) -> Option<Transaction> {
        let ProvisioningContext {
            now, leader, cache, ..
        } = context;
        let too_early = |at| since(now, at) < leader.policy.scaling_interval;
        if !cache.is_current_as_of(self.term_started_at)
            || self.last_scaling_round.is_some_and(too_early)
        {
            return None;
        }
        self.last_scaling_round = Some(now.monotonic);
        let capacity = self.capacity_by_pool(cache);
        // One change is kept for the rental of each type; the others are for blocks with returned machines.
        let max_edits = leader
            .max_changes
            .saturating_sub(leader.catalog.all().count())
            .max(1);
        let mut edits = InventoryEdits::with_limit(leader, cache, context.demand, max_edits);
        let mut scale_out_requested = false;
        for instance_type in leader
            .catalog
            .all()
            .filter(|instance_type| !cache.pending_rentals.contains_key(&instance_type.name))
        {
            let shortages = [CapacityType::OnDemand, CapacityType::Spot].map(|capacity_type| {
                let pool = MachinePool::new(instance_type.name.clone(), capacity_type);
                let available = capacity.get(&pool).copied().unwrap_or(0);
                self.mark_surplus_returning(context, &pool, available, &mut edits);
                self.shortage(context, instance_type, &pool, available)
            });
            if let Some(pending_rental) = Shortage::most_urgent(shortages)
                .and_then(|shortage| self.request_scale_out(context, instance_type, shortage))
            {
                let key = pending_rental_key(&instance_type.name);
                txn = txn
                    .require_version(key.clone(), 0)
                    .put(key, &pending_rental);
                scale_out_requested = true;
            }
        }
        (scale_out_requested || edits.has_edits()).then(|| edits.apply(txn))
    }

    /// Marks the surplus machines of a pool as returning.
    fn mark_surplus_returning(
        &self,
        context: ProvisioningContext<'_>,
        pool: &MachinePool,
        available: u32,
        edits: &mut InventoryEdits<'_>,
    ) {
        let Recommendation {
            demand: needed,
            machines_to_add,
        } = self.apply_scale_out_rule(context, pool, available);
        let Ok(surplus) = usize::try_from(-machines_to_add) else {
            return;
        };
        for id in self.returnable_machines(context, pool, surplus) {
            if edits.set_state(&id, MachineState::Returning) {
                info!(machine = %id, type_name = %pool.type_name, capacity_type = ?pool.capacity_type, needed, available, "scale-in requested");
            }
        }
    }

    /// Applies the scale-out rule to a pool.
    fn apply_scale_out_rule(
        &self,
        context: ProvisioningContext<'_>,
        pool: &MachinePool,
        available: u32,
    ) -> Recommendation {
        let ProvisioningContext { leader, demand, .. } = context;
        let eta = leader
            .catalog
            .get(&pool.type_name)
            .map_or(1.0, |instance_type| {
                self.boot_to_run_ratio(instance_type, demand.run_times.get(pool))
            });
        let demand = demand.for_pool(pool);
        let headroom = leader.policy.headroom;
        Recommendation {
            demand,
            machines_to_add: square_root_rule::machines_to_add(demand, available, eta, headroom),
        }
    }

    /// Returns the shortage of a pool, if there is one. `available`: its machines that are up or requested.
    pub(super) fn shortage(
        &self,
        context: ProvisioningContext<'_>,
        instance_type: &InstanceType,
        pool: &MachinePool,
        available: u32,
    ) -> Option<Shortage> {
        let Recommendation {
            demand: needed,
            machines_to_add,
        } = self.apply_scale_out_rule(context, pool, available);
        // The rule counts the machines of all zones. Tasks that can only run in one zone may lack machines there while
        // machines in other zones are idle.
        let zone_shortage = self.zone_shortage(context, pool);
        let count =
            machines_to_add.max(zone_shortage.as_ref().map_or(0, |shortage| shortage.count));
        if count <= 0 {
            return None;
        }
        let has_capacity = |zone: &Zone| {
            self.is_available(context.now, &instance_type.name, zone, pool.capacity_type)
        };
        let zone = zone_shortage.map(|shortage| shortage.zone);
        let obtainable = match &zone {
            Some(zone) => has_capacity(zone),
            None => instance_type.zones.iter().any(has_capacity),
        };
        debug!(type_name = %pool.type_name, capacity_type = ?pool.capacity_type, needed, available, count, obtainable, "machine shortage");
        Some(Shortage {
            capacity_type: pool.capacity_type,
            zone,
            count,
            demand_unmet: needed > f64::from(available),
            obtainable,
        })
    }

    /// Returns the rental for a shortage, unless the same capacity was requested without success shortly before.
    fn request_scale_out(
        &mut self,
        context: ProvisioningContext<'_>,
        instance_type: &InstanceType,
        shortage: Shortage,
    ) -> Option<PendingRental> {
        let ProvisioningContext {
            now, leader, cache, ..
        } = context;
        let Shortage {
            capacity_type,
            zone,
            count,
            demand_unmet,
            ..
        } = shortage;
        let zone = zone
            .or_else(|| self.choose_zone(now, instance_type, capacity_type, demand_unmet, cache))?;
        if self.is_drained(&instance_type.name, &zone) {
            return None;
        }
        if !self.is_available(now, &instance_type.name, &zone, capacity_type)
            && !self
                .unavailable
                .try_probe(now, &instance_type.name, leader.has_spare_writes)
        {
            return None;
        }
        self.last_request_number += 1;
        let pending_rental = PendingRental {
            request: format!("r-{}-{}", self.term, self.last_request_number),
            zone,
            capacity_type,
            count: u32::try_from(count.min(MAX_MACHINES_PER_SCALE_OUT)).unwrap_or(1),
        };
        info!(request = %pending_rental.request, type_name = %instance_type.name, zone = %pending_rental.zone, ?capacity_type, count, "scale-out requested");
        Some(pending_rental)
    }

    /// Returns the zone that lacks the most machines for tasks which can only run there, among the zones with
    /// available capacity.
    fn zone_shortage(
        &self,
        context: ProvisioningContext<'_>,
        pool: &MachinePool,
    ) -> Option<ZoneShortage> {
        let ProvisioningContext {
            now, cache, demand, ..
        } = context;
        let booting_in = |zone: &Zone| {
            let is_in_zoned_pool = |machine: &Machine| {
                pool.contains(&machine.type_name, machine.capacity_type)
                    && machine.zone == *zone
                    && machine.state.takes_tasks()
            };
            cache
                .machines
                .iter()
                .filter(|(id, machine)| is_in_zoned_pool(machine) && self.machines.is_booting(id))
                .count() as i64
        };
        let has_capacity =
            |zone: &Zone| self.is_available(now, &pool.type_name, zone, pool.capacity_type);
        demand
            .pinned
            .iter()
            .filter(|(zoned, _)| zoned.pool == *pool && has_capacity(&zoned.zone))
            .map(|(ZonedPool { zone, .. }, machines)| ZoneShortage {
                zone: zone.clone(),
                count: (machines - ROUNDING_TOLERANCE).ceil() as i64 - booting_in(zone),
            })
            .filter(|shortage| shortage.count > 0)
            .max_by_key(|shortage| shortage.count)
    }

    /// Returns `eta` of the scale-out rule: the expected boot time divided by the mean run time. Both are measured.
    /// The mean run time includes one task that ran for one boot time, so that the ratio is 1 until tasks have been
    /// measured.
    #[must_use]
    pub fn boot_to_run_ratio(
        &self,
        instance_type: &InstanceType,
        run_times: Option<&RunTimes>,
    ) -> f64 {
        let boot_s = self
            .machines
            .boot_tracker
            .expected_boot_time(instance_type)
            .as_secs_f64()
            .max(MIN_BOOT_S);
        let RunTimes { total, ended } = run_times.copied().unwrap_or_default();
        let mean_run_s = (total.as_secs_f64() + boot_s) / (f64::from(ended) + 1.0);
        boot_s / mean_run_s
    }

    /// Returns up to `count` machines of a pool that may be returned.
    fn returnable_machines(
        &self,
        context: ProvisioningContext<'_>,
        pool: &MachinePool,
        count: usize,
    ) -> Vec<MachineId> {
        let ProvisioningContext {
            now,
            leader,
            cache,
            demand,
        } = context;
        let min_rental_ms = u64::try_from(leader.policy.min_rental.as_millis()).unwrap_or(u64::MAX);
        let boot_s = leader
            .catalog
            .get(&pool.type_name)
            .map_or(0.0, |instance_type| instance_type.boot_s.0);
        let min_idle_time = Duration::from_secs_f64(boot_s * leader.policy.min_idle_boot_times);
        let is_idle_long_enough = |id: &MachineId| {
            self.machines
                .idle_for(now, id)
                .is_some_and(|idle| idle >= min_idle_time)
        };
        let mut idle_machines: Vec<_> = cache
            .machines
            .iter()
            .filter(|(id, machine)| {
                pool.contains(&machine.type_name, machine.capacity_type)
                    && machine.state.takes_tasks()
                    && !demand.occupied.contains(*id)
                    && is_idle_long_enough(id)
                    && !self.machines.is_failed(id)
                    && now.unix_ms().saturating_sub(machine.rented_s * 1000) >= min_rental_ms
            })
            .collect();
        // The blocks with the most candidates come first, since each block costs a change. Within a block the newest
        // machines come first, because they have the fewest cached images.
        let mut idle_per_block: BTreeMap<&BlockId, usize> = BTreeMap::new();
        for (_, machine) in &idle_machines {
            *idle_per_block.entry(&machine.block).or_default() += 1;
        }
        idle_machines.sort_by_key(|(_, machine)| {
            (
                Reverse(idle_per_block[&machine.block]),
                &machine.block,
                Reverse(machine.rented_s),
            )
        });
        idle_machines.truncate(count);
        idle_machines
            .into_iter()
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the zone with the fewest machines among those with available capacity. If there is none, returns the
    /// zone that was found unavailable first, as long as the demand is unmet.
    fn choose_zone(
        &self,
        now: Now,
        instance_type: &InstanceType,
        capacity_type: CapacityType,
        demand_unmet: bool,
        cache: &WatchCache,
    ) -> Option<Zone> {
        let unavailable_until = |zone: &Zone| {
            let name = instance_type.name.clone();
            self.unavailable
                .unavailable_until(&ZonedPool::new(name, capacity_type, zone.clone()))
        };
        let machine_count =
            |zone: &Zone| cache.machines.values().filter(|m| m.zone == *zone).count();
        instance_type
            .zones
            .iter()
            .filter(|zone| self.is_available(now, &instance_type.name, zone, capacity_type))
            .min_by_key(|zone| machine_count(zone))
            .or_else(|| {
                instance_type
                    .zones
                    .iter()
                    .filter(|zone| demand_unmet && !self.is_drained(&instance_type.name, zone))
                    .min_by_key(|zone| unavailable_until(zone))
            })
            .cloned()
    }
}
