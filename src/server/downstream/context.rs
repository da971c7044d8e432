//! What the handlers of clients' connections are given beside [`ClientConnections`].
//!
//! [`ClientConnections`]: crate::server::downstream::ClientConnections

use crate::policy::interface::Micros;
use crate::server::budget::Budget;
use crate::server::context::Context;
use crate::server::downstream::event_streams::EventStreams;
use crate::server::lifecycle::hot_restart::HotRestart;
use crate::server::peers::PeerLink;
use crate::server::pending_requests::PendingRequests;

/// What a handler of clients' connections may use: what every part may, the open requests, the jobs of the event streams, and
/// the rest to read.
pub(in crate::server) struct ClientContext<'a> {
    /// What every part may use.
    pub shared: Context<'a>,
    /// Requests that clients await responses to.
    pub pending: &'a mut PendingRequests,
    /// Jobs apart from their clients' connections, where the SSE address is on.
    pub event_streams: &'a mut Option<EventStreams>,
    /// The other process during an upgrade, which may have what a client asks for.
    pub hot_restart: &'a HotRestart,
    /// What the other dispatchers have announced.
    pub peers: &'a PeerLink,
    /// How many connections there may be.
    pub budget: Budget,
    /// The heartbeat of event streams; 0 where they are off.
    pub heartbeat: Micros,
}

impl ClientContext<'_> {
    /// When the events of this turn were taken.
    pub fn now(&self) -> Micros {
        self.shared.now()
    }

    /// Whether clients keep their connections: see [`Lifecycle::keeps_client_connections`].
    ///
    /// [`Lifecycle::keeps_client_connections`]: crate::server::lifecycle::Lifecycle::keeps_client_connections
    pub fn keeps_connections(&self) -> bool {
        self.shared.lifecycle.keeps_client_connections(self.now(), self.peers)
    }
}

/// The context of a client's handler, out of the server's fields: see `context!`.
macro_rules! client_context {
    ($server:ident) => {
        $crate::server::downstream::ClientContext {
            shared: $crate::server::context::context!($server),
            pending: &mut $server.pending,
            event_streams: &mut $server.event_streams,
            hot_restart: &$server.hot_restart,
            peers: &$server.peers,
            budget: $server.budget,
            heartbeat: $server.listeners.heartbeat(),
        }
    };
}
pub(in crate::server) use client_context;
