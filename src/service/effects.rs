//! Executes the effects of the state machine.
//!
//! Each request is sent by its own task, which queues the result as an event for the event loop. A request that
//! requires an authority, for example a lease, is not sent after the authority has expired, because the process may
//! have been paused since the decision.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tracing::debug;

use super::{EventLoop, PendingReply};
use crate::controller::{Effect, Event};
use crate::domain::{ControllerName, Now};
use crate::http::{Client, Reply, Request, decode_body, encode_body};
use crate::job_api::{RequestId, Response};
use crate::peer::Message;
use crate::workers::wire::Heartbeat;
use crate::workers::{CommandOutcome, DirectCommand};
use crate::{cloud, store};

const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

impl EventLoop {
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::RespondToUser { id, response } => self.respond_to_user(id, response),
            Effect::RespondToWorker {
                id,
                response,
                authority_until,
            } => {
                if let Some(PendingReply::Worker(reply)) = self.pending.remove(&id) {
                    let _ = reply.send((response, authority_until));
                }
            }
            Effect::RespondToHealthCheck { id, healthy } => {
                if let Some(PendingReply::Health(reply)) = self.pending.remove(&id) {
                    let _ = reply.send(healthy);
                }
            }
            Effect::RespondToOperator { id, reply } => {
                if let Some(PendingReply::Operator(pending)) = self.pending.remove(&id) {
                    let _ = pending.send(reply);
                }
            }
            Effect::Store {
                tag,
                request: store_request,
            } => {
                let sent = Now::read().monotonic;
                let request = store::wire::http_request(&store_request);
                self.send_request(&self.client, self.state_addr, request, None, move |reply| {
                    let outcome = store::wire::parse_response(&store_request, reply.as_ref());
                    Event::StoreResponse { tag, sent, outcome }
                });
            }
            Effect::Cloud {
                tag,
                request: cloud_request,
                authority_until,
            } => {
                let request = cloud::wire::http_request(&cloud_request);
                self.send_request(
                    &self.client,
                    self.cloud_addr,
                    request,
                    authority_until,
                    move |reply| {
                        let outcome = cloud::wire::parse_response(&cloud_request, reply.as_ref());
                        Event::CloudResponse { tag, outcome }
                    },
                );
            }
            Effect::Command {
                command,
                authority_until,
            } => self.send_command(command, authority_until),
            Effect::UnsupportedFormat { format } => self.unsupported_format = Some(format),
            Effect::Peer { to, message } => self.send_to_peer(&to, &message),
        }
    }

    fn respond_to_user(&mut self, id: RequestId, response: Response) {
        let Some(PendingReply::User(reply, received_at)) = self.pending.remove(&id) else {
            return;
        };
        if matches!(response, Response::State { status: 201, .. }) {
            let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.controller.metrics().accept_ms.record(elapsed_ms);
        }
        // The client may have disconnected.
        let _ = reply.send(response);
    }

    fn send_command(&mut self, command: DirectCommand, authority_until: Option<Instant>) {
        let Ok(addr) = command.addr.parse() else {
            debug!(machine = %command.machine, addr = command.addr, "command not sent: invalid worker address");
            self.handle(command_event(command, CommandOutcome::Unknown));
            return;
        };
        let now = Now::read().monotonic;
        let request = Request {
            close: !self.recent_commands.try_keep_alive(now),
            ..Request::post(
                "/commands".to_owned(),
                encode_body(&command.body),
                COMMAND_TIMEOUT,
            )
        };
        self.send_request(
            &self.worker_client,
            addr,
            request,
            authority_until,
            move |reply| command_event(command, command_outcome(reply.as_ref())),
        );
    }

    fn send_to_peer(&self, to: &ControllerName, message: &Message) {
        let Some(addr) = self.peer_addrs.get(to).copied() else {
            return;
        };
        let request = Request::post("/peer".to_owned(), encode_body(message), PEER_TIMEOUT);
        let client = self.client.clone();
        // No retry here: the modules that depend on a message send it again.
        tokio::spawn(async move { send(&client, addr, request).await });
    }

    /// Sends a request unless its authority expired at `authority_until`, and queues the event made from the reply or
    /// from the lack of one.
    fn send_request(
        &self,
        client: &Client,
        addr: SocketAddr,
        request: Request,
        authority_until: Option<Instant>,
        event: impl FnOnce(Option<Reply>) -> Event + Send + 'static,
    ) {
        let client = client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = match authority_until {
                Some(until) if Now::read().monotonic >= until => {
                    debug!(%addr, path = request.path, "request not sent: authority expired");
                    None
                }
                _ => send(&client, addr, request).await,
            };
            // Can't fail: the receiver lives as long as the process.
            let _ = events.send(event(reply));
        });
    }
}

/// Sends a request and logs a failure. The state machine handles all failures alike: the request may have been
/// executed.
async fn send(client: &Client, addr: SocketAddr, request: Request) -> Option<Reply> {
    let path = request.path.clone();
    client
        .send(addr, request)
        .await
        .inspect_err(|error| debug!(%addr, path, %error, "request failed: no complete reply"))
        .ok()
}

fn command_outcome(reply: Option<&Reply>) -> CommandOutcome {
    let Some(reply) = reply else {
        return CommandOutcome::Unknown;
    };
    match (reply.status, decode_body::<Heartbeat>(&reply.body)) {
        (200, Ok(heartbeat)) => CommandOutcome::Executed(heartbeat),
        (409, Ok(heartbeat)) => CommandOutcome::Rejected(heartbeat),
        _ => CommandOutcome::Unknown,
    }
}

fn command_event(command: DirectCommand, outcome: CommandOutcome) -> Event {
    Event::CommandCompleted {
        block: command.block,
        machine: command.machine,
        commands: command.body,
        outcome,
    }
}
