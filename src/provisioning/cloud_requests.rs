//! The provisioner's requests to the cloud, and the handling of their responses.
//!
//! Requests follow from the records: a recorded rental is requested under its name until its result is recorded, and a
//! machine that is failed or returning is terminated until its removal is recorded. A request that is lost, repeated
//! or sent by an earlier leader therefore does no harm. All requests are subject to the rate limit.

use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::{CLOUD_RETRY_DELAY, Demand, Provisioner, ZonedPool};
use crate::cloud::wire::{ListedMachine, ListedState, MachineIds, MachineList, ScaleOutRequest};
use crate::cloud::{CloudRequest, CloudResponse};
use crate::config::Config;
use crate::domain::{Amount, InstanceTypeName, MachineId, Now, since};
use crate::policy::Policy;
use crate::store::WatchCache;
use crate::store::records::{MachineState, PendingRental};
use crate::workers::wire::Heartbeat;

/// Limit of the cloud's protocol for the machines of one termination request.
const MAX_MACHINES_PER_TERMINATION: usize = 100;
/// Interval at which the cloud's machines are listed.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The purpose of a request to the cloud. It is returned with the response.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequestPurpose {
    /// Reads the instance types.
    RefreshCatalog,
    /// Carries out a recorded rental.
    ScaleOut {
        /// The instance type, which is the key of the rental's record.
        type_name: InstanceTypeName,
        /// The recorded rental.
        pending_rental: PendingRental,
        /// The version of its record.
        version: u64,
    },
    /// Terminates these machines.
    Terminate(Vec<MachineId>),
    /// Terminates machines whose cancelled tasks must stop. Any controller may send it.
    TerminateForCancellation,
    /// Finds unrecorded machines and the addresses of workers.
    ListMachines,
}

/// The progress of the scale-out of an instance type. A recorded rental without a state is requested as soon as its
/// retry delay, if any, has passed.
#[derive(Debug)]
pub(super) enum ScaleOutState {
    /// The request was sent.
    InFlight,
    /// The cloud has granted or denied the request.
    Fulfilled(FulfilledScaleOut),
}

/// The result of a scale-out request, kept until its machines are recorded.
#[derive(Debug)]
pub(super) struct FulfilledScaleOut {
    pub(super) pending_rental: PendingRental,
    /// The version of the rental's record.
    pub(super) version: u64,
    /// The granted machines: fewer than requested, or none, if the cloud had no more capacity.
    pub(super) machines: Vec<MachineId>,
}

/// The progress of the listing of the cloud's machines.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    in_flight: bool,
    last_request_at: Option<Instant>,
    /// The last machine of the previous page, if it was not the end of the list.
    next_page_after: Option<MachineId>,
}

/// A machine that is listed by the cloud or reports, but is not recorded.
#[derive(Debug)]
pub(super) struct UnrecordedMachine {
    pub(super) listed: ListedMachine,
    pub(super) first_seen: Instant,
}

impl Provisioner {
    /// Returns the requests that the records call for and that the cloud's rate limit allows now.
    pub fn cloud_requests(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        demand: &Demand,
    ) -> Vec<(CloudRequestPurpose, CloudRequest)> {
        // The local copy must contain the writes of earlier leaders.
        if !cache.is_current_as_of(self.term_started_at) {
            return Vec::new();
        }
        let mut requests = self.scale_out_requests(now, config, cache);
        requests.extend(self.termination_request(now, config, cache, demand));
        requests.extend(self.list_request(now, config));
        requests
    }

    fn scale_out_requests(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
    ) -> Vec<(CloudRequestPurpose, CloudRequest)> {
        let mut requests = Vec::new();
        for (type_name, record) in &cache.pending_rentals {
            let is_delayed = self
                .scale_out_retry_at
                .get(type_name)
                .is_some_and(|at| now.monotonic < *at);
            let in_progress = self.scale_outs.contains_key(type_name);
            if in_progress || is_delayed || !self.rate_limiter.try_acquire(now, config.cloud_rps) {
                continue;
            }
            self.scale_outs
                .insert(type_name.clone(), ScaleOutState::InFlight);
            let pending_rental = record.value.clone();
            let request = ScaleOutRequest {
                request: pending_rental.request.clone(),
                type_name: type_name.clone(),
                zone: pending_rental.zone.clone(),
                spot: pending_rental.capacity_type.is_spot(),
                count: pending_rental.count,
            };
            let purpose = CloudRequestPurpose::ScaleOut {
                type_name: type_name.clone(),
                pending_rental,
                version: record.version,
            };
            requests.push((purpose, CloudRequest::ScaleOut(request)));
        }
        requests
    }

    fn termination_request(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        demand: &Demand,
    ) -> Option<(CloudRequestPurpose, CloudRequest)> {
        if !self.terminations.can_request(now) {
            return None;
        }
        let is_due = |id: &MachineId, state: MachineState| {
            let is_returned = state == MachineState::Returning && !demand.occupied.contains(id);
            !self.terminations.is_awaiting_removal(id)
                && (self.machines.is_failed(id) || is_returned)
        };
        let due: Vec<MachineId> = cache
            .machines
            .iter()
            .filter(|(id, machine)| is_due(id, machine.state))
            .map(|(id, _)| id.clone())
            .take(MAX_MACHINES_PER_TERMINATION)
            .collect();
        if due.is_empty() || !self.rate_limiter.try_acquire(now, config.cloud_rps) {
            return None;
        }
        self.terminations.record_request();
        let purpose = CloudRequestPurpose::Terminate(due.clone());
        Some((
            purpose,
            CloudRequest::Terminate(MachineIds { machines: due }),
        ))
    }

