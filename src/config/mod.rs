//! The settings file that the platform provides. It is read and validated completely before the service starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::domain::{ControllerName, Team, Zone};

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {message}")]
    Malformed { path: String, message: String },
    #[error("{path}: `{field}` {problem}")]
    Invalid {
        path: String,
        field: String,
        problem: String,
    },
}

#[derive(Debug, Clone)]
pub struct Config {
    pub name: ControllerName,
    pub zone: Zone,
    pub listen_addr: SocketAddr,
    pub peer_listen_addr: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud_addr: SocketAddr,
    pub state_addr: SocketAddr,
    pub zones: Vec<Zone>,
    pub teams: Vec<TeamLimits>,
    pub heartbeat_interval: Duration,
    pub worker_lease: Duration,
    pub cancellation_timeout: Duration,
    /// The limits of the state service that this process observes: see [`Config::apply_next_state_limits`].
    pub state_limits: StateLimits,
    /// The limits that the state service will apply from an unannounced time on.
    pub next_state_limits: Option<StateLimits>,
    /// The maximum size of a block's tasks together, in bytes. It may exceed the size of one value once a block may
    /// have several values.
    pub max_block_bytes: usize,
    pub cloud_rps: f64,
    pub list_lag: Duration,
    pub max_sockets: usize,
}

#[derive(Debug, Clone)]
pub struct Peer {
    pub name: ControllerName,
    pub zone: Zone,
    pub addr: SocketAddr,
}

/// The resources that a team is guaranteed, and the maximum that its tasks may use at any time, which is infinite for a
/// team without a limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimits {
    pub name: Team,
    pub guaranteed_cpus: f64,
    pub max_cpus: f64,
    pub guaranteed_gpus: f64,
    pub max_gpus: f64,
}

/// Converts a limit of the settings file, where 0 means no limit. Guest teams have neither a guarantee nor a limit;
/// when 0 was read as a limit of zero, all their jobs were rejected as unschedulable.
fn limit_or_infinity(setting: f64) -> f64 {
    if setting > 0.0 {
        setting
    } else {
        f64::INFINITY
    }
}

/// The limits of the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// The smaller value of each limit.
    pub fn min(&self, other: &StateLimits) -> StateLimits {
        StateLimits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_bytes: self.value_bytes.min(other.value_bytes),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

// The content of the file before validation. Required fields are not optional here, so that the error for a missing
// field names it.
#[derive(Deserialize)]
struct SettingsFile {
    node_name: String,
    domain: String,
    bind: String,
    back: String,
    #[serde(default)]
    members: Vec<FileMember>,
    external: FileExternal,
    params: FileParams,
}

#[derive(Deserialize)]
struct FileMember {
    node_name: String,
    domain: String,
    peer_addr: String,
}

#[derive(Deserialize)]
struct FileExternal {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct FileParams {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<FileTeam>,
    workers: FileWorkers,
    state: FileState,
    cloud: FileCloud,
    quota: FileQuota,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FileWorkers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct FileState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: i64,
    next: Option<FileNextState>,
}

/// The next limits. A limit that is not stated stays unchanged.
#[derive(Deserialize)]
struct FileNextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<i64>,
}

#[derive(Deserialize)]
struct FileCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileQuota {
    sockets: i64,
}

/// A transaction of this program changes up to this number of records: a block's placements with the records that they
/// complete, or a machine with its pending rental.
const MIN_TXN_OPS: i64 = 4;
/// The placements of a block have to fit in one value.
const MIN_VALUE_KB: f64 = 2.0;
const MAX_VALUE_KB: f64 = 65_536.0;

impl Config {
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: display_path.clone(),
            source,
        })?;
        Self::parse(&display_path, &text)
    }

    pub fn parse(path: &str, text: &str) -> Result<Self, ConfigError> {
        let file: SettingsFile = toml::from_str(text).map_err(|error| ConfigError::Malformed {
            path: path.to_owned(),
            message: one_line(&error.to_string()),
        })?;
        let validator = FieldValidator { path };
        let mut teams = Vec::new();
        for team in &file.params.teams {
            let field = |name: &str| format!("params.teams.{}.{name}", team.name);
            validator.identifier("params.teams.name", &team.name)?;
            if teams
                .iter()
                .any(|known: &TeamLimits| *known.name.0 == *team.name)
            {
                return Err(validator.invalid(&field("name"), "is defined twice"));
            }
            teams.push(TeamLimits {
                name: team.name.as_str().into(),
                guaranteed_cpus: validator.non_negative(&field("cpus"), team.cpus)?,
                max_cpus: limit_or_infinity(
                    validator.non_negative(&field("cpus_max"), team.cpus_max)?,
                ),
                guaranteed_gpus: validator.non_negative(&field("gpus"), team.gpus)?,
                max_gpus: limit_or_infinity(
                    validator.non_negative(&field("gpus_max"), team.gpus_max)?,
                ),
            });
            if team.cpus > team.cpus_max {
                return Err(validator.invalid(&field("cpus"), "must not exceed `cpus_max`"));
            }
            if team.gpus > team.gpus_max {
                return Err(validator.invalid(&field("gpus"), "must not exceed `gpus_max`"));
            }
        }
        let mut peers = Vec::new();
        for member in &file.members {
            validator.identifier("members.node_name", &member.node_name)?;
            if member.node_name == file.node_name
                || peers
                    .iter()
                    .any(|peer: &Peer| *peer.name.0 == *member.node_name)
            {
                return Err(validator.invalid(
                    "members.node_name",
                    &format!("lists controller `{}` twice", member.node_name),
                ));
            }
            peers.push(Peer {
                name: member.node_name.as_str().into(),
                zone: member.domain.as_str().into(),
                addr: validator.address("members.peer_addr", &member.peer_addr)?,
            });
        }
        let workers = &file.params.workers;
        let worker_lease = validator.duration("params.workers.lease_s", workers.lease_s)?;
        let cancellation_timeout =
            validator.duration("params.workers.cancel_s", workers.cancel_s)?;
        if cancellation_timeout <= worker_lease {
            return Err(
                validator.invalid("params.workers.cancel_s", "must be greater than `lease_s`")
            );
        }
        let state = &file.params.state;
        let state_limits = validator.state_limits("params.state", state)?;
        let next_state_limits = state
            .next
            .as_ref()
            .map(|next| {
                validator.state_limits("params.state.next", &next.with_defaults_from(state))
            })
            .transpose()?;
        if file.params.quota.sockets < 50 {
            return Err(validator.invalid("params.quota.sockets", "must be at least 50"));
        }
        let mut zones: Vec<Zone> = Vec::new();
        for zone in &file.params.zones {
            validator.identifier("params.zones", zone)?;
            zones.push(zone.as_str().into());
        }
        Ok(Config {
            name: validator.identifier("node_name", &file.node_name)?.into(),
            zone: validator.identifier("domain", &file.domain)?.into(),
            listen_addr: validator.address("bind", &file.bind)?,
            peer_listen_addr: validator.address("back", &file.back)?,
            peers,
            cloud_addr: validator.address("external.cloud", &file.external.cloud)?,
            state_addr: validator.address("external.state", &file.external.state)?,
            zones,
            teams,
            heartbeat_interval: validator.duration("params.workers.report_s", workers.report_s)?,
            worker_lease,
            cancellation_timeout,
            max_block_bytes: state_limits.value_bytes,
            state_limits,
            next_state_limits,
            cloud_rps: validator.rate("params.cloud.rps", file.params.cloud.rps)?,
            list_lag: validator
                .duration("params.cloud.list_lag_s", file.params.cloud.list_lag_s)?,
            max_sockets: file.params.quota.sockets.clamp(50, 1_000_000) as usize,
        })
    }

    pub fn team_limits(&self, name: &Team) -> Option<&TeamLimits> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// Applies the next limits of the state service in addition to the present ones.
    pub fn apply_next_state_limits(&mut self) {
        if let Some(next) = &self.next_state_limits {
            self.state_limits = self.state_limits.min(next);
        }
    }

    /// The number of controllers, including this one.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}

