//! The settings of draining in the operators' features file.

use std::collections::BTreeMap;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;

use crate::budget::Limit;

/// The section `[drain]`.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Whether drains are carried out.
    pub enabled: bool,
    /// Machines that a drain empties at a time, unless it says otherwise: a number, or a share of its machines
    /// rounded up.
    pub step: Limit,
    /// Disrupted tasks of a team, unless it has a budget of its own: a number, or a share of its tasks rounded down.
    pub budget: Limit,
    /// A drain that finds no room for this long is halted.
    pub room_timeout_s: Seconds,
    /// A drain is halted when an evicted task does not run again within this.
    pub replacement_timeout_s: Seconds,
    /// Budgets of teams.
    pub teams: BTreeMap<String, TeamSettings>,
}

/// The section `[drain.teams.NAME]`.
#[derive(Debug, Clone, PartialEq, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TeamSettings {
    /// Disrupted tasks of the team.
    pub budget: Option<Limit>,
    /// Disrupted tasks of its classes, within the team's.
    pub classes: BTreeMap<String, Limit>,
}

/// A length of time in seconds, of at most a day.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(try_from = "f64")]
pub struct Seconds(#[schemars(range(min = 1.0, max = 86400.0))] f64);

const MIN_SECONDS: f64 = 1.0;
const MAX_SECONDS: f64 = 86_400.0;

/// The duration is below the minimum or above the maximum.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("must be from {MIN_SECONDS} to {MAX_SECONDS} seconds, not {0}")]
pub struct SecondsOutOfRange(f64);

impl TryFrom<f64> for Seconds {
    type Error = SecondsOutOfRange;

    fn try_from(seconds: f64) -> Result<Self, SecondsOutOfRange> {
        if (MIN_SECONDS..=MAX_SECONDS).contains(&seconds) {
            Ok(Seconds(seconds))
        } else {
            Err(SecondsOutOfRange(seconds))
        }
    }
}

impl Seconds {
    /// Converts to a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }
}

/// Longer than any successful boot: a machine that takes several times its usual boot time is replaced earlier.
const DEFAULT_CAPACITY_TIMEOUT: Seconds = Seconds(600.0);
const DEFAULT_REPLACEMENT_TIMEOUT: Seconds = Seconds(300.0);

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            enabled: false,
            step: Limit::Count(1),
            budget: Limit::Count(1),
            room_timeout_s: DEFAULT_CAPACITY_TIMEOUT,
            replacement_timeout_s: DEFAULT_REPLACEMENT_TIMEOUT,
            teams: BTreeMap::new(),
        }
    }
}
