//! The machines of the simulated cluster: the heartbeats of their workers, the commands that they receive and the
//! events of their tasks.

use super::controllers::Process;
use super::network::{Delivery, controller_index};
use super::users::{HeartbeatRequest, Requester};
use super::*;

/// How long a worker waits for the response to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// The run time of each task, which follows from its id.
pub(super) fn run_time(
    extra_task_time: Duration,
    extra_time_per_index: Duration,
) -> impl Fn(TaskId) -> Duration {
    move |task| {
        Duration::from_millis(1500 + (task.job.0 * 31 + u64::from(task.index) * 977) % 9000)
            + if task.job.0.is_multiple_of(3) {
                Duration::from_secs(5)
            } else {
                Duration::ZERO
            }
            + extra_task_time
            + extra_time_per_index * task.index
    }
}

/// The shortest time between two heartbeats of a worker.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(500);
/// How long a worker waits after a heartbeat without a response before it tries another controller.
const HEARTBEAT_RETRY: Duration = Duration::from_secs(1);

impl Machine {
    /// Gives up a heartbeat that was not answered in time. The next one goes to another controller.
    fn give_up_overdue_heartbeat(&mut self, now: Duration) {
        let overdue = self
            .heartbeat
            .is_some_and(|(_, sent)| now > sent + HEARTBEAT_TIMEOUT);
        if overdue {
            self.heartbeat = None;
            self.controller = (self.controller + 1) % CONTROLLERS;
            self.next_heartbeat = now + HEARTBEAT_RETRY;
        }
    }

    /// Returns the heartbeat to send now, if one is due.
    fn due_heartbeat(&mut self, now: Duration, interval: Duration) -> Option<Heartbeat> {
        let spacing_elapsed = now >= self.last_heartbeat + HEARTBEAT_SPACING;
        let due = now >= self.next_heartbeat || (self.changed && spacing_elapsed);
        if self.heartbeat.is_some() || !due {
            return None;
        }
        self.changed = false;
        self.last_heartbeat = now;
        self.next_heartbeat = now + interval;
        let heartbeat = self.build_heartbeat();
        self.heartbeat = Some((heartbeat.sequence_number, now));
        Some(heartbeat)
    }
}

impl SimulatedCluster {
    /// Records the events of a machine's tasks in the rules.
    pub(super) fn record_machine_events(&mut self, id: &str, events: Vec<MachineEvent>) {
        for event in events {
            match event {
                MachineEvent::Started(task) => {
                    let machine = &self.machines[id];
                    tracing::debug!(at = self.now.as_secs_f64(), %task, machine = id, "task started");
                    let place = Place {
                        machine: id.to_owned(),
                        type_name: machine.type_name.clone(),
                        zone: machine.zone.clone(),
                        capacity_type: machine.capacity_type,
                    };
                    self.rules.task_started(self.now, task, place);
                }
                MachineEvent::Ended(task, done) => {
                    if done {
                        self.task_results.insert(task);
                    }
                    self.rules.task_ended(task, id, done);
                    if done && self.rules.all_done(task.job) {
                        self.job_completed(task.job);
                    }
                }
            }
        }
    }

    /// Called when a job's last task completes. At times its user cancels it at the same moment.
    pub(super) fn job_completed(&mut self, job: JobId) {
        if self.now >= self.faults_end || !self.rng.random_bool(self.faults.cancel_at_end) {
            return;
        }
        self.cancel_job(job);
    }

    /// Delivers a direct command to a machine, or delays it until a partition ends.
    pub(super) fn command_arrives(
        &mut self,
        process: Process,
        command: DirectCommand,
        response_arrives: bool,
    ) {
        let id = command.machine.0.to_string();
        if self.faults.duplicate_launches {
            self.launch_on_second_machine(&id, &command.body);
        }
        let zone = self.machines.get(&id).map(|machine| machine.zone.clone());
        let held_until = zone.and_then(|zone| self.partition_end(process.controller, Some(&zone)));
        if let Some(until) = held_until {
            if response_arrives {
                self.command_times_out(process, &command);
            }
            let arrival = until + Duration::from_millis(self.rng.random_range(1..50));
            let delayed = ClusterEvent::Command {
                process,
                command,
                response_arrives: false,
            };
            return self.schedule(arrival, delayed);
        }
        if !self.accepts_command(&id, &command.body) {
            if response_arrives {
                self.command_times_out(process, &command);
            }
            return;
        }
        let executed = self.execute_direct_commands(&id, &command.body);
        if response_arrives && let Some(machine) = self.machines.get_mut(&id) {
            let heartbeat = machine.build_heartbeat();
            let outcome = if executed {
                CommandOutcome::Executed(heartbeat)
            } else {
                CommandOutcome::Rejected(heartbeat)
            };
            let event = Event::CommandCompleted {
                block: command.block,
                machine: command.machine,
                commands: command.body,
                outcome,
            };
            self.deliver_soon(process, event);
        }
    }

