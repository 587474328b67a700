//! The records this service keeps in the state service. One key prefix for each.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::sync::Arc;

use dappleshore_drain::{DrainId, DrainRecord, Ledger, TeamBudget};
use rangemap::RangeInclusiveSet;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::domain::{
    Attempt, BlockId, CapacityType, ControllerName, FencingToken, Incarnation, InstanceTypeName,
    Job, JobId, JobOutcome, MachineId, TaskId, Team, Term, Zone,
};

/// Everything of ours lies under this prefix, so that one watch sees all of it.
pub const ROOT: &str = "dappleshore/";
pub const LEADER: &str = "dappleshore/leader";
pub const TOKEN: &str = "dappleshore/token";
/// Never written: reading it tells the current revision.
pub const NOWHERE: &str = "dappleshore/nowhere";

pub fn member_key(controller: &ControllerName) -> String {
    format!("{ROOT}node/{controller}")
}
pub fn block_lease_key(block: &BlockId) -> String {
    format!("{ROOT}grant/{block}")
}
pub fn placements_key(block: &BlockId) -> String {
    format!("{ROOT}places/{block}")
}
pub fn inventory_key(block: &BlockId) -> String {
    format!("{ROOT}machines/{block}")
}

/// One of the values that a block's record is kept in. Part 0 is the only one in the production format; the others came
/// with [`PARTS_FORMAT`], under prefixes that production ignores.
pub type Part = u32;

/// The first part: the only one that the production version knows.
pub const FIRST_PART: Part = 0;

/// All first parts come before all others in the order of keys, in which pages are read. What moves from a first part to
/// another is therefore read at least once by whoever reads everything while it moves.
pub fn placements_part_key(block: &BlockId, part: Part) -> String {
    match part {
        FIRST_PART => placements_key(block),
        part => format!("{ROOT}places_part/{block}/{part:05}"),
    }
}
pub fn inventory_part_key(block: &BlockId, part: Part) -> String {
    match part {
        FIRST_PART => inventory_key(block),
        part => format!("{ROOT}machines_part/{block}/{part:05}"),
    }
}

/// The format of the production version: blocks of one value each, no gangs.
pub const PRODUCTION_FORMAT: u32 = 0;
/// From this format on a block may be kept in several values, and there are gangs.
pub const PARTS_FORMAT: u32 = 1;
/// From this format on machines may be cordoned, and there are drains, their evictions and their budgets.
pub const DRAIN_FORMAT: u32 = 2;
/// The newest format that this program reads and writes. It writes in it once it is switched on.
pub const FORMAT: u32 = DRAIN_FORMAT;
/// Says which format is switched on.
pub const FORMAT_KEY: &str = "dappleshore/format";
pub fn drain_key(id: &DrainId) -> String {
    format!("{ROOT}drain/{id}")
}
/// The budget that operators have set for a team by request.
pub fn drain_budget_key(team: &Team) -> String {
    format!("{ROOT}drain_budget/{team}")
}
/// A team's disruptions.
pub fn drain_ledger_key(team: &Team) -> String {
    format!("{ROOT}drain_ledger/{team}")
}
pub fn pending_rental_key(name: &InstanceTypeName) -> String {
    format!("{ROOT}order/{name}")
}
pub fn job_key(job: JobId) -> String {
    format!("{ROOT}job/{job}")
}
pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{ROOT}progress/{job}/{chunk:05}")
}

/// Something that is stored as one value.
pub trait Record: Serialize + DeserializeOwned {}

/// Records are maps of text and numbers, which always have a CBOR form.
pub fn encode(record: &impl Record) -> ciborium::Value {
    ciborium::Value::serialized(record).unwrap_or(ciborium::Value::Null)
}

/// What a value measures in the form that the state service counts: as JSON, with room for the longest way to write a
/// number.
pub fn json_size(value: &ciborium::Value) -> usize {
    use ciborium::Value;
    match value {
        Value::Text(text) => {
            text.len() + 2 + text.chars().filter(|c| matches!(c, '"' | '\\')).count()
        }
        Value::Array(list) => 2 + list.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(map) => {
            let entries = map.iter().map(|(k, v)| json_size(k) + json_size(v) + 2);
            2 + entries.sum::<usize>()
        }
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len() + 2,
        _ => 5,
    }
}

