//! The sockets: one epoll loop that turns what arrives into events of the core and its commands into bytes.

mod admin;
mod connection;
mod discovery;
mod downstream;
mod idempotency_store;
mod lifecycle;
mod membership;
mod peers;
mod upstream;

use crate::config::{Config, ConfigError, MachineLimits, SseSettings};
use crate::core::shutdown_plan::ShutdownPlan;
use crate::core::watch_liveness::DiscoverySettings;
use crate::core::{Command, Core, RequestId};
use crate::fleet::FleetSettings;
use crate::invariant;
use crate::policy::interface::{Class, Micros, WorkerId};
use admin::Caller;
use connection::Conn;
use discovery::{Call, Lists};
use downstream::event_streams::{Streams, Watch};
use downstream::{Front, Look};
use idempotency_store::Notes;
use lifecycle::hot_restart::{Asked, Home, Twin};
use lifecycle::reload::Signals;
use rustix::event::epoll::{self, EventData, EventFlags};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use upstream::{Back, Probe};

/// Descriptors that no client, worker or probe may use: standard streams (3), epoll, listeners (3), signals (2), datagrams,
/// the places where processes of one dispatcher meet (2), those of a packet between them (4), callers of the second address
/// (16), calls to discovery (a watch, the next one and a list), and files that are read (5).
const SPARE_FDS: usize = 40;
/// Events taken from epoll at a time.
const EVENTS: usize = 256;
/// Connections accepted in one go, so that a rush of them does not keep answers waiting.
const ACCEPTS: usize = 64;
/// An address that an elder still holds is tried for this many times, so long apart.
const LISTEN_TRIES: u32 = 100;
const LISTEN_AGAIN: Duration = Duration::from_millis(25);
/// The log's summary line comes this often, if there was anything to count.
const SUMMARY: Micros = 10_000_000;

/// The number of a connection: its slot, and how often the slot was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Token(u64);

impl Token {
    fn new(slot: usize, used: u32) -> Token {
        Token(u64::from(used) << 32 | slot as u64)
    }

    fn slot(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

const PLATFORM: Token = Token(u64::MAX);
const SSE: Token = Token(u64::MAX - 1);
const SIGNAL: Token = Token(u64::MAX - 2);
const PEERS: Token = Token(u64::MAX - 3);
const ADMIN: Token = Token(u64::MAX - 4);
const SUMMARY_TIMER: u64 = u64::MAX - 5;
const STOP_TIMER: u64 = u64::MAX - 6;
const ACCEPT_TIMER: u64 = u64::MAX - 7;
const PEER_TIMER: u64 = u64::MAX - 8;
const DRAIN_TIMER: u64 = u64::MAX - 9;
const HOME: Token = Token(u64::MAX - 10);
const TWIN: Token = Token(u64::MAX - 11);
const HAND_TIMER: u64 = u64::MAX - 12;
const NOTES: Token = Token(u64::MAX - 13);
const RELAY_TIMER: u64 = u64::MAX - 14;
const WATCH_TIMER: u64 = u64::MAX - 15;
const FLEET_TIMER: u64 = u64::MAX - 16;
const ASK_TIMER: u64 = u64::MAX - 17;
const WHOLE_TIMER: u64 = u64::MAX - 21;
const STALE_TIMER: u64 = u64::MAX - 22;

/// What a connection is for.
enum Role {
    Front(Front),
    Back(Back),
    Call(Call),
    Admin(Caller),
}

struct Slot {
    used: u32,
    held: Option<(Conn, Role)>,
}

/// Where keyed jobs are noted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDir {
    /// The directory of the store.
    pub dir: std::path::PathBuf,
    /// When notes become durable.
    pub sync: mothproxy_store::SyncMode,
}

/// Why the program cannot serve.
#[derive(Debug)]
pub enum NetError {
    /// The configuration is out of order.
    Config(ConfigError),
    /// The module did not take the settings.
    Settings(crate::policy::interface::SettingsError),
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The system refused something else.
    System(&'static str, std::io::Error),
    /// The directory of keyed jobs' notes cannot be used.
    State(std::path::PathBuf, mothproxy_store::StoreError),
}

impl std::fmt::Display for NetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NetError::Config(error) => write!(f, "configuration: {error}"),
            NetError::Settings(error) => write!(f, "configuration: {error}"),
            NetError::Listen(at, error) => write!(f, "cannot listen on {at}: {error}"),
            NetError::System(what, error) => write!(f, "{what}: {error}"),
            NetError::State(dir, error) => write!(f, "state directory {}: {error}", dir.display()),
        }
    }
}

