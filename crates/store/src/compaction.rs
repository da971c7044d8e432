//! Compaction: segments that change no more are merged into one that has only what still counts.

use crate::disk::{Disk, DiskFile, write_all};
use crate::error::{StoreError, io_error};
use crate::format::{self, EncodedBatch, FrameStart, HEADER_LEN, Header, IndexEntry, Operation};
use crate::format::{SegmentNumbers, Trailer};
use crate::index::{Layer, Run, RunBuilder, Segment, Step, View, Walk, runs};
use crate::plan::{self, SegmentUsage};
use crate::segment_loader::read_header;
use crate::shared_view::lock;
use crate::writer::Writer;
use std::ops::Range;
use std::sync::{Arc, Mutex};

/// Merged segments are written in frames of about this many bytes.
const MERGED_FRAME_BYTES: usize = 64 << 10;
/// Bytes that an entry of a footer takes beside its key, about.
const FOOTER_ENTRY_BYTES: u64 = 6;

/// The names of the segments of these runs, each once, in order.
fn segment_names(runs: &[Arc<Run>]) -> Vec<String> {
    let mut names: Vec<String> = runs.iter().map(|run| run.segment.name.clone()).collect();
    names.dedup();
    names
}

/// What is known of the segments that take no more writes. It walks through all keys.
pub(crate) fn segment_usage(view: &View, now: u64) -> Vec<SegmentUsage> {
    let runs: Vec<Arc<Run>> = runs(&view.layers).cloned().collect();
    let names = segment_names(&runs);
    let index_of = |name: &str| names.iter().position(|known| known == name);
    let segment_of: Vec<usize> = runs.iter().map(|run| index_of(&run.segment.name).unwrap_or(0)).collect();
    let mut usage = vec![SegmentUsage { bytes: 0, dead: 0, is_damaged: false }; names.len()];
    for (run, segment) in runs.iter().zip(&segment_of) {
        usage[*segment].bytes = run.file_len;
        // What no index names is dead: records that were overwritten within the segment.
        usage[*segment].dead = run.file_len.saturating_sub(HEADER_LEN as u64);
    }
    for name in damaged_segments(&view.layers) {
        if let Some(segment) = index_of(name) {
            usage[segment].is_damaged = true;
        }
    }
    for step in Walk::of_runs(&runs) {
        let location = step.hit.location;
        let is_gone = location.is_tombstone || location.is_expired(now);
        if is_gone && !step.has_older {
            continue;
        }
        // The entries of the footers count as live, about as much as they take.
        let live = u64::from(location.len) + step.key.len() as u64 / 2 + FOOTER_ENTRY_BYTES;
        let segment = &mut usage[segment_of[step.rank]];
        segment.dead = segment.dead.saturating_sub(live);
    }
    usage
}

/// The names of segments with damage, and of those behind damage: a merge across what is lost would hide it.
fn damaged_segments(layers: &[Layer]) -> Vec<&str> {
    let mut names = Vec::new();
    let mut is_behind_damage = false;
    for layer in layers {
        match layer {
            Layer::Damaged(region) => {
                names.push(region.file.as_str());
                is_behind_damage = true;
            }
            Layer::Run(run) if std::mem::take(&mut is_behind_damage) => names.push(&run.segment.name),
            Layer::Run(_) => {}
        }
    }
    names
}

/// A compaction that pays off. The walk through all keys is made without the writer's lock.
pub(crate) fn plan_without_lock(writer: &Mutex<Option<Writer>>, view: &View, now: u64) -> Option<Compaction> {
    let min_dead = lock(writer).as_ref()?.min_dead_bytes();
    let range = plan::compaction(&segment_usage(view, now), min_dead)?;
    lock(writer).as_ref()?.compaction(view, range, SegmentSet::Some, now)
}

/// Which segments are compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentSet {
    All,
    Some,
}

/// A compaction to be done: it reads segments that change no more, and needs no lock.
pub struct Compaction {
    disk: Arc<dyn Disk>,
    numbers: SegmentNumbers,
    picked: Vec<Arc<Run>>,
    older: Vec<Arc<Run>>,
    /// The layers in which damage is looked up; empty where some segments only are merged.
    damage_view: View,
    now: u64,
    salt: u64,
    next_seq: u64,
}

/// A merged segment, whole and durable under a name that does not count yet.
pub struct MergedSegment {
    pub(crate) run: Arc<Run>,
    pub(crate) unfinished_name: String,
    /// The names of the segments that it replaces.
    pub(crate) replaced: Vec<String>,
    pub(crate) bytes: u64,
}

