//! Recovery: determines which files of a directory are valid, and builds the index from them. It changes nothing on disk.

use crate::UnixMillis;
use crate::disk::{Disk, DiskFile};
use crate::error::{StoreError, io_error};
use crate::format::{self, HEADER_LEN, Header, HeaderFault, SegmentNumbers};
use crate::index::{DamagedRegion, Layer};
use crate::plan::{self, ClassifiedSegments};
use crate::segment_loader::{self, LoadedSegment, Successor};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The maximum number of threads that read segments.
const MAX_READERS: usize = 4;

/// One damaged place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The name of the file.
    pub file: String,
    /// The offset of the damage, in bytes.
    pub offset: u64,
    /// A description of the damage.
    pub description: String,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: offset {}: {}", self.file, self.offset, self.description)
    }
}

/// What recovery found when a store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The number of valid segments.
    pub segments: usize,
    /// The number of keys in these segments; a key in two segments counts twice.
    pub keys: usize,
    /// Bytes of unacknowledged writes at the end of the log, which are ignored.
    pub torn_bytes: u64,
    /// Damage to acknowledged writes.
    pub damage: Vec<Damage>,
    /// Damage without loss of data, such as an index that was rebuilt from the records.
    pub warnings: Vec<Damage>,
    /// The number of files that an interrupted compaction left behind.
    pub leftovers: usize,
}

/// The contents of an opened directory.
pub struct OpenedDirectory {
    pub layers: Vec<Layer>,
    pub recovery: Recovery,
    /// The number of the next segment.
    pub next_segment: u64,
    /// The sequence number of the next operation.
    pub next_seq: u64,
    /// The latest time recorded in a segment.
    pub written_at: UnixMillis,
    /// The valid length of the last segment, in bytes.
    pub last_end: u64,
    /// Files that may be removed: those replaced by a merged segment, and unfinished ones.
    pub leftovers: Vec<String>,
}

/// A segment's file with its header.
struct OpenedSegment {
    name: String,
    file: Arc<dyn DiskFile>,
    header: Result<Header, HeaderFault>,
}

impl OpenedSegment {
    fn open(disk: &dyn Disk, numbers: SegmentNumbers) -> Result<OpenedSegment, StoreError> {
        let name = plan::segment_name(numbers);
        let file = disk.open(&name).map_err(io_error("cannot open", &name))?;
        let header = segment_loader::read_header(&*file, &name)?.map(|decoded| decoded.header);
        if let Err(HeaderFault::Version(found)) = header {
            return Err(StoreError::Version { file: name, found, known: format::VERSION });
        }
        Ok(OpenedSegment { name, file, header })
    }

    /// Whether the file ends before its first frame, so that it holds no acknowledged write.
    fn is_incomplete(&self) -> bool {
        self.header.is_err() && self.file.len().is_ok_and(|len| len <= HEADER_LEN as u64)
    }
}

/// Reads all segments of a directory.
pub fn open(disk: &dyn Disk) -> Result<OpenedDirectory, StoreError> {
    let names = disk.list().map_err(io_error("cannot list", &disk.name()))?;
    let mut candidates: Vec<SegmentNumbers> =
        names.iter().filter_map(|name| plan::segment_numbers(name)).collect();
    let mut leftovers: Vec<String> =
        names.iter().filter(|name| plan::is_unfinished_name(name)).cloned().collect();
    loop {
        let classified = plan::classify_segments(candidates.clone());
        let segments: Vec<OpenedSegment> = classified
            .kept
            .iter()
            .map(|numbers| OpenedSegment::open(disk, *numbers))
            .collect::<Result<_, _>>()?;
        // The last segment may have been interrupted while it was created. The segment before it is then the last valid
        // one, whose end may be torn.
        if let Some(incomplete) = segments.last().filter(|last| last.is_incomplete()) {
            leftovers.push(incomplete.name.clone());
            candidates.retain(|numbers| plan::segment_name(*numbers) != incomplete.name);
            continue;
        }
        let loaded = load_all(&segments)?;
        if let Some(damaged) = replaceable_damaged(&classified, &loaded) {
            candidates.retain(|numbers| *numbers != damaged);
            continue;
        }
        leftovers.extend(classified.replaced.iter().map(|numbers| plan::segment_name(*numbers)));
        return Ok(assemble(&classified, segments, loaded, leftovers));
    }
}

