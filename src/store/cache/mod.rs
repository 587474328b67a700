//! The watch cache: a copy of all records, kept up to date by watching their changes.
//!
//! It owns the copy and what follows from it: the merged parts of each block, the machines by id, the attempts by job, the
//! open jobs with their finished tasks. The controller asks it for requests ([`WatchCache::poll`]), gives it the answers
//! ([`WatchCache::handle_response`]) and applies its own commits ([`WatchCache::apply`]); every other module reads it. It does no input
//! or output and reads no clock.
//!
//! Invariants: a record never goes back to an older version; a job that has ended stays ended; the copy at `revision` holds
//! every change up to that revision.

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
    BlockLease, BlockPlacements, FormatSwitch, Leader, MachineInventory, MachineState, Member,
    Part, PendingRental, Progress, TaskRanges, TokenCounter,
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

/// The version that a change of a record is conditioned on: 0 if there is none.
pub fn version_of<T>(record: Option<&Versioned<T>>) -> u64 {
    record.map_or(0, |record| record.version)
}

/// Records without their versions.
pub fn without_versions<K: Ord + Clone, T: Clone>(
    records: &BTreeMap<K, Versioned<T>>,
) -> BTreeMap<K, T> {
    let value = |(key, record): (&K, &Versioned<T>)| (key.clone(), record.value.clone());
    records.iter().map(value).collect()
}

/// The values that a block's record is kept in.
pub type Parts<T> = BTreeMap<Part, Versioned<T>>;

/// An open job with what is known of its tasks.
#[derive(Debug)]
pub struct OpenJob {
    /// What was asked for.
    pub job: Job,
    /// The version of its record.
    pub version: u64,
    /// Its user has cancelled it: its tasks are only to be stopped.
    pub cancelled: bool,
    /// When it was cancelled, in milliseconds since the Unix epoch by the clock of the controller that accepted it; 0 if it
    /// was not.
    pub cancelled_ms: u64,
    /// Finished tasks, whether recorded in the job's progress already or not. Only ever grows.
    pub done: TaskRanges,
}

/// A machine as its block's inventory has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its instance type.
    pub type_name: InstanceTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Spot or on demand.
    pub capacity_type: CapacityType,
    /// The block that it belongs to.
    pub block: BlockId,
    /// Whether it takes tasks.
    pub state: MachineState,
    /// When it was rented, in seconds since the Unix epoch.
    pub rented_s: u64,
}

/// What has changed since the last call of [`WatchCache::take_changed`], for modules that keep something that follows from
/// the records.
#[derive(Debug, Default, PartialEq)]
pub struct ChangedRecords {
    /// The copy was reloaded: anything may have changed.
    pub all: bool,
    /// A block lease has changed.
    pub block_leases: bool,
    /// Machines that have changed or are gone.
    pub machines: BTreeSet<MachineId>,
    /// Jobs that were cancelled or have ended.
    pub cancelled_or_ended_jobs: BTreeSet<JobId>,
}

/// Tells which request an answer belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestTag {
    /// A page of all records.
    Page {
        /// The count of the load that it belongs to.
        load_id: u64,
        /// The last key of the page before; None for the first page.
        after: Option<String>,
    },
    /// A watch of changes.
    Watch {
        /// The count of the load that it follows.
        load_id: u64,
    },
    /// How far behind the copy is.
    LagCheck {
        /// The count of the load that it follows.
        load_id: u64,
    },
    /// The service's revision, for reads that must not be older than the request.
    Barrier {
        /// When the request was made.
        sent: Instant,
    },
}

/// The copy of the records.
#[derive(Debug)]
pub struct WatchCache {
    sync: Synchronizer,
    barrier: ReadBarrier,
    cancellations: PendingCancellations,
    /// The last change that is in the copy.
    pub revision: u64,
    /// The copy held all that was committed before this time.
    current_as_of: Option<Instant>,

