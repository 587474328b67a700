//! Manages one block that is leased to this controller.
//!
//! A [`Block`] owns the holder's state of the block's machines: the workers and their reports (`heartbeats`), the
//! commands to them (`commands`), the leader's assignments (`assignments`), the recorded placements (`recorded`) and
//! the transactions on them (`placement_writes`, `placement_writer`), and the status for the leader (`status`).
//! [`super::WorkerFleet`] calls it; it sends nothing itself, but returns commands, transactions and messages.
//!
//! Invariants:
//! - An attempt is launched only after it is recorded, and only on a worker that has confirmed the block's token.
//! - An attempt is added to `proven_ended` only if its end is proven: the worker, having confirmed the block's token,
//!   reports the exit, or does not list the attempt while no launch of it can still be executed; or the machine is
//!   deleted and in no inventory.
//! - At most one transaction on the placements is in flight.

mod assignments;
mod commands;
mod heartbeats;
mod placement_writer;
mod placement_writes;
mod recorded;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tracing::info;

use super::worker::Worker;
use crate::domain::{Attempt, BlockId, FencingToken, JobId, MachineId, Now};
use crate::policy::Policy;
use crate::store::records::BlockLease;
use crate::store::{Versioned, WatchCache};
use assignments::Assignments;
pub(super) use commands::CommandChannel;
pub(super) use heartbeats::ReportSource;
use placement_writer::PlacementWriter;
#[cfg(test)]
pub(super) use placement_writes::WRITE_CHECK_INTERVAL;
pub(super) use recorded::RecordedPlacements;
use status::StatusSequence;

/// A new token is requested when one has been needed for this long.
pub(super) const TOKEN_RENEWAL_DELAY: Duration = Duration::from_secs(3);

/// The outcome of an ended attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    /// The attempt finished its task.
    Done,
    /// The attempt ended without finishing its task, which may have to run again.
    Unfinished,
}

/// An attempt that is proven to have ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct EndedAttempt {
    machine: MachineId,
    attempt: Attempt,
}

/// Tracks whether the block needs a new fencing token. Workers that have received it execute nothing that was sent under
/// the old one, so that they no longer need their entries for ended attempts.
#[derive(Debug, Default)]
struct TokenRenewal {
    /// Since when a new token is needed.
    needed_since: Option<Instant>,
    /// For some task, the only machines with enough free resources still need their entry for an earlier attempt of it.
    placement_blocked: bool,
}

/// A block that is leased to this controller.
#[derive(Debug)]
pub(super) struct Block {
    pub(super) id: BlockId,
    pub(super) token: FencingToken,
    pub(super) lease_version: u64,
    pub(super) recorded: RecordedPlacements,
    writer: PlacementWriter,
    pub(super) workers: BTreeMap<MachineId, Worker>,
    assignments: Assignments,
    /// The attempts that are proven to have ended, but not yet recorded as ended.
    proven_ended: BTreeMap<EndedAttempt, AttemptOutcome>,
    token_renewal: TokenRenewal,
    /// The number of workers whose heartbeats were overdue at the last review.
    overdue_workers: u32,
    /// Workers that may need a direct command. The set saves a scan of all workers on each event.
    pub(super) workers_to_command: BTreeSet<MachineId>,
    /// Workers whose status may have changed since the last status message to the leader.
    workers_to_report: BTreeSet<MachineId>,
    status_sequence: StatusSequence,
    /// When the block was last checked for changes to write.
    last_write_check: Option<Instant>,
    /// When the block last wrote: the block with the oldest write is next.
    pub(super) last_write: Option<Instant>,
    /// For each task that was observed to start, when its job was accepted, in ms of Unix time; for the metrics.
    started_accepted_ms: Vec<u64>,
}

impl Block {
    /// Creates a block that was just leased to this controller. Its workers are not known yet.
    pub(super) fn new(
        id: BlockId,
        lease: &Versioned<BlockLease>,
        recorded: RecordedPlacements,
    ) -> Self {
        Block {
            id,
            token: lease.value.token,
            lease_version: lease.version,
            recorded,
            writer: PlacementWriter::new(),
            workers: BTreeMap::new(),
            assignments: Assignments::default(),
            proven_ended: BTreeMap::new(),
            token_renewal: TokenRenewal::default(),
            overdue_workers: 0,
            workers_to_command: BTreeSet::new(),
            workers_to_report: BTreeSet::new(),
            status_sequence: StatusSequence::default(),
            last_write_check: None,
            last_write: None,
            started_accepted_ms: Vec::new(),
        }
    }

    /// Applies a newer version of the lease, which comes from a new leader. The assignments of the previous leader are
    /// void. No write under the old version can be committed any more, so `recorded` contains all of them that were.
    pub(super) fn renew_lease(
        &mut self,
        lease: &Versioned<BlockLease>,
        recorded: RecordedPlacements,
    ) {
        self.lease_version = lease.version;
        self.raise_token(lease.value.token);
        self.recorded = recorded;
        self.assignments.clear();
        self.writer.reset_after_lease_renewal();
        self.resend_all_statuses();
    }

    /// Applies a new token. Workers that have received it execute nothing that was sent under the old one.
    fn raise_token(&mut self, token: FencingToken) {
        if token == self.token {
            return;
        }
        info!(block = %self.id, old = %self.token, %token, "fencing token raised");
        self.token = token;
        self.token_renewal = TokenRenewal::default();
        for (id, worker) in &mut self.workers {
            worker.launches.clear();
            worker.command_pending = true;
            self.workers_to_command.insert(id.clone());
            self.workers_to_report.insert(id.clone());
        }
    }

