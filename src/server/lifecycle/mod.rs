//! The lifecycle of the process: signals, graceful shutdown, drain, reload of the configuration, hot restart.
//!
//! Each of these affects most parts of the server, especially client connections. Therefore their steps are methods of
//! [`Server`](crate::server::Server); their state is in [`Lifecycle`] and [`hot_restart::HotRestart`].

mod drain;
pub(in crate::server) mod hot_restart;
mod reload;
mod shutdown;
pub(in crate::server) mod signals;

use crate::core::shutdown_plan::ShutdownPlan;
use crate::policy::interface::Micros;
use crate::server::peers::PeerLink;

/// Whether this process is draining, shutting down or being replaced, and how far that has progressed. Only this module and its
/// submodules write it.
#[derive(Default)]
pub(in crate::server) struct Lifecycle {
    /// The plan of the shutdown, once a shutdown has been requested.
    shutdown: Option<ShutdownPlan>,
    /// While shutting down: the time since which no work has been left.
    quiescent_since: Option<Micros>,
    /// The start of the drain; `None` while not draining.
    drained_since: Option<Micros>,
    is_drain_timer_set: bool,
    /// Whether the shutdown is complete.
    is_done: bool,
    /// Whether this process has handed its listening sockets over to a successor.
    has_handed_over: bool,
}

impl Lifecycle {
    /// The plan of the shutdown, once a shutdown has been requested.
    pub fn shutdown(&self) -> Option<ShutdownPlan> {
        self.shutdown
    }

    /// Whether a shutdown has been requested.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether clients should go to other dispatchers: while shutting down or draining.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down() || self.drained_since.is_some()
    }

    /// Whether the shutdown is complete.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether this process has handed its listening sockets over to a successor.
    pub fn has_handed_over(&self) -> bool {
        self.has_handed_over
    }

    /// Whether client connections are kept open. They are while this dispatcher serves, and during a shutdown while no other
    /// dispatcher could take the clients (at most until the plan's `keep_clients_until`). During a drain they are not.
    pub fn keeps_client_connections(&self, now: Micros, peers: &PeerLink) -> bool {
        if self.has_handed_over {
            return true; // open connections are handed over to the successor
        }
        let keeps_clients =
            |plan: ShutdownPlan| now < plan.keep_clients_until && peers.are_all_neighbors_stopping();
        self.drained_since.is_none() && self.shutdown.is_none_or(keeps_clients)
    }
}
