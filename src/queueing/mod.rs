//! The leader's queues: one for each team, served in turn by shares. Only the leader releases tasks to the
//! holders of blocks, so only it has to keep the teams' limits.
//!
//! A released task counts as placed until its holder has said that it never will be: see `settle`.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use tracing::{debug, info};

use crate::config::Config;
use crate::domain::{
    Attempt, BlockId, Final, Image, Job, JobId, Kind, MachineId, NodeName, Now, Priority, Room, TaskId, Team, Tenure,
    TypeName, Zone, since,
};
use crate::fleet::stray_for;
use crate::leadership::Lead;
use crate::peer::{BlockStatus, MachineStatus, Wanted, Work};
use crate::placement::{Candidate, Ranking};
use crate::provisioning::{Demand, Flavors, Health, Pool, Provisioner, Runs};
use crate::store::records::{CHUNK, JobRecord, LEADER, Progress, Roster, job_key, progress_key};
use crate::store::view::OpenJob;
use crate::store::{Machine, Op, Outcome, Txn, View, Writer};

/// An unanswered work message is repeated after this long.
const RESEND: Duration = Duration::from_millis(400);
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
/// Tasks that may be stopping at a time to make room.
const STOPS: usize = 40;
/// Steps in which the waiting tasks of one job are counted.
const COUNTING_STEPS: u64 = 64;
/// What one attempt takes of its block's value, at the most.
const ATTEMPT_BYTES: usize = 64;
const LONGEST_BACKOFF: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct Release {
    attempt: Attempt,
    machine: MachineId,
    since: Instant,
    withdrawn: bool,
    /// The first message that says so.
    message: u64,
}

#[derive(Debug)]
struct Desk {
    grant_version: u64,
    releases: BTreeMap<u64, Release>,
    stops: BTreeMap<Attempt, Instant>,
    /// The holder's last word, without its machines: those are kept by name, for it tells only what changed.
    status: Option<(BlockStatus, Instant)>,
    machines: BTreeMap<MachineId, MachineStatus>,
    /// The last status taken in, and the last one that the holder was told was heard.
    heard: u64,
    /// The holder should be told that its word on machines was heard, else it repeats it.
    owes_word: bool,
    sent: Option<Instant>,
    last_message: u64,
    dirty: bool,
    /// Machines whose address the holder was told, or needs no more.
    addressed: HashSet<MachineId>,
}

/// A holder that does not hear most of its machines, and at least so many, is suspected; if others hear so many of
/// them, it is the holder that is cut off or too slow, not they that are dead.
const UNHEARD_LEAST: u32 = 4;
const STRAYS_LEAST: usize = 3;

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

impl Desk {
    /// Notes machines that the holder could ask if it were told where they are.
    fn find(&mut self, addresses: &HashMap<MachineId, String>, roster: Option<&Roster>) {
        let Some(roster) = roster.filter(|roster| roster.on.len() > self.addressed.len()) else { return };
        if self.status.is_none() {
            // It may know them already: a new leader hears of that first.
            return;
        }
        for id in roster.on.keys().filter(|id| !self.addressed.contains(*id)).cloned().collect::<Vec<_>>() {
            let seen = self.machines.get(&id).is_some_and(|status| status.seen);
            if seen || addresses.contains_key(&id) {
                self.dirty |= !seen;
                self.addressed.insert(id);
            }
        }
    }

    /// Those that it has not heard from since. They are told again in each message, for one can be lost.
    fn unmet(&self, addresses: &HashMap<MachineId, String>) -> Vec<(MachineId, String)> {
        let unseen = |id: &&MachineId| self.machines.get(*id).is_none_or(|status| !status.seen);
        let unmet = self.addressed.iter().filter(unseen);
        unmet.filter_map(|id| addresses.get(id).map(|addr| (id.clone(), addr.clone()))).collect()
    }
}

/// A way to make room: the work it loses, the machine, and the tasks to be stopped there.
type Way<'c, 'v> = (f64, &'c Candidate, Vec<Victim<'v>>);

#[derive(Debug, Clone)]
struct Victim<'v> {
    lost: f64,
    attempt: Attempt,
    block: &'v BlockId,
    job: &'v Job,
}

