//! The file of a merged segment while a compaction writes it.

use crate::UnixMillis;
use crate::disk::{DiskFile, write_all};
use crate::error::{StoreError, io_error};
use crate::format::{self, EncodedBatch, FrameStart, Header, IndexEntry, Operation, Trailer};
use crate::index::RunBuilder;

/// The approximate size of a frame of a merged segment, in bytes.
const MERGED_FRAME_BYTES: usize = 64 << 10;

/// The file of a merged segment while a compaction writes it.
pub(crate) struct MergedFile<'a> {
    file: &'a dyn DiskFile,
    name: &'a str,
    salt: u64,
    now: UnixMillis,
    /// Encoded bytes that are not written yet.
    buffer: Vec<u8>,
    written: u64,
    /// The operations of the next frame.
    pending: Vec<Operation>,
    pending_size: usize,
    next_seq: u64,
    index: RunBuilder,
}

impl<'a> MergedFile<'a> {
    /// A file that begins with `header`.
    pub fn new(file: &'a dyn DiskFile, name: &'a str, header: Header, now: UnixMillis) -> MergedFile<'a> {
        MergedFile {
            file,
            name,
            salt: header.salt,
            now,
            buffer: header.encode(),
            written: 0,
            pending: Vec::new(),
            pending_size: 0,
            next_seq: 0,
            index: RunBuilder::default(),
        }
    }

    /// Adds an operation; its key must be greater than that of the one before.
    pub fn add(&mut self, operation: Operation) -> Result<(), StoreError> {
        self.pending_size += operation.size();
        self.pending.push(operation);
        if self.pending_size >= MERGED_FRAME_BYTES {
            self.write_frame()?;
            self.pending_size = 0;
        }
        Ok(())
    }

    /// Writes the pending operations as a frame.
    fn write_frame(&mut self) -> Result<(), StoreError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let offset = self.written + self.buffer.len() as u64;
        let batch = EncodedBatch::new(&self.pending, self.salt);
        let start = FrameStart {
            salt: self.salt,
            offset,
            first_seq: self.next_seq,
            durable_len: 0,
            written_at: self.now,
        };
        let frame = format::encode_frame(&[&batch], &[], start);
        let batch_start = offset as u32 + frame.first_record;
        for record in &batch.records {
            self.index.add(IndexEntry { key: &record.key, location: record.location_from(batch_start) });
        }
        self.next_seq += self.pending.len() as u64;
        self.pending.clear();
        self.buffer.extend(frame.bytes);
        self.write_buffer()
    }

    fn write_buffer(&mut self) -> Result<(), StoreError> {
        write_all(self.file, self.written, &self.buffer).map_err(io_error("cannot write", self.name))?;
        self.written += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    /// Writes the rest and the footer, and waits until the file is durable. Returns the index and the length of the file in
    /// bytes.
    pub fn finish(mut self, next_seq: u64) -> Result<(RunBuilder, u64), StoreError> {
        self.write_frame()?;
        let data_end = self.written + self.buffer.len() as u64;
        let count = self.index.len() as u32;
        let trailer = Trailer { data_end, count, next_seq, sealed_at: self.now };
        self.buffer.extend(format::encode_footer(self.index.entries(), self.salt, trailer));
        self.write_buffer()?;
        self.file.sync().map_err(io_error("cannot sync", self.name))?;
        Ok((self.index, self.written))
    }
}
