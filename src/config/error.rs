//! Why a configuration is not taken.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;
use std::net::AddrParseError;
use thiserror::Error;

/// Why a configuration is not taken.
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
    /// A file is not in order.
    #[error("{file}: {error}")]
    Malformed {
        /// The file's name.
        file: String,
        /// What is wrong with it.
        #[source]
        error: FileContentError,
    },
    /// A value that is required is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value does not read as an address.
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
    /// The settings of the decision module are not in order.
    #[error("settings: {0}")]
    BadSettings(#[from] ModuleSettingsError),
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum FileContentError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The file is not TOML, or has keys that are not known.
    #[error("{0}")]
    NotToml(#[source] toml::de::Error),
    /// The limits of the machine cannot be read.
    #[error("limits: {0}")]
    BadLimits(#[source] serde_json::Error),
    /// A peer is not a text.
    #[error("peers: not an address")]
    BadPeer,
    /// The endpoint list last known cannot be read.
    #[error("known is not a list")]
    BadKnownList,
    /// The seed cannot be read.
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
    /// A setting cannot be read.
    #[error(transparent)]
    Unreadable(#[from] NotANumber),
    /// A setting must be above 0; its path.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// Two classes or two tenants have one name.
    #[error("two classes or tenants have one name")]
    DuplicateName,
    /// The decision module does not take the settings.
    #[error(transparent)]
    Refused(#[from] SettingsError),
}
