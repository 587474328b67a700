//! The placements of a block: the attempts on its machines, and the finished tasks that are not
//! recorded elsewhere yet.
//!
//! They are written by the controller that holds the block and read by all controllers. Sizes are
//! in bytes as the state service measures them and are never underestimated. A machine without
//! attempts has no entry.

use std::collections::{BTreeMap, BTreeSet};
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::TaskRanges;
use super::size::decimal_digits;
use crate::domain::{Attempt, JobId, MachineId, TaskId};

/// Bytes of the value without its entries: names, quotes and brackets.
const ENVELOPE_BYTES: usize = 32;
/// Bytes of a machine's entry without its id and attempts: quotes, colon, brackets and commas.
const MACHINE_OVERHEAD_BYTES: usize = 8;
/// Bytes of an attempt without its numbers: quotes, separators and comma.
const ATTEMPT_OVERHEAD_BYTES: usize = 5;
/// Bytes of a job's entry without its number: `"j-":"",`.
const JOB_OVERHEAD_BYTES: usize = 8;
/// Minimum number of digits of a job id.
const MIN_JOB_DIGITS: usize = 6;

/// The attempts of a block by machine, and its finished tasks that are not yet recorded in the
/// progress of their jobs. They share one value, so that a batch of starts and ends is one change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct BlockPlacements {
    /// The attempts on each machine. A machine without attempts has no entry.
    #[serde(rename = "on")]
    pub attempts_by_machine: BTreeMap<MachineId, Vec<AttemptEncoding>>,
    /// The finished tasks of each job.
    #[serde(rename = "done")]
    pub done: BTreeMap<JobId, TaskRanges>,
}

impl BlockPlacements {
    /// All attempts with their machines.
    pub fn attempts(&self) -> impl Iterator<Item = (&MachineId, Attempt)> {
        self.attempts_by_machine
            .iter()
            .flat_map(|(machine, list)| list.iter().map(move |placed| (machine, placed.0)))
    }

    /// Merges another part into this one. An attempt that is in both is kept once.
    pub fn merge(&mut self, part: &BlockPlacements) {
        for (machine, list) in &part.attempts_by_machine {
            let merged = self.attempts_by_machine.entry(machine.clone()).or_default();
            for placed in list {
                if !merged.contains(placed) {
                    merged.push(*placed);
                }
            }
        }
        for (job, done) in &part.done {
            self.done.entry(*job).or_default().merge(done);
        }
    }

    /// Whether there are neither attempts nor finished tasks.
    pub fn is_empty(&self) -> bool {
        self.attempts_by_machine.is_empty() && self.done.is_empty()
    }

    /// Adds an attempt. Returns the maximum number of bytes by which the value has grown.
    pub fn add(&mut self, machine: &MachineId, attempt: Attempt) -> usize {
        let placed = AttemptEncoding(attempt);
        let list = self.attempts_by_machine.entry(machine.clone()).or_default();
        let entry_bytes = if list.is_empty() {
            machine.0.len() + MACHINE_OVERHEAD_BYTES
        } else {
            0
        };
        list.push(placed);
        entry_bytes + placed.size()
    }

    /// Removes an attempt. Returns false if it was not there.
    pub fn remove(&mut self, machine: &MachineId, attempt: Attempt) -> bool {
        let Some(list) = self.attempts_by_machine.get_mut(machine) else {
            return false;
        };
        let before = list.len();
        list.retain(|placed| placed.0 != attempt);
        let removed = list.len() != before;
        if list.is_empty() {
            self.attempts_by_machine.remove(machine);
        }
        removed
    }

    /// The maximum size in bytes that this value can reach while its tasks end. A finished task
    /// takes less than a placed one, but the first finished task of a job adds the job's id. Tasks
    /// are placed only while this size is within the limit, because a value that has grown too
    /// large could never be written again.
    pub fn worst_case_size(&self) -> usize {
        let jobs: BTreeSet<JobId> = self
            .attempts()
            .map(|(_, attempt)| attempt.task.job)
            .collect();
        let job_bytes: usize = jobs
            .iter()
            .filter(|job| !self.done.contains_key(job))
            .map(|job| done_entry_size(*job))
            .sum();
        self.size() + job_bytes
    }

    /// The maximum size of this value in bytes.
    pub fn size(&self) -> usize {
        let machine_bytes: usize = self
            .attempts_by_machine
            .iter()
            .map(|(machine, list)| {
                machine.0.len()
                    + MACHINE_OVERHEAD_BYTES
                    + list.iter().map(AttemptEncoding::size).sum::<usize>()
            })
            .sum();
        ENVELOPE_BYTES + machine_bytes + self.done_size()
    }

    /// The bytes of the value that finished tasks take.
    pub fn done_size(&self) -> usize {
        self.done
            .iter()
            .map(|(job, ranges)| done_entry_size(*job) + ranges.size())
            .sum()
    }
}

/// The bytes of a job's entry among the finished tasks without the tasks: `"j-000412":"",`.
pub fn done_entry_size(job: JobId) -> usize {
    decimal_digits(job.0).max(MIN_JOB_DIGITS) + JOB_OVERHEAD_BYTES
}

/// The stored form of an attempt: `412/3:17`, or `412/3:g17` for a task of a gang in the gang's
/// start number 17.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEncoding(pub Attempt);

impl AttemptEncoding {
    /// Its maximum size in bytes as an item of a list.
    pub fn size(&self) -> usize {
        let number = match self.0.gang_start() {
            Some(start) => decimal_digits(start) + 1,
            None => decimal_digits(self.0.number),
        };
        decimal_digits(self.0.task.job.0)
            + decimal_digits(u64::from(self.0.task.index))
            + number
            + ATTEMPT_OVERHEAD_BYTES
    }
}

impl Serialize for AttemptEncoding {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Attempt { task, number } = self.0;
        let TaskId { job, index } = task;
        match self.0.gang_start() {
            Some(start) => serializer.collect_str(&format_args!("{}/{index}:g{start}", job.0)),
            None => serializer.collect_str(&format_args!("{}/{index}:{number}", job.0)),
        }
    }
}

impl<'de> Deserialize<'de> for AttemptEncoding {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Error in the text of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseAttemptError {
    /// The text does not have the form `job/index:number`.
    #[error("attempt does not have the form job/index:number")]
    MissingSeparator,
    /// A number is malformed.
    #[error("malformed number in an attempt: {0}")]
    MalformedNumber(#[from] ParseIntError),
    /// The start of the gang or the index of the task is out of range.
    #[error("gang start or task index of an attempt is out of range")]
    GangStartOutOfRange,
}

impl FromStr for AttemptEncoding {
    type Err = ParseAttemptError;

    fn from_str(text: &str) -> Result<Self, ParseAttemptError> {
        let (task, number) = text
            .split_once(':')
            .ok_or(ParseAttemptError::MissingSeparator)?;
        let (job, index) = task
            .split_once('/')
            .ok_or(ParseAttemptError::MissingSeparator)?;
        let task = TaskId {
            job: JobId(job.parse()?),
            index: index.parse()?,
        };
        let attempt = match number.strip_prefix('g') {
            Some(start) => Attempt::of_gang(task, start.parse()?)
                .ok_or(ParseAttemptError::GangStartOutOfRange)?,
            None => Attempt {
                task,
                number: number.parse()?,
            },
        };
        Ok(AttemptEncoding(attempt))
    }
}
