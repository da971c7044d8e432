//! The store with its threads: writers that wait share one sync, a thread writes for those that do not wait, another compacts.

use crate::disk::{Disk, RealDisk};
use crate::engine::{self, Figures, Shared, Unpublished, Writer, lock, publish};
use crate::error::{StoreError, io_error};
use crate::format::{self, Encoded, Op};
use crate::index::{Layer, View, Walk};
use crate::recover::{self, Recovery};
use crate::{Invalid, Options, SyncMode};
use std::any::Any;
use std::collections::VecDeque;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Told once a batch is written, or is known not to be.
pub type Done = Box<dyn FnOnce(Result<(), String>) + Send>;

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    ops: Vec<Op>,
    /// Spans after which values cease to count, by operation; added to the store's clock when the batch is taken.
    spans: Vec<Option<u64>>,
}

impl Batch {
    /// An empty one.
    pub fn new() -> Batch {
        Batch::default()
    }

    /// Sets a value.
    pub fn put(mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> Batch {
        self.push(key.into(), Some(value.into()), None);
        self
    }

    /// Sets a value that ceases to count after so many milliseconds.
    pub fn put_for(mut self, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>, span: u64) -> Batch {
        self.push(key.into(), Some(value.into()), Some(span));
        self
    }

    /// Deletes a key.
    pub fn delete(mut self, key: impl Into<Vec<u8>>) -> Batch {
        self.push(key.into(), None, None);
        self
    }

    /// Adds one operation: `value` `None` deletes; `span` in milliseconds.
    pub fn push(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, span: Option<u64>) {
        self.ops.push(Op { key, value, expires: None });
        self.spans.push(span);
    }

    /// How many operations it has.
    pub fn len(&self) -> usize {
        self.ops.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }

    fn at(self, now: u64) -> Result<Vec<Op>, Invalid> {
        let mut ops = self.ops;
        for (op, span) in ops.iter_mut().zip(self.spans) {
            op.expires = span.map(|span| now.saturating_add(span));
        }
        format::check_batch(&ops)?;
        Ok(ops)
    }
}

/// A clock that never goes back behind what the store has seen, also over a restart.
#[derive(Clone, Copy, Debug)]
struct Clock {
    base: u64,
    started: Instant,
}

impl Clock {
    fn new(floor: u64) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        Clock { base: unix.max(floor), started: Instant::now() }
    }

    fn now(&self) -> u64 {
        self.base + self.started.elapsed().as_millis() as u64
    }
}

/// A thread that waits for its batch. Those of a group wake one another, a few each, so that the writer of the group can go
/// on to the next: waking dozens one by one takes longer than a sync.
struct Slot {
    thread: std::thread::Thread,
    done: AtomicBool,
    /// What became of it, and whom it wakes.
    end: Mutex<End>,
}

/// A thread wakes so many others of its group.
const WAKES: usize = 2;

type End = (Result<(), String>, [Option<Arc<Slot>>; WAKES]);

impl Slot {
    fn new() -> Arc<Slot> {
        Arc::new(Slot {
            thread: std::thread::current(),
            done: AtomicBool::new(false),
            end: Mutex::new((Ok(()), [const { None }; WAKES])),
        })
    }

    /// Settles a group and wakes its first.
    fn settle(group: &[Arc<Slot>], result: &Result<(), String>) {
        for (n, slot) in group.iter().enumerate() {
            *lock(&slot.end) =
                (result.clone(), std::array::from_fn(|k| group.get(WAKES * n + 1 + k).cloned()));
        }
        group.iter().for_each(|slot| slot.done.store(true, Ordering::Release));
        if let Some(first) = group.first() {
            first.thread.unpark();
        }
    }

    /// What became of it, if anything has; those that it is to wake are woken.
    fn taken(&self) -> Option<Result<(), String>> {
        if !self.done.load(Ordering::Acquire) {
            return None;
        }
        let (result, wakes) = std::mem::replace(&mut *lock(&self.end), (Ok(()), [const { None }; WAKES]));
        wakes.iter().flatten().for_each(|next| next.thread.unpark());
        Some(result)
    }
}

/// A group that was written, or could not be.
struct Written {
    group: Vec<Queued>,
    result: Result<(), String>,
}

