//! The writer: the store without threads, over any disk. All work happens within the call that requests it, so that tests
//! can make a simulated disk fail at any step.

use crate::UnixMillis;
use crate::active_segment::ActiveSegment;
use crate::batch_group::BatchGroup;
use crate::compaction::{Compaction, MergedSegment, SegmentSelection, SegmentSet};
use crate::disk::{DirectoryLock, Disk, DiskFile, LockMode, write_all};
use crate::error::{StoreError, io_error};
use crate::format::{self, EncodedBatch, Header, IndexEntry, Operation, SegmentNumbers, Trailer};
use crate::index::{Layer, Segment, View, runs};
use crate::metrics::Metrics;
use crate::random::splitmix64;
use crate::recovery::{self, Recovery};
use crate::segment_usage::segment_usage;
use crate::shared_view::{SharedView, Unpublished, lock, publish, retire_active};
use crate::{Options, SyncMode, plan};
use std::ops::Range;
use std::sync::{Arc, Mutex};

/// Writes to one directory.
pub struct Writer {
    disk: Arc<dyn Disk>,
    options: Options,
    active: Option<ActiveSegment>,
    next_segment: u64,
    next_seq: u64,
    /// The valid length of the last segment that has ended, in bytes. The header of the next segment states it.
    previous_len: u64,
    /// Batches that are acknowledged and not synced yet. If their sync fails, they are written again. Empty in mode
    /// [`SyncMode::Always`].
    unsynced: Vec<Arc<EncodedBatch>>,
    /// Whether the sync of `unsynced` failed, so that these batches are written again before anything else.
    must_rewrite: bool,
    /// The salt of all segments written since the directory was opened.
    salt: u64,
    unpublished: Unpublished,
    /// Obsolete files that could not be removed yet.
    obsolete_files: Vec<String>,
    /// Counters since the directory was opened.
    pub metrics: Metrics,
    _lock: DirectoryLock,
}

/// A directory that was opened for writing.
pub struct OpenedWriter {
    /// The writer.
    pub writer: Writer,
    /// The view to which the writer publishes.
    pub shared: SharedView,
    /// What recovery found.
    pub recovery: Recovery,
    /// The latest time recorded in the segments.
    pub written_at: UnixMillis,
}

/// Opens a directory for writing. Files left over from an interrupted compaction are removed; nothing else changes.
///
/// # Errors
///
/// [`StoreError::Locked`] if another process has it open, [`StoreError::Version`] and [`StoreError::Io`].
pub fn open(disk: Arc<dyn Disk>, options: Options) -> Result<OpenedWriter, StoreError> {
    let name = disk.name();
    let lock = disk.lock(LockMode::Exclusive).map_err(io_error("cannot lock", &name))?;
    let lock = lock.ok_or_else(|| StoreError::Locked(name.clone()))?;
    let opened = recovery::open(&*disk)?;
    // Unsynced writes of the last process may still be in the page cache only, but the header of the next segment will
    // declare them valid. So they must be durable first.
    if let Some(run) = runs(&opened.layers).last() {
        run.segment.file.sync().map_err(io_error("cannot sync", &run.segment.name))?;
    }
    let view = View { layers: opened.layers, ..View::default() };
    let mut writer = Writer {
        disk,
        options,
        active: None,
        next_segment: opened.next_segment,
        next_seq: opened.next_seq,
        previous_len: opened.last_end,
        unsynced: Vec::new(),
        must_rewrite: false,
        salt: splitmix64(options.seed ^ opened.next_seq.rotate_left(32) ^ opened.next_segment),
        unpublished: Unpublished::default(),
        obsolete_files: opened.leftovers,
        metrics: Metrics::default(),
        _lock: lock,
    };
    writer.remove_obsolete_files();
    let shared = Arc::new(Mutex::new(view));
    Ok(OpenedWriter { writer, shared, recovery: opened.recovery, written_at: opened.written_at })
}

