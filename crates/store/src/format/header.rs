//! The header of a segment: two copies of the same fields.

use super::integer::{u16_at, u32_at, u64_at};
use super::{VERSION, crc};

const MAGIC: [u8; 8] = *b"MOTHLOG\0";
/// Length of one copy of the header.
const HEADER_COPY_LEN: usize = 64;
/// Length of the header; the frames of a segment begin behind it.
pub const HEADER_LEN: usize = 2 * HEADER_COPY_LEN;
/// Where the checksum of a copy is.
const CRC_AT: usize = 56;

/// The numbers that a segment stands for: a merged one stands for all those that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentNumbers {
    pub first: u64,
    pub last: u64,
}

impl SegmentNumbers {
    /// Whether this stands for all the numbers of another.
    pub fn covers(&self, other: SegmentNumbers) -> bool {
        other.first >= self.first && other.last <= self.last
    }
}

/// The fields of a segment's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub numbers: SegmentNumbers,
    /// Mixed into the checksums of the segment, so that no bytes of a value can pass for a frame.
    pub salt: u64,
    /// Up to where the segment before it is valid, in bytes; what lies behind was never acknowledged.
    pub previous_len: u64,
    /// The number of its first operation.
    pub first_seq: u64,
    /// It was made by a compaction: it got its name only once it was whole.
    pub is_merged: bool,
}

/// A header that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodedHeader {
    pub header: Header,
    /// Both copies are whole and equal.
    pub has_both_copies: bool,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderFault {
    /// Neither copy is whole.
    Unreadable,
    /// It is of another version.
    Version(u16),
}

impl Header {
    /// Both copies.
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

    /// Reads the first copy that is whole.
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

    /// The header and its version, if the copy is whole.
    fn decode_copy(copy: &[u8]) -> Option<(Header, u16)> {
        let is_whole = copy[..MAGIC.len()] == MAGIC
            && u32_at(copy, CRC_AT)? == crc(&[&copy[..CRC_AT]])
            && copy[CRC_AT + 4..] == [0; 4];
        let field = |n: usize| u64_at(copy, 16 + 8 * n);
        let header = Header {
            numbers: SegmentNumbers { first: field(0)?, last: field(1)? },
            salt: field(2)?,
            previous_len: field(3)?,
            first_seq: field(4)?,
            is_merged: copy[10] != 0,
        };
        is_whole.then_some((header, u16_at(copy, 8)?))
    }
}
