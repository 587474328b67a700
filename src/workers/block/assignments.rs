//! What the leader wants of a block, and how far that has come.

use std::collections::{BTreeSet, HashSet};

use super::Block;
use crate::domain::{Attempt, MachineId};
use crate::peer::{Assignment, AssignmentUpdate};

/// What the leader wants of a block.
#[derive(Debug, Default)]
pub(super) struct Assignments {
    /// The number of the last update that was applied.
    last_update: u64,
    /// Attempts that are to be placed.
    pub(super) pending: Vec<Assignment>,
    /// The numbers of attempts that were placed, though the leader may not know that yet.
    placed: HashSet<u64>,
    /// Those that fitted no machine when the last transaction was prepared.
    pub(super) unplaceable: Vec<u64>,
    /// Attempts that are to be stopped.
    stop_requests: HashSet<Attempt>,
    /// The numbers of attempts of which the leader needs to know whether they run.
    watched: HashSet<u64>,
}

impl Assignments {
    /// Forgets what an earlier leader assigned.
    pub(super) fn clear(&mut self) {
        self.last_update = 0;
        self.pending.clear();
        self.placed.clear();
        self.stop_requests.clear();
        self.watched.clear();
    }

    /// The number of the last update that was applied.
    pub(super) fn last_update(&self) -> u64 {
        self.last_update
    }

    /// Whether the attempt of this number is still to be placed.
    pub(super) fn is_pending(&self, number: u64) -> bool {
        self.pending
            .iter()
            .any(|assignment| assignment.attempt.number == number)
    }

    /// Notes that the attempt of this number is recorded.
    pub(super) fn record_placed(&mut self, number: u64) {
        self.placed.insert(number);
        self.pending
            .retain(|assignment| assignment.attempt.number != number);
    }

    /// Whether the leader wants the attempt stopped.
    pub(super) fn is_stop_requested(&self, attempt: &Attempt) -> bool {
        self.stop_requests.contains(attempt)
    }

    /// Whether the leader watches any attempt.
    pub(super) fn any_watched(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Whether the leader needs to know whether the attempt of this number runs.
    pub(super) fn is_watched(&self, number: u64) -> bool {
        self.watched.contains(&number)
    }

    /// Takes over the attempts to be placed. `recorded`: the numbers of those that are placed already.
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
    /// Applies what the leader wants of this block. An update that is not newer than the last one changes nothing.
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

    /// Takes over the addresses of workers that have not reported to us yet.
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
