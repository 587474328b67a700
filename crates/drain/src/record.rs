//! A drain or a cordon as it is stored: what operators want, and whether it is still wanted.
//!
//! Operators' requests create records and change them; the planner changes their phase.

use std::collections::BTreeSet;
use std::fmt;

use dappleshore_domain::{MachineId, TaskId};
use serde::{Deserialize, Serialize};

use crate::budget::Limit;
use crate::scope::{MachineAttributes, Scope};

/// Drains and cordons that hold machines back at the same time.
pub const MAX_RECORDS_IN_EFFECT: usize = 64;
/// Ended ones that stay known, so that a repeated request is answered and not carried out again.
pub const MAX_ENDED_RECORDS: usize = 64;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// No new tasks; those that are there run on.
    #[serde(rename = "cordon")]
    Cordon,
    /// No new tasks, and those that are there are moved.
    #[serde(rename = "drain")]
    Drain,
}

/// Why a drain does not go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaltReason {
    /// No machine had room for a task that must be moved, for too long.
    #[serde(rename = "no_room")]
    NoCapacity {
        /// The task.
        task: TaskId,
    },
    /// An evicted task does not run again.
    #[serde(rename = "not_running")]
    ReplacementNotRunning {
        /// The task.
        task: TaskId,
    },
    /// An evicted task fails again and again.
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

/// Whether it is still wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has work to do.
    #[serde(rename = "active")]
    Active,
    /// It evicts nothing until the cause is gone or an operator resumes it.
    #[serde(rename = "halted")]
    Halted {
        /// Why.
        reason: HaltReason,
    },
    /// All its machines are empty (a drain) or take no tasks (a cordon), and stay so.
    #[serde(rename = "done")]
    Done,
    /// An operator called it off. It holds nothing back.
    #[serde(rename = "cancelled")]
    Cancelled,
    /// An operator put its machines back into service.
    #[serde(rename = "uncordoned")]
    Uncordoned,
}

/// The stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Which machines it applies to.
    pub scope: Scope,
    /// Whether their tasks are moved.
    pub purpose: Purpose,
    /// Whether its machines are returned to the cloud once they are empty.
    #[serde(default)]
    pub return_machines: bool,
    /// Machines that it empties at a time. None: as the settings say.
    #[serde(default)]
    pub step: Option<Limit>,
    /// When it was requested, in milliseconds by the leader's time of day.
    pub requested_ms: u64,
    /// When an operator last resumed it, in milliseconds by the leader's time of day; 0: never.
    #[serde(default)]
    pub resumed_ms: u64,
    /// Whether it is still wanted.
    pub phase: Phase,
    /// Machines that were put back into service since.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub except: BTreeSet<MachineId>,
}

impl DrainRecord {
    /// A request as it is recorded at first.
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

    /// Whether it keeps its machines out of service.
    pub fn is_in_effect(&self) -> bool {
        !matches!(self.phase, Phase::Cancelled | Phase::Uncordoned)
    }

    /// Whether it still has something to do.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.phase, Phase::Active | Phase::Halted { .. })
    }

    /// Whether a machine is kept out of service by it.
    pub fn applies_to(&self, machine: MachineAttributes<'_>) -> bool {
        self.is_in_effect() && !self.except.contains(machine.id) && self.scope.contains(machine)
    }

    /// Whether it asks for the same.
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
