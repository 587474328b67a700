//! The network between the parts of the simulated cluster: delays, losses, late copies, cuts; and the way of each of a
//! controller's effects to whom it is meant for.

use std::time::{Duration, Instant};

use dappleshore::cloud::{CloudRequest, CloudResponse};
use dappleshore::controller::{Effect, Event, StoreTag};
use dappleshore::domain::{ControllerName, Zone};
use dappleshore::job_api::Response;
use dappleshore::peer::Message;
use dappleshore::provisioning::CloudRequestPurpose;
use dappleshore::store::{StoreRequest, StoreResponse};
use dappleshore::workers::{CommandOutcome, DirectCommand, HeartbeatResponse};
use rand::Rng;

use super::controllers::Process;
use super::users::Asker;
use super::{ClusterEvent, SimulatedCluster, Size, ZONES};
use crate::production;

/// How long a controller waits for the state service.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a controller waits for a worker.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a controller waits for the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the cloud takes for a request.
const CLOUD_LATENCY: Duration = Duration::from_millis(150);

/// The index of a controller from its name.
pub(super) fn controller_index(name: &ControllerName) -> Option<usize> {
    name.0.trim_start_matches("node-").parse().ok()
}

/// When a message arrives, and whether the sender hears of it.
pub(super) struct Delivery {
    pub(super) at: Duration,
    pub(super) answered: bool,
}

impl SimulatedCluster {
    /// How long a message takes.
    fn transit(&mut self) -> Duration {
        let most = u64::try_from(self.latency.as_micros()).expect("short");
        Duration::from_micros(self.rng.random_range(500..most))
    }

    /// Schedules an event after the time that a message takes.
    pub(super) fn soon(&mut self, event: ClusterEvent) {
        let at = self.now + self.transit();
        self.at(at, event);
    }

    /// Schedules an event for a process, which gets it unless it has ended by then.
    pub(super) fn deliver_at(&mut self, at: Duration, process: Process, event: Event) {
        let event = Box::new(event);
        self.at(at, ClusterEvent::Deliver { process, event });
    }

    /// The same after the time that a message takes.
    pub(super) fn deliver_soon(&mut self, process: Process, event: Event) {
        let event = Box::new(event);
        self.soon(ClusterEvent::Deliver { process, event });
    }

    /// A request on its way: sometimes held for long, sometimes its answer is lost.
    pub(super) fn delivery(&mut self) -> Delivery {
        let calm = self.now >= self.faults_end;
        let quick = self.now + self.transit();
        if !calm && self.rng.random_bool(self.faults.delayed_requests) {
            let held = Duration::from_secs_f64(self.rng.random_range(1.0..60.0));
            return Delivery {
                at: self.now + held,
                answered: false,
            };
        }
        Delivery {
            at: quick,
            answered: calm || !self.rng.random_bool(self.faults.lost_responses),
        }
    }

    /// When a copy of a message is carried out again, if one is.
    pub(crate) fn copied(&mut self) -> Option<Duration> {
        if self.now >= self.faults_end || !self.rng.random_bool(self.faults.copies) {
            return None;
        }
        let late = self.config.worker_lease.as_secs_f64() * 3.0;
        Some(self.now + Duration::from_secs_f64(self.rng.random_range(1.0..late)))
    }

    /// Whether the state service refuses this controller.
    pub(super) fn state_out(&self, controller: usize) -> bool {
        self.now < self.state_out_until || self.now < self.slots[controller].cut_until
    }

    /// When the cut between a controller and a place is over, if there is one. None: the state service and the
    /// cloud, which are in no zone.
    pub(super) fn cut(&self, controller: usize, zone: Option<&Zone>) -> Option<Duration> {
        let (cut, until) = &self.zone_cut;
        let inside = *ZONES[controller] == *cut.0;
        let crosses = inside != zone.is_some_and(|zone| zone == cut);
        (crosses && self.now < *until).then_some(*until)
    }

