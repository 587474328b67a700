//! A simulated world around real controllers: state service, cloud, machines and users as stand-ins, a network
//! that loses and holds messages, and faults at random times. Everything follows from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant, SystemTime};

use dappleshore::cloud::wire::{
    InstanceType, InstanceTypeList, ListedMachine, ListedState, MachineList, MachineNames,
};
use dappleshore::cloud::{CloudRequest, CloudResponse};
use dappleshore::config::{Config, StateLimits, TeamLimits};
use dappleshore::controller::{Controller, Effect, Event, StoreTag};
use dappleshore::domain::{
    AgentEpoch, Amount, CapacityType, FencingToken, Incarnation, Job, JobId, JobKind, Now,
    Priority, Resources, TaskId, Zone,
};
use dappleshore::features::Features;
use dappleshore::job_api::Response;
use dappleshore::peer::Message;
use dappleshore::policy::Policy;
use dappleshore::provisioning::Tag as CloudTag;
use dappleshore::store::records::{FORMAT, MachineState};
use dappleshore::store::{StoreRequest, StoreResponse};
use dappleshore::workers::wire::{Heartbeat, TaskState, WorkerCommands};
use dappleshore::workers::{CommandOutcome, DirectCommand, HeartbeatResponse};
use dappleshore_drain::operator::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::digest::Digest;
use super::gangs::Gangs;
use super::machine::{BROKEN, Machine, MachineEvent};
use super::operators::Operators;
use super::production;
use super::rules::{Place, Rules, Told};
use super::state::StateService;

pub const CONTROLLERS: usize = 3;
/// Faults cease here in most tests.
pub const CALM_FROM: Duration = Duration::from_secs(150);
const ZONES: [&str; CONTROLLERS] = ["a", "b", "c"];
const TICK: Duration = Duration::from_millis(50);
/// Machines and users move in steps of this.
const STEP: Duration = Duration::from_millis(100);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// What can go wrong, and how often.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Of all messages: the answer is lost.
    pub lost: f64,
    /// Of all requests: held for up to a minute and executed then, while the sender hears nothing.
    pub held: f64,
    /// Mean time between faults of each kind; none if zero.
    pub crash: f64,
    pub crash_all: f64,
    pub outage: f64,
    pub cut_one: f64,
    pub machine_dies: f64,
    pub machine_hangs: f64,
    pub spot_taken: f64,
    pub cloud_outage: f64,
    pub peers_cut: f64,
    /// A zone is cut off: what crosses its border is held and delivered when the cut is over.
    pub zone_cut: f64,
    pub faulty_machines: f64,
    /// A machine's heartbeats arrive, but answers and commands don't reach it for up to a minute.
    pub machine_deaf: f64,
    /// A machine is off and on again within a moment.
    pub machine_restarts: f64,
    /// Of all heartbeats: a copy comes up to three leases later, to any controller. Of everything else that was carried
    /// out (commands, rentals, deletions, transactions, what users ask and controllers say): it is carried out again.
    pub copies: f64,
    /// A controller stands still for up to 45 s, in the middle of something, while its clocks run on.
    pub freeze: f64,
    /// A third of the machines that are up die, hang, hear nothing or are taken in the same moment.
    pub mass_loss: f64,
    /// A controller loses the state service and its peers, but not its workers.
    pub island: f64,
    /// Of all transactions: no answer comes, and it is carried out 2 to 12 s later, after newer ones.
    pub late_writes: f64,
    /// A machine reaches no controller for up to a minute, while direct commands reach it.
    pub machine_mute: f64,
    /// The state service takes up to a second for each request, for up to half a minute.
    pub state_slow: f64,
    /// Of all jobs that end: called off at the moment of the end.
    pub cancel_at_end: f64,
    /// Of all questions: an unfinished job is submitted again, one that is done is called off, or a job is sent that fits
    /// no machine or lacks a field.
    pub odd_requests: f64,
    /// A launch is also executed by another machine: breaks a rule on purpose.
    pub sabotage: bool,
}

impl Faults {
    pub fn all() -> Self {
        Faults {
            lost: 0.01,
            held: 0.01,
            crash: 25.0,
            crash_all: 110.0,
            outage: 90.0,
            cut_one: 80.0,
            machine_dies: 40.0,
            machine_hangs: 30.0,
            spot_taken: 30.0,
            cloud_outage: 100.0,
            peers_cut: 70.0,
            zone_cut: 80.0,
            faulty_machines: 0.1,
            machine_deaf: 50.0,
            machine_restarts: 60.0,
            copies: 0.02,
            island: 80.0,
            freeze: 60.0,
            mass_loss: 150.0,
            late_writes: 0.01,
            machine_mute: 50.0,
            state_slow: 90.0,
            cancel_at_end: 0.1,
            odd_requests: 0.05,
            sabotage: false,
        }
    }
}

