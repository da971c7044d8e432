//! Compaction: sealed segments are merged into one that holds only live records and the tombstones that are still needed.

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

/// Whether a compaction merges all segments or some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentSet {
    All,
    Some,
}

/// How a compaction treats damaged records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamagedRecords {
    /// The compaction fails and changes nothing.
    Refuse,
    /// The compaction drops damaged records, which are lost for good.
    Drop,
}

/// A planned compaction. A compaction reads sealed segments only, and needs no lock.
pub struct Compaction {
    pub(crate) disk: Arc<dyn Disk>,
    pub(crate) selection: SegmentSelection,
    /// Records that expired by this time are dropped.
    pub(crate) now: UnixMillis,
    /// The salt of the merged segment.
    pub(crate) salt: u64,
    /// The sequence number of the next operation.
    pub(crate) next_seq: u64,
}

/// A merged segment that is complete and durable, but still has the name of an unfinished file.
pub struct MergedSegment {
    pub(crate) run: Arc<Run>,
    pub(crate) unfinished_name: String,
    /// The names of the segments that it replaces.
    pub(crate) replaced: Vec<String>,
    pub(crate) bytes: u64,
}

/// The segments that a compaction merges, and the layers that it must take into account.
pub(crate) struct SegmentSelection {
    /// The numbers that the merged segment will cover.
    pub(crate) numbers: SegmentNumbers,
    merged: Vec<Arc<Run>>,
    /// The runs below the merged ones, whose records the tombstones may still have to hide.
    older: Vec<Arc<Run>>,
    /// The layers in which damage is looked up; empty if only some segments are merged.
    damage_view: View,
}

impl SegmentSelection {
    /// Selects the segments at these positions; `None` if there are none. `last_number` is the last segment number used so
    /// far, or `None` while a segment is active.
    pub(crate) fn new(
        view: &View,
        range: Range<usize>,
        set: SegmentSet,
        last_number: Option<u64>,
    ) -> Option<SegmentSelection> {
        // Damaged regions between the runs belong to damaged segments, which are merged only in a compaction of all segments.
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

    /// Whether damage may hide a newer record of a key than the merged ones.
    fn may_hide_newer(&self, key: &[u8]) -> bool {
        !self.damage_view.layers.is_empty() && self.damage_view.find(key).is_err()
    }

    /// Whether there is a record of a key below the merged segments.
    fn has_older(&self, key: &[u8]) -> bool {
        self.older.iter().any(|run| run.find(key).is_some())
    }
}

impl Compaction {
    /// Writes the merged segment.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; [`StoreError::NeedsRepair`] and [`StoreError::Damaged`] if `damaged` is
    /// [`DamagedRecords::Refuse`]. The store is unchanged then.
    pub fn run(&self, damaged: DamagedRecords) -> Result<MergedSegment, StoreError> {
        let (numbers, salt) = (self.selection.numbers, self.salt);
        let unfinished_name = plan::unfinished_name(numbers);
        let _ = self.disk.remove(&unfinished_name); // left over from a failed attempt
        let file = self.disk.create(&unfinished_name).map_err(io_error("cannot create", &unfinished_name))?;
        let written = self.write(&*file, &unfinished_name, damaged);
        let (builder, bytes) = written.inspect_err(|_| {
            let _ = self.disk.remove(&unfinished_name);
        })?;
        let segment = Arc::new(Segment { name: plan::segment_name(numbers), numbers, salt, file });
        let run = Arc::new(builder.finish_sorted(segment, bytes));
        Ok(MergedSegment { run, unfinished_name, replaced: segment_names(&self.selection.merged), bytes })
    }

    /// Writes all operations that are kept. Returns the index and the length of the file in bytes.
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

    /// The operation to keep for a key, if any.
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
        // A tombstone is needed only as long as there is an older record of the key.
        if value.is_none() && !self.selection.has_older(&step.key) {
            return Ok(None);
        }
        let expires_at = step.hit.location.expires_at.filter(|_| value.is_some());
        Ok(Some(Operation { key: step.key, value, expires_at }))
    }
}
