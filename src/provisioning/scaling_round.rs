//! One round of the rule: which machines are ordered and which are returned.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tracing::{debug, info};

use super::inventory_edits::InventoryEdits;
use super::{
    ASK_AGAIN, Demand, MOST_RENTED, MachinePool, Provisioner, RunTimes, ZonedPool, square_root_rule,
};
use crate::cloud::wire::InstanceType;
use crate::domain::{BlockId, CapacityType, MachineId, Now, Zone, since};
use crate::leader_context::LeaderContext;
use crate::store::records::{MachineState, PendingRental, pending_rental_key};
use crate::store::{Machine, Transaction, WatchCache};

/// What a round goes by.
#[derive(Clone, Copy)]
pub(super) struct Round<'a> {
    pub(super) now: Now,
    pub(super) leader: &'a LeaderContext<'a>,
    pub(super) cache: &'a WatchCache,
    pub(super) demand: &'a Demand,
}

/// Machines that a pool lacks.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Shortage {
    pub(super) capacity_type: CapacityType,
    /// The only zone that will do for some of the tasks that wait.
    zone: Option<Zone>,
    count: i64,
    /// Tasks wait, beyond the margin that is short.
    tasks_wait: bool,
    /// Some are to be had, as far as is known.
    obtainable: bool,
}

impl Shortage {
    /// The one to order for: one call for each type goes out in a round. What has run out must not keep the other kind
    /// from being ordered, however much of it is short.
    pub(super) fn worst(shortages: impl IntoIterator<Item = Option<Shortage>>) -> Option<Shortage> {
        shortages
            .into_iter()
            .flatten()
            .max_by_key(|shortage| (shortage.obtainable, shortage.count))
    }
}

impl Provisioner {
    /// One round of the rule.
    pub(super) fn round(&mut self, round: Round<'_>, mut txn: Transaction) -> Option<Transaction> {
        let Round {
            now,
            leader,
            cache,
            demand,
        } = round;
        if !cache.covers(self.term_since)
            || self
                .round
                .is_some_and(|at| since(now, at) < leader.policy.round)
        {
            return None;
        }
        self.round = Some(now.monotonic);
        let machines = self.machines(cache);
        let mut edits = InventoryEdits::new(leader, cache, demand);
        // One change for each type's order, the rest for the blocks of machines that are returned.
        edits.most = leader
            .batch
            .saturating_sub(leader.catalog.all().count())
            .max(1);
        let mut ordered = false;
        for instance_type in leader
            .catalog
            .all()
            .filter(|instance_type| !cache.pending_rentals.contains_key(&instance_type.name))
        {
            let shortages = [CapacityType::OnDemand, CapacityType::Spot].map(|capacity_type| {
                let pool = MachinePool::new(instance_type.name.clone(), capacity_type);
                let available = machines.get(&pool).copied().unwrap_or(0);
                self.return_surplus(round, &pool, available, &mut edits);
                self.shortage(round, instance_type, &pool, available)
            });
            if let Some(pending_rental) = Shortage::worst(shortages)
                .and_then(|shortage| self.pending_rental(round, instance_type, shortage))
            {
                txn = txn
                    .when(pending_rental_key(&instance_type.name), 0)
                    .put(pending_rental_key(&instance_type.name), &pending_rental);
                ordered = true;
            }
        }
        (ordered || edits.any()).then(|| edits.apply(txn))
    }

    /// Drains machines of a pool that has too many.
    fn return_surplus(
        &self,
        round: Round<'_>,
        pool: &MachinePool,
        available: u32,
        edits: &mut InventoryEdits<'_>,
    ) {
        let (change, needed) = self.change(round, pool, available);
        let Ok(surplus) = usize::try_from(-change) else {
            return;
        };
        for id in self.returnable(round, pool, surplus) {
            let drained = edits.change(&id, |inventory| {
                if let Some(entry) = inventory.on.get_mut(&id) {
                    entry.state = MachineState::Returning;
                }
            });
            if drained {
                info!(machine = %id, type_name = %pool.type_name, capacity_type = ?pool.capacity_type, needed, available, "returning");
            }
        }
    }

