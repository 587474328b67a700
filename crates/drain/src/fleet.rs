//! The interface between the planner and the leader: machines, tasks and jobs as they are observed.
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
    /// It does.
    InService,
    /// It keeps those it has and takes no new ones.
    Cordoned,
    /// It is being returned to the cloud.
    Returning,
}

/// A machine as the leader sees it.
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
    /// Its heartbeats arrive, its worker acknowledges commands, and it is not being deleted.
    pub usable: bool,
    /// It is given up: its tasks are lost once the cloud has deleted it.
    pub failed: bool,
    /// Tasks that are not proven gone.
    pub tasks: Vec<Attempt>,
    /// Tasks were released to it that the holder of its block may still place.
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

/// What the planner needs to know of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// Whose budget its disruptions count against.
    pub team: Team,
    /// The class of its tasks, which may have a budget of its own.
    pub class: Arc<str>,
    /// The number of tasks of a gang, which are moved together. None: its tasks are moved one by one.
    pub gang_tasks: Option<u32>,
}

/// Why a task finds no room elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCapacity {
    /// No machine has room for it yet.
    NotYet,
    /// All places where it may go are being drained, or none is known.
    NoAllowedPlacement,
}

/// What the planner observes: the leader's copy of the records, with what heartbeats show.
///
/// All answers of one pass must come from the same state.
pub trait Fleet {
    /// All machines.
    fn machines(&self) -> &[MachineView];
    /// The job. None: it has ended or is cancelled.
    fn job(&self, job: JobId) -> Option<JobView>;
    /// Whether a task has ended successfully.
    fn is_done(&self, task: TaskId) -> bool;
    /// The task's attempts that are not proven gone.
    fn attempts(&self, task: TaskId) -> Vec<Attempt>;
    /// Whether an attempt was seen to run, on a machine that is usable.
    fn is_running(&self, attempt: &Attempt) -> bool;
    /// Whether an attempt is told to stop for another reason.
    fn is_stopping(&self, attempt: &Attempt) -> bool;
    /// Whether a job's tasks fail again and again.
    fn keeps_failing(&self, job: JobId) -> bool;
    /// Why a task that was evicted already has no room kept for it, if it has none.
    fn missing_capacity(&self, task: TaskId) -> Option<NoCapacity>;
    /// Reserves room elsewhere for all tasks that are to be moved.
    ///
    /// # Errors
    ///
    /// Why there is none for at least one of them. Then nothing is reserved.
    fn reserve(&mut self, target: &EvictionTarget) -> Result<Vec<Reservation>, NoCapacity>;
}

/// Room that is kept for a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The task that is to be moved.
    pub task: TaskId,
    /// The machine that it is to be moved to.
    pub machine: MachineId,
}
