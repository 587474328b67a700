//! The names every slice shares: jobs, tasks, machines and the time they are seen at.

#![allow(missing_docs, reason = "not reached yet: #30")]

mod numbers;

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The two clocks, read once per event so that a state machine never reads them itself.
///
/// Deadlines are kept on the steady clock; the time of day only orders jobs.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    pub monotonic: Instant,
    pub wall: SystemTime,
}

impl Now {
    pub fn read() -> Self {
        Now {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    pub fn unix_ms(&self) -> u64 {
        self.wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| {
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            })
    }
}

/// Time since `then`, zero when the clock was read in another order.
pub fn since(now: Now, then: Instant) -> Duration {
    now.monotonic.saturating_duration_since(then)
}

pub use numbers::{AgentEpoch, FencingToken, Incarnation, Term};

macro_rules! as_text {
    ($name:ty) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse()
                    .map_err(|MalformedName| D::Error::custom("malformed name"))
            }
        }
    };
}

/// A text that does not have the form of the name it should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed name")]
pub struct MalformedName;

/// A job id: `j-` and at least six digits. Kept as its number, since final states are kept for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

impl FromStr for JobId {
    type Err = MalformedName;

    /// Only the canonical spelling is an id, so that two spellings never mean one job.
    fn from_str(text: &str) -> Result<Self, MalformedName> {
        let digits = text.strip_prefix("j-").ok_or(MalformedName)?;
        let plain = digits.bytes().all(|b| b.is_ascii_digit());
        let canonical = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
        if !plain || !canonical || digits.len() > 18 {
            return Err(MalformedName);
        }
        digits.parse().map(JobId).map_err(|_| MalformedName)
    }
}

as_text!(JobId);

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = MalformedName;

    fn from_str(text: &str) -> Result<Self, MalformedName> {
        let (job, index) = text.split_once('/').ok_or(MalformedName)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| MalformedName)?,
        })
    }
}

as_text!(TaskId);

/// One attempt at a task. Attempt numbers are never given twice, so a late command for an old attempt can't
/// be taken for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    pub task: TaskId,
    pub number: u64,
}

/// Marks the attempts of gangs among all attempt numbers. Others come from terms and never get so large.
const GANG_ATTEMPT: u64 = 1 << 62;
/// The part of a gang's attempt number that is the task's index: a job has at most 100,000 tasks.
const INDEX_BITS: u32 = 17;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// All tasks of a start of a gang share one number on the wire. Within the service each has one of its own, from which
/// the shared one can be told: so a number names one attempt of one task everywhere, whatever the kind of the job.
impl Attempt {
    /// A task of a gang's start. None: no such number.
    pub fn of_gang(task: TaskId, start: u64) -> Option<Attempt> {
        let fits = start < GANG_ATTEMPT >> INDEX_BITS && u64::from(task.index) <= INDEX_MASK;
        fits.then(|| Attempt {
            task,
            number: GANG_ATTEMPT | start << INDEX_BITS | u64::from(task.index),
        })
    }

    /// Which start of its gang it belongs to. None: not of a gang.
    pub fn gang_start(&self) -> Option<u64> {
        (self.number & GANG_ATTEMPT != 0).then_some((self.number & !GANG_ATTEMPT) >> INDEX_BITS)
    }

    /// The number as workers know it: all tasks of a gang's start share it.
    pub fn wire_number(&self) -> u64 {
        match self.gang_start() {
            Some(_) => self.number & !INDEX_MASK,
            None => self.number,
        }
    }

    /// The attempt that a worker means.
    pub fn from_wire(task: TaskId, number: u64) -> Attempt {
        let of_gang = number & GANG_ATTEMPT != 0 && number & INDEX_MASK == 0;
        let index = if of_gang {
            u64::from(task.index) & INDEX_MASK
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

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }
    };
}

// `Arc<str>` keeps clones cheap: these names are keys of most maps.
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