    /// Carries out an effect of a process.
    pub(super) fn perform(&mut self, process: Process, effect: Effect) {
        match effect {
            Effect::Store { tag, request } => self.send_store_request(process, tag, request),
            Effect::Command {
                command,
                authority_until,
            } => self.send_command(process, command, authority_until),
            Effect::Cloud {
                tag,
                request,
                authority_until,
            } => {
                self.send_cloud_request(process, tag, request, authority_until);
            }
            Effect::Peer { to, message } => {
                self.send_peer_message(process.controller, &to, message)
            }
            Effect::UnsupportedFormat { format } => panic!("format {format} is not known"),
            Effect::RespondToUser { id, response } => {
                self.respond_to_user(process.controller, id, &response);
            }
            Effect::RespondToWorker {
                id,
                response,
                authority_until,
            } => {
                self.respond_to_worker(process.controller, id, response, authority_until);
            }
            Effect::RespondToHealthCheck { .. } => {}
            Effect::RespondToOperator { id, reply } => {
                let waiting = &mut self.slots[process.controller].waiting;
                if let Some(Asker::Operator(operator)) = waiting.remove(&id) {
                    self.operator_answered(operator, process.controller, reply);
                }
            }
        }
    }

    fn send_store_request(&mut self, process: Process, tag: StoreTag, op: StoreRequest) {
        let sent = self.clock(process.controller).monotonic;
        let Delivery {
            mut at,
            mut answered,
        } = self.delivery();
        if self.now < self.state_slow_until && !matches!(op, StoreRequest::Watch { .. }) {
            at += Duration::from_millis(self.rng.random_range(50..1000));
        }
        let calm = self.now >= self.faults_end;
        if matches!(op, StoreRequest::Commit(_))
            && !calm
            && self.rng.random_bool(self.faults.late_writes)
        {
            at = self.now + Duration::from_secs_f64(self.rng.random_range(2.0..12.0));
            answered = false;
        }
        if !answered {
            self.store_request_times_out(process, tag.clone(), sent);
        }
        let repeatable = matches!(
            op,
            StoreRequest::Commit(_)
                | StoreRequest::GrantLease { .. }
                | StoreRequest::KeepAliveLease { .. }
        );
        let copied = self.copied();
        if repeatable && let Some(late) = copied {
            let copy = ClusterEvent::Store {
                process,
                tag: tag.clone(),
                sent,
                op: op.clone(),
                answer: false,
            };
            self.at(late, copy);
        }
        let request = ClusterEvent::Store {
            process,
            tag,
            sent,
            op,
            answer: answered,
        };
        self.at(at, request);
    }

    /// The process hears nothing of a request to the state service.
    pub(super) fn store_request_times_out(
        &mut self,
        process: Process,
        tag: StoreTag,
        sent: Instant,
    ) {
        let unknown = Event::StoreResponse {
            tag,
            sent,
            outcome: StoreResponse::Unknown,
        };
        self.deliver_at(self.now + STORE_TIMEOUT, process, unknown);
    }

    /// Whether a process looks at its clock and finds that its authority has ended.
    fn authority_over(&self, process: Process, until: Option<Instant>) -> bool {
        until.is_some_and(|until| self.clock(process.controller).monotonic >= until)
    }

    fn send_command(&mut self, process: Process, command: DirectCommand, until: Option<Instant>) {
        let slot = &mut self.slots[process.controller];
        slot.commands += 1;
        self.most_commands = self.most_commands.max(slot.commands);
        if self.authority_over(process, until) {
            return self.command_times_out(process, &command);
        }
        let Delivery { at, answered } = self.delivery();
        if !answered {
            self.command_times_out(process, &command);
        }
        if let Some(late) = self.copied() {
            let copy = ClusterEvent::Command {
                process,
                command: command.clone(),
                answer: false,
            };
            self.at(late, copy);
        }
        let command = ClusterEvent::Command {
            process,
            command,
            answer: answered,
        };
        self.at(at, command);
    }

    /// The process hears nothing of a command.
    pub(super) fn command_times_out(&mut self, process: Process, command: &DirectCommand) {
        let unknown = Event::CommandCompleted {
            block: command.block.clone(),
            machine: command.machine.clone(),
            commands: command.body.clone(),
            outcome: CommandOutcome::Unknown,
        };
        self.deliver_at(self.now + COMMAND_TIMEOUT, process, unknown);
    }

