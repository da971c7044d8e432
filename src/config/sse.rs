//! The settings of the SSE listener, and the TOML file for them.

use super::{ConfigError, FileContentError, FilePresence, parse_address, read_file};
use crate::policy::interface::{MICROS_PER_MS, Micros};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The default heartbeat interval, in milliseconds.
pub(crate) const DEFAULT_HEARTBEAT_MS: u32 = 5_000;
/// The default limit of streams per tenant.
pub(crate) const DEFAULT_STREAMS_PER_TENANT: u32 = 1_024;

/// The TOML file that `--sse` names.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SseConfig {
    /// The listener's address; `None` turns the listener off.
    pub listen: Option<String>,
    /// The heartbeat interval, in milliseconds: a comment is sent on a stream that has been idle for this long.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// The origins whose pages may use the listener, such as `https://pay.example`; empty for none.
    #[serde(default)]
    pub origins: Vec<String>,
    /// The maximum number of streams of one tenant's submitted jobs.
    #[serde(default = "default_streams_per_tenant")]
    pub streams_per_tenant: usize,
}

/// The settings of the SSE listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseSettings {
    /// The listener's address.
    pub listen: SocketAddr,
    /// The heartbeat interval, in microseconds.
    pub heartbeat: Micros,
    /// The origins whose pages may use the listener.
    pub origins: Vec<String>,
    /// The maximum number of streams of one tenant.
    pub streams_per_tenant: usize,
}

fn default_heartbeat_ms() -> u64 {
    u64::from(DEFAULT_HEARTBEAT_MS)
}

fn default_streams_per_tenant() -> usize {
    DEFAULT_STREAMS_PER_TENANT as usize
}

impl SseConfig {
    /// Reads the file. Returns `None` if the file is optional and missing, or if it sets no address.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read or its content is invalid.
    pub fn load(file: &Path, presence: FilePresence) -> Result<Option<SseSettings>, ConfigError> {
        if !presence.should_read(file) {
            return Ok(None);
        }
        let malformed = |error| ConfigError::Malformed { file: file.display().to_string(), error };
        let text = read_file(file)?;
        let config: SseConfig = toml::from_str(&text).map_err(|e| malformed(FileContentError::NotToml(e)))?;
        config.check().map_err(malformed)?;
        let Some(listen) = config.listen else { return Ok(None) };
        Ok(Some(SseSettings {
            listen: parse_address("listen in the file of the SSE listener", &listen)?,
            heartbeat: config.heartbeat_ms * MICROS_PER_MS,
            origins: config.origins,
            streams_per_tenant: config.streams_per_tenant,
        }))
    }

    fn check(&self) -> Result<(), FileContentError> {
        if self.heartbeat_ms == 0 {
            return Err(FileContentError::NotPositive("heartbeat_ms"));
        }
        if self.streams_per_tenant == 0 {
            return Err(FileContentError::NotPositive("streams_per_tenant"));
        }
        match self.origins.iter().find(|origin| !is_origin(origin)) {
            Some(bad) => Err(FileContentError::BadOrigin(bad.clone())),
            None => Ok(()),
        }
    }
}

/// Whether a text is an origin as a browser sends it: scheme and host, with nothing after them.
pub(crate) fn is_origin(text: &str) -> bool {
    let parts = text.split_once("://");
    parts.is_some_and(|(scheme, host)| !scheme.is_empty() && !host.is_empty() && !host.contains('/'))
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}
