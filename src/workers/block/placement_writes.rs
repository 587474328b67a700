//! Prepares the transactions on a block's placements: they remove ended attempts, add new placements, and prune finished
//! tasks that are recorded elsewhere.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use tracing::{debug, info};

use super::{AttemptOutcome, Block, RecordedPlacements};
use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Attempt, Job, JobId, MachineId, Now, Resources, TaskId, since};
use crate::peer::Assignment;
use crate::placement::{self, Candidate};
use crate::store::cache::OpenJob;
use crate::store::records::{
    BlockPlacements, PARTS_FORMAT, Part, block_lease_key, inventory_part_key, job_key,
    placements_fence_key,
};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache};
use crate::workers::parts::{EndedPlacement, PartLimits, PartsTransaction};

/// The minimum time between two checks of a block for changes to write.
pub(in crate::workers) const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a block with nothing else to write checks for finished tasks that have since been recorded elsewhere.
const PRUNE_INTERVAL: Duration = Duration::from_millis(1500);

/// The minimum time between two writes of a block that only has ended attempts to record, while there are no spare
/// writes.
const END_BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The ratio of the state service's limit on the conditions of a transaction to its limit on the changes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// The attempts that a transaction places, and the records that it is conditioned on.
#[derive(Debug, Default)]
struct NewPlacements {
    /// The numbers of the attempts.
    attempts: Vec<u64>,
    /// The jobs of the attempts, with the versions of their records.
    jobs: BTreeMap<JobId, u64>,
    /// The parts of the inventory that contain the machines.
    inventory_parts: BTreeSet<Part>,
}

impl NewPlacements {
    /// Returns the number of conditions if a task of this job on a machine in this part were added.
    fn conditions_with(&self, job: JobId, inventory_part: Part) -> usize {
        self.jobs.len()
            + self.inventory_parts.len()
            + usize::from(!self.jobs.contains_key(&job))
            + usize::from(!self.inventory_parts.contains(&inventory_part))
    }

    /// Adds a task. The condition on the job's version makes the transaction fail if the job was cancelled before, even
    /// if this controller's copy of its record does not show that yet.
    fn add(&mut self, attempt: Attempt, job_version: u64, inventory_part: Part) {
        self.jobs.insert(attempt.task.job, job_version);
        self.inventory_parts.insert(inventory_part);
        self.attempts.push(attempt.number);
    }

    /// Adds the conditions on jobs and inventory parts to a transaction.
    fn add_conditions(
        &self,
        block: &Block,
        cache: &WatchCache,
        mut txn: Transaction,
    ) -> Transaction {
        for part in &self.inventory_parts {
            // Fails the transaction if the leader has since begun to drain or has deleted one of the machines.
            let version = cache
                .inventory_parts(&block.id)
                .and_then(|parts| parts.get(part));
            let version = version.map_or(0, |part| part.version);
            txn = txn.require_version(inventory_part_key(&block.id, *part), version);
        }
        for (job, version) in &self.jobs {
            txn = txn.require_version(job_key(*job), *version);
        }
        txn
    }
}

impl Block {
    /// Whether the block should be checked for changes to write.
    pub(in crate::workers) fn write_due(&self, now: Now) -> bool {
        self.may_have_changes(now)
            && self
                .last_write_check
                .is_none_or(|at| since(now, at) >= WRITE_CHECK_INTERVAL)
    }

    /// Whether it only has ended attempts to record and has written within `END_BATCH_INTERVAL`, so that the write may
    /// wait for more of them.
    pub(in crate::workers) fn may_batch_ends(&self, now: Now) -> bool {
        let has_placements = !self.assignments.pending.is_empty() || self.has_undecided_attempts();
        let wrote_recently = self
            .last_write
            .is_some_and(|at| since(now, at) < END_BATCH_INTERVAL);
        !has_placements && wrote_recently
    }

    /// Whether there may be changes to write.
    fn may_have_changes(&self, now: Now) -> bool {
        let prune = self.recorded.has_finished_tasks()
            && self
                .last_write_check
                .is_none_or(|at| since(now, at) > PRUNE_INTERVAL);
        !self.assignments.pending.is_empty()
            || !self.proven_ended.is_empty()
            || self.has_undecided_attempts()
            || prune
    }

    fn has_undecided_attempts(&self) -> bool {
        !self.writer.undecided_attempts().is_empty()
    }

