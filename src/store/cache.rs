//! Our copy of the records, kept up to date by following their changes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use dappleshore_drain::{DrainId, DrainRecord, Ledger, TeamBudget};
use tracing::{info, warn};

use super::records::{
    AttemptEncoding, BlockLease, BlockPlacements, CHUNK, Change, FormatSwitch, JobRecord, Leader,
    MachineInventory, MachineState, Member, NOWHERE, Part, PendingRental, Progress, ROOT, Ranges,
    Record, RecordKey, Token,
};
use super::{StoreRequest, StoreResponse};
use crate::config::StateLimits;
use crate::domain::{
    Attempt, BlockId, CapacityType, ControllerName, InstanceTypeName, Job, JobId, JobOutcome,
    MachineId, Now, Team, Zone, since,
};

#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub value: T,
    pub version: u64,
}

/// The version that a change of a record is conditioned on: 0 if there is none.
pub fn version_of<T>(record: Option<&Versioned<T>>) -> u64 {
    record.map_or(0, |record| record.version)
}

/// Records without their versions.
pub fn values<K: Ord + Clone, T: Clone>(records: &BTreeMap<K, Versioned<T>>) -> BTreeMap<K, T> {
    let value = |(key, record): (&K, &Versioned<T>)| (key.clone(), record.value.clone());
    records.iter().map(value).collect()
}

/// The values that a block's record is kept in.
pub type Parts<T> = BTreeMap<Part, Versioned<T>>;

/// An open job with what is known of its tasks.
#[derive(Debug)]
pub struct OpenJob {
    pub job: Job,
    pub version: u64,
    /// Its user has cancelled it; its tasks only have to go.
    pub cancelled: bool,
    /// When that was, by the time of day of whoever took it in.
    pub cancelled_ms: u64,
    /// Done tasks, whether folded already or not. Only ever grows.
    pub done: Ranges,
}

/// A machine as its block's inventory has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub capacity_type: CapacityType,
    pub block: BlockId,
    pub state: MachineState,
    pub rented_s: u64,
}

/// A job's tasks in all blocks' placements, by task and attempt: a lost attempt, whose machine's record is gone
/// already, can stand there beside the one that follows it.
pub type Placed = BTreeMap<(u32, u64), Placement>;

/// A machine that tasks may be on.
#[derive(Debug, Clone, Copy)]
pub struct Live<'v> {
    pub block: &'v BlockId,
    pub id: &'v MachineId,
    pub machine: &'v Machine,
    attempts: &'v [AttemptEncoding],
}

impl<'v> Live<'v> {
    pub fn attempts(&self) -> impl Iterator<Item = Attempt> + use<'v> {
        self.attempts.iter().map(|placed| placed.0)
    }
}

/// What has changed since it was last asked for: who keeps something that follows from the records brings it up
/// to date from this, and need not go through all of them.
#[derive(Debug, Default, PartialEq)]
pub struct ChangedRecords {
    /// The copy was read anew.
    pub all: bool,
    pub block_leases: bool,
    pub machines: BTreeSet<MachineId>,
    /// Jobs that were cancelled or are over.
    pub ended: BTreeSet<JobId>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub block: BlockId,
    pub machine: MachineId,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reading everything, page by page.
    Loading,
    Following,
    /// Too far behind to follow: everything is read once more, beside the copy as it is. A holder goes on answering its
    /// workers from it for the life of its block lease.
    Reloading,
}

/// What the view waits for.
#[derive(Debug, Clone, PartialEq)]
pub enum Tag {
    Page {
        load: u64,
        after: Option<String>,
    },
    Watch {
        load: u64,
    },
    /// How far behind the copy is.
    LagCheck {
        load: u64,
    },
    Barrier {
        sent: Instant,
    },
}

/// The copy. `revision` is the last change that is in it.
#[derive(Debug)]
pub struct WatchCache {
    state: State,
    /// Counts loads, so that answers of an abandoned one are told apart.
    load: u64,
    load_revision: u64,
    pub revision: u64,
    /// The copy held all that was committed before this time.
    fresh: Option<Instant>,
    busy: bool,
    asked: Option<Instant>,
    retry_at: Option<Instant>,
    pace: Pace,
    /// What is read anew while the copy is still in use.
    incoming: Vec<Change>,
    /// The copy may be far behind: how far is asked before its changes are.
    doubtful: bool,
    /// When it was last found not to be.
    near: Option<Instant>,
    /// The most that one change can measure.
    value_bytes: u64,
    /// A revision that the copy must reach before what was asked at that time is answered.
    barrier: Barrier,

