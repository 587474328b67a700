//! The formats of stored records and messages, and which of them is switched on.
//!
//! A format is switched on when all controllers know it and never taken back, so that each version reads what the one before
//! has written.

use serde::{Deserialize, Serialize};

/// The format of the production version: blocks of one value each, no gangs.
pub(super) const PRODUCTION_FORMAT: u32 = 0;
/// From this format on a block may be kept in several values, and there are gangs.
pub const PARTS_FORMAT: u32 = 1;
/// From this format on machines may be cordoned, and there are drains, their evictions and their budgets.
pub const DRAIN_FORMAT: u32 = 2;
/// The newest format that this program reads and writes. It writes in it once it is switched on.
pub const NEWEST_FORMAT: u32 = DRAIN_FORMAT;

/// The format that is switched on: written once for all controllers, when all of them know it, and never taken back.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatSwitch {
    /// The number of the format.
    pub version: u32,
}
