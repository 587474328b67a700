//! The leases of blocks of machines to controllers.
//!
//! They are written by the leader only; all controllers read them from the watch cache. Every write
//! of a holder requires the version of its lease.

use serde::{Deserialize, Serialize};

use crate::domain::{ControllerName, FencingToken, Incarnation, Term, Zone};

/// The lease of a block to a controller. Each new leader writes it again, so that all writes
/// prepared under an older leader fail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockLease {
    /// The zone of the block's machines.
    pub zone: Zone,
    /// The controller that holds the block.
    pub holder: ControllerName,
    /// The holder's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The token that the holder's commands carry; it increases with each holder.
    pub token: FencingToken,
    /// The term of the leader that wrote the record.
    pub term: Term,
}
