//! Changes to inventories, gathered so that each value is written once, and the choice of the block that a machine
//! goes to.
//!
//! Made anew for each transaction of the provisioner, from the local copy of the records; [`InventoryEdits::apply`] turns
//! it into changes of that transaction, each conditioned on the version that was read. Invariant: it never touches more
//! values than its limit.

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

/// Room left in each part of an inventory, in bytes.
const INVENTORY_RESERVE_BYTES: usize = 64;
/// What one placed task takes of its block's value, in bytes.
const TASK_BYTES: f64 = 22.0;
/// The most tasks that are reckoned with on one machine.
const MOST_TASKS: f64 = 32.0;

/// Changes to inventories that are not yet written.
pub(super) struct InventoryEdits<'a> {
    cache: &'a WatchCache,
    inventories: BTreeMap<(BlockId, Part), MachineInventory>,
    /// Values that one transaction may change.
    most: usize,
    /// What one of them may measure; None: blocks are not divided yet.
    part_bytes: Option<usize>,
    /// The blocks of each zone, and how full each is for its value: by its machines, and by the tasks they may get.
    blocks: BTreeMap<Zone, BTreeMap<BlockId, f64>>,
    value_bytes: f64,
    /// The tasks to expect on a machine of each type.
    tasks: HashMap<InstanceTypeName, f64>,
}

/// How full a block may be of what its machines may hold before a new one is opened: what a value can't hold can't
/// be placed. The rest is for finished tasks of arrays that are spread over many blocks.
const BLOCK_FULL: f64 = 0.7;
/// Tasks expected on a machine before there are any to go by.
const TASKS_UNKNOWN: f64 = 4.0;
/// From so many machines of a type on, their tasks tell how many to expect.
const ENOUGH_SEEN: usize = 10;
/// Tasks to expect are those observed times this.
const TASKS_SPARE: f64 = 1.25;

impl<'a> InventoryEdits<'a> {
    /// No edits yet. At most as many values may be changed as one transaction takes beside the leader's condition.
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
            part_bytes: (cache.format() >= PARTS_FORMAT).then_some(config.state_limits.value_bytes),
            most: config.state_limits.txn_ops - 1,
            blocks: BTreeMap::new(),
            value_bytes: config.block_bytes as f64,
            tasks: expected_tasks(catalog, cache, demand),
        };
        for (block, zone) in
            block_leases::required_blocks(&catalog.zones(config), config, policy, cache)
        {
            let fill = cache.inventories.get(&block).map_or(0.0, |inventory| {
                inventory
                    .value
                    .on
                    .iter()
                    .map(|(id, entry)| edits.share(id, entry))
                    .sum()
            });
            edits.blocks.entry(zone).or_default().insert(block, fill);
        }
        edits
    }

    /// Edits that change at most `most` values.
    pub(super) fn with_limit(
        leader: &LeaderContext<'_>,
        cache: &'a WatchCache,
        demand: &Demand,
        most: usize,
    ) -> Self {
        InventoryEdits {
            most,
            ..InventoryEdits::new(leader, cache, demand)
        }
    }

    /// The part of a block's values that a machine may come to need.
    fn share(&self, id: &MachineId, entry: &InventoryEntry) -> f64 {
        let tasks = self
            .tasks
            .get(&entry.type_name)
            .copied()
            .unwrap_or(TASKS_UNKNOWN);
        let placements = (id.0.len() + 8) as f64 + tasks * TASK_BYTES;
        (entry.size(id) as f64).max(placements) / self.value_bytes
    }

    /// Puts a machine into the emptiest block of its zone, or a new one if all are full. False: the transaction
    /// has no room.
    pub(super) fn add(
        &mut self,
        zone: &Zone,
        id: &MachineId,
        entry: InventoryEntry,
        reserved: usize,
    ) -> bool {
        let share = self.share(id, &entry);
        let full = self.inventories.len() + reserved >= self.most;
        let of_zone = self.blocks.entry(zone.clone()).or_default();
        let fills: Vec<(BlockId, f64)> = of_zone
            .iter()
            .filter(|(_, fill)| **fill + share <= BLOCK_FULL)
            .map(|(block, fill)| (block.clone(), *fill))
            .collect();
        let fresh = block_leases::block_id(zone, of_zone.len());
        let emptiest = fills
            .into_iter()
            .filter_map(|(block, fill)| {
                let part = self.part_for(&block, id, &entry)?;
                let open = !full || self.inventories.contains_key(&(block.clone(), part));
                open.then_some((block, part, fill))
            })
            .min_by(|a, b| a.2.total_cmp(&b.2));
        let (block, part) = match emptiest {
            Some((block, part, _)) => (block, part),
            None if full => return false,
            None => (fresh, FIRST_PART),
        };
        *self
            .blocks
            .entry(zone.clone())
            .or_default()
            .entry(block.clone())
            .or_default() += share;
        self.inventory_mut(&block, part, zone)
            .on
            .insert(id.clone(), entry);
        true
    }

    /// The part of a block that has room for a machine, or a new one: those that are changed anyway first. None: the
    /// block has a single value, and is full.
    fn part_for(&self, block: &BlockId, id: &MachineId, entry: &InventoryEntry) -> Option<Part> {
        let Some(most) = self.part_bytes else {
            return Some(FIRST_PART);
        };
        let known = self.cache.inventory_parts(block);
        let parts = known.into_iter().flat_map(|parts| parts.keys().copied());
        let edited = self.inventories.keys().filter(|(of, _)| of == block);
        let mut parts: Vec<Part> = edited.map(|(_, part)| *part).chain(parts).collect();
        let next = parts.iter().max().map_or(FIRST_PART, |last| last + 1);
        parts.push(next);
        let needed = entry.size(id) + entry.type_name.0.len() + INVENTORY_RESERVE_BYTES;
        let fits = |part: &Part| {
            let edited = self.inventories.get(&(block.clone(), *part));
            let recorded = || Some(&known?.get(part)?.value);
            let size = edited.or_else(recorded).map_or(0, MachineInventory::size);
            size + needed <= most
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

    /// Changes the inventory that a machine is in. False: the transaction has no room, or there is no such machine.
    pub(super) fn change(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut MachineInventory),
    ) -> bool {
        let Some(machine) = self.cache.machines.get(id) else {
            return false;
        };
        let (block, zone) = (machine.block.clone(), machine.zone.clone());
        let Some(part) = self.cache.inventory_part_of(&block, id) else {
            return false;
        };
        let open = self.inventories.contains_key(&(block.clone(), part));
        if !open && self.inventories.len() >= self.most {
            return false;
        }
        change(self.inventory_mut(&block, part, &zone));
        true
    }

    /// Sets the state of a recorded machine. False: the transaction has no room, or there is no such machine.
    pub(super) fn set_state(&mut self, id: &MachineId, state: MachineState) -> bool {
        self.change(id, |inventory| {
            if let Some(entry) = inventory.on.get_mut(id) {
                entry.state = state;
            }
        })
    }

    /// Brings a value that is too large into parts that fit. Nothing else may be changed before that is done. None: there
    /// is no such value.
    pub(super) fn divide(&mut self) -> Option<Division> {
        let (block, large) = too_large(self.cache, self.part_bytes?)?;
        let parts = self.cache.inventory_parts(&block)?;
        let whole = &parts.get(&large)?.value;
        let elsewhere = |id: &MachineId| {
            let mut others = parts.iter().filter(|(part, _)| **part != large);
            others.any(|(_, part)| part.value.on.contains_key(id))
        };
        let mut left: Vec<(&MachineId, &InventoryEntry)> =
            whole.on.iter().filter(|(id, _)| !elsewhere(id)).collect();
        left.reverse();
        let zone = whole.zone.clone();
        while let Some((id, entry)) = left.last() {
            let Some(part) = self.part_for(&block, id, entry) else {
                break;
            };
            // One change is left for the deletion.
            let open = self.inventories.contains_key(&(block.clone(), part));
            if !open && self.inventories.len() + 1 >= self.most {
                return Some(Division {
                    block,
                    finished: None,
                });
            }
            let (id, entry) = ((*id).clone(), (*entry).clone());
            self.inventory_mut(&block, part, &zone).on.insert(id, entry);
            left.pop();
        }
        Some(Division {
            block,
            finished: Some(large),
        })
    }

    /// Whether anything is changed.
    pub(super) fn any(&self) -> bool {
        !self.inventories.is_empty()
    }

    /// Adds the changes to a transaction, each on condition that its value is still the one that was read.
    pub(super) fn apply(self, mut txn: Transaction) -> Transaction {
        for ((block, part), inventory) in &self.inventories {
            let old = self
                .cache
                .inventory_parts(block)
                .and_then(|parts| parts.get(part));
            let key = inventory_part_key(block, *part);
            txn = txn
                .when(key.clone(), old.map_or(0, |old| old.version))
                .put(key, inventory);
        }
        txn
    }
}

