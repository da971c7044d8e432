//! The footer of a sealed segment: an index of its keys in order, and a trailer of fixed length at the end.

use super::integer::{put_varint, u32_at, u64_at, varint};
use super::record::RecordLocation;
use super::{crc, crc_at};
use crate::UnixMillis;

pub(super) const FOOTER_MAGIC: u32 = 0x4d46_4f4f;
const TRAILER_MAGIC: u32 = 0x4d54_5241;
/// The length of the head before the entries of a footer, in bytes.
pub const FOOTER_HEAD_LEN: usize = 16;
/// The length of the trailer after the entries of a footer, in bytes.
pub const TRAILER_LEN: usize = 44;
/// The offset of the checksum in a trailer, in bytes.
const TRAILER_CRC_AT: usize = 36;
/// The last bytes of a sealed segment. They are not zeros, since an interrupted footer may be followed by zeros.
const END_MARKER: [u8; 4] = [0xa5; 4];

const FLAG_TOMBSTONE: u64 = 1;
const FLAG_EXPIRES: u64 = 2;
/// The record begins at the end of the preceding entry's record.
const FLAG_FOLLOWS: u64 = 4;
const FLAG_BITS: u32 = 3;

/// A key of a segment, and the location of its newest record there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry<'a> {
    pub key: &'a [u8],
    pub location: RecordLocation,
}

/// The fields of a trailer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trailer {
    /// The offset of the footer, in bytes.
    pub data_end: u64,
    /// The number of keys.
    pub count: u32,
    /// The sequence number that follows that of the last operation.
    pub next_seq: u64,
    /// When the segment was sealed.
    pub sealed_at: UnixMillis,
}

/// The length and checksum of a footer's entries, from its head or its trailer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntriesInfo {
    /// The length of the entries, in bytes.
    pub len: u32,
    pub crc: u32,
}

/// Encodes a footer of these entries, sorted by key.
pub fn encode_footer<'a>(
    entries: impl Iterator<Item = IndexEntry<'a>>,
    salt: u64,
    trailer: Trailer,
) -> Vec<u8> {
    let entries = encode_entries(entries);
    let sum = crc(&[&salt.to_le_bytes(), &entries]);
    let mut out = FOOTER_MAGIC.to_le_bytes().to_vec();
    out.extend((entries.len() as u32).to_le_bytes());
    out.extend(sum.to_le_bytes());
    out.extend(crc_at(&out, salt, trailer.data_end).to_le_bytes());
    out.extend(&entries);
    let tail = out.len();
    out.extend(TRAILER_MAGIC.to_le_bytes());
    out.extend((trailer.data_end as u32).to_le_bytes());
    out.extend(trailer.count.to_le_bytes());
    out.extend((entries.len() as u32).to_le_bytes());
    out.extend(trailer.next_seq.to_le_bytes());
    out.extend(trailer.sealed_at.to_le_bytes());
    out.extend(sum.to_le_bytes());
    let trailer_sum = crc(&[&salt.to_le_bytes(), &out[tail..]]);
    out.extend(trailer_sum.to_le_bytes());
    out.extend(END_MARKER);
    out
}

/// Encodes entries, each key without the prefix that it shares with the preceding key.
fn encode_entries<'a>(entries: impl Iterator<Item = IndexEntry<'a>>) -> Vec<u8> {
    let mut out = Vec::new();
    let mut previous_key = Vec::<u8>::new();
    let mut previous_end = 0u32;
    for IndexEntry { key, location } in entries {
        let shared = previous_key.iter().zip(key).take_while(|(a, b)| a == b).count();
        // Offsets are omitted for consecutive records, as after a compaction.
        let follows = location.offset == previous_end;
        let flags = if location.is_tombstone { FLAG_TOMBSTONE } else { 0 }
            | if location.expires_at.is_some() { FLAG_EXPIRES } else { 0 }
            | if follows { FLAG_FOLLOWS } else { 0 };
        put_varint(&mut out, flags | (shared as u64) << FLAG_BITS);
        put_varint(&mut out, (key.len() - shared) as u64);
        if !follows {
            put_varint(&mut out, u64::from(location.offset));
        }
        put_varint(&mut out, u64::from(location.len));
        if let Some(at) = location.expires_at {
            put_varint(&mut out, at);
        }
        out.extend(&key[shared..]);
        previous_key.truncate(shared);
        previous_key.extend(&key[shared..]);
        previous_end = location.offset + location.len;
    }
    out
}