    /// What the rule says of a pool, and the demand that it is about.
    fn change(&self, round: Round<'_>, pool: &MachinePool, available: u32) -> (i64, f64) {
        let Round { leader, demand, .. } = round;
        let needed = demand.of(pool);
        let eta = leader
            .catalog
            .get(&pool.type_name)
            .map_or(1.0, |instance_type| {
                self.eta(instance_type, demand.run_times.get(pool))
            });
        (
            square_root_rule::machines_to_add(needed, available, eta, leader.policy.headroom),
            needed,
        )
    }

    pub(super) fn shortage(
        &self,
        round: Round<'_>,
        instance_type: &InstanceType,
        pool: &MachinePool,
        available: u32,
    ) -> Option<Shortage> {
        let (change, needed) = self.change(round, pool, available);
        // The rule counts machines of all zones. Tasks that wait for one zone are short there whatever stands idle
        // elsewhere.
        let pinned = self.short_zone(round, pool);
        let count = change.max(pinned.as_ref().map_or(0, |(_, short)| *short));
        if count <= 0 {
            return None;
        }
        let in_stock =
            |zone: &Zone| self.available(round.now, &instance_type.name, zone, pool.capacity_type);
        let zone = pinned.map(|(zone, _)| zone);
        let obtainable = match &zone {
            Some(zone) => in_stock(zone),
            None => instance_type.zones.iter().any(in_stock),
        };
        debug!(type_name = %pool.type_name, capacity_type = ?pool.capacity_type, needed, available, count, obtainable, "short of machines");
        Some(Shortage {
            capacity_type: pool.capacity_type,
            zone,
            count,
            tasks_wait: needed > f64::from(available),
            obtainable,
        })
    }

    /// The order for a shortage, unless it was asked for in vain just now.
    fn pending_rental(
        &mut self,
        round: Round<'_>,
        instance_type: &InstanceType,
        shortage: Shortage,
    ) -> Option<PendingRental> {
        let Round {
            now, leader, cache, ..
        } = round;
        let Shortage {
            capacity_type,
            zone,
            count,
            tasks_wait,
            ..
        } = shortage;
        let zone =
            zone.or_else(|| self.zone_for(now, instance_type, capacity_type, tasks_wait, cache))?;
        if self.is_closed(&instance_type.name, &zone) {
            return None;
        }
        if !self.available(now, &instance_type.name, &zone, capacity_type) {
            let again = self.asked_again.get(&instance_type.name);
            if !leader.spare && again.is_some_and(|at| since(now, *at) < ASK_AGAIN) {
                return None;
            }
            self.asked_again
                .insert(instance_type.name.clone(), now.monotonic);
        }
        self.next_request += 1;
        let pending_rental = PendingRental {
            request: format!("r-{}-{}", self.term, self.next_request),
            zone,
            capacity_type,
            count: u32::try_from(count.min(MOST_RENTED)).unwrap_or(1),
        };
        info!(request = %pending_rental.request, type_name = %instance_type.name, zone = %pending_rental.zone, ?capacity_type, count, "order");
        Some(pending_rental)
    }

    /// A zone in which tasks wait that may not go elsewhere, and the machines that are not yet on order for them.
    fn short_zone(&self, round: Round<'_>, pool: &MachinePool) -> Option<(Zone, i64)> {
        let Round {
            now, cache, demand, ..
        } = round;
        let coming = |zone: &Zone| {
            let here = |m: &Machine| {
                pool.contains(&m.type_name, m.capacity_type)
                    && m.zone == *zone
                    && m.state.takes_tasks()
            };
            let booting = |id: &MachineId| {
                !self.up.contains(id) && !self.failed.contains(id) && !self.late.contains(id)
            };
            cache
                .machines
                .iter()
                .filter(|(id, machine)| here(machine) && booting(id))
                .count() as i64
        };
        demand
            .pinned
            .iter()
            .filter(|(zoned, _)| {
                zoned.pool == *pool
                    && self.available(now, &pool.type_name, &zoned.zone, pool.capacity_type)
            })
            .map(|(ZonedPool { zone, .. }, share)| {
                (zone.clone(), (share - 1e-9).ceil() as i64 - coming(zone))
            })
            .filter(|(_, short)| *short > 0)
            .max_by_key(|(_, short)| *short)
    }

