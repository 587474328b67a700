//! The types that all parts of dappleshore share: jobs, tasks, attempts, machines, resources and time.
//!
//! They are values without behaviour of their own: no clock is read but in [`Now::read`], and nothing is sent or stored. Their
//! spelling in messages and records is fixed here, and does not change.

mod attempts;
mod ids;
mod jobs;
mod numbers;
mod resources;
mod text;
mod time;

pub use attempts::Attempt;
pub use ids::{
    BlockId, ControllerName, Image, InstanceTypeName, JobId, MachineId, ParseIdError, TaskId, Team,
    Zone,
};
pub use jobs::{Job, JobKind, JobOutcome, Priority};
pub use numbers::{AgentEpoch, FencingToken, Incarnation, Term};
pub use resources::{CapacityType, Resources};
pub use text::Amount;
pub use time::{Now, since};

#[cfg(test)]
mod tests;
