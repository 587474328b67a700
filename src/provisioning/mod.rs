//! Provisioning: the leader's duty to rent machines from the cloud, to record them in inventories, and to return or
//! terminate them.
//!
//! The controller owns one [`Provisioner`] for each term that it leads, and calls it in each round of the leader, in
//! this order: [`Provisioner::observe`] with the machines' health, [`Provisioner::cloud_requests`], then
//! [`Provisioner::next_transaction`]; responses come back through [`Provisioner::handle_cloud_response`] and [`Provisioner::handle_store_response`].
//! The scheduler reads which machines failed and which capacity can be had.
//!
//! Pending rentals and machines are records in the state service. What is to be done follows from them alone, so a new
//! leader continues where the old one stopped: a recorded rental is (again) requested under its name, and a machine that
//! is being returned and has no tasks is (again) terminated. All else here is knowledge that a new leader gains anew.
//!
//! Invariants: nothing is requested or decided before the local copy of the records covers the start of the term; one
//! write and one termination request are in flight at a time, and one scale-out of each instance type.

mod boot_times;
mod boot_tracker;
mod cloud_rate_limiter;
mod cloud_requests;
mod demand;
mod inventory_edits;
mod inventory_writes;
mod machine_observations;
mod pool_metrics;
mod scaling_round;
pub mod square_root_rule;
mod terminations;
mod unavailable_capacity;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use dappleshore_drain::Scope;

use crate::domain::{Attempt, BlockId, CapacityType, InstanceTypeName, MachineId, Now, Term, Zone};
use crate::leader_context::LeaderContext;
use crate::store::records::{LEADER, MachineState};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, Writer};
use cloud_rate_limiter::CloudRateLimiter;
pub use cloud_requests::CloudRequestPurpose;
use cloud_requests::{MachineListing, ScaleOutState, UnrecordedMachine};
pub use demand::{Demand, MachineHealth, MachinePool, RunTimes, ZonedPool};
use inventory_writes::divide_inventory;
use machine_observations::MachineObservations;
use scaling_round::ProvisioningContext;
use terminations::Terminations;
use unavailable_capacity::UnavailableCapacity;

/// A request that the cloud refused or did not answer is repeated after this long.
const CLOUD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The provisioner of one term of this leader.
#[derive(Debug)]
pub struct Provisioner {
    term: Term,
    term_started_at: Instant,
    writer: Writer,
    last_scaling_round: Option<Instant>,
    /// The number of the last scale-out request of this term.
    last_request_number: u64,
    scale_outs: BTreeMap<InstanceTypeName, ScaleOutState>,
    /// When types may be requested again whose request was refused or not answered.
    scale_out_retry_at: BTreeMap<InstanceTypeName, Instant>,
    unavailable: UnavailableCapacity,
    terminations: Terminations,
    listing: MachineListing,
    rate_limiter: CloudRateLimiter,
    machines: MachineObservations,
    unrecorded_machines: BTreeMap<MachineId, UnrecordedMachine>,
    /// The states that operators want of machines that are in another one.
    desired_states: BTreeMap<MachineId, MachineState>,
    /// What operators drain: nothing is rented there.
    drained_scopes: Vec<Scope>,
}

impl Provisioner {
    /// The provisioner of a term that begins now.
    #[must_use]
    pub fn new(now: Now, term: Term) -> Self {
        Provisioner {
            term,
            term_started_at: now.monotonic,
            writer: Writer::Unconfirmed {
                since: now.monotonic,
            },
            last_scaling_round: None,
            last_request_number: 0,
            scale_outs: BTreeMap::new(),
            scale_out_retry_at: BTreeMap::new(),
            unavailable: UnavailableCapacity::default(),
            terminations: Terminations::new(),
            listing: MachineListing::default(),
            rate_limiter: CloudRateLimiter::new(now),
            machines: MachineObservations::default(),
            unrecorded_machines: BTreeMap::new(),
            desired_states: BTreeMap::new(),
            drained_scopes: Vec::new(),
        }
    }

    /// The term that it provisions in.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether a machine of this type, zone and capacity type can be had, as far as is known.
    #[must_use]
    pub fn is_available(
        &self,
        now: Now,
        type_name: &InstanceTypeName,
        zone: &Zone,
        capacity_type: CapacityType,
    ) -> bool {
        let pool = ZonedPool::new(type_name.clone(), capacity_type, zone.clone());
        self.unavailable.is_available(now, &pool) && !self.is_drained(type_name, zone)
    }

    /// Whether operators drain all machines of this type in this zone.
    #[must_use]
    pub fn is_drained(&self, type_name: &InstanceTypeName, zone: &Zone) -> bool {
        self.drained_scopes
            .iter()
            .any(|scope| scope.closes(type_name, zone))
    }

    /// Takes in what operators drain.
    pub fn update_drained_scopes(&mut self, cache: &WatchCache) {
        let holding = cache.drains.values().filter(|record| record.value.holds());
        self.drained_scopes = holding.map(|record| record.value.scope.clone()).collect();
    }

    /// Sets the states that operators want of machines. They are recorded by later writes.
    pub fn set_desired_states(&mut self, states: BTreeMap<MachineId, MachineState>) {
        self.desired_states = states;
    }

    /// Whether the machine was declared failed: it is terminated, and gets no tasks.
    #[must_use]
    pub fn is_failed(&self, machine: &MachineId) -> bool {
        self.machines.is_failed(machine)
    }

    /// Workers' addresses, as the cloud lists them, for holders that have not heard from them yet.
    #[must_use]
    pub fn addresses(&self) -> &HashMap<MachineId, String> {
        self.machines.addresses()
    }

    /// Takes in how the machines are, and declares failed those that have to be terminated.
    ///
    /// `heard_zones`: zones from which any controller was heard since this process began. `proven_stopped`: whether an
    /// attempt is proven stopped, or its holder is still able to prove it.
    pub fn observe(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
        heard_zones: &BTreeSet<Zone>,
        proven_stopped: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        self.terminations.retain_current(now, cache);
        self.machines
            .observe(now, leader, cache, health, heard_zones, proven_stopped);
    }

    /// The next write, if the last one is done: machines that came or went, or what a round decides.
    pub fn next_transaction(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
        demand: &Demand,
    ) -> Option<StoreRequest> {
        self.machines
            .observe_idle(now, cache, |id| demand.occupied.contains(id));
        if !self.writer.ready(now, cache) || !leader.catalog.is_loaded() {
            return None;
        }
        let context = ProvisioningContext {
            now,
            leader,
            cache,
            demand,
        };
        let txn = Transaction::default().when(LEADER, leader.record_version);
        let txn = divide_inventory(leader, context.cache, demand, &txn)
            .or_else(|| self.record_fulfilled_scale_out(context, &txn))
            .or_else(|| self.record_terminations(context, &txn))
            .or_else(|| self.record_unrecorded_machines(context, &txn))
            .or_else(|| self.record_desired_states(context, &txn))
            .or_else(|| self.run_scaling_round(context, txn))?;
        self.writer.sent();
        Some(StoreRequest::Commit(txn))
    }

    /// Takes in the state service's response to the last write.
    pub fn handle_store_response(&mut self, now: Now, response: &StoreResponse) {
        self.writer.answered(now, response);
    }
}

#[cfg(test)]
mod tests;
