//! The network of the simulated cluster: delays, losses, late copies and partitions. Delivers the effects of
//! controllers to their recipients.

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
use super::users::Requester;
use super::{ClusterEvent, SimulatedCluster, Size, ZONES};
use crate::production;

/// How long a controller waits for a response of the state service.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a controller waits for the response of a worker to a direct command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a controller waits for a response of the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the cloud takes for a request.
const CLOUD_LATENCY: Duration = Duration::from_millis(150);

/// The index of a controller by its name.
pub(super) fn controller_index(name: &ControllerName) -> Option<usize> {
    name.0.trim_start_matches("node-").parse().ok()
}

/// When a request arrives, and whether its response reaches the sender.
pub(super) struct Delivery {
    pub(super) at: Duration,
    pub(super) response_arrives: bool,
}

impl SimulatedCluster {
    /// A random time that a message takes.
    fn network_delay(&mut self) -> Duration {
        let max_micros = u64::try_from(self.latency.as_micros())
            .expect("the latency fits in 64 bits of microseconds");
        Duration::from_micros(self.rng.random_range(500..max_micros))
    }

    /// Schedules an event after the time that a message takes.
    pub(super) fn schedule_soon(&mut self, event: ClusterEvent) {
        let at = self.now + self.network_delay();
        self.schedule(at, event);
    }

    /// Schedules an event for a process. It is lost if the process has ended by then.
    pub(super) fn deliver_at(&mut self, at: Duration, process: Process, event: Event) {
        let event = Box::new(event);
        self.schedule(at, ClusterEvent::Deliver { process, event });
    }

    /// Schedules an event for a process after the time that a message takes.
    pub(super) fn deliver_soon(&mut self, process: Process, event: Event) {
        let event = Box::new(event);
        self.schedule_soon(ClusterEvent::Deliver { process, event });
    }

    /// Draws when a request arrives and whether its response does. Faults delay some requests by up to a minute and
    /// lose some responses.
    pub(super) fn delivery(&mut self) -> Delivery {
        let faults_over = self.now >= self.faults_end;
        let arrival = self.now + self.network_delay();
        if !faults_over && self.rng.random_bool(self.faults.delayed_requests) {
            let delay = Duration::from_secs_f64(self.rng.random_range(1.0..60.0));
            return Delivery {
                at: self.now + delay,
                response_arrives: false,
            };
        }
        Delivery {
            at: arrival,
            response_arrives: faults_over || !self.rng.random_bool(self.faults.lost_responses),
        }
    }

    /// Draws when a copy of a message arrives, if there is one.
    pub(crate) fn draw_duplicate_time(&mut self) -> Option<Duration> {
        if self.now >= self.faults_end || !self.rng.random_bool(self.faults.copies) {
            return None;
        }
        let max_delay_s = self.config.worker_lease.as_secs_f64() * 3.0;
        Some(self.now + Duration::from_secs_f64(self.rng.random_range(1.0..max_delay_s)))
    }

    /// Whether the state service refuses the requests of this controller.
    pub(super) fn state_unavailable(&self, controller: usize) -> bool {
        self.now < self.state_unavailable_until || self.now < self.slots[controller].state_cut_until
    }

