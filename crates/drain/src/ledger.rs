//! The record of disruptions: one value for each team, so that all that spend its budget change the same value.
//!
//! The planner decides its changes, and the leader stores them before any task is told to stop.

use dappleshore_domain::{Attempt, JobId, MachineId, TaskId};
use serde::{Deserialize, Serialize};

use crate::id::DrainId;

/// What is evicted: a task, or a gang as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EvictionTarget {
    /// One attempt of a task.
    #[serde(rename = "t")]
    Task(Attempt),
    /// All tasks of a start of a gang.
    #[serde(rename = "g")]
    Gang {
        /// The gang's job.
        job: JobId,
        /// The number of the start.
        start: u64,
        /// How many tasks the gang has.
        tasks: u32,
    },
}

impl EvictionTarget {
    /// The job that it belongs to.
    pub fn job(&self) -> JobId {
        match self {
            EvictionTarget::Task(attempt) => attempt.task.job,
            EvictionTarget::Gang { job, .. } => *job,
        }
    }

    /// Whether this attempt is to be stopped.
    pub fn includes(&self, attempt: &Attempt) -> bool {
        match self {
            EvictionTarget::Task(evicted) => evicted == attempt,
            EvictionTarget::Gang { job, start, .. } => {
                attempt.task.job == *job && attempt.gang_start() == Some(*start)
            }
        }
    }

    /// The tasks that have to run again.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> + use<> {
        let (job, indices) = match *self {
            EvictionTarget::Task(Attempt { task, .. }) => (task.job, task.index..task.index + 1),
            EvictionTarget::Gang { job, tasks, .. } => (job, 0..tasks),
        };
        indices.map(move |index| TaskId { job, index })
    }
}

/// A decision to move a task to another machine, recorded before the task is told to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eviction {
    /// What is moved.
    #[serde(rename = "s")]
    pub target: EvictionTarget,
    /// The drain that it is for.
    #[serde(rename = "d")]
    pub drain: DrainId,
    /// The machine that is emptied.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// When it was decided, in milliseconds by the leader's time of day.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// A team's disruptions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Evictions whose replacement was not yet seen to run.
    #[serde(rename = "e")]
    pub evictions: Vec<Eviction>,
    /// Tasks that were lost otherwise and not yet seen to run again.
    #[serde(rename = "l")]
    pub lost: Vec<TaskId>,
}

impl Ledger {
    /// Whether nothing is disrupted.
    pub fn is_empty(&self) -> bool {
        self.evictions.is_empty() && self.lost.is_empty()
    }
}
