//! The leader and the live controllers.
//!
//! Each controller attaches its own records to its lease, so that they are removed when the lease
//! expires. The counter of terms and fencing tokens remains and only increases.

use serde::{Deserialize, Serialize};

use super::formats::PRODUCTION_FORMAT;
use crate::domain::{ControllerName, Incarnation, Term};

/// The leader, attached to its lease. `term` is taken from the same counter as fencing tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// The controller that is the leader.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The leader's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The term of its leadership.
    pub term: Term,
}

/// The increasing counter that fencing tokens and terms are taken from.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TokenCounter {
    /// The number taken last.
    pub last: u64,
}

/// A live controller, attached to its lease. `incarnation` distinguishes a restarted process from
/// the previous one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The controller's process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The newest format that it can read and write. The production version does not write this
    /// field.
    #[serde(default, skip_serializing_if = "is_production_format")]
    pub format: u32,
}

fn is_production_format(format: &u32) -> bool {
    *format == PRODUCTION_FORMAT
}
