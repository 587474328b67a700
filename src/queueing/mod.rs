//! The leader's queues: one for each team, served in turn by shares. Only the leader releases tasks to the
//! holders of blocks, so only it has to keep the teams' limits.
//!
//! A released task counts as placed until its holder has said that it never will be: see `settle`.

mod block_state;
mod failures;
mod folding;
mod holders;
mod opportunistic;
mod preemption;
mod stock;
mod turns;
mod usage;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::debug;

use crate::config::Config;
use crate::domain::{
    Attempt, BlockId, Final, Image, Job, JobId, MachineId, NodeName, Now, Priority, Room, TaskId,
    Team, TypeName, Zone, since,
};
use crate::leadership::Lead;
use crate::peer::{BlockStatus, MachineStatus};
use crate::placement::{Candidate, Ranking};
use crate::provisioning::{Demand, Flavors, Health, Pool, Provisioner, Runs};
use crate::store::records::{JobRecord, LEADER, job_key, progress_key};
use crate::store::view::OpenJob;
use crate::store::{Machine, Op, Outcome, Txn, View, Writer};
use block_state::{BlockState, Release};
use failures::Failures;
use opportunistic::{Opportunities, RESTRICTED_FOR, Reach, is_opportunistic, price_limit};
use preemption::Victims;
use stock::Stock;
use turns::Turns;
use usage::Usage;

/// A holder's word on its machines is believed this long.
const STATUS_LIFE: Duration = Duration::from_secs(5);
/// Releases decided in one go, so that a large job can't hold up everything else.
const RELEASES: usize = 150;
/// A job that has waited this long gets a first task before older jobs of its team and priority get more: when there is
/// far too much work, large jobs would else not begin for many minutes.
const BEGIN_WITHIN: Duration = Duration::from_secs(90);
/// Steps in which the waiting tasks of one job are counted.
const COUNTING_STEPS: u64 = 64;
/// What one attempt takes of its block's value, at the most.
const ATTEMPT_BYTES: usize = 64;

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
    block_states: BTreeMap<BlockId, BlockState>,
    writer: Writer,
    /// Where each attempt was when last looked, to notice those that vanish without being done.
    placed: HashMap<u64, PlacedSince>,
    looks: u64,
    failures: Failures,
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
    reach: Reach,
}

impl Shape {
    fn of(job: &Job, zones: &BTreeSet<Zone>, open: impl Fn(&Zone) -> bool, reach: Reach) -> Self {
        Shape {
            need: [job.need.cpus, job.need.gpus, job.need.memory_gb].map(f64::to_bits),
            types: job.types.clone(),
            zone: job.zone.clone(),
            spot: job.spot,
            zones: zones.iter().filter(|zone| open(zone)).cloned().collect(),
            reach,
        }
    }
}

/// What was found not to go while planning, so that it is not tried for each of a thousand jobs alike.
#[derive(Debug, Default)]
struct Exhausted {
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
    /// How long ago it was accepted.
    waited: Duration,
    blocked: bool,
}

impl Waiting<'_> {
    /// Where its next task may go. A job that has waited for its first task for long gets it wherever there is room.
    fn reach(&self, lead: &Lead<'_>) -> Reach {
        let begins_late = self.taken.is_empty() && self.waited > RESTRICTED_FOR;
        if !is_opportunistic(lead.config, &self.open.job) || begins_late {
            Reach::All
        } else if self.price_limit(lead).is_finite() {
            Reach::CheapAndUnreserved
        } else {
            Reach::Unreserved
        }
    }

    /// The most that its tasks may cost.
    fn price_limit(&self, lead: &Lead<'_>) -> f64 {
        price_limit(lead, &self.open.job, self.waited, self.taken.len())
    }
}

