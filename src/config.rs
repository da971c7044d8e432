//! What a dispatcher is told at its start: the JSON file that `GW_CONFIG` names, and the file of the SSE front.
//!
//! The settings are nested JSON under the names of the simulator's first message; they are flattened to the
//! same name=value form and mapped by the same code ([`crate::policy::settings_map`]).

use crate::policy::interface::Settings;
use crate::policy::settings_map::{Names, Profile, settings, to_micros};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Why a configuration was not taken.
#[derive(Debug)]
pub enum ConfigError {
    /// A file could not be read.
    Unreadable(String, std::io::Error),
    /// A file is not what it should be: its name and what is wrong.
    Malformed(String, String),
    /// Something needed is missing.
    Missing(&'static str),
    /// An address does not read as one.
    BadAddress(&'static str, String),
    /// The settings are out of order.
    BadSettings(String),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(file, error) => write!(f, "cannot read {file}: {error}"),
            ConfigError::Malformed(file, what) => write!(f, "{file}: {what}"),
            ConfigError::Missing(what) => write!(f, "{what} is missing"),
            ConfigError::BadAddress(what, text) => write!(f, "{what} is not an address: {text:?}"),
            ConfigError::BadSettings(what) => write!(f, "settings: {what}"),
        }
    }
}

impl std::error::Error for ConfigError {}

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

/// One row of the server table, in discovery's form.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct EndpointRow {
    /// The worker's name, the same at every dispatcher.
    pub instance_id: String,
    /// Where this dispatcher reaches it.
    #[serde(default)]
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// `up`, `draining` or `removed`.
    pub lifecycle: Lifecycle,
    /// Its size beside others.
    #[serde(default)]
    pub weight: Option<f64>,
    /// Its last start in Unix milliseconds, 0 for long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// A list of discovery's, whole or changes only.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    pub reset: bool,
    /// Its rows.
    pub rows: Vec<EndpointRow>,
    /// Workers that it names in rows which could not be read.
    #[serde(default)]
    pub unread: Vec<String>,
    /// Rows that could not be read, or were worded anew further on, and were dropped.
    pub bad_rows: u64,
}

impl EndpointList {
    /// Reads one object of discovery's; bad rows are dropped and counted, a bad object is `None`. Of two rows of one worker
    /// the later one counts.
    pub fn read(value: &Value) -> Option<EndpointList> {
        let (generation, reset) = (value.get("generation")?.as_u64()?, value.get("reset")?.as_bool()?);
        let mut list = EndpointList { generation, reset, rows: Vec::new(), unread: Vec::new(), bad_rows: 0 };
        let mut places = HashMap::new();
        for value in value.get("instances")?.as_array()? {
            let Some(row) = EndpointRow::deserialize(value).ok().filter(|row| !row.instance_id.is_empty())
            else {
                list.bad_rows += 1;
                list.unread.extend(value.get("instanceId").and_then(Value::as_str).map(str::to_owned));
                continue;
            };
            match places.insert(row.instance_id.clone(), list.rows.len()) {
                Some(place) => {
                    places.insert(row.instance_id.clone(), place);
                    list.rows[place] = row;
                    list.bad_rows += 1;
                }
                None => list.rows.push(row),
            }
        }
        Some(list)
    }
}

/// Everything the dispatcher is told.
#[derive(Debug)]
pub struct Config {
    /// The file it was read from.
    pub file: String,
    /// What the file held at the start: the keys that another one must have.
    shape: Value,
    /// Its name.
    pub name: String,
    /// Where clients and call-backs reach it.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the file says that discovery is, whatever the environment says.
    pub named_discovery: Option<SocketAddr>,
    /// Seed for random choices.
    pub seed: u64,
    /// The machine's limits.
    pub limits: MachineLimits,
    /// Where datagrams of other dispatchers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The second address, for the staff and the platform; without it there is none.
    pub admin: Option<SocketAddr>,
    /// The dispatchers of the tier, this one included, by number.
    pub peers: Vec<SocketAddr>,
    /// Whether the others may be told that this one serves or stops. The module tells them more only where the address of
    /// each is known.
    pub may_tell_state: bool,
    /// An address that reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The server table as last held.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
    /// The names behind the settings' numbers.
    pub names: SiteNames,
    /// Workers close connections idle for this long, in microseconds.
    pub conn_idle: u64,
    /// A connection not up after this long counts as not made, in microseconds.
    pub connect_timeout: u64,
}

