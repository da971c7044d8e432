//! The configuration of a dispatcher: the JSON file that `GW_CONFIG` names, and the file of the SSE listener.
//!
//! The settings are nested JSON with the names of the simulator's first message. They are flattened to the path=value form of
//! that message and mapped by the same code ([`crate::policy::simulator`]).

mod document;
mod endpoint_list;
mod error;
mod flatten;
mod json_string;
mod known_summary;
mod list_reader;
mod reload;
mod site_names;
mod sse;

pub use endpoint_list::{EndpointList, EndpointRow, Lifecycle};
pub use error::{ConfigError, FileContentError, ModuleSettingsError};
pub use flatten::flatten;
pub(crate) use json_string::StringState;
pub use list_reader::{ListProgress, ListReader};
pub use site_names::NameTable;
pub(crate) use sse::{DEFAULT_HEARTBEAT_MS, DEFAULT_STREAMS_PER_TENANT, is_origin};
pub use sse::{SseConfig, SseSettings};

use crate::policy::interface::{Micros, Settings};
use crate::policy::settings_map::SettingTexts;
use document::{Document, parse_address, parse_settings, positive_duration};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// The default of [`Config::idle_timeout`], in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 5_000.0;
/// The default of [`Config::connect_timeout`], in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// Whether a settings file must exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilePresence {
    /// The file must exist, because the user has named it.
    Required,
    /// The file may be missing, because its name is the default; nothing is set in that case.
    Optional,
}

impl FilePresence {
    /// Whether to read the file: it exists or must exist.
    pub(crate) fn should_read(self, file: &Path) -> bool {
        self == FilePresence::Required || file.exists()
    }
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// The memory, in megabytes.
    pub memory_mb: u64,
    /// The number of file descriptors of all processes of the program together.
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
    /// The name of the configuration file.
    pub file: String,
    /// The content of the file at the start. The file must still have these keys at a reload.
    initial_document: Value,
    /// The dispatcher's name.
    pub name: String,
    /// The address for clients and status callbacks.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Discovery's address in the file, even if the environment overrides it.
    discovery_in_file: Option<SocketAddr>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The machine's limits.
    pub limits: MachineLimits,
    /// The address for datagrams of other dispatchers.
    pub peer_listen: Option<SocketAddr>,
    /// The address of the admin interface, for operators and the platform; `None` turns the interface off.
    pub admin: Option<SocketAddr>,
    /// The addresses of all dispatchers of the tier, by number, including this one.
    pub peers: Vec<SocketAddr>,
    /// Whether this dispatcher may announce to the others that it serves or stops. Other messages are sent only if the address of
    /// each peer is known; see [`Settings::may_message_peers`].
    pub may_announce_lifecycle: bool,
    /// An address that reaches all dispatchers of the tier, if there is one.
    pub peers_all: Option<SocketAddr>,
    /// The last known endpoint list; without rows after a reload, which does not use it.
    pub known_endpoints: EndpointList,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names of the ids in the settings.
    pub names: NameTable,
    /// How long workers keep an idle connection open, in microseconds; the setting `Limits.ConnIdleMs`.
    pub idle_timeout: Micros,
    /// How long a connection may take to be established, in microseconds; the setting `Limits.ConnectTimeoutMs`.
    pub connect_timeout: Micros,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names. `GW_NAME`, `GW_LISTEN`, `GW_DISCOVERY` and `GW_ADMIN_ADDR` override its values.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read or its content is invalid.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = env("GW_CONFIG").ok_or(ConfigError::Missing("the environment variable GW_CONFIG"))?;
        Config::read(&read_file(Path::new(&file))?, &file, env)
    }

    /// Parses the text of the configuration file named `file`. Error messages contain that name.
    ///
    /// # Errors
    /// [`ConfigError`] if the text is invalid.
    pub fn read(text: &str, file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::from_document(Document::parse(text, file, env)?, file, &NameTable::default())
    }

    /// Reads the content of a configuration file. Zones and kinds in `known_names` keep their ids.
    fn from_document(
        document: Document<'_, impl Fn(&str) -> Option<String>>,
        file: &str,
        known_names: &NameTable,
    ) -> Result<Config, ConfigError> {
        let listen = document.required_text("GW_LISTEN", "listen")?;
        let discovery = document.required_text("GW_DISCOVERY", "discovery")?;
        document.require("seed")?;
        let limits = document.limits()?;
        let peers = document.peers()?;
        let known_endpoints = document.known_endpoints()?;
        let pairs = document.settings()?;
        let setting_texts =
            SettingTexts(pairs.iter().map(|(path, text)| (path.as_str(), text.as_str())).collect());
        let (mut settings, names) = parse_settings(&setting_texts, known_names)?;
        let peer_listen = document.optional_address("peer_listen")?;
        let may_announce_lifecycle = settings.may_message_peers;
        // If the address of a peer were unknown, its peer group would take the lack of messages from it for idle workers.
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
            idle_timeout: positive_duration(&setting_texts, "Limits.ConnIdleMs", DEFAULT_IDLE_TIMEOUT_MS)?,
            connect_timeout: positive_duration(
                &setting_texts,
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
