//! The store without threads: one writer, whatever the disk. Everything happens in the call that asks for it, so that a
//! simulated disk can be made to fail at any step.

use crate::disk::{Disk, DiskFile, write_all};
use crate::error::{StoreError, io_error};
use crate::format::{self, Encoded, Header, Line, Op, Trailer};
use crate::index::{Hit, Layer, Place, Run, RunBuilder, Segment, View, Walk};
use crate::recover::{self, Recovery};
use crate::{Options, SyncMode, plan};
use std::any::Any;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// A frame's body is closed once it has so many bytes.
const FRAME_BYTES: usize = 1 << 20;
/// So many zeros are written ahead at a time, at most.
const ZEROS: u64 = 512 << 10;
/// Merged segments are written in pieces of this many bytes.
const MERGE_FRAME: usize = 64 << 10;

struct Active {
    segment: Arc<Segment>,
    len: u64,
    /// Up to where it is known to be durable.
    durable: u64,
    /// Up to where zeros were written ahead: a sync that changes no length and no extent is done sooner.
    zeroed: u64,
    /// Fingerprints of the keys of its last frame.
    prints: Vec<u64>,
}

/// Figures of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Batches acknowledged.
    pub batches: u64,
    /// Operations in them.
    pub ops: u64,
    /// Groups of batches written together.
    pub groups: u64,
    /// Calls of `fdatasync` on segments.
    pub syncs: u64,
    /// Groups that failed.
    pub failures: u64,
    /// Compactions that took effect.
    pub compactions: u64,
    /// Bytes written, compactions included.
    pub written: u64,
}

/// What is written, and to where.
pub struct Writer {
    disk: Arc<dyn Disk>,
    options: Options,
    active: Option<Active>,
    next_id: u64,
    next_seq: u64,
    /// Up to where the segment before the next one is to be believed.
    prev_len: u64,
    /// Acknowledged, and not synced yet; written again where the sync fails. Empty in mode `always`.
    unsynced: Vec<Arc<Encoded>>,
    /// The sync that they waited for failed: they are written again first of all.
    again: bool,
    /// The salt of all segments that are written from this opening on.
    salt: u64,
    unpublished: Unpublished,
    /// Files that no longer count and could not be removed yet.
    garbage: Vec<String>,
    /// Its figures.
    pub figures: Figures,
    /// Why the last group failed, until one succeeds.
    pub failing: Option<String>,
    _lock: Box<dyn Any + Send + Sync>,
}

/// The view that readers take copies of.
pub type Shared = Arc<Mutex<View>>;

