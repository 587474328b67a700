//! The machines of the simulated cluster: their workers' heartbeats, the commands that reach them, what their tasks do.

use super::*;

pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

pub(super) fn run_for(longer: Duration, apart: Duration) -> impl Fn(TaskId) -> Duration {
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

impl World {
    pub(super) fn happened(&mut self, id: &str, happened: Vec<MachineEvent>) {
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
    pub(super) fn ended(&mut self, job: JobId) {
        if self.now >= self.calm_from || !self.rng.random_bool(self.faults.cancel_at_end) {
            return;
        }
        self.call_off(job);
    }

    pub(super) fn command(
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
    pub(super) fn direct(&mut self, id: &str, body: &WorkerCommands) -> bool {
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
    pub(super) fn sabotage(&mut self, id: &str, body: &WorkerCommands) {
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

    pub(super) fn step_machine(&mut self, id: &str) {
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

    pub(super) fn answered(
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
            Some(HeartbeatResponse::Elsewhere(Some(holder))) => {
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

    /// The machines that are up, in a zone or all.
    pub fn up(&self, zone: Option<&str>) -> Vec<String> {
        let here = |m: &&Machine| m.up && !m.dead && zone.is_none_or(|zone| *m.zone.0 == *zone);
        self.machines
            .values()
            .filter(here)
            .map(|m| m.id.clone())
            .collect()
    }
}
