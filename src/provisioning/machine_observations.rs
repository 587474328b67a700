//! The observed states of the recorded machines: which are up, idle or unresponsive, and which have failed and have to
//! be terminated.
//!
//! Updated once in each plan from the controllers' reports and the records, and from the cloud's list of machines. A
//! machine that was declared failed stays failed until it is removed from its inventory, because its termination may
//! already be in progress.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::MachineHealth;
use super::boot_tracker::BootTracker;
use crate::cancellation;
use crate::config::Config;
use crate::domain::{Attempt, BlockId, MachineId, Now, TaskId, Zone, since};
use crate::leader_context::LeaderContext;
use crate::store::{Machine, WatchCache};

/// Added to the time for which tasks in an isolated zone may keep running, for clock differences and messages in
/// transit.
const ISOLATION_MARGIN: Duration = Duration::from_secs(2);
/// A zone counts as isolated only if at least this many of its machines are unusable.
const MIN_UNUSABLE_IN_ISOLATED_ZONE: usize = 4;

/// The observed states of the recorded machines.
#[derive(Debug, Default)]
pub(super) struct MachineObservations {
    failed: BTreeSet<MachineId>,
    /// Since when machines in a zone that may be isolated have been unresponsive.
    unresponsive_since: BTreeMap<MachineId, Instant>,
    /// Since when machines have had no tasks.
    idle_since: BTreeMap<MachineId, Instant>,
    up: BTreeSet<MachineId>,
    /// Addresses of workers as listed by the cloud.
    addresses: HashMap<MachineId, String>,
    pub(super) boot_tracker: BootTracker,
}

impl MachineObservations {
    /// Updates the observations from the controllers' reports. `heard_zones`: zones from which a message of any
    /// controller was received since this process started. `proven_ended`: whether an attempt is proven to have ended,
    /// or its holder is still able to prove it.
    pub(super) fn observe(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
        heard_zones: &BTreeSet<Zone>,
        proven_ended: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        // In a zone without any message from a controller since this process started, all controllers may have stopped
        // together, so that nobody answers the workers there: their leases have expired by the time that they count as
        // unresponsive.
        let isolated: BTreeSet<Zone> = isolated_zones(cache, health)
            .intersection(heard_zones)
            .cloned()
            .collect();
        self.retain_recorded(now, cache, health);
        self.update_up(now, cache, health);
        self.boot_tracker
            .update(now, leader.catalog, cache, &self.failed);
        for (id, machine) in &cache.machines {
            let Some(health) = health.get(id) else {
                continue;
            };
            let known_up = self.up.contains(id) || has_tasks(cache, id);
            let may_be_isolated =
                isolated.contains(&machine.zone) || self.unresponsive_since.contains_key(id);
            let unresponsive = self.is_presumed_failed(now, leader, machine, *health, known_up)
                && !(known_up && may_be_isolated && self.may_still_run(now, leader, id));
            if (unresponsive || health.faulty) && self.failed.insert(id.clone()) {
                warn!(machine = %id, unresponsive, faulty = health.faulty, known_up, "machine terminated: unresponsive or faulty");
            }
        }
        self.fail_machines_in_several_blocks(cache);
        self.fail_overdue_cancellations(now, leader.config, cache, proven_ended);
    }

    /// Declares machines failed that several blocks list. Their holders stop each other's tasks, and only the machine's
    /// termination proves these ended.
    fn fail_machines_in_several_blocks(&mut self, cache: &WatchCache) {
        for id in &cache.machines_in_several_blocks {
            if self.failed.insert(id.clone()) {
                warn!(machine = %id, "machine terminated: recorded in several blocks");
            }
        }
    }

    fn retain_recorded(
        &mut self,
        now: Now,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
    ) {
        let recorded = |id: &MachineId| cache.machines.contains_key(id);
        self.unresponsive_since
            .retain(|id, _| health.get(id).is_some_and(|health| health.unresponsive));
        self.failed.retain(recorded);
        self.addresses.retain(|id, _| recorded(id));
        self.up.retain(recorded);
        self.boot_tracker.retain_recorded(now, cache);
    }

