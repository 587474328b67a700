//! Messages between the worker fleet and the controller's event loop: direct commands, their outcomes, and responses to
//! heartbeats.

use super::wire::{Heartbeat, WorkerCommands};
use crate::domain::{BlockId, ControllerName, MachineId};

/// A request with commands to a worker, sent without waiting for its next heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommand {
    /// The block of the worker's machine.
    pub block: BlockId,
    /// The worker's machine.
    pub machine: MachineId,
    /// The address at which the worker accepts commands: `host:port`.
    pub addr: String,
    /// The body of the request.
    pub body: WorkerCommands,
}

/// The outcome of a direct command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The worker executed it and responded with its state afterwards.
    Executed(Heartbeat),
    /// The worker rejected it, because its token or agent epoch is not the one in the command.
    Rejected(Heartbeat),
    /// No response arrived: it may have been executed, or may still be.
    Unknown,
}

/// A controller's response to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatResponse {
    /// Commands from the holder of the worker's block. The response renews the worker's lease.
    Commands(WorkerCommands),
    /// This controller is not the holder: the worker should report to the named controller, or to any other one if
    /// `None`.
    Redirect(Option<ControllerName>),
    /// This controller can't tell who the holder is, because its copy of the block leases may be stale.
    Unavailable,
}

/// The writes that the rate limit of the state service allows at the moment.
#[derive(Debug, Clone, Copy)]
pub struct WriteAllowance {
    /// The maximum number of changes in one transaction.
    pub max_changes: usize,
    /// Whether most of the writes allowed per second are still available.
    pub has_spare_writes: bool,
}
