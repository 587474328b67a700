//! What the leader knows of one block: what it has released there, and its holder's word.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::domain::{Attempt, MachineId, Now, since};
use crate::peer::{Assignment, AssignmentUpdate, BlockStatus, MachineStatus};
use crate::store::WatchCache;
use crate::store::records::MachineInventory;

/// An unanswered work message is repeated after this long.
const ASSIGNMENT_UPDATE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
pub(super) struct Release {
    pub(super) attempt: Attempt,
    pub(super) machine: MachineId,
    pub(super) released_at: Instant,
    pub(super) withdrawn: bool,
    /// The first message that says so.
    pub(super) first_sequence_number: u64,
    /// The preempted tasks whose room it takes.
    pub(super) preempted: Vec<Attempt>,
    /// Since when its machine has had room for it: later than `since` if tasks had to be preempted.
    pub(super) capacity_since: Instant,
}

/// A release that its holder can't place is withdrawn after this long.
const UNPLACED_RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// ... or after this long, once its holder has found no room for it.
const UNPLACEABLE_RELEASE_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest time that preempted tasks may take to save and exit before their room is sought elsewhere.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(30);

impl Release {
    /// Takes it back: the next message says so.
    pub(super) fn withdraw(&mut self) {
        self.withdrawn = true;
        self.first_sequence_number = u64::MAX;
    }

    /// Whether it should be withdrawn, so that its task can be placed elsewhere. While preempted tasks still save, the
    /// holder finds no room and says so: that is expected, and withdrawing would leave their room to other work.
    pub(super) fn should_withdraw(
        &mut self,
        now: Now,
        stops: &BTreeMap<Attempt, Instant>,
        unplaceable: bool,
    ) -> bool {
        if self
            .preempted
            .iter()
            .any(|attempt| stops.contains_key(attempt))
        {
            self.capacity_since = now.monotonic;
            return since(now, self.released_at) > PREEMPTION_TIMEOUT;
        }
        let waited = since(now, self.capacity_since);
        waited > UNPLACED_RELEASE_TIMEOUT || (unplaceable && waited > UNPLACEABLE_RELEASE_TIMEOUT)
    }
}

#[derive(Debug)]
pub(super) struct BlockState {
    pub(super) lease_version: u64,
    pub(super) releases: BTreeMap<u64, Release>,
    pub(super) stop_requests: BTreeMap<Attempt, Instant>,
    /// Attempts that the holder is asked to tell of once they run.
    pub(super) watched_attempts: Vec<u64>,
    /// The holder's last word, without its machines: those are kept by name, for it tells only what changed.
    pub(super) status: Option<(BlockStatus, Instant)>,
    pub(super) machines: BTreeMap<MachineId, MachineStatus>,
    /// The last status taken in, and the last one that the holder was told was heard.
    pub(super) last_status_sequence_number: u64,
    /// The holder should be told that its word on machines was heard, else it repeats it.
    pub(super) status_ack_pending: bool,
    pub(super) last_sent_at: Option<Instant>,
    pub(super) last_sent_sequence_number: u64,
    pub(super) update_pending: bool,
    /// Machines whose address the holder was told, or needs no more.
    pub(super) addressed_machines: HashSet<MachineId>,
}

impl BlockState {
    /// Notes a task that its holder is to place.
    pub(super) fn release(
        &mut self,
        now: Now,
        attempt: Attempt,
        machine: MachineId,
        preempted: Vec<Attempt>,
    ) {
        let release = Release {
            attempt,
            machine,
            released_at: now.monotonic,
            withdrawn: false,
            first_sequence_number: u64::MAX,
            preempted,
            capacity_since: now.monotonic,
        };
        self.releases.insert(attempt.number, release);
        self.update_pending = true;
    }

    /// Notes machines that the holder could ask if it were told where they are.
    pub(super) fn update_addressed_machines(
        &mut self,
        addresses: &HashMap<MachineId, String>,
        inventory: Option<&MachineInventory>,
    ) {
        let Some(inventory) =
            inventory.filter(|inventory| inventory.on.len() > self.addressed_machines.len())
        else {
            return;
        };
        if self.status.is_none() {
            // It may know them already: a new leader hears of that first.
            return;
        }
        for id in inventory
            .on
            .keys()
            .filter(|id| !self.addressed_machines.contains(*id))
            .cloned()
            .collect::<Vec<_>>()
        {
            let seen = self
                .machines
                .get(&id)
                .is_some_and(|status| status.has_reported);
            if seen || addresses.contains_key(&id) {
                self.update_pending |= !seen;
                self.addressed_machines.insert(id);
            }
        }
    }

    /// Those that it has not heard from since. They are told again in each message, for one can be lost.
    pub(super) fn unreported_machine_addresses(
        &self,
        addresses: &HashMap<MachineId, String>,
    ) -> Vec<(MachineId, String)> {
        let unreported = |id: &&MachineId| {
            self.machines
                .get(*id)
                .is_none_or(|status| !status.has_reported)
        };
        let unreported_machines = self.addressed_machines.iter().filter(unreported);
        unreported_machines
            .filter_map(|id| addresses.get(id).map(|addr| (id.clone(), addr.clone())))
            .collect()
    }
}

impl Scheduler {
    /// Messages that are due to holders.
    pub fn assignment_updates(
        &mut self,
        now: Now,
        cache: &WatchCache,
        addresses: &HashMap<MachineId, String>,
    ) -> Vec<AssignmentUpdate> {
        let mut updates = Vec::new();
        for (block, block_state) in &mut self.block_states {
            block_state.update_addressed_machines(
                addresses,
                cache
                    .inventories
                    .get(block)
                    .map(|inventory| &inventory.value),
            );
            let acknowledged = block_state.status.as_ref().is_some_and(|(status, _)| {
                status.last_assignment_update >= block_state.last_sent_sequence_number
            });
            let overdue = !acknowledged
                && block_state
                    .last_sent_at
                    .is_some_and(|sent| since(now, sent) >= ASSIGNMENT_UPDATE_RETRY_INTERVAL);
            if !block_state.update_pending && !overdue && !block_state.status_ack_pending {
                continue;
            }
            self.update_sequence_number += 1;
            let sequence_number = self.update_sequence_number;
            block_state.update_pending = false;
            block_state.status_ack_pending = false;
            block_state.last_sent_at = Some(now.monotonic);
            block_state.last_sent_sequence_number = sequence_number;
            for release in block_state
                .releases
                .values_mut()
                .filter(|release| release.first_sequence_number == u64::MAX)
            {
                release.first_sequence_number = sequence_number;
            }
            let assignments = block_state
                .releases
                .values()
                .filter(|release| !release.withdrawn)
                .map(|release| Assignment {
                    attempt: release.attempt,
                    machine: release.machine.clone(),
                })
                .collect();
            let stop = block_state.stop_requests.keys().copied().collect();
            updates.push(AssignmentUpdate {
                block: block.clone(),
                lease_version: block_state.lease_version,
                sequence_number,
                last_status: block_state.last_status_sequence_number,
                assignments,
                attempts_to_stop: stop,
                addresses: block_state.unreported_machine_addresses(addresses),
                watched_attempts: block_state.watched_attempts.clone(),
            });
        }
        updates
    }
}
