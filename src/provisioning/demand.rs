//! The scheduler's input to the provisioner: the demand for machines and the measured run times of each pool, and the
//! health of each machine as reported by the controllers.
//!
//! The scheduler fills it in once in each plan; the provisioner only reads it.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use crate::domain::{CapacityType, InstanceTypeName, MachineId, Resources, Zone};

/// The machines of one instance type and capacity type, which share their price and availability. The scale-out rule
/// is applied to each pool separately.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// The instance type of all its machines.
    pub type_name: InstanceTypeName,
    /// Whether its machines are spot or on-demand.
    pub capacity_type: CapacityType,
}

impl MachinePool {
    /// The pool of machines of this type and capacity type.
    #[must_use]
    pub fn new(type_name: InstanceTypeName, capacity_type: CapacityType) -> Self {
        MachinePool {
            type_name,
            capacity_type,
        }
    }

    /// Whether machines of this type and capacity type belong to the pool.
    #[must_use]
    pub fn contains(&self, type_name: &InstanceTypeName, capacity_type: CapacityType) -> bool {
        self.type_name == *type_name && self.capacity_type == capacity_type
    }
}

/// The machines of a pool in one zone. Capacity runs out and is returned by zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZonedPool {
    /// The pool.
    pub pool: MachinePool,
    /// The zone.
    pub zone: Zone,
}

impl ZonedPool {
    /// The machines of this type and capacity type in this zone.
    #[must_use]
    pub fn new(type_name: InstanceTypeName, capacity_type: CapacityType, zone: Zone) -> Self {
        ZonedPool {
            pool: MachinePool::new(type_name, capacity_type),
            zone,
        }
    }
}

/// The run times of a pool's tasks. The mean run time is the total divided by the number of ended tasks, so running
/// tasks count as well.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimes {
    /// Sum of the run times of all tasks of the pool, including running ones.
    pub total: Duration,
    /// Number of tasks that have ended.
    pub ended: u32,
}

/// The demand for machines, computed by the scheduler in each plan.
#[derive(Debug, Default)]
pub struct Demand {
    /// Resources used and requested in each pool, in machines.
    pub machines: BTreeMap<MachinePool, f64>,
    /// The part of `machines` that is requested by waiting tasks which can only run in this zone, in machines.
    pub pinned: BTreeMap<ZonedPool, f64>,
    /// Machines that have tasks placed on or released to them.
    pub occupied: HashSet<MachineId>,
    /// The measured run times of each pool.
    pub run_times: BTreeMap<MachinePool, RunTimes>,
    /// The smallest amount of each resource that any waiting task requests.
    pub smallest_task: Option<Resources>,
}

impl Demand {
    /// Adds a demand for machines to a pool.
    pub fn add(&mut self, pool: MachinePool, machines: f64) {
        *self.machines.entry(pool).or_default() += machines;
    }

    /// Adds a demand for machines to a pool that only one zone can meet.
    pub fn add_pinned(&mut self, pool: MachinePool, zone: Zone, machines: f64) {
        let zoned = ZonedPool {
            pool: pool.clone(),
            zone,
        };
        *self.pinned.entry(zoned).or_default() += machines;
        self.add(pool, machines);
    }

    /// The demand for machines of a pool.
    #[must_use]
    pub fn for_pool(&self, pool: &MachinePool) -> f64 {
        self.machines.get(pool).copied().unwrap_or(0.0)
    }
}

/// The health of a machine as reported by the holders of block leases.
#[derive(Debug, Clone, Copy, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent findings about one machine: each can be true or false beside the others"
)]
pub struct MachineHealth {
    /// Its worker has reported at least once.
    pub has_reported: bool,
    /// Its worker has not reported for longer than `worker_timeout_after_failed_probe` of the policy.
    pub unresponsive: bool,
    /// Tasks of several jobs fail on it.
    pub faulty: bool,
    /// Its worker reported recently, and the machine can take new tasks.
    pub usable: bool,
    /// Its holder receives heartbeats from hardly any of its machines, but other controllers receive them from this
    /// one: the holder is isolated, not the machine.
    pub holder_isolated: bool,
}
