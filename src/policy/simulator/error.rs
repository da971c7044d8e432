//! The errors of the simulator's line protocol.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;

/// The reason why [`Host::serve`](super::Host::serve) stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line of the input is malformed.
    #[error("line {line}: {error}")]
    Malformed {
        /// The line's number, from 1.
        line: u64,
        /// The fault of the line.
        #[source]
        error: LineError,
    },
}

/// The fault of a malformed line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The input ends within a batch.
    #[error("the batch is cut short: no commit")]
    CutShort,
    /// A batch begins within another batch.
    #[error("batch: the previous batch has no commit")]
    NestedBatch,
    /// A message comes before the first batch or between two batches.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// Another message comes before the last row of a table.
    #[error("{message}: the table lacks {missing} of its rows")]
    TableCutShort {
        /// The name of the message.
        message: String,
        /// The number of missing rows.
        missing: usize,
    },
    /// A table's number is too high.
    #[error("table: Table {0} is not between 0 and 15")]
    TableOutOfRange(usize),
    /// A message refers to a table that was never sent.
    #[error("announce: Table {0} is not defined")]
    UnknownTable(usize),
    /// A required field is missing or empty.
    #[error("{message}: no {field}")]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
    },
    /// A field that must be a number is not one.
    #[error("{message}: {field} is not a number: {text:?}")]
    NotANumber {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
        /// The text of the field.
        text: String,
    },
    /// A field that must be a finite number is infinite or NaN.
    #[error("{message}: {field} is not finite")]
    NotFinite {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
    },
    /// A field has a number that stands for none of its values.
    #[error("{message}: unknown {field} {code}")]
    UnknownCode {
        /// The name of the message.
        message: &'static str,
        /// The name of the field.
        field: &'static str,
        /// The number in the field.
        code: i64,
    },
    /// The outcome of an attempt or a probe is unknown.
    #[error("{message}: unknown Ending {ending:?}")]
    UnknownEnding {
        /// The name of the message.
        message: String,
        /// The text of the field `Ending`.
        ending: String,
    },
    /// The content of a peer message is missing or not hexadecimal.
    #[error("mail: Blob is not hex")]
    NotHex,
    /// A message comes before the first `instance` line of its batch.
    #[error("{0}: no instance named")]
    NoInstance(String),
    /// A message is for an instance that was never created or has been removed.
    #[error("{message}: unknown instance {name:?}")]
    UnknownInstance {
        /// The name of the message.
        message: String,
        /// The name of the instance.
        name: String,
    },
    /// A setting of a new instance cannot be read.
    #[error("hello: {0}")]
    UnreadableSettings(#[source] SettingNotANumber),
    /// The settings of a new instance are not consistent.
    #[error("hello: {0}")]
    BadSettings(#[source] SettingsError),
}

/// The error for a setting of a `hello` line that is not a number although it must be one.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingNotANumber(#[from] NotANumber);
