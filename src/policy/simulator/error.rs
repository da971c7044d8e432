//! The errors of the simulator's line protocol.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;

/// Why [`Host::serve`](super::Host::serve) stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line of the input is malformed.
    #[error("line {line}: {error}")]
    Malformed {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with it.
        #[source]
        error: LineError,
    },
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The input ends within a batch.
    #[error("the batch is cut short: no commit")]
    CutShort,
    /// A batch begins within another batch.
    #[error("batch: the batch before it has no commit")]
    NestedBatch,
    /// A message comes before the first batch or between two batches.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// Another message comes before all rows of a table have come.
    #[error("{message}: the table lacks {missing} of its rows")]
    TableCutShort {
        /// The message.
        message: String,
        /// How many rows are missing.
        missing: usize,
    },
    /// A table's number is too high.
    #[error("table: Table {0} is not 0 to 15")]
    TableOutOfRange(usize),
    /// A message refers to a table that was never sent.
    #[error("announce: Table {0} is not defined")]
    UnknownTable(usize),
    /// A field is missing.
    #[error("{message}: no {field}")]
    MissingField {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field is not a number.
    #[error("{message}: {field} is not a number: {text:?}")]
    NotANumber {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// What it holds.
        text: String,
    },
    /// A field is not a finite number.
    #[error("{message}: {field} is not finite")]
    NotFinite {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field has a number without a meaning.
    #[error("{message}: unknown {field} {code}")]
    UnknownCode {
        /// The message.
        message: &'static str,
        /// The field.
        field: &'static str,
        /// The number.
        code: i64,
    },
    /// An attempt or a probe ended in an unknown way.
    #[error("{message}: unknown Ending {ending:?}")]
    UnknownEnding {
        /// The message.
        message: String,
        /// The ending.
        ending: String,
    },
    /// The bytes of a peer message are missing or not hexadecimal.
    #[error("mail: Blob is not hex")]
    NotHex,
    /// A message comes before any `instance` line of its batch.
    #[error("{0}: no instance named")]
    NoInstance(String),
    /// A message is for an instance that was never created or has been removed.
    #[error("{message}: unknown instance {name:?}")]
    UnknownInstance {
        /// The message.
        message: String,
        /// The instance.
        name: String,
    },
    /// A setting of a new instance cannot be read.
    #[error("hello: {0}")]
    UnreadableSettings(#[source] SettingNotANumber),
    /// The settings of a new instance are not consistent.
    #[error("hello: {0}")]
    BadSettings(#[source] SettingsError),
}

/// A setting of a `hello` line that must be a number is not one.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingNotANumber(#[from] NotANumber);