impl Writer {
    /// Removes obsolete files. Keeps the names of those that cannot be removed, for the next call.
    fn remove_obsolete_files(&mut self) {
        let disk = &self.disk;
        self.obsolete_files.retain(|name| match disk.remove(name) {
            Ok(()) => false,
            Err(error) => error.kind() != std::io::ErrorKind::NotFound,
        });
    }

    /// The salt with which batches are encoded.
    pub(crate) fn salt(&self) -> u64 {
        self.salt
    }

    /// The writes that are not visible to readers yet.
    pub(crate) fn unpublished(&self) -> Unpublished {
        self.unpublished.clone()
    }

    /// The minimum of dead bytes for which a compaction pays off.
    pub(crate) fn min_dead_bytes(&self) -> u64 {
        u64::from(self.options.segment_bytes) / 2
    }

    /// Writes batches as one group; each takes effect as a whole or not at all. In mode [`SyncMode::Always`] they are durable
    /// when this returns.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; none of the batches takes effect then.
    pub fn commit(
        &mut self,
        shared: &SharedView,
        batches: &[&[Operation]],
        now: UnixMillis,
    ) -> Result<(), StoreError> {
        let encode = |operations: &&[Operation]| Arc::new(EncodedBatch::new(operations, self.salt));
        let encoded: Vec<Arc<EncodedBatch>> = batches.iter().map(encode).collect();
        let result = self.write_group(shared, &encoded, now);
        publish(shared, &self.unpublished);
        result
    }

    /// Writes batches as one group, which becomes visible to readers only by [`publish`].
    pub(crate) fn write_group(
        &mut self,
        shared: &SharedView,
        batches: &[Arc<EncodedBatch>],
        now: UnixMillis,
    ) -> Result<(), StoreError> {
        let result = self.append(shared, batches, now);
        match &result {
            Ok(()) => {
                self.metrics.batches += batches.len() as u64;
                self.metrics.operations += batches.iter().map(|b| b.records.len() as u64).sum::<u64>();
                self.metrics.groups += 1;
            }
            Err(_) => self.metrics.failures += 1,
        }
        result
    }

    /// Writes batches, and syncs them in mode [`SyncMode::Always`]. After a failed sync, the acknowledged batches that may be
    /// lost are written first.
    fn append(
        &mut self,
        shared: &SharedView,
        batches: &[Arc<EncodedBatch>],
        now: UnixMillis,
    ) -> Result<(), StoreError> {
        let rewritten = if self.must_rewrite { self.unsynced.clone() } else { Vec::new() };
        let group = BatchGroup::new(rewritten.iter().chain(batches));
        self.prepare_segment(shared, group.encoded_len(), now)?;
        let Some(active) = &mut self.active else { return Err(StoreError::Closed) };
        let encoded = active.encode(&group, self.next_seq, now);
        if let Err(failure) = active.write(&encoded) {
            if failure.is_torn {
                self.abandon_active(shared);
            }
            return Err(failure.error);
        }
        active.write_zeros_ahead(encoded.bytes.len(), self.options.segment_bytes);
        let is_synced = self.options.sync == SyncMode::Always;
        if is_synced {
            self.sync_active(shared)?;
        }
        let Some(active) = &mut self.active else { return Err(StoreError::Closed) };
        self.metrics.bytes_written += encoded.bytes.len() as u64;
        self.next_seq = encoded.next_seq;
        active.on_written(&encoded);
        if is_synced {
            active.on_synced();
        }
        lock(&self.unpublished).push_back(encoded.keys);
        if is_synced {
            self.unsynced.clear();
        } else {
            if std::mem::take(&mut self.must_rewrite) {
                self.unsynced.clear(); // they were just written again
            }
            self.unsynced.extend(rewritten.iter().chain(batches).cloned());
        }
        Ok(())
    }

