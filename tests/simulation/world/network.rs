//! The network between the parts of the simulated cluster: delays, losses, late copies, cuts; and what becomes of a
//! controller's effects on their way.

use super::*;

impl World {
    pub(super) fn transit(&mut self) -> Duration {
        let most = u64::try_from(self.latency.as_micros()).expect("short");
        Duration::from_micros(self.rng.random_range(500..most))
    }

    /// A request on its way: sometimes held for long, sometimes its answer is lost. Returns when it arrives and
    /// whether it will be answered.
    pub(super) fn fate(&mut self) -> (Duration, bool) {
        let calm = self.now >= self.calm_from;
        let quick = self.now + self.transit();
        if !calm && self.rng.random_bool(self.faults.held) {
            let held = Duration::from_secs_f64(self.rng.random_range(1.0..60.0));
            return (self.now + held, false);
        }
        (quick, calm || !self.rng.random_bool(self.faults.lost))
    }

    /// When a copy of a message is carried out again, if one is.
    pub(crate) fn copied(&mut self) -> Option<Duration> {
        if self.now >= self.calm_from || !self.rng.random_bool(self.faults.copies) {
            return None;
        }
        let late = self.config.worker_lease.as_secs_f64() * 3.0;
        Some(self.now + Duration::from_secs_f64(self.rng.random_range(1.0..late)))
    }

    pub(super) fn perform(&mut self, controller: usize, incarnation: Incarnation, effect: Effect) {
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

    pub(super) fn unanswered(
        &mut self,
        controller: usize,
        incarnation: Incarnation,
        command: &DirectCommand,
    ) {
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

    pub(super) fn state_out(&self, controller: usize) -> bool {
        self.now < self.state_out_until || self.now < self.slots[controller].cut_until
    }

    /// When the cut between a node and a place is over, if there is one. None: the state service and the
    /// cloud, which are in no zone.
    pub(super) fn cut(&self, controller: usize, zone: Option<&Zone>) -> Option<Duration> {
        let (cut, until) = &self.zone_cut;
        let inside = *ZONES[controller] == *cut.0;
        let crosses = inside != zone.is_some_and(|zone| zone == cut);
        (crosses && self.now < *until).then_some(*until)
    }
}
