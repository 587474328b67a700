//! The messages between operators and controllers.
//!
//! The command line sends a [`Request`] to the leader and prints its [`Reply`]. The statuses are also the output of
//! `--json`; their schemas are part of the interface.

use dappleshore_domain::{ControllerName, Team};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::budget::Limit;
use crate::fleet::NoCapacity;
use crate::id::DrainId;
use crate::planner::{DrainProgress, DrainState};
use crate::record::{DrainRecord, Purpose};
use crate::scope::Scope;

/// An operator's request. Requests are idempotent and can be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Cordons or drains machines.
    Start {
        /// The id of the drain or cordon.
        id: DrainId,
        /// The machines.
        scope: Scope,
        /// Whether the machines are cordoned or drained.
        purpose: Purpose,
        /// Whether the machines are returned to the cloud once they are empty.
        return_machines: bool,
        /// Maximum number of machines that are emptied at a time. `None`: the value of the settings.
        step: Option<Limit>,
    },
    /// Puts machines back into service.
    Uncordon {
        /// The machines.
        scope: Scope,
    },
    /// Cancels a drain or a cordon.
    Cancel {
        /// Its id.
        id: DrainId,
    },
    /// Resumes a halted drain.
    Resume {
        /// Its id.
        id: DrainId,
    },
    /// Lists all drains and cordons, or one.
    List {
        /// Its id. `None`: all.
        id: Option<DrainId>,
    },
    /// Lists the budgets of all teams.
    Budgets,
    /// Sets a team's budget.
    SetBudget {
        /// The team.
        team: Team,
        /// The class that the budget is for. `None`: it is for all tasks of the team.
        class: Option<String>,
        /// The budget.
        limit: Limit,
    },
    /// Removes a budget that was set by request.
    ClearBudget {
        /// The team.
        team: Team,
        /// The class that the budget is for. `None`: it is for all tasks of the team.
        class: Option<String>,
    },
}

impl Request {
    /// Whether the request changes nothing.
    pub fn is_read_only(&self) -> bool {
        matches!(self, Request::List { .. } | Request::Budgets)
    }
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The requested drains and cordons.
    Drains(Vec<DrainStatus>),
    /// The budgets of all teams.
    Budgets(Vec<BudgetStatus>),
    /// The records that no longer keep the machines out of service.
    Uncordoned {
        /// Their ids.
        records: Vec<DrainId>,
    },
    /// Another controller is the leader.
    #[serde(rename = "Elsewhere")]
    NotLeader {
        /// Its name.
        leader: ControllerName,
        /// Its address for operators' requests.
        addr: String,
    },
    /// The request was not carried out.
    Problem(Problem),
}

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema, thiserror::Error)]
#[error("{message}")]
pub struct Problem {
    pub kind: ProblemKind,
    /// One line for people.
    pub message: String,
}

/// What kind of problem it is; each has an exit code of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request makes no sense.
    Invalid,
    /// There is no such drain.
    NotFound,
    /// It can't be done as things are.
    Refused,
    /// Nobody can decide just now: it may be repeated.
    Unavailable,
}

impl Problem {
    /// A problem of this kind.
    pub fn new(kind: ProblemKind, message: impl Into<String>) -> Self {
        Problem {
            kind,
            message: message.into(),
        }
    }
}

/// A drain or a cordon, as it is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DrainStatus {
    pub id: String,
    /// Such as `zone a`.
    pub scope: String,
    /// `cordon` or `drain`.
    pub purpose: String,
    pub state: StateName,
    /// What it waits for, or why it is halted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// The team whose budget it waits for.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub waiting_for: Option<String>,
    pub return_machines: bool,
    pub machines: usize,
    /// Machines without tasks.
    pub empty: usize,
    pub tasks_left: usize,
    /// Evicted tasks whose replacement does not run yet.
    pub outstanding: usize,
    pub requested_ms: u64,
}

/// The state of a drain by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StateName {
    Requested,
    WaitingForBudget,
    Replacing,
    Evicting,
    Empty,
    Halted,
    Cancelled,
    Done,
}

impl StateName {
    /// The name in JSON and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StateName::Requested => "requested",
            StateName::WaitingForBudget => "waiting_for_budget",
            StateName::Replacing => "replacing",
            StateName::Evicting => "evicting",
            StateName::Empty => "empty",
            StateName::Halted => "halted",
            StateName::Cancelled => "cancelled",
            StateName::Done => "done",
        }
    }

    /// Whether only an operator's request can change the state.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            StateName::Halted | StateName::Cancelled | StateName::Done
        )
    }
}

impl DrainState {
    /// Its name.
    pub fn name(&self) -> StateName {
        match self {
            DrainState::Requested => StateName::Requested,
            DrainState::WaitingForBudget(_) => StateName::WaitingForBudget,
            DrainState::Replacing { .. } => StateName::Replacing,
            DrainState::Evicting => StateName::Evicting,
            DrainState::Empty => StateName::Empty,
            DrainState::Halted(_) => StateName::Halted,
            DrainState::Cancelled => StateName::Cancelled,
            DrainState::Done => StateName::Done,
        }
    }

    /// A description of the cause of waiting or halting, if there is one.
    pub fn reason(&self) -> Option<String> {
        match self {
            DrainState::WaitingForBudget(exceeded) => {
                let class = exceeded.class.as_ref();
                let class = class.map_or(String::new(), |class| format!(", class {class}"));
                Some(format!(
                    "team {}{class}: {} disrupted, {} more to be evicted, {} allowed",
                    exceeded.team, exceeded.disrupted, exceeded.additional, exceeded.allowed
                ))
            }
            DrainState::Replacing {
                task,
                reason: NoCapacity::NotYet,
            } => Some(format!("no machine has room for {task} yet")),
            DrainState::Replacing {
                task,
                reason: NoCapacity::NoAllowedPlacement,
            } => Some(format!("all places where {task} may go are being drained")),
            DrainState::Halted(reason) => Some(reason.to_string()),
            _ => None,
        }
    }
}

impl DrainStatus {
    /// Creates the status of a record. `progress` is `None` if the leader has not made a pass over the record yet.
    pub fn new(id: &DrainId, record: &DrainRecord, progress: Option<&DrainProgress>) -> Self {
        let unknown = DrainProgress {
            state: DrainState::Requested,
            machines: 0,
            empty: 0,
            tasks_left: 0,
            outstanding: 0,
        };
        let progress = progress.unwrap_or(&unknown);
        let waiting_for = match &progress.state {
            DrainState::WaitingForBudget(exceeded) => Some(exceeded.team.to_string()),
            _ => None,
        };
        let purpose = match record.purpose {
            Purpose::Cordon => "cordon",
            Purpose::Drain => "drain",
        };
        DrainStatus {
            id: id.to_string(),
            scope: record.scope.to_string(),
            purpose: purpose.to_owned(),
            state: progress.state.name(),
            reason: progress.state.reason(),
            waiting_for,
            return_machines: record.return_machines,
            machines: progress.machines,
            empty: progress.empty,
            tasks_left: progress.tasks_left,
            outstanding: progress.outstanding,
            requested_ms: record.requested_ms,
        }
    }
}

/// A team's budget, as it is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BudgetStatus {
    pub team: String,
    /// None: all tasks of the team.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub class: Option<String>,
    pub limit: Limit,
    /// `request`, `settings` or `default`.
    pub source: String,
    /// What the limit comes to now.
    pub allowed: u64,
    pub disrupted: u64,
    pub tasks: u64,
}