type Victims<'v> = HashMap<&'v MachineId, Vec<Victim<'v>>>;

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

    /// Machines that reported to a controller that is not their holder.
    pub fn strayed(&mut self, now: Now, machines: Vec<MachineId>) {
        self.strays.extend(machines.into_iter().map(|machine| (machine, now.steady)));
    }

    /// Holders that hear hardly any of their machines, although others hear them, with those machines.
    pub fn unreaching(&mut self, now: Now, config: &Config, view: &View) -> BTreeMap<NodeName, BTreeSet<MachineId>> {
        let lately = stray_for(config);
        self.strays.retain(|_, at| since(now, *at) < lately);
        let mut counts: BTreeMap<&NodeName, (u32, u32)> = BTreeMap::new();
        for (block, desk) in &self.desks {
            let recent = desk.status.as_ref().filter(|(_, at)| since(now, *at) < STATUS_LIFE);
            if let (Some((status, _)), Some(grant)) = (recent, view.grants.get(block)) {
                let (expected, overdue) = counts.entry(&grant.value.holder).or_default();
                *expected += status.expected;
                *overdue += status.overdue;
            }
        }
        let suspected = |(expected, overdue): (u32, u32)| overdue >= UNHEARD_LEAST && overdue * 2 > expected;
        let suspects: BTreeSet<&NodeName> =
            counts.into_iter().filter(|(_, counts)| suspected(*counts)).map(|(node, _)| node).collect();
        let mut unreaching: BTreeMap<NodeName, BTreeSet<MachineId>> = BTreeMap::new();
        if suspects.is_empty() {
            return unreaching;
        }
        for machine in self.strays.keys() {
            let block = view.machines.get(machine).map(|machine| &machine.block);
            let holder = block.and_then(|block| view.grants.get(block)).map(|grant| &grant.value.holder);
            let unusable = block
                .and_then(|block| self.desks.get(block)?.machines.get(machine))
                .is_some_and(|status| !status.usable);
            if let Some(holder) = holder.filter(|holder| unusable && suspects.contains(holder)) {
                unreaching.entry(holder.clone()).or_default().insert(machine.clone());
            }
        }
        unreaching.retain(|_, machines| machines.len() >= STRAYS_LEAST);
        unreaching
    }

    fn machines(&self, now: Now) -> impl Iterator<Item = &MachineStatus> {
        self.desks
            .values()
            .filter(move |desk| desk.status.as_ref().is_some_and(|(_, at)| since(now, *at) < STATUS_LIFE))
            .flat_map(|desk| desk.machines.values())
    }

    /// `unreaching`: holders whose word on their machines' silence says more about themselves.
    pub fn health(&self, now: Now, view: &View, unreaching: &BTreeSet<&NodeName>) -> BTreeMap<MachineId, Health> {
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

    /// Stops tasks so that one of `job` fits. PROTOCOL allows it for those of lower priority, and for those that
    /// another team runs beyond its guarantee if this team is within its own; of the latter, those of higher
    /// priority are left alone. The cheapest way is taken: the least work lost.
    #[allow(clippy::too_many_arguments)]
    fn make_room<'c>(
        &mut self,
        now: Now,
        lead: &Lead<'_>,
        candidates: &'c [Candidate],
        kept: &mut BTreeMap<Team, Room>,
        victims: &mut Victims<'_>,
        job: &Job,
        zone_open: &impl Fn(&Zone) -> bool,
    ) -> Option<Candidate> {
        if self.desks.values().map(|desk| desk.stops.len()).sum::<usize>() >= STOPS {
            return None;
        }
        let Lead { config, policy, .. } = *lead;
        let owed = within_guarantee(config, job, kept);
        let may_stop = |other: &Job| {
            let beyond = beyond_guarantee(config, other, kept);
            // A team beyond its guarantee takes nothing from one that is within: what it took would be owed
            // back at once, and the two would stop each other's tasks in turn.
            let lower = other.priority > job.priority;
            let equal = other.priority == job.priority && other.team != job.team;
            let for_priority = policy.preempt_for_priority && lower && (owed || beyond);
            let for_guarantee = policy.preempt_for_guarantee && owed && beyond && equal;
            for_priority || for_guarantee
        };
        let mut best: Option<Way<'c, '_>> = None;
        for candidate in candidates.iter().filter(|c| c.allows(job) && zone_open(&c.zone)) {
            let Some(there) = victims.get(&candidate.machine) else { continue };
            let mut free = candidate.free;
            let mut cost = if candidate.images.contains(&job.image) {
                0.0
            } else {
                job.image_gb * candidate.fetch_s_per_gb * job.need.cpus
            };
            let mut chosen = Vec::new();
            for victim in there.iter().filter(|victim| may_stop(victim.job)) {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&victim.job.need);
                cost += victim.lost;
                chosen.push(victim.clone());
            }
            if free.fits(&job.need) && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, candidate, chosen));
            }
        }
        let (lost, candidate, chosen) = best?;
        if let Some(there) = victims.get_mut(&candidate.machine) {
            there.retain(|victim| chosen.iter().all(|chosen| chosen.attempt != victim.attempt));
        }
        for Victim { attempt, block, job: other, .. } in chosen {
            info!(%attempt, machine = %candidate.machine, class = %job.class, lost, "preempted");
            kept.entry(other.team.clone()).or_default().take(&other.need);
            if let Some(desk) = self.desks.get_mut(block) {
                desk.stops.insert(attempt, now.steady);
                desk.dirty = true;
            }
        }
        Some(candidate.clone())
    }

    /// Tasks that could be stopped, by machine, the least work first. Replicas are not among them: one that is
    /// stopped is down, which no start is worth.
    fn victims<'v>(&self, now: Now, view: &'v View) -> Victims<'v> {
        let mut victims: Victims<'v> = HashMap::new();
        for (live, attempt) in view.live_places().flat_map(|live| live.attempts().map(move |attempt| (live, attempt))) {
            let Some(open) = view.open.get(&attempt.task.job).filter(|open| !open.cancelled) else { continue };
            let stopping = self.desks.get(live.block).is_none_or(|desk| desk.stops.contains_key(&attempt));
            if stopping || open.job.kind == Kind::Service {
                continue;
            }
            let ran = self.placed.get(&attempt.number).map_or(Duration::ZERO, |seen| since(now, seen.at));
            let lost = ran.as_secs_f64() * open.job.need.cpus.max(0.1);
            victims.entry(live.id).or_default().push(Victim { lost, attempt, block: live.block, job: &open.job });
        }
        for there in victims.values_mut() {
            there.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        }
        victims
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
                queue.push(Waiting { id: *id, open, left, taken, zones, blocked: false });
            }
        }
        queue.sort_by_key(|waiting| (waiting.open.job.priority, waiting.open.job.accepted_ms, waiting.id));
        queue
    }

    /// Messages that are due to holders.
    pub fn messages(&mut self, now: Now, view: &View, addresses: &HashMap<MachineId, String>) -> Vec<Work> {
        let mut messages = Vec::new();
        for (block, desk) in &mut self.desks {
            desk.find(addresses, view.rosters.get(block).map(|roster| &roster.value));
            let acked = desk.status.as_ref().is_some_and(|(status, _)| status.last_work >= desk.last_message);
            let overdue = !acked && desk.sent.is_some_and(|sent| since(now, sent) >= RESEND);
            if !desk.dirty && !overdue && !desk.owes_word {
                continue;
            }
            self.next_message += 1;
            let number = self.next_message;
            desk.dirty = false;
            desk.owes_word = false;
            desk.sent = Some(now.steady);
            desk.last_message = number;
            for release in desk.releases.values_mut().filter(|release| release.message == u64::MAX) {
                release.message = number;
            }
            let want = desk
                .releases
                .values()
                .filter(|release| !release.withdrawn)
                .map(|release| Wanted { attempt: release.attempt, machine: release.machine.clone() })
                .collect();
            let stop = desk.stops.keys().copied().collect();
            messages.push(Work {
                block: block.clone(),
                grant_version: desk.grant_version,
                number,
                heard: desk.heard,
                want,
                stop,
                addresses: desk.unmet(addresses),
            });
        }
        messages
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

/// Whether a pool has run out, what a task costs there, and what a machine does.
type Cost = (bool, f64, f64);

/// What machines there are and can be had.
struct Stock<'a> {
    now: Now,
    flavors: &'a Flavors,
    provisioner: &'a Provisioner,
    /// Machines of each pool, those on order included.
    machines: BTreeMap<Pool, u32>,
}

