//! The command line. Without a sub-command the program serves. Exit codes: 0 for success, 1 for a failure or if damage was
//! found, 2 for bad input. Bad input changes nothing, except that `store put` keeps the records of the lines before a bad one.

mod bench;
mod check;
mod error;
mod log;
mod serve;
mod store;

use clap::{Parser, Subcommand};
use error::CommandError;
use log::LogFormat;
use serve::ServeArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use store::StoreCommand;

#[derive(Parser)]
#[command(name = "mothproxy", version, about = "A dispatcher that forwards clients' jobs to workers")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: ServeArgs,
    /// The format of log lines on standard error.
    #[arg(long, value_enum, global = true)]
    log: Option<LogFormat>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as a dispatcher; the environment variable GW_CONFIG names the configuration.
    Serve(ServeArgs),
    /// Check a configuration or an operators' file without serving.
    Check {
        /// The configuration file that GW_CONFIG would name, or an operators' file (*.txtpb).
        file: PathBuf,
    },
    /// Inspect, change or measure a store.
    #[command(subcommand)]
    Store(StoreCommand),
}

/// Runs the command on the command line, and returns the exit code of the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_reported() {
                tracing::error!("mothproxy: {error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(cli: Cli) -> Result<(), CommandError> {
    match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        // `serve` starts the log itself, because the operators' file may set the format.
        Command::Serve(args) => serve::run(args, cli.log),
        Command::Check { file } => {
            log::start(cli.log.unwrap_or_default());
            check::run(&file)
        }
        Command::Store(command) => {
            log::start(cli.log.unwrap_or_default());
            store::run(command)
        }
    }
}
