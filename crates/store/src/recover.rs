//! What a start makes of the files that it finds.

use crate::disk::{Disk, DiskFile, read_range};
use crate::error::{StoreError, io_error};
use crate::format::{self, Found, Header, HeaderFault};
use crate::index::{Doubt, Layer, Run, RunBuilder, Segment};
use crate::plan;
use rustc_hash::FxHashSet;
use std::sync::Arc;

/// One place that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: String,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// What is the matter.
    pub what: String,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: offset {}: {}", self.file, self.offset, self.what)
    }
}

/// What a start found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Segments that count.
    pub segments: usize,
    /// Keys in them, those counted twice that stand in two.
    pub lines: usize,
    /// Bytes of writes at the end that were never acknowledged, and are left out.
    pub torn: u64,
    /// Damage to what was acknowledged.
    pub damage: Vec<Damage>,
    /// Damage that costs nothing: an index that could be read from the records instead.
    pub notes: Vec<Damage>,
    /// Files that were left behind by a compaction that was cut off.
    pub leftovers: usize,
}

/// A place where something cannot be read, while scanning.
#[derive(Clone, Debug, PartialEq)]
pub struct Hole {
    pub from: usize,
    pub to: usize,
    /// The fingerprints of the keys that were there, if it is one frame whose successor is whole.
    pub prints: Option<Vec<u64>>,
}

/// What a walk through the frames of a segment met.
#[derive(Debug)]
pub enum Met {
    Frame { offset: usize, head: format::FrameHead },
    Hole(Hole),
}

/// The frames of a segment and the holes between them.
#[derive(Debug, Default)]
pub struct Scan {
    pub met: Vec<Met>,
    /// Where what counts ends.
    pub end: usize,
    /// Bytes behind it that do not count.
    pub torn: usize,
    /// A footer begins at `end`.
    pub footer: bool,
    pub next_seq: u64,
    pub stamp: u64,
}

/// Walks through the frames. `limit`: up to where the segment is to be believed, where its successor says so; without
/// one the end may be torn, and the first hole that no later frame calls durable is where the segment ends.
pub fn scan(bytes: &[u8], salt: u64, limit: Option<u64>, first_seq: u64) -> Scan {
    let most = limit.map_or(bytes.len(), |l| (l as usize).min(bytes.len()));
    let bytes = &bytes[..most];
    let (mut out, mut offset, mut durable) =
        (Scan { next_seq: first_seq, ..Scan::default() }, format::HEADER, 0);
    while offset < bytes.len() {
        let found = format::look(bytes, salt, offset);
        if let Found::Frame(head) = found {
            if let Some(Met::Hole(hole)) = out.met.last_mut() {
                let body = &bytes[offset + format::FRAME_HEAD..];
                let missing = head.seq.saturating_sub(out.next_seq);
                hole.prints =
                    format::prints(body).map(|p| p.0).filter(|p| !p.is_empty() && p.len() as u64 == missing);
            }
            durable = durable.max(head.durable as usize);
            (out.next_seq, out.stamp) = (head.seq + u64::from(head.count), out.stamp.max(head.stamp));
            out.met.push(Met::Frame { offset, head });
            offset += format::FRAME_HEAD + head.body as usize;
            continue;
        }
        if found == Found::Footer {
            out.footer = true;
            break;
        }
        let after = match found {
            Found::Broken(head) => Some(offset + format::FRAME_HEAD + head.body as usize),
            _ => None,
        };
        let sound = |at: &usize| format::look(bytes, salt, *at) != Found::Nothing;
        let next = after.filter(sound).or_else(|| format::resync(bytes, salt, offset + 1));
        let to = next.unwrap_or(bytes.len());
        out.met.push(Met::Hole(Hole { from: offset, to, prints: None }));
        offset = to;
    }
    out.end = offset;
    if limit.is_none() {
        let torn = out.met.iter().position(|met| matches!(met, Met::Hole(h) if h.from >= durable));
        if let Some(n) = torn
            && let Met::Hole(hole) = &out.met[n]
        {
            // Zeros are what was written ahead, or what a file system left behind a cut write.
            let zeros = bytes[hole.from..offset].iter().rev().take_while(|b| **b == 0).count();
            (out.torn, out.end) = (offset - hole.from - zeros, hole.from);
            out.met.truncate(n);
            let last = out.met.iter().rev().find_map(|m| match m {
                Met::Frame { head, .. } => Some(head.seq + u64::from(head.count)),
                Met::Hole(_) => None,
            });
            out.next_seq = last.unwrap_or(first_seq);
        }
    }
    out
}

