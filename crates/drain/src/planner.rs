//! The leader's part: compares what operators want with what is observed, and says what follows.
//!
//! Nothing of it is carried out before it is recorded. All that must survive a leader is in the records; the planner
//! only remembers since when something has been waited for, and what was lost and not recorded yet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dappleshore_domain::{
    Attempt, BlockId, InstanceTypeName, JobId, MachineId, Now, TaskId, Team, Zone, since,
};

use crate::budget::{Budgets, Limit};
use crate::disruption::{Disruptions, Exceeded, Tracker};
use crate::id::DrainId;
use crate::ledger::{Eviction, Ledger, Subject};
use crate::record::{DrainRecord, HaltReason, Phase, Purpose};
use crate::scope::Membership;

/// Whether a machine takes tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    InService,
    Cordoned,
    Returning,
}

/// A machine as the leader sees it.
#[derive(Debug, Clone)]
pub struct MachineView {
    pub id: MachineId,
    pub block: BlockId,
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub state: ServiceState,
    /// It reports, hears us, and is not being taken away.
    pub usable: bool,
    /// It is given up: its tasks are lost once the cloud has deleted it.
    pub given_up: bool,
    /// Tasks that are not proven gone.
    pub tasks: Vec<Attempt>,
    /// Tasks are released to it that its holder may still place.
    pub expects_tasks: bool,
}

impl MachineView {
    fn membership(&self) -> Membership<'_> {
        Membership {
            id: &self.id,
            block: &self.block,
            type_name: &self.type_name,
            zone: &self.zone,
        }
    }

    fn is_empty(&self) -> bool {
        self.tasks.is_empty() && !self.expects_tasks
    }
}

/// What matters of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobFacts {
    pub team: Team,
    pub class: Arc<str>,
    /// The tasks of a gang, which are moved together. None: its tasks are moved one by one.
    pub gang_tasks: Option<u32>,
}

/// Why a task finds no room elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// No machine has room for it yet.
    Yet,
    /// All places where it may go are being drained, or none is known.
    Anywhere,
}

/// What the planner sees of the fleet.
pub trait Fleet {
    /// All machines.
    fn machines(&self) -> &[MachineView];
    /// None: the job is over or cancelled.
    fn job(&self, job: JobId) -> Option<JobFacts>;
    fn is_done(&self, task: TaskId) -> bool;
    /// The task's attempts that are not proven gone.
    fn attempts(&self, task: TaskId) -> Vec<Attempt>;
    /// Whether an attempt was seen to run, on a machine that is usable.
    fn runs(&self, attempt: &Attempt) -> bool;
    /// Whether an attempt is told to stop for another reason.
    fn is_stopping(&self, attempt: &Attempt) -> bool;
    /// Whether a job's tasks fail again and again.
    fn keeps_failing(&self, job: JobId) -> bool;
    /// Why a task that was evicted already has no room kept for it, if it has none.
    fn lacks_room(&self, task: TaskId) -> Option<NoRoom>;
    /// Keeps room for what is to be moved, and says where.
    fn reserve(&mut self, subject: &Subject) -> Result<Vec<Reservation>, NoRoom>;
}

/// Room that is kept for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    pub task: TaskId,
    pub machine: MachineId,
}

/// What is stored.
#[derive(Debug, Clone, Copy)]
pub struct Records<'a> {
    pub drains: &'a BTreeMap<DrainId, DrainRecord>,
    pub ledgers: &'a BTreeMap<Team, Ledger>,
    pub budgets: &'a Budgets,
}

/// What one decision may come to, and how long is waited.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub step: Limit,
    pub room_timeout: Duration,
    pub replacement_timeout: Duration,
    /// Entries that a ledger's value has room for.
    pub ledger_entries: usize,
    /// Ledgers that one transaction may change.
    pub ledgers_at_once: usize,
}

/// What follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    Cordon(MachineId),
    Uncordon(MachineId),
    Return(MachineId),
    /// To be recorded on condition of its present version and the team's budget.
    WriteLedger {
        team: Team,
        ledger: Ledger,
    },
    WriteRecord {
        id: DrainId,
        record: DrainRecord,
    },
    /// Room that was kept for a task whose eviction is being recorded.
    Reserve(Reservation),
}

