//! Leadership, the controllers that are up, and the format that all of them have agreed on.

use serde::{Deserialize, Serialize};

use crate::domain::{ControllerName, Incarnation, Term};

/// The format of the production version: blocks of one value each, no gangs.
pub const PRODUCTION_FORMAT: u32 = 0;
/// From this format on a block may be kept in several values, and there are gangs.
pub const PARTS_FORMAT: u32 = 1;
/// From this format on machines may be cordoned, and there are drains, their evictions and their budgets.
pub const DRAIN_FORMAT: u32 = 2;
/// The newest format that this program reads and writes. It writes in it once it is switched on.
pub const FORMAT: u32 = DRAIN_FORMAT;

/// Who leads, attached to a lease. `term` comes from the same rising counter as tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// The leading controller.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// Its process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The term that it leads in.
    pub term: Term,
}

/// The rising counter that tokens and terms are taken from.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// The number that was taken last.
    pub last: u64,
}

/// A controller that is up, attached to its lease. `incarnation` tells a restarted process from the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The newest format that it can read and write. The production version does not say.
    #[serde(default, skip_serializing_if = "is_production")]
    pub format: u32,
}

fn is_production(format: &u32) -> bool {
    *format == PRODUCTION_FORMAT
}

/// The format that is switched on: written once for all controllers, when all of them know it, and never taken back.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatSwitch {
    /// The number of the format.
    pub version: u32,
}
