//! What workers and controllers say to each other, as PROTOCOL spells it.

use serde::{Deserialize, Serialize};

use crate::domain::{AgentEpoch, Amount, FencingToken, InstanceTypeName, MachineId, TaskId, Zone};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "berth")]
    pub machine: MachineId,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    #[serde(rename = "wing")]
    pub zone: Zone,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    #[serde(rename = "folio")]
    pub seq: u64,
    #[serde(rename = "seal")]
    pub token: FencingToken,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<Amount>,
    #[serde(rename = "entries")]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "entry")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub number: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    /// A gang's task that waits for the others of its attempt.
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "exited")]
    Exited,
    /// A state this version does not know: the task is there, that is all.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    PeerGone,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Incomplete,
    #[serde(other)]
    Other,
}

/// The answer to a heartbeat, and the body of a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommands {
    #[serde(rename = "seal")]
    pub token: FencingToken,
    /// Only in direct commands.
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<AgentEpoch>,
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum WorkerCommand {
    #[serde(rename = "launch")]
    Launch {
        #[serde(rename = "entry")]
        task: TaskId,
        #[serde(rename = "try")]
        number: u64,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "entry")]
        task: TaskId,
        #[serde(rename = "try")]
        number: u64,
        #[serde(rename = "leaveS")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Reap {
        #[serde(rename = "entry")]
        task: TaskId,
        #[serde(rename = "try")]
        number: u64,
    },
}

/// 421: heartbeats of this machine belong elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "clerk", skip_serializing_if = "Option::is_none")]
    pub holder: Option<crate::domain::ControllerName>,
}

#[cfg(test)]
mod tests;
