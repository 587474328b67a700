//! Renting and returning machines: the leader's duty.
//!
//! Orders and machines are records in the state service. What is to be done follows from them alone, so a new
//! leader goes on where the old one stopped: an order that is recorded is (again) sent under its name, and a
//! machine that is being returned and has no tasks is (again) deleted.

mod boot_times;
mod demand;
mod inventory_edits;
mod scaling_round;
pub mod square_root_rule;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use dappleshore_drain::Scope;
use tracing::{debug, info, warn};

use crate::cancellation;
use crate::cloud::wire::{
    InstanceType, ListedMachine, ListedState, MachineList, MachineNames, ScaleOutRequest,
};
use crate::cloud::{CloudRequest, CloudResponse, InstanceCatalog};
use crate::config::Config;
use crate::domain::{
    Amount, Attempt, BlockId, CapacityType, InstanceTypeName, MachineId, Now, TaskId, Term, Zone,
    since,
};
use crate::leader_context::LeaderContext;
use crate::policy::Policy;
use crate::store::records::{
    DRAIN_FORMAT, InventoryEntry, LEADER, MachineState, PARTS_FORMAT, PendingRental,
    inventory_part_key, pending_rental_key,
};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, Writer};
use crate::workers::wire::Heartbeat;
use boot_times::BootTimes;
pub use demand::{Demand, MachineHealth, MachinePool, RunTimes, ZonedPool};
use inventory_edits::{InventoryEdits, too_large};
use scaling_round::Round;

#[derive(Debug)]
pub struct Provisioner {
    writer: Writer,
    round: Option<Instant>,
    term: Term,
    term_since: Instant,
    next_request: u64,
    stockouts: HashMap<(InstanceTypeName, Zone, CapacityType), Instant>,
    /// When a type that has run out was last asked for all the same.
    asked_again: BTreeMap<InstanceTypeName, Instant>,
    renting: BTreeMap<InstanceTypeName, Instant>,
    rent_retry: BTreeMap<InstanceTypeName, Instant>,
    /// Rented machines that are not yet recorded.
    rented: BTreeMap<InstanceTypeName, (PendingRental, u64, Vec<MachineId>)>,
    deleting: Option<Vec<MachineId>>,
    delete_retry: Option<Instant>,
    deleted: BTreeSet<MachineId>,
    /// Deleted machines, for the list shows them a while longer.
    recently_deleted: HashMap<MachineId, Instant>,
    failed: BTreeSet<MachineId>,
    /// Since when machines of a zone that may be cut off have been silent.
    silent: BTreeMap<MachineId, Instant>,
    /// Since when machines have had no tasks.
    idle: BTreeMap<MachineId, Instant>,
    up: BTreeSet<MachineId>,
    /// What operators want of machines that are in another state.
    desired_states: BTreeMap<MachineId, MachineState>,
    /// What operators empty: nothing is rented there.
    closed: Vec<Scope>,
    unexpected: BTreeMap<MachineId, (ListedMachine, Instant)>,
    list_busy: bool,
    listed: Option<Instant>,
    list_after: Option<MachineId>,
    /// Workers' addresses, as the cloud lists them, for holders that have not heard from them yet.
    addresses: HashMap<MachineId, String>,
    boot_times: BootTimes,
    /// When machines were rented that are not up yet. Of others, an earlier leader's or found up, that is not known well
    /// enough to measure their boot.
    booting: HashMap<MachineId, Instant>,
    /// Machines that take so long to come up that others are ordered in their place. They are used if they come up all
    /// the same.
    late: BTreeSet<MachineId>,
    calls: f64,
    calls_filled: Instant,
}

const RETRY: Duration = Duration::from_secs(1);
const CUT_MARGIN: Duration = Duration::from_secs(2);
/// Fewer silent machines than this are no sign of a cut.
const CUT_LEAST: usize = 4;
/// When writes are scarce, what has run out everywhere is asked for again this often, the design's own round, and not
/// in each of ours. Each request costs two changes, and in a stock-out of all types that was most of what the leader
/// may write.
const ASK_AGAIN: Duration = Duration::from_secs(5);
/// How long the record of a deleted machine that was empty may wait for others.
const FORGET_AFTER: Duration = Duration::from_secs(4);
/// The protocol's limit for one rental request.
const MOST_RENTED: i64 = 50;
const LIST_EVERY: Duration = Duration::from_secs(10);
/// Taken for the boot time of a type that the cloud does not tell of any more.
const BOOT_UNKNOWN: Duration = Duration::from_secs(30);
/// A rented machine is recorded within this time, or was deleted.
const FORGET_BOOT_AFTER: Duration = Duration::from_secs(60);

