//! The progress of a drain, as reported to operators.

use dappleshore_domain::TaskId;

use crate::disruption::ExceededBudget;
use crate::fleet::NoCapacity;
use crate::record::HaltReason;

/// The state of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainState {
    /// Its machines are being cordoned.
    Requested,
    /// Evicting the next task would exceed this budget.
    WaitingForBudget(ExceededBudget),
    /// The next task waits for a machine with capacity for it.
    Replacing {
        /// The first task without capacity elsewhere.
        task: TaskId,
        /// Why there is none.
        reason: NoCapacity,
    },
    /// Tasks have been evicted, and their replacements do not run yet.
    Evicting,
    /// No task is left on its machines. Replacements are starting, or machines are being returned.
    Empty,
    /// It evicts nothing until the cause is resolved or an operator resumes it.
    Halted(HaltReason),
    /// An operator cancelled it or put its machines back into service.
    Cancelled,
    /// The request is carried out.
    Done,
}

/// The progress of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainProgress {
    /// Its state.
    pub state: DrainState,
    /// The number of machines that it keeps out of service.
    pub machines: usize,
    /// The number of these machines without tasks.
    pub empty: usize,
    /// The number of attempts on its machines that are not proven ended.
    pub tasks_left: usize,
    /// The number of evictions whose replacements do not run yet.
    pub outstanding: usize,
}
