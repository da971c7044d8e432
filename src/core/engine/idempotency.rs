//! Requests with an idempotency key: lookups of the key's record, and the records that must be persisted before an attempt is
//! sent.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId};
use crate::core::clock::UnixClock;
use crate::core::commands::{Command, NewRequest, PersistOutcome, RecordTicket};
use crate::core::endpoint_table::EndpointTable;
use crate::core::idempotency::{
    AttemptRecord, IdempotencyStore, LookupResult, PersistedRecord, RecordDecodeError, RecordUpdate,
};
use crate::core::request::RequestId;
use crate::policy::interface::{Event, Micros};
use mothproxy_invariant::invariant;

impl Core {
    /// Starts keeping records of keyed requests, which take about `max_bytes` of memory at most. The records are those of
    /// `persisted` to begin with. Returns the keys whose records cannot be decoded, each with the reason.
    pub fn enable_idempotency(
        &mut self,
        now: Micros,
        max_bytes: usize,
        persisted: impl Iterator<Item = PersistedRecord>,
    ) -> Vec<(String, RecordDecodeError)> {
        self.idempotency = Some(IdempotencyStore::new(max_bytes));
        self.load_records(now, persisted)
    }

    /// Loads persisted records, each in place of the one that is kept for its key. Returns the keys whose records cannot be
    /// decoded, each with the reason.
    pub fn load_records(
        &mut self,
        now: Micros,
        persisted: impl Iterator<Item = PersistedRecord>,
    ) -> Vec<(String, RecordDecodeError)> {
        let Some(store) = &mut self.idempotency else { return Vec::new() };
        let load = |record: PersistedRecord| {
            let error = store.load_persisted(now, &record).err()?;
            Some((record.key, error))
        };
        persisted.filter_map(load).collect()
    }

    /// Treats the deduplication window of every recorded attempt as over, because the clock may not show all the time that has
    /// passed.
    pub fn expire_idempotency_windows(&mut self) {
        if let Some(store) = &mut self.idempotency {
            store.expire_windows();
        }
    }

    /// The records of keyed requests; `None` if they are not kept.
    pub fn idempotency(&self) -> Option<&IdempotencyStore> {
        self.idempotency.as_ref()
    }

    /// Loads a record that another process of this dispatcher has written; `None` deletes the key's record.
    pub fn load_record(&mut self, now: Micros, key: &str, record: Option<&[u8]>) {
        let loaded = self.idempotency.as_mut().map(|store| store.load(now, key, record));
        invariant!(
            !matches!(loaded, Some(Err(_))),
            "the record of another process cannot be decoded: {loaded:?}"
        );
    }

    /// Looks up the record of a new request's key.
    pub(super) fn look_up_record(&mut self, now: Micros, request: &NewRequest) -> LookupResult {
        let class = self.names.class_name(request.class);
        match (&mut self.idempotency, &request.idempotency_key, class) {
            (Some(store), Some(key), Some(class)) => store.look_up(now, key, class),
            _ => LookupResult::Unknown,
        }
    }

    /// Whether the key of this request was used before by a request with another body or class.
    pub fn is_key_reused(&mut self, now: Micros, request: &NewRequest) -> bool {
        let class = self.names.class_name(request.class);
        match (&mut self.idempotency, &request.idempotency_key, class) {
            (Some(store), Some(key), Some(class)) => store.is_reused(now, key, class),
            _ => false,
        }
    }

    /// Records the attempts of a keyed request and its result, if there is one, and issues the command to persist the record.
    pub(super) fn persist_record(
        &mut self,
        now: Micros,
        id: RequestId,
        ticket: Option<RecordTicket>,
        result: Option<Vec<u8>>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some((store, key)) = self.idempotency.as_mut().zip(request.idempotency_key()) else {
            return;
        };
        let Some(class) = self.names.class_name(request.job().class) else { return };
        let attempts = request.attempts().iter();
        let attempts =
            attempts.filter_map(|attempt| attempt_record(&self.endpoints, self.clock, attempt)).collect();
        let update = RecordUpdate { class, request_name: request.name(), attempts, result };
        let record = store.record(now, key, update);
        self.commands.push_back(Command::PersistRecord { ticket, key: key.key.clone(), record });
    }

    /// Records a result that is not a final response, such as that of a job that an earlier process sent, because the client may
    /// repeat the request.
    pub(super) fn persist_late_result(&mut self, now: Micros, request_name: &str, result: Vec<u8>) {
        let Some(store) = &mut self.idempotency else { return };
        let Some(key) = store.key_of_request(request_name) else { return };
        let record = store.record_result(now, &key, result);
        self.commands.push_back(Command::PersistRecord { ticket: None, key, record });
    }

    /// Fails all writes that attempts wait for, because records can no longer be written.
    pub fn fail_unpersisted(&mut self) {
        let tickets: Vec<RecordTicket> = self.unpersisted.keys().copied().collect();
        for ticket in tickets {
            self.on_record_persisted(ticket, PersistOutcome::Failed);
        }
    }

    /// Handles the outcome of the write of a ticket's record. If the record was written, the attempt that waits for it is sent.
    /// Otherwise the attempt never runs, and the decision module ends the request.
    pub fn on_record_persisted(&mut self, ticket: RecordTicket, outcome: PersistOutcome) {
        let Some(id) = self.unpersisted.remove(&ticket) else { return };
        let Some(request) = self.requests.get(id.request_id) else { return };
        if outcome == PersistOutcome::Failed || !request.is_open() {
            return self.drop_unpersisted(id);
        }
        if let Some(attempt) = request.in_flight(id.number) {
            let worker = attempt.worker();
            self.commands.push_back(Command::StartAttempt { attempt: id, worker });
        }
    }

    /// Ends an attempt that waited for its record and was not sent.
    fn drop_unpersisted(&mut self, id: AttemptId) {
        let Some(attempt) = self.requests.in_flight_mut(id) else { return };
        attempt.finish(id, AttemptEnd::NeverRan, &mut self.timers);
        self.events.push(Event::NotPersisted { job: id.request_id.job(), attempt: id.number });
        self.requests.mark_finished(id.request_id);
    }
}

/// The record of an attempt; `None` if its worker is unknown.
fn attempt_record(endpoints: &EndpointTable, clock: UnixClock, attempt: &Attempt) -> Option<AttemptRecord> {
    let row = endpoints.get(attempt.worker())?.row();
    Some(AttemptRecord {
        worker: row.instance_id.clone(),
        cell: row.cell,
        zone: row.zone.clone(),
        sent_at: clock.unix_time(attempt.sent_at()),
        never_ran: attempt.has_never_run(),
    })
}
