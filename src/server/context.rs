//! The context that each handler receives in addition to its own part of the server.

use crate::config::Config;
use crate::core::Core;
use crate::policy::interface::Micros;
use crate::server::clock::Clock;
use crate::server::lifecycle::Lifecycle;
use crate::server::metrics::Metrics;
use crate::server::peers::PeerSocket;
use crate::server::poll_history::PollHistory;
use crate::server::reactor::Reactor;

/// The state that every part may use. The core, the reactor, the counters and the clock may be changed; the rest is read only.
/// A handler that writes the state of another part names that part in its signature.
pub(super) struct Context<'a> {
    /// The core, which processes the events and holds the timers.
    pub core: &'a mut Core,
    /// Epoll and all connections.
    pub reactor: &'a mut Reactor,
    /// The counters of this process.
    pub metrics: &'a mut Metrics,
    /// The current configuration.
    pub config: &'a Config,
    /// Whether this process drains, shuts down or has handed over.
    pub lifecycle: &'a Lifecycle,
    /// The datagram socket to the other dispatchers.
    pub peer_socket: &'a PeerSocket,
    /// The polls of the event loop so far.
    pub polls: &'a PollHistory,
    /// The clock of the event loop.
    pub clock: &'a mut Clock,
}

impl Context<'_> {
    /// The time at which the events of this turn were polled, or a later update of the clock in a long turn.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Sends a datagram, which may get lost, to the dispatcher at place `to`. After a handover nothing is sent, because the
    /// successor then sends on behalf of both processes.
    pub fn send_to_peer(&self, to: u32, bytes: &[u8]) {
        if !self.lifecycle.has_handed_over() {
            self.peer_socket.send(self.config, to, bytes);
        }
    }
}

/// Builds the context of a handler from the server's fields. This is a macro because a method would borrow the whole server,
/// including the part whose handler is called.
macro_rules! context {
    ($server:ident) => {
        $crate::server::context::Context {
            core: &mut $server.core,
            reactor: &mut $server.reactor,
            metrics: &mut $server.metrics,
            config: &$server.config,
            lifecycle: &$server.lifecycle,
            peer_socket: &$server.peer_socket,
            polls: &$server.polls,
            clock: &mut $server.clock,
        }
    };
}
pub(super) use context;
