//! The interface between the planner and the leader: machines, tasks and jobs as observed by the leader.
//!
//! The leader's draining module implements [`Fleet`]; the planner and the count of disruptions read it.

use std::sync::Arc;

use dappleshore_domain::{
    Attempt, BlockId, InstanceTypeName, JobId, MachineId, TaskId, Team, Zone,
};

use crate::ledger::EvictionTarget;
use crate::scope::MachineAttributes;

/// Whether a machine takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// It takes new tasks.
    InService,
    /// It keeps its tasks and takes no new ones.
    Cordoned,
    /// It is being returned to the cloud.
    Returning,
}

/// A machine as observed by the leader.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Its id.
    pub id: MachineId,
    /// The block that it belongs to.
    pub block: BlockId,
    /// Its machine type.
    pub type_name: InstanceTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it takes new tasks.
    pub state: ServiceState,
    /// Whether its heartbeats arrive, its worker acknowledges commands, and it is not being deleted.
    pub usable: bool,
    /// Whether it is presumed lost. Its tasks are lost once the cloud has deleted it.
    pub failed: bool,
    /// The attempts on it that are not proven ended.
    pub tasks: Vec<Attempt>,
    /// Whether tasks were released to it that the holder of its block may still place.
    pub has_pending_releases: bool,
}

impl MachineView {
    pub(crate) fn attributes(&self) -> MachineAttributes<'_> {
        MachineAttributes {
            id: &self.id,
            block: &self.block,
            type_name: &self.type_name,
            zone: &self.zone,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && !self.has_pending_releases
    }
}

/// A job as observed by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// The team whose budget its disruptions count against.
    pub team: Team,
    /// The class of its tasks. A class may have its own budget.
    pub class: Arc<str>,
    /// The number of tasks of a gang, which are moved together. `None`: the job is not a gang and its tasks are moved
    /// one by one.
    pub gang_tasks: Option<u32>,
}

/// Why there is no capacity elsewhere for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCapacity {
    /// No machine has capacity for it yet.
    NotYet,
    /// Everything that the task may be placed on is being drained, or nothing that it may be placed on is known.
    NoAllowedPlacement,
}

/// The state that the planner observes: the leader's copy of the records, combined with the heartbeats.
///
/// All results within one pass must come from the same state.
pub trait Fleet {
    /// All machines.
    fn machines(&self) -> &[MachineView];
    /// The job. `None`: it has ended or is cancelled.
    fn job(&self, job: JobId) -> Option<JobView>;
    /// Whether a task has ended successfully.
    fn is_done(&self, task: TaskId) -> bool;
    /// The task's attempts that are not proven ended.
    fn attempts(&self, task: TaskId) -> Vec<Attempt>;
    /// Whether an attempt was observed running on a usable machine.
    fn is_running(&self, attempt: &Attempt) -> bool;
    /// Whether an attempt has been told to stop for another reason.
    fn is_stopping(&self, attempt: &Attempt) -> bool;
    /// Whether a job's tasks fail repeatedly.
    fn keeps_failing(&self, job: JobId) -> bool;
    /// Why capacity could not be reserved for a task that is already evicted. `None`: no reservation failed.
    fn missing_capacity(&self, task: TaskId) -> Option<NoCapacity>;
    /// Reserves capacity elsewhere for all tasks of the target.
    ///
    /// # Errors
    ///
    /// There is no capacity for at least one of them. Then nothing is reserved.
    fn reserve(&mut self, target: &EvictionTarget) -> Result<Vec<Reservation>, NoCapacity>;
}

/// Capacity that is reserved for a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The task that is to be moved.
    pub task: TaskId,
    /// The machine that it is to be moved to.
    pub machine: MachineId,
}
