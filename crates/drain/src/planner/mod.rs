//! The planner compares the records of drains with the observed state and returns the actions to take.
//!
//! The leader calls [`Planner::handle`] with each event and carries out the effects. Nothing is carried out before it has been
//! recorded. Everything that must survive a change of leader is in the records. The planner itself only keeps the time
//! since which a drain has been waiting for capacity, and losses that are not recorded yet.

mod evictions;
mod ledgers;
mod pass;
mod progress;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dappleshore_domain::{Attempt, MachineId, Now, TaskId, Team, since};

use crate::budget::{Budgets, Limit};
use crate::disruption::{DisruptionTracker, Disruptions};
use crate::fleet::Fleet;
use crate::id::DrainId;
use crate::ledger::{Eviction, Ledger};
use crate::record::{DrainRecord, HaltReason, Phase, Purpose};
use evictions::{EvictionRound, MissingCapacity};
use pass::Pass;

pub use crate::fleet::{MachineView, NoCapacity, Reservation, ServiceState};
pub use progress::{DrainProgress, DrainState};

/// The stored records of draining.
#[derive(Debug, Clone, Copy)]
pub struct Records<'a> {
    /// All drains and cordons.
    pub drains: &'a BTreeMap<DrainId, DrainRecord>,
    /// Each team's disruptions.
    pub ledgers: &'a BTreeMap<Team, Ledger>,
    /// Each team's limits.
    pub budgets: &'a Budgets,
}

/// The limits and timeouts of a pass.
#[derive(Debug, Clone, Copy)]
pub struct PlannerLimits {
    /// Maximum number of machines that a drain empties at a time, unless its record sets another one.
    pub step: Limit,
    /// A drain is halted when there has been no capacity for its tasks for this long.
    pub capacity_timeout: Duration,
    /// A drain is halted when an evicted task does not run again within this time.
    pub replacement_timeout: Duration,
    /// Maximum number of entries that fit into a ledger's stored value.
    pub max_ledger_entries: usize,
    /// Maximum number of ledgers that one transaction may change.
    pub max_ledgers_per_transaction: usize,
}

/// An action of the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Take a machine out of service.
    Cordon(MachineId),
    /// Put a machine back into service.
    Uncordon(MachineId),
    /// Return a machine to the cloud.
    Return(MachineId),
    /// Write a ledger, provided that neither the ledger nor the team's stored budget has changed.
    WriteLedger {
        /// The team.
        team: Team,
        /// The new value.
        ledger: Ledger,
    },
    /// Write the record of a drain.
    WriteRecord {
        /// The drain.
        id: DrainId,
        /// The new value.
        record: DrainRecord,
    },
    /// Reserve capacity for a task whose eviction is being recorded.
    Reserve(Reservation),
}

/// An event that the planner handles.
pub enum Event<'a, F> {
    /// A task's attempt ended without having succeeded or been stopped.
    AttemptLost(Attempt),
    /// There are no drains and no recorded disruptions.
    NoActiveDrains {
        /// Whether a task still has to run. Losses of other tasks are removed.
        is_needed: &'a dyn Fn(TaskId) -> bool,
    },
    /// The present state of the records and the fleet.
    Observed {
        /// The stored records.
        records: Records<'a>,
        /// The limits of this pass.
        limits: PlannerLimits,
        /// The fleet.
        fleet: &'a mut F,
    },
}

/// Plans drains, and holds the observations that the records do not contain.
#[derive(Debug, Default)]
pub struct Planner {
    tracker: DisruptionTracker,
    /// Since when there has been no capacity for the tasks of a drain.
    blocked_since: BTreeMap<DrainId, Instant>,
    progress: BTreeMap<DrainId, DrainProgress>,
    disruptions: Disruptions,
}

impl Planner {
    /// Handles an event and returns the actions to take.
    pub fn handle<F: Fleet>(&mut self, now: Now, event: Event<'_, F>) -> Vec<Effect> {
        match event {
            Event::AttemptLost(attempt) => {
                self.tracker.record_lost_attempt(attempt);
                Vec::new()
            }
            Event::NoActiveDrains { is_needed } => {
                self.tracker.retain_needed(is_needed);
                self.progress.clear();
                Vec::new()
            }
            Event::Observed {
                records,
                limits,
                fleet,
            } => self.observe(now, records, limits, fleet),
        }
    }

    /// The progress of each drain in the latest pass.
    pub fn progress(&self) -> &BTreeMap<DrainId, DrainProgress> {
        &self.progress
    }

    /// The disruptions in the latest pass, including the evictions that it decided.
    pub fn disruptions(&self) -> &Disruptions {
        &self.disruptions
    }