impl Compaction {
    /// A compaction of these segments, by their positions; `last_number` is the number of the last segment there was, if none
    /// is active.
    pub(crate) fn new(
        disk: Arc<dyn Disk>,
        view: &View,
        range: Range<usize>,
        set: SegmentSet,
        last_number: Option<u64>,
    ) -> Option<Compaction> {
        // Damaged regions between the runs belong to damaged segments, which are merged only all together.
        let runs: Vec<Arc<Run>> = runs(&view.layers).cloned().collect();
        let names = segment_names(&runs);
        let is_picked = |run: &&Arc<Run>| names[range.clone()].contains(&run.segment.name);
        let picked: Vec<Arc<Run>> = runs.iter().filter(is_picked).cloned().collect();
        let first = picked.first()?.segment.numbers.first;
        let last = picked.last()?.segment.numbers.last;
        let older = runs.iter().take_while(|run| run.segment.numbers.first < first).cloned().collect();
        let (numbers, damage_view) = match set {
            SegmentSet::All => (SegmentNumbers { first: 1, last: last_number.unwrap_or(last) }, view.clone()),
            SegmentSet::Some => (SegmentNumbers { first, last }, View::default()),
        };
        Some(Compaction { disk, numbers, picked, older, damage_view, now: 0, salt: 0, next_seq: 0 })
    }

    /// With the salt of the merged segment, the number of the next operation and the time, Unix in milliseconds.
    pub(crate) fn with_context(self, salt: u64, next_seq: u64, now: u64) -> Compaction {
        Compaction { salt, next_seq, now, ..self }
    }

    /// The numbers that the merged segment will stand for.
    pub(crate) fn numbers(&self) -> SegmentNumbers {
        self.numbers
    }

    /// Writes the merged segment. With `drop_damaged` records that cannot be read are left out, else they end it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; [`StoreError::NeedsRepair`] and [`StoreError::Damaged`] without `drop_damaged`. Nothing has changed
    /// then.
    pub fn run(&self, drop_damaged: bool) -> Result<MergedSegment, StoreError> {
        let (numbers, salt) = (self.numbers, self.salt);
        let unfinished_name = plan::unfinished_name(numbers);
        let _ = self.disk.remove(&unfinished_name); // of an attempt that failed
        let file = self.disk.create(&unfinished_name).map_err(io_error("cannot create", &unfinished_name))?;
        let written = self.write(&*file, &unfinished_name, drop_damaged);
        let (builder, bytes) = written.inspect_err(|_| {
            let _ = self.disk.remove(&unfinished_name);
        })?;
        let segment = Arc::new(Segment { name: plan::segment_name(numbers), numbers, salt, file });
        let run = Arc::new(builder.finish_sorted(segment, bytes));
        Ok(MergedSegment { run, unfinished_name, replaced: segment_names(&self.picked), bytes })
    }

    /// Writes all that still counts. Returns the index and the length of the file.
    fn write(
        &self,
        file: &dyn DiskFile,
        name: &str,
        drop_damaged: bool,
    ) -> Result<(RunBuilder, u64), StoreError> {
        let first = &self.picked[0].segment;
        let first_header = read_header(&*first.file, &first.name)?;
        let header = Header {
            numbers: self.numbers,
            salt: self.salt,
            previous_len: first_header.map_or(0, |(header, _)| header.previous_len),
            first_seq: 0,
            is_merged: true,
        };
        let mut output = MergedFile::new(file, name, header, self.now);
        for step in Walk::of_runs(&self.picked) {
            if let Some(operation) = self.operation(step, drop_damaged)? {
                output.add(operation)?;
            }
        }
        output.finish(self.next_seq)
    }

    /// The operation that is kept of a key, if any.
    fn operation(&self, step: Step, drop_damaged: bool) -> Result<Option<Operation>, StoreError> {
        let has_damage = !self.damage_view.layers.is_empty();
        if has_damage && self.damage_view.find(&step.key).is_err() {
            return if drop_damaged { Ok(None) } else { Err(StoreError::NeedsRepair(1)) };
        }
        let read = step.hit.read(&step.key);
        let value = match read {
            _ if step.hit.location.is_expired(self.now) => None,
            Ok(value) => value,
            Err(StoreError::Damaged { .. }) if drop_damaged => None,
            Err(error) => return Err(error),
        };
        // A tombstone is needed only as long as something older is there to be deleted.
        if value.is_none() && !self.older.iter().any(|run| run.find(&step.key).is_some()) {
            return Ok(None);
        }
        let expires_at = step.hit.location.expires_at.filter(|_| value.is_some());
        Ok(Some(Operation { key: step.key, value, expires_at }))
    }
}

/// The file of a merged segment while it is written.
struct MergedFile<'a> {
    file: &'a dyn DiskFile,
    name: &'a str,
    salt: u64,
    now: u64,
    /// Encoded, and not written yet.
    buffer: Vec<u8>,
    written: u64,
    /// The operations of the next frame.
    pending: Vec<Operation>,
    pending_size: usize,
    next_seq: u64,
    index: RunBuilder,
}

impl<'a> MergedFile<'a> {
    fn new(file: &'a dyn DiskFile, name: &'a str, header: Header, now: u64) -> MergedFile<'a> {
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

    fn add(&mut self, operation: Operation) -> Result<(), StoreError> {
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

    /// Writes the rest and the footer, and waits until all is durable. Returns the index and the length of the file.
    fn finish(mut self, next_seq: u64) -> Result<(RunBuilder, u64), StoreError> {
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
