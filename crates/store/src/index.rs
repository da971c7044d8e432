//! The index: sorted runs of keys, one a segment, oldest first, and what has been written since on top.
//!
//! A run holds keys and places, never values. A doubt stands between runs where damage may have swallowed newer values
//! than those below it: a look-up that comes past it is told so, and never gets the older value.

use crate::disk::{DiskFile, read_range};
use crate::error::{StoreError, io_error};
use crate::format::{self, Line};
use rustc_hash::FxHashSet;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// A segment's open file.
pub struct Segment {
    /// Its file's name.
    pub name: String,
    /// The first and last number that it stands for.
    pub lo: u64,
    /// See `lo`.
    pub hi: u64,
    /// The salt of its checksums.
    pub salt: u64,
    /// The file.
    pub file: Arc<dyn DiskFile>,
}

impl Segment {
    /// The error for a damaged record here.
    pub fn damaged(&self, offset: u64) -> StoreError {
        StoreError::Damaged { file: self.name.clone(), offset }
    }
}

impl std::fmt::Debug for Segment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "segment {}", self.name)
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// The first eight bytes of the key, to compare without looking further.
    prefix: u64,
    key: u32,
    key_len: u16,
    deletes: bool,
    offset: u32,
    len: u32,
    /// 0 where it counts for good.
    expires: u64,
}

fn line<'a>(keys: &'a [u8], slot: &Slot) -> Line<'a> {
    let key = &keys[slot.key as usize..slot.key as usize + usize::from(slot.key_len)];
    let expires = (slot.expires != 0).then_some(slot.expires);
    Line { key, offset: slot.offset, len: slot.len, deletes: slot.deletes, expires }
}

fn prefix(key: &[u8]) -> u64 {
    let mut first = [0; 8];
    let n = key.len().min(8);
    first[..n].copy_from_slice(&key[..n]);
    u64::from_be_bytes(first)
}

/// The keys of one segment, sorted, each with the place of its newest record there.
pub struct Run {
    /// The segment.
    pub segment: Arc<Segment>,
    keys: Vec<u8>,
    slots: Vec<Slot>,
    /// The bytes of the segment's file.
    pub file_len: u64,
}

impl std::fmt::Debug for Run {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "run of {} keys in {}", self.slots.len(), self.segment.name)
    }
}

/// Collects the lines of a run, in any order; of two with one key the later counts.
#[derive(Default)]
pub struct RunBuilder {
    keys: Vec<u8>,
    slots: Vec<Slot>,
}

impl RunBuilder {
    /// With room for so many lines.
    pub fn with_room(lines: usize, bytes: usize) -> RunBuilder {
        RunBuilder { keys: Vec::with_capacity(bytes), slots: Vec::with_capacity(lines) }
    }

    /// Adds one.
    pub fn add(&mut self, line: Line<'_>) {
        let at = self.keys.len() as u32;
        self.keys.extend(line.key);
        self.slots.push(Slot {
            prefix: prefix(line.key),
            key: at,
            key_len: line.key.len() as u16,
            deletes: line.deletes,
            offset: line.offset,
            len: line.len,
            expires: line.expires.unwrap_or(0),
        });
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// How many lines were added.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// The lines as they were added.
    pub fn lines(&self) -> impl Iterator<Item = Line<'_>> {
        self.slots.iter().map(|slot| line(&self.keys, slot))
    }

    /// The run. `sorted` where the lines came by key, each key once.
    pub fn finish(self, segment: Arc<Segment>, file_len: u64, sorted: bool) -> Run {
        let RunBuilder { mut keys, mut slots } = self;
        if !sorted {
            let key = |s: &Slot| &keys[s.key as usize..s.key as usize + usize::from(s.key_len)];
            // `key` grows with each line added: of equal keys the latest comes first.
            slots.sort_unstable_by(|a, b| {
                a.prefix.cmp(&b.prefix).then_with(|| key(a).cmp(key(b))).then(b.key.cmp(&a.key))
            });
            slots.dedup_by(|later, first| later.prefix == first.prefix && key(later) == key(first));
        }
        keys.shrink_to_fit();
        slots.shrink_to_fit();
        Run { segment, keys, slots, file_len }
    }
}

impl Run {
    /// How many keys it has.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes of memory it takes.
    pub fn memory(&self) -> usize {
        self.keys.capacity() + self.slots.capacity() * size_of::<Slot>()
    }

    fn key(&self, slot: &Slot) -> &[u8] {
        &self.keys[slot.key as usize..slot.key as usize + usize::from(slot.key_len)]
    }