    pub leader: Option<Versioned<Leader>>,
    pub token: Option<Versioned<Token>>,
    pub members: BTreeMap<ControllerName, Versioned<Member>>,
    pub block_leases: BTreeMap<BlockId, Versioned<BlockLease>>,
    format: Option<Versioned<FormatSwitch>>,
    /// The tasks of each block, all parts together; the version is that of its last change.
    pub placements: BTreeMap<BlockId, Versioned<BlockPlacements>>,
    /// The values that they are kept in.
    placements_parts: BTreeMap<BlockId, Parts<BlockPlacements>>,
    /// The machines of each block, all parts together.
    pub inventories: BTreeMap<BlockId, Versioned<MachineInventory>>,
    inventory_parts: BTreeMap<BlockId, Parts<MachineInventory>>,
    /// All machines of all inventories.
    pub machines: BTreeMap<MachineId, Machine>,
    pub pending_rentals: BTreeMap<InstanceTypeName, Versioned<PendingRental>>,
    pub open: BTreeMap<JobId, OpenJob>,
    pub ended: HashMap<JobId, (JobOutcome, u32)>,
    pub progress: BTreeMap<(JobId, u32), Versioned<Progress>>,
    /// What operators want of machines.
    pub drains: BTreeMap<DrainId, Versioned<DrainRecord>>,
    pub drain_budgets: BTreeMap<Team, Versioned<TeamBudget>>,
    pub drain_ledgers: BTreeMap<Team, Versioned<Ledger>>,
    placed: HashMap<JobId, Placed>,
    /// Cancellations that other controllers have told us of and our copy is too old to show: version, time of day.
    cancellations: BTreeMap<JobId, (u64, u64)>,
    changed: ChangedRecords,
}

static NOTHING_PLACED: Placed = BTreeMap::new();

#[derive(Debug, Default)]
struct Barrier {
    wanted: bool,
    busy: bool,
    sent: Option<Instant>,
    /// (asked before, revision to reach)
    pending: Vec<(Instant, u64)>,
}

/// A watch returns at least this often, which bounds how old the copy can be.
const FOLLOW_FOR: Duration = Duration::from_millis(2500);
/// The parts of the state service's rate of requests that all controllers' watches and fresh reads may take.
const FOLLOW_PART: f64 = 0.4;
const BARRIER_PART: f64 = 0.25;

/// Each watch and each fresh read costs a request: how far apart they are kept follows from the rate.
#[derive(Debug, Clone, Copy)]
struct Pace {
    follow: Duration,
    /// One read answers all questions that came since the last one.
    barrier: Duration,
}

const RETRY: Duration = Duration::from_millis(400);
/// Cancellations kept beside a copy that is too old to show them. Beyond that the block leases' life must do.
const MOST_CANCELLATIONS: usize = 10_000;
/// A copy that was not brought up to date for so long may be far behind: watches return more often than that.
const DOUBTFUL_AFTER: Duration = Duration::from_secs(6);
/// What is missed may measure this much at the most, if each change is as large as can be, else everything is read
/// anew. A watch answers with all changes at once: after 46 s away that was more than a controller can take. With less
/// allowed, copies were read anew again and again while the state service was only slow.
const MOST_MISSED: u64 = 8 << 20;

impl WatchCache {
    pub fn new(limits: &StateLimits, controllers: usize) -> Self {
        let spacing = |part: f64| {
            Duration::from_secs_f64(controllers.max(1) as f64 / (limits.rps.max(1.0) * part))
        };
        let pace = Pace {
            follow: spacing(FOLLOW_PART),
            barrier: spacing(BARRIER_PART),
        };
        WatchCache::at(pace, limits.value_bytes as u64)
    }

    fn at(pace: Pace, value_bytes: u64) -> Self {
        WatchCache {
            pace,
            incoming: Vec::new(),
            doubtful: false,
            near: None,
            value_bytes,
            state: State::Loading,
            load: 0,
            load_revision: 0,
            revision: 0,
            fresh: None,
            busy: false,
            asked: None,
            retry_at: None,
            barrier: Barrier::default(),
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
            open: BTreeMap::new(),
            ended: HashMap::new(),
            progress: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_budgets: BTreeMap::new(),
            drain_ledgers: BTreeMap::new(),
            placed: HashMap::new(),
            cancellations: BTreeMap::new(),
            changed: ChangedRecords {
                all: true,
                ..ChangedRecords::default()
            },
        }
    }