    /// Ensures that there is an active segment with room for `len` bytes.
    fn prepare_segment(
        &mut self,
        shared: &SharedView,
        len: usize,
        now: UnixMillis,
    ) -> Result<(), StoreError> {
        if let Some(active) = &self.active {
            if !active.has_room_for(len, self.options.segment_bytes) {
                self.seal(shared, now)?;
            }
        }
        if self.active.is_none() {
            self.begin_segment(shared)?;
        }
        Ok(())
    }

    /// Makes all acknowledged writes durable, in the modes that do not sync each write.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; the next group then writes the acknowledged batches again.
    pub fn sync(&mut self, shared: &SharedView, now: UnixMillis) -> Result<(), StoreError> {
        if self.must_rewrite {
            self.append(shared, &[], now)?;
            publish(shared, &self.unpublished);
        }
        if self.active.as_ref().is_none_or(ActiveSegment::is_durable) {
            return Ok(());
        }
        self.sync_active(shared).inspect_err(|_| self.metrics.failures += 1)?;
        if let Some(active) = &mut self.active {
            active.on_synced();
        }
        self.unsynced.clear();
        Ok(())
    }

    /// Syncs the file of the active segment. If that fails, the segment is abandoned.
    fn sync_active(&mut self, shared: &SharedView) -> Result<(), StoreError> {
        let Some(active) = &self.active else { return Ok(()) };
        self.metrics.syncs += 1;
        if let Err(error) = active.sync() {
            let name = active.segment().name.clone();
            self.abandon_active(shared);
            return Err(io_error("cannot sync", &name)(error));
        }
        Ok(())
    }

    /// Ends the active segment without a footer. Only its durable part is valid, as the header of the next segment states.
    fn abandon_active(&mut self, shared: &SharedView) {
        let Some(active) = self.active.take() else { return };
        if self.unsynced.is_empty() {
            // A failure is ignored: the header of the next segment states the valid length too. If there are unsynced batches,
            // the file keeps its length, since they are still read from it until they are written again.
            active.truncate_to_durable();
        }
        self.previous_len = active.durable_len();
        self.must_rewrite = !self.unsynced.is_empty();
        publish(shared, &self.unpublished);
        retire_active(shared, active.len());
    }

    /// Writes the footer of the active segment. The next write begins a new segment.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; no acknowledged write is lost then.
    pub fn seal(&mut self, shared: &SharedView, now: UnixMillis) -> Result<(), StoreError> {
        // The records must be durable before a footer that refers to them can be.
        self.sync(shared, now)?;
        let Some(active) = &self.active else { return Ok(()) };
        let (segment, data_end) = (active.segment().clone(), active.len());
        publish(shared, &self.unpublished);
        let keys = lock(shared).active_keys.clone();
        let entries = keys.iter().map(|(key, location)| IndexEntry { key, location: *location });
        let count = keys.len() as u32;
        let trailer = Trailer { data_end, count, next_seq: self.next_seq, sealed_at: now };
        let footer = format::encode_footer(entries, segment.salt, trailer);
        let file = &segment.file;
        let written = file.truncate(data_end).and_then(|()| write_all(&**file, data_end, &footer));
        let synced = written.and_then(|()| file.sync());
        self.metrics.syncs += 1;
        if let Err(error) = synced {
            self.metrics.failures += 1;
            self.abandon_active(shared);
            return Err(io_error("cannot seal", &segment.name)(error));
        }
        self.metrics.bytes_written += footer.len() as u64;
        self.unsynced.clear();
        self.active = None;
        self.previous_len = data_end;
        retire_active(shared, data_end + footer.len() as u64);
        Ok(())
    }

    /// Begins a segment. The file and its name are durable before any record is written to it.
    fn begin_segment(&mut self, shared: &SharedView) -> Result<(), StoreError> {
        let numbers = SegmentNumbers { first: self.next_segment, last: self.next_segment };
        let name = plan::segment_name(numbers);
        let header = Header {
            numbers,
            salt: self.salt,
            previous_len: self.previous_len,
            first_seq: self.next_seq,
            is_merged: false,
        };
        let file = self.create_file(&name)?;
        self.obsolete_files.retain(|old| *old != name); // the name is in use again
        let written = write_all(&*file, 0, &header.encode()).and_then(|()| file.sync());
        written.and_then(|()| self.disk.sync_dir()).map_err(io_error("cannot create segment", &name))?;
        let segment = Arc::new(Segment { name, numbers, salt: self.salt, file });
        lock(shared).active = Some(segment.clone());
        self.next_segment += 1;
        self.active = Some(ActiveSegment::new(segment));
        Ok(())
    }

