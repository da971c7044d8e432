//! Errors of building or starting a fleet, and of exchanges on a connection.

use std::path::PathBuf;

/// Why a fleet could not be built or started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The plan has too few or too many processes or workers.
    #[error("fleet size out of range: {processes} processes (1 to 120), {workers} workers (1 to 80)")]
    Size {
        /// The number of processes.
        processes: usize,
        /// The number of workers.
        workers: usize,
    },
    /// A socket of the harness could not be opened.
    #[error("cannot open a socket of the harness: {0}")]
    Socket(#[source] std::io::Error),
    /// A file or folder could not be written or found.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process could not be started.
    #[error("cannot start process {process}: {source}")]
    Start {
        /// The number of the process.
        process: usize,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process is already running.
    #[error("process {0} is already running")]
    AlreadyRunning(usize),
}

/// A connection broke, or the received bytes are not HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection broken, or received bytes are not HTTP")]
pub struct ConnectionFailed;
