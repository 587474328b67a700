//! The leader's queues: one for each team, served in turn by shares. Only the leader releases tasks to the
//! holders of blocks, so only it has to keep the teams' limits.
//!
//! A released task counts as placed until its holder has said that it never will be: see `settle`.

mod desk;
mod holders;
mod preemption;
mod stock;
mod turns;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::{debug, info};

use crate::config::Config;
use crate::domain::{
    Attempt, BlockId, Final, Image, Job, JobId, MachineId, NodeName, Now, Priority, Room, TaskId, Team, TypeName, Zone,
    since,
};
use crate::leadership::Lead;
use crate::peer::{BlockStatus, MachineStatus};
use crate::placement::{Candidate, Ranking};
use crate::provisioning::{Demand, Flavors, Health, Pool, Provisioner, Runs};
use crate::store::records::{CHUNK, JobRecord, LEADER, Progress, job_key, progress_key};
use crate::store::view::OpenJob;
use crate::store::{Machine, Op, Outcome, Txn, View, Writer};
use desk::{Desk, Release};
use preemption::Victims;
use stock::Stock;
use turns::{Turns, room_within_limit, within_limit};

/// A holder's word on its machines is believed this long.
const STATUS_LIFE: Duration = Duration::from_secs(5);
/// A release that its holder can't place is taken back after this long.
const WITHDRAW: Duration = Duration::from_secs(10);
/// ... or after this long, once its holder has said that it found no room.
const REFUSED_AFTER: Duration = Duration::from_millis(700);
/// Releases decided in one go, so that a large job can't hold up everything else.
const RELEASES: usize = 150;
/// Failures in a row after which a machine is taken for faulty.
const FAULTY: u32 = 3;
/// Done tasks of a block are folded into their job's progress when the block's value is this full of all that it
/// may come to hold. Each folded job costs a change, so jobs that are over soon are better left alone.
const FOLD_AT: f64 = 0.8;
/// A job that has waited this long gets a first task before older jobs of its team and priority get more: when there is
/// far too much work, large jobs would else not begin for many minutes.
const BEGIN_WITHIN: Duration = Duration::from_secs(90);
/// Steps in which the waiting tasks of one job are counted.
const COUNTING_STEPS: u64 = 64;
/// What one attempt takes of its block's value, at the most.
const ATTEMPT_BYTES: usize = 64;
const LONGEST_BACKOFF: Duration = Duration::from_secs(20);

#[derive(Debug, Default, Clone, Copy)]
struct Strikes {
    count: u32,
    until: Option<Instant>,
}

#[derive(Debug, Clone)]
struct PlacedSince {
    task: TaskId,
    machine: MachineId,
    at: Instant,
    /// The last look in which it was there.
    look: u64,
}

#[derive(Debug)]
pub struct Queues {
    term: u64,
    next_attempt: u64,
    next_message: u64,
    desks: BTreeMap<BlockId, Desk>,
    writer: Writer,
    /// Where each attempt was when last looked, to notice those that vanish without being done.
    placed: HashMap<u64, PlacedSince>,
    looks: u64,
    strikes: HashMap<JobId, Strikes>,
    runs: BTreeMap<Pool, Runs>,
    measured: Instant,
    /// Machines heard by another controller than their holder, and when.
    strays: HashMap<MachineId, Instant>,
    pub waiting: BTreeMap<Team, u64>,
}

/// What decides where a task may go: tasks of one shape can go to the same places.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    need: [u64; 3],
    types: Option<Vec<TypeName>>,
    zone: Option<Zone>,
    spot: bool,
    /// The zones that the job's other tasks leave open.
    zones: Vec<Zone>,
}

impl Shape {
    fn of(job: &Job, zones: &BTreeSet<Zone>, open: impl Fn(&Zone) -> bool) -> Self {
        Shape {
            need: [job.need.cpus, job.need.gpus, job.need.memory_gb].map(f64::to_bits),
            types: job.types.clone(),
            zone: job.zone.clone(),
            spot: job.spot,
            zones: zones.iter().filter(|zone| open(zone)).cloned().collect(),
        }
    }
}