/// Zones that are more likely cut off than dead: most of their machines have fallen silent, while those of another
/// zone have not. Their tasks run on, and giving the machines up would end them.
fn cut_off(cache: &WatchCache, health: &BTreeMap<MachineId, MachineHealth>) -> BTreeSet<Zone> {
    let mut zones: BTreeMap<&Zone, (usize, usize)> = BTreeMap::new();
    for (id, machine) in &cache.machines {
        if let Some(health) = health.get(id) {
            let (all, unheard) = zones.entry(&machine.zone).or_default();
            *all += 1;
            *unheard += usize::from(!health.usable);
        }
    }
    let mostly = |(all, unheard): &(usize, usize)| *unheard * 2 > *all;
    if zones.values().all(mostly) {
        return BTreeSet::new();
    }
    let cut = zones
        .into_iter()
        .filter(|(_, counts)| mostly(counts) && counts.1 >= CUT_LEAST);
    cut.map(|(zone, _)| zone.clone()).collect()
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequestPurpose {
    RefreshCatalog,
    ScaleOut {
        type_name: InstanceTypeName,
        pending_rental: PendingRental,
        version: u64,
    },
    Terminate(Vec<MachineId>),
    /// Of machines that must be rid of cancelled tasks, by whichever controller.
    TerminateForCancellation,
    ListMachines,
}

impl Provisioner {
    pub fn new(now: Now, term: Term) -> Self {
        Provisioner {
            writer: Writer::Unconfirmed {
                since: now.monotonic,
            },
            round: None,
            term,
            term_since: now.monotonic,
            next_request: 0,
            stockouts: HashMap::new(),
            asked_again: BTreeMap::new(),
            renting: BTreeMap::new(),
            rent_retry: BTreeMap::new(),
            rented: BTreeMap::new(),
            deleting: None,
            delete_retry: None,
            deleted: BTreeSet::new(),
            recently_deleted: HashMap::new(),
            failed: BTreeSet::new(),
            silent: BTreeMap::new(),
            idle: BTreeMap::new(),
            up: BTreeSet::new(),
            desired_states: BTreeMap::new(),
            closed: Vec::new(),
            unexpected: BTreeMap::new(),
            list_busy: false,
            listed: None,
            list_after: None,
            addresses: HashMap::new(),
            boot_times: BootTimes::default(),
            booting: HashMap::new(),
            late: BTreeSet::new(),
            calls: 1.0,
            calls_filled: now.monotonic,
        }
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether a machine of this type, zone and capacity type can be had, as far as is known.
    pub fn available(
        &self,
        now: Now,
        type_name: &InstanceTypeName,
        zone: &Zone,
        capacity_type: CapacityType,
    ) -> bool {
        let key = (type_name.clone(), zone.clone(), capacity_type);
        let in_stock = self
            .stockouts
            .get(&key)
            .is_none_or(|until| now.monotonic >= *until);
        in_stock && !self.is_closed(type_name, zone)
    }

    /// Whether operators empty all machines of this type in this zone.
    pub fn is_closed(&self, type_name: &InstanceTypeName, zone: &Zone) -> bool {
        self.closed
            .iter()
            .any(|scope| scope.closes(type_name, zone))
    }

    /// Takes in what operators empty.
    pub fn observe_drains(&mut self, cache: &WatchCache) {
        let holding = cache.drains.values().filter(|record| record.value.holds());
        self.closed = holding.map(|record| record.value.scope.clone()).collect();
    }

    /// Takes in what is to become of machines.
    pub fn set_desired_states(&mut self, states: BTreeMap<MachineId, MachineState>) {
        self.desired_states = states;
    }

    pub fn is_failed(&self, machine: &MachineId) -> bool {
        self.failed.contains(machine)
    }

    pub fn addresses(&self) -> &HashMap<MachineId, String> {
        &self.addresses
    }

    /// A worker reports whose machine nobody has recorded: a rental request executed late, or a machine that
    /// was there before us.
    pub fn observe_unrecorded_machine(&mut self, now: Now, heartbeat: &Heartbeat) {
        let listed = ListedMachine {
            id: heartbeat.machine.clone(),
            addr: Some(heartbeat.addr.clone()),
            type_name: heartbeat.type_name.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            state: ListedState::Running,
            age_s: Amount(0.0),
        };
        if !self.recently_deleted.contains_key(&listed.id) {
            self.unexpected
                .entry(listed.id.clone())
                .or_insert((listed, now.monotonic));
        }
    }

    /// Takes in how the machines are. `settled`: whether an attempt is proven gone, or its holder sees to it.
    pub fn observe(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
        heard: &BTreeSet<Zone>,
        settled: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        let LeaderContext {
            config,
            policy,
            catalog,
            ..
        } = *leader;
        // Where no controller was heard since this process began, all may have ended together, and nobody answers the
        // workers there: their leases are over by the time that they are called silent.
        let cut_off: BTreeSet<Zone> = cut_off(cache, health)
            .intersection(heard)
            .cloned()
            .collect();
        // A holder in a zone that is cut off renews its workers' leases for the life of its block lease, and they keep their
        // tasks for a lease longer. It takes at least `silent_after` until they are called silent.
        let patience = (policy.block_lease_duration + config.worker_lease + CUT_MARGIN)
            .saturating_sub(policy.silent_after);
        self.silent
            .retain(|machine, _| health.get(machine).is_some_and(|health| health.silent));
        self.failed
            .retain(|machine| cache.machines.contains_key(machine));
        self.addresses
            .retain(|machine, _| cache.machines.contains_key(machine));
        self.up
            .retain(|machine| cache.machines.contains_key(machine));
        self.deleted
            .retain(|machine| cache.machines.contains_key(machine));
        self.recently_deleted
            .retain(|_, at| since(now, *at) < Duration::from_secs(120));
        self.observe_boots(now, catalog, cache, health);
        for (id, machine) in &cache.machines {
            let Some(health) = health.get(id) else {
                continue;
            };
            let occupied = cache
                .placements
                .get(&machine.block)
                .is_some_and(|p| p.value.on.contains_key(id));
            let stated = catalog
                .get(&machine.type_name)
                .map_or(BOOT_UNKNOWN, InstanceType::boot_time);
            let age = Duration::from_millis(now.unix_ms().saturating_sub(machine.rented_s * 1000));
            let never_up = self.boot_times.is_lost(&machine.type_name, stated, age);
            let known_up = self.up.contains(id) || occupied;
            let mut silent = health.silent && !health.heard_elsewhere && (known_up || never_up);
            // When the cut ends, the first half of the zone's machines that are heard again must not condemn the rest.
            let suspected = cut_off.contains(&machine.zone) || self.silent.contains_key(id);
            if silent && known_up && suspected {
                let since_when = *self.silent.entry(id.clone()).or_insert(now.monotonic);
                silent = since(now, since_when) >= patience;
            }
            if (silent || health.faulty) && self.failed.insert(id.clone()) {
                warn!(machine = %id, silent, faulty = health.faulty, known_up, "machine given up");
            }
        }
        self.overdue(now, config, cache, settled);
    }

    /// Measures boot times, and finds the machines that are late.
    fn observe_boots(
        &mut self,
        now: Now,
        catalog: &InstanceCatalog,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
    ) {
        self.note_up(now, cache, health);
        let mut booting: BTreeMap<&InstanceTypeName, Vec<(&MachineId, Duration)>> = BTreeMap::new();
        for (id, rented) in &self.booting {
            if let Some(machine) = cache.machines.get(id).filter(|_| !self.failed.contains(id)) {
                booting
                    .entry(&machine.type_name)
                    .or_default()
                    .push((id, since(now, *rented)));
            }
        }
        for instance_type in catalog.all() {
            let booting = booting.remove(&instance_type.name).unwrap_or_default();
            let ages: Vec<Duration> = booting.iter().map(|(_, age)| *age).collect();
            self.boot_times
                .update(&instance_type.name, instance_type.boot_time(), &ages);
            for (id, age) in booting {
                let late =
                    self.boot_times
                        .is_late(&instance_type.name, instance_type.boot_time(), age);
                if late && self.late.insert(id.clone()) {
                    info!(machine = %id, ?age, "machine is late: another may be ordered in its place");
                }
            }
        }
    }

    /// Takes in which machines are up.
    fn note_up(
        &mut self,
        now: Now,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
    ) {
        let recorded_soon = |rented: Instant| since(now, rented) < FORGET_BOOT_AFTER;
        self.booting
            .retain(|id, rented| cache.machines.contains_key(id) || recorded_soon(*rented));
        self.late.retain(|id| cache.machines.contains_key(id));
        let seen = health
            .iter()
            .filter(|(_, health)| health.seen)
            .map(|(id, _)| id);
        for id in seen {
            let Some(machine) = cache.machines.get(id) else {
                continue;
            };
            self.up.insert(id.clone());
            self.late.remove(id);
            if let Some(rented) = self.booting.remove(id) {
                self.boot_times
                    .record(&machine.type_name, since(now, rented));
            }
        }
    }

    /// Gives up machines that still have tasks of jobs cancelled long ago. Whatever keeps their holders from proving
    /// them gone (the machine hangs, or changes hands so often that nobody finds it silent), the cloud's deletion does.
    ///
    /// After an outage nearly all cancelled tasks are this late, while their holders have long proven most of them gone
    /// and could not record it.
    fn overdue(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        settled: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        for (id, open) in cache.open.iter().filter(|(_, open)| open.cancelled) {
            if !cancellation::is_overdue(now, config, open.cancelled_ms) {
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
                let left = cache.machines.contains_key(&placement.machine)
                    && !settled(&placement.block, &attempt);
                if left && self.failed.insert(placement.machine.clone()) {
                    warn!(machine = %placement.machine, job = %id, "machine given up: its cancelled task must be gone");
                }
            }
        }
    }

    fn pass(&mut self, now: Now, rps: f64) -> bool {
        self.calls =
            (self.calls + since(now, self.calls_filled).as_secs_f64() * rps * 0.8).min(rps);
        self.calls_filled = now.monotonic;
        if self.calls < 1.0 {
            return false;
        }
        self.calls -= 1.0;
        true
    }

    /// Calls that follow from the records.
    pub fn cloud_requests(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        demand: &Demand,
    ) -> Vec<(CloudRequestPurpose, CloudRequest)> {
        let mut calls = Vec::new();
        if !cache.covers(self.term_since) {
            return calls;
        }
        for (type_name, pending_rental) in &cache.pending_rentals {
            let busy = self.renting.contains_key(type_name) || self.rented.contains_key(type_name);
            let waiting = self
                .rent_retry
                .get(type_name)
                .is_some_and(|at| now.monotonic < *at);
            if busy || waiting || !self.pass(now, config.cloud_rps) {
                continue;
            }
            self.renting.insert(type_name.clone(), now.monotonic);
            let pending_rental = pending_rental.clone();
            let request = ScaleOutRequest {
                request: pending_rental.value.request.clone(),
                type_name: type_name.clone(),
                zone: pending_rental.value.zone.clone(),
                spot: pending_rental.value.capacity_type.is_spot(),
                count: pending_rental.value.count,
            };
            let purpose = CloudRequestPurpose::ScaleOut {
                type_name: type_name.clone(),
                pending_rental: pending_rental.value,
                version: pending_rental.version,
            };
            calls.push((purpose, CloudRequest::Rent(request)));
        }
        if self.deleting.is_none() && self.delete_retry.is_none_or(|at| now.monotonic >= at) {
            let due: Vec<MachineId> = cache
                .machines
                .iter()
                .filter(|(id, _)| !self.deleted.contains(*id))
                .filter(|(id, machine)| {
                    self.failed.contains(*id)
                        || (machine.state == MachineState::Returning
                            && !demand.occupied.contains(*id))
                })
                .map(|(id, _)| id.clone())
                .take(100)
                .collect();
            if !due.is_empty() && self.pass(now, config.cloud_rps) {
                self.deleting = Some(due.clone());
                calls.push((
                    CloudRequestPurpose::Terminate(due.clone()),
                    CloudRequest::Delete(MachineNames { machines: due }),
                ));
            }
        }
        let list_due =
            self.listed.is_none_or(|at| since(now, at) >= LIST_EVERY) || self.list_after.is_some();
        if !self.list_busy && list_due && self.pass(now, config.cloud_rps) {
            self.list_busy = true;
            self.listed = Some(now.monotonic);
            calls.push((
                CloudRequestPurpose::ListMachines,
                CloudRequest::List {
                    after: self.list_after.clone(),
                },
            ));
        }
        calls
    }

    pub fn cloud_responded(
        &mut self,
        now: Now,
        policy: &Policy,
        config: &Config,
        cache: &WatchCache,
        purpose: CloudRequestPurpose,
        response: CloudResponse,
    ) {
        match (purpose, response) {
            (
                CloudRequestPurpose::ScaleOut {
                    type_name,
                    pending_rental,
                    version,
                },
                response,
            ) => {
                self.renting.remove(&type_name);
                match response {
                    CloudResponse::Rented(names) => {
                        let got = names.machines.len();
                        info!(%type_name, zone = %pending_rental.zone, capacity_type = ?pending_rental.capacity_type, wanted = pending_rental.count, got, "rented");
                        if got < pending_rental.count as usize {
                            self.mark_unavailable(now, policy, &type_name, &pending_rental);
                        }
                        self.booting.extend(
                            names
                                .machines
                                .iter()
                                .map(|machine| (machine.clone(), now.monotonic)),
                        );
                        self.rented
                            .insert(type_name, (pending_rental, version, names.machines));
                    }
                    CloudResponse::NoCapacity => {
                        debug!(%type_name, zone = %pending_rental.zone, capacity_type = ?pending_rental.capacity_type, "no capacity");
                        self.mark_unavailable(now, policy, &type_name, &pending_rental);
                        self.rented
                            .insert(type_name, (pending_rental, version, Vec::new()));
                    }
                    _ => {
                        self.rent_retry.insert(type_name, now.monotonic + RETRY);
                    }
                }
            }
            (CloudRequestPurpose::Terminate(machines), CloudResponse::Deleted) => {
                self.deleting = None;
                for machine in machines {
                    self.recently_deleted.insert(machine.clone(), now.monotonic);
                    self.deleted.insert(machine);
                }
            }
            (CloudRequestPurpose::Terminate(_), _) => {
                self.deleting = None;
                self.delete_retry = Some(now.monotonic + RETRY);
            }
            (CloudRequestPurpose::ListMachines, CloudResponse::Listed(list)) => {
                self.list_busy = false;
                self.list_after = if list.more {
                    list.machines.last().map(|m| m.id.clone())
                } else {
                    None
                };
                self.take_list(now, config, cache, list);
            }
            (CloudRequestPurpose::ListMachines, _) => self.list_busy = false,
            // Not the leader's own.
            (
                CloudRequestPurpose::RefreshCatalog | CloudRequestPurpose::TerminateForCancellation,
                _,
            ) => {}
        }
    }

    fn mark_unavailable(
        &mut self,
        now: Now,
        policy: &Policy,
        type_name: &InstanceTypeName,
        pending_rental: &PendingRental,
    ) {
        let key = (
            type_name.clone(),
            pending_rental.zone.clone(),
            pending_rental.capacity_type,
        );
        self.stockouts
            .insert(key, now.monotonic + policy.stockout_memory);
    }

    fn take_list(&mut self, now: Now, config: &Config, cache: &WatchCache, list: MachineList) {
        for listed in list.machines {
            if cache.machines.contains_key(&listed.id) {
                if let (ListedState::Running, Some(addr)) = (listed.state, &listed.addr) {
                    self.addresses
                        .entry(listed.id.clone())
                        .or_insert_with(|| addr.clone());
                }
                if listed.state == ListedState::Failed && self.failed.insert(listed.id.clone()) {
                    info!(machine = %listed.id, "machine listed as failed");
                }
            } else if !self.recently_deleted.contains_key(&listed.id)
                && since(now, self.term_since) > config.list_lag * 3
                && listed.age_s.0 > config.list_lag.as_secs_f64()
            {
                // What an earlier leader deleted is listed a while longer; only what stays is unexpected.
                self.unexpected
                    .entry(listed.id.clone())
                    .or_insert((listed, now.monotonic));
            }
        }
    }

    /// The next write: machines that came or went, or what a round decides.
    pub fn write(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
        demand: &Demand,
    ) -> Option<StoreRequest> {
        let LeaderContext { catalog, .. } = *leader;
        self.idle
            .retain(|id, _| cache.machines.contains_key(id) && !demand.occupied.contains(id));
        for id in cache
            .machines
            .keys()
            .filter(|id| !demand.occupied.contains(*id))
        {
            self.idle.entry(id.clone()).or_insert(now.monotonic);
        }
        if !self.writer.ready(now, cache) || !catalog.known() {
            return None;
        }
        let txn = Transaction::default().when(LEADER, leader.version);
        let txn = divide_inventory(leader, cache, demand, &txn)
            .or_else(|| self.record_rented(now, leader, cache, demand, &txn))
            .or_else(|| self.record_deleted(now, leader, cache, demand, &txn))
            .or_else(|| self.record_unexpected(now, leader, cache, demand, &txn))
            .or_else(|| self.record_states(leader, cache, demand, &txn))
            .or_else(|| {
                self.round(
                    Round {
                        now,
                        leader,
                        cache,
                        demand,
                    },
                    txn,
                )
            })?;
        self.writer.sent();
        Some(StoreRequest::Commit(txn))
    }

    pub fn answered(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.answered(now, outcome);
    }

    fn record_rented(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        demand: &Demand,
        txn: &Transaction,
    ) -> Option<Transaction> {
        // Recorded already, if our copy no longer has the order.
        self.rented.retain(|name, (_, version, _)| {
            cache
                .pending_rentals
                .get(name)
                .is_some_and(|o| o.version == *version)
        });
        let (name, (pending_rental, version, machines)) = self.rented.iter().next()?;
        let mut edits = InventoryEdits::new(leader, cache, demand);
        for machine in machines
            .iter()
            .filter(|machine| !cache.machines.contains_key(*machine))
        {
            let entry = InventoryEntry {
                type_name: name.clone(),
                capacity_type: pending_rental.capacity_type,
                state: MachineState::InService,
                rented_s: now.unix_ms() / 1000,
            };
            // What does not fit this transaction reports, or is listed, and is taken up then.
            edits.add(&pending_rental.zone, machine, entry, 1);
        }
        Some(
            edits.apply(
                txn.clone()
                    .when(pending_rental_key(name), *version)
                    .delete(pending_rental_key(name)),
            ),
        )
    }

    fn record_deleted(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        demand: &Demand,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let with_tasks = |id: &MachineId| {
            let block = cache.machines.get(id).map(|machine| &machine.block);
            block
                .and_then(|block| cache.placements.get(block))
                .is_some_and(|placements| placements.value.on.contains_key(id))
        };
        let waits = |id: &MachineId| {
            self.recently_deleted
                .get(id)
                .is_some_and(|at| since(now, *at) < FORGET_AFTER)
        };
        // Tasks wait for the proof that a lost machine is gone. Nothing waits for an empty one: those are gathered,
        // since each block costs a change.
        let (lost, empty): (Vec<_>, Vec<_>) = self.deleted.iter().partition(|id| with_tasks(id));
        if lost.is_empty() && empty.iter().all(|id| waits(id)) {
            return None;
        }
        let mut edits = InventoryEdits::new(leader, cache, demand);
        edits.most = leader.batch;
        for machine in lost.into_iter().chain(empty) {
            edits.change(machine, |inventory| {
                inventory.on.remove(machine);
            });
        }
        edits.any().then(|| edits.apply(txn.clone()))
    }

    fn record_unexpected(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        demand: &Demand,
        txn: &Transaction,
    ) -> Option<Transaction> {
        self.unexpected
            .retain(|id, _| !cache.machines.contains_key(id));
        // An order under way may explain it.
        let known = |listed: &ListedMachine, at: Instant| {
            !cache.pending_rentals.contains_key(&listed.type_name)
                || since(now, at) > Duration::from_secs(5)
        };
        let take: Vec<ListedMachine> = self
            .unexpected
            .values()
            .filter(|(listed, at)| known(listed, *at))
            .map(|(listed, _)| listed.clone())
            .collect();
        if take.is_empty() {
            return None;
        }
        let mut edits = InventoryEdits::new(leader, cache, demand);
        edits.most = leader.batch;
        for listed in take {
            let entry = InventoryEntry {
                type_name: listed.type_name.clone(),
                capacity_type: CapacityType::from_spot(listed.spot),
                state: MachineState::InService,
                rented_s: (now.unix_ms() / 1000)
                    .saturating_sub(listed.age_s.0.clamp(0.0, 1e9) as u64),
            };
            if !edits.add(&listed.zone, &listed.id, entry, 0) {
                break;
            }
            self.unexpected.remove(&listed.id);
            info!(machine = %listed.id, type_name = %listed.type_name, "unexpected machine taken up");
        }
        edits.any().then(|| edits.apply(txn.clone()))
    }

    /// Machines that operators take out of service or put back.
    fn record_states(
        &mut self,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        demand: &Demand,
        txn: &Transaction,
    ) -> Option<Transaction> {
        let differs = |id: &MachineId, state: MachineState| {
            let machine = cache.machines.get(id);
            machine.is_some_and(|machine| machine.state != state)
        };
        self.desired_states.retain(|id, state| differs(id, *state));
        if self.desired_states.is_empty() || cache.format() < DRAIN_FORMAT {
            return None;
        }
        let mut edits = InventoryEdits::new(leader, cache, demand);
        edits.most = leader.batch;
        for (id, state) in &self.desired_states {
            let occupied = demand.occupied.contains(id);
            if *state == MachineState::Returning && occupied {
                continue;
            }
            let changed = edits.change(id, |inventory| {
                if let Some(entry) = inventory.on.get_mut(id) {
                    entry.state = *state;
                }
            });
            if changed {
                info!(machine = %id, ?state, "machine changes");
            }
        }
        edits.any().then(|| edits.apply(txn.clone()))
    }

    /// A line for each pool in the log, and its values among the metrics.
    pub fn summary(&self, cache: &WatchCache, demand: &Demand, gauges: &mut BTreeMap<String, f64>) {
        for (pool, machines) in self.machines(cache) {
            let of_pool = |id: &MachineId| {
                cache
                    .machines
                    .get(id)
                    .is_some_and(|m| pool.contains(&m.type_name, m.capacity_type))
            };
            let up = self.up.iter().filter(|id| of_pool(id)).count();
            let idle = self
                .idle
                .keys()
                .filter(|id| of_pool(id) && self.up.contains(*id))
                .count();
            let returning = cache
                .machines
                .iter()
                .filter(|(id, m)| m.state == MachineState::Returning && of_pool(id))
                .count();
            let demand = demand.of(&pool);
            info!(type_name = %pool.type_name, capacity_type = ?pool.capacity_type, machines, up, idle, returning, demand, "pool");
            for (state, count) in [
                ("all", f64::from(machines)),
                ("up", up as f64),
                ("idle", idle as f64),
            ] {
                gauges.insert(
                    format!(
                        "machines{{type=\"{}\",capacity_type=\"{:?}\",state=\"{state}\"}}",
                        pool.type_name, pool.capacity_type
                    ),
                    count,
                );
            }
        }
    }

    /// Machines of each pool, up or on order, without those that are late.
    pub fn machines(&self, cache: &WatchCache) -> BTreeMap<MachinePool, u32> {
        let mut count = BTreeMap::new();
        for (id, machine) in &cache.machines {
            if machine.state.takes_tasks() && !self.failed.contains(id) && !self.late.contains(id) {
                *count
                    .entry(MachinePool::new(
                        machine.type_name.clone(),
                        machine.capacity_type,
                    ))
                    .or_default() += 1;
            }
        }
        count
    }
}

/// Brings the value of an inventory that is too large for the limits in force into parts.
fn divide_inventory(
    leader: &LeaderContext<'_>,
    cache: &WatchCache,
    demand: &Demand,
    txn: &Transaction,
) -> Option<Transaction> {
    // Seldom is there one, and the edits look at all tasks there are.
    if cache.format() < PARTS_FORMAT
        || too_large(cache, leader.config.state_limits.value_bytes).is_none()
    {
        return None;
    }
    let mut edits = InventoryEdits::new(leader, cache, demand);
    let division = edits.divide()?;
    info!(block = %division.block, "a value is too large: divided");
    let mut txn = edits.apply(txn.clone());
    if let Some(part) = division.finished {
        let parts = cache.inventory_parts(&division.block);
        let version = parts.and_then(|parts| parts.get(&part));
        let key = inventory_part_key(&division.block, part);
        txn = txn
            .when(key.clone(), version.map_or(0, |part| part.version))
            .delete(key);
    }
    Some(txn)
}

#[cfg(test)]
mod tests;