impl FileNextState {
    fn with_defaults_from(&self, present: &FileState) -> FileState {
        FileState {
            rps: self.rps.unwrap_or(present.rps),
            write_rps: self.write_rps.unwrap_or(present.write_rps),
            value_kb: self.value_kb.unwrap_or(present.value_kb),
            txn_ops: self.txn_ops.unwrap_or(present.txn_ops),
            next: None,
        }
    }
}

struct FieldValidator<'a> {
    path: &'a str,
}

impl FieldValidator<'_> {
    fn invalid(&self, field: &str, problem: &str) -> ConfigError {
        ConfigError::Invalid {
            path: self.path.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        }
    }

    fn identifier<'t>(&self, field: &str, value: &'t str) -> Result<&'t str, ConfigError> {
        if value.is_empty()
            || value.contains(char::is_whitespace)
            || value.contains('/')
            || value.len() > 100
        {
            return Err(self.invalid(
                field,
                "must be 1 to 100 bytes without whitespace or slashes",
            ));
        }
        Ok(value)
    }

    fn address(&self, field: &str, value: &str) -> Result<SocketAddr, ConfigError> {
        value.parse().map_err(|_| {
            self.invalid(
                field,
                &format!("must be an IP address and port, not `{value}`"),
            )
        })
    }

    fn non_negative(&self, field: &str, value: f64) -> Result<f64, ConfigError> {
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field, "must be a finite number of at least 0"))
        }
    }

    fn state_limits(&self, table: &str, state: &FileState) -> Result<StateLimits, ConfigError> {
        let field = |name: &str| format!("{table}.{name}");
        if state.txn_ops < MIN_TXN_OPS {
            let problem = format!("must be at least {MIN_TXN_OPS}");
            return Err(self.invalid(&field("txn_ops"), &problem));
        }
        if !(state.value_kb >= MIN_VALUE_KB && state.value_kb <= MAX_VALUE_KB) {
            let problem = format!("must be from {MIN_VALUE_KB} to {MAX_VALUE_KB}");
            return Err(self.invalid(&field("value_kb"), &problem));
        }
        Ok(StateLimits {
            rps: self.rate(&field("rps"), state.rps)?,
            write_rps: self.rate(&field("write_rps"), state.write_rps)?,
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_ops: state.txn_ops.clamp(1, 10_000) as usize,
        })
    }

    fn rate(&self, field: &str, value: f64) -> Result<f64, ConfigError> {
        if value.is_finite() && value >= 1.0 {
            Ok(value)
        } else {
            Err(self.invalid(field, "must be a finite number of at least 1"))
        }
    }

    fn duration(&self, field: &str, seconds: f64) -> Result<Duration, ConfigError> {
        if seconds.is_finite() && seconds > 0.0 && seconds <= 86_400.0 {
            Ok(Duration::from_secs_f64(seconds))
        } else {
            Err(self.invalid(field, "must be more than 0 and at most 86400 seconds"))
        }
    }
}

/// Reduces a TOML error, which contains an excerpt of several lines, to its position and message in one line.
fn one_line(message: &str) -> String {
    let mut lines = message
        .lines()
        .filter(|line| !line.contains('|') && !line.trim().is_empty());
    let position = lines.next().unwrap_or_default().to_owned();
    match lines.next_back() {
        Some(problem) => format!("{position}: {problem}"),
        None => position,
    }
}

#[cfg(test)]
pub mod tests;