/// The names that the settings give to classes, tenants, kinds, zones and report values.
#[derive(Debug, Default)]
pub struct SiteNames(pub(crate) Names);

/// Flattens nested JSON to path=value: plain lists with commas, lists of objects by number and count.
pub fn flatten(value: &Value) -> Vec<(String, String)> {
    fn plain(path: &str, value: &Value) -> Option<String> {
        match value {
            // The simulator's wire writes "free slots" as "free_slots", and its adapter knows it by that. Without
            // this the free slots of every load report were passed over. Names keep their spaces.
            Value::String(s) if path.starts_with("Domain.") => Some(s.replace([' ', ','], "_")),
            Value::String(s) => Some(s.clone()),
            Value::Number(n) => Some(n.to_string()),
            Value::Bool(b) => Some(b.to_string()),
            _ => None,
        }
    }
    fn walk(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
        let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => fields.iter().for_each(|(name, v)| walk(&under(name), v, out)),
            Value::Array(items) if items.iter().any(|v| v.is_object() || v.is_array()) => {
                out.push((under("count"), items.len().to_string()));
                items.iter().enumerate().for_each(|(i, v)| walk(&under(&i.to_string()), v, out));
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().filter_map(|v| plain(path, v)).collect();
                out.push((path.to_owned(), texts.join(",")));
            }
            _ => out.extend(plain(path, value).map(|text| (path.to_owned(), text))),
        }
    }
    let mut out = Vec::new();
    walk("", value, &mut out);
    out
}

/// The first key that `old` has and `new` lacks. Of a list's objects those keys count that all of them have.
fn missing(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), _) => old.iter().find_map(|(key, old)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None | Some(Value::Null) if !old.is_null() => Some(path),
                Some(new) => missing(&path, old, new),
                None => None,
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first()?.as_object()?;
            let mut shared = first.keys().filter(|key| old.iter().all(|item| item.get(key).is_some()));
            let lacks = |key: &str| new.iter().any(|item| item.get(key).is_none_or(Value::is_null));
            shared.find(|key| lacks(key)).map(|key| format!("{path}.{key}"))
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

fn read_file(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|e| ConfigError::Unreadable(file.display().to_string(), e))
}

fn address(what: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::BadAddress(what, text.to_owned()))
}

