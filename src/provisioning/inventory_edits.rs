//! Collects changes to inventories, so that each value is written once, and chooses the block to which a machine is
//! added.
//!
//! Created for each transaction of the provisioner from the local copy of the records; [`InventoryEdits::apply`] turns
//! the edits into changes of that transaction, each conditioned on the version that was read. Invariant: the edits
//! never change more values than their limit.

use std::collections::{BTreeMap, HashMap};

use super::Demand;
use crate::block_leases;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceType;
use crate::domain::{BlockId, InstanceTypeName, MachineId, Zone};
use crate::leader_context::LeaderContext;
use crate::store::records::{
    FIRST_PART, InventoryEntry, MachineInventory, MachineState, PARTS_FORMAT, Part,
    inventory_part_key,
};
use crate::store::{Transaction, WatchCache};

/// Space that is left free in each part of an inventory, in bytes.
const PART_RESERVE_BYTES: usize = 64;
/// Size of a placed task in its block's value, in bytes.
const PLACED_TASK_BYTES: f64 = 22.0;
/// Upper limit for the number of tasks expected on a machine.
const MAX_EXPECTED_TASKS: f64 = 32.0;

/// Changes to inventories that are not yet written.
pub(super) struct InventoryEdits<'a> {
    cache: &'a WatchCache,
    inventories: BTreeMap<(BlockId, Part), MachineInventory>,
    /// Maximum number of values that the transaction may change.
    max_values: usize,
    /// Maximum size of a value; None: blocks are not divided into parts yet.
    max_part_bytes: Option<usize>,
    /// The blocks of each zone with their fill: the fraction of the block's values that its machines and the tasks
    /// expected on them use.
    block_fill: BTreeMap<Zone, BTreeMap<BlockId, f64>>,
    block_value_bytes: f64,
    /// The number of tasks expected on a machine of each type.
    tasks_per_machine: HashMap<InstanceTypeName, f64>,
}

/// Maximum fill of a block before a new one is opened: tasks that don't fit into its value can't be placed. The rest
/// is left for finished tasks of arrays that are spread over many blocks.
const MAX_BLOCK_FILL: f64 = 0.7;
/// Number of tasks expected on a machine while no tasks are known.
const DEFAULT_TASKS_PER_MACHINE: f64 = 4.0;
/// Minimum number of machines of a type for their observed tasks to be used as the estimate.
const MIN_OBSERVED_MACHINES: usize = 10;
/// The estimate is the observed number of tasks multiplied by this factor.
const OBSERVED_TASKS_FACTOR: f64 = 1.25;

impl<'a> InventoryEdits<'a> {
    /// Creates an empty set of edits. They may change as many values as one transaction takes in addition to the
    /// leader's condition.
    pub(super) fn new(leader: &LeaderContext<'_>, cache: &'a WatchCache, demand: &Demand) -> Self {
        let LeaderContext {
            config,
            policy,
            catalog,
            ..
        } = *leader;
        let mut edits = InventoryEdits {
            cache,
            inventories: BTreeMap::new(),
            max_part_bytes: (cache.format() >= PARTS_FORMAT)
                .then_some(config.state_limits.value_bytes),
            max_values: config.state_limits.txn_ops - 1,
            block_fill: BTreeMap::new(),
            block_value_bytes: config.max_block_bytes as f64,
            tasks_per_machine: expected_tasks_per_machine(catalog, cache, demand),
        };
        for (block, zone) in
            block_leases::required_blocks(&catalog.zones(config), config, policy, cache)
        {
            let fill = cache.inventories.get(&block).map_or(0.0, |inventory| {
                inventory
                    .value
                    .machines
                    .iter()
                    .map(|(id, entry)| edits.fill_share(id, entry))
                    .sum()
            });
            edits
                .block_fill
                .entry(zone)
                .or_default()
                .insert(block, fill);
        }
        edits
    }

    /// Creates an empty set of edits that change at most `max_values` values.
    pub(super) fn with_limit(
        leader: &LeaderContext<'_>,
        cache: &'a WatchCache,
        demand: &Demand,
        max_values: usize,
    ) -> Self {
        InventoryEdits {
            max_values,
            ..InventoryEdits::new(leader, cache, demand)
        }
    }

    /// Returns the fraction of a block's values that a machine and its tasks may use.
    fn fill_share(&self, id: &MachineId, entry: &InventoryEntry) -> f64 {
        let tasks = self
            .tasks_per_machine
            .get(&entry.type_name)
            .copied()
            .unwrap_or(DEFAULT_TASKS_PER_MACHINE);
        let placements = (id.0.len() + 8) as f64 + tasks * PLACED_TASK_BYTES;
        (entry.size(id) as f64).max(placements) / self.block_value_bytes
    }

