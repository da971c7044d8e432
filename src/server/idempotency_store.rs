//! The store of keyed jobs' notes, beside the loop: what the core wants noted goes to the store's own threads, and what became of
//! it comes back over a socket that the loop watches. The loop never waits for the disk.

use crate::policy::interface::Micros;
use crate::protocol::admin::IdempotencyMetrics;
use crate::server::lifecycle::hot_restart::Note;
use crate::server::{NOTES, NetError, Server, StateDir};
use mothproxy_store::{Batch, Options, Recovery, Store, StoreError};
use rustix::event::epoll::{self, EventData, EventFlags};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Keys of notes begin with this in the store.
const PREFIX: &str = "key/";
/// The process that had the store before may need so long to close it.
const LOCK_TIME: Duration = Duration::from_secs(3);
const LOCK_STEP: Duration = Duration::from_millis(5);
/// A store that cannot be opened is tried again after this.
const REOPEN: Micros = 1_000_000;
/// The store may have so many files open.
pub(in crate::server) const FDS: usize = 48;

/// A ticket, and why it could not be noted, if it could not.
type Settled = (Option<u64>, Result<(), String>);

pub(in crate::server) struct Notes {
    dir: StateDir,
    store: Option<Store>,
    settled: Arc<Mutex<Vec<Settled>>>,
    pub woken: UnixStream,
    waker: Arc<UnixStream>,
    /// Why the last note could not be written, until one is.
    failing: Option<String>,
    /// Notes that could not be written.
    pub failures: u64,
    tried: Option<Micros>,
}

/// What is in the store at the start.
pub(in crate::server) struct Found {
    pub notes: Vec<(String, Vec<u8>)>,
    /// The clock has not fallen behind what the store has seen.
    pub clock_sound: bool,
}

fn open_store(dir: &StateDir) -> Result<(Store, Recovery), StoreError> {
    Store::open(&dir.dir, Options { sync: dir.sync, ..Options::default() })
}