enum WorldEvent {
    Tick {
        controller: usize,
        incarnation: Incarnation,
    },
    Restart {
        controller: usize,
    },
    Step,
    Store {
        controller: usize,
        incarnation: Incarnation,
        tag: StoreTag,
        sent: Instant,
        op: StoreRequest,
        answer: bool,
    },
    Watch {
        id: u64,
    },
    Deliver {
        controller: usize,
        incarnation: Incarnation,
        event: Box<Event>,
    },
    Peer {
        controller: usize,
        message: Message,
    },
    Command {
        controller: usize,
        incarnation: Incarnation,
        command: DirectCommand,
        answer: bool,
    },
    Cloud {
        controller: usize,
        incarnation: Incarnation,
        tag: CloudTag,
        call: CloudRequest,
        answer: bool,
    },
    Heartbeat {
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// A late copy: whoever sent the heartbeat no longer waits for its answer.
    Copy {
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// What a user or an operator asked before, once more.
    Repeat {
        controller: usize,
        event: Box<Event>,
    },
    /// What a controller had decided when it stood still, done now that it goes on.
    Resume {
        controller: usize,
        incarnation: Incarnation,
        effects: Vec<Effect>,
    },
    Answered {
        machine: String,
        agent_epoch: AgentEpoch,
        seq: u64,
        sent: Duration,
        controller: usize,
        answer: Option<HeartbeatResponse>,
    },
    Fault(Fault),
    /// What a test has planned for this moment.
    Planned(Box<dyn FnOnce(&mut World)>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Crash,
    CrashAll,
    Outage,
    CutOne,
    MachineDies,
    MachineHangs,
    SpotTaken,
    CloudOutage,
    PeersCut,
    ZoneCut,
    MachineDeaf,
    MachineRestarts,
    Island,
    Freeze,
    MassLoss,
    MachineMute,
    StateSlow,
}

/// How much there is of everything.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub jobs: usize,
    /// Machines of the small and the large type that each zone has, of each capacity type.
    pub stock: [usize; 2],
    /// Tasks of a large array.
    pub tasks: u32,
    /// The teams' guarantees and limits, as multiples of the sample's.
    pub teams: f64,
}

impl Size {
    pub const SMALL: Size = Size {
        jobs: 30,
        stock: [5, 2],
        tasks: 16,
        teams: 1.0,
    };
    pub const FLEET: Size = Size {
        jobs: 500,
        stock: [170, 70],
        tasks: 90,
        teams: 120.0,
    };
    /// About 4,000 machines.
    pub const LARGEST: Size = Size {
        jobs: 1100,
        stock: [490, 200],
        tasks: 90,
        teams: 400.0,
    };
    pub const GROWN: Size = Size {
        jobs: 220,
        stock: [50, 25],
        tasks: 60,
        teams: 30.0,
    };
}

struct Slot {
    controller: Option<Controller>,
    incarnation: Incarnation,
    /// The newest format that its version knows.
    format: u32,
    next_request: u64,
    waiting: HashMap<u64, Asker>,
    /// Drift of its steady clock.
    drift: f64,
    cut_until: Duration,
    /// Until then it hears no peers either.
    island_until: Duration,
    frozen_until: Duration,
    /// Commands that it waits for an answer to: each holds a socket.
    commands: usize,
}

#[derive(Clone)]
enum Asker {
    User {
        user: usize,
        asked: Ask,
    },
    /// Whoever sent a job that is to be answered with this status, unless the controller can't decide yet.
    Odd {
        expected: u16,
    },
    Worker {
        machine: String,
        agent_epoch: AgentEpoch,
        seq: u64,
        sent: Duration,
    },
    /// An operator, by number.
    Operator(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Ask {
    Submit,
    Poll,
    Cancel,
}

struct User {
    job: JobId,
    body: Vec<u8>,
    submit_at: Duration,
    cancel_at: Option<Duration>,
    next_ask: Duration,
    pending: Option<(Ask, Duration)>,
    again: bool,
}

struct Watcher {
    controller: usize,
    incarnation: Incarnation,
    tag: StoreTag,
    sent: Instant,
    prefix: String,
    after: u64,
    until: Duration,
}

/// How machines incarnation that are rented while this lasts.
#[derive(Debug, Clone, Copy)]
pub struct BootTrouble {
    /// The part of them that never comes up.
    pub lost: f64,
    /// How many times as long as usual the others take.
    pub factor: f64,
}

pub struct World {
    pub(super) now: Duration,
    base: Instant,
    wall: SystemTime,
    order: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: HashMap<usize, WorldEvent>,
    rng: SmallRng,
    faults: Faults,
    /// Faults stop here; what follows is for the service to recover.
    calm_from: Duration,
    config: Config,
    pub(super) state: StateService,
    state_out_until: Duration,
    state_slow_until: Duration,
    cloud_out_until: Duration,
    peers_cut_until: Duration,
    zone_cut: (Zone, Duration),
    watchers: BTreeMap<u64, Watcher>,
    slots: Vec<Slot>,
    pub(super) machines: BTreeMap<String, Machine>,
    next_machine: u32,
    requests: BTreeMap<String, Vec<String>>,
    users: Vec<User>,
    jobs: BTreeMap<JobId, Job>,
    results: BTreeSet<TaskId>,
    gangs: Gangs,
    pub rules: Rules,
    /// What operators have switched on.
    pub features: Features,
    /// Whether tasks are stopped for others.
    pub preemption: bool,
    pub operators: Operators,
    pub rented: usize,
    size: Size,
    looked_for_idle: Duration,
    boot_trouble: Option<BootTrouble>,
    /// Users ask so many times as often as they would.
    pub asking: u32,
    /// Questions, submissions and cancellations sent so far.
    pub questions: usize,
    /// The machines that were up when the cloud was told to delete them.
    pub deleted_up: usize,
    /// Tasks that start now run for so much longer than they would.
    pub longer: Duration,
    /// ... and each of a job so much longer than the one before it.
    pub apart: Duration,
    /// The most that a message takes.
    pub latency: Duration,
    /// Reports sent until then arrive then, at whoever leads by that time.
    heartbeats_held_until: Duration,
    /// Leases that ran out on machines that were up.
    pub leases_over: usize,
    pub events_handled: u64,
    /// What controllers have decided since a test has set this.
    pub digest: Option<Digest>,
    /// What controllers said to each other, as it goes over the wire.
    pub peer_bytes: usize,
    pub largest_peer_message: usize,
    pub most_machines: usize,
    pub most_commands: usize,
}

const POLL_EVERY: Duration = Duration::from_secs(5);

/// How often it is looked for jobs that wait beside room.
const IDLE_EVERY: Duration = Duration::from_secs(2);

/// Cuts, hangs and held messages last for up to a minute after the last fault.
const LAST_TROUBLES: Duration = Duration::from_secs(60);

fn instance_types() -> InstanceTypeList {
    let instance_type = |name: &str, cpus: f64, price: f64| InstanceType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(cpus * 4.0),
        cache_gb: Amount(20.0),
        fetch_gb_per_s: Amount(0.5),
        price: Amount(price),
        spot_price: Amount(price / 4.0),
        boot_s: Amount(6.0),
        zones: vec!["a".into(), "b".into(), "c".into()],
    };
    InstanceTypeList {
        types: vec![
            instance_type("small", 4.0, 0.3),
            instance_type("large", 16.0, 1.3),
        ],
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults, calm_from: Duration, size: Size) -> Self {
        let text = include_str!("../data/settings.toml");
        let mut config = Config::parse("settings.toml", text).expect("the sample is valid");
        for team in &mut config.teams {
            team.cpus *= size.teams;
            team.cpus_max *= size.teams;
        }
        config.teams.push(guests());
        let limits = config
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.cpus_max))
            .collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = (0..CONTROLLERS)
            .map(|_| Slot {
                controller: None,
                incarnation: Incarnation(0),
                format: FORMAT,
                next_request: 0,
                waiting: HashMap::new(),
                drift: rng.random_range(-0.0005..0.0005),
                cut_until: Duration::ZERO,
                island_until: Duration::ZERO,
                frozen_until: Duration::ZERO,
                commands: 0,
            })
            .collect();
        let mut world = World {
            now: Duration::ZERO,
            base: Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            order: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            faults,
            calm_from,
            state: StateService::new(config.state_limits, production::reads_record),
            state_out_until: Duration::ZERO,
            state_slow_until: Duration::ZERO,
            cloud_out_until: Duration::ZERO,
            peers_cut_until: Duration::ZERO,
            zone_cut: (Zone::from("a"), Duration::ZERO),
            watchers: BTreeMap::new(),
            slots,
            machines: BTreeMap::new(),
            next_machine: 0,
            requests: BTreeMap::new(),
            users: Vec::new(),
            jobs: BTreeMap::new(),
            results: BTreeSet::new(),
            gangs: Gangs::default(),
            rules: Rules::new(limits, config.cancel_within, calm_from + LAST_TROUBLES),
            features: Features::default(),
            preemption: true,
            operators: Operators::default(),
            rented: 0,
            size,
            looked_for_idle: Duration::ZERO,
            boot_trouble: None,
            asking: 1,
            deleted_up: 0,
            questions: 0,
            longer: Duration::ZERO,
            apart: Duration::ZERO,
            latency: Duration::from_millis(6),
            heartbeats_held_until: Duration::ZERO,
            leases_over: 0,
            events_handled: 0,
            digest: None,
            peer_bytes: 0,
            largest_peer_message: 0,
            most_machines: 0,
            most_commands: 0,
            config,
            rng,
        };
        for controller in 0..CONTROLLERS {
            let at = Duration::from_millis(world.rng.random_range(0..500));
            world.at(at, WorldEvent::Restart { controller });
        }
        world.at(STEP, WorldEvent::Step);
        for (fault, mean) in [
            (Fault::Crash, faults.crash),
            (Fault::CrashAll, faults.crash_all),
            (Fault::Outage, faults.outage),
            (Fault::CutOne, faults.cut_one),
            (Fault::MachineDies, faults.machine_dies),
            (Fault::MachineHangs, faults.machine_hangs),
            (Fault::SpotTaken, faults.spot_taken),
            (Fault::CloudOutage, faults.cloud_outage),
            (Fault::PeersCut, faults.peers_cut),
            (Fault::ZoneCut, faults.zone_cut),
            (Fault::MachineDeaf, faults.machine_deaf),
            (Fault::MachineRestarts, faults.machine_restarts),
            (Fault::Island, faults.island),
            (Fault::Freeze, faults.freeze),
            (Fault::MassLoss, faults.mass_loss),
            (Fault::MachineMute, faults.machine_mute),
            (Fault::StateSlow, faults.state_slow),
        ] {
            if mean > 0.0 {
                let mut at = 0.0;
                loop {
                    at += -mean * (1.0 - world.rng.random::<f64>()).ln();
                    if Duration::from_secs_f64(at) >= calm_from {
                        break;
                    }
                    world.at(Duration::from_secs_f64(at), WorldEvent::Fault(fault));
                }
            }
        }
        for n in 0..size.jobs {
            world.add_user(n);
        }
        world
    }

    /// All controllers are of the production version at first, and know of smaller limits to come.
    pub fn upgrading(
        seed: u64,
        faults: Faults,
        calm_from: Duration,
        size: Size,
        next: StateLimits,
    ) -> Self {
        let mut world = World::new(seed, faults, calm_from, size);
        world.config.next_state_limits = Some(next);
        for slot in &mut world.slots {
            slot.format = 0;
        }
        world
    }

    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].format = FORMAT;
        self.end_controller(controller, back_after);
    }

    pub fn lower_state_limits(&mut self, limits: StateLimits) {
        self.state.lower_limits(limits);
    }

    /// The format that is switched on.
    pub fn format(&self) -> u32 {
        self.state.format()
    }

    pub fn gangs(&self) -> &Gangs {
        &self.gangs
    }

    /// A user submits a gang now.
    pub fn add_gang(&mut self, job: Job) -> JobId {
        self.add_job(job, None)
    }

    /// Every rule kept, and nothing that was accepted left undone once faults have ceased.
    pub fn check_end(&self, seed: u64) {
        assert!(
            self.rules.broken.is_empty(),
            "seed {seed}: {:?}",
            self.rules.broken
        );
        assert!(
            self.rules.started > 50,
            "seed {seed}: only {} tasks started",
            self.rules.started
        );
        let unfinished = self.rules.unfinished();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: accepted and neither done nor cancelled: {unfinished:?}"
        );
        assert_eq!(
            self.rules.running(),
            0,
            "seed {seed}: tasks of jobs that are over"
        );
        assert_eq!(
            self.listed(),
            0,
            "seed {seed}: workers list tasks of jobs that are over"
        );
        assert!(
            self.jobs_told() > 20,
            "seed {seed}: {} jobs accepted",
            self.jobs_told()
        );
        assert_eq!(self.rules.unserved(), [] as [&str; 0], "seed {seed}");
    }

    fn add_user(&mut self, n: usize) {
        // Ids come in no order.
        let id = JobId(n as u64 * 37 % 1000 + 1000 * (1 + n as u64 / 1000));
        let rng = &mut self.rng;
        let service = rng.random_bool(0.3);
        let zone = ZONES[rng.random_range(0..CONTROLLERS)];
        let team = if rng.random_bool(0.5) { "red" } else { "blue" };
        let (class, priority) = if service {
            ("service", Priority::Production)
        } else {
            ("array", Priority::Standard)
        };
        let job = Job {
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            tasks: if service {
                rng.random_range(1..4)
            } else {
                rng.random_range(1..self.size.tasks)
            },
            need: Resources {
                cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
                gpus: 0.0,
                memory_gb: 2.0,
            },
            types: rng.random_bool(0.2).then(|| vec!["large".into()]),
            zone: rng.random_bool(0.1).then(|| Zone::from(zone)),
            one_zone: rng.random_bool(0.1),
            spread: service,
            spot: !service,
            image: format!("img-{}", rng.random_range(0..3)).as_str().into(),
            ..array(class, team, priority)
        };
        let mut job = job;
        if job.spread {
            // Both at once, or in one given zone, could never be met.
            job.one_zone = false;
            job.zone = None;
        }
        let last = self.calm_from.as_secs_f64().max(20.0);
        let submit_at = Duration::from_secs_f64(rng.random_range(0.0..last));
        let cancel = service || rng.random_bool(0.15);
        let cancel_at =
            cancel.then(|| submit_at + Duration::from_secs_f64(rng.random_range(0.5..70.0)));
        let body = body_of(id, &job);
        self.jobs.insert(id, job);
        self.users.push(User {
            job: id,
            body,
            submit_at,
            cancel_at,
            next_ask: submit_at,
            pending: None,
            again: rng.random_bool(0.3),
        });
    }

    fn at(&mut self, at: Duration, event: WorldEvent) {
        self.order += 1;
        let key = self.order as usize;
        self.events.insert(key, event);
        self.queue.push(Reverse((at, self.order, key)));
    }

    /// A request of an operator is on its way to a controller that is up.
    pub(super) fn send_operation(&mut self, operator: usize, controller: usize, request: Request) {
        let slot = &mut self.slots[controller];
        if slot.controller.is_none() {
            return;
        }
        slot.next_request += 1;
        let id = slot.next_request;
        slot.waiting.insert(id, Asker::Operator(operator));
        let incarnation = slot.incarnation;
        if let (Request::Start { .. } | Request::Cancel { .. }, Some(late)) =
            (&request, self.copied())
        {
            let request = request.clone();
            let event = Box::new(Event::Operate { id: 0, request });
            self.at(late, WorldEvent::Repeat { controller, event });
        }
        let event = Box::new(Event::Operate { id, request });
        self.soon(WorldEvent::Deliver {
            controller,
            incarnation,
            event,
        });
    }

    /// Some controller, by chance.
    pub(super) fn any_controller(&mut self) -> usize {
        self.rng.random_range(0..CONTROLLERS)
    }

    fn soon(&mut self, event: WorldEvent) {
        let at = self.now + self.transit();
        self.at(at, event);
    }

    fn transit(&mut self) -> Duration {
        let most = u64::try_from(self.latency.as_micros()).expect("short");
        Duration::from_micros(self.rng.random_range(500..most))
    }

    /// A request on its way: sometimes held for long, sometimes its answer is lost. Returns when it arrives and
    /// whether it will be answered.
    fn fate(&mut self) -> (Duration, bool) {
        let calm = self.now >= self.calm_from;
        let quick = self.now + self.transit();
        if !calm && self.rng.random_bool(self.faults.held) {
            let held = Duration::from_secs_f64(self.rng.random_range(1.0..60.0));
            return (self.now + held, false);
        }
        (quick, calm || !self.rng.random_bool(self.faults.lost))
    }

    fn clock(&self, controller: usize) -> Now {
        let monotonic = self.now.mul_f64(1.0 + self.slots[controller].drift);
        let off = Duration::from_millis(300 * controller as u64);
        Now {
            monotonic: self.base + monotonic,
            wall: self.wall + self.now + off,
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        // Only looked at: what comes later is for the next call. Taken out, it was lost, a controller's clock now and then.
        while let Some(Reverse((at, _, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            self.rules.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.take(event);
            }
            self.rules.check(self.now);
            self.check_disruptions();
            if !self.rules.broken.is_empty() {
                break;
            }
        }
    }

    fn alive(&self, controller: usize, incarnation: Incarnation) -> bool {
        self.slots[controller].incarnation == incarnation
            && self.slots[controller].controller.is_some()
    }

    fn handle(&mut self, controller: usize, event: Event) {
        let frozen = self.slots[controller].frozen_until;
        if self.now < frozen {
            let incarnation = self.slots[controller].incarnation;
            self.at(
                frozen,
                WorldEvent::Deliver {
                    controller,
                    incarnation,
                    event: Box::new(event),
                },
            );
            return;
        }
        let incarnation = self.slots[controller].incarnation;
        for effect in self.effects(controller, event) {
            self.perform(controller, incarnation, effect);
        }
    }

    fn effects(&mut self, controller: usize, event: Event) -> Vec<Effect> {
        let now = self.clock(controller);
        let slot = &mut self.slots[controller];
        slot.commands -= usize::from(matches!(event, Event::Commanded { .. }));
        let Some(machine) = &mut slot.controller else {
            return Vec::new();
        };
        let at = self.now.as_secs_f64();
        self.events_handled += 1;
        let mut effects =
            tracing::info_span!("node", controller, at).in_scope(|| machine.handle(now, event));
        sort_hashed(&mut effects);
        if let Some(digest) = &mut self.digest {
            for effect in &effects {
                digest.effect(controller, self.now, self.base, effect);
            }
        }
        effects
    }

    /// When a copy of a message is carried out again, if one is.
    pub(super) fn copied(&mut self) -> Option<Duration> {
        if self.now >= self.calm_from || !self.rng.random_bool(self.faults.copies) {
            return None;
        }
        let late = self.config.worker_lease.as_secs_f64() * 3.0;
        Some(self.now + Duration::from_secs_f64(self.rng.random_range(1.0..late)))
    }

    fn perform(&mut self, controller: usize, incarnation: Incarnation, effect: Effect) {
        match effect {
            Effect::Store { tag, op } => {
                let sent = self.clock(controller).monotonic;
                let (mut at, mut answer) = self.fate();
                if self.now < self.state_slow_until && !matches!(op, StoreRequest::Follow { .. }) {
                    at += Duration::from_millis(self.rng.random_range(50..1000));
                }
                let calm = self.now >= self.calm_from;
                if matches!(op, StoreRequest::Commit(_))
                    && !calm
                    && self.rng.random_bool(self.faults.late_writes)
                {
                    at = self.now + Duration::from_secs_f64(self.rng.random_range(2.0..12.0));
                    answer = false;
                }
                if !answer {
                    let unknown = Event::Store {
                        tag: tag.clone(),
                        sent,
                        outcome: StoreResponse::Unknown,
                    };
                    let after = Duration::from_millis(1500);
                    self.at(
                        self.now + after,
                        WorldEvent::Deliver {
                            controller,
                            incarnation,
                            event: Box::new(unknown),
                        },
                    );
                }
                if let (
                    StoreRequest::Commit(_)
                    | StoreRequest::GrantLease { .. }
                    | StoreRequest::KeepAliveLease { .. },
                    Some(late),
                ) = (&op, self.copied())
                {
                    self.at(
                        late,
                        WorldEvent::Store {
                            controller,
                            incarnation,
                            tag: tag.clone(),
                            sent,
                            op: op.clone(),
                            answer: false,
                        },
                    );
                }
                self.at(
                    at,
                    WorldEvent::Store {
                        controller,
                        incarnation,
                        tag,
                        sent,
                        op,
                        answer,
                    },
                );
            }
            Effect::Command { command, until } => {
                self.slots[controller].commands += 1;
                self.most_commands = self.most_commands.max(self.slots[controller].commands);
                if until.is_some_and(|until| self.clock(controller).monotonic >= until) {
                    return self.unanswered(controller, incarnation, &command);
                }
                let (at, answer) = self.fate();
                if !answer {
                    self.unanswered(controller, incarnation, &command);
                }
                if let Some(late) = self.copied() {
                    self.at(
                        late,
                        WorldEvent::Command {
                            controller,
                            incarnation,
                            command: command.clone(),
                            answer: false,
                        },
                    );
                }
                self.at(
                    at,
                    WorldEvent::Command {
                        controller,
                        incarnation,
                        command,
                        answer,
                    },
                );
            }
            Effect::Cloud { tag, call, until } => {
                if until.is_some_and(|until| self.clock(controller).monotonic >= until) {
                    let event = Event::CloudResponse {
                        tag,
                        outcome: CloudResponse::Unknown,
                    };
                    return self.soon(WorldEvent::Deliver {
                        controller,
                        incarnation,
                        event: Box::new(event),
                    });
                }
                let (at, answer) = self.fate();
                if !answer {
                    let event = Event::CloudResponse {
                        tag: tag.clone(),
                        outcome: CloudResponse::Unknown,
                    };
                    self.at(
                        self.now + Duration::from_secs(5),
                        WorldEvent::Deliver {
                            controller,
                            incarnation,
                            event: Box::new(event),
                        },
                    );
                }
                let at = at + Duration::from_millis(150);
                if let Some(late) = self.copied() {
                    self.at(
                        late,
                        WorldEvent::Cloud {
                            controller,
                            incarnation,
                            tag: tag.clone(),
                            call: call.clone(),
                            answer: false,
                        },
                    );
                }
                self.at(
                    at,
                    WorldEvent::Cloud {
                        controller,
                        incarnation,
                        tag,
                        call,
                        answer,
                    },
                );
            }
            Effect::Peer { to, message } => {
                if self.state.format() == 0 {
                    let value = ciborium::Value::serialized(&message).expect("has a form");
                    assert!(production::reads_message(&value), "{message:?}");
                }
                let target = to.0.trim_start_matches("node-").parse().unwrap_or(0);
                let (at, _) = self.fate();
                let island = |controller: usize| self.now < self.slots[controller].island_until;
                if self.size.jobs > Size::SMALL.jobs {
                    let bytes = dappleshore::http::write(&message).len();
                    self.peer_bytes += bytes;
                    self.largest_peer_message = self.largest_peer_message.max(bytes);
                }
                if self.now >= self.peers_cut_until && !island(controller) && !island(target) {
                    if let Some(late) = self.copied() {
                        self.at(
                            late,
                            WorldEvent::Peer {
                                controller: target,
                                message: message.clone(),
                            },
                        );
                    }
                    self.at(
                        at,
                        WorldEvent::Peer {
                            controller: target,
                            message,
                        },
                    );
                }
            }
            Effect::Unsupported { format } => panic!("format {format} is not known"),
            Effect::RespondToUser { id, response } => {
                match self.slots[controller].waiting.remove(&id) {
                    Some(Asker::User { user, asked }) => self.user_answered(user, asked, &response),
                    Some(Asker::Odd { expected }) => {
                        let (Response::State { status, .. } | Response::Problem { status, .. }) =
                            response;
                        self.rules.odd_answered(self.now, expected, status);
                    }
                    _ => {}
                }
            }
            Effect::RespondToWorker { id, answer, until } => {
                let over = self.clock(controller).monotonic >= until
                    && matches!(answer, HeartbeatResponse::WorkerCommands(_));
                let answer = if over {
                    HeartbeatResponse::Unavailable
                } else {
                    answer
                };
                if let Some(Asker::Worker {
                    machine,
                    agent_epoch,
                    seq,
                    sent,
                }) = self.slots[controller].waiting.remove(&id)
                    && self
                        .machines
                        .get(&machine)
                        .is_none_or(|machine| self.now >= machine.deaf_until)
                {
                    let (at, answered) = self.fate();
                    if answered {
                        let answer = Some(answer);
                        self.at(
                            at,
                            WorldEvent::Answered {
                                machine,
                                agent_epoch,
                                seq,
                                sent,
                                controller,
                                answer,
                            },
                        );
                    }
                }
            }
            Effect::RespondToHealthCheck { .. } => {}
            Effect::RespondToOperator { id, reply } => {
                if let Some(Asker::Operator(operator)) = self.slots[controller].waiting.remove(&id)
                {
                    self.operator_answered(operator, controller, reply);
                }
            }
        }
    }

    fn unanswered(&mut self, controller: usize, incarnation: Incarnation, command: &DirectCommand) {
        let event = Event::Commanded {
            block: command.block.clone(),
            machine: command.machine.clone(),
            body: command.body.clone(),
            outcome: CommandOutcome::Unknown,
        };
        self.at(
            self.now + Duration::from_secs(3),
            WorldEvent::Deliver {
                controller,
                incarnation,
                event: Box::new(event),
            },
        );
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick {
                controller,
                incarnation,
            } => {
                if self.alive(controller, incarnation) {
                    let frozen = self.slots[controller].frozen_until;
                    if self.now < frozen {
                        self.at(
                            frozen,
                            WorldEvent::Tick {
                                controller,
                                incarnation,
                            },
                        );
                        return;
                    }
                    self.handle(controller, Event::Tick);
                    self.at(
                        self.now + TICK,
                        WorldEvent::Tick {
                            controller,
                            incarnation,
                        },
                    );
                }
            }
            WorldEvent::Restart { controller } => self.start(controller),
            WorldEvent::Step => {
                self.step();
                self.at(self.now + STEP, WorldEvent::Step);
            }
            WorldEvent::Store {
                controller,
                incarnation,
                tag,
                sent,
                op,
                answer,
            } => self.store(controller, incarnation, tag, sent, op, answer),
            WorldEvent::Watch { id } => self.watch_over(id),
            WorldEvent::Deliver {
                controller,
                incarnation,
                event,
            } => {
                if self.alive(controller, incarnation) {
                    self.handle(controller, *event);
                }
            }
            WorldEvent::Peer {
                controller,
                message,
            } => {
                let from = match &message {
                    Message::Status(status) => Some(status.controller.clone()),
                    Message::Alive(alive) => Some(alive.controller.clone()),
                    Message::AssignmentUpdates(_) | Message::Cancelled(_) => None,
                };
                let from =
                    from.and_then(|name| name.0.trim_start_matches("node-").parse::<usize>().ok());
                let zone = from.map(|from| Zone::from(ZONES[from]));
                if let Some(until) = zone.and_then(|zone| self.cut(controller, Some(&zone))) {
                    self.at(
                        until,
                        WorldEvent::Peer {
                            controller,
                            message,
                        },
                    );
                    return;
                }
                // Held messages reach whichever process is there by then.
                self.handle(controller, Event::Peer(message));
            }
            WorldEvent::Command {
                controller,
                incarnation,
                command,
                answer,
            } => self.command(controller, incarnation, command, answer),
            WorldEvent::Cloud {
                controller,
                incarnation,
                tag,
                call,
                answer,
            } => {
                let outcome = self.cloud(&call);
                if answer {
                    let event = Box::new(Event::CloudResponse { tag, outcome });
                    self.soon(WorldEvent::Deliver {
                        controller,
                        incarnation,
                        event,
                    });
                }
            }
            WorldEvent::Heartbeat {
                controller,
                heartbeat,
            } => {
                let Some(machine) = self.machines.get(&*heartbeat.machine.0) else {
                    return;
                };
                let sent = machine.heartbeat.map_or(self.now, |(_, sent)| sent);
                if let Some(until) = self.cut(controller, Some(&machine.zone)) {
                    self.at(
                        until,
                        WorldEvent::Heartbeat {
                            controller,
                            heartbeat,
                        },
                    );
                    return;
                }
                let slot = &mut self.slots[controller];
                if slot.controller.is_none() {
                    return;
                }
                slot.next_request += 1;
                let id = slot.next_request;
                let asker = Asker::Worker {
                    machine: heartbeat.machine.0.to_string(),
                    agent_epoch: heartbeat.agent_epoch,
                    seq: heartbeat.seq,
                    sent,
                };
                slot.waiting.insert(id, asker);
                self.handle(
                    controller,
                    Event::Heartbeat {
                        id,
                        heartbeat: *heartbeat,
                    },
                );
            }
            WorldEvent::Copy {
                controller,
                heartbeat,
            } => {
                let slot = &mut self.slots[controller];
                slot.next_request += 1;
                let id = slot.next_request;
                self.handle(
                    controller,
                    Event::Heartbeat {
                        id,
                        heartbeat: *heartbeat,
                    },
                );
            }
            WorldEvent::Answered {
                machine,
                agent_epoch,
                seq,
                sent,
                controller,
                answer,
            } => {
                self.answered(&machine, agent_epoch, seq, sent, controller, answer);
            }
            WorldEvent::Repeat { controller, event } => self.handle(controller, *event),
            WorldEvent::Resume {
                controller,
                incarnation,
                effects,
            } => {
                if self.alive(controller, incarnation) {
                    for effect in effects {
                        self.perform(controller, incarnation, effect);
                    }
                }
            }
            WorldEvent::Fault(fault) => self.fault(fault),
            WorldEvent::Planned(act) => act(self),
        }
    }

    fn start(&mut self, controller: usize) {
        if self.slots[controller].controller.is_some() {
            return;
        }
        let mut config = self.config.clone();
        let names = ["node-0", "node-1", "node-2"];
        let addr = config.peers[0].addr;
        config.name = names[controller].into();
        config.zone = ZONES[controller].into();
        config.peers = (0..CONTROLLERS)
            .filter(|other| *other != controller)
            .map(|other| dappleshore::config::Peer {
                name: names[other].into(),
                zone: ZONES[other].into(),
                addr,
            })
            .collect();
        let mut policy = Policy::defaults(&config);
        policy.preempt_for_priority &= self.preemption;
        policy.preempt_for_guarantee &= self.preemption;
        let seed = self.rng.random();
        let now = self.clock(controller);
        let slot = &mut self.slots[controller];
        slot.incarnation.0 += 1;
        slot.frozen_until = Duration::ZERO;
        slot.commands = 0;
        slot.waiting.clear();
        let features = self.features.clone();
        slot.controller = Some(
            Controller::knowing(slot.format, config, policy, seed, now).with_features(features),
        );
        let incarnation = slot.incarnation;
        self.soon(WorldEvent::Tick {
            controller,
            incarnation,
        });
    }

    fn crash(&mut self, controller: usize) {
        // Now and then restarted at once.
        let after = if self.rng.random_bool(0.3) { 0.1 } else { 5.0 };
        self.end_controller(controller, Duration::from_secs_f64(after));
    }

    fn state_out(&self, controller: usize) -> bool {
        self.now < self.state_out_until || self.now < self.slots[controller].cut_until
    }

    /// When the cut between a node and a place is over, if there is one. None: the state service and the
    /// cloud, which are in no zone.
    fn cut(&self, controller: usize, zone: Option<&Zone>) -> Option<Duration> {
        let (cut, until) = &self.zone_cut;
        let inside = *ZONES[controller] == *cut.0;
        let crosses = inside != zone.is_some_and(|zone| zone == cut);
        (crosses && self.now < *until).then_some(*until)
    }

    fn store(
        &mut self,
        controller: usize,
        incarnation: Incarnation,
        tag: StoreTag,
        sent: Instant,
        op: StoreRequest,
        answer: bool,
    ) {
        if let Some(until) = self.cut(controller, None) {
            if answer {
                let unknown = Event::Store {
                    tag: tag.clone(),
                    sent,
                    outcome: StoreResponse::Unknown,
                };
                let after = Duration::from_millis(1500);
                self.at(
                    self.now + after,
                    WorldEvent::Deliver {
                        controller,
                        incarnation,
                        event: Box::new(unknown),
                    },
                );
            }
            let late = until + Duration::from_millis(self.rng.random_range(1..50));
            self.at(
                late,
                WorldEvent::Store {
                    controller,
                    incarnation,
                    tag,
                    sent,
                    op,
                    answer: false,
                },
            );
            return;
        }
        let out = self.state_out(controller);
        if let StoreRequest::Follow {
            prefix,
            after,
            wait,
        } = &op
        {
            if !answer {
                return;
            }
            self.order += 1;
            let id = self.order;
            let until = self.now + *wait;
            let watcher = Watcher {
                controller,
                incarnation,
                tag,
                sent,
                prefix: prefix.clone(),
                after: *after,
                until,
            };
            self.watchers.insert(id, watcher);
            self.at(until, WorldEvent::Watch { id });
            self.wake_watchers();
            return;
        }
        let outcome = if out {
            StoreResponse::Refused
        } else {
            self.state.serve(self.now, &op)
        };
        self.check_evictions();
        if matches!(outcome, StoreResponse::Committed { .. }) {
            self.wake_watchers();
        }
        if answer {
            let event = Box::new(Event::Store { tag, sent, outcome });
            self.soon(WorldEvent::Deliver {
                controller,
                incarnation,
                event,
            });
        }
    }

    fn wake_watchers(&mut self) {
        let ready: Vec<u64> = self
            .watchers
            .iter()
            .filter(|(_, w)| {
                !self.state_out(w.controller) && !self.state.news(&w.prefix, w.after).is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            self.watch_over(id);
        }
    }

    fn watch_over(&mut self, id: u64) {
        let Some(watcher) = self.watchers.get(&id) else {
            return;
        };
        if self.state_out(watcher.controller) {
            // Open watches wait.
            let later = self.now + Duration::from_millis(500);
            if self.now > watcher.until + Duration::from_secs(2) {
                let watcher = self.watchers.remove(&id).expect("looked up");
                let event = Event::Store {
                    tag: watcher.tag,
                    sent: watcher.sent,
                    outcome: StoreResponse::Unknown,
                };
                self.soon(WorldEvent::Deliver {
                    controller: watcher.controller,
                    incarnation: watcher.incarnation,
                    event: Box::new(event),
                });
            } else {
                self.at(later, WorldEvent::Watch { id });
            }
            return;
        }
        let watcher = self.watchers.remove(&id).expect("looked up");
        let changes = self.state.news(&watcher.prefix, watcher.after);
        let outcome = StoreResponse::News {
            revision: self.state.revision,
            changes,
        };
        let event = Box::new(Event::Store {
            tag: watcher.tag,
            sent: watcher.sent,
            outcome,
        });
        self.soon(WorldEvent::Deliver {
            controller: watcher.controller,
            incarnation: watcher.incarnation,
            event,
        });
    }

    fn happened(&mut self, id: &str, happened: Vec<MachineEvent>) {
        for what in happened {
            match what {
                MachineEvent::Started(task) => {
                    let machine = &self.machines[id];
                    tracing::debug!(at = self.now.as_secs_f64(), %task, machine = id, "starts");
                    let place = Place {
                        machine: id.to_owned(),
                        type_name: machine.type_name.clone(),
                        zone: machine.zone.clone(),
                        capacity_type: machine.capacity_type,
                    };
                    self.rules.starts(self.now, task, place);
                }
                MachineEvent::Ended(task, done) => {
                    if done {
                        self.results.insert(task);
                    }
                    self.rules.ends(task, id, done);
                    if done && self.rules.all_done(task.job) {
                        self.ended(task.job);
                    }
                }
            }
        }
    }

    /// A job's last task is done: now and then its user calls it off at that very moment.
    fn ended(&mut self, job: JobId) {
        if self.now >= self.calm_from || !self.rng.random_bool(self.faults.cancel_at_end) {
            return;
        }
        self.call_off(job);
    }

    fn command(
        &mut self,
        controller: usize,
        incarnation: Incarnation,
        command: DirectCommand,
        answer: bool,
    ) {
        let id = command.machine.0.to_string();
        if self.faults.sabotage {
            self.sabotage(&id, &command.body);
        }
        let zone = self.machines.get(&id).map(|machine| machine.zone.clone());
        if let Some(until) = zone
            .as_ref()
            .and_then(|zone| self.cut(controller, Some(zone)))
        {
            if answer {
                self.unanswered(controller, incarnation, &command);
            }
            let late = until + Duration::from_millis(self.rng.random_range(1..50));
            self.at(
                late,
                WorldEvent::Command {
                    controller,
                    incarnation,
                    command,
                    answer: false,
                },
            );
            return;
        }
        let Some(machine) = self.machines.get_mut(&id) else {
            if answer {
                self.unanswered(controller, incarnation, &command);
            }
            return;
        };
        if self.now < machine.deaf_until {
            if answer {
                self.unanswered(controller, incarnation, &command);
            }
            return;
        }
        if !machine.runs(self.now) {
            if machine.hung_until.is_some() && !machine.dead {
                machine.backlog.push(command.body.clone());
            }
            if answer {
                self.unanswered(controller, incarnation, &command);
            }
            return;
        }
        let executed = self.direct(&id, &command.body);
        if answer {
            let Some(machine) = self.machines.get_mut(&id) else {
                return;
            };
            let heartbeat = machine.message();
            let outcome = if executed {
                CommandOutcome::Executed(heartbeat)
            } else {
                CommandOutcome::Rejected(heartbeat)
            };
            let event = Event::Commanded {
                block: command.block,
                machine: command.machine,
                body: command.body,
                outcome,
            };
            self.soon(WorldEvent::Deliver {
                controller,
                incarnation,
                event: Box::new(event),
            });
        }
    }

    /// A direct command at a machine that runs. False: token or session did not match.
    fn direct(&mut self, id: &str, body: &WorkerCommands) -> bool {
        let Some(machine) = self.machines.get_mut(id) else {
            return false;
        };
        if body.token < machine.token || body.agent_epoch != Some(machine.agent_epoch) {
            return false;
        }
        if body.token > machine.token {
            machine.token = body.token;
            machine.changed = true;
        }
        let happened = machine.execute(
            &body.commands,
            &self.jobs,
            &self.results,
            run_for(self.longer, self.apart),
        );
        self.happened(id, happened);
        true
    }

    /// Breaks the first rule on purpose: whatever one machine is told, another executes as well.
    fn sabotage(&mut self, id: &str, body: &WorkerCommands) {
        let Some(meant) = self.machines.get(id) else {
            return;
        };
        // Alike in all else, so that it is the first rule that breaks.
        let alike = |m: &Machine| {
            (&m.type_name, &m.zone, m.capacity_type)
                == (&meant.type_name, &meant.zone, meant.capacity_type)
        };
        let other = self
            .machines
            .iter()
            .find(|(other, machine)| *other != id && machine.runs(self.now) && alike(machine))
            .map(|(id, _)| id.clone());
        if let Some(other) = other {
            let machine = self.machines.get_mut(&other).expect("just found");
            let happened = machine.execute(
                &body.commands,
                &self.jobs,
                &self.results,
                run_for(self.longer, self.apart),
            );
            self.happened(&other, happened);
        }
    }

    fn cloud(&mut self, call: &CloudRequest) -> CloudResponse {
        if self.now < self.cloud_out_until {
            return CloudResponse::Refused;
        }
        match call {
            CloudRequest::ListInstanceTypes => CloudResponse::InstanceTypes(instance_types()),
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.requests.get(&rent.request) {
                    let machines = names.iter().map(|name| name.as_str().into()).collect();
                    return CloudResponse::Rented(MachineNames { machines });
                }
                let capacity_type = CapacityType::from_spot(rent.spot);
                let alike = |m: &&Machine| {
                    m.type_name == rent.type_name
                        && m.zone == rent.zone
                        && m.capacity_type == capacity_type
                };
                let stock = self.size.stock[usize::from(&*rent.type_name.0 != "small")];
                let left = stock.saturating_sub(self.machines.values().filter(alike).count());
                let count = left.min(rent.count as usize);
                if count == 0 {
                    return CloudResponse::NoCapacity;
                }
                let names: Vec<String> = (0..count)
                    .map(|_| self.rent(&rent.type_name.0, &rent.zone.0, capacity_type))
                    .collect();
                self.requests.insert(rent.request.clone(), names.clone());
                let machines = names.iter().map(|name| name.as_str().into()).collect();
                CloudResponse::Rented(MachineNames { machines })
            }
            CloudRequest::Delete(names) => {
                for name in &names.machines {
                    if let Some(mut machine) = self.machines.remove(&*name.0) {
                        self.deleted_up += usize::from(machine.runs(self.now));
                        for what in machine.gone() {
                            if let MachineEvent::Ended(task, done) = what {
                                self.rules.ends(task, &name.0, done);
                            }
                        }
                    }
                }
                CloudResponse::Deleted
            }
            CloudRequest::List { after } => {
                let old = |m: &&Machine| self.now > m.rented + Duration::from_secs(8);
                let after = after
                    .as_ref()
                    .map(|id| id.0.to_string())
                    .unwrap_or_default();
                let machines = self
                    .machines
                    .values()
                    .filter(|m| m.id > after)
                    .filter(old)
                    .map(|m| ListedMachine {
                        id: m.id.as_str().into(),
                        addr: Some(m.addr()),
                        type_name: m.type_name.clone(),
                        zone: m.zone.clone(),
                        spot: m.capacity_type.is_spot(),
                        state: if m.up {
                            ListedState::Running
                        } else {
                            ListedState::Booting
                        },
                        age_s: Amount((self.now - m.rented).as_secs_f64()),
                    });
                CloudResponse::Listed(MachineList {
                    machines: machines.collect(),
                    more: false,
                })
            }
        }
    }

    fn rent(&mut self, type_name: &str, zone: &str, capacity_type: CapacityType) -> String {
        self.rented += 1;
        self.most_machines = self.most_machines.max(self.machines.len() + 1);
        self.next_machine += 1;
        let id = format!("m-{:06}", self.next_machine);
        let BootTrouble { lost, factor } = self.boot_trouble.unwrap_or(BootTrouble {
            lost: 0.03,
            factor: 1.0,
        });
        let boot = Duration::from_secs_f64(self.rng.random_range(0.5..10.0) * factor);
        let never = self.rng.random_bool(lost);
        let faulty = self.now < self.calm_from && self.rng.random_bool(self.faults.faulty_machines);
        let cpus = if type_name == "small" { 4.0 } else { 16.0 };
        let machine = Machine {
            id: id.clone(),
            type_name: type_name.into(),
            zone: zone.into(),
            capacity_type,
            size: Resources {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            },
            rented: self.now,
            up_at: (!never).then(|| self.now + boot),
            up: false,
            dead: false,
            hung_until: None,
            deaf_until: Duration::ZERO,
            mute_until: Duration::ZERO,
            notice: None,
            faulty,
            agent_epoch: AgentEpoch(1),
            seq: 0,
            token: FencingToken(0),
            lease_from: self.now + boot,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            controller: self.rng.random_range(0..CONTROLLERS),
            heartbeat: None,
            next_heartbeat: self.now + boot,
            last_heartbeat: Duration::ZERO,
            changed: false,
            backlog: Vec::new(),
        };
        self.machines.insert(id.clone(), machine);
        id
    }

    fn step(&mut self) {
        if self.now >= self.state_out_until && self.state.expire(self.now) {
            self.wake_watchers();
        }
        let ids: Vec<String> = self.machines.keys().cloned().collect();
        for id in ids {
            self.step_machine(&id);
        }
        let run_for = run_for(self.longer, self.apart);
        for (id, event) in self
            .gangs
            .step(self.now, STEP, &mut self.machines, &self.jobs, run_for)
        {
            self.happened(&id, vec![event]);
        }
        for user in 0..self.users.len() {
            self.step_user(user);
        }
        self.step_operators();
        if self.size.jobs <= Size::SMALL.jobs && self.now >= self.looked_for_idle + IDLE_EVERY {
            self.looked_for_idle = self.now;
            self.look_for_idle_room();
        }
    }

    fn step_machine(&mut self, id: &str) {
        let now = self.now;
        let worker_lease = self.config.worker_lease;
        let heartbeat_interval = self.config.heartbeat_interval;
        let jitter = heartbeat_interval.mul_f64(self.rng.random_range(0.75..1.25));
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.notice.is_some_and(|taken| now >= taken) {
            let mut machine = self.machines.remove(id).expect("just found");
            for what in machine.gone() {
                if let MachineEvent::Ended(task, done) = what {
                    self.rules.ends(task, id, done);
                }
            }
            return;
        }
        if !machine.up && machine.up_at.is_some_and(|at| now >= at) {
            machine.up = true;
            machine.lease_from = now;
        }
        if !machine.runs(now) {
            return;
        }
        let agent_epoch = machine.agent_epoch;
        let mut happened = machine.check_lease(now, worker_lease);
        self.leases_over += usize::from(machine.agent_epoch != agent_epoch);
        if machine.hung_until.take().is_some() {
            let backlog = std::mem::take(&mut machine.backlog);
            self.happened(id, happened);
            for body in backlog {
                self.direct(id, &body);
            }
            return;
        }
        happened.extend(machine.progress(
            STEP,
            &self.jobs,
            &self.results,
            run_for(self.longer, self.apart),
        ));
        if machine
            .heartbeat
            .is_some_and(|(_, sent)| now > sent + HEARTBEAT_TIMEOUT)
        {
            machine.heartbeat = None;
            machine.controller = (machine.controller + 1) % CONTROLLERS;
            machine.next_heartbeat = now + Duration::from_secs(1);
        }
        let rested = now >= machine.last_heartbeat + Duration::from_millis(500);
        if machine.heartbeat.is_none()
            && (now >= machine.next_heartbeat || (machine.changed && rested))
        {
            machine.changed = false;
            machine.last_heartbeat = now;
            machine.next_heartbeat = now + jitter;
            let heartbeat = machine.message();
            machine.heartbeat = Some((heartbeat.seq, now));
            let controller = machine.controller;
            let up = self.slots[controller].controller.is_some();
            let (agent_epoch, seq) = (heartbeat.agent_epoch, heartbeat.seq);
            self.happened(id, happened);
            if let Some(late) = self.copied() {
                let controller = self.rng.random_range(0..CONTROLLERS);
                self.at(
                    late,
                    WorldEvent::Copy {
                        controller,
                        heartbeat: Box::new(heartbeat.clone()),
                    },
                );
            }
            let mute = now < self.machines[id].mute_until;
            if now < self.heartbeats_held_until {
                let held = self.heartbeats_held_until;
                self.plan(held, move |world| {
                    if let Some(controller) = world.leader() {
                        world.take(WorldEvent::Copy {
                            controller,
                            heartbeat: Box::new(heartbeat),
                        });
                    }
                });
            } else if up && !mute {
                let (at, _) = self.fate();
                self.at(
                    at,
                    WorldEvent::Heartbeat {
                        controller,
                        heartbeat: Box::new(heartbeat),
                    },
                );
            } else {
                self.soon(WorldEvent::Answered {
                    machine: id.to_owned(),
                    agent_epoch,
                    seq,
                    sent: now,
                    controller,
                    answer: None,
                });
            }
            return;
        }
        self.happened(id, happened);
    }

    fn answered(
        &mut self,
        id: &str,
        agent_epoch: AgentEpoch,
        seq: u64,
        sent: Duration,
        controller: usize,
        answer: Option<HeartbeatResponse>,
    ) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let waited_for = machine.agent_epoch == agent_epoch
            && machine.heartbeat.is_some_and(|(number, _)| number == seq);
        if !waited_for || now > sent + HEARTBEAT_TIMEOUT || !machine.runs(now) {
            return;
        }
        machine.heartbeat = None;
        tracing::debug!(
            at = now.as_secs_f64(),
            machine = id,
            controller,
            ?answer,
            "hears"
        );
        match answer {
            Some(HeartbeatResponse::WorkerCommands(orders)) => {
                if orders.token < machine.token {
                    return;
                }
                if orders.token > machine.token {
                    machine.token = orders.token;
                    machine.changed = true;
                }
                machine.lease_from = sent;
                let happened = machine.execute(
                    &orders.commands,
                    &self.jobs,
                    &self.results,
                    run_for(self.longer, self.apart),
                );
                self.happened(id, happened);
            }
            Some(HeartbeatResponse::Redirect(Some(holder))) => {
                let target = holder.0.trim_start_matches("node-").parse().unwrap_or(0);
                let same = target == controller;
                machine.controller = if same {
                    (controller + 1) % CONTROLLERS
                } else {
                    target
                };
                machine.next_heartbeat = now + Duration::from_millis(if same { 1000 } else { 200 });
            }
            _ => {
                machine.controller = (controller + 1) % CONTROLLERS;
                machine.next_heartbeat = now + Duration::from_secs(1);
            }
        }
    }

    fn step_user(&mut self, index: usize) {
        let now = self.now;
        let user = &mut self.users[index];
        if now < user.submit_at {
            return;
        }
        if let Some((asked, deadline)) = user.pending {
            if now < deadline {
                return;
            }
            user.pending = None;
            let pause = if asked == Ask::Poll {
                POLL_EVERY / self.asking
            } else {
                Duration::from_secs(1)
            };
            user.next_ask = now + pause;
        }
        if now < user.next_ask {
            return;
        }
        let job = user.job;
        self.rules.asked(now, job);
        let told = self.rules.told_state(job);
        let cancel = user.cancel_at.is_some_and(|at| now >= at);
        let asked = match told {
            None => Ask::Submit,
            Some(Told::Accepted) if cancel => Ask::Cancel,
            Some(Told::Accepted) => Ask::Poll,
            // Asked about again, and submitted again, long after.
            Some(_) if user.again && self.rng.random_bool(0.3) => Ask::Submit,
            Some(_) => Ask::Poll,
        };
        let odd = now < self.calm_from && self.rng.random_bool(self.faults.odd_requests);
        let asked = match told {
            Some(Told::Accepted) if odd => Ask::Submit,
            Some(Told::Done) if odd => Ask::Cancel,
            _ => asked,
        };
        if odd {
            self.send_odd(index);
        }
        self.questions += 1;
        let within = if asked == Ask::Poll { 2 } else { 5 };
        self.users[index].pending = Some((asked, now + Duration::from_secs(within)));
        match asked {
            Ask::Submit => self.rules.submitted(job, self.jobs[&job].clone()),
            // What is done stays done, whoever calls it off.
            Ask::Cancel if told == Some(Told::Done) => {}
            Ask::Cancel => self.rules.cancel_asked(job),
            Ask::Poll => {}
        }
        let up: Vec<usize> = (0..CONTROLLERS)
            .filter(|controller| self.slots[*controller].controller.is_some())
            .collect();
        if up.is_empty() {
            return;
        }
        let controller = up[self.rng.random_range(0..up.len())];
        let slot = &mut self.slots[controller];
        slot.next_request += 1;
        let id = slot.next_request;
        slot.waiting.insert(id, Asker::User { user: index, asked });
        let event = match asked {
            Ask::Submit => Event::Submit {
                id,
                body: self.users[index].body.clone(),
            },
            Ask::Poll => Event::Poll {
                id,
                job: job.to_string(),
            },
            Ask::Cancel => Event::Cancel {
                id,
                job: job.to_string(),
            },
        };
        let incarnation = slot.incarnation;
        if let Some(late) = self.copied() {
            let again = match asked {
                // To any controller, whoever is there by then; nobody waits for the answer.
                Ask::Submit => Some(Event::Submit {
                    id: 0,
                    body: self.users[index].body.clone(),
                }),
                Ask::Cancel => Some(Event::Cancel {
                    id: 0,
                    job: job.to_string(),
                }),
                Ask::Poll => None,
            };
            let controller = self.rng.random_range(0..CONTROLLERS);
            if let Some(event) = again {
                self.at(
                    late,
                    WorldEvent::Repeat {
                        controller,
                        event: Box::new(event),
                    },
                );
            }
        }
        self.soon(WorldEvent::Deliver {
            controller,
            incarnation,
            event: Box::new(event),
        });
    }

    /// A job that can't run or lacks a field, under a name that nobody uses.
    fn send_odd(&mut self, index: usize) {
        let job = self.jobs[&self.users[index].job].clone();
        let id = JobId(500_000 + self.order);
        let (body, expected) = match self.rng.random_range(0..4) {
            0 => (
                body_of(
                    id,
                    &Job {
                        team: "nobody".into(),
                        ..job
                    },
                ),
                422,
            ),
            1 => (
                body_of(
                    id,
                    &Job {
                        need: Resources {
                            cpus: 17.0,
                            ..job.need
                        },
                        ..job
                    },
                ),
                422,
            ),
            2 => (
                body_of(
                    id,
                    &Job {
                        need: Resources {
                            cpus: -1.0,
                            ..job.need
                        },
                        ..job
                    },
                ),
                400,
            ),
            _ => {
                let mut body = body_of(id, &job);
                body.truncate(body.len() / 2);
                (body, 400)
            }
        };
        let controller = self.rng.random_range(0..CONTROLLERS);
        let slot = &mut self.slots[controller];
        if slot.controller.is_none() {
            return;
        }
        slot.next_request += 1;
        let id = slot.next_request;
        slot.waiting.insert(id, Asker::Odd { expected });
        let incarnation = slot.incarnation;
        self.soon(WorldEvent::Deliver {
            controller,
            incarnation,
            event: Box::new(Event::Submit { id, body }),
        });
    }

    /// Jobs that wait while a machine that fits has room and their team is under its limit.
    /// Machines that operators keep tasks off, by what a controller knows of their requests.
    fn cordoned(&self) -> BTreeSet<String> {
        let machines = self
            .any_cache()
            .into_iter()
            .flat_map(|cache| &cache.machines);
        let cordoned = machines.filter(|(_, machine)| machine.state == MachineState::Cordoned);
        cordoned.map(|(id, _)| id.0.to_string()).collect()
    }

    fn look_for_idle_room(&mut self) {
        let out_of_service = self.cordoned();
        let mut free: Vec<(&Machine, Resources)> = Vec::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.settled(self.now) && !out_of_service.contains(&machine.id))
        {
            free.push((machine, machine.free(&self.jobs)));
        }
        let mut beside = BTreeSet::new();
        for id in self.rules.waiting() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let mut listed: BTreeMap<&Zone, u32> = BTreeMap::new();
            for machine in self.machines.values() {
                let of_job = TaskId { job: id, index: 0 }..=TaskId {
                    job: id,
                    index: u32::MAX,
                };
                let there = machine
                    .tasks
                    .range(of_job)
                    .filter(|(_, t)| t.state != TaskState::Exited);
                *listed.entry(&machine.zone).or_default() += there.count() as u32;
            }
            let all: u32 = listed.values().sum();
            if all + self.rules.done(id) >= job.tasks {
                continue;
            }
            if job.kind == JobKind::Gang {
                let alone = all == 0 && self.gang_fits(job, &free) && self.rules.team_has_room(id);
                beside.extend(alone.then_some(id));
                continue;
            }
            let fits = |machine: &Machine, room: &Resources| {
                let here = listed.get(&machine.zone).copied().unwrap_or(0);
                job.allows_type(&machine.type_name)
                    && job.allows_zone(&machine.zone)
                    && job.allows_capacity_type(machine.capacity_type)
                    && here < job.zone_limit()
                    && (!job.one_zone || here == all)
                    && room.fits(&job.need)
            };
            if self.rules.team_has_room(id)
                && free.iter().any(|(machine, room)| fits(machine, room))
            {
                beside.insert(id);
            }
        }
        self.rules.beside_room(self.now, beside);
    }

    /// Whether there is room for all tasks of a gang at once.
    fn gang_fits(&self, job: &Job, free: &[(&Machine, Resources)]) -> bool {
        let mut zones: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for (machine, room) in free {
            let allowed = job.allows_type(&machine.type_name)
                && job.allows_zone(&machine.zone)
                && job.allows_capacity_type(machine.capacity_type);
            if allowed {
                let zone = job.one_zone.then_some(&machine.zone);
                *zones.entry(zone).or_default() += room.count_of(&job.need);
            }
        }
        zones.values().any(|count| *count >= job.tasks)
    }

    fn user_answered(&mut self, index: usize, asked: Ask, response: &Response) {
        let now = self.now;
        let user = &mut self.users[index];
        if user.pending.is_none_or(|(pending, _)| pending != asked) {
            // Too late: the user no longer listens.
            return;
        }
        user.pending = None;
        user.next_ask = now
            + if asked == Ask::Poll {
                POLL_EVERY / self.asking
            } else {
                Duration::from_secs(2)
            };
        let job = user.job;
        match response {
            Response::State { state, .. } => self.rules.told(now, job, Some(state.status)),
            Response::Problem { status: 404, .. } => self.rules.told(now, job, None),
            Response::Problem {
                status: status @ (400 | 422),
                ..
            } => self.rules.refused(now, job, *status),
            Response::Problem { retry_after, .. } => {
                assert!(
                    retry_after.is_some(),
                    "a refusal that does not say when to come back"
                );
                if asked != Ask::Poll {
                    self.users[index].next_ask =
                        now + retry_after.unwrap_or_default().max(Duration::from_secs(1));
                }
            }
        }
    }

    /// Does something at a set time, for meetings that random faults would seldom bring about.
    pub fn plan(&mut self, at: Duration, act: impl FnOnce(&mut World) + 'static) {
        self.at(at, WorldEvent::Planned(Box::new(act)));
    }

    /// The controller that the state service has as the leader.
    pub fn leader(&self) -> Option<usize> {
        let name = self.state.leader()?.controller;
        name.0.trim_start_matches("node-").parse().ok()
    }

    /// The state service refuses this controller alone.
    pub fn cut_state(&mut self, controller: usize, how_long: Duration) {
        self.slots[controller].cut_until = self.now + how_long;
    }

    /// It loses the state service and the other controllers, not its workers and users.
    pub fn island(&mut self, controller: usize, how_long: Duration) {
        self.cut_state(controller, how_long);
        self.slots[controller].island_until = self.now + how_long;
    }

    pub fn state_outage(&mut self, how_long: Duration) {
        let until = self.now + how_long;
        self.state_out_until = self.state_out_until.max(until);
        self.state.outage_over(until);
    }

    /// Ends a controller, which is started again after this long.
    pub fn end_controller(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].controller = None;
        self.slots[controller].waiting.clear();
        self.at(self.now + back_after, WorldEvent::Restart { controller });
    }

    pub fn freeze(&mut self, controller: usize, how_long: Duration) {
        if self.now < self.slots[controller].frozen_until {
            return;
        }
        let until = self.now + how_long;
        // It has just decided what to do, and does it when it goes on.
        let effects = self.effects(controller, Event::Tick);
        self.slots[controller].frozen_until = until;
        let incarnation = self.slots[controller].incarnation;
        self.at(
            until,
            WorldEvent::Resume {
                controller,
                incarnation,
                effects,
            },
        );
    }

    pub fn hang(&mut self, machine: &str, how_long: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hung_until = Some(self.now + how_long);
        }
    }

    /// Reports on their way from now on arrive when this is over, at whoever leads by then.
    pub fn hold_heartbeats(&mut self, how_long: Duration) {
        self.heartbeats_held_until = self.now + how_long;
    }

    /// Everything that crosses the zone's border is held for so long.
    pub fn cut_zone(&mut self, zone: &str, how_long: Duration) {
        self.zone_cut = (zone.into(), self.now + how_long);
    }

    /// The machines that are up, in a zone or all.
    pub fn up(&self, zone: Option<&str>) -> Vec<String> {
        let here = |m: &&Machine| m.up && !m.dead && zone.is_none_or(|zone| *m.zone.0 == *zone);
        self.machines
            .values()
            .filter(here)
            .map(|m| m.id.clone())
            .collect()
    }

    pub fn kill(&mut self, machine: &str) {
        let Some(found) = self.machines.get_mut(machine) else {
            return;
        };
        found.dead = true;
        let happened = found.gone();
        self.happened(machine, happened);
    }

    /// Off and on again within a moment.
    pub fn restart_machine(&mut self, machine: &str) {
        let now = self.now;
        if let Some(found) = self.machines.get_mut(machine) {
            let happened = found.restart(now);
            self.happened(machine, happened);
        }
    }

    /// The cloud takes it away after this long, and says so.
    pub fn recall(&mut self, machine: &str, notice: Duration) {
        if let Some(found) = self.machines.get_mut(machine) {
            found.notice = Some(self.now + notice);
            found.changed = true;
        }
    }

    /// Answers and commands don't reach it.
    pub fn deafen(&mut self, machine: &str, how_long: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.deaf_until = self.now + how_long;
        }
    }

    /// Machines that are rented from now on incarnation like this.
    pub fn boots_badly(&mut self, trouble: Option<BootTrouble>) {
        self.boot_trouble = trouble;
    }

    /// A user of the team without a guarantee submits an array now.
    pub fn add_guests_job(&mut self, tasks: u32, cpus: f64) -> JobId {
        let job = Job {
            tasks,
            need: Resources {
                cpus,
                gpus: 0.0,
                memory_gb: 1.0,
            },
            ..array(GUESTS, GUESTS, Priority::Low)
        };
        self.add_job(job, None)
    }

    /// A user submits an array with a mistake now, which fails on every machine, and calls it off after this long.
    pub fn add_broken_job(&mut self, tasks: u32, cancel_after: Duration) -> JobId {
        let job = Job {
            tasks,
            ..array(BROKEN, "red", Priority::Standard)
        };
        self.add_job(job, Some(self.now + cancel_after))
    }

    pub fn add_job(&mut self, job: Job, cancel_at: Option<Duration>) -> JobId {
        let id = JobId(900_000 + self.users.len() as u64);
        let body = body_of(id, &job);
        self.jobs.insert(id, job);
        let now = self.now;
        self.users.push(User {
            job: id,
            body,
            submit_at: now,
            cancel_at,
            next_ask: now,
            pending: None,
            again: false,
        });
        id
    }

    /// What a user has submitted or will submit.
    pub fn job(&self, id: JobId) -> &Job {
        &self.jobs[&id]
    }

    /// No job is bound to a zone.
    pub fn unbind_jobs(&mut self) {
        for user in &mut self.users {
            if let Some(job) = self.jobs.get_mut(&user.job) {
                job.one_zone = false;
                job.zone = None;
                user.body = body_of(user.job, job);
            }
        }
    }

    /// All arrays are bound to one zone: every other one to a given zone.
    pub fn bind_jobs(&mut self) {
        for (n, user) in self.users.iter_mut().enumerate() {
            let Some(job) = self
                .jobs
                .get_mut(&user.job)
                .filter(|job| job.kind == JobKind::Array)
            else {
                continue;
            };
            job.one_zone = n.is_multiple_of(2);
            job.zone = (!job.one_zone).then(|| ZONES[n % CONTROLLERS].into());
            user.body = body_of(user.job, job);
        }
    }

    /// The highest token given out so far.
    pub fn last_token(&self) -> u64 {
        self.state.last_token()
    }

    /// It reaches no controller, while direct commands reach it.
    pub fn mute(&mut self, machine: &str, how_long: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.mute_until = self.now + how_long;
        }
    }

    /// Up to so many accepted jobs that run.
    pub fn running_jobs(&self, count: usize) -> Vec<JobId> {
        let running = |job: &JobId| {
            self.rules.told_state(*job) == Some(Told::Accepted)
                && !self.rules.machines_of(*job).is_empty()
        };
        self.users
            .iter()
            .map(|user| user.job)
            .filter(running)
            .take(count)
            .collect()
    }

    /// Users call off up to so many jobs that run. Returns the jobs.
    pub fn cancel_now(&mut self, count: usize) -> Vec<JobId> {
        let jobs = self.running_jobs(count);
        for job in &jobs {
            self.call_off(*job);
        }
        jobs
    }

    fn call_off(&mut self, job: JobId) {
        let now = self.now;
        if let Some(user) = self.users.iter_mut().find(|user| user.job == job) {
            user.cancel_at = Some(now);
            user.next_ask = now;
            user.pending = None;
        }
    }

    fn fault(&mut self, fault: Fault) {
        let long =
            |rng: &mut SmallRng, most: f64| Duration::from_secs_f64(rng.random_range(1.0..most));
        match fault {
            Fault::Crash => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                self.crash(controller);
            }
            Fault::CrashAll => (0..CONTROLLERS).for_each(|controller| self.crash(controller)),
            Fault::Outage => {
                let how_long = long(&mut self.rng, 35.0);
                self.state_outage(how_long);
            }
            Fault::CutOne => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let how_long = long(&mut self.rng, 40.0);
                self.cut_state(controller, how_long);
            }
            Fault::Island => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let how_long = long(&mut self.rng, 60.0);
                self.island(controller, how_long);
            }
            Fault::Freeze => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let how_long = long(&mut self.rng, 45.0);
                self.freeze(controller, how_long);
            }
            Fault::MassLoss => {
                let kind = [
                    Fault::MachineDies,
                    Fault::MachineHangs,
                    Fault::MachineDeaf,
                    Fault::SpotTaken,
                ][self.rng.random_range(0..4)];
                let up = self.machines.values().filter(|m| m.up && !m.dead).count();
                for _ in 0..up / 3 {
                    self.fault(kind);
                }
            }
            Fault::StateSlow => self.state_slow_until = self.now + long(&mut self.rng, 30.0),
            Fault::CloudOutage => self.cloud_out_until = self.now + long(&mut self.rng, 30.0),
            Fault::ZoneCut => {
                let zone = Zone::from(ZONES[self.rng.random_range(0..CONTROLLERS)]);
                self.zone_cut = (zone, self.now + long(&mut self.rng, 60.0));
            }
            Fault::PeersCut => self.peers_cut_until = self.now + long(&mut self.rng, 20.0),
            Fault::MachineDies
            | Fault::MachineHangs
            | Fault::SpotTaken
            | Fault::MachineDeaf
            | Fault::MachineMute
            | Fault::MachineRestarts => {
                let spot = fault == Fault::SpotTaken;
                let fits = |m: &&Machine| m.up && !m.dead && (!spot || m.capacity_type.is_spot());
                let ids: Vec<String> = self
                    .machines
                    .values()
                    .filter(fits)
                    .map(|m| m.id.clone())
                    .collect();
                if ids.is_empty() {
                    return;
                }
                let id = ids[self.rng.random_range(0..ids.len())].clone();
                let hang = long(&mut self.rng, 60.0);
                let notice = Duration::from_secs(if self.rng.random_bool(0.5) { 5 } else { 0 });
                let machine = self.machines.get_mut(&id).expect("just found");
                match fault {
                    Fault::MachineDies => self.kill(&id),
                    Fault::MachineHangs => machine.hung_until = Some(self.now + hang),
                    Fault::MachineDeaf => machine.deaf_until = self.now + hang,
                    Fault::MachineMute => machine.mute_until = self.now + hang,
                    Fault::MachineRestarts => {
                        let happened = machine.restart(self.now);
                        self.happened(&id, happened);
                    }
                    _ => {
                        machine.notice = Some(self.now + notice);
                        machine.changed = true;
                    }
                }
            }
        }
    }

    /// Machines and tasks that all controllers have looked at, and the plans that they made.
    pub fn looked(&self) -> (u64, u64) {
        let all = self
            .slots
            .iter()
            .filter_map(|slot| slot.controller.as_ref())
            .map(Controller::looked);
        all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// The records as some controller knows them.
    pub fn any_cache(&self) -> Option<&dappleshore::store::WatchCache> {
        let mut controllers = self
            .slots
            .iter()
            .filter_map(|slot| slot.controller.as_ref());
        controllers.next().map(Controller::cache)
    }

    pub fn state(&self) -> &StateService {
        &self.state
    }

    pub fn jobs_told(&self) -> usize {
        self.users
            .iter()
            .filter(|user| self.rules.told_state(user.job).is_some())
            .count()
    }

    /// Tasks that workers still list as there.
    pub fn listed(&self) -> usize {
        let there = |m: &Machine| {
            m.tasks
                .values()
                .filter(|t| t.state != TaskState::Exited)
                .count()
        };
        self.machines.values().map(there).sum()
    }
}

