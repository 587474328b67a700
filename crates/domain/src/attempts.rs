//! Attempts at tasks and their numbers.
//!
//! All tasks of a start of a gang share one number on the wire. Within the service each has one of its own, from which the
//! shared one follows: so a number names one attempt of one task everywhere, whatever the kind of the job.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// One attempt at a task. Attempt numbers are never given twice, so a late command for an old attempt can't
/// be taken for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt. For a task of a gang, the start and the index of the task are part of it.
    pub number: u64,
}

/// Marks the attempts of gangs among all attempt numbers. Others come from terms and never get so large.
const GANG_ATTEMPT_BIT: u64 = 1 << 62;
/// The part of a gang's attempt number that is the task's index: a job has at most 100,000 tasks.
const TASK_INDEX_BITS: u32 = 17;
const TASK_INDEX_MASK: u64 = (1 << TASK_INDEX_BITS) - 1;

impl Attempt {
    /// A task of a gang's start. None: no such number.
    pub fn of_gang(task: TaskId, start: u64) -> Option<Attempt> {
        let fits =
            start < GANG_ATTEMPT_BIT >> TASK_INDEX_BITS && u64::from(task.index) <= TASK_INDEX_MASK;
        fits.then(|| Attempt {
            task,
            number: GANG_ATTEMPT_BIT | start << TASK_INDEX_BITS | u64::from(task.index),
        })
    }

    /// Which start of its gang it belongs to. None: not of a gang.
    pub fn gang_start(&self) -> Option<u64> {
        (self.number & GANG_ATTEMPT_BIT != 0)
            .then_some((self.number & !GANG_ATTEMPT_BIT) >> TASK_INDEX_BITS)
    }

    /// The number as workers know it: all tasks of a gang's start share it.
    pub fn wire_number(&self) -> u64 {
        match self.gang_start() {
            Some(_) => self.number & !TASK_INDEX_MASK,
            None => self.number,
        }
    }

    /// The attempt that a worker means.
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