enum Waiter {
    Thread(Arc<Slot>),
    Call(Done),
}

struct Queued {
    batch: Arc<Encoded>,
    bytes: usize,
    waiter: Waiter,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Queued>,
    bytes: usize,
    /// Somebody writes a group.
    busy: bool,
    closed: bool,
    /// When the oldest write that is not durable was acknowledged.
    exposed_since: Option<Instant>,
}

struct Inner {
    options: Options,
    clock: Clock,
    shared: Shared,
    salt: u64,
    unpublished: Unpublished,
    /// Where the writing thread passes on groups that it has written.
    written: Mutex<Option<Sender<Written>>>,
    writer: Mutex<Option<Writer>>,
    queue: Mutex<Queue>,
    /// The writing thread has something to do.
    turn: Condvar,
    /// There may be something to compact; and whether the store is closing.
    chores: Mutex<(bool, bool)>,
    chore: Condvar,
    /// One compaction at a time.
    compacting: Mutex<()>,
}

/// An open store. Dropping it closes it.
pub struct Store {
    inner: Arc<Inner>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

/// Figures of a store.
#[derive(Clone, Debug, Default)]
pub struct Stat {
    /// Segments, the present one included.
    pub segments: usize,
    /// Bytes of their files.
    pub bytes: u64,
    /// Bytes that a compaction would free, about.
    pub dead: u64,
    /// Keys with a value.
    pub records: u64,
    /// Bytes of those keys and values.
    pub live: u64,
    /// Bytes of memory that the index takes, about.
    pub memory: usize,
    /// Counts since the start.
    pub figures: Figures,
    /// Why the last write failed, until one succeeds.
    pub failing: Option<String>,
}

/// What a group takes at most, in bytes.
const GROUP: usize = 4 << 20;

impl Store {
    /// Opens a directory, made if it is not there.
    pub fn open(dir: &Path, options: Options) -> Result<(Store, Recovery), StoreError> {
        let disk = RealDisk::new(dir, true).map_err(io_error("cannot open", &dir.display().to_string()))?;
        Store::open_on(Arc::new(disk), options)
    }

    /// Opens a disk.
    pub fn open_on(disk: Arc<dyn Disk>, options: Options) -> Result<(Store, Recovery), StoreError> {
        let (writer, shared, recovery, stamp) = engine::open(disk, options)?;
        let (written, settles) = channel::<Written>();
        let inner = Arc::new(Inner {
            options,
            clock: Clock::new(stamp),
            shared,
            salt: writer.salt(),
            unpublished: writer.unpublished(),
            written: Mutex::new(Some(written)),
            writer: Mutex::new(Some(writer)),
            queue: Mutex::default(),
            turn: Condvar::new(),
            chores: Mutex::new((options.compacts, false)),
            chore: Condvar::new(),
            compacting: Mutex::new(()),
        });
        let mut threads = Vec::new();
        let thread = |name: &str, work: fn(&Inner)| {
            let inner = inner.clone();
            std::thread::Builder::new().name(name.to_owned()).spawn(move || work(&inner))
        };
        for (name, work) in
            [("store-write", Inner::write_loop as fn(&Inner)), ("store-compact", Inner::chore_loop)]
        {
            threads.push(thread(name, work).map_err(io_error("cannot start a thread for", "the store"))?);
        }
        let settler = inner.clone();
        let settle = move || settles.into_iter().for_each(|written| settler.settle(written));
        let settler = std::thread::Builder::new().name("store-settle".to_owned()).spawn(settle);
        threads.push(settler.map_err(io_error("cannot start a thread for", "the store"))?);
        Ok((Store { inner, threads }, recovery))
    }

