//! Which controller holds a block of machines.
//!
//! Written by the leader only; read by all controllers from the copy. Every write of a holder is conditioned on the version of
//! its lease.

use serde::{Deserialize, Serialize};

use crate::domain::{ControllerName, FencingToken, Incarnation, Term, Zone};

/// The lease of a block to a controller. Each new leader writes it again, which makes every write that an
/// older leader asked for fail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockLease {
    /// The zone of the block's machines.
    pub zone: Zone,
    /// The controller that holds the block.
    pub holder: ControllerName,
    /// The holder's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The number that the holder's commands carry; it rises with each holder.
    pub token: FencingToken,
    /// The term of the leader that wrote the record.
    pub term: Term,
}