/// Who leads, attached to a lease. `term` comes from the same rising counter as tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    #[serde(rename = "node")]
    pub controller: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    pub term: Term,
}

/// The rising counter that tokens and terms are taken from.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Token {
    pub last: u64,
}

/// A controller that is up, attached to its lease. `incarnation` tells a restarted process from the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The newest format that it can read and write. The production version does not say.
    #[serde(default, skip_serializing_if = "is_production")]
    pub format: u32,
}

fn is_production(format: &u32) -> bool {
    *format == PRODUCTION_FORMAT
}

/// The format that is switched on: written once for all controllers, when all of them know it, and never taken back.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatSwitch {
    pub version: u32,
}

/// The lease of a block to a controller. Each new leader writes it again, which makes every write that an
/// older leader asked for fail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockLease {
    pub zone: Zone,
    pub holder: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    pub token: FencingToken,
    pub term: Term,
}

/// The machines of a block. One value for each block, so that many rented or returned at once are few changes:
/// with a record for each, a few hundred machines took the state service's writes for half a minute.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "InventoryEncoding", into = "InventoryEncoding")]
pub struct MachineInventory {
    pub zone: Zone,
    pub on: BTreeMap<MachineId, InventoryEntry>,
}

/// Whether a machine takes tasks, and what becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    InService,
    /// Operators keep new tasks off it. It stays rented. Written only since [`DRAIN_FORMAT`].
    Cordoned,
    /// Takes no new tasks: it is returned once it is empty.
    Returning,
}

