//! The process's own life: signals, graceful shutdown, drain, reload of the configuration, hot restart.
//!
//! Each of these concerns most parts, connections of clients above all. So their steps are methods of the server; their state
//! is in [`Lifecycle`] and [`hot_restart::HotRestart`].

mod drain;
pub(in crate::server) mod hot_restart;
mod reload;
mod shutdown;
pub(in crate::server) mod signals;

use crate::core::shutdown_plan::ShutdownPlan;
use crate::policy::interface::Micros;
use crate::server::peers::PeerLink;

/// Whether this process is draining, shutting down or being replaced, and how far it is. Only this folder writes it.
#[derive(Default)]
pub(in crate::server) struct Lifecycle {
    /// The plan of the shutdown, once that has been asked for.
    shutdown: Option<ShutdownPlan>,
    /// While shutting down, since when nothing is left to do.
    quiescent_since: Option<Micros>,
    /// Since when clients are sent elsewhere while the program goes on.
    drained_since: Option<Micros>,
    /// Whether the timer of the drain is set.
    is_drain_timer_set: bool,
    /// The shutdown is complete.
    is_done: bool,
    /// This process has handed its listening sockets over to a successor.
    has_handed_over: bool,
}

impl Lifecycle {
    /// The plan of the shutdown, once that has been asked for.
    pub fn shutdown(&self) -> Option<ShutdownPlan> {
        self.shutdown
    }

    /// Whether a shutdown has been asked for.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether clients are to turn to other dispatchers: while shutting down, or out of service.
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

    /// Whether clients keep their connections: all the time while serving, and while shutting down as long as no other
    /// dispatcher could take them. Out of service they are let go in any case.
    pub fn keeps_client_connections(&self, now: Micros, peers: &PeerLink) -> bool {
        if self.has_handed_over {
            return true; // they go over to the successor as they are
        }
        let is_held = |plan: ShutdownPlan| now < plan.keep_clients_until && peers.have_all_stopped();
        self.drained_since.is_none() && self.shutdown.is_none_or(is_held)
    }
}
