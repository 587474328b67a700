//! What the scheduler tells the provisioner: the demand for machines of each pool, the run times measured in it,
//! and what the controllers report about each machine.
//!
//! The scheduler fills these in once in each plan; the provisioner only reads them.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use crate::domain::{CapacityType, InstanceTypeName, MachineId, Resources, Zone};

/// Machines that are rented, priced and run out alike: those of one instance type and capacity type. The scale-out
/// rule is applied to each pool by itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachinePool {
    /// The instance type of all its machines.
    pub type_name: InstanceTypeName,
    /// Whether they are spot or on-demand machines.
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

/// The machines of a pool in one zone: capacity runs out and is returned by zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZonedPool {
    /// The pool of which only one zone is meant.
    pub pool: MachinePool,
    /// That zone.
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

/// How long tasks have run in a pool, and how many of them have ended. The mean run time is the total over the tasks
/// that ended, so that tasks that still run count too.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimes {
    /// The run times of all tasks of the pool, of those still running as well, summed.
    pub total: Duration,
    /// Tasks that have ended.
    pub ended: u32,
}

/// The demand for machines, as the scheduler counts it in each plan.
#[derive(Debug, Default)]
pub struct Demand {
    /// Resources used and asked for in each pool, in machines.
    pub machines: BTreeMap<MachinePool, f64>,
    /// The part of it that waits and can only run in that zone, in machines.
    pub pinned: BTreeMap<ZonedPool, f64>,
    /// Machines with tasks that are placed on them or released to them.
    pub occupied: HashSet<MachineId>,
    /// The run times measured in each pool.
    pub run_times: BTreeMap<MachinePool, RunTimes>,
    /// The smallest amounts that any open job's task asks for.
    pub smallest_task: Option<Resources>,
}

impl Demand {
    /// Adds a demand of that many machines to a pool.
    pub fn add(&mut self, pool: MachinePool, machines: f64) {
        *self.machines.entry(pool).or_default() += machines;
    }

    /// Adds a demand of that many machines to a pool, all of it in one zone.
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

/// What the holders of block leases report about a machine.
#[derive(Debug, Clone, Copy, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent findings about one machine: each can be true or false beside the others"
)]
pub struct MachineHealth {
    /// Its worker has reported at least once.
    pub has_reported: bool,
    /// Its worker has not reported for longer than `worker_timeout_after_failed_probe`.
    pub unresponsive: bool,
    /// Tasks of several jobs fail on it.
    pub faulty: bool,
    /// Its worker reported lately, and it is fit for new tasks.
    pub usable: bool,
    /// Its holder receives reports of hardly any of its machines, but other controllers receive this one's: it is the
    /// holder that is cut off.
    pub holder_isolated: bool,
}
