//! What passes between the holder's side and the event loop: commands to workers, their outcomes, responses to heartbeats.

use super::wire::{Heartbeat, WorkerCommands};
use crate::domain::{BlockId, ControllerName, MachineId};

/// A request to a worker, to be sent at once.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommand {
    /// The block of its machine.
    pub block: BlockId,
    /// Its machine.
    pub machine: MachineId,
    /// Where the worker takes commands: `host:port`.
    pub addr: String,
    /// The body of the request.
    pub body: WorkerCommands,
}

/// What became of a direct command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The worker executed it, and reports its state after that.
    Executed(Heartbeat),
    /// The worker refused it, for it shows another token or agent epoch.
    Rejected(Heartbeat),
    /// There was no response: it may be executed, now or later.
    Unknown,
}

/// What a controller responds to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatResponse {
    /// The commands of the worker's holder. They renew the worker's lease.
    Commands(WorkerCommands),
    /// We are not the holder: the worker should report to this controller, or to any other one if `None`.
    Redirect(Option<ControllerName>),
    /// Nobody may respond for the holder now: the block leases that we know of may be outdated.
    Unavailable,
}

/// How much may be written just now, by the rate limit of the state service.
#[derive(Debug, Clone, Copy)]
pub struct WriteAllowance {
    /// The most changes that one transaction should have.
    pub max_changes: usize,
    /// Whether most of what may be written in a second is left.
    pub has_spare_writes: bool,
}
