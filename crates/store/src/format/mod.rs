//! The format of a segment, as pure functions; docs/design/store.md describes the layout.
//!
//! A segment consists of a header, frames of records, and a footer once it is sealed. Fields are encoded in the order of the
//! code, so that order must not change.

mod footer;
mod frame;
mod header;
mod integer;
mod record;

pub use footer::{FOOTER_HEAD_LEN, IndexEntry, TRAILER_LEN, Trailer, decode_entries, decode_trailer};
pub use footer::{encode_footer, footer_len};
pub use frame::{FRAME_HEAD_LEN, FrameHead, FrameStart, MAX_FINGERPRINTS, Probe, decode_fingerprints};
pub use frame::{encode_frame, probe, resync};
pub use header::{DecodedHeader, HEADER_LEN, Header, HeaderFault, SegmentNumbers};
pub use record::{EncodedBatch, Operation, Record, RecordLocation, check_batch, decode_record};

use std::hash::Hasher as _;

/// The version of the format that this crate writes and reads.
pub const VERSION: u16 = 1;

/// The fingerprint of a key. Fingerprints tell which keys a damaged record may have had.
pub fn fingerprint(key: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(key);
    hasher.write_u64(key.len() as u64);
    // FxHasher leaves its entropy in the high bits; one round of a finaliser spreads it.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

fn crc(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

/// A checksum that is valid only at its offset in its segment: it covers the segment's salt and the offset too.
fn crc_at(fields: &[u8], salt: u64, offset: u64) -> u32 {
    crc(&[&salt.to_le_bytes(), &offset.to_le_bytes(), fields])
}