    /// Writes a batch and waits until it is as durable as the mode promises.
    pub fn write(&self, batch: Batch) -> Result<(), StoreError> {
        let inner = &*self.inner;
        let ops = batch.at(inner.clock.now())?;
        if ops.is_empty() {
            return Ok(());
        }
        let batch = Arc::new(Encoded::new(&ops, inner.salt));
        let slot = Slot::new();
        let mut queue = inner.queue();
        inner.enter(&mut queue, batch, Waiter::Thread(slot.clone()))?;
        // Who finds nobody writing and nobody waiting writes at once; else the writing thread does, for all.
        if !queue.busy && queue.waiting.len() == 1 {
            let (queue, written) = inner.lead(queue);
            let more = !queue.waiting.is_empty() || queue.closed || queue.exposed_since.is_some();
            drop(queue);
            if more {
                inner.turn.notify_one();
            }
            inner.settle(written);
        } else {
            // Whoever writes looks again when it is done; each call to wake costs.
            let busy = queue.busy;
            drop(queue);
            if !busy {
                inner.turn.notify_one();
            }
        }
        loop {
            match slot.taken() {
                Some(result) => return result.map_err(StoreError::Failing),
                None => std::thread::park(),
            }
        }
    }

    /// Takes a batch and returns at once; `done` is called from another thread. An error says that it was not taken.
    pub fn submit(&self, batch: Batch, done: Done) -> Result<(), StoreError> {
        let ops = batch.at(self.inner.clock.now())?;
        let batch = Arc::new(Encoded::new(&ops, self.inner.salt));
        let mut queue = self.inner.queue();
        self.inner.enter(&mut queue, batch, Waiter::Call(done))?;
        drop(queue);
        self.inner.turn.notify_one();
        Ok(())
    }

    /// The value of a key.
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        // Found under the lock, read without it: a copy of the view would make the next write copy too.
        let hit = lock(&self.inner.shared).find(key)?;
        let now = self.inner.clock.now();
        match hit.filter(|hit| hit.place.expires.is_none_or(|at| now < at)) {
            Some(hit) => hit.read(key),
            None => Ok(None),
        }
    }

    /// All that is there now; later writes do not change it.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { view: engine::view_of(&self.inner.shared), now: self.inner.clock.now() }
    }

    /// The store's time: Unix time in milliseconds, never less than it has seen.
    pub fn now(&self) -> u64 {
        self.inner.clock.now()
    }

    /// Compacts all there is. A damaged store is left alone unless `drop_damaged` says that what cannot be read may go.
    pub fn compact(&self, drop_damaged: bool) -> Result<Stat, StoreError> {
        let inner = &*self.inner;
        let _one = lock(&inner.compacting);
        let doubts =
            engine::view_of(&inner.shared).layers.iter().filter(|l| matches!(l, Layer::Doubt(_))).count();
        if doubts > 0 && !drop_damaged {
            return Err(StoreError::NeedsRepair(doubts));
        }
        let now = inner.clock.now();
        let merge = {
            let mut guard = lock(&inner.writer);
            let writer = guard.as_mut().ok_or(StoreError::Closed)?;
            writer.seal(&inner.shared, now)?;
            writer.plan(&engine::view_of(&inner.shared), true, now)
        };
        if let Some(merge) = merge {
            let merged = merge.run(drop_damaged)?;
            lock(&inner.writer).as_mut().ok_or(StoreError::Closed)?.install(&inner.shared, merged)?;
        }
        self.stat()
    }

    /// Its figures. It walks through all keys.
    pub fn stat(&self) -> Result<Stat, StoreError> {
        let (figures, failing) = {
            let guard = lock(&self.inner.writer);
            let writer = guard.as_ref().ok_or(StoreError::Closed)?;
            (writer.figures, writer.failing.clone())
        };
        let mut stat = self.snapshot().stat();
        (stat.figures, stat.failing) = (figures, failing);
        Ok(stat)
    }

    /// Counts since the start, and why the last write failed, if it did.
    pub fn figures(&self) -> (Figures, Option<String>) {
        let guard = lock(&self.inner.writer);
        guard.as_ref().map_or_else(Default::default, |w| (w.figures, w.failing.clone()))
    }

    /// Writes what waits, seals the present segment and lets others open the directory.
    pub fn close(mut self) -> Result<(), StoreError> {
        self.shut()
    }

    fn shut(&mut self) -> Result<(), StoreError> {
        let inner = &*self.inner;
        inner.queue().closed = true;
        inner.turn.notify_all();
        lock(&inner.chores).1 = true;
        inner.chore.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // a panic there was reported there
        }
        let now = inner.clock.now();
        match lock(&inner.writer).take() {
            Some(mut writer) => writer.seal(&inner.shared, now),
            None => Ok(()),
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.shut(); // what was acknowledged is there without the seal too
    }
}

