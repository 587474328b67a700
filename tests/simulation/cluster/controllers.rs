//! The controllers of the simulated cluster as processes: started, ended, paused, and handed their events.

use super::network::controller_index;
use super::*;

/// One life of a controller: what was sent to it is lost once it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) controller: usize,
    pub(super) incarnation: Incarnation,
}

/// A controller's place in the cluster, whether its process runs or not.
pub(super) struct Slot {
    pub(super) controller: Option<Controller>,
    pub(super) incarnation: Incarnation,
    /// The newest format that its version knows.
    pub(super) format: u32,
    pub(super) next_request: u64,
    pub(super) pending_requests: HashMap<u64, Requester>,
    /// Drift of its monotonic clock.
    pub(super) clock_drift: f64,
    pub(super) state_cut_until: Duration,
    /// Until then it hears no peers either.
    pub(super) isolated_until: Duration,
    pub(super) paused_until: Duration,
    /// Commands that it waits for an answer to: each holds a socket.
    pub(super) pending_commands: usize,
}

impl Slot {
    /// No process yet. `drift`: of its monotonic clock, as a part of the time.
    pub(super) fn new(clock_drift: f64) -> Self {
        Slot {
            controller: None,
            incarnation: Incarnation(0),
            format: FORMAT,
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

/// Controllers list misrouted machines, and the addresses of workers, in the order of a hash map, which differs from process
/// to process. Whoever reads these lists takes them for sets, so that they are put in order here.
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
    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].format = FORMAT;
        self.end_controller(controller, back_after);
    }

    /// Some controller, by chance.
    pub(crate) fn any_controller(&mut self) -> usize {
        self.rng.random_range(0..CONTROLLERS)
    }

    pub(super) fn clock(&self, controller: usize) -> Now {
        let monotonic = self.now.mul_f64(1.0 + self.slots[controller].clock_drift);
        let skew = Duration::from_millis(300 * controller as u64);
        Now {
            monotonic: self.monotonic_start + monotonic,
            wall: self.wall_start + self.now + skew,
        }
    }

    /// The present process of a controller, or the last one.
    pub(super) fn process(&self, controller: usize) -> Process {
        Process {
            controller,
            incarnation: self.slots[controller].incarnation,
        }
    }

    pub(super) fn is_running(&self, process: Process) -> bool {
        self.process(process.controller) == process
            && self.slots[process.controller].controller.is_some()
    }

    /// Hands an event to whichever process of the controller there is, when it is not paused.
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

    /// A process looks at its clock.
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

    /// A process goes on after a pause and does what it had decided before.
    pub(super) fn resume(&mut self, process: Process, effects: Vec<Effect>) {
        if self.is_running(process) {
            for effect in effects {
                self.perform(process, effect);
            }
        }
    }

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

    pub(super) fn start_controller(&mut self, controller: usize) {
        if self.slots[controller].controller.is_some() {
            return;
        }
        let config = self.controller_config(controller);
        let mut policy = Policy::built_in(&config);
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

    pub(super) fn crash(&mut self, controller: usize) {
        // Now and then restarted at once.
        let back_after_s = if self.rng.random_bool(0.3) { 0.1 } else { 5.0 };
        self.end_controller(controller, Duration::from_secs_f64(back_after_s));
    }

    /// The controller that the state service has as the leader.
    pub fn leader(&self) -> Option<usize> {
        controller_index(&self.state.leader()?.controller)
    }

    /// Ends a controller, which is started again after this long.
    pub fn end_controller(&mut self, controller: usize, back_after: Duration) {
        self.slots[controller].controller = None;
        self.slots[controller].pending_requests.clear();
        self.schedule(self.now + back_after, ClusterEvent::Restart { controller });
    }

    /// Machines and tasks that all controllers have looked at, and the plans that they made.
    pub fn looked(&self) -> (u64, u64) {
        let all = self
            .slots
            .iter()
            .filter_map(|slot| slot.controller.as_ref())
            .map(Controller::work_counts);
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
}