impl Config {
    /// Reads the file that `GW_CONFIG` names. `GW_NAME`, `GW_LISTEN`, `GW_DISCOVERY` and
    /// `GW_ADMIN_ADDR` win over its values.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = env("GW_CONFIG").ok_or(ConfigError::Missing("the environment variable GW_CONFIG"))?;
        Config::read(&read_file(Path::new(&file))?, &file, env)
    }

    /// Reads its file anew, for a program that runs under this configuration and has met `known` names. Its name
    /// and where it listens stay. An address of discovery that the file did not name before counts, though the
    /// environment won at the start: that is how a running program is told of another.
    pub fn reread(&self, known: &SiteNames) -> Result<Config, ConfigError> {
        let kept = |name: &str| match name {
            "GW_NAME" => Some(self.name.clone()),
            "GW_LISTEN" => Some(self.listen.to_string()),
            "GW_DISCOVERY" => Some(self.discovery.to_string()),
            "GW_ADMIN_ADDR" => self.admin.map(|at| at.to_string()),
            _ => None,
        };
        let text = read_file(Path::new(&self.file))?;
        let mut new = Config::read_after(&text, &self.file, kept, known)?;
        if let Some(key) = missing("", &self.shape, &new.shape) {
            return Err(ConfigError::Malformed(self.file.clone(), format!("{key} is missing")));
        }
        new.shape = self.shape.clone();
        new.go_on_after(&self.settings, known);
        if let Some(named) = new.named_discovery.filter(|_| new.named_discovery != self.named_discovery) {
            new.discovery = named;
        }
        Ok(new)
    }

    /// Gives classes and tenants the numbers that sessions under way know them by. A class that is gone, or was defined
    /// otherwise, keeps its number and its old definition for those that were taken with it.
    fn go_on_after(&mut self, old: &Settings, known: &SiteNames) {
        let (names, fresh) = (&mut self.names.0, &mut self.settings);
        let same = |new: usize, before: usize| fresh.classes[new] == old.classes[before];
        let (classes, places) = names.classes.after(&known.0.classes, same);
        let defined = std::mem::replace(&mut fresh.classes, old.classes.clone());
        for (class, place) in defined.into_iter().zip(places) {
            if place == fresh.classes.len() {
                fresh.classes.push(class);
            }
        }
        let (tenants, places) = names.tenants.after(&known.0.tenants, |_, _| true);
        let defined = std::mem::replace(&mut fresh.tenants, old.tenants.clone());
        for (tenant, place) in defined.into_iter().zip(places) {
            match fresh.tenants.get_mut(place) {
                Some(had) => *had = tenant,
                None => fresh.tenants.push(tenant),
            }
        }
        (names.classes, names.tenants) = (classes, tenants);
    }

    /// Reads a configuration's text; `file` names it in messages.
    pub fn read(text: &str, file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::read_after(text, file, env, &SiteNames::default())
    }

    fn read_after(
        text: &str,
        file: &str,
        env: impl Fn(&str) -> Option<String>,
        known_names: &SiteNames,
    ) -> Result<Config, ConfigError> {
        let malformed = |what: String| ConfigError::Malformed(file.to_owned(), what);
        let root: Value = serde_json::from_str(text).map_err(|e| malformed(format!("not JSON: {e}")))?;
        let text = |name: &str| root.get(name).and_then(Value::as_str).map(str::to_owned);
        let either = |variable, name| env(variable).or_else(|| text(name));
        let listen = either("GW_LISTEN", "listen").ok_or(ConfigError::Missing("listen"))?;
        let discovery = either("GW_DISCOVERY", "discovery").ok_or(ConfigError::Missing("discovery"))?;
        let seed = match root.get("seed") {
            Some(Value::String(hex)) => u64::from_str_radix(hex, 16).ok(),
            Some(number) => number.as_u64(),
            None => return Err(ConfigError::Missing("seed")),
        };
        let limits = match root.get("limits") {
            Some(value) => {
                MachineLimits::deserialize(value).map_err(|e| malformed(format!("limits: {e}")))?
            }
            None => MachineLimits::default(),
        };
        let optional = |what: &'static str| text(what).map(|t| address(what, &t)).transpose();
        let mut peers = Vec::new();
        for peer in root.get("peers").and_then(Value::as_array).into_iter().flatten() {
            let peer = peer.as_str().ok_or_else(|| malformed("peers: not an address".into()))?;
            peers.push(address("peers", peer)?);
        }
        let known = root.get("known").ok_or(ConfigError::Missing("known"))?;
        let known = EndpointList::read(known).ok_or_else(|| malformed("known is not a list".into()))?;
        let flat = flatten(root.get("settings").ok_or(ConfigError::Missing("settings"))?);
        let pairs: HashMap<&str, &str> = flat.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let profile = Profile(pairs);
        let number = |path, default| match profile.number(path, default) {
            Ok(ms) if ms > 0.0 => Ok(to_micros(ms)),
            Ok(_) => Err(ConfigError::BadSettings(format!("{path} is not above 0"))),
            Err(error) => Err(ConfigError::BadSettings(error.to_string())),
        };
        let (mut settings, names) = settings(&profile, &known_names.0)
            .map_err(|error| ConfigError::BadSettings(error.to_string()))?;
        let (classes, tenants) = (names.classes.names().len(), names.tenants.names().len());
        if classes != settings.classes.len() || tenants != settings.tenants.len() {
            return Err(ConfigError::BadSettings("two classes or tenants have one name".to_owned()));
        }
        settings.check().map_err(|e| ConfigError::BadSettings(e.to_string()))?;
        let peer_listen = optional("peer_listen")?;
        let may_tell_state = settings.may_message_peers;
        // Without everybody's address a group would take silence for idle workers.
        settings.may_message_peers &= peer_listen.is_some() && peers.len() == settings.nodes as usize;
        Ok(Config {
            file: file.to_owned(),
            shape: root.clone(),
            name: either("GW_NAME", "name").ok_or(ConfigError::Missing("name"))?,
            listen: address("listen", &listen)?,
            discovery: address("discovery", &discovery)?,
            named_discovery: optional("discovery")?,
            seed: seed.ok_or_else(|| malformed("seed is not a hexadecimal number".into()))?,
            limits,
            peer_listen,
            may_tell_state,
            admin: either("GW_ADMIN_ADDR", "admin_addr").map(|t| address("admin_addr", &t)).transpose()?,
            peers,
            peers_all: optional("peers_all")?,
            known,
            conn_idle: number("Limits.ConnIdleMs", 5_000.0)?,
            connect_timeout: number("Limits.ConnectTimeoutMs", 250.0)?,
            settings,
            names: SiteNames(names),
        })
    }
}

