//! The scan of a segment: its frames in order, and the unreadable holes between them.

use crate::UnixMillis;
use crate::format::{self, FRAME_HEAD_LEN, FrameHead, HEADER_LEN, Probe, Record};

/// An unreadable range of a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Hole {
    pub from: usize,
    pub to: usize,
    /// The fingerprints of the lost keys, if the hole is a single frame and the frame after it is intact.
    pub fingerprints: Option<Vec<u64>>,
}

impl Hole {
    /// The length of the hole, in bytes.
    pub fn len(&self) -> usize {
        self.to - self.from
    }
}

/// A frame or a hole.
#[derive(Debug)]
pub enum ScanItem {
    Frame { offset: usize, head: FrameHead },
    Hole(Hole),
}

impl ScanItem {
    fn next_seq(&self) -> Option<u64> {
        match self {
            ScanItem::Frame { head, .. } => Some(head.next_seq()),
            ScanItem::Hole(_) => None,
        }
    }
}

/// The frames of a segment and the holes between them.
#[derive(Debug, Default)]
pub struct Scan {
    pub items: Vec<ScanItem>,
    /// The end of the valid part, in bytes.
    pub end: usize,
    /// The number of bytes after `end` that were written and are not valid.
    pub torn_bytes: usize,
    /// The sequence number of the next operation.
    pub next_seq: u64,
    /// The latest time recorded in a frame.
    pub written_at: UnixMillis,
}

/// Scans the frames of a segment. `limit` is its valid length, if its successor states it. Otherwise the end may be torn: the
/// segment ends at the first hole that no later frame records as durable.
pub fn scan(bytes: &[u8], salt: u64, limit: Option<u64>, first_seq: u64) -> Scan {
    let end = limit.map_or(bytes.len(), |limit| (limit as usize).min(bytes.len()));
    let bytes = &bytes[..end];
    let mut scan = Scan { next_seq: first_seq, ..Scan::default() };
    let (mut offset, mut durable) = (HEADER_LEN, 0);
    while offset < bytes.len() {
        offset = match format::probe(bytes, salt, offset) {
            Probe::Frame(head) => {
                durable = durable.max(head.durable_len as usize);
                scan.add_frame(offset, head, &bytes[offset + FRAME_HEAD_LEN..])
            }
            Probe::Footer => break,
            Probe::DamagedBody(head) => {
                let after = offset + FRAME_HEAD_LEN + head.body_len as usize;
                scan.add_hole(bytes, salt, offset, Some(after))
            }
            Probe::Unreadable => scan.add_hole(bytes, salt, offset, None),
        };
    }
    scan.end = offset;
    if limit.is_none() {
        scan.drop_torn_end(bytes, durable, first_seq);
    }
    scan
}

impl Scan {
    /// Adds a frame, whose body is at the start of `body`. Returns the offset after the frame.
    fn add_frame(&mut self, offset: usize, head: FrameHead, body: &[u8]) -> usize {
        if let Some(ScanItem::Hole(hole)) = self.items.last_mut() {
            let missing = head.first_seq.saturating_sub(self.next_seq);
            let known = format::decode_fingerprints(body).map(|(fingerprints, _)| fingerprints);
            hole.fingerprints = known.filter(|known| !known.is_empty() && known.len() as u64 == missing);
        }
        self.next_seq = head.next_seq();
        self.written_at = self.written_at.max(head.written_at);
        self.items.push(ScanItem::Frame { offset, head });
        offset + FRAME_HEAD_LEN + head.body_len as usize
    }

    /// Adds a hole that begins at `from`. Returns the offset after the hole: `after` if that is readable, or else the next offset
    /// that is.
    fn add_hole(&mut self, bytes: &[u8], salt: u64, from: usize, after: Option<usize>) -> usize {
        let is_readable = |at: &usize| format::probe(bytes, salt, *at) != Probe::Unreadable;
        let next = after.filter(is_readable).or_else(|| format::resync(bytes, salt, from + 1));
        let to = next.unwrap_or(bytes.len());
        self.items.push(ScanItem::Hole(Hole { from, to, fingerprints: None }));
        to
    }

    /// Ends the segment at the first hole that was not recorded as durable.
    fn drop_torn_end(&mut self, bytes: &[u8], durable: usize, first_seq: u64) {
        let torn = self.items.iter().enumerate().find_map(|(index, item)| match item {
            ScanItem::Hole(hole) if hole.from >= durable => Some((index, hole.from)),
            _ => None,
        });
        let Some((index, from)) = torn else { return };
        // Zeros were written ahead, or left by the file system after an interrupted write.
        let zeros = bytes[from..self.end].iter().rev().take_while(|byte| **byte == 0).count();
        self.torn_bytes = self.end - from - zeros;
        self.end = from;
        self.items.truncate(index);
        self.next_seq = self.items.iter().rev().find_map(ScanItem::next_seq).unwrap_or(first_seq);
    }
}

/// Calls `each` with each record of a frame's body and its offset there. Returns the number of records, or `None` if the body
/// is malformed. The checksums of the records are not checked, since that of the frame covers them.
pub fn each_record(body: &[u8], mut each: impl FnMut(Record<'_>, usize)) -> Option<u32> {
    let (_, mut at) = format::decode_fingerprints(body)?;
    let mut count = 0;
    while at < body.len() {
        let record = format::decode_record(&body[at..])?;
        let len = record.len;
        each(record, at);
        at += len;
        count += 1;
    }
    Some(count)
}
