//! The binary: parses the command line, starts logging and the runtime, and maps results to exit codes. Everything else
//! is in the library.

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use dappleshore::cli::operate::Operation;
use dappleshore::cli::{Cli, Command, ConfigFiles, Exit};
use dappleshore::config::Config;
use dappleshore::features::{Features, LoadedFeatures};
use dappleshore::policy::Policy;
use dappleshore::service;
use tracing::{Level, error, info, warn};

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(files) => load_and_run(&files, serve),
        Command::Check(files) => load_and_run(&files, |loaded| print_valid_files(&files, &loaded)),
        Command::Cordon(args) => operate(args.operation()),
        Command::Drain(args) => operate(args.operation()),
        Command::Uncordon(args) => operate(Ok(args.operation())),
        Command::Drains(args) => operate(Ok(args.operation())),
        Command::Budget(args) => operate(Ok(args.operation())),
    }
}

/// The settings, policy and features of a controller, validated against each other.
struct LoadedFiles {
    config: Config,
    policy: Policy,
    features_file: LoadedFeatures,
}

fn load_and_run(files: &ConfigFiles, run: impl FnOnce(LoadedFiles) -> ExitCode) -> ExitCode {
    match load(files) {
        Ok(loaded) => run(loaded),
        Err(error) => {
            eprintln!("{error}");
            Exit::InvalidInput.into()
        }
    }
}

fn load(files: &ConfigFiles) -> Result<LoadedFiles, Box<dyn std::error::Error>> {
    let config = Config::load(&files.config)?;
    let policy = match &files.policy {
        Some(path) => Policy::load(path, &config)?,
        None => Policy::built_in(&config),
    };
    let features_file = Features::load(files.features.as_deref(), &config)?;
    Ok(LoadedFiles {
        config,
        policy,
        features_file,
    })
}

fn print_valid_files(files: &ConfigFiles, loaded: &LoadedFiles) -> ExitCode {
    let policy = files.policy.as_deref();
    let features = loaded.features_file.path.as_deref();
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
    let valid = level.is_ok();
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if !valid {
        warn!(
            LOG_LEVEL = requested,
            "LOG_LEVEL is invalid; using level info"
        );
    }
}

fn build_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn serve(loaded: LoadedFiles) -> ExitCode {
    start_logging();
    let LoadedFiles {
        config,
        policy,
        features_file,
    } = loaded;
    info!(features = ?features_file.path, drain = features_file.features.drain.enabled, "features loaded");
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(%error, "service failed: async runtime could not be started");
            return ExitCode::FAILURE;
        }
    };
    let Err(error) = runtime.block_on(service::run(config, policy, features_file.features));
    error!(%error, "service failed");
    ExitCode::FAILURE
}

fn operate(operation: Result<Operation, String>) -> ExitCode {
    let operation = match operation {
        Ok(operation) => operation,
        Err(error) => {
            eprintln!("{error}");
            return Exit::InvalidInput.into();
        }
    };
    match build_runtime() {
        Ok(runtime) => runtime.block_on(operation.run()),
        Err(error) => {
            eprintln!("the async runtime can't be started: {error}");
            ExitCode::FAILURE
        }
    }
}