fn run_for(longer: Duration, apart: Duration) -> impl Fn(TaskId) -> Duration {
    move |task| {
        Duration::from_millis(1500 + (task.job.0 * 31 + u64::from(task.index) * 977) % 9000)
            + if task.job.0.is_multiple_of(3) {
                Duration::from_secs(5)
            } else {
                Duration::ZERO
            }
            + longer
            + apart * task.index
    }
}

/// A team without a guarantee and without a limit.
pub const GUESTS: &str = "guests";

fn guests() -> TeamLimits {
    let none = f64::INFINITY;
    TeamLimits {
        name: GUESTS.into(),
        cpus: 0.0,
        cpus_max: none,
        gpus: 0.0,
        gpus_max: none,
    }
}

/// Controllers list stray machines, and the addresses of workers, in the order of a hash map, which differs from process
/// to process. Whoever reads these lists takes them for sets, so that they are put in order here.
fn sort_hashed(effects: &mut [Effect]) {
    for effect in effects {
        match effect {
            Effect::Peer {
                message: Message::Status(status),
                ..
            } => status.misrouted.sort(),
            Effect::Peer {
                message: Message::AssignmentUpdates(updates),
                ..
            } => updates
                .iter_mut()
                .for_each(|update| update.addresses.sort()),
            _ => {}
        }
    }
}

