//! The configuration of a dispatcher: the JSON file that `GW_CONFIG` names, and the file of the SSE listener.
//!
//! The settings are nested JSON under the names of the simulator's first message; they are flattened to the
//! same name=value form and mapped by the same code ([`crate::policy::simulator`]).

mod document;
mod endpoint_list;
mod error;
mod flatten;
mod reload;
mod site_names;
mod sse;

pub use endpoint_list::{EndpointList, EndpointRow, Lifecycle};
pub use error::{ConfigError, FileContentError, ModuleSettingsError};
pub use flatten::flatten;
pub use site_names::SiteNames;
pub(crate) use sse::{DEFAULT_HEARTBEAT_MS, DEFAULT_STREAMS_PER_TENANT, is_origin};
pub use sse::{SseConfig, SseSettings};

use crate::policy::interface::{Micros, Settings};
use crate::policy::settings_map::Profile;
use document::{Document, parse_address, parse_settings, positive_duration};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// How long workers keep an idle connection open where the settings do not say, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 5_000.0;
/// How long a connection may take to come up where the settings do not say, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// Whether a file must be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilePresence {
    /// The user has named it: that it is not there is an error.
    Required,
    /// It has a default name: without it nothing is set.
    Optional,
}

impl FilePresence {
    /// Whether this file is to be read: it is there, or must be.
    pub(crate) fn is_to_be_read(self, file: &Path) -> bool {
        self == FilePresence::Required || file.exists()
    }
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// File descriptors, of all the program's processes together.
    pub sockets: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits { memory_mb: 192, sockets: 1024 }
    }
}

/// The configuration of a dispatcher.
#[derive(Debug)]
pub struct Config {
    /// The file from which it was read.
    pub file: String,
    /// What the file held at the start: a reload must have its keys.
    initial_document: Value,
    /// The dispatcher's name.
    pub name: String,
    /// The address for clients and status callbacks.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Discovery's address according to the file, whatever the environment says.
    discovery_in_file: Option<SocketAddr>,
    /// Seed of random choices.
    pub seed: u64,
    /// The machine's limits.
    pub limits: MachineLimits,
    /// The address for datagrams of other dispatchers.
    pub peer_listen: Option<SocketAddr>,
    /// The admin address, for the staff and the platform; without it there is none.
    pub admin: Option<SocketAddr>,
    /// The dispatchers of the tier, this one included, by number.
    pub peers: Vec<SocketAddr>,
    /// Whether the other dispatchers may be notified that this one serves or stops. The decision module sends them more only
    /// where the address of each is known.
    pub may_announce_lifecycle: bool,
    /// An address that reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list last known.
    pub known_endpoints: EndpointList,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names behind the settings' numbers.
    pub names: SiteNames,
    /// How long workers keep an idle connection open, in microseconds.
    pub idle_timeout: Micros,
    /// A connection that is not up after this time counts as failed, in microseconds.
    pub connect_timeout: Micros,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names. `GW_NAME`, `GW_LISTEN`, `GW_DISCOVERY` and
    /// `GW_ADMIN_ADDR` win over its values.
    ///
    /// # Errors
    /// [`ConfigError`] where the file cannot be read or is not in order.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = env("GW_CONFIG").ok_or(ConfigError::Missing("the environment variable GW_CONFIG"))?;
        Config::read(&read_file(Path::new(&file))?, &file, env)
    }

    /// Reads a configuration's text; `file` names it in messages.
    ///
    /// # Errors
    /// [`ConfigError`] where the text is not in order.
    pub fn read(text: &str, file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::parse(text, file, env, &SiteNames::default())
    }

    /// Parses a configuration's text, for a program that has met `known_names`: their zones and kinds keep their ids.
    fn parse(
        text: &str,
        file: &str,
        env: impl Fn(&str) -> Option<String>,
        known_names: &SiteNames,
    ) -> Result<Config, ConfigError> {
        let document = Document::parse(text, file, env)?;
        let listen = document.required_text("GW_LISTEN", "listen")?;
        let discovery = document.required_text("GW_DISCOVERY", "discovery")?;
        document.require("seed")?;
        let limits = document.limits()?;
        let peers = document.peers()?;
        let known_endpoints = document.known_endpoints()?;
        let pairs = document.settings()?;
        let profile = Profile(pairs.iter().map(|(path, text)| (path.as_str(), text.as_str())).collect());
        let (mut settings, names) = parse_settings(&profile, known_names)?;
        let peer_listen = document.optional_address("peer_listen")?;
        let may_announce_lifecycle = settings.may_message_peers;
        // Without everybody's address a group would take silence for idle workers.
        settings.may_message_peers &=
            peer_listen.is_some() && peers.len() == settings.dispatcher_count as usize;
        let admin = document.variable_or_text("GW_ADMIN_ADDR", "admin_addr");
        Ok(Config {
            file: file.to_owned(),
            name: document.required_text("GW_NAME", "name")?,
            listen: parse_address("listen", &listen)?,
            discovery: parse_address("discovery", &discovery)?,
            discovery_in_file: document.optional_address("discovery")?,
            seed: document.seed()?,
            limits,
            peer_listen,
            may_announce_lifecycle,
            admin: admin.map(|text| parse_address("admin_addr", &text)).transpose()?,
            peers,
            peers_all: document.optional_address("peers_all")?,
            known_endpoints,
            idle_timeout: positive_duration(&profile, "Limits.ConnIdleMs", DEFAULT_IDLE_TIMEOUT_MS)?,
            connect_timeout: positive_duration(
                &profile,
                "Limits.ConnectTimeoutMs",
                DEFAULT_CONNECT_TIMEOUT_MS,
            )?,
            settings,
            names,
            initial_document: document.into_root(),
        })
    }
}

fn read_file(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file)
        .map_err(|error| ConfigError::Unreadable { file: file.display().to_string(), error })
}
