//! Frames: the records of one or more batches under one head, with a checksum that is valid at their place only.

use super::footer::footer_head;
use super::integer::{put_varint, u32_at, u64_at, varint};
use super::record::EncodedBatch;
use super::{crc, crc_at};
use crate::UnixMillis;

pub(super) const FRAME_MAGIC: u32 = 0x4d46_5241;
/// Length of the head of a frame.
pub const FRAME_HEAD_LEN: usize = 40;
/// A frame carries the fingerprints of the frame before for at most so many keys.
pub const MAX_FINGERPRINTS: usize = 1024;
/// Longest varint.
const MAX_VARINT_LEN: usize = 10;

/// The fields of a frame's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    /// The length of its body in bytes.
    pub body_len: u32,
    /// The checksum of its body.
    pub body_crc: u32,
    /// The number of its first operation.
    pub first_seq: u64,
    /// Up to where this segment was durable when the frame was written, in bytes.
    pub durable_len: u32,
    /// When it was written.
    pub written_at: UnixMillis,
    /// How many operations it has.
    pub count: u32,
}

impl FrameHead {
    /// The number behind that of its last operation.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + u64::from(self.count)
    }
}

/// Where and when a frame is written.
#[derive(Clone, Copy, Debug)]
pub struct FrameStart {
    /// The salt of the segment.
    pub salt: u64,
    /// Where the frame begins in the segment, in bytes.
    pub offset: u64,
    /// The number of its first operation.
    pub first_seq: u64,
    /// Up to where the segment is durable, in bytes.
    pub durable_len: u32,
    /// When it is written.
    pub written_at: UnixMillis,
}

/// An encoded frame.
pub struct Frame {
    pub bytes: Vec<u8>,
    /// Where the first record begins in the frame; the others follow.
    pub first_record: u32,
}

/// Encodes a frame of these batches; `fingerprints` are those of the frame before.
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

/// The head of a frame that begins at an offset, if it is whole.
fn decode_head(bytes: &[u8], salt: u64, offset: usize) -> Option<FrameHead> {
    let head = bytes.get(offset..offset + FRAME_HEAD_LEN)?;
    let is_sound =
        u32_at(head, 0)? == FRAME_MAGIC && u32_at(head, 4)? == crc_at(&head[8..], salt, offset as u64);
    let fields = FrameHead {
        body_len: u32_at(head, 8)?,
        body_crc: u32_at(head, 12)?,
        first_seq: u64_at(head, 16)?,
        durable_len: u32_at(head, 24)?,
        written_at: u64_at(head, 28)?,
        count: u32_at(head, 36)?,
    };
    is_sound.then_some(fields)
}

/// What is at an offset of a segment.
#[derive(Debug, PartialEq)]
pub enum Probe {
    /// A whole frame.
    Frame(FrameHead),
    /// A frame whose head is whole, and whose body is cut off or damaged.
    DamagedBody(FrameHead),
    /// The start of a footer: no frame comes after it.
    Footer,
    /// Nothing that can be read.
    Unreadable,
}

/// Says what is at an offset of a segment's bytes.
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

/// Where the next whole head of a frame, or a footer, begins after damage.
pub fn resync(bytes: &[u8], salt: u64, from: usize) -> Option<usize> {
    // Zeros that were written ahead are passed over in one go; a magic may begin in the last of them.
    let zeros = bytes.get(from..)?.iter().position(|byte| *byte != 0)?;
    let from = from + zeros.saturating_sub(3);
    let magics = [FRAME_MAGIC.to_le_bytes(), super::footer::FOOTER_MAGIC.to_le_bytes()];
    let windows = bytes.get(from..)?.windows(4).enumerate();
    let mut candidates =
        windows.filter(|(_, window)| magics.iter().any(|magic| magic == window)).map(|(n, _)| from + n);
    candidates.find(|at| probe(bytes, salt, *at) != Probe::Unreadable)
}

/// The fingerprints that a frame's body begins with, and where its records begin.
pub fn decode_fingerprints(body: &[u8]) -> Option<(Vec<u64>, usize)> {
    let mut at = 0;
    let count = varint(body, &mut at).filter(|n| *n <= MAX_FINGERPRINTS as u64)? as usize;
    let fingerprints = (0..count).map(|n| u64_at(body, at + 8 * n)).collect::<Option<_>>()?;
    Some((fingerprints, at + 8 * count))
}