/// Decimal amounts on the wire. CBOR tells 8 from 8.0, and senders may write either.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize)]
#[serde(transparent)]
pub struct Amount(pub f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Amount;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, value: f64) -> Result<Amount, E> {
                Ok(Amount(value))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
        }
        deserializer.deserialize_any(Visitor)
    }
}

/// What a task takes of a machine, or what a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimals such as 0.1 miss by a little; a task that fits exactly must still fit.
const SLACK: f64 = 1e-6;

impl Resources {
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + SLACK
            && need.gpus <= self.gpus + SLACK
            && need.memory_gb <= self.memory_gb + SLACK
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn take(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    pub fn times(&self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// How many tasks of `need` an empty machine of this size holds.
    pub fn count_of(&self, need: &Resources) -> u32 {
        let of = |have: f64, need: f64| {
            if need <= SLACK {
                f64::INFINITY
            } else {
                (have + SLACK) / need
            }
        };
        let count = of(self.cpus, need.cpus)
            .min(of(self.gpus, need.gpus))
            .min(of(self.memory_gb, need.memory_gb));
        // Saturates: a task that needs nothing fits any number of times.
        count.floor().clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// What is left of a machine of size `self`, summed over its resources: each counts 1 when all of it is.
    pub fn left_over(&self, left: &Resources) -> f64 {
        let of = |have: f64, left: f64| if have <= SLACK { 0.0 } else { left / have };
        of(self.cpus, left.cpus) + of(self.gpus, left.gpus) + of(self.memory_gb, left.memory_gb)
    }
}

/// Ordinary machines, or spot machines that the cloud may take back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CapacityType {
    #[serde(rename = "Ordinary")]
    OnDemand,
    Spot,
}

impl CapacityType {
    pub fn from_spot(spot: bool) -> Self {
        if spot {
            CapacityType::Spot
        } else {
            CapacityType::OnDemand
        }
    }

    pub fn is_spot(self) -> bool {
        self == CapacityType::Spot
    }
}

/// From the most to the least important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "low")]
    Low,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "service")]
    Service,
    /// All tasks run at the same time or none does. Production does not know it.
    #[serde(rename = "ensemble")]
    Gang,
}

/// A job as accepted. Field names are short because each job is one value in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    #[serde(rename = "c")]
    pub class: Arc<str>,
    #[serde(rename = "t")]
    pub team: Team,
    #[serde(rename = "k")]
    pub kind: JobKind,
    #[serde(rename = "p")]
    pub priority: Priority,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "r")]
    pub need: Resources,
    #[serde(rename = "ty")]
    pub types: Option<Vec<InstanceTypeName>>,
    #[serde(rename = "z")]
    pub zone: Option<Zone>,
    #[serde(rename = "oz")]
    pub one_zone: bool,
    #[serde(rename = "sp")]
    pub spread: bool,
    #[serde(rename = "l")]
    pub spot: bool,
    #[serde(rename = "i")]
    pub image: Image,
    #[serde(rename = "ig")]
    pub image_gb: f64,
    #[serde(rename = "e")]
    pub estimate_s: f64,
    #[serde(rename = "ce")]
    pub checkpoint_every_s: f64,
    #[serde(rename = "cs")]
    pub checkpoint_s: f64,
    #[serde(rename = "d")]
    pub deadline_s: Option<f64>,
    /// When it was accepted: orders a team's queue.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
}

impl Job {
    pub fn allows_type(&self, name: &InstanceTypeName) -> bool {
        self.types.as_ref().is_none_or(|types| types.contains(name))
    }

    pub fn allows_zone(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|only| only == zone)
    }

    pub fn allows_capacity_type(&self, capacity_type: CapacityType) -> bool {
        self.spot || !capacity_type.is_spot()
    }

    /// The most tasks of this job that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "cancelled")]
    Cancelled,
}

#[cfg(test)]
mod tests;
