//! The transactions that record what runs where: what has ended, what the leader wants placed, what can be forgotten.

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
};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache};
use crate::workers::parts::{EndedPlacement, PartLimits, PartsTransaction};

/// A block that found nothing to write checks again after this long.
pub(in crate::workers) const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A block that has nothing else to write checks this often for finished tasks that are recorded elsewhere by now.
const PRUNE_INTERVAL: Duration = Duration::from_millis(1500);

/// While writes are scarce, a block that only has ends to record writes at most this often.
const END_BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The protocol's limit for the conditions of a transaction, by that for its changes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// What a transaction places, and the records that it is conditioned on for that.
#[derive(Debug, Default)]
struct NewPlacements {
    /// The numbers of the attempts.
    attempts: Vec<u64>,
    /// Their jobs, and the versions of these.
    jobs: BTreeMap<JobId, u64>,
    /// The parts of the inventory that hold their machines.
    inventory_parts: BTreeSet<Part>,
}

impl NewPlacements {
    /// The number of conditions with one more task.
    fn conditions_with(&self, job: JobId, inventory_part: Part) -> usize {
        self.jobs.len()
            + self.inventory_parts.len()
            + usize::from(!self.jobs.contains_key(&job))
            + usize::from(!self.inventory_parts.contains(&inventory_part))
    }

    /// Adds a task. It is placed only if its job was not cancelled before, whatever our copy of its record shows.
    fn add(&mut self, attempt: Attempt, job_version: u64, inventory_part: Part) {
        self.jobs.insert(attempt.task.job, job_version);
        self.inventory_parts.insert(inventory_part);
        self.attempts.push(attempt.number);
    }

    /// Adds the conditions to a transaction.
    fn add_conditions(
        &self,
        block: &Block,
        cache: &WatchCache,
        mut txn: Transaction,
    ) -> Transaction {
        for part in &self.inventory_parts {
            // Nothing is placed on a machine that the leader has begun to drain or has deleted meanwhile.
            let version = cache
                .inventory_parts(&block.id)
                .and_then(|parts| parts.get(part));
            let version = version.map_or(0, |part| part.version);
            txn = txn.when(inventory_part_key(&block.id, *part), version);
        }
        for (job, version) in &self.jobs {
            txn = txn.when(job_key(*job), *version);
        }
        txn
    }
}

impl Block {
    /// Whether to check for something to write.
    pub(in crate::workers) fn write_due(&self, now: Now) -> bool {
        self.may_have_changes(now)
            && self
                .last_write_check
                .is_none_or(|at| since(now, at) >= WRITE_CHECK_INTERVAL)
    }

    /// Whether it has nothing but ends to record, and has written just now.
    pub(in crate::workers) fn may_batch_ends(&self, now: Now) -> bool {
        let has_placements = !self.assignments.pending.is_empty() || self.has_undecided_attempts();
        let wrote_recently = self
            .last_write
            .is_some_and(|at| since(now, at) < END_BATCH_INTERVAL);
        !has_placements && wrote_recently
    }

    /// Whether there may be something to write.
    fn may_have_changes(&self, now: Now) -> bool {
        let prune = self.recorded.has_finished_tasks()
            && self
                .last_write_check
                .is_none_or(|at| since(now, at) > PRUNE_INTERVAL);
        !self.assignments.pending.is_empty()
            || !self.ended.is_empty()
            || self.has_undecided_attempts()
            || prune
    }

    fn has_undecided_attempts(&self) -> bool {
        !self.writer.undecided_attempts().is_empty()
    }

