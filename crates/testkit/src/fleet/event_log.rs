//! What crossed the wires, as the relays, workers, clients and the discovery service saw it: the auditor's only source.

use std::sync::Mutex;
use std::time::Instant;

/// Events that are kept; later ones are only counted as missing, and the auditor says so.
const MAX_EVENTS: usize = 1 << 20;

/// The harness's own clock: microseconds since the fleet was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// One that begins now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Microseconds since then.
    pub fn now(&self) -> u64 {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Whether a worker takes jobs, as the endpoint list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lifecycle {
    /// It does.
    Up,
    /// It ends what it has.
    Draining,
    /// It is gone.
    Removed,
}

impl Lifecycle {
    /// The wire's word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Lifecycle::Up => "up",
            Lifecycle::Draining => "draining",
            Lifecycle::Removed => "removed",
        }
    }
}

/// One endpoint as a dispatcher was notified of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotifiedEndpoint {
    /// The worker's number.
    pub worker: usize,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// Its last start in Unix milliseconds, 0 for long ago.
    pub started_ms: u64,
}

/// What happened. `dispatcher` and `worker` are numbers from 0, `id` is a job's, and `generation` an endpoint list's.
#[allow(missing_docs)] // the fields are the same in all variants: documented above
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started; it knows nothing of the one before it.
    Started { dispatcher: usize },
    /// A process was about to be sent SIGKILL.
    Killed { dispatcher: usize },
    /// A process was about to be sent SIGTERM.
    Terminated { dispatcher: usize },
    /// A process was stopped (SIGSTOP) or continues (SIGCONT).
    Paused { dispatcher: usize, is_paused: bool },
    /// A process exited without having been killed; `is_clean` if with code 0.
    Exited { dispatcher: usize, is_clean: bool },
    /// An endpoint changed at the discovery service.
    EndpointChanged { generation: u64, endpoint: NotifiedEndpoint },
    /// The last byte of a list, full or of changes, was written to a dispatcher.
    Notified { dispatcher: usize, generation: u64, is_full: bool, endpoints: Vec<NotifiedEndpoint> },
    /// A dispatcher opened a connection to a worker.
    Connected { dispatcher: usize, worker: usize },
    /// A dispatcher sent a load probe or a health check to a worker.
    Probed { dispatcher: usize, worker: usize },
    /// All of a job reached a worker; the event's time is that of its first byte at the relay. `work` in microseconds.
    Reached { dispatcher: usize, worker: usize, id: String, work: u64 },
    /// A worker began a job's work.
    Executed { worker: usize, id: String, key: Option<String> },
    /// A worker completed a job with this result.
    Completed { worker: usize, id: String, result: String },
    /// A client wrote the last byte of a job; `timeout` in microseconds.
    Sent { dispatcher: usize, id: String, timeout: u64 },
    /// A client got the last byte of a reply.
    Answered { dispatcher: usize, id: String, status: u16, body: String },
    /// Bytes came on a client's connection that no request had asked for.
    UnexpectedBytes { dispatcher: usize, id: String },
    /// A client waited, and no whole reply came.
    Unanswered { dispatcher: usize, id: String },
    /// A client could not send the job: no connection, or one closed before any byte of a reply on a reused one.
    Unreachable { dispatcher: usize, id: String },
    /// A datagram of a dispatcher was longer than 256 bytes.
    LongDatagram { dispatcher: usize, length: usize },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// Microseconds of the harness's clock.
    pub at: u64,
    /// What happened.
    pub event: Event,
}

#[derive(Default)]
struct Inner {
    events: Vec<LoggedEvent>,
    missing: u64,
}

/// All events of a fleet, bounded. Its methods panic if a thread that held the log has panicked.
pub struct EventLog {
    /// The clock of all events.
    pub clock: Clock,
    inner: Mutex<Inner>,
}

impl EventLog {
    /// An empty one.
    pub fn new(clock: Clock) -> EventLog {
        EventLog { clock, inner: Mutex::default() }
    }

    /// Adds what happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.clock.now(), event);
    }

    /// Adds what happened at another time, in microseconds of the clock.
    pub fn add_at(&self, at: u64, event: Event) {
        let mut inner = self.inner.lock().expect("a lock");
        if inner.events.len() < MAX_EVENTS {
            inner.events.push(LoggedEvent { at, event });
        } else {
            inner.missing += 1;
        }
    }

    /// All events by time, and how many are missing.
    pub fn events(&self) -> (Vec<LoggedEvent>, u64) {
        let inner = self.inner.lock().expect("a lock");
        let (mut events, missing) = (inner.events.clone(), inner.missing);
        drop(inner);
        events.sort_by_key(|logged| logged.at);
        (events, missing)
    }

    /// How many events match.
    pub fn count(&self, mut matches: impl FnMut(&Event) -> bool) -> usize {
        self.inner.lock().expect("a lock").events.iter().filter(|logged| matches(&logged.event)).count()
    }

    /// Visits every event in the order in which they were added, which is nearly that of their times.
    pub fn for_each(&self, visit: impl FnMut(&LoggedEvent)) {
        self.inner.lock().expect("a lock").events.iter().for_each(visit);
    }
}
