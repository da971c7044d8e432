//! The in-memory store of idempotency records, bounded in number, size and age.

use super::record::{AttemptRecord, IdempotencyKey, IdempotencyRecord, RecordDecodeError};
use crate::core::UnixMicros;
use crate::policy::interface::Micros;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// How long a record is kept after its last write, in microseconds: far longer than clients wait and workers deduplicate.
pub const RECORD_TTL: Micros = 3_600_000_000;
/// The maximum number of records; beyond it the oldest are evicted.
const MAX_RECORDS: usize = 50_000;
/// The memory of a record in addition to its encoded form and key, in bytes: the maps' entries and the parts of the decoded form.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// A record that was persisted by an earlier process of this dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedRecord {
    /// The key.
    pub key: String,
    /// The encoded record.
    pub bytes: Vec<u8>,
    /// How much longer the record is kept, in microseconds; [`RECORD_TTL`] if it was written just now.
    pub time_to_live: Micros,
}

/// The result of looking up the key of a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// There is no record with a result or with an attempt that may have run: the request is handled like one without a key.
    Unknown,
    /// An earlier request with this key got this result.
    Answered(Vec<u8>),
    /// An earlier request with this key may have run; this is the first attempt that may have run.
    MayHaveRun(AttemptRecord),
}

/// The current state of a keyed request.
#[derive(Debug)]
pub struct RecordUpdate<'a> {
    /// The name of the request's class.
    pub class: &'a str,
    /// The request's name.
    pub request_name: &'a str,
    /// The attempts of the request.
    pub attempts: Vec<AttemptRecord>,
    /// A worker's result, if there is one.
    pub result: Option<Vec<u8>>,
}

#[derive(Debug)]
struct StoredRecord {
    record: IdempotencyRecord,
    encoded_len: usize,
    expires_at: Micros,
}

impl StoredRecord {
    /// The memory that the record takes with its key, in bytes.
    fn memory(&self, key: &str) -> usize {
        self.encoded_len + key.len() + RECORD_OVERHEAD_BYTES
    }
}

/// Keys in the order in which their records expire.
type ExpiryOrder = BTreeSet<(Micros, Arc<str>)>;

/// The records, by key.
///
/// If they take too much memory, the oldest results are dropped first: a repeat is then handled like that of a request that may
/// have run. The oldest records are evicted only where that is not enough.
#[derive(Debug)]
pub struct IdempotencyStore {
    records: HashMap<Arc<str>, StoredRecord>,
    key_by_request: HashMap<String, Arc<str>>,
    by_expiry: ExpiryOrder,
    /// The keys in `by_expiry` whose records have a result.
    with_result: ExpiryOrder,
    bytes: usize,
    max_bytes: usize,
    evicted: u64,
    repeats_answered: u64,
    restricted_repeats: u64,
}

impl IdempotencyStore {
    /// Creates a store without records that takes about `max_bytes` of memory at most.
    pub fn new(max_bytes: usize) -> IdempotencyStore {
        IdempotencyStore {
            records: HashMap::new(),
            key_by_request: HashMap::new(),
            by_expiry: ExpiryOrder::new(),
            with_result: ExpiryOrder::new(),
            bytes: 0,
            max_bytes,
            evicted: 0,
            repeats_answered: 0,
            restricted_repeats: 0,
        }
    }

    /// The number of records evicted before they expired, because the store was full.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// The number of repeats since the start that were answered with a recorded result.
    pub fn repeats_answered(&self) -> u64 {
        self.repeats_answered
    }

