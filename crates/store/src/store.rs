//! The store with its threads: writers that wait share one sync, a thread writes for those that do not wait, another compacts,
//! and one notifies the writers of a group while the next group is written.

use crate::batch::Batch;
use crate::clock::Clock;
use crate::compaction::plan_without_lock;
use crate::disk::{Disk, RealDisk};
use crate::error::{StoreError, io_error};
use crate::format::EncodedBatch;
use crate::metrics::Metrics;
use crate::recovery::Recovery;
use crate::shared_view::{SharedView, Unpublished, lock, publish, view_of};
use crate::snapshot::{Snapshot, Stat};
use crate::waiting_thread::WaitingThread;
use crate::write_queue::{Callback, QueuedBatch, Waiter, WriteQueue, WrittenGroup};
use crate::writer::{self, OpenedWriter, Writer};
use crate::{Options, SyncMode};
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What the compacting thread waits for.
#[derive(Clone, Copy, Debug)]
struct CompactionSignal {
    /// There may be something to compact.
    is_requested: bool,
    is_closing: bool,
}

/// What the threads share.
struct Inner {
    options: Options,
    clock: Clock,
    shared: SharedView,
    /// The salt with which batches are encoded.
    salt: u64,
    unpublished: Unpublished,
    /// Where the writing thread passes on groups that it has written.
    written: Mutex<Option<Sender<WrittenGroup>>>,
    writer: Mutex<Option<Writer>>,
    queue: Mutex<WriteQueue>,
    /// The writing thread has something to do.
    write_needed: Condvar,
    compaction: Mutex<CompactionSignal>,
    compaction_needed: Condvar,
    /// One compaction at a time.
    compacting: Mutex<()>,
}

/// An open store. Dropping it closes it.
///
/// ```
/// use mothproxy_store::sim::SimDisk;
/// use mothproxy_store::{Batch, Options, Store};
/// use std::sync::Arc;
///
/// let (store, recovery) = Store::open_on(Arc::new(SimDisk::new(1)), Options::default())?;
/// assert!(recovery.damage.is_empty());
/// store.write(Batch::new().put("key", "value"))?;
/// assert_eq!(store.get(b"key")?, Some(b"value".to_vec()));
/// store.close()?;
/// # Ok::<(), mothproxy_store::StoreError>(())
/// ```
pub struct Store {
    inner: Arc<Inner>,
    threads: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

/// Starts a thread of the store.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StoreError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map_err(io_error("cannot start a thread for", "the store"))
}

impl Store {
    /// Opens a directory, created if it is not there.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] where another process has it open, [`StoreError::Version`] and [`StoreError::Io`]. Damage is no
    /// error: it is in the [`Recovery`].
    pub fn open(dir: &Path, options: Options) -> Result<(Store, Recovery), StoreError> {
        let disk =
            RealDisk::open_or_create(dir).map_err(io_error("cannot open", &dir.display().to_string()))?;
        Store::open_on(Arc::new(disk), options)
    }

    /// Opens a disk.
    ///
    /// # Errors
    ///
    /// Those of [`Store::open`].
    pub fn open_on(disk: Arc<dyn Disk>, options: Options) -> Result<(Store, Recovery), StoreError> {
        let OpenedWriter { writer, shared, recovery, written_at } = writer::open(disk, options)?;
        let (written, groups) = channel::<WrittenGroup>();
        let inner = Arc::new(Inner {
            options,
            clock: Clock::new(written_at),
            shared,
            salt: writer.salt(),
            unpublished: writer.unpublished(),
            written: Mutex::new(Some(written)),
            writer: Mutex::new(Some(writer)),
            queue: Mutex::default(),
            write_needed: Condvar::new(),
            compaction: Mutex::new(CompactionSignal { is_requested: options.compacts, is_closing: false }),
            compaction_needed: Condvar::new(),
            compacting: Mutex::new(()),
        });
        let mut threads = Vec::new();
        let for_writing = inner.clone();
        threads.push(spawn("store-write", move || for_writing.write_loop())?);
        let for_compacting = inner.clone();
        threads.push(spawn("store-compact", move || for_compacting.compact_loop())?);
        let for_notifying = inner.clone();
        let notify = move || groups.into_iter().for_each(|group| for_notifying.acknowledge(group));
        threads.push(spawn("store-settle", notify)?);
        Ok((Store { inner, threads }, recovery))
    }

    /// Writes a batch and waits until it is as durable as the mode promises.
    ///
    /// # Errors
    ///
    /// [`StoreError::Invalid`] where the batch is out of bounds, [`StoreError::Failing`] where the disk fails, and
    /// [`StoreError::Closed`]. Nothing of the batch counts then.
    pub fn write(&self, batch: Batch) -> Result<(), StoreError> {
        let inner = &*self.inner;
        let operations = batch.into_operations(inner.clock.now())?;
        if operations.is_empty() {
            return Ok(());
        }
        let batch = Arc::new(EncodedBatch::new(&operations, inner.salt));
        let thread = WaitingThread::current();
        let mut queue = inner.queue();
        queue.push(batch, Waiter::Thread(thread.clone()), inner.options.max_queued_bytes)?;
        // Who finds nobody writing and nobody waiting writes at once; else the writing thread does, for all.
        if !queue.is_writing && queue.len() == 1 {
            let (queue, written) = inner.write_next_group(queue);
            let has_more = !queue.is_empty() || queue.is_closed || queue.exposed_since.is_some();
            drop(queue);
            if has_more {
                inner.write_needed.notify_one();
            }
            inner.acknowledge(written);
        } else {
            // Whoever writes looks at the queue again when it is done; each call to wake costs.
            let is_writing = queue.is_writing;
            drop(queue);
            if !is_writing {
                inner.write_needed.notify_one();
            }
        }
        thread.wait().map_err(StoreError::Failing)
    }

