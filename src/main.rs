//! The binary: parses the command line, starts logging and the runtime, and maps outcomes to exit codes. All else is in
//! the library.

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use dappleshore::cli::operate::Operation;
use dappleshore::cli::{Cli, Command, ConfigFiles, Exit};
use dappleshore::config::Config;
use dappleshore::features::{Features, Found};
use dappleshore::policy::Policy;
use dappleshore::service;
use tracing::{Level, error, info, warn};

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(files) => with_files(&files, serve),
        Command::Check(files) => with_files(&files, |loaded| report(&files, &loaded)),
        Command::Cordon(args) => operate(args.operation()),
        Command::Drain(args) => operate(args.operation()),
        Command::Uncordon(args) => operate(Ok(args.operation())),
        Command::Drains(args) => operate(Ok(args.operation())),
        Command::Budget(args) => operate(Ok(args.operation())),
    }
}

/// The settings, the policy and the features of a controller, each valid with the others.
struct Loaded {
    config: Config,
    policy: Policy,
    found: Found,
}

fn with_files(files: &ConfigFiles, run: impl FnOnce(Loaded) -> ExitCode) -> ExitCode {
    match load(files) {
        Ok(loaded) => run(loaded),
        Err(problem) => {
            eprintln!("{problem}");
            Exit::InvalidInput.into()
        }
    }
}

fn load(files: &ConfigFiles) -> Result<Loaded, Box<dyn std::error::Error>> {
    let config = Config::load(&files.config)?;
    let policy = match &files.policy {
        Some(path) => Policy::load(path, &config)?,
        None => Policy::built_in(&config),
    };
    let found = Features::find(files.features.as_deref(), &config)?;
    Ok(Loaded {
        config,
        policy,
        found,
    })
}

fn report(files: &ConfigFiles, loaded: &Loaded) -> ExitCode {
    let policy = files.policy.as_deref();
    let features = loaded.found.path.as_deref();
    let paths: [Option<&Path>; 3] = [Some(&files.config), policy, features];
    for path in paths.into_iter().flatten() {
        println!("{}: correct", path.display());
    }
    ExitCode::SUCCESS
}

fn start_logging() {
    let requested = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = if requested.is_empty() {
        Ok(Level::INFO)
    } else {
        requested.parse()
    };
    let known = level.is_ok();
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if !known {
        warn!(LOG_LEVEL = requested, "unknown log level; using info");
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn serve(loaded: Loaded) -> ExitCode {
    start_logging();
    let Loaded {
        config,
        policy,
        found,
    } = loaded;
    info!(features = ?found.path, drain = found.features.drain.enabled, "features");
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(%error, "service failed: the runtime can't be started");
            return ExitCode::FAILURE;
        }
    };
    let Err(error) = runtime.block_on(service::run(config, policy, found.features));
    error!(%error, "service failed");
    ExitCode::FAILURE
}

fn operate(operation: Result<Operation, String>) -> ExitCode {
    let operation = match operation {
        Ok(operation) => operation,
        Err(problem) => {
            eprintln!("{problem}");
            return Exit::InvalidInput.into();
        }
    };
    match runtime() {
        Ok(runtime) => runtime.block_on(operation.run()),
        Err(problem) => {
            eprintln!("the runtime can't be started: {problem}");
            ExitCode::FAILURE
        }
    }
}