    /// Whether a machine executes a command now. A machine that hangs executes it when it continues.
    fn accepts_command(&mut self, id: &str, commands: &WorkerCommands) -> bool {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(id) else {
            return false;
        };
        if now < machine.responses_blocked_until {
            return false;
        }
        let runs = machine.runs(now);
        if !runs && machine.hung_until.is_some() && !machine.dead {
            machine.backlog.push(commands.clone());
        }
        runs
    }

    /// Executes direct commands on a running machine. False: the fencing token is too low or the agent epoch does not
    /// match.
    pub(super) fn execute_direct_commands(&mut self, id: &str, commands: &WorkerCommands) -> bool {
        let Some(machine) = self.machines.get_mut(id) else {
            return false;
        };
        if commands.token < machine.token || commands.agent_epoch != Some(machine.agent_epoch) {
            return false;
        }
        if commands.token > machine.token {
            machine.token = commands.token;
            machine.changed = true;
        }
        let events = machine.execute(
            &commands.commands,
            &self.jobs,
            &self.task_results,
            run_time(self.extra_task_time, self.extra_time_per_index),
        );
        self.record_machine_events(id, events);
        true
    }

    /// Executes the commands for one machine on a second one too, which violates the rule `ran_twice` on purpose.
    pub(super) fn launch_on_second_machine(&mut self, id: &str, commands: &WorkerCommands) {
        let Some(target) = self.machines.get(id) else {
            return;
        };
        // The second machine has the same type, zone and capacity type, so that no other rule is violated first.
        let is_similar = |machine: &Machine| {
            (&machine.type_name, &machine.zone, machine.capacity_type)
                == (&target.type_name, &target.zone, target.capacity_type)
        };
        let other = self
            .machines
            .iter()
            .find(|(other, machine)| *other != id && machine.runs(self.now) && is_similar(machine))
            .map(|(id, _)| id.clone());
        if let Some(other) = other {
            let machine = self
                .machines
                .get_mut(&other)
                .expect("the machine was found above");
            let events = machine.execute(
                &commands.commands,
                &self.jobs,
                &self.task_results,
                run_time(self.extra_task_time, self.extra_time_per_index),
            );
            self.record_machine_events(&other, events);
        }
    }

    /// Advances a machine by one step: it boots, is taken back or continues after a hang, and sends heartbeats.
    pub(super) fn step_machine(&mut self, id: &str) {
        let now = self.now;
        let heartbeat_interval = self.config.heartbeat_interval;
        let interval = heartbeat_interval.mul_f64(self.rng.random_range(0.75..1.25));
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine
            .terminates_at
            .is_some_and(|terminates_at| now >= terminates_at)
        {
            return self.reclaim_machine(id);
        }
        if !machine.up && machine.up_at.is_some_and(|at| now >= at) {
            machine.up = true;
            machine.lease_renewed_at = now;
        }
        if !machine.runs(now) {
            return;
        }
        let agent_epoch = machine.agent_epoch;
        let mut events = machine.check_lease(now, self.config.worker_lease);
        self.leases_over += usize::from(machine.agent_epoch != agent_epoch);
        if machine.hung_until.take().is_some() {
            let backlog = std::mem::take(&mut machine.backlog);
            self.record_machine_events(id, events);
            for commands in backlog {
                self.execute_direct_commands(id, &commands);
            }
            return;
        }
        events.extend(machine.progress(
            STEP,
            &self.jobs,
            &self.task_results,
            run_time(self.extra_task_time, self.extra_time_per_index),
        ));
        machine.give_up_overdue_heartbeat(now);
        let heartbeat = machine.due_heartbeat(now, interval);
        self.record_machine_events(id, events);
        if let Some(heartbeat) = heartbeat {
            self.send_heartbeat(id, heartbeat);
        }
    }

    /// Makes the cloud take a machine back, which ends its tasks.
    fn reclaim_machine(&mut self, id: &str) {
        let mut machine = self.machines.remove(id).expect("the machine exists");
        for event in machine.lose_all_tasks() {
            if let MachineEvent::Ended(task, done) = event {
                self.rules.task_ended(task, id, done);
            }
        }
    }

