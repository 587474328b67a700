//! Accepted jobs and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CapacityType, Image, InstanceTypeName, Resources, Team, Zone};

/// A job's priority, from the highest to the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// The highest priority.
    #[serde(rename = "prod")]
    Production,
    /// Above standard jobs.
    #[serde(rename = "high")]
    High,
    /// Above low-priority jobs only.
    #[serde(rename = "standard")]
    Standard,
    /// The lowest priority.
    #[serde(rename = "low")]
    Low,
}

/// How the tasks of a job run together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
    /// All tasks run at the same time, or none. The production version does not support it.
    #[serde(rename = "ensemble")]
    Gang,
}

/// An accepted job. The stored field names are short because each job is one value in the state
/// service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its job class, for which the settings define objectives.
    #[serde(rename = "c")]
    pub class: Arc<str>,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "t")]
    pub team: Team,
    /// How its tasks run together.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// The number of its tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// The resources that each task needs.
    #[serde(rename = "r")]
    pub need: Resources,
    /// The instance types that its tasks may run on; `None`: all.
    #[serde(rename = "ty")]
    pub types: Option<Vec<InstanceTypeName>>,
    /// The zone that its tasks may run in; `None`: any.
    #[serde(rename = "z")]
    pub zone: Option<Zone>,
    /// Whether all its tasks have to run in one zone.
    #[serde(rename = "oz")]
    pub one_zone: bool,
    /// Whether at most half of its tasks, rounded up, may run in one zone.
    #[serde(rename = "sp")]
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "l")]
    pub spot: bool,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "i")]
    pub image: Image,
    /// The size of the image in gigabytes.
    #[serde(rename = "ig")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time without fetching the image, in seconds; 0 for
    /// services.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// The interval between the checkpoints of a running task, in seconds of progress; 0: it saves
    /// none.
    #[serde(rename = "ce")]
    pub checkpoint_every_s: f64,
    /// The time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "cs")]
    pub checkpoint_s: f64,
    /// The deadline for completing it, in seconds from its submission; `None`: no deadline.
    #[serde(rename = "d")]
    pub deadline_s: Option<f64>,
    /// When it was accepted, in milliseconds since the Unix epoch. It determines the order of a
    /// team's queue.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
}

impl Job {
    /// Whether its tasks may run on machines of this type.
    pub fn allows_type(&self, name: &InstanceTypeName) -> bool {
        self.types.as_ref().is_none_or(|types| types.contains(name))
    }

    /// Whether its tasks may run in this zone.
    pub fn allows_zone(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Whether its tasks may run on machines of this capacity type.
    pub fn allows_capacity_type(&self, capacity_type: CapacityType) -> bool {
        self.spot || !capacity_type.is_spot()
    }

    /// The maximum number of tasks of this job in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All its tasks have finished.
    #[serde(rename = "done")]
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "cancelled")]
    Cancelled,
}