impl MachineState {
    /// Whether new tasks may be placed on it.
    pub fn takes_tasks(self) -> bool {
        self == MachineState::InService
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct InventoryEntry {
    pub type_name: InstanceTypeName,
    pub capacity_type: CapacityType,
    pub state: MachineState,
    /// Seconds since the epoch.
    pub rented_s: u64,
}

/// An inventory as it is stored: each machine as `0s1800000000`, which is the number of its type, its capacity type (`s` for
/// spot, `o` for ordinary, in capitals if it is being returned; `p` and `c` if it is cordoned) and when it was rented. With every name in full, the
/// inventories needed more blocks than the tasks did, and each block costs a change of its own.
#[derive(Clone, Serialize, Deserialize)]
struct InventoryEncoding {
    #[serde(rename = "z")]
    zone: Zone,
    #[serde(rename = "ty")]
    types: Vec<InstanceTypeName>,
    #[serde(rename = "on")]
    on: BTreeMap<MachineId, String>,
}

impl From<MachineInventory> for InventoryEncoding {
    fn from(inventory: MachineInventory) -> Self {
        let mut types: Vec<InstanceTypeName> = Vec::new();
        let mut on = BTreeMap::new();
        for (id, machine) in inventory.on {
            let index = types
                .iter()
                .position(|known| *known == machine.type_name)
                .unwrap_or_else(|| {
                    types.push(machine.type_name.clone());
                    types.len() - 1
                });
            let letter = state_letter(machine.capacity_type, machine.state);
            on.insert(id, format!("{index}{letter}{}", machine.rented_s));
        }
        InventoryEncoding {
            zone: inventory.zone,
            types,
            on,
        }
    }
}

impl TryFrom<InventoryEncoding> for MachineInventory {
    type Error = &'static str;

    fn try_from(text: InventoryEncoding) -> Result<Self, Self::Error> {
        let malformed = "malformed machine";
        let mut on = BTreeMap::new();
        for (id, entry) in text.on {
            let at = entry
                .find(|c: char| c.is_ascii_alphabetic())
                .ok_or(malformed)?;
            let (index, rest) = entry.split_at(at);
            let (letter, rented) = rest.split_at(1);
            let (capacity_type, state) = parse_state_letter(letter).ok_or(malformed)?;
            let index: usize = index.parse().map_err(|_| malformed)?;
            let machine = InventoryEntry {
                type_name: text.types.get(index).ok_or(malformed)?.clone(),
                capacity_type,
                state,
                rented_s: rented.parse().map_err(|_| malformed)?,
            };
            on.insert(id, machine);
        }
        Ok(MachineInventory {
            zone: text.zone,
            on,
        })
    }
}

/// A machine's capacity type and state, as they are stored together.
const STATE_LETTERS: [(char, CapacityType, MachineState); 6] = [
    ('o', CapacityType::OnDemand, MachineState::InService),
    ('c', CapacityType::OnDemand, MachineState::Cordoned),
    ('O', CapacityType::OnDemand, MachineState::Returning),
    ('s', CapacityType::Spot, MachineState::InService),
    ('p', CapacityType::Spot, MachineState::Cordoned),
    ('S', CapacityType::Spot, MachineState::Returning),
];

fn state_letter(capacity_type: CapacityType, state: MachineState) -> char {
    STATE_LETTERS
        .iter()
        .find(|(_, of, is)| (*of, *is) == (capacity_type, state))
        .map_or('o', |(letter, _, _)| *letter)
}

fn parse_state_letter(text: &str) -> Option<(CapacityType, MachineState)> {
    STATE_LETTERS
        .iter()
        .find(|(letter, _, _)| text.starts_with(*letter))
        .map(|(_, capacity_type, state)| (*capacity_type, *state))
}

impl MachineInventory {
    pub fn new(zone: Zone) -> Self {
        MachineInventory {
            zone,
            on: BTreeMap::new(),
        }
    }
}

impl MachineInventory {
    /// The most that this value can measure in the form that the state service counts.
    pub fn size(&self) -> usize {
        let types: BTreeSet<&InstanceTypeName> =
            self.on.values().map(|entry| &entry.type_name).collect();
        let types: usize = types.iter().map(|name| name.0.len() + 3).sum();
        let machines: usize = self.on.iter().map(|(id, entry)| entry.size(id)).sum();
        32 + self.zone.0.len() + types + machines
    }

    /// Takes in the machines of another part.
    pub fn merge(&mut self, part: &MachineInventory) {
        let machines = part.on.iter();
        self.on
            .extend(machines.map(|(id, entry)| (id.clone(), entry.clone())));
    }
}

impl InventoryEntry {
    /// What a machine takes of its inventory's value, in the form that the state service counts.
    pub fn size(&self, id: &MachineId) -> usize {
        id.0.len() + 10 + digits(self.rented_s)
    }
}

/// A rental request that may have been sent. Written before it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingRental {
    pub request: String,
    pub zone: Zone,
    #[serde(rename = "tenure")]
    pub capacity_type: CapacityType,
    pub count: u32,
}

/// The tasks of a block, machine by machine, and the tasks it has finished that are not yet folded into
/// their job's progress. One value for each block, so that a batch of starts and ends is one change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct BlockPlacements {
    #[serde(rename = "on")]
    pub on: BTreeMap<MachineId, Vec<AttemptEncoding>>,
    #[serde(rename = "done")]
    pub done: BTreeMap<JobId, Ranges>,
}

impl BlockPlacements {
    pub fn attempts(&self) -> impl Iterator<Item = (&MachineId, Attempt)> {
        self.on
            .iter()
            .flat_map(|(machine, list)| list.iter().map(move |placed| (machine, placed.0)))
    }

