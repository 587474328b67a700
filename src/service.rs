//! Runs one controller: turns requests into events for its state machine and its effects into requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tracing::{debug, info};

use crate::config::Config;
use crate::domain::{NodeName, Now};
use crate::fleet::wire::Report;
use crate::fleet::{Answer, CommandOutcome};
use crate::http::server::{self, Incoming, MOST_WAITING};
use crate::http::{Client, Request, read, write};
use crate::intake::{RequestId, Response};
use crate::node::{Effect, Event, Node};
use crate::policy::Policy;
use crate::{provisioning, store};

const TICK: Duration = Duration::from_millis(40);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The few that all controllers talk to.
const IDLE: Duration = Duration::from_secs(20);
/// A controller that takes over for others talks to every worker, and each of them to it: kept for 20 s, that was
/// 2,000 sockets of 2,500.
const WORKER_IDLE: Duration = Duration::from_secs(2);
/// Sockets kept for what we call ourselves.
const OWN_SOCKETS: usize = 300;

enum Waiting {
    User(oneshot::Sender<Response>, Instant),
    Worker(oneshot::Sender<Answer>),
    Health(oneshot::Sender<bool>),
}

struct Runner {
    node: Node,
    client: Client,
    /// For commands to workers.
    workers: Client,
    results: mpsc::UnboundedSender<Event>,
    waiting: HashMap<RequestId, Waiting>,
    next: RequestId,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: HashMap<NodeName, SocketAddr>,
}

/// Runs until the process is killed, or a listener can't be opened.
pub async fn run(config: Config, policy: Policy) -> std::io::Result<()> {
    let (incoming, mut requests) = mpsc::channel(MOST_WAITING);
    let (results, mut answers) = mpsc::unbounded_channel();
    let sockets = config.max_sockets.saturating_sub(OWN_SOCKETS).max(config.max_sockets / 2);
    let public = server::serve(config.listen, sockets, server::public(incoming.clone()));
    let between = server::serve(config.peer_listen, OWN_SOCKETS / 4, server::between_controllers(incoming));
    info!(node = %config.name, zone = %config.zone, listen = %config.listen, "starting");
    let mut runner = Runner {
        client: Client::new(IDLE),
        workers: Client::new(WORKER_IDLE),
        results,
        waiting: HashMap::new(),
        next: 0,
        state: config.state,
        cloud: config.cloud,
        peers: config.peers.iter().map(|peer| (peer.name.clone(), peer.addr)).collect(),
        node: Node::new(config, policy, rand::random(), Now::read()),
    };
    tokio::pin!(public);
    tokio::pin!(between);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            result = &mut public => return result,
            result = &mut between => return result,
            _ = tick.tick() => runner.handle(Event::Tick),
            Some(event) = answers.recv() => runner.handle(event),
            Some(request) = requests.recv() => runner.take(request),
        }
    }
}

impl Runner {
    fn take(&mut self, request: Incoming) {
        self.next += 1;
        let id = self.next;
        let now = Now::read().steady;
        let (waiting, event) = match request {
            Incoming::Submit(body, reply) => (Waiting::User(reply, now), Event::Submit { id, body: body.to_vec() }),
            Incoming::Poll(job, reply) => (Waiting::User(reply, now), Event::Poll { id, job }),
            Incoming::Cancel(job, reply) => (Waiting::User(reply, now), Event::Cancel { id, job }),
            Incoming::Health(reply) => (Waiting::Health(reply), Event::Health { id }),
            Incoming::Report(report, reply) => (Waiting::Worker(reply), Event::Report { id, report }),
            Incoming::Peer(message) => return self.handle(Event::Peer(message)),
            Incoming::Metrics(reply) => {
                // Whoever asked may be gone.
                let _ = reply.send(self.node.metrics().show());
                return;
            }
        };
        self.waiting.insert(id, waiting);
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let began = Now::read();
        let effects = self.node.handle(began, event);
        self.node.took(began, began.steady.elapsed());
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { id, response } => {
                if let Some(Waiting::User(reply, since)) = self.waiting.remove(&id) {
                    if matches!(response, Response::State { status: 201, .. }) {
                        let took = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                        self.node.metrics().accept_ms.record(took);
                    }
                    // Whoever asked may be gone.
                    let _ = reply.send(response);
                }
            }
            Effect::AnswerWorker { id, answer } => {
                if let Some(Waiting::Worker(reply)) = self.waiting.remove(&id) {
                    let _ = reply.send(answer);
                }
            }
            Effect::AnswerHealth { id, healthy } => {
                if let Some(Waiting::Health(reply)) = self.waiting.remove(&id) {
                    let _ = reply.send(healthy);
                }
            }
            Effect::Store { tag, op } => {
                let sent = Now::read().steady;
                let request = store::wire::request(&op);
                self.exchange(&self.client, self.state, request, move |reply| {
                    let outcome = store::wire::outcome(&op, reply.as_ref());
                    Event::Store { tag, sent, outcome }
                });
            }
            Effect::Call { tag, call } => {
                let request = provisioning::wire::request(&call);
                self.exchange(&self.client, self.cloud, request, move |reply| {
                    let outcome = provisioning::wire::outcome(&call, reply.as_ref());
                    Event::Called { tag, outcome }
                });
            }
            Effect::Command(command) => {
                let Ok(addr) = command.addr.parse() else {
                    debug!(machine = %command.machine, addr = command.addr, "a worker's address makes no sense");
                    return;
                };
                let request = Request::post("/commands".to_owned(), write(&command.body), COMMAND_TIMEOUT);
                self.exchange(&self.workers, addr, request, move |reply| {
                    let outcome = match reply {
                        Some(reply) => match (reply.status, read::<Report>(&reply.body)) {
                            (200, Some(report)) => CommandOutcome::Executed(report),
                            (409, Some(report)) => CommandOutcome::Rejected(report),
                            _ => CommandOutcome::Unknown,
                        },
                        None => CommandOutcome::Unknown,
                    };
                    Event::Commanded { block: command.block, machine: command.machine, body: command.body, outcome }
                });
            }
            Effect::Peer { to, message } => {
                let Some(addr) = self.peers.get(&to).copied() else { return };
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
        event: impl FnOnce(Option<crate::http::Reply>) -> Event + Send + 'static,
    ) {
        let client = client.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let reply = client.send(addr, request).await;
            // The receiver lives as long as the process.
            let _ = results.send(event(reply));
        });
    }
}
