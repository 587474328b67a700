//! Leadership and the controllers that are up.
//!
//! A controller writes what it says of itself attached to its lease, so that the record goes when the lease expires. The
//! counter of terms and fencing tokens stays, and only rises.

use serde::{Deserialize, Serialize};

use super::formats::PRODUCTION_FORMAT;
use crate::domain::{ControllerName, Incarnation, Term};

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
pub struct TokenCounter {
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
    #[serde(default, skip_serializing_if = "is_production_format")]
    pub format: u32,
}

fn is_production_format(format: &u32) -> bool {
    *format == PRODUCTION_FORMAT
}