/// Something that happened.
pub enum Event<'a, F> {
    /// A task's attempt has gone, neither done nor stopped.
    Lost(Attempt),
    /// Nothing is to be drained. Tasks that are over or done need not be kept in mind.
    Idle {
        is_wanted: &'a dyn Fn(TaskId) -> bool,
    },
    /// What the fleet and the records show now.
    Observed {
        records: Records<'a>,
        bounds: Bounds,
        fleet: &'a mut F,
    },
}

/// Where a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// Its machines are being cordoned.
    Requested,
    /// The next task of this team may not be disrupted now.
    WaitingForBudget(Exceeded),
    /// The next task waits for a machine with room for it.
    Replacing {
        task: TaskId,
        reason: NoRoom,
    },
    /// Tasks were told to stop, and their replacements do not run yet.
    Evicting,
    /// No task is left on its machines; replacements start, or machines are being returned.
    Empty,
    Halted(HaltReason),
    Cancelled,
    Done,
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    pub state: State,
    pub machines: usize,
    pub empty: usize,
    pub tasks_left: usize,
    /// Evicted tasks whose replacement does not run yet.
    pub outstanding: usize,
}

/// The planner's memory.
#[derive(Debug, Default)]
pub struct Planner {
    tracker: Tracker,
    /// Since when a drain has found no room.
    blocked_since: BTreeMap<DrainId, Instant>,
    progress: BTreeMap<DrainId, Progress>,
    disruptions: Disruptions,
}

/// One decision, while it is made.
struct Pass<'a, F> {
    now: Now,
    records: Records<'a>,
    bounds: Bounds,
    fleet: &'a mut F,
    disruptions: Disruptions,
    /// Evictions decided in this pass.
    evictions: BTreeMap<Team, Vec<Eviction>>,
    effects: Vec<Effect>,
}

/// Why no more is evicted in this pass.
#[derive(Default)]
struct Blocked {
    budget: Option<Exceeded>,
    room: Option<(TaskId, NoRoom)>,
}

impl Planner {
    /// The one place where the planner's memory changes.
    pub fn handle<F: Fleet>(&mut self, now: Now, event: Event<'_, F>) -> Vec<Effect> {
        match event {
            Event::Lost(attempt) => {
                self.tracker.note_lost(attempt);
                Vec::new()
            }
            Event::Idle { is_wanted } => {
                self.tracker.forget_unless(is_wanted);
                self.progress.clear();
                Vec::new()
            }
            Event::Observed {
                records,
                bounds,
                fleet,
            } => self.observe(now, records, bounds, fleet),
        }
    }

    /// How far each drain was when it was last looked.
    pub fn progress(&self) -> &BTreeMap<DrainId, Progress> {
        &self.progress
    }

