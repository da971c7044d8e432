//! The active segment, to which batches are written.

use crate::UnixMillis;
use crate::batch_group::BatchGroup;
use crate::disk::write_all;
use crate::error::{StoreError, io_error};
use crate::format::{self, EncodedBatch, FrameStart, HEADER_LEN, MAX_FINGERPRINTS};
use crate::index::Segment;
use crate::shared_view::WrittenKeys;
use std::io;
use std::sync::Arc;

/// The maximum number of zeros that are written ahead at a time, in bytes.
const MAX_ZEROS_AHEAD: u64 = 512 << 10;
/// The zeros that are written ahead at a time are at most the size of a segment divided by this.
const ZEROS_AHEAD_DIVISOR: u32 = 8;

/// Frames that are encoded for a certain offset of the segment.
pub(crate) struct EncodedFrames {
    pub bytes: Vec<u8>,
    pub keys: WrittenKeys,
    /// The sequence number that follows that of the last operation.
    pub next_seq: u64,
    /// The fingerprints of the keys of the last frame.
    fingerprints: Vec<u64>,
}

/// Why frames could not be written.
pub(crate) struct WriteFailure {
    pub error: StoreError,
    /// Whether a part of the frames may be in the file and could not be truncated.
    pub is_torn: bool,
}

/// The segment to which batches are written.
pub(crate) struct ActiveSegment {
    segment: Arc<Segment>,
    len: u64,
    /// The length that is known to be durable, in bytes.
    durable_len: u64,
    /// The length up to which zeros were written ahead, in bytes. A sync is faster if it changes neither the length nor the
    /// extents of the file. `u64::MAX` if there is no space for zeros.
    zeroed_len: u64,
    /// The fingerprints of the keys of the last frame.
    fingerprints: Vec<u64>,
}

impl ActiveSegment {
    /// A segment of which only the header is written.
    pub fn new(segment: Arc<Segment>) -> ActiveSegment {
        let len = HEADER_LEN as u64;
        ActiveSegment { segment, len, durable_len: len, zeroed_len: 0, fingerprints: Vec::new() }
    }

    pub fn segment(&self) -> &Arc<Segment> {
        &self.segment
    }

    pub fn len(&self) -> u64 {
        self.len
    }

    pub fn durable_len(&self) -> u64 {
        self.durable_len
    }

    /// Whether this many bytes fit into a segment of at most `max_len` bytes. An empty segment has room for any number.
    pub fn has_room_for(&self, bytes: usize, max_len: u32) -> bool {
        let is_empty = self.len <= HEADER_LEN as u64;
        is_empty || self.len + bytes as u64 <= u64::from(max_len)
    }

    pub fn is_durable(&self) -> bool {
        self.durable_len >= self.len
    }

    /// Encodes frames for the end of the segment.
    pub fn encode(&self, group: &BatchGroup<'_>, first_seq: u64, now: UnixMillis) -> EncodedFrames {
        let mut encoded = EncodedFrames {
            bytes: Vec::with_capacity(group.encoded_len()),
            keys: Vec::new(),
            next_seq: first_seq,
            fingerprints: self.fingerprints.clone(),
        };
        for batches in &group.frames {
            let start = FrameStart {
                salt: self.segment.salt,
                offset: self.len + encoded.bytes.len() as u64,
                first_seq: encoded.next_seq,
                durable_len: self.durable_len as u32,
                written_at: now,
            };
            encoded.add_frame(batches, start);
        }
        encoded
    }

    /// Writes frames at the end. After a failure the file is truncated to its previous length.
    pub fn write(&mut self, frames: &EncodedFrames) -> Result<(), WriteFailure> {
        let file = &*self.segment.file;
        write_all(file, self.len, &frames.bytes).map_err(|error| WriteFailure {
            is_torn: file.truncate(self.len).is_err(),
            error: io_error("cannot write", &self.segment.name)(error),
        })
    }

    /// Writes zeros ahead if the frames that were just written, of `frames_len` bytes, end beyond the earlier zeros.
    pub fn write_zeros_ahead(&mut self, frames_len: usize, segment_bytes: u32) {
        let end = self.len + frames_len as u64;
        if end <= self.zeroed_len {
            return;
        }
        let step = u64::from(segment_bytes / ZEROS_AHEAD_DIVISOR).min(MAX_ZEROS_AHEAD);
        let ahead = (end + step).min(u64::from(segment_bytes)).max(end);
        let zeros = vec![0; (ahead - end) as usize];
        // If there is no space for the zeros, the segment continues without zeros.
        let is_written = write_all(&*self.segment.file, end, &zeros).is_ok();
        self.zeroed_len = if is_written { ahead } else { u64::MAX };
    }

    /// Returns once all written bytes are durable.
    pub fn sync(&self) -> io::Result<()> {
        self.segment.file.sync()
    }

    /// Makes written frames part of the segment.
    pub fn on_written(&mut self, frames: &EncodedFrames) {
        self.len += frames.bytes.len() as u64;
        self.fingerprints.clone_from(&frames.fingerprints);
    }

    /// Records that all frames are durable.
    pub fn on_synced(&mut self) {
        self.durable_len = self.len;
    }

    /// Tries to truncate the file to its durable length.
    pub fn truncate_to_durable(&self) {
        let _ = self.segment.file.truncate(self.durable_len);
    }
}

impl EncodedFrames {
    fn add_frame(&mut self, batches: &[&EncodedBatch], start: FrameStart) {
        let frame = format::encode_frame(batches, &self.fingerprints, start);
        let mut batch_start = start.offset as u32 + frame.first_record;
        for batch in batches {
            let records = batch.records.iter();
            self.keys.extend(records.map(|record| (record.key.clone(), record.location_from(batch_start))));
            batch_start += batch.bytes.len() as u32;
            self.next_seq += batch.records.len() as u64;
        }
        self.fingerprints.clear();
        if batches.iter().map(|batch| batch.fingerprints.len()).sum::<usize>() <= MAX_FINGERPRINTS {
            self.fingerprints.extend(batches.iter().flat_map(|batch| &batch.fingerprints));
        }
        self.bytes.extend(frame.bytes);
    }
}
