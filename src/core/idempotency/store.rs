//! The in-memory store of idempotency records, bounded in number, size and age.

use super::record::{AttemptRecord, IdempotencyKey, IdempotencyRecord, RecordDecodeError};
use crate::core::UnixMicros;
use crate::policy::interface::Micros;
use std::collections::{BTreeSet, HashMap};

/// How long a record is kept after its last write, in microseconds: far longer than clients wait and workers deduplicate.
pub const RECORD_TTL: Micros = 3_600_000_000;
/// The maximum number of records; beyond it the oldest are evicted.
const MAX_RECORDS: usize = 50_000;
/// The maximum number of bytes of records and keys; beyond it the oldest are evicted.
const MAX_RECORD_BYTES: usize = 16 << 20;

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

/// The records, by key.
#[derive(Debug, Default)]
pub struct IdempotencyStore {
    records: HashMap<String, StoredRecord>,
    key_by_request: HashMap<String, String>,
    by_expiry: BTreeSet<(Micros, String)>,
    bytes: usize,
    evicted: u64,
    repeats_answered: u64,
    restricted_repeats: u64,
}

impl IdempotencyStore {
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
        self.key_by_request.get(request_name).cloned()
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
        Some(self.encode_and_insert(now, key.key.clone(), record))
    }

    /// Records a result that a worker reported after its request was closed. Returns the bytes to write; `None` if the key has no
    /// record.
    pub fn record_result(&mut self, now: Micros, key: &str, result: Vec<u8>) -> Option<Vec<u8>> {
        let mut record = self.remove(key)?;
        record.result.get_or_insert(result);
        Some(self.encode_and_insert(now, key.to_owned(), record))
    }

    /// Loads a record that was written earlier, or by another process of this dispatcher; `None` deletes the key's record.
    ///
    /// # Errors
    /// [`RecordDecodeError`] if the bytes cannot be decoded; nothing changes then.
    pub fn load(&mut self, now: Micros, key: &str, bytes: Option<&[u8]>) -> Result<(), RecordDecodeError> {
        let record = bytes.map(IdempotencyRecord::decode).transpose()?;
        self.remove(key);
        if let Some((record, bytes)) = record.zip(bytes) {
            self.insert(now, key.to_owned(), record, bytes.len());
        }
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

    fn encode_and_insert(&mut self, now: Micros, key: String, record: IdempotencyRecord) -> Vec<u8> {
        let bytes = record.encode();
        self.insert(now, key, record, bytes.len());
        bytes
    }

    fn insert(&mut self, now: Micros, key: String, record: IdempotencyRecord, encoded_len: usize) {
        let expires_at = now + RECORD_TTL;
        self.key_by_request.insert(record.request_name.clone(), key.clone());
        self.by_expiry.insert((expires_at, key.clone()));
        self.bytes += encoded_len + key.len();
        self.records.insert(key, StoredRecord { record, encoded_len, expires_at });
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_RECORD_BYTES {
            let Some((_, oldest)) = self.by_expiry.first().cloned() else { return };
            self.remove(&oldest);
            self.evicted += 1;
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some((_, key)) = self.by_expiry.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) -> Option<IdempotencyRecord> {
        let stored = self.records.remove(key)?;
        self.by_expiry.remove(&(stored.expires_at, key.to_owned()));
        let request_name = &stored.record.request_name;
        if self.key_by_request.get(request_name).is_some_and(|newest| newest == key) {
            self.key_by_request.remove(request_name);
        }
        self.bytes -= stored.encoded_len + key.len();
        Some(stored.record)
    }
}
