//! A block that is leased to us: what its workers say, what they are told, and the record of what runs where.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::CommandOutcome;
use super::parts::{Ended, PartLimits, PartsDraft, merged};
use super::wire::{Cause, Heartbeat, TaskState, WorkerCommand, WorkerCommands};
use super::worker::{Launch, ObservedTask, QUIET, Worker};
use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{
    AgentEpoch, Attempt, BlockId, FencingToken, JobId, JobKind, MachineId, Now, Resources, TaskId,
    since,
};
use crate::peer::{Assignment, BlockStatus, MachineStatus};
use crate::placement::{self, Candidate};
use crate::policy::Policy;
use crate::store::cache::Parts;
use crate::store::records::{
    BlockLease, BlockPlacements, PARTS_FORMAT, Part, block_lease_key, inventory_part_key, job_key,
};
use crate::store::{StoreRequest, StoreResponse, Transaction, Versioned, WatchCache, Writer};

/// A lost launch is repeated after this long.
const RELAUNCH: Duration = Duration::from_millis(1500);
/// A command of unknown outcome that stands in the way this long is fenced by a new token.
pub(super) const RENEW_AFTER: Duration = Duration::from_secs(3);
/// Ended tasks that a worker remembers, so that no copy of a launch starts them again, before a new token lets it forget
/// them. Each makes its heartbeats longer.
const MOST_REMEMBERED: usize = 40;
/// A block that found nothing to write looks again after this long.
pub(super) const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// While writes are scarce, a block that only has ends to record does so this often: each part that they are recorded in
/// costs a change, and users wait for starts. They are told of ends within 3 s.
const GATHER_ENDS: Duration = Duration::from_secs(1);

/// The protocol's limit for the conditions of a transaction, by that for its changes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// How a worker came to say something. Only a heartbeat that reached us can renew its lease: a worker that answers commands
/// and reaches no controller loses its tasks again and again, so that its answers are no sign of its being well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    Heartbeat,
    CommandAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Done,
    Gone,
}

/// A block that is leased to us.
#[derive(Debug)]
pub(super) struct Block {
    pub(super) id: BlockId,
    pub(super) token: FencingToken,
    pub(super) lease_version: u64,
    /// All parts together, and the version of the last change to any of them.
    pub(super) placements: BlockPlacements,
    pub(super) placements_version: u64,
    pub(super) parts: Parts<BlockPlacements>,
    pub(super) writer: Writer,
    pub(super) workers: BTreeMap<MachineId, Worker>,
    pub(super) last_assignment_update: u64,
    pub(super) pending: Vec<Assignment>,
    /// Attempts already dealt with that the leader may not know of yet.
    pub(super) handled: HashSet<u64>,
    /// Those for which the last look found no machine.
    pub(super) refused: Vec<u64>,
    /// Attempts of the transaction that is under way or whose outcome is not known.
    pub(super) unsure: Vec<u64>,
    /// The parts that it changes.
    pub(super) unsure_parts: BTreeSet<Part>,
    /// Both as they were before the transaction that is under way. If that is not executed, an earlier one of unknown
    /// outcome still may be.
    pub(super) unsure_before: (Vec<u64>, BTreeSet<Part>),
    pub(super) stops: HashSet<Attempt>,
    /// Attempts of which the leader needs to know whether they run.
    pub(super) watch: HashSet<u64>,
    /// What is proven and not yet recorded.
    pub(super) ended: BTreeMap<(MachineId, Attempt), End>,
    pub(super) draft: Option<PartsDraft>,
    pub(super) blocked_since: Option<Instant>,
    /// A task waits for a machine of ours that must not forget an earlier attempt of it yet.
    pub(super) fenced: bool,
    /// Workers whose heartbeats are overdue, when last counted.
    pub(super) overdue: u32,
    /// Workers with something to be told, or to be told of; so that no event costs a look at all of them.
    pub(super) due: BTreeSet<MachineId>,
    pub(super) unsaid: BTreeSet<MachineId>,
    /// The last status sent, and the last one that the leader has heard.
    pub(super) number: u64,
    pub(super) heard: u64,
    /// When it was last looked for something to write.
    pub(super) looked: Option<Instant>,
    /// When it last wrote: whose turn it is when the rate does not suffice for all.
    pub(super) wrote: Option<Instant>,
    /// When the jobs were accepted whose tasks were seen to have started, for the metrics.
    pub(super) started: Vec<u64>,
}

