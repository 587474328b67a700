//! The operators' commands: converts them to requests, sends the requests, and prints the replies.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use dappleshore_drain::operator::{DrainStatus, Problem, ProblemKind, Reply, Request, StateName};
use dappleshore_drain::{DrainId, Limit, Purpose, Scope};

use super::{Exit, show};
use crate::client::OperatorClient;

/// The interval at which `--wait` polls a drain.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// `--wait` ends with an error when no controller has replied for this long.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(60);

/// Arguments that all operators' commands have: the controllers, the timeout and the output format.
#[derive(Args, Clone)]
pub struct CommonArgs {
    /// The address of a controller for other controllers (`back` in its settings). Any controller can be named; several
    /// addresses are tried in turn.
    #[arg(
        long = "controller",
        value_name = "ADDRESS",
        env = "DAPPLESHORE_CONTROLLERS",
        value_delimiter = ',',
        required = true
    )]
    controllers: Vec<SocketAddr>,
    /// Give up after this many seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    within: u64,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

/// The machines that a command applies to.
#[derive(Args, Clone)]
#[group(required = true, multiple = false)]
pub struct ScopeArgs {
    /// The machines with these names.
    #[arg(long = "machine", value_name = "NAME", value_delimiter = ',')]
    machines: Vec<String>,
    /// All machines of a block.
    #[arg(long, value_name = "NAME")]
    block: Option<String>,
    /// All machines of a type.
    #[arg(long = "type", value_name = "NAME")]
    type_name: Option<String>,
    /// All machines of a zone.
    #[arg(long, value_name = "NAME")]
    zone: Option<String>,
}

impl ScopeArgs {
    fn scope(&self) -> Scope {
        let name = |name: &Option<String>| name.as_deref().map(str::to_owned);
        if let Some(block) = name(&self.block) {
            return Scope::Block(block.as_str().into());
        }
        if let Some(type_name) = name(&self.type_name) {
            return Scope::Type(type_name.as_str().into());
        }
        if let Some(zone) = name(&self.zone) {
            return Scope::Zone(zone.as_str().into());
        }
        let machines: BTreeSet<_> = self.machines.iter().map(|m| m.as_str().into()).collect();
        Scope::Machines(machines)
    }
}

/// Arguments of `cordon`.
#[derive(Args)]
pub struct CordonArgs {
    #[command(flatten)]
    scope: ScopeArgs,
    /// The cordon's id: a repeated request with the same id is carried out once. Generated if omitted.
    #[arg(long)]
    id: Option<DrainId>,
    /// Wait until it is done.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    common: CommonArgs,
}

/// Arguments of `drain`.
#[derive(Args)]
pub struct DrainArgs {
    #[command(flatten)]
    scope: ScopeArgs,
    /// The drain's id: a repeated request with the same id is carried out once. Generated if omitted.
    #[arg(long)]
    id: Option<DrainId>,
    /// Machines to empty at a time, such as 2 or 10%; default: the step of the features file.
    #[arg(long)]
    step: Option<Limit>,
    /// Return the machines to the cloud once they are empty.
    #[arg(long = "return")]
    return_machines: bool,
    /// Wait until it is done, halted or cancelled.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    common: CommonArgs,
}

/// Arguments of `uncordon`.
#[derive(Args)]
pub struct UncordonArgs {
    #[command(flatten)]
    scope: ScopeArgs,
    #[command(flatten)]
    common: CommonArgs,
}

/// Arguments of `drains`.
#[derive(Args)]
pub struct DrainsArgs {
    /// Show only this one.
    id: Option<DrainId>,
    /// Cancel this one: its machines go back into service.
    #[arg(long, value_name = "ID", conflicts_with_all = ["id", "resume"])]
    cancel: Option<DrainId>,
    /// Resume this one, which is halted.
    #[arg(long, value_name = "ID", conflicts_with = "id")]
    resume: Option<DrainId>,
    #[command(flatten)]
    common: CommonArgs,
}

/// Arguments of `budget`.
#[derive(Args)]
pub struct BudgetArgs {
    #[command(subcommand)]
    command: BudgetCommand,
}

