//! Why a fleet could not be made or started, and why an exchange over a connection failed.

use std::path::PathBuf;

/// Why a fleet could not be made or started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The plan asks for what cannot be.
    #[error("a fleet of {processes} processes and {workers} workers: 1 to 120 and 1 to 80 can be")]
    Size {
        /// Processes of the plan.
        processes: usize,
        /// Workers of the plan.
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
    /// A process runs already.
    #[error("process {0} runs already")]
    AlreadyRunning(usize),
}

/// A connection broke, or what came on it is not HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection broke, or what came on it is not HTTP")]
pub struct ConnectionFailed;
