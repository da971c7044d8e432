//! The idempotency records on disk. The store's own threads do the writes, so that the event loop never waits for the disk. The
//! end of each write is reported by a [`WriteCompletion`] in a queue, whose socket wakes the loop.

use super::completion::{
    CompletionReceiver, CompletionSender, RecordWriteError, Waiter, WriteCompletion, completion_queue,
};
use crate::core::idempotency::{PersistedRecord, RECORD_TTL};
use crate::policy::interface::Micros;
use crate::server::{ServerError, StateDir};
use mothproxy_store::{Batch, Entry, Options, Recovery, Store, StoreError, UnixMillis, WriteResult};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The prefix of the records' keys in the store.
const KEY_PREFIX: &str = "key/";
/// How long this process waits at its start for the previous process to close the store.
const LOCK_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between attempts to open a store that is still locked.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The minimum time between two attempts to reopen the store, in microseconds.
const REOPEN_INTERVAL: Micros = 1_000_000;
const MICROS_PER_MILLI: Micros = 1_000;
/// How far the system's clock may be behind the newest time in the store, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 1_000;

/// The store of records, the queue of its completions, and the state of writing to it.
pub(in crate::server) struct RecordStore {
    settings: StateDir,
    /// `None` while the store cannot be opened, or after it was closed for a handover.
    store: Option<Store>,
    sender: CompletionSender,
    receiver: CompletionReceiver,
    /// The error of the last failed write or failed attempt to reopen; `None` after a successful write.
    last_error: Option<RecordWriteError>,
    /// The number of failed writes.
    failures: u64,
    /// When this process last tried to reopen the store, in microseconds.
    last_open_attempt: Option<Micros>,
}

impl RecordStore {
    /// Opens the store. Blocks for up to [`LOCK_TIMEOUT`] while the predecessor is still closing the store.
    ///
    /// # Errors
    /// If the store cannot be opened, or the sockets of the completion queue cannot be created.
    pub(in crate::server) fn open(settings: StateDir) -> Result<RecordStore, ServerError> {
        let started = Instant::now();
        let opened = open_when_unlocked(&settings, started);
        let (store, recovery) = opened.map_err(|error| ServerError::State(settings.dir.clone(), error))?;
        let elapsed_ms = started.elapsed().as_millis();
        for damage in recovery.damage.iter().chain(&recovery.warnings) {
            tracing::error!(%damage, "idempotency store: damaged");
        }
        let directory = settings.dir.display();
        let records = count_records(&store);
        tracing::info!(records, %directory, milliseconds = elapsed_ms, "idempotency store: opened");
        let (sender, receiver) = completion_queue().map_err(|error| ServerError::System("state", error))?;
        Ok(RecordStore {
            settings,
            store: Some(store),
            sender,
            receiver,
            last_error: None,
            failures: 0,
            last_open_attempt: None,
        })
    }

    /// Reads all records, one at a time: together they may be larger than the process's memory. Damaged records are logged and
    /// skipped.
    pub(in crate::server) fn records(&self) -> impl Iterator<Item = PersistedRecord> + use<> {
        let snapshot = self.store.as_ref().map(Store::snapshot);
        snapshot.into_iter().flat_map(|snapshot| {
            let now = snapshot.created_at();
            let entries = snapshot.entries_from(KEY_PREFIX.as_bytes());
            entries.filter_map(move |entry| persisted_record(entry, now))
        })
    }

    /// Whether the system's clock is at most [`CLOCK_TOLERANCE_MS`] behind the newest time in the store. If it is not, this is
    /// logged.
    pub(in crate::server) fn is_clock_plausible(&self) -> bool {
        let is_plausible = self.store.as_ref().is_none_or(is_clock_plausible);
        if !is_plausible {
            tracing::warn!("idempotency store: clock is behind the records, earlier jobs are not retried");
        }
        is_plausible
    }

    /// The socket that the event loop watches. It is readable while there may be completions.
    pub(in crate::server) fn socket(&self) -> &UnixStream {
        self.receiver.socket()
    }

    /// The number of failed writes.
    pub(in crate::server) fn failures(&self) -> u64 {
        self.failures
    }

    /// Closes the store for a handover, on another thread so that the event loop does not wait for the disk. Writes in progress
    /// still complete.
    pub(in crate::server) fn close_in_background(&mut self) {
        if let Some(store) = self.store.take() {
            // If the thread cannot be started, the store is closed here, and the event loop waits for it.
            let closing = std::thread::Builder::new().name("store-close".to_owned());
            let _ = closing.spawn(move || drop(store));
        }
    }