/// The subcommands of `budget`.
#[derive(Subcommand)]
pub enum BudgetCommand {
    /// Show the budgets of all teams.
    Show {
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Set how many tasks of a team may be disrupted at a time.
    Set {
        team: String,
        /// A number such as 3, or a share of the team's tasks such as 10%, rounded down.
        limit: Limit,
        /// Only the team's tasks of this class, within the team's budget.
        #[arg(long)]
        class: Option<String>,
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Remove a budget that was set by request, so that the features file applies again.
    Clear {
        team: String,
        /// Only the budget of this class.
        #[arg(long)]
        class: Option<String>,
        #[command(flatten)]
        common: CommonArgs,
    },
}

/// A request, and how to handle its reply.
pub struct Operation {
    request: Request,
    common: CommonArgs,
    wait: bool,
}

fn id_or_generated(id: Option<DrainId>, prefix: &str) -> Result<DrainId, String> {
    match id {
        Some(id) => Ok(id),
        None => format!("{prefix}-{:08x}", rand::random::<u32>())
            .parse()
            .map_err(|error: dappleshore_drain::id::MalformedId| error.to_string()),
    }
}

impl CordonArgs {
    /// The request to cordon.
    pub fn operation(self) -> Result<Operation, String> {
        let request = Request::Start {
            id: id_or_generated(self.id, "cordon")?,
            scope: self.scope.scope(),
            purpose: Purpose::Cordon,
            return_machines: false,
            step: None,
        };
        Ok(Operation {
            request,
            common: self.common,
            wait: self.wait,
        })
    }
}

impl DrainArgs {
    /// The request to drain.
    pub fn operation(self) -> Result<Operation, String> {
        let request = Request::Start {
            id: id_or_generated(self.id, "drain")?,
            scope: self.scope.scope(),
            purpose: Purpose::Drain,
            return_machines: self.return_machines,
            step: self.step,
        };
        Ok(Operation {
            request,
            common: self.common,
            wait: self.wait,
        })
    }
}

impl UncordonArgs {
    /// The request to uncordon.
    pub fn operation(self) -> Operation {
        Operation {
            request: Request::Uncordon {
                scope: self.scope.scope(),
            },
            common: self.common,
            wait: false,
        }
    }
}

impl DrainsArgs {
    /// The request to show, cancel or resume.
    pub fn operation(self) -> Operation {
        let request = match (self.cancel, self.resume) {
            (Some(id), _) => Request::Cancel { id },
            (None, Some(id)) => Request::Resume { id },
            (None, None) => Request::List { id: self.id },
        };
        Operation {
            request,
            common: self.common,
            wait: false,
        }
    }
}

impl BudgetArgs {
    /// The request about budgets.
    pub fn operation(self) -> Operation {
        let (request, common) = match self.command {
            BudgetCommand::Show { common } => (Request::Budgets, common),
            BudgetCommand::Set {
                team,
                limit,
                class,
                common,
            } => {
                let team = team.as_str().into();
                (Request::SetBudget { team, class, limit }, common)
            }
            BudgetCommand::Clear {
                team,
                class,
                common,
            } => {
                let team = team.as_str().into();
                (Request::ClearBudget { team, class }, common)
            }
        };
        Operation {
            request,
            common,
            wait: false,
        }
    }
}

impl Operation {
    /// Sends the request, prints the reply, and returns the exit code.
    pub async fn run(self) -> ExitCode {
        let within = Duration::from_secs(self.common.within);
        let client = OperatorClient::new(self.common.controllers.clone(), within);
        let outcome = match client.send(&self.request).await {
            Ok(Reply::Drains(drains)) if self.wait => wait_until_final(&client, drains).await,
            outcome => outcome,
        };
        match outcome {
            Ok(reply) => {
                show::print_reply(&reply, self.common.json);
                self.exit_code(&reply)
            }
            Err(problem) => {
                show::print_problem(&problem, self.common.json);
                exit_for(problem.kind).into()
            }
        }
    }

    fn exit_code(&self, reply: &Reply) -> ExitCode {
        let is_unfinished = |drain: &DrainStatus| drain.state != StateName::Done;
        match reply {
            Reply::Drains(drains) if self.wait && drains.iter().any(is_unfinished) => {
                Exit::NotFinished.into()
            }
            _ => ExitCode::SUCCESS,
        }
    }
}

/// The exit code for a problem.
pub fn exit_for(kind: ProblemKind) -> Exit {
    match kind {
        ProblemKind::Invalid => Exit::InvalidInput,
        ProblemKind::NotFound => Exit::NotFound,
        ProblemKind::Refused => Exit::Refused,
        ProblemKind::Unavailable => Exit::Unavailable,
    }
}

/// Polls a drain until it is done, halted or cancelled. Controllers may be unavailable for up to [`MAX_UNAVAILABLE_TIME`].
async fn wait_until_final(
    client: &OperatorClient,
    drains: Vec<DrainStatus>,
) -> Result<Reply, Problem> {
    let mut drains = drains;
    let Some(id) = drains.first().and_then(|drain| drain.id.parse().ok()) else {
        return Ok(Reply::Drains(drains));
    };
    let request = Request::List { id: Some(id) };
    let mut last_reply_at = Instant::now();
    while drains.iter().any(|drain| !drain.state.is_final()) {
        tokio::time::sleep(POLL_INTERVAL).await;
        match client.send(&request).await {
            Ok(Reply::Drains(statuses)) => {
                last_reply_at = Instant::now();
                drains = statuses;
            }
            Ok(_) => {}
            Err(problem) if problem.kind != ProblemKind::Unavailable => return Err(problem),
            Err(problem) if last_reply_at.elapsed() > MAX_UNAVAILABLE_TIME => return Err(problem),
            Err(_) => {}
        }
    }
    Ok(Reply::Drains(drains))
}
