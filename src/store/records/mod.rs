//! The records that this service stores in the state service, with one key prefix for each kind.
//!
//! This module defines their types, their keys, their encoding and the size of the encoded values.
//! Writers build transactions from them; [`super::cache`] reads them. Stored records must stay
//! readable for previous versions: serde attributes keep the stored names, and new fields and
//! records are written only once their format is switched on. The exception are write fences, which
//! previous versions ignore.

mod block_leases;
mod formats;
mod inventory;
mod jobs;
mod keys;
mod membership;
mod placements;
mod size;
mod task_ranges;
mod write_fences;

use dappleshore_drain::{DrainRecord, Ledger, TeamBudget};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use block_leases::BlockLease;
pub use formats::{DRAIN_FORMAT, FormatSwitch, NEWEST_FORMAT, PARTS_FORMAT};
pub use inventory::{InventoryEntry, MachineInventory, MachineState, PendingRental};
pub use jobs::{JobRecord, Progress, TASKS_PER_PROGRESS_CHUNK};
pub use keys::{
    FIRST_PART, FORMAT_KEY, KEY_PREFIX, LEADER_KEY, Part, RecordKey, TOKEN_KEY, UNWRITTEN_KEY,
    block_lease_key, drain_budget_key, drain_key, drain_ledger_key, inventory_key,
    inventory_part_key, job_key, member_key, pending_rental_key, placements_fence_key,
    placements_key, placements_part_key, progress_key, write_fence_key,
};
pub use membership::{Leader, Member, TokenCounter};
pub use placements::{AttemptEncoding, BlockPlacements, done_entry_size};
pub use size::json_size;
pub use task_ranges::TaskRanges;
pub use write_fences::{FencedModule, PlacementsFence, WriteFence};

/// A type that is stored as one value.
pub trait Record: Serialize + DeserializeOwned {}

/// Encodes a record as the stored value. Records are maps of text and numbers, which can always be
/// encoded as CBOR.
pub fn encode(record: &impl Record) -> ciborium::Value {
    ciborium::Value::serialized(record).unwrap_or(ciborium::Value::Null)
}

macro_rules! records {
    ($($name:ident),*) => { $(impl Record for $name {})* };
}
records!(
    Leader,
    TokenCounter,
    Member,
    FormatSwitch,
    BlockLease,
    MachineInventory,
    PendingRental,
    BlockPlacements,
    JobRecord,
    Progress,
    DrainRecord,
    TeamBudget,
    Ledger,
    WriteFence,
    PlacementsFence
);

/// A changed key.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub version: u64,
    /// The new value; `None` if the key was removed.
    pub value: Option<ciborium::Value>,
}

#[cfg(test)]
mod fixtures;
#[cfg(test)]
mod tests;
