//! The active segment: the one that is written to.

use crate::UnixMillis;
use crate::batch_group::BatchGroup;
use crate::disk::write_all;
use crate::error::{StoreError, io_error};
use crate::format::{self, EncodedBatch, FrameStart, HEADER_LEN, MAX_FINGERPRINTS};
use crate::index::Segment;
use crate::shared_view::WrittenKeys;
use std::io;
use std::sync::Arc;

/// Most zeros that are written ahead at a time, in bytes.
const MAX_ZEROS_AHEAD: u64 = 512 << 10;
/// Zeros are written ahead by this part of a segment.
const ZEROS_PART: u32 = 8;

/// Frames that are encoded for their place in the segment.
pub(crate) struct EncodedFrames {
    pub bytes: Vec<u8>,
    pub keys: WrittenKeys,
    /// The number after that of the last operation.
    pub next_seq: u64,
    /// Fingerprints of the keys of the last frame.
    fingerprints: Vec<u64>,
}

/// Why frames could not be written.
pub(crate) struct WriteFailure {
    pub error: StoreError,
    /// A part of them may be in the file and cannot be cut off.
    pub is_torn: bool,
}

/// The segment that is written to.
pub(crate) struct ActiveSegment {
    segment: Arc<Segment>,
    len: u64,
    /// Up to where it is known to be durable, in bytes.
    durable_len: u64,
    /// Up to where zeros were written ahead: a sync that changes no length and no extent is done sooner. `u64::MAX` where
    /// there is no room for them.
    zeroed_len: u64,
    /// Fingerprints of the keys of its last frame.
    fingerprints: Vec<u64>,
}

impl ActiveSegment {
    /// A segment of which the header alone is written.
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

    /// Whether so many bytes fit into a segment of `max_len`. They always fit into an empty one.
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

    /// Writes frames behind the end. On failure what was written of them is cut off again.
    pub fn write(&mut self, frames: &EncodedFrames) -> Result<(), WriteFailure> {
        let file = &*self.segment.file;
        write_all(file, self.len, &frames.bytes).map_err(|error| WriteFailure {
            is_torn: file.truncate(self.len).is_err(),
            error: io_error("cannot write", &self.segment.name)(error),
        })
    }

    /// Writes zeros behind frames of so many bytes that were just written, where they end beyond the zeros before.
    pub fn write_zeros_ahead(&mut self, frames_len: usize, segment_bytes: u32) {
        let end = self.len + frames_len as u64;
        if end <= self.zeroed_len {
            return;
        }
        let step = u64::from(segment_bytes / ZEROS_PART).min(MAX_ZEROS_AHEAD);
        let ahead = (end + step).min(u64::from(segment_bytes)).max(end);
        let zeros = vec![0; (ahead - end) as usize];
        // Where there is no room for them, the segment goes on without.
        let is_written = write_all(&*self.segment.file, end, &zeros).is_ok();
        self.zeroed_len = if is_written { ahead } else { u64::MAX };
    }

    /// Waits until what was written is durable.
    pub fn sync(&self) -> io::Result<()> {
        self.segment.file.sync()
    }

    /// The frames count from now on.
    pub fn on_written(&mut self, frames: &EncodedFrames) {
        self.len += frames.bytes.len() as u64;
        self.fingerprints.clone_from(&frames.fingerprints);
    }

    /// All frames are durable.
    pub fn on_synced(&mut self) {
        self.durable_len = self.len;
    }

    /// Tries to cut off what is not durable.
    pub fn truncate_to_durable(&self) {
        let _ = self.segment.file.truncate(self.durable_len);
    }
}

impl EncodedFrames {
    fn add_frame(&mut self, batches: &[&EncodedBatch], start: FrameStart) {
        let frame = format::encode_frame(batches, &self.fingerprints, start);
        let mut batch_start = start.offset as u32 + frame.first_record;
        for batch in batches {
            let located = batch.records.iter().map(|r| (r.key.clone(), r.location_from(batch_start)));
            self.keys.extend(located);
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
