//! Draining: empties machines in steps while the number of disrupted tasks of each team stays within its budget.
//!
//! The crate does no I/O and reads no clock. [`requests`] computes the changes that operators' requests ([`operator`])
//! make to the stored records. The leader's [`planner`] compares the records with the observed state and returns the
//! actions to take. The caller stores the records, moves the tasks and passes in the time.

pub mod budget;
pub mod disruption;
pub mod fleet;
pub mod id;
pub mod ledger;
#[allow(missing_docs, reason = "not reached yet: #30")]
pub mod operator;
pub mod planner;
pub mod record;
pub mod requests;
pub mod scope;
pub mod settings;

pub use budget::{Budgets, Limit, TeamBudget};
pub use fleet::{Fleet, JobView, MachineView};
pub use id::DrainId;
pub use ledger::{Eviction, EvictionTarget, Ledger};
pub use planner::{Effect, Planner};
pub use record::{DrainRecord, HaltReason, Phase, Purpose};
pub use scope::Scope;
pub use settings::DrainSettings;
