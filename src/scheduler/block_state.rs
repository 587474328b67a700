//! The leader's state of one block: the tasks released to its holder, the holder's last status, and the assignment
//! updates that are sent to it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::domain::{Attempt, MachineId, Now, since};
use crate::peer::{Assignment, AssignmentUpdate, BlockStatus, MachineStatus};
use crate::store::WatchCache;
use crate::store::records::MachineInventory;

/// An assignment update that the holder has not acknowledged is sent again after this long.
const ASSIGNMENT_UPDATE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A task that the leader has assigned to a machine of the block, and that the placement records do not show yet.
#[derive(Debug, Clone)]
pub(super) struct Release {
    pub(super) attempt: Attempt,
    pub(super) machine: MachineId,
    pub(super) released_at: Instant,
    pub(super) withdrawn: bool,
    /// The sequence number of the first assignment update with this release, or without it once it is withdrawn.
    /// `u64::MAX` until that update is sent.
    pub(super) first_sequence_number: u64,
    /// The tasks that were preempted to free resources for it.
    pub(super) preempted: Vec<Attempt>,
    /// When its machine had enough free resources: later than `released_at` if tasks had to be preempted.
    pub(super) capacity_since: Instant,
}

/// A release that its holder has not placed is withdrawn after this long.
const UNPLACED_RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// A release that its holder reports as unplaceable is withdrawn after this long.
const UNPLACEABLE_RELEASE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long preempted tasks may take to write their checkpoints and exit before the release that waits for their
/// resources is withdrawn and its task placed elsewhere.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(30);

impl Release {
    /// Withdraws the release: the next assignment update no longer contains it.
    pub(super) fn withdraw(&mut self) {
        self.withdrawn = true;
        self.first_sequence_number = u64::MAX;
    }

    /// Whether the release should be withdrawn so that its task can be placed elsewhere.
    ///
    /// While preempted tasks are still exiting, the holder is expected to report the release as unplaceable:
    /// withdrawing it then would leave their resources to other tasks. That time does not count as waiting.
    pub(super) fn should_withdraw(
        &mut self,
        now: Now,
        stop_requests: &BTreeMap<Attempt, Instant>,
        unplaceable: bool,
    ) -> bool {
        if self
            .preempted
            .iter()
            .any(|attempt| stop_requests.contains_key(attempt))
        {
            self.capacity_since = now.monotonic;
            return since(now, self.released_at) > PREEMPTION_TIMEOUT;
        }
        let waited = since(now, self.capacity_since);
        waited > UNPLACED_RELEASE_TIMEOUT || (unplaceable && waited > UNPLACEABLE_RELEASE_TIMEOUT)
    }
}

/// The leader's state of a block under one block lease.
#[derive(Debug)]
pub(super) struct BlockState {
    pub(super) lease_version: u64,
    /// Releases by attempt number, withdrawn ones included until their holder can no longer place them.
    pub(super) releases: BTreeMap<u64, Release>,
    /// Attempts that the holder is asked to stop, with the time of the request.
    pub(super) stop_requests: BTreeMap<Attempt, Instant>,
    /// Numbers of the attempts that the holder is asked to report once they run.
    pub(super) watched_attempts: Vec<u64>,
    /// The holder's last status and when it was received. Its machines are moved to `machines`: a status lists only
    /// those that have changed.
    pub(super) status: Option<(BlockStatus, Instant)>,
    pub(super) machines: BTreeMap<MachineId, MachineStatus>,
    /// The sequence number of the last status processed; assignment updates acknowledge it.
    pub(super) last_status_sequence_number: u64,
    /// A status with machines has not been acknowledged yet: until it is, the holder repeats them.
    pub(super) status_ack_pending: bool,
    /// When the last assignment update was sent.
    pub(super) last_sent_at: Option<Instant>,
    pub(super) last_sent_sequence_number: u64,
    /// Something has changed that the holder has to be sent.
    pub(super) update_pending: bool,
    /// Machines whose address the holder was sent or no longer needs, because they have reported to it.
    pub(super) addressed_machines: HashSet<MachineId>,
}

impl BlockState {
    /// Adds a task for the holder to place.
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

    /// Adds machines whose address is known. Requests an update if the holder needs one of these addresses to contact
    /// a worker that has not reported to it.
    pub(super) fn update_addressed_machines(
        &mut self,
        addresses: &HashMap<MachineId, String>,
        inventory: Option<&MachineInventory>,
    ) {
        let Some(inventory) =
            inventory.filter(|inventory| inventory.machines.len() > self.addressed_machines.len())
        else {
            return;
        };
        if self.status.is_none() {
            // The holder may know the machines already: a new leader waits for its first status.
            return;
        }
        for id in inventory
            .machines
            .keys()
            .filter(|id| !self.addressed_machines.contains(*id))
            .cloned()
            .collect::<Vec<_>>()
        {
            let has_reported = self
                .machines
                .get(&id)
                .is_some_and(|status| status.has_reported);
            if has_reported || addresses.contains_key(&id) {
                self.update_pending |= !has_reported;
                self.addressed_machines.insert(id);
            }
        }
    }

    /// The addresses of machines that have not reported to the holder. Each update contains all of them, since an
    /// update can be lost.
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
    /// The assignment updates to be sent to holders now: changes, retries and acknowledgements.
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