    /// Boot time over mean run time. Both are measured; the run time starts as if one task had run for one
    /// boot, which makes eta 1 until there is more to go by.
    pub fn eta(&self, instance_type: &InstanceType, run_times: Option<&RunTimes>) -> f64 {
        let boot = self
            .boot_times
            .expected(&instance_type.name, instance_type.boot_time())
            .as_secs_f64()
            .max(0.1);
        let RunTimes { total, ended } = run_times.copied().unwrap_or_default();
        let mean_run = (total.as_secs_f64() + boot) / (f64::from(ended) + 1.0);
        boot / mean_run
    }

    /// Machines of a pool that may be returned, up to so many.
    fn returnable(&self, round: Round<'_>, pool: &MachinePool, count: usize) -> Vec<MachineId> {
        let Round {
            now,
            leader,
            cache,
            demand,
        } = round;
        let least_ms = u64::try_from(leader.policy.least_rental.as_millis()).unwrap_or(u64::MAX);
        let boot = leader
            .catalog
            .get(&pool.type_name)
            .map_or(0.0, |instance_type| instance_type.boot_s.0);
        let patience = Duration::from_secs_f64(boot * leader.policy.idle_boots);
        let rested = |id: &MachineId| {
            self.idle
                .get(id)
                .is_some_and(|at| since(now, *at) >= patience)
        };
        let mut idle: Vec<_> = cache
            .machines
            .iter()
            .filter(|(id, machine)| {
                pool.contains(&machine.type_name, machine.capacity_type)
                    && machine.state.takes_tasks()
                    && !demand.occupied.contains(*id)
                    && rested(id)
                    && !self.failed.contains(*id)
                    && now.unix_ms().saturating_sub(machine.rented_s * 1000) >= least_ms
            })
            .collect();
        // From the blocks with the most of them, since each block costs a change; there the newest, which have the
        // least in their caches.
        let mut of_block: BTreeMap<&BlockId, usize> = BTreeMap::new();
        for (_, machine) in &idle {
            *of_block.entry(&machine.block).or_default() += 1;
        }
        idle.sort_by_key(|(_, machine)| {
            (
                Reverse(of_block[&machine.block]),
                &machine.block,
                Reverse(machine.rented_s),
            )
        });
        idle.truncate(count);
        idle.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// The zone with the fewest machines among those that may have some to give. If all have run out, the one
    /// that did so first is asked again, as long as tasks wait.
    fn zone_for(
        &self,
        now: Now,
        instance_type: &InstanceType,
        capacity_type: CapacityType,
        wanted: bool,
        cache: &WatchCache,
    ) -> Option<Zone> {
        let out_until = |zone: &Zone| {
            self.stockouts
                .get(&(instance_type.name.clone(), zone.clone(), capacity_type))
                .copied()
        };
        let count = |zone: &Zone| cache.machines.values().filter(|m| m.zone == *zone).count();
        instance_type
            .zones
            .iter()
            .filter(|zone| self.available(now, &instance_type.name, zone, capacity_type))
            .min_by_key(|zone| count(zone))
            .or_else(|| {
                instance_type
                    .zones
                    .iter()
                    .filter(|zone| wanted && !self.is_closed(&instance_type.name, zone))
                    .min_by_key(|zone| out_until(zone))
            })
            .cloned()
    }
}
