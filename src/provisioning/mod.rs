//! Provisioning: the leader rents machines from the cloud, records them in inventories, and returns or terminates
//! them.
//!
//! The controller creates a [`Provisioner`] for each term that it leads, and calls it in each round of the leader in
//! this order: [`Provisioner::observe`] with the machines' health, [`Provisioner::cloud_requests`], then
//! [`Provisioner::next_transaction`]. Responses are passed to [`Provisioner::handle_cloud_response`] and
//! [`Provisioner::handle_store_response`]. The scheduler reads which machines have failed and which capacity is
//! available.
//!
//! Pending rentals and machines are records in the state service, and all pending work follows from these records. A
//! new leader therefore continues where the previous one stopped: it requests a recorded rental again under the same
//! name, and terminates a returning machine without tasks again. All other state here is rebuilt by a new leader.
//!
//! Invariants: no request is sent and no decision is made before the local copy of the records covers the start of the
//! term. At most one write and one termination request are in flight, and at most one scale-out for each instance
//! type.

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
use crate::leader_writer::{LeaderWriter, WriteTurn};
use crate::store::records::{FencedModule, MachineState};
use crate::store::{StoreRequest, StoreResponse, WatchCache, WriterState};
use cloud_rate_limiter::CloudRateLimiter;
pub use cloud_requests::CloudRequestPurpose;
use cloud_requests::{MachineListing, ScaleOutState, UnrecordedMachine};
pub use demand::{Demand, MachineHealth, MachinePool, RunTimes, ZonedPool};
use inventory_writes::divide_inventory;
use machine_observations::MachineObservations;
use scaling_round::ProvisioningContext;
use terminations::Terminations;
use unavailable_capacity::UnavailableCapacity;

/// Delay before a request that the cloud refused or did not answer is repeated.
const CLOUD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The provisioner of one term of this leader.
#[derive(Debug)]
pub struct Provisioner {
    term: Term,
    term_started_at: Instant,
    writer: LeaderWriter,
    last_scaling_round: Option<Instant>,
    /// The number of the last scale-out request of this term.
    last_request_number: u64,
    scale_outs: BTreeMap<InstanceTypeName, ScaleOutState>,
    /// When an instance type may be requested again after its request was refused or not answered.
    scale_out_retry_at: BTreeMap<InstanceTypeName, Instant>,
    unavailable: UnavailableCapacity,
    terminations: Terminations,
    listing: MachineListing,
    rate_limiter: CloudRateLimiter,
    machines: MachineObservations,
    unrecorded_machines: BTreeMap<MachineId, UnrecordedMachine>,
    /// States requested by operators for machines whose recorded state differs.
    desired_states: BTreeMap<MachineId, MachineState>,
    /// Scopes that operators drain; no machines are rented there.
    drained_scopes: Vec<Scope>,
}

impl Provisioner {
    /// Creates the provisioner of a term that begins now.
    #[must_use]
    pub fn new(now: Now, term: Term) -> Self {
        Provisioner {
            term,
            term_started_at: now.monotonic,
            writer: LeaderWriter::new(
                FencedModule::Provisioning,
                WriterState::Unconfirmed {
                    since: now.monotonic,
                },
            ),
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

    /// The term in which the provisioner acts.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether machines of this type, zone and capacity type are believed to be available: the cloud did not report a
    /// lack of them recently, and operators do not drain them.
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
            .any(|scope| scope.covers_type_in_zone(type_name, zone))
    }

    /// Updates the drained scopes from the drain records.
    pub fn update_drained_scopes(&mut self, cache: &WatchCache) {
        let active_drains = cache
            .drains
            .values()
            .filter(|record| record.value.is_in_effect());
        self.drained_scopes = active_drains
            .map(|record| record.value.scope.clone())
            .collect();
    }

    /// Sets the machine states that operators request. Later transactions record them.
    pub fn set_desired_states(&mut self, states: BTreeMap<MachineId, MachineState>) {
        self.desired_states = states;
    }

    /// Whether the machine was declared failed. A failed machine is terminated and gets no tasks.
    #[must_use]
    pub fn is_failed(&self, machine: &MachineId) -> bool {
        self.machines.is_failed(machine)
    }

    /// Addresses of workers as listed by the cloud, for holders that have not received a heartbeat from them yet.
    #[must_use]
    pub fn addresses(&self) -> &HashMap<MachineId, String> {
        self.machines.addresses()
    }

    /// Updates what is known of the machines, and declares those failed that have to be terminated.
    ///
    /// `heard_zones`: zones from which a message of any controller was received since this process started.
    /// `proven_ended`: whether an attempt is proven to have ended, or its holder is still able to prove it.
    pub fn observe(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
        health: &BTreeMap<MachineId, MachineHealth>,
        heard_zones: &BTreeSet<Zone>,
        proven_ended: impl Fn(&BlockId, &Attempt) -> bool,
    ) {
        self.terminations.retain_current(now, cache);
        self.machines
            .observe(now, leader, cache, health, heard_zones, proven_ended);
    }

    /// Returns the next write once the outcome of the previous one is decided: machines that were granted or terminated, requested
    /// states, divided inventories, or the result of a scaling round.
    pub fn next_transaction(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
        demand: &Demand,
    ) -> Option<StoreRequest> {
        self.machines
            .observe_idle(now, cache, |id| demand.occupied.contains(id));
        if !leader.catalog.is_loaded() {
            return None;
        }
        match self.writer.poll(now, leader, cache) {
            WriteTurn::Wait => return None,
            WriteTurn::Fence(request) => return Some(request),
            WriteTurn::Ready => {}
        }
        let context = ProvisioningContext {
            now,
            leader,
            cache,
            demand,
        };
        let txn = self.writer.begin(leader, cache);
        let txn = divide_inventory(leader, context.cache, demand, &txn)
            .or_else(|| self.record_fulfilled_scale_out(context, &txn))
            .or_else(|| self.record_terminations(context, &txn))
            .or_else(|| self.record_unrecorded_machines(context, &txn))
            .or_else(|| self.record_desired_states(context, &txn))
            .or_else(|| self.run_scaling_round(context, txn))?;
        Some(self.writer.send(leader, txn))
    }

    /// Handles the state service's response to the last write.
    pub fn handle_store_response(&mut self, now: Now, response: &StoreResponse) {
        self.writer.record_response(now, response);
    }
}

#[cfg(test)]
mod tests;
