//! Persists the idempotency records of jobs: in this process's store, or, after a handover, through the successor, which has
//! taken over the store.

mod completion;
mod record_store;

pub(in crate::server) use record_store::RecordStore;

use crate::core::{Core, PersistOutcome, RecordTicket};
use crate::policy::interface::Micros;
use crate::protocol::admin::IdempotencyMetrics;
use crate::server::error::syscall_failed;
use crate::server::lifecycle::hot_restart::HotRestart;
use crate::server::reactor::Reactor;
use crate::server::tokens::IDEMPOTENCY_STORE;
use crate::server::{Server, ServerError, StateDir};
use completion::Waiter;

/// The maximum number of files that the store keeps open.
const MAX_OPEN_FILES: usize = 48;

/// The number of descriptors reserved for the store; 0 if there is no store.
pub(in crate::server) fn reserved_files(has_store: bool) -> usize {
    if has_store { MAX_OPEN_FILES } else { 0 }
}

/// Opens the store and loads its records into the core. Must be called before any client is served. If the system's clock is
/// too far behind the newest time in the store, earlier jobs are not retried. The records take about `max_bytes` of memory at most.
///
/// # Errors
/// If the store cannot be opened or watched.
pub(in crate::server) fn open_record_store(
    settings: StateDir,
    core: &mut Core,
    reactor: &Reactor,
    now: Micros,
    max_bytes: usize,
) -> Result<RecordStore, ServerError> {
    let records = RecordStore::open(settings)?;
    let unreadable = core.enable_idempotency(now, max_bytes, records.records());
    if !records.is_clock_plausible() {
        core.expire_idempotency_windows();
    }
    for (key, error) in unreadable {
        tracing::error!(key, %error, "idempotency store: unreadable record");
    }
    reactor.watch(records.socket(), IDEMPOTENCY_STORE).map_err(syscall_failed("epoll"))?;
    Ok(records)
}

impl RecordStore {
    /// The store has completed writes, successfully or not. Notifies the core or the predecessor that waits for each of them.
    pub(in crate::server) fn on_readable(&mut self, core: &mut Core, hot_restart: &HotRestart) {
        for completion in self.drain_completions() {
            let outcome = match completion.result {
                Ok(()) => PersistOutcome::Written,
                Err(_) => PersistOutcome::Failed,
            };
            match completion.waiter {
                Waiter::Nobody => {}
                Waiter::Core(ticket) => core.on_record_persisted(ticket, outcome),
                Waiter::Predecessor(ticket) => {
                    hot_restart.report_record_persisted(ticket, outcome);
                }
            }
        }
    }

    /// Returns the metrics of the store for the admin address; `None` if idempotency is off in the core.
    pub(in crate::server) fn metrics(&self, core: &Core) -> Option<IdempotencyMetrics> {
        let keys = core.idempotency()?;
        Some(IdempotencyMetrics {
            keys: keys.len(),
            failures: self.failures(),
            repeats_answered: keys.repeats_answered(),
            restricted_repeats: keys.restricted_repeats(),
            evicted: keys.evicted(),
        })
    }
}

/// Persisting records, either in the store or through the other process of a hot restart.
impl Server {
    /// Persists the record of a job's idempotency key, or deletes it if `record` is `None`. The core is notified with `ticket`
    /// once this is done, unless `ticket` is `None`.
    pub(in crate::server) fn persist_record(
        &mut self,
        ticket: Option<RecordTicket>,
        key: String,
        record: Option<Vec<u8>>,
    ) {
        if self.lifecycle.has_handed_over() {
            return self.persist_at_successor(ticket, key, record.as_deref());
        }
        self.reopen_record_store();
        if let Some(records) = &mut self.records {
            let waiter = ticket.map_or(Waiter::Nobody, Waiter::Core);
            records.write(waiter, &key, record);
        }
    }

    /// Opens the store again if it is not open, and loads what a successor that has ended wrote in the meantime. Blocks while the
    /// store is recovered and read.
    pub(in crate::server) fn reopen_record_store(&mut self) {
        let now = self.clock.now();
        let Some(records) = &mut self.records else { return };
        if records.reopen_if_closed(now) {
            for (key, error) in self.core.load_records(now, records.records()) {
                tracing::error!(key, %error, "idempotency store: unreadable record");
            }
        }
    }

    /// Asks the successor to persist a record. If the message cannot be sent, the write counts as failed.
    fn persist_at_successor(&mut self, ticket: Option<RecordTicket>, key: String, record: Option<&[u8]>) {
        if !self.hot_restart.forward_record(ticket, key, record)
            && let Some(ticket) = ticket
        {
            self.core.on_record_persisted(ticket, PersistOutcome::Failed);
        }
    }

    /// Persists a record for the predecessor, or deletes it if `record` is `None`, and loads it into this core.
    pub(in crate::server) fn persist_for_predecessor(
        &mut self,
        ticket: Option<RecordTicket>,
        key: &str,
        record: Option<Vec<u8>>,
    ) {
        self.reopen_record_store();
        let now = self.clock.now();
        self.core.load_record(now, key, record.as_deref());
        match (&mut self.records, ticket) {
            (Some(records), ticket) => {
                let waiter = ticket.map_or(Waiter::Nobody, Waiter::Predecessor);
                records.write(waiter, key, record);
            }
            // This process has no store: the predecessor must continue as if the record were persisted.
            (None, Some(ticket)) => {
                self.hot_restart.report_record_persisted(ticket, PersistOutcome::Written);
            }
            (None, None) => {}
        }
    }
}
