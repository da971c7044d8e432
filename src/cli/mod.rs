//! The command line. Without a sub-command the program serves. Exit codes: 0 done, 1 it failed or found damage,
//! 2 bad input: nothing was changed.

mod bench;
mod log;
mod store;

use clap::{Args, Parser, Subcommand, ValueEnum};
use mothproxy::config::{Config, SseConfig};
use mothproxy::server::{ListenAddresses, Server, ServerError, StateDir};
use mothproxy::settings::{self, Settings};
use mothproxy_store::SyncMode;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "mothproxy", version, about = "A dispatcher that hands jobs to uneven workers")]
struct Cli {
    #[command(subcommand)]
    command: Option<Sub>,
    #[command(flatten)]
    serve: Serve,
    /// The form of log lines on standard error.
    #[arg(long, value_enum, global = true)]
    log: Option<Form>,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Form {
    /// One plain line each.
    Text,
    /// One JSON object each.
    Json,
}

#[derive(Args)]
struct Serve {
    /// The operators' file [default: deploy/mothproxy.txtpb, where it is there].
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// A TOML file that says where the SSE front listens, in place of `streams` of the operators' file.
    #[arg(long, value_name = "FILE")]
    sse: Option<PathBuf>,
    /// Where keyed jobs are noted, so that they survive a crash, in place of `state` of the operators' file.
    #[arg(long, value_name = "DIR")]
    state: Option<PathBuf>,
    /// When notes become durable: always, interval:MS or never.
    #[arg(long, value_name = "MODE", requires = "state", value_parser = sync_mode)]
    state_sync: Option<SyncMode>,
}

#[derive(Subcommand)]
enum Sub {
    /// Serve as a dispatcher; the environment variable GW_CONFIG names the configuration.
    Serve(Serve),
    /// Check a configuration file and change nothing.
    Check {
        /// The configuration, as GW_CONFIG would name it, or an operators' file (*.txtpb).
        file: PathBuf,
    },
    /// Work on a store's directory.
    #[command(subcommand)]
    Store(store::Job),
}

/// Reads `always`, `interval:MS` or `never`.
fn sync_mode(text: &str) -> Result<SyncMode, String> {
    match (text, text.strip_prefix("interval:").map(str::parse::<u32>)) {
        ("always", _) => Ok(SyncMode::Always),
        ("never", _) => Ok(SyncMode::Never),
        (_, Some(Ok(ms))) if ms > 0 => Ok(SyncMode::Interval(ms)),
        _ => Err("it is always, interval:MS (MS above 0) or never".to_owned()),
    }
}

fn serve(serve: Serve, form: Option<Form>) -> Result<(), Failure> {
    let file = serve.settings.clone().unwrap_or("deploy/mothproxy.txtpb".into());
    let settings = settings::load(&file, serve.settings.is_some());
    log::start(form.map_or(settings.as_ref().is_ok_and(|set| set.json_log), |form| form == Form::Json));
    let settings = settings.map_err(Failure::input)?;
    run(serve, settings).map_err(|error| match error {
        ServerError::Config(_) | ServerError::Settings(_) => Failure::input(error),
        _ => Failure::work(error),
    })
}

fn run(serve: Serve, settings: Settings) -> Result<(), ServerError> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let sse = match &serve.sse {
        Some(file) => SseConfig::load(file, true)?,
        None => settings.streams,
    };
    let sync = serve.state_sync.unwrap_or_default();
    let state = serve.state.map(|dir| StateDir { dir, sync }).or(settings.state);
    let name = config.name.clone();
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let mut server = Server::open(config, sse, folder.as_deref(), state, settings.fleet)?;
    let ListenAddresses { platform, sse, admin } = server.addresses();
    let shown = |at: Option<std::net::SocketAddr>| at.map_or("off".to_owned(), |at| at.to_string());
    tracing::info!("serving: {name} on {}, SSE {}, control {}", shown(platform), shown(sse), shown(admin));
    server.serve()
}

fn check(file: &std::path::Path) -> Result<(), Failure> {
    if file.extension().is_some_and(|ending| ending == "txtpb") {
        let set = settings::load(file, true).map_err(Failure::input)?;
        let on = |on: bool| if on { "on" } else { "off" };
        let (streams, state) = (on(set.streams.is_some()), on(set.state.is_some()));
        let fleet = &set.fleet;
        let parts =
            [fleet.membership.is_some(), fleet.cold_start.is_some(), fleet.runtimes.is_some()].map(on);
        let ([members, cold, runtimes], shares) = (parts, on(fleet.fair_share.is_some()));
        println!(
            "{}: sound: streams {streams}, state {state}, membership {members}, cold start {cold}, runtimes {runtimes}, \
             fair share {shares}",
            file.display()
        );
        return Ok(());
    }
    let named = |name: &str| (name == "GW_CONFIG").then(|| file.display().to_string());
    let config = Config::load(named).map_err(Failure::input)?;
    println!(
        "{}: sound: {} on {}, {} classes, {} peers",
        file.display(),
        config.name,
        config.listen,
        config.settings.classes.len(),
        config.peers.len()
    );
    Ok(())
}

/// Why a sub-command did not do what it was asked.
pub struct Failure {
    message: String,
    code: u8,
}

impl Failure {
    /// What was given is out of order: exit code 2.
    pub fn input(what: impl std::fmt::Display) -> Failure {
        Failure { message: what.to_string(), code: 2 }
    }

    /// It failed, or found damage: exit code 1.
    pub fn work(what: impl std::fmt::Display) -> Failure {
        Failure { message: what.to_string(), code: 1 }
    }
}

/// Reads the command line and does what it says.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    if !matches!(cli.command, None | Some(Sub::Serve(_))) {
        log::start(cli.log == Some(Form::Json));
    }
    let done = match cli.command {
        Some(Sub::Check { file }) => check(&file),
        Some(Sub::Store(job)) => store::run(job),
        Some(Sub::Serve(args)) => serve(args, cli.log),
        None => serve(cli.serve, cli.log),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { message, code }) => {
            if !message.is_empty() {
                tracing::error!("mothproxy: {message}");
            }
            ExitCode::from(code)
        }
    }
}
