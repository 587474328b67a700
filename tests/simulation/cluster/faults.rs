//! Faults in the simulated cluster: random ones by their rates, and methods with which tests cause faults themselves.

use super::*;

/// The kinds of random faults and their rates.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of requests whose response is lost.
    pub lost_responses: f64,
    /// Share of requests that are executed up to a minute late and whose sender gets no response.
    pub delayed_requests: f64,
    /// Mean time in seconds between two crashes of a controller. 0: none. The same holds for the other kinds of faults,
    /// unless noted.
    pub crash: f64,
    /// All controllers crash at once.
    pub crash_all: f64,
    /// The state service refuses all requests.
    pub outage: f64,
    /// The state service refuses the requests of one controller.
    pub cut_one: f64,
    pub machine_dies: f64,
    pub machine_hangs: f64,
    /// The cloud takes a spot machine back.
    pub spot_taken: f64,
    pub cloud_outage: f64,
    /// Messages between controllers are lost.
    pub peers_cut: f64,
    /// A zone is cut off: messages across its border are delivered when the partition ends.
    pub zone_cut: f64,
    /// Share of machines on which tasks fail.
    pub faulty_machines: f64,
    /// A machine's heartbeats arrive, but responses and commands don't reach it for up to a minute.
    pub responses_blocked: f64,
    /// A machine restarts at once.
    pub machine_restarts: f64,
    /// Share of messages of which a copy arrives up to three worker leases later: heartbeats, at any controller;
    /// commands, cloud requests, transactions, requests of users and operators, and messages between controllers.
    pub copies: f64,
    /// A controller pauses for up to 45 s between a decision and its effects, while its clocks go on.
    pub pause: f64,
    /// A third of the machines that are up die, hang, receive nothing or are taken back at the same time.
    pub mass_loss: f64,
    /// A controller loses the state service and its peers, but not its workers.
    pub isolate: f64,
    /// Share of transactions that get no response and are executed 2 to 12 s later, after newer ones.
    pub late_writes: f64,
    /// A machine reaches no controller for up to a minute, while direct commands reach it.
    pub heartbeats_blocked: f64,
    /// The state service takes up to a second longer for each request, for up to half a minute.
    pub state_slow: f64,
    /// Share of jobs that are cancelled at the moment when their last task completes.
    pub cancel_at_end: f64,
    /// Share of user requests that are irregular: an unfinished job is submitted again or one that is done is
    /// cancelled. An invalid job is sent with each.
    pub irregular_requests: f64,
    /// Each direct command is also executed by a second machine, which violates a rule on purpose.
    pub duplicate_launches: bool,
}

impl Faults {
    /// The mean time in seconds between two faults of each kind. 0: none.
    fn mean_times(&self) -> Vec<(Fault, f64)> {
        vec![
            (Fault::Crash, self.crash),
            (Fault::CrashAll, self.crash_all),
            (Fault::StateOutage, self.outage),
            (Fault::StateCut, self.cut_one),
            (Fault::MachineDies, self.machine_dies),
            (Fault::MachineHangs, self.machine_hangs),
            (Fault::SpotReclaimed, self.spot_taken),
            (Fault::CloudOutage, self.cloud_outage),
            (Fault::PeersCut, self.peers_cut),
            (Fault::ZoneCut, self.zone_cut),
            (Fault::ResponsesBlocked, self.responses_blocked),
            (Fault::MachineRestarts, self.machine_restarts),
            (Fault::Isolation, self.isolate),
            (Fault::Pause, self.pause),
            (Fault::MassLoss, self.mass_loss),
            (Fault::HeartbeatsBlocked, self.heartbeats_blocked),
            (Fault::StateSlow, self.state_slow),
        ]
    }

