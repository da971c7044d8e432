//! The faults in an operators' file.

use prost_reflect::text_format::ParseError;
use thiserror::Error;

/// All faults in a file, in the order in which they were found. There is at least one.
#[derive(Debug, Error)]
#[error("{}", lines_of(.faults))]
pub struct SettingsFileError {
    faults: Vec<SettingsFault>,
}

impl SettingsFileError {
    pub(super) fn new(faults: Vec<SettingsFault>) -> SettingsFileError {
        SettingsFileError { faults }
    }

    /// The faults, in the order in which they were found.
    pub fn faults(&self) -> &[SettingsFault] {
        &self.faults
    }
}

/// The text of all faults, one line each.
fn lines_of(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("\n")
}

/// One fault in a file.
#[derive(Debug, Error)]
#[error("{file}:{line}: {}{kind}", prefix_of(.field))]
pub struct SettingsFault {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field, such as `streams.listen`; empty if the fault is not in a field.
    pub field: String,
    /// The kind of fault.
    #[source]
    pub kind: FaultKind,
}

/// The prefix of a fault's text: the field, or nothing if the fault is not in a field.
fn prefix_of(field: &str) -> String {
    if field.is_empty() { String::new() } else { format!("{field}: ") }
}

/// The kind of a fault in a field, a section or the file.
#[derive(Debug, Error)]
pub enum FaultKind {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The text does not match the schema.
    #[error("{0}")]
    Syntax(#[source] ParseError),
    /// A text is not an address.
    #[error("{0:?} is not an address with a port")]
    NotAnAddress(String),
    /// A text is not an origin.
    #[error("{0:?} is not an origin such as https://pay.example")]
    NotAnOrigin(String),
    /// A number must be above 0.
    #[error("is not above 0")]
    NotPositive,
    /// A number is out of range.
    #[error("is not in the range {min} to {max}")]
    OutOfRange {
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The sync mode `INTERVAL` has no interval.
    #[error("INTERVAL needs interval_ms above 0")]
    IntervalMissing,
    /// An interval is set, but the sync mode is not `INTERVAL`.
    #[error("is used only with sync: INTERVAL")]
    IntervalUnused,
    /// The idempotency store has no directory.
    #[error("directory is not set")]
    DirectoryMissing,
    /// The probe timeout is not below the probe interval.
    #[error("is not below probe_interval_ms (500 if not set)")]
    ProbeTimeoutTooLong,
    /// A tenant has no name.
    #[error("a tenant has no name")]
    TenantNameMissing,
    /// The shares of the tenants are invalid.
    #[error("{0}")]
    BadShares(#[source] mothproxy_fairshare::ConfigError),
}