    /// Prepares the next transaction, if there are changes to write and a transaction may be sent now.
    ///
    /// `max_changes`: the maximum number of changes that the write rate allows for it.
    pub(in crate::workers) fn next_transaction(
        &mut self,
        now: Now,
        config: &Config,
        max_changes: usize,
        cache: &mut WatchCache,
        catalog: &InstanceCatalog,
    ) -> Option<StoreRequest> {
        let reload = self.writer.must_reload();
        if !self.writer.ready(now, cache) {
            return None;
        }
        self.last_write_check = Some(now.monotonic);
        if reload {
            self.reload_recorded(cache);
        }
        let multiple_parts = cache.format() >= PARTS_FORMAT;
        let limits = PartLimits::new(&config.state_limits, max_changes, multiple_parts);
        let (recorded, undecided) = (self.recorded.parts(), self.writer.undecided_parts());
        let (transaction, new_placements) = match PartsTransaction::split_oversized(
            recorded, limits, undecided,
        ) {
            Some(fence) if fence.only_writes_fence() => {
                info!(block = %self.id, "writing fence: placements have an unknown outcome");
                (fence, NewPlacements::default())
            }
            Some(transaction) => {
                info!(block = %self.id, changes = transaction.changed().len(), "oversized placements divided");
                (transaction, NewPlacements::default())
            }
            None => {
                let mut transaction = self.prepare_ends(cache, limits);
                let max_conditions = max_new_conditions(config, &transaction);
                let new_placements =
                    self.prepare_placements(now, max_conditions, cache, catalog, &mut transaction);
                (transaction, new_placements)
            }
        };
        // Includes the parts of transactions of unknown outcome: they are written again even without new changes.
        if !transaction.has_changes() {
            self.drop_recorded_ends();
            return None;
        }
        let mut txn = Transaction::default()
            .require_version(block_lease_key(&self.id), self.lease_version)
            .require_version(
                placements_fence_key(&self.id),
                self.recorded.fence_version(),
            );
        txn = new_placements.add_conditions(self, cache, txn);
        txn = transaction.add_to(&self.id, self.token, self.recorded.parts(), txn);
        self.writer.begin(transaction, new_placements.attempts);
        Some(StoreRequest::Commit(txn))
    }

    /// Replaces the recorded placements by the cached records, after a transaction that failed or whose outcome is
    /// unknown.
    fn reload_recorded(&mut self, cache: &WatchCache) {
        // The copy contains every committed transaction of this holder, except for a late duplicate of the last one,
        // which fails once another transaction or the fence has been committed.
        let recorded = RecordedPlacements::read(cache, &self.id);
        let fenced = recorded.fence_version() > self.recorded.fence_version();
        if fenced || recorded.version() > self.recorded.version() {
            self.writer.clear_undecided();
        }
        self.recorded = recorded;
        let placed: Vec<(MachineId, Attempt)> = self
            .recorded
            .attempts()
            .filter(|(_, attempt)| self.assignments.is_pending(attempt.number))
            .map(|(machine, attempt)| (machine.clone(), attempt))
            .collect();
        for (machine, attempt) in placed {
            self.assignments.record_placed(attempt.number);
            self.request_commands([machine]);
        }
    }

    /// Prepares the removal of attempts that are proven to have ended, and of finished tasks that are recorded elsewhere.
    fn prepare_ends(&self, cache: &WatchCache, limits: PartLimits) -> PartsTransaction {
        let undecided = self.writer.undecided_parts();
        let mut transaction = PartsTransaction::new(self.recorded.parts(), limits, undecided);
        // A pending attempt does not fit on its machine until the ended attempts there are removed from the record.
        let target_machines: HashSet<&MachineId> = self
            .assignments
            .pending
            .iter()
            .map(|assignment| &assignment.machine)
            .collect();
        let ended = self
            .proven_ended
            .iter()
            .map(|(ended, outcome)| EndedPlacement {
                machine: &ended.machine,
                attempt: ended.attempt,
                done: *outcome == AttemptOutcome::Done
                    && cache.open_jobs.contains_key(&ended.attempt.task.job),
                blocks_placement: target_machines.contains(&ended.machine),
            })
            .collect();
        transaction.remove_ended(ended);
        transaction.prune(cache);
        transaction
    }

    /// Prepares the placement of the pending assignments that fit their machine, the size limit of the parts and the
    /// limits of the transaction.
    fn prepare_placements(
        &mut self,
        now: Now,
        max_conditions: usize,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        transaction: &mut PartsTransaction,
    ) -> NewPlacements {
        let mut new_placements = NewPlacements::default();
        let mut unplaceable = Vec::new();
        let mut placement_blocked = false;
        let mut candidates = if self.assignments.pending.is_empty() {
            Vec::new()
        } else {
            self.candidates(now, cache, catalog, &transaction.merged())
        };
        for assignment in &self.assignments.pending {
            let attempt = assignment.attempt;
            let Some(open) = unfinished_job(cache, attempt.task) else {
                continue;
            };
            let Some(machine) = self.choose_machine(assignment, &open.job, &candidates) else {
                // If any candidate accepts it, that machine still needs its entry for an earlier attempt of the task.
                // After a token renewal the entry can be reaped.
                placement_blocked |= candidates
                    .iter()
                    .any(|candidate| accepts(candidate, &open.job));
                unplaceable.push(attempt.number);
                continue;
            };
            let Some(inventory_part) = cache.inventory_part_of(&self.id, &machine) else {
                continue;
            };
            if new_placements.conditions_with(attempt.task.job, inventory_part) > max_conditions {
                // Left for the next transaction.
                continue;
            }
            if !transaction.add(&machine, attempt) {
                continue;
            }
            let chosen = candidates.iter_mut().find(|c| c.machine == machine);
            if let Some(candidate) = chosen {
                candidate.free.subtract(&open.job.need);
            }
            new_placements.add(attempt, open.version, inventory_part);
        }
        self.assignments.unplaceable = unplaceable;
        self.token_renewal.placement_blocked = placement_blocked;
        new_placements
    }

