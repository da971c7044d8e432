//! Recovery: which files of a directory count, and the index that follows from them. Nothing is changed.

use crate::UnixMillis;
use crate::disk::{Disk, DiskFile};
use crate::error::{StoreError, io_error};
use crate::format::{self, HEADER_LEN, Header, HeaderFault, SegmentNumbers};
use crate::index::{DamagedRegion, Layer};
use crate::plan::{self, Tiling};
use crate::segment_loader::{self, LoadedSegment, Successor};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most threads that read segments.
const MAX_READERS: usize = 4;

/// One place that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: String,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// What is damaged.
    pub what: String,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: offset {}: {}", self.file, self.offset, self.what)
    }
}

/// What was found when a store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Segments that count.
    pub segments: usize,
    /// Keys in them; one that is in two segments counts twice.
    pub keys: usize,
    /// Bytes of writes at the end that were never acknowledged, and are left out.
    pub torn_bytes: u64,
    /// Damage to what was acknowledged.
    pub damage: Vec<Damage>,
    /// Damage that costs nothing: an index that could be read from the records instead.
    pub warnings: Vec<Damage>,
    /// Files that were left behind by a compaction that was cut off.
    pub leftovers: usize,
}

/// A directory that was opened.
pub struct OpenedDirectory {
    pub layers: Vec<Layer>,
    pub recovery: Recovery,
    /// The number of the next segment.
    pub next_segment: u64,
    pub next_seq: u64,
    /// The latest time that a segment names.
    pub written_at: UnixMillis,
    /// Up to where the last segment is valid, in bytes.
    pub last_end: u64,
    /// Files that may be removed: replaced by a merged segment, or left unfinished.
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

    /// Whether it was cut off before anything in it could have been acknowledged.
    fn is_stillborn(&self) -> bool {
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
        let tiling = plan::tile(candidates.clone());
        let segments: Vec<OpenedSegment> = tiling
            .kept
            .iter()
            .map(|numbers| OpenedSegment::open(disk, *numbers))
            .collect::<Result<_, _>>()?;
        // The last one may have been cut off when it was begun: then the one before it is the last that counts, and its end
        // may be torn.
        if let Some(stillborn) = segments.last().filter(|last| last.is_stillborn()) {
            leftovers.push(stillborn.name.clone());
            candidates.retain(|numbers| plan::segment_name(*numbers) != stillborn.name);
            continue;
        }
        let loaded = load_all(&segments)?;
        if let Some(damaged) = replaceable_damaged(&tiling, &loaded) {
            candidates.retain(|numbers| *numbers != damaged);
            continue;
        }
        leftovers.extend(tiling.replaced.iter().map(|numbers| plan::segment_name(*numbers)));
        return Ok(assemble(&tiling, segments, loaded, leftovers));
    }
}

/// A damaged merged segment all of whose predecessors are still there: they count in its place.
fn replaceable_damaged(tiling: &Tiling, loaded: &[Option<LoadedSegment>]) -> Option<SegmentNumbers> {
    let is_damaged =
        |loaded: &Option<LoadedSegment>| loaded.as_ref().is_none_or(|loaded| !loaded.damage.is_empty());
    let damaged = tiling.kept.iter().zip(loaded).filter(|(_, loaded)| is_damaged(loaded));
    damaged.map(|(numbers, _)| *numbers).find(|numbers| is_covered(*numbers, &tiling.replaced))
}

/// Whether these segments stand for all the numbers without a gap.
fn is_covered(numbers: SegmentNumbers, replaced: &[SegmentNumbers]) -> bool {
    let tiling = plan::tile(replaced.iter().copied().filter(|part| numbers.covers(*part)).collect());
    tiling.kept.first().is_some_and(|first| first.first == numbers.first)
        && tiling.kept.last().is_some_and(|last| last.last == numbers.last)
        && tiling.gaps.iter().all(|gap| gap.last < numbers.first)
}

/// Loads the segments, `None` for those whose header cannot be read. Several threads share the work.
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
        Some(Ok(next)) => Successor::Sound { previous_len: next.previous_len },
        Some(Err(_)) => Successor::HeaderLost,
        None => Successor::Missing,
    };
    segment_loader::load(file, name, *header, successor).map(Some)
}

fn assemble(
    tiling: &Tiling,
    segments: Vec<OpenedSegment>,
    loaded: Vec<Option<LoadedSegment>>,
    leftovers: Vec<String>,
) -> OpenedDirectory {
    let mut opened = OpenedDirectory {
        layers: Vec::new(),
        recovery: Recovery { leftovers: leftovers.len(), ..Recovery::default() },
        next_segment: tiling.kept.last().map_or(1, |last| last.last + 1),
        next_seq: 1,
        written_at: 0,
        last_end: 0,
        leftovers,
    };
    for ((numbers, segment), loaded) in tiling.kept.iter().zip(segments).zip(loaded) {
        if let Some(gap) = tiling.gaps.iter().find(|gap| gap.last + 1 == numbers.first) {
            let SegmentNumbers { first, last } = gap;
            let what = format!("segments {first} to {last} are missing; which keys they had is not known");
            opened.add_lost(plan::segment_name(*gap), what);
        }
        match loaded {
            Some(loaded) => opened.add_segment(loaded),
            None => {
                let what = "its header is damaged: it cannot be read; which keys it had is not known";
                opened.add_lost(segment.name, what.to_owned());
                opened.last_end = segment.file.len().unwrap_or(0);
            }
        }
    }
    opened
}

impl OpenedDirectory {
    /// Adds a whole file that cannot be read.
    fn add_lost(&mut self, file: String, what: String) {
        self.recovery.damage.push(Damage { file: file.clone(), offset: 0, what });
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