impl Block {
    pub(super) fn new(id: BlockId, lease: &Versioned<BlockLease>, recorded: Recorded) -> Self {
        Block {
            id,
            token: lease.value.token,
            lease_version: lease.version,
            placements: recorded.placements,
            placements_version: recorded.version,
            parts: recorded.parts,
            writer: Writer::Idle,
            workers: BTreeMap::new(),
            last_assignment_update: 0,
            pending: Vec::new(),
            handled: HashSet::new(),
            refused: Vec::new(),
            unsure: Vec::new(),
            unsure_parts: BTreeSet::new(),
            unsure_before: Default::default(),
            stops: HashSet::new(),
            watch: HashSet::new(),
            ended: BTreeMap::new(),
            draft: None,
            blocked_since: None,
            fenced: false,
            overdue: 0,
            due: BTreeSet::new(),
            unsaid: BTreeSet::new(),
            number: 0,
            heard: 0,
            looked: None,
            wrote: None,
            started: Vec::new(),
        }
    }

    /// Takes a new token. Workers that have shown it execute nothing that was sent under the old one, so what
    /// was unsure about it is settled as each of them does.
    pub(super) fn raise(&mut self, token: FencingToken) {
        if token == self.token {
            return;
        }
        info!(block = %self.id, old = %self.token, %token, "fencing token raised");
        self.token = token;
        self.blocked_since = None;
        self.fenced = false;
        for (id, worker) in &mut self.workers {
            worker.launches.clear();
            worker.tainted.clear();
            worker.launched.clear();
            worker.due = true;
            self.due.insert(id.clone());
            self.unsaid.insert(id.clone());
        }
    }

    /// A new leader, or the same under a new block lease, knows nothing of our machines.
    pub(super) fn forget_told(&mut self) {
        self.number = 0;
        self.heard = 0;
        for (id, worker) in &mut self.workers {
            worker.told = None;
            self.unsaid.insert(id.clone());
        }
    }

    /// Whether it should be looked for something to write.
    pub(super) fn write_due(&self, now: Now) -> bool {
        self.has_news(now) && self.looked.is_none_or(|at| since(now, at) >= LOOK_AGAIN)
    }

    /// Whether it has nothing but ends to record, and has recorded some just now.
    pub(super) fn may_gather_ends(&self, now: Now) -> bool {
        let starts = !self.pending.is_empty() || !self.unsure.is_empty();
        let lately = self.wrote.is_some_and(|at| since(now, at) < GATHER_ENDS);
        !starts && lately
    }

    /// Whether there may be something to write.
    fn has_news(&self, now: Now) -> bool {
        let prune = !self.placements.done.is_empty()
            && self.looked.is_none_or(|at| since(now, at) > RELAUNCH);
        !self.pending.is_empty() || !self.ended.is_empty() || !self.unsure.is_empty() || prune
    }

    pub(super) fn mark_due(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        for machine in machines {
            if let Some(worker) = self.workers.get_mut(&machine) {
                worker.due = true;
                self.due.insert(machine);
            }
        }
    }

    pub(super) fn sync_machines(&mut self, now: Now, cache: &WatchCache) {
        let ours = |id: &MachineId| {
            cache
                .machines
                .get(id)
                .is_some_and(|machine| machine.block == self.id)
        };
        let mut known: BTreeSet<MachineId> = self
            .workers
            .keys()
            .chain(self.placements.on.keys())
            .cloned()
            .collect();
        known.extend(
            cache
                .inventories
                .get(&self.id)
                .iter()
                .flat_map(|inventory| inventory.value.on.keys().cloned()),
        );
        let known: Vec<(MachineId, bool)> = known
            .into_iter()
            .map(|id| (id.clone(), ours(&id)))
            .collect();
        for (id, ours) in known {
            self.sync_machine(now, &id, ours);
        }
    }

