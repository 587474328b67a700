//! The resources of machines and tasks, and the capacity types of machines.

use serde::{Deserialize, Serialize};

/// The resources that a task needs or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of decimals such as 0.1; a task that fits exactly must
/// still fit.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Adds other resources to these.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts other resources from these.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// These resources multiplied by `count`.
    pub fn scaled(&self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// The number of tasks that an empty machine with these resources can hold if each task needs
    /// `need`.
    pub fn max_tasks(&self, need: &Resources) -> u32 {
        let max_count = |have: f64, needed: f64| {
            if needed <= ROUNDING_TOLERANCE {
                f64::INFINITY
            } else {
                (have + ROUNDING_TOLERANCE) / needed
            }
        };
        let count = max_count(self.cpus, need.cpus)
            .min(max_count(self.gpus, need.gpus))
            .min(max_count(self.memory_gb, need.memory_gb));
        // The cast saturates: a task that needs nothing fits any number of times.
        count.floor().clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// The free share of a machine with these resources, of which `free` are free, summed over the
    /// kinds of resources. A resource that is entirely free counts 1.
    pub fn free_share(&self, free: &Resources) -> f64 {
        let share = |total: f64, available: f64| {
            if total <= ROUNDING_TOLERANCE {
                0.0
            } else {
                available / total
            }
        };
        share(self.cpus, free.cpus)
            + share(self.gpus, free.gpus)
            + share(self.memory_gb, free.memory_gb)
    }
}

/// How a machine is rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CapacityType {
    /// Rented until it is returned.
    #[serde(rename = "Ordinary")]
    OnDemand,
    /// Cheaper, but the cloud may reclaim it.
    Spot,
}

impl CapacityType {
    /// Returns `Spot` if `spot` is true and `OnDemand` otherwise.
    pub fn from_spot(spot: bool) -> Self {
        if spot {
            CapacityType::Spot
        } else {
            CapacityType::OnDemand
        }
    }

    /// Whether the cloud may reclaim the machine.
    pub fn is_spot(self) -> bool {
        self == CapacityType::Spot
    }
}