    /// The line at a place in the order of keys.
    pub fn line(&self, n: usize) -> Option<Line<'_>> {
        self.slots.get(n).map(|slot| line(&self.keys, slot))
    }

    /// The first place whose key is not below this one.
    pub fn lower_bound(&self, key: &[u8]) -> usize {
        let first = prefix(key);
        self.slots
            .partition_point(|s| s.prefix.cmp(&first).then_with(|| self.key(s).cmp(key)) == Ordering::Less)
    }

    /// The line of a key.
    pub fn find(&self, key: &[u8]) -> Option<Line<'_>> {
        self.line(self.lower_bound(key)).filter(|line| line.key == key)
    }
}

/// Damage that may have swallowed newer values.
#[derive(Debug)]
pub struct Doubt {
    /// The file.
    pub file: String,
    /// Where the damage begins, in bytes.
    pub offset: u64,
    /// The fingerprints of the keys that were there, where the frame behind the damage tells them.
    pub prints: Option<FxHashSet<u64>>,
}

impl Doubt {
    /// Whether a newer value of this key may be lost.
    pub fn covers(&self, key: &[u8]) -> bool {
        self.prints.as_ref().is_none_or(|prints| prints.contains(&format::fingerprint(key)))
    }

    /// The error for such a key.
    pub fn error(&self) -> StoreError {
        StoreError::InDoubt { file: self.file.clone(), offset: self.offset }
    }
}

/// One layer of the index.
#[derive(Clone, Debug)]
pub enum Layer {
    /// The keys of a segment, or of a part of one.
    Run(Arc<Run>),
    /// What lies below may have been overwritten here.
    Doubt(Arc<Doubt>),
}

/// Where a key written to the present segment lies.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Where the record begins, in bytes.
    pub offset: u32,
    /// Its length.
    pub len: u32,
    /// It deletes.
    pub deletes: bool,
    /// When it ceases to count.
    pub expires: Option<u64>,
}

/// The newest of all that an index knows of a key.
#[derive(Clone, Debug)]
pub struct Hit {
    /// Where it lies.
    pub segment: Arc<Segment>,
    /// Where there.
    pub place: Place,
}

impl Hit {
    /// Reads the value. `None` where the record deletes.
    pub fn read(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        if self.place.deletes {
            return Ok(None);
        }
        let offset = u64::from(self.place.offset);
        let bytes = read_range(&*self.segment.file, offset, self.place.len as usize)
            .map_err(io_error("cannot read", &self.segment.name))?;
        let read =
            format::record(&bytes, self.segment.salt, true).filter(|r| r.key == key && r.len == bytes.len());
        match read {
            Some(record) => Ok(record.value.map(<[u8]>::to_vec)),
            None => Err(self.segment.damaged(offset)),
        }
    }
}

/// All that is known at one moment; a copy costs next to nothing.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Oldest first.
    pub layers: Vec<Layer>,
    /// What was written to the present segment. The first write after a copy was taken copies it.
    pub fresh: Arc<BTreeMap<Box<[u8]>, Place>>,
    /// The present segment.
    pub active: Option<Arc<Segment>>,
}

impl View {
    /// The newest record of a key, whatever it says.
    pub fn find(&self, key: &[u8]) -> Result<Option<Hit>, StoreError> {
        if let Some((place, segment)) = self.fresh.get(key).zip(self.active.as_ref()) {
            return Ok(Some(Hit { segment: segment.clone(), place: *place }));
        }
        for layer in self.layers.iter().rev() {
            match layer {
                Layer::Run(run) => {
                    if let Some(line) = run.find(key) {
                        return Ok(Some(Hit { segment: run.segment.clone(), place: place_of(line) }));
                    }
                }
                Layer::Doubt(doubt) if doubt.covers(key) => return Err(doubt.error()),
                Layer::Doubt(_) => {}
            }
        }
        Ok(None)
    }

    /// The value of a key at this time (Unix, in milliseconds).
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>, StoreError> {
        match self.find(key)? {
            Some(hit) if hit.place.expires.is_none_or(|at| now < at) => hit.read(key),
            _ => Ok(None),
        }
    }

    /// A walk through all keys from one on, in order.
    pub fn walk(&self, from: &[u8]) -> Walk {
        let mut sources = Vec::new();
        let mut doubts = Vec::new();
        for (rank, layer) in self.layers.iter().enumerate() {
            match layer {
                Layer::Run(run) => {
                    sources.push(Source { rank, at: run.lower_bound(from), from: Keys::Run(run.clone()) });
                }
                Layer::Doubt(doubt) => doubts.push((rank, doubt.clone())),
            }
        }
        if let Some(segment) = &self.active {
            let from: (Bound<&[u8]>, Bound<&[u8]>) = (Bound::Included(from), Bound::Unbounded);
            let lines: Vec<_> = self.fresh.range::<[u8], _>(from).map(|(k, p)| (k.clone(), *p)).collect();
            sources.push(Source { rank: usize::MAX, at: 0, from: Keys::Fresh(segment.clone(), lines) });
        }
        Walk::new(sources, doubts)
    }
}

