//! Requests with an idempotency key: what is known of the key, and the records that must be persisted before an attempt leaves.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId};
use crate::core::commands::{Command, NewRequest, PersistOutcome, RecordTicket};
use crate::core::idempotency::{
    AttemptRecord, IdempotencyStore, LookupResult, RecordDecodeError, RecordUpdate,
};
use crate::core::names::class_name;
use crate::core::request::RequestId;
use crate::policy::interface::{Event, Micros};
use mothproxy_invariant::invariant;

impl Core {
    /// Keeps records of keyed requests from now on, beginning with these. `is_clock_sound` unless time may have passed that the
    /// clock does not show: then every window of repetition counts as over. Returns the keys whose records cannot be read, each
    /// with the reason.
    pub fn enable_idempotency(
        &mut self,
        now: Micros,
        records: impl Iterator<Item = (String, Vec<u8>)>,
        is_clock_sound: bool,
    ) -> Vec<(String, RecordDecodeError)> {
        let mut store = IdempotencyStore::default();
        let unreadable = records
            .filter_map(|(key, record)| {
                let error = store.load(now, &key, Some(&record)).err()?;
                Some((key, error))
            })
            .collect();
        if !is_clock_sound {
            store.distrust_clock();
        }
        self.idempotency = Some(store);
        unreadable
    }

    /// The records of keyed requests, where that is on.
    pub fn idempotency(&self) -> Option<&IdempotencyStore> {
        self.idempotency.as_ref()
    }

    /// Another process of this dispatcher has written this record; `None` deletes the key's record.
    pub fn load_record(&mut self, now: Micros, key: &str, record: Option<&[u8]>) {
        let loaded = self.idempotency.as_mut().map(|store| store.load(now, key, record));
        invariant!(!matches!(loaded, Some(Err(_))), "a record of the other process that cannot be read");
    }

    /// What is known of a new request's key.
    pub(super) fn look_up_key(&mut self, now: Micros, request: &NewRequest) -> LookupResult {
        let class = class_name(&self.names, request.class);
        match (&mut self.idempotency, &request.idempotency_key, class) {
            (Some(store), Some(key), Some(class)) => store.look_up(now, key, class),
            _ => LookupResult::Unknown,
        }
    }

    /// Whether the key of this request was given to one with another body or class before.
    pub fn is_key_reused(&mut self, now: Micros, request: &NewRequest) -> bool {
        let class = class_name(&self.names, request.class);
        match (&mut self.idempotency, &request.idempotency_key, class) {
            (Some(store), Some(key), Some(class)) => store.is_reused(now, key, class),
            _ => false,
        }
    }

    /// Records the attempts of a keyed request, with its result if there is one, and commands that to be persisted.
    pub(super) fn persist_record(
        &mut self,
        now: Micros,
        id: RequestId,
        ticket: Option<RecordTicket>,
        result: Option<Vec<u8>>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some((store, key)) = self.idempotency.as_mut().zip(request.idempotency_key.as_ref()) else {
            return;
        };
        let Some(class) = class_name(&self.names, request.job.class) else { return };
        let to_record = |attempt: &Attempt| {
            let row = &self.endpoints.get(attempt.worker)?.row;
            Some(AttemptRecord {
                worker: row.instance_id.clone(),
                cell: row.cell,
                zone: row.zone.clone(),
                sent_at: self.clock.unix_time(attempt.sent_at),
                never_ran: attempt.has_never_run(),
            })
        };
        let attempts = request.attempts.iter().filter_map(to_record).collect();
        let update = RecordUpdate { class, request_name: &request.name, attempts, result };
        let record = store.record(now, key, update);
        self.commands.push_back(Command::PersistRecord { ticket, key: key.key.clone(), record });
    }

    /// A worker reported the result of a job that an earlier process sent: its client's repeat will ask for it.
    pub(super) fn persist_late_result(&mut self, now: Micros, request_name: &str, result: Vec<u8>) {
        let Some(store) = &mut self.idempotency else { return };
        let Some(key) = store.key_of_request(request_name) else { return };
        let record = store.record_result(now, &key, result);
        self.commands.push_back(Command::PersistRecord { ticket: None, key, record });
    }

    /// The records that attempts wait for cannot be written any more.
    pub fn fail_unpersisted(&mut self) {
        let tickets: Vec<RecordTicket> = self.unpersisted.keys().copied().collect();
        for ticket in tickets {
            self.on_record_persisted(ticket, PersistOutcome::Failed);
        }
    }

    /// The record of this ticket was written, or could not be. The attempt that waits for it is sent, or has never run and the
    /// decision module gives its request up.
    pub fn on_record_persisted(&mut self, ticket: RecordTicket, outcome: PersistOutcome) {
        let Some(id) = self.unpersisted.remove(&ticket) else { return };
        let AttemptId { request_id, attempt } = id;
        let Some(request) = self.requests.get_mut(request_id) else { return };
        let is_open = request.is_open();
        let Some(this) = request.attempts.get_mut(attempt as usize).filter(|this| this.is_in_flight()) else {
            return;
        };
        let worker = this.worker;
        if outcome == PersistOutcome::Written && is_open {
            return self.commands.push_back(Command::StartAttempt { request_id, attempt, worker });
        }
        this.finish(id, AttemptEnd::NeverRan, &mut self.timers);
        self.events.push(Event::NotPersisted { job: request_id.job(), attempt });
        self.requests.mark_finished(request_id);
    }
}