impl Stock<'_> {
    /// The zone that a job's next task has to go to, if not all zones will do: one that has machines to give, if
    /// any of those that will do has.
    fn pinned(&self, waiting: &Waiting<'_>) -> Option<Zone> {
        let job = &waiting.open.job;
        let zones: BTreeSet<&Zone> = self.flavors.all().flat_map(|flavor| &flavor.zones).collect();
        let open = |zone: &&Zone| job.allows_zone(zone) && zone_open(job, &waiting.zones, zone);
        let allowed: Vec<&Zone> = zones.iter().copied().filter(open).collect();
        if allowed.len() == zones.len() {
            return None;
        }
        let obtainable = |zone: &&Zone| {
            self.flavors.all().filter(|flavor| job.allows_type(&flavor.name)).any(|flavor| {
                let tenures = [Tenure::Ordinary, Tenure::Spot].into_iter().filter(|t| job.allows_tenure(*t));
                tenures.into_iter().any(|t| self.provisioner.available(self.now, &flavor.name, zone, t))
            })
        };
        allowed.into_iter().max_by_key(|zone| obtainable(zone)).cloned()
    }

    /// Where a task costs least among what can be had, and its share of a machine there. Of equals, the smaller
    /// machines: they follow the demand more closely.
    ///
    /// A type that has run out still serves what its machines, up or on order, have room for. Without that, a
    /// refused order for spare machines moved the whole queue to the next dearer type.
    fn cheapest(&self, job: &Job, demand: &Demand, pinned: Option<&Zone>) -> Option<(Pool, f64)> {
        let mut best: Option<(Cost, (Pool, f64))> = None;
        for flavor in self.flavors.all().filter(|flavor| job.allows_type(&flavor.name)) {
            let each = flavor.room().count_of(&job.need);
            if each == 0 {
                continue;
            }
            let share = 1.0 / f64::from(each);
            for tenure in [Tenure::Ordinary, Tenure::Spot].into_iter().filter(|tenure| job.allows_tenure(*tenure)) {
                let pool = (flavor.name.clone(), tenure);
                let room = f64::from(self.machines.get(&pool).copied().unwrap_or(0))
                    - demand.machines.get(&pool).copied().unwrap_or(0.0);
                let available = |zone: &Zone| {
                    pinned.map_or(job.allows_zone(zone), |only| only == zone)
                        && self.provisioner.available(self.now, &flavor.name, zone, tenure)
                };
                let has_room = pinned.is_none() && room + 1e-9 >= share;
                let can_be_had = has_room || flavor.zones.iter().any(available);
                let price = if tenure.is_spot() { flavor.spot_price.0 } else { flavor.price.0 };
                // To the cent of a cent: equal prices for each task must compare as equal.
                // What has run out everywhere is still asked for, again each round.
                let cost = (!can_be_had, (price * share * 1e4).round(), price);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, (pool, share)));
                }
            }
        }
        best.map(|(_, found)| found)
    }
}

