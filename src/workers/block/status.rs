//! Prepares the status messages of a block for the leader.

use super::Block;
use super::TOKEN_RENEWAL_DELAY;
use crate::domain::{FencingToken, MachineId, Now, since};
use crate::peer::{BlockStatus, MachineStatus};
use crate::policy::Policy;
use crate::workers::wire::TaskState;
use crate::workers::worker::{ReportedStatus, Worker};

/// The sequence numbers of the block's status messages. The leader acknowledges the last one that it has received, and
/// the status of a machine is repeated until then.
#[derive(Debug, Default)]
pub(super) struct StatusSequence {
    last_sent: u64,
    last_acknowledged: u64,
}

impl StatusSequence {
    /// Returns the sequence number of the next message.
    fn next(&mut self) -> u64 {
        self.last_sent += 1;
        self.last_sent
    }

    /// Records the last message that the leader has received.
    pub(super) fn acknowledge(&mut self, sequence_number: u64) {
        self.last_acknowledged = self.last_acknowledged.max(sequence_number);
    }

    /// Whether the leader has received the message with this sequence number, or a later one.
    fn is_acknowledged(&self, sequence_number: u64) -> bool {
        sequence_number <= self.last_acknowledged
    }
}

impl Block {
    /// Prepares the next status message. It includes each machine whose last status the leader has not acknowledged.
    pub(in crate::workers) fn status(&mut self, now: Now, policy: &Policy) -> BlockStatus {
        let sequence_number = self.status_sequence.next();
        self.update_reported_statuses(now, policy, sequence_number);
        let unacknowledged = |worker: &Worker| {
            worker
                .reported_status
                .as_ref()
                .filter(|reported| {
                    !self
                        .status_sequence
                        .is_acknowledged(reported.sequence_number)
                })
                .map(|reported| reported.status.clone())
        };
        let mut pending: Vec<u64> = self
            .assignments
            .pending
            .iter()
            .map(|assignment| assignment.attempt.number)
            .collect();
        pending.extend(self.writer.undecided_attempts());
        BlockStatus {
            block: self.id.clone(),
            token: self.token,
            lease_version: self.lease_version,
            last_assignment_update: self.assignments.last_update(),
            pending,
            unplaceable: self.assignments.unplaceable.clone(),
            proven_ended: self
                .proven_ended
                .keys()
                .map(|ended| ended.attempt.number)
                .collect(),
            placements_revision: self.recorded.version(),
            token_renewal_required: self
                .token_renewal
                .needed_since
                .is_some_and(|at| since(now, at) > TOKEN_RENEWAL_DELAY),
            expected_workers: self
                .workers
                .values()
                .filter(|worker| worker.addr.is_some())
                .count() as u32,
            overdue_workers: self.overdue_workers,
            sequence_number,
            machines: self.workers.values().filter_map(unacknowledged).collect(),
            running: self.running_watched_attempts(),
        }
    }

    /// Adds the changed statuses of workers to the message with this sequence number.
    fn update_reported_statuses(&mut self, now: Now, policy: &Policy, sequence_number: u64) {
        for id in std::mem::take(&mut self.workers_to_report) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let status = machine_status(now, id, worker, self.token, policy);
            let unchanged = worker
                .reported_status
                .as_ref()
                .is_some_and(|reported| reported.status == status);
            if !unchanged {
                worker.reported_status = Some(ReportedStatus {
                    status,
                    sequence_number,
                });
            }
        }
    }

    /// Returns the numbers of the watched attempts that their workers report as running.
    fn running_watched_attempts(&self) -> Vec<u64> {
        if !self.assignments.any_watched() {
            return Vec::new();
        }
        self.workers
            .values()
            .flat_map(|worker| worker.tasks.values())
            .filter(|observed| observed.state == TaskState::Running)
            .map(|observed| observed.number)
            .filter(|number| self.assignments.is_watched(*number))
            .collect()
    }
}

/// Returns the status of a machine for the leader.
fn machine_status(
    now: Now,
    machine: MachineId,
    worker: &Worker,
    token: FencingToken,
    policy: &Policy,
) -> MachineStatus {
    MachineStatus {
        machine,
        usable: worker.is_usable(now, token),
        has_reported: worker.liveness.has_reported(),
        unresponsive: worker.is_unresponsive(now, policy),
        termination_notice: worker.termination_notice,
        consecutive_failures: worker.failures.reported_errors(),
        failures_by_job: worker.failures.by_job(),
        images: worker.images.iter().cloned().collect(),
    }
}