    /// Takes in another part. An attempt that both have counts once.
    pub fn merge(&mut self, part: &BlockPlacements) {
        for (machine, list) in &part.on {
            let known = self.on.entry(machine.clone()).or_default();
            for placed in list {
                if !known.contains(placed) {
                    known.push(*placed);
                }
            }
        }
        for (job, done) in &part.done {
            self.done.entry(*job).or_default().merge(done);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.on.is_empty() && self.done.is_empty()
    }

    /// Returns by how much the value may have grown.
    pub fn add(&mut self, machine: &MachineId, attempt: Attempt) -> usize {
        let placed = AttemptEncoding(attempt);
        let list = self.on.entry(machine.clone()).or_default();
        let entry = if list.is_empty() {
            machine.0.len() + 8
        } else {
            0
        };
        list.push(placed);
        entry + placed.size()
    }

    pub fn remove(&mut self, machine: &MachineId, attempt: Attempt) -> bool {
        let Some(list) = self.on.get_mut(machine) else {
            return false;
        };
        let before = list.len();
        list.retain(|placed| placed.0 != attempt);
        let removed = list.len() != before;
        if list.is_empty() {
            self.on.remove(machine);
        }
        removed
    }

    /// The most that this value can come to measure while its tasks end. A finished task takes less than a placed
    /// one, but the first of its job brings the job's name along. Tasks are placed only as long as this fits: a value
    /// that has grown too large could never be written again.
    pub fn worst_case_size(&self) -> usize {
        let jobs: BTreeSet<JobId> = self
            .attempts()
            .map(|(_, attempt)| attempt.task.job)
            .collect();
        let names: usize = jobs
            .iter()
            .filter(|job| !self.done.contains_key(job))
            .map(|job| done_entry_size(*job))
            .sum();
        self.size() + names
    }

    /// The most that this value can measure in the form that the state service counts: quotes, commas and
    /// names included.
    pub fn size(&self) -> usize {
        let on: usize = self
            .on
            .iter()
            .map(|(m, list)| m.0.len() + 8 + list.iter().map(AttemptEncoding::size).sum::<usize>())
            .sum();
        32 + on + self.done_size()
    }

    /// The part of the size that finished tasks take.
    pub fn done_size(&self) -> usize {
        self.done
            .iter()
            .map(|(job, ranges)| done_entry_size(*job) + ranges.size())
            .sum()
    }
}

/// What a job's entry among the done ones takes, without the tasks: `"j-000412":"",`.
pub fn done_entry_size(job: JobId) -> usize {
    digits(job.0).max(6) + 8
}

/// An attempt as `412/3:17`, or `412/3:g17` for a task of a gang that was started as the 17th.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEncoding(pub Attempt);

impl AttemptEncoding {
    pub fn size(&self) -> usize {
        let number = match self.0.gang_start() {
            Some(start) => digits(start) + 1,
            None => digits(self.0.number),
        };
        digits(self.0.task.job.0) + digits(u64::from(self.0.task.index)) + number + 5
    }
}

fn digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

impl Serialize for AttemptEncoding {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Attempt { task, number } = self.0;
        let TaskId { job, index } = task;
        match self.0.gang_start() {
            Some(start) => serializer.collect_str(&format_args!("{}/{index}:g{start}", job.0)),
            None => serializer.collect_str(&format_args!("{}/{index}:{number}", job.0)),
        }
    }
}

impl<'de> Deserialize<'de> for AttemptEncoding {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_attempt(&text).ok_or_else(|| serde::de::Error::custom("malformed attempt"))
    }
}

fn parse_attempt(text: &str) -> Option<AttemptEncoding> {
    let (task, number) = text.split_once(':')?;
    let (job, index) = task.split_once('/')?;
    let task = TaskId {
        job: JobId(job.parse().ok()?),
        index: index.parse().ok()?,
    };
    let attempt = match number.strip_prefix('g') {
        Some(start) => Attempt::of_gang(task, start.parse().ok()?)?,
        None => Attempt {
            task,
            number: number.parse().ok()?,
        },
    };
    Some(AttemptEncoding(attempt))
}

/// A set of task numbers, stored as `0-4,7`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ranges(pub RangeInclusiveSet<u32>);

impl Ranges {
    pub fn insert(&mut self, index: u32) {
        self.0.insert(index..=index);
    }

    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(&index)
    }

    pub fn len(&self) -> u64 {
        self.0
            .iter()
            .map(|range| u64::from(range.end() - range.start()) + 1)
            .sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn merge(&mut self, other: &Ranges) {
        for range in other.0.iter() {
            self.0.insert(range.clone());
        }
    }

    /// The first number below `end` that is not in the set.
    pub fn first_gap(&self, end: u32) -> Option<u32> {
        let last = end.checked_sub(1)?;
        self.0.gaps(&(0..=last)).next().map(|gap| *gap.start())
    }

    pub fn size(&self) -> usize {
        self.0
            .iter()
            .map(|r| digits(u64::from(*r.start())) + digits(u64::from(*r.end())) + 2)
            .sum()
    }
}

impl Serialize for Ranges {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::new();
        for range in self.0.iter() {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a String can't fail.
            let _ = match (range.start(), range.end()) {
                (start, end) if start == end => write!(text, "{comma}{start}"),
                (start, end) => write!(text, "{comma}{start}-{end}"),
            };
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_ranges(&text).ok_or_else(|| serde::de::Error::custom("malformed ranges"))
    }
}

