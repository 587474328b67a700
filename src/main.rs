use std::path::PathBuf;
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
    },
    /// Check a settings file and say what is wrong with it.
    Check {
        /// The settings file (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Command::Serve { config } => serve(&config),
        Command::Check { config } => match Config::load(&config) {
            Ok(_) => {
                println!("{}: correct", config.display());
                ExitCode::SUCCESS
            }
            Err(problem) => {
                eprintln!("{problem}");
                ExitCode::from(WRONG_SETTINGS)
            }
        },
    }
}

fn start_logging() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = if wanted.is_empty() { Ok(Level::INFO) } else { wanted.parse() };
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

fn serve(path: &std::path::Path) -> ExitCode {
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    start_logging();
    let policy = Policy::defaults(&config);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
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
