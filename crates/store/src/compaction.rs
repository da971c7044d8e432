//! Compaction: segments that change no more are merged into one that has only what still counts.

use crate::UnixMillis;
use crate::disk::{Disk, DiskFile};
use crate::error::{StoreError, io_error};
use crate::format::{Header, Operation, SegmentNumbers};
use crate::index::{Run, RunBuilder, Segment, Step, View, Walk, runs};
use crate::merged_file::MergedFile;
use crate::plan;
use crate::segment_loader::read_header;
use crate::segment_usage::segment_names;
use std::ops::Range;
use std::sync::Arc;

/// Whether a compaction leaves segments out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentSet {
    All,
    Some,
}

/// What a compaction does with records that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamagedRecords {
    /// It fails, and changes nothing.
    Refuse,
    /// It leaves them out: they are lost for good.
    Drop,
}

/// A compaction to be done: it reads segments that change no more, and needs no lock.
pub struct Compaction {
    pub(crate) disk: Arc<dyn Disk>,
    pub(crate) selection: SegmentSelection,
    /// What has expired by then is left out.
    pub(crate) now: UnixMillis,
    /// The salt of the merged segment.
    pub(crate) salt: u64,
    /// The number of the next operation.
    pub(crate) next_seq: u64,
}

/// A merged segment, whole and durable under a name that does not count yet.
pub struct MergedSegment {
    pub(crate) run: Arc<Run>,
    pub(crate) unfinished_name: String,
    /// The names of the segments that it replaces.
    pub(crate) replaced: Vec<String>,
    pub(crate) bytes: u64,
}

/// The segments that a compaction merges, and those it must not contradict.
pub(crate) struct SegmentSelection {
    /// The numbers that the merged segment will stand for.
    pub(crate) numbers: SegmentNumbers,
    merged: Vec<Arc<Run>>,
    older: Vec<Arc<Run>>,
    /// The layers in which damage is looked up; empty where some segments only are merged.
    damage_view: View,
}

impl SegmentSelection {
    /// The segments at these positions; `last_number` is the number of the last segment there was, if none is active. `None`
    /// where there are none.
    pub(crate) fn new(
        view: &View,
        range: Range<usize>,
        set: SegmentSet,
        last_number: Option<u64>,
    ) -> Option<SegmentSelection> {
        // Damaged regions between the runs belong to damaged segments, which are merged only all together.
        let runs: Vec<Arc<Run>> = runs(&view.layers).cloned().collect();
        let names = segment_names(&runs);
        let is_selected = |run: &&Arc<Run>| names[range.clone()].contains(&run.segment.name);
        let merged: Vec<Arc<Run>> = runs.iter().filter(is_selected).cloned().collect();
        let first = merged.first()?.segment.numbers.first;
        let last = merged.last()?.segment.numbers.last;
        let older = runs.iter().take_while(|run| run.segment.numbers.first < first).cloned().collect();
        let (numbers, damage_view) = match set {
            SegmentSet::All => (SegmentNumbers { first: 1, last: last_number.unwrap_or(last) }, view.clone()),
            SegmentSet::Some => (SegmentNumbers { first, last }, View::default()),
        };
        Some(SegmentSelection { numbers, merged, older, damage_view })
    }

    /// Whether damage may hide a newer record of a key than those that are merged.
    fn may_hide_newer(&self, key: &[u8]) -> bool {
        !self.damage_view.layers.is_empty() && self.damage_view.find(key).is_err()
    }

    /// Whether there is a record of a key below the segments that are merged.
    fn has_older(&self, key: &[u8]) -> bool {
        self.older.iter().any(|run| run.find(key).is_some())
    }
}

impl Compaction {
    /// Writes the merged segment.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; [`StoreError::NeedsRepair`] and [`StoreError::Damaged`] where damage is refused. Nothing has
    /// changed then.
    pub fn run(&self, damaged: DamagedRecords) -> Result<MergedSegment, StoreError> {
        let (numbers, salt) = (self.selection.numbers, self.salt);
        let unfinished_name = plan::unfinished_name(numbers);
        let _ = self.disk.remove(&unfinished_name); // of an attempt that failed
        let file = self.disk.create(&unfinished_name).map_err(io_error("cannot create", &unfinished_name))?;
        let written = self.write(&*file, &unfinished_name, damaged);
        let (builder, bytes) = written.inspect_err(|_| {
            let _ = self.disk.remove(&unfinished_name);
        })?;
        let segment = Arc::new(Segment { name: plan::segment_name(numbers), numbers, salt, file });
        let run = Arc::new(builder.finish_sorted(segment, bytes));
        Ok(MergedSegment { run, unfinished_name, replaced: segment_names(&self.selection.merged), bytes })
    }

    /// Writes all that still counts. Returns the index and the length of the file.
    fn write(
        &self,
        file: &dyn DiskFile,
        name: &str,
        damaged: DamagedRecords,
    ) -> Result<(RunBuilder, u64), StoreError> {
        let first = &self.selection.merged[0].segment;
        let first_header = read_header(&*first.file, &first.name)?;
        let header = Header {
            numbers: self.selection.numbers,
            salt: self.salt,
            previous_len: first_header.map_or(0, |decoded| decoded.header.previous_len),
            first_seq: 0,
            is_merged: true,
        };
        let mut output = MergedFile::new(file, name, header, self.now);
        for step in Walk::of_runs(&self.selection.merged) {
            if let Some(operation) = self.operation(step, damaged)? {
                output.add(operation)?;
            }
        }
        output.finish(self.next_seq)
    }

    /// The operation that is kept of a key, if any.
    fn operation(&self, step: Step, damaged: DamagedRecords) -> Result<Option<Operation>, StoreError> {
        if self.selection.may_hide_newer(&step.key) {
            return match damaged {
                DamagedRecords::Drop => Ok(None),
                DamagedRecords::Refuse => Err(StoreError::NeedsRepair(1)),
            };
        }
        let read = step.hit.read(&step.key);
        let value = match read {
            _ if step.hit.location.is_expired(self.now) => None,
            Ok(value) => value,
            Err(StoreError::Damaged { .. }) if damaged == DamagedRecords::Drop => None,
            Err(error) => return Err(error),
        };
        // A tombstone is needed only as long as something older is there to be deleted.
        if value.is_none() && !self.selection.has_older(&step.key) {
            return Ok(None);
        }
        let expires_at = step.hit.location.expires_at.filter(|_| value.is_some());
        Ok(Some(Operation { key: step.key, value, expires_at }))
    }
}
