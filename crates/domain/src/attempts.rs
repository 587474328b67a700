//! Attempts at tasks and their numbers.
//!
//! On the wire, all tasks of one start of a gang share an attempt number. Within the service each
//! task has a number of its own, from which the shared number is derived. A number thus identifies
//! one attempt of one task, whatever the kind of the job.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// One attempt at a task. Attempt numbers are never reused, so a delayed command for an old attempt
/// cannot affect a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt. For a task of a gang it contains the number of the gang's start
    /// and the index of the task.
    pub number: u64,
}

/// Marks the attempt numbers of gangs. Other attempt numbers are derived from terms and never get
/// this large.
const GANG_ATTEMPT_BIT: u64 = 1 << 62;
/// Number of bits for the task's index in the attempt number of a gang; a job has at most 100,000
/// tasks.
const TASK_INDEX_BITS: u32 = 17;
const TASK_INDEX_MASK: u64 = (1 << TASK_INDEX_BITS) - 1;

impl Attempt {
    /// The attempt of a task in a gang's start. Returns `None` if `start` or the index is too
    /// large.
    pub fn of_gang(task: TaskId, start: u64) -> Option<Attempt> {
        let in_range =
            start < GANG_ATTEMPT_BIT >> TASK_INDEX_BITS && u64::from(task.index) <= TASK_INDEX_MASK;
        in_range.then(|| Attempt {
            task,
            number: GANG_ATTEMPT_BIT | start << TASK_INDEX_BITS | u64::from(task.index),
        })
    }

    /// The number of the gang's start that the attempt belongs to. `None` if the task is not part
    /// of a gang.
    pub fn gang_start(&self) -> Option<u64> {
        (self.number & GANG_ATTEMPT_BIT != 0)
            .then_some((self.number & !GANG_ATTEMPT_BIT) >> TASK_INDEX_BITS)
    }

    /// The attempt number on the wire to workers, which all tasks of a gang's start share.
    pub fn wire_number(&self) -> u64 {
        match self.gang_start() {
            Some(_) => self.number & !TASK_INDEX_MASK,
            None => self.number,
        }
    }

    /// The attempt with this task and attempt number on the wire.
    pub fn from_wire(task: TaskId, number: u64) -> Attempt {
        let is_gang_number = number & GANG_ATTEMPT_BIT != 0 && number & TASK_INDEX_MASK == 0;
        let index = if is_gang_number {
            u64::from(task.index) & TASK_INDEX_MASK
        } else {
            0
        };
        Attempt {
            task,
            number: number | index,
        }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