    /// Recorded evictions whose replacements have not been observed running yet.
    pub fn outstanding<'l>(&self, ledgers: &'l BTreeMap<Team, Ledger>) -> Vec<&'l Eviction> {
        self.tracker.outstanding(ledgers).collect()
    }

    /// The tasks whose running attempts the planner must know: those evicted or lost and not running again.
    pub fn tasks_to_observe(&self, ledgers: &BTreeMap<Team, Ledger>) -> BTreeSet<TaskId> {
        let evicted = self.tracker.outstanding(ledgers);
        let mut tasks: BTreeSet<TaskId> = evicted.flat_map(|e| e.target.tasks()).collect();
        tasks.extend(self.tracker.lost(ledgers));
        tasks
    }

    fn observe<F: Fleet>(
        &mut self,
        now: Now,
        records: Records<'_>,
        limits: PlannerLimits,
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
            limits,
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

    /// Decides the next actions of a drain.
    fn advance<F: Fleet>(
        &mut self,
        pass: &mut Pass<'_, F>,
        id: &DrainId,
        record: &DrainRecord,
    ) -> DrainProgress {
        let machines = pass.machines_of(record);
        let outstanding: Vec<&Eviction> = self
            .tracker
            .outstanding(pass.records.ledgers)
            .filter(|eviction| eviction.drain == *id)
            .collect();
        let mut progress = DrainProgress {
            state: DrainState::Requested,
            machines: machines.len(),
            empty: machines.iter().filter(|machine| machine.is_empty()).count(),
            tasks_left: machines.iter().map(|machine| machine.tasks.len()).sum(),
            outstanding: outstanding.len(),
        };
        progress.state = match &record.phase {
            Phase::Cancelled | Phase::Uncordoned => DrainState::Cancelled,
            Phase::Done => DrainState::Done,
            Phase::Active | Phase::Halted { .. } => {
                self.advance_in_progress(pass, id, record, &machines, &outstanding)
            }
        };
        progress
    }

    fn advance_in_progress<F: Fleet>(
        &mut self,
        pass: &mut Pass<'_, F>,
        id: &DrainId,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> DrainState {
        let cordoned = machines
            .iter()
            .all(|machine| machine.state != ServiceState::InService);
        if !cordoned {
            return DrainState::Requested;
        }
        if record.purpose == Purpose::Cordon {
            pass.set_phase(id, record, Phase::Done);
            return DrainState::Done;
        }
        pass.return_empty(record, machines);
        if machines.iter().all(MachineView::is_empty) {
            self.blocked_since.remove(id);
            if pass.is_complete(record, machines, outstanding) {
                pass.set_phase(id, record, Phase::Done);
                return DrainState::Done;
            }
        }
        if let Some(reason) = pass.failed_replacement(record, outstanding) {
            return pass.halt(id, record, reason);
        }
        if machines.iter().all(MachineView::is_empty) {
            pass.resume_if_halted(id, record);
            return DrainState::Empty;
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
    ) -> DrainState {
        let round = pass.evict(id, record, machines, outstanding);
        let waiting_task = match round.missing_capacity {
            Some(MissingCapacity {
                task,
                reason: NoCapacity::NotYet,
            }) if round.decided == 0 => Some(task),
            _ => None,
        };
        match waiting_task {
            Some(task) => {
                let waiting_since = *self
                    .blocked_since
                    .entry(id.clone())
                    .or_insert(pass.now.monotonic);
                if since(pass.now, waiting_since) >= pass.limits.capacity_timeout {
                    return pass.halt(id, record, HaltReason::NoCapacity { task });
                }
            }
            None => {
                self.blocked_since.remove(id);
            }
        }
        if let Phase::Halted { reason } = &record.phase {
            // If the cause is resolved and there is capacity, the drain resumes and the next pass evicts.
            if waiting_task.is_none() {
                pass.resume_if_halted(id, record);
            }
            return DrainState::Halted(reason.clone());
        }
        let mut evicted = outstanding.iter().flat_map(|e| e.target.tasks());
        let unplaceable = evicted.find_map(|task| Some((task, pass.fleet.missing_capacity(task)?)));
        if let Some((task, reason)) = unplaceable {
            return DrainState::Replacing { task, reason };
        }
        match round {
            _ if round.decided > 0 || !outstanding.is_empty() => DrainState::Evicting,
            EvictionRound {
                exceeded: Some(exceeded),
                ..
            } => DrainState::WaitingForBudget(exceeded),
            EvictionRound {
                missing_capacity: Some(MissingCapacity { task, reason }),
                ..
            } => DrainState::Replacing { task, reason },
            // The remaining tasks end without an eviction, for example because their jobs have ended.
            EvictionRound { .. } => DrainState::Evicting,
        }
    }
}
