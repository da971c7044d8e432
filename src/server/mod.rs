//! The network side: one epoll loop that turns what arrives into events of the core, and its commands into bytes.
//!
//! Nothing is decided here. [`Server`] holds the parts, each with its own state; `event_loop` says in what order a turn
//! serves them.

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
mod peers;
mod pending_requests;
mod poller;
mod reactor;
mod timer_slot;
mod tokens;
mod transferred;
mod upstream;

pub use error::ServerError;

use crate::config::{Config, SseSettings};
use crate::core::Core;
use crate::fleet::FleetSettings;
use crate::policy::interface::{Class, Micros};
use admin::AdminServer;
use budget::{Budget, RESERVED_DESCRIPTORS};
use clock::Clock;
use connection_table::Role;
use discovery::DiscoveryClient;
use downstream::event_streams::EventStreams;
use downstream::{ClientConnections, PollTime};
use error::system;
use idempotency_store::{RecordStore, open_record_store};
use lifecycle::Lifecycle;
use lifecycle::hot_restart::{HotRestart, Inheritance, TakeoverResult, request_takeover, socket_path};
use lifecycle::signals::Signals;
use listeners::{Listeners, is_at, listen};
use membership::MembershipLink;
use metrics::{LoggedMetrics, METRICS_INTERVAL, Metrics};
use peers::{PeerLink, PeerSocket};
use pending_requests::PendingRequests;
use reactor::Reactor;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokens::{
    ADMIN, FLEET_TIMER, FULL_LIST_TIMER, IDEMPOTENCY_STORE, METRICS_TIMER, PEER_TIMER, PEERS, PLATFORM,
    POLL_TIMER, SIGNAL, SSE, STALE_LIST_TIMER, Token, WATCH_TIMER,
};
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
    /// The classes of its settings, by number.
    classes: Vec<Class>,
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

/// Wraps an I/O error with the name of what was being done.
fn io_failed(what: &'static str) -> impl Fn(std::io::Error) -> ServerError {
    move |error| ServerError::System(what, error)
}

/// The peers' socket, without blocking: the inherited one if it is at the configured address, or a new one there.
fn open_peer_socket(
    inherited: Option<UdpSocket>,
    at: Option<SocketAddr>,
) -> Result<Option<UdpSocket>, ServerError> {
    let inherited = inherited.filter(|socket| at.is_some_and(|at| is_at(socket.local_addr(), at)));
    let socket = match (inherited, at) {
        (Some(socket), _) => Some(socket),
        (None, at) => at.map(UdpSocket::bind).transpose().map_err(io_failed("peer socket"))?,
    };
    if let Some(socket) = &socket {
        socket.set_nonblocking(true).map_err(io_failed("peer socket"))?;
    }
    Ok(socket)
}

/// The core under a configuration, whose names it takes.
fn open_core(config: &mut Config) -> Result<Core, ServerError> {
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros();
    let names = std::mem::take(&mut config.names);
    Core::new(config.settings.clone(), names, config.seed, unix_now).map_err(ServerError::Settings)
}

/// Loads the endpoint list that is known at the start, and what a predecessor has learned. Returns when the last worker of a
/// list from a file started.
fn load_initial_state(
    core: &mut Core,
    now: Micros,
    config: &Config,
    inheritance: Option<&mut Inheritance>,
) -> Option<Micros> {
    let Some(from) = inheritance else { return core.load_known_list(now, &config.known_endpoints) };
    // The list that the predecessor received last is newer than what the file holds.
    if from.is_list_stale {
        core.load_known_list(now, &from.list);
    } else {
        core.on_cached_list(now, &from.list);
    }
    if let Some(learned) = from.learned.take() {
        core.restore(learned);
    }
    None
}