    /// Takes a batch and returns at once; `callback` is called from another thread.
    ///
    /// # Errors
    ///
    /// Those of [`Store::write`]: the batch was not taken, and `callback` is never called.
    pub fn submit(&self, batch: Batch, callback: Callback) -> Result<(), StoreError> {
        let inner = &*self.inner;
        let operations = batch.into_operations(inner.clock.now())?;
        let batch = Arc::new(EncodedBatch::new(&operations, inner.salt));
        let mut queue = inner.queue();
        queue.push(batch, Waiter::Callback(callback), inner.options.max_queued_bytes)?;
        drop(queue);
        inner.write_needed.notify_one();
        Ok(())
    }

    /// The value of a key.
    ///
    /// # Errors
    ///
    /// [`StoreError::InDoubt`] and [`StoreError::Damaged`] where damage concerns the key, [`StoreError::Io`].
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        // Found under the lock, read without it: a copy of the view would make the next write copy too.
        let hit = lock(&self.inner.shared).find(key)?;
        let now = self.inner.clock.now();
        match hit.filter(|hit| !hit.location.is_expired(now)) {
            Some(hit) => hit.read(key),
            None => Ok(None),
        }
    }

    /// The present contents; later writes do not change them.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(view_of(&self.inner.shared), self.inner.clock.now())
    }

    /// The store's time: Unix time in milliseconds, never less than it has seen.
    pub fn now(&self) -> u64 {
        self.inner.clock.now()
    }

    /// Compacts all there is. A damaged store is left alone unless `drop_damaged` says that what cannot be read may be lost.
    ///
    /// # Errors
    ///
    /// [`StoreError::NeedsRepair`] where it is damaged, [`StoreError::Io`] and [`StoreError::Closed`].
    pub fn compact(&self, drop_damaged: bool) -> Result<Stat, StoreError> {
        let inner = &*self.inner;
        let _one = lock(&inner.compacting);
        let damaged = view_of(&inner.shared).layers.iter().filter(|layer| layer.is_damaged()).count();
        if damaged > 0 && !drop_damaged {
            return Err(StoreError::NeedsRepair(damaged));
        }
        let now = inner.clock.now();
        let compaction = {
            let mut guard = lock(&inner.writer);
            let writer = guard.as_mut().ok_or(StoreError::Closed)?;
            writer.seal(&inner.shared, now)?;
            writer.plan_full_compaction(&view_of(&inner.shared), now)
        };
        if let Some(compaction) = compaction {
            let merged = compaction.run(drop_damaged)?;
            lock(&inner.writer).as_mut().ok_or(StoreError::Closed)?.install(&inner.shared, merged)?;
        }
        self.stat()
    }

    /// Its statistics. It walks through all keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::Closed`].
    pub fn stat(&self) -> Result<Stat, StoreError> {
        let (metrics, failing) = {
            let guard = lock(&self.inner.writer);
            let writer = guard.as_ref().ok_or(StoreError::Closed)?;
            (writer.metrics, writer.failing.clone())
        };
        Ok(Stat { metrics, failing, ..self.snapshot().stat() })
    }

    /// Counters since the store was opened, and why the last write failed, if it did.
    pub fn metrics(&self) -> (Metrics, Option<String>) {
        let guard = lock(&self.inner.writer);
        guard.as_ref().map_or_else(Default::default, |writer| (writer.metrics, writer.failing.clone()))
    }

    /// Writes what waits, seals the active segment and lets others open the directory.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] where the seal cannot be written; what was acknowledged counts without it.
    pub fn close(mut self) -> Result<(), StoreError> {
        self.shut_down()
    }

    fn shut_down(&mut self) -> Result<(), StoreError> {
        let inner = &*self.inner;
        inner.queue().is_closed = true;
        inner.write_needed.notify_all();
        lock(&inner.compaction).is_closing = true;
        inner.compaction_needed.notify_all();
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
        let _ = self.shut_down(); // what was acknowledged is there without the seal too
    }
}