    /// When the partition between a controller and a zone ends, if there is one. `zone` is `None` for the state service
    /// and the cloud, which are in no zone.
    pub(super) fn partition_end(&self, controller: usize, zone: Option<&Zone>) -> Option<Duration> {
        let (partitioned, until) = &self.zone_partition;
        let inside = *ZONES[controller] == *partitioned.0;
        let crosses = inside != zone.is_some_and(|zone| zone == partitioned);
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
            Effect::UnsupportedFormat { format } => {
                panic!("the controller does not support record format {format}")
            }
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
                let pending_requests = &mut self.slots[process.controller].pending_requests;
                if let Some(Requester::Operator(operator)) = pending_requests.remove(&id) {
                    self.operator_answered(operator, process.controller, reply);
                }
            }
        }
    }

    fn send_store_request(&mut self, process: Process, tag: StoreTag, request: StoreRequest) {
        let sent = self.clock(process.controller).monotonic;
        let Delivery {
            mut at,
            mut response_arrives,
        } = self.delivery();
        if self.now < self.state_slow_until && !matches!(request, StoreRequest::Watch { .. }) {
            at += Duration::from_millis(self.rng.random_range(50..1000));
        }
        let faults_over = self.now >= self.faults_end;
        if matches!(request, StoreRequest::Commit(_))
            && !faults_over
            && self.rng.random_bool(self.faults.late_writes)
        {
            at = self.now + Duration::from_secs_f64(self.rng.random_range(2.0..12.0));
            response_arrives = false;
        }
        if !response_arrives {
            self.store_request_times_out(process, tag.clone(), sent);
        }
        let repeatable = matches!(
            request,
            StoreRequest::Commit(_)
                | StoreRequest::GrantLease { .. }
                | StoreRequest::KeepAliveLease { .. }
        );
        let duplicate_time = self.draw_duplicate_time();
        if repeatable && let Some(duplicate_at) = duplicate_time {
            let duplicate = ClusterEvent::Store {
                process,
                tag: tag.clone(),
                sent,
                request: request.clone(),
                response_arrives: false,
            };
            self.schedule(duplicate_at, duplicate);
        }
        let event = ClusterEvent::Store {
            process,
            tag,
            sent,
            request,
            response_arrives,
        };
        self.schedule(at, event);
    }

    /// Lets a process time out on a request to the state service.
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

    /// Whether the authority for an effect has ended by the clock of its controller.
    fn authority_expired(&self, process: Process, authority_until: Option<Instant>) -> bool {
        authority_until.is_some_and(|until| self.clock(process.controller).monotonic >= until)
    }

    fn send_command(
        &mut self,
        process: Process,
        command: DirectCommand,
        authority_until: Option<Instant>,
    ) {
        let slot = &mut self.slots[process.controller];
        slot.pending_commands += 1;
        self.most_commands = self.most_commands.max(slot.pending_commands);
        if self.authority_expired(process, authority_until) {
            return self.command_times_out(process, &command);
        }
        let Delivery {
            at,
            response_arrives,
        } = self.delivery();
        if !response_arrives {
            self.command_times_out(process, &command);
        }
        if let Some(duplicate_at) = self.draw_duplicate_time() {
            let duplicate = ClusterEvent::Command {
                process,
                command: command.clone(),
                response_arrives: false,
            };
            self.schedule(duplicate_at, duplicate);
        }
        let event = ClusterEvent::Command {
            process,
            command,
            response_arrives,
        };
        self.schedule(at, event);
    }

    /// Lets a process time out on a direct command.
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
        request: CloudRequest,
        authority_until: Option<Instant>,
    ) {
        let unknown = Event::CloudResponse {
            tag: tag.clone(),
            outcome: CloudResponse::Unknown,
        };
        if self.authority_expired(process, authority_until) {
            return self.deliver_soon(process, unknown);
        }
        let Delivery {
            at,
            response_arrives,
        } = self.delivery();
        if !response_arrives {
            self.deliver_at(self.now + CLOUD_TIMEOUT, process, unknown);
        }
        let at = at + CLOUD_LATENCY;
        if let Some(duplicate_at) = self.draw_duplicate_time() {
            let duplicate = ClusterEvent::Cloud {
                process,
                tag: tag.clone(),
                request: request.clone(),
                response_arrives: false,
            };
            self.schedule(duplicate_at, duplicate);
        }
        let event = ClusterEvent::Cloud {
            process,
            tag,
            request,
            response_arrives,
        };
        self.schedule(at, event);
    }

    fn send_peer_message(&mut self, from: usize, to: &ControllerName, message: Message) {
        if self.state.format() == 0 {
            let value = ciborium::Value::serialized(&message).expect("the message can be encoded");
            assert!(production::can_read_message(&value), "{message:?}");
        }
        let controller = controller_index(to).unwrap_or(0);
        let Delivery { at, .. } = self.delivery();
        let is_isolated = |controller: usize| self.now < self.slots[controller].isolated_until;
        if self.size.jobs > Size::SMALL.jobs {
            let bytes = dappleshore::http::encode_body(&message).len();
            self.peer_bytes += bytes;
            self.largest_peer_message = self.largest_peer_message.max(bytes);
        }
        if self.now < self.peers_cut_until || is_isolated(from) || is_isolated(controller) {
            return;
        }
        if let Some(duplicate_at) = self.draw_duplicate_time() {
            let duplicate = ClusterEvent::PeerMessage {
                controller,
                message: message.clone(),
            };
            self.schedule(duplicate_at, duplicate);
        }
        self.schedule(
            at,
            ClusterEvent::PeerMessage {
                controller,
                message,
            },
        );
    }

    fn respond_to_user(&mut self, controller: usize, id: u64, response: &Response) {
        match self.slots[controller].pending_requests.remove(&id) {
            Some(Requester::User { user, request }) => {
                self.user_response_arrives(user, request, response)
            }
            Some(Requester::InvalidJob { expected }) => {
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
        authority_until: Instant,
    ) {
        let expired = self.clock(controller).monotonic >= authority_until
            && matches!(response, HeartbeatResponse::Commands(_));
        let response = if expired {
            HeartbeatResponse::Unavailable
        } else {
            response
        };
        let Some(Requester::Worker(request)) = self.slots[controller].pending_requests.remove(&id)
        else {
            return;
        };
        let responses_blocked = self
            .machines
            .get(&request.machine)
            .is_some_and(|machine| self.now < machine.responses_blocked_until);
        if responses_blocked {
            return;
        }
        let Delivery {
            at,
            response_arrives,
        } = self.delivery();
        if response_arrives {
            let event = ClusterEvent::HeartbeatAnswered {
                request,
                controller,
                response: Some(response),
            };
            self.schedule(at, event);
        }
    }

    /// Delivers a message from another controller to the current process, or delays it until a partition ends.
    pub(super) fn peer_message_arrives(&mut self, controller: usize, message: Message) {
        let from = match &message {
            Message::Status(status) => controller_index(&status.controller),
            Message::Heartbeat(heartbeat) => controller_index(&heartbeat.controller),
            Message::AssignmentUpdates(_) | Message::Cancelled(_) => None,
        };
        let zone = from.map(|from| Zone::from(ZONES[from]));
        if let Some(until) = zone.and_then(|zone| self.partition_end(controller, Some(&zone))) {
            let delayed = ClusterEvent::PeerMessage {
                controller,
                message,
            };
            return self.schedule(until, delayed);
        }
        self.handle(controller, Event::Peer(message));
    }
}
