//! A simulated cluster around real controllers: state service, cloud, machines and users as stand-ins, a network
//! that loses and holds messages, and faults at random times. Everything follows from a seed.

mod checks;
mod cloud;
mod controllers;
mod faults;
mod machines;
mod network;
mod store_requests;
mod users;

use super::digest::Digest;
use super::gangs::Gangs;
use super::machine::{FAILING_CLASS, Machine, MachineEvent};
use super::operators::Operators;
use super::production;
use super::rules::{Place, ReportedStatus, Rules};
use super::state::StateService;
use dappleshore::cloud::wire::{
    InstanceType, InstanceTypeList, ListedMachine, ListedState, MachineIds, MachineList,
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
use dappleshore::provisioning::CloudRequestPurpose;
use dappleshore::store::records::{FORMAT, MachineState};
use dappleshore::store::{StoreRequest, StoreResponse};
use dappleshore::workers::wire::{Heartbeat, TaskState, WorkerCommands};
use dappleshore::workers::{CommandOutcome, DirectCommand, HeartbeatResponse};
use dappleshore_drain::operator::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant, SystemTime};

pub use cloud::BootFaults;
use controllers::{Process, Slot};
use faults::Fault;
pub use faults::Faults;
use machines::run_time;
use store_requests::Watcher;
pub use users::{GUESTS, array};
use users::{HeartbeatRequest, Requester, User, guest_team};

pub const CONTROLLERS: usize = 3;

/// Faults cease here in most tests.
pub const FAULTS_END: Duration = Duration::from_secs(150);

const ZONES: [&str; CONTROLLERS] = ["a", "b", "c"];

const TICK: Duration = Duration::from_millis(50);

/// Machines and users move in steps of this.
const STEP: Duration = Duration::from_millis(100);