impl Server {
    /// Opens everything. `sse` is where event streams are served; `restart_folder` is where the processes of one dispatcher
    /// meet at an upgrade, and without it there is no handover; `state` is where idempotency records are stored.
    ///
    /// # Errors
    /// Where the settings are out of order, an address cannot be listened on, the store cannot be opened, or the system
    /// refuses something else.
    pub fn open(
        mut config: Config,
        sse: Option<SseSettings>,
        restart_folder: Option<&Path>,
        state: Option<StateDir>,
        fleet: FleetSettings,
    ) -> Result<Server, ServerError> {
        // First of all: a SIGHUP that no handler awaits ends the program, with all it has taken.
        let signals = Signals::register().map_err(io_failed("signals"))?;
        let restart_path = restart_folder.map(|folder| socket_path(folder, &config.name));
        let takeover = restart_path.as_deref().map_or(TakeoverResult::NoPredecessor, request_takeover);
        let should_retry = matches!(takeover, TakeoverResult::Refused);
        let mut inheritance = takeover.into_inheritance();
        let clock = Clock::start();
        let classes = config.settings.classes.clone();
        let mut core = open_core(&mut config)?;
        let inherited =
            inheritance.as_mut().map(|from| std::mem::take(&mut from.sockets)).unwrap_or_default();
        let listeners = inherited.listeners.into_listeners(config.listen, sse.as_ref(), should_retry)?;
        let admin = config.admin.map(listen).transpose()?;
        let peers = open_peer_socket(inherited.peers, config.peer_listen)?;
        let reactor = Reactor::new().map_err(system("epoll"))?;
        let now = clock.now();
        let newest_start = load_initial_state(&mut core, now, &config, inheritance.as_mut());
        core.set_timer(now + METRICS_INTERVAL, METRICS_TIMER);
        let reserved = if state.is_some() { idempotency_store::MAX_OPEN_FILES } else { 0 };
        let budget = Budget::new(config.limits, reserved);
        let discovery = DiscoveryClient::open(&fleet, &config, now, core.endpoints.generation);
        core.learners = membership::new_learners(&fleet, &config, now);
        let membership = MembershipLink::open(fleet, &config, now);
        let mut server = Server {
            classes,
            core,
            clock,
            polled_at: PollTime::default(),
            reactor,
            listeners,
            admin: AdminServer::new(admin),
            signals,
            hot_restart: HotRestart::default(),
            peer_socket: PeerSocket::new(peers, &config),
            peers: PeerLink::new(&config),
            membership,
            records: None,
            event_streams: sse.map(EventStreams::new),
            budget,
            clients: ClientConnections::default(),
            pending: PendingRequests::default(),
            upstream: UpstreamPool::default(),
            discovery,
            lifecycle: Lifecycle::default(),
            metrics: Metrics::default(),
            logged_metrics: LoggedMetrics::default(),
            config,
        };
        server.watch_listeners()?;
        if let Some(dir) = state {
            let records = open_record_store(dir, &mut server.core, &server.reactor, now)?;
            server.records = Some(records);
        }
        server.join_hot_restart(restart_path, inheritance);
        server.discovery.start(&mut server.core, server.clock.now(), newest_start);
        Ok(server)
    }

    /// Has epoll watch everything that is not a connection and is open from the start.
    fn watch_listeners(&self) -> Result<(), ServerError> {
        self.watch_descriptor(self.listeners.platform.as_fd(), PLATFORM)?;
        self.watch_descriptor(self.signals.as_fd(), SIGNAL)?;
        if let Some(sse) = &self.listeners.sse {
            self.watch_descriptor(sse.socket.as_fd(), SSE)?;
        }
        if let Some(admin) = self.admin.listener() {
            self.watch_descriptor(admin.as_fd(), ADMIN)?;
        }
        if let Some(peers) = self.peer_socket.socket() {
            self.watch_descriptor(peers.as_fd(), PEERS)?;
        }
        Ok(())
    }

    fn watch_descriptor(&self, fd: BorrowedFd<'_>, token: Token) -> Result<(), ServerError> {
        self.reactor.watch(fd, token).map_err(system("epoll"))
    }

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
