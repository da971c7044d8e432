//! The start of the server: takes over from a predecessor if there is one, opens all sockets, and assembles the parts.

use crate::config::{Config, SseSettings};
use crate::core::Core;
use crate::fleet::FleetSettings;
use crate::policy::interface::Micros;
use crate::server::admin::AdminServer;
use crate::server::budget::{Budget, base_memory};
use crate::server::clock::Clock;
use crate::server::discovery::DiscoveryClient;
use crate::server::downstream::ClientConnections;
use crate::server::downstream::event_streams::EventStreams;
use crate::server::error::{io_failed, syscall_failed};
use crate::server::idempotency_store::{open_record_store, reserved_files};
use crate::server::lifecycle::Lifecycle;
use crate::server::lifecycle::hot_restart::{
    HotRestart, PredecessorState, TakeoverResult, request_takeover, socket_path,
};
use crate::server::lifecycle::signals::Signals;
use crate::server::listeners::{Listeners, listen};
use crate::server::membership::{self, MembershipLink};
use crate::server::metrics::{LoggedMetrics, METRICS_INTERVAL, Metrics};
use crate::server::peers::{PeerLink, PeerSocket};
use crate::server::pending_requests::PendingRequests;
use crate::server::poll_history::PollHistory;
use crate::server::reactor::Reactor;
use crate::server::tokens::{ADMIN, METRICS_TIMER, PEERS, PLATFORM, SIGNAL, SSE, Token};
use crate::server::turn_meter::TurnMeter;
use crate::server::upstream::UpstreamPool;
use crate::server::{Server, ServerError, StateDir};
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The resources that must be open before the server can be assembled.
struct ServerResources {
    signals: Signals,
    core: Core,
    clock: Clock,
    reactor: Reactor,
    sockets: OpenSockets,
}

/// The sockets that are open from the start.
struct OpenSockets {
    listeners: Listeners,
    admin: Option<TcpListener>,
    peers: PeerSocket,
}

impl OpenSockets {
    /// Takes the predecessor's sockets, or opens new ones. With `should_retry`, waits for an address that is in use.
    ///
    /// # Errors
    /// If a socket cannot be opened.
    fn open(
        predecessor_state: Option<&mut PredecessorState>,
        config: &Config,
        sse: Option<&SseSettings>,
        should_retry: bool,
    ) -> Result<OpenSockets, ServerError> {
        let inherited = predecessor_state.map(|from| std::mem::take(&mut from.sockets)).unwrap_or_default();
        Ok(OpenSockets {
            listeners: inherited.listeners.into_listeners(config.listen, sse, should_retry)?,
            admin: config.admin.map(listen).transpose()?,
            peers: PeerSocket::open(inherited.peers, config)?,
        })
    }
}

/// The Unix time, in microseconds.
fn unix_now() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros()
}

/// The Unix time before and after the takeover, in microseconds.
#[derive(Clone, Copy, Debug)]
struct UnixTimes {
    before: u128,
    after: u128,
}

impl UnixTimes {
    /// The Unix time at which the clock of this process starts. If the system's clock was stepped since the predecessor started,
    /// the predecessor's Unix time is continued, so that the times in its messages keep their meaning.
    fn at_start(self, predecessor: Option<&PredecessorState>) -> u128 {
        let predecessor_time = predecessor.and_then(|state| state.unix_now);
        match predecessor_time.and_then(|at| u128::try_from(at).ok()) {
            Some(at) if !(self.before..=self.after).contains(&at) => at,
            _ => self.before,
        }
    }
}

/// Creates the core for a configuration, and moves the names out of the configuration into it. `unix_at_start` is the Unix time
/// at which the clock of this process started, in microseconds.
///
/// # Errors
/// If the core rejects the settings.
fn open_core(config: &mut Config, unix_at_start: u128) -> Result<Core, ServerError> {
    let names = std::mem::take(&mut config.names);
    Core::new(config.settings.clone(), names, config.seed, unix_at_start).map_err(ServerError::Settings)
}

/// Loads the endpoint list that this process starts with, and the state that a predecessor has learned. Without a predecessor
/// the list comes from the configuration; the function then returns the latest start time of its workers.
fn load_initial_state(
    core: &mut Core,
    config: &Config,
    predecessor_state: Option<&mut PredecessorState>,
) -> Option<Micros> {
    let Some(from) = predecessor_state else { return core.load_known_list(&config.known_endpoints) };
    // The predecessor's last list is newer than the list in the file.
    if from.is_list_stale {
        core.load_known_list(&from.list);
    } else {
        core.on_cached_list(&from.list);
    }
    if let Some(learned) = from.learned.take() {
        core.restore(learned);
    }
    None
}

