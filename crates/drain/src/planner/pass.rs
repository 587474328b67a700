//! A pass of the planner over all drains: cordons, returns of machines and changes of phases.

use std::collections::BTreeMap;

use dappleshore_domain::{Now, Team};

use super::{DrainState, Effect, PlannerLimits, Records};
use crate::disruption::Disruptions;
use crate::fleet::{Fleet, MachineView, ServiceState};
use crate::id::DrainId;
use crate::ledger::Eviction;
use crate::record::{DrainRecord, HaltReason, Phase};

/// The state of a pass over all drains, with the decisions made so far.
pub(super) struct Pass<'a, F> {
    pub now: Now,
    pub records: Records<'a>,
    pub limits: PlannerLimits,
    pub fleet: &'a mut F,
    /// The observed disruptions, including the evictions decided in this pass.
    pub disruptions: Disruptions,
    /// Evictions decided in this pass.
    pub evictions: BTreeMap<Team, Vec<Eviction>>,
    pub effects: Vec<Effect>,
}

impl<F: Fleet> Pass<'_, F> {
    /// The machines that a record keeps out of service.
    pub(super) fn machines_of(&self, record: &DrainRecord) -> Vec<MachineView> {
        let applies = |machine: &&MachineView| record.applies_to(machine.attributes());
        self.fleet
            .machines()
            .iter()
            .filter(applies)
            .cloned()
            .collect()
    }

    /// Cordons machines that a record applies to, and uncordons those that no record applies to any more.
    pub(super) fn reconcile_cordons(&mut self) {
        for machine in self.fleet.machines() {
            let mut records = self.records.drains.values();
            let applies = records.any(|record| record.applies_to(machine.attributes()));
            match machine.state {
                ServiceState::InService if applies => {
                    self.effects.push(Effect::Cordon(machine.id.clone()));
                }
                ServiceState::Cordoned if !applies => {
                    self.effects.push(Effect::Uncordon(machine.id.clone()));
                }
                _ => {}
            }
        }
    }

    /// Returns the empty machines of a record to the cloud, if the record requests it.
    pub(super) fn return_empty(&mut self, record: &DrainRecord, machines: &[MachineView]) {
        if !record.return_machines {
            return;
        }
        let returnable =
            |machine: &&MachineView| machine.is_empty() && machine.state == ServiceState::Cordoned;
        let returned = machines.iter().filter(returnable);
        self.effects
            .extend(returned.map(|machine| Effect::Return(machine.id.clone())));
    }

    /// Whether a drain whose machines are empty is complete: the evicted tasks run elsewhere, and machines that are to be
    /// returned no longer exist.
    pub(super) fn is_complete(
        &self,
        record: &DrainRecord,
        machines: &[MachineView],
        outstanding: &[&Eviction],
    ) -> bool {
        outstanding.is_empty() && (!record.return_machines || machines.is_empty())
    }

    /// Writes the record with a new phase, if the phase changes.
    pub(super) fn set_phase(&mut self, id: &DrainId, record: &DrainRecord, phase: Phase) {
        if record.phase != phase {
            let record = DrainRecord {
                phase,
                ..record.clone()
            };
            let id = id.clone();
            self.effects.push(Effect::WriteRecord { id, record });
        }
    }

    /// Halts a drain, if it is active.
    pub(super) fn halt(
        &mut self,
        id: &DrainId,
        record: &DrainRecord,
        reason: HaltReason,
    ) -> DrainState {
        if record.phase == Phase::Active {
            let reason = reason.clone();
            self.set_phase(id, record, Phase::Halted { reason });
        }
        DrainState::Halted(reason)
    }

    /// Resumes a halted drain.
    pub(super) fn resume_if_halted(&mut self, id: &DrainId, record: &DrainRecord) {
        self.set_phase(id, record, Phase::Active);
    }

    /// Why the drain must halt because of an evicted task: its job fails repeatedly, or it did not run again in time.
    pub(super) fn failed_replacement(
        &self,
        record: &DrainRecord,
        outstanding: &[&Eviction],
    ) -> Option<HaltReason> {
        let timeout_ms =
            u64::try_from(self.limits.replacement_timeout.as_millis()).unwrap_or(u64::MAX);
        outstanding.iter().find_map(|eviction| {
            let task = eviction.target.tasks().next()?;
            if self.fleet.keeps_failing(task.job) {
                return Some(HaltReason::ReplacementFails { task });
            }
            let started_ms = eviction.at_ms.max(record.resumed_ms);
            let overdue = self.now.unix_ms().saturating_sub(started_ms) >= timeout_ms;
            overdue.then_some(HaltReason::ReplacementNotRunning { task })
        })
    }
}
