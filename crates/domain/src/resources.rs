//! What machines have and tasks need, and how machines are rented.

use serde::{Deserialize, Serialize};

/// What a task takes of a machine, or what a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Sums of decimals such as 0.1 miss by a little; a task that fits exactly must still fit.
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

    /// These resources so many times.
    pub fn scaled(&self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// How many tasks of `need` an empty machine of this size holds.
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
        // Saturates: a task that needs nothing fits any number of times.
        count.floor().clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// What is left of a machine of size `self`, summed over its resources: each counts 1 when all of it is.
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
    /// Kept until it is returned.
    #[serde(rename = "Ordinary")]
    OnDemand,
    /// Cheaper, but the cloud may take it back.
    Spot,
}

impl CapacityType {
    /// Spot if true.
    pub fn from_spot(spot: bool) -> Self {
        if spot {
            CapacityType::Spot
        } else {
            CapacityType::OnDemand
        }
    }

    /// Whether the cloud may take it back.
    pub fn is_spot(self) -> bool {
        self == CapacityType::Spot
    }
}
