//! Frames: the records of one or more batches under one head, with a checksum that is valid only at the frame's offset.

use super::footer::footer_head;
use super::integer::{put_varint, u32_at, u64_at, varint};
use super::record::EncodedBatch;
use super::{crc, crc_at};
use crate::UnixMillis;

pub(super) const FRAME_MAGIC: u32 = 0x4d46_5241;
/// The length of the head of a frame, in bytes.
pub const FRAME_HEAD_LEN: usize = 40;
/// A frame repeats the fingerprints of the preceding frame if that frame has at most this many keys.
pub const MAX_FINGERPRINTS: usize = 1024;
/// The maximum length of a varint, in bytes.
const MAX_VARINT_LEN: usize = 10;

/// The fields of a frame's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    /// The length of the body, in bytes.
    pub body_len: u32,
    /// The checksum of the body.
    pub body_crc: u32,
    /// The sequence number of the first operation.
    pub first_seq: u64,
    /// The durable length of the segment when the frame was written, in bytes.
    pub durable_len: u32,
    /// When the frame was written.
    pub written_at: UnixMillis,
    /// The number of operations.
    pub count: u32,
}

impl FrameHead {
    /// The sequence number that follows that of the last operation.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + u64::from(self.count)
    }
}

/// Where and when a frame is written.
#[derive(Clone, Copy, Debug)]
pub struct FrameStart {
    /// The salt of the segment.
    pub salt: u64,
    /// The offset of the frame in the segment, in bytes.
    pub offset: u64,
    /// The sequence number of the first operation.
    pub first_seq: u64,
    /// The durable length of the segment, in bytes.
    pub durable_len: u32,
    /// When the frame is written.
    pub written_at: UnixMillis,
}

/// An encoded frame.
pub struct Frame {
    pub bytes: Vec<u8>,
    /// The offset of the first record in the frame, in bytes; the others follow it.
    pub first_record: u32,
}

/// Encodes a frame of these batches; `fingerprints` are those of the preceding frame.
pub fn encode_frame(batches: &[&EncodedBatch], fingerprints: &[u64], start: FrameStart) -> Frame {
    let records: usize = batches.iter().map(|batch| batch.bytes.len()).sum();
    let prefix = FRAME_HEAD_LEN + MAX_VARINT_LEN + 8 * fingerprints.len();
    let mut bytes = Vec::with_capacity(prefix + records);
    bytes.resize(FRAME_HEAD_LEN, 0);
    put_varint(&mut bytes, fingerprints.len() as u64);
    fingerprints.iter().for_each(|fingerprint| bytes.extend(fingerprint.to_le_bytes()));
    let first_record = bytes.len() as u32;
    batches.iter().for_each(|batch| bytes.extend_from_slice(&batch.bytes));
    let count: usize = batches.iter().map(|batch| batch.records.len()).sum();
    let head = encode_head(&bytes[FRAME_HEAD_LEN..], count as u32, start);
    bytes[..FRAME_HEAD_LEN].copy_from_slice(&head);
    Frame { bytes, first_record }
}

fn encode_head(body: &[u8], count: u32, start: FrameStart) -> Vec<u8> {
    let mut head = FRAME_MAGIC.to_le_bytes().to_vec();
    head.extend([0; 4]);
    head.extend((body.len() as u32).to_le_bytes());
    head.extend(crc(&[body]).to_le_bytes());
    head.extend(start.first_seq.to_le_bytes());
    head.extend(start.durable_len.to_le_bytes());
    head.extend(start.written_at.to_le_bytes());
    head.extend(count.to_le_bytes());
    let sum = crc_at(&head[8..], start.salt, start.offset);
    head[4..8].copy_from_slice(&sum.to_le_bytes());
    head
}

/// The head of a frame that begins at an offset; `None` if it is not intact.
fn decode_head(bytes: &[u8], salt: u64, offset: usize) -> Option<FrameHead> {
    let head = bytes.get(offset..offset + FRAME_HEAD_LEN)?;
    let is_intact =
        u32_at(head, 0)? == FRAME_MAGIC && u32_at(head, 4)? == crc_at(&head[8..], salt, offset as u64);
    let fields = FrameHead {
        body_len: u32_at(head, 8)?,
        body_crc: u32_at(head, 12)?,
        first_seq: u64_at(head, 16)?,
        durable_len: u32_at(head, 24)?,
        written_at: u64_at(head, 28)?,
        count: u32_at(head, 36)?,
    };
    is_intact.then_some(fields)
}

/// What begins at an offset of a segment.
#[derive(Debug, PartialEq)]
pub enum Probe {
    /// An intact frame.
    Frame(FrameHead),
    /// A frame with an intact head, whose body is truncated or damaged.
    DamagedBody(FrameHead),
    /// The footer; no frame follows it.
    Footer,
    /// Nothing readable.
    Unreadable,
}

/// Determines what begins at an offset of a segment's bytes.
pub fn probe(bytes: &[u8], salt: u64, offset: usize) -> Probe {
    let Some(head) = decode_head(bytes, salt, offset) else {
        let is_footer = footer_head(bytes, salt, offset).is_some();
        return if is_footer { Probe::Footer } else { Probe::Unreadable };
    };
    let start = offset + FRAME_HEAD_LEN;
    match bytes.get(start..start + head.body_len as usize) {
        Some(body) if crc(&[body]) == head.body_crc => Probe::Frame(head),
        _ => Probe::DamagedBody(head),
    }
}

/// The offset of the next intact head of a frame, or of a footer, at or after `from`.
pub fn resync(bytes: &[u8], salt: u64, from: usize) -> Option<usize> {
    // Skip all zeros that were written ahead in one step. A magic number may begin in the last three of them.
    let zeros = bytes.get(from..)?.iter().position(|byte| *byte != 0)?;
    let from = from + zeros.saturating_sub(3);
    let magics = [FRAME_MAGIC.to_le_bytes(), super::footer::FOOTER_MAGIC.to_le_bytes()];
    let windows = bytes.get(from..)?.windows(4).enumerate();
    let mut candidates =
        windows.filter(|(_, window)| magics.iter().any(|magic| magic == window)).map(|(n, _)| from + n);
    candidates.find(|at| probe(bytes, salt, *at) != Probe::Unreadable)
}

/// Decodes the fingerprints at the start of a frame's body. Returns them with the offset of the first record.
pub fn decode_fingerprints(body: &[u8]) -> Option<(Vec<u64>, usize)> {
    let mut at = 0;
    let count = varint(body, &mut at).filter(|count| *count <= MAX_FINGERPRINTS as u64)? as usize;
    let fingerprints = (0..count).map(|index| u64_at(body, at + 8 * index)).collect::<Option<_>>()?;
    Some((fingerprints, at + 8 * count))
}
