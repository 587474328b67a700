//! Cancelled jobs: shares cancellations between controllers and deletes machines that may run cancelled tasks for too
//! long.
//!
//! A committed cancellation is final. Acting on it requires neither leadership nor a fresh cache, only certainty that
//! it was committed and where the job's tasks run: stopping a task or deleting a machine for it is right under every
//! leader. Deletion therefore continues during an outage of the state service for all controllers, when no controller
//! is certain to be leader. Without it, machines that hang would keep their cancelled tasks for as long as they hang.
//!
//! The controller updates [`Cancellations`] from the cache, exchanges its heartbeats, and polls it for machines to
//! delete.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::domain::{ControllerName, Incarnation, JobId, MachineId, Now};
use crate::peer::{CancelledJob, ControllerHeartbeat};
use crate::store::WatchCache;
use crate::store::cache::ChangedRecords;
use crate::store::records::BlockLease;

mod deletion;
mod peer_heartbeats;

use peer_heartbeats::PeerHeartbeats;

/// How long before the deadline of a cancelled task its machine is deleted: allows for the duration of the deletion and
/// for clock differences.
pub const DELETION_MARGIN: Duration = Duration::from_secs(8);
/// The maximum number of cancelled jobs listed in one heartbeat, newest first.
const MAX_CANCELLED_JOBS_PER_HEARTBEAT: usize = 256;

/// Whether machines that may still run tasks of a job cancelled at `cancelled_ms` are due for deletion.
pub fn is_machine_deletion_due(now: Now, config: &Config, cancelled_ms: u64) -> bool {
    let delay = config
        .cancellation_timeout
        .saturating_sub(DELETION_MARGIN)
        .max(config.cancellation_timeout / 2);
    Duration::from_millis(now.unix_ms().saturating_sub(cancelled_ms)) >= delay
}

/// The record of a cancelled job.
#[derive(Debug, Clone, Copy)]
struct CancellationRecord {
    version: u64,
    /// When the job was cancelled, in milliseconds of Unix time.
    cancelled_ms: u64,
}

/// The cancelled jobs with tasks that may still run, the heartbeats of peers, and the deletions of machines.
#[derive(Debug, Default)]
pub struct Cancellations {
    /// Cancelled jobs whose tasks are not all proven ended, according to the cache.
    unfinished: BTreeMap<JobId, CancellationRecord>,
    heartbeats: PeerHeartbeats,
    last_poll: Option<Instant>,
    /// The machines of the deletion request in flight.
    pending_deletion: Vec<MachineId>,
    retry_at: Option<Instant>,
    /// Machines deleted by this controller that are still in the inventory.
    deleted_machines: BTreeSet<MachineId>,
}

impl Cancellations {
    /// Creates the state without known cancellations.
    pub fn new() -> Self {
        Cancellations::default()
    }

    /// Updates the cancelled jobs and the deleted machines from the cache.
    pub fn sync(&mut self, cache: &WatchCache, changed: &ChangedRecords) {
        let cancelled = |job: &JobId| {
            let open = cache.open_jobs.get(job).filter(|open| open.cancelled)?;
            let record = CancellationRecord {
                version: open.version,
                cancelled_ms: open.cancelled_ms,
            };
            Some((*job, record))
        };
        if changed.all {
            self.unfinished = cache.open_jobs.keys().filter_map(cancelled).collect();
        }
        for job in &changed.cancelled_or_ended_jobs {
            match cancelled(job) {
                Some((job, record)) => self.unfinished.insert(job, record),
                None => self.unfinished.remove(job),
            };
        }
        self.deleted_machines
            .retain(|machine| cache.machines.contains_key(machine));
    }

    /// Returns the next heartbeat to the other controllers. Each heartbeat lists the cancellations again: messages
    /// may be lost, and a controller without access to the state service has no other way to learn of them.
    pub fn next_heartbeat(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
        cache: &WatchCache,
        reaches_state_service: bool,
    ) -> ControllerHeartbeat {
        ControllerHeartbeat {
            controller: controller.clone(),
            incarnation,
            sequence_number: self.heartbeats.next_sequence_number(now),
            reaches_state_service,
            // Until the cache is loaded, an earlier process of this controller may have confirmed cancellations that
            // were not read yet.
            lists_all_cancellations: cache.is_loaded()
                && self.unfinished.len() <= MAX_CANCELLED_JOBS_PER_HEARTBEAT,
            cancelled_jobs: self.newest_cancelled_jobs(),
            last_received: self.heartbeats.last_received(),
        }
    }

    fn newest_cancelled_jobs(&self) -> Vec<CancelledJob> {
        let mut newest: Vec<CancelledJob> = self
            .unfinished
            .iter()
            .map(|(job, record)| CancelledJob::new(*job, record.version, record.cancelled_ms))
            .collect();
        newest.sort_by_key(|job| std::cmp::Reverse(job.version));
        newest.truncate(MAX_CANCELLED_JOBS_PER_HEARTBEAT);
        newest
    }

    /// Records another controller's heartbeat. The cancellations that it lists must be in the cache already.
    /// `controller` and `incarnation` identify this process.
    pub fn record_heartbeat(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
        heartbeat: &ControllerHeartbeat,
    ) {
        self.heartbeats
            .record(now, controller, incarnation, heartbeat);
    }

    /// The time up to which this process knows every cancellation confirmed to a user, however stale its cache is:
    /// each other controller has listed all cancellations that it knew of after receiving a heartbeat that this
    /// process sent at this time or later. A holder that receives the heartbeats of all other controllers can thus
    /// keep its tasks running during an outage of the state service, since no cancellation can be confirmed without
    /// it learning of it.
    ///
    /// None unless the outage affects all controllers. If others reach the state service, a holder that does not is
    /// replaced, and keeps responding to workers that no other controller can reach only until its block lease ends.
    pub fn all_cancellations_known_until(&self, now: Now, config: &Config) -> Option<Instant> {
        self.heartbeats.all_cancellations_known_until(now, config)
    }

    /// Shifts the recorded times by a pause of this process, so that the pause does not count as missed heartbeats of
    /// peers.
    pub fn process_paused(&mut self, pause: Duration) {
        self.heartbeats.process_paused(pause);
    }

    /// Whether the last heartbeat of the process that holds this block lease is recent.
    pub fn is_holder_alive(&self, now: Now, lease: &BlockLease) -> bool {
        self.heartbeats.is_holder_alive(now, lease)
    }
}

#[cfg(test)]
mod tests;