    /// The number of repeats since the start of requests that may have run. Such a repeat may be sent only within the
    /// deduplication scope of the first attempt.
    pub fn restricted_repeats(&self) -> u64 {
        self.restricted_repeats
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a key.
    pub fn get(&self, key: &str) -> Option<&IdempotencyRecord> {
        self.records.get(key).map(|stored| &stored.record)
    }

    /// The key whose newest request has this name.
    pub fn key_of_request(&self, request_name: &str) -> Option<String> {
        self.key_by_request.get(request_name).map(ToString::to_string)
    }

    /// Whether a key was used before by a request with another body or class.
    pub fn is_reused(&mut self, now: Micros, key: &IdempotencyKey, class: &str) -> bool {
        self.remove_expired(now);
        self.get(&key.key).is_some_and(|record| !record.matches(key, class))
    }

    /// Looks up the key of a new request of this class. Counts the repeat if the record has a result or an attempt that may have
    /// run.
    pub fn look_up(&mut self, now: Micros, key: &IdempotencyKey, class: &str) -> LookupResult {
        self.remove_expired(now);
        // A request that reuses a key has been rejected before, see `is_reused`.
        let Some(record) = self.get(&key.key).filter(|record| record.matches(key, class)) else {
            return LookupResult::Unknown;
        };
        if let Some(result) = record.result.clone() {
            self.repeats_answered += 1;
            return LookupResult::Answered(result);
        }
        // The oldest attempt that may have run determines how long a repeat is safe. The others went to workers of the same
        // deduplication scope, because the decision module sends no others.
        match record.first_that_may_have_run().cloned() {
            Some(first) => {
                self.restricted_repeats += 1;
                LookupResult::MayHaveRun(first)
            }
            None => LookupResult::Unknown,
        }
    }

    /// Records the current state of a keyed request. Returns the bytes to write; `None` if the request no longer needs a record,
    /// so that the stored one is to be deleted.
    pub fn record(&mut self, now: Micros, key: &IdempotencyKey, update: RecordUpdate<'_>) -> Option<Vec<u8>> {
        let mut record = self.remove(&key.key).unwrap_or_default();
        record.class = update.class.to_owned();
        record.request_name = update.request_name.to_owned();
        record.body_fingerprint = key.body_fingerprint;
        record.merge(update.attempts);
        record.result = update.result.or(record.result);
        if record.result.is_none() && !record.may_have_run() {
            return None;
        }
        Some(self.encode_and_insert(now, &key.key, record))
    }

    /// Records a result that a worker reported after its request was closed. Returns the bytes to write; `None` if the key has no
    /// record.
    pub fn record_result(&mut self, now: Micros, key: &str, result: Vec<u8>) -> Option<Vec<u8>> {
        let mut record = self.remove(key)?;
        record.result.get_or_insert(result);
        Some(self.encode_and_insert(now, key, record))
    }

    /// Loads a record that another process of this dispatcher has just written; `None` deletes the key's record.
    ///
    /// # Errors
    /// [`RecordDecodeError`] if the bytes cannot be decoded; nothing changes then.
    pub fn load(&mut self, now: Micros, key: &str, bytes: Option<&[u8]>) -> Result<(), RecordDecodeError> {
        let record = bytes.map(IdempotencyRecord::decode).transpose()?;
        self.remove(key);
        if let Some((record, bytes)) = record.zip(bytes) {
            self.insert(now + RECORD_TTL, key, record, bytes.len());
        }
        Ok(())
    }

    /// Loads a record that an earlier process has persisted. It expires when it would have expired there.
    ///
    /// # Errors
    /// [`RecordDecodeError`] if the bytes cannot be decoded; nothing changes then.
    pub fn load_persisted(
        &mut self,
        now: Micros,
        persisted: &PersistedRecord,
    ) -> Result<(), RecordDecodeError> {
        let record = IdempotencyRecord::decode(&persisted.bytes)?;
        self.remove(&persisted.key);
        let expires_at = now + persisted.time_to_live.min(RECORD_TTL);
        self.insert(expires_at, &persisted.key, record, persisted.bytes.len());
        Ok(())
    }

    /// Treats the deduplication window of every recorded attempt as over, because the time since the attempt is unknown.
    pub fn expire_windows(&mut self) {
        for stored in self.records.values_mut() {
            for attempt in &mut stored.record.attempts {
                attempt.sent_at = UnixMicros::MIN;
            }
        }
    }

    fn encode_and_insert(&mut self, now: Micros, key: &str, record: IdempotencyRecord) -> Vec<u8> {
        let bytes = record.encode();
        self.insert(now + RECORD_TTL, key, record, bytes.len());
        bytes
    }

    fn insert(&mut self, expires_at: Micros, key: &str, record: IdempotencyRecord, encoded_len: usize) {
        let key: Arc<str> = key.into();
        self.key_by_request.insert(record.request_name.clone(), key.clone());
        self.by_expiry.insert((expires_at, key.clone()));
        if record.result.is_some() {
            self.with_result.insert((expires_at, key.clone()));
        }
        let stored = StoredRecord { record, encoded_len, expires_at };
        self.bytes += stored.memory(&key);
        self.records.insert(key, stored);
        self.make_room();
    }

    /// Drops the oldest results, and then the oldest records, until the rest is within the limits.
    fn make_room(&mut self) {
        while self.bytes > self.max_bytes
            && let Some((_, key)) = self.with_result.pop_first()
        {
            self.drop_result(&key);
        }
        while (self.records.len() > MAX_RECORDS || self.bytes > self.max_bytes)
            && let Some((_, oldest)) = self.by_expiry.first().cloned()
        {
            self.remove(&oldest);
            self.evicted += 1;
        }
    }

    /// Drops the result of a record that is no longer in `with_result`.
    fn drop_result(&mut self, key: &str) {
        let Some(stored) = self.records.get_mut(key) else { return };
        let length = stored.record.result.take().map_or(0, |result| result.len());
        stored.encoded_len -= length;
        self.bytes -= length;
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some((_, key)) = self.by_expiry.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) -> Option<IdempotencyRecord> {
        let (key, stored) = self.records.remove_entry(key)?;
        self.bytes -= stored.memory(&key);
        let request_name = &stored.record.request_name;
        if self.key_by_request.get(request_name).is_some_and(|newest| *newest == key) {
            self.key_by_request.remove(request_name);
        }
        let position = (stored.expires_at, key);
        self.by_expiry.remove(&position);
        self.with_result.remove(&position);
        Some(stored.record)
    }
}