/// An array that may go anywhere.
pub fn array(class: &str, team: &str, priority: Priority) -> Job {
    Job {
        class: class.into(),
        team: team.into(),
        kind: JobKind::Array,
        priority,
        tasks: 1,
        need: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img-0".into(),
        image_gb: 1.0,
        estimate_s: 5.0,
        checkpoint_every_s: 0.0,
        checkpoint_s: 0.0,
        deadline_s: None,
        accepted_ms: 0,
    }
}

fn body_of(id: JobId, job: &Job) -> Vec<u8> {
    use ciborium::Value;
    let kind = match job.kind {
        JobKind::Service => "service",
        JobKind::Array => "sweep",
        JobKind::Gang => "ensemble",
    };
    let priority = match job.priority {
        Priority::Production => "prod",
        Priority::High => "high",
        Priority::Standard => "standard",
        Priority::Low => "low",
    };
    let types = job.types.as_ref().map_or(Value::Null, |types| {
        Value::Array(types.iter().map(|name| Value::from(&*name.0)).collect())
    });
    let fields: Vec<(&str, Value)> = vec![
        ("id", id.to_string().into()),
        ("docket", (&*job.class).into()),
        ("desk", (&*job.team.0).into()),
        ("shape", kind.into()),
        ("precedence", priority.into()),
        ("entries", job.tasks.into()),
        ("cpus", job.need.cpus.into()),
        ("cards", 0.0.into()),
        ("ramGb", job.need.memory_gb.into()),
        ("bundle", (&*job.image.0).into()),
        ("imageGb", job.image_gb.into()),
        ("berthKinds", types),
        (
            "wing",
            job.zone
                .as_ref()
                .map_or(Value::Null, |zone| Value::from(&*zone.0)),
        ),
        ("samePlace", job.one_zone.into()),
        ("scatter", job.spread.into()),
        ("loaner", job.spot.into()),
        ("expectS", job.estimate_s.into()),
        ("stampEveryS", job.checkpoint_every_s.into()),
        ("stampS", job.checkpoint_s.into()),
    ];
    let map = fields
        .into_iter()
        .map(|(key, value)| (key.into(), value))
        .collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Map(map), &mut bytes).expect("to memory");
    bytes
}
