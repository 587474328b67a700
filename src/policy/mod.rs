//! The policy: values that operators may tune, in a file of small expressions that is checked at startup.
//!
//! The built-in policy has the same format, so that all policies are read in one way. No policy can violate a safety
//! rule: every value has bounds, and those that the rules depend on have bounds that follow from the settings.

mod expression;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use toml::de::{DeTable, DeValue};

use crate::config::{Config, TeamLimits};
use crate::domain::Team;
use expression::{Expression, ExpressionValue};

/// The text of the built-in policy.
pub const BUILT_IN: &str = include_str!("../../examples/policy.toml");

/// The tunable values, always within the bounds that the safety rules need.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Interval between the rounds of the scale-out rule.
    pub scaling_interval: Duration,
    /// Factor for the margin of the scale-out rule.
    pub headroom: f64,
    /// How long a controller may act on a block lease without a successful read from the state service.
    pub block_lease_duration: Duration,
    /// Number of blocks for each controller to begin with; more are opened as these fill up.
    pub blocks_per_controller: usize,
    /// Time without messages from a controller after which its blocks are leased to others.
    pub controller_timeout: Duration,
    /// Time without heartbeats after which a machine is given up if its worker did not answer a probe either.
    pub worker_timeout_after_failed_probe: Duration,
    /// Time without heartbeats after which a machine is given up without a failed probe, for example if its worker
    /// can't be probed.
    pub worker_timeout: Duration,
    /// A machine is returned only after it has been idle for this many times its boot time.
    pub min_idle_boot_times: f64,
    /// Minimum time for which a rented machine is kept, since a terminated machine costs a minute anyway.
    pub min_rental: Duration,
    /// How long capacity that was found unavailable is believed to be unavailable.
    pub unavailable_capacity_ttl: Duration,
    /// Price limit for work of teams without a guarantee: it gets no machines, and none are rented for it, on which it
    /// costs more than this many times as much as on the cheapest.
    pub best_effort_max_price_ratio: f64,
    /// The price limit ends for a job that has waited this long while less than half of it is done or running.
    pub best_effort_price_limit_duration: Duration,
    /// Share of each team when teams are served in turn, as a multiple of its guarantee.
    pub team_shares: BTreeMap<Team, f64>,
    /// Whether tasks are preempted to make room for tasks of higher priority.
    pub preempt_for_priority: bool,
    /// Whether tasks are preempted to give a team its guarantee.
    pub preempt_for_guarantee: bool,
}

/// Why a policy can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    /// The file has an error at this line and column.
    #[error("{path}:{line}:{column}: {problem}")]
    Invalid {
        path: String,
        line: usize,
        column: usize,
        problem: String,
    },
}

/// Margin between the end of a worker's last lease and the time by which a cancelled task must have ended.
const CANCELLATION_MARGIN: Duration = Duration::from_secs(4);

/// An expression and its position in the file.
struct Entry {
    expression: Expression,
    path: String,
    line: usize,
    column: usize,
}

impl Entry {
    fn error_at(&self, column: usize, problem: String) -> PolicyError {
        PolicyError::Invalid {
            path: self.path.clone(),
            line: self.line,
            column: self.column + column,
            problem,
        }
    }
}

impl Policy {
    /// Returns the built-in policy.
    pub fn built_in(config: &Config) -> Self {
        match Self::parse("built-in policy", "", config) {
            Ok(policy) => policy,
            // The tests evaluate the built-in policy for extreme settings; each bound is wider than its value.
            Err(problem) => unreachable!("{problem}"),
        }
    }

