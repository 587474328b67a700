//! Manages the workers of the blocks that this controller holds: their heartbeats, their tasks, and the recorded
//! placements.
//!
//! A [`WorkerFleet`] owns the blocks that are leased to this controller. The controller calls it with every event that
//! concerns them: changes of the records, heartbeats, the leader's assignments, responses of workers and of the state
//! service, and the clock. It performs no I/O; it returns the commands, transactions and status messages that the
//! controller has to send.
//!
//! Invariants: every task is in the block's placements before it is launched, and is removed only when it is proven to
//! have ended: its worker, having confirmed the block's token, reports its exit; or the machine's record is removed,
//! which the leader does only after the cloud has deleted the machine.

mod block;
mod messages;
mod misrouted;
mod parts;
pub mod wire;
mod worker;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Attempt, BlockId, Incarnation, MachineId, Now, TaskId, since};
use crate::peer::{AssignmentUpdate, BlockStatus};
use crate::policy::Policy;
use crate::store::cache::ChangedRecords;
use crate::store::{StoreRequest, StoreResponse, WatchCache};
use block::{Block, CommandChannel, RecordedPlacements, ReportSource};
pub use messages::{CommandOutcome, DirectCommand, HeartbeatResponse, WriteAllowance};
use misrouted::MisroutedWorkers;
pub use misrouted::misrouted_window;
use wire::{Heartbeat, TaskState, WorkerCommands};

/// A heartbeat is overdue after this multiple of the heartbeat interval.
const OVERDUE_AFTER_INTERVALS: f64 = 1.5;
/// The minimum time between two reviews of time-based conditions: overdue heartbeats, launches to be sent again.
const REVIEW_INTERVAL: Duration = Duration::from_millis(400);
/// Direct commands in flight may use `max_sockets` divided by this number; further ones wait until one completes.
pub const COMMAND_SOCKET_DIVISOR: usize = 8;

/// The blocks that are leased to this controller, with their workers.
#[derive(Debug, Default)]
pub struct WorkerFleet {
    blocks: BTreeMap<BlockId, Block>,
    last_review: Option<Instant>,
    misrouted: MisroutedWorkers,
    /// Direct commands without an outcome yet; each holds a socket.
    commands_in_flight: usize,
    /// The machines and tasks examined so far, without the periodic reviews. It shows whether the cost of an event is
    /// proportional to what it changes.
    items_examined: u64,
}

impl WorkerFleet {
    /// Creates a fleet without blocks.
    pub fn new() -> Self {
        WorkerFleet::default()
    }

    /// Updates the blocks and their machines from the changed records: adds blocks that were leased to this controller
    /// and removes those whose lease it has lost.
    pub fn sync(
        &mut self,
        now: Now,
        config: &Config,
        incarnation: Incarnation,
        cache: &WatchCache,
        changed: &ChangedRecords,
    ) {
        if changed.all || changed.block_leases {
            self.sync_block_leases(now, config, incarnation, cache);
        }
        if changed.all {
            for block in self.blocks.values_mut() {
                block.sync_machines(now, cache);
            }
        }
        self.items_examined += changed.machines.len() as u64;
        for id in &changed.machines {
            let current_block = cache.machines.get(id).map(|machine| &machine.block);
            for block in self.blocks.values_mut() {
                block.sync_machine(now, id, current_block);
            }
        }
        self.request_stops(cache, changed);
    }

    fn sync_block_leases(
        &mut self,
        now: Now,
        config: &Config,
        incarnation: Incarnation,
        cache: &WatchCache,
    ) {
        let our_lease = |block: &BlockId| {
            cache.block_leases.get(block).filter(|lease| {
                lease.value.holder == config.name && lease.value.incarnation == incarnation
            })
        };
        self.blocks.retain(|id, block| {
            let kept = our_lease(id).is_some();
            if !kept {
                info!(block = %id, token = %block.token, "block lease lost");
            }
            kept
        });
        for id in cache.block_leases.keys() {
            let Some(lease) = our_lease(id) else {
                continue;
            };
            match self.blocks.get_mut(id) {
                Some(block) if block.lease_version >= lease.version => {}
                Some(block) => block.renew_lease(lease, RecordedPlacements::read(cache, id)),
                None => {
                    let recorded = RecordedPlacements::read(cache, id);
                    info!(block = %id, token = %lease.value.token, tasks = recorded.attempts().count(), "block lease acquired");
                    let mut block = Block::new(id.clone(), lease, recorded);
                    block.sync_machines(now, cache);
                    self.blocks.insert(id.clone(), block);
                }
            }
        }
    }