fn parse_ranges(text: &str) -> Option<Ranges> {
    let mut ranges = Ranges::default();
    for piece in text.split(',').filter(|piece| !piece.is_empty()) {
        let (start, end) = piece.split_once('-').unwrap_or((piece, piece));
        let (start, end) = (start.parse().ok()?, end.parse().ok()?);
        if start > end {
            return None;
        }
        ranges.0.insert(start..=end);
    }
    Some(ranges)
}

/// A job: what was asked for while tasks of it may be somewhere, only its end afterwards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    #[serde(rename = "o")]
    Open(Job),
    /// Cancelled, but its tasks still take room until they are proven gone.
    /// With the time of day of the cancellation, from which the time counts by which they must be gone.
    #[serde(rename = "c")]
    Cancelled(Job, u64),
    #[serde(rename = "e")]
    Ended(JobOutcome, u32),
}

impl JobRecord {
    /// The record of a cancelled job. What no longer matters of the job is left out where the whole would not fit: what
    /// its tasks take, and of which team, is what it is still needed for.
    pub fn cancelled(job: &Job, at_ms: u64, value_bytes: usize) -> JobRecord {
        let whole = JobRecord::Cancelled(job.clone(), at_ms);
        if json_size(&encode(&whole)) <= value_bytes {
            return whole;
        }
        let rest = Job {
            class: Arc::from(""),
            types: None,
            zone: None,
            image: "".into(),
            ..job.clone()
        };
        JobRecord::Cancelled(rest, at_ms)
    }
}

/// The finished tasks of one chunk of a large job, so that no value grows with the job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Progress {
    pub done: Ranges,
}

/// Tasks in one chunk of a job's progress: even with every second task done, `0,2,4,...` stays below the
/// smallest value size.
pub const CHUNK: u32 = 512;

macro_rules! records {
    ($($name:ident),*) => { $(impl Record for $name {})* };
}
records!(
    Leader,
    Token,
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
    Ledger
);

/// A changed key.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub key: String,
    pub version: u64,
    /// None: the key was removed.
    pub value: Option<ciborium::Value>,
}

/// A key of ours, told apart by its prefix.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordKey {
    Leader,
    Token,
    Member(ControllerName),
    BlockLease(BlockId),
    Format,
    BlockPlacements(BlockId, Part),
    MachineInventory(BlockId, Part),
    PendingRental(InstanceTypeName),
    Job(JobId),
    Progress(JobId, u32),
    Drain(DrainId),
    DrainBudget(Team),
    DrainLedger(Team),
}

impl RecordKey {
    pub fn of(key: &str) -> Option<Self> {
        let name = key.strip_prefix(ROOT)?;
        match name.split_once('/') {
            None if key == LEADER => Some(RecordKey::Leader),
            None if key == TOKEN => Some(RecordKey::Token),
            None if key == FORMAT_KEY => Some(RecordKey::Format),
            None => None,
            Some(("node", rest)) => Some(RecordKey::Member(rest.into())),
            Some(("grant", rest)) => Some(RecordKey::BlockLease(rest.into())),
            Some(("places", rest)) => Some(RecordKey::BlockPlacements(rest.into(), FIRST_PART)),
            Some(("machines", rest)) => Some(RecordKey::MachineInventory(rest.into(), FIRST_PART)),
            Some(("places_part", rest)) => {
                let (block, part) = rest.split_once('/')?;
                Some(RecordKey::BlockPlacements(block.into(), part.parse().ok()?))
            }
            Some(("machines_part", rest)) => {
                let (block, part) = rest.split_once('/')?;
                Some(RecordKey::MachineInventory(
                    block.into(),
                    part.parse().ok()?,
                ))
            }
            Some(("drain", rest)) => rest.parse().ok().map(RecordKey::Drain),
            Some(("drain_budget", rest)) => Some(RecordKey::DrainBudget(rest.into())),
            Some(("drain_ledger", rest)) => Some(RecordKey::DrainLedger(rest.into())),
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

#[cfg(test)]
mod fixtures;
#[cfg(test)]
mod tests;
