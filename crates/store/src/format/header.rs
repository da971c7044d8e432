//! The header of a segment: two copies of the same fields.

use super::integer::{u16_at, u32_at, u64_at};
use super::{VERSION, crc};

const MAGIC: [u8; 8] = *b"MOTHLOG\0";
/// The length of one copy of the header, in bytes.
const HEADER_COPY_LEN: usize = 64;
/// The length of the header, in bytes; the frames of a segment follow it.
pub const HEADER_LEN: usize = 2 * HEADER_COPY_LEN;
/// The offset of the checksum in a copy, in bytes.
const CRC_AT: usize = 56;

/// The range of numbers that a segment covers. A merged segment covers the numbers of all segments that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentNumbers {
    pub first: u64,
    pub last: u64,
}

impl SegmentNumbers {
    /// Whether this range contains all numbers of another.
    pub fn covers(&self, other: SegmentNumbers) -> bool {
        other.first >= self.first && other.last <= self.last
    }
}

/// The fields of a segment's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub numbers: SegmentNumbers,
    /// A number that all checksums of the segment cover, so that the bytes of a value cannot be mistaken for a frame.
    pub salt: u64,
    /// The valid length of the preceding segment, in bytes. Bytes after it were never acknowledged.
    pub previous_len: u64,
    /// The sequence number of the first operation.
    pub first_seq: u64,
    /// Whether a compaction wrote the segment. Such a segment gets its name only once it is complete.
    pub is_merged: bool,
}

/// A decoded header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodedHeader {
    pub header: Header,
    /// Whether both copies are intact and equal.
    pub has_both_copies: bool,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderFault {
    /// Neither copy is intact.
    Unreadable,
    /// The header is of another version.
    Version(u16),
}

impl Header {
    /// Encodes both copies.
    pub fn encode(&self) -> Vec<u8> {
        let mut copy = MAGIC.to_vec();
        copy.extend(VERSION.to_le_bytes());
        copy.extend([u8::from(self.is_merged), 0, 0, 0, 0, 0]);
        let SegmentNumbers { first, last } = self.numbers;
        for field in [first, last, self.salt, self.previous_len, self.first_seq] {
            copy.extend(field.to_le_bytes());
        }
        copy.extend(crc(&[&copy]).to_le_bytes());
        copy.resize(HEADER_COPY_LEN, 0);
        [copy.clone(), copy].concat()
    }

    /// Decodes the first intact copy.
    pub fn decode(bytes: &[u8]) -> Result<DecodedHeader, HeaderFault> {
        let copies = [bytes.get(..HEADER_COPY_LEN), bytes.get(HEADER_COPY_LEN..HEADER_LEN)];
        let [first, second] = copies.map(|copy| copy.and_then(Header::decode_copy));
        match (first, second) {
            (Some((header, VERSION)), second) => {
                let has_both_copies = second == Some((header, VERSION));
                Ok(DecodedHeader { header, has_both_copies })
            }
            (None, Some((header, VERSION))) => Ok(DecodedHeader { header, has_both_copies: false }),
            (Some((_, version)), _) | (None, Some((_, version))) => Err(HeaderFault::Version(version)),
            (None, None) => Err(HeaderFault::Unreadable),
        }
    }

    /// Decodes one copy: the header and its version; `None` if the copy is not intact.
    fn decode_copy(copy: &[u8]) -> Option<(Header, u16)> {
        let is_intact = copy[..MAGIC.len()] == MAGIC
            && u32_at(copy, CRC_AT)? == crc(&[&copy[..CRC_AT]])
            && copy[CRC_AT + 4..] == [0; 4];
        let field = |index: usize| u64_at(copy, 16 + 8 * index);
        let header = Header {
            numbers: SegmentNumbers { first: field(0)?, last: field(1)? },
            salt: field(2)?,
            previous_len: field(3)?,
            first_seq: field(4)?,
            is_merged: copy[10] != 0,
        };
        is_intact.then_some((header, u16_at(copy, 8)?))
    }
}
