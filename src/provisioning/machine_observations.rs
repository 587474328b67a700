//! What is known of the recorded machines: which are up, idle or silent, and which have failed and are to be terminated.
//!
//! Updated once in each plan from the controllers' reports and the records, and by the cloud's list. A machine that was
//! declared failed stays so until it is out of its inventory: its termination may already be under way.

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

/// Added to the time that tasks in an isolated zone may run on, for clocks and messages on their way.
const ISOLATION_MARGIN: Duration = Duration::from_secs(2);
/// Fewer silent machines in a zone than this are no sign that it is isolated.
const MIN_UNUSABLE_IN_ISOLATED_ZONE: usize = 4;

/// What is known of the recorded machines.
#[derive(Debug, Default)]
pub(super) struct MachineObservations {
    failed: BTreeSet<MachineId>,
    /// Since when machines of a zone that may be isolated have been silent.
    unresponsive_since: BTreeMap<MachineId, Instant>,
    /// Since when machines have had no tasks.
    idle_since: BTreeMap<MachineId, Instant>,
    up: BTreeSet<MachineId>,
    /// Workers' addresses, as the cloud lists them.
    addresses: HashMap<MachineId, String>,
    pub(super) boot_tracker: BootTracker,
}

impl MachineObservations {
    /// Takes in what the controllers report. `heard_zones`: zones from which any controller was heard in the life of this
    /// process. `proven_stopped`: whether an attempt is proven stopped, or its holder is still able to prove it.
    pub(super) fn observe(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
        heard_zones: &BTreeSet<Zone>,
        proven_stopped: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        // Where no controller was heard since this process began, all may have ended together, and nobody answers the
        // workers there: their leases are over by the time that they are called silent.
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
        self.fail_overdue_cancellations(now, leader.config, cache, proven_stopped);
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

    /// Whether nothing is heard of a machine that was up, or should long have been.
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

    /// Whether the tasks of a silent machine in a zone that may be isolated can still run; terminating it would end them.
    /// Called for such machines only: their silence counts from the first call. When the isolation ends, the first half of
    /// the zone's machines that are heard again must not condemn the rest, so those known as silent stay suspected.
    fn may_still_run(&mut self, now: Now, leader: &LeaderContext<'_>, id: &MachineId) -> bool {
        let LeaderContext { config, policy, .. } = *leader;
        // A holder in an isolated zone renews its workers' leases for the life of its block lease, and they keep their
        // tasks for a lease longer. It takes at least `worker_timeout_after_failed_probe` until they are called silent.
        let task_survival_time =
            (policy.block_lease_duration + config.worker_lease + ISOLATION_MARGIN)
                .saturating_sub(policy.worker_timeout_after_failed_probe);
        let first_unresponsive = *self
            .unresponsive_since
            .entry(id.clone())
            .or_insert(now.monotonic);
        since(now, first_unresponsive) < task_survival_time
    }

    /// Declares machines failed that still have tasks of jobs cancelled long ago. Whatever keeps their holders from
    /// proving them stopped (the machine hangs, or changes hands so often that nobody finds it silent), the cloud's
    /// termination does.
    ///
    /// After an outage nearly all cancelled tasks are this late, while their holders have long proven most of them stopped
    /// and could not record it.
    pub(super) fn fail_overdue_cancellations(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        proven_stopped: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        for (id, open) in cache.open.iter().filter(|(_, open)| open.cancelled) {
            if !cancellation::is_machine_deletion_due(now, config, open.cancelled_ms) {
                continue;
            }
            for ((index, number), placement) in cache.placed(*id) {
                let attempt = Attempt {
                    task: TaskId {
                        job: *id,
                        index: *index,
                    },
                    number: *number,
                };
                let unproven = cache.machines.contains_key(&placement.machine)
                    && !proven_stopped(&placement.block, &attempt);
                if unproven && self.failed.insert(placement.machine.clone()) {
                    warn!(machine = %placement.machine, job = %id, "machine terminated: cancelled task not proven stopped");
                }
            }
        }
    }

    /// Updates which machines have had no tasks, and since when.
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

    /// Notes that the cloud lists a recorded machine as failed.
    pub(super) fn mark_listed_as_failed(&mut self, id: &MachineId) {
        if self.failed.insert(id.clone()) {
            info!(machine = %id, "machine terminated: listed as failed by the cloud");
        }
    }

    /// Notes the address of a machine's worker, unless one is known.
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

    /// How long the machine has had no tasks. None: it has some, or is not recorded.
    pub(super) fn idle_for(&self, now: Now, id: &MachineId) -> Option<Duration> {
        self.idle_since
            .get(id)
            .map(|idle_since| since(now, *idle_since))
    }

    /// Whether the machine boots, and is still expected to come up in time.
    pub(super) fn is_booting(&self, id: &MachineId) -> bool {
        !self.is_up(id) && !self.is_failed(id) && !self.boot_tracker.is_overdue(id)
    }

    /// Whether the machine counts as capacity: neither failed nor late.
    pub(super) fn counts_as_capacity(&self, id: &MachineId) -> bool {
        !self.is_failed(id) && !self.boot_tracker.is_overdue(id)
    }

    /// Workers' addresses, as the cloud lists them.
    pub(super) fn addresses(&self) -> &HashMap<MachineId, String> {
        &self.addresses
    }
}

/// Whether tasks are placed on the machine.
pub(super) fn has_tasks(cache: &WatchCache, id: &MachineId) -> bool {
    let block = cache.machines.get(id).map(|machine| &machine.block);
    block
        .and_then(|block| cache.placements.get(block))
        .is_some_and(|placements| placements.value.on.contains_key(id))
}

/// Zones that are more likely isolated than dead: most of their machines have fallen silent, while those of another
/// zone have not. Their tasks run on, and terminating the machines would end them.
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
