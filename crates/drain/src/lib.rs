//! Draining: machines are emptied step by step, while each team's disruption stays within its budget.
//!
//! Everything here is pure. Operators' requests change records ([`operator`], [`requests`]); the leader's planner
//! ([`planner`]) compares the records with what is observed and says what follows. Who calls it stores the records,
//! moves the tasks and reads the clock.

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
