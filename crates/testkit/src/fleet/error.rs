//! Errors of building or starting a fleet, and of an exchange over a connection.

use std::path::PathBuf;

/// Why a fleet could not be built or started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The plan has too few or too many processes or workers.
    #[error("a fleet of {processes} processes and {workers} workers: 1 to 120 and 1 to 80 can be")]
    Size {
        /// The number of processes.
        processes: usize,
        /// The number of workers.
        workers: usize,
    },
    /// A socket of the harness could not be opened.
    #[error("a socket of the harness: {0}")]
    Socket(#[source] std::io::Error),
    /// A file or folder could not be written or found.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A process could not be started.
    #[error("process {process} cannot be started: {source}")]
    Start {
        /// Its number.
        process: usize,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process is already running.
    #[error("process {0} runs already")]
    AlreadyRunning(usize),
}

/// A connection broke, or the received bytes are not HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection broke, or what came on it is not HTTP")]
pub struct ConnectionFailed;
