//! A simulated cluster around real controllers: it simulates the state service, the cloud, machines and users, a
//! network that loses and delays messages, and faults at random times. A run is determined by its seed.

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
use dappleshore::store::records::{MachineState, NEWEST_FORMAT};
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

/// Number of controllers, one in each zone.
pub const CONTROLLERS: usize = 3;

/// When random faults end in most tests.
pub const FAULTS_END: Duration = Duration::from_secs(150);

const ZONES: [&str; CONTROLLERS] = ["a", "b", "c"];

/// How often a controller gets `Event::Tick`.
const TICK: Duration = Duration::from_millis(50);

/// The time between two steps of machines and users.
const STEP: Duration = Duration::from_millis(100);

/// An event that is scheduled in the simulation.
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
    /// A delayed heartbeat or a copy of one. Its sender no longer waits for the response.
    DuplicateHeartbeat {
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// A copy of an earlier request of a user or an operator.
    DuplicateRequest {
        controller: usize,
        event: Box<Event>,
    },
    /// The end of a controller's pause: it carries out the effects that it had returned just before.
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
    /// An action that a test has planned.
    Planned(Box<dyn FnOnce(&mut SimulatedCluster)>),
}

/// The numbers of jobs, machines and tasks, and the size of teams.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of random users. Each has one job.
    pub jobs: usize,
    /// Machines of the small and the large type that a zone has of each capacity type.
    pub stock: [usize; 2],
    /// Upper bound of the number of tasks of an array.
    pub tasks: u32,
    /// Factor of the guarantees and limits in the sample settings.
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

/// The state of a simulation.
pub struct SimulatedCluster {
    pub(super) now: Duration,
    /// The monotonic and the wall clock at the start.
    monotonic_start: Instant,
    wall_start: SystemTime,
    /// Number of the last scheduled event or watch. Orders events of the same time.
    event_sequence: u64,
    /// Time, sequence number and key in `events` of each scheduled event.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: HashMap<usize, ClusterEvent>,
    rng: SmallRng,
    faults: Faults,
    /// When random faults end. After that the controllers have to recover.
    faults_end: Duration,
    config: Config,
    pub(super) state: StateService,
    state_unavailable_until: Duration,
    state_slow_until: Duration,
    cloud_unavailable_until: Duration,
    peers_cut_until: Duration,
    /// A zone that is cut off, and until when.
    zone_partition: (Zone, Duration),
    watchers: BTreeMap<u64, Watcher>,
    slots: Vec<Slot>,
    pub(super) machines: BTreeMap<String, Machine>,
    next_machine: u32,
    /// The machines that each rental request got, by its id.
    rental_requests: BTreeMap<String, Vec<String>>,
    users: Vec<User>,
    jobs: BTreeMap<JobId, Job>,
    /// Tasks that have completed.
    task_results: BTreeSet<TaskId>,
    gangs: Gangs,
    pub rules: Rules,
    /// The features file of controllers that start from now on.
    pub features: Features,
    /// Whether tasks may be preempted.
    pub preemption: bool,
    /// The policy's number of blocks for each controller that starts from now on.
    pub blocks_per_controller: usize,
    pub operators: Operators,
    /// Machines rented so far.
    pub rented: usize,
    size: Size,
    last_idle_check: Duration,
    boot_faults: Option<BootFaults>,
    /// Factor by which users poll more often than usual.
    pub request_rate_factor: u32,
    /// Polls, submissions and cancellations sent so far.
    pub user_requests: usize,
    /// Machines whose worker ran when the cloud deleted them.
    pub running_machines_deleted: usize,
    /// Added to the run time of tasks that start from now on.
    pub extra_task_time: Duration,
    /// Also added for each task of a job, multiplied by its index.
    pub extra_time_per_index: Duration,
    /// The longest time that a message takes when it is not delayed by a fault.
    pub latency: Duration,
    /// Heartbeats that are sent before this time arrive at this time, at the controller that leads then.
    heartbeats_delayed_until: Duration,
    /// Worker leases that expired on running machines.
    pub leases_over: usize,
    /// Events that controllers have handled.
    pub events_handled: u64,
    /// Digest of the controllers' effects, if a test has set it.
    pub digest: Option<Digest>,
    /// Size of all messages between controllers, in bytes on the wire. Not counted at `Size::SMALL`.
    pub peer_bytes: usize,
    /// Size of the largest of these messages in bytes.
    pub largest_peer_message: usize,
    /// The most machines that existed at a time.
    pub most_machines: usize,
    /// The most direct commands of one controller that were in flight at a time.
    pub most_commands: usize,
}

/// How often the cluster is checked for jobs that wait although a suitable machine has capacity.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Partitions, hangs and delayed messages last for up to a minute after the last fault.
const LONGEST_FAULT: Duration = Duration::from_secs(60);

impl SimulatedCluster {
    /// A cluster with random users and faults.
    pub fn new(seed: u64, faults: Faults, faults_end: Duration, size: Size) -> Self {
        let text = include_str!("../../data/settings.toml");
        let mut config =
            Config::parse("settings.toml", text).expect("the sample settings are valid");
        for team in &mut config.teams {
            team.guaranteed_cpus *= size.teams;
            team.max_cpus *= size.teams;
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

    /// A cluster without scheduled events.
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
            .map(|team| (team.name.clone(), team.max_cpus))
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
            rules: Rules::new(
                limits,
                config.cancellation_timeout,
                faults_end + LONGEST_FAULT,
            ),
            features: Features::default(),
            preemption: true,
            blocks_per_controller: 1,
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

    /// A cluster whose controllers all start with the production version and whose settings announce the next limits of
    /// the state service.
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

    /// Schedules an event. Events of the same time happen in the order in which they were scheduled.
    fn schedule(&mut self, at: Duration, event: ClusterEvent) {
        self.event_sequence += 1;
        let key = self.event_sequence as usize;
        self.events.insert(key, event);
        self.queue.push(Reverse((at, self.event_sequence, key)));
    }

    /// Sends a request of an operator to a controller, if it is up.
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

    /// Runs the simulation until this time or until a rule is violated.
    pub fn run_until(&mut self, end: Duration) {
        // Events after `end` stay in the queue for the next call. When they were removed here, they were lost, at times
        // the ticks of a controller among them.
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

    /// Handles an event.
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

    /// Advances leases, machines, gangs, users and operators by one step.
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

    /// Schedules an action, for combinations of faults that random faults would seldom produce.
    pub fn plan(&mut self, at: Duration, action: impl FnOnce(&mut SimulatedCluster) + 'static) {
        self.schedule(at, ClusterEvent::Planned(Box::new(action)));
    }
}
