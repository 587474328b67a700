//! The formats of stored records and messages, and the switch between them.
//!
//! A format is switched on once all controllers support it and is never switched off. Each version
//! can therefore read what the previous version has written.

use serde::{Deserialize, Serialize};

/// The format of the production version: one value per block, no gangs.
pub(super) const PRODUCTION_FORMAT: u32 = 0;
/// From this format on a block may be stored in several values, and gangs are supported.
pub const PARTS_FORMAT: u32 = 1;
/// From this format on machines may be cordoned, and drains, their evictions and their budgets are
/// stored.
pub const DRAIN_FORMAT: u32 = 2;
/// The newest format that this program can read and write. It is used for writing once it is
/// switched on.
pub const NEWEST_FORMAT: u32 = DRAIN_FORMAT;

/// The format that is switched on. It is written once for all controllers, when all of them support
/// it, and never reverted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatSwitch {
    /// The number of the format.
    pub version: u32,
}
