//! Decides which tasks of a drain are evicted next.

use std::collections::BTreeSet;

use dappleshore_domain::{Attempt, MachineId, TaskId, Team};

use super::Effect;
use super::pass::Pass;
use crate::budget::Limit;
use crate::disruption::ExceededBudget;
use crate::fleet::{Fleet, MachineView, NoCapacity};
use crate::id::DrainId;
use crate::ledger::{Eviction, EvictionTarget};
use crate::record::{DrainRecord, Phase};

/// A task that must be moved and has no capacity elsewhere.
pub(super) struct MissingCapacity {
    pub task: TaskId,
    pub reason: NoCapacity,
}

/// The decisions of a pass for one drain, and the first obstacle of each kind that prevented further evictions.
#[derive(Default)]
pub(super) struct EvictionRound {
    /// The number of decided evictions.
    pub decided: usize,
    pub exceeded: Option<ExceededBudget>,
    pub missing_capacity: Option<MissingCapacity>,
}

enum Decision {
    Evicted,
    /// The limit of the transaction or of the ledger's value is reached, the drain is halted, or the job has ended.
    Deferred,
}

/// Why a target can't be evicted now.
enum EvictionError {
    Budget(ExceededBudget),
    NoCapacity(MissingCapacity),
}

impl<F: Fleet> Pass<'_, F> {
    /// The number of machines of a drain that may be emptied at a time.
    fn step(&self, record: &DrainRecord, machines: usize) -> usize {
        let step = match record.step.unwrap_or(self.limits.step) {
            Limit::Count(count) => count as usize,
            Limit::Share { basis_points } => (machines * basis_points as usize).div_ceil(10_000),
        };
        step.max(1)
    }

    /// Decides evictions within the limits of the step, the budgets, the ledgers and the capacity elsewhere.
    pub(super) fn evict(
        &mut self,
        id: &DrainId,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> EvictionRound {
        let mut emptying: BTreeSet<&MachineId> = outstanding
            .iter()
            .map(|eviction| &eviction.machine)
            .collect();
        let step = self.step(record, machines.len());
        let mut order: Vec<&MachineView> =
            machines.iter().filter(|m| !m.tasks.is_empty()).collect();
        // Machines that are already being emptied come first, then those with the fewest tasks.
        order.sort_by_key(|m| (!emptying.contains(&m.id), m.tasks.len(), &m.id));
        let mut round = EvictionRound::default();
        for machine in order {
            if emptying.len() >= step && !emptying.contains(&machine.id) {
                break;
            }
            for target in self.targets(machine) {
                match self.try_evict(id, record, machine, target) {
                    Ok(Decision::Evicted) => {
                        round.decided += 1;
                        emptying.insert(&machine.id);
                    }
                    Ok(Decision::Deferred) => {}
                    Err(EvictionError::Budget(exceeded)) => {
                        round.exceeded.get_or_insert(exceeded);
                    }
                    Err(EvictionError::NoCapacity(missing)) => {
                        round.missing_capacity.get_or_insert(missing);
                    }
                }
            }
        }
        round
    }

    /// The targets that must be evicted from a machine. Attempts of one gang are one target.
    fn targets(&self, machine: &MachineView) -> BTreeSet<EvictionTarget> {
        let target = |attempt: &Attempt| {
            let job = self.fleet.job(attempt.task.job)?;
            match (job.gang_tasks, attempt.gang_start()) {
                (Some(tasks), Some(start)) => Some(EvictionTarget::Gang {
                    job: attempt.task.job,
                    start,
                    tasks,
                }),
                _ => Some(EvictionTarget::Task(*attempt)),
            }
        };
        let must_move =
            |attempt: &&Attempt| !self.is_evicted(attempt) && !self.fleet.is_stopping(attempt);
        machine
            .tasks
            .iter()
            .filter(must_move)
            .filter_map(target)
            .collect()
    }

    /// Whether the eviction of an attempt is recorded or was decided in this pass.
    fn is_evicted(&self, attempt: &Attempt) -> bool {
        let recorded = self.records.ledgers.values().flat_map(|l| &l.evictions);
        let decided = self.evictions.values().flatten();
        let mut all = recorded.chain(decided);
        all.any(|eviction| eviction.target.includes(attempt))
    }

    /// Evicts a target if its budget allows it and there is capacity for it elsewhere.
    fn try_evict(
        &mut self,
        id: &DrainId,
        record: &DrainRecord,
        machine: &MachineView,
        target: EvictionTarget,
    ) -> Result<Decision, EvictionError> {
        let Some(job) = self.fleet.job(target.job()) else {
            return Ok(Decision::Deferred);
        };
        let exceeded =
            self.disruptions
                .exceeded_budget(&*self.fleet, self.records.budgets, &target);
        if let Some(exceeded) = exceeded {
            return Err(EvictionError::Budget(exceeded));
        }
        if !self.ledger_has_capacity(&job.team) {
            return Ok(Decision::Deferred);
        }
        let first = target.tasks().next();
        let reservations = match (self.fleet.reserve(&target), first) {
            (Ok(reservations), _) => reservations,
            (Err(reason), Some(task)) => {
                return Err(EvictionError::NoCapacity(MissingCapacity { task, reason }));
            }
            (Err(_), None) => return Ok(Decision::Deferred),
        };
        if record.phase != Phase::Active {
            return Ok(Decision::Deferred);
        }
        for task in target.tasks() {
            self.disruptions.mark_disrupted(&*self.fleet, task);
        }
        let eviction = Eviction {
            target,
            drain: id.clone(),
            machine: machine.id.clone(),
            at_ms: self.now.unix_ms(),
        };
        self.evictions.entry(job.team).or_default().push(eviction);
        self.effects
            .extend(reservations.into_iter().map(Effect::Reserve));
        Ok(Decision::Evicted)
    }

    /// Whether another eviction fits into the team's ledger and into the transaction that writes it.
    fn ledger_has_capacity(&self, team: &Team) -> bool {
        let decided = self.evictions.get(team).map_or(0, Vec::len);
        let recorded = self
            .records
            .ledgers
            .get(team)
            .map_or(0, |l| l.evictions.len());
        let may_write_ledger =
            decided > 0 || self.evictions.len() < self.limits.max_ledgers_per_transaction;
        may_write_ledger && recorded + decided < self.limits.max_ledger_entries
    }
}