impl Inner {
    fn queue(&self) -> MutexGuard<'_, WriteQueue> {
        lock(&self.queue)
    }

    /// Writes a group of what waits. Its writers are still to be notified: see [`Inner::acknowledge`].
    fn write_next_group<'a>(
        &'a self,
        mut queue: MutexGuard<'a, WriteQueue>,
    ) -> (MutexGuard<'a, WriteQueue>, WrittenGroup) {
        queue.is_writing = true;
        let batches = queue.pop_group();
        drop(queue);
        let started = Instant::now();
        let result = self.write_group(&batches);
        let mut queue = self.queue();
        queue.is_writing = false;
        if result.is_ok() && matches!(self.options.sync, SyncMode::Interval(_)) {
            queue.exposed_since.get_or_insert(started);
        }
        (queue, WrittenGroup { batches, result })
    }

    /// Makes a group visible to readers and notifies its writers.
    fn acknowledge(&self, group: WrittenGroup) {
        publish(&self.shared, &self.unpublished);
        group.notify();
    }

    fn write_group(&self, group: &[QueuedBatch]) -> Result<(), String> {
        let mut guard = lock(&self.writer);
        let writer = guard.as_mut().ok_or_else(|| StoreError::Closed.to_string())?;
        let batches: Vec<Arc<EncodedBatch>> = group.iter().map(|queued| queued.batch.clone()).collect();
        let layers_before = lock(&self.shared).layers.len();
        let result = writer.write_group(&self.shared, &batches, self.clock.now());
        drop(guard);
        if lock(&self.shared).layers.len() != layers_before {
            lock(&self.compaction).is_requested = self.options.compacts;
            self.compaction_needed.notify_all();
        }
        result.map_err(|error| error.to_string())
    }

    /// Writes for those that do not wait, and syncs in mode `interval`.
    fn write_loop(&self) {
        let interval = match self.options.sync {
            SyncMode::Interval(millis) => Some(Duration::from_millis(u64::from(millis))),
            SyncMode::Always | SyncMode::Never => None,
        };
        let mut queue = self.queue();
        loop {
            let sync_due = interval.zip(queue.exposed_since).map(|(interval, since)| since + interval);
            let is_sync_due =
                |queue: &WriteQueue| sync_due.is_some_and(|due| Instant::now() >= due || queue.is_closed);
            queue = if queue.is_writing {
                self.wait(queue, None)
            } else if !queue.is_empty() {
                self.write_for_others(queue)
            } else if is_sync_due(&queue) {
                self.sync_exposed(queue)
            } else if queue.is_closed {
                lock(&self.written).take(); // the notifying thread ends with it
                return;
            } else {
                self.wait(queue, sync_due)
            };
        }
    }

    /// Waits until there is something to write, or until `due`.
    fn wait<'a>(
        &self,
        queue: MutexGuard<'a, WriteQueue>,
        due: Option<Instant>,
    ) -> MutexGuard<'a, WriteQueue> {
        let Some(due) = due else {
            return self.write_needed.wait(queue).unwrap_or_else(PoisonError::into_inner);
        };
        let timeout = due.saturating_duration_since(Instant::now());
        self.write_needed.wait_timeout(queue, timeout).unwrap_or_else(PoisonError::into_inner).0
    }

    fn write_for_others<'a>(&'a self, queue: MutexGuard<'a, WriteQueue>) -> MutexGuard<'a, WriteQueue> {
        let (queue, written) = self.write_next_group(queue);
        // Notifying writers takes about as long as a sync: another thread does it meanwhile.
        if let Some(notifier) = &*lock(&self.written) {
            let _ = notifier.send(written); // it ends only after this thread
        }
        queue
    }

    /// Syncs what was acknowledged without a sync.
    fn sync_exposed<'a>(&'a self, mut queue: MutexGuard<'a, WriteQueue>) -> MutexGuard<'a, WriteQueue> {
        queue.exposed_since = None;
        drop(queue);
        let sync = |writer: &mut Writer| writer.sync(&self.shared, self.clock.now());
        let has_failed = lock(&self.writer).as_mut().is_some_and(|writer| sync(writer).is_err());
        let mut queue = self.queue();
        if has_failed && !queue.is_closed {
            queue.exposed_since = Some(Instant::now()); // what may be lost is written again with the next group
        }
        queue
    }

    /// Compacts what pays off, each time a segment was closed.
    fn compact_loop(&self) {
        while self.wait_for_compaction() {
            // A compaction that fails leaves all as it was; it is tried again once the next segment is closed.
            while matches!(self.compact_once(), Ok(true)) && !lock(&self.compaction).is_closing {}
        }
    }

    /// Waits until there may be something to compact; `false` once the store is closing.
    fn wait_for_compaction(&self) -> bool {
        let mut signal = lock(&self.compaction);
        while !signal.is_requested && !signal.is_closing {
            signal = self.compaction_needed.wait(signal).unwrap_or_else(PoisonError::into_inner);
        }
        signal.is_requested = false;
        !signal.is_closing
    }

    /// Compacts what pays off most. Returns whether there was anything.
    fn compact_once(&self) -> Result<bool, StoreError> {
        let _one = lock(&self.compacting);
        let (view, now) = (view_of(&self.shared), self.clock.now());
        let Some(compaction) = plan_without_lock(&self.writer, &view, now) else { return Ok(false) };
        let merged = compaction.run(false)?;
        lock(&self.writer).as_mut().ok_or(StoreError::Closed)?.install(&self.shared, merged)?;
        Ok(true)
    }
}
