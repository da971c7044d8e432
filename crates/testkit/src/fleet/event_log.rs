//! The event log: the traffic of a fleet, as the relays, workers, clients and the discovery service observed it. It is the
//! only input of the auditor.

use std::sync::Mutex;
use std::time::Instant;

/// The maximum number of events. Later ones are only counted as missing, which the auditor reports.
const MAX_EVENTS: usize = 1 << 20;

/// The clock of the harness: microseconds since the fleet was created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts at 0 now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the start of the clock, in microseconds.
    pub fn now(&self) -> u64 {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// The lifecycle of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lifecycle {
    /// The worker accepts jobs.
    Up,
    /// The worker finishes its jobs and accepts no new ones.
    Draining,
    /// The worker is gone.
    Removed,
}

impl Lifecycle {
    /// The name of this lifecycle in endpoint lists.
    pub fn as_str(self) -> &'static str {
        match self {
            Lifecycle::Up => "up",
            Lifecycle::Draining => "draining",
            Lifecycle::Removed => "removed",
        }
    }
}

/// An endpoint of a list that a dispatcher received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotifiedEndpoint {
    /// The worker's number.
    pub worker: usize,
    /// The worker's lifecycle.
    pub lifecycle: Lifecycle,
    /// The worker's last start in Unix milliseconds, 0 for long ago.
    pub started_ms: u64,
}

/// An event. `dispatcher` and `worker` are numbers from 0, `id` is that of a job, `generation` that of an endpoint list.
#[allow(missing_docs)] // the fields are the same in all variants: documented above
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started, without any state of its predecessor.
    Started { dispatcher: usize },
    /// A process is about to get SIGKILL.
    Killed { dispatcher: usize },
    /// A process is about to get SIGTERM.
    Terminated { dispatcher: usize },
    /// A process was stopped (SIGSTOP) or continued (SIGCONT).
    Paused { dispatcher: usize, is_paused: bool },
    /// A process exited without having been killed. `is_clean` means with code 0.
    Exited { dispatcher: usize, is_clean: bool },
    /// An endpoint changed at the discovery service.
    EndpointChanged { generation: u64, endpoint: NotifiedEndpoint },
    /// The last byte of a list, full or of changes, was written to a dispatcher.
    Notified { dispatcher: usize, generation: u64, is_full: bool, endpoints: Vec<NotifiedEndpoint> },
    /// A dispatcher opened a connection to a worker.
    Connected { dispatcher: usize, worker: usize },
    /// A dispatcher sent a load probe or a health check to a worker.
    Probed { dispatcher: usize, worker: usize },
    /// A complete job reached a worker. The event's time is that of its first byte at the relay; `work` is in microseconds.
    Reached { dispatcher: usize, worker: usize, id: String, work: u64 },
    /// A worker began a job's work.
    Executed { worker: usize, id: String, key: Option<String> },
    /// A worker completed a job with this result.
    Completed { worker: usize, id: String, result: String },
    /// A client wrote the last byte of a job; `timeout` is in microseconds.
    Sent { dispatcher: usize, id: String, timeout: u64 },
    /// A client received the last byte of a reply.
    Answered { dispatcher: usize, id: String, status: u16, body: String },
    /// A client received bytes without a request.
    UnexpectedBytes { dispatcher: usize, id: String },
    /// A client received no complete reply in time.
    Unanswered { dispatcher: usize, id: String },
    /// A client could not send a job: it could not connect, or a reused connection closed before any byte of a reply.
    Unreachable { dispatcher: usize, id: String },
    /// A datagram of a dispatcher was longer than 256 bytes.
    LongDatagram { dispatcher: usize, length: usize },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// The time of the event, in microseconds of the harness's clock.
    pub at: u64,
    /// The event.
    pub event: Event,
}

#[derive(Default)]
struct Inner {
    events: Vec<LoggedEvent>,
    missing: u64,
}

/// The events of a fleet, up to a maximum number. The methods panic if a thread that held the log has panicked.
pub struct EventLog {
    /// The clock of all events.
    pub clock: Clock,
    inner: Mutex<Inner>,
}

impl EventLog {
    /// An empty log.
    pub fn new(clock: Clock) -> EventLog {
        EventLog { clock, inner: Mutex::default() }
    }

    /// Adds an event at the current time.
    pub fn add(&self, event: Event) {
        self.add_at(self.clock.now(), event);
    }

    /// Adds an event at another time, in microseconds of the clock.
    pub fn add_at(&self, at: u64, event: Event) {
        let mut inner = self.inner.lock().expect("mutex poisoned");
        if inner.events.len() < MAX_EVENTS {
            inner.events.push(LoggedEvent { at, event });
        } else {
            inner.missing += 1;
        }
    }

    /// All events in order of time, and the number of events that did not fit.
    pub fn events(&self) -> (Vec<LoggedEvent>, u64) {
        let inner = self.inner.lock().expect("mutex poisoned");
        let (mut events, missing) = (inner.events.clone(), inner.missing);
        drop(inner);
        events.sort_by_key(|logged| logged.at);
        (events, missing)
    }

    /// The number of events that match.
    pub fn count(&self, mut matches: impl FnMut(&Event) -> bool) -> usize {
        self.inner
            .lock()
            .expect("mutex poisoned")
            .events
            .iter()
            .filter(|logged| matches(&logged.event))
            .count()
    }

    /// Visits all events in the order in which they were added, which is nearly that of their times.
    pub fn for_each(&self, visit: impl FnMut(&LoggedEvent)) {
        self.inner.lock().expect("mutex poisoned").events.iter().for_each(visit);
    }
}