    /// Makes the next status message include all machines: a new leader, or the same one under a new lease, has no
    /// status of them.
    fn resend_all_statuses(&mut self) {
        self.status_sequence = StatusSequence::default();
        for (id, worker) in &mut self.workers {
            worker.reported_status = None;
            self.workers_to_report.insert(id.clone());
        }
    }

    /// Includes these machines in the next round of direct commands, without waiting for their heartbeats.
    pub(super) fn request_commands(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        for machine in machines {
            if let Some(worker) = self.workers.get_mut(&machine) {
                worker.command_pending = true;
                self.workers_to_command.insert(machine);
            }
        }
    }

    /// Updates all machines that are, or were, in the block from the records.
    pub(super) fn sync_machines(&mut self, now: Now, cache: &WatchCache) {
        let inventory = cache.inventories.get(&self.id);
        let known: BTreeSet<MachineId> = self
            .workers
            .keys()
            .chain(self.recorded.machines())
            .chain(
                inventory
                    .iter()
                    .flat_map(|inventory| inventory.value.machines.keys()),
            )
            .cloned()
            .collect();
        for machine in known {
            let current_block = cache.machines.get(&machine).map(|record| &record.block);
            self.sync_machine(now, &machine, current_block);
        }
    }

    /// Adds a machine that is in the block, and removes one that is not. `current_block`: the block that the machine is
    /// recorded in, if any.
    pub(super) fn sync_machine(
        &mut self,
        now: Now,
        id: &MachineId,
        current_block: Option<&BlockId>,
    ) {
        if current_block == Some(&self.id) {
            if !self.workers.contains_key(id) {
                self.workers.insert(id.clone(), Worker::new(now));
                self.workers_to_report.insert(id.clone());
            }
            return;
        }
        self.workers.remove(id);
        if current_block.is_some() {
            // It is recorded in two blocks and not deleted: its tasks may still run.
            return;
        }
        // A machine is removed from all inventories only after the cloud has deleted it, so its tasks have ended.
        for attempt in self.recorded.attempts_on(id) {
            let ended = EndedAttempt {
                machine: id.clone(),
                attempt,
            };
            self.proven_ended.entry(ended).or_insert_with(|| {
                info!(%attempt, proof = "machine deleted", "task lost");
                AttemptOutcome::Unfinished
            });
        }
    }

    /// Whether an attempt is proven to have ended, or is not recorded on this machine.
    pub(super) fn is_proven_ended(&self, machine: &MachineId, attempt: &Attempt) -> bool {
        let ended = EndedAttempt {
            machine: machine.clone(),
            attempt: *attempt,
        };
        self.proven_ended.contains_key(&ended) || !self.recorded.contains(machine, attempt)
    }

    /// Returns the number of workers whose status may have changed.
    pub(super) fn workers_to_report_count(&self) -> usize {
        self.workers_to_report.len()
    }

    /// Returns the number of attempts that have to be placed or recorded as ended.
    pub(super) fn pending_changes(&self) -> usize {
        self.assignments.pending.len() + self.proven_ended.len()
    }

    /// Returns, for each task that was observed to start since the last call, when its job was accepted, in ms of Unix
    /// time.
    pub(super) fn take_accept_times_of_started_tasks(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.started_accepted_ms)
    }

    /// Excludes a pause of this process, in which it could receive nothing, from the ages of heartbeats.
    pub(super) fn process_paused(&mut self, pause: Duration) {
        for worker in self.workers.values_mut() {
            worker.liveness.process_paused(pause);
        }
    }

    /// Reviews time-based conditions: overdue heartbeats, launches to be sent again, probes, and the need for a new
    /// token.
    ///
    /// `overdue_after`: the age of the last heartbeat after which the next one is overdue.
    pub(super) fn review(&mut self, now: Now, overdue_after: Duration, policy: &Policy) {
        self.review_token(now);
        self.overdue_workers = 0;
        for (id, worker) in &mut self.workers {
            let overdue =
                worker.addr.is_some() && worker.liveness.heartbeat_overdue(now, overdue_after);
            self.overdue_workers += u32::from(overdue);
            let recorded = &self.recorded;
            worker
                .launches
                .retain_states(|attempt| recorded.contains(id, attempt));
            if worker.launches.resend_due(now) && worker.liveness.heartbeat_is_recent(now) {
                worker.command_pending = true;
            }
            let command_due = worker.command_pending || worker.probe_due(now, overdue_after);
            if command_due && !worker.command_in_flight {
                self.workers_to_command.insert(id.clone());
            }
            let health = (
                worker.is_unresponsive(now, policy),
                worker.is_usable(now, self.token),
            );
            let unchanged = worker.reported_status.as_ref().is_some_and(|reported| {
                (reported.status.unresponsive, reported.status.usable) == health
            });
            if !unchanged {
                self.workers_to_report.insert(id.clone());
            }
        }
    }

    /// Records since when a new token is needed.
    fn review_token(&mut self, now: Now) {
        let needed = self.token_renewal.placement_blocked
            || self.workers.values().any(Worker::needs_new_token);
        self.token_renewal.needed_since = self
            .token_renewal
            .needed_since
            .filter(|_| needed)
            .or_else(|| needed.then_some(now.monotonic));
    }
}

/// Whether a job is neither cancelled nor ended, so that its tasks should run.
pub(super) fn job_is_active(cache: &WatchCache, job: JobId) -> bool {
    cache
        .open_jobs
        .get(&job)
        .is_some_and(|open| !open.cancelled)
}
