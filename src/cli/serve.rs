//! `mothproxy serve`: runs a dispatcher.

use super::error::CommandError;
use super::log::{self, LogFormat};
use clap::Args;
use mothproxy::config::{Config, FilePresence, SseConfig};
use mothproxy::server::{ListenAddresses, Server, ServerError, StateDir};
use mothproxy::settings::{self, Settings};
use mothproxy_store::SyncMode;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// The default name of the operators' file.
const DEFAULT_SETTINGS_FILE: &str = "deploy/mothproxy.txtpb";

#[derive(Args)]
pub(super) struct ServeArgs {
    /// The operators' file [default: deploy/mothproxy.txtpb, if it exists].
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// A TOML file with the settings of event streams, which replaces `streams` of the operators' file.
    #[arg(long, value_name = "FILE")]
    sse: Option<PathBuf>,
    /// The directory of the idempotency records, so that keyed jobs survive a crash; replaces `state` of the operators' file.
    #[arg(long, value_name = "DIR")]
    state: Option<PathBuf>,
    /// When idempotency records become durable: always, interval:MS or never.
    #[arg(long, value_name = "MODE", requires = "state", value_parser = parse_sync_mode)]
    state_sync: Option<SyncMode>,
}

/// The error for a text that is not a sync mode, which clap prints.
#[derive(Debug, Error)]
#[error("expected always, interval:MS (MS above 0) or never")]
struct UnknownSyncMode;

/// Parses `always`, `interval:MS` or `never`.
fn parse_sync_mode(text: &str) -> Result<SyncMode, UnknownSyncMode> {
    match text {
        "always" => Ok(SyncMode::Always),
        "never" => Ok(SyncMode::Never),
        _ => parse_sync_interval(text).map(SyncMode::Interval).ok_or(UnknownSyncMode),
    }
}

/// Parses `interval:MS` with `MS` above 0.
fn parse_sync_interval(text: &str) -> Option<Duration> {
    let ms: u32 = text.strip_prefix("interval:")?.parse().ok()?;
    (ms > 0).then(|| Duration::from_millis(u64::from(ms)))
}

/// Serves until the program is asked to stop. The format of the log is that of the command line, or else that of the operators'
/// file.
///
/// # Errors
/// [`CommandError`] if a file is invalid or the dispatcher cannot serve.
pub(super) fn run(args: ServeArgs, log_format: Option<LogFormat>) -> Result<(), CommandError> {
    let file = args.settings.clone().unwrap_or(DEFAULT_SETTINGS_FILE.into());
    let presence = if args.settings.is_some() { FilePresence::Required } else { FilePresence::Optional };
    let settings = settings::load(&file, presence);
    let has_json_log = settings.as_ref().is_ok_and(|settings| settings.json_log);
    let format_of_file = if has_json_log { LogFormat::Json } else { LogFormat::Text };
    log::start(log_format.unwrap_or(format_of_file));
    Ok(serve(args, settings?)?)
}

fn serve(args: ServeArgs, settings: Settings) -> Result<(), ServerError> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let sse = match &args.sse {
        Some(file) => SseConfig::load(file, FilePresence::Required)?,
        None => settings.streams,
    };
    let sync = args.state_sync.unwrap_or_default();
    let state = args.state.map(|dir| StateDir { dir, sync }).or(settings.state);
    let name = config.name.clone();
    let restart_dir = std::env::var_os("TMPDIR").map(PathBuf::from);
    let mut server = Server::open(config, sse, restart_dir.as_deref(), state, settings.fleet)?;
    let ListenAddresses { platform, sse, admin } = server.addresses();
    tracing::info!(
        "serving: {name} on {}, SSE {}, control {}",
        address_or_off(platform),
        address_or_off(sse),
        address_or_off(admin)
    );
    server.serve()
}

fn address_or_off(address: Option<SocketAddr>) -> String {
    address.map_or("off".to_owned(), |address| address.to_string())
}
