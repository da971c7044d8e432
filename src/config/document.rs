//! The JSON document of a configuration file, and the environment variables that override it.

use super::flatten::flatten;
use super::known_summary::{parse_summarized, summarize_known};
use super::{ConfigError, EndpointList, FileContentError, MachineLimits, ModuleSettingsError, NameTable};
use crate::policy::interface::{Micros, Settings};
use crate::policy::settings_map::{Names, SettingTexts, settings, to_micros};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// A parsed configuration file, and the environment that overrides it.
pub(super) struct Document<'a, Env> {
    root: Value,
    file: &'a str,
    env: Env,
}

impl<'a, Env: Fn(&str) -> Option<String>> Document<'a, Env> {
    /// Parses the text of the file named `file`. Error messages contain that name.
    pub(super) fn parse(text: &str, file: &'a str, env: Env) -> Result<Self, ConfigError> {
        match serde_json::from_str(text) {
            Ok(root) => Ok(Document { root, file, env }),
            Err(error) => {
                Err(ConfigError::Malformed { file: file.to_owned(), error: FileContentError::NotJson(error) })
            }
        }
    }

    /// Parses the text of the file of a reload: the rows of the known list, which a reload does not use, are summed up.
    pub(super) fn parse_for_reload(text: &str, file: &'a str, env: Env) -> Result<Self, ConfigError> {
        match parse_summarized(text) {
            Some(root) => Ok(Document { root, file, env }),
            None => Document::parse(text, file, env),
        }
    }

    /// The JSON value of the whole file, with the rows of the known list summed up.
    pub(super) fn into_root(mut self) -> Value {
        summarize_known(&mut self.root);
        self.root
    }

    fn malformed(&self, error: FileContentError) -> ConfigError {
        ConfigError::Malformed { file: self.file.to_owned(), error }
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.root.get(key).and_then(Value::as_str)
    }

    /// A value that the file must have.
    pub(super) fn require(&self, key: &'static str) -> Result<&Value, ConfigError> {
        self.root.get(key).ok_or(ConfigError::Missing(key))
    }

    /// A text from the environment variable, or from the file if the variable is not set.
    pub(super) fn variable_or_text(&self, variable: &str, key: &str) -> Option<String> {
        (self.env)(variable).or_else(|| self.text(key).map(str::to_owned))
    }

    /// A text that must be in the environment variable or in the file.
    pub(super) fn required_text(&self, variable: &str, key: &'static str) -> Result<String, ConfigError> {
        self.variable_or_text(variable, key).ok_or(ConfigError::Missing(key))
    }

    /// An address that the file may have.
    pub(super) fn optional_address(&self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        self.text(key).map(|text| parse_address(key, text)).transpose()
    }

    /// The seed, which is a number or a string of hexadecimal digits in the file.
    pub(super) fn seed(&self) -> Result<u64, ConfigError> {
        let seed = match self.require("seed")? {
            Value::String(digits) => u64::from_str_radix(digits, 16).ok(),
            number => number.as_u64(),
        };
        seed.ok_or_else(|| self.malformed(FileContentError::BadSeed))
    }

    /// The machine's limits; the defaults if the file has none.
    pub(super) fn limits(&self) -> Result<MachineLimits, ConfigError> {
        let Some(value) = self.root.get("limits") else { return Ok(MachineLimits::default()) };
        MachineLimits::deserialize(value).map_err(|error| self.malformed(FileContentError::BadLimits(error)))
    }

    /// The addresses of all dispatchers of the tier; empty if the file has none.
    pub(super) fn peers(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        let peers = self.root.get("peers").and_then(Value::as_array);
        let addresses = peers.into_iter().flatten().map(|peer| match peer.as_str() {
            Some(text) => parse_address("peers", text),
            None => Err(self.malformed(FileContentError::BadPeer)),
        });
        addresses.collect()
    }

    /// The last known endpoint list.
    pub(super) fn known_endpoints(&self) -> Result<EndpointList, ConfigError> {
        let known = self.require("known")?;
        EndpointList::from_json(known).ok_or_else(|| self.malformed(FileContentError::BadKnownList))
    }

    /// The settings, flattened to path=value pairs.
    pub(super) fn settings(&self) -> Result<Vec<(String, String)>, ConfigError> {
        self.require("settings").map(flatten)
    }
}

/// Parses the settings of the decision module and the names in them. Zones and kinds in `known_names` keep their ids.
pub(super) fn parse_settings(
    setting_texts: &SettingTexts<'_>,
    known_names: &NameTable,
) -> Result<(Settings, NameTable), ConfigError> {
    let (settings, names) = settings(setting_texts, &known_names.names).map_err(ModuleSettingsError::from)?;
    check_settings(&settings, &names)?;
    Ok((settings, NameTable { names }))
}

/// Checks that names and settings agree, and that the decision module accepts the settings.
fn check_settings(settings: &Settings, names: &Names) -> Result<(), ModuleSettingsError> {
    let has_class_names = names.classes.names().len() == settings.classes.len();
    let has_tenant_names = names.tenants.names().len() == settings.tenants.len();
    if !has_class_names || !has_tenant_names {
        return Err(ModuleSettingsError::DuplicateName);
    }
    Ok(settings.check()?)
}

/// A duration above 0 from the settings. The setting and `default_ms` are in milliseconds, the result is in microseconds.
pub(super) fn positive_duration(
    setting_texts: &SettingTexts<'_>,
    path: &'static str,
    default_ms: f64,
) -> Result<Micros, ConfigError> {
    let ms = setting_texts.number(path, default_ms).map_err(ModuleSettingsError::from)?;
    if ms > 0.0 { Ok(to_micros(ms)) } else { Err(ModuleSettingsError::NotPositive(path).into()) }
}

/// Parses the address with the key `name`. Error messages contain that key.
pub(super) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|error| ConfigError::BadAddress { name, text: text.to_owned(), error })
}