/// A damaged merged segment whose source segments are all still present: they are used in its place.
fn replaceable_damaged(
    classified: &ClassifiedSegments,
    loaded: &[Option<LoadedSegment>],
) -> Option<SegmentNumbers> {
    let is_damaged =
        |loaded: &Option<LoadedSegment>| loaded.as_ref().is_none_or(|loaded| !loaded.damage.is_empty());
    let damaged = classified.kept.iter().zip(loaded).filter(|(_, loaded)| is_damaged(loaded));
    damaged.map(|(numbers, _)| *numbers).find(|numbers| is_covered(*numbers, &classified.replaced))
}

/// Whether the replaced segments cover all these numbers without a gap.
fn is_covered(numbers: SegmentNumbers, replaced: &[SegmentNumbers]) -> bool {
    let classified =
        plan::classify_segments(replaced.iter().copied().filter(|part| numbers.covers(*part)).collect());
    classified.kept.first().is_some_and(|first| first.first == numbers.first)
        && classified.kept.last().is_some_and(|last| last.last == numbers.last)
        && classified.gaps.iter().all(|gap| gap.last < numbers.first)
}

/// Loads the segments with several threads. The result is `None` for segments whose header cannot be read.
fn load_all(segments: &[OpenedSegment]) -> Result<Vec<Option<LoadedSegment>>, StoreError> {
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get().min(MAX_READERS));
    let threads = cores.min(segments.len());
    if threads < 2 {
        return (0..segments.len()).map(|index| load_one(segments, index)).collect();
    }
    let next = AtomicUsize::new(0);
    let read = || {
        let mut loaded = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= segments.len() {
                return loaded;
            }
            loaded.push((index, load_one(segments, index)));
        }
    };
    let mut all: Vec<(usize, Result<Option<LoadedSegment>, StoreError>)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(read)).collect();
        handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(index, _)| *index);
    all.into_iter().map(|(_, loaded)| loaded).collect()
}

fn load_one(segments: &[OpenedSegment], index: usize) -> Result<Option<LoadedSegment>, StoreError> {
    let OpenedSegment { name, file, header: Ok(header) } = &segments[index] else { return Ok(None) };
    let successor = match segments.get(index + 1).map(|next| &next.header) {
        Some(Ok(next)) => Successor::Intact { previous_len: next.previous_len },
        Some(Err(_)) => Successor::HeaderLost,
        None => Successor::Missing,
    };
    segment_loader::load(file, name, *header, successor).map(Some)
}

fn assemble(
    classified: &ClassifiedSegments,
    segments: Vec<OpenedSegment>,
    loaded: Vec<Option<LoadedSegment>>,
    leftovers: Vec<String>,
) -> OpenedDirectory {
    let mut opened = OpenedDirectory {
        layers: Vec::new(),
        recovery: Recovery { leftovers: leftovers.len(), ..Recovery::default() },
        next_segment: classified.kept.last().map_or(1, |last| last.last + 1),
        next_seq: 1,
        written_at: 0,
        last_end: 0,
        leftovers,
    };
    for ((numbers, segment), loaded) in classified.kept.iter().zip(segments).zip(loaded) {
        if let Some(gap) = classified.gaps.iter().find(|gap| gap.last + 1 == numbers.first) {
            let SegmentNumbers { first, last } = gap;
            let description = format!("segments {first} to {last} are missing; their keys are unknown");
            opened.add_lost(plan::segment_name(*gap), description);
        }
        match loaded {
            Some(loaded) => opened.add_segment(loaded),
            None => {
                let description =
                    "the header is damaged, so that the segment cannot be read; its keys are unknown";
                opened.add_lost(segment.name, description.to_owned());
                opened.last_end = segment.file.len().unwrap_or(0);
            }
        }
    }
    opened
}

impl OpenedDirectory {
    /// Adds a file of which nothing can be read.
    fn add_lost(&mut self, file: String, description: String) {
        self.recovery.damage.push(Damage { file: file.clone(), offset: 0, description });
        let region = DamagedRegion { file, offset: 0, fingerprints: None };
        self.layers.push(Layer::Damaged(Arc::new(region)));
    }

    fn add_segment(&mut self, loaded: LoadedSegment) {
        self.recovery.segments += 1;
        self.recovery.torn_bytes += loaded.torn_bytes;
        self.recovery.damage.extend(loaded.damage);
        self.recovery.warnings.extend(loaded.warnings);
        self.recovery.keys += loaded.layers.iter().filter_map(Layer::run).map(|run| run.len()).sum::<usize>();
        self.layers.extend(loaded.layers);
        self.next_seq = self.next_seq.max(loaded.next_seq);
        self.written_at = self.written_at.max(loaded.written_at);
        self.last_end = loaded.end;
    }
}
