//! The messages between workers and controllers, as the protocol spells them.
//!
//! Owns the names of all fields and values on the wire; the rest of the program uses the names of the types here. Messages
//! are CBOR maps. Unknown fields are skipped, and unknown states and causes are read as `Other`, so that workers of a later
//! version can be understood.

use serde::{Deserialize, Serialize};

use crate::domain::{AgentEpoch, Amount, FencingToken, InstanceTypeName, MachineId, TaskId, Zone};

/// A worker's report of its state: a heartbeat, or the response to a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Where the worker takes commands: `host:port`.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine's instance type.
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    /// The machine's zone.
    #[serde(rename = "wing")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The worker's epoch; it grows each time its lease expires.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// The number of the report; it grows with each.
    #[serde(rename = "folio")]
    pub sequence_number: u64,
    /// The highest fencing token that the worker has been shown.
    #[serde(rename = "seal")]
    pub token: FencingToken,
    /// The cloud takes the machine away in so many seconds, if it has said so.
    #[serde(rename = "recallS", default)]
    pub termination_notice_s: Option<Amount>,
    /// The tasks that the worker has or remembers.
    #[serde(rename = "entries")]
    pub tasks: Vec<TaskStatus>,
}

/// A task in a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "entry")]
    pub task: TaskId,
    /// The number of the attempt, in its form on the wire.
    #[serde(rename = "try")]
    pub wire_number: u64,
    /// What it does.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it has exited, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
}

/// What a task on a machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It was told to stop and saves.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// A gang's task that waits for the others of its attempt.
    #[serde(rename = "waiting")]
    Waiting,
    /// It has ended; the worker remembers it until it is reaped.
    #[serde(rename = "exited")]
    Exited,
    /// A state this version does not know: the task is there, that is all.
    #[serde(other)]
    Other,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It finished its work.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// Its start was refused: the machine has not enough free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Its start was refused: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    Busy,
    /// Its start was refused: there is no such task, or its job was not submitted.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A cause this version does not know.
    #[serde(other)]
    Other,
}

/// The response to a heartbeat, and the body of a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The block's fencing token. Workers refuse commands under a lower one than they have been shown.
    #[serde(rename = "seal")]
    pub token: FencingToken,
    /// The epoch that the worker must be in to execute them; only in direct commands.
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<AgentEpoch>,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// One thing for a worker to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum WorkerCommand {
    /// Start a task.
    #[serde(rename = "launch")]
    Launch {
        /// The task.
        #[serde(rename = "entry")]
        task: TaskId,
        /// The number of the attempt, in its form on the wire.
        #[serde(rename = "try")]
        wire_number: u64,
    },
    /// End a task.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "entry")]
        task: TaskId,
        /// The number of the attempt, in its form on the wire.
        #[serde(rename = "try")]
        wire_number: u64,
        /// How long it may save before it is killed, in seconds.
        #[serde(rename = "leaveS")]
        grace_s: f64,
    },
    /// Forget a task that has ended.
    #[serde(rename = "reap")]
    Reap {
        /// The task.
        #[serde(rename = "entry")]
        task: TaskId,
        /// The number of the attempt, in its form on the wire.
        #[serde(rename = "try")]
        wire_number: u64,
    },
}

/// The body of a 421: heartbeats of this machine belong to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RedirectBody {
    /// The controller that holds its block, if known.
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none")]
    pub holder: Option<crate::domain::ControllerName>,
}

#[cfg(test)]
mod tests;