    /// A copy that is whole, for tests that apply changes themselves.
    #[cfg(test)]
    pub fn following() -> Self {
        let limits = StateLimits {
            rps: 100.0,
            write_rps: 20.0,
            value_bytes: 8192,
            txn_ops: 16,
        };
        WatchCache {
            state: State::Following,
            ..WatchCache::new(&limits, 3)
        }
    }

    /// Takes the copy to hold all that was committed before this time.
    #[cfg(test)]
    pub fn assume_fresh(&mut self, at: Instant) {
        self.fresh = Some(at);
    }

    /// Whether the copy is whole (if perhaps a little old).
    pub fn ready(&self) -> bool {
        self.state != State::Loading
    }

    /// The copy holds all that was committed before this time.
    pub fn current_as_of(&self) -> Option<Instant> {
        if self.ready() { self.fresh } else { None }
    }

    /// Whether an answer from the copy is at least as new as `asked`.
    pub fn covers(&self, asked: Instant) -> bool {
        self.current_as_of().is_some_and(|fresh| fresh >= asked)
    }

    /// Asks for the copy to be brought up to the present.
    pub fn request_refresh(&mut self) {
        self.barrier.wanted = true;
    }

    /// Requests that are due.
    pub fn poll(&mut self, now: Now) -> Vec<(Tag, StoreRequest)> {
        let mut ops = Vec::new();
        if self.barrier.wanted && !self.barrier.busy && self.ready() {
            let spaced = self
                .barrier
                .sent
                .is_none_or(|sent| since(now, sent) >= self.pace.barrier);
            if spaced {
                self.barrier.wanted = false;
                self.barrier.busy = true;
                self.barrier.sent = Some(now.monotonic);
                ops.push((
                    Tag::Barrier {
                        sent: now.monotonic,
                    },
                    StoreRequest::Get {
                        key: NOWHERE.to_owned(),
                    },
                ));
            }
        }
        if self.busy || self.retry_at.is_some_and(|at| now.monotonic < at) {
            return ops;
        }
        self.retry_at = None;
        match self.state {
            State::Loading => {
                self.clear();
                self.load += 1;
                self.busy = true;
                self.asked = Some(now.monotonic);
                ops.push((
                    Tag::Page {
                        load: self.load,
                        after: None,
                    },
                    StoreRequest::Range {
                        prefix: ROOT.to_owned(),
                        after: None,
                    },
                ));
            }
            State::Reloading => {
                self.incoming.clear();
                self.load += 1;
                self.busy = true;
                let tag = Tag::Page {
                    load: self.load,
                    after: None,
                };
                ops.push((
                    tag,
                    StoreRequest::Range {
                        prefix: ROOT.to_owned(),
                        after: None,
                    },
                ));
            }
            State::Following if self.doubtful || self.neglected(now) => {
                self.busy = true;
                ops.push((
                    Tag::LagCheck { load: self.load },
                    StoreRequest::Get {
                        key: NOWHERE.to_owned(),
                    },
                ));
            }
            State::Following => {
                let spaced = self
                    .asked
                    .is_none_or(|asked| since(now, asked) >= self.pace.follow);
                if spaced {
                    self.busy = true;
                    self.asked = Some(now.monotonic);
                    let op = StoreRequest::Watch {
                        prefix: ROOT.to_owned(),
                        after: self.revision,
                        wait: FOLLOW_FOR,
                    };
                    ops.push((Tag::Watch { load: self.load }, op));
                }
            }
        }
        ops
    }

    /// Whether nothing was heard of the service for so long that much may have changed. A process that stood still has
    /// seen no watch fail.
    fn neglected(&self, now: Now) -> bool {
        self.fresh
            .max(self.near)
            .is_some_and(|at| since(now, at) > DOUBTFUL_AFTER)
    }

    fn clear(&mut self) {
        let load = self.load;
        let barrier = std::mem::take(&mut self.barrier);
        let cancellations = std::mem::take(&mut self.cancellations);
        *self = WatchCache::at(self.pace, self.value_bytes);
        self.load = load;
        self.cancellations = cancellations;
        self.barrier = Barrier {
            wanted: barrier.wanted || barrier.busy,
            ..Barrier::default()
        };
    }