    /// All kinds of faults but `duplicate_launches`.
    pub fn all() -> Self {
        Faults {
            lost_responses: 0.01,
            delayed_requests: 0.01,
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
            responses_blocked: 50.0,
            machine_restarts: 60.0,
            copies: 0.02,
            isolate: 80.0,
            pause: 60.0,
            mass_loss: 150.0,
            late_writes: 0.01,
            heartbeats_blocked: 50.0,
            state_slow: 90.0,
            cancel_at_end: 0.1,
            irregular_requests: 0.05,
            duplicate_launches: false,
        }
    }
}

/// A kind of random fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    Crash,
    CrashAll,
    StateOutage,
    StateCut,
    MachineDies,
    MachineHangs,
    SpotReclaimed,
    CloudOutage,
    PeersCut,
    ZoneCut,
    ResponsesBlocked,
    MachineRestarts,
    Isolation,
    Pause,
    MassLoss,
    HeartbeatsBlocked,
    StateSlow,
}

/// A random duration from 1 s to `max_s`.
fn random_duration(rng: &mut SmallRng, max_s: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(1.0..max_s))
}

impl SimulatedCluster {
    /// Schedules the random faults. Those of each kind form a Poisson process.
    pub(super) fn schedule_faults(&mut self) {
        for (fault, mean_s) in self.faults.mean_times() {
            if mean_s <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            loop {
                at += -mean_s * (1.0 - self.rng.random::<f64>()).ln();
                if Duration::from_secs_f64(at) >= self.faults_end {
                    break;
                }
                self.schedule(Duration::from_secs_f64(at), ClusterEvent::Fault(fault));
            }
        }
    }

    /// Lowers the limits of the state service.
    pub fn lower_state_limits(&mut self, limits: StateLimits) {
        self.state.lower_limits(limits);
    }

    /// Makes the state service refuse the requests of this controller.
    pub fn cut_state(&mut self, controller: usize, duration: Duration) {
        self.slots[controller].state_cut_until = self.now + duration;
    }

    /// Cuts a controller off from the state service and the other controllers, not from its workers and users.
    pub fn isolate(&mut self, controller: usize, duration: Duration) {
        self.cut_state(controller, duration);
        self.slots[controller].isolated_until = self.now + duration;
    }

    /// Makes the state service refuse all requests.
    pub fn state_outage(&mut self, duration: Duration) {
        let until = self.now + duration;
        self.state_unavailable_until = self.state_unavailable_until.max(until);
        self.state.renew_leases_after_outage(until);
    }

    /// Pauses a controller's process, unless it is paused already.
    pub fn pause(&mut self, controller: usize, duration: Duration) {
        if self.now < self.slots[controller].paused_until {
            return;
        }
        let until = self.now + duration;
        // The process has just returned effects. They are carried out at the end of the pause.
        let effects = self.collect_effects(controller, Event::Tick);
        self.slots[controller].paused_until = until;
        let process = self.process(controller);
        self.schedule(until, ClusterEvent::Resume { process, effects });
    }