/// One segment, read.
pub struct Loaded {
    pub layers: Vec<Layer>,
    pub damage: Vec<Damage>,
    pub notes: Vec<Damage>,
    pub torn: u64,
    pub next_seq: u64,
    pub stamp: u64,
    /// Up to where it is to be believed, in bytes.
    pub end: u64,
}

/// Reads a header.
pub fn header(file: &dyn DiskFile, name: &str) -> Result<Result<(Header, bool), HeaderFault>, StoreError> {
    let bytes = read_range(file, 0, format::HEADER).map_err(io_error("cannot read", name))?;
    Ok(Header::decode(&bytes))
}

/// Reads the index of one segment: from its footer, or by a scan where it has none that is whole.
pub fn load(
    file: Arc<dyn DiskFile>,
    name: &str,
    header: Header,
    limit: Option<u64>,
    last: bool,
) -> Result<Loaded, StoreError> {
    let io = |what| io_error(what, name);
    let len = file.len().map_err(io("cannot read"))?;
    let (lo, hi, salt) = (header.lo, header.hi, header.salt);
    let segment = Arc::new(Segment { name: name.to_owned(), lo, hi, salt, file: file.clone() });
    let damaged = |offset: u64, what: &str| Damage { file: name.to_owned(), offset, what: what.to_owned() };
    let at = len.saturating_sub(format::TRAILER as u64);
    let tail = read_range(&*file, at, format::TRAILER).map_err(io("cannot read"))?;
    let (mut damage, mut notes) = (Vec::new(), Vec::new());
    // A footer that its successor does not go by was written in a try that failed.
    let counts = |end: u64| header.merged || limit.is_none_or(|limit| limit == end);
    if let Some((trailer, entries_len, sum)) = format::trailer(&tail, salt).filter(|t| counts(t.0.data_end)) {
        let start = trailer.data_end + format::FOOTER_HEAD as u64;
        let bytes = read_range(&*file, start, entries_len as usize).map_err(io("cannot read"))?;
        let mut builder = RunBuilder::with_room(trailer.count as usize, bytes.len());
        let ends = start + u64::from(entries_len) == at;
        if ends && format::entries(&bytes, salt, sum, trailer.count, |line| builder.add(line)).is_some() {
            let layers = vec![Layer::Run(Arc::new(builder.finish(segment, len, true)))];
            let (next_seq, stamp, end) = (trailer.next_seq, trailer.stamp, trailer.data_end);
            return Ok(Loaded { layers, damage: Vec::new(), notes, torn: 0, next_seq, stamp, end });
        }
        notes.push(damaged(trailer.data_end, "its footer is damaged; the index was read from the records"));
    }
    // What its successor says does not hold for a segment that was merged meanwhile.
    let limit = if header.merged { Some(len) } else { limit.or((!last).then_some(len)) };
    let bytes = read_range(&*file, 0, len as usize).map_err(io("cannot read"))?;
    let scanned = scan(&bytes, salt, limit, header.first_seq);
    // A footer that was cut while it was written closed nothing yet: that is no damage.
    let written = format::footer_len(&bytes, salt, scanned.end).map(|n| scanned.end + n == bytes.len());
    let cut = written != Some(true) || tail.last() == Some(&0);
    if notes.is_empty() && !cut {
        notes.push(damaged(scanned.end as u64, "its footer is damaged; the index was read from the records"));
    }
    let mut layers = Vec::new();
    let mut builder = RunBuilder::with_room(0, 0);
    let close = |builder: &mut RunBuilder, layers: &mut Vec<Layer>| {
        if !builder.is_empty() {
            let run = std::mem::take(builder).finish(segment.clone(), len, false);
            layers.push(Layer::Run(Arc::new(run)));
        }
    };
    for met in &scanned.met {
        match met {
            Met::Frame { offset, head } => {
                let start = offset + format::FRAME_HEAD;
                let body = &bytes[start..start + head.body as usize];
                let read = each_record(body, salt, |record, at| {
                    builder.add(format::Line {
                        key: record.key,
                        offset: (start + at) as u32,
                        len: record.len as u32,
                        deletes: record.value.is_none(),
                        expires: record.expires,
                    });
                });
                if read != Some(head.count) {
                    damage.push(damaged(*offset as u64, "a frame whose records do not fit its checksum"));
                }
            }
            Met::Hole(hole) => {
                // The region behind the last frame of a sealed segment is its footer, not records.
                if notes.first().is_some_and(|n: &Damage| n.offset == hole.from as u64) {
                    continue;
                }
                close(&mut builder, &mut layers);
                let known = hole.prints.as_ref().map(|p| p.iter().copied().collect::<FxHashSet<u64>>());
                let what = match &known {
                    Some(keys) => {
                        format!("{} bytes of records are damaged: {} keys", hole.to - hole.from, keys.len())
                    }
                    None => format!(
                        "{} bytes of records are damaged; which keys is not known",
                        hole.to - hole.from
                    ),
                };
                damage.push(damaged(hole.from as u64, &what));
                let doubt = Doubt { file: name.to_owned(), offset: hole.from as u64, prints: known };
                layers.push(Layer::Doubt(Arc::new(doubt)));
            }
        }
    }
    close(&mut builder, &mut layers);
    // A merged segment got its name with its footer: without one it was cut.
    if limit.is_some_and(|limit| len < limit) || (header.merged && damage.is_empty() && notes.is_empty()) {
        damage.push(damaged(len, "it is cut off: what was acknowledged is missing"));
        let doubt = Doubt { file: name.to_owned(), offset: len, prints: None };
        layers.push(Layer::Doubt(Arc::new(doubt)));
    }
    if !layers.iter().any(|l| matches!(l, Layer::Run(_))) {
        // An empty run keeps the segment's place.
        layers.push(Layer::Run(Arc::new(RunBuilder::default().finish(segment.clone(), len, true))));
    }
    let (torn, next_seq, end) = (scanned.torn as u64, scanned.next_seq, (scanned.end as u64).min(len));
    let stamp = scanned.stamp;
    Ok(Loaded { layers, damage, notes, torn, next_seq, stamp, end })
}

