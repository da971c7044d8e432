//! Errors of the store.

use std::io;
use std::sync::Arc;

/// An error of the store. Errors of files name the file and, if it applies, the offset in bytes.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A system call failed.
    #[error("{operation} {file}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The name of the file or directory.
        file: String,
        /// The error of the system call.
        source: io::Error,
    },
    /// Another process has the directory open.
    #[error("{0}: in use by another process")]
    Locked(String),
    /// The file was written by a version that this one cannot read.
    #[error("{file}: format version {found}; this program reads version {known}")]
    Version {
        /// The name of the file.
        file: String,
        /// The version of the file.
        found: u16,
        /// The version that this program reads.
        known: u16,
    },
    /// A record is damaged.
    #[error("{file}: the record at offset {offset} is damaged")]
    Damaged {
        /// The name of the file.
        file: String,
        /// The offset of the record, in bytes.
        offset: u64,
    },
    /// Damage may hide a newer value of this key, so older values are not returned.
    #[error("{file}: damage at offset {offset} may hide a newer value of this key")]
    InDoubt {
        /// The name of the file.
        file: String,
        /// The offset of the damage, in bytes.
        offset: u64,
    },
    /// A key, value or batch is out of bounds.
    #[error("{0}")]
    Invalid(#[from] BatchError),
    /// The disk failed. Each further write tries the disk again. All batches of a group share the error.
    #[error("the disk failed: {0}")]
    Failing(#[source] Arc<StoreError>),
    /// The queue of batches would exceed [`crate::Options::max_queued_bytes`].
    #[error("the write queue is full: too many writes wait for the disk")]
    QueueFull,
    /// The store was closed.
    #[error("the store is closed")]
    Closed,
    /// The store is damaged, and the call would hide the damage. The field is the number of damaged places.
    #[error("the store is damaged in {0} places; `verify` lists them")]
    NeedsRepair(usize),
}

/// Why a batch was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// A key is empty.
    #[error("a key is empty")]
    EmptyKey,
    /// A key is longer than [`crate::MAX_KEY`].
    #[error("a key has {0} bytes; the maximum is {max}", max = crate::MAX_KEY)]
    KeyTooLong(usize),
    /// A value is longer than [`crate::MAX_VALUE`].
    #[error("a value has {0} bytes; the maximum is {max}", max = crate::MAX_VALUE)]
    ValueTooLong(usize),
    /// The batch is larger than [`crate::MAX_BATCH`].
    #[error("a batch has {0} bytes; the maximum is {max}", max = crate::MAX_BATCH)]
    BatchTooLarge(usize),
}

/// Returns a function that adds the operation and the file to an I/O error.
pub(crate) fn io_error<'a>(
    operation: &'static str,
    file: &'a str,
) -> impl FnOnce(io::Error) -> StoreError + 'a {
    move |source| StoreError::Io { operation, file: file.to_owned(), source }
}
