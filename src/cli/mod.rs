//! The command line: subcommands, arguments and exit codes.

pub mod operate;
pub mod show;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A cluster scheduler: takes users' jobs, rents and returns cloud machines, runs tasks on workers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 the service could not run, 2 invalid settings, names or command line,\n\
    3 no such drain, 4 refused in the present state, 5 unavailable now (repeat the command), 6 with --wait: the drain was\n\
    halted or cancelled.\n\
    Logs go to standard error. The variable LOG_LEVEL sets the level: error, warn, info (default), debug or trace."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The configuration files of a controller.
#[derive(clap::Args)]
pub struct ConfigFiles {
    /// The settings file (TOML) that the platform provides.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' policy file; default: the built-in policy.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
    /// The operators' features file; default: deploy/features.toml if it exists, else all features are off.
    #[arg(long, value_name = "FILE")]
    pub features: Option<PathBuf>,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run a controller until the process is terminated.
    Serve(ConfigFiles),
    /// Check a settings file, and the policy and features files that are used with it, and report errors.
    Check(ConfigFiles),
    /// Keep new tasks off machines.
    Cordon(operate::CordonArgs),
    /// Empty machines step by step, within the teams' disruption budgets.
    Drain(operate::DrainArgs),
    /// Put machines back into service.
    Uncordon(operate::UncordonArgs),
    /// Show drains and cordons, cancel one, or resume a halted one.
    Drains(operate::DrainsArgs),
    /// Show, set or clear disruption budgets.
    Budget(operate::BudgetArgs),
}

/// Exit codes other than success (0) and failure (1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    InvalidInput = 2,
    NotFound = 3,
    Refused = 4,
    Unavailable = 5,
    NotFinished = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

#[cfg(test)]
mod tests;
