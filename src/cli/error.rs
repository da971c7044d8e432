//! The errors of sub-commands, and the exit code of each.

use super::store::RecordError;
use mothproxy::config::ConfigError;
use mothproxy::server::ServerError;
use mothproxy::settings::SettingsFileError;
use mothproxy_store::StoreError;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use thiserror::Error;

/// The exit code of a sub-command that failed or found damage.
const EXIT_FAILED: u8 = 1;
/// The exit code of a sub-command with invalid input.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a sub-command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operators' file is invalid.
    #[error("{0}")]
    Settings(#[from] SettingsFileError),
    /// The configuration is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The program cannot serve.
    #[error("{0}")]
    Serve(#[from] ServerError),
    /// The store returned an error.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A directory cannot be used.
    #[error("{}: {error}", dir.display())]
    Directory {
        /// The directory.
        dir: PathBuf,
        /// The error of the system call.
        #[source]
        error: io::Error,
    },
    /// A directory contains no store.
    #[error("{}: the directory contains no store", .0.display())]
    NoStore(PathBuf),
    /// A directory contains files that do not belong to a store.
    #[error("{}: the directory contains files that do not belong to a store", .0.display())]
    ForeignFiles(PathBuf),
    /// A directory that must be empty is not.
    #[error("{}: the directory is not empty", .0.display())]
    NotEmpty(PathBuf),
    /// A line of standard input is invalid.
    #[error("standard input: line {line}: {error}")]
    BadLine {
        /// The line's number, from 1.
        line: u64,
        /// Why the line is invalid.
        #[source]
        error: RecordError,
    },
    /// Standard input cannot be read.
    #[error("standard input: {0}")]
    StandardInput(#[source] io::Error),
    /// Standard output was closed before all keys were printed.
    #[error("standard output was closed before all keys were printed")]
    StandardOutputClosed,
    /// The store could not write a record.
    #[error("{0}")]
    WriteFailed(#[source] Arc<StoreError>),
    /// A dump skipped damaged records.
    #[error("{}: {damaged} damaged places; all readable records were printed", dir.display())]
    DamageSkipped {
        /// The store's directory.
        dir: PathBuf,
        /// The number of damaged places.
        damaged: usize,
    },
    /// The store is damaged; each damage has been printed already.
    #[error("the store is damaged")]
    DamagePrinted,
    /// A measurement failed.
    #[error("{0}")]
    Bench(#[from] BenchError),
}

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The directory cannot be read.
    #[error("bench: {0}")]
    ReadDirectory(#[source] io::Error),
    /// A system call failed.
    #[error("bench: {0}")]
    Io(#[from] io::Error),
    /// A histogram cannot be created.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The results cannot be encoded as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The thread of the compaction panicked.
    #[error("bench: the thread of the compaction panicked")]
    CompactionPanicked,
    /// Recovery lost records.
    #[error("bench: recovery found {found} of {written} records")]
    RecordsLost {
        /// The number of records that were found.
        found: u64,
        /// The number of records that were written.
        written: u64,
    },
}

impl CommandError {
    /// Whether the error has been printed already.
    pub(super) fn is_reported(&self) -> bool {
        matches!(self, CommandError::DamagePrinted)
    }

    /// The exit code of the program.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Settings(_)
            | CommandError::Config(_)
            | CommandError::Directory { .. }
            | CommandError::NoStore(_)
            | CommandError::ForeignFiles(_)
            | CommandError::NotEmpty(_)
            | CommandError::BadLine { .. }
            | CommandError::Serve(ServerError::Config(_) | ServerError::Settings(_))
            | CommandError::Bench(BenchError::ReadDirectory(_)) => EXIT_BAD_INPUT,
            CommandError::Serve(_)
            | CommandError::StandardInput(_)
            | CommandError::StandardOutputClosed
            | CommandError::WriteFailed(_)
            | CommandError::DamageSkipped { .. }
            | CommandError::DamagePrinted
            | CommandError::Bench(_) => EXIT_FAILED,
            CommandError::Store(error) => store_exit_code(error),
        }
    }
}

fn store_exit_code(error: &StoreError) -> u8 {
    match error {
        StoreError::Damaged { .. }
        | StoreError::InDoubt { .. }
        | StoreError::NeedsRepair(_)
        | StoreError::Failing(_)
        | StoreError::QueueFull
        | StoreError::Closed => EXIT_FAILED,
        // The other errors mean that the directory on the command line cannot be used.
        _ => EXIT_BAD_INPUT,
    }
}