    /// Sends a heartbeat to the controller that the worker has chosen.
    fn send_heartbeat(&mut self, id: &str, heartbeat: Heartbeat) {
        let now = self.now;
        let machine = &self.machines[id];
        let (controller, heartbeats_blocked) =
            (machine.controller, now < machine.heartbeats_blocked_until);
        let controller_is_up = self.slots[controller].controller.is_some();
        let request = HeartbeatRequest {
            machine: id.to_owned(),
            agent_epoch: heartbeat.agent_epoch,
            sequence_number: heartbeat.sequence_number,
            sent: now,
        };
        let heartbeat = Box::new(heartbeat);
        if let Some(duplicate_at) = self.draw_duplicate_time() {
            let duplicate = ClusterEvent::DuplicateHeartbeat {
                controller: self.rng.random_range(0..CONTROLLERS),
                heartbeat: heartbeat.clone(),
            };
            self.schedule(duplicate_at, duplicate);
        }
        if now < self.heartbeats_delayed_until {
            self.plan(self.heartbeats_delayed_until, move |cluster| {
                if let Some(controller) = cluster.leader() {
                    cluster.dispatch(ClusterEvent::DuplicateHeartbeat {
                        controller,
                        heartbeat,
                    });
                }
            });
        } else if controller_is_up && !heartbeats_blocked {
            let Delivery { at, .. } = self.delivery();
            let heartbeat = ClusterEvent::Heartbeat {
                controller,
                heartbeat,
            };
            self.schedule(at, heartbeat);
        } else {
            self.schedule_soon(ClusterEvent::HeartbeatAnswered {
                request,
                controller,
                response: None,
            });
        }
    }

    /// Delivers a delayed or copied heartbeat, whose response nobody waits for.
    pub(super) fn heartbeat_copy_arrives(&mut self, controller: usize, heartbeat: Heartbeat) {
        let id = self.slots[controller].new_request();
        self.handle(controller, Event::Heartbeat { id, heartbeat });
    }

    /// Delivers a heartbeat to a controller, or delays it until a partition ends.
    pub(super) fn heartbeat_arrives(&mut self, controller: usize, heartbeat: Box<Heartbeat>) {
        let Some(machine) = self.machines.get(&*heartbeat.machine.0) else {
            return;
        };
        let sent = machine.heartbeat.map_or(self.now, |(_, sent)| sent);
        if let Some(until) = self.partition_end(controller, Some(&machine.zone)) {
            let delayed = ClusterEvent::Heartbeat {
                controller,
                heartbeat,
            };
            return self.schedule(until, delayed);
        }
        let slot = &mut self.slots[controller];
        if slot.controller.is_none() {
            return;
        }
        let id = slot.new_request();
        let requester = Requester::Worker(HeartbeatRequest {
            machine: heartbeat.machine.0.to_string(),
            agent_epoch: heartbeat.agent_epoch,
            sequence_number: heartbeat.sequence_number,
            sent,
        });
        slot.pending_requests.insert(id, requester);
        let heartbeat = *heartbeat;
        self.handle(controller, Event::Heartbeat { id, heartbeat });
    }

    /// Delivers the response to a heartbeat. `None`: the controller could not be reached.
    pub(super) fn heartbeat_answered(
        &mut self,
        request: &HeartbeatRequest,
        controller: usize,
        response: Option<HeartbeatResponse>,
    ) {
        let now = self.now;
        let id = request.machine.as_str();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let is_expected = machine.agent_epoch == request.agent_epoch
            && machine
                .heartbeat
                .is_some_and(|(number, _)| number == request.sequence_number);
        if !is_expected || now > request.sent + HEARTBEAT_TIMEOUT || !machine.runs(now) {
            return;
        }
        machine.heartbeat = None;
        tracing::debug!(
            at = now.as_secs_f64(),
            machine = id,
            controller,
            ?response,
            "heartbeat answered"
        );
        match response {
            Some(HeartbeatResponse::Commands(commands)) => {
                if commands.token < machine.token {
                    return;
                }
                if commands.token > machine.token {
                    machine.token = commands.token;
                    machine.changed = true;
                }
                machine.lease_renewed_at = request.sent;
                let events = machine.execute(
                    &commands.commands,
                    &self.jobs,
                    &self.task_results,
                    run_time(self.extra_task_time, self.extra_time_per_index),
                );
                self.record_machine_events(id, events);
            }
            Some(HeartbeatResponse::Redirect(Some(holder))) => {
                let target = controller_index(&holder).unwrap_or(0);
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

    /// The machines that are up, in a zone or in all.
    pub fn up(&self, zone: Option<&str>) -> Vec<String> {
        let is_up = |machine: &&Machine| {
            machine.up && !machine.dead && zone.is_none_or(|zone| *machine.zone.0 == *zone)
        };
        self.machines
            .values()
            .filter(is_up)
            .map(|machine| machine.id.clone())
            .collect()
    }
}
