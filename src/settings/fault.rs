//! Faults of the operators' file.

use prost_reflect::text_format::ParseError;
use thiserror::Error;

/// All faults of a file, in the order in which they were found; there is at least one.
#[derive(Debug, Error)]
#[error("{}", lines_of(.faults))]
pub struct SettingsFileError {
    faults: Vec<SettingsFault>,
}

impl SettingsFileError {
    pub(super) fn new(faults: Vec<SettingsFault>) -> SettingsFileError {
        SettingsFileError { faults }
    }

    /// The faults.
    pub fn faults(&self) -> &[SettingsFault] {
        &self.faults
    }
}

/// One fault a line.
fn lines_of(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("\n")
}

/// One fault of a file.
#[derive(Debug, Error)]
#[error("{file}:{line}: {}{kind}", prefix_of(.field))]
pub struct SettingsFault {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field, such as `streams.listen`; empty where the text cannot be read at all.
    pub field: String,
    /// What is wrong.
    #[source]
    pub kind: FaultKind,
}

/// A field as it stands before what is wrong with it; nothing where there is no field.
fn prefix_of(field: &str) -> String {
    if field.is_empty() { String::new() } else { format!("{field}: ") }
}

/// What is wrong with a field, or with the file as a whole.
#[derive(Debug, Error)]
pub enum FaultKind {
    /// The file cannot be read.
    #[error("cannot read it: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The text does not fit the schema.
    #[error("{0}")]
    Syntax(#[source] ParseError),
    /// A text is not an address.
    #[error("{0:?} is not an address with a port")]
    NotAnAddress(String),
    /// A text is not an origin.
    #[error("{0:?} is no origin such as https://pay.example")]
    NotAnOrigin(String),
    /// A number must be above 0.
    #[error("is not above 0")]
    NotPositive,
    /// A number is out of range.
    #[error("is not {min} to {max}")]
    OutOfRange {
        /// The least value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// Writes at an interval have no interval.
    #[error("INTERVAL needs interval_ms above 0")]
    IntervalMissing,
    /// An interval is given for writes that have none.
    #[error("it counts with sync: INTERVAL only")]
    IntervalUnused,
    /// The idempotency store has no directory.
    #[error("it has no directory")]
    DirectoryMissing,
    /// A probe may take longer than the interval between probes.
    #[error("is not below probe_interval_ms (500 where that is absent)")]
    ProbeTimeoutTooLong,
    /// A tenant has no name.
    #[error("one has no name")]
    TenantNameMissing,
    /// The shares of the tenants are not in order.
    #[error("{0}")]
    BadShares(#[source] mothproxy_fairshare::ConfigError),
}
