//! Errors in a configuration.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;
use std::net::AddrParseError;
use thiserror::Error;

/// An error in a configuration, which is therefore refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {file}: {error}")]
    Unreadable {
        /// The file's name.
        file: String,
        /// Why the file could not be read.
        #[source]
        error: io::Error,
    },
    /// The content of a file is invalid.
    #[error("{file}: {error}")]
    Malformed {
        /// The file's name.
        file: String,
        /// What is wrong with the content.
        #[source]
        error: FileContentError,
    },
    /// A required value is missing; its name.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value is not an address.
    #[error("{name} is not an address: {text:?}")]
    BadAddress {
        /// The value's name.
        name: &'static str,
        /// The text of the value.
        text: String,
        /// Why the text is not an address.
        #[source]
        error: AddrParseError,
    },
    /// The settings of the decision module are invalid.
    #[error("settings: {0}")]
    BadSettings(#[from] ModuleSettingsError),
}

/// What is wrong with the content of a file.
#[derive(Debug, Error)]
pub enum FileContentError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The file is not TOML or has unknown keys.
    #[error("{0}")]
    NotToml(#[source] toml::de::Error),
    /// The limits of the machine are invalid.
    #[error("limits: {0}")]
    BadLimits(#[source] serde_json::Error),
    /// An item of `peers` is not a JSON string.
    #[error("peers: an item is not a string")]
    BadPeer,
    /// The last known endpoint list is invalid.
    #[error("known is not an endpoint list")]
    BadKnownList,
    /// The seed is invalid.
    #[error("seed is neither an unsigned 64-bit number nor a string of hexadecimal digits for one")]
    BadSeed,
    /// A key of the running configuration is missing; its path.
    #[error("{0} is missing")]
    MissingKey(String),
    /// A number in the file must be above 0; its key.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// An item of `origins` is not an origin; its text.
    #[error("origins: {0:?} is not an origin such as https://pay.example")]
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