    /// Adds a machine to the block of its zone with the lowest fill, or to a new block if all are full.
    /// `reserved_values`: values of the transaction that are kept for other changes. Returns the block, or None if the
    /// transaction can't change another value.
    pub(super) fn add(
        &mut self,
        zone: &Zone,
        id: &MachineId,
        entry: InventoryEntry,
        reserved_values: usize,
    ) -> Option<BlockId> {
        let share = self.fill_share(id, &entry);
        let is_transaction_full = self.inventories.len() + reserved_values >= self.max_values;
        let zone_blocks = self.block_fill.entry(zone.clone()).or_default();
        let blocks_with_capacity: Vec<(BlockId, f64)> = zone_blocks
            .iter()
            .filter(|(_, fill)| **fill + share <= MAX_BLOCK_FILL)
            .map(|(block, fill)| (block.clone(), *fill))
            .collect();
        let new_block = block_leases::block_id(zone, zone_blocks.len());
        let least_filled = blocks_with_capacity
            .into_iter()
            .filter_map(|(block, fill)| {
                let part = self.part_for(&block, id, &entry)?;
                let can_edit =
                    !is_transaction_full || self.inventories.contains_key(&(block.clone(), part));
                can_edit.then_some((block, part, fill))
            })
            .min_by(|a, b| a.2.total_cmp(&b.2));
        let (block, part) = match least_filled {
            Some((block, part, _)) => (block, part),
            None if is_transaction_full => return None,
            None => (new_block, FIRST_PART),
        };
        *self
            .block_fill
            .entry(zone.clone())
            .or_default()
            .entry(block.clone())
            .or_default() += share;
        self.inventory_mut(&block, part, zone)
            .machines
            .insert(id.clone(), entry);
        Some(block)
    }

    /// Returns the part of a block that can hold another machine, preferably one that is edited already, or else a new
    /// part. A block that is not divided yet only has the first part. Returns None if the machine does not fit into an
    /// empty part either.
    fn part_for(&self, block: &BlockId, id: &MachineId, entry: &InventoryEntry) -> Option<Part> {
        let Some(max_bytes) = self.max_part_bytes else {
            return Some(FIRST_PART);
        };
        let recorded_parts = self.cache.inventory_parts(block);
        let parts = recorded_parts
            .into_iter()
            .flat_map(|parts| parts.keys().copied());
        let edited = self
            .inventories
            .keys()
            .filter(|(edited_block, _)| edited_block == block);
        let mut parts: Vec<Part> = edited.map(|(_, part)| *part).chain(parts).collect();
        let next_part = parts.iter().max().map_or(FIRST_PART, |last| last + 1);
        parts.push(next_part);
        let needed_bytes = entry.size(id) + entry.type_name.0.len() + PART_RESERVE_BYTES;
        let fits = |part: &Part| {
            let edited = self.inventories.get(&(block.clone(), *part));
            let recorded = || Some(&recorded_parts?.get(part)?.value);
            let size = edited.or_else(recorded).map_or(0, MachineInventory::size);
            size + needed_bytes <= max_bytes
        };
        parts.into_iter().find(fits)
    }

    fn inventory_mut(&mut self, block: &BlockId, part: Part, zone: &Zone) -> &mut MachineInventory {
        let cache = self.cache;
        let recorded = || {
            let recorded = cache
                .inventory_parts(block)
                .and_then(|parts| parts.get(&part));
            recorded.map_or_else(
                || MachineInventory::new(zone.clone()),
                |inventory| inventory.value.clone(),
            )
        };
        self.inventories
            .entry((block.clone(), part))
            .or_insert_with(recorded)
    }

    /// Edits the inventory that contains a machine. Returns false if the transaction can't change another value or the
    /// machine is not recorded.
    pub(super) fn edit(
        &mut self,
        id: &MachineId,
        edit: impl FnOnce(&mut MachineInventory),
    ) -> bool {
        let Some(machine) = self.cache.machines.get(id) else {
            return false;
        };
        let (block, zone) = (machine.block.clone(), machine.zone.clone());
        let Some(part) = self.cache.inventory_part_of(&block, id) else {
            return false;
        };
        let already_edited = self.inventories.contains_key(&(block.clone(), part));
        if !already_edited && self.inventories.len() >= self.max_values {
            return false;
        }
        edit(self.inventory_mut(&block, part, &zone));
        true
    }

    /// Sets the state of a recorded machine. Returns false if the transaction can't change another value or the
    /// machine is not recorded.
    pub(super) fn set_state(&mut self, id: &MachineId, state: MachineState) -> bool {
        self.edit(id, |inventory| {
            if let Some(entry) = inventory.machines.get_mut(id) {
                entry.state = state;
            }
        })
    }