impl Inner {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }

    fn wait<'a>(&self, queue: MutexGuard<'a, Queue>) -> MutexGuard<'a, Queue> {
        self.turn.wait(queue).unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, queue: &mut Queue, batch: Arc<Encoded>, waiter: Waiter) -> Result<(), StoreError> {
        let bytes = batch.bytes.len();
        if queue.closed {
            return Err(StoreError::Closed);
        }
        if queue.bytes + bytes > self.options.most_waiting && queue.bytes > 0 {
            return Err(StoreError::Failing("too many writes wait for the disk".to_owned()));
        }
        queue.bytes += bytes;
        queue.waiting.push_back(Queued { batch, bytes, waiter });
        Ok(())
    }

    /// Writes a group of what waits. It is still to be settled.
    fn lead<'a>(&'a self, mut queue: MutexGuard<'a, Queue>) -> (MutexGuard<'a, Queue>, Written) {
        queue.busy = true;
        let (mut group, mut bytes) = (Vec::new(), 0);
        while let Some(next) = queue.waiting.front().filter(|n| bytes == 0 || bytes + n.bytes <= GROUP) {
            bytes += next.bytes;
            group.extend(queue.waiting.pop_front());
        }
        queue.bytes -= bytes;
        drop(queue);
        let started = Instant::now();
        let result = self.write_group(&group);
        let mut queue = self.queue();
        queue.busy = false;
        if result.is_ok() && matches!(self.options.sync, SyncMode::Interval(_)) {
            queue.exposed_since.get_or_insert(started);
        }
        (queue, Written { group, result })
    }

    /// Shows a group to readers and tells its writers.
    fn settle(&self, written: Written) {
        let Written { group, result } = written;
        publish(&self.shared, &self.unpublished);
        let mut slots = Vec::with_capacity(group.len());
        let mut calls = Vec::new();
        for queued in group {
            match queued.waiter {
                Waiter::Thread(slot) => slots.push(slot),
                Waiter::Call(done) => calls.push(done),
            }
        }
        Slot::settle(&slots, &result);
        calls.into_iter().for_each(|done| done(result.clone()));
    }

    fn write_group(&self, group: &[Queued]) -> Result<(), String> {
        let mut guard = lock(&self.writer);
        let writer = guard.as_mut().ok_or_else(|| StoreError::Closed.to_string())?;
        let batches: Vec<Arc<Encoded>> = group.iter().map(|q| q.batch.clone()).collect();
        let layers = lock(&self.shared).layers.len();
        let result = writer.write_group(&self.shared, &batches, self.clock.now()).map_err(|e| e.to_string());
        drop(guard);
        if lock(&self.shared).layers.len() != layers {
            lock(&self.chores).0 = self.options.compacts;
            self.chore.notify_all();
        }
        result
    }

    /// Writes for those that do not wait, and syncs in mode `interval`.
    fn write_loop(&self) {
        let span = match self.options.sync {
            SyncMode::Interval(ms) => Some(Duration::from_millis(u64::from(ms))),
            _ => None,
        };
        let mut queue = self.queue();
        loop {
            if !queue.waiting.is_empty() && !queue.busy {
                let (after, written) = self.lead(queue);
                queue = after;
                // Telling writers takes about as long as a sync: another thread does it meanwhile.
                if let Some(settler) = &*lock(&self.written) {
                    let _ = settler.send(written); // it ends only after this thread
                }
                continue;
            }
            let due = span.zip(queue.exposed_since).map(|(span, since)| since + span);
            if due.is_some_and(|at| Instant::now() >= at || queue.closed) && !queue.busy {
                queue.exposed_since = None;
                drop(queue);
                let failed = lock(&self.writer)
                    .as_mut()
                    .is_some_and(|w| w.sync(&self.shared, self.clock.now()).is_err());
                queue = self.queue();
                if failed && !queue.closed {
                    queue.exposed_since = Some(Instant::now()); // what may be lost is written again with the next group
                }
                continue;
            }
            if queue.closed && queue.waiting.is_empty() && !queue.busy {
                lock(&self.written).take(); // the settling thread ends with it
                return;
            }
            queue = match due.map(|at| at.saturating_duration_since(Instant::now())) {
                Some(wait) if !queue.busy => {
                    self.turn.wait_timeout(queue, wait).unwrap_or_else(PoisonError::into_inner).0
                }
                _ => self.wait(queue),
            };
        }
    }

    /// Compacts what is worth it, each time a segment was closed.
    fn chore_loop(&self) {
        loop {
            let mut chores = lock(&self.chores);
            while !chores.0 && !chores.1 {
                chores = self.chore.wait(chores).unwrap_or_else(PoisonError::into_inner);
            }
            if chores.1 {
                return;
            }
            chores.0 = false;
            drop(chores);
            // A compaction that fails leaves all as it was; it is tried again once the next segment is closed.
            while matches!(self.compact_some(), Ok(true)) && !lock(&self.chores).1 {}
        }
    }

    fn compact_some(&self) -> Result<bool, StoreError> {
        let _one = lock(&self.compacting);
        let (view, now) = (engine::view_of(&self.shared), self.clock.now());
        // The plan walks through all keys: not under the writers' lock.
        let merge = engine::plan_apart(&self.writer, &view, now);
        let Some(merge) = merge else { return Ok(false) };
        let merged = merge.run(false)?;
        lock(&self.writer).as_mut().ok_or(StoreError::Closed)?.install(&self.shared, merged)?;
        Ok(true)
    }
}

