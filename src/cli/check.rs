//! `mothproxy check`: validates a configuration or an operators' file, and prints a summary of it.

use super::error::CommandError;
use mothproxy::config::{Config, FilePresence};
use mothproxy::settings;
use std::path::Path;

/// The file name extension of operators' files.
const SETTINGS_EXTENSION: &str = "txtpb";

/// Checks a file. The extension of its name determines which kind of file it is.
pub(super) fn run(file: &Path) -> Result<(), CommandError> {
    if file.extension().is_some_and(|extension| extension == SETTINGS_EXTENSION) {
        check_settings(file)
    } else {
        check_config(file)
    }
}

fn check_settings(file: &Path) -> Result<(), CommandError> {
    let settings = settings::load(file, FilePresence::Required)?;
    println!(
        "{}: valid: streams {}, state {}, membership {}, cold start {}, runtimes {}, fair share {}",
        file.display(),
        on_or_off(settings.streams.is_some()),
        on_or_off(settings.state.is_some()),
        on_or_off(settings.fleet.membership.is_some()),
        on_or_off(settings.fleet.cold_start.is_some()),
        on_or_off(settings.fleet.runtimes.is_some()),
        on_or_off(settings.fleet.fair_share.is_some())
    );
    Ok(())
}

fn on_or_off(is_on: bool) -> &'static str {
    if is_on { "on" } else { "off" }
}

fn check_config(file: &Path) -> Result<(), CommandError> {
    let env = |name: &str| (name == "GW_CONFIG").then(|| file.display().to_string());
    let config = Config::load(env)?;
    println!(
        "{}: valid: {} on {}, {} classes, {} peers",
        file.display(),
        config.name,
        config.listen,
        config.settings.classes.len(),
        config.peers.len()
    );
    Ok(())
}
