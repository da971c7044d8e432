//! The network side: one epoll loop that turns what arrives into events of the core, and its commands into bytes.
//!
//! Nothing is decided here. [`Server`] owns the parts, each with its own state; `open` starts them, and `event_loop` says in
//! what order a turn serves them.
//!
//! - The `reactor` alone has epoll and the table of connections; it begins and ends the life of each of them.
//! - A part's handlers are methods of the part. They are given a `Context` (`context`): the core, the reactor, the counters and the clock
//!   to use, the configuration, the lifecycle and the peers' socket to read. Another part that a handler changes is in its
//!   signature.
//! - What concerns several parts at once is a method of [`Server`], in the file of the part that it begins with: making room for
//!   a descriptor, the start of an attempt, a handover, the steps of a shutdown.

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
mod poller;
mod reactor;
mod timer_slot;
mod tokens;
mod transferred;
mod upstream;

pub use error::ServerError;

use crate::config::Config;
use crate::core::Core;
use admin::AdminServer;
use budget::Budget;
use clock::Clock;
use discovery::DiscoveryClient;
use downstream::event_streams::EventStreams;
use downstream::{ClientConnections, PollTime};
use idempotency_store::RecordStore;
use lifecycle::Lifecycle;
use lifecycle::hot_restart::HotRestart;
use lifecycle::signals::Signals;
use listeners::Listeners;
use membership::MembershipLink;
use metrics::{LoggedMetrics, Metrics};
use peers::{PeerLink, PeerSocket};
use pending_requests::PendingRequests;
use reactor::Reactor;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use upstream::UpstreamPool;

/// Connections accepted in one go, so that a rush of them does not keep responses waiting.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// Where idempotency records are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDir {
    /// The directory of the store.
    pub dir: PathBuf,
    /// When records become durable.
    pub sync: mothproxy_store::SyncMode,
}

/// The dispatcher's process: the core, and the sockets round it.
pub struct Server {
    /// The configuration that counts; a reload replaces it.
    config: Config,
    /// Everything that is decided.
    core: Core,
    clock: Clock,
    /// When all connections were last polled.
    polled_at: PollTime,
    /// Epoll, and all connections, of clients and others.
    reactor: Reactor,
    listeners: Listeners,
    admin: AdminServer,
    signals: Signals,
    hot_restart: HotRestart,
    /// The datagram socket between dispatchers.
    peer_socket: PeerSocket,
    /// What dispatchers announce to each other.
    peers: PeerLink,
    membership: MembershipLink,
    /// Where idempotency records are persisted, if they are.
    records: Option<RecordStore>,
    /// Jobs apart from their clients' connections, where the SSE address is on.
    event_streams: Option<EventStreams>,
    budget: Budget,
    /// Connections of clients that may be closed to make room.
    clients: ClientConnections,
    /// Requests that clients await responses to.
    pending: PendingRequests,
    /// Idle connections to workers, and what is awaited on the others.
    upstream: UpstreamPool,
    discovery: DiscoveryClient,
    lifecycle: Lifecycle,
    metrics: Metrics,
    /// The counters that the log showed last.
    logged_metrics: LoggedMetrics,
}

/// Where the program listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// The platform's address.
    pub platform: Option<SocketAddr>,
    /// The address of event streams, where it is on.
    pub sse: Option<SocketAddr>,
    /// The admin address, where it is on.
    pub admin: Option<SocketAddr>,
}

impl Server {
    /// Where the program listens.
    pub fn addresses(&self) -> ListenAddresses {
        let address = |listener: &TcpListener| listener.local_addr().ok();
        ListenAddresses {
            platform: address(&self.listeners.platform),
            sse: self.listeners.sse.as_ref().and_then(|sse| address(&sse.socket)),
            admin: self.admin.listener().and_then(address),
        }
    }
}