/// A copy of the view.
pub fn view_of(shared: &Shared) -> View {
    lock(shared).clone()
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens a directory for writing: what is left over from a cut compaction is removed, everything else stays as it is.
pub fn open(disk: Arc<dyn Disk>, options: Options) -> Result<(Writer, Shared, Recovery, u64), StoreError> {
    let name = disk.name();
    let lock = disk.lock(true).map_err(io_error("cannot lock", &name))?;
    let lock = lock.ok_or_else(|| StoreError::Locked(name.clone()))?;
    let opened = recover::open(&*disk)?;
    // What the last process wrote without a sync may be in memory only: the next segment will say that it counts.
    if let Some(run) = recover::runs(&opened.layers).last() {
        run.segment.file.sync().map_err(io_error("cannot sync", &run.segment.name))?;
    }
    let view = View { layers: opened.layers, ..View::default() };
    let mut writer = Writer {
        disk,
        options,
        active: None,
        next_id: opened.next_id,
        next_seq: opened.next_seq,
        prev_len: opened.last_end,
        unsynced: Vec::new(),
        again: false,
        salt: spread(options.seed ^ opened.next_seq.rotate_left(32) ^ opened.next_id),
        unpublished: Unpublished::default(),
        garbage: opened.leftovers,
        figures: Figures::default(),
        failing: None,
        _lock: lock,
    };
    writer.sweep();
    Ok((writer, Arc::new(Mutex::new(view)), opened.recovery, opened.stamp))
}

impl Writer {
    /// Removes what no longer counts. What cannot be removed is tried again later.
    pub fn sweep(&mut self) {
        let disk = &self.disk;
        self.garbage.retain(|name| match disk.remove(name) {
            Ok(()) => false,
            Err(error) => error.kind() != std::io::ErrorKind::NotFound,
        });
    }

    /// Words a batch as it will be written.
    pub(crate) fn salt(&self) -> u64 {
        self.salt
    }

    /// What readers are still to be shown, in order.
    pub(crate) fn unpublished(&self) -> Unpublished {
        self.unpublished.clone()
    }

    /// Writes batches as one group; each is whole or not there at all. Durable when this returns, in mode `always`.
    /// After an error none of them counts.
    pub fn commit(&mut self, shared: &Shared, batches: &[&[Op]], now: u64) -> Result<(), StoreError> {
        let encoded = batches.iter().map(|ops| Arc::new(Encoded::new(ops, self.salt))).collect::<Vec<_>>();
        let result = self.write_group(shared, &encoded, now);
        publish(shared, &self.unpublished);
        result
    }

    /// The same, but readers see it only once somebody calls [`publish`].
    pub(crate) fn write_group(
        &mut self,
        shared: &Shared,
        batches: &[Arc<Encoded>],
        now: u64,
    ) -> Result<(), StoreError> {
        let result = self.try_commit(shared, batches, now);
        match &result {
            Ok(()) => {
                self.failing = None;
                self.figures.batches += batches.len() as u64;
                self.figures.ops += batches.iter().map(|b| b.lines.len() as u64).sum::<u64>();
                self.figures.groups += 1;
            }
            Err(error) => {
                self.figures.failures += 1;
                self.failing = Some(error.to_string());
            }
        }
        result
    }

    fn try_commit(&mut self, shared: &Shared, batches: &[Arc<Encoded>], now: u64) -> Result<(), StoreError> {
        // After a failed sync, what was acknowledged before it and may be gone is written first.
        let again = if self.again { self.unsynced.clone() } else { Vec::new() };
        let mut groups: Vec<Vec<&Encoded>> = vec![Vec::new()];
        let (mut size, mut bytes) = (0, 0);
        for batch in again.iter().chain(batches) {
            let len = batch.bytes.len();
            if size + len > FRAME_BYTES && size > 0 {
                groups.push(Vec::new());
                size = 0;
            }
            (size, bytes) = (size + len, bytes + len);
            if let Some(group) = groups.last_mut() {
                group.push(batch);
            }
        }
        let frames = groups.len() * (format::FRAME_HEAD + 8 * format::MOST_PRINTS + 10);
        if let Some(active) = &self.active {
            let most = u64::from(self.options.segment_bytes);
            let empty = active.len <= format::HEADER as u64;
            if plan::rolls(active.len, (bytes + frames.min(bytes)) as u64, most, empty) {
                self.seal(shared, now)?;
            }
        }
        if self.active.is_none() {
            self.begin(shared)?;
        }
        let Some(active) = &self.active else { return Err(StoreError::Closed) };
        let (mut out, mut placed) = (Vec::with_capacity(bytes + frames.min(bytes)), Vec::new());
        let (mut seq, mut prints, salt) = (self.next_seq, active.prints.clone(), active.segment.salt);
        for group in &groups {
            let offset = active.len + out.len() as u64;
            let durable = active.durable as u32;
            let (frame, first) = format::frame(group, &prints, (salt, offset), seq, durable, now);
            let mut at = offset as u32 + first;
            for (key, len, deletes, expires) in group.iter().flat_map(|b| &b.lines) {
                placed.push((
                    key.clone(),
                    Place { offset: at, len: *len, deletes: *deletes, expires: *expires },
                ));
                (at, seq) = (at + len, seq + 1);
            }
            prints.clear();
            if group.iter().map(|b| b.prints.len()).sum::<usize>() <= format::MOST_PRINTS {
                prints.extend(group.iter().flat_map(|b| &b.prints));
            }
            out.extend(frame);
        }
        let (segment, start) = (active.segment.clone(), active.len);
        if let Err(error) = write_all(&*segment.file, start, &out) {
            // A part of it may be there: it is cut off again, or the segment is left as it is.
            if segment.file.truncate(start).is_err() {
                self.abandon(shared);
            }
            return Err(io_error("cannot write", &segment.name)(error));
        }
        let (end, step) = (start + out.len() as u64, u64::from(self.options.segment_bytes / 8).min(ZEROS));
        if end > active.zeroed {
            let ahead = (end + step).min(u64::from(self.options.segment_bytes)).max(end);
            // Where there is no room for them, the segment goes on without.
            let written = write_all(&*segment.file, end, &vec![0; (ahead - end) as usize]).is_ok();
            if let Some(active) = &mut self.active {
                active.zeroed = if written { ahead } else { u64::MAX };
            }
        }
        let syncs = self.options.sync == SyncMode::Always;
        if syncs {
            self.figures.syncs += 1;
            if let Err(error) = segment.file.sync() {
                self.abandon(shared);
                return Err(io_error("cannot sync", &segment.name)(error));
            }
        }
        self.figures.written += out.len() as u64;
        self.next_seq = seq;
        if let Some(active) = &mut self.active {
            active.len = start + out.len() as u64;
            active.prints = prints;
            if syncs {
                active.durable = active.len;
            }
        }
        lock(&self.unpublished).push_back(placed);
        match syncs {
            true => self.unsynced.clear(),
            false => {
                if std::mem::take(&mut self.again) {
                    self.unsynced.clear(); // they are among what was just written
                }
                self.unsynced.extend(again.iter().chain(batches).cloned());
            }
        }
        Ok(())
    }

    /// Makes what was written durable, in the modes that do not do so at once.
    pub fn sync(&mut self, shared: &Shared, now: u64) -> Result<(), StoreError> {
        if self.again {
            self.try_commit(shared, &[], now)?;
            publish(shared, &self.unpublished);
        }
        let Some(active) = self.active.as_mut().filter(|a| a.durable < a.len) else { return Ok(()) };
        self.figures.syncs += 1;
        match active.segment.file.sync() {
            Ok(()) => {
                active.durable = active.len;
                self.unsynced.clear();
                Ok(())
            }
            Err(error) => {
                let name = active.segment.name.clone();
                self.figures.failures += 1;
                self.failing = Some(error.to_string());
                self.abandon(shared);
                Err(io_error("cannot sync", &name)(error))
            }
        }
    }

    /// Bytes acknowledged that a power cut could cost.
    pub fn exposed(&self) -> u64 {
        self.active.as_ref().map_or(0, |a| a.len - a.durable)
    }

    /// The present segment takes no more: what of it is not durable is not believed. The next one says so.
    fn abandon(&mut self, shared: &Shared) {
        let Some(active) = self.active.take() else { return };
        if self.unsynced.is_empty() {
            // Best effort: its successor's header says the same. What was acknowledged and waits for its sync is still
            // read from there until it is written again.
            let _ = active.segment.file.truncate(active.durable);
        }
        self.prev_len = active.durable;
        self.again = !self.unsynced.is_empty();
        publish(shared, &self.unpublished);
        retire(shared, active.len);
    }

    /// Writes the footer of the present segment; the next write begins another.
    pub fn seal(&mut self, shared: &Shared, now: u64) -> Result<(), StoreError> {
        // What a footer names must be durable before the footer could be.
        self.sync(shared, now)?;
        let Some(active) = &self.active else { return Ok(()) };
        let (segment, start) = (active.segment.clone(), active.len);
        publish(shared, &self.unpublished);
        let fresh = lock(shared).fresh.clone();
        let lines = fresh.iter().map(|(key, p)| Line {
            key,
            offset: p.offset,
            len: p.len,
            deletes: p.deletes,
            expires: p.expires,
        });
        let (data_end, count) = (start, fresh.len() as u32);
        let trailer = Trailer { data_end, count, next_seq: self.next_seq, stamp: now };
        let bytes = format::footer(lines, segment.salt, trailer);
        let file = &segment.file;
        let done = file.truncate(start).and_then(|()| write_all(&**file, start, &bytes));
        let done = done.and_then(|()| file.sync());
        self.figures.syncs += 1;
        if let Err(error) = done {
            self.figures.failures += 1;
            self.abandon(shared);
            return Err(io_error("cannot seal", &segment.name)(error));
        }
        self.figures.written += bytes.len() as u64;
        self.unsynced.clear();
        self.active = None;
        self.prev_len = start;
        retire(shared, start + bytes.len() as u64);
        Ok(())
    }

    /// Begins a segment: it and its name are durable before anything is written to it.
    fn begin(&mut self, shared: &Shared) -> Result<(), StoreError> {
        let (id, salt) = (self.next_id, self.salt);
        let name = plan::name(id, id);
        let (first_seq, prev_len) = (self.next_seq, self.prev_len);
        let header = Header { lo: id, hi: id, salt, prev_len, first_seq, merged: false };
        let file = self.disk.create(&name).map_err(io_error("cannot create", &name));
        let file = match file {
            // Left behind by a failed try just before: it holds nothing that counts.
            Err(StoreError::Io { source, .. }) if source.kind() == std::io::ErrorKind::AlreadyExists => {
                self.disk.remove(&name).map_err(io_error("cannot remove", &name))?;
                self.disk.create(&name).map_err(io_error("cannot create", &name))?
            }
            other => other?,
        };
        self.garbage.retain(|old| *old != name); // it counts again
        let written = write_all(&*file, 0, &header.encode()).and_then(|()| file.sync());
        written.and_then(|()| self.disk.sync_dir()).map_err(io_error("cannot begin", &name))?;
        let segment = Arc::new(Segment { name, lo: id, hi: id, salt, file });
        lock(shared).active = Some(segment.clone());
        self.next_id += 1;
        let len = format::HEADER as u64;
        self.active = Some(Active { segment, len, durable: len, zeroed: 0, prints: Vec::new() });
        Ok(())
    }

    /// How the segments stand, and what to compact of them: all, or what is worth while.
    pub fn plan(&self, view: &View, all: bool, now: u64) -> Option<Merge> {
        let parts = parts(view, now);
        let range = match all {
            true => (!parts.is_empty()).then_some(0..parts.len()),
            false => plan::compaction(&parts, u64::from(self.options.segment_bytes) / 2),
        };
        self.merge(view, range?, all, now)
    }

    /// A compaction of these segments, by their place.
    fn merge(&self, view: &View, range: std::ops::Range<usize>, all: bool, now: u64) -> Option<Merge> {
        // Layers of segments; doubts between them belong to damaged ones, which are merged only all together.
        let runs: Vec<Arc<Run>> = recover::runs(&view.layers).cloned().collect();
        let names = segments(&runs);
        let picked: Vec<Arc<Run>> =
            runs.iter().filter(|r| names[range.clone()].contains(&r.segment.name)).cloned().collect();
        let (first, last) = (picked.first()?.segment.clone(), picked.last()?.segment.clone());
        let older = runs.iter().take_while(|r| r.segment.lo < first.lo).cloned().collect();
        let doubts = if all { view.clone() } else { View::default() };
        // All together stand for every number there was, also for those that are lost.
        let (lo, hi) = match (all, self.active.is_none()) {
            (true, true) => (1, self.next_id - 1),
            (true, false) => (1, last.hi),
            _ => (first.lo, last.hi),
        };
        Some(Merge {
            disk: self.disk.clone(),
            numbers: (lo, hi),
            picked,
            older,
            doubts,
            now,
            salt: spread(self.salt ^ lo.rotate_left(17) ^ hi.rotate_left(40) ^ now),
            next_seq: self.next_seq,
        })
    }

    /// Puts a merged segment in the place of those it was made of.
    pub fn install(&mut self, shared: &Shared, merged: Merged) -> Result<(), StoreError> {
        let Merged { run, unfinished, replaced, bytes } = merged;
        let name = run.segment.name.clone();
        self.disk.rename(&unfinished, &name).map_err(io_error("cannot rename", &unfinished))?;
        self.garbage.retain(|old| *old != name);
        let durable = self.disk.sync_dir();
        self.figures.written += bytes;
        self.figures.compactions += 1;
        let mut view = lock(shared);
        let inside = |layer: &Layer| match layer {
            Layer::Run(old) => old.segment.lo >= run.segment.lo && old.segment.hi <= run.segment.hi,
            Layer::Doubt(_) => false,
        };
        let from = view.layers.iter().position(inside).unwrap_or(0);
        let to = view.layers.iter().rposition(inside).map_or(from, |n| n + 1);
        view.layers.splice(from..to, [Layer::Run(run)]);
        if view.layers.get(from).is_some_and(|l| matches!(l, Layer::Run(run) if run.segment.lo == 1)) {
            view.layers.drain(..from); // nothing is older: no doubt reaches below
        }
        drop(view);
        // Until the new name is durable the old files must stay.
        durable.map_err(io_error("cannot sync", &name))?;
        self.garbage.extend(replaced.into_iter().filter(|old| *old != name));
        self.sweep();
        Ok(())
    }
}

/// Groups that were written and are still to be shown to readers.
pub(crate) type Unpublished = Arc<Mutex<VecDeque<Vec<(Box<[u8]>, Place)>>>>;

/// Shows readers what was written, in the order written.
pub(crate) fn publish(shared: &Shared, unpublished: &Unpublished) {
    let mut view = lock(shared);
    let groups = std::mem::take(&mut *lock(unpublished));
    if !groups.is_empty() {
        Arc::make_mut(&mut view.fresh).extend(groups.into_iter().flatten());
    }
}

/// One round of splitmix64.
pub(crate) fn spread(x: u64) -> u64 {
    let mut z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Moves what was written to the present segment into a layer of its own.
fn retire(shared: &Shared, file_len: u64) {
    let mut view = lock(shared);
    let Some(segment) = view.active.take() else { return };
    let fresh = std::mem::take(&mut view.fresh);
    let mut builder = RunBuilder::with_room(fresh.len(), 0);
    for (key, p) in &*fresh {
        builder.add(Line { key, offset: p.offset, len: p.len, deletes: p.deletes, expires: p.expires });
    }
    let run = builder.finish(segment, file_len, true);
    view.layers.push(Layer::Run(Arc::new(run)));
}

/// The names of the segments of these runs, each once, in order.
fn segments(runs: &[Arc<Run>]) -> Vec<String> {
    let mut names: Vec<String> = runs.iter().map(|r| r.segment.name.clone()).collect();
    names.dedup();
    names
}

/// How the segments that take no more writes stand.
pub fn parts(view: &View, now: u64) -> Vec<plan::Part> {
    let runs: Vec<Arc<Run>> = recover::runs(&view.layers).cloned().collect();
    let names = segments(&runs);
    let place = |run: &Run| names.iter().position(|n| *n == run.segment.name).unwrap_or(0);
    let of_run: Vec<usize> = runs.iter().map(|r| place(r)).collect();
    let mut parts: Vec<plan::Part> =
        names.iter().map(|_| plan::Part { bytes: 0, dead: 0, damaged: false }).collect();
    for (run, n) in runs.iter().zip(&of_run) {
        parts[*n].bytes = run.file_len;
        // What no index names is dead: records that were overwritten within the segment.
        parts[*n].dead = run.file_len.saturating_sub(format::HEADER as u64);
    }
    let mut behind = false;
    for layer in &view.layers {
        match layer {
            Layer::Doubt(doubt) => {
                if let Some(n) = names.iter().position(|name| *name == doubt.file) {
                    parts[n].damaged = true;
                }
                behind = true;
            }
            // A merge across what is lost would hide it.
            Layer::Run(run) if std::mem::take(&mut behind) => parts[place(run)].damaged = true,
            Layer::Run(_) => {}
        }
    }
    // The lines of the footers count as live, about as much as they take.
    let mut live = |n: usize, len: u32, key: usize| {
        let part = &mut parts[of_run[n]];
        part.dead = part.dead.saturating_sub(u64::from(len) + key as u64 / 2 + 6);
    };
    for step in Walk::of_runs(&runs) {
        let expired = step.hit.place.expires.is_some_and(|at| now >= at);
        let useless = (step.hit.place.deletes || expired) && step.older.is_empty();
        if !useless {
            live(step.rank, step.hit.place.len, step.key.len());
        }
    }
    parts
}

/// A compaction to be done: it reads segments that change no more, and needs no lock.
pub struct Merge {
    disk: Arc<dyn Disk>,
    numbers: (u64, u64),
    picked: Vec<Arc<Run>>,
    older: Vec<Arc<Run>>,
    doubts: View,
    now: u64,
    salt: u64,
    next_seq: u64,
}

/// A merged segment, whole and durable under a name that does not count yet.
pub struct Merged {
    run: Arc<Run>,
    unfinished: String,
    replaced: Vec<String>,
    bytes: u64,
}

impl Merge {
    /// Writes the merged segment. With `drop_damaged` records that cannot be read are left out, else they end it.
    pub fn run(&self, drop_damaged: bool) -> Result<Merged, StoreError> {
        let ((lo, hi), salt) = (self.numbers, self.salt);
        let unfinished = plan::unfinished(lo, hi);
        let _ = self.disk.remove(&unfinished); // of a try that failed
        let file = self.disk.create(&unfinished).map_err(io_error("cannot create", &unfinished))?;
        let done = self.write(&*file, &unfinished, drop_damaged);
        let (builder, bytes) = match done {
            Ok(done) => done,
            Err(error) => {
                let _ = self.disk.remove(&unfinished);
                return Err(error);
            }
        };
        let segment = Arc::new(Segment { name: plan::name(lo, hi), lo, hi, salt, file });
        let run = Arc::new(builder.finish(segment, bytes, true));
        Ok(Merged { run, unfinished, replaced: segments(&self.picked), bytes })
    }

    fn write(
        &self,
        file: &dyn DiskFile,
        name: &str,
        drop_damaged: bool,
    ) -> Result<(RunBuilder, u64), StoreError> {
        let io = |what| io_error(what, name);
        let (first, (lo, hi)) = (&self.picked[0].segment, self.numbers);
        let before = recover::header(&*first.file, &first.name)?;
        let prev_len = before.map_or(0, |(header, _)| header.prev_len);
        let header = Header { lo, hi, salt: self.salt, prev_len, first_seq: 0, merged: true };
        let mut out = header.encode();
        let (mut written, mut ops, mut size) = (0u64, Vec::<Op>::new(), 0);
        let (mut builder, mut seq) = (RunBuilder::default(), 0u64);
        let mut flush = |ops: &mut Vec<Op>, out: &mut Vec<u8>, written: &mut u64| -> Result<(), StoreError> {
            if ops.is_empty() {
                return Ok(());
            }
            let offset = *written + out.len() as u64;
            let encoded = Encoded::new(ops, self.salt);
            let (frame, first) = format::frame(&[&encoded], &[], (self.salt, offset), seq, 0, self.now);
            let mut at = offset as u32 + first;
            for (key, len, deletes, expires) in &encoded.lines {
                builder.add(Line { key, offset: at, len: *len, deletes: *deletes, expires: *expires });
                at += len;
            }
            seq += ops.len() as u64;
            ops.clear();
            out.extend(frame);
            write_all(file, *written, out).map_err(io("cannot write"))?;
            *written += out.len() as u64;
            out.clear();
            Ok(())
        };
        for step in Walk::of_runs(&self.picked) {
            let in_doubt = !self.doubts.layers.is_empty() && self.doubts.find(&step.key).is_err();
            if in_doubt && drop_damaged {
                continue;
            } else if in_doubt {
                return Err(StoreError::NeedsRepair(1));
            }
            let Hit { place, .. } = step.hit;
            let expired = place.expires.is_some_and(|at| self.now >= at);
            let value = match step.hit.read(&step.key) {
                _ if expired => None,
                Ok(value) => value,
                Err(StoreError::Damaged { .. }) if drop_damaged => None,
                Err(error) => return Err(error),
            };
            // What deletes is needed only as long as something older is there to be deleted.
            if value.is_none() && !self.older.iter().any(|run| run.find(&step.key).is_some()) {
                continue;
            }
            let expires = place.expires.filter(|_| value.is_some());
            let op = Op { key: step.key, value, expires };
            size += op.size();
            ops.push(op);
            if size >= MERGE_FRAME {
                flush(&mut ops, &mut out, &mut written)?;
                size = 0;
            }
        }
        flush(&mut ops, &mut out, &mut written)?;
        let data_end = written + out.len() as u64;
        let builder_run = builder;
        let trailer =
            Trailer { data_end, count: builder_run.count() as u32, next_seq: self.next_seq, stamp: self.now };
        out.extend(format::footer(builder_run.lines(), self.salt, trailer));
        write_all(file, written, &out).map_err(io("cannot write"))?;
        written += out.len() as u64;
        file.sync().map_err(io("cannot sync"))?;
        Ok((builder_run, written))
    }
}

/// What is worth compacting. The walk through all keys is made without the writer.
pub(crate) fn plan_apart(writer: &Mutex<Option<Writer>>, view: &View, now: u64) -> Option<Merge> {
    let least = u64::from(lock(writer).as_ref()?.options.segment_bytes) / 2;
    let range = plan::compaction(&parts(view, now), least)?;
    lock(writer).as_ref()?.merge(view, range, false, now)
}
