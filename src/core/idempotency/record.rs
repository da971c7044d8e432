//! The record of one key, and its encoding: a version byte, then postcard, which depends on the order of the fields.

use crate::core::UnixMicros;
use serde::{Deserialize, Serialize};

/// The first byte of an encoded record.
const VERSION: u8 = 1;

/// The key that a client gave a request, qualified by the tenant, and a fingerprint of the request's body.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct IdempotencyKey {
    /// The tenant and the key as one text.
    pub key: String,
    /// The fingerprint of the body. A key is valid for one body only.
    #[serde(rename = "body")]
    pub body_fingerprint: u64,
}

/// One attempt of a keyed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AttemptRecord {
    /// The worker's instance id.
    pub worker: String,
    /// The worker's cell.
    pub cell: u32,
    /// The worker's zone.
    pub zone: String,
    /// When the decision module decided to send the attempt.
    pub sent_at: UnixMicros,
    /// Whether the attempt is known to have never run.
    pub never_ran: bool,
}

/// The record of one key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct IdempotencyRecord {
    /// The name of the request's class.
    pub class: String,
    /// The fingerprint of the request's body.
    pub body_fingerprint: u64,
    /// The name of the newest request, which workers repeat in callbacks.
    pub request_name: String,
    /// The attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// A worker's result, if there is one.
    pub result: Option<Vec<u8>>,
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordDecodeError {
    /// There are no bytes.
    #[error("the idempotency record is empty")]
    Empty,
    /// The record has an unknown version.
    #[error("idempotency record of version {found}; this program reads version {VERSION}")]
    UnknownVersion {
        /// The version that was found.
        found: u8,
    },
    /// The bytes are not a record.
    #[error("malformed idempotency record: {0}")]
    Malformed(#[from] postcard::Error),
}

impl IdempotencyRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        mothproxy_invariant::invariant!(bytes.is_ok(), "cannot encode an idempotency record: {bytes:?}");
        bytes.unwrap_or_default()
    }

    /// Decodes the bytes of [`IdempotencyRecord::encode`].
    ///
    /// # Errors
    /// [`RecordDecodeError`] if the bytes are empty, of another version or malformed.
    pub fn decode(bytes: &[u8]) -> Result<IdempotencyRecord, RecordDecodeError> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&found, _)) => Err(RecordDecodeError::UnknownVersion { found }),
            None => Err(RecordDecodeError::Empty),
        }
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.first_that_may_have_run().is_some()
    }

    /// The oldest attempt that may have run.
    pub fn first_that_may_have_run(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().filter(|attempt| !attempt.never_ran).min_by_key(|attempt| attempt.sent_at)
    }

    /// Whether the record belongs to a request with this body and class.
    pub(super) fn matches(&self, key: &IdempotencyKey, class: &str) -> bool {
        self.body_fingerprint == key.body_fingerprint && self.class == class
    }

    /// Updates the attempts that are already recorded and adds new ones.
    pub(super) fn merge(&mut self, attempts: Vec<AttemptRecord>) {
        for attempt in attempts {
            let is_same = |known: &&mut AttemptRecord| {
                known.worker == attempt.worker && known.sent_at == attempt.sent_at
            };
            match self.attempts.iter_mut().find(is_same) {
                Some(known) => known.never_ran = attempt.never_ran,
                None => self.attempts.push(attempt),
            }
        }
    }
}
