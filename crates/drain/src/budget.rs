//! Disruption budgets: how many tasks of a team may be disrupted at a time.
//!
//! Limits are read from settings, policy and operators' requests, and are part of stored budgets. The planner and the
//! status reports use [`Budgets`], where budgets that operators set by request take precedence over the settings.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use dappleshore_domain::Team;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A maximum, as a number or as a share of a total.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(
    with = "String",
    description = "At most so many, as a number or as a share of all there are."
)]
pub enum Limit {
    /// A number.
    Count(u32),
    /// A share of the total, rounded down, also to 0.
    Share {
        /// Hundredths of a percent, at most 10,000.
        basis_points: u32,
    },
}

/// One percent, in basis points.
const BASIS_POINTS_PER_PERCENT: u32 = 100;
const TOTAL_BASIS_POINTS: u32 = 100 * BASIS_POINTS_PER_PERCENT;

/// The text is not a valid limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no limit: a number such as 3, or a share from 0% to 100% such as 12.5%")]
pub struct MalformedLimit(String);

impl Limit {
    /// The limit as a number, for this total.
    pub fn resolve(self, total: u64) -> u64 {
        match self {
            Limit::Count(count) => u64::from(count),
            Limit::Share { basis_points } => {
                total.saturating_mul(u64::from(basis_points)) / u64::from(TOTAL_BASIS_POINTS)
            }
        }
    }
}

impl FromStr for Limit {
    type Err = MalformedLimit;

    fn from_str(text: &str) -> Result<Self, MalformedLimit> {
        let malformed = || MalformedLimit(text.to_owned());
        let Some(percent) = text.strip_suffix('%') else {
            return text.parse().map(Limit::Count).map_err(|_| malformed());
        };
        let percent: f64 = percent.parse().map_err(|_| malformed())?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(malformed());
        }
        // At most 10,000 by the check above.
        let basis_points = (percent * f64::from(BASIS_POINTS_PER_PERCENT)).round() as u32;
        Ok(Limit::Share { basis_points })
    }
}

impl TryFrom<String> for Limit {
    type Error = MalformedLimit;

    fn try_from(text: String) -> Result<Self, MalformedLimit> {
        text.parse()
    }
}

impl From<Limit> for String {
    fn from(limit: Limit) -> String {
        limit.to_string()
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Limit::Count(count) => write!(f, "{count}"),
            Limit::Share { basis_points } => {
                write!(
                    f,
                    "{}%",
                    f64::from(*basis_points) / f64::from(BASIS_POINTS_PER_PERCENT)
                )
            }
        }
    }
}

/// A team's budget as set by operators.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TeamBudget {
    /// The limit for all tasks of the team. `None`: the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Limits for the tasks of single classes, which apply in addition to the team's.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub classes: BTreeMap<String, Limit>,
}

impl TeamBudget {
    /// Whether it contains no limit.
    pub fn is_empty(&self) -> bool {
        self.limit.is_none() && self.classes.is_empty()
    }
}

/// The budgets of all teams. Budgets that operators set by request take precedence over the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budgets {
    /// The limit of teams without their own limit.
    pub default: Limit,
    /// The budgets of the settings.
    pub settings: BTreeMap<Team, TeamBudget>,
    /// The budgets that operators set by request.
    pub requested: BTreeMap<Team, TeamBudget>,
}

impl Budgets {
    /// The limit for all tasks of a team.
    pub fn team_limit(&self, team: &Team) -> Limit {
        let limit = |budgets: &BTreeMap<Team, TeamBudget>| {
            budgets.get(team).and_then(|budget| budget.limit)
        };
        limit(&self.requested)
            .or_else(|| limit(&self.settings))
            .unwrap_or(self.default)
    }

    /// The limit for the team's tasks of a class, if the class has its own limit.
    pub fn class_limit(&self, team: &Team, class: &str) -> Option<Limit> {
        let limit = |budgets: &BTreeMap<Team, TeamBudget>| {
            let budget = budgets.get(team)?;
            budget.classes.get(class).copied()
        };
        limit(&self.requested).or_else(|| limit(&self.settings))
    }
}
