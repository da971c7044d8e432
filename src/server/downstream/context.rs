//! The context that the handlers of clients' connections get in addition to [`ClientConnections`].
//!
//! [`ClientConnections`]: crate::server::downstream::ClientConnections

use crate::policy::interface::Micros;
use crate::server::budget::Budget;
use crate::server::context::Context;
use crate::server::downstream::event_streams::EventStreams;
use crate::server::lifecycle::hot_restart::HotRestart;
use crate::server::peers::PeerLink;
use crate::server::pending_requests::PendingRequests;

/// The state that a handler of clients' connections may use. The handler may change what every part may change, the open
/// requests and the jobs of the event streams; the rest is read only.
pub(in crate::server) struct ClientContext<'a> {
    /// The context of every part.
    pub shared: Context<'a>,
    /// The open requests.
    pub pending: &'a mut PendingRequests,
    /// Submitted jobs and their watchers, if the SSE listener is on.
    pub event_streams: &'a mut Option<EventStreams>,
    /// The other process during a hot restart. It may hold the request or job that a client or worker refers to.
    pub hot_restart: &'a HotRestart,
    /// The lifecycle states that the peers have announced.
    pub peers: &'a PeerLink,
    /// The maximum numbers of connections.
    pub budget: Budget,
    /// The heartbeat interval of event streams, in microseconds; 0 if they are off.
    pub heartbeat_interval: Micros,
}

impl ClientContext<'_> {
    /// The time at which the events of this turn were polled.
    pub fn now(&self) -> Micros {
        self.shared.now()
    }

    /// Whether clients may keep their connections: see [`Lifecycle::keeps_client_connections`].
    ///
    /// [`Lifecycle::keeps_client_connections`]: crate::server::lifecycle::Lifecycle::keeps_client_connections
    pub fn keeps_connections(&self) -> bool {
        self.shared.lifecycle.keeps_client_connections(self.now(), self.peers)
    }
}

/// Builds a [`ClientContext`] from the server's fields, as `context!` builds a [`Context`].
macro_rules! client_context {
    ($server:ident) => {
        $crate::server::downstream::ClientContext {
            shared: $crate::server::context::context!($server),
            pending: &mut $server.pending,
            event_streams: &mut $server.event_streams,
            hot_restart: &$server.hot_restart,
            peers: &$server.peers,
            budget: $server.budget,
            heartbeat_interval: $server.listeners.heartbeat_interval(),
        }
    };
}
pub(in crate::server) use client_context;