    fn send_cloud_request(
        &mut self,
        process: Process,
        tag: CloudRequestPurpose,
        call: CloudRequest,
        until: Option<Instant>,
    ) {
        let unknown = Event::CloudResponse {
            tag: tag.clone(),
            outcome: CloudResponse::Unknown,
        };
        if self.authority_over(process, until) {
            return self.deliver_soon(process, unknown);
        }
        let Delivery { at, answered } = self.delivery();
        if !answered {
            self.deliver_at(self.now + CLOUD_TIMEOUT, process, unknown);
        }
        let at = at + CLOUD_LATENCY;
        if let Some(late) = self.copied() {
            let copy = ClusterEvent::Cloud {
                process,
                tag: tag.clone(),
                call: call.clone(),
                answer: false,
            };
            self.at(late, copy);
        }
        let request = ClusterEvent::Cloud {
            process,
            tag,
            call,
            answer: answered,
        };
        self.at(at, request);
    }

    fn send_peer_message(&mut self, from: usize, to: &ControllerName, message: Message) {
        if self.state.format() == 0 {
            let value = ciborium::Value::serialized(&message).expect("has a form");
            assert!(production::can_read_message(&value), "{message:?}");
        }
        let controller = controller_index(to).unwrap_or(0);
        let Delivery { at, .. } = self.delivery();
        let isolate = |controller: usize| self.now < self.slots[controller].island_until;
        if self.size.jobs > Size::SMALL.jobs {
            let bytes = dappleshore::http::write(&message).len();
            self.peer_bytes += bytes;
            self.largest_peer_message = self.largest_peer_message.max(bytes);
        }
        if self.now < self.peers_cut_until || isolate(from) || isolate(controller) {
            return;
        }
        if let Some(late) = self.copied() {
            let copy = ClusterEvent::Peer {
                controller,
                message: message.clone(),
            };
            self.at(late, copy);
        }
        self.at(
            at,
            ClusterEvent::Peer {
                controller,
                message,
            },
        );
    }

    fn respond_to_user(&mut self, controller: usize, id: u64, response: &Response) {
        match self.slots[controller].waiting.remove(&id) {
            Some(Asker::User { user, asked }) => self.user_answered(user, asked, response),
            Some(Asker::Odd { expected }) => {
                let (Response::State { status, .. } | Response::Problem { status, .. }) = response;
                self.rules
                    .irregular_request_answered(self.now, expected, *status);
            }
            _ => {}
        }
    }

    fn respond_to_worker(
        &mut self,
        controller: usize,
        id: u64,
        response: HeartbeatResponse,
        until: Instant,
    ) {
        let over = self.clock(controller).monotonic >= until
            && matches!(response, HeartbeatResponse::Commands(_));
        let response = if over {
            HeartbeatResponse::Unavailable
        } else {
            response
        };
        let Some(Asker::Worker(request)) = self.slots[controller].waiting.remove(&id) else {
            return;
        };
        let deaf = self
            .machines
            .get(&request.machine)
            .is_some_and(|machine| self.now < machine.responses_blocked_until);
        if deaf {
            return;
        }
        let Delivery { at, answered } = self.delivery();
        if answered {
            let answered = ClusterEvent::Answered {
                request,
                controller,
                answer: Some(response),
            };
            self.at(at, answered);
        }
    }

    /// A message from another controller arrives at whichever process is there, or is held at a cut border.
    pub(super) fn peer_message_arrives(&mut self, controller: usize, message: Message) {
        let from = match &message {
            Message::Status(status) => controller_index(&status.controller),
            Message::Heartbeat(heartbeat) => controller_index(&heartbeat.controller),
            Message::AssignmentUpdates(_) | Message::Cancelled(_) => None,
        };
        let zone = from.map(|from| Zone::from(ZONES[from]));
        if let Some(until) = zone.and_then(|zone| self.cut(controller, Some(&zone))) {
            let held = ClusterEvent::Peer {
                controller,
                message,
            };
            return self.at(until, held);
        }
        self.handle(controller, Event::Peer(message));
    }
}