    /// The one place where the copy changes.
    pub fn handle(
        &mut self,
        now: Now,
        tag: Tag,
        outcome: StoreResponse,
    ) -> Vec<(Tag, StoreRequest)> {
        match tag {
            Tag::Barrier { sent } => {
                self.barrier.busy = false;
                match outcome {
                    StoreResponse::Missing { revision } => {
                        self.barrier.pending.push((sent, revision))
                    }
                    _ => self.barrier.wanted = true,
                }
                self.settle_barrier();
                Vec::new()
            }
            Tag::Page { load, after } if load == self.load => self.page(now, after, outcome),
            Tag::LagCheck { load } if load == self.load => {
                self.busy = false;
                match outcome {
                    StoreResponse::Missing { revision } => self.measured(now, revision),
                    _ => self.retry_at = Some(now.monotonic + RETRY),
                }
                Vec::new()
            }
            Tag::Watch { load } if load == self.load => {
                self.handle_watch_response(now, outcome);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// The service is at this revision: follows the changes since ours, or reads everything if they may be too many.
    fn measured(&mut self, now: Now, revision: u64) {
        self.doubtful = false;
        let missed = revision.saturating_sub(self.revision);
        if missed.saturating_mul(self.value_bytes) > MOST_MISSED {
            info!(missed, "far behind; reading everything anew");
            self.state = State::Reloading;
        } else {
            self.near = Some(now.monotonic);
        }
    }

    fn page(
        &mut self,
        now: Now,
        after: Option<String>,
        outcome: StoreResponse,
    ) -> Vec<(Tag, StoreRequest)> {
        match outcome {
            StoreResponse::RangePage {
                key_values,
                more,
                revision,
            } => {
                if after.is_none() {
                    // Later pages may be newer; following from the first one's revision repeats, and so
                    // corrects, whatever changed in between.
                    self.load_revision = revision;
                }
                let last = key_values.last().map(|entry| entry.key.clone());
                let changes = key_values.into_iter().map(|entry| Change {
                    key: entry.key,
                    version: entry.version,
                    value: Some(entry.value),
                });
                if self.state == State::Reloading {
                    self.incoming.extend(changes);
                } else {
                    changes.for_each(|change| self.apply(change));
                }
                if more && last.is_some() {
                    let op = StoreRequest::Range {
                        prefix: ROOT.to_owned(),
                        after: last.clone(),
                    };
                    return vec![(
                        Tag::Page {
                            load: self.load,
                            after: last,
                        },
                        op,
                    )];
                }
                if self.state == State::Reloading {
                    let (incoming, revision) =
                        (std::mem::take(&mut self.incoming), self.load_revision);
                    self.clear();
                    incoming.into_iter().for_each(|change| self.apply(change));
                    self.load_revision = revision;
                }
                self.busy = false;
                self.revision = self.load_revision;
                self.state = State::Following;
                self.forget_shown();
                // The first page may predate the rest: only what was asked before it is covered.
                self.fresh = None;
                self.asked = None;
                info!(
                    revision = self.revision,
                    open = self.open.len(),
                    ended = self.ended.len(),
                    "state loaded"
                );
            }
            _ => {
                self.busy = false;
                self.retry_at = Some(now.monotonic + RETRY);
            }
        }
        Vec::new()
    }

    fn handle_watch_response(&mut self, now: Now, outcome: StoreResponse) {
        self.busy = false;
        match outcome {
            StoreResponse::WatchEvents { revision, changes } => {
                for change in changes {
                    self.apply(change);
                }
                self.revision = self.revision.max(revision);
                self.forget_shown();
                self.fresh = self.fresh.max(self.asked);
                self.settle_barrier();
            }
            StoreResponse::Compacted => {
                warn!(
                    revision = self.revision,
                    "changes are no longer kept; reading everything again"
                );
                self.state = State::Reloading;
            }
            _ => {
                self.doubtful = true;
                self.retry_at = Some(now.monotonic + RETRY);
            }
        }
    }

    /// Takes in a cancellation that was committed as this version, before the watch tells of it: a controller that the
    /// state service refuses has no other way to learn of it. A copy that has reached that version and shows otherwise
    /// knows better. False: there is no room to keep it in mind.
    #[must_use]
    pub fn note_cancellation(&mut self, id: JobId, version: u64, at_ms: u64) -> bool {
        let shown = self.state == State::Following && self.revision >= version;
        if shown || self.ended.contains_key(&id) {
            return true;
        }
        if self.cancellations.len() >= MOST_CANCELLATIONS && !self.cancellations.contains_key(&id) {
            return false;
        }
        self.cancellations.insert(id, (version, at_ms));
        self.apply_cancellation(id);
        true
    }

    fn apply_cancellation(&mut self, id: JobId) {
        let (Some(open), Some((version, at_ms))) =
            (self.open.get_mut(&id), self.cancellations.get(&id))
        else {
            return;
        };
        if *version > open.version {
            open.version = *version;
            open.cancelled = true;
            open.cancelled_ms = *at_ms;
            self.changed.ended.insert(id);
        }
    }

    /// Forgets what our copy shows by itself.
    fn forget_shown(&mut self) {
        let revision = self.revision;
        self.cancellations
            .retain(|_, (version, _)| *version > revision);
    }

    fn settle_barrier(&mut self) {
        let revision = self.revision;
        if !self.ready() {
            return;
        }
        let mut fresh = self.fresh;
        self.barrier.pending.retain(|(sent, needed)| {
            let reached = revision >= *needed;
            if reached {
                fresh = fresh.max(Some(*sent));
            }
            !reached
        });
        self.fresh = fresh;
    }

    /// Applies one change. Also used for our own commits, before the watch tells of them.
    pub fn apply(&mut self, change: Change) {
        let Some(which) = RecordKey::of(&change.key) else {
            return;
        };
        let version = change.version;
        match which {
            RecordKey::Leader => set(&mut self.leader, change),
            RecordKey::Token => set(&mut self.token, change),
            RecordKey::Member(controller) => {
                set_in(&mut self.members, controller, change);
            }
            RecordKey::BlockLease(block) => {
                self.changed.block_leases = true;
                set_in(&mut self.block_leases, block, change);
            }
            RecordKey::Format => set(&mut self.format, change),
            RecordKey::Drain(id) => {
                set_in(&mut self.drains, id, change);
            }
            RecordKey::DrainBudget(team) => {
                set_in(&mut self.drain_budgets, team, change);
            }
            RecordKey::DrainLedger(team) => {
                set_in(&mut self.drain_ledgers, team, change);
            }
            RecordKey::MachineInventory(block, part) => self.apply_inventory(block, part, change),
            RecordKey::PendingRental(name) => {
                set_in(&mut self.pending_rentals, name, change);
            }
            RecordKey::BlockPlacements(block, part) => self.apply_placements(block, part, change),
            RecordKey::Job(job) => self.apply_job(job, version, change),
            RecordKey::Progress(job, chunk) => {
                set_in(&mut self.progress, (job, chunk), change);
                if let (Some(open), Some(progress)) =
                    (self.open.get_mut(&job), self.progress.get(&(job, chunk)))
                {
                    open.done.merge(&progress.value.done);
                }
            }
        }
    }

    fn apply_inventory(&mut self, block: BlockId, part: Part, change: Change) {
        let version = change.version;
        let parts = self.inventory_parts.entry(block.clone()).or_default();
        if !set_in(parts, part, change) {
            return;
        }
        let mut merged: Option<MachineInventory> = None;
        for part in parts.values() {
            match &mut merged {
                Some(merged) => merged.merge(&part.value),
                None => merged = Some(part.value.clone()),
            }
        }
        let old = self.inventories.remove(&block);
        if let Some(value) = merged {
            let version = old.as_ref().map_or(version, |old| old.version.max(version));
            self.inventories
                .insert(block.clone(), Versioned { value, version });
        }
        let new = self
            .inventories
            .get(&block)
            .map(|inventory| &inventory.value);
        for id in old.iter().flat_map(|old| old.value.on.keys()) {
            let kept = new.is_some_and(|new| new.on.contains_key(id));
            if !kept
                && self
                    .machines
                    .get(id)
                    .is_some_and(|machine| machine.block == block)
            {
                self.machines.remove(id);
                self.changed.machines.insert(id.clone());
            }
        }
        for (id, entry) in new.iter().flat_map(|new| &new.on) {
            let known = old.as_ref().and_then(|old| old.value.on.get(id));
            if known == Some(entry) && self.machines.contains_key(id) {
                continue;
            }
            let machine = Machine {
                type_name: entry.type_name.clone(),
                zone: new.map_or_else(|| Zone::from(""), |new| new.zone.clone()),
                capacity_type: entry.capacity_type,
                block: block.clone(),
                state: entry.state,
                rented_s: entry.rented_s,
            };
            self.machines.insert(id.clone(), machine);
            self.changed.machines.insert(id.clone());
        }
    }

    fn apply_placements(&mut self, block: BlockId, part: Part, change: Change) {
        let version = change.version;
        let parts = self.placements_parts.entry(block.clone()).or_default();
        if !set_in(parts, part, change) {
            return;
        }
        let mut merged = BlockPlacements::default();
        parts.values().for_each(|part| merged.merge(&part.value));
        let empty = parts.is_empty();
        let old = self.placements.remove(&block);
        if !empty {
            let version = old.as_ref().map_or(version, |old| old.version.max(version));
            self.placements.insert(
                block.clone(),
                Versioned {
                    value: merged,
                    version,
                },
            );
        }
        let old = old.map(|old| old.value).unwrap_or_default();
        let Some(new) = self
            .placements
            .get(&block)
            .map(|placements| &placements.value)
        else {
            for (_, attempt) in old.attempts() {
                remove_placement(&mut self.placed, attempt);
            }
            return;
        };
        // Only what differs: most of a block is as it was.
        for (machine, list) in old
            .on
            .iter()
            .filter(|(machine, list)| new.on.get(*machine) != Some(*list))
        {
            let now = new.on.get(machine);
            for placed in list
                .iter()
                .filter(|placed| now.is_none_or(|now| !now.contains(placed)))
            {
                remove_placement(&mut self.placed, placed.0);
            }
        }
        for (machine, list) in new
            .on
            .iter()
            .filter(|(machine, list)| old.on.get(*machine) != Some(*list))
        {
            let before = old.on.get(machine);
            for placed in list
                .iter()
                .filter(|placed| before.is_none_or(|before| !before.contains(placed)))
            {
                let of_job = self.placed.entry(placed.0.task.job).or_default();
                of_job.insert(
                    (placed.0.task.index, placed.0.number),
                    place(&block, machine),
                );
            }
        }
        for (job, done) in new
            .done
            .iter()
            .filter(|(job, done)| old.done.get(job) != Some(*done))
        {
            if let Some(open) = self.open.get_mut(job) {
                open.done.merge(done);
            }
        }
    }

    fn apply_job(&mut self, id: JobId, version: u64, change: Change) {
        let (job, cancelled, cancelled_ms) =
            match change.value.as_ref().and_then(decode::<JobRecord>) {
                Some(JobRecord::Open(job)) => (job, false, 0),
                Some(JobRecord::Cancelled(job, at_ms)) => (job, true, at_ms),
                Some(JobRecord::Ended(end, tasks)) => {
                    self.open.remove(&id);
                    self.ended.insert(id, (end, tasks));
                    self.changed.ended.insert(id);
                    return;
                }
                None => {
                    warn!(job = %id, "a job's record is missing or malformed");
                    return;
                }
            };
        // A final state is final: an older copy of the record can't bring the job back.
        if self.ended.contains_key(&id) {
            return;
        }
        if let Some(open) = self.open.get_mut(&id) {
            if version > open.version {
                open.version = version;
                open.cancelled = cancelled;
                open.cancelled_ms = cancelled_ms;
                if cancelled {
                    self.changed.ended.insert(id);
                }
            }
            return;
        }
        let mut open = OpenJob {
            job,
            version,
            cancelled,
            cancelled_ms,
            done: Ranges::default(),
        };
        for done in self
            .placements
            .values()
            .filter_map(|placements| placements.value.done.get(&id))
        {
            open.done.merge(done);
        }
        for (_, progress) in self.progress.range((id, 0)..=(id, u32::MAX)) {
            open.done.merge(&progress.value.done);
        }
        self.open.insert(id, open);
        self.apply_cancellation(id);
    }

    /// The format that is switched on; 0 is that of the production version.
    pub fn format(&self) -> u32 {
        self.format
            .as_ref()
            .map_or(0, |format| format.value.version)
    }

    /// The version of the record that says so, 0 if there is none.
    pub fn format_version(&self) -> u64 {
        self.format.as_ref().map_or(0, |format| format.version)
    }

    /// The values that a block's tasks are kept in.
    pub fn placements_parts(&self, block: &BlockId) -> Option<&Parts<BlockPlacements>> {
        self.placements_parts.get(block)
    }

    /// The values that a block's machines are kept in.
    pub fn inventory_parts(&self, block: &BlockId) -> Option<&Parts<MachineInventory>> {
        self.inventory_parts.get(block)
    }

    /// The part of the block's inventory that a machine is in: the last one, if it is being moved.
    pub fn inventory_part_of(&self, block: &BlockId, machine: &MachineId) -> Option<Part> {
        let mut parts = self.inventory_parts(block)?.iter().rev();
        let (part, _) = parts.find(|(_, part)| part.value.on.contains_key(machine))?;
        Some(*part)
    }

    /// All values that tasks are kept in.
    pub fn all_placements_parts(&self) -> impl Iterator<Item = &Versioned<BlockPlacements>> {
        self.placements_parts.values().flat_map(BTreeMap::values)
    }

    /// Up to which revision this copy holds all changes of a block's tasks. Parts that were read while the copy was being
    /// loaded can be newer than others: until the copy has caught up, what they show is not all.
    pub fn placements_known_to(&self, block: &BlockId) -> u64 {
        let version = self
            .placements
            .get(block)
            .map_or(0, |placements| placements.version);
        let parts = self.placements_parts.get(block).map_or(0, BTreeMap::len);
        if parts > 1 {
            version.min(self.revision)
        } else {
            version
        }
    }

    /// Where a job's attempts are, machines that are proven gone included.
    pub fn placed(&self, job: JobId) -> &Placed {
        self.placed.get(&job).unwrap_or(&NOTHING_PLACED)
    }

    /// Whether anything has changed since it was last asked what.
    pub fn has_changed(&self) -> bool {
        self.changed != ChangedRecords::default()
    }

    /// What has changed since the last call.
    pub fn take_changed(&mut self) -> ChangedRecords {
        std::mem::take(&mut self.changed)
    }

    /// The machines that tasks may still be on, with their attempts: the placements, without machines that are proven
    /// gone.
    pub fn live_placements(&self) -> impl Iterator<Item = Live<'_>> {
        self.placements.iter().flat_map(move |(block, placements)| {
            placements
                .value
                .on
                .iter()
                .filter_map(move |(id, attempts)| {
                    let machine = self.machines.get(id)?;
                    Some(Live {
                        block,
                        id,
                        machine,
                        attempts,
                    })
                })
        })
    }

    /// Removes finished tasks that are recorded elsewhere: their job has ended, or its progress holds them.
    pub fn forget_recorded_ends(&self, placements: &mut BlockPlacements) {
        placements.done.retain(|job, done| {
            if self.ended.contains_key(job) {
                return false;
            }
            if self
                .progress
                .range((*job, 0)..=(*job, u32::MAX))
                .next()
                .is_none()
            {
                return true;
            }
            *done = self.not_folded(*job, done);
            !done.is_empty()
        });
    }

    fn not_folded(&self, job: JobId, done: &Ranges) -> Ranges {
        let mut left = Ranges::default();
        for index in done.0.iter().flat_map(Clone::clone) {
            let progress = self.progress.get(&(job, index / CHUNK));
            if !progress.is_some_and(|progress| progress.value.done.contains(index)) {
                left.insert(index);
            }
        }
        left
    }

    pub fn last_token(&self) -> u64 {
        self.token.as_ref().map_or(0, |token| token.value.last)
    }
}

fn remove_placement(placed: &mut HashMap<JobId, Placed>, attempt: Attempt) {
    if let Some(of_job) = placed.get_mut(&attempt.task.job) {
        of_job.remove(&(attempt.task.index, attempt.number));
        if of_job.is_empty() {
            placed.remove(&attempt.task.job);
        }
    }
}

fn place(block: &BlockId, machine: &MachineId) -> Placement {
    Placement {
        block: block.clone(),
        machine: machine.clone(),
    }
}

pub fn decode<T: Record>(value: &ciborium::Value) -> Option<T> {
    value.deserialized().ok()
}

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

/// False: the change is older than what is there.
fn set_in<K: Ord, T: Record>(map: &mut BTreeMap<K, Versioned<T>>, key: K, change: Change) -> bool {
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

#[cfg(test)]
mod tests;
