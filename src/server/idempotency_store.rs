//! Where the records of keyed jobs are persisted: in this process's store, or, after an upgrade, by the successor that has
//! taken the store over.

mod completion;
mod record_store;

pub(in crate::server) use record_store::RecordStore;

use crate::protocol::admin::IdempotencyMetrics;
use crate::server::{IDEMPOTENCY_STORE, Server, ServerError, StateDir};
use completion::Waiter;

/// Files that the store may have open at a time.
pub(in crate::server) const MAX_OPEN_FILES: usize = 48;

impl Server {
    /// Opens the store before anything else is promised to clients.
    ///
    /// # Errors
    /// If the store cannot be opened or watched.
    pub(in crate::server) fn open_record_store(&mut self, settings: StateDir) -> Result<(), ServerError> {
        let (records, loaded) = RecordStore::open(settings)?;
        let bad =
            self.core.enable_idempotency(self.clock.now(), loaded.records.into_iter(), loaded.is_clock_sound);
        for (key, error) in bad {
            tracing::error!(key, %error, "idempotency store: unreadable record");
        }
        self.reactor.watch(records.socket(), IDEMPOTENCY_STORE).map_err(crate::server::system("epoll"))?;
        self.records = Some(records);
        Ok(())
    }

    /// Persists a record of a keyed job, or deletes it where there is none; `ticket` is what the core waits with, if it does.
    pub(in crate::server) fn persist_record(
        &mut self,
        ticket: Option<u64>,
        key: String,
        record: Option<Vec<u8>>,
    ) {
        if self.lifecycle.has_handed_over {
            return self.persist_at_successor(ticket, key, record.as_deref());
        }
        if let Some(records) = &mut self.records {
            let waiter = ticket.map_or(Waiter::Nobody, Waiter::Core);
            records.write(self.clock.now(), waiter, &key, record);
        }
    }

    fn persist_at_successor(&mut self, ticket: Option<u64>, key: String, record: Option<&[u8]>) {
        if !self.hot_restart.forward_record(ticket, key, record)
            && let Some(ticket) = ticket
        {
            self.core.on_record_persisted(ticket, false);
        }
    }

    /// The store has written records, or could not.
    pub(in crate::server) fn on_records_written(&mut self) {
        let Some(records) = &mut self.records else { return };
        for completion in records.drain_completions() {
            let written = completion.result.is_ok();
            match completion.waiter {
                Waiter::Nobody => {}
                Waiter::Core(ticket) => self.core.on_record_persisted(ticket, written),
                Waiter::Predecessor(ticket) => {
                    self.hot_restart.report_record_written(ticket, written);
                }
            }
        }
    }

    /// The predecessor wants a record persisted, or deleted where there is none.
    pub(in crate::server) fn persist_for_predecessor(
        &mut self,
        ticket: Option<u64>,
        key: &str,
        record: Option<Vec<u8>>,
    ) {
        self.core.load_record(self.clock.now(), key, record.as_deref());
        match (&mut self.records, ticket) {
            (Some(records), ticket) => {
                let waiter = ticket.map_or(Waiter::Nobody, Waiter::Predecessor);
                records.write(self.clock.now(), waiter, key, record);
            }
            // This version was started without a store: the predecessor goes on as though nothing had to be persisted.
            (None, Some(ticket)) => {
                self.hot_restart.report_record_written(ticket, true);
            }
            (None, None) => {}
        }
    }

    /// The successor that was to persist records has ended: all that are waited for count as failed.
    pub(in crate::server) fn fail_pending_records(&mut self) {
        for ticket in self.core.pending_tickets() {
            self.core.on_record_persisted(ticket, false);
        }
    }

    /// What the admin address and the log report of the store, where it is on.
    pub(in crate::server) fn idempotency_metrics(&self) -> Option<IdempotencyMetrics> {
        let (records, keys) = self.records.as_ref().zip(self.core.idempotency())?;
        Some(IdempotencyMetrics {
            keys: keys.len(),
            failures: records.failures(),
            repeats_answered: keys.repeats_answered,
            repeats_bound: keys.repeats_bound,
            evicted: keys.evicted,
        })
    }
}
