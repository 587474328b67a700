//! Deletion of machines that may still run a cancelled task near its deadline. Any controller may delete them.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::warn;

use super::{Cancellations, is_machine_deletion_due};
use crate::cloud::wire::MachineIds;
use crate::cloud::{CloudRequest, CloudResponse};
use crate::config::Config;
use crate::domain::{Attempt, BlockId, Incarnation, JobId, MachineId, Now, TaskId, since};
use crate::provisioning::CloudRequestPurpose;
use crate::store::WatchCache;

/// The time between two searches for machines to delete.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The delay before a refused or unanswered deletion is retried. Machines that are deleted already are ignored.
pub(super) const DELETION_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of machines in one deletion request, a limit of the cloud's protocol.
const MAX_MACHINES_PER_DELETION: usize = 100;

impl Cancellations {
    /// Returns a request that deletes machines on which a cancelled task may still run near its deadline: machines of
    /// this holder's blocks whose task is not proven ended, and machines of holders without recent heartbeats.
    ///
    /// `incarnation` is that of this process. `is_proven_ended` returns whether an attempt of this holder is proven
    /// ended.
    pub fn poll(
        &mut self,
        now: Now,
        config: &Config,
        incarnation: Incarnation,
        cache: &WatchCache,
        is_proven_ended: impl Fn(&BlockId, &MachineId, &Attempt) -> bool,
    ) -> Option<(CloudRequestPurpose, CloudRequest)> {
        if self.unfinished.is_empty()
            || self
                .last_poll
                .is_some_and(|at| since(now, at) < POLL_INTERVAL)
        {
            return None;
        }
        self.last_poll = Some(now.monotonic);
        if !self.pending_deletion.is_empty() || self.retry_at.is_some_and(|at| now.monotonic < at) {
            return None;
        }
        let mut due = BTreeSet::new();
        let overdue = self
            .unfinished
            .iter()
            .filter(|(_, record)| is_machine_deletion_due(now, config, record.cancelled_ms));
        for (job, _) in overdue {
            for (attempt, block, machine) in self.remaining_attempts(*job, cache) {
                let Some(lease) = cache.block_leases.get(block) else {
                    continue;
                };
                let lease = &lease.value;
                let resolved = if lease.holder == config.name && lease.incarnation == incarnation {
                    is_proven_ended(block, machine, &attempt)
                } else {
                    self.is_holder_alive(now, lease)
                };
                if !resolved && due.insert(machine.clone()) {
                    warn!(%machine, %attempt, "deleting machine: a cancelled task on it is not proven ended");
                }
            }
        }
        let machines: Vec<MachineId> = due.into_iter().take(MAX_MACHINES_PER_DELETION).collect();
        if machines.is_empty() {
            return None;
        }
        self.pending_deletion.clone_from(&machines);
        let request = CloudRequest::Terminate(MachineIds { machines });
        Some((CloudRequestPurpose::TerminateForCancellation, request))
    }

    /// The recorded attempts of a job, with block and machine, on machines that are in the inventory and not deleted.
    fn remaining_attempts<'a>(
        &'a self,
        job: JobId,
        cache: &'a WatchCache,
    ) -> impl Iterator<Item = (Attempt, &'a BlockId, &'a MachineId)> {
        let placed = cache.job_placements(job).iter();
        let remaining = placed.filter(|(_, placement)| {
            cache.machines.contains_key(&placement.machine)
                && !self.deleted_machines.contains(&placement.machine)
        });
        remaining.map(move |((index, number), placement)| {
            let task = TaskId { job, index: *index };
            let attempt = Attempt {
                task,
                number: *number,
            };
            (attempt, &placement.block, &placement.machine)
        })
    }

    /// Handles the response to a deletion. The leader updates the inventory: it finds the same machines due for
    /// deletion.
    pub fn handle_cloud_response(&mut self, now: Now, outcome: &CloudResponse) {
        let machines = std::mem::take(&mut self.pending_deletion);
        match outcome {
            CloudResponse::Terminated => self.deleted_machines.extend(machines),
            _ => self.retry_at = Some(now.monotonic + DELETION_RETRY_INTERVAL),
        }
    }
}