/// A TOML file of the SSE front alone, where `--sse` names one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SseConfig {
    /// Where it listens; without it the front is off.
    pub listen: Option<String>,
    /// A comment line goes out on a stream that has been quiet for this long, in milliseconds.
    #[serde(default = "SseConfig::heartbeat")]
    pub heartbeat_ms: u64,
    /// Pages of these origins may use the front, such as `https://pay.example`; of none, where it is empty.
    #[serde(default)]
    pub origins: Vec<String>,
    /// Streams of jobs that were handed in, of one tenant.
    #[serde(default = "SseConfig::streams")]
    pub streams_per_tenant: usize,
}

/// What that file says, where the front is on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The longest quiet time of a stream, in microseconds.
    pub heartbeat: u64,
    /// Pages of these origins may use it.
    pub origins: Vec<String>,
    /// Streams of one tenant.
    pub streams_per_tenant: usize,
}

impl SseConfig {
    fn heartbeat() -> u64 {
        5_000
    }

    fn streams() -> usize {
        1_024
    }

    /// Reads the file. A file that is not there leaves the front off, unless it was `named` by the user.
    pub fn load(file: &Path, named: bool) -> Result<Option<SseSettings>, ConfigError> {
        if !named && !file.exists() {
            return Ok(None);
        }
        let wrong = |what: String| ConfigError::Malformed(file.display().to_string(), what);
        let read: SseConfig = toml::from_str(&read_file(file)?).map_err(|e| wrong(e.to_string()))?;
        if read.heartbeat_ms == 0 {
            return Err(wrong("heartbeat_ms is not above 0".to_owned()));
        }
        if read.streams_per_tenant == 0 {
            return Err(wrong("streams_per_tenant is not above 0".to_owned()));
        }
        if let Some(bad) = read.origins.iter().find(|o| !is_origin(o)) {
            return Err(wrong(format!("origins: {bad:?} is no origin such as https://pay.example")));
        }
        let listen = read.listen.map(|text| address("listen of the SSE front", &text)).transpose()?;
        Ok(listen.map(|listen| SseSettings {
            listen,
            heartbeat: read.heartbeat_ms * 1000,
            origins: read.origins,
            streams_per_tenant: read.streams_per_tenant,
        }))
    }
}

/// Whether a text is what a browser sends as its origin: scheme and host, nothing behind it.
pub(crate) fn is_origin(text: &str) -> bool {
    let parts = text.split_once("://");
    parts.is_some_and(|(scheme, host)| !scheme.is_empty() && !host.is_empty() && !host.contains('/'))
        && text.bytes().all(|b| b.is_ascii_graphic())
}