impl Server {
    /// Opens the server with all its sockets. `sse` configures the address of event streams. `restart_dir` is the
    /// directory of the socket through which a process finds its predecessor at a hot restart; without it there is no handover.
    /// `state` is where idempotency records are stored.
    ///
    /// # Errors
    /// If the settings are invalid, an address cannot be listened on, the store cannot be opened, or another system call
    /// fails.
    pub fn open(
        mut config: Config,
        sse: Option<SseSettings>,
        restart_dir: Option<&Path>,
        state: Option<StateDir>,
        fleet: FleetSettings,
    ) -> Result<Server, ServerError> {
        // The signal handlers are registered first: a SIGHUP without a handler would terminate this process, after it has taken
        // over the predecessor's sockets and connections.
        let signals = Signals::register().map_err(io_failed("signals"))?;
        let clock = Clock::start(); // before a takeover, whose connections may wait from then on
        let unix_before = unix_now();
        let restart_path = restart_dir.map(|dir| socket_path(dir, &config.name));
        let takeover = restart_path.as_deref().map_or(TakeoverResult::NoPredecessor, request_takeover);
        let should_retry = matches!(takeover, TakeoverResult::Refused);
        let mut predecessor_state = takeover.into_predecessor_state();
        let unix_times = UnixTimes { before: unix_before, after: unix_now() };
        let mut core = open_core(&mut config, unix_times.at_start(predecessor_state.as_ref()))?;
        let sockets = OpenSockets::open(predecessor_state.as_mut(), &config, sse.as_ref(), should_retry)?;
        let reactor = Reactor::new().map_err(syscall_failed("epoll"))?;
        let newest_start = load_initial_state(&mut core, &config, predecessor_state.as_mut());
        core.set_timer(clock.now() + METRICS_INTERVAL, METRICS_TIMER);
        let resources = ServerResources { signals, core, clock, reactor, sockets };
        let budget = Budget::new(config.limits, reserved_files(state.is_some()), base_memory());
        let mut server = Server::assemble(resources, config, sse, fleet, budget);

        server.watch_listeners()?;
        if let Some(state) = state {
            let now = server.clock.now();
            let records =
                open_record_store(state, &mut server.core, &server.reactor, now, budget.record_bytes);
            server.records = Some(records?);
        }
        server.join_hot_restart(restart_path, predecessor_state);
        server.discovery.start(&mut server.core, server.clock.now(), newest_start);
        Ok(server)
    }

    fn assemble(
        resources: ServerResources,
        config: Config,
        sse: Option<SseSettings>,
        fleet: FleetSettings,
        budget: Budget,
    ) -> Server {
        let ServerResources { signals, mut core, clock, reactor, sockets } = resources;
        let now = clock.now();
        let discovery = DiscoveryClient::open(&fleet, &config, now, core.endpoints().generation());
        core.enable_learners(membership::new_learners(&fleet, &config, now));
        let membership = MembershipLink::open(fleet, &config, now);
        Server {
            core,
            clock,
            polls: PollHistory::new(now),
            turns: TurnMeter::default(),
            reactor,
            listeners: sockets.listeners,
            admin: AdminServer::new(sockets.admin),
            signals,
            hot_restart: HotRestart::default(),
            peer_socket: sockets.peers,
            peers: PeerLink::new(&config),
            membership,
            records: None,
            event_streams: sse.map(|settings| EventStreams::new(settings, budget.event_bytes)),
            budget,
            clients: ClientConnections::default(),
            pending: PendingRequests::default(),
            upstream: UpstreamPool::default(),
            discovery,
            lifecycle: Lifecycle::default(),
            metrics: Metrics::default(),
            logged_metrics: LoggedMetrics::default(),
            config,
        }
    }

    /// Registers with epoll the listening sockets, the signal pipe and the peers' socket.
    ///
    /// # Errors
    /// If epoll refuses one of them.
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

    /// Registers one descriptor with epoll.
    ///
    /// # Errors
    /// If epoll refuses it.
    fn watch_descriptor(&self, fd: BorrowedFd<'_>, token: Token) -> Result<(), ServerError> {
        self.reactor.watch(fd, token).map_err(syscall_failed("epoll"))
    }
}
