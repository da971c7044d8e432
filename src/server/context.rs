//! What the handlers of a part are given beside the part itself.

use crate::config::Config;
use crate::core::Core;
use crate::policy::interface::Micros;
use crate::server::clock::Clock;
use crate::server::lifecycle::Lifecycle;
use crate::server::metrics::Metrics;
use crate::server::peers::PeerSocket;
use crate::server::reactor::Reactor;

/// What every part may use. A handler that writes the state of another part has that part in its signature as well; what is
/// shared here is read only, but for the core, the reactor, the counters and the clock.
pub(super) struct Context<'a> {
    /// Where events go, and where the timers are.
    pub core: &'a mut Core,
    /// Epoll, and all connections.
    pub reactor: &'a mut Reactor,
    /// What is counted.
    pub metrics: &'a mut Metrics,
    /// The configuration that counts.
    pub config: &'a Config,
    /// Whether this process drains, shuts down or has handed over.
    pub lifecycle: &'a Lifecycle,
    /// The socket to the other dispatchers.
    pub peer_socket: &'a PeerSocket,
    /// The time of this turn.
    pub clock: &'a mut Clock,
}

impl Context<'_> {
    /// When the events of this turn were taken.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Sends a datagram to another dispatcher, which may get lost. During an upgrade the successor speaks for both processes.
    pub fn send_to_peer(&self, to: u32, bytes: &[u8]) {
        if !self.lifecycle.has_handed_over() {
            self.peer_socket.send(self.config, to, bytes);
        }
    }
}

/// The context of a handler, out of the server's fields. A method would borrow the whole server, and with it the part whose
/// handler is called.
macro_rules! context {
    ($server:ident) => {
        $crate::server::context::Context {
            core: &mut $server.core,
            reactor: &mut $server.reactor,
            metrics: &mut $server.metrics,
            config: &$server.config,
            lifecycle: &$server.lifecycle,
            peer_socket: &$server.peer_socket,
            clock: &mut $server.clock,
        }
    };
}
pub(super) use context;
