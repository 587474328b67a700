//! Applies changes to the cached records and to the indexes derived from them.
//!
//! [`WatchCache::apply`] is called with the changes of a load or a watch, and by the controller
//! with its own commits before the watch returns them. A change that is older than the cached
//! record is ignored.

use std::collections::BTreeMap;

use tracing::warn;

use super::pending_cancellations::Cancellation;
use super::{Machine, OpenJob, Parts, Placement, SyncState, Versioned, WatchCache};
use crate::domain::{BlockId, JobId, MachineId, Zone};
use crate::store::records::{
    AttemptEncoding, BlockPlacements, Change, InventoryEntry, JobRecord, MachineInventory, Part,
    Record, RecordKey, TaskRanges,
};

impl WatchCache {
    /// Applies one change. Keys of other services and of kinds unknown to this version are ignored.
    pub fn apply(&mut self, change: Change) {
        let Some(key) = RecordKey::of(&change.key) else {
            return;
        };
        match key {
            RecordKey::Leader => set(&mut self.leader, change),
            RecordKey::TokenCounter => set(&mut self.token, change),
            RecordKey::Member(controller) => {
                set_entry(&mut self.members, controller, change);
            }
            RecordKey::BlockLease(block) => {
                self.changed.block_leases = true;
                set_entry(&mut self.block_leases, block, change);
            }
            RecordKey::Format => set(&mut self.format, change),
            RecordKey::Drain(id) => {
                set_entry(&mut self.drains, id, change);
            }
            RecordKey::DrainBudget(team) => {
                set_entry(&mut self.drain_budgets, team, change);
            }
            RecordKey::DrainLedger(team) => {
                set_entry(&mut self.drain_ledgers, team, change);
            }
            RecordKey::WriteFence(module) => {
                set_entry(&mut self.write_fences, module, change);
            }
            RecordKey::PlacementsFence(block) => {
                set_entry(&mut self.placements_fences, block, change);
            }
            RecordKey::MachineInventory(block, part) => self.apply_inventory(block, part, change),
            RecordKey::PendingRental(name) => {
                set_entry(&mut self.pending_rentals, name, change);
            }
            RecordKey::BlockPlacements(block, part) => self.apply_placements(block, part, change),
            RecordKey::Job(job) => self.apply_job(job, change),
            RecordKey::Progress(job, chunk) => self.apply_progress(job, chunk, change),
        }
    }

    fn apply_progress(&mut self, job: JobId, chunk: u32, change: Change) {
        set_entry(&mut self.progress, (job, chunk), change);
        if let (Some(open), Some(progress)) = (
            self.open_jobs.get_mut(&job),
            self.progress.get(&(job, chunk)),
        ) {
            open.done.merge(&progress.value.done);
        }
    }

    fn apply_inventory(&mut self, block: BlockId, part: Part, change: Change) {
        let version = change.version;
        let parts = self.inventory_parts.entry(block.clone()).or_default();
        if !set_entry(parts, part, change) {
            return;
        }
        let merged = merge_inventories(parts);
        let old = replace_merged(&mut self.inventories, &block, merged, version);
        self.index_machines(&block, old.as_ref());
    }

    /// Updates the machines by id after a block's inventory has changed from `old`.
    fn index_machines(&mut self, block: &BlockId, old: Option<&MachineInventory>) {
        let new = self.inventories.get(block).map(|new| &new.value);
        for id in old.iter().flat_map(|old| old.machines.keys()) {
            if new.is_some_and(|new| new.machines.contains_key(id)) {
                continue;
            }
            match self.machine_in_other_block(block, id) {
                Some(machine) => self.machines.insert(id.clone(), machine),
                None => self.machines.remove(id),
            };
            self.machines_in_several_blocks.remove(id);
            self.changed.machines.insert(id.clone());
        }
        let Some(new) = new else {
            return;
        };
        for (id, entry) in &new.machines {
            let old_entry = old.and_then(|old| old.machines.get(id));
            if old_entry == Some(entry) && self.machines.contains_key(id) {
                continue;
            }
            let machine = machine_from_entry(entry, &new.zone, block);
            if let Some(other) = self.machines.insert(id.clone(), machine)
                && other.block != *block
            {
                warn!(machine = %id, block = %other.block, other_block = %block, "machine recorded in two blocks");
                self.machines_in_several_blocks.insert(id.clone());
            }
            self.changed.machines.insert(id.clone());
        }
    }

