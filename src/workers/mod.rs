//! The holder's side of a block: its machines' heartbeats, the tasks on them, and the record of both.
//!
//! Every task is in the block's placements before it is launched, and leaves them only when it is proven gone:
//! its worker, having seen our token, reports its exit; or the machine's record is removed, which the leader
//! does only after the cloud has deleted it.

mod block;
mod parts;
pub mod wire;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use tracing::info;

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{AgentEpoch, Attempt, BlockId, Incarnation, MachineId, Now, TaskId, since};
use crate::peer::{AssignmentUpdate, BlockStatus};
use crate::policy::Policy;
use crate::store::cache::ChangedRecords;
use crate::store::{StoreRequest, StoreResponse, WatchCache, Writer};
use block::{Block, HeartbeatSource, recorded, still_there, wanted_alive};
use wire::{Heartbeat, TaskState, WorkerCommand, WorkerCommands};

/// A heartbeat is overdue after this many times its interval.
const OVERDUE: f64 = 1.5;
/// How often the clock alone is looked at: overdue heartbeats, launches to be repeated.
const REVIEW_EVERY: Duration = Duration::from_millis(400);
/// The part of our sockets that direct commands may hold: one in so many. Others wait for their turn.
pub const COMMAND_SOCKET_DIVISOR: usize = 8;
/// Strays named in one message.
const MAX_MISROUTED_PER_STATUS: usize = 64;

/// Direct commands to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommand {
    pub block: BlockId,
    pub machine: MachineId,
    pub addr: String,
    pub body: WorkerCommands,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    Executed(Heartbeat),
    /// The worker's token or session is another.
    Rejected(Heartbeat),
    Unknown,
}

/// What a controller answers to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatResponse {
    WorkerCommands(WorkerCommands),
    /// Not ours: to that controller, if known.
    Redirect(Option<crate::domain::ControllerName>),
    /// Not entitled to answer.
    Unavailable,
}

/// The writes that are to be had just now.
#[derive(Debug, Clone, Copy)]
pub struct WriteAllowance {
    /// The most changes that one transaction should have.
    pub max_changes: usize,
    /// Most of what may go in a second is left.
    pub ample: bool,
}

#[derive(Debug, Default)]
pub struct WorkerFleet {
    blocks: BTreeMap<BlockId, Block>,
    reviewed: Option<Instant>,
    /// Machines of others' blocks that have reported here, and when they did last.
    misrouted: HashMap<MachineId, Instant>,
    /// Direct commands on their way: each holds a socket.
    in_flight: usize,
    /// Machines and tasks looked at so far, the reviews by the clock apart: what an event costs must follow from what
    /// it changes.
    items_examined: u64,
}

impl WorkerFleet {
    pub fn new() -> Self {
        WorkerFleet::default()
    }

