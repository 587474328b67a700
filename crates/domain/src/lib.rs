//! Types that all parts of dappleshore share: jobs, tasks, attempts, machines, resources and time.
//!
//! They are plain values. Only [`Now::read`] reads a clock, and nothing is sent or stored here. The
//! serde attributes define their spelling in messages and records, which does not change.

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