    /// Reads and checks a policy file.
    pub fn load(path: &Path, config: &Config) -> Result<Self, PolicyError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| PolicyError::Unreadable {
            path: displayed_path.clone(),
            source,
        })?;
        Self::parse(&displayed_path, &text, config)
    }

    /// Returns the longest safe duration of a block lease. An isolated holder renews the leases of its workers until
    /// its block lease expires, and a worker keeps its tasks for one more lease. Both must be over when a cancelled
    /// task has to have ended.
    pub fn max_block_lease_duration(config: &Config) -> Duration {
        let remaining = config
            .cancellation_timeout
            .saturating_sub(config.worker_lease);
        remaining
            .saturating_sub(CANCELLATION_MARGIN)
            .max(remaining / 2)
    }

    /// Parses and evaluates the text of a policy file. `path` is only used in errors.
    pub fn parse(path: &str, text: &str, config: &Config) -> Result<Self, PolicyError> {
        let mut entries = parse_entries("built-in policy", BUILT_IN, None)?;
        let known_settings: Vec<String> = entries.keys().cloned().collect();
        entries.extend(self::parse_entries(path, text, Some(&known_settings))?);
        let values = PolicyValues {
            entries,
            variables: variables(config),
        };
        let report_s = config.heartbeat_interval.as_secs_f64();
        let lease_s = config.worker_lease.as_secs_f64();
        let max_block_lease_s = Self::max_block_lease_duration(config).as_secs_f64();
        let min_block_lease_s = report_s.min(max_block_lease_s);
        let worker_timeout_bounds = (1.5 * report_s, 10.0 * lease_s.max(report_s));
        let mut team_shares = BTreeMap::new();
        for team in &config.teams {
            team_shares.insert(
                team.name.clone(),
                values.number_for("team_share", (0.01, 100.0), Some(team))?,
            );
        }
        Ok(Policy {
            scaling_interval: values.seconds("round_s", (0.5, 60.0))?,
            headroom: values.number("headroom", (1.0, 4.0))?,
            block_lease_duration: values
                .seconds("grant_life_s", (min_block_lease_s, max_block_lease_s))?,
            blocks_per_controller: values.number("blocks_per_controller", (1.0, 4.0))? as usize,
            controller_timeout: values.seconds("suspect_after_s", (1.0, 30.0))?,
            worker_timeout_after_failed_probe: values
                .seconds("silent_after_s", worker_timeout_bounds)?,
            worker_timeout: values.seconds("unheard_after_s", worker_timeout_bounds)?,
            min_idle_boot_times: values.number("idle_boots", (0.0, 100.0))?,
            min_rental: values.seconds("least_rental_s", (0.0, 3600.0))?,
            unavailable_capacity_ttl: values.seconds("stockout_memory_s", (1.0, 600.0))?,
            best_effort_max_price_ratio: values.number("opportunistic_price", (1.0, 1000.0))?,
            best_effort_price_limit_duration: values
                .seconds("opportunistic_patience_s", (0.0, 86400.0))?,
            team_shares,
            preempt_for_priority: values.boolean("preempt_for_priority")?,
            preempt_for_guarantee: values.boolean("preempt_for_guarantee")?,
        })
    }
}

fn variables(config: &Config) -> Vec<(&'static str, f64)> {
    let as_number = |number: usize| number as f64;
    vec![
        ("report_s", config.heartbeat_interval.as_secs_f64()),
        ("lease_s", config.worker_lease.as_secs_f64()),
        ("cancel_s", config.cancellation_timeout.as_secs_f64()),
        ("list_lag_s", config.list_lag.as_secs_f64()),
        ("state_rps", config.state_limits.rps),
        ("state_write_rps", config.state_limits.write_rps),
        ("cloud_rps", config.cloud_rps),
        ("controllers", as_number(config.controller_count())),
        ("zones", as_number(config.zones.len())),
        (
            "longest_grant_s",
            Policy::max_block_lease_duration(config).as_secs_f64(),
        ),
    ]
}

fn team_variables(team: &TeamLimits) -> Vec<(&'static str, f64)> {
    vec![
        ("cpus", team.guaranteed_cpus),
        ("cpus_max", team.max_cpus),
        ("gpus", team.guaranteed_gpus),
        ("gpus_max", team.max_gpus),
    ]
}

/// Returns the line and the column, both from 1, of a byte offset in a text.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (
        before.matches('\n').count() + 1,
        before[line_start..].chars().count() + 1,
    )
}

