//! What can be wrong with the simulator's lines.

use crate::policy::interface::SettingsError;
use crate::policy::settings_map::NotANumber;
use std::io;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line of the input, by its number, is malformed.
    #[error("line {line}: {error}")]
    Malformed {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong there.
        #[source]
        error: LineError,
    },
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is no text.
    #[error("not UTF-8")]
    NotUtf8,
    /// The input ends within a batch.
    #[error("the batch is cut short: no commit")]
    CutShort,
    /// A batch begins within another one.
    #[error("batch: the batch before it has no commit")]
    NestedBatch,
    /// A message comes before the first batch or between two.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A message comes where rows of a table must.
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
    /// A field has a number that stands for nothing.
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
    /// The bytes of a peer message are not in hexadecimal digits.
    #[error("mail: Blob is not hex")]
    NotHex,
    /// A message comes before any `instance`.
    #[error("{0}: no instance named")]
    NoInstance(String),
    /// A message is for an instance that was never set up, or is gone.
    #[error("{message}: unknown instance {name:?}")]
    UnknownInstance {
        /// The message.
        message: String,
        /// The instance.
        name: String,
    },
    /// The settings of a new instance cannot be read.
    #[error("hello: {0}")]
    UnreadableSettings(#[source] SettingNotANumber),
    /// The settings of a new instance are not consistent.
    #[error("hello: {0}")]
    BadSettings(#[source] SettingsError),
}

/// A setting of a `hello` line that should be a number is none.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingNotANumber(#[from] NotANumber);