    /// Returns a machine as another block's inventory lists it.
    fn machine_in_other_block(&self, block: &BlockId, id: &MachineId) -> Option<Machine> {
        let mut others = self.inventories.iter().filter(|(other, _)| *other != block);
        others.find_map(|(other, inventory)| {
            let entry = inventory.value.machines.get(id)?;
            Some(machine_from_entry(entry, &inventory.value.zone, other))
        })
    }

    fn apply_placements(&mut self, block: BlockId, part: Part, change: Change) {
        let version = change.version;
        let parts = self.placements_parts.entry(block.clone()).or_default();
        if !set_entry(parts, part, change) {
            return;
        }
        let merged = merge_placements(parts);
        let old = replace_merged(&mut self.placements, &block, merged, version).unwrap_or_default();
        self.index_placements(&block, &old);
        self.merge_finished_tasks(&block, &old);
    }

    /// Updates the attempts by job after a block's placements have changed from `old`. Only
    /// differences are applied, since most of a block is usually unchanged.
    fn index_placements(&mut self, block: &BlockId, old: &BlockPlacements) {
        let Some(new) = self.placements.get(block).map(|new| &new.value) else {
            for (_, attempt) in old.attempts() {
                self.placement_index.remove(attempt);
            }
            return;
        };
        for (_, placed) in attempts_only_in_first(old, new) {
            self.placement_index.remove(placed.0);
        }
        for (machine, placed) in attempts_only_in_first(new, old) {
            let placement = Placement {
                block: block.clone(),
                machine: machine.clone(),
            };
            self.placement_index.insert(placed.0, placement);
        }
    }

    /// Adds the finished tasks in a block's placements that were not in `old` to their open jobs.
    fn merge_finished_tasks(&mut self, block: &BlockId, old: &BlockPlacements) {
        let Some(new) = self.placements.get(block) else {
            return;
        };
        let new = new.value.done.iter();
        for (job, done) in new.filter(|(job, done)| old.done.get(job) != Some(*done)) {
            if let Some(open) = self.open_jobs.get_mut(job) {
                open.done.merge(done);
            }
        }
    }

    fn apply_job(&mut self, id: JobId, change: Change) {
        let version = change.version;
        let (job, cancelled_ms) = match change.value.as_ref().and_then(decode::<JobRecord>) {
            Some(JobRecord::Open(job)) => (job, None),
            Some(JobRecord::Cancelled(job, at_ms)) => (job, Some(at_ms)),
            Some(JobRecord::Ended(outcome, tasks)) => {
                self.open_jobs.remove(&id);
                self.ended_jobs.insert(id, (outcome, tasks));
                self.changed.cancelled_or_ended_jobs.insert(id);
                return;
            }
            None => {
                warn!(job = %id, "job record missing or malformed");
                return;
            }
        };
        // An ended job stays ended: an older version of the record must not reopen it.
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        let Some(open) = self.open_jobs.get_mut(&id) else {
            let open = OpenJob {
                job,
                version,
                cancelled: cancelled_ms.is_some(),
                cancelled_ms: cancelled_ms.unwrap_or(0),
                done: self.finished_tasks(id),
            };
            self.open_jobs.insert(id, open);
            self.apply_cancellation(id);
            return;
        };
        if version > open.version {
            open.version = version;
            open.cancelled = cancelled_ms.is_some();
            open.cancelled_ms = cancelled_ms.unwrap_or(0);
            if open.cancelled {
                self.changed.cancelled_or_ended_jobs.insert(id);
            }
        }
    }

    /// The finished tasks of a job according to the placements of all blocks and its progress.
    fn finished_tasks(&self, id: JobId) -> TaskRanges {
        let mut finished = TaskRanges::default();
        let from_placements = self
            .placements
            .values()
            .filter_map(|placements| placements.value.done.get(&id));
        let from_progress = self
            .progress
            .range((id, 0)..=(id, u32::MAX))
            .map(|(_, progress)| &progress.value.done);
        from_placements
            .chain(from_progress)
            .for_each(|done| finished.merge(done));
        finished
    }