    /// The next transaction, if there is something to write and it can be written now.
    ///
    /// `max_changes`: the most changes that it should have, by the rate at which we may write.
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
        let (parts, new_placements) = match PartsTransaction::split_oversized(
            recorded, limits, undecided,
        ) {
            Some(parts) => {
                info!(block = %self.id, changes = parts.changed().len(), "a value is too large: divided");
                (parts, NewPlacements::default())
            }
            None => {
                let mut parts = self.prepare_ends(cache, limits);
                let max_conditions = max_new_conditions(config, &parts);
                let new_placements =
                    self.prepare_placements(now, max_conditions, cache, catalog, &mut parts);
                (parts, new_placements)
            }
        };
        // A write of unknown outcome is repeated by the next one, needed or not.
        if !parts.has_changes() {
            self.drop_recorded_ends();
            return None;
        }
        let mut txn = Transaction::default().when(block_lease_key(&self.id), self.lease_version);
        txn = new_placements.add_conditions(self, cache, txn);
        txn = parts.add_to(&self.id, self.recorded.parts(), txn);
        self.writer.begin(parts, new_placements.attempts);
        Some(StoreRequest::Commit(txn))
    }

    /// After a write that failed or whose outcome is unknown: takes over what our copy of the records shows.
    fn reload_recorded(&mut self, cache: &WatchCache) {
        // Nothing of ours is under way that our copy does not show, but for a late repeat of the last
        // transaction, which fails once another one has been committed.
        let recorded = RecordedPlacements::read(cache, &self.id);
        if recorded.version() > self.recorded.version() {
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

    /// Prepares the removal of attempts that are proven gone, and of finished tasks that are recorded elsewhere.
    fn prepare_ends(&self, cache: &WatchCache, limits: PartLimits) -> PartsTransaction {
        let undecided = self.writer.undecided_parts();
        let mut parts = PartsTransaction::new(self.recorded.parts(), limits, undecided);
        // What is to be placed does not fit before the ends on its machine are recorded.
        let target_machines: HashSet<&MachineId> = self
            .assignments
            .pending
            .iter()
            .map(|assignment| &assignment.machine)
            .collect();
        let ended = self
            .ended
            .iter()
            .map(|(ended, outcome)| EndedPlacement {
                machine: &ended.machine,
                attempt: ended.attempt,
                done: *outcome == AttemptOutcome::Done
                    && cache.open.contains_key(&ended.attempt.task.job),
                blocks_placement: target_machines.contains(&ended.machine),
            })
            .collect();
        parts.remove_ended(ended);
        parts.prune(cache);
        parts
    }

    /// Prepares the placement of pending assignments, as far as they fit the machines, the values and the transaction.
    fn prepare_placements(
        &mut self,
        now: Now,
        max_conditions: usize,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        parts: &mut PartsTransaction,
    ) -> NewPlacements {
        let mut new_placements = NewPlacements::default();
        let mut unplaceable = Vec::new();
        let mut placement_blocked = false;
        let mut candidates = if self.assignments.pending.is_empty() {
            Vec::new()
        } else {
            self.candidates(now, cache, catalog, &parts.merged())
        };
        for assignment in &self.assignments.pending {
            let attempt = assignment.attempt;
            let Some(open) = unfinished_job(cache, attempt.task) else {
                continue;
            };
            let Some(machine) = self.choose_machine(assignment, &open.job, &candidates) else {
                // Only a machine that must remember an earlier attempt could take it: a new token lets it forget.
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
                // Left to the next write.
                continue;
            }
            if !parts.add(&machine, attempt) {
                continue;
            }
            let chosen = candidates.iter_mut().find(|c| c.machine == machine);
            if let Some(candidate) = chosen {
                candidate.free.take(&open.job.need);
            }
            new_placements.add(attempt, open.version, inventory_part);
        }
        self.assignments.unplaceable = unplaceable;
        self.token_renewal.placement_blocked = placement_blocked;
        new_placements
    }

    /// The machine for an assignment: the one that the leader has chosen if the task still fits there, else the best of the block.
    ///
    /// Machines that an earlier attempt of the task may still be launched on are left out.
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

    /// The machines of the block that take tasks, with what `placements` leave free of them.
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
            let placed = placements.on.get(id).into_iter().flatten();
            for open in placed.filter_map(|placed| cache.open.get(&placed.0.task.job)) {
                used.add(&open.job.need);
            }
            let images = worker.images.iter().cloned().collect();
            candidates.push(Candidate::new(id, machine, instance_type, &used, images));
        }
        candidates
    }

    /// Applies the response to a transaction. `lease_version`: the version of the block lease that it was sent under.
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
            .apply_commit(committed.parts, committed.revision);
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

    /// Forgets proven ends whose attempts are not recorded any more.
    fn drop_recorded_ends(&mut self) {
        let recorded = &self.recorded;
        self.ended
            .retain(|ended, _| recorded.contains(&ended.machine, &ended.attempt));
    }
}

/// The conditions that a transaction has left for placements, beside those on the block lease and on the parts.
fn max_new_conditions(config: &Config, parts: &PartsTransaction) -> usize {
    (CONDITIONS_PER_CHANGE * config.state_limits.txn_ops)
        .saturating_sub(1 + parts.max_changes())
        .max(2)
}

/// The job of a task that is still to run.
fn unfinished_job(cache: &WatchCache, task: TaskId) -> Option<&OpenJob> {
    cache
        .open
        .get(&task.job)
        .filter(|open| !open.cancelled && !open.done.contains(task.index))
}

/// Whether a task of the job can be placed there.
fn accepts(candidate: &Candidate, job: &Job) -> bool {
    candidate.allows(job) && candidate.free.fits(&job.need)
}
