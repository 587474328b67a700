//! Runs one controller: turns requests, replies and ticks into events for its state machine, and the resulting effects
//! into requests and replies.
//!
//! The binary calls [`run`]. One task owns the state machine and handles one event at a time. The listeners and each
//! outgoing request run in their own tasks and communicate with it through channels. Therefore the state machine
//! needs no lock, and must never block.

mod effects;
mod sockets;

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dappleshore_drain::operator;
use tokio::sync::{mpsc, oneshot};
use tracing::info;

use crate::config::Config;
use crate::controller::{Controller, Event};
use crate::domain::{ControllerName, Now};
use crate::features::Features;
use crate::http::Client;
use crate::http::connections::serve;
use crate::http::server::{IncomingRequest, MAX_QUEUED_REQUESTS, peer_routes, public_routes};
use crate::job_api::{RequestId, Response};
use crate::policy::Policy;
use crate::store::records::NEWEST_FORMAT;
use crate::workers::{COMMAND_SOCKET_DIVISOR, HeartbeatResponse};
use sockets::{ConnectionLimits, IDLE_TIMEOUT, RecentCommands, WORKER_IDLE_TIMEOUT};

const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// The reason why a controller can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener's address can't be bound.
    #[error("can't listen on {address} (setting `{setting}`): {cause}")]
    Listen {
        /// The name of the setting in the settings file.
        setting: &'static str,
        /// The address in the setting.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        cause: std::io::Error,
    },
    /// The stored records have a format of a newer version.
    #[error(
        "the stored records have format {format}, but this version supports only {NEWEST_FORMAT} and older: start a newer version"
    )]
    UnsupportedFormat {
        /// The format of the records.
        format: u32,
    },
}

/// The channel for the reply to a request.
enum PendingReply {
    /// For a user's request, with its time of arrival.
    User(oneshot::Sender<Response>, Instant),
    /// For a worker's heartbeat. The reply is sent with the time at which the authority to send it expires.
    Worker(oneshot::Sender<(HeartbeatResponse, Instant)>),
    Health(oneshot::Sender<bool>),
    Operator(oneshot::Sender<operator::Reply>),
}

struct EventLoop {
    controller: Controller,
    /// The client for all requests except commands to workers.
    client: Client,
    /// The client for commands to workers.
    worker_client: Client,
    recent_commands: RecentCommands,
    /// Queues the events of the tasks that send requests.
    events: mpsc::UnboundedSender<Event>,
    pending: HashMap<RequestId, PendingReply>,
    last_request_id: RequestId,
    state_addr: SocketAddr,
    cloud_addr: SocketAddr,
    peer_addrs: HashMap<ControllerName, SocketAddr>,
    /// The format of the stored records if this version does not support it.
    unsupported_format: Option<u32>,
}

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// A listener can't be opened, or the stored records have a format of a newer version.
pub async fn run(
    config: Config,
    policy: Policy,
    features: Features,
) -> Result<Infallible, ServeError> {
    let (incoming, mut requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let (events, mut queued_events) = mpsc::unbounded_channel();
    let limits = ConnectionLimits::new(config.max_sockets);
    let (listen, peer_listen) = (config.listen_addr, config.peer_listen_addr);
    let public = serve(
        listen,
        limits.public.clone(),
        public_routes(incoming.clone(), limits.public),
    );
    let peers = serve(peer_listen, limits.peers, peer_routes(incoming));
    info!(controller = %config.name, zone = %config.zone, %listen, "service starting");
    let mut event_loop = EventLoop::new(config, policy, features, events);
    tokio::pin!(public);
    tokio::pin!(peers);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            result = &mut public => return result.map_err(|cause| ServeError::Listen {
                setting: "bind",
                address: listen,
                cause,
            }),
            result = &mut peers => return result.map_err(|cause| ServeError::Listen {
                setting: "back",
                address: peer_listen,
                cause,
            }),
            _ = tick.tick() => event_loop.handle(Event::Tick),
            Some(event) = queued_events.recv() => event_loop.handle(event),
            Some(request) = requests.recv() => event_loop.handle_request(request),
        }
        if let Some(format) = event_loop.unsupported_format {
            return Err(ServeError::UnsupportedFormat { format });
        }
    }
}

impl EventLoop {
    fn new(
        config: Config,
        policy: Policy,
        features: Features,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        EventLoop {
            client: Client::new(IDLE_TIMEOUT),
            worker_client: Client::new(WORKER_IDLE_TIMEOUT),
            recent_commands: RecentCommands::new(config.max_sockets / COMMAND_SOCKET_DIVISOR),
            events,
            pending: HashMap::new(),
            last_request_id: 0,
            state_addr: config.state_addr,
            cloud_addr: config.cloud_addr,
            peer_addrs: config
                .peers
                .iter()
                .map(|peer| (peer.name.clone(), peer.addr))
                .collect(),
            unsupported_format: None,
            controller: Controller::new(config, policy, rand::random(), Now::read())
                .with_features(features),
        }
    }

    /// Passes a request to the state machine and keeps the channel for its reply.
    fn handle_request(&mut self, request: IncomingRequest) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        let now = Now::read().monotonic;
        let (pending, event) = match request {
            IncomingRequest::Submit(body, reply) => (
                PendingReply::User(reply, now),
                Event::Submit {
                    id,
                    body: body.to_vec(),
                },
            ),
            IncomingRequest::Poll(job, reply) => {
                (PendingReply::User(reply, now), Event::Poll { id, job })
            }
            IncomingRequest::Cancel(job, reply) => {
                (PendingReply::User(reply, now), Event::Cancel { id, job })
            }
            IncomingRequest::Health(reply) => (PendingReply::Health(reply), Event::Health { id }),
            IncomingRequest::Heartbeat(heartbeat, reply) => (
                PendingReply::Worker(reply),
                Event::Heartbeat { id, heartbeat },
            ),
            IncomingRequest::Operate(request, reply) => (
                PendingReply::Operator(reply),
                Event::OperatorRequest { id, request },
            ),
            IncomingRequest::Peer(message) => return self.handle(Event::Peer(message)),
            IncomingRequest::Metrics(reply) => {
                // The client may have disconnected.
                let _ = reply.send(self.controller.metrics().to_string());
                return;
            }
        };
        self.pending.insert(id, pending);
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let started = Now::read();
        let effects = self.controller.handle(started, event);
        self.controller
            .record_event_duration(started, started.monotonic.elapsed());
        for effect in effects {
            self.execute(effect);
        }
    }
}

#[cfg(test)]
mod tests;
