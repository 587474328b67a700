//! The processes of the controllers in the simulated cluster: starts, ends, pauses and the delivery of events.

use super::network::controller_index;
use super::*;

/// A process of a controller. Events that are addressed to it are lost once it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) controller: usize,
    pub(super) incarnation: Incarnation,
}

/// The state of a controller in the simulation, whether its process runs or not.
pub(super) struct Slot {
    pub(super) controller: Option<Controller>,
    pub(super) incarnation: Incarnation,
    /// The newest record format that its version supports.
    pub(super) format: u32,
    pub(super) next_request: u64,
    /// Requests that the controller has not answered, by id.
    pub(super) pending_requests: HashMap<u64, Requester>,
    /// The drift of its monotonic clock, as a fraction of the elapsed time.
    pub(super) clock_drift: f64,
    /// Until then the state service refuses its requests.
    pub(super) state_cut_until: Duration,
    /// Until then it exchanges no messages with other controllers.
    pub(super) isolated_until: Duration,
    /// Until then its process is paused.
    pub(super) paused_until: Duration,
    /// Direct commands without an outcome. Each holds a socket.
    pub(super) pending_commands: usize,
}

impl Slot {
    /// A slot without a process.
    pub(super) fn new(clock_drift: f64) -> Self {
        Slot {
            controller: None,
            incarnation: Incarnation(0),
            format: NEWEST_FORMAT,
            next_request: 0,
            pending_requests: HashMap::new(),
            clock_drift,
            state_cut_until: Duration::ZERO,
            isolated_until: Duration::ZERO,
            paused_until: Duration::ZERO,
            pending_commands: 0,
        }
    }

    /// The id of the next request to this controller.
    pub(super) fn new_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }
}

/// Sorts the lists of misrouted machines and of worker addresses. Controllers send them in the order of a hash map,
/// which differs between processes; their readers treat them as sets.
pub(super) fn sort_hashed(effects: &mut [Effect]) {
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

impl SimulatedCluster {
    /// Ends a controller's process and restarts it with the new version.
    pub fn upgrade(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].format = NEWEST_FORMAT;
        self.end_controller(controller, back_after);
    }

    /// A random controller.
    pub(crate) fn any_controller(&mut self) -> usize {
        self.rng.random_range(0..CONTROLLERS)
    }

    /// The clocks of a controller: the monotonic one drifts, the wall clock has a constant skew.
    pub(super) fn clock(&self, controller: usize) -> Now {
        let monotonic = self.now.mul_f64(1.0 + self.slots[controller].clock_drift);
        let skew = Duration::from_millis(300 * controller as u64);
        Now {
            monotonic: self.monotonic_start + monotonic,
            wall: self.wall_start + self.now + skew,
        }
    }

    /// The current process of a controller, or its last one.
    pub(super) fn process(&self, controller: usize) -> Process {
        Process {
            controller,
            incarnation: self.slots[controller].incarnation,
        }
    }

    /// Whether this process has not ended.
    pub(super) fn is_running(&self, process: Process) -> bool {
        self.process(process.controller) == process
            && self.slots[process.controller].controller.is_some()
    }

    /// Hands an event to the current process of a controller and carries out the effects. If the process is paused, it
    /// gets the event at the end of the pause.
    pub(super) fn handle(&mut self, controller: usize, event: Event) {
        let process = self.process(controller);
        let paused_until = self.slots[controller].paused_until;
        if self.now < paused_until {
            return self.deliver_at(paused_until, process, event);
        }
        for effect in self.collect_effects(controller, event) {
            self.perform(process, effect);
        }
    }

    /// Sends `Event::Tick` to a process and schedules the next one.
    pub(super) fn tick(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        let paused_until = self.slots[process.controller].paused_until;
        if self.now < paused_until {
            return self.schedule(paused_until, ClusterEvent::Tick { process });
        }
        self.handle(process.controller, Event::Tick);
        self.schedule(self.now + TICK, ClusterEvent::Tick { process });
    }

    /// Carries out the effects that a process had returned before its pause.
    pub(super) fn resume(&mut self, process: Process, effects: Vec<Effect>) {
        if self.is_running(process) {
            for effect in effects {
                self.perform(process, effect);
            }
        }
    }

    /// Lets a controller handle an event and returns its effects.
    pub(super) fn collect_effects(&mut self, controller: usize, event: Event) -> Vec<Effect> {
        let now = self.clock(controller);
        let slot = &mut self.slots[controller];
        slot.pending_commands -= usize::from(matches!(event, Event::CommandCompleted { .. }));
        let Some(running) = &mut slot.controller else {
            return Vec::new();
        };
        let at = self.now.as_secs_f64();
        self.events_handled += 1;
        let mut effects =
            tracing::info_span!("node", controller, at).in_scope(|| running.handle(now, event));
        sort_hashed(&mut effects);
        if let Some(digest) = &mut self.digest {
            for effect in &effects {
                digest.add_effect(controller, self.now, self.monotonic_start, effect);
            }
        }
        effects
    }

    /// Starts a new process of a controller, if none runs.
    pub(super) fn start_controller(&mut self, controller: usize) {
        if self.slots[controller].controller.is_some() {
            return;
        }
        let config = self.controller_config(controller);
        let mut policy = Policy::built_in(&config);
        policy.blocks_per_controller = self.blocks_per_controller;
        policy.preempt_for_priority &= self.preemption;
        policy.preempt_for_guarantee &= self.preemption;
        let seed = self.rng.random();
        let now = self.clock(controller);
        let slot = &mut self.slots[controller];
        slot.incarnation.0 += 1;
        slot.paused_until = Duration::ZERO;
        slot.pending_commands = 0;
        slot.pending_requests.clear();
        let features = self.features.clone();
        slot.controller = Some(
            Controller::with_record_format(slot.format, config, policy, seed, now)
                .with_features(features),
        );
        let process = self.process(controller);
        self.schedule_soon(ClusterEvent::Tick { process });
    }

    /// The settings of one controller.
    fn controller_config(&self, controller: usize) -> Config {
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
        config
    }

    /// Ends a controller's process. It is restarted after 5 s, or at times almost at once.
    pub(super) fn crash(&mut self, controller: usize) {
        let back_after_s = if self.rng.random_bool(0.3) { 0.1 } else { 5.0 };
        self.end_controller(controller, Duration::from_secs_f64(back_after_s));
    }

    /// The controller that is the leader according to the state service.
    pub fn leader(&self) -> Option<usize> {
        controller_index(&self.state.leader()?.controller)
    }

    /// Ends a controller's process and restarts it after this time.
    pub fn end_controller(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].controller = None;
        self.slots[controller].pending_requests.clear();
        self.schedule(self.now + back_after, ClusterEvent::Restart { controller });
    }

    /// Number of machines and tasks that the running controllers have examined, and of plans that they have made.
    pub fn looked(&self) -> (u64, u64) {
        let all = self
            .slots
            .iter()
            .filter_map(|slot| slot.controller.as_ref())
            .map(Controller::work_counts);
        all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// The watch cache of a running controller.
    pub fn any_cache(&self) -> Option<&dappleshore::store::WatchCache> {
        let mut controllers = self
            .slots
            .iter()
            .filter_map(|slot| slot.controller.as_ref());
        controllers.next().map(Controller::cache)
    }
}
