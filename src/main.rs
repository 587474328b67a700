use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use dappleshore::config::Config;
use dappleshore::policy::Policy;
use dappleshore::service;
use tracing::{Level, error, warn};

/// A cluster scheduler: takes users' jobs, rents and returns cloud machines, runs tasks on workers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 the service could not run, 2 wrong settings or command line.\n\
    Logs go to standard error at the level of the variable LOG_LEVEL: error, warn, info (default), debug or trace."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve {
        /// The settings file (TOML) that the platform hands over.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy file; the built-in policy stands without one.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Check a settings file, and a policy under it, and say what is wrong.
    Check {
        /// The settings file (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy file.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
}

const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let (config, policy, run) = match Cli::parse().command {
        Command::Serve { config, policy } => (config, policy, true),
        Command::Check { config, policy } => (config, policy, false),
    };
    let (settings, tuned) = match load(&config, policy.as_deref()) {
        Ok(loaded) => loaded,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    if run {
        return serve(settings, tuned);
    }
    for path in [Some(config), policy].into_iter().flatten() {
        println!("{}: correct", path.display());
    }
    ExitCode::SUCCESS
}

fn load(
    config: &Path,
    policy: Option<&Path>,
) -> Result<(Config, Policy), Box<dyn std::error::Error>> {
    let config = Config::load(config)?;
    let policy = match policy {
        Some(path) => Policy::load(path, &config)?,
        None => Policy::defaults(&config),
    };
    Ok((config, policy))
}

fn start_logging() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = if wanted.is_empty() {
        Ok(Level::INFO)
    } else {
        wanted.parse()
    };
    let known = level.is_ok();
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if !known {
        warn!(LOG_LEVEL = wanted, "unknown log level; using info");
    }
}

fn serve(config: Config, policy: Policy) -> ExitCode {
    start_logging();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(problem) => {
            error!(%problem, "the runtime can't be started");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(service::run(config, policy)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!(%problem, "the service could not run");
            ExitCode::FAILURE
        }
    }
}
