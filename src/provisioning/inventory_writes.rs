//! The provisioner's writes to inventories: machines that were granted, terminated or found unrecorded, machine states
//! requested by operators, and the division of values that are too large.
//!
//! Each function returns one transaction, for which its caller provides the condition on the leader's record, or None
//! if there is nothing to write. The caller sends one transaction at a time, the most urgent first.

use std::time::Duration;

use tracing::info;

use super::cloud_requests::{FulfilledScaleOut, ScaleOutState, UnrecordedMachine};
use super::inventory_edits::{InventoryEdits, find_oversized_part};
use super::machine_observations::has_tasks;
use super::scaling_round::ProvisioningContext;
use super::{Demand, Provisioner};
use crate::domain::{CapacityType, MachineId, since};
use crate::leader_context::LeaderContext;
use crate::store::records::{
    DRAIN_FORMAT, InventoryEntry, MachineState, PARTS_FORMAT, inventory_part_key,
    pending_rental_key,
};
use crate::store::{Transaction, WatchCache};

/// How long an unrecorded machine is assumed to belong to a pending rental of the same type.
const PENDING_RENTAL_GRACE: Duration = Duration::from_secs(5);
/// Ages listed by the cloud are capped at this many seconds: higher ones are taken for errors.
const MAX_LISTED_AGE_S: f64 = 1e9;

impl Provisioner {
    /// Records the machines of one fulfilled scale-out and deletes its pending rental.
    pub(super) fn record_fulfilled_scale_out(
        &mut self,
        context: ProvisioningContext<'_>,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let cache = context.cache;
        // The result is already recorded if the local copy no longer contains the rental.
        self.scale_outs.retain(|name, state| match state {
            ScaleOutState::Fulfilled(fulfilled) => cache
                .pending_rentals
                .get(name)
                .is_some_and(|rental| rental.version == fulfilled.version),
            ScaleOutState::InFlight => true,
        });
        let (name, fulfilled) = self
            .scale_outs
            .iter()
            .find_map(|(name, state)| match state {
                ScaleOutState::Fulfilled(fulfilled) => Some((name, fulfilled)),
                ScaleOutState::InFlight => None,
            })?;
        let FulfilledScaleOut {
            pending_rental,
            version,
            machines,
        } = fulfilled;
        let mut edits = InventoryEdits::new(context.leader, cache, context.demand);
        for machine in machines
            .iter()
            .filter(|machine| !cache.machines.contains_key(*machine))
        {
            let entry = InventoryEntry {
                type_name: name.clone(),
                capacity_type: pending_rental.capacity_type,
                state: MachineState::InService,
                rented_s: context.now.unix_ms() / 1000,
            };
            // Machines that don't fit into this transaction are recorded later, when they report or are listed.
            edits.add(&pending_rental.zone, machine, entry, 1);
        }
        let key = pending_rental_key(name);
        Some(
            edits.apply(
                txn.clone()
                    .require_version(key.clone(), *version)
                    .delete(key),
            ),
        )
    }

    /// Removes terminated machines from their inventories.
    pub(super) fn record_terminations(
        &self,
        context: ProvisioningContext<'_>,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let machines = self
            .terminations
            .machines_to_remove(context.now, |id| has_tasks(context.cache, id));
        if machines.is_empty() {
            return None;
        }
        let mut edits = context.batched_edits();
        for machine in machines {
            edits.edit(machine, |inventory| {
                inventory.machines.remove(machine);
            });
        }
        edits.has_edits().then(|| edits.apply(txn.clone()))
    }

    /// Adds unrecorded machines to inventories.
    pub(super) fn record_unrecorded_machines(
        &mut self,
        context: ProvisioningContext<'_>,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let ProvisioningContext { now, cache, .. } = context;
        self.unrecorded_machines
            .retain(|id, _| !cache.machines.contains_key(id));
        let is_due = |machine: &UnrecordedMachine| {
            !cache
                .pending_rentals
                .contains_key(&machine.listed.type_name)
                || since(now, machine.first_seen) > PENDING_RENTAL_GRACE
        };
        let due: Vec<MachineId> = self
            .unrecorded_machines
            .iter()
            .filter(|(_, machine)| is_due(machine))
            .map(|(id, _)| id.clone())
            .collect();
        if due.is_empty() {
            return None;
        }
        let mut edits = context.batched_edits();
        for id in due {
            let Some(UnrecordedMachine { listed, .. }) = self.unrecorded_machines.get(&id) else {
                continue;
            };
            let entry = InventoryEntry {
                type_name: listed.type_name.clone(),
                capacity_type: CapacityType::from_spot(listed.spot),
                state: MachineState::InService,
                rented_s: (now.unix_ms() / 1000)
                    .saturating_sub(listed.age_s.0.clamp(0.0, MAX_LISTED_AGE_S) as u64),
            };
            let Some(block) = edits.add(&listed.zone, &id, entry, 0) else {
                break;
            };
            info!(machine = %id, %block, type_name = %listed.type_name, "unrecorded machine added to inventory");
            self.unrecorded_machines.remove(&id);
        }
        edits.has_edits().then(|| edits.apply(txn.clone()))
    }

    /// Records the states of machines that operators cordon, drain, return or put back into service.
    pub(super) fn record_desired_states(
        &mut self,
        context: ProvisioningContext<'_>,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let ProvisioningContext { cache, demand, .. } = context;
        let differs = |id: &MachineId, state: MachineState| {
            let machine = cache.machines.get(id);
            machine.is_some_and(|machine| machine.state != state)
        };
        self.desired_states.retain(|id, state| differs(id, *state));
        if self.desired_states.is_empty() || cache.format() < DRAIN_FORMAT {
            return None;
        }
        let mut edits = context.batched_edits();
        for (id, state) in &self.desired_states {
            let is_occupied = demand.occupied.contains(id);
            if *state == MachineState::Returning && is_occupied {
                continue;
            }
            if edits.set_state(id, *state) {
                info!(machine = %id, ?state, "machine state changed");
            }
        }
        edits.has_edits().then(|| edits.apply(txn.clone()))
    }
}

/// Divides the value of an inventory into parts if it is larger than the limit in force.
pub(super) fn divide_inventory(
    leader: &LeaderContext<'_>,
    cache: &WatchCache,
    demand: &Demand,
    txn: &Transaction,
) -> Option<Transaction> {
    // Checked first because oversized values are rare and creating the edits iterates over all tasks.
    if cache.format() < PARTS_FORMAT
        || find_oversized_part(cache, leader.config.state_limits.value_bytes).is_none()
    {
        return None;
    }
    let mut edits = InventoryEdits::new(leader, cache, demand);
    let division = edits.divide()?;
    info!(block = %division.block, "oversized inventory divided");
    let mut txn = edits.apply(txn.clone());
    if let Some(part) = division.finished {
        let parts = cache.inventory_parts(&division.block);
        let recorded = parts.and_then(|parts| parts.get(&part));
        let key = inventory_part_key(&division.block, part);
        txn = txn
            .require_version(key.clone(), recorded.map_or(0, |part| part.version))
            .delete(key);
    }
    Some(txn)
}