    /// Requests commands to workers that still run tasks of ended jobs, so that the tasks are stopped at once.
    fn request_stops(&mut self, cache: &WatchCache, changed: &ChangedRecords) {
        for job in &changed.cancelled_or_ended_jobs {
            for ((index, _), placement) in cache.job_placements(*job) {
                let task = TaskId {
                    job: *job,
                    index: *index,
                };
                let Some(block) = self.blocks.get_mut(&placement.block) else {
                    continue;
                };
                let observed = block
                    .workers
                    .get(&placement.machine)
                    .and_then(|worker| worker.tasks.get(&task));
                if observed.is_some_and(|observed| observed.state != TaskState::Exited) {
                    block.request_commands([placement.machine.clone()]);
                }
            }
        }
    }

    /// Applies a worker's heartbeat and returns the response to it.
    ///
    /// `lease_valid`: whether this controller's copy of the block leases is recent enough to act on. If it is not, the
    /// heartbeat still shows which tasks have ended and which machines are alive.
    pub fn handle_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        config: &Config,
        cache: &WatchCache,
        lease_valid: bool,
    ) -> HeartbeatResponse {
        if !cache.is_loaded() {
            return HeartbeatResponse::Unavailable;
        }
        if !lease_valid {
            self.observe_heartbeat(now, heartbeat, cache);
            return HeartbeatResponse::Unavailable;
        }
        let Some(machine) = cache.machines.get(&heartbeat.machine) else {
            // The machine is not in any inventory yet; the leader adds it to one.
            let leader = cache.leader.as_ref().map(|leader| &leader.value.controller);
            let other = leader.filter(|leader| **leader != config.name);
            return HeartbeatResponse::Redirect(other.cloned());
        };
        let Some(block) = self.blocks.get_mut(&machine.block) else {
            self.misrouted.record(now, heartbeat.machine);
            let lease = cache.block_leases.get(&machine.block);
            let holder = lease.map(|lease| &lease.value.holder);
            let other = holder.filter(|holder| **holder != config.name);
            return HeartbeatResponse::Redirect(other.cloned());
        };
        if heartbeat.token > block.token {
            // The block has since been leased to another controller. The worker would ignore a 200 response with this
            // lower token, and its lease would expire.
            return HeartbeatResponse::Redirect(None);
        }
        let id = heartbeat.machine.clone();
        let placed = block.recorded.attempts_on(&id).count();
        self.items_examined += (1 + heartbeat.tasks.len() + placed) as u64;
        block.apply_report(now, heartbeat, cache, ReportSource::Heartbeat);
        if !block.workers.contains_key(&id) {
            return HeartbeatResponse::Unavailable;
        }
        let channel = CommandChannel::HeartbeatResponse;
        HeartbeatResponse::Commands(block.prepare_commands(now, &id, cache, channel))
    }

    /// Applies a heartbeat without responding to it, unless a newer token in it shows that another controller holds the
    /// block.
    fn observe_heartbeat(&mut self, now: Now, heartbeat: Heartbeat, cache: &WatchCache) {
        let block = cache
            .machines
            .get(&heartbeat.machine)
            .and_then(|machine| self.blocks.get_mut(&machine.block));
        if let Some(block) = block.filter(|block| heartbeat.token <= block.token) {
            block.apply_report(now, heartbeat, cache, ReportSource::Heartbeat);
        }
    }

    /// Applies the outcome of a direct command. It must be called once for each command returned by
    /// [`Self::prepare_direct_commands`].
    pub fn apply_command_outcome(
        &mut self,
        now: Now,
        block: &BlockId,
        machine: &MachineId,
        body: &WorkerCommands,
        outcome: CommandOutcome,
        cache: &WatchCache,
    ) {
        self.commands_in_flight = self.commands_in_flight.saturating_sub(1);
        if let Some(block) = self.blocks.get_mut(block) {
            block.apply_command_outcome(now, machine, body, outcome, cache);
        }
    }

    /// Applies the leader's assignments for a block. Returns false if they were made for another version of the block
    /// lease.
    pub fn apply_assignments(&mut self, update: AssignmentUpdate) -> bool {
        let block = self.blocks.get_mut(&update.block);
        let Some(block) = block.filter(|block| block.lease_version == update.lease_version) else {
            return false;
        };
        block.apply_assignments(update);
        true
    }

    /// Prepares the next transaction, of the block whose last write is oldest. Call it only when the transaction can be
    /// sent at once, so that it contains all changes up to that moment. While there are no spare writes, a block that
    /// only has ended attempts to record is skipped for a while, so that these are batched and writes remain for
    /// placements.
    pub fn next_transaction(
        &mut self,
        now: Now,
        config: &Config,
        allowance: WriteAllowance,
        cache: &mut WatchCache,
        catalog: &InstanceCatalog,
    ) -> Option<(BlockId, StoreRequest)> {
        let mut due_blocks: Vec<(Option<Instant>, BlockId)> = self
            .blocks
            .values()
            .filter(|block| block.write_due(now))
            .filter(|block| allowance.has_spare_writes || !block.may_batch_ends(now))
            .map(|block| (block.last_write, block.id.clone()))
            .collect();
        due_blocks.sort();
        for (_, id) in due_blocks {
            let Some(block) = self.blocks.get_mut(&id) else {
                continue;
            };
            self.items_examined += block.pending_changes() as u64;
            let request =
                block.next_transaction(now, config, allowance.max_changes, cache, catalog);
            if let Some(request) = request {
                block.last_write = Some(now.monotonic);
                self.items_examined += block.recorded.attempts().count() as u64;
                return Some((id, request));
            }
        }
        None
    }

    /// Applies the outcome of a transaction. `lease_version`: the version of the block lease when it was prepared.
    pub fn apply_write_outcome(
        &mut self,
        now: Now,
        block: &BlockId,
        lease_version: u64,
        outcome: &StoreResponse,
    ) {
        if let Some(block) = self.blocks.get_mut(block) {
            block.apply_write_outcome(now, lease_version, outcome);
        }
    }

    /// Returns the version of the block's lease, or 0 if the block is not leased to this controller.
    pub fn lease_version(&self, block: &BlockId) -> u64 {
        self.blocks
            .get(block)
            .map_or(0, |block| block.lease_version)
    }

    /// Prepares the commands that should not wait for the next heartbeat, up to the limit on sockets in use.
    ///
    /// `lease_valid`: whether the block leases are known to be still valid. If not, the commands only stop tasks of
    /// jobs that are cancelled or have ended: that is final, whichever controller holds the block by now.
    pub fn prepare_direct_commands(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        lease_valid: bool,
    ) -> Vec<DirectCommand> {
        let overdue_after = overdue_after(config);
        let max_in_flight = (config.max_sockets / COMMAND_SOCKET_DIVISOR).max(1);
        let mut commands = Vec::new();
        for block in self.blocks.values_mut() {
            while self.commands_in_flight < max_in_flight
                && let Some(machine) = block.workers_to_command.pop_first()
            {
                self.items_examined += 1;
                // A command to a worker that did not respond last time may hold its socket for long. Such commands may
                // use only half of the sockets; the next review requests those that were skipped again.
                let half_in_use = self.commands_in_flight >= max_in_flight / 2;
                let answers = block
                    .workers
                    .get(&machine)
                    .is_some_and(|worker| worker.liveness.answers_commands());
                if half_in_use && !answers {
                    continue;
                }
                if let Some(command) =
                    block.direct_command(now, machine, cache, lease_valid, overdue_after)
                {
                    self.commands_in_flight += 1;
                    commands.push(command);
                }
            }
        }
        commands
    }

    /// Whether an attempt in a block of this controller is proven to have ended, by its worker's report or by the
    /// deletion of its machine.
    pub fn is_proven_ended(&self, block: &BlockId, machine: &MachineId, attempt: &Attempt) -> bool {
        self.blocks
            .get(block)
            .is_some_and(|block| block.is_proven_ended(machine, attempt))
    }

    /// Excludes a pause of this process from all heartbeat ages: workers do not count as unresponsive for that time.
    pub fn process_paused(&mut self, pause: Duration) {
        for block in self.blocks.values_mut() {
            block.process_paused(pause);
        }
    }

    /// Returns some of the machines in blocks of other controllers whose workers have reported here recently.
    pub fn recent_misrouted_machines(&mut self, now: Now, config: &Config) -> Vec<MachineId> {
        self.misrouted.recent(now, config)
    }

    /// Returns, for each task that was observed to start since the last call, when its job was accepted, in ms of Unix
    /// time.
    pub fn take_accept_times_of_started_tasks(&mut self) -> impl Iterator<Item = u64> {
        self.blocks
            .values_mut()
            .flat_map(Block::take_accept_times_of_started_tasks)
    }

    /// Returns the number of machines and tasks examined so far.
    pub fn items_examined(&self) -> u64 {
        self.items_examined
    }

    /// Prepares the next status message of each block for the leader.
    pub fn prepare_block_statuses(&mut self, now: Now, policy: &Policy) -> Vec<BlockStatus> {
        let to_report = self
            .blocks
            .values()
            .map(|block| block.workers_to_report_count());
        self.items_examined += to_report.sum::<usize>() as u64;
        self.blocks
            .values_mut()
            .map(|block| block.status(now, policy))
            .collect()
    }

    /// Reviews time-based conditions, at most once per `REVIEW_INTERVAL`.
    pub fn tick(&mut self, now: Now, config: &Config, policy: &Policy) {
        if self
            .last_review
            .is_some_and(|at| since(now, at) < REVIEW_INTERVAL)
        {
            return;
        }
        self.last_review = Some(now.monotonic);
        for block in self.blocks.values_mut() {
            block.review(now, overdue_after(config), policy);
        }
    }
}

/// Returns the age of a worker's last heartbeat after which the next one is overdue.
fn overdue_after(config: &Config) -> Duration {
    config.heartbeat_interval.mul_f64(OVERDUE_AFTER_INTERVALS)
}

#[cfg(test)]
mod tests;