    /// The disruptions when it was last looked.
    pub fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// Recorded evictions whose replacement was not seen to run.
    pub fn outstanding<'l>(&self, ledgers: &'l BTreeMap<Team, Ledger>) -> Vec<&'l Eviction> {
        self.tracker.outstanding(ledgers).collect()
    }

    /// Tasks of which it matters whether they run.
    pub fn watched(&self, ledgers: &BTreeMap<Team, Ledger>) -> BTreeSet<TaskId> {
        let evicted = self.tracker.outstanding(ledgers);
        let mut watched: BTreeSet<TaskId> = evicted.flat_map(|e| e.subject.tasks()).collect();
        watched.extend(self.tracker.lost(ledgers));
        watched
    }

    fn observe<F: Fleet>(
        &mut self,
        now: Now,
        records: Records<'_>,
        bounds: Bounds,
        fleet: &mut F,
    ) -> Vec<Effect> {
        self.tracker.observe(records.ledgers, fleet);
        let disruptions = Disruptions::count(&self.tracker, records.ledgers, fleet);
        self.progress
            .retain(|id, _| records.drains.contains_key(id));
        self.blocked_since
            .retain(|id, _| records.drains.contains_key(id));
        let mut pass = Pass {
            now,
            records,
            bounds,
            fleet,
            disruptions,
            evictions: BTreeMap::new(),
            effects: Vec::new(),
        };
        pass.reconcile_cordons();
        let mut order: Vec<(&DrainId, &DrainRecord)> = records.drains.iter().collect();
        order.sort_by_key(|(id, record)| (record.requested_ms, *id));
        for (id, record) in order {
            let progress = self.advance(&mut pass, id, record);
            self.progress.insert(id.clone(), progress);
        }
        pass.write_ledgers(&self.tracker);
        self.disruptions = pass.disruptions;
        pass.effects
    }

    fn advance<F: Fleet>(
        &mut self,
        pass: &mut Pass<'_, F>,
        id: &DrainId,
        record: &DrainRecord,
    ) -> Progress {
        let machines = pass.machines_of(record);
        let outstanding: Vec<&Eviction> = self
            .tracker
            .outstanding(pass.records.ledgers)
            .filter(|eviction| eviction.drain == *id)
            .collect();
        let mut progress = Progress {
            state: State::Requested,
            machines: machines.len(),
            empty: machines.iter().filter(|machine| machine.is_empty()).count(),
            tasks_left: machines.iter().map(|machine| machine.tasks.len()).sum(),
            outstanding: outstanding.len(),
        };
        progress.state = match &record.phase {
            Phase::Cancelled | Phase::Uncordoned => State::Cancelled,
            Phase::Done => State::Done,
            Phase::Active | Phase::Halted { .. } => {
                self.advance_under_way(pass, id, record, &machines, &outstanding)
            }
        };
        progress
    }

    fn advance_under_way<F: Fleet>(
        &mut self,
        pass: &mut Pass<'_, F>,
        id: &DrainId,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> State {
        let cordoned = machines
            .iter()
            .all(|machine| machine.state != ServiceState::InService);
        if !cordoned {
            return State::Requested;
        }
        if record.purpose == Purpose::Cordon {
            pass.set_phase(id, record, Phase::Done);
            return State::Done;
        }
        pass.return_empty(record, machines);
        if machines.iter().all(MachineView::is_empty) {
            self.blocked_since.remove(id);
            if pass.is_over(record, machines, outstanding) {
                pass.set_phase(id, record, Phase::Done);
                return State::Done;
            }
        }
        if let Some(reason) = pass.failed_replacement(record, outstanding) {
            return pass.halt(id, record, reason);
        }
        if machines.iter().all(MachineView::is_empty) {
            pass.resume_if_halted(id, record);
            return State::Empty;
        }
        self.evict_next(pass, id, record, machines, outstanding)
    }

    fn evict_next<F: Fleet>(
        &mut self,
        pass: &mut Pass<'_, F>,
        id: &DrainId,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> State {
        let (decided, blocked) = pass.evict(id, record, machines, outstanding);
        let waits_for_room = match blocked.room {
            Some((task, NoRoom::Yet)) if decided == 0 => Some(task),
            _ => None,
        };
        match waits_for_room {
            Some(task) => {
                let began = *self
                    .blocked_since
                    .entry(id.clone())
                    .or_insert(pass.now.monotonic);
                if since(pass.now, began) >= pass.bounds.room_timeout {
                    return pass.halt(id, record, HaltReason::NoRoom { task });
                }
            }
            None => {
                self.blocked_since.remove(id);
            }
        }
        if let Phase::Halted { reason } = &record.phase {
            // Its cause is gone, or there is room again: the next pass evicts.
            if waits_for_room.is_none() {
                pass.resume_if_halted(id, record);
            }
            return State::Halted(reason.clone());
        }
        let mut evicted = outstanding.iter().flat_map(|e| e.subject.tasks());
        let stranded = evicted.find_map(|task| Some((task, pass.fleet.lacks_room(task)?)));
        if let Some((task, reason)) = stranded {
            return State::Replacing { task, reason };
        }
        match blocked {
            _ if decided > 0 || !outstanding.is_empty() => State::Evicting,
            Blocked {
                budget: Some(exceeded),
                ..
            } => State::WaitingForBudget(exceeded),
            Blocked {
                room: Some((task, reason)),
                ..
            } => State::Replacing { task, reason },
            // What is left goes by itself: its jobs are over.
            Blocked { .. } => State::Evicting,
        }
    }
}

impl<F: Fleet> Pass<'_, F> {
    fn machines_of(&self, record: &DrainRecord) -> Vec<MachineView> {
        let held = |machine: &&MachineView| record.holds_machine(machine.membership());
        self.fleet.machines().iter().filter(held).cloned().collect()
    }

    /// Takes machines out of service that a record holds, and puts those back that none holds any more.
    fn reconcile_cordons(&mut self) {
        for machine in self.fleet.machines() {
            let mut records = self.records.drains.values();
            let held = records.any(|record| record.holds_machine(machine.membership()));
            match machine.state {
                ServiceState::InService if held => {
                    self.effects.push(Effect::Cordon(machine.id.clone()));
                }
                ServiceState::Cordoned if !held => {
                    self.effects.push(Effect::Uncordon(machine.id.clone()));
                }
                _ => {}
            }
        }
    }

    fn return_empty(&mut self, record: &DrainRecord, machines: &[MachineView]) {
        if !record.return_machines {
            return;
        }
        let ready =
            |machine: &&MachineView| machine.is_empty() && machine.state == ServiceState::Cordoned;
        let returned = machines.iter().filter(ready);
        self.effects
            .extend(returned.map(|machine| Effect::Return(machine.id.clone())));
    }

    /// Nothing is left on its machines, what was on them runs elsewhere, and those to be returned are gone.
    fn is_over(
        &self,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> bool {
        outstanding.is_empty() && (!record.return_machines || machines.is_empty())
    }

    fn set_phase(&mut self, id: &DrainId, record: &DrainRecord, phase: Phase) {
        if record.phase != phase {
            let record = DrainRecord {
                phase,
                ..record.clone()
            };
            let id = id.clone();
            self.effects.push(Effect::WriteRecord { id, record });
        }
    }

    fn halt(&mut self, id: &DrainId, record: &DrainRecord, reason: HaltReason) -> State {
        if record.phase == Phase::Active {
            let reason = reason.clone();
            self.set_phase(id, record, Phase::Halted { reason });
        }
        State::Halted(reason)
    }

    fn resume_if_halted(&mut self, id: &DrainId, record: &DrainRecord) {
        self.set_phase(id, record, Phase::Active);
    }

    /// An evicted task that does not come up again.
    fn failed_replacement(
        &self,
        record: &DrainRecord,
        outstanding: &[&Eviction],
    ) -> Option<HaltReason> {
        let patience =
            u64::try_from(self.bounds.replacement_timeout.as_millis()).unwrap_or(u64::MAX);
        outstanding.iter().find_map(|eviction| {
            let task = eviction.subject.tasks().next()?;
            if self.fleet.keeps_failing(task.job) {
                return Some(HaltReason::ReplacementFails { task });
            }
            let began = eviction.at_ms.max(record.resumed_ms);
            let overdue = self.now.unix_ms().saturating_sub(began) >= patience;
            overdue.then_some(HaltReason::ReplacementNotRunning { task })
        })
    }

    fn step(&self, record: &DrainRecord, machines: usize) -> usize {
        let step = match record.step.unwrap_or(self.bounds.step) {
            Limit::Count(count) => count as usize,
            Limit::Share { basis_points } => (machines * basis_points as usize).div_ceil(10_000),
        };
        step.max(1)
    }

    /// Decides on evictions as far as the step, the budgets, the values and the room go. Returns how many.
    fn evict(
        &mut self,
        id: &DrainId,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> (usize, Blocked) {
        let mut emptying: BTreeSet<&MachineId> = outstanding
            .iter()
            .map(|eviction| &eviction.machine)
            .collect();
        let step = self.step(record, machines.len());
        let mut order: Vec<&MachineView> =
            machines.iter().filter(|m| !m.tasks.is_empty()).collect();
        // Those that are begun first, then those that are quickest to empty.
        order.sort_by_key(|m| (!emptying.contains(&m.id), m.tasks.len(), &m.id));
        let mut decided = 0;
        let mut blocked = Blocked::default();
        for machine in order {
            if emptying.len() >= step && !emptying.contains(&machine.id) {
                break;
            }
            for subject in self.subjects(machine) {
                match self.try_evict(id, record, machine, subject) {
                    Ok(true) => {
                        decided += 1;
                        emptying.insert(&machine.id);
                    }
                    Ok(false) => {}
                    Err(Refused::Budget(exceeded)) => {
                        blocked.budget.get_or_insert(exceeded);
                    }
                    Err(Refused::Resources(task, reason)) => {
                        blocked.room.get_or_insert((task, reason));
                    }
                }
            }
        }
        (decided, blocked)
    }

    /// What has to be moved off a machine: a gang counts once.
    fn subjects(&self, machine: &MachineView) -> BTreeSet<Subject> {
        let subject = |attempt: &Attempt| {
            let job = self.fleet.job(attempt.task.job)?;
            match (job.gang_tasks, attempt.gang_start()) {
                (Some(tasks), Some(start)) => Some(Subject::Gang {
                    job: attempt.task.job,
                    start,
                    tasks,
                }),
                _ => Some(Subject::Task(*attempt)),
            }
        };
        let moved =
            |attempt: &&Attempt| !self.is_evicted(attempt) && !self.fleet.is_stopping(attempt);
        machine
            .tasks
            .iter()
            .filter(moved)
            .filter_map(subject)
            .collect()
    }

    fn is_evicted(&self, attempt: &Attempt) -> bool {
        let recorded = self.records.ledgers.values().flat_map(|l| &l.evictions);
        let decided = self.evictions.values().flatten();
        let mut all = recorded.chain(decided);
        all.any(|eviction| eviction.subject.covers(attempt))
    }

    /// Ok(false): the transaction or the ledger's value has no room for it now, or the drain is halted.
    fn try_evict(
        &mut self,
        id: &DrainId,
        record: &DrainRecord,
        machine: &MachineView,
        subject: Subject,
    ) -> Result<bool, Refused> {
        let Some(job) = self.fleet.job(subject.job()) else {
            return Ok(false);
        };
        let exceeded = self
            .disruptions
            .exceeded(&*self.fleet, self.records.budgets, &subject);
        if let Some(exceeded) = exceeded {
            return Err(Refused::Budget(exceeded));
        }
        if !self.ledger_has_room(&job.team) {
            return Ok(false);
        }
        let first = subject.tasks().next();
        let reservations = match (self.fleet.reserve(&subject), first) {
            (Ok(reservations), _) => reservations,
            (Err(reason), Some(task)) => return Err(Refused::Resources(task, reason)),
            (Err(_), None) => return Ok(false),
        };
        if record.phase != Phase::Active {
            return Ok(false);
        }
        for task in subject.tasks() {
            self.disruptions.disrupt(&*self.fleet, task);
        }
        let eviction = Eviction {
            subject,
            drain: id.clone(),
            machine: machine.id.clone(),
            at_ms: self.now.unix_ms(),
        };
        self.evictions.entry(job.team).or_default().push(eviction);
        self.effects
            .extend(reservations.into_iter().map(Effect::Reserve));
        Ok(true)
    }

    fn ledger_has_room(&self, team: &Team) -> bool {
        let decided = self.evictions.get(team).map_or(0, Vec::len);
        let recorded = self
            .records
            .ledgers
            .get(team)
            .map_or(0, |l| l.evictions.len());
        let open = decided > 0 || self.evictions.len() < self.bounds.ledgers_at_once;
        open && recorded + decided < self.bounds.ledger_entries
    }

    /// The ledgers that change: evictions that are decided are added, those whose replacement runs are dropped, losses
    /// are as observed.
    fn write_ledgers(&mut self, tracker: &Tracker) {
        let lost = tracker.lost(self.records.ledgers);
        let mut lost_of: BTreeMap<Team, Vec<TaskId>> = BTreeMap::new();
        for task in lost {
            if let Some(job) = self.fleet.job(task.job) {
                lost_of.entry(job.team).or_default().push(task);
            }
        }
        let under_way = self.records.drains.values().any(DrainRecord::is_under_way);
        let mut teams: BTreeSet<&Team> = self.records.ledgers.keys().collect();
        teams.extend(self.evictions.keys());
        if under_way {
            teams.extend(lost_of.keys());
        }
        let mut written = 0;
        let spending = |team: &&Team| !self.evictions.contains_key(*team);
        let mut order: Vec<&Team> = teams.into_iter().collect();
        order.sort_by_key(spending);
        let mut effects = Vec::new();
        for team in order {
            let old = self.records.ledgers.get(team).cloned().unwrap_or_default();
            let mut ledger = Ledger {
                evictions: old.evictions.clone(),
                lost: lost_of.get(team).cloned().unwrap_or_default(),
            };
            ledger.evictions.retain(|e| tracker.is_outstanding(e));
            ledger
                .evictions
                .extend(self.evictions.get(team).cloned().unwrap_or_default());
            let left = self
                .bounds
                .ledger_entries
                .saturating_sub(ledger.evictions.len());
            ledger.lost.truncate(left);
            if ledger != old && written < self.bounds.ledgers_at_once {
                written += 1;
                let team = team.clone();
                effects.push(Effect::WriteLedger { team, ledger });
            }
        }
        self.effects.extend(effects);
    }
}

/// Why a task is not evicted now.
enum Refused {
    Budget(Exceeded),
    Resources(TaskId, NoRoom),
}