    /// Makes a machine hang.
    pub fn hang(&mut self, machine: &str, duration: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.hung_until = Some(self.now + duration);
        }
    }

    /// Delays heartbeats that are sent from now on. They arrive at the end of this time, at the controller that leads
    /// then.
    pub fn hold_heartbeats(&mut self, duration: Duration) {
        self.heartbeats_delayed_until = self.now + duration;
    }

    /// Cuts a zone off: messages across its border are delayed until the partition ends.
    pub fn cut_zone(&mut self, zone: &str, duration: Duration) {
        self.zone_partition = (zone.into(), self.now + duration);
    }

    /// Makes a machine fail for good.
    pub fn kill(&mut self, machine: &str) {
        let Some(found) = self.machines.get_mut(machine) else {
            return;
        };
        found.dead = true;
        let events = found.lose_all_tasks();
        self.record_machine_events(machine, events);
    }

    /// Restarts a machine at once.
    pub fn restart_machine(&mut self, machine: &str) {
        let now = self.now;
        if let Some(found) = self.machines.get_mut(machine) {
            let events = found.restart(now);
            self.record_machine_events(machine, events);
        }
    }

    /// Makes the cloud give notice that it takes a machine back after this time.
    pub fn recall(&mut self, machine: &str, notice: Duration) {
        if let Some(found) = self.machines.get_mut(machine) {
            found.terminates_at = Some(self.now + notice);
            found.changed = true;
        }
    }

    /// Blocks responses and commands to a machine.
    pub fn block_responses(&mut self, machine: &str, duration: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.responses_blocked_until = self.now + duration;
        }
    }

    /// Sets the faults of machines that are rented from now on.
    pub fn set_boot_faults(&mut self, boot_faults: Option<BootFaults>) {
        self.boot_faults = boot_faults;
    }

    /// Blocks the heartbeats of a machine, while direct commands reach it.
    pub fn block_heartbeats(&mut self, machine: &str, duration: Duration) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.heartbeats_blocked_until = self.now + duration;
        }
    }

    /// Causes a random fault.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                self.crash(controller);
            }
            Fault::CrashAll => (0..CONTROLLERS).for_each(|controller| self.crash(controller)),
            Fault::StateOutage => {
                let duration = random_duration(&mut self.rng, 35.0);
                self.state_outage(duration);
            }
            Fault::StateCut => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let duration = random_duration(&mut self.rng, 40.0);
                self.cut_state(controller, duration);
            }
            Fault::Isolation => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let duration = random_duration(&mut self.rng, 60.0);
                self.isolate(controller, duration);
            }
            Fault::Pause => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                let duration = random_duration(&mut self.rng, 45.0);
                self.pause(controller, duration);
            }
            Fault::MassLoss => {
                let kind = [
                    Fault::MachineDies,
                    Fault::MachineHangs,
                    Fault::ResponsesBlocked,
                    Fault::SpotReclaimed,
                ][self.rng.random_range(0..4)];
                let up = self.machines.values().filter(|m| m.up && !m.dead).count();
                for _ in 0..up / 3 {
                    self.apply_fault(kind);
                }
            }
            Fault::StateSlow => {
                self.state_slow_until = self.now + random_duration(&mut self.rng, 30.0)
            }
            Fault::CloudOutage => {
                self.cloud_unavailable_until = self.now + random_duration(&mut self.rng, 30.0)
            }
            Fault::ZoneCut => {
                let zone = Zone::from(ZONES[self.rng.random_range(0..CONTROLLERS)]);
                self.zone_partition = (zone, self.now + random_duration(&mut self.rng, 60.0));
            }
            Fault::PeersCut => {
                self.peers_cut_until = self.now + random_duration(&mut self.rng, 20.0)
            }
            Fault::MachineDies
            | Fault::MachineHangs
            | Fault::SpotReclaimed
            | Fault::ResponsesBlocked
            | Fault::HeartbeatsBlocked
            | Fault::MachineRestarts => {
                self.machine_fault(fault);
            }
        }
    }

    /// Causes a fault of a random machine that is up.
    fn machine_fault(&mut self, fault: Fault) {
        let spot = fault == Fault::SpotReclaimed;
        let is_candidate = |machine: &&Machine| {
            machine.up && !machine.dead && (!spot || machine.capacity_type.is_spot())
        };
        let machines = self.machines.values().filter(is_candidate);
        let ids: Vec<String> = machines.map(|machine| machine.id.clone()).collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let duration = random_duration(&mut self.rng, 60.0);
        let notice = Duration::from_secs(if self.rng.random_bool(0.5) { 5 } else { 0 });
        match fault {
            Fault::MachineDies => self.kill(&id),
            Fault::MachineHangs => self.hang(&id, duration),
            Fault::ResponsesBlocked => self.block_responses(&id, duration),
            Fault::HeartbeatsBlocked => self.block_heartbeats(&id, duration),
            Fault::MachineRestarts => self.restart_machine(&id),
            _ => self.recall(&id, notice),
        }
    }
}