    pub(super) fn sync_machine(&mut self, now: Now, id: &MachineId, ours: bool) {
        if ours {
            if !self.workers.contains_key(id) {
                self.workers.insert(id.clone(), Worker::new(now));
                self.unsaid.insert(id.clone());
            }
            return;
        }
        self.workers.remove(id);
        // The record of a machine is removed after the cloud has deleted it: its tasks are gone.
        for placed in self.placements.on.get(id).into_iter().flatten() {
            let attempt = placed.0;
            self.ended.entry((id.clone(), attempt)).or_insert_with(|| {
                info!(%attempt, proof = "machine deleted", "task lost");
                End::Gone
            });
        }
    }

    /// The one place where what a worker says is taken in.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        cache: &WatchCache,
        source: HeartbeatSource,
    ) {
        let token = self.token;
        let Some(worker) = self.workers.get_mut(&heartbeat.machine) else {
            return;
        };
        let newer = (heartbeat.agent_epoch, heartbeat.seq) > (worker.agent_epoch, worker.seq);
        if !newer {
            // Late: its task list is as old as it is.
            return;
        }
        if worker.agent_epoch != AgentEpoch(0) && heartbeat.agent_epoch != worker.agent_epoch {
            // Commands for the old session are not executed any more.
            info!(machine = %heartbeat.machine, agent_epoch = %heartbeat.agent_epoch, "worker lease expired");
            worker.launches.clear();
            worker.tainted.clear();
            worker.launched.clear();
        }
        self.unsaid.insert(heartbeat.machine.clone());
        worker.agent_epoch = heartbeat.agent_epoch;
        worker.seq = heartbeat.seq;
        match source {
            HeartbeatSource::Heartbeat => {
                worker.heard = now.monotonic;
                if worker.deaf.is_none() {
                    worker.probed = None;
                }
            }
            HeartbeatSource::CommandAnswer => {
                worker.probed = worker.probed.map(|(at, _)| (at, false))
            }
        }
        worker.reported = true;
        worker.notice = heartbeat.notice_s.is_some();
        worker.addr = Some(heartbeat.addr);
        let tasks: BTreeMap<TaskId, ObservedTask> = heartbeat
            .tasks
            .iter()
            .map(|task| {
                (
                    task.task,
                    ObservedTask {
                        number: Attempt::from_wire(task.task, task.number).number,
                        state: task.state,
                        cause: task.cause,
                    },
                )
            })
            .collect();
        for (task, seen) in tasks
            .iter()
            .filter(|(_, seen)| seen.state == TaskState::Running)
        {
            let attempt = Attempt {
                task: *task,
                number: seen.number,
            };
            let before = worker.tasks.get(task).map(|seen| seen.state);
            // Launched by us and not seen running before: others' starts happened nobody knows when.
            if before != Some(TaskState::Running)
                && worker.launches.contains_key(&attempt)
                && let Some(open) = cache.open.get(&task.job)
            {
                self.started.push(open.job.accepted_ms);
            }
        }
        worker.tasks = tasks;
        let raised = heartbeat.token >= token && worker.token < token;
        worker.token = heartbeat.token;
        if worker.token < token || raised {
            // Raise its token, or start what waited for it.
            worker.due = true;
        }
        for (task, seen) in &worker.tasks {
            let has_image = matches!(
                seen.state,
                TaskState::Running | TaskState::Saving | TaskState::Waiting
            );
            if has_image && let Some(open) = cache.open.get(&task.job) {
                worker.images.insert(open.job.image.clone());
            }
        }
        let placed = self.placements.on.get(&heartbeat.machine);
        worker.forget_launches(|attempt| {
            placed.is_some_and(|list| list.iter().any(|placed| placed.0 == *attempt))
        });
        let here: Vec<Attempt> = self
            .placements
            .on
            .get(&heartbeat.machine)
            .map(|list| list.iter().map(|placed| placed.0).collect())
            .unwrap_or_default();
        for attempt in here {
            let key = (heartbeat.machine.clone(), attempt);
            let seen = worker
                .tasks
                .get(&attempt.task)
                .filter(|seen| seen.number == attempt.number);
            match seen {
                Some(seen) => {
                    if seen.state != TaskState::Exited {
                        // Started by a command that was under way when its job was cancelled. Workers that show a newer
                        // token are another holder's, and would refuse this for ever.
                        worker.due |=
                            !wanted_alive(cache, attempt.task.job) && worker.token <= token;
                        continue;
                    }
                    if worker.token < token {
                        // An older holder could still give it commands.
                        continue;
                    }
                    let done = seen.cause == Some(Cause::Done);
                    if let std::collections::btree_map::Entry::Vacant(entry) = self.ended.entry(key)
                    {
                        debug!(%attempt, cause = ?seen.cause, "task ended");
                        worker.note_end(attempt.task.job, seen.cause);
                        entry.insert(if done { End::Done } else { End::Gone });
                    }
                }
                None => {
                    let unwanted =
                        !wanted_alive(cache, attempt.task.job) || self.stops.contains(&attempt);
                    if unwanted && worker.token >= token && !worker.may_start_late(&attempt) {
                        // Not there, and nothing that could start it is under way.
                        self.ended.insert(key, End::Gone);
                    } else if worker.token >= token {
                        worker.due = true;
                    }
                }
            }
        }
        if worker.due {
            self.due.insert(heartbeat.machine);
        }
    }

    /// All that the worker should be told now. `agent_epoch`: for a direct command, else for a heartbeat's answer. `entitled`:
    /// whether tasks may be started.
    pub(super) fn commands(
        &mut self,
        now: Now,
        machine: &MachineId,
        cache: &WatchCache,
        agent_epoch: Option<AgentEpoch>,
        entitled: bool,
    ) -> WorkerCommands {
        let mut commands = Vec::new();
        let token = self.token;
        if let Some(worker) = self.workers.get_mut(machine) {
            let here: BTreeMap<TaskId, u64> = self
                .placements
                .on
                .get(machine)
                .map(|list| {
                    list.iter()
                        .map(|placed| (placed.0.task, placed.0.number))
                        .collect()
                })
                .unwrap_or_default();
            for (task, seen) in &worker.tasks {
                let attempt = Attempt {
                    task: *task,
                    number: seen.number,
                };
                let recorded = here.get(task) == Some(&seen.number);
                let wanted =
                    recorded && wanted_alive(cache, task.job) && !self.stops.contains(&attempt);
                match seen.state {
                    // Reaped only once its end is recorded, and never while an old launch of it may come late.
                    TaskState::Exited if !recorded && worker.may_forget(&attempt, seen.cause) => {
                        commands.push(WorkerCommand::Reap {
                            task: *task,
                            number: attempt.wire_number(),
                        });
                    }
                    TaskState::Exited => {}
                    _ if wanted => {}
                    _ => {
                        let job = cache
                            .open
                            .get(&task.job)
                            .filter(|open| !open.cancelled)
                            .map(|open| &open.job);
                        let grace_s = job
                            // What is left of a gang that has lost a task can't save any more.
                            .filter(|job| job.kind != JobKind::Gang)
                            .filter(|job| job.checkpoint_every_s > 0.0 && recorded)
                            .map_or(0.0, |job| job.checkpoint_s);
                        commands.push(WorkerCommand::Stop {
                            task: *task,
                            number: attempt.wire_number(),
                            grace_s,
                        });
                    }
                }
            }
            // Nothing is launched before the worker has shown our token; direct commands only, so that each
            // launch has an answer of its own.
            if agent_epoch.is_some() && entitled && worker.token >= token {
                for (task, number) in &here {
                    let attempt = Attempt {
                        task: *task,
                        number: *number,
                    };
                    let there = worker
                        .tasks
                        .get(task)
                        .is_some_and(|seen| seen.number == *number);
                    let recent = match worker.launches.get(&attempt) {
                        Some(Launch::Sent { .. }) => true,
                        Some(Launch::Lost { at }) => since(now, *at) < RELAUNCH,
                        Some(Launch::Confirmed) | None => false,
                    };
                    let wanted = wanted_alive(cache, task.job) && !self.stops.contains(&attempt);
                    let ended = self.ended.contains_key(&(machine.clone(), attempt));
                    if !there && !recent && wanted && !ended {
                        debug!(%attempt, %machine, %token, agent_epoch = %worker.agent_epoch, "task launch sent");
                        worker
                            .launches
                            .insert(attempt, Launch::Sent { at: now.monotonic });
                        worker.launched.insert(attempt);
                        commands.push(WorkerCommand::Launch {
                            task: *task,
                            number: attempt.wire_number(),
                        });
                    }
                }
            }
        }
        WorkerCommands {
            token,
            agent_epoch,
            commands,
        }
    }

    pub(super) fn commanded(
        &mut self,
        now: Now,
        machine: &MachineId,
        body: &WorkerCommands,
        outcome: CommandOutcome,
        cache: &WatchCache,
    ) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.busy = false;
        if worker.due {
            self.due.insert(machine.clone());
        }
        let launched = body.commands.iter().filter_map(|command| match command {
            WorkerCommand::Launch { task, number } => Some(Attempt::from_wire(*task, *number)),
            _ => None,
        });
        let current = body.agent_epoch == Some(worker.agent_epoch) && body.token == self.token;
        for attempt in launched {
            let next = match &outcome {
                CommandOutcome::Executed(_) => Some(Launch::Confirmed),
                CommandOutcome::Rejected(_) => None,
                CommandOutcome::Unknown => Some(Launch::Lost { at: now.monotonic }),
            };
            match next {
                _ if !current => {}
                Some(next) => {
                    if matches!(next, Launch::Lost { .. }) {
                        debug!(%attempt, %machine, "launch unanswered");
                        worker.tainted.insert(attempt);
                    }
                    worker.launches.insert(attempt, next);
                }
                None => {
                    worker.launches.remove(&attempt);
                }
            }
        }
        match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Rejected(heartbeat) => {
                if heartbeat.machine == *machine {
                    worker.deaf = None;
                    self.apply_heartbeat(now, heartbeat, cache, HeartbeatSource::CommandAnswer);
                }
            }
            CommandOutcome::Unknown => {
                worker.deaf.get_or_insert(now.monotonic);
                worker.probed = Some((worker.probed.map_or(now.monotonic, |(at, _)| at), true));
                self.unsaid.insert(machine.clone());
            }
        }
    }

    pub(super) fn candidates(
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
            if !machine.state.takes_tasks() || !worker.usable(now, self.token) {
                continue;
            }
            let mut taken = Resources::default();
            for open in placements
                .on
                .get(id)
                .into_iter()
                .flatten()
                .filter_map(|p| cache.open.get(&p.0.task.job))
            {
                taken.add(&open.job.need);
            }
            let images = worker.images.iter().cloned().collect();
            candidates.push(Candidate::new(id, machine, instance_type, &taken, images));
        }
        candidates
    }

    /// The next transaction: what ended, what is placed, what can be forgotten.
    pub(super) fn write(
        &mut self,
        now: Now,
        config: &Config,
        most: usize,
        cache: &mut WatchCache,
        catalog: &InstanceCatalog,
    ) -> Option<StoreRequest> {
        let unsure = self.writer.is_unsure();
        if !self.writer.ready(now, cache) {
            return None;
        }
        self.looked = Some(now.monotonic);
        if unsure {
            self.take_recorded(cache);
        }
        let limits = PartLimits::new(&config.state_limits, most, cache.format() >= PARTS_FORMAT);
        let mut txn = Transaction::default().when(block_lease_key(&self.id), self.lease_version);
        let mut placed = Placed::default();
        let dividing = PartsDraft::dividing(&self.parts, limits, &self.unsure_parts);
        let draft = match dividing {
            Some(draft) => {
                info!(block = %self.id, changes = draft.changed().len(), "a value is too large: divided");
                draft
            }
            None => {
                let mut draft = self.draft_ends(cache, limits);
                placed = self.place(now, config, cache, catalog, &mut draft);
                draft
            }
        };
        // A write of unknown outcome is made sure of by the next one, needed or not.
        if !draft.any() {
            self.ended
                .retain(|(machine, attempt), _| still_there(&self.placements, machine, attempt));
            return None;
        }
        for part in placed.inventory_parts {
            // Nothing is placed on a machine that the leader has begun to drain or has deleted meanwhile.
            let version = cache
                .inventory_parts(&self.id)
                .and_then(|parts| parts.get(&part));
            let version = version.map_or(0, |part| part.version);
            txn = txn.when(inventory_part_key(&self.id, part), version);
        }
        for (job, version) in placed.jobs {
            txn = txn.when(job_key(job), version);
        }
        txn = draft.apply(&self.id, &self.parts, txn);
        self.unsure_before = (self.unsure.clone(), self.unsure_parts.clone());
        self.unsure.extend(placed.attempts);
        self.unsure_parts = draft.changed().clone();
        self.draft = Some(draft);
        self.writer.sent();
        Some(StoreRequest::Commit(txn))
    }

    /// After a write that failed or whose outcome is unknown: goes by what our copy of the records shows.
    fn take_recorded(&mut self, cache: &WatchCache) {
        // Nothing of ours is under way that our copy does not show, but for a late repeat of the last
        // transaction, which fails once another one has been committed.
        let recorded = recorded(cache, &self.id);
        if recorded.version > self.placements_version {
            self.unsure.clear();
            self.unsure_parts.clear();
        }
        self.placements = recorded.placements;
        self.placements_version = recorded.version;
        self.parts = recorded.parts;
        for (machine, attempt) in self.placements.attempts() {
            if self
                .pending
                .iter()
                .any(|wanted| wanted.attempt.number == attempt.number)
            {
                self.handled.insert(attempt.number);
                if let Some(worker) = self.workers.get_mut(machine) {
                    worker.due = true;
                    self.due.insert(machine.clone());
                }
            }
        }
        self.pending
            .retain(|wanted| !self.handled.contains(&wanted.attempt.number));
    }

    /// What has ended and what can be forgotten.
    fn draft_ends(&self, cache: &WatchCache, limits: PartLimits) -> PartsDraft {
        let mut draft = PartsDraft::new(&self.parts, limits, &self.unsure_parts);
        // What is to be placed does not fit before the ends on its machine are recorded.
        let wanted: HashSet<&MachineId> =
            self.pending.iter().map(|wanted| &wanted.machine).collect();
        let ended = self
            .ended
            .iter()
            .map(|((machine, attempt), end)| Ended {
                machine,
                attempt: *attempt,
                done: *end == End::Done && cache.open.contains_key(&attempt.task.job),
                room_wanted: wanted.contains(machine),
            })
            .collect();
        draft.end_all(ended);
        draft.prune(cache);
        draft
    }

    /// Adds what the leader wants placed, as far as machines, values and the transaction have room for it.
    fn place(
        &mut self,
        now: Now,
        config: &Config,
        cache: &WatchCache,
        catalog: &InstanceCatalog,
        draft: &mut PartsDraft,
    ) -> Placed {
        self.refused.clear();
        let mut placed = Placed::default();
        let mut fenced = false;
        // Those on the block lease and on the parts apart.
        let most_conditions = (CONDITIONS_PER_CHANGE * config.state_limits.txn_ops)
            .saturating_sub(1 + draft.most_changes())
            .max(2);
        if !self.pending.is_empty() {
            let mut candidates = self.candidates(now, cache, catalog, &draft.merged());
            for wanted in &self.pending {
                let Some(open) = cache
                    .open
                    .get(&wanted.attempt.task.job)
                    .filter(|open| !open.cancelled)
                else {
                    continue;
                };
                let task = wanted.attempt.task;
                if open.done.contains(task.index) {
                    continue;
                }
                // Where a launch of an earlier attempt, or a copy of one, may still be on its way, a new attempt
                // would make the worker forget that one, and it could start beside the new one.
                let clear = |c: &&Candidate| {
                    self.workers
                        .get(&c.machine)
                        .is_some_and(|w| w.launched.iter().all(|attempt| attempt.task != task))
                };
                let hinted = candidates
                    .iter()
                    .filter(clear)
                    .find(|c| c.machine == wanted.machine);
                let chosen = hinted
                    .filter(|c| c.allows(&open.job) && c.free.fits(&open.job.need))
                    .or_else(|| {
                        placement::choose(candidates.iter().filter(clear), &open.job, |_| true)
                    })
                    .map(|c| c.machine.clone());
                let Some(machine) = chosen else {
                    // Only a machine that must remember an earlier attempt has room: a new token lets it forget.
                    fenced |= candidates
                        .iter()
                        .any(|c| c.allows(&open.job) && c.free.fits(&open.job.need));
                    self.refused.push(wanted.attempt.number);
                    continue;
                };
                let Some(inventory_part) = cache.inventory_part_of(&self.id, &machine) else {
                    continue;
                };
                if placed.conditions_with(task.job, inventory_part) > most_conditions {
                    // Left to the next write.
                    continue;
                }
                if !draft.add(&machine, wanted.attempt) {
                    continue;
                }
                if let Some(candidate) = candidates.iter_mut().find(|c| c.machine == machine) {
                    candidate.free.take(&open.job.need);
                }
                // A task is placed only if its job was not cancelled before: our copy may not show that yet.
                placed.jobs.insert(task.job, open.version);
                placed.inventory_parts.insert(inventory_part);
                placed.attempts.push(wanted.attempt.number);
            }
        }
        self.fenced = fenced;
        placed
    }

    pub(super) fn written(&mut self, now: Now, lease_version: u64, outcome: &StoreResponse) {
        self.writer.answered(now, outcome);
        let draft = self.draft.take();
        if lease_version != self.lease_version {
            // The answer to a write under an older leader: our copy already holds it if it was committed.
            self.writer = Writer::Unsure {
                since: now.monotonic,
            };
            return;
        }
        match (outcome, draft) {
            (StoreResponse::Committed { revision }, Some(draft)) => {
                let old: HashSet<u64> = self
                    .placements
                    .attempts()
                    .map(|(_, attempt)| attempt.number)
                    .collect();
                self.parts = draft.committed(*revision);
                self.placements = merged(&self.parts);
                self.placements_version = *revision;
                let started: Vec<(MachineId, Attempt)> = self
                    .placements
                    .attempts()
                    .filter(|(_, attempt)| !old.contains(&attempt.number))
                    .map(|(machine, attempt)| (machine.clone(), attempt))
                    .collect();
                // We know our own placements; only others' records are waited for.
                self.writer = Writer::Idle;
                self.unsure.clear();
                self.unsure_parts.clear();
                self.ended.retain(|(machine, attempt), _| {
                    still_there(&self.placements, machine, attempt)
                });
                for (machine, attempt) in started {
                    debug!(%attempt, %machine, "placed");
                    self.handled.insert(attempt.number);
                    self.pending
                        .retain(|wanted| wanted.attempt.number != attempt.number);
                    self.mark_due([machine]);
                }
            }
            (StoreResponse::Unknown, _) => {}
            // Not executed.
            _ => (self.unsure, self.unsure_parts) = std::mem::take(&mut self.unsure_before),
        }
    }

    pub(super) fn status(&mut self, now: Now, policy: &Policy) -> BlockStatus {
        self.number += 1;
        for id in std::mem::take(&mut self.unsaid) {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let (errors, failures) = worker.told_failures();
            let status = MachineStatus {
                machine: id.clone(),
                usable: worker.usable(now, self.token),
                seen: worker.reported,
                silent: worker.silent(now, policy),
                notice: worker.notice,
                errors,
                failures,
                images: worker.images.iter().cloned().collect(),
            };
            let number = self.number;
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.told.as_ref().is_none_or(|(told, _)| *told != status)
            {
                worker.told = Some((status, number));
            }
        }
        let unheard = |worker: &Worker| match &worker.told {
            Some((status, number)) if *number > self.heard => Some(status.clone()),
            _ => None,
        };
        let mut pending: Vec<u64> = self
            .pending
            .iter()
            .map(|wanted| wanted.attempt.number)
            .collect();
        pending.extend(&self.unsure);
        BlockStatus {
            block: self.id.clone(),
            token: self.token,
            lease_version: self.lease_version,
            last_assignment_update: self.last_assignment_update,
            pending,
            refused: self.refused.clone(),
            ended: self
                .ended
                .keys()
                .map(|(_, attempt)| attempt.number)
                .collect(),
            revision: self.placements_version,
            wants_new_token: self
                .blocked_since
                .is_some_and(|at| since(now, at) > RENEW_AFTER),
            expected: self
                .workers
                .values()
                .filter(|worker| worker.addr.is_some())
                .count() as u32,
            overdue: self.overdue,
            number: self.number,
            machines: self.workers.values().filter_map(unheard).collect(),
            running: self.watched_running(),
        }
    }

    /// The watched attempts that their workers show as running.
    fn watched_running(&self) -> Vec<u64> {
        if self.watch.is_empty() {
            return Vec::new();
        }
        let seen = self
            .workers
            .values()
            .flat_map(|worker| worker.tasks.values());
        seen.filter(|seen| seen.state == TaskState::Running && self.watch.contains(&seen.number))
            .map(|seen| seen.number)
            .collect()
    }

    /// What follows from the clock alone. `quiet`: how long after its last heartbeat a worker is overdue.
    pub(super) fn review(&mut self, now: Now, quiet: Duration, policy: &Policy) {
        self.note_blocked(now);
        self.overdue = 0;
        for (id, worker) in &mut self.workers {
            self.overdue += u32::from(worker.addr.is_some() && since(now, worker.heard) > quiet);
            let placed = self.placements.on.get(id);
            worker.launches.retain(|attempt, _| {
                placed.is_some_and(|list| list.iter().any(|placed| placed.0 == *attempt))
            });
            let lost = |launch: &Launch| matches!(launch, Launch::Lost { at } if since(now, *at) >= RELAUNCH);
            if worker.launches.values().any(lost) && since(now, worker.heard) < QUIET {
                worker.due = true;
            }
            if !worker.busy && (worker.due || worker.probe_due(now, quiet)) {
                self.due.insert(id.clone());
            }
            let (silent, usable) = (worker.silent(now, policy), worker.usable(now, self.token));
            if worker
                .told
                .as_ref()
                .is_none_or(|(told, _)| (told.silent, told.usable) != (silent, usable))
            {
                self.unsaid.insert(id.clone());
            }
        }
    }

    /// Notes whether launches of unknown outcome are about, which only a new token settles.
    pub(super) fn note_blocked(&mut self, now: Now) {
        let full = |worker: &Worker| {
            worker
                .tasks
                .values()
                .filter(|seen| seen.state == TaskState::Exited)
                .count()
                > MOST_REMEMBERED
        };
        let blocked = self.fenced
            || self
                .workers
                .values()
                .any(|worker| !worker.tainted.is_empty() || full(worker));
        self.blocked_since = self
            .blocked_since
            .filter(|_| blocked)
            .or_else(|| blocked.then_some(now.monotonic));
    }
}