impl Queues {
    pub fn new(now: Now, term: u64) -> Self {
        Queues {
            term,
            // Attempts of different leaders never meet: each has a range of its own.
            next_attempt: term << 20,
            next_message: 0,
            block_states: BTreeMap::new(),
            writer: Writer::Unsure { since: now.steady },
            placed: HashMap::new(),
            looks: 0,
            failures: Failures::default(),
            runs: BTreeMap::new(),
            measured: now.steady,
            strays: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// A holder's word on one of its blocks.
    pub fn status(&mut self, now: Now, mut status: BlockStatus) {
        let Some(block_state) = self.block_states.get_mut(&status.block) else {
            return;
        };
        // A message that comes late holds nothing that the later ones did not say too, or correct.
        if block_state.grant_version != status.grant_version || status.number <= block_state.heard {
            return;
        }
        block_state.heard = status.number;
        block_state.ack_due |= !status.machines.is_empty();
        for machine in status.machines.drain(..) {
            self.failures
                .observe(now, &machine, block_state.machines.get(&machine.machine));
            block_state
                .machines
                .insert(machine.machine.clone(), machine);
        }
        block_state.status = Some((status, now.steady));
    }

    /// Whether a placed attempt's holder has proven it gone. None: it has not spoken under its present grant.
    pub fn proven_gone(&self, block: &BlockId, attempt: &Attempt) -> Option<bool> {
        let (status, _) = self.block_states.get(block)?.status.as_ref()?;
        Some(status.ended.contains(&attempt.number))
    }

    fn machines(&self, now: Now) -> impl Iterator<Item = &MachineStatus> {
        self.block_states
            .values()
            .filter(move |block_state| {
                block_state
                    .status
                    .as_ref()
                    .is_some_and(|(_, at)| since(now, *at) < STATUS_LIFE)
            })
            .flat_map(|block_state| block_state.machines.values())
    }

    /// `unreaching`: holders whose word on their machines' silence says more about themselves.
    pub fn health(
        &self,
        now: Now,
        view: &View,
        unreaching: &BTreeSet<NodeName>,
    ) -> BTreeMap<MachineId, Health> {
        let holder = |machine: &MachineId| {
            let block = view.machines.get(machine).map(|machine| &machine.block)?;
            view.grants.get(block).map(|grant| &grant.value.holder)
        };
        self.machines(now)
            .map(|machine| {
                let health = Health {
                    seen: machine.seen,
                    silent: machine.silent,
                    faulty: self.failures.is_faulty(machine, view),
                    usable: machine.usable,
                    heard_elsewhere: !unreaching.is_empty()
                        && holder(&machine.machine)
                            .is_some_and(|holder| unreaching.contains(holder)),
                };
                (machine.machine.clone(), health)
            })
            .collect()
    }

    /// Blocks under grants of this term, and what became of the releases to them.
    fn settle(&mut self, now: Now, view: &View) {
        let term = self.term;
        self.block_states
            .retain(|block, _| view.grants.contains_key(block));
        for (block, grant) in &view.grants {
            if grant.value.term != term {
                // Its holder may still place what an earlier leader wanted.
                self.block_states.remove(block);
                continue;
            }
            let known = self
                .block_states
                .get(block)
                .is_some_and(|block_state| block_state.grant_version == grant.version);
            if !known {
                // Under a new grant nothing that was released under the old one can be placed any more.
                let block_state = BlockState {
                    grant_version: grant.version,
                    releases: BTreeMap::new(),
                    stops: BTreeMap::new(),
                    status: None,
                    machines: BTreeMap::new(),
                    heard: 0,
                    ack_due: false,
                    sent: None,
                    last_message: 0,
                    dirty: false,
                    addressed: HashSet::new(),
                };
                self.block_states.insert(block.clone(), block_state);
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
                let seen = self
                    .placed
                    .entry(attempt.number)
                    .or_insert_with(|| PlacedSince {
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
        self.placed.retain(|_, seen| {
            if seen.look != look {
                gone.push(seen.clone());
            }
            seen.look == look
        });
        self.note_ends(view, gone);
        let live = &self.placed;
        for (block, block_state) in &mut self.block_states {
            block_state
                .machines
                .retain(|machine, _| view.machines.contains_key(machine));
            block_state
                .addressed
                .retain(|machine| view.machines.contains_key(machine));
            let places = view.places.get(block).map_or(0, |places| places.version);
            let status = block_state.status.as_ref().map(|(status, _)| status);
            block_state.releases.retain(|number, release| {
                if live.contains_key(number) {
                    return false;
                }
                // Its holder has heard of it, does not hold it any more, and our copy shows all it recorded.
                let settled = status.is_some_and(|status| {
                    status.last_work >= release.message
                        && places >= status.revision
                        && !status.pending.contains(number)
                });
                !settled
            });
            block_state
                .stops
                .retain(|attempt, _| live.contains_key(&attempt.number));
            for release in block_state.releases.values_mut() {
                let alive = view
                    .open
                    .get(&release.attempt.task.job)
                    .is_some_and(|open| !open.cancelled);
                let refused =
                    status.is_some_and(|status| status.refused.contains(&release.attempt.number));
                let stuck = release.is_stuck(now, &block_state.stops, refused);
                if !release.withdrawn && (!alive || stuck) {
                    release.withdrawn = true;
                    release.message = u64::MAX;
                    block_state.dirty = true;
                }
            }
        }
    }

    /// Counts tasks that have ended.
    fn note_ends(&mut self, view: &View, gone: Vec<PlacedSince>) {
        for PlacedSince { task, machine, .. } in gone {
            let open = view.open.get(&task.job).filter(|open| !open.cancelled);
            let done = open.is_some_and(|open| open.done.contains(task.index));
            if done {
                self.failures.succeeded(task.job);
            }
            if (done || open.is_none())
                && let Some(machine) = view.machines.get(&machine)
            {
                self.runs
                    .entry((machine.type_name.clone(), machine.tenure))
                    .or_default()
                    .ended += 1;
            }
        }
        self.failures.retain_open(view);
    }

    fn candidates(
        &self,
        now: Now,
        view: &View,
        flavors: &Flavors,
        provisioner: &Provisioner,
    ) -> Vec<Candidate> {
        let mut taken: HashMap<&MachineId, Room> = HashMap::new();
        let statuses = self
            .block_states
            .values()
            .filter_map(|block_state| block_state.status.as_ref());
        let ended: HashSet<u64> = statuses
            .flat_map(|(status, _)| status.ended.iter().copied())
            .collect();
        for live in view.live_places() {
            let taken = taken.entry(live.id).or_default();
            // Their holder removes them in the write that places what takes their room.
            let there = live
                .attempts()
                .filter(|attempt| !ended.contains(&attempt.number));
            for open in there.filter_map(|attempt| view.open.get(&attempt.task.job)) {
                taken.add(&open.job.need);
            }
        }
        for release in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
        {
            if let Some(open) = view.open.get(&release.attempt.task.job) {
                taken
                    .entry(&release.machine)
                    .or_default()
                    .add(&open.job.need);
            }
        }
        let mut candidates = Vec::new();
        for status in self
            .machines(now)
            .filter(|status| status.usable && !self.failures.is_faulty(status, view))
        {
            let Some(machine) = view.machines.get(&status.machine) else {
                continue;
            };
            let Some(flavor) = flavors.get(&machine.type_name) else {
                continue;
            };
            if machine.draining || provisioner.is_lost(&status.machine) {
                continue;
            }
            let taken = taken.get(&status.machine).copied().unwrap_or_default();
            let images = status.images.clone();
            candidates.push(Candidate::new(
                &status.machine,
                machine,
                flavor,
                &taken,
                images,
            ));
        }
        candidates
    }

    /// Releases what may run and has room. Returns the demand that provisioning has to meet.
    pub fn plan<'v>(
        &mut self,
        now: Now,
        lead: &Lead<'_>,
        view: &'v View,
        provisioner: &Provisioner,
    ) -> Demand {
        let Lead {
            config, flavors, ..
        } = *lead;
        self.settle(now, view);
        let mut usage = Usage::default();
        let mut guaranteed: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut demand = Demand {
            runs: self.runs.clone(),
            ..Demand::default()
        };
        let mut elsewhere: Vec<(&OpenJob, (Pool, f64))> = Vec::new();
        let mut usage_elsewhere: Vec<&OpenJob> = Vec::new();
        let mut count = |demand: &mut Demand, machine: &Machine, open: &'v OpenJob| {
            usage.add(&open.job);
            if let Some(flavor) = flavors.get(&machine.type_name) {
                let each = f64::from(flavor.room().count_of(&open.job.need).max(1));
                let here = ((machine.type_name.clone(), machine.tenure), 1.0 / each);
                if !is_opportunistic(config, &open.job) {
                    *guaranteed.entry(here.0.clone()).or_default() += here.1;
                }
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
            for open in live
                .attempts()
                .filter_map(|attempt| view.open.get(&attempt.task.job))
            {
                count(&mut demand, live.machine, open);
            }
        }
        for release in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
        {
            demand.occupied.insert(release.machine.clone());
            if let (Some(open), Some(machine)) = (
                view.open.get(&release.attempt.task.job),
                view.machines.get(&release.machine),
            ) {
                count(&mut demand, machine, open);
            } else if let Some(open) = view.open.get(&release.attempt.task.job) {
                usage_elsewhere.push(open);
            }
        }
        for open in usage_elsewhere {
            // Its machine is gone, but its holder may still choose another.
            usage.add(&open.job);
        }
        let stock = Stock {
            now,
            lead,
            provisioner,
            machines: provisioner.machines(view),
        };
        for (open, here) in elsewhere {
            let (pool, share) = stock
                .cheapest(&open.job, &demand, None, f64::INFINITY)
                .unwrap_or(here);
            *demand.machines.entry(pool).or_default() += share;
        }
        let mut queue = self.queue(now, view);
        self.waiting.clear();
        for waiting in &queue {
            *self
                .waiting
                .entry(waiting.open.job.team.clone())
                .or_default() += waiting.left;
        }
        demand.smallest = smallest(&queue);
        let all_zones: BTreeSet<Zone> = view
            .grants
            .values()
            .map(|grant| grant.value.zone.clone())
            .collect();
        let mut candidates = self.candidates(now, view, flavors, provisioner);
        let opportunities =
            Opportunities::new(lead, provisioner, &self.runs, &guaranteed, &candidates);
        // A block's tasks are one value: what does not fit it can't be placed there.
        let mut spaces: BTreeMap<BlockId, usize> = BTreeMap::new();
        for (block, block_state) in &self.block_states {
            let size = view
                .places
                .get(block)
                .map_or(0, |places| places.value.worst());
            let space = config.state_limits.value_bytes.saturating_sub(size) / ATTEMPT_BYTES;
            spaces.insert(
                block.clone(),
                space.saturating_sub(block_state.releases.len()),
            );
        }
        // What each team will have once the tasks that are being stopped are gone.
        let mut kept = usage.clone();
        for attempt in self
            .block_states
            .values()
            .flat_map(|block_state| block_state.stops.keys())
        {
            if let Some(open) = view.open.get(&attempt.task.job) {
                kept.remove(&open.job);
            }
        }
        // Releases only where all that is placed is known: every block under a grant of this term.
        let complete = !view.grants.is_empty()
            && view
                .grants
                .values()
                .all(|grant| grant.value.term == self.term);
        let mut released = 0;
        let mut turns = Turns::new(&queue);
        let mut exhausted = Exhausted::default();
        let mut rankings: HashMap<(Shape, Image, Option<JobId>), Ranking> = HashMap::new();
        let mut victims: Option<Victims<'v>> = None;
        while complete && released < RELEASES {
            let Some(next) = turns.next(&queue, &usage, lead) else {
                break;
            };
            let Some(waiting) = queue.get_mut(next) else {
                break;
            };
            let fits = usage.within_limit(config, &waiting.open.job);
            let zones = &waiting.zones;
            let job = &waiting.open.job;
            let open_zone = |zone: &Zone| zone_open(job, zones, zone);
            // Jobs alike find no room where one of them found none: room only shrinks while tasks are released.
            let reach = waiting.reach(lead);
            let shape = Shape::of(job, &all_zones, open_zone, reach);
            let mut chosen = None;
            let mut preempted = Vec::new();
            if fits && !exhausted.no_room.contains(&shape) {
                // A job that keeps failing goes to machines on which it has not failed yet: its own ranking.
                let id = waiting.id;
                let failing = self.failures.keeps_failing(id).then_some(id);
                let key = (shape.clone(), job.image.clone(), failing);
                let ranking = rankings.entry(key).or_insert_with(|| {
                    let avoided = |c: &Candidate| self.failures.failed_on(id, &c.machine);
                    let limit = waiting.price_limit(lead);
                    let open =
                        |c: &Candidate| reach == Reach::All || opportunities.allow(job, limit, c);
                    let allowed = |c: &Candidate| open_zone(&c.zone) && open(c);
                    Ranking::new(&candidates, job, allowed, |c| {
                        failing.is_some() && avoided(c)
                    })
                });
                chosen = ranking.best(&candidates, job).cloned();
                if chosen.is_none() {
                    exhausted.no_room.insert(shape.clone());
                }
            }
            let urgency = (shape, job.team.clone(), job.priority);
            if fits
                && reach == Reach::All
                && chosen.is_none()
                && !exhausted.no_way.contains(&urgency)
            {
                let victims = victims.get_or_insert_with(|| self.victims(now, view));
                match self.make_room(now, lead, &candidates, &mut kept, victims, job, &open_zone) {
                    Some(room) => (chosen, preempted) = (Some(room.machine), room.preempted),
                    None => {
                        exhausted.no_way.insert(urgency);
                    }
                }
            }
            let (Some(chosen), Some(index)) = (chosen, waiting.taken.first_gap(job.tasks)) else {
                waiting.blocked = true;
                continue;
            };
            let Some(block) = view
                .machines
                .get(&chosen.machine)
                .map(|machine| machine.block.clone())
            else {
                waiting.blocked = true;
                continue;
            };
            let space = spaces.get_mut(&block).filter(|space| **space > 0);
            let (Some(block_state), Some(space)) = (self.block_states.get_mut(&block), space)
            else {
                // Its block is full.
                if let Some(candidate) = candidates
                    .iter_mut()
                    .find(|candidate| candidate.machine == chosen.machine)
                {
                    candidate.free = Room {
                        cpus: -1.0,
                        gpus: -1.0,
                        memory_gb: -1.0,
                    };
                }
                continue;
            };
            *space -= 1;
            let attempt = Attempt {
                task: TaskId {
                    job: waiting.id,
                    index,
                },
                number: self.next_attempt,
            };
            self.next_attempt += 1;
            released += 1;
            debug!(%attempt, machine = %chosen.machine, "released");
            let release = Release {
                attempt,
                machine: chosen.machine.clone(),
                since: now.steady,
                withdrawn: false,
                message: u64::MAX,
                preempted,
                placeable_since: now.steady,
            };
            block_state.releases.insert(attempt.number, release);
            block_state.dirty = true;
            if let Some(candidate) = candidates
                .iter_mut()
                .find(|candidate| candidate.machine == chosen.machine)
            {
                candidate.free.take(&job.need);
            }
            *waiting.zones.entry(chosen.zone.clone()).or_default() += 1;
            waiting.taken.insert(index);
            waiting.left -= 1;
            // It has begun: the rest of it waits for its turn.
            waiting.blocked = waiting.overdue;
            let open = waiting.open;
            usage.add(&open.job);
            kept.add(&open.job);
            let each = f64::from(chosen.size.count_of(&open.job.need).max(1));
            *demand
                .machines
                .entry((chosen.type_name, chosen.tenure))
                .or_default() += 1.0 / each;
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
        usage: &mut Usage,
        demand: &mut Demand,
    ) {
        // Jobs that ask for the same are counted as one, where the first of them stands.
        let mut groups: Vec<(&Job, Option<Zone>, f64, u64)> = Vec::new();
        let mut known: HashMap<(Shape, &Team, Option<Zone>), usize> = HashMap::new();
        for waiting in queue {
            let job = &waiting.open.job;
            let pinned = stock.pinned(waiting);
            let limit = waiting.price_limit(stock.lead);
            let reach = if limit.is_finite() {
                Reach::CheapAndUnreserved
            } else {
                Reach::All
            };
            let shape = Shape::of(job, &BTreeSet::new(), |_| true, reach);
            let index = *known
                .entry((shape, &job.team, pinned.clone()))
                .or_insert_with(|| {
                    groups.push((job, pinned, limit, 0));
                    groups.len() - 1
                });
            groups[index].3 += waiting.left;
        }
        for (job, pinned, limit, left) in groups {
            let mut left = left.min(usage.room_within_limit(config, job));
            // A few tasks at a time, but no more than so many steps: jobs have up to 100,000 tasks.
            let step = left.div_ceil(COUNTING_STEPS).max(1);
            while left > 0 {
                let count = step.min(left);
                left -= count;
                let Some((pool, share)) = stock.cheapest(job, demand, pinned.as_ref(), limit)
                else {
                    break;
                };
                usage.add_tasks(job, count as f64);
                if let Some(zone) = &pinned {
                    *demand
                        .pinned
                        .entry((pool.clone(), zone.clone()))
                        .or_default() += share * count as f64;
                }
                *demand.machines.entry(pool).or_default() += share * count as f64;
            }
        }
    }

    fn queue<'v>(&self, now: Now, view: &'v View) -> Vec<Waiting<'v>> {
        let mut released: HashMap<JobId, Vec<(u32, Zone)>> = HashMap::new();
        for (block, block_state) in &self.block_states {
            // A block is of one zone, so this holds even when the machine meant is gone: its holder may choose
            // another one.
            let Some(zone) = view.grants.get(block).map(|grant| &grant.value.zone) else {
                continue;
            };
            for release in block_state.releases.values() {
                let task = release.attempt.task;
                released
                    .entry(task.job)
                    .or_default()
                    .push((task.index, zone.clone()));
            }
        }
        let mut live: HashMap<JobId, u64> = HashMap::new();
        for attempt in view.live_places().flat_map(|live| live.attempts()) {
            *live.entry(attempt.task.job).or_default() += 1;
        }
        let mut queue = Vec::new();
        for (id, open) in &view.open {
            if open.cancelled || self.failures.backs_off(now, *id) {
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
            let mut left = u64::from(open.job.tasks).saturating_sub(taken.len());
            if self.failures.keeps_failing(*id) {
                let under_way = taken.len().saturating_sub(open.done.len());
                left = left.min(1u64.saturating_sub(under_way));
            }
            if left > 0 {
                let waited =
                    Duration::from_millis(now.unix_ms().saturating_sub(open.job.accepted_ms));
                let overdue = taken.is_empty() && waited > BEGIN_WITHIN;
                queue.push(Waiting {
                    id: *id,
                    open,
                    left,
                    taken,
                    zones,
                    overdue,
                    waited,
                    blocked: false,
                });
            }
        }
        queue.sort_by_key(|waiting| {
            (
                waiting.open.job.priority,
                !waiting.overdue,
                waiting.open.job.accepted_ms,
                waiting.id,
            )
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
            txn = txn
                .when(job_key(*id), open.version)
                .put(job_key(*id), &JobRecord::Ended(end, tasks));
        }
        for ((job, chunk), progress) in &view.progress {
            if txn.changes.len() >= most {
                break;
            }
            if view.ended.contains_key(job) {
                txn = txn
                    .when(progress_key(*job, *chunk), progress.version)
                    .delete(progress_key(*job, *chunk));
            }
        }
        if txn.changes.is_empty() {
            txn = folding::fold(config, view, txn, most);
        }
        if txn.changes.is_empty() {
            return None;
        }
        self.writer.sent();
        Some(Op::Commit(txn))
    }

    fn released(&self, job: JobId) -> bool {
        self.block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
            .any(|release| release.attempt.task.job == job)
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
    let others_elsewhere = zones
        .iter()
        .any(|(other, count)| other != zone && *count > 0);
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
