//! Operations, and the records in which they are encoded.

use super::integer::{put_varint, u32_at, varint};
use super::{crc, fingerprint};
use crate::UnixMillis;
use crate::{BatchError, MAX_BATCH, MAX_KEY, MAX_VALUE};

/// The maximum size of a record without its key and value, in bytes.
const MAX_RECORD_OVERHEAD: usize = 25;
/// The length of a record's checksum, in bytes.
const CRC_LEN: usize = 4;
const FLAG_TOMBSTONE: u8 = 1;
const FLAG_EXPIRES: u8 = 2;

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// When the value expires, if ever.
    pub expires_at: Option<UnixMillis>,
}

impl Operation {
    /// Checks the lengths of the key and the value.
    ///
    /// # Errors
    ///
    /// A [`BatchError`] that names the exceeded bound.
    pub fn check(&self) -> Result<(), BatchError> {
        match (self.key.len(), self.value.as_ref().map_or(0, Vec::len)) {
            (0, _) => Err(BatchError::EmptyKey),
            (len, _) if len > MAX_KEY => Err(BatchError::KeyTooLong(len)),
            (_, len) if len > MAX_VALUE => Err(BatchError::ValueTooLong(len)),
            _ => Ok(()),
        }
    }

    /// An upper bound of the encoded length, in bytes.
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

/// Checks the bounds of a batch and of its operations.
pub fn check_batch(operations: &[Operation]) -> Result<(), BatchError> {
    operations.iter().try_for_each(Operation::check)?;
    let size = operations.iter().map(Operation::size).sum();
    if size > MAX_BATCH { Err(BatchError::BatchTooLarge(size)) } else { Ok(()) }
}

/// The location of a record in its segment, and its properties without its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The offset of the record, in bytes.
    pub offset: u32,
    /// The length of the record, in bytes.
    pub len: u32,
    /// Whether the record deletes its key.
    pub is_tombstone: bool,
    /// When the record expires, if ever.
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

/// A batch as it is written in a frame. The calling threads encode their batches, so that the writing thread only copies
/// bytes.
#[derive(Clone, Debug)]
pub struct EncodedBatch {
    /// The entries for the index.
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

/// A decoded record that borrows from the bytes it was decoded from.
#[derive(Clone, Copy, Debug)]
pub struct Record<'a> {
    pub key: &'a [u8],
    /// The value; `None` for a tombstone.
    pub value: Option<&'a [u8]>,
    /// When the record expires, if ever.
    pub expires_at: Option<UnixMillis>,
    /// The total length of the record, in bytes.
    pub len: usize,
    /// The bytes that the checksum covers, and the checksum that follows them.
    checked: (&'a [u8], u32),
}

impl Record<'_> {
    /// Whether the checksum of the record is valid.
    pub fn has_valid_checksum(&self, salt: u64) -> bool {
        let (bytes, sum) = self.checked;
        sum == crc(&[&salt.to_le_bytes(), bytes])
    }
}

/// Decodes the record at the start of these bytes; `None` if it is malformed. The checksum is not checked: see
/// [`Record::has_valid_checksum`].
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
