//! Cancelled jobs: every controller learns of them, and what is left of them is ended in time.
//!
//! A committed cancellation is final. Acting on it needs no leadership and no fresh copy of the records, only
//! certainty that it was committed and where the job's tasks are: a task stopped or a machine deleted for it stays
//! stopped or deleted, whoever leads. So this works on while the state service is out for everybody, which is when
//! nobody is certain to lead, and hung machines would keep their cancelled tasks for as long as they hang.
//!
//! The controller brings [`Cancellations`] up to date with the local copy of the records, exchanges its heartbeats, and
//! polls it for the machines to be deleted.

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

/// How long before a cancelled task has to be gone its machine is given up: time for the deletion, and for clocks that
/// differ.
pub const DELETION_MARGIN: Duration = Duration::from_secs(8);
/// Named in one heartbeat, the newest first.
const MAX_CANCELLED_JOBS_PER_HEARTBEAT: usize = 256;

/// Whether a job cancelled at `cancelled_ms` is so late that machines which still have tasks of it are given up.
pub fn is_machine_deletion_due(now: Now, config: &Config, cancelled_ms: u64) -> bool {
    let delay = config
        .cancel_within
        .saturating_sub(DELETION_MARGIN)
        .max(config.cancel_within / 2);
    Duration::from_millis(now.unix_ms().saturating_sub(cancelled_ms)) >= delay
}

/// The record of a cancelled job.
#[derive(Debug, Clone, Copy)]
struct CancellationRecord {
    version: u64,
    /// When the job was cancelled, in milliseconds of Unix time.
    cancelled_ms: u64,
}

/// The cancelled jobs that are not over, and what is done about them.
#[derive(Debug, Default)]
pub struct Cancellations {
    /// Cancelled jobs whose tasks are not all proven gone, by the local copy of the records.
    unfinished: BTreeMap<JobId, CancellationRecord>,
    heartbeats: PeerHeartbeats,
    last_poll: Option<Instant>,
    /// The machines of the deletion that is under way.
    pending_deletion: Vec<MachineId>,
    retry_at: Option<Instant>,
    /// Deleted from here; the inventory still has them.
    deleted_machines: BTreeSet<MachineId>,
}

impl Cancellations {
    /// None are known.
    pub fn new() -> Self {
        Cancellations::default()
    }

    /// Brings the list up to date with the local copy of the records.
    pub fn sync(&mut self, cache: &WatchCache, changed: &ChangedRecords) {
        let cancelled = |job: &JobId| {
            let open = cache.open.get(job).filter(|open| open.cancelled)?;
            let record = CancellationRecord {
                version: open.version,
                cancelled_ms: open.cancelled_ms,
            };
            Some((*job, record))
        };
        if changed.all {
            self.unfinished = cache.open.keys().filter_map(cancelled).collect();
        }
        for job in &changed.ended {
            match cancelled(job) {
                Some((job, record)) => self.unfinished.insert(job, record),
                None => self.unfinished.remove(job),
            };
        }
        self.deleted_machines
            .retain(|machine| cache.machines.contains_key(machine));
    }

    /// The heartbeat that is sent to the others now. It names cancellations again and again: a message may be lost, and who
    /// is cut off from the state service learns of them in no other way.
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
            // Without a copy an earlier process of this controller may have confirmed what was not read yet.
            lists_all_cancellations: cache.ready()
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

    /// Records another controller's heartbeat. The cancellations that it names are in the local copy already.
    /// `controller` and `incarnation`: this process.
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

    /// Every cancellation that a user was told of before this time is known here, whatever the local copy shows: each of the
    /// others has named all it knew of after this process had sent something at this time. So an outage of the state
    /// service need not end the tasks of holders that hear all other controllers, for nobody can confirm what they don't
    /// hear of.
    ///
    /// Only in an outage for all: where others reach the state service, who does not is replaced, and goes on answering the
    /// workers that nobody else can find only for the life of its block lease.
    pub fn all_cancellations_known_until(&self, now: Now, config: &Config) -> Option<Instant> {
        self.heartbeats.all_cancellations_known_until(now, config)
    }

    /// This process was paused for so long: what it did not hear meanwhile is no silence of the others.
    pub fn process_paused(&mut self, pause: Duration) {
        self.heartbeats.process_paused(pause);
    }

    /// Whether the process that holds this block lease was heard lately.
    pub fn is_holder_alive(&self, now: Now, lease: &BlockLease) -> bool {
        self.heartbeats.is_holder_alive(now, lease)
    }
}

#[cfg(test)]
mod tests;
