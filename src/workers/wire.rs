//! The messages between workers and controllers, in their format on the wire.
//!
//! Defines the names of all fields and values on the wire; the rest of the program uses the names of the types here.
//! Messages are CBOR maps. Unknown fields are skipped, and unknown states and causes are read as `Other`, so that
//! messages of workers with a later version can be read.

use serde::{Deserialize, Serialize};

use crate::domain::{AgentEpoch, Amount, FencingToken, InstanceTypeName, MachineId, TaskId, Zone};

/// A worker's report of its state, sent as a heartbeat or as the response to a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// The address at which the worker accepts commands: `host:port`.
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
    /// The worker's epoch, which increases each time its lease expires.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the report.
    #[serde(rename = "folio")]
    pub sequence_number: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "seal")]
    pub token: FencingToken,
    /// The seconds until the cloud terminates the machine, if it has announced that.
    #[serde(rename = "recallS", default)]
    pub termination_notice_s: Option<Amount>,
    /// The tasks that are on the worker, and ended ones that it still lists.
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
    /// The state of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited, if it did.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
}

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It was told to stop and is writing its checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It is a task of a gang and waits for the other tasks of its attempt.
    #[serde(rename = "waiting")]
    Waiting,
    /// It has ended; the worker lists it until it is reaped.
    #[serde(rename = "exited")]
    Exited,
    /// A state that this version does not know. The task is on the machine.
    #[serde(other)]
    Other,
}

/// The reason why a task exited.
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
    /// Its start was refused: the machine does not have enough free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Its start was refused: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    Busy,
    /// Its start was refused: the task does not exist, or its job was not submitted.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// Another task of the gang was lost.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Not all tasks of the gang started in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// The response to a heartbeat, and the body of a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The block's fencing token. Workers reject commands with a lower token than the highest that they have received.
    #[serde(rename = "seal")]
    pub token: FencingToken,
    /// The agent epoch in which the worker must be to execute the commands; only in direct commands.
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<AgentEpoch>,
    /// The commands, in the order in which the worker executes them.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A command to a worker.
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
    /// Stop a task.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "entry")]
        task: TaskId,
        /// The number of the attempt, in its form on the wire.
        #[serde(rename = "try")]
        wire_number: u64,
        /// How long it may take to write its checkpoint before it is killed, in seconds.
        #[serde(rename = "leaveS")]
        grace_s: f64,
    },
    /// Remove the entry of a task that has ended.
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

/// The body of a 421 response: another controller is responsible for the heartbeats of this machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RedirectBody {
    /// The controller that holds the machine's block, if known.
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none")]
    pub holder: Option<crate::domain::ControllerName>,
}

#[cfg(test)]
mod tests;
