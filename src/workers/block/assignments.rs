//! The leader's assignments for a block, and which of them are still to be done.

use std::collections::{BTreeSet, HashSet};

use super::Block;
use crate::domain::{Attempt, MachineId};
use crate::peer::{Assignment, AssignmentUpdate};

/// The leader's assignments for a block.
#[derive(Debug, Default)]
pub(super) struct Assignments {
    /// The sequence number of the last update that was applied.
    last_update: u64,
    /// The attempts that are still to be placed.
    pub(super) pending: Vec<Assignment>,
    /// The numbers of attempts that were placed. The leader may not know that yet and may repeat their assignments.
    placed: HashSet<u64>,
    /// The numbers of pending attempts that fitted no machine when the last transaction was prepared.
    pub(super) unplaceable: Vec<u64>,
    /// The attempts that the leader wants to be stopped.
    stop_requests: HashSet<Attempt>,
    /// The numbers of attempts for which the leader needs to know whether they run.
    watched: HashSet<u64>,
}

impl Assignments {
    /// Clears the assignments of an earlier leader.
    pub(super) fn clear(&mut self) {
        self.last_update = 0;
        self.pending.clear();
        self.placed.clear();
        self.stop_requests.clear();
        self.watched.clear();
    }

    /// Returns the sequence number of the last update that was applied.
    pub(super) fn last_update(&self) -> u64 {
        self.last_update
    }

    /// Whether the attempt with this number is still to be placed.
    pub(super) fn is_pending(&self, number: u64) -> bool {
        self.pending
            .iter()
            .any(|assignment| assignment.attempt.number == number)
    }

    /// Records that the attempt with this number has been placed.
    pub(super) fn record_placed(&mut self, number: u64) {
        self.placed.insert(number);
        self.pending
            .retain(|assignment| assignment.attempt.number != number);
    }

    /// Whether the leader wants the attempt to be stopped.
    pub(super) fn is_stop_requested(&self, attempt: &Attempt) -> bool {
        self.stop_requests.contains(attempt)
    }

    /// Whether the leader watches any attempt.
    pub(super) fn any_watched(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Whether the leader needs to know whether the attempt with this number runs.
    pub(super) fn is_watched(&self, number: u64) -> bool {
        self.watched.contains(&number)
    }

    /// Replaces the attempts to be placed. `recorded`: the numbers of attempts that are placed already.
    fn replace_pending(&mut self, assignments: Vec<Assignment>, recorded: &HashSet<u64>) {
        let assigned: HashSet<u64> = assignments
            .iter()
            .map(|assignment| assignment.attempt.number)
            .collect();
        self.placed.retain(|number| assigned.contains(number));
        let placed = &self.placed;
        self.pending = assignments
            .into_iter()
            .filter(|assignment| {
                let number = assignment.attempt.number;
                !placed.contains(&number) && !recorded.contains(&number)
            })
            .collect();
    }
}

impl Block {
    /// Applies an update of the leader's assignments. An update that is not newer than the last one is ignored.
    pub(in crate::workers) fn apply_assignments(&mut self, update: AssignmentUpdate) {
        if update.sequence_number <= self.assignments.last_update {
            return;
        }
        self.assignments.last_update = update.sequence_number;
        self.status_sequence.acknowledge(update.last_status);
        self.last_write_check = None;
        let recorded: HashSet<u64> = self
            .recorded
            .attempts()
            .map(|(_, attempt)| attempt.number)
            .collect();
        self.assignments
            .replace_pending(update.assignments, &recorded);
        self.apply_addresses(update.addresses);
        self.assignments.stop_requests = update.attempts_to_stop.into_iter().collect();
        self.assignments.watched = update.watched_attempts.into_iter().collect();
        let machines_to_command: BTreeSet<MachineId> = self
            .recorded
            .attempts()
            .filter(|(_, attempt)| self.assignments.is_stop_requested(attempt))
            .map(|(machine, _)| machine.clone())
            .collect();
        self.request_commands(machines_to_command);
    }

    /// Applies the addresses of workers that have not reported to this controller yet.
    fn apply_addresses(&mut self, addresses: Vec<(MachineId, String)>) {
        for (machine, addr) in addresses {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            if worker.addr.is_none() {
                worker.addr = Some(addr);
                self.request_commands([machine]);
            }
        }
    }
}
