//! What a drain has come to, as operators are shown it.

use dappleshore_domain::TaskId;

use crate::disruption::ExceededBudget;
use crate::fleet::NoCapacity;
use crate::record::HaltReason;

/// What a drain is doing or waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainState {
    /// Its machines are being cordoned.
    Requested,
    /// The next task of this team may not be disrupted now.
    WaitingForBudget(ExceededBudget),
    /// The next task waits for a machine with room for it.
    Replacing {
        /// The first task that has no room.
        task: TaskId,
        /// Why it has none.
        reason: NoCapacity,
    },
    /// Tasks were told to stop, and their replacements do not run yet.
    Evicting,
    /// No task is left on its machines; replacements start, or machines are being returned.
    Empty,
    /// It evicts nothing until its cause is gone or an operator resumes it.
    Halted(HaltReason),
    /// An operator has called it off, or has put its machines back into service.
    Cancelled,
    /// All that was asked for is so.
    Done,
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainProgress {
    /// What it is doing or waiting for.
    pub state: DrainState,
    /// Machines that it holds.
    pub machines: usize,
    /// Those of them without tasks.
    pub empty: usize,
    /// Tasks on its machines that are not proven gone.
    pub tasks_left: usize,
    /// Evicted tasks whose replacement does not run yet.
    pub outstanding: usize,
}