/// Goes through the records of a frame's body; how many there were, if it is well-formed.
pub fn each_record(body: &[u8], salt: u64, mut each: impl FnMut(format::Record<'_>, usize)) -> Option<u32> {
    let (_, mut at) = format::prints(body)?;
    let mut count = 0;
    while at < body.len() {
        let record = format::record(&body[at..], salt, false)?;
        let len = record.len;
        each(record, at);
        (at, count) = (at + len, count + 1);
    }
    Some(count)
}

/// The whole directory, read.
pub struct Opened {
    pub layers: Vec<Layer>,
    pub recovery: Recovery,
    /// The number of the next segment.
    pub next_id: u64,
    pub next_seq: u64,
    pub stamp: u64,
    /// Up to where the last segment is to be believed, in bytes.
    pub last_end: u64,
    /// Files that may go: replaced by a merged segment, or left unfinished.
    pub leftovers: Vec<String>,
}

/// Segments are read by so many threads at most.
const READERS: usize = 4;

type Opening = (String, Arc<dyn DiskFile>, Result<(Header, bool), HeaderFault>);

/// Reads all segments of a directory. Nothing is changed.
pub fn open(disk: &dyn Disk) -> Result<Opened, StoreError> {
    let names = disk.list().map_err(io_error("cannot list", &disk.name()))?;
    let mut all: Vec<(u64, u64)> = names.iter().filter_map(|n| plan::numbers(n)).collect();
    let mut leftovers: Vec<String> = names.iter().filter(|n| plan::is_unfinished(n)).cloned().collect();
    loop {
        let tiling = plan::tile(all.clone());
        let mut opened = Vec::new();
        for (lo, hi) in &tiling.keep {
            let name = plan::name(*lo, *hi);
            let file = disk.open(&name, false).map_err(io_error("cannot open", &name))?;
            let header = header(&*file, &name)?;
            if let Err(HeaderFault::Version(found)) = header {
                return Err(StoreError::Version { file: name, found, known: format::VERSION });
            }
            opened.push((name, file, header));
        }
        // The last one may have been cut off at its birth, before anything in it was acknowledged: then the one before it
        // is the last that counts, and its end may be torn.
        let stillborn = opened.last().filter(|(_, file, header)| {
            header.is_err() && file.len().is_ok_and(|len| len <= format::HEADER as u64)
        });
        if let Some((name, _, _)) = stillborn {
            leftovers.push(name.clone());
            all.retain(|(lo, hi)| plan::name(*lo, *hi) != *name);
            continue;
        }
        let loaded = load_all(&opened)?;
        // A merged segment that is damaged gives way to the segments it replaces, as long as all of them are there.
        let covered = |(lo, hi): (u64, u64)| {
            let parts: Vec<_> = tiling.replaced.iter().copied().filter(|p| p.0 >= lo && p.1 <= hi).collect();
            let tiles = plan::tile(parts.clone());
            tiles.keep.first().is_some_and(|f| f.0 == lo)
                && tiles.keep.last().is_some_and(|l| l.1 == hi)
                && tiles.gaps.iter().all(|g| g.1 < lo)
        };
        let damaged = |n: &usize| loaded[*n].as_ref().is_none_or(|l| !l.damage.is_empty());
        let worse = (0..loaded.len()).find(|n| damaged(n) && covered(tiling.keep[*n]));
        if let Some(n) = worse {
            all.retain(|s| *s != tiling.keep[n]);
            continue;
        }
        let replaced = tiling.replaced.iter().map(|(lo, hi)| plan::name(*lo, *hi));
        leftovers.extend(replaced);
        return Ok(assemble(&tiling, opened, loaded, leftovers));
    }
}

fn load_all(opened: &[Opening]) -> Result<Vec<Option<Loaded>>, StoreError> {
    let one = |n: usize| -> Result<Option<Loaded>, StoreError> {
        let (name, file, header) = &opened[n];
        let Ok((header, _)) = header else { return Ok(None) };
        let next = opened.get(n + 1).and_then(|next| next.2.as_ref().ok());
        // Where the successor's header is lost, what it said is too: all that is there is believed.
        load(file.clone(), name, *header, next.map(|h| h.0.prev_len), n + 1 == opened.len()).map(Some)
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(READERS)).min(opened.len());
    if threads < 2 {
        return (0..opened.len()).map(one).collect();
    }
    let (next, one) = (std::sync::atomic::AtomicUsize::new(0), &one);
    let read = || {
        let mut got = Vec::new();
        loop {
            let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if n >= opened.len() {
                return got;
            }
            got.push((n, one(n)));
        }
    };
    let mut all: Vec<(usize, Result<Option<Loaded>, StoreError>)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(read)).collect();
        handles.into_iter().flat_map(|h| h.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(n, _)| *n);
    all.into_iter().map(|(_, loaded)| loaded).collect()
}

