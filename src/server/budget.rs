//! The number of connections that this process may hold, within the limits of descriptors and memory.

use crate::config::MachineLimits;
use crate::policy::interface::Micros;
use crate::server::downstream::context::client_context;
use crate::server::{Server, downstream};

/// Descriptors that no client, worker or probe may use: standard streams (3), epoll, listeners (3), signals (2), datagrams,
/// the sockets of a hot restart (2), the descriptors of a handover packet (4), callers of the admin address (16), calls to
/// discovery (a watch, its replacement and a full list), and files that are read (5).
pub(super) const RESERVED_DESCRIPTORS: usize = 40;
/// The minimum memory of requests, in bytes, regardless of the limits: a few complete requests.
const MIN_BUFFERED_BYTES: usize = 512 * 1024;
/// The minimum number of connections, regardless of the limits.
const MIN_CONNECTIONS: usize = 16;
/// The memory of one connection without its buffers, in bytes: its state, its timer and its places in tables.
const CONNECTION_BYTES: usize = 4 * 1024;
/// The parts of the memory that the process does not use at its start: for connections, for buffers and for idempotency records
/// one of so many each, for events of submitted jobs half of that. The rest is for the allocator, and for workers and what is
/// learned of them.
const MEMORY_DIVISOR: usize = 4;
/// The maximum memory of idempotency records, in bytes.
const MAX_RECORD_BYTES: usize = 16 << 20;
/// The maximum memory of the events of submitted jobs, in bytes.
const MAX_EVENT_BYTES: usize = 32 << 20;
/// The memory that a process uses at its start where the system does not tell it, in bytes.
const DEFAULT_BASE_BYTES: usize = 8 << 20;

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
    /// The maximum memory of incomplete and open requests and of unwritten responses, in bytes.
    pub buffered_bytes: usize,
    /// The maximum memory of idempotency records, in bytes.
    pub record_bytes: usize,
    /// The maximum memory of the events of submitted jobs, in bytes.
    pub event_bytes: usize,
    /// The memory that the process used at its start, in bytes.
    pub base_memory: usize,
}

/// The memory that this process uses now, in bytes. To be called at the start, before there are connections and records.
pub(super) fn base_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.map_or(DEFAULT_BASE_BYTES, |kib| kib * 1024)
}

impl Budget {
    /// Computes the budget for these limits. `reserved` is the number of descriptors that are used in addition to
    /// [`RESERVED_DESCRIPTORS`], and `base_memory` the memory that the process uses at its start, in bytes.
    pub fn new(limits: MachineLimits, reserved: usize, base_memory: usize) -> Budget {
        let memory = limits.memory_mb as usize * 1024 * 1024;
        let part = memory.saturating_sub(base_memory) / MEMORY_DIVISOR;
        let by_memory = part / CONNECTION_BYTES;
        // The system's limit may be lower than the configured one.
        let open_files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = open_files.map_or(limits.sockets, |open| open.min(limits.sockets)) as usize;
        let by_descriptors = sockets.saturating_sub(RESERVED_DESCRIPTORS + reserved).max(MIN_CONNECTIONS);
        let connections = by_descriptors.min(by_memory.max(MIN_CONNECTIONS));
        Budget {
            connections,
            clients: connections * 2 / 3,
            max_accepted_clients: connections * 5 / 6,
            buffered_bytes: part.max(MIN_BUFFERED_BYTES),
            record_bytes: part.min(MAX_RECORD_BYTES),
            event_bytes: (part / 2).min(MAX_EVENT_BYTES),
            base_memory,
        }
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
