//! The messages between controllers and their wire format.
//!
//! The controller builds and handles them; the HTTP server and client transfer them as CBOR. They are not trusted
//! beyond what the conditions of the state service's transactions allow: a late, lost or repeated message costs time
//! but does not break an invariant.
//!
//! Controllers of two versions exchange messages during an upgrade: names and types on the wire must not change, and
//! a new field needs a default and is omitted while it is empty.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::domain::{
    Attempt, BlockId, ControllerName, FencingToken, Image, Incarnation, JobId, MachineId,
};

/// A message to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a holder to the leader: the status of its blocks.
    Status(ControllerStatus),
    /// To all other controllers, every second.
    #[serde(rename = "Alive")]
    Heartbeat(ControllerHeartbeat),
    /// To all other controllers, immediately after these cancellations were committed.
    Cancelled(Vec<CancelledJob>),
    /// From the leader to a holder: the complete assignments of each of its blocks where they have changed.
    #[serde(rename = "Work")]
    AssignmentUpdates(Vec<AssignmentUpdate>),
}

/// A heartbeat of a controller, with the cancellations that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerHeartbeat {
    /// The sender.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The sender's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Increases with every heartbeat of a process, so that late heartbeats can be ignored.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// Whether the sender reaches the state service.
    #[serde(rename = "reaches_state")]
    pub reaches_state_service: bool,
    /// Cancelled jobs with tasks that may still run, for controllers whose cache does not show the cancellation.
    #[serde(rename = "cancelled")]
    pub cancelled_jobs: Vec<CancelledJob>,
    /// Whether `cancelled_jobs` has every cancellation that this controller or an earlier process of it can have
    /// confirmed to a user.
    #[serde(rename = "complete")]
    pub lists_all_cancellations: bool,
    /// The last heartbeat that the sender has received from each of the other controllers.
    #[serde(rename = "heard")]
    pub last_received: BTreeMap<ControllerName, HeartbeatId>,
}

/// Identifies a heartbeat of a controller. Sent as an array of the two fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u64)", into = "(Incarnation, u64)")]
pub struct HeartbeatId {
    /// The process that sent it.
    pub incarnation: Incarnation,
    /// Its sequence number among the heartbeats of the process.
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

/// A committed cancellation. It is final, so that every controller that learns of it may act on it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The job.
    pub job: JobId,
    /// The version of the job's record with the cancellation. A cache that has reached it takes precedence over a
    /// message.
    pub version: u64,
    /// When the job was cancelled, in milliseconds of Unix time by the clock of the controller that accepted the
    /// request.
    #[serde(rename = "at_ms")]
    pub cancelled_ms: u64,
}

impl CancelledJob {
    /// Creates a cancellation. `version` is that of the job's record, `cancelled_ms` is in milliseconds of Unix time.
    pub fn new(job: JobId, version: u64, cancelled_ms: u64) -> Self {
        CancelledJob {
            job,
            version,
            cancelled_ms,
        }
    }
}

/// The status of a holder's blocks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The holder.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The holder's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The status of each block, or of some blocks if the status is split into several messages.
    pub blocks: Vec<BlockStatus>,
    /// Machines of other holders' blocks that have recently reported to this controller, or some of them if there are
    /// many: a worker whose holder does not respond tries one controller after the other.
    #[serde(rename = "strays")]
    pub misrouted: Vec<MachineId>,
}

/// The maximum number of machines and attempts in one status message, except that a block is never split. The size of a
/// message body between controllers is limited, and one controller may have to hold the blocks of all machines.
const MAX_STATUS_ITEMS_PER_MESSAGE: usize = 1000;