fn assemble(
    tiling: &plan::Tiling,
    opened: Vec<Opening>,
    loaded: Vec<Option<Loaded>>,
    leftovers: Vec<String>,
) -> Opened {
    let mut out = Opened {
        layers: Vec::new(),
        recovery: Recovery { leftovers: leftovers.len(), ..Recovery::default() },
        next_id: tiling.keep.last().map_or(1, |l| l.1 + 1),
        next_seq: 1,
        stamp: 0,
        last_end: 0,
        leftovers,
    };
    for (n, (loaded, (name, file, _))) in loaded.into_iter().zip(opened).enumerate() {
        let (lo, _) = tiling.keep[n];
        if let Some((from, to)) = tiling.gaps.iter().find(|g| g.1 + 1 == lo) {
            let what = format!("segments {from} to {to} are missing; which keys they had is not known");
            out.recovery.damage.push(Damage { file: plan::name(*from, *to), offset: 0, what });
            let doubt = Doubt { file: plan::name(*from, *to), offset: 0, prints: None };
            out.layers.push(Layer::Doubt(Arc::new(doubt)));
        }
        let Some(loaded) = loaded else {
            let what = "its header is damaged: it cannot be read; which keys it had is not known".to_owned();
            out.recovery.damage.push(Damage { file: name.clone(), offset: 0, what });
            let doubt = Doubt { file: name, offset: 0, prints: None };
            out.layers.push(Layer::Doubt(Arc::new(doubt)));
            out.last_end = file.len().unwrap_or(0);
            continue;
        };
        out.recovery.segments += 1;
        out.recovery.torn += loaded.torn;
        out.recovery.damage.extend(loaded.damage);
        out.recovery.notes.extend(loaded.notes);
        let keys = |l: &Layer| if let Layer::Run(run) = l { run.len() } else { 0 };
        out.recovery.lines += loaded.layers.iter().map(keys).sum::<usize>();
        out.layers.extend(loaded.layers);
        out.next_seq = out.next_seq.max(loaded.next_seq);
        out.stamp = out.stamp.max(loaded.stamp);
        out.last_end = loaded.end;
    }
    out
}

