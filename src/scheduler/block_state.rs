//! What the leader knows of one block: what it has released there, and its holder's word.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::domain::{Attempt, MachineId, Now, since};
use crate::peer::{Assignment, AssignmentUpdate, BlockStatus, MachineStatus};
use crate::store::WatchCache;
use crate::store::records::MachineInventory;

/// An unanswered work message is repeated after this long.
const RESEND: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
pub(super) struct Release {
    pub(super) attempt: Attempt,
    pub(super) machine: MachineId,
    pub(super) since: Instant,
    pub(super) withdrawn: bool,
    /// The first message that says so.
    pub(super) message: u64,
    /// The preempted tasks whose room it takes.
    pub(super) preempted: Vec<Attempt>,
    /// Since when its machine has had room for it: later than `since` if tasks had to be preempted.
    pub(super) placeable_since: Instant,
}

/// A release that its holder can't place is withdrawn after this long.
const WITHDRAW_AFTER: Duration = Duration::from_secs(10);
/// ... or after this long, once its holder has found no room for it.
const WITHDRAW_REFUSED_AFTER: Duration = Duration::from_millis(700);
/// The longest time that preempted tasks may take to save and exit before their room is sought elsewhere.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(30);

impl Release {
    /// Takes it back: the next message says so.
    pub(super) fn withdraw(&mut self) {
        self.withdrawn = true;
        self.message = u64::MAX;
    }

    /// Whether it should be withdrawn, so that its task can be placed elsewhere. While preempted tasks still save, the
    /// holder finds no room and says so: that is expected, and withdrawing would leave their room to other work.
    pub(super) fn is_stuck(
        &mut self,
        now: Now,
        stops: &BTreeMap<Attempt, Instant>,
        refused: bool,
    ) -> bool {
        if self
            .preempted
            .iter()
            .any(|attempt| stops.contains_key(attempt))
        {
            self.placeable_since = now.monotonic;
            return since(now, self.since) > PREEMPTION_TIMEOUT;
        }
        let waited = since(now, self.placeable_since);
        waited > WITHDRAW_AFTER || (refused && waited > WITHDRAW_REFUSED_AFTER)
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
    pub(super) heard: u64,
    /// The holder should be told that its word on machines was heard, else it repeats it.
    pub(super) ack_due: bool,
    pub(super) sent: Option<Instant>,
    pub(super) last_message: u64,
    pub(super) update_pending: bool,
    /// Machines whose address the holder was told, or needs no more.
    pub(super) addressed: HashSet<MachineId>,
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
            since: now.monotonic,
            withdrawn: false,
            message: u64::MAX,
            preempted,
            placeable_since: now.monotonic,
        };
        self.releases.insert(attempt.number, release);
        self.update_pending = true;
    }

    /// Notes machines that the holder could ask if it were told where they are.
    pub(super) fn note_addresses(
        &mut self,
        addresses: &HashMap<MachineId, String>,
        inventory: Option<&MachineInventory>,
    ) {
        let Some(inventory) =
            inventory.filter(|inventory| inventory.on.len() > self.addressed.len())
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
            .filter(|id| !self.addressed.contains(*id))
            .cloned()
            .collect::<Vec<_>>()
        {
            let seen = self
                .machines
                .get(&id)
                .is_some_and(|status| status.has_reported);
            if seen || addresses.contains_key(&id) {
                self.update_pending |= !seen;
                self.addressed.insert(id);
            }
        }
    }

    /// Those that it has not heard from since. They are told again in each message, for one can be lost.
    pub(super) fn unseen_addresses(
        &self,
        addresses: &HashMap<MachineId, String>,
    ) -> Vec<(MachineId, String)> {
        let unseen = |id: &&MachineId| {
            self.machines
                .get(*id)
                .is_none_or(|status| !status.has_reported)
        };
        let unmet = self.addressed.iter().filter(unseen);
        unmet
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
        let mut messages = Vec::new();
        for (block, block_state) in &mut self.block_states {
            block_state.note_addresses(
                addresses,
                cache
                    .inventories
                    .get(block)
                    .map(|inventory| &inventory.value),
            );
            let acked = block_state.status.as_ref().is_some_and(|(status, _)| {
                status.last_assignment_update >= block_state.last_message
            });
            let overdue = !acked
                && block_state
                    .sent
                    .is_some_and(|sent| since(now, sent) >= RESEND);
            if !block_state.update_pending && !overdue && !block_state.ack_due {
                continue;
            }
            self.next_message += 1;
            let number = self.next_message;
            block_state.update_pending = false;
            block_state.ack_due = false;
            block_state.sent = Some(now.monotonic);
            block_state.last_message = number;
            for release in block_state
                .releases
                .values_mut()
                .filter(|release| release.message == u64::MAX)
            {
                release.message = number;
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
            messages.push(AssignmentUpdate {
                block: block.clone(),
                lease_version: block_state.lease_version,
                sequence_number: number,
                last_status: block_state.heard,
                assignments,
                attempts_to_stop: stop,
                addresses: block_state.unseen_addresses(addresses),
                watched_attempts: block_state.watched_attempts.clone(),
            });
        }
        messages
    }
}
