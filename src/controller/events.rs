//! What a controller is given and what it asks for: events, effects, and the tag that leads the response of the state
//! service back to the module that sent the request.
//!
//! The service and the simulation build events and carry out effects; nothing here has behaviour of its own.

use std::time::Instant;

use dappleshore_drain::operator;

use crate::cloud::{CloudRequest, CloudResponse};
use crate::domain::{BlockId, ControllerName, MachineId, Term};
use crate::job_api::{RequestId, Response};
use crate::peer::Message;
use crate::store::{StoreRequest, StoreResponse, cache};
use crate::workers::wire::{Heartbeat, WorkerCommands};
use crate::workers::{CommandOutcome, DirectCommand, HeartbeatResponse};
use crate::{leadership, provisioning};

/// Which module sent a request to the state service. What belongs to a term names it, so that a response for an earlier
/// term is ignored.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
    /// The local copy of the records.
    WatchCache(cache::Tag),
    /// Membership and leader election.
    Leadership(leadership::Tag),
    /// A user's request.
    JobApi(RequestId),
    /// The leases of the blocks, written by the leader.
    BlockLeases(Term),
    /// The switch of the record format.
    Upgrade,
    /// The machine inventory, written by the leader.
    Provisioning(Term),
    /// The jobs' progress, written by the leader.
    Scheduler(Term),
    /// The states of drains, written by the leader.
    Draining(Term),
    /// An operator's request.
    Operations,
    /// The placements of a block, written by its holder.
    Block {
        /// The block.
        block: BlockId,
        /// The version of the block lease under which they are written.
        lease_version: u64,
    },
}

/// Something that has happened and that a controller must handle.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A user submits a job.
    Submit {
        /// Names the request in its response.
        id: RequestId,
        /// The body of the request.
        body: Vec<u8>,
    },
    /// A user asks for the state of a job.
    Poll {
        /// Names the request in its response.
        id: RequestId,
        /// The job's id as the user wrote it.
        job: String,
    },
    /// A user cancels a job.
    Cancel {
        /// Names the request in its response.
        id: RequestId,
        /// The job's id as the user wrote it.
        job: String,
    },
    /// The load balancer checks this controller's health.
    Health {
        /// Names the request in its response.
        id: RequestId,
    },
    /// An operator sends a request.
    OperatorRequest {
        /// Names the request in its response.
        id: RequestId,
        /// The request.
        request: operator::Request,
    },
    /// A worker sends its heartbeat.
    Heartbeat {
        /// Names the request in its response.
        id: RequestId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The state service has responded, or has not in time.
    StoreResponse {
        /// The tag of the request.
        tag: StoreTag,
        /// When the request was sent.
        sent: Instant,
        /// What became of it.
        outcome: StoreResponse,
    },
    /// A worker has answered a direct command, or has not in time.
    CommandCompleted {
        /// The block of the worker's machine.
        block: BlockId,
        /// The worker's machine.
        machine: MachineId,
        /// The commands that were sent.
        commands: WorkerCommands,
        /// What became of them.
        outcome: CommandOutcome,
    },
    /// The cloud has responded, or has not in time.
    CloudResponse {
        /// The tag of the request.
        tag: provisioning::CloudRequestPurpose,
        /// What became of it.
        outcome: CloudResponse,
    },
    /// Another controller has sent a message.
    Peer(Message),
}

/// What a controller asks whoever runs it to do.
///
/// `authority_until`: the end of the authority under which it was decided. The sender compares it with the clock once more; without
/// one no authority is needed.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the state service.
    Store {
        /// Comes back with the response.
        tag: StoreTag,
        /// The request.
        request: StoreRequest,
    },
    /// Send commands to a worker.
    Command {
        /// The commands and where they go.
        command: DirectCommand,
        /// The end of the authority.
        authority_until: Option<Instant>,
    },
    /// Send a request to the cloud.
    Cloud {
        /// Comes back with the response.
        tag: provisioning::CloudRequestPurpose,
        /// The request.
        request: CloudRequest,
        /// The end of the authority.
        authority_until: Option<Instant>,
    },
    /// Send a message to another controller.
    Peer {
        /// The controller.
        to: ControllerName,
        /// The message.
        message: Message,
    },
    /// Respond to a user.
    RespondToUser {
        /// The request.
        id: RequestId,
        /// The response.
        response: Response,
    },
    /// Respond to a worker's heartbeat.
    RespondToWorker {
        /// The request.
        id: RequestId,
        /// The response.
        response: HeartbeatResponse,
        /// The end of the authority.
        authority_until: Instant,
    },
    /// Respond to a health check.
    RespondToHealthCheck {
        /// The request.
        id: RequestId,
        /// Whether users should be sent to this controller.
        healthy: bool,
    },
    /// Respond to an operator.
    RespondToOperator {
        /// The request.
        id: RequestId,
        /// The response.
        reply: operator::Reply,
    },
    /// The records are in a format newer than this program knows: the process must end.
    UnsupportedFormat {
        /// The format of the records.
        format: u32,
    },
}
