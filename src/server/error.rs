//! The error type of the server.

use crate::config::ConfigError;
use crate::policy::interface::SettingsError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the program cannot start or continue to serve.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration is invalid.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The decision module rejected the settings.
    #[error("configuration: {0}")]
    Settings(#[source] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] std::io::Error),
    /// Another system call failed; the text names the operation.
    #[error("{0}: {1}")]
    System(&'static str, #[source] std::io::Error),
    /// The directory of the idempotency records cannot be used.
    #[error("state directory {directory}: {1}", directory = .0.display())]
    State(PathBuf, #[source] mothproxy_store::StoreError),
}

/// Wraps an I/O error with the name of the operation.
pub(super) fn io_failed(operation: &'static str) -> impl Fn(std::io::Error) -> ServerError {
    move |error| ServerError::System(operation, error)
}

/// Wraps the error of a system call with the name of the operation.
pub(super) fn syscall_failed(operation: &'static str) -> impl Fn(rustix::io::Errno) -> ServerError {
    move |error| ServerError::System(operation, error.into())
}