    /// Divides a value that is too large into parts that fit. Nothing else may be changed until the division is
    /// finished. Returns None if no value is too large.
    pub(super) fn divide(&mut self) -> Option<Division> {
        let (block, oversized_part) = find_oversized_part(self.cache, self.max_part_bytes?)?;
        let parts = self.cache.inventory_parts(&block)?;
        let oversized_inventory = &parts.get(&oversized_part)?.value;
        let is_in_other_part = |id: &MachineId| {
            let mut others = parts.iter().filter(|(part, _)| **part != oversized_part);
            others.any(|(_, part)| part.value.machines.contains_key(id))
        };
        let mut remaining: Vec<(&MachineId, &InventoryEntry)> = oversized_inventory
            .machines
            .iter()
            .filter(|(id, _)| !is_in_other_part(id))
            .collect();
        remaining.reverse();
        let zone = oversized_inventory.zone.clone();
        while let Some((id, entry)) = remaining.last() {
            let Some(part) = self.part_for(&block, id, entry) else {
                break;
            };
            // One change is reserved for the deletion of the oversized part.
            let already_edited = self.inventories.contains_key(&(block.clone(), part));
            if !already_edited && self.inventories.len() + 1 >= self.max_values {
                return Some(Division {
                    block,
                    finished: None,
                });
            }
            let (id, entry) = ((*id).clone(), (*entry).clone());
            self.inventory_mut(&block, part, &zone)
                .machines
                .insert(id, entry);
            remaining.pop();
        }
        Some(Division {
            block,
            finished: Some(oversized_part),
        })
    }

    /// Whether there are any edits.
    pub(super) fn has_edits(&self) -> bool {
        !self.inventories.is_empty()
    }

    /// Adds the edits to a transaction, each on the condition that its value has not changed since it was read.
    pub(super) fn apply(self, mut txn: Transaction) -> Transaction {
        for ((block, part), inventory) in &self.inventories {
            let recorded = self
                .cache
                .inventory_parts(block)
                .and_then(|parts| parts.get(part));
            let key = inventory_part_key(block, *part);
            txn = txn
                .require_version(
                    key.clone(),
                    recorded.map_or(0, |inventory| inventory.version),
                )
                .put(key, inventory);
        }
        txn
    }
}

/// Estimates how many tasks to expect on a machine of each type: based on the observed tasks if there are enough
/// machines, otherwise as many of the smallest tasks as fit.
fn expected_tasks_per_machine(
    catalog: &InstanceCatalog,
    cache: &WatchCache,
    demand: &Demand,
) -> HashMap<InstanceTypeName, f64> {
    #[derive(Default)]
    struct ObservedTasks {
        machines: usize,
        tasks: usize,
    }
    let mut observed: HashMap<&InstanceTypeName, ObservedTasks> = HashMap::new();
    for live in cache.live_placements() {
        let of_type = observed.entry(&live.machine.type_name).or_default();
        of_type.machines += 1;
        of_type.tasks += live.attempts().count();
    }
    let expected_tasks = |instance_type: &InstanceType| {
        let max_tasks = demand
            .smallest_task
            .map_or(DEFAULT_TASKS_PER_MACHINE, |need| {
                f64::from(instance_type.resources().max_tasks(&need))
            });
        let estimate = observed
            .get(&instance_type.name)
            .filter(|counts| counts.machines >= MIN_OBSERVED_MACHINES)
            .map_or(max_tasks, |counts| {
                counts.tasks as f64 / counts.machines as f64 * OBSERVED_TASKS_FACTOR
            });
        estimate.min(max_tasks).clamp(1.0, MAX_EXPECTED_TASKS)
    };
    catalog
        .all()
        .map(|instance_type| (instance_type.name.clone(), expected_tasks(instance_type)))
        .collect()
}

/// Returns the first part of an inventory whose value is larger than `max_bytes`.
pub(super) fn find_oversized_part(cache: &WatchCache, max_bytes: usize) -> Option<(BlockId, Part)> {
    cache.inventories.keys().find_map(|block| {
        let mut parts = cache.inventory_parts(block)?.iter();
        let (part, _) = parts.find(|(_, part)| part.value.size() > max_bytes)?;
        Some((block.clone(), *part))
    })
}

/// The state of the division of an oversized part.
pub(super) struct Division {
    pub(super) block: BlockId,
    /// The oversized part, if this transaction completes the copies of its machines in other parts, so that it can be
    /// deleted in the same transaction.
    pub(super) finished: Option<Part>,
}
