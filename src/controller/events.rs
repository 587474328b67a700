//! The interface of the controller's state machine: events, effects, and the tag that routes a response of the state
//! service to the module that sent the request.
//!
//! The service and the simulation build events and perform effects. These types have no behaviour.

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

/// The module that sent a request to the state service. Requests of the leader carry their term, so that responses to
/// requests of an earlier term are ignored.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
    /// The cache of the records.
    WatchCache(cache::RequestTag),
    /// Membership and leader election.
    Leadership(leadership::Tag),
    /// A user's request.
    JobApi(RequestId),
    /// The block leases, written by the leader.
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
        /// The version of the block lease under which the placements are written.
        lease_version: u64,
    },
}

/// An input to the controller.
#[derive(Debug)]
pub enum Event {
    /// The periodic timer has fired.
    Tick,
    /// A user submits a job.
    Submit {
        /// The id of the request, repeated in the response.
        id: RequestId,
        /// The body of the request.
        body: Vec<u8>,
    },
    /// A user requests the state of a job.
    Poll {
        /// The id of the request, repeated in the response.
        id: RequestId,
        /// The job's id as the user wrote it.
        job: String,
    },
    /// A user cancels a job.
    Cancel {
        /// The id of the request, repeated in the response.
        id: RequestId,
        /// The job's id as the user wrote it.
        job: String,
    },
    /// The load balancer checks the health of this controller.
    Health {
        /// The id of the request, repeated in the response.
        id: RequestId,
    },
    /// An operator sends a request.
    OperatorRequest {
        /// The id of the request, repeated in the response.
        id: RequestId,
        /// The request.
        request: operator::Request,
    },
    /// A worker sends a heartbeat.
    Heartbeat {
        /// The id of the request, repeated in the response.
        id: RequestId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A request to the state service was answered or has timed out.
    StoreResponse {
        /// The tag of the request.
        tag: StoreTag,
        /// When the request was sent.
        sent: Instant,
        /// The outcome of the request.
        outcome: StoreResponse,
    },
    /// A direct command to a worker was answered or has timed out.
    CommandCompleted {
        /// The block of the worker's machine.
        block: BlockId,
        /// The worker's machine.
        machine: MachineId,
        /// The commands that were sent.
        commands: WorkerCommands,
        /// The outcome of the commands.
        outcome: CommandOutcome,
    },
    /// A request to the cloud was answered or has timed out.
    CloudResponse {
        /// The tag of the request.
        tag: provisioning::CloudRequestPurpose,
        /// The outcome of the request.
        outcome: CloudResponse,
    },
    /// Another controller has sent a message.
    Peer(Message),
}

/// An output of the controller, performed by the service or the simulation.
///
/// `authority_until` is the end of the authority under which the effect was decided. The sender checks it against the
/// clock again before sending. None means that no authority is required.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the state service.
    Store {
        /// The tag, returned with the response.
        tag: StoreTag,
        /// The request.
        request: StoreRequest,
    },
    /// Send commands to a worker.
    Command {
        /// The commands and their destination.
        command: DirectCommand,
        /// The end of the authority.
        authority_until: Option<Instant>,
    },
    /// Send a request to the cloud.
    Cloud {
        /// The tag, returned with the response.
        tag: provisioning::CloudRequestPurpose,
        /// The request.
        request: CloudRequest,
        /// The end of the authority.
        authority_until: Option<Instant>,
    },
    /// Send a message to another controller.
    Peer {
        /// The receiver.
        to: ControllerName,
        /// The message.
        message: Message,
    },
    /// Respond to a user.
    RespondToUser {
        /// The id of the request.
        id: RequestId,
        /// The response.
        response: Response,
    },
    /// Respond to a worker's heartbeat.
    RespondToWorker {
        /// The id of the request.
        id: RequestId,
        /// The response.
        response: HeartbeatResponse,
        /// The end of the authority.
        authority_until: Instant,
    },
    /// Respond to a health check.
    RespondToHealthCheck {
        /// The id of the request.
        id: RequestId,
        /// Whether users should be sent to this controller.
        healthy: bool,
    },
    /// Respond to an operator.
    RespondToOperator {
        /// The id of the request.
        id: RequestId,
        /// The response.
        reply: operator::Reply,
    },
    /// The records are in a newer format than this program supports: the process must exit.
    UnsupportedFormat {
        /// The format of the records.
        format: u32,
    },
}
