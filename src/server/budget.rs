//! The number of connections that this process may hold, within the limits of descriptors and memory.

use crate::config::MachineLimits;
use crate::policy::interface::Micros;
use crate::server::downstream::context::client_context;
use crate::server::{Server, downstream};

/// Descriptors that no client, worker or probe may use: standard streams (3), epoll, listeners (3), signals (2), datagrams,
/// the sockets of a hot restart (2), the descriptors of a handover packet (4), callers of the admin address (16), calls to
/// discovery (a watch, its replacement and a full list), and files that are read (5).
pub(super) const RESERVED_DESCRIPTORS: usize = 40;
/// The minimum number of connections, regardless of the limits.
const MIN_CONNECTIONS: usize = 16;
/// The memory of one connection, in bytes: the buffers of one complete request and one complete response.
const CONNECTION_BYTES: usize = 2 * 96 * 1024;

/// The maximum numbers of connections. However many connections clients hold, a sixth is left for workers and probes, and a
/// sixth for callbacks and for rejecting clients when there is no capacity. Discovery uses reserved descriptors.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    /// All connections of clients and to workers.
    pub connections: usize,
    /// Client connections beyond this are rejected.
    pub clients: usize,
    /// Client connections beyond this are not accepted.
    pub max_accepted_clients: usize,
}

impl Budget {
    /// Computes the budget for these limits. `reserved` is the number of descriptors that are used in addition to
    /// [`RESERVED_DESCRIPTORS`].
    pub fn new(limits: MachineLimits, reserved: usize) -> Budget {
        let by_memory = (limits.memory_mb as usize * 1024 * 1024) / CONNECTION_BYTES;
        // The system's limit may be lower than the configured one.
        let open_files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = open_files.map_or(limits.sockets, |open| open.min(limits.sockets)) as usize;
        let by_descriptors = sockets.saturating_sub(RESERVED_DESCRIPTORS + reserved).max(MIN_CONNECTIONS);
        let connections = by_descriptors.min(by_memory.max(MIN_CONNECTIONS));
        Budget { connections, clients: connections * 2 / 3, max_accepted_clients: connections * 5 / 6 }
    }

    /// The maximum number of lingering connections: those accepted beyond the clients that are served.
    pub fn max_lingering(&self) -> usize {
        self.max_accepted_clients - self.clients
    }
}

/// Closing connections, of clients and to workers, to make room.
impl Server {
    /// Makes room for a new connection. If the budget is used up, closes one that has been idle for `min_idle`. Returns false if
    /// no descriptor could be freed.
    pub(super) fn ensure_descriptor(&mut self, min_idle: Micros) -> bool {
        if !self.is_budget_used_up() {
            return true;
        }
        // An idle connection may only have been half-closed. It then lingers with its descriptor, so the connection that has
        // lingered for longest is closed too.
        self.close_idle_connection(min_idle)
            && (!self.is_budget_used_up()
                || self.clients.close_oldest_lingering(&mut client_context!(self))
                    && !self.is_budget_used_up())
    }

    /// Closes one connection of a client or to a worker. Connections with a partial request that grew recently come last,
    /// because well-behaved clients may be writing them. Returns false if there is none to close.
    fn close_idle_connection(&mut self, min_idle: Micros) -> bool {
        let context = &mut client_context!(self);
        self.clients.close_oldest_lingering(context)
            || self.clients.close_silent(context, downstream::PARTIAL_REQUEST_GRACE)
            || self.upstream.close_idle(context.shared.core, context.shared.reactor)
            || self.clients.close_oldest_served(context, min_idle)
            || self.clients.close_oldest_idle(context, min_idle)
            || self.clients.close_silent(context, downstream::SILENT_GRACE)
    }

    /// Whether no connection may be added. The connections of the other process of a hot restart count against the same limit.
    fn is_budget_used_up(&self) -> bool {
        let open =
            self.reactor.connections().open_connections() + self.hot_restart.connections_in_peer_process();
        open >= self.budget.connections
    }
}