/// All that was there at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    view: View,
    now: u64,
}

impl Snapshot {
    /// The value of a key.
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.view.get(key, self.now)
    }

    /// All records from a key on, in order. A record that cannot be read comes as an error, and the walk goes on.
    pub fn iter_from(&self, from: &[u8]) -> Iter {
        Iter { walk: self.view.walk(from), now: self.now }
    }

    /// Its figures.
    pub fn stat(&self) -> Stat {
        let parts = engine::parts(&self.view, self.now);
        let mut stat = Stat {
            segments: parts.len() + usize::from(self.view.active.is_some()),
            bytes: parts.iter().map(|p| p.bytes).sum(),
            dead: parts.iter().map(|p| p.dead).sum(),
            ..Stat::default()
        };
        stat.bytes += self.view.active.as_ref().and_then(|a| a.file.len().ok()).unwrap_or(0);
        for step in self.view.walk(&[]) {
            let place = step.hit.place;
            if !place.deletes && place.expires.is_none_or(|at| self.now < at) {
                stat.records += 1;
                // The record less its own lengths, flags and checksum.
                stat.live += u64::from(place.len).saturating_sub(8);
            }
        }
        let fresh = self.view.fresh.len() * 160;
        stat.memory = recover::runs(&self.view.layers).map(|run| run.memory()).sum::<usize>() + fresh;
        stat
    }
}

/// Records in order of their keys.
pub struct Iter {
    walk: Walk,
    now: u64,
}

impl Iterator for Iter {
    type Item = Result<(Vec<u8>, Vec<u8>), StoreError>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let step = self.walk.next()?;
            if let Some(doubt) = step.doubt {
                return Some(Err(doubt.error()));
            }
            if step.hit.place.expires.is_some_and(|at| self.now >= at) {
                continue;
            }
            match step.hit.read(&step.key) {
                Ok(Some(value)) => return Some(Ok((step.key, value))),
                Ok(None) => {}
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

/// Opens a directory to read it only: nothing in it is changed. What is returned last keeps writers out.
pub fn open_reader(dir: &Path) -> Result<(Snapshot, Recovery, Box<dyn Any + Send + Sync>), StoreError> {
    let shown = dir.display().to_string();
    let disk = RealDisk::new(dir, false).map_err(io_error("cannot open", &shown))?;
    let held = disk.lock(false).map_err(io_error("cannot lock", &shown))?;
    let held = held.ok_or(StoreError::Locked(shown))?;
    let opened = recover::open(&disk)?;
    let view = View { layers: opened.layers, ..View::default() };
    let now = Clock::new(opened.stamp).now();
    Ok((Snapshot { view, now }, opened.recovery, held))
}