    fn list_request(
        &mut self,
        now: Now,
        config: &Config,
    ) -> Option<(CloudRequestPurpose, CloudRequest)> {
        let listing = &mut self.listing;
        let due = listing.next_page_after.is_some()
            || listing
                .last_request_at
                .is_none_or(|at| since(now, at) >= LIST_INTERVAL);
        if listing.in_flight || !due || !self.rate_limiter.try_acquire(now, config.cloud_rps) {
            return None;
        }
        listing.in_flight = true;
        listing.last_request_at = Some(now.monotonic);
        let after = listing.next_page_after.clone();
        Some((
            CloudRequestPurpose::ListMachines,
            CloudRequest::ListMachines { after },
        ))
    }

    /// Handles the cloud's response to a request of [`Provisioner::cloud_requests`].
    pub fn handle_cloud_response(
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
            ) => self.handle_scale_out_response(
                now,
                policy,
                &type_name,
                pending_rental,
                version,
                response,
            ),
            (CloudRequestPurpose::Terminate(machines), CloudResponse::Terminated) => {
                self.terminations.record_success(now, machines);
            }
            (CloudRequestPurpose::Terminate(_), _) => self.terminations.record_failure(now),
            (CloudRequestPurpose::ListMachines, CloudResponse::Machines(list)) => {
                self.listing.in_flight = false;
                let last_machine = list.machines.last().filter(|_| list.more);
                self.listing.next_page_after = last_machine.map(|machine| machine.id.clone());
                self.process_machine_list(now, config, cache, list);
            }
            (CloudRequestPurpose::ListMachines, _) => self.listing.in_flight = false,
            // Sent by other modules.
            (
                CloudRequestPurpose::RefreshCatalog | CloudRequestPurpose::TerminateForCancellation,
                _,
            ) => {}
        }
    }

    fn handle_scale_out_response(
        &mut self,
        now: Now,
        policy: &Policy,
        type_name: &InstanceTypeName,
        pending_rental: PendingRental,
        version: u64,
        response: CloudResponse,
    ) {
        let PendingRental {
            ref request,
            ref zone,
            capacity_type,
            count,
        } = pending_rental;
        let machines = match response {
            CloudResponse::ScaledOut(MachineIds { machines }) => {
                let granted = machines.len();
                info!(%request, %type_name, %zone, ?capacity_type, requested = count, granted, "scale-out fulfilled");
                if granted < count as usize {
                    self.mark_unavailable(now, policy, type_name, &pending_rental);
                }
                self.machines.boot_tracker.record_granted(now, &machines);
                machines
            }
            CloudResponse::NoCapacity => {
                debug!(%request, %type_name, %zone, ?capacity_type, "instance type unavailable");
                self.mark_unavailable(now, policy, type_name, &pending_rental);
                Vec::new()
            }
            _ => {
                // A late response to a request of an earlier term must not discard machines that were granted since.
                if let Some(ScaleOutState::InFlight) = self.scale_outs.get(type_name) {
                    self.scale_outs.remove(type_name);
                }
                self.scale_out_retry_at
                    .insert(type_name.clone(), now.monotonic + CLOUD_RETRY_DELAY);
                return;
            }
        };
        let fulfilled = FulfilledScaleOut {
            pending_rental,
            version,
            machines,
        };
        self.scale_outs
            .insert(type_name.clone(), ScaleOutState::Fulfilled(fulfilled));
    }

    /// Marks the type, zone and capacity type of a rental as unavailable.
    pub(super) fn mark_unavailable(
        &mut self,
        now: Now,
        policy: &Policy,
        type_name: &InstanceTypeName,
        pending_rental: &PendingRental,
    ) {
        let pool = ZonedPool::new(
            type_name.clone(),
            pending_rental.capacity_type,
            pending_rental.zone.clone(),
        );
        self.unavailable
            .mark_unavailable(now, pool, policy.unavailable_capacity_ttl);
    }

    fn process_machine_list(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        list: MachineList,
    ) {
        for listed in list.machines {
            if cache.machines.contains_key(&listed.id) {
                if let (ListedState::Running, Some(address)) = (listed.state, &listed.addr) {
                    self.machines.record_listed_address(&listed.id, address);
                }
                if listed.state == ListedState::Failed {
                    self.machines.mark_listed_as_failed(&listed.id);
                }
            } else if since(now, self.term_started_at) > config.list_lag * 3
                && listed.age_s.0 > config.list_lag.as_secs_f64()
            {
                // Machines terminated by an earlier leader stay listed for a while; only machines that are listed for
                // longer are unrecorded.
                self.add_unrecorded_machine(now, listed);
            }
        }
    }

    /// Handles the heartbeat of a worker whose machine is not recorded: the machine was granted by a delayed
    /// scale-out, or existed before this cluster.
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
        self.add_unrecorded_machine(now, listed);
    }

    fn add_unrecorded_machine(&mut self, now: Now, listed: ListedMachine) {
        if !self.terminations.is_recently_terminated(&listed.id) {
            let first_seen = now.monotonic;
            self.unrecorded_machines
                .entry(listed.id.clone())
                .or_insert(UnrecordedMachine { listed, first_seen });
        }
    }
}
