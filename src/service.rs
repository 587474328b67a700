//! Runs one controller: turns requests into events for its state machine and its effects into requests.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dappleshore_drain::operator;
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, info};

use crate::config::Config;
use crate::controller::{Controller, Effect, Event};
use crate::domain::{ControllerName, Now};
use crate::features::Features;
use crate::http::server::{self, ConnectionLimiter, IncomingRequest, MAX_QUEUED_REQUESTS};
use crate::http::{Client, Request, read, write};
use crate::job_api::{RequestId, Response};
use crate::policy::Policy;
use crate::store::records::FORMAT;
use crate::workers::wire::Heartbeat;
use crate::workers::{COMMAND_SOCKET_DIVISOR, CommandOutcome, DirectCommand, HeartbeatResponse};
use crate::{cloud, store};

const TICK_INTERVAL: Duration = Duration::from_millis(40);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The few that all controllers talk to.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A controller that takes over for others talks to every worker, and each of them to it: kept for 20 s, that was
/// 2,000 sockets of 2,500.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Sockets kept for other controllers and for what we call ourselves, workers apart.
const INTERNAL_SOCKETS: usize = 150;

/// Who may hold how many of our sockets: a command to a worker may stand for as long as one is kept idle, in both cases
/// one in `COMMAND_SOCKET_DIVISOR`; other controllers and what we call ourselves have a few; the rest is for whoever calls us.
struct ConnectionLimits {
    public: ConnectionLimiter,
    peers: ConnectionLimiter,
}

impl ConnectionLimits {
    fn of(sockets: usize) -> Self {
        let own = INTERNAL_SOCKETS.min(sockets / 4);
        ConnectionLimits {
            public: ConnectionLimiter::new(sockets - own - 2 * (sockets / COMMAND_SOCKET_DIVISOR)),
            peers: ConnectionLimiter::new(own / 2),
        }
    }
}

/// Commands sent lately: as long as there are few, their connections are kept for the next one.
struct RecentCommands {
    most: usize,
    sent: VecDeque<Instant>,
}

impl RecentCommands {
    fn new(most: usize) -> Self {
        RecentCommands {
            most,
            sent: VecDeque::new(),
        }
    }

    /// Notes one more. Whether it would leave too many idle connections behind.
    fn near_limit(&mut self, now: Instant) -> bool {
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > WORKER_IDLE_TIMEOUT)
        {
            self.sent.pop_front();
        }
        if self.sent.len() >= self.most {
            return true;
        }
        self.sent.push_back(now);
        false
    }
}

enum PendingReply {
    User(oneshot::Sender<Response>, Instant),
    Worker(oneshot::Sender<(HeartbeatResponse, Instant)>),
    Health(oneshot::Sender<bool>),
    Operator(oneshot::Sender<operator::Reply>),
}

struct EventLoop {
    controller: Controller,
    client: Client,
    /// For commands to workers.
    workers: Client,
    commanded: RecentCommands,
    results: mpsc::UnboundedSender<Event>,
    waiting: HashMap<RequestId, PendingReply>,
    next: RequestId,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: HashMap<ControllerName, SocketAddr>,
    /// A format of the records that this program does not know.
    unsupported: Option<u32>,
}

/// Runs until the process is killed, a listener can't be opened, or the records turn out to be of a newer version.
pub async fn run(config: Config, policy: Policy, features: Features) -> std::io::Result<()> {
    let (incoming, mut requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let (results, mut answers) = mpsc::unbounded_channel();
    let limits = ConnectionLimits::of(config.max_sockets);
    let public = server::serve(
        config.listen,
        limits.public.clone(),
        server::public_routes(incoming.clone(), limits.public),
    );
    let between = server::serve(
        config.peer_listen,
        limits.peers,
        server::peer_routes(incoming),
    );
    info!(controller = %config.name, zone = %config.zone, listen = %config.listen, "starting");
    let mut event_loop = EventLoop {
        client: Client::new(IDLE_TIMEOUT),
        workers: Client::new(WORKER_IDLE_TIMEOUT),
        commanded: RecentCommands::new(config.max_sockets / COMMAND_SOCKET_DIVISOR),
        results,
        waiting: HashMap::new(),
        next: 0,
        state: config.state,
        cloud: config.cloud,
        peers: config
            .peers
            .iter()
            .map(|peer| (peer.name.clone(), peer.addr))
            .collect(),
        unsupported: None,
        controller: Controller::new(config, policy, rand::random(), Now::read())
            .with_features(features),
    };
    tokio::pin!(public);
    tokio::pin!(between);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            result = &mut public => return result,
            result = &mut between => return result,
            _ = tick.tick() => event_loop.handle(Event::Tick),
            Some(event) = answers.recv() => event_loop.handle(event),
            Some(request) = requests.recv() => event_loop.take(request),
        }
        if let Some(format) = event_loop.unsupported {
            return Err(std::io::Error::other(format!(
                "the records are in format {format}, newer than this version's {FORMAT}: start a newer version"
            )));
        }
    }
}