/// What a transaction places, and what it is conditioned on for that.
#[derive(Debug, Default)]
struct Placed {
    attempts: Vec<u64>,
    jobs: BTreeMap<JobId, u64>,
    inventory_parts: BTreeSet<Part>,
}

impl Placed {
    /// The conditions that it comes to with one more task.
    fn conditions_with(&self, job: JobId, inventory_part: Part) -> usize {
        self.jobs.len()
            + self.inventory_parts.len()
            + usize::from(!self.jobs.contains_key(&job))
            + usize::from(!self.inventory_parts.contains(&inventory_part))
    }
}

/// Whether a job's tasks should run at all.
pub(super) fn wanted_alive(cache: &WatchCache, job: JobId) -> bool {
    cache.open.get(&job).is_some_and(|open| !open.cancelled)
}

/// What the records say of a block's tasks.
pub(super) struct Recorded {
    pub(super) placements: BlockPlacements,
    pub(super) version: u64,
    pub(super) parts: Parts<BlockPlacements>,
}

pub(super) fn recorded(cache: &WatchCache, block: &BlockId) -> Recorded {
    let placements = cache.placements.get(block);
    Recorded {
        placements: placements
            .map(|placements| placements.value.clone())
            .unwrap_or_default(),
        version: placements.map_or(0, |placements| placements.version),
        parts: cache.placements_parts(block).cloned().unwrap_or_default(),
    }
}

pub(super) fn still_there(
    placements: &BlockPlacements,
    machine: &MachineId,
    attempt: &Attempt,
) -> bool {
    placements
        .on
        .get(machine)
        .is_some_and(|list| list.iter().any(|placed| placed.0 == *attempt))
}