impl Notes {
    /// Opens the store and reads what is in it. A process that is handing over may still be closing it.
    pub fn open(dir: StateDir) -> Result<(Notes, Found), NetError> {
        let failed = |error: StoreError| NetError::State(dir.dir.clone(), error);
        let started = Instant::now();
        let (store, recovery) = loop {
            match open_store(&dir) {
                Err(StoreError::Locked(_)) if started.elapsed() < LOCK_TIME => std::thread::sleep(LOCK_STEP),
                other => break other.map_err(failed)?,
            }
        };
        let took = started.elapsed().as_millis();
        for damage in recovery.damage.iter().chain(&recovery.warnings) {
            tracing::error!("state: damaged: {damage}");
        }
        let mut notes = Vec::new();
        for record in store.snapshot().iter_from(PREFIX.as_bytes()) {
            match record {
                Ok((key, value)) => match String::from_utf8(key) {
                    Ok(key) if key.starts_with(PREFIX) => notes.push((key[PREFIX.len()..].to_owned(), value)),
                    _ => {}
                },
                Err(error) => tracing::error!("state: damaged: {error}"),
            }
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let clock_sound = store.now() <= unix + 1000;
        if !clock_sound {
            tracing::warn!("state: the clock is behind what was noted; jobs noted before are not sent again");
        }
        tracing::info!("state: {} keys noted in {}, read in {took} ms", notes.len(), dir.dir.display());
        let io = |error| NetError::System("state", error);
        let (woken, waker) = UnixStream::pair().map_err(io)?;
        woken.set_nonblocking(true).map_err(io)?;
        waker.set_nonblocking(true).map_err(io)?;
        let settled = Arc::default();
        let (waker, store) = (Arc::new(waker), Some(store));
        let own = Notes { dir, store, settled, woken, waker, failing: None, failures: 0, tried: None };
        Ok((own, Found { notes, clock_sound }))
    }

    /// Gives the store up to another process, without waiting for the disk here. What is under way is still settled.
    pub fn give_up(&mut self) {
        if let Some(store) = self.store.take() {
            // Were there no thread for it, it would be closed here, with a wait.
            let closing = std::thread::Builder::new().name("store-close".to_owned());
            let _ = closing.spawn(move || drop(store));
        }
    }

    fn write(&mut self, now: Micros, ticket: Option<u64>, key: &str, note: Option<Vec<u8>>) {
        if self.store.is_none() && self.tried.is_none_or(|at| now >= at + REOPEN) {
            self.tried = Some(now);
            match open_store(&self.dir) {
                Ok((store, _)) => self.store = Some(store),
                Err(error) => self.failing_for(&error.to_string()),
            }
        }
        let key = format!("{PREFIX}{key}");
        let batch = match note {
            Some(note) => Batch::new().put_with_ttl(key, note, crate::core::idempotency::RECORD_TTL / 1000),
            None => Batch::new().delete(key),
        };
        let (settled, waker) = (self.settled.clone(), self.waker.clone());
        let done = Box::new(move |result: Result<(), String>| {
            let mut settled = settled.lock().unwrap_or_else(PoisonError::into_inner);
            settled.push((ticket, result));
            if settled.len() == 1 {
                let _ = (&*waker).write(&[1]); // full: the loop is woken already
            }
        });
        let taken = match &self.store {
            Some(store) => store.submit(batch, done).map_err(|error| error.to_string()),
            None => Err(self.failing.clone().unwrap_or_else(|| "not open".to_owned())),
        };
        if let Err(why) = taken {
            self.settled.lock().unwrap_or_else(PoisonError::into_inner).push((ticket, Err(why)));
            let _ = (&*self.waker).write(&[1]); // as above
        }
    }

    fn settled(&mut self) -> Vec<Settled> {
        let mut buf = [0; 64];
        while matches!((&self.woken).read(&mut buf), Ok(n) if n > 0) {}
        std::mem::take(&mut self.settled.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// One line when writing begins to fail, one when it goes again.
    fn failing_for(&mut self, why: &str) {
        if self.failing.is_none() {
            tracing::error!(
                "state: cannot note keyed jobs, which are turned away or failed meanwhile: {why}"
            );
        }
        self.failing = Some(why.to_owned());
    }

    fn wrote(&mut self) {
        if self.failing.take().is_some() {
            tracing::info!("state: keyed jobs are noted again, after {} that could not be", self.failures);
        }
    }
}

impl Server {
    /// Opens the store before anything else is promised to clients.
    pub(in crate::server) fn open_notes(&mut self, dir: StateDir) -> Result<(), NetError> {
        let (notes, found) = Notes::open(dir)?;
        for (key, why) in self.core.enable_idempotency(self.now, found.notes.into_iter(), found.clock_sound) {
            tracing::error!("state: the note of {key:?} cannot be read: {why}");
        }
        let watched = epoll::add(&self.epoll, &notes.woken, EventData::new_u64(NOTES.0), EventFlags::IN);
        watched.map_err(crate::server::system("epoll"))?;
        self.notes = Some(notes);
        Ok(())
    }

    /// Notes something of a keyed job: in the store, or with the process that has taken it over.
    pub(in crate::server) fn note(&mut self, ticket: Option<u64>, key: String, note: Option<Vec<u8>>) {
        if self.handed {
            let bytes = note.as_deref().unwrap_or_default();
            let word = Note::Write { ticket, key, kept: note.is_some() };
            if !self.send_twin(&word, &[bytes])
                && let Some(ticket) = ticket
            {
                self.core.on_record_persisted(ticket, false);
            }
            return;
        }
        let now = self.now;
        if let Some(notes) = &mut self.notes {
            notes.write(now, ticket, &key, note);
        }
    }

    /// The store has written, or could not.
    pub(in crate::server) fn notes_ready(&mut self) {
        let Some(notes) = &mut self.notes else { return };
        for (ticket, result) in notes.settled() {
            let Some(notes) = &mut self.notes else { return };
            match &result {
                Ok(()) => notes.wrote(),
                Err(why) => {
                    notes.failures += 1;
                    notes.failing_for(why);
                }
            }
            match ticket {
                Some(ticket) if ticket >= ELDERS => {
                    let ticket = ticket - ELDERS;
                    self.send_twin(&Note::Written { ticket, written: result.is_ok() }, &[]);
                }
                Some(ticket) => self.core.on_record_persisted(ticket, result.is_ok()),
                None => {}
            }
        }
    }

    /// The elder wants something noted.
    pub(in crate::server) fn note_for_elder(
        &mut self,
        ticket: Option<u64>,
        key: &str,
        note: Option<Vec<u8>>,
    ) {
        self.core.load_record(self.now, key, note.as_deref());
        let now = self.now;
        match (&mut self.notes, ticket) {
            (Some(notes), ticket) => notes.write(now, ticket.map(|t| ELDERS + t), key, note),
            // This version was started without: it is to go on as though nothing needed noting.
            (None, Some(ticket)) => drop(self.send_twin(&Note::Written { ticket, written: true }, &[])),
            (None, None) => {}
        }
    }

    /// The process that was to note these has ended.
    pub(in crate::server) fn notes_back(&mut self) {
        for ticket in self.core.pending_tickets() {
            self.core.on_record_persisted(ticket, false);
        }
    }

    /// What the second address and the log tell of it, where it is on.
    pub(in crate::server) fn state_figures(&self) -> Option<IdempotencyMetrics> {
        let (notes, book) = self.notes.as_ref().zip(self.core.idempotency())?;
        Some(IdempotencyMetrics {
            keys: book.len(),
            failures: notes.failures,
            repeats_answered: book.repeats_answered,
            repeats_bound: book.repeats_bound,
            evicted: book.evicted,
        })
    }
}

/// Tickets of the elder's are told from own ones by this.
const ELDERS: u64 = 1 << 63;