impl std::error::Error for NetError {}

impl From<ConfigError> for NetError {
    fn from(error: ConfigError) -> NetError {
        NetError::Config(error)
    }
}

/// How many connections there may be. Whatever clients hold, a sixth is left for workers and probes, and a sixth for
/// call-backs and for telling clients that there is no room; discovery has descriptors of its own.
#[derive(Clone, Copy, Debug)]
struct Budget {
    /// In all.
    conns: usize,
    /// Frontends beyond this are turned away, and beyond `last_fronts` not accepted.
    fronts: usize,
    last_fronts: usize,
}

impl Budget {
    /// `taken` descriptors are for other things than connections.
    fn of(limits: MachineLimits, taken: usize) -> Budget {
        // A connection may buffer a whole request and a whole answer: memory bounds their number as well.
        let by_memory = (limits.memory_mb as usize * 1024 * 1024) / (2 * 96 * 1024);
        // The system's own limit may be lower than what the configuration allows.
        let open = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = open.map_or(limits.sockets, |open| open.min(limits.sockets)) as usize;
        let conns = sockets.saturating_sub(SPARE_FDS + taken).max(16).min(by_memory.max(16));
        Budget { conns, fronts: conns * 2 / 3, last_fronts: conns * 5 / 6 }
    }
}

/// Counts for the log, beside the ledger's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Metrics {
    attempts: u64,
    attempts_written: u64,
    withheld: u64,
    reloads: u64,
    bad_reloads: u64,
    connects: u64,
    connect_failures: u64,
    resets: u64,
    untaken: u64,
    rejects: u64,
    bad_datagrams: u64,
    bad_lists: u64,
    accept_pauses: u64,
}

/// The program's state.
pub struct Server {
    config: Config,
    classes: Vec<Class>,
    core: Core,
    started: Instant,
    now: Micros,
    /// When all connections were last looked at.
    looked: Look,
    epoll: OwnedFd,
    platform: TcpListener,
    sse: Option<(TcpListener, Micros)>,
    admin: Option<TcpListener>,
    /// Connections to it, the oldest first.
    callers: std::collections::VecDeque<Token>,
    signals: Signals,
    /// Where the next version asks for a handover.
    home_path: Option<std::path::PathBuf>,
    home: Option<Home>,
    /// The other process of this dispatcher, during an upgrade.
    twin: Option<Twin>,
    /// This one has handed its listening sockets over.
    handed: bool,
    peers: Option<UdpSocket>,
    /// What this dispatcher and the others know of each other.
    link: membership::Link,
    ask: discovery::pacing::Asker,
    /// Where keyed jobs are noted, if they are.
    notes: Option<Notes>,
    /// Jobs apart from their streams, where the SSE front is on.
    watch_jobs: Option<Watch>,
    slots: Vec<Slot>,
    free: Vec<usize>,
    live: usize,
    fronts: usize,
    budget: Budget,
    accepting: bool,
    /// Connections of frontends without a session, by the time since which they are idle.
    idle_fronts: std::collections::BTreeSet<(Micros, Token)>,
    /// Connections of frontends that have not sent a whole first request, or have begun a later one, by when they were
    /// last heard of.
    unasked_fronts: std::collections::BTreeSet<(Micros, Token)>,
    /// Connections of frontends that this side has ended.
    lingering: downstream::linger::Lingering,
    /// Requests of open sessions.
    requests: HashMap<RequestId, crate::protocol::platform::RawRequest>,
    /// Open sessions that have lost a dispatch with its connection.
    broken: HashSet<RequestId>,
    /// Connections on which a dispatch awaits its first answer, or streams.
    dispatching: HashMap<(RequestId, u32), Token>,
    /// Idle connections to workers, the freshest last.
    pool: HashMap<WorkerId, Vec<Token>>,
    probes: HashMap<Token, Probe>,
    lists: Lists,
    stopping: Option<ShutdownPlan>,
    /// While stopping, since when nothing is left.
    quiet_since: Option<Micros>,
    /// Since when clients are sent elsewhere while the program goes on.
    drained: Option<Micros>,
    /// Whether the next look at them is due by a timer.
    drain_due: bool,
    /// Where the other dispatchers are, and which of them stop.
    standing: peers::Standing,
    done: bool,
    metrics: Metrics,
    reported: (Metrics, crate::core::ledger::Ledger),
}