    /// Takes up blocks leased to us and drops those that are not any more.
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
            let home = cache.machines.get(id).map(|machine| &machine.block);
            for block in self.blocks.values_mut() {
                block.sync_machine(now, id, home == Some(&block.id));
            }
        }
        self.jobs_ended(cache, changed);
    }

    fn sync_block_leases(
        &mut self,
        now: Now,
        config: &Config,
        incarnation: Incarnation,
        cache: &WatchCache,
    ) {
        let ours = |block: &BlockId| {
            cache.block_leases.get(block).filter(|lease| {
                lease.value.holder == config.name && lease.value.incarnation == incarnation
            })
        };
        self.blocks.retain(|id, block| {
            let kept = ours(id).is_some();
            if !kept {
                info!(block = %id, token = %block.token, "block lease lost");
            }
            kept
        });
        for (id, lease) in &cache.block_leases {
            if ours(id).is_none() {
                continue;
            }
            let recorded = recorded(cache, id);
            match self.blocks.get_mut(id) {
                Some(block) if block.lease_version >= lease.version => {}
                Some(block) => {
                    // A new leader. What the old one wanted is void, and no write under the old version can
                    // be committed any more, so our copy holds all that were.
                    block.lease_version = lease.version;
                    block.raise(lease.value.token);
                    block.placements = recorded.placements;
                    block.placements_version = recorded.version;
                    block.parts = recorded.parts;
                    block.unsure_parts.clear();
                    block.last_assignment_update = 0;
                    block.pending.clear();
                    block.handled.clear();
                    block.unsure.clear();
                    block.stops.clear();
                    block.watch.clear();
                    block.forget_told();
                    if block.writer != Writer::InFlight {
                        block.draft = None;
                        block.writer = Writer::Idle;
                    }
                }
                None => {
                    info!(block = %id, token = %lease.value.token, tasks = recorded.placements.attempts().count(), "block lease acquired");
                    let mut block = Block::new(id.clone(), lease, recorded);
                    block.sync_machines(now, cache);
                    self.blocks.insert(id.clone(), block);
                }
            }
        }
    }

    /// A worker's heartbeat. `entitled`: our copy of the block leases is recent enough to act on. If it is not, the heartbeat still
    /// tells what is gone, and which machines are alive.
    pub fn handle_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        config: &Config,
        cache: &WatchCache,
        entitled: bool,
    ) -> HeartbeatResponse {
        if !cache.ready() {
            return HeartbeatResponse::Unavailable;
        }
        if !entitled {
            let block = cache
                .machines
                .get(&heartbeat.machine)
                .and_then(|machine| self.blocks.get_mut(&machine.block));
            if let Some(block) = block.filter(|block| heartbeat.token <= block.token) {
                block.apply_heartbeat(now, heartbeat, cache, HeartbeatSource::Heartbeat);
            }
            return HeartbeatResponse::Unavailable;
        }
        let Some(machine) = cache.machines.get(&heartbeat.machine) else {
            // Unknown so far: the leader takes it up.
            let leader = cache
                .leader
                .as_ref()
                .map(|leader| leader.value.controller.clone());
            return HeartbeatResponse::Redirect(leader.filter(|leader| *leader != config.name));
        };
        let block_id = &machine.block;
        let Some(block) = self.blocks.get_mut(block_id) else {
            let holder = cache
                .block_leases
                .get(block_id)
                .map(|lease| lease.value.holder.clone());
            self.misrouted.insert(heartbeat.machine, now.monotonic);
            return HeartbeatResponse::Redirect(holder.filter(|holder| *holder != config.name));
        };
        if heartbeat.token > block.token {
            // Somebody was granted the block after us. A 200 from us would be dropped and the lease run out.
            return HeartbeatResponse::Redirect(None);
        }
        let id = heartbeat.machine.clone();
        let here = block.placements.on.get(&id).map_or(0, Vec::len);
        self.items_examined += (1 + heartbeat.tasks.len() + here) as u64;
        block.apply_heartbeat(now, heartbeat, cache, HeartbeatSource::Heartbeat);
        match block.workers.get(&id) {
            Some(_) => {
                HeartbeatResponse::WorkerCommands(block.commands(now, &id, cache, None, true))
            }
            None => HeartbeatResponse::Unavailable,
        }
    }

    pub fn apply_command_outcome(
        &mut self,
        now: Now,
        block: &BlockId,
        machine: &MachineId,
        body: &WorkerCommands,
        outcome: CommandOutcome,
        cache: &WatchCache,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(block) = self.blocks.get_mut(block) else {
            return;
        };
        block.commanded(now, machine, body, outcome, cache);
    }

    /// What the leader wants. False if our block lease is not the one it means.
    pub fn apply_assignments(&mut self, work: AssignmentUpdate) -> bool {
        let Some(block) = self.blocks.get_mut(&work.block) else {
            return false;
        };
        if block.lease_version != work.lease_version {
            return false;
        }
        if work.number <= block.last_assignment_update {
            return true;
        }
        block.last_assignment_update = work.number;
        block.heard = block.heard.max(work.last_status);
        block.looked = None;
        let wanted: HashSet<u64> = work
            .assignments
            .iter()
            .map(|wanted| wanted.attempt.number)
            .collect();
        block.handled.retain(|number| wanted.contains(number));
        let placed: HashSet<u64> = block
            .placements
            .attempts()
            .map(|(_, attempt)| attempt.number)
            .collect();
        block.pending = work
            .assignments
            .into_iter()
            .filter(|wanted| !block.handled.contains(&wanted.attempt.number))
            .filter(|wanted| !placed.contains(&wanted.attempt.number))
            .collect();
        for (machine, addr) in work.addresses {
            if let Some(worker) = block
                .workers
                .get_mut(&machine)
                .filter(|worker| worker.addr.is_none())
            {
                worker.addr = Some(addr);
                worker.due = true;
                block.due.insert(machine);
            }
        }
        block.stops = work.stop.into_iter().collect();
        block.watch = work.watch.into_iter().collect();
        let changed: BTreeSet<MachineId> = block
            .placements
            .attempts()
            .filter(|(_, attempt)| block.stops.contains(attempt))
            .map(|(machine, _)| machine.clone())
            .collect();
        block.mark_due(changed);
        true
    }

    /// Prepares the next write: of the block that has waited longest. To be called when it can be sent at once,
    /// so that it holds all that has come up until then. Ends alone are left to gather while writes are scarce, so that
    /// starts find some.
    pub fn write(
        &mut self,
        now: Now,
        config: &Config,
        writes: WriteAllowance,
        cache: &mut WatchCache,
        catalog: &InstanceCatalog,
    ) -> Option<(BlockId, StoreRequest)> {
        let mut waiting: Vec<(Option<Instant>, BlockId)> = self
            .blocks
            .values()
            .filter(|block| block.write_due(now))
            .filter(|block| writes.ample || !block.may_gather_ends(now))
            .map(|block| (block.wrote, block.id.clone()))
            .collect();
        waiting.sort();
        for (_, id) in waiting {
            let Some(block) = self.blocks.get_mut(&id) else {
                continue;
            };
            self.items_examined += (block.pending.len() + block.ended.len()) as u64;
            if let Some(op) = block.write(now, config, writes.max_changes, cache, catalog) {
                block.wrote = Some(now.monotonic);
                self.items_examined += block.placements.attempts().count() as u64;
                return Some((id, op));
            }
        }
        None
    }

    pub fn apply_write_outcome(
        &mut self,
        now: Now,
        block: &BlockId,
        lease_version: u64,
        outcome: &StoreResponse,
    ) {
        if let Some(block) = self.blocks.get_mut(block) {
            block.written(now, lease_version, outcome);
        }
    }

    pub fn lease_version(&self, block: &BlockId) -> u64 {
        self.blocks
            .get(block)
            .map_or(0, |block| block.lease_version)
    }

    /// Commands that should not wait for the next heartbeat. Without a block lease that is known to last (`entitled`) only those
    /// that end tasks of cancelled jobs: a cancellation is final, whoever may hold the block by now.
    pub fn commands(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        entitled: bool,
    ) -> Vec<DirectCommand> {
        let quiet = config.heartbeat_interval.mul_f64(OVERDUE);
        let most = (config.max_sockets / COMMAND_SOCKET_DIVISOR).max(1);
        let mut commands = Vec::new();
        for block in self.blocks.values_mut() {
            while self.in_flight < most
                && let Some(machine) = block.due.pop_first()
            {
                self.items_examined += 1;
                let Some(worker) = block.workers.get(&machine) else {
                    continue;
                };
                let probe = entitled && worker.probe_due(now, quiet);
                if worker.busy || worker.addr.is_none() || !(worker.due || probe) {
                    // It comes back here with its answer, or its first heartbeat.
                    continue;
                }
                if worker.deaf.is_some() && self.in_flight >= most / 2 {
                    // Those that did not answer last time may hold their sockets for long: they leave half to the
                    // others, and come back with the next review.
                    continue;
                }
                // Of a worker that has not reported yet only the address is known. If its session is another than the
                // first, it says so, and executes nothing.
                let agent_epoch = worker.agent_epoch.max(AgentEpoch(1));
                let mut body = block.commands(now, &machine, cache, Some(agent_epoch), entitled);
                if !entitled {
                    body.commands.retain(|command| is_final(command, cache));
                }
                let id = block.id.clone();
                let token = block.token;
                let Some(worker) = block.workers.get_mut(&machine) else {
                    continue;
                };
                // What else it is to be told waits until we are entitled again: the next review finds it.
                worker.due = !entitled;
                if body.commands.is_empty() && (worker.token >= token || !entitled) && !probe {
                    continue;
                }
                if probe {
                    worker.probed = Some((now.monotonic, false));
                }
                worker.busy = true;
                let addr = worker.addr.clone().unwrap_or_default();
                self.in_flight += 1;
                commands.push(DirectCommand {
                    block: id,
                    machine,
                    addr,
                    body,
                });
            }
        }
        commands
    }

    /// Whether an attempt of ours is proven gone, by its worker or by the end of its machine.
    pub fn proven_gone(&self, block: &BlockId, machine: &MachineId, attempt: &Attempt) -> bool {
        self.blocks.get(block).is_some_and(|block| {
            block.ended.contains_key(&(machine.clone(), *attempt))
                || !still_there(&block.placements, machine, attempt)
        })
    }

    /// This process stood still: what it did not hear meanwhile is no silence of its workers.
    pub fn process_paused(&mut self, gap: Duration) {
        for worker in self
            .blocks
            .values_mut()
            .flat_map(|block| block.workers.values_mut())
        {
            worker.heard += gap;
            worker.deaf = worker.deaf.map(|at| at + gap);
        }
    }

    /// Some of the machines of others' blocks that have reported here lately.
    pub fn misrouted(&mut self, now: Now, config: &Config) -> Vec<MachineId> {
        let lately = misrouted_window(config);
        self.misrouted.retain(|_, at| since(now, *at) < lately);
        self.misrouted
            .keys()
            .take(MAX_MISROUTED_PER_STATUS)
            .cloned()
            .collect()
    }

    /// Tells workers at once when jobs end that have tasks on them.
    fn jobs_ended(&mut self, cache: &WatchCache, changed: &ChangedRecords) {
        for (task, placement) in changed.ended.iter().flat_map(|job| {
            cache.placed(*job).iter().map(|((index, _), placement)| {
                (
                    TaskId {
                        job: *job,
                        index: *index,
                    },
                    placement,
                )
            })
        }) {
            let Some(block) = self.blocks.get_mut(&placement.block) else {
                continue;
            };
            let there = block
                .workers
                .get(&placement.machine)
                .and_then(|worker| worker.tasks.get(&task));
            if there.is_some_and(|seen| seen.state != TaskState::Exited) {
                block.mark_due([placement.machine.clone()]);
            }
        }
    }

    /// When the jobs were accepted whose tasks have been seen to start since the last call.
    pub fn take_started(&mut self) -> impl Iterator<Item = u64> {
        self.blocks
            .values_mut()
            .flat_map(|block| std::mem::take(&mut block.started))
    }

    /// Machines and tasks looked at so far.
    pub fn items_examined(&self) -> u64 {
        self.items_examined
    }

    pub fn status(&mut self, now: Now, policy: &Policy) -> Vec<BlockStatus> {
        self.items_examined += self
            .blocks
            .values()
            .map(|block| block.unsaid.len() as u64)
            .sum::<u64>();
        self.blocks
            .values_mut()
            .map(|block| block.status(now, policy))
            .collect()
    }

    /// Housekeeping by the clock.
    pub fn tick(&mut self, now: Now, config: &Config, policy: &Policy) {
        if self
            .reviewed
            .is_some_and(|at| since(now, at) < REVIEW_EVERY)
        {
            return;
        }
        self.reviewed = Some(now.monotonic);
        let quiet = config.heartbeat_interval.mul_f64(OVERDUE);
        for block in self.blocks.values_mut() {
            block.review(now, quiet, policy);
        }
    }
}

/// Whether a command only ends a task whose job is known to be cancelled or over.
fn is_final(command: &WorkerCommand, cache: &WatchCache) -> bool {
    let over = |job| {
        cache.ended.contains_key(&job) || cache.open.contains_key(&job) && !wanted_alive(cache, job)
    };
    matches!(command, WorkerCommand::Stop { task, .. } if over(task.job))
}

/// How long a machine that has reported to another controller than its holder counts as heard there: a worker whose
/// holder does not answer comes round once in its time-out (4 s), a second's pause and the way there and back.
pub fn misrouted_window(config: &Config) -> Duration {
    config.heartbeat_interval + Duration::from_secs(8)
}

#[cfg(test)]
mod tests;
