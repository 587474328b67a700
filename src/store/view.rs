//! Our copy of the records, kept up to date by following their changes.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::records::{
    Change, Grant, JobRecord, Leader, Machine, Member, NOWHERE, Order, Places, Progress, ROOT, Ranges, Record, Records,
    Seal,
};
use super::{Op, Outcome};
use crate::domain::{Attempt, BlockId, Final, Job, JobId, MachineId, NodeName, Now, TypeName, since};

#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub value: T,
    pub version: u64,
}

/// An open job with what is known of its tasks.
#[derive(Debug)]
pub struct OpenJob {
    pub job: Job,
    pub version: u64,
    /// Its user has cancelled it; its tasks only have to go.
    pub cancelled: bool,
    /// Done tasks, whether folded already or not. Only ever grows.
    pub done: Ranges,
    /// What is in some block's places, by task and attempt: a lost attempt, whose machine's record is gone
    /// already, can stand there beside the one that follows it.
    pub placed: BTreeMap<(u32, u64), Place>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    pub block: BlockId,
    pub machine: MachineId,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reading everything, page by page.
    Loading,
    Following,
}

/// What the view waits for.
#[derive(Debug, Clone, PartialEq)]
pub enum Tag {
    Page { load: u64, after: Option<String> },
    News { load: u64 },
    Barrier { sent: Instant },
}

/// The copy. `revision` is the last change that is in it.
#[derive(Debug)]
pub struct View {
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
    /// A revision that the copy must reach before what was asked at that time is answered.
    barrier: Barrier,

    pub leader: Option<Versioned<Leader>>,
    pub seal: Option<Versioned<Seal>>,
    pub members: BTreeMap<NodeName, Versioned<Member>>,
    pub grants: BTreeMap<BlockId, Versioned<Grant>>,
    pub places: BTreeMap<BlockId, Versioned<Places>>,
    pub machines: BTreeMap<MachineId, Versioned<Machine>>,
    pub orders: BTreeMap<TypeName, Versioned<Order>>,
    pub open: BTreeMap<JobId, OpenJob>,
    pub ended: HashMap<JobId, (Final, u32)>,
    pub progress: BTreeMap<(JobId, u32), Versioned<Progress>>,
}

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
/// Watches are opened no more often than this: each one costs a request.
const FOLLOW_SPACING: Duration = Duration::from_millis(60);
/// Fresh reads for users are batched: one request answers all that came since the last one.
const BARRIER_SPACING: Duration = Duration::from_millis(80);
const RETRY: Duration = Duration::from_millis(400);

impl View {
    pub fn new() -> Self {
        View {
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
            seal: None,
            members: BTreeMap::new(),
            grants: BTreeMap::new(),
            places: BTreeMap::new(),
            machines: BTreeMap::new(),
            orders: BTreeMap::new(),
            open: BTreeMap::new(),
            ended: HashMap::new(),
            progress: BTreeMap::new(),
        }
    }

    /// A copy that is whole, for tests that apply changes themselves.
    #[cfg(test)]
    pub fn following() -> Self {
        View { state: State::Following, ..View::new() }
    }

    /// Whether the copy is whole (if perhaps a little old).
    pub fn ready(&self) -> bool {
        self.state == State::Following
    }

    /// The copy holds all that was committed before this time.
    pub fn fresh_since(&self) -> Option<Instant> {
        if self.ready() { self.fresh } else { None }
    }

    /// Whether an answer from the copy is at least as new as `asked`.
    pub fn covers(&self, asked: Instant) -> bool {
        self.fresh_since().is_some_and(|fresh| fresh >= asked)
    }

    /// Asks for the copy to be brought up to the present.
    pub fn want_fresh(&mut self) {
        self.barrier.wanted = true;
    }

    /// Requests that are due.
    pub fn poll(&mut self, now: Now) -> Vec<(Tag, Op)> {
        let mut ops = Vec::new();
        if self.barrier.wanted && !self.barrier.busy && self.ready() {
            let spaced = self.barrier.sent.is_none_or(|sent| since(now, sent) >= BARRIER_SPACING);
            if spaced {
                self.barrier.wanted = false;
                self.barrier.busy = true;
                self.barrier.sent = Some(now.steady);
                ops.push((Tag::Barrier { sent: now.steady }, Op::Get { key: NOWHERE.to_owned() }));
            }
        }
        if self.busy || self.retry_at.is_some_and(|at| now.steady < at) {
            return ops;
        }
        self.retry_at = None;
        match self.state {
            State::Loading => {
                self.clear();
                self.load += 1;
                self.busy = true;
                self.asked = Some(now.steady);
                ops.push((
                    Tag::Page { load: self.load, after: None },
                    Op::List { prefix: ROOT.to_owned(), after: None },
                ));
            }
            State::Following => {
                let spaced = self.asked.is_none_or(|asked| since(now, asked) >= FOLLOW_SPACING);
                if spaced {
                    self.busy = true;
                    self.asked = Some(now.steady);
                    let op = Op::Follow { prefix: ROOT.to_owned(), after: self.revision, wait: FOLLOW_FOR };
                    ops.push((Tag::News { load: self.load }, op));
                }
            }
        }
        ops
    }