    /// Writes a record, or deletes it if `record` is `None`. A completion is queued in any case.
    pub(in crate::server) fn write(&mut self, waiter: Waiter, key: &str, record: Option<Vec<u8>>) {
        if let Err(error) = self.submit(waiter, key, record) {
            self.sender.send(WriteCompletion { waiter, result: Err(error) });
        }
    }

    /// Submits a write or a deletion to the store's threads.
    ///
    /// # Errors
    /// If the store is not open or rejects the write; no completion is queued then.
    fn submit(&self, waiter: Waiter, key: &str, record: Option<Vec<u8>>) -> Result<(), RecordWriteError> {
        let Some(store) = &self.store else {
            return Err(self.last_error.clone().unwrap_or(RecordWriteError::NotOpen));
        };
        let key = format!("{KEY_PREFIX}{key}");
        let batch = match record {
            Some(record) => Batch::new().put_with_ttl(key, record, Duration::from_micros(RECORD_TTL)),
            None => Batch::new().delete(key),
        };
        let sender = self.sender.clone();
        let on_written = move |result: WriteResult| {
            sender.send(WriteCompletion { waiter, result: result.map_err(RecordWriteError::Write) });
        };
        store.submit(batch, Box::new(on_written)).map_err(|error| RecordWriteError::Submit(Arc::new(error)))
    }

    /// Tries to open the store again if it is not open, at most once per [`REOPEN_INTERVAL`]. Returns whether it was opened now.
    /// It may then hold records of another process, which the caller must load.
    pub(super) fn reopen_if_closed(&mut self, now: Micros) -> bool {
        let is_too_early = self.last_open_attempt.is_some_and(|last| now < last + REOPEN_INTERVAL);
        if self.store.is_some() || is_too_early {
            return false;
        }
        self.last_open_attempt = Some(now);
        match open_store(&self.settings) {
            Ok((store, _)) => self.store = Some(store),
            Err(error) => self.set_failing(RecordWriteError::Open(Arc::new(error))),
        }
        self.store.is_some()
    }

    /// Removes and returns the completions that have arrived, and counts the failed writes.
    pub(in crate::server) fn drain_completions(&mut self) -> Vec<WriteCompletion> {
        let completions = self.receiver.drain();
        for completion in &completions {
            match &completion.result {
                Ok(()) => self.set_working(),
                Err(error) => {
                    self.failures += 1;
                    self.set_failing(error.clone());
                }
            }
        }
        completions
    }

    /// Records that writing fails. Only the first failure after a success is logged.
    fn set_failing(&mut self, error: RecordWriteError) {
        if self.last_error.is_none() {
            tracing::error!(%error, "idempotency store: writing fails, keyed jobs are rejected or failed");
        }
        self.last_error = Some(error);
    }

    /// Records that writing works. This is logged if writing failed before.
    fn set_working(&mut self) {
        if self.last_error.take().is_some() {
            tracing::info!(failures = self.failures, "idempotency store: writing again");
        }
    }
}

/// Opens the store.
///
/// # Errors
/// If the store is locked by another process or cannot be opened.
fn open_store(settings: &StateDir) -> Result<(Store, Recovery), StoreError> {
    Store::open(&settings.dir, Options { sync: settings.sync, ..Options::default() })
}

/// Opens the store. While another process holds its lock, blocks and retries until [`LOCK_TIMEOUT`] after `started`.
///
/// # Errors
/// If the store stays locked or cannot be opened.
fn open_when_unlocked(settings: &StateDir, started: Instant) -> Result<(Store, Recovery), StoreError> {
    loop {
        match open_store(settings) {
            Err(StoreError::Locked(_)) if started.elapsed() < LOCK_TIMEOUT => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            opened => return opened,
        }
    }
}

/// The number of records, without reading them.
fn count_records(store: &Store) -> u64 {
    store.snapshot().stat().records
}

/// The record of an entry of the store, its key without the prefix. `None` if the entry is damaged, which is logged, or if it is
/// not a record. `now` is the time of the store.
fn persisted_record(entry: Result<Entry, StoreError>, now: UnixMillis) -> Option<PersistedRecord> {
    let entry =
        entry.inspect_err(|error| tracing::error!(damage = %error, "idempotency store: damaged")).ok()?;
    let key = std::str::from_utf8(&entry.key).ok()?.strip_prefix(KEY_PREFIX)?.to_owned();
    let time_to_live = entry.expires_at.map_or(RECORD_TTL, |at| at.saturating_sub(now) * MICROS_PER_MILLI);
    Some(PersistedRecord { key, bytes: entry.value, time_to_live })
}

/// Whether the system's clock is at most [`CLOCK_TOLERANCE_MS`] behind the newest time in the store.
fn is_clock_plausible(store: &Store) -> bool {
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    store.now() <= unix_ms + CLOCK_TOLERANCE_MS
}
