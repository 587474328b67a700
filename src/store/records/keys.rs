//! The keys of the records and their order.
//!
//! Keys are stored data, so their spelling does not change.

use dappleshore_drain::DrainId;

use super::write_fences::FencedModule;
use crate::domain::{BlockId, ControllerName, InstanceTypeName, JobId, Team};

/// The common prefix of all keys of this service. One watch covers all of them.
pub const KEY_PREFIX: &str = "dappleshore/";
/// The key of [`Leader`](super::Leader).
pub const LEADER_KEY: &str = "dappleshore/leader";
/// The key of [`TokenCounter`](super::TokenCounter).
pub const TOKEN_KEY: &str = "dappleshore/token";
/// A key that is never written. Reading it returns the current revision.
pub const UNWRITTEN_KEY: &str = "dappleshore/nowhere";

/// The key of a live controller.
pub fn member_key(controller: &ControllerName) -> String {
    format!("{KEY_PREFIX}node/{controller}")
}

/// The key of a block's lease.
pub fn block_lease_key(block: &BlockId) -> String {
    format!("{KEY_PREFIX}grant/{block}")
}

/// The key of the first part of a block's placements.
pub fn placements_key(block: &BlockId) -> String {
    format!("{KEY_PREFIX}places/{block}")
}

/// The key of the first part of a block's inventory.
pub fn inventory_key(block: &BlockId) -> String {
    format!("{KEY_PREFIX}machines/{block}")
}

/// Number of a stored part of a block's record. Part 0 is the only one in the production format.
/// The others were added with [`PARTS_FORMAT`](super::PARTS_FORMAT), under prefixes that the
/// production version ignores.
pub type Part = u32;

/// The first part, which is the only one that the production version supports.
pub const FIRST_PART: Part = 0;

/// The key of a part of a block's placements.
///
/// Pages are read in the order of keys, in which all first parts sort before all other parts. An
/// entry that moves from a first part to another part during a load is therefore read at least
/// once.
pub fn placements_part_key(block: &BlockId, part: Part) -> String {
    match part {
        FIRST_PART => placements_key(block),
        part => format!("{KEY_PREFIX}places_part/{block}/{part:05}"),
    }
}

/// The key of a part of a block's inventory, with the same order as [`placements_part_key`].
pub fn inventory_part_key(block: &BlockId, part: Part) -> String {
    match part {
        FIRST_PART => inventory_key(block),
        part => format!("{KEY_PREFIX}machines_part/{block}/{part:05}"),
    }
}

/// The key of [`FormatSwitch`](super::FormatSwitch).
pub const FORMAT_KEY: &str = "dappleshore/format";

/// The key of an operator's request to cordon or drain machines.
pub fn drain_key(id: &DrainId) -> String {
    format!("{KEY_PREFIX}drain/{id}")
}

/// The key of the disruption budget that operators have set for a team by request.
pub fn drain_budget_key(team: &Team) -> String {
    format!("{KEY_PREFIX}drain_budget/{team}")
}

/// The key of a team's disruption ledger.
pub fn drain_ledger_key(team: &Team) -> String {
    format!("{KEY_PREFIX}drain_ledger/{team}")
}

/// The key of the write fence of one of the leader's modules. The production version ignores it.
pub fn write_fence_key(module: FencedModule) -> String {
    format!("{KEY_PREFIX}fence/{module}")
}

/// The key of the write fence of a block's placements.
pub fn placements_fence_key(block: &BlockId) -> String {
    format!("{KEY_PREFIX}places_fence/{block}")
}

/// The key of the pending rental request for an instance type, which may have been sent.
pub fn pending_rental_key(name: &InstanceTypeName) -> String {
    format!("{KEY_PREFIX}order/{name}")
}

/// The key of a job.
pub fn job_key(job: JobId) -> String {
    format!("{KEY_PREFIX}job/{job}")
}

/// The key of a chunk of the finished tasks of a large job.
pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{KEY_PREFIX}progress/{job}/{chunk:05}")
}

/// The kind of record that a key belongs to, with the ids in the key.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordKey {
    /// The leader.
    Leader,
    /// The counter of fencing tokens and terms.
    TokenCounter,
    /// A live controller.
    Member(ControllerName),
    /// The lease of a block.
    BlockLease(BlockId),
    /// The format that is switched on.
    Format,
    /// A part of a block's placements.
    BlockPlacements(BlockId, Part),
    /// A part of a block's inventory.
    MachineInventory(BlockId, Part),
    /// A rental request that may have been sent.
    PendingRental(InstanceTypeName),
    /// A job.
    Job(JobId),
    /// A chunk of the finished tasks of a large job.
    Progress(JobId, u32),
    /// An operator's request to cordon or drain machines.
    Drain(DrainId),
    /// A team's disruption budget, set by request.
    DrainBudget(Team),
    /// A team's disruption ledger.
    DrainLedger(Team),
    /// The write fence of one of the leader's modules.
    WriteFence(FencedModule),
    /// The write fence of a block's placements.
    PlacementsFence(BlockId),
}

impl RecordKey {
    /// Parses a key. Returns `None` if it is not a key of this service or belongs to a kind that
    /// this version does not support.
    pub fn of(key: &str) -> Option<Self> {
        let name = key.strip_prefix(KEY_PREFIX)?;
        match name.split_once('/') {
            None if key == LEADER_KEY => Some(RecordKey::Leader),
            None if key == TOKEN_KEY => Some(RecordKey::TokenCounter),
            None if key == FORMAT_KEY => Some(RecordKey::Format),
            None => None,
            Some(("node", rest)) => Some(RecordKey::Member(rest.into())),
            Some(("grant", rest)) => Some(RecordKey::BlockLease(rest.into())),
            Some(("places", rest)) => Some(RecordKey::BlockPlacements(rest.into(), FIRST_PART)),
            Some(("machines", rest)) => Some(RecordKey::MachineInventory(rest.into(), FIRST_PART)),
            Some(("places_part", rest)) => {
                let (block, part) = parse_block_and_part(rest)?;
                Some(RecordKey::BlockPlacements(block, part))
            }
            Some(("machines_part", rest)) => {
                let (block, part) = parse_block_and_part(rest)?;
                Some(RecordKey::MachineInventory(block, part))
            }
            Some(("drain", rest)) => rest.parse().ok().map(RecordKey::Drain),
            Some(("drain_budget", rest)) => Some(RecordKey::DrainBudget(rest.into())),
            Some(("drain_ledger", rest)) => Some(RecordKey::DrainLedger(rest.into())),
            Some(("fence", rest)) => rest.parse().ok().map(RecordKey::WriteFence),
            Some(("places_fence", rest)) => Some(RecordKey::PlacementsFence(rest.into())),
            Some(("order", rest)) => Some(RecordKey::PendingRental(rest.into())),
            Some(("job", rest)) => rest.parse().ok().map(RecordKey::Job),
            Some(("progress", rest)) => {
                let (job, chunk) = rest.split_once('/')?;
                Some(RecordKey::Progress(job.parse().ok()?, chunk.parse().ok()?))
            }
            Some(_) => None,
        }
    }
}

/// Parses `block/part`, the end of a part's key.
fn parse_block_and_part(text: &str) -> Option<(BlockId, Part)> {
    let (block, part) = text.split_once('/')?;
    Some((block.into(), part.parse().ok()?))
}
