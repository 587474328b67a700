//! The names of jobs, tasks, machines and what they belong to.

use std::fmt;
use std::str::FromStr;

use crate::text::{serialize_as_text, text_name};

/// Why a text is not the id of a job or a task. All are displayed alike: users and peers are shown this text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// A job id starts with `j-`.
    #[error("malformed name")]
    MissingPrefix,
    /// A number has other characters than digits, or is too large.
    #[error("malformed name")]
    NotANumber,
    /// The id could be spelled shorter, or has too few digits.
    #[error("malformed name")]
    NotCanonical,
    /// The id has more digits than any job's.
    #[error("malformed name")]
    TooLong,
    /// A task id is a job id, `/` and the task's index.
    #[error("malformed name")]
    MissingIndex,
}

/// The most digits of a job id: any number of so many fits 64 bits.
const MAX_JOB_ID_DIGITS: usize = 18;

/// A job id: `j-` and at least six digits. Kept as its number, since final states are kept for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(
    /// The number.
    pub u64,
);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    /// Only the canonical spelling is an id, so that two spellings never mean one job.
    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let digits = text.strip_prefix("j-").ok_or(ParseIdError::MissingPrefix)?;
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseIdError::NotANumber);
        }
        let canonical = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
        if !canonical {
            return Err(ParseIdError::NotCanonical);
        }
        if digits.len() > MAX_JOB_ID_DIGITS {
            return Err(ParseIdError::TooLong);
        }
        digits
            .parse()
            .map(JobId)
            .map_err(|_| ParseIdError::NotANumber)
    }
}

serialize_as_text!(JobId);

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = text.split_once('/').ok_or(ParseIdError::MissingIndex)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| ParseIdError::NotANumber)?,
        })
    }
}

serialize_as_text!(TaskId);

text_name!(
    /// A machine as the cloud names it.
    MachineId
);
text_name!(
    /// A controller.
    ControllerName
);
text_name!(
    /// A zone of the cloud.
    Zone
);
text_name!(
    /// A machine type.
    InstanceTypeName
);
text_name!(
    /// A team.
    Team
);
text_name!(
    /// An image.
    Image
);
text_name!(
    /// A block: machines of one zone that are leased to a controller together.
    BlockId
);