/// The description of the entries in the head of a footer that begins at an offset; `None` if there is no intact head.
pub(super) fn footer_head(bytes: &[u8], salt: u64, offset: usize) -> Option<EntriesInfo> {
    let head = bytes.get(offset..offset + FOOTER_HEAD_LEN)?;
    let is_intact =
        u32_at(head, 0)? == FOOTER_MAGIC && u32_at(head, 12)? == crc_at(&head[..12], salt, offset as u64);
    let info = EntriesInfo { len: u32_at(head, 4)?, crc: u32_at(head, 8)? };
    is_intact.then_some(info)
}

/// The length of the footer that begins at an offset, in bytes; `None` if there is no intact head.
pub fn footer_len(bytes: &[u8], salt: u64, offset: usize) -> Option<usize> {
    footer_head(bytes, salt, offset).map(|entries| FOOTER_HEAD_LEN + entries.len as usize + TRAILER_LEN)
}

/// Decodes the trailer at the end of a segment: its fields, and the description of the entries.
pub fn decode_trailer(tail: &[u8], salt: u64) -> Option<(Trailer, EntriesInfo)> {
    let tail = &tail[tail.len().checked_sub(TRAILER_LEN)?..];
    let is_intact = u32_at(tail, 0)? == TRAILER_MAGIC
        && u32_at(tail, TRAILER_CRC_AT)? == crc(&[&salt.to_le_bytes(), &tail[..TRAILER_CRC_AT]])
        && tail[TRAILER_CRC_AT + 4..] == END_MARKER;
    let trailer = Trailer {
        data_end: u64::from(u32_at(tail, 4)?),
        count: u32_at(tail, 8)?,
        next_seq: u64_at(tail, 16)?,
        sealed_at: u64_at(tail, 24)?,
    };
    let entries = EntriesInfo { len: u32_at(tail, 12)?, crc: u32_at(tail, 32)? };
    is_intact.then_some((trailer, entries))
}

/// Decodes the entries of a footer and calls `each` with them, in order of keys. Returns `None` if they do not match the
/// checksum `sum` or the number `count`, or are malformed.
pub fn decode_entries(
    bytes: &[u8],
    salt: u64,
    sum: u32,
    count: u32,
    mut each: impl FnMut(IndexEntry<'_>),
) -> Option<()> {
    if crc(&[&salt.to_le_bytes(), bytes]) != sum {
        return None;
    }
    let mut at = 0;
    let mut key = Vec::new();
    let mut previous_end = 0u32;
    let mut decoded = 0;
    while at < bytes.len() {
        let start = varint(bytes, &mut at)?;
        let shared = (start >> FLAG_BITS) as usize;
        let rest = varint(bytes, &mut at)? as usize;
        let offset = if start & FLAG_FOLLOWS != 0 {
            previous_end
        } else {
            u32::try_from(varint(bytes, &mut at)?).ok()?
        };
        let len = u32::try_from(varint(bytes, &mut at)?).ok()?;
        let expires_at = if start & FLAG_EXPIRES != 0 { Some(varint(bytes, &mut at)?) } else { None };
        if shared > key.len() {
            return None;
        }
        key.truncate(shared);
        key.extend(bytes.get(at..at + rest)?);
        at += rest;
        previous_end = offset.checked_add(len)?;
        decoded += 1;
        let is_tombstone = start & FLAG_TOMBSTONE != 0;
        each(IndexEntry { key: &key, location: RecordLocation { offset, len, is_tombstone, expires_at } });
    }
    (decoded == count).then_some(())
}
