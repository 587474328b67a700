//! Ids and names of jobs, tasks, machines, controllers and teams.

use std::fmt;
use std::str::FromStr;

use crate::text::{serialize_as_text, text_name};

/// Error in the id of a job or task. All variants are displayed alike, because users and peers
/// receive this text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// A job id does not start with `j-`.
    #[error("malformed name")]
    MissingPrefix,
    /// A number contains other characters than digits, or is too large.
    #[error("malformed name")]
    NotANumber,
    /// A job id has too few digits or superfluous leading zeros.
    #[error("malformed name")]
    NotCanonical,
    /// A job id has too many digits.
    #[error("malformed name")]
    TooLong,
    /// A task id is not a job id, `/` and the task's index.
    #[error("malformed name")]
    MissingIndex,
}

/// Maximum number of digits of a job id. Any number with this many digits fits in 64 bits.
const MAX_JOB_ID_DIGITS: usize = 18;

/// A job id: `j-` and at least six digits. It is kept as a number to save memory, because the
/// outcomes of jobs are kept forever.
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

    /// Accepts only the canonical spelling, so that no job has two spellings.
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
    /// Its index within the job, starting at 0.
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
    /// The name of a machine in the cloud.
    MachineId
);
text_name!(
    /// The name of a controller.
    ControllerName
);
text_name!(
    /// The name of a zone of the cloud.
    Zone
);
text_name!(
    /// The name of an instance type.
    InstanceTypeName
);
text_name!(
    /// The name of a team.
    Team
);
text_name!(
    /// The name of an image.
    Image
);
text_name!(
    /// The name of a block: machines of one zone that are leased to a controller together.
    BlockId
);