    fn create_file(&self, name: &str) -> Result<Arc<dyn DiskFile>, StoreError> {
        match self.disk.create(name) {
            // A failed attempt left this file behind; it holds nothing valid.
            Err(error) if error.kind() == std::io::ErrorKind::AlreadyExists => {
                self.disk.remove(name).map_err(io_error("cannot remove", name))?;
                self.disk.create(name).map_err(io_error("cannot create", name))
            }
            created => created.map_err(io_error("cannot create", name)),
        }
    }

    /// Plans a compaction of all segments; `None` if there are none.
    pub fn plan_full_compaction(&self, view: &View, now: UnixMillis) -> Option<Compaction> {
        let segments = segment_usage(view, now).len();
        if segments == 0 { None } else { self.compaction_of(view, 0..segments, SegmentSet::All, now) }
    }

    /// Plans a compaction of the segments for which it pays off; `None` if there are none.
    pub fn plan_compaction(&self, view: &View, now: UnixMillis) -> Option<Compaction> {
        let range = plan::range_to_compact(&segment_usage(view, now), self.min_dead_bytes())?;
        self.compaction_of(view, range, SegmentSet::Some, now)
    }

    /// A compaction of the segments at these positions.
    pub(crate) fn compaction_of(
        &self,
        view: &View,
        range: Range<usize>,
        set: SegmentSet,
        now: UnixMillis,
    ) -> Option<Compaction> {
        // A merge of all segments covers every number used so far, including those of lost segments.
        let last = self.active.is_none().then(|| self.next_segment - 1);
        let selection = SegmentSelection::new(view, range, set, last)?;
        let SegmentNumbers { first, last } = selection.numbers;
        let salt = splitmix64(self.salt ^ first.rotate_left(17) ^ last.rotate_left(40) ^ now);
        Some(Compaction { disk: self.disk.clone(), selection, now, salt, next_seq: self.next_seq })
    }

    /// Replaces the source segments of a compaction by the merged segment.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; no acknowledged write is lost then.
    pub fn install(&mut self, shared: &SharedView, merged: MergedSegment) -> Result<(), StoreError> {
        let MergedSegment { run, unfinished_name, replaced, bytes } = merged;
        let name = run.segment.name.clone();
        self.disk.rename(&unfinished_name, &name).map_err(io_error("cannot rename", &unfinished_name))?;
        self.obsolete_files.retain(|old| *old != name);
        let durable = self.disk.sync_dir();
        self.metrics.bytes_written += bytes;
        self.metrics.compactions += 1;
        replace_layers(&mut lock(shared).layers, Layer::Run(run));
        // The old files must stay until the new name is durable.
        durable.map_err(io_error("cannot sync", &name))?;
        self.obsolete_files.extend(replaced.into_iter().filter(|old| *old != name));
        self.remove_obsolete_files();
        Ok(())
    }
}

/// Replaces the layers that a merged segment covers by its layer.
fn replace_layers(layers: &mut Vec<Layer>, merged: Layer) {
    let Some(numbers) = merged.run().map(|run| run.segment.numbers) else { return };
    let is_covered = |layer: &Layer| layer.run().is_some_and(|run| numbers.covers(run.segment.numbers));
    let from = layers.iter().position(is_covered).unwrap_or(0);
    let to = layers.iter().rposition(is_covered).map_or(from, |last| last + 1);
    layers.splice(from..to, [merged]);
    if numbers.first == 1 {
        layers.drain(..from); // no record is older, so earlier damaged regions hide nothing
    }
}
