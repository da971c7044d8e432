//! A group of batches that are written together, divided into frames.

use crate::format::{EncodedBatch, FRAME_HEAD_LEN, MAX_FINGERPRINTS};
use std::sync::Arc;

/// The maximum size of a frame's body, in bytes. The batch that would exceed it begins a new frame. A single larger batch has
/// a frame of its own.
const MAX_FRAME_BODY: usize = 1 << 20;

/// A group of batches, divided into frames.
pub(crate) struct BatchGroup<'a> {
    pub frames: Vec<Vec<&'a EncodedBatch>>,
    bytes: usize,
}

impl<'a> BatchGroup<'a> {
    pub fn new(batches: impl Iterator<Item = &'a Arc<EncodedBatch>>) -> BatchGroup<'a> {
        let mut group = BatchGroup { frames: vec![Vec::new()], bytes: 0 };
        let mut body_len = 0;
        for batch in batches {
            let len = batch.bytes.len();
            if body_len + len > MAX_FRAME_BODY && body_len > 0 {
                group.frames.push(Vec::new());
                body_len = 0;
            }
            body_len += len;
            group.bytes += len;
            if let Some(frame) = group.frames.last_mut() {
                frame.push(batch);
            }
        }
        group
    }

    /// An estimate of the encoded length, in bytes: the records, plus heads and fingerprints of at most the same size.
    pub fn encoded_len(&self) -> usize {
        let overhead = FRAME_HEAD_LEN + 8 * MAX_FINGERPRINTS + 10;
        self.bytes + (self.frames.len() * overhead).min(self.bytes)
    }
}