enum ClusterEvent {
    Tick {
        process: Process,
    },
    Restart {
        controller: usize,
    },
    Step,
    Store {
        process: Process,
        tag: StoreTag,
        sent: Instant,
        request: StoreRequest,
        response_arrives: bool,
    },
    CheckWatch {
        id: u64,
    },
    Deliver {
        process: Process,
        event: Box<Event>,
    },
    PeerMessage {
        controller: usize,
        message: Message,
    },
    Command {
        process: Process,
        command: DirectCommand,
        response_arrives: bool,
    },
    Cloud {
        process: Process,
        tag: CloudRequestPurpose,
        request: CloudRequest,
        response_arrives: bool,
    },
    Heartbeat {
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// A late copy: whoever sent the heartbeat no longer waits for its answer.
    DuplicateHeartbeat {
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// What a user or an operator asked before, once more.
    DuplicateRequest {
        controller: usize,
        event: Box<Event>,
    },
    /// What a controller had decided when it stood still, done now that it goes on.
    Resume {
        process: Process,
        effects: Vec<Effect>,
    },
    HeartbeatAnswered {
        request: HeartbeatRequest,
        controller: usize,
        response: Option<HeartbeatResponse>,
    },
    Fault(Fault),
    /// What a test has planned for this moment.
    Planned(Box<dyn FnOnce(&mut SimulatedCluster)>),
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

pub struct SimulatedCluster {
    pub(super) now: Duration,
    monotonic_start: Instant,
    wall_start: SystemTime,
    event_sequence: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: HashMap<usize, ClusterEvent>,
    rng: SmallRng,
    faults: Faults,
    /// Faults stop here; what follows is for the service to recover.
    faults_end: Duration,
    config: Config,
    pub(super) state: StateService,
    state_unavailable_until: Duration,
    state_slow_until: Duration,
    cloud_unavailable_until: Duration,
    peers_cut_until: Duration,
    zone_partition: (Zone, Duration),
    watchers: BTreeMap<u64, Watcher>,
    slots: Vec<Slot>,
    pub(super) machines: BTreeMap<String, Machine>,
    next_machine: u32,
    rental_requests: BTreeMap<String, Vec<String>>,
    users: Vec<User>,
    jobs: BTreeMap<JobId, Job>,
    task_results: BTreeSet<TaskId>,
    gangs: Gangs,
    pub rules: Rules,
    /// What operators have switched on.
    pub features: Features,
    /// Whether tasks are stopped for others.
    pub preemption: bool,
    pub operators: Operators,
    pub rented: usize,
    size: Size,
    last_idle_check: Duration,
    boot_faults: Option<BootFaults>,
    /// Users ask so many times as often as they would.
    pub request_rate_factor: u32,
    /// Questions, submissions and cancellations sent so far.
    pub user_requests: usize,
    /// The machines that were up when the cloud was told to delete them.
    pub running_machines_deleted: usize,
    /// Tasks that start now run for so much longer than they would.
    pub extra_task_time: Duration,
    /// ... and each of a job so much longer than the one before it.
    pub extra_time_per_index: Duration,
    /// The most that a message takes.
    pub latency: Duration,
    /// Reports sent until then arrive then, at whoever leads by that time.
    heartbeats_delayed_until: Duration,
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

/// How often it is looked for jobs that wait beside room.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Cuts, hangs and held messages last for up to a minute after the last fault.
const LONGEST_FAULT: Duration = Duration::from_secs(60);

impl SimulatedCluster {
    pub fn new(seed: u64, faults: Faults, faults_end: Duration, size: Size) -> Self {
        let text = include_str!("../../data/settings.toml");
        let mut config = Config::parse("settings.toml", text).expect("the sample is valid");
        for team in &mut config.teams {
            team.cpus *= size.teams;
            team.cpus_max *= size.teams;
        }
        config.teams.push(guest_team());
        let mut rng = SmallRng::seed_from_u64(seed);
        let slots = (0..CONTROLLERS)
            .map(|_| Slot::new(rng.random_range(-0.0005..0.0005)))
            .collect();
        let mut cluster = SimulatedCluster::empty(config, rng, slots, faults, faults_end, size);
        for controller in 0..CONTROLLERS {
            let at = Duration::from_millis(cluster.rng.random_range(0..500));
            cluster.schedule(at, ClusterEvent::Restart { controller });
        }
        cluster.schedule(STEP, ClusterEvent::Step);
        cluster.schedule_faults();
        for n in 0..size.jobs {
            cluster.add_user(n);
        }
        cluster
    }

    /// A cluster in which nothing is scheduled to happen yet.
    fn empty(
        config: Config,
        rng: SmallRng,
        slots: Vec<Slot>,
        faults: Faults,
        faults_end: Duration,
        size: Size,
    ) -> Self {
        let limits = config
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.cpus_max))
            .collect();
        SimulatedCluster {
            now: Duration::ZERO,
            monotonic_start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            event_sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            faults,
            faults_end,
            state: StateService::new(config.state_limits, production::can_read_record),
            state_unavailable_until: Duration::ZERO,
            state_slow_until: Duration::ZERO,
            cloud_unavailable_until: Duration::ZERO,
            peers_cut_until: Duration::ZERO,
            zone_partition: (Zone::from("a"), Duration::ZERO),
            watchers: BTreeMap::new(),
            slots,
            machines: BTreeMap::new(),
            next_machine: 0,
            rental_requests: BTreeMap::new(),
            users: Vec::new(),
            jobs: BTreeMap::new(),
            task_results: BTreeSet::new(),
            gangs: Gangs::default(),
            rules: Rules::new(limits, config.cancel_within, faults_end + LONGEST_FAULT),
            features: Features::default(),
            preemption: true,
            operators: Operators::default(),
            rented: 0,
            size,
            last_idle_check: Duration::ZERO,
            boot_faults: None,
            request_rate_factor: 1,
            running_machines_deleted: 0,
            user_requests: 0,
            extra_task_time: Duration::ZERO,
            extra_time_per_index: Duration::ZERO,
            latency: Duration::from_millis(6),
            heartbeats_delayed_until: Duration::ZERO,
            leases_over: 0,
            events_handled: 0,
            digest: None,
            peer_bytes: 0,
            largest_peer_message: 0,
            most_machines: 0,
            most_commands: 0,
            config,
            rng,
        }
    }

    /// All controllers are of the production version at first, and know of smaller limits to come.
    pub fn upgrading(
        seed: u64,
        faults: Faults,
        faults_end: Duration,
        size: Size,
        next: StateLimits,
    ) -> Self {
        let mut cluster = SimulatedCluster::new(seed, faults, faults_end, size);
        cluster.config.next_state_limits = Some(next);
        for slot in &mut cluster.slots {
            slot.format = 0;
        }
        cluster
    }

    fn schedule(&mut self, at: Duration, event: ClusterEvent) {
        self.event_sequence += 1;
        let key = self.event_sequence as usize;
        self.events.insert(key, event);
        self.queue.push(Reverse((at, self.event_sequence, key)));
    }

    /// A request of an operator is on its way to a controller that is up.
    pub(super) fn send_operation(&mut self, operator: usize, controller: usize, request: Request) {
        let slot = &mut self.slots[controller];
        if slot.controller.is_none() {
            return;
        }
        let id = slot.new_request();
        slot.pending_requests
            .insert(id, Requester::Operator(operator));
        let process = self.process(controller);
        let duplicate_time = self.draw_duplicate_time();
        let changes = matches!(request, Request::Start { .. } | Request::Cancel { .. });
        if changes && let Some(duplicate_at) = duplicate_time {
            let request = request.clone();
            let event = Box::new(Event::OperatorRequest { id: 0, request });
            self.schedule(
                duplicate_at,
                ClusterEvent::DuplicateRequest { controller, event },
            );
        }
        self.deliver_soon(process, Event::OperatorRequest { id, request });
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
                self.dispatch(event);
            }
            self.rules.check(self.now);
            self.check_disruptions();
            if !self.rules.violations.is_empty() {
                break;
            }
        }
    }

