//! The operators' commands: turned into requests, asked, and their answers shown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use dappleshore_drain::operator::{DrainStatus, Problem, ProblemKind, Reply, Request, StateName};
use dappleshore_drain::{DrainId, Limit, Purpose, Scope};

use super::{Exit, show};
use crate::client::OperatorClient;

/// How a drain that is waited for is looked at.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// While a drain is waited for, nobody may be able to answer for so long.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(60);

/// Where to ask, and how to answer.
#[derive(Args, Clone)]
pub struct CommonArgs {
    /// A controller's address for other controllers (`back` in its settings); any of them will do, several are better.
    #[arg(
        long = "controller",
        value_name = "ADDRESS",
        env = "DAPPLESHORE_CONTROLLERS",
        value_delimiter = ',',
        required = true
    )]
    controllers: Vec<SocketAddr>,
    /// Give up after so many seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    within: u64,
    /// Answer with JSON.
    #[arg(long)]
    json: bool,
}

/// The machines that are meant.
#[derive(Args, Clone)]
#[group(required = true, multiple = false)]
pub struct ScopeArgs {
    /// These machines.
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
    /// The cordon's name: repeating a request under one name never acts twice. Made up if none is given.
    #[arg(long)]
    id: Option<DrainId>,
    /// Come back when it is done.
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
    /// The drain's name: repeating a request under one name never acts twice. Made up if none is given.
    #[arg(long)]
    id: Option<DrainId>,
    /// Machines to empty at a time, such as 2 or 10%; else as the features file says.
    #[arg(long)]
    step: Option<Limit>,
    /// Return the machines to the cloud once they are empty.
    #[arg(long = "return")]
    return_machines: bool,
    /// Come back when it is done, halted or cancelled.
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
    /// Only this one.
    id: Option<DrainId>,
    /// Call this one off: its machines go back into service.
    #[arg(long, value_name = "ID", conflicts_with_all = ["id", "resume"])]
    cancel: Option<DrainId>,
    /// Let this one go on, which was halted.
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

/// What may be done with budgets.
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
    /// Go back to the budget of the features file.
    Clear {
        team: String,
        /// Only that of this class.
        #[arg(long)]
        class: Option<String>,
        #[command(flatten)]
        common: CommonArgs,
    },
}

/// One request, and what is done with its answer.
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
    /// Asks, shows the answer, and says how it went.
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

/// Looks at a drain until it is over, halted or cancelled. For a while nobody may be able to answer.
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
