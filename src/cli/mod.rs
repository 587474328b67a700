//! The command line: what may be asked for, and the exit codes.

pub mod operate;
pub mod show;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A cluster scheduler: takes users' jobs, rents and returns cloud machines, runs tasks on workers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 the service could not run, 2 wrong settings, names or command line,\n\
    3 no such drain, 4 refused as things are, 5 nobody can decide now (repeat it), 6 the drain that was waited for was\n\
    halted or cancelled.\n\
    Logs go to standard error at the level of the variable LOG_LEVEL: error, warn, info (default), debug or trace."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The files that a controller goes by.
#[derive(clap::Args)]
pub struct ConfigFiles {
    /// The settings file (TOML) that the platform hands over.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' policy file; the built-in policy stands without one.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
    /// The operators' features file; deploy/features.toml if there is one, else everything is off.
    #[arg(long, value_name = "FILE")]
    pub features: Option<PathBuf>,
}

/// What the program can do.
#[derive(Subcommand)]
pub enum Command {
    /// Run a controller until it is killed.
    Serve(ConfigFiles),
    /// Check a settings file, and policy and features under it, and say what is wrong.
    Check(ConfigFiles),
    /// Keep new tasks off machines.
    Cordon(operate::CordonArgs),
    /// Empty machines step by step, within the teams' disruption budgets.
    Drain(operate::DrainArgs),
    /// Put machines back into service.
    Uncordon(operate::UncordonArgs),
    /// Show drains and cordons, call one off, or let a halted one go on.
    Drains(operate::DrainsArgs),
    /// Show, set or clear disruption budgets.
    Budget(operate::BudgetArgs),
}

/// Exit codes beside those of success and failure.
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