    /// Lets an event happen.
    fn dispatch(&mut self, event: ClusterEvent) {
        match event {
            ClusterEvent::Tick { process } => self.tick(process),
            ClusterEvent::Restart { controller } => self.start_controller(controller),
            ClusterEvent::Step => {
                self.step();
                self.schedule(self.now + STEP, ClusterEvent::Step);
            }
            ClusterEvent::Store {
                process,
                tag,
                sent,
                request,
                response_arrives,
            } => self.store_request_arrives(process, tag, sent, request, response_arrives),
            ClusterEvent::CheckWatch { id } => self.check_watch(id),
            ClusterEvent::Deliver { process, event } => {
                if self.is_running(process) {
                    self.handle(process.controller, *event);
                }
            }
            ClusterEvent::PeerMessage {
                controller,
                message,
            } => self.peer_message_arrives(controller, message),
            ClusterEvent::Command {
                process,
                command,
                response_arrives,
            } => self.command_arrives(process, command, response_arrives),
            ClusterEvent::Cloud {
                process,
                tag,
                request,
                response_arrives,
            } => {
                let outcome = self.handle_cloud_request(&request);
                if response_arrives {
                    self.deliver_soon(process, Event::CloudResponse { tag, outcome });
                }
            }
            ClusterEvent::Heartbeat {
                controller,
                heartbeat,
            } => self.heartbeat_arrives(controller, heartbeat),
            ClusterEvent::DuplicateHeartbeat {
                controller,
                heartbeat,
            } => self.heartbeat_copy_arrives(controller, *heartbeat),
            ClusterEvent::HeartbeatAnswered {
                request,
                controller,
                response,
            } => self.heartbeat_answered(&request, controller, response),
            ClusterEvent::DuplicateRequest { controller, event } => self.handle(controller, *event),
            ClusterEvent::Resume { process, effects } => self.resume(process, effects),
            ClusterEvent::Fault(fault) => self.apply_fault(fault),
            ClusterEvent::Planned(action) => action(self),
        }
    }

    fn step(&mut self) {
        if self.now >= self.state_unavailable_until && self.state.expire(self.now) {
            self.wake_watchers();
        }
        let ids: Vec<String> = self.machines.keys().cloned().collect();
        for id in ids {
            self.step_machine(&id);
        }
        let run_for = run_time(self.extra_task_time, self.extra_time_per_index);
        for (id, event) in self
            .gangs
            .step(self.now, STEP, &mut self.machines, &self.jobs, run_for)
        {
            self.record_machine_events(&id, vec![event]);
        }
        for user in 0..self.users.len() {
            self.step_user(user);
        }
        self.step_operators();
        if self.size.jobs <= Size::SMALL.jobs
            && self.now >= self.last_idle_check + IDLE_CHECK_INTERVAL
        {
            self.last_idle_check = self.now;
            self.check_idle_capacity();
        }
    }

    /// Does something at a set time, for meetings that random faults would seldom bring about.
    pub fn plan(&mut self, at: Duration, action: impl FnOnce(&mut SimulatedCluster) + 'static) {
        self.schedule(at, ClusterEvent::Planned(Box::new(action)));
    }
}