impl EventLoop {
    fn take(&mut self, request: IncomingRequest) {
        self.next += 1;
        let id = self.next;
        let now = Now::read().monotonic;
        let (waiting, event) = match request {
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
                Event::Operate { id, request },
            ),
            IncomingRequest::Peer(message) => return self.handle(Event::Peer(message)),
            IncomingRequest::Metrics(reply) => {
                // Whoever asked may be gone.
                let _ = reply.send(self.controller.metrics().to_string());
                return;
            }
        };
        self.waiting.insert(id, waiting);
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let began = Now::read();
        let effects = self.controller.handle(began, event);
        self.controller
            .record_event_duration(began, began.monotonic.elapsed());
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::RespondToUser { id, response } => {
                if let Some(PendingReply::User(reply, since)) = self.waiting.remove(&id) {
                    if matches!(response, Response::State { status: 201, .. }) {
                        let took = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                        self.controller.metrics().accept_ms.record(took);
                    }
                    // Whoever asked may be gone.
                    let _ = reply.send(response);
                }
            }
            Effect::RespondToWorker { id, answer, until } => {
                if let Some(PendingReply::Worker(reply)) = self.waiting.remove(&id) {
                    let _ = reply.send((answer, until));
                }
            }
            Effect::RespondToHealthCheck { id, healthy } => {
                if let Some(PendingReply::Health(reply)) = self.waiting.remove(&id) {
                    let _ = reply.send(healthy);
                }
            }
            Effect::RespondToOperator { id, reply } => {
                if let Some(PendingReply::Operator(waiting)) = self.waiting.remove(&id) {
                    // Whoever asked may be gone.
                    let _ = waiting.send(reply);
                }
            }
            Effect::Store { tag, op } => {
                let sent = Now::read().monotonic;
                let request = store::wire::request(&op);
                self.exchange(&self.client, self.state, request, None, move |reply| {
                    let outcome = store::wire::outcome(&op, reply.as_ref());
                    Event::Store { tag, sent, outcome }
                });
            }
            Effect::Cloud { tag, call, until } => {
                let request = cloud::wire::request(&call);
                self.exchange(&self.client, self.cloud, request, until, move |reply| {
                    let outcome = cloud::wire::outcome(&call, reply.as_ref());
                    Event::CloudResponse { tag, outcome }
                });
            }
            Effect::Command { command, until } => {
                let Ok(addr) = command.addr.parse() else {
                    debug!(machine = %command.machine, addr = command.addr, "a worker's address makes no sense");
                    let DirectCommand {
                        block,
                        machine,
                        body,
                        ..
                    } = command;
                    let outcome = CommandOutcome::Unknown;
                    return self.handle(Event::Commanded {
                        block,
                        machine,
                        body,
                        outcome,
                    });
                };
                let close = self.commanded.near_limit(Now::read().monotonic);
                let request = Request::post(
                    "/commands".to_owned(),
                    write(&command.body),
                    COMMAND_TIMEOUT,
                );
                let request = Request { close, ..request };
                self.exchange(&self.workers, addr, request, until, move |reply| {
                    let outcome = match reply {
                        Some(reply) => match (reply.status, read::<Heartbeat>(&reply.body)) {
                            (200, Some(heartbeat)) => CommandOutcome::Executed(heartbeat),
                            (409, Some(heartbeat)) => CommandOutcome::Rejected(heartbeat),
                            _ => CommandOutcome::Unknown,
                        },
                        None => CommandOutcome::Unknown,
                    };
                    Event::Commanded {
                        block: command.block,
                        machine: command.machine,
                        body: command.body,
                        outcome,
                    }
                });
            }
            Effect::Unsupported { format } => self.unsupported = Some(format),
            Effect::Peer { to, message } => {
                let Some(addr) = self.peers.get(&to).copied() else {
                    return;
                };
                let request = Request::post("/peer".to_owned(), write(&message), PEER_TIMEOUT);
                let client = self.client.clone();
                // Lost messages are repeated by whoever needs them.
                tokio::spawn(async move { client.send(addr, request).await });
            }
        }
    }

    fn exchange(
        &self,
        client: &Client,
        addr: SocketAddr,
        request: Request,
        until: Option<Instant>,
        event: impl FnOnce(Option<crate::http::Reply>) -> Event + Send + 'static,
    ) {
        let client = client.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            // We may have stood still since this was decided.
            let reply = match until {
                Some(until) if Now::read().monotonic >= until => None,
                _ => client.send(addr, request).await,
            };
            // The receiver lives as long as the process.
            let _ = results.send(event(reply));
        });
    }
}