/// How many tasks to expect on a machine of each type: those observed, if there are enough machines to go by, else as
/// many of the smallest tasks as fit.
fn expected_tasks(
    catalog: &InstanceCatalog,
    cache: &WatchCache,
    demand: &Demand,
) -> HashMap<InstanceTypeName, f64> {
    #[derive(Default)]
    struct Seen {
        machines: usize,
        tasks: usize,
    }
    let mut seen: HashMap<&InstanceTypeName, Seen> = HashMap::new();
    for live in cache.live_placements() {
        let of_type = seen.entry(&live.machine.type_name).or_default();
        of_type.machines += 1;
        of_type.tasks += live.attempts().count();
    }
    let expected = |instance_type: &InstanceType| {
        let most = demand.smallest_task.map_or(TASKS_UNKNOWN, |need| {
            f64::from(instance_type.resources().count_of(&need))
        });
        let usual = seen
            .get(&instance_type.name)
            .filter(|seen| seen.machines >= ENOUGH_SEEN)
            .map_or(most, |seen| {
                seen.tasks as f64 / seen.machines as f64 * TASKS_SPARE
            });
        usual.min(most).clamp(1.0, MOST_TASKS)
    };
    catalog
        .all()
        .map(|instance_type| (instance_type.name.clone(), expected(instance_type)))
        .collect()
}

/// The first part of an inventory whose value is larger than this.
pub(super) fn too_large(cache: &WatchCache, bytes: usize) -> Option<(BlockId, Part)> {
    cache.inventories.keys().find_map(|block| {
        let mut parts = cache.inventory_parts(block)?.iter();
        let (part, _) = parts.find(|(_, part)| part.value.size() > bytes)?;
        Some((block.clone(), *part))
    })
}

/// A value that is being brought into parts.
pub(super) struct Division {
    pub(super) block: BlockId,
    /// All that it holds is in other parts with this transaction, so that it can be deleted in it.
    pub(super) finished: Option<Part>,
}