    fn update_up(
        &mut self,
        now: Now,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
    ) {
        for (id, _) in health.iter().filter(|(_, health)| health.has_reported) {
            if let Some(machine) = cache.machines.get(id) {
                self.up.insert(id.clone());
                self.boot_tracker.record_up(now, id, &machine.type_name);
            }
        }
    }

    /// Whether an unresponsive machine is presumed failed: it was up before, or should have come up long ago.
    fn is_presumed_failed(
        &self,
        now: Now,
        leader: &LeaderContext<'_>,
        machine: &Machine,
        health: MachineHealth,
        known_up: bool,
    ) -> bool {
        let age = Duration::from_millis(now.unix_ms().saturating_sub(machine.rented_s * 1000));
        let boot_timed_out = || {
            self.boot_tracker
                .has_timed_out(leader.catalog, &machine.type_name, age)
        };
        health.unresponsive && !health.holder_isolated && (known_up || boot_timed_out())
    }

    /// Whether tasks of an unresponsive machine in a zone that may be isolated can still run; terminating the machine
    /// would end them. Called only for these machines: the time is counted from the first call. When the isolation
    /// ends, the zone stops counting as isolated as soon as half of its machines report again. The others must not
    /// fail at that moment, so machines known as unresponsive still count as possibly isolated.
    fn may_still_run(&mut self, now: Now, leader: &LeaderContext<'_>, id: &MachineId) -> bool {
        let LeaderContext { config, policy, .. } = *leader;
        // A holder in an isolated zone renews its workers' leases until its block lease expires, and the workers keep
        // their tasks for one more worker lease. At least `worker_timeout_after_failed_probe` of this time has passed
        // when they are found unresponsive.
        let task_survival_time =
            (policy.block_lease_duration + config.worker_lease + ISOLATION_MARGIN)
                .saturating_sub(policy.worker_timeout_after_failed_probe);
        let first_unresponsive = *self
            .unresponsive_since
            .entry(id.clone())
            .or_insert(now.monotonic);
        since(now, first_unresponsive) < task_survival_time
    }

    /// Declares machines failed that still have tasks of jobs cancelled long ago. Their holders may be unable to prove
    /// these tasks ended, because the machine hangs, or because its block changes holders so often that none of them
    /// finds it unresponsive. The cloud's termination proves it.
    ///
    /// After an outage nearly all cancelled tasks are this late, but their holders have long proven most of them ended
    /// and could not record it. Such tasks are not a reason to terminate a machine.
    pub(super) fn fail_overdue_cancellations(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        proven_ended: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        for (id, open) in cache.open_jobs.iter().filter(|(_, open)| open.cancelled) {
            if !cancellation::is_machine_deletion_due(now, config, open.cancelled_ms) {
                continue;
            }
            for ((index, number), placement) in cache.job_placements(*id) {
                let attempt = Attempt {
                    task: TaskId {
                        job: *id,
                        index: *index,
                    },
                    number: *number,
                };
                let unproven = cache.machines.contains_key(&placement.machine)
                    && !proven_ended(&placement.block, &attempt);
                if unproven && self.failed.insert(placement.machine.clone()) {
                    warn!(machine = %placement.machine, job = %id, "machine terminated: cancelled task not proven ended");
                }
            }
        }
    }

    /// Updates which machines have no tasks, and since when.
    pub(super) fn observe_idle(
        &mut self,
        now: Now,
        cache: &WatchCache,
        is_occupied: impl Fn(&MachineId) -> bool,
    ) {
        self.idle_since
            .retain(|id, _| cache.machines.contains_key(id) && !is_occupied(id));
        for id in cache.machines.keys().filter(|id| !is_occupied(id)) {
            self.idle_since.entry(id.clone()).or_insert(now.monotonic);
        }
    }

