//! The watch cache: a local copy of all records, kept up to date by watches.
//!
//! It holds the records and the indexes derived from them: the merged parts of each block, the
//! machines by id, the attempts by job, and the open jobs with their finished tasks. The controller
//! polls it for requests ([`WatchCache::poll`]), passes it the responses
//! ([`WatchCache::handle_response`]) and applies its own commits to it ([`WatchCache::apply`]); all
//! other modules only read it. It does no input or output and reads no clock.
//!
//! Invariants: a record never goes back to an older version; a job that has ended stays ended; a
//! cache at `revision` contains every change up to that revision.

mod apply;
mod indexes;
mod pending_cancellations;
mod read_barrier;
mod sync;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use dappleshore_drain::{DrainId, DrainRecord, Ledger, TeamBudget};

use self::indexes::PlacementIndex;
use self::pending_cancellations::PendingCancellations;
use self::read_barrier::ReadBarrier;
use self::sync::{PollIntervals, SyncState, Synchronizer};
use super::records::{
    BlockLease, BlockPlacements, FencedModule, FormatSwitch, Leader, MachineInventory,
    MachineState, Member, Part, PendingRental, PlacementsFence, Progress, TaskRanges, TokenCounter,
    WriteFence,
};
use crate::config::StateLimits;
use crate::domain::{
    BlockId, CapacityType, ControllerName, InstanceTypeName, Job, JobId, JobOutcome, MachineId,
    Team, Zone,
};

pub use indexes::{JobPlacements, MachinePlacements, Placement};

/// A record with its version: the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// The revision of its last change.
    pub version: u64,
}

/// The version to require of a record in a transaction: 0 if there is no record.
pub fn version_of<T>(record: Option<&Versioned<T>>) -> u64 {
    record.map_or(0, |record| record.version)
}

/// Returns the records without their versions.
pub fn without_versions<K: Ord + Clone, T: Clone>(
    records: &BTreeMap<K, Versioned<T>>,
) -> BTreeMap<K, T> {
    let value = |(key, record): (&K, &Versioned<T>)| (key.clone(), record.value.clone());
    records.iter().map(value).collect()
}

/// The stored parts of a block's record.
pub type Parts<T> = BTreeMap<Part, Versioned<T>>;

/// An open job and the progress of its tasks.
#[derive(Debug)]
pub struct OpenJob {
    /// The job as it was accepted.
    pub job: Job,
    /// The version of its record.
    pub version: u64,
    /// Whether its user has cancelled it, so that its tasks are only to be stopped.
    pub cancelled: bool,
    /// Time of the cancellation in milliseconds since the Unix epoch, by the clock of the
    /// controller that accepted it; 0 if the job is not cancelled.
    pub cancelled_ms: u64,
    /// Finished tasks, including those not yet recorded in the job's progress. The set only grows.
    pub done: TaskRanges,
}

/// A machine as recorded in its block's inventory.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its instance type.
    pub type_name: InstanceTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Spot or on demand.
    pub capacity_type: CapacityType,
    /// The block that contains it.
    pub block: BlockId,
    /// Whether it accepts tasks.
    pub state: MachineState,
    /// When it was rented, in seconds since the Unix epoch.
    pub rented_s: u64,
}

/// Changes since the last call of [`WatchCache::take_changed`], for modules that maintain state
/// derived from the records.
#[derive(Debug, Default, PartialEq)]
pub struct ChangedRecords {
    /// The cache was reloaded, so any record may have changed.
    pub all: bool,
    /// A block lease has changed.
    pub block_leases: bool,
    /// Machines that were added, changed or removed.
    pub machines: BTreeSet<MachineId>,
    /// Jobs that were cancelled or have ended.
    pub cancelled_or_ended_jobs: BTreeSet<JobId>,
}

/// Identifies the request that a response belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestTag {
    /// A page of a load of all records.
    Page {
        /// The id of the load.
        load_id: u64,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// A watch for changes.
    Watch {
        /// The id of the load that the watch follows.
        load_id: u64,
    },
    /// A read of the service's revision, to find how far behind the cache is.
    LagCheck {
        /// The id of the load that the check follows.
        load_id: u64,
    },
    /// A read of the service's revision for the read barrier.
    Barrier {
        /// When the request was sent.
        sent: Instant,
    },
}

/// The local copy of the records.
#[derive(Debug)]
pub struct WatchCache {
    sync: Synchronizer,
    barrier: ReadBarrier,
    cancellations: PendingCancellations,
    /// The revision of the last change in the cache.
    pub revision: u64,
    /// The cache contains all that was committed before this time.
    current_as_of: Option<Instant>,