/// Whether one more task of the job may go to a zone, given where its others are.
fn zone_open(job: &Job, zones: &BTreeMap<Zone, u32>, zone: &Zone) -> bool {
    let others_elsewhere = zones.iter().any(|(other, count)| other != zone && *count > 0);
    let here = zones.get(zone).copied().unwrap_or(0);
    !(job.one_zone && others_elsewhere) && here < job.zone_limit()
}

/// How many more tasks of the job its team's limit allows.
fn room_within_limit(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> u64 {
    let Some(limits) = config.team(&job.team) else { return 0 };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    let left = Room {
        cpus: (limits.cpus_max - used.cpus).max(0.0),
        gpus: (limits.gpus_max - used.gpus).max(0.0),
        memory_gb: f64::INFINITY,
    };
    u64::from(left.count_of(&job.need))
}

/// Whether one more task of the job stays within its team's guarantee.
fn within_guarantee(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return false };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    used.cpus + job.need.cpus <= limits.cpus + 1e-6 && used.gpus + job.need.gpus <= limits.gpus + 1e-6
}

/// Whether a task's team uses more than its guarantee, and would still use it all without the task.
fn beyond_guarantee(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return true };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    used.cpus - job.need.cpus >= limits.cpus - 1e-6 && used.gpus - job.need.gpus >= limits.gpus - 1e-6
}