/// Reads every byte of every segment that counts and tells what is not as it was written. Nothing is changed.
pub fn verify(disk: &dyn Disk) -> Result<(Recovery, u64), StoreError> {
    let opened = open(disk)?;
    let (mut recovery, mut records) = (opened.recovery, 0);
    recovery.damage.append(&mut recovery.notes);
    let mut seen = FxHashSet::default();
    for layer in &opened.layers {
        let Layer::Run(run) = layer else { continue };
        let segment = &run.segment;
        if !seen.insert(segment.name.clone()) {
            continue;
        }
        let found =
            |offset: u64, what: &str| Damage { file: segment.name.clone(), offset, what: what.to_owned() };
        if header(&*segment.file, &segment.name)?.is_ok_and(|(_, both)| !both) {
            recovery.damage.push(found(0, "one of the two copies of its header is damaged"));
        }
        let len = segment.file.len().map_err(io_error("cannot read", &segment.name))?;
        let bytes =
            read_range(&*segment.file, 0, len as usize).map_err(io_error("cannot read", &segment.name))?;
        let sealed = format::trailer(&bytes, segment.salt).map(|t| t.0.data_end);
        let scanned = scan(&bytes, segment.salt, sealed, 0);
        for met in &scanned.met {
            match met {
                Met::Frame { offset, head } => {
                    let body = &bytes[offset + format::FRAME_HEAD..][..head.body as usize];
                    records += u64::from(each_record(body, segment.salt, |_, _| {}).unwrap_or(0));
                }
                Met::Hole(hole) => {
                    let offset = hole.from as u64;
                    let known = recovery.damage.iter().any(|d| d.file == segment.name && d.offset == offset);
                    if sealed.is_some() && !known {
                        let what = format!("{} bytes of records are damaged", hole.to - hole.from);
                        recovery.damage.push(found(offset, &what));
                    }
                }
            }
        }
        let foot =
            sealed.is_some_and(|end| format::look(&bytes, segment.salt, end as usize) != Found::Footer);
        if foot && !recovery.damage.iter().any(|d| d.file == segment.name) {
            recovery.damage.push(found(sealed.unwrap_or(0), "the head of its footer is damaged"));
        }
    }
    Ok((recovery, records))
}

/// The runs of these layers.
pub fn runs(layers: &[Layer]) -> impl Iterator<Item = &Arc<Run>> {
    layers.iter().filter_map(|l| if let Layer::Run(run) = l { Some(run) } else { None })
}