    /// The leader, if there is one.
    pub leader: Option<Versioned<Leader>>,
    /// The counter that fencing tokens and terms are taken from.
    pub token: Option<Versioned<TokenCounter>>,
    /// The controllers that are up.
    pub members: BTreeMap<ControllerName, Versioned<Member>>,
    /// Which controller holds each block.
    pub block_leases: BTreeMap<BlockId, Versioned<BlockLease>>,
    format: Option<Versioned<FormatSwitch>>,
    /// The tasks of each block, with all parts merged; the version is that of the last change.
    pub placements: BTreeMap<BlockId, Versioned<BlockPlacements>>,
    placements_parts: BTreeMap<BlockId, Parts<BlockPlacements>>,
    /// The machines of each block, with all parts merged; the version is that of the last change.
    pub inventories: BTreeMap<BlockId, Versioned<MachineInventory>>,
    inventory_parts: BTreeMap<BlockId, Parts<MachineInventory>>,
    /// The machines of all inventories.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that the inventories of several blocks list, which is not expected.
    pub machines_in_several_blocks: BTreeSet<MachineId>,
    /// Rental requests that may have been sent.
    pub pending_rentals: BTreeMap<InstanceTypeName, Versioned<PendingRental>>,
    /// Jobs that have not ended.
    pub open_jobs: BTreeMap<JobId, OpenJob>,
    /// Jobs that have ended, with their number of tasks.
    pub ended_jobs: HashMap<JobId, (JobOutcome, u32)>,
    /// The finished tasks of large jobs, by chunk.
    pub progress: BTreeMap<(JobId, u32), Versioned<Progress>>,
    /// Operators' requests to cordon or drain machines.
    pub drains: BTreeMap<DrainId, Versioned<DrainRecord>>,
    /// Disruption budgets that operators have set.
    pub drain_budgets: BTreeMap<Team, Versioned<TeamBudget>>,
    /// The disruptions of each team.
    pub drain_ledgers: BTreeMap<Team, Versioned<Ledger>>,
    /// The write fences of the leader's modules.
    pub write_fences: BTreeMap<FencedModule, Versioned<WriteFence>>,
    /// The write fences of the blocks' placements.
    pub placements_fences: BTreeMap<BlockId, Versioned<PlacementsFence>>,
    placement_index: PlacementIndex,
    changed: ChangedRecords,
}

impl WatchCache {
    /// Creates an empty cache. Its requests are spaced so that this many controllers together stay
    /// within the limits.
    pub fn new(limits: &StateLimits, controllers: usize) -> Self {
        let intervals = PollIntervals::new(limits, controllers);
        WatchCache::with_sync(Synchronizer::new(intervals, limits.value_bytes as u64))
    }

    fn with_sync(sync: Synchronizer) -> Self {
        WatchCache {
            sync,
            barrier: ReadBarrier::default(),
            cancellations: PendingCancellations::default(),
            revision: 0,
            current_as_of: None,
            leader: None,
            token: None,
            members: BTreeMap::new(),
            block_leases: BTreeMap::new(),
            format: None,
            placements: BTreeMap::new(),
            placements_parts: BTreeMap::new(),
            inventories: BTreeMap::new(),
            inventory_parts: BTreeMap::new(),
            machines: BTreeMap::new(),
            machines_in_several_blocks: BTreeSet::new(),
            pending_rentals: BTreeMap::new(),
            open_jobs: BTreeMap::new(),
            ended_jobs: HashMap::new(),
            progress: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_budgets: BTreeMap::new(),
            drain_ledgers: BTreeMap::new(),
            write_fences: BTreeMap::new(),
            placements_fences: BTreeMap::new(),
            placement_index: PlacementIndex::default(),
            changed: ChangedRecords {
                all: true,
                ..ChangedRecords::default()
            },
        }
    }

    /// Creates an empty cache that counts as loaded, for tests that apply changes themselves.
    #[cfg(test)]
    pub fn loaded_for_tests() -> Self {
        let limits = StateLimits {
            rps: 100.0,
            write_rps: 20.0,
            value_bytes: 8192,
            txn_ops: 16,
        };
        let mut cache = WatchCache::new(&limits, 3);
        cache.sync.state = SyncState::Following { maybe_stale: false };
        cache
    }

    /// Sets the time before which all commits count as contained in the cache.
    #[cfg(test)]
    pub fn set_current_as_of(&mut self, at: Instant) {
        self.current_as_of = Some(at);
    }

    /// Whether all records have been loaded. The cache may still lag behind the service.
    pub fn is_loaded(&self) -> bool {
        !matches!(self.sync.state, SyncState::Loading)
    }

    /// The time before which all commits are contained in the cache. `None` if the cache is not
    /// loaded or its age is unknown.
    pub fn current_as_of(&self) -> Option<Instant> {
        if self.is_loaded() {
            self.current_as_of
        } else {
            None
        }
    }

    /// Whether the cache contains all that was committed before `time`.
    pub fn is_current_as_of(&self, time: Instant) -> bool {
        self.current_as_of().is_some_and(|current| current >= time)
    }

    /// Requests a refresh: the cache asks the service for its current revision.
    pub fn request_refresh(&mut self) {
        self.barrier.request();
    }

    /// Whether anything has changed since the last call of [`WatchCache::take_changed`].
    pub fn has_changed(&self) -> bool {
        self.changed != ChangedRecords::default()
    }

    /// Returns the changes since the last call.
    pub fn take_changed(&mut self) -> ChangedRecords {
        std::mem::take(&mut self.changed)
    }

    /// The format that is switched on; 0 is the format of the production version.
    pub fn format(&self) -> u32 {
        self.format
            .as_ref()
            .map_or(0, |format| format.value.version)
    }

    /// The version of the record of the format switch; 0 if there is none.
    pub fn format_version(&self) -> u64 {
        version_of(self.format.as_ref())
    }

    /// The last number taken from the counter of fencing tokens and terms; 0 if none was taken.
    pub fn last_token(&self) -> u64 {
        self.token.as_ref().map_or(0, |token| token.value.last)
    }
}

#[cfg(test)]
mod tests;