/// What was found not to go while planning, so that it is not tried for each of a thousand jobs alike.
#[derive(Debug, Default)]
struct Hopeless {
    no_room: HashSet<Shape>,
    no_way: HashSet<(Shape, Team, Priority)>,
}

/// What a task may have and what it takes, in the order in which it is served.
struct Waiting<'v> {
    id: JobId,
    open: &'v OpenJob,
    /// Tasks that are neither done, placed nor released.
    left: u64,
    taken: crate::store::records::Ranges,
    zones: BTreeMap<Zone, u32>,
    /// None of its tasks has got anywhere for so long that one goes before its team's other work.
    overdue: bool,
    blocked: bool,
}

impl Queues {
    pub fn new(now: Now, term: u64) -> Self {
        Queues {
            term,
            // Attempts of different leaders never meet: each has a range of its own.
            next_attempt: term << 20,
            next_message: 0,
            desks: BTreeMap::new(),
            writer: Writer::Unsure { since: now.steady },
            placed: HashMap::new(),
            looks: 0,
            strikes: HashMap::new(),
            runs: BTreeMap::new(),
            measured: now.steady,
            strays: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// A holder's word on one of its blocks.
    pub fn status(&mut self, now: Now, mut status: BlockStatus) {
        let Some(desk) = self.desks.get_mut(&status.block) else { return };
        // A message that comes late holds nothing that the later ones did not say too, or correct.
        if desk.grant_version != status.grant_version || status.number <= desk.heard {
            return;
        }
        desk.heard = status.number;
        desk.owes_word |= !status.machines.is_empty();
        for machine in status.machines.drain(..) {
            desk.machines.insert(machine.machine.clone(), machine);
        }
        desk.status = Some((status, now.steady));
    }

    /// Whether a placed attempt's holder has proven it gone. None: it has not spoken under its present grant.
    pub fn proven_gone(&self, block: &BlockId, attempt: &Attempt) -> Option<bool> {
        let (status, _) = self.desks.get(block)?.status.as_ref()?;
        Some(status.ended.contains(&attempt.number))
    }

    fn machines(&self, now: Now) -> impl Iterator<Item = &MachineStatus> {
        self.desks
            .values()
            .filter(move |desk| desk.status.as_ref().is_some_and(|(_, at)| since(now, *at) < STATUS_LIFE))
            .flat_map(|desk| desk.machines.values())
    }

    /// `unreaching`: holders whose word on their machines' silence says more about themselves.
    pub fn health(&self, now: Now, view: &View, unreaching: &BTreeSet<NodeName>) -> BTreeMap<MachineId, Health> {
        let holder = |machine: &MachineId| {
            let block = view.machines.get(machine).map(|machine| &machine.block)?;
            view.grants.get(block).map(|grant| &grant.value.holder)
        };
        self.machines(now)
            .map(|machine| {
                let health = Health {
                    seen: machine.seen,
                    silent: machine.silent,
                    faulty: machine.errors >= FAULTY,
                    usable: machine.usable,
                    heard_elsewhere: !unreaching.is_empty()
                        && holder(&machine.machine).is_some_and(|holder| unreaching.contains(holder)),
                };
                (machine.machine.clone(), health)
            })
            .collect()
    }

    /// Blocks under grants of this term, and what became of the releases to them.
    fn settle(&mut self, now: Now, view: &View) {
        let term = self.term;
        self.desks.retain(|block, _| view.grants.contains_key(block));
        for (block, grant) in &view.grants {
            if grant.value.term != term {
                // Its holder may still place what an earlier leader wanted.
                self.desks.remove(block);
                continue;
            }
            let known = self.desks.get(block).is_some_and(|desk| desk.grant_version == grant.version);
            if !known {
                // Under a new grant nothing that was released under the old one can be placed any more.
                let desk = Desk {
                    grant_version: grant.version,
                    releases: BTreeMap::new(),
                    stops: BTreeMap::new(),
                    status: None,
                    machines: BTreeMap::new(),
                    heard: 0,
                    owes_word: false,
                    sent: None,
                    last_message: 0,
                    dirty: false,
                    addressed: HashSet::new(),
                };
                self.desks.insert(block.clone(), desk);
            }
        }
        self.looks += 1;
        let look = self.looks;
        let passed = since(now, self.measured);
        self.measured = now.steady;
        for live in view.live_places() {
            let mut count = 0;
            for attempt in live.attempts() {
                count += 1;
                let seen = self.placed.entry(attempt.number).or_insert_with(|| PlacedSince {
                    task: attempt.task,
                    machine: live.id.clone(),
                    at: now.steady,
                    look,
                });
                seen.look = look;
            }
            let pool = (live.machine.type_name.clone(), live.machine.tenure);
            self.runs.entry(pool).or_default().time += passed * count;
        }
        let mut gone = Vec::new();
        self.placed.retain(|number, seen| {
            if seen.look != look {
                gone.push((*number, seen.clone()));
            }
            seen.look == look
        });
        self.note_ends(now, view, gone);
        let live = &self.placed;
        for (block, desk) in &mut self.desks {
            desk.machines.retain(|machine, _| view.machines.contains_key(machine));
            desk.addressed.retain(|machine| view.machines.contains_key(machine));
            let places = view.places.get(block).map_or(0, |places| places.version);
            let status = desk.status.as_ref().map(|(status, _)| status);
            desk.releases.retain(|number, release| {
                if live.contains_key(number) {
                    return false;
                }
                // Its holder has heard of it, does not hold it any more, and our copy shows all it recorded.
                let settled = status.is_some_and(|status| {
                    status.last_work >= release.message && places >= status.revision && !status.pending.contains(number)
                });
                !settled
            });
            desk.stops.retain(|attempt, _| live.contains_key(&attempt.number));
            for release in desk.releases.values_mut() {
                let alive = view.open.get(&release.attempt.task.job).is_some_and(|open| !open.cancelled);
                let refused = status.is_some_and(|status| status.refused.contains(&release.attempt.number));
                let waited = since(now, release.since);
                let stuck = waited > WITHDRAW || (refused && waited > REFUSED_AFTER);
                if !release.withdrawn && (!alive || stuck) {
                    release.withdrawn = true;
                    release.message = u64::MAX;
                    desk.dirty = true;
                }
            }
        }
    }

    /// Counts tasks that have ended, and lets jobs wait whose tasks end again and again without being done.
    fn note_ends(&mut self, now: Now, view: &View, gone: Vec<(u64, PlacedSince)>) {
        for (number, PlacedSince { task, machine, .. }) in gone {
            let pool = view.machines.get(&machine).map(|m| (m.type_name.clone(), m.tenure));
            let mut unknown = Runs::default();
            let runs = pool.map_or(&mut unknown, |pool| self.runs.entry(pool).or_default());
            let stopped = self.desks.values().any(|desk| desk.stops.contains_key(&Attempt { task, number }));
            let Some(open) = view.open.get(&task.job).filter(|open| !open.cancelled) else {
                runs.ended += 1;
                continue;
            };
            if open.done.contains(task.index) {
                self.strikes.remove(&task.job);
                runs.ended += 1;
            } else if view.machines.contains_key(&machine) && !stopped {
                let strikes = self.strikes.entry(task.job).or_default();
                strikes.count += 1;
                if strikes.count > 2 {
                    let backoff = Duration::from_millis(500) * 2u32.saturating_pow(strikes.count.min(10) - 2);
                    strikes.until = Some(now.steady + backoff.min(LONGEST_BACKOFF));
                    if strikes.count.is_power_of_two() {
                        info!(%task, %machine, failures = strikes.count, "tasks of this job keep failing");
                    }
                }
            }
        }
        self.strikes.retain(|job, _| view.open.contains_key(job));
    }

    fn candidates(&self, now: Now, view: &View, flavors: &Flavors, provisioner: &Provisioner) -> Vec<Candidate> {
        let mut taken: HashMap<&MachineId, Room> = HashMap::new();
        let statuses = self.desks.values().filter_map(|desk| desk.status.as_ref());
        let ended: HashSet<u64> = statuses.flat_map(|(status, _)| status.ended.iter().copied()).collect();
        for live in view.live_places() {
            let taken = taken.entry(live.id).or_default();
            // Their holder removes them in the write that places what takes their room.
            let there = live.attempts().filter(|attempt| !ended.contains(&attempt.number));
            for open in there.filter_map(|attempt| view.open.get(&attempt.task.job)) {
                taken.add(&open.job.need);
            }
        }
        for release in self.desks.values().flat_map(|desk| desk.releases.values()) {
            if let Some(open) = view.open.get(&release.attempt.task.job) {
                taken.entry(&release.machine).or_default().add(&open.job.need);
            }
        }
        let mut candidates = Vec::new();
        for status in self.machines(now).filter(|status| status.usable && status.errors < FAULTY) {
            let Some(machine) = view.machines.get(&status.machine) else { continue };
            let Some(flavor) = flavors.get(&machine.type_name) else { continue };
            if machine.draining || provisioner.is_lost(&status.machine) {
                continue;
            }
            let taken = taken.get(&status.machine).copied().unwrap_or_default();
            let images = status.images.clone();
            candidates.push(Candidate::new(&status.machine, machine, flavor, &taken, images));
        }
        candidates
    }

    /// Releases what may run and has room. Returns the demand that provisioning has to meet.
    pub fn plan<'v>(&mut self, now: Now, lead: &Lead<'_>, view: &'v View, provisioner: &Provisioner) -> Demand {
        let Lead { config, flavors, .. } = *lead;
        self.settle(now, view);
        let mut usage: BTreeMap<Team, Room> = BTreeMap::new();
        let mut demand = Demand { runs: self.runs.clone(), ..Demand::default() };
        let mut elsewhere: Vec<(&OpenJob, (Pool, f64))> = Vec::new();
        let mut usage_elsewhere: Vec<&OpenJob> = Vec::new();
        let mut count = |demand: &mut Demand, machine: &Machine, open: &'v OpenJob| {
            usage.entry(open.job.team.clone()).or_default().add(&open.job.need);
            if let Some(flavor) = flavors.get(&machine.type_name) {
                let each = f64::from(flavor.room().count_of(&open.job.need).max(1));
                let here = ((machine.type_name.clone(), machine.tenure), 1.0 / each);
                // What could run on spot machines is no reason to have ordinary ones.
                let misplaced = open.job.spot && !machine.tenure.is_spot();
                if misplaced {
                    elsewhere.push((open, here));
                } else {
                    *demand.machines.entry(here.0).or_default() += here.1;
                }
            }
        };
        for live in view.live_places() {
            demand.occupied.insert(live.id.clone());
            for open in live.attempts().filter_map(|attempt| view.open.get(&attempt.task.job)) {
                count(&mut demand, live.machine, open);
            }
        }
        for release in self.desks.values().flat_map(|desk| desk.releases.values()) {
            demand.occupied.insert(release.machine.clone());
            if let (Some(open), Some(machine)) =
                (view.open.get(&release.attempt.task.job), view.machines.get(&release.machine))
            {
                count(&mut demand, machine, open);
            } else if let Some(open) = view.open.get(&release.attempt.task.job) {
                usage_elsewhere.push(open);
            }
        }
        for open in usage_elsewhere {
            // Its machine is gone, but its holder may still choose another.
            usage.entry(open.job.team.clone()).or_default().add(&open.job.need);
        }
        let stock = Stock { now, flavors, provisioner, machines: provisioner.machines(view) };
        for (open, here) in elsewhere {
            let (pool, share) = stock.cheapest(&open.job, &demand, None).unwrap_or(here);
            *demand.machines.entry(pool).or_default() += share;
        }
        let mut queue = self.queue(now, view);
        self.waiting.clear();
        for waiting in &queue {
            *self.waiting.entry(waiting.open.job.team.clone()).or_default() += waiting.left;
        }
        demand.smallest = smallest(&queue);
        let all_zones: BTreeSet<Zone> = view.grants.values().map(|grant| grant.value.zone.clone()).collect();
        let mut candidates = self.candidates(now, view, flavors, provisioner);
        // A block's tasks are one value: what does not fit it can't be placed there.
        let mut spaces: BTreeMap<BlockId, usize> = BTreeMap::new();
        for (block, desk) in &self.desks {
            let size = view.places.get(block).map_or(0, |places| places.value.worst());
            let space = config.state_limits.value_bytes.saturating_sub(size) / ATTEMPT_BYTES;
            spaces.insert(block.clone(), space.saturating_sub(desk.releases.len()));
        }
        // What each team will have once the tasks that are being stopped are gone.
        let mut kept = usage.clone();
        for attempt in self.desks.values().flat_map(|desk| desk.stops.keys()) {
            if let Some(open) = view.open.get(&attempt.task.job) {
                kept.entry(open.job.team.clone()).or_default().take(&open.job.need);
            }
        }
        // Releases only where all that is placed is known: every block under a grant of this term.
        let complete = !view.grants.is_empty() && view.grants.values().all(|grant| grant.value.term == self.term);
        let mut released = 0;
        let mut turns = Turns::new(&queue);
        let mut hopeless = Hopeless::default();
        let mut rankings: HashMap<(Shape, Image), Ranking> = HashMap::new();
        let mut victims: Option<Victims<'v>> = None;
        while complete && released < RELEASES {
            let Some(next) = turns.next(&queue, &usage, lead) else { break };
            let Some(waiting) = queue.get_mut(next) else { break };
            let fits = within_limit(config, &waiting.open.job, &usage);
            let zones = &waiting.zones;
            let job = &waiting.open.job;
            let open_zone = |zone: &Zone| zone_open(job, zones, zone);
            // Jobs alike find no room where one of them found none: room only shrinks while tasks are released.
            let shape = Shape::of(job, &all_zones, open_zone);
            let mut chosen = None;
            if fits && !hopeless.no_room.contains(&shape) {
                let key = (shape.clone(), job.image.clone());
                let ranking = rankings.entry(key).or_insert_with(|| Ranking::new(&candidates, job, open_zone));
                chosen = ranking.best(&candidates, job).cloned();
                if chosen.is_none() {
                    hopeless.no_room.insert(shape.clone());
                }
            }
            let urgency = (shape, job.team.clone(), job.priority);
            if fits && chosen.is_none() && !hopeless.no_way.contains(&urgency) {
                let victims = victims.get_or_insert_with(|| self.victims(now, view));
                chosen = self.make_room(now, lead, &candidates, &mut kept, victims, job, &open_zone);
                if chosen.is_none() {
                    hopeless.no_way.insert(urgency);
                }
            }
            let (Some(chosen), Some(index)) = (chosen, waiting.taken.first_gap(job.tasks)) else {
                waiting.blocked = true;
                continue;
            };
            let Some(block) = view.machines.get(&chosen.machine).map(|machine| machine.block.clone()) else {
                waiting.blocked = true;
                continue;
            };
            let space = spaces.get_mut(&block).filter(|space| **space > 0);
            let (Some(desk), Some(space)) = (self.desks.get_mut(&block), space) else {
                // Its block is full.
                if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.machine == chosen.machine) {
                    candidate.free = Room { cpus: -1.0, gpus: -1.0, memory_gb: -1.0 };
                }
                continue;
            };
            *space -= 1;
            let attempt = Attempt { task: TaskId { job: waiting.id, index }, number: self.next_attempt };
            self.next_attempt += 1;
            released += 1;
            debug!(%attempt, machine = %chosen.machine, "released");
            let release = Release {
                attempt,
                machine: chosen.machine.clone(),
                since: now.steady,
                withdrawn: false,
                message: u64::MAX,
            };
            desk.releases.insert(attempt.number, release);
            desk.dirty = true;
            if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.machine == chosen.machine) {
                candidate.free.take(&job.need);
            }
            *waiting.zones.entry(chosen.zone.clone()).or_default() += 1;
            waiting.taken.insert(index);
            waiting.left -= 1;
            // It has begun: the rest of it waits for its turn.
            waiting.blocked = waiting.overdue;
            let open = waiting.open;
            usage.entry(open.job.team.clone()).or_default().add(&open.job.need);
            kept.entry(open.job.team.clone()).or_default().add(&open.job.need);
            let each = f64::from(chosen.size.count_of(&open.job.need).max(1));
            *demand.machines.entry((chosen.type_name, chosen.tenure)).or_default() += 1.0 / each;
            demand.occupied.insert(chosen.machine);
        }
        Self::count_waiting(config, &stock, &queue, &mut usage, &mut demand);
        demand
    }

    /// Adds the waiting tasks that their team's limit allows, each in the cheapest type that can be had.
    fn count_waiting(
        config: &Config,
        stock: &Stock<'_>,
        queue: &[Waiting<'_>],
        usage: &mut BTreeMap<Team, Room>,
        demand: &mut Demand,
    ) {
        // Jobs that ask for the same are counted as one, where the first of them stands.
        let mut groups: Vec<(&Job, Option<Zone>, u64)> = Vec::new();
        let mut known: HashMap<(Shape, &Team, Option<Zone>), usize> = HashMap::new();
        for waiting in queue {
            let job = &waiting.open.job;
            let pinned = stock.pinned(waiting);
            let shape = Shape::of(job, &BTreeSet::new(), |_| true);
            let index = *known.entry((shape, &job.team, pinned.clone())).or_insert_with(|| {
                groups.push((job, pinned, 0));
                groups.len() - 1
            });
            groups[index].2 += waiting.left;
        }
        for (job, pinned, left) in groups {
            let mut left = left.min(room_within_limit(config, job, usage));
            // A few tasks at a time, but no more than so many steps: jobs have up to 100,000 tasks.
            let step = left.div_ceil(COUNTING_STEPS).max(1);
            while left > 0 {
                let count = step.min(left);
                left -= count;
                let Some((pool, share)) = stock.cheapest(job, demand, pinned.as_ref()) else { break };
                usage.entry(job.team.clone()).or_default().add(&job.need.times(count as f64));
                if let Some(zone) = &pinned {
                    *demand.pinned.entry((pool.clone(), zone.clone())).or_default() += share * count as f64;
                }
                *demand.machines.entry(pool).or_default() += share * count as f64;
            }
        }
    }

    fn queue<'v>(&self, now: Now, view: &'v View) -> Vec<Waiting<'v>> {
        let mut released: HashMap<JobId, Vec<(u32, Zone)>> = HashMap::new();
        for (block, desk) in &self.desks {
            // A block is of one zone, so this holds even when the machine meant is gone: its holder may choose
            // another one.
            let Some(zone) = view.grants.get(block).map(|grant| &grant.value.zone) else { continue };
            for release in desk.releases.values() {
                let task = release.attempt.task;
                released.entry(task.job).or_default().push((task.index, zone.clone()));
            }
        }
        let mut live: HashMap<JobId, u64> = HashMap::new();
        for attempt in view.live_places().flat_map(|live| live.attempts()) {
            *live.entry(attempt.task.job).or_default() += 1;
        }
        let mut queue = Vec::new();
        for (id, open) in &view.open {
            let backed_off =
                self.strikes.get(id).and_then(|strikes| strikes.until).is_some_and(|until| now.steady < until);
            if open.cancelled || backed_off {
                continue;
            }
            // Most jobs have all their tasks somewhere: they need no closer look.
            let somewhere = open.done.len() + live.get(id).copied().unwrap_or(0);
            if !released.contains_key(id) && somewhere >= u64::from(open.job.tasks) {
                continue;
            }
            let mut taken = open.done.clone();
            let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
            for ((index, _), place) in view.placed(*id) {
                // Places on a machine whose record is gone are void.
                if let Some(machine) = view.machines.get(&place.machine) {
                    taken.insert(*index);
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
            for (index, zone) in released.remove(id).unwrap_or_default() {
                taken.insert(index);
                *zones.entry(zone).or_default() += 1;
            }
            let left = u64::from(open.job.tasks).saturating_sub(taken.len());
            if left > 0 {
                let waited = now.unix_ms().saturating_sub(open.job.accepted_ms);
                let overdue = taken.is_empty() && Duration::from_millis(waited) > BEGIN_WITHIN;
                queue.push(Waiting { id: *id, open, left, taken, zones, overdue, blocked: false });
            }
        }
        queue.sort_by_key(|waiting| {
            (waiting.open.job.priority, !waiting.overdue, waiting.open.job.accepted_ms, waiting.id)
        });
        queue
    }

    /// The next write: jobs that are over, and progress to be folded.
    pub fn write(&mut self, now: Now, lead: &Lead<'_>, view: &mut View) -> Option<Op> {
        let (config, leader_version, most) = (lead.config, lead.version, lead.batch);
        if !self.writer.ready(now, view) {
            return None;
        }
        let mut txn = Txn::default().when(LEADER, leader_version);
        for (id, open) in &view.open {
            if txn.changes.len() >= most {
                break;
            }
            let tasks = open.job.tasks;
            let end = if open.cancelled {
                let clear = view.placed(*id).is_empty() && !self.released(*id);
                clear.then_some(Final::Cancelled)
            } else {
                (open.done.len() >= u64::from(tasks)).then_some(Final::Done)
            };
            let Some(end) = end else { continue };
            debug!(job = %id, ?end, tasks, "job over");
            txn = txn.when(job_key(*id), open.version).put(job_key(*id), &JobRecord::Ended(end, tasks));
        }
        for ((job, chunk), progress) in &view.progress {
            if txn.changes.len() >= most {
                break;
            }
            if view.ended.contains_key(job) {
                txn = txn.when(progress_key(*job, *chunk), progress.version).delete(progress_key(*job, *chunk));
            }
        }
        if txn.changes.is_empty() {
            txn = self.fold(config, view, txn, most);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.writer.sent();
        Some(Op::Commit(txn))
    }

    fn released(&self, job: JobId) -> bool {
        self.desks.values().flat_map(|desk| desk.releases.values()).any(|release| release.attempt.task.job == job)
    }

    fn fold(&self, config: &Config, view: &View, mut txn: Txn, most: usize) -> Txn {
        let full = |size: usize| size as f64 > config.state_limits.value_bytes as f64 * FOLD_AT;
        for places in view.places.values().filter(|places| full(places.value.worst())) {
            // The largest sets first: they free the most for one change.
            let mut sets: Vec<_> = places.value.done.iter().collect();
            sets.sort_by_key(|(_, done)| std::cmp::Reverse(done.0.len()));
            for (job, done) in sets {
                let Some(open) = view.open.get(job) else { continue };
                let chunks: BTreeSet<u32> =
                    done.0.iter().flat_map(|r| (r.start() / CHUNK)..=(r.end() / CHUNK)).collect();
                for chunk in chunks {
                    if txn.changes.len() >= most {
                        return txn;
                    }
                    let mut progress = Progress::default();
                    for range in open.done.0.overlapping(&(chunk * CHUNK..=chunk * CHUNK + CHUNK - 1)) {
                        let start = (*range.start()).max(chunk * CHUNK);
                        let end = (*range.end()).min(chunk * CHUNK + CHUNK - 1);
                        progress.done.0.insert(start..=end);
                    }
                    let old = view.progress.get(&(*job, chunk));
                    if old.is_some_and(|old| old.value == progress) {
                        continue;
                    }
                    let key = progress_key(*job, chunk);
                    if !txn.conditions.iter().any(|(known, _)| *known == key) {
                        txn = txn.when(key.clone(), old.map_or(0, |old| old.version)).put(key, &progress);
                    }
                }
            }
        }
        txn
    }

    pub fn answered(&mut self, now: Now, outcome: &Outcome) {
        self.writer.answered(now, outcome);
    }

    pub fn term(&self) -> u64 {
        self.term
    }
}

/// Whether one more task of the job may go to a zone, given where its others are.
fn zone_open(job: &Job, zones: &BTreeMap<Zone, u32>, zone: &Zone) -> bool {
    let others_elsewhere = zones.iter().any(|(other, count)| other != zone && *count > 0);
    let here = zones.get(zone).copied().unwrap_or(0);
    !(job.one_zone && others_elsewhere) && here < job.zone_limit()
}

/// The least that any waiting task takes, each resource for itself.
fn smallest(queue: &[Waiting<'_>]) -> Option<Room> {
    let needs = queue.iter().map(|waiting| waiting.open.job.need);
    needs.reduce(|a, b| Room {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    })
}

#[cfg(test)]
mod tests;
