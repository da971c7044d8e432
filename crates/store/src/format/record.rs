//! Operations, and the records that they are written as.

use super::integer::{put_varint, u32_at, varint};
use super::{crc, fingerprint};
use crate::UnixMillis;
use crate::{BatchError, MAX_BATCH, MAX_KEY, MAX_VALUE};

/// Most bytes of a record beside its key and its value.
const MAX_RECORD_OVERHEAD: usize = 25;
/// Length of a record's checksum.
const CRC_LEN: usize = 4;
const FLAG_TOMBSTONE: u8 = 1;
const FLAG_EXPIRES: u8 = 2;

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; `None` deletes.
    pub value: Option<Vec<u8>>,
    /// When it expires.
    pub expires_at: Option<UnixMillis>,
}

impl Operation {
    /// Whether it is within bounds.
    ///
    /// # Errors
    ///
    /// The [`BatchError`] that names the bound.
    pub fn check(&self) -> Result<(), BatchError> {
        match (self.key.len(), self.value.as_ref().map_or(0, Vec::len)) {
            (0, _) => Err(BatchError::EmptyKey),
            (len, _) if len > MAX_KEY => Err(BatchError::KeyTooLong(len)),
            (_, len) if len > MAX_VALUE => Err(BatchError::ValueTooLong(len)),
            _ => Ok(()),
        }
    }

    /// An upper bound of its length in a frame.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + MAX_RECORD_OVERHEAD
    }

    fn encode(&self, salt: u64, out: &mut Vec<u8>) {
        let start = out.len();
        let tombstone = if self.value.is_none() { FLAG_TOMBSTONE } else { 0 };
        let expires = if self.expires_at.is_some() { FLAG_EXPIRES } else { 0 };
        out.push(tombstone | expires);
        put_varint(out, self.key.len() as u64);
        put_varint(out, self.value.as_ref().map_or(0, Vec::len) as u64);
        if let Some(at) = self.expires_at {
            put_varint(out, at);
        }
        out.extend(&self.key);
        out.extend(self.value.iter().flatten());
        let sum = crc(&[&salt.to_le_bytes(), &out[start..]]);
        out.extend(sum.to_le_bytes());
    }
}

/// Checks that a batch is within bounds.
pub fn check_batch(operations: &[Operation]) -> Result<(), BatchError> {
    operations.iter().try_for_each(Operation::check)?;
    let size = operations.iter().map(Operation::size).sum();
    if size > MAX_BATCH { Err(BatchError::BatchTooLarge(size)) } else { Ok(()) }
}

/// Where a record is in its segment, and what is known of it without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Where the record begins, in bytes.
    pub offset: u32,
    /// Its length.
    pub len: u32,
    /// It deletes its key.
    pub is_tombstone: bool,
    /// When it expires.
    pub expires_at: Option<UnixMillis>,
}

impl RecordLocation {
    /// Whether the record has expired by `now`.
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        self.expires_at.is_some_and(|at| now >= at)
    }
}

/// The key of an encoded record, and its location relative to the start of the batch.
#[derive(Clone, Debug)]
pub struct EncodedRecord {
    pub key: Box<[u8]>,
    location: RecordLocation,
}

impl EncodedRecord {
    /// The location of the record in a segment in which its batch begins at `start`.
    pub fn location_from(&self, start: u32) -> RecordLocation {
        RecordLocation { offset: start + self.location.offset, ..self.location }
    }
}

/// Operations as they are written in a frame. Encoded by each thread that writes, so that the one thread that writes for all
/// only copies bytes.
#[derive(Clone, Debug)]
pub struct EncodedBatch {
    /// For the index.
    pub records: Vec<EncodedRecord>,
    pub bytes: Vec<u8>,
    pub fingerprints: Vec<u64>,
}

impl EncodedBatch {
    /// Encodes operations for segments with this salt.
    pub fn new(operations: &[Operation], salt: u64) -> EncodedBatch {
        let mut bytes = Vec::with_capacity(operations.iter().map(Operation::size).sum());
        let encode = |operation: &Operation| {
            let start = bytes.len();
            operation.encode(salt, &mut bytes);
            let location = RecordLocation {
                offset: start as u32,
                len: (bytes.len() - start) as u32,
                is_tombstone: operation.value.is_none(),
                expires_at: operation.expires_at,
            };
            EncodedRecord { key: operation.key.as_slice().into(), location }
        };
        let records = operations.iter().map(encode).collect();
        let fingerprints = operations.iter().map(|operation| fingerprint(&operation.key)).collect();
        EncodedBatch { records, bytes, fingerprints }
    }
}

/// A record in place: its fields as ranges of the bytes it was read from.
#[derive(Clone, Copy, Debug)]
pub struct Record<'a> {
    pub key: &'a [u8],
    /// `None` deletes.
    pub value: Option<&'a [u8]>,
    /// When it expires.
    pub expires_at: Option<UnixMillis>,
    /// Its length with everything.
    pub len: usize,
    /// The bytes that its checksum covers, and the checksum that is written behind them.
    checked: (&'a [u8], u32),
}

impl Record<'_> {
    /// Whether the checksum of the record is right.
    pub fn is_sound(&self, salt: u64) -> bool {
        let (bytes, sum) = self.checked;
        sum == crc(&[&salt.to_le_bytes(), bytes])
    }
}

/// The record at the start of these bytes, if it is well-formed. Its checksum is not checked: see [`Record::is_sound`].
pub fn decode_record(bytes: &[u8]) -> Option<Record<'_>> {
    let (flags, mut at) = (*bytes.first()?, 1);
    if flags & !(FLAG_TOMBSTONE | FLAG_EXPIRES) != 0 {
        return None;
    }
    let key_len = varint(bytes, &mut at).filter(|n| (1..=MAX_KEY as u64).contains(n))? as usize;
    let value_len = varint(bytes, &mut at).filter(|n| *n <= MAX_VALUE as u64)? as usize;
    let expires_at = if flags & FLAG_EXPIRES != 0 { Some(varint(bytes, &mut at)?) } else { None };
    let key_end = at + key_len;
    let end = key_end + value_len;
    let sum = u32_at(bytes, end)?;
    let value = (flags & FLAG_TOMBSTONE == 0).then(|| &bytes[key_end..end]);
    let checked = (&bytes[..end], sum);
    Some(Record { key: &bytes[at..key_end], value, expires_at, len: end + CRC_LEN, checked })
}