    /// Who leads.
    pub leader: Option<Versioned<Leader>>,
    /// The counter that fencing tokens and terms are taken from.
    pub token: Option<Versioned<TokenCounter>>,
    /// The controllers that are up.
    pub members: BTreeMap<ControllerName, Versioned<Member>>,
    /// Which controller holds each block.
    pub block_leases: BTreeMap<BlockId, Versioned<BlockLease>>,
    format: Option<Versioned<FormatSwitch>>,
    /// The tasks of each block, all parts together; the version is that of its last change.
    pub placements: BTreeMap<BlockId, Versioned<BlockPlacements>>,
    placements_parts: BTreeMap<BlockId, Parts<BlockPlacements>>,
    /// The machines of each block, all parts together; the version is that of its last change.
    pub inventories: BTreeMap<BlockId, Versioned<MachineInventory>>,
    inventory_parts: BTreeMap<BlockId, Parts<MachineInventory>>,
    /// All machines of all inventories.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Rental requests that may have been sent.
    pub pending_rentals: BTreeMap<InstanceTypeName, Versioned<PendingRental>>,
    /// Jobs that have not ended.
    pub open_jobs: BTreeMap<JobId, OpenJob>,
    /// Jobs that have ended, with their count of tasks.
    pub ended_jobs: HashMap<JobId, (JobOutcome, u32)>,
    /// The finished tasks of large jobs, by chunk.
    pub progress: BTreeMap<(JobId, u32), Versioned<Progress>>,
    /// What operators want of machines.
    pub drains: BTreeMap<DrainId, Versioned<DrainRecord>>,
    /// Disruption budgets that operators have set.
    pub drain_budgets: BTreeMap<Team, Versioned<TeamBudget>>,
    /// The disruptions of each team.
    pub drain_ledgers: BTreeMap<Team, Versioned<Ledger>>,
    placement_index: PlacementIndex,
    changed: ChangedRecords,
}

impl WatchCache {
    /// An empty copy, with requests spaced so that this many controllers together keep within the limits.
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
            pending_rentals: BTreeMap::new(),
            open_jobs: BTreeMap::new(),
            ended_jobs: HashMap::new(),
            progress: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_budgets: BTreeMap::new(),
            drain_ledgers: BTreeMap::new(),
            placement_index: PlacementIndex::default(),
            changed: ChangedRecords {
                all: true,
                ..ChangedRecords::default()
            },
        }
    }

    /// A copy that is whole, for tests that apply changes themselves.
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

    /// Takes the copy to hold all that was committed before this time.
    #[cfg(test)]
    pub fn set_current_as_of(&mut self, at: Instant) {
        self.current_as_of = Some(at);
    }

    /// Whether the copy is whole (if perhaps a little old).
    pub fn is_loaded(&self) -> bool {
        !matches!(self.sync.state, SyncState::Loading)
    }

    /// The copy holds all that was committed before this time. None if it is not whole, or not known to be that new.
    pub fn current_as_of(&self) -> Option<Instant> {
        if self.is_loaded() {
            self.current_as_of
        } else {
            None
        }
    }

    /// Whether the copy holds all that was committed before `asked`.
    pub fn is_current_as_of(&self, asked: Instant) -> bool {
        self.current_as_of().is_some_and(|current| current >= asked)
    }

    /// Asks for the copy to be brought up to the present.
    pub fn request_refresh(&mut self) {
        self.barrier.request();
    }

    /// Whether anything has changed since the last call of [`WatchCache::take_changed`].
    pub fn has_changed(&self) -> bool {
        self.changed != ChangedRecords::default()
    }

    /// What has changed since the last call.
    pub fn take_changed(&mut self) -> ChangedRecords {
        std::mem::take(&mut self.changed)
    }

    /// The format that is switched on; 0 is that of the production version.
    pub fn format(&self) -> u32 {
        self.format
            .as_ref()
            .map_or(0, |format| format.value.version)
    }

    /// The version of the record that says so, 0 if there is none.
    pub fn format_version(&self) -> u64 {
        version_of(self.format.as_ref())
    }

    /// The last number that was taken from the counter of fencing tokens and terms, 0 if none was.
    pub fn last_token(&self) -> u64 {
        self.token.as_ref().map_or(0, |token| token.value.last)
    }
}

#[cfg(test)]
mod tests;