    /// Records a cancellation that was committed as this version before the watch returns it, since
    /// a controller that the state service refuses cannot learn of it otherwise. It is ignored if
    /// the cache has reached that version, because the cache then shows the job's current state.
    /// `at_ms` is in milliseconds since the Unix epoch. Returns false if the limit of pending
    /// cancellations is reached.
    #[must_use]
    pub fn record_cancellation(&mut self, id: JobId, version: u64, at_ms: u64) -> bool {
        let following = matches!(self.sync.state, SyncState::Following { .. });
        let already_contained = following && self.revision >= version;
        if already_contained || self.ended_jobs.contains_key(&id) {
            return true;
        }
        let stored = self
            .cancellations
            .insert(id, Cancellation { version, at_ms });
        if stored {
            self.apply_cancellation(id);
        }
        stored
    }

    fn apply_cancellation(&mut self, id: JobId) {
        let (Some(open), Some(cancellation)) =
            (self.open_jobs.get_mut(&id), self.cancellations.get(id))
        else {
            return;
        };
        if cancellation.version > open.version {
            open.version = cancellation.version;
            open.cancelled = true;
            open.cancelled_ms = cancellation.at_ms;
            self.changed.cancelled_or_ended_jobs.insert(id);
        }
    }
}

fn machine_from_entry(entry: &InventoryEntry, zone: &Zone, block: &BlockId) -> Machine {
    Machine {
        type_name: entry.type_name.clone(),
        zone: zone.clone(),
        capacity_type: entry.capacity_type,
        block: block.clone(),
        state: entry.state,
        rented_s: entry.rented_s,
    }
}

/// Merges the parts of an inventory. Returns `None` if there are none.
fn merge_inventories(parts: &Parts<MachineInventory>) -> Option<MachineInventory> {
    let mut parts = parts.values();
    let mut merged = parts.next()?.value.clone();
    parts.for_each(|part| merged.merge(&part.value));
    Some(merged)
}

/// Merges the parts of a block's placements. Returns `None` if there are none.
fn merge_placements(parts: &Parts<BlockPlacements>) -> Option<BlockPlacements> {
    if parts.is_empty() {
        return None;
    }
    let mut merged = BlockPlacements::default();
    parts.values().for_each(|part| merged.merge(&part.value));
    Some(merged)
}

/// Replaces a block's merged record and returns the old one. The version never decreases.
fn replace_merged<T>(
    records: &mut BTreeMap<BlockId, Versioned<T>>,
    block: &BlockId,
    merged: Option<T>,
    version: u64,
) -> Option<T> {
    let old = records.remove(block);
    if let Some(value) = merged {
        let version = old.as_ref().map_or(version, |old| old.version.max(version));
        records.insert(block.clone(), Versioned { value, version });
    }
    old.map(|old| old.value)
}

/// The attempts in `first` that `second` does not have on the same machine.
fn attempts_only_in_first<'a>(
    first: &'a BlockPlacements,
    second: &'a BlockPlacements,
) -> impl Iterator<Item = (&'a MachineId, &'a AttemptEncoding)> {
    let changed = first
        .attempts_by_machine
        .iter()
        .map(|(machine, list)| (machine, list, second.attempts_by_machine.get(machine)))
        .filter(|(_, list, other)| *other != Some(*list));
    changed.flat_map(|(machine, list, other)| {
        list.iter()
            .filter(move |placed| other.is_none_or(|other| !other.contains(placed)))
            .map(move |placed| (machine, placed))
    })
}

fn decode<T: Record>(value: &ciborium::Value) -> Option<T> {
    value.deserialized().ok()
}

/// Sets or removes a record, unless the change is older than the record.
fn set<T: Record>(slot: &mut Option<Versioned<T>>, change: Change) {
    if slot
        .as_ref()
        .is_some_and(|old| old.version > change.version)
    {
        return;
    }
    *slot = change
        .value
        .as_ref()
        .and_then(decode)
        .map(|value| Versioned {
            value,
            version: change.version,
        });
}

/// Sets or removes a record in a map as [`set`] does. Returns false if the change is older than the
/// record.
fn set_entry<K: Ord, T: Record>(
    map: &mut BTreeMap<K, Versioned<T>>,
    key: K,
    change: Change,
) -> bool {
    if map
        .get(&key)
        .is_some_and(|old| old.version > change.version)
    {
        return false;
    }
    match change.value.as_ref().and_then(decode) {
        Some(value) => {
            map.insert(
                key,
                Versioned {
                    value,
                    version: change.version,
                },
            );
        }
        None => {
            map.remove(&key);
        }
    }
    true
}