    fn clear(&mut self) {
        let load = self.load;
        let barrier = std::mem::take(&mut self.barrier);
        *self = View::new();
        self.load = load;
        self.barrier = Barrier { wanted: barrier.wanted || barrier.busy, ..Barrier::default() };
    }

    /// The one place where the copy changes.
    pub fn handle(&mut self, now: Now, tag: Tag, outcome: Outcome) -> Vec<(Tag, Op)> {
        match tag {
            Tag::Barrier { sent } => {
                self.barrier.busy = false;
                match outcome {
                    Outcome::Missing { revision } => self.barrier.pending.push((sent, revision)),
                    _ => self.barrier.wanted = true,
                }
                self.settle_barrier();
                Vec::new()
            }
            Tag::Page { load, after } if load == self.load => self.page(now, after, outcome),
            Tag::News { load } if load == self.load => {
                self.news(now, outcome);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn page(&mut self, now: Now, after: Option<String>, outcome: Outcome) -> Vec<(Tag, Op)> {
        match outcome {
            Outcome::Rows { rows, more, revision } => {
                if after.is_none() {
                    // Later pages may be newer; following from the first one's revision repeats, and so
                    // corrects, whatever changed in between.
                    self.load_revision = revision;
                }
                let last = rows.last().map(|(key, _, _)| key.clone());
                for (key, value, version) in rows {
                    self.apply(Change { key, version, value: Some(value) });
                }
                if more && last.is_some() {
                    let op = Op::List { prefix: ROOT.to_owned(), after: last.clone() };
                    return vec![(Tag::Page { load: self.load, after: last }, op)];
                }
                self.busy = false;
                self.revision = self.load_revision;
                self.state = State::Following;
                // The first page may predate the rest: only what was asked before it is covered.
                self.fresh = None;
                self.asked = None;
                info!(revision = self.revision, open = self.open.len(), ended = self.ended.len(), "state loaded");
            }
            _ => {
                self.busy = false;
                self.retry_at = Some(now.steady + RETRY);
            }
        }
        Vec::new()
    }

    fn news(&mut self, now: Now, outcome: Outcome) {
        self.busy = false;
        match outcome {
            Outcome::News { revision, changes } => {
                for change in changes {
                    self.apply(change);
                }
                self.revision = self.revision.max(revision);
                self.fresh = self.fresh.max(self.asked);
                self.settle_barrier();
            }
            Outcome::TooOld => {
                warn!(revision = self.revision, "changes are no longer kept; reading everything again");
                self.state = State::Loading;
            }
            _ => self.retry_at = Some(now.steady + RETRY),
        }
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
        let Some(which) = Records::of(&change.key) else { return };
        let version = change.version;
        match which {
            Records::Leader => set(&mut self.leader, change),
            Records::Seal => set(&mut self.seal, change),
            Records::Member(node) => set_in(&mut self.members, node, change),
            Records::Grant(block) => set_in(&mut self.grants, block, change),
            Records::Machine(machine) => set_in(&mut self.machines, machine, change),
            Records::Order(name) => set_in(&mut self.orders, name, change),
            Records::Places(block) => self.apply_places(block, change),
            Records::Job(job) => self.apply_job(job, version, change),
            Records::Progress(job, chunk) => {
                set_in(&mut self.progress, (job, chunk), change);
                if let (Some(open), Some(progress)) = (self.open.get_mut(&job), self.progress.get(&(job, chunk))) {
                    open.done.merge(&progress.value.done);
                }
            }
        }
    }

    fn apply_places(&mut self, block: BlockId, change: Change) {
        if self.places.get(&block).is_some_and(|old| old.version > change.version) {
            return;
        }
        if let Some(old) = self.places.remove(&block) {
            for (_, attempt) in old.value.attempts() {
                if let Some(open) = self.open.get_mut(&attempt.task.job) {
                    open.placed.remove(&(attempt.task.index, attempt.number));
                }
            }
        }
        set_in(&mut self.places, block.clone(), change);
        if let Some(places) = self.places.get(&block) {
            for (machine, attempt) in places.value.attempts() {
                if let Some(open) = self.open.get_mut(&attempt.task.job) {
                    open.placed.insert((attempt.task.index, attempt.number), place(&block, machine));
                }
            }
            for (job, done) in &places.value.done {
                if let Some(open) = self.open.get_mut(job) {
                    open.done.merge(done);
                }
            }
        }
    }

    fn apply_job(&mut self, id: JobId, version: u64, change: Change) {
        let (job, cancelled) = match change.value.as_ref().and_then(decode::<JobRecord>) {
            Some(JobRecord::Open(job)) => (job, false),
            Some(JobRecord::Cancelled(job)) => (job, true),
            Some(JobRecord::Ended(end, tasks)) => {
                self.open.remove(&id);
                self.ended.insert(id, (end, tasks));
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
            }
            return;
        }
        let mut open = OpenJob { job, version, cancelled, done: Ranges::default(), placed: BTreeMap::new() };
        for (block, places) in &self.places {
            for (machine, attempt) in places.value.attempts().filter(|(_, a)| a.task.job == id) {
                open.placed.insert((attempt.task.index, attempt.number), place(block, machine));
            }
            if let Some(done) = places.value.done.get(&id) {
                open.done.merge(done);
            }
        }
        for (_, progress) in self.progress.range((id, 0)..=(id, u32::MAX)) {
            open.done.merge(&progress.value.done);
        }
        self.open.insert(id, open);
    }

    /// Where a task may still be: its places, without machines that are proven gone.
    pub fn live_places(&self) -> impl Iterator<Item = (&BlockId, &MachineId, Attempt)> {
        self.places.iter().flat_map(move |(block, places)| {
            places
                .value
                .attempts()
                .filter(|(machine, _)| self.machines.contains_key(*machine))
                .map(move |(machine, attempt)| (block, machine, attempt))
        })
    }

    pub fn max_seal(&self) -> u64 {
        self.seal.as_ref().map_or(0, |seal| seal.value.last)
    }
}

impl Default for View {
    fn default() -> Self {
        View::new()
    }
}

fn place(block: &BlockId, machine: &MachineId) -> Place {
    Place { block: block.clone(), machine: machine.clone() }
}

pub fn decode<T: Record>(value: &ciborium::Value) -> Option<T> {
    value.deserialized().ok()
}

fn set<T: Record>(slot: &mut Option<Versioned<T>>, change: Change) {
    if slot.as_ref().is_some_and(|old| old.version > change.version) {
        return;
    }
    *slot = change.value.as_ref().and_then(decode).map(|value| Versioned { value, version: change.version });
}

fn set_in<K: Ord, T: Record>(map: &mut BTreeMap<K, Versioned<T>>, key: K, change: Change) {
    if map.get(&key).is_some_and(|old| old.version > change.version) {
        return;
    }
    match change.value.as_ref().and_then(decode) {
        Some(value) => {
            map.insert(key, Versioned { value, version: change.version });
        }
        None => {
            map.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::domain::TaskId;
    use crate::placement::tests::job;
    use crate::store::records::{encode, job_key, machine_key, places_key};

    /// Found by a seeded run: the place of a lost attempt hid the one that followed it, and the task was
    /// released a second time.
    #[test]
    fn a_lost_attempt_does_not_hide_the_next_one() {
        let mut view = View::new();
        let put = |key: String, version, value| Change { key, version, value: Some(value) };
        let machine = |zone: &str| Machine {
            type_name: "small".into(),
            zone: zone.into(),
            tenure: crate::domain::Tenure::Spot,
            block: "a.0".into(),
            draining: false,
            rented_ms: 0,
        };
        let (first, second) = (MachineId::from("m-000014"), MachineId::from("m-000011"));
        view.apply(put(job_key(JobId(1)), 1, encode(&JobRecord::Open(job(1, 1.0)))));
        view.apply(put(machine_key(&first), 2, encode(&machine("a"))));
        view.apply(put(machine_key(&second), 2, encode(&machine("a"))));
        let attempt = |number| Attempt { task: TaskId { job: JobId(1), index: 0 }, number };
        let mut places = Places::default();
        places.add(&first, attempt(7));
        view.apply(put(places_key(&"a.0".into()), 3, encode(&places)));
        view.apply(Change { key: machine_key(&first), version: 4, value: None });
        places.add(&second, attempt(8));
        view.apply(put(places_key(&"a.0".into()), 5, encode(&places)));
        let live: Vec<u64> = view.live_places().map(|(_, _, attempt)| attempt.number).collect();
        assert_eq!(live, [8]);
        let placed = &view.open[&JobId(1)].placed;
        assert!(placed.values().any(|place| place.machine == second), "{placed:?}");
        places.remove(&first, attempt(7));
        view.apply(put(places_key(&"a.0".into()), 6, encode(&places)));
        assert_eq!(view.open[&JobId(1)].placed.len(), 1);
    }
}
