//! The network side: one epoll loop. It turns incoming bytes into events for the core, and the core's commands into bytes.
//!
//! This module makes no decisions; the core does. [`Server`] owns the parts, each with its own state. `open` starts them, and
//! `event_loop` defines the order in which one iteration of the loop, a turn, serves them.
//!
//! - Only the `reactor` holds epoll and the table of connections. It begins and ends the lifecycle of each connection.
//! - The handlers of a part are its methods. Each receives a `Context` (`context`): it may use the core, the reactor, the
//!   counters and the clock, and read the configuration, the lifecycle and the peers' socket. If a handler changes another
//!   part, its signature names that part.
//! - An operation on several parts at once is a method of [`Server`], in the file of the part where it begins. Examples are
//!   freeing a descriptor, starting an attempt, a handover, and the steps of a shutdown.

mod admin;
mod budget;
mod clock;
mod connection;
mod connection_table;
mod context;
mod discovery;
mod downstream;
mod error;
mod event_loop;
mod idempotency_store;
mod lifecycle;
mod listeners;
mod membership;
mod metrics;
mod open;
mod peers;
mod pending_requests;
mod poll_history;
mod poller;
mod reactor;
mod timer_slot;
mod tokens;
mod transferred;
mod turn_meter;
mod upstream;

pub use error::ServerError;

use crate::config::Config;
use crate::core::Core;
use admin::AdminServer;
use budget::Budget;
use clock::Clock;
use discovery::DiscoveryClient;
use downstream::ClientConnections;
use downstream::event_streams::EventStreams;
use idempotency_store::RecordStore;
use lifecycle::Lifecycle;
use lifecycle::hot_restart::HotRestart;
use lifecycle::signals::Signals;
use listeners::Listeners;
use membership::MembershipLink;
use metrics::{LoggedMetrics, Metrics};
use peers::{PeerLink, PeerSocket};
use pending_requests::PendingRequests;
use poll_history::PollHistory;
use reactor::Reactor;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use turn_meter::TurnMeter;
use upstream::UpstreamPool;

/// The maximum number of connections accepted, or datagrams received, on one socket in a turn of the loop, so that a burst of
/// them does not delay responses.
const MAX_ARRIVALS_PER_TURN: usize = 64;

/// The directory of the idempotency store, and its durability.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDir {
    /// The directory of the store.
    pub dir: PathBuf,
    /// When records become durable.
    pub sync: mothproxy_store::SyncMode,
}

/// The dispatcher's process: the core and its sockets.
pub struct Server {
    /// The current configuration; a reload replaces it.
    config: Config,
    /// The core, which makes all decisions.
    core: Core,
    clock: Clock,
    /// The polls of the event loop so far.
    polls: PollHistory,
    /// How long the turns of the event loop take.
    turns: TurnMeter,
    /// Epoll and all connections: of clients, to workers, to discovery and of the admin address.
    reactor: Reactor,
    listeners: Listeners,
    admin: AdminServer,
    signals: Signals,
    hot_restart: HotRestart,
    /// The datagram socket between dispatchers.
    peer_socket: PeerSocket,
    /// The lifecycle states that dispatchers announce to each other.
    peers: PeerLink,
    membership: MembershipLink,
    /// The store of idempotency records; `None` if records are not persisted.
    records: Option<RecordStore>,
    /// Jobs that outlive the connections of the clients that submitted them; `None` if the SSE address is off.
    event_streams: Option<EventStreams>,
    budget: Budget,
    /// Client connections that may be closed to make room.
    clients: ClientConnections,
    /// Requests whose clients await a response.
    pending: PendingRequests,
    /// Idle connections to workers, and the exchanges on the busy ones.
    upstream: UpstreamPool,
    discovery: DiscoveryClient,
    lifecycle: Lifecycle,
    metrics: Metrics,
    /// The counters as last logged.
    logged_metrics: LoggedMetrics,
}

/// The addresses on which the program listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// The address for jobs and status callbacks; `None` if the system does not report it.
    pub platform: Option<SocketAddr>,
    /// The address of event streams; `None` if it is off.
    pub sse: Option<SocketAddr>,
    /// The admin address; `None` if it is off.
    pub admin: Option<SocketAddr>,
}

impl Server {
    /// Returns the addresses on which the program listens.
    pub fn addresses(&self) -> ListenAddresses {
        let address = |listener: &TcpListener| listener.local_addr().ok();
        ListenAddresses {
            platform: address(&self.listeners.platform),
            sse: self.listeners.sse.as_ref().and_then(|sse| address(&sse.socket)),
            admin: self.admin.listener().and_then(address),
        }
    }
}
