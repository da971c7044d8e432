//! What crossed the wires, as the relays, workers, clients and the list service saw it: the auditor's only source.

use std::sync::Mutex;
use std::time::Instant;

/// Entries held at most; what comes after that is counted and missing, and the auditor says so.
const MOST: usize = 1 << 20;

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

/// Whether a worker takes work, as a list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Life {
    /// It does.
    Up,
    /// It ends what it has.
    Draining,
    /// It is gone.
    Removed,
}

impl Life {
    /// The list's word for it.
    pub fn word(self) -> &'static str {
        match self {
            Life::Up => "up",
            Life::Draining => "draining",
            Life::Removed => "removed",
        }
    }
}

/// One row of a list that was told: the worker's number, its life, its last start (Unix milliseconds, 0 for long ago).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldRow {
    /// The worker.
    pub worker: usize,
    /// Its life.
    pub life: Life,
    /// Its last start.
    pub started_ms: u64,
}

/// What happened. Dispatchers and workers go by their numbers, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started; it knows nothing of its elder.
    Started { dispatcher: usize },
    /// A process was about to be sent SIGKILL.
    Killed { dispatcher: usize },
    /// A process was about to be sent SIGTERM.
    Terminated { dispatcher: usize },
    /// A process was stopped (SIGSTOP) or goes on (SIGCONT).
    Paused { dispatcher: usize, on: bool },
    /// A process ended without having been killed; `clean` if with exit code 0.
    Ended { dispatcher: usize, clean: bool },
    /// The list changed at the service.
    Changed { generation: u64, row: ToldRow },
    /// The last byte of a list, or of changes, was written to a dispatcher.
    Told { dispatcher: usize, generation: u64, whole: bool, rows: Vec<ToldRow> },
    /// A dispatcher opened a connection to a worker.
    Connected { dispatcher: usize, worker: usize },
    /// A dispatcher asked a worker for its load, or whether it lives.
    Probed { dispatcher: usize, worker: usize },
    /// A job reached a worker whole; the entry's time is that of its first byte at the relay. `work` in microseconds.
    Reached { dispatcher: usize, worker: usize, id: String, work: u64 },
    /// A worker began a job's work.
    Ran { worker: usize, id: String, key: Option<String> },
    /// A worker made this result.
    Made { worker: usize, id: String, result: String },
    /// A client wrote the last byte of a job; `patience` in microseconds.
    Sent { dispatcher: usize, id: String, patience: u64 },
    /// A client got the last byte of an answer.
    Answered { dispatcher: usize, id: String, status: u16, body: String },
    /// Bytes came on a client's connection that no request had asked for.
    Stray { dispatcher: usize, id: String },
    /// A client waited, and no whole answer came.
    Unanswered { dispatcher: usize, id: String },
    /// A client could not hand the job in: no connection, or closed before any answer byte of a reused one.
    Unreachable { dispatcher: usize, id: String },
    /// A datagram of a dispatcher was longer than 256 bytes.
    LongDatagram { dispatcher: usize, length: usize },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Microseconds of the harness's clock.
    pub at: u64,
    /// What happened.
    pub event: Event,
}

#[derive(Default)]
struct Inner {
    entries: Vec<Entry>,
    missing: u64,
}

/// All that was seen.
pub struct Record {
    /// The clock of all entries.
    pub clock: Clock,
    inner: Mutex<Inner>,
}

impl Record {
    /// An empty one.
    pub fn new(clock: Clock) -> Record {
        Record { clock, inner: Mutex::default() }
    }

    /// Adds what happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.clock.now(), event);
    }

    /// Adds what happened at another time.
    pub fn add_at(&self, at: u64, event: Event) {
        let mut inner = self.inner.lock().expect("a lock");
        if inner.entries.len() < MOST {
            inner.entries.push(Entry { at, event });
        } else {
            inner.missing += 1;
        }
    }

    /// All entries by time, and how many found no room.
    pub fn entries(&self) -> (Vec<Entry>, u64) {
        let inner = self.inner.lock().expect("a lock");
        let (mut entries, missing) = (inner.entries.clone(), inner.missing);
        drop(inner);
        entries.sort_by_key(|entry| entry.at);
        (entries, missing)
    }

    /// How many entries are such.
    pub fn count(&self, mut such: impl FnMut(&Event) -> bool) -> usize {
        self.inner.lock().expect("a lock").entries.iter().filter(|entry| such(&entry.event)).count()
    }

    /// Looks at every entry, in the order in which they were noted, which is nearly that of their times.
    pub fn each(&self, look: impl FnMut(&Entry)) {
        self.inner.lock().expect("a lock").entries.iter().for_each(look);
    }
}