fn system(what: &'static str) -> impl Fn(rustix::io::Errno) -> NetError {
    move |error| NetError::System(what, error.into())
}

fn listen(at: SocketAddr) -> Result<TcpListener, NetError> {
    let failed = |error| NetError::Listen(at, error);
    let listener = TcpListener::bind(at).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

/// Whether a socket of the elder is where this configuration wants one.
fn is_at(socket: std::io::Result<SocketAddr>, wanted: SocketAddr) -> bool {
    socket.is_ok_and(|at| at.ip() == wanted.ip() && (at.port() == wanted.port() || wanted.port() == 0))
}

/// The elder's listening socket, with all that waits in its queue, or a new one. While an elder that hands nothing over
/// may be about to end, its address is waited for.
fn listen_or(old: Option<TcpListener>, at: SocketAddr, patient: bool) -> Result<TcpListener, NetError> {
    if let Some(old) = old.filter(|listener| is_at(listener.local_addr(), at)) {
        return Ok(old);
    }
    let tries = if patient { LISTEN_TRIES } else { 0 };
    for _ in 0..tries {
        match listen(at) {
            Err(NetError::Listen(_, error)) if error.kind() == std::io::ErrorKind::AddrInUse => {
                std::thread::sleep(LISTEN_AGAIN);
            }
            other => return other,
        }
    }
    listen(at)
}

impl Server {
    /// Opens everything. `sse` is where the SSE front listens, and its heartbeat.
    /// `folder` is where the processes of one dispatcher meet at an upgrade; without it there is no handover.
    pub fn open(
        mut config: Config,
        sse: Option<SseSettings>,
        folder: Option<&std::path::Path>,
        state: Option<StateDir>,
        fleet: FleetSettings,
    ) -> Result<Server, NetError> {
        let io = |what| move |error| NetError::System(what, error);
        // First of all: a SIGHUP that no handler awaits ends the program, with all it has taken.
        let signals = Signals::register().map_err(io("signals"))?;
        let path = folder.map(|folder| lifecycle::hot_restart::path(folder, &config.name));
        let (mut inherited, patient) =
            match path.as_deref().map_or(Asked::Nobody, lifecycle::hot_restart::ask) {
                Asked::All(from) => (Some(*from), false),
                Asked::NoAnswer => (None, true),
                Asked::Nobody => (None, false),
            };
        let (started, unix_now) = (Instant::now(), SystemTime::now());
        let unix_now = unix_now.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros();
        let names = std::mem::take(&mut config.names);
        let classes = config.settings.classes.clone();
        let mut core =
            Core::new(config.settings.clone(), names, config.seed, unix_now).map_err(NetError::Settings)?;
        let (mut old_platform, mut old_sse, mut old_peers) = (None, None, None);
        if let Some(from) = &mut inherited {
            (old_platform, old_sse, old_peers) = (from.platform.take(), from.sse.take(), from.peers.take());
        }
        let platform = listen_or(old_platform, config.listen, patient)?;
        let watch_jobs = sse.as_ref().map(|set| {
            Watch::new(Streams { origins: set.origins.clone(), per_tenant: set.streams_per_tenant })
        });
        let sse =
            sse.map(|set| listen_or(old_sse, set.listen, patient).map(|l| (l, set.heartbeat))).transpose()?;
        let admin = config.admin.map(listen).transpose()?;
        let old_peers = old_peers.filter(|s| config.peer_listen.is_some_and(|at| is_at(s.local_addr(), at)));
        let peers = match (old_peers, config.peer_listen) {
            (Some(socket), _) => Some(socket),
            (None, at) => at.map(UdpSocket::bind).transpose().map_err(io("peer socket"))?,
        };
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(system("epoll"))?;
        let add = |fd: std::os::fd::BorrowedFd<'_>, token: Token| {
            epoll::add(&epoll, fd, EventData::new_u64(token.0), EventFlags::IN).map_err(system("epoll"))
        };
        use std::os::fd::AsFd;
        add(platform.as_fd(), PLATFORM)?;
        add(signals.woken.as_fd(), SIGNAL)?;
        if let Some((listener, _)) = &sse {
            add(listener.as_fd(), SSE)?;
        }
        if let Some(listener) = &admin {
            add(listener.as_fd(), ADMIN)?;
        }
        if let Some(peers) = &peers {
            peers.set_nonblocking(true).map_err(io("peer socket"))?;
            add(peers.as_fd(), PEERS)?;
        }
        let now = Core::clock_start();
        // What the elder was last told is newer than what this file holds.
        let mut newest = None;
        match &inherited {
            Some(from) if !from.stale => core.on_cached_list(now, &from.table),
            Some(from) => drop(core.load_known_list(now, &from.table)),
            None => newest = core.load_known_list(now, &config.known),
        }
        if let Some(lesson) = inherited.as_mut().and_then(|from| from.lesson.take()) {
            core.restore(lesson);
        }
        core.set_timer(now + SUMMARY, SUMMARY_TIMER);
        let budget = Budget::of(config.limits, if state.is_some() { idempotency_store::FDS } else { 0 });
        let ask = discovery::pacing::Asker::open(&fleet, &config, now, core.endpoints.generation);
        core.learners = membership::learners(&fleet, &config, now);
        let link = membership::Link::open(fleet, &config, now);
        let mut server = Server {
            classes,
            core,
            started,
            now,
            looked: Look::default(),
            epoll,
            platform,
            sse,
            admin,
            callers: Default::default(),
            signals,
            home_path: None,
            home: None,
            twin: None,
            handed: false,
            peers,
            link,
            ask,
            notes: None,
            watch_jobs,
            slots: Vec::new(),
            free: Vec::new(),
            live: 0,
            fronts: 0,
            budget,
            accepting: true,
            idle_fronts: Default::default(),
            unasked_fronts: Default::default(),
            lingering: Default::default(),
            requests: HashMap::new(),
            broken: HashSet::new(),
            dispatching: HashMap::new(),
            pool: HashMap::new(),
            probes: HashMap::new(),
            lists: Lists::new(DiscoverySettings::from(&config.settings), config.seed),
            stopping: None,
            quiet_since: None,
            drained: None,
            drain_due: false,
            standing: peers::Standing::of(&config),
            done: false,
            metrics: Metrics::default(),
            reported: Default::default(),
            config,
        };
        if let Some(dir) = state {
            server.open_notes(dir)?;
        }
        server.settle_in(path, inherited);
        server.watch_begins(newest);
        Ok(server)
    }

    /// Where the program listens: the platform's front, the SSE front and the second address, where they are on.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>, Option<SocketAddr>) {
        let of = |listener: &TcpListener| listener.local_addr().ok();
        (of(&self.platform), self.sse.as_ref().and_then(|(l, _)| of(l)), self.admin.as_ref().and_then(of))
    }

    fn clock(&mut self) {
        self.now = self.reading();
    }

    /// What the clock shows in the midst of a turn; `now` is when its events were taken.
    fn reading(&self) -> Micros {
        Core::clock_start() + self.started.elapsed().as_micros() as Micros
    }

    /// Serves until a stop signal has been seen through.
    pub fn serve(&mut self) -> Result<(), NetError> {
        let mut events = Vec::with_capacity(EVENTS);
        self.clock();
        self.tell_state();
        self.fleet_go_on();
        self.ask_go_on();
        while !self.done {
            self.clock();
            self.core.turn(self.now);
            self.run_commands();
            let wait = self.core.next_wake().map(|at| {
                let span = Duration::from_micros(at.saturating_sub(self.now));
                rustix::event::Timespec {
                    tv_sec: span.as_secs() as i64,
                    tv_nsec: i64::from(span.subsec_nanos()),
                }
            });
            events.clear();
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), wait.as_ref()) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(error) => return Err(system("epoll")(error)),
            }
            self.clock();
            self.looked = Look::new(self.now, events.len() == EVENTS);
            // A call to the second address does not wait for what the clients of this turn ask. And what discovery has
            // told counts before anything of this turn is sent.
            let watch = self.lists.watch();
            for event in &events {
                match (Token(event.data.u64()), event.flags) {
                    (ADMIN, _) => self.accept_admin(),
                    (token, flags) if self.is_admin(token) || watch == Some(token) => {
                        self.ready(token, flags)
                    }
                    _ => {}
                }
            }
            // Clients that leave come before those that bring work, which takes longer.
            for event in &events {
                self.front_left(Token(event.data.u64()), event.flags);
            }
            for event in events.drain(..) {
                let (data, flags) = (event.data, event.flags);
                match Token(data.u64()) {
                    token if self.is_admin(token) || watch == Some(token) => {}
                    PLATFORM => self.accept(false),
                    SSE => self.accept(true),
                    SIGNAL => self.signalled(),
                    PEERS => self.hear_peers(),
                    HOME => self.twin_comes(),
                    TWIN => self.twin_ready(),
                    NOTES => self.notes_ready(),
                    token => self.ready(token, flags),
                }
            }
        }
        self.summary();
        Ok(())
    }

    fn run_commands(&mut self) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt { request_id, attempt, worker } => {
                    self.attempt(request_id, attempt, worker)
                }
                Command::PersistRecord { ticket, key, record } => self.note(ticket, key, record),
                Command::CancelAttempt { request_id, attempt, worker, name } => {
                    self.give_up(request_id, attempt, worker, &name);
                }
                Command::Respond { request_id, downstream, response } => {
                    self.drop_request(request_id);
                    match downstream & downstream::event_streams::JOB {
                        0 => self.answer(Token(downstream), request_id, response),
                        _ => self.job_answered(downstream & !downstream::event_streams::JOB, response),
                    }
                }
                Command::NotifyProgress { downstream, fraction: share }
                    if downstream & downstream::event_streams::JOB != 0 =>
                {
                    self.job_told(downstream & !downstream::event_streams::JOB, share);
                }
                Command::NotifyProgress { downstream, fraction } => self.tell(Token(downstream), fraction),
                Command::Probe(worker) => self.probe(worker),
                Command::SendToPeer(to, bytes) => self.tell_peer(to, &bytes),
                Command::OpenWatch => self.watch_wanted(),
                Command::TimerFired(WATCH_TIMER) => self.watch_due(),
                Command::TimerFired(WHOLE_TIMER) => self.whole_due(),
                Command::TimerFired(STALE_TIMER) => self.check_stale(),
                Command::FetchList => self.call(false),
                Command::TimerFired(SUMMARY_TIMER) => {
                    self.summary();
                    self.core.set_timer(self.now + SUMMARY, SUMMARY_TIMER);
                }
                Command::TimerFired(RELAY_TIMER) => self.sweep_jobs(),
                Command::TimerFired(STOP_TIMER) => self.stop_step(),
                Command::TimerFired(HAND_TIMER) => self.hand_step(),
                Command::TimerFired(DRAIN_TIMER) => self.drain_step(),
                Command::TimerFired(FLEET_TIMER) => self.fleet_due(),
                Command::TimerFired(ASK_TIMER) => self.ask_due(),
                Command::TimerFired(PEER_TIMER) => self.tell_state_again(),
                Command::TimerFired(ACCEPT_TIMER) => self.accept_again(),
                Command::TimerFired(token) => self.due(Token(token)),
            }
        }
        self.wake_watchers();
    }

    /// Notes that an open session has lost a dispatch with its connection.
    fn note_broken(&mut self, request_id: RequestId) {
        if self.requests.contains_key(&request_id) {
            self.broken.insert(request_id);
        }
    }

    /// Forgets the request of a session that is over.
    fn drop_request(&mut self, request_id: RequestId) {
        self.requests.remove(&request_id);
        self.broken.remove(&request_id);
    }

    /// Takes a connection out of its slot, to be put back or closed.
    fn take(&mut self, token: Token) -> Option<(Conn, Role)> {
        let slot = self.slots.get_mut(token.slot())?;
        if Token::new(token.slot(), slot.used) == token { slot.held.take() } else { None }
    }

    fn put(&mut self, token: Token, conn: Conn, role: Role) {
        self.slots[token.slot()].held = Some((conn, role));
    }

    /// Gives a connection a slot and has epoll watch it.
    fn add(&mut self, conn: Conn, role: impl FnOnce(Token) -> Role) -> Option<Token> {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { used: 0, held: None });
            self.slots.len() - 1
        });
        let token = Token::new(slot, self.slots[slot].used);
        let flags = EventFlags::empty();
        if epoll::add(&self.epoll, &conn.stream, EventData::new_u64(token.0), flags).is_err() {
            self.free.push(slot);
            return None;
        }
        let role = role(token);
        self.live += usize::from(!matches!(role, Role::Admin(_) | Role::Call(_)));
        self.fronts += usize::from(matches!(role, Role::Front(_)));
        self.slots[slot].held = Some((conn, role));
        Some(token)
    }

    /// Closes a connection that was taken out of its slot.
    fn close(&mut self, token: Token, conn: Conn, role: Role) {
        if let Some(at) = conn.timer {
            self.core.cancel_timer(at, token.0);
        }
        let slot = &mut self.slots[token.slot()];
        invariant!(slot.held.is_none(), "a connection closed while in its slot");
        slot.used = slot.used.wrapping_add(1) & 0x7fff_ffff;
        self.free.push(token.slot());
        match role {
            // Outside the budget of the others.
            Role::Admin(_) => return self.callers.retain(|t| *t != token),
            Role::Call(_) => return,
            Role::Front(_) => self.fronts -= 1,
            _ => {}
        }
        self.live -= 1;
        drop(conn); // closing the socket takes it out of epoll as well
    }

    /// Sets or drops a connection's deadline.
    fn set_timer(&mut self, token: Token, conn: &mut Conn, at: Option<Micros>) {
        if let Some(old) = conn.timer.take() {
            self.core.cancel_timer(old, token.0);
        }
        if let Some(at) = at {
            self.core.set_timer(at, token.0);
        }
        conn.timer = at;
    }

    /// Tells epoll what to watch a connection for; for room to write where there is something to be written.
    fn watch_for(&mut self, token: Token, conn: &mut Conn, read: bool) {
        let write = !conn.outbox.is_empty();
        self.watch_both(token, conn, read, write);
    }

    fn watch_both(&mut self, token: Token, conn: &mut Conn, read: bool, write: bool) {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, read);
        flags.set(EventFlags::OUT, write);
        if flags != conn.interest {
            let changed = epoll::modify(&self.epoll, &conn.stream, EventData::new_u64(token.0), flags);
            invariant!(changed.is_ok(), "epoll does not know a connection");
            conn.interest = flags;
        }
    }

    fn ready(&mut self, token: Token, flags: EventFlags) {
        let Some((conn, role)) = self.take(token) else { return };
        match role {
            Role::Front(front) => self.front_ready(token, conn, front, flags),
            Role::Back(back) => self.back_ready(token, conn, back, flags),
            Role::Call(call) => self.call_ready(token, conn, call, flags),
            Role::Admin(caller) => self.admin_ready(token, conn, caller, flags),
        }
    }

    fn due(&mut self, token: Token) {
        let Some((mut conn, role)) = self.take(token) else { return };
        conn.timer = None;
        match role {
            Role::Front(front) => self.front_due(token, conn, front),
            Role::Back(back) => self.back_due(token, conn, back),
            Role::Call(call) => self.call_due(token, conn, call),
            Role::Admin(caller) => self.close(token, conn, Role::Admin(caller)),
        }
    }

    /// Makes room for a new connection where the descriptors are used up, by closing one that has been idle for `least`.
    fn make_room(&mut self, least: Micros) -> bool {
        let full = |server: &Server| server.live + server.held_elsewhere() >= server.budget.conns;
        if !full(self) {
            return true;
        }
        // Half requests that were heard of lately come last: usual clients may be writing them.
        let ended = self.drop_lingering()
            || self.drop_unasked(downstream::HALF_GRACE)
            || self.drop_idle_backend()
            || self.drop_kept_front(least)
            || self.drop_idle_front(least)
            || self.drop_unasked(downstream::UNASKED_GRACE);
        // Where its end has only begun, it gives its descriptor now.
        ended && (!full(self) || self.drop_lingering() && !full(self))
    }

    /// One line of figures, if anything has changed since the last.
    fn summary(&mut self) {
        let state = (self.metrics, self.core.ledger);
        if state == self.reported {
            return;
        }
        self.reported = state;
        let (c, l) = state;
        tracing::info!(
            "figures taken={} served={} denied={} failed={} gone={} moved={} open={} dispatches={} written={} withheld={} connects={} \
             connect_failures={} resets={} untaken={} rejects={} stale_news={} bad_rows={} bad_lists={} stale_lists={} \
             bad_datagrams={} accept_pauses={} reloads={} bad_reloads={} connections={} workers={} broken_invariants={}",
            l.accepted,
            l.served,
            l.rejected,
            l.failed,
            l.disconnected,
            l.transferred,
            l.open(),
            c.attempts,
            c.attempts_written,
            c.withheld,
            c.connects,
            c.connect_failures,
            c.resets,
            c.untaken,
            c.rejects,
            self.core.stale_status_updates,
            self.core.endpoints.bad_rows,
            c.bad_lists,
            self.core.endpoints.stale_lists,
            c.bad_datagrams,
            c.accept_pauses,
            c.reloads,
            c.bad_reloads,
            self.live,
            self.core.endpoints.ready(),
            invariant::violations(),
        );
    }
}
