//! Why the program cannot serve.

use crate::config::ConfigError;
use crate::policy::interface::SettingsError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the program cannot start or go on serving.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration is out of order.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The policy did not accept the settings.
    #[error("configuration: {0}")]
    Settings(#[source] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] std::io::Error),
    /// The system refused something else, which the text names.
    #[error("{0}: {1}")]
    System(&'static str, #[source] std::io::Error),
    /// The directory of the idempotency records cannot be used.
    #[error("state directory {directory}: {1}", directory = .0.display())]
    State(PathBuf, #[source] mothproxy_store::StoreError),
}

/// Wraps an I/O error with the name of what was being done.
pub(super) fn io_failed(what: &'static str) -> impl Fn(std::io::Error) -> ServerError {
    move |error| ServerError::System(what, error)
}

/// Wraps an error of a system call with the name of what was being done.
pub(super) fn system(what: &'static str) -> impl Fn(rustix::io::Errno) -> ServerError {
    move |error| ServerError::System(what, error.into())
}
