//! `mothproxy store put`: writes JSON lines from standard input to a store. Many writes are in flight at the same time. Each key
//! is printed once its record is durable.

use super::record::{Record, RecordError, key_line};
use super::{DirectoryContent, log_damage};
use crate::cli::error::CommandError;
use mothproxy_store::{Batch, Options, Store, StoreError, WriteResult};
use std::io::{BufRead, BufWriter, Read, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// The maximum number of writes in flight.
const MAX_IN_FLIGHT: usize = 1024;
/// The maximum length of a line, in bytes. JSON may take six bytes for each byte of the longest value.
const MAX_LINE_LENGTH: u64 = 64 << 20;

/// Writes all lines of standard input.
///
/// # Errors
/// [`CommandError`] if a line is invalid, the store fails or standard output is closed. The lines before it stay written.
pub(super) fn run(dir: &Path) -> Result<(), CommandError> {
    if dir.exists() {
        let content = DirectoryContent::read(dir)?;
        if content.has_foreign_files && !content.has_store_files {
            return Err(CommandError::ForeignFiles(dir.to_owned()));
        }
    }
    let (acknowledge, acknowledged) = sync_channel(MAX_IN_FLIGHT);
    let printer = std::thread::spawn(move || print_keys(&acknowledged));
    let window = Arc::new(WriteWindow::default());
    let mut writer = LineWriter { dir, store: None, window: window.clone(), acknowledge };
    let written = writer.write_lines(&mut std::io::stdin().lock());
    // Every accepted record is written and its key printed, even if the input ended with an error.
    let closed = writer.close();
    let has_printed_all = printer.join().unwrap_or(false);
    written?;
    closed?;
    if !has_printed_all {
        return Err(CommandError::StandardOutputClosed);
    }
    match window.take_failure() {
        Some(failure) => Err(CommandError::WriteFailed(failure)),
        None => Ok(()),
    }
}

/// A write that has ended.
struct Acknowledgement {
    key: Vec<u8>,
    is_durable: bool,
}

/// Limits how many writes are in flight, and keeps the first failure.
#[derive(Default)]
struct WriteWindow {
    state: Mutex<WindowState>,
    released: Condvar,
}

#[derive(Default)]
struct WindowState {
    in_flight: usize,
    /// The error of the first write that failed.
    failure: Option<Arc<StoreError>>,
}

impl WriteWindow {
    fn lock(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until another write may begin. Returns false if a write has failed, after which no other should begin.
    fn acquire(&self) -> bool {
        let mut state = self.lock();
        while state.in_flight >= MAX_IN_FLIGHT {
            state = self.released.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if state.failure.is_some() {
            return false;
        }
        state.in_flight += 1;
        true
    }

    /// Ends a write, with its result.
    fn release(&self, result: WriteResult) {
        let mut state = self.lock();
        state.in_flight -= 1;
        if let Err(failure) = result {
            state.failure.get_or_insert(failure);
        }
        self.released.notify_one();
    }

    fn take_failure(&self) -> Option<Arc<StoreError>> {
        self.lock().failure.take()
    }
}

/// Writes lines to a store, which it opens for the first valid line.
struct LineWriter<'a> {
    dir: &'a Path,
    store: Option<Store>,
    window: Arc<WriteWindow>,
    acknowledge: SyncSender<Acknowledgement>,
}

impl LineWriter<'_> {
    fn write_lines(&mut self, input: &mut impl BufRead) -> Result<(), CommandError> {
        let mut line = Vec::new();
        let mut number = 0;
        while read_line(input, &mut line)? {
            number += 1;
            let bad_line = |error| CommandError::BadLine { line: number, error };
            let text = std::str::from_utf8(&line).map_err(|error| bad_line(error.into()))?;
            if text.trim().is_empty() {
                continue;
            }
            // The directory stays unchanged until the first line is valid.
            let record = Record::parse(text).map_err(bad_line)?;
            self.open_store()?;
            if !self.window.acquire() {
                return Ok(()); // `run` reports the failed write
            }
            self.submit(record).map_err(|error| match error {
                StoreError::Invalid(invalid) => bad_line(RecordError::Invalid(invalid)),
                other => other.into(),
            })?;
        }
        if !self.dir.exists() {
            self.open_store()?; // the input has no records: create an empty store
        }
        Ok(())
    }

    /// Opens the store, if it is not open yet.
    fn open_store(&mut self) -> Result<(), StoreError> {
        if self.store.is_none() {
            let (store, recovery) = Store::open(self.dir, Options::default())?;
            log_damage(&recovery);
            self.store = Some(store);
        }
        Ok(())
    }

    /// Begins to write a record; its key is acknowledged when the write ends.
    fn submit(&self, record: Record) -> Result<(), StoreError> {
        let Some(store) = &self.store else { return Err(StoreError::Closed) };
        let mut batch = Batch::new();
        batch.push(record.key.clone(), record.value, None);
        let window = self.window.clone();
        let acknowledge = self.acknowledge.clone();
        let on_written = move |result: WriteResult| {
            // A send fails only if the printer has ended early, and `run` reports that.
            let _ = acknowledge.send(Acknowledgement { key: record.key, is_durable: result.is_ok() });
            window.release(result);
        };
        store.submit(batch, Box::new(on_written))
    }

    /// Waits for the writes in flight and closes the store.
    fn close(self) -> Result<(), StoreError> {
        self.store.map_or(Ok(()), Store::close)
    }
}

/// Reads a line; returns false at the end of the input. A line that is too long is returned in parts.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> Result<bool, CommandError> {
    line.clear();
    let mut limited = input.take(MAX_LINE_LENGTH);
    let length = limited.read_until(b'\n', line).map_err(CommandError::StandardInput)?;
    Ok(length > 0)
}

/// Prints the keys whose records are durable. Returns false if standard output was closed before all of them were printed.
fn print_keys(acknowledged: &Receiver<Acknowledgement>) -> bool {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let mut is_open = true;
    while let Ok(first) = acknowledged.recv() {
        for acknowledgement in std::iter::once(first).chain(acknowledged.try_iter()) {
            if acknowledgement.is_durable && is_open {
                is_open = writeln!(out, "{}", key_line(acknowledgement.key)).is_ok();
            }
        }
        is_open = is_open && out.flush().is_ok();
    }
    is_open
}
