//! The process's own life: signals, graceful shutdown, drain, reload of the configuration, hot restart.

mod drain;
pub(in crate::server) mod hot_restart;
mod reload;
mod shutdown;
pub(in crate::server) mod signals;

use crate::core::shutdown_plan::ShutdownPlan;
use crate::policy::interface::Micros;
use crate::server::Server;

/// Whether this process is draining, shutting down or being replaced, and how far it is.
#[derive(Default)]
pub(in crate::server) struct Lifecycle {
    /// The plan of the shutdown, once that has been asked for.
    pub shutdown: Option<ShutdownPlan>,
    /// While shutting down, since when nothing is left to do.
    pub quiescent_since: Option<Micros>,
    /// Since when clients are sent elsewhere while the program goes on.
    pub drained_since: Option<Micros>,
    /// Whether the timer of the drain is set.
    pub is_drain_timer_set: bool,
    /// The shutdown is complete.
    pub is_done: bool,
    /// This process has handed its listening sockets over to a successor.
    pub has_handed_over: bool,
}

impl Lifecycle {
    /// Whether a shutdown has been asked for.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether clients are to turn to other dispatchers: while shutting down, or out of service.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down() || self.drained_since.is_some()
    }
}

impl Server {
    /// Whether clients keep their connections: all the time while serving, and while shutting down as long as no other
    /// dispatcher could take them. Out of service they are let go in any case.
    pub(in crate::server) fn keeps_client_connections(&self) -> bool {
        if self.lifecycle.has_handed_over {
            return true; // they go over to the successor as they are
        }
        let is_held =
            |plan: ShutdownPlan| self.clock.now() < plan.keep_clients_until && self.peers.have_all_stopped();
        self.lifecycle.drained_since.is_none() && self.lifecycle.shutdown.is_none_or(is_held)
    }
}
