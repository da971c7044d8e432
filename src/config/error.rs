//! Why a configuration is refused.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;
use std::net::AddrParseError;
use thiserror::Error;

/// Why a configuration is refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {file}: {error}")]
    Unreadable {
        /// The file's name.
        file: String,
        /// Why.
        #[source]
        error: io::Error,
    },
    /// The content of a file is invalid.
    #[error("{file}: {error}")]
    Malformed {
        /// The file's name.
        file: String,
        /// What is wrong with it.
        #[source]
        error: FileContentError,
    },
    /// A required value is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value is not an address.
    #[error("{name} is not an address: {text:?}")]
    BadAddress {
        /// The value's name.
        name: &'static str,
        /// Its text.
        text: String,
        /// What is wrong with it.
        #[source]
        error: AddrParseError,
    },
    /// The settings of the decision module are invalid.
    #[error("settings: {0}")]
    BadSettings(#[from] ModuleSettingsError),
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum FileContentError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The file is not TOML, or it has unknown keys.
    #[error("{0}")]
    NotToml(#[source] toml::de::Error),
    /// The limits of the machine are invalid.
    #[error("limits: {0}")]
    BadLimits(#[source] serde_json::Error),
    /// A peer is not a JSON string.
    #[error("peers: not an address")]
    BadPeer,
    /// The endpoint list that was last known is invalid.
    #[error("known is not a list")]
    BadKnownList,
    /// The seed is invalid.
    #[error("seed is not a hexadecimal number")]
    BadSeed,
    /// A key that the running configuration has is missing.
    #[error("{0} is missing")]
    MissingKey(String),
    /// A number of the file must be above 0; its key.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// A text is not an origin.
    #[error("origins: {0:?} is no origin such as https://pay.example")]
    BadOrigin(String),
}

/// What is wrong with the settings of the decision module.
#[derive(Debug, Error)]
pub enum ModuleSettingsError {
    /// A setting is not a number.
    #[error(transparent)]
    Unreadable(#[from] NotANumber),
    /// A setting must be above 0; its path.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// Two classes or two tenants have the same name.
    #[error("two classes or tenants have one name")]
    DuplicateName,
    /// The decision module refuses the settings.
    #[error(transparent)]
    Refused(#[from] SettingsError),
}