    /// Returns the machine for an assignment: the leader's choice if the task still fits there, otherwise the best
    /// candidate in the block.
    ///
    /// Machines on which an earlier attempt of the task may still be launched are excluded.
    fn choose_machine(
        &self,
        assignment: &Assignment,
        job: &Job,
        candidates: &[Candidate],
    ) -> Option<MachineId> {
        let no_earlier_launch = |candidate: &&Candidate| {
            self.workers
                .get(&candidate.machine)
                .is_some_and(|worker| !worker.launches.was_sent_for_task(assignment.attempt.task))
        };
        candidates
            .iter()
            .filter(no_earlier_launch)
            .find(|candidate| candidate.machine == assignment.machine)
            .filter(|candidate| accepts(candidate, job))
            .or_else(|| {
                placement::best_candidate(candidates.iter().filter(no_earlier_launch), job, |_| {
                    true
                })
            })
            .map(|candidate| candidate.machine.clone())
    }

    /// Returns the machines of the block that accept tasks, with the resources that `placements` leave free.
    fn candidates(
        &self,
        now: Now,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        placements: &BlockPlacements,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            let Some(machine) = cache.machines.get(id) else {
                continue;
            };
            let Some(instance_type) = catalog.get(&machine.type_name) else {
                continue;
            };
            if !machine.state.takes_tasks() || !worker.is_usable(now, self.token) {
                continue;
            }
            let mut used = Resources::default();
            let placed = placements.attempts_by_machine.get(id).into_iter().flatten();
            for open in placed.filter_map(|placed| cache.open_jobs.get(&placed.0.task.job)) {
                used.add(&open.job.need);
            }
            let images = worker.images.iter().cloned().collect();
            candidates.push(Candidate::new(id, machine, instance_type, &used, images));
        }
        candidates
    }

    /// Applies the response to a transaction. `lease_version`: the version of the block lease under which it was sent.
    pub(in crate::workers) fn apply_write_outcome(
        &mut self,
        now: Now,
        lease_version: u64,
        outcome: &StoreResponse,
    ) {
        if lease_version != self.lease_version {
            self.writer.apply_outdated_outcome(now);
            return;
        }
        let Some(committed) = self.writer.apply_outcome(now, outcome) else {
            return;
        };
        let recorded_before: HashSet<u64> = self
            .recorded
            .attempts()
            .map(|(_, attempt)| attempt.number)
            .collect();
        self.recorded
            .apply_commit(committed.transaction, committed.revision);
        self.drop_recorded_ends();
        let placed: Vec<(MachineId, Attempt)> = self
            .recorded
            .attempts()
            .filter(|(_, attempt)| !recorded_before.contains(&attempt.number))
            .map(|(machine, attempt)| (machine.clone(), attempt))
            .collect();
        for (machine, attempt) in placed {
            debug!(%attempt, %machine, "task placed");
            self.assignments.record_placed(attempt.number);
            self.request_commands([machine]);
        }
    }

    /// Removes ended attempts that are no longer in the recorded placements.
    fn drop_recorded_ends(&mut self) {
        let recorded = &self.recorded;
        self.proven_ended
            .retain(|ended, _| recorded.contains(&ended.machine, &ended.attempt));
    }
}

/// The conditions of each transaction besides those on parts: on the block lease and on the write fence.
const COMMON_CONDITIONS: usize = 2;

/// Returns how many conditions a transaction can use for placements, besides the common ones and those on the parts.
fn max_new_conditions(config: &Config, transaction: &PartsTransaction) -> usize {
    (CONDITIONS_PER_CHANGE * config.state_limits.txn_ops)
        .saturating_sub(COMMON_CONDITIONS + transaction.max_changes())
        .max(2)
}

/// Returns the job of a task, if it is active and the task is not finished.
fn unfinished_job(cache: &WatchCache, task: TaskId) -> Option<&OpenJob> {
    cache
        .open_jobs
        .get(&task.job)
        .filter(|open| !open.cancelled && !open.done.contains(task.index))
}

/// Whether a task of the job can be placed on the candidate.
fn accepts(candidate: &Candidate, job: &Job) -> bool {
    candidate.allows(job) && candidate.free.fits(&job.need)
}
