//! Machines that the cloud was told to terminate: the request in flight, what of it is not yet recorded, and what the
//! cloud's list may still show.
//!
//! Invariant: at most one request is in flight. A machine is in `unrecorded` from the cloud's response until its
//! inventory no longer has it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::RETRY_AFTER;
use crate::domain::{MachineId, Now, since};
use crate::store::WatchCache;

/// How long the record of a terminated machine that was empty may wait for others.
const FORGET_AFTER: Duration = Duration::from_secs(4);
/// How long the cloud may still list a machine that it has terminated.
const LISTED_FOR: Duration = Duration::from_secs(120);

/// The terminations requested and carried out in this term.
#[derive(Debug)]
pub(super) struct Terminations {
    in_flight: bool,
    /// When the next request may be sent after one that was refused or not answered.
    not_before: Option<Instant>,
    unrecorded: BTreeSet<MachineId>,
    recent: HashMap<MachineId, Instant>,
}

impl Terminations {
    /// None requested yet.
    pub(super) fn new() -> Self {
        Terminations {
            in_flight: false,
            not_before: None,
            unrecorded: BTreeSet::new(),
            recent: HashMap::new(),
        }
    }

    /// Whether the next request may be sent.
    pub(super) fn can_request(&self, now: Now) -> bool {
        !self.in_flight && self.not_before.is_none_or(|at| now.monotonic >= at)
    }

    /// Notes that a request was sent.
    pub(super) fn requested(&mut self) {
        self.in_flight = true;
    }

    /// Notes that the cloud has terminated these machines.
    pub(super) fn succeeded(&mut self, now: Now, machines: Vec<MachineId>) {
        self.in_flight = false;
        for machine in machines {
            self.recent.insert(machine.clone(), now.monotonic);
            self.unrecorded.insert(machine);
        }
    }

    /// Notes that the cloud refused the request or did not respond.
    pub(super) fn failed(&mut self, now: Now) {
        self.in_flight = false;
        self.not_before = Some(now.monotonic + RETRY_AFTER);
    }

    /// Forgets what is recorded and what the cloud no longer lists.
    pub(super) fn retain_current(&mut self, now: Now, cache: &WatchCache) {
        self.unrecorded
            .retain(|machine| cache.machines.contains_key(machine));
        self.recent.retain(|_, at| since(now, *at) < LISTED_FOR);
    }

    /// Whether the machine is terminated, but still in its inventory.
    pub(super) fn is_unrecorded(&self, machine: &MachineId) -> bool {
        self.unrecorded.contains(machine)
    }

    /// Whether the machine was terminated so recently that the cloud may still list it.
    pub(super) fn is_recent(&self, machine: &MachineId) -> bool {
        self.recent.contains_key(machine)
    }

    /// The terminated machines to be taken out of their inventories now, those that `has_tasks` first. Tasks wait for the
    /// proof that their machine is gone. Nothing waits for an empty one: those are gathered, since each block costs a
    /// change, and none is returned while all of them can wait.
    pub(super) fn to_record(
        &self,
        now: Now,
        has_tasks: impl Fn(&MachineId) -> bool,
    ) -> Vec<&MachineId> {
        let can_wait = |id: &MachineId| {
            self.recent
                .get(id)
                .is_some_and(|at| since(now, *at) < FORGET_AFTER)
        };
        let (mut machines, empty): (Vec<_>, Vec<_>) =
            self.unrecorded.iter().partition(|id| has_tasks(id));
        if machines.is_empty() && empty.iter().all(|id| can_wait(id)) {
            return Vec::new();
        }
        machines.extend(empty);
        machines
    }
}
