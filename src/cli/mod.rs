//! The command line. Without a sub-command the program serves. Exit codes: 0 done, 1 it failed or found damage,
//! 2 bad input: nothing was changed.

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
#[command(name = "mothproxy", version, about = "A dispatcher that hands jobs to uneven workers")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: ServeArgs,
    /// The form of log lines on standard error.
    #[arg(long, value_enum, global = true)]
    log: Option<LogFormat>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as a dispatcher; the environment variable GW_CONFIG names the configuration.
    Serve(ServeArgs),
    /// Check a configuration file and change nothing.
    Check {
        /// The configuration, as GW_CONFIG would name it, or an operators' file (*.txtpb).
        file: PathBuf,
    },
    /// Work on a store's directory.
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