fn within_limit(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return false };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    let slack = 1e-6;
    used.cpus + job.need.cpus <= limits.cpus_max + slack && used.gpus + job.need.gpus <= limits.gpus_max + slack
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

/// Whose turn it is: replicas first, then teams within their guarantee, then by priority, then the team that has
/// the least for its share. Jobs of one team, priority and kind are served in their order, so only the first of
/// each such line has to be compared.
struct Turns {
    lines: Vec<VecDeque<usize>>,
}

impl Turns {
    fn new(queue: &[Waiting<'_>]) -> Self {
        let mut lines: BTreeMap<(&Team, Priority, bool), VecDeque<usize>> = BTreeMap::new();
        for (index, waiting) in queue.iter().enumerate() {
            let job = &waiting.open.job;
            lines.entry((&job.team, job.priority, is_replica(job))).or_default().push_back(index);
        }
        Turns { lines: lines.into_values().collect() }
    }

    fn next(&mut self, queue: &[Waiting<'_>], usage: &BTreeMap<Team, Room>, lead: &Lead<'_>) -> Option<usize> {
        let Lead { config, policy, .. } = *lead;
        let mut best: Option<(usize, (bool, bool, Priority, f64))> = None;
        for line in &mut self.lines {
            while line.front().is_some_and(|index| queue[*index].blocked || queue[*index].left == 0) {
                line.pop_front();
            }
            let Some(index) = line.front().copied() else { continue };
            let job = &queue[index].open.job;
            let Some(limits) = config.team(&job.team) else { continue };
            let used = usage.get(&job.team).copied().unwrap_or_default();
            let beyond = !within_guarantee(config, job, usage);
            let weight = policy.team_shares.get(&job.team).copied().unwrap_or(1.0);
            let share = (used.cpus / limits.cpus.max(1.0) + used.gpus / limits.gpus.max(1.0)) / weight;
            let rank = (!is_replica(job), beyond, job.priority, share);
            if best.as_ref().is_none_or(|(_, least)| rank < *least) {
                best = Some((index, rank));
            }
        }
        best.map(|(index, _)| index)
    }
}

fn is_replica(job: &Job) -> bool {
    job.kind == Kind::Service && job.priority == Priority::Production
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::SETTINGS;
    use crate::placement::tests::job;
    use crate::policy::Policy;
    use crate::provisioning::wire::FlavorList;
    use crate::provisioning::wire::tests::flavor;
    use crate::store::Change;
    use crate::store::records::{Grant, Places, Rostered, encode, grant_key, job_key, places_key, roster_key};

    struct Desktop {
        config: Config,
        policy: Policy,
        flavors: Flavors,
        view: View,
        now: Now,
        version: u64,
        queues: Queues,
        provisioner: Provisioner,
    }

    const TERM: u64 = 5;

    impl Desktop {
        /// One block, `a.0`, with machines of 16 CPUs.
        fn new(machines: u32) -> Self {
            let config = Config::parse("s.toml", SETTINGS).expect("valid");
            let now = Now::read();
            let mut flavors = Flavors::default();
            flavors.answered(Some(FlavorList { types: vec![flavor()] }));
            let mut desktop = Desktop {
                policy: Policy::defaults(&config),
                flavors,
                view: View::following(),
                now,
                version: 0,
                queues: Queues::new(now, TERM),
                provisioner: Provisioner::new(now, TERM),
                config,
            };
            let holder = desktop.config.name.clone();
            let grant = Grant { zone: "a".into(), holder, boot: 1, seal: 4, term: TERM };
            desktop.put(grant_key(&"a.0".into()), encode(&grant));
            desktop.roster(0..machines);
            desktop.plan();
            desktop.status(machines, 0, &[]);
            desktop
        }

        fn put(&mut self, key: String, value: ciborium::Value) -> u64 {
            self.version += 1;
            self.view.apply(Change { key, version: self.version, value: Some(value) });
            self.version
        }

        fn roster(&mut self, machines: std::ops::Range<u32>) {
            let entry =
                || Rostered { type_name: "large".into(), tenure: Tenure::Ordinary, draining: false, rented_s: 0 };
            let on = machines.map(|n| (name(n), entry())).collect();
            self.put(roster_key(&"a.0".into()), encode(&Roster { zone: "a".into(), on }));
        }

        fn job(&mut self, id: u64, job: Job) {
            self.put(job_key(JobId(id)), encode(&JobRecord::Open(job)));
        }

        fn status(&mut self, machines: u32, last_work: u64, pending: &[u64]) {
            let grant = &self.view.grants[&BlockId::from("a.0")];
            let status = BlockStatus {
                block: "a.0".into(),
                seal: grant.value.seal,
                grant_version: grant.version,
                last_work,
                pending: pending.to_vec(),
                refused: Vec::new(),
                ended: Vec::new(),
                revision: self.view.places.get(&"a.0".into()).map_or(0, |places| places.version),
                wants_new_seal: false,
                expected: machines,
                overdue: 0,
                number: self.version * 1000 + last_work + 1,
                machines: (0..machines)
                    .map(|n| MachineStatus {
                        machine: name(n),
                        usable: true,
                        seen: true,
                        silent: false,
                        notice: false,
                        errors: 0,
                        images: vec!["img".into()],
                    })
                    .collect(),
            };
            self.queues.status(self.now, status);
        }

        fn plan(&mut self) -> (Demand, Vec<Work>) {
            let Desktop { config, policy, flavors, view, now, queues, provisioner, .. } = self;
            let lead = Lead { config, policy, flavors, term: TERM, version: 1, batch: 16, spare: true };
            let demand = queues.plan(*now, &lead, view, provisioner);
            (demand, queues.messages(*now, view, provisioner.addresses()))
        }

        /// Everything that is wanted is placed where the leader meant it.
        fn place(&mut self, work: &Work) {
            let mut places = self.view.places.get(&work.block).map_or(Places::default(), |p| p.value.clone());
            for wanted in &work.want {
                places.add(&wanted.machine, wanted.attempt);
            }
            self.put(places_key(&work.block), encode(&places));
        }
    }

    fn name(n: u32) -> MachineId {
        format!("m-{n:06}").as_str().into()
    }

    /// Found by a seeded run: the machine that a release was meant for was deleted, the release no longer
    /// counted, and the task was released again while its holder could still place it elsewhere.
    #[test]
    fn a_release_counts_until_its_holder_has_let_go_of_it() {
        let mut desktop = Desktop::new(2);
        desktop.job(1, job(1, 4.0));
        let (_, work) = desktop.plan();
        let [wanted] = work[0].want.as_slice() else { panic!("{work:?}") };
        let number = wanted.attempt.number;
        // The machine it was meant for goes.
        desktop.roster(if wanted.machine == name(0) { 1..2 } else { 0..1 });
        for (last_work, pending) in [(0, vec![]), (work[0].number, vec![number])] {
            desktop.status(2, last_work, &pending);
            assert!(desktop.plan().1.iter().all(|work| work.want.iter().all(|w| w.attempt.number == number)));
        }
        // Heard, and neither pending nor placed: now it is free.
        desktop.status(2, work[0].number, &[]);
        desktop.plan();
        let (_, work) = desktop.plan();
        assert!(work.iter().flat_map(|work| &work.want).all(|wanted| wanted.attempt.number != number));
    }

    /// Found on the bench: machines stood empty until the record of an end had been written, a second or more.
    #[test]
    fn the_room_of_a_task_that_has_ended_is_given_away_before_its_record_is_written() {
        let mut desktop = Desktop::new(1);
        desktop.job(1, job(1, 16.0));
        let (_, work) = desktop.plan();
        let number = work[0].want[0].attempt.number;
        desktop.place(&work[0]);
        desktop.job(2, job(1, 16.0));
        desktop.status(1, work[0].number, &[]);
        let wanted = |desktop: &mut Desktop| desktop.plan().1.iter().map(|work| work.want.len()).sum::<usize>();
        assert_eq!(wanted(&mut desktop), 0);
        let desk = desktop.queues.desks.get_mut(&BlockId::from("a.0")).expect("granted");
        desk.status.as_mut().expect("heard").0.ended.push(number);
        assert_eq!(wanted(&mut desktop), 1);
    }

    /// Found on the bench: a controller was cut off from its workers, and all its machines were deleted, though they
    /// reported to the others all the time.
    #[test]
    fn a_holder_whose_machines_are_heard_elsewhere_is_cut_off_and_they_are_not_dead() {
        let mut desktop = Desktop::new(6);
        let holder = desktop.config.name.clone();
        let mut judged = |overdue: u32, strays: u32| {
            let desk = desktop.queues.desks.get_mut(&BlockId::from("a.0")).expect("granted");
            desk.status.as_mut().expect("heard").0.overdue = overdue;
            for status in desk.machines.values_mut() {
                status.usable = false;
            }
            desktop.queues.strays.clear();
            desktop.queues.strayed(desktop.now, (0..strays).map(name).collect());
            let unreaching = desktop.queues.unreaching(desktop.now, &desktop.config, &desktop.view);
            let health = desktop.queues.health(desktop.now, &desktop.view, &unreaching.keys().collect());
            let spared = health.values().filter(|health| health.heard_elsewhere).count();
            (unreaching.contains_key(&holder), spared)
        };
        assert_eq!(judged(6, 3), (true, 6));
        assert_eq!(judged(6, 2), (false, 0), "they may be dead");
        assert_eq!(judged(3, 6), (false, 0), "it hears the others");
    }

    #[test]
    fn a_team_gets_no_more_than_its_limit_however_large_its_job() {
        let mut desktop = Desktop::new(30);
        // 48 CPUs at most: see the sample settings.
        desktop.job(1, Job { team: "blue".into(), ..job(100_000, 0.5) });
        let mut placed = 0;
        for _ in 0..5 {
            let (demand, work) = desktop.plan();
            placed += work.iter().map(|work| work.want.len()).sum::<usize>();
            let room: f64 = demand.machines.values().sum();
            assert!(room <= 3.0 + 1e-6, "{room} machines for 48 CPUs");
            for work in &work {
                desktop.place(work);
                desktop.status(30, work.number, &[]);
            }
        }
        assert_eq!(placed, 96);
    }

    #[test]
    fn a_block_is_given_no_more_than_its_value_holds() {
        let mut desktop = Desktop::new(3);
        desktop.job(1, job(100_000, 0.0));
        for _ in 0..30 {
            for work in desktop.plan().1 {
                desktop.place(&work);
                desktop.status(3, work.number, &[]);
            }
        }
        let places = &desktop.view.places[&BlockId::from("a.0")];
        assert!(places.value.attempts().count() > 100);
        assert!(places.value.size() <= desktop.config.state_limits.value_bytes);
    }

    /// Found on the bench: two teams stopped each other's tasks in turn, over a thousand in eight minutes.
    #[test]
    fn preemption_follows_priority_and_guarantee_without_going_in_circles() {
        let stops = |waiting: Job, running: Job, tasks: u32| {
            let mut desktop = Desktop::new(2);
            desktop.job(1, Job { tasks, ..running });
            let (_, work) = desktop.plan();
            desktop.place(&work[0]);
            desktop.status(2, work[0].number, &[]);
            desktop.job(2, waiting);
            let (_, work) = desktop.plan();
            work.iter().map(|work| work.stop.len()).sum::<usize>()
        };
        let blue = |priority, cpus| Job { team: "blue".into(), priority, ..job(1, cpus) };
        let red = |priority, cpus| Job { team: "red".into(), priority, ..job(1, cpus) };
        let service = |job: Job| Job { kind: Kind::Service, ..job };
        // Two machines of 16 CPUs, full. Red's guarantee is 16 CPUs, blue's 32.
        use Priority::{High, Production, Standard};
        assert_eq!(stops(red(Standard, 4.0), blue(Standard, 4.0), 8), 0, "blue is within its guarantee");
        assert_eq!(stops(blue(Standard, 4.0), red(Standard, 4.0), 8), 1, "red is beyond, blue is owed");
        assert_eq!(stops(blue(Standard, 4.0), red(High, 4.0), 8), 0, "higher priorities are left alone");
        assert_eq!(stops(red(High, 4.0), blue(Standard, 4.0), 8), 1, "priority, within the guarantee");
        assert_eq!(stops(red(Production, 8.0), red(Standard, 4.0), 8), 2, "as many as it takes");
        assert_eq!(stops(blue(High, 4.0), service(red(Standard, 4.0)), 8), 0, "replicas stay up");
    }
}
