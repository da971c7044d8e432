//! Faults of the operators' file.

use prost_reflect::text_format::ParseError;
use std::fmt;
use thiserror::Error;

/// All faults of a file, in the order in which they were found; there is at least one.
#[derive(Debug)]
pub struct SettingsFileError(pub Vec<SettingsFault>);

impl SettingsFileError {
    pub(super) fn single(fault: SettingsFault) -> SettingsFileError {
        SettingsFileError(vec![fault])
    }
}

/// One fault a line.
impl fmt::Display for SettingsFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(SettingsFault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsFileError {}

/// One fault of a file.
#[derive(Debug)]
pub struct SettingsFault {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field, such as `streams.listen`; empty where the text cannot be read at all.
    pub field: String,
    /// What is wrong.
    pub kind: FaultKind,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.kind)
    }
}

impl std::error::Error for SettingsFault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
    }
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
