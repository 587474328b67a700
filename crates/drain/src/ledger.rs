//! The record of disruptions. Each team has one value, so that all drains that use the team's budget change the same value
//! and conflicting writes are detected.
//!
//! The planner decides the changes, and the leader stores them before any task is told to stop.

use dappleshore_domain::{Attempt, JobId, MachineId, TaskId};
use serde::{Deserialize, Serialize};

use crate::id::DrainId;

/// The target of an eviction: a task, or all tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EvictionTarget {
    /// An attempt of a task.
    #[serde(rename = "t")]
    Task(Attempt),
    /// All tasks of one start of a gang.
    #[serde(rename = "g")]
    Gang {
        /// The gang's job.
        job: JobId,
        /// The number of the start.
        start: u64,
        /// The number of tasks of the gang.
        tasks: u32,
    },
}

impl EvictionTarget {
    /// The job of the evicted tasks.
    pub fn job(&self) -> JobId {
        match self {
            EvictionTarget::Task(attempt) => attempt.task.job,
            EvictionTarget::Gang { job, .. } => *job,
        }
    }

    /// Whether the eviction stops this attempt.
    pub fn includes(&self, attempt: &Attempt) -> bool {
        match self {
            EvictionTarget::Task(evicted) => evicted == attempt,
            EvictionTarget::Gang { job, start, .. } => {
                attempt.task.job == *job && attempt.gang_start() == Some(*start)
            }
        }
    }

    /// The evicted tasks.
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
    /// The task or gang that is moved.
    #[serde(rename = "s")]
    pub target: EvictionTarget,
    /// The drain that needs the eviction.
    #[serde(rename = "d")]
    pub drain: DrainId,
    /// The machine that is being emptied.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// When it was decided, in Unix milliseconds by the leader's clock.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// A team's disruptions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Evictions whose replacements have not yet been observed running.
    #[serde(rename = "e")]
    pub evictions: Vec<Eviction>,
    /// Tasks that were lost for other reasons and have not yet been observed running again.
    #[serde(rename = "l")]
    pub lost: Vec<TaskId>,
}

impl Ledger {
    /// Whether no disruption is recorded.
    pub fn is_empty(&self) -> bool {
        self.evictions.is_empty() && self.lost.is_empty()
    }
}
