//! Machines that the cloud was told to terminate: the request in flight, terminated machines that are still in their
//! inventories, and those that the cloud may still list.
//!
//! Invariant: at most one request is in flight. A machine is in `awaiting_removal` from the cloud's response until its
//! inventory no longer has it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::CLOUD_RETRY_DELAY;
use crate::domain::{MachineId, Now, since};
use crate::store::WatchCache;

/// How long the removal of a terminated machine without tasks may be delayed to batch it with others.
const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(4);
/// How long the cloud may list a machine after its termination.
const TERMINATED_LISTING_TIMEOUT: Duration = Duration::from_secs(120);

/// The terminations requested and completed in this term.
#[derive(Debug)]
pub(super) struct Terminations {
    in_flight: bool,
    /// When the next request may be sent after one that was refused or not answered.
    retry_at: Option<Instant>,
    awaiting_removal: BTreeSet<MachineId>,
    terminated_at: HashMap<MachineId, Instant>,
}

impl Terminations {
    /// Creates the state of a term in which no termination was requested.
    pub(super) fn new() -> Self {
        Terminations {
            in_flight: false,
            retry_at: None,
            awaiting_removal: BTreeSet::new(),
            terminated_at: HashMap::new(),
        }
    }

    /// Whether the next request may be sent.
    pub(super) fn can_request(&self, now: Now) -> bool {
        !self.in_flight && self.retry_at.is_none_or(|at| now.monotonic >= at)
    }

    /// Records that a request was sent.
    pub(super) fn record_request(&mut self) {
        self.in_flight = true;
    }

    /// Records that the cloud has terminated these machines.
    pub(super) fn record_success(&mut self, now: Now, machines: Vec<MachineId>) {
        self.in_flight = false;
        for machine in machines {
            self.terminated_at.insert(machine.clone(), now.monotonic);
            self.awaiting_removal.insert(machine);
        }
    }

    /// Records that the cloud refused the request or did not respond.
    pub(super) fn record_failure(&mut self, now: Now) {
        self.in_flight = false;
        self.retry_at = Some(now.monotonic + CLOUD_RETRY_DELAY);
    }

    /// Drops machines that are no longer in their inventories, and those that the cloud no longer lists.
    pub(super) fn retain_current(&mut self, now: Now, cache: &WatchCache) {
        self.awaiting_removal
            .retain(|machine| cache.machines.contains_key(machine));
        self.terminated_at
            .retain(|_, terminated_at| since(now, *terminated_at) < TERMINATED_LISTING_TIMEOUT);
    }

    /// Whether the machine is terminated but still in its inventory.
    pub(super) fn is_awaiting_removal(&self, machine: &MachineId) -> bool {
        self.awaiting_removal.contains(machine)
    }

    /// Whether the machine was terminated so recently that the cloud may still list it.
    pub(super) fn is_recently_terminated(&self, machine: &MachineId) -> bool {
        self.terminated_at.contains_key(machine)
    }

    /// Returns the terminated machines to be removed from their inventories now, those that `has_tasks` first: their
    /// tasks wait for the proof that the machine is gone. Nothing waits for the removal of a machine without tasks.
    /// These are batched, since each block costs a change, and none is returned while all of them can wait.
    pub(super) fn machines_to_remove(
        &self,
        now: Now,
        has_tasks: impl Fn(&MachineId) -> bool,
    ) -> Vec<&MachineId> {
        let can_wait = |id: &MachineId| {
            self.terminated_at
                .get(id)
                .is_some_and(|terminated_at| since(now, *terminated_at) < MAX_REMOVAL_DELAY)
        };
        let (mut machines, empty): (Vec<_>, Vec<_>) =
            self.awaiting_removal.iter().partition(|id| has_tasks(id));
        if machines.is_empty() && empty.iter().all(|id| can_wait(id)) {
            return Vec::new();
        }
        machines.extend(empty);
        machines
    }
}
