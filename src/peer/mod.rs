//! The messages between controllers, in the form in which they are sent.
//!
//! The controller builds and handles them, the HTTP server and client carry them as CBOR. None of it is trusted beyond what
//! the state service's conditions allow: a message that is late, lost or repeated costs time, not a rule.
//!
//! Controllers of two versions talk to each other during an upgrade: names and forms on the wire must not change, a new
//! field needs a default and is left out while it holds nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::domain::{
    Attempt, BlockId, ControllerName, FencingToken, Image, Incarnation, JobId, MachineId,
};

/// A message to another controller.
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

/// A controller lives, and these cancellations are known to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerHeartbeat {
    /// The sender.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The sender's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Rises with every heartbeat of a process: one that comes late tells nothing of the present.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// Whether the sender reaches the state service.
    #[serde(rename = "reaches_state")]
    pub reaches_state_service: bool,
    /// Cancelled jobs of which tasks may be left, for those whose copy of the records does not show it.
    #[serde(rename = "cancelled")]
    pub cancelled_jobs: Vec<CancelledJob>,
    /// Whether these are all that this controller or an earlier process of it can have told a user of.
    #[serde(rename = "complete")]
    pub lists_all_cancellations: bool,
    /// The last heartbeat of each of the others that the sender had received.
    #[serde(rename = "heard")]
    pub last_received: BTreeMap<ControllerName, HeartbeatId>,
}

/// Names a heartbeat of a controller. On the wire: an array of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u64)", into = "(Incarnation, u64)")]
pub struct HeartbeatId {
    /// The process that sent it.
    pub incarnation: Incarnation,
    /// Its number among those of the process.
    pub sequence_number: u64,
}

impl From<(Incarnation, u64)> for HeartbeatId {
    fn from((incarnation, sequence_number): (Incarnation, u64)) -> Self {
        HeartbeatId {
            incarnation,
            sequence_number,
        }
    }
}

impl From<HeartbeatId> for (Incarnation, u64) {
    fn from(id: HeartbeatId) -> Self {
        (id.incarnation, id.sequence_number)
    }
}

/// A cancellation that was committed: it is final, so that whoever hears of it may act on it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The job.
    pub job: JobId,
    /// The version of the record that says so. A copy that has got there knows better than a message.
    pub version: u64,
    /// When that was, in milliseconds of Unix time by the clock of the controller that accepted it.
    #[serde(rename = "at_ms")]
    pub cancelled_ms: u64,
}

impl CancelledJob {
    /// `version`: of the job's record. `cancelled_ms`: milliseconds of Unix time.
    pub fn new(job: JobId, version: u64, cancelled_ms: u64) -> Self {
        CancelledJob {
            job,
            version,
            cancelled_ms,
        }
    }
}

/// How the blocks of a holder are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The holder.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The holder's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Its blocks.
    pub blocks: Vec<BlockStatus>,
    /// Machines of others' blocks that have reported here lately, some of them if they are many: they go from
    /// controller to controller if their holder does not answer.
    #[serde(rename = "strays")]
    pub misrouted: Vec<MachineId>,
}

/// Machines and attempts in one message. A body between controllers is limited, and one controller may have to hold all
/// machines there are.
const MAX_STATUS_ITEMS_PER_MESSAGE: usize = 1000;

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
        let mut items = 0;
        for block in blocks {
            let block_items = block.machines.len() + block.pending.len() + block.proven_ended.len();
            if items > 0 && items + block_items > MAX_STATUS_ITEMS_PER_MESSAGE {
                items = 0;
                messages.push(ControllerStatus {
                    controller: controller.clone(),
                    incarnation,
                    blocks: Vec::new(),
                    misrouted: Vec::new(),
                });
            }
            items += block_items;
            if let Some(message) = messages.last_mut() {
                message.blocks.push(block);
            }
        }
        messages
    }
}

/// How a block is, by its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockStatus {
    /// The block.
    pub block: BlockId,
    /// The token of the block lease.
    pub token: FencingToken,
    /// The version of the block lease.
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// The number of the last assignment update received under this block lease.
    #[serde(rename = "last_work")]
    pub last_assignment_update: u64,
    /// Attempts that may still be recorded as placed. What the leader wanted by `last_assignment_update` and is neither
    /// here nor in the block's placements of `revision` never will be.
    pub pending: Vec<u64>,
    /// Those of them for which no machine here has room.
    #[serde(rename = "refused")]
    pub unplaceable: Vec<u64>,
    /// Attempts proven gone whose record still stands. The next write removes them, so that what it places may
    /// have their room.
    #[serde(rename = "ended")]
    pub proven_ended: Vec<u64>,
    /// The revision of the state service that the holder's copy of the placements has reached.
    #[serde(rename = "revision")]
    pub placements_revision: u64,
    /// The token must be renewed: a command of unknown outcome stands in the way.
    #[serde(rename = "wants_new_token")]
    pub token_renewal_required: bool,
    /// Workers that this holder has heard from or could ask.
    #[serde(rename = "expected")]
    pub expected_workers: u32,
    /// How many of them are overdue.
    #[serde(rename = "overdue")]
    pub overdue_workers: u32,
    /// Rises with every message under a block lease. A message that is not newer than the last one is late.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// The machines that have changed since the last status that the leader is known to have received.
    pub machines: Vec<MachineStatus>,
    /// The attempts that the leader watches and that were seen to run. Production does not tell.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<u64>,
}

/// How a machine is, by the holder of its block.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the form on the wire: conditions that hold independently of each other"
)]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The machine.
    pub machine: MachineId,
    /// Has shown our token, reports, and is not being taken away.
    pub usable: bool,
    /// Has reported to this holder at all.
    #[serde(rename = "seen")]
    pub has_reported: bool,
    /// Has sent no heartbeat for too long.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// The cloud has announced that it takes the machine away.
    #[serde(rename = "notice")]
    pub termination_notice: bool,
    /// Tasks that failed here one after the other, as far as this holder knows.
    #[serde(rename = "errors")]
    pub consecutive_failures: u32,
    /// Of which jobs tasks have failed here since one was done.
    #[serde(rename = "failures")]
    pub failures_by_job: Vec<JobFailures>,
    /// The images that are on the machine.
    pub images: Vec<Image>,
}

/// How often tasks of a job have failed on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobFailures {
    /// The job.
    pub job: JobId,
    /// The failures.
    pub count: u32,
}

/// The whole of what the leader wants of a block, so that a lost message needs no repeat of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    /// The block.
    pub block: BlockId,
    /// The version of the block lease.
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// Rises with every message of a term.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// The number of the last status of this block that the leader has processed.
    #[serde(rename = "heard")]
    pub last_status: u64,
    #[serde(rename = "want")]
    /// All tasks that are to be placed in the block.
    pub assignments: Vec<Assignment>,
    /// Tasks to be stopped, to make room or to drain a machine.
    #[serde(rename = "stop")]
    pub attempts_to_stop: Vec<Attempt>,
    /// Where workers are that this holder has not heard from yet, so that it can raise their token at once.
    pub addresses: Vec<(MachineId, String)>,
    /// Attempts of which the leader needs to know whether they run. Production does not ask.
    #[serde(rename = "watch", default, skip_serializing_if = "Vec::is_empty")]
    pub watched_attempts: Vec<u64>,
}

/// A task that the leader assigns to a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The attempt of the task.
    pub attempt: Attempt,
    /// Where the leader found room. The holder takes it unless it knows better.
    pub machine: MachineId,
}

#[cfg(test)]
mod tests;