impl ControllerStatus {
    /// Splits the status into messages of limited size, each with some of the blocks.
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

/// The status of a block, reported by its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockStatus {
    /// The block.
    pub block: BlockId,
    /// The token of the block lease.
    pub token: FencingToken,
    /// The version of the block lease.
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// The sequence number of the last assignment update received under this block lease.
    #[serde(rename = "last_work")]
    pub last_assignment_update: u64,
    /// Attempts that may still be recorded as placed. An attempt assigned by `last_assignment_update` or earlier that
    /// is neither listed here nor in the block's placements at `placements_revision` will never be placed.
    pub pending: Vec<u64>,
    /// The pending attempts for which no machine of the block has enough free resources.
    #[serde(rename = "refused")]
    pub unplaceable: Vec<u64>,
    /// Attempts that are proven ended but still recorded as placed. The next write removes them, so that attempts
    /// placed by that write may use their resources.
    #[serde(rename = "ended")]
    pub proven_ended: Vec<u64>,
    /// The revision of the state service that the holder's cached placements have reached.
    #[serde(rename = "revision")]
    pub placements_revision: u64,
    /// Whether the holder requires a new token because of a command with an unknown outcome.
    #[serde(rename = "wants_new_token")]
    pub token_renewal_required: bool,
    /// The number of workers that this holder has an address for.
    #[serde(rename = "expected")]
    pub expected_workers: u32,
    /// The number of these workers whose heartbeat is overdue.
    #[serde(rename = "overdue")]
    pub overdue_workers: u32,
    /// Increases with every message under a block lease. A message that is not newer than the last one is ignored.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// The machines whose status has changed since the last block status that the leader has acknowledged.
    pub machines: Vec<MachineStatus>,
    /// The attempts watched by the leader that have been seen running. The production version does not send this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<u64>,
}

/// The status of a machine, reported by the holder of its block.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the wire format has independent conditions as separate fields"
)]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The machine.
    pub machine: MachineId,
    /// Whether the machine has confirmed the holder's token, reports, and is not about to be terminated.
    pub usable: bool,
    /// Whether the machine has ever reported to this holder.
    #[serde(rename = "seen")]
    pub has_reported: bool,
    /// Whether the worker has sent no heartbeat for too long.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Whether the cloud has announced that it will terminate the machine.
    #[serde(rename = "notice")]
    pub termination_notice: bool,
    /// The number of tasks that ended with an error on this machine since one last succeeded there, as far as this
    /// holder knows. Limited while all failures are of one job.
    #[serde(rename = "errors")]
    pub consecutive_failures: u32,
    /// The task failures on this machine since a task last succeeded there, by job.
    #[serde(rename = "failures")]
    pub failures_by_job: Vec<JobFailures>,
    /// The images that are on the machine.
    pub images: Vec<Image>,
}

/// The number of task failures of a job on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobFailures {
    /// The job.
    pub job: JobId,
    /// The number of failures.
    pub count: u32,
}

/// All assignments of the leader for a block. Since the list is complete, a lost message needs no retransmission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    /// The block.
    pub block: BlockId,
    /// The version of the block lease.
    #[serde(rename = "grant_version")]
    pub lease_version: u64,
    /// Increases with every message of a term.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// The sequence number of the last status of this block that the leader has processed.
    #[serde(rename = "heard")]
    pub last_status: u64,
    /// All tasks that are to be placed in the block.
    #[serde(rename = "want")]
    pub assignments: Vec<Assignment>,
    /// Attempts to stop, for preemption or to drain a machine.
    #[serde(rename = "stop")]
    pub attempts_to_stop: Vec<Attempt>,
    /// The addresses of workers that have not reported to this holder yet, so that it can raise their token
    /// immediately.
    pub addresses: Vec<(MachineId, String)>,
    /// Attempts whose running state the leader needs to know. The production version does not send this field.
    #[serde(rename = "watch", default, skip_serializing_if = "Vec::is_empty")]
    pub watched_attempts: Vec<u64>,
}

/// A task that the leader assigns to a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The attempt of the task.
    pub attempt: Attempt,
    /// The machine that the leader chose. The holder uses it unless its own state shows that the task does not fit
    /// there.
    pub machine: MachineId,
}

#[cfg(test)]
mod tests;
