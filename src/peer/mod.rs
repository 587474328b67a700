//! What controllers say to each other. None of it is trusted beyond what the state service's conditions allow:
//! a message that is late, lost or repeated costs time, not a rule.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::domain::{
    Attempt, BlockId, ControllerName, FencingToken, Image, Incarnation, JobId, MachineId,
};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Holder to leader: how its blocks are.
    Status(ControllerStatus),
    /// To everyone, every second.
    #[serde(rename = "Alive")]
    Heartbeat(ControllerHeartbeat),
    /// To everyone, at once: these were just committed.
    Cancelled(Vec<CancelledJob>),
    /// Leader to holder: all the tasks it wants placed in those of its blocks where something is new.
    #[serde(rename = "Work")]
    AssignmentUpdates(Vec<AssignmentUpdate>),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerHeartbeat {
    #[serde(rename = "node")]
    pub controller: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Rises with every message of a process: one that comes late is no sign of life.
    pub number: u64,
    pub reaches_state: bool,
    /// Cancelled jobs of which tasks may be left, for those whose copy of the records does not show it.
    pub cancelled: Vec<CancelledJob>,
    /// Whether these are all that this controller or an earlier process of it can have told a user of.
    pub complete: bool,
    /// The last sign of life of each of the others, by process and number, that came before this was said.
    pub heard: BTreeMap<ControllerName, (Incarnation, u64)>,
}

/// A cancellation that was committed: it is final, so that whoever hears of it may act on it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CancelledJob {
    pub job: JobId,
    /// The version of the record that says so. A copy that has got there knows better than a message.
    pub version: u64,
    /// When that was, by the time of day of whoever took it in.
    pub at_ms: u64,
}

impl CancelledJob {
    pub fn new(job: JobId, version: u64, at_ms: u64) -> Self {
        CancelledJob {
            job,
            version,
            at_ms,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    #[serde(rename = "node")]
    pub controller: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    pub blocks: Vec<BlockStatus>,
    /// Machines of others' blocks that have reported here lately, some of them if they are many: they go from
    /// controller to controller if their holder does not answer.
    #[serde(rename = "strays")]
    pub misrouted: Vec<MachineId>,
}

/// Machines and attempts told of in one message. A body between controllers is limited, and one controller may have to
/// hold all machines there are.
pub const STATUS_ITEMS_PER_MESSAGE: usize = 1000;

impl ControllerStatus {
    /// The same in as many messages as it takes, each about some of the blocks.
    pub fn into_messages(self) -> Vec<ControllerStatus> {
        let ControllerStatus {
            controller,
            incarnation,
            blocks,
            misrouted,
        } = self;
        let mut messages = vec![ControllerStatus {
            controller: controller.clone(),
            incarnation,
            blocks: Vec::new(),
            misrouted,
        }];
        let mut told = 0;
        for block in blocks {
            let more = block.machines.len() + block.pending.len() + block.ended.len();
            if told > 0 && told + more > STATUS_ITEMS_PER_MESSAGE {
                told = 0;
                messages.push(ControllerStatus {
                    controller: controller.clone(),
                    incarnation,
                    blocks: Vec::new(),
                    misrouted: Vec::new(),
                });
            }
            told += more;
            if let Some(message) = messages.last_mut() {
                message.blocks.push(block);
            }
        }
        messages
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockStatus {
    pub block: BlockId,
    pub token: FencingToken,
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// The last work message seen under this block lease.
    #[serde(rename = "last_work")]
    pub last_assignment_update: u64,
    /// Attempts that may still be recorded as placed. What the leader wanted by `last_assignment_update` and is neither
    /// here nor in the block's placements of `revision` never will be.
    pub pending: Vec<u64>,
    /// Those of them for which no machine here has room.
    pub refused: Vec<u64>,
    /// Attempts proven gone whose record still stands. The next write removes them, so that what it places may
    /// have their room.
    pub ended: Vec<u64>,
    pub revision: u64,
    /// The token must be renewed: a command of unknown outcome stands in the way.
    #[serde(rename = "wants_new_token")]
    pub token_renewal_required: bool,
    /// Workers that this holder has heard from or could ask, and how many of them are overdue.
    pub expected: u32,
    pub overdue: u32,
    /// Rises with every message under a block lease. A message that is not newer than the last one is late.
    pub number: u64,
    /// The machines that have changed since the last message that the leader is known to have heard.
    pub machines: Vec<MachineStatus>,
    /// The attempts that the leader watches and that were seen to run. Production does not tell.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    pub machine: MachineId,
    /// Has shown our token, reports, and is not being taken away.
    pub usable: bool,
    /// Has reported to this holder at all.
    pub seen: bool,
    /// Gives no sign of life.
    pub silent: bool,
    pub notice: bool,
    /// Tasks that failed here one after the other, as far as this holder knows.
    pub errors: u32,
    /// Of which jobs tasks have failed here since one was done.
    pub failures: Vec<JobFailures>,
    pub images: Vec<Image>,
}

/// How often tasks of a job have failed on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobFailures {
    pub job: JobId,
    pub count: u32,
}

/// The whole of what the leader wants of a block, so that a lost message needs no repeat of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    pub block: BlockId,
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// Rises with every message of a term.
    pub number: u64,
    /// The last status of this block that the leader has taken in.
    #[serde(rename = "heard")]
    pub last_status: u64,
    #[serde(rename = "want")]
    pub assignments: Vec<Assignment>,
    /// Tasks to be stopped, to make room or to drain a machine.
    pub stop: Vec<Attempt>,
    /// Where workers are that this holder has not heard from yet, so that it can raise their token at once.
    pub addresses: Vec<(MachineId, String)>,
    /// Attempts of which the leader needs to know whether they run. Production does not ask.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub watch: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    pub attempt: Attempt,
    /// Where the leader found room. The holder takes it unless it knows better.
    pub machine: MachineId,
}

#[cfg(test)]
mod tests;