    /// Declares a recorded machine failed because the cloud lists it as failed.
    pub(super) fn mark_listed_as_failed(&mut self, id: &MachineId) {
        if self.failed.insert(id.clone()) {
            info!(machine = %id, "machine terminated: listed as failed by the cloud");
        }
    }

    /// Records the address of a machine's worker, unless one is known.
    pub(super) fn record_listed_address(&mut self, id: &MachineId, address: &str) {
        self.addresses
            .entry(id.clone())
            .or_insert_with(|| address.to_owned());
    }

    /// Whether the machine was declared failed.
    pub(super) fn is_failed(&self, id: &MachineId) -> bool {
        self.failed.contains(id)
    }

    /// The machines declared failed that are still recorded.
    #[cfg(test)]
    pub(super) fn failed(&self) -> &BTreeSet<MachineId> {
        &self.failed
    }

    /// Whether the machine's worker has reported.
    pub(super) fn is_up(&self, id: &MachineId) -> bool {
        self.up.contains(id)
    }

    /// The machines whose workers have reported.
    pub(super) fn up(&self) -> impl Iterator<Item = &MachineId> {
        self.up.iter()
    }

    /// The machines that have no tasks.
    pub(super) fn idle(&self) -> impl Iterator<Item = &MachineId> {
        self.idle_since.keys()
    }

    /// How long the machine has had no tasks. None: it has some, or it is not recorded.
    pub(super) fn idle_for(&self, now: Now, id: &MachineId) -> Option<Duration> {
        self.idle_since
            .get(id)
            .map(|idle_since| since(now, *idle_since))
    }

    /// Whether the machine is booting, and neither failed nor overdue.
    pub(super) fn is_booting(&self, id: &MachineId) -> bool {
        !self.is_up(id) && !self.is_failed(id) && !self.boot_tracker.is_overdue(id)
    }

    /// Whether the machine counts as capacity: it is neither failed nor overdue.
    pub(super) fn counts_as_capacity(&self, id: &MachineId) -> bool {
        !self.is_failed(id) && !self.boot_tracker.is_overdue(id)
    }

    /// Addresses of workers as listed by the cloud.
    pub(super) fn addresses(&self) -> &HashMap<MachineId, String> {
        &self.addresses
    }
}

/// Whether tasks are placed on the machine.
pub(super) fn has_tasks(cache: &WatchCache, id: &MachineId) -> bool {
    let block = cache.machines.get(id).map(|machine| &machine.block);
    block
        .and_then(|block| cache.placements.get(block))
        .is_some_and(|placements| placements.value.attempts_by_machine.contains_key(id))
}

/// Returns the zones that are more likely isolated than failed: most of their machines are unusable, but this does not
/// hold for every zone. Tasks in an isolated zone keep running, and terminating its machines would end them.
fn isolated_zones(
    cache: &WatchCache,
    health: &BTreeMap<MachineId, MachineHealth>,
) -> BTreeSet<Zone> {
    #[derive(Default)]
    struct MachineCounts {
        total: usize,
        unusable: usize,
    }
    let mut zones: BTreeMap<&Zone, MachineCounts> = BTreeMap::new();
    for (id, machine) in &cache.machines {
        if let Some(health) = health.get(id) {
            let counts = zones.entry(&machine.zone).or_default();
            counts.total += 1;
            counts.unusable += usize::from(!health.usable);
        }
    }
    let mostly_unusable = |counts: &MachineCounts| counts.unusable * 2 > counts.total;
    if zones.values().all(mostly_unusable) {
        return BTreeSet::new();
    }
    let isolated = zones.into_iter().filter(|(_, counts)| {
        mostly_unusable(counts) && counts.unusable >= MIN_UNUSABLE_IN_ISOLATED_ZONE
    });
    isolated.map(|(zone, _)| zone.clone()).collect()
}