/// Parses the names and expressions of a policy file without evaluating them. `known_settings`: the names that are
/// allowed; None: all.
fn parse_entries(
    path: &str,
    text: &str,
    known_settings: Option<&[String]>,
) -> Result<BTreeMap<String, Entry>, PolicyError> {
    let error_at = |offset: usize, problem: String| {
        let (line, column) = line_and_column(text, offset);
        PolicyError::Invalid {
            path: path.to_owned(),
            line,
            column,
            problem,
        }
    };
    let table = DeTable::parse(text).map_err(|error| {
        error_at(
            error.span().map_or(0, |span| span.start),
            error.message().to_owned(),
        )
    })?;
    let mut entries = BTreeMap::new();
    for (name, value) in table.into_inner() {
        let key = name.get_ref().to_string();
        if let Some(known_settings) = known_settings.filter(|settings| !settings.contains(&key)) {
            let problem = format!(
                "unknown setting `{key}`; known are {}",
                known_settings.join(", ")
            );
            return Err(error_at(name.span().start, problem));
        }
        let (source, quote_width) = match value.get_ref() {
            DeValue::String(text) => (text.to_string(), 1),
            DeValue::Boolean(boolean) => (boolean.to_string(), 0),
            DeValue::Integer(number) => (format!("double({})", number.as_str()), 0),
            DeValue::Float(number) => (number.as_str().to_owned(), 0),
            _ => {
                return Err(error_at(
                    value.span().start,
                    format!("`{key}` must be an expression"),
                ));
            }
        };
        let (line, column) = line_and_column(text, value.span().start + quote_width);
        let mut entry = Entry {
            expression: Expression::default(),
            path: path.to_owned(),
            line,
            column: column.saturating_sub(1),
        };
        entry.expression = Expression::parse(&source)
            .map_err(|error| entry.error_at(error.column, format!("`{key}`: {}", error.problem)))?;
        entries.insert(key, entry);
    }
    Ok(entries)
}

/// All expressions, and the variables that they may use.
struct PolicyValues {
    entries: BTreeMap<String, Entry>,
    variables: Vec<(&'static str, f64)>,
}

impl PolicyValues {
    fn evaluate(
        &self,
        name: &str,
        team: Option<&TeamLimits>,
    ) -> Result<(&Entry, ExpressionValue), PolicyError> {
        // Every name is in the built-in policy, on which all others are based.
        let entry = &self.entries[name];
        let mut numbers = self.variables.clone();
        let mut texts = Vec::new();
        if let Some(team) = team {
            numbers.extend(team_variables(team));
            texts.push(("team", &*team.name.0));
        }
        let value = entry
            .expression
            .evaluate(&numbers, &texts)
            .map_err(|error| {
                entry.error_at(error.column, format!("`{name}`: {}", error.problem))
            })?;
        Ok((entry, value))
    }

    fn number(&self, name: &str, bounds: (f64, f64)) -> Result<f64, PolicyError> {
        self.number_for(name, bounds, None)
    }

    fn number_for(
        &self,
        name: &str,
        (min, max): (f64, f64),
        team: Option<&TeamLimits>,
    ) -> Result<f64, PolicyError> {
        let (entry, value) = self.evaluate(name, team)?;
        let team_suffix = team
            .map(|team| format!(" for team {}", team.name))
            .unwrap_or_default();
        match value {
            ExpressionValue::Number(number) if number >= min && number <= max => Ok(number),
            ExpressionValue::Number(number) => {
                let problem =
                    format!("`{name}` is {number}{team_suffix}; allowed is {min} to {max}");
                Err(entry.error_at(1, problem))
            }
            other => Err(entry.error_at(
                1,
                format!(
                    "`{name}` must be a number, not {}{team_suffix}",
                    other.type_description()
                ),
            )),
        }
    }

    fn seconds(&self, name: &str, bounds: (f64, f64)) -> Result<Duration, PolicyError> {
        self.number(name, bounds).map(Duration::from_secs_f64)
    }

    fn boolean(&self, name: &str) -> Result<bool, PolicyError> {
        match self.evaluate(name, None)? {
            (_, ExpressionValue::Boolean(value)) => Ok(value),
            (entry, other) => Err(entry.error_at(
                1,
                format!(
                    "`{name}` must be true or false, not {}",
                    other.type_description()
                ),
            )),
        }
    }
}

#[cfg(test)]
mod tests;