fn place_of(line: Line<'_>) -> Place {
    Place { offset: line.offset, len: line.len, deletes: line.deletes, expires: line.expires }
}

enum Keys {
    Run(Arc<Run>),
    Fresh(Arc<Segment>, Vec<(Box<[u8]>, Place)>),
}

struct Source {
    rank: usize,
    at: usize,
    from: Keys,
}

impl Source {
    fn key(&self) -> Option<&[u8]> {
        match &self.from {
            Keys::Run(run) => run.slots.get(self.at).map(|slot| run.key(slot)),
            Keys::Fresh(_, lines) => lines.get(self.at).map(|(key, _)| &**key),
        }
    }

    fn hit(&self) -> Option<Hit> {
        match &self.from {
            Keys::Run(run) => Some(Hit { segment: run.segment.clone(), place: place_of(run.line(self.at)?) }),
            Keys::Fresh(segment, lines) => {
                Some(Hit { segment: segment.clone(), place: lines.get(self.at)?.1 })
            }
        }
    }
}

/// One key on a walk.
#[derive(Debug)]
pub struct Step {
    /// The key.
    pub key: Vec<u8>,
    /// Its newest record.
    pub hit: Hit,
    /// Which layer that is in; `usize::MAX` for the present segment.
    pub rank: usize,
    /// The lengths of older records of the key, with their layers.
    pub older: Vec<(usize, u32)>,
    /// Damage that may hide a newer one.
    pub doubt: Option<Arc<Doubt>>,
}

/// Merges the runs of a view: each key once, with its newest record.
pub struct Walk {
    sources: Vec<Source>,
    doubts: Vec<(usize, Arc<Doubt>)>,
    /// A heap of sources by their present key, and the newest first among equals.
    heap: Vec<usize>,
}

impl Walk {
    fn new(sources: Vec<Source>, doubts: Vec<(usize, Arc<Doubt>)>) -> Walk {
        let heap = (0..sources.len()).filter(|n| sources[*n].key().is_some()).collect();
        let mut walk = Walk { sources, doubts, heap };
        for at in (0..walk.heap.len() / 2).rev() {
            walk.sink(at);
        }
        walk
    }

    /// Merges these runs alone, oldest first; ranks count from 0.
    pub fn of_runs(runs: &[Arc<Run>]) -> Walk {
        let source = |(rank, run): (usize, &Arc<Run>)| Source { rank, at: 0, from: Keys::Run(run.clone()) };
        Walk::new(runs.iter().enumerate().map(source).collect(), Vec::new())
    }

    fn before(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.sources[a], &self.sources[b]);
        a.key().cmp(&b.key()).then(b.rank.cmp(&a.rank)) == Ordering::Less
    }

    fn sink(&mut self, mut at: usize) {
        loop {
            let children = [2 * at + 1, 2 * at + 2].into_iter().filter(|c| *c < self.heap.len());
            let Some(least) =
                children.reduce(|a, b| if self.before(self.heap[b], self.heap[a]) { b } else { a })
            else {
                return;
            };
            if !self.before(self.heap[least], self.heap[at]) {
                return;
            }
            self.heap.swap(least, at);
            at = least;
        }
    }

    fn advance(&mut self) {
        let Some(top) = self.heap.first().copied() else { return };
        self.sources[top].at += 1;
        if self.sources[top].key().is_none() {
            self.heap.swap_remove(0);
        }
        self.sink(0);
    }
}

impl Iterator for Walk {
    type Item = Step;

    fn next(&mut self) -> Option<Step> {
        let top = *self.heap.first()?;
        let (key, hit) = (self.sources[top].key()?.to_vec(), self.sources[top].hit()?);
        let rank = self.sources[top].rank;
        let mut older = Vec::new();
        self.advance();
        while let Some(next) = self.heap.first().copied().filter(|n| self.sources[*n].key() == Some(&key)) {
            older.extend(self.sources[next].hit().map(|h| (self.sources[next].rank, h.place.len)));
            self.advance();
        }
        let doubt = self.doubts.iter().rev().find(|(at, doubt)| *at > rank && doubt.covers(&key));
        Some(Step { key, hit, rank, older, doubt: doubt.map(|d| d.1.clone()) })
    }
}
