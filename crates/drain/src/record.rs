//! The stored record of a drain or a cordon: the operators' request and its phase.
//!
//! Operators' requests create records and change them; the planner changes their phase.

use std::collections::BTreeSet;
use std::fmt;

use dappleshore_domain::{MachineId, TaskId};
use serde::{Deserialize, Serialize};

use crate::budget::Limit;
use crate::scope::{MachineAttributes, Scope};

/// Maximum number of drains and cordons in effect at the same time.
pub const MAX_RECORDS_IN_EFFECT: usize = 64;
/// Cancelled and uncordoned records that are kept, so that a repeated request is answered and not carried out again.
pub const MAX_ENDED_RECORDS: usize = 64;

/// The operation that was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// The machines take no new tasks; tasks that are already there keep running.
    #[serde(rename = "cordon")]
    Cordon,
    /// The machines take no new tasks, and tasks that are already there are moved.
    #[serde(rename = "drain")]
    Drain,
}

/// Why a drain is halted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaltReason {
    /// For the whole timeout, no machine had capacity for a task that must be moved.
    #[serde(rename = "no_room")]
    NoCapacity {
        /// The task.
        task: TaskId,
    },
    /// An evicted task did not run again within the timeout.
    #[serde(rename = "not_running")]
    ReplacementNotRunning {
        /// The task.
        task: TaskId,
    },
    /// An evicted task fails repeatedly.
    #[serde(rename = "failing")]
    ReplacementFails {
        /// The task.
        task: TaskId,
    },
}

impl fmt::Display for HaltReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HaltReason::NoCapacity { task } => {
                write!(f, "no machine became ready with room for {task}")
            }
            HaltReason::ReplacementNotRunning { task } => {
                write!(f, "{task} was evicted and does not run again")
            }
            HaltReason::ReplacementFails { task } => {
                write!(f, "{task} was evicted and fails again and again")
            }
        }
    }
}

/// The phase of a drain or a cordon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It is being carried out.
    #[serde(rename = "active")]
    Active,
    /// It evicts nothing until the cause is resolved or an operator resumes it.
    #[serde(rename = "halted")]
    Halted {
        /// Why.
        reason: HaltReason,
    },
    /// All its machines are empty (a drain) or take no tasks (a cordon), and are kept in this state.
    #[serde(rename = "done")]
    Done,
    /// An operator cancelled it. It has no effect on machines any more.
    #[serde(rename = "cancelled")]
    Cancelled,
    /// An operator put its machines back into service.
    #[serde(rename = "uncordoned")]
    Uncordoned,
}

/// The stored value of a drain or a cordon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Which machines it applies to.
    pub scope: Scope,
    /// Whether the machines' tasks are moved.
    pub purpose: Purpose,
    /// Whether the machines are returned to the cloud once they are empty.
    #[serde(default)]
    pub return_machines: bool,
    /// Maximum number of machines that are emptied at a time. `None`: the value of the settings.
    #[serde(default)]
    pub step: Option<Limit>,
    /// When it was requested, in Unix milliseconds by the leader's clock.
    pub requested_ms: u64,
    /// When an operator last resumed it, in Unix milliseconds by the leader's clock; 0: never.
    #[serde(default)]
    pub resumed_ms: u64,
    /// Its phase.
    pub phase: Phase,
    /// Machines in the scope that were put back into service later.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub except: BTreeSet<MachineId>,
}

impl DrainRecord {
    /// Creates the active record of a new request.
    pub fn new(
        scope: Scope,
        purpose: Purpose,
        return_machines: bool,
        step: Option<Limit>,
        now_ms: u64,
    ) -> Self {
        DrainRecord {
            scope,
            purpose,
            return_machines,
            step,
            requested_ms: now_ms,
            resumed_ms: 0,
            phase: Phase::Active,
            except: BTreeSet::new(),
        }
    }

    /// Whether it keeps its machines out of service: it is neither cancelled nor uncordoned.
    pub fn is_in_effect(&self) -> bool {
        !matches!(self.phase, Phase::Cancelled | Phase::Uncordoned)
    }

    /// Whether it is active or halted.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.phase, Phase::Active | Phase::Halted { .. })
    }

    /// Whether it keeps the machine out of service.
    pub fn applies_to(&self, machine: MachineAttributes<'_>) -> bool {
        self.is_in_effect() && !self.except.contains(machine.id) && self.scope.contains(machine)
    }

    /// Whether both records have the same request: scope, purpose, return of machines and step.
    pub fn has_same_request(&self, other: &DrainRecord) -> bool {
        (&self.scope, self.purpose, self.return_machines, self.step)
            == (
                &other.scope,
                other.purpose,
                other.return_machines,
                other.step,
            )
    }
}
