//! The store with its threads: one writes batches, one notifies their callers, one compacts.

mod compactor;
mod context;
mod write_pipeline;

use crate::Options;
use crate::UnixMillis;
use crate::batch::Batch;
use crate::clock::Clock;
use crate::compaction::DamagedRecords;
use crate::disk::{Disk, RealDisk};
use crate::error::{StoreError, io_error};
use crate::metrics::Metrics;
use crate::recovery::Recovery;
use crate::shared_view::{lock, view_of};
use crate::snapshot::{Snapshot, Stat};
use crate::write_queue::Callback;
use crate::writer::{self, OpenedWriter};
use compactor::Compactor;
use context::StoreContext;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use write_pipeline::WritePipeline;

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
    context: Arc<StoreContext>,
    writes: Arc<WritePipeline>,
    compactor: Arc<Compactor>,
    threads: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

/// Starts a named thread of the store.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StoreError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map_err(io_error("cannot start a thread for", "the store"))
}

impl Store {
    /// Opens the store in a directory, which is created if it does not exist.
    ///
    /// ```no_run
    /// use mothproxy_store::{Options, Store};
    /// use std::path::Path;
    ///
    /// let (store, recovery) = Store::open(Path::new("/var/lib/mothproxy"), Options::default())?;
    /// for damage in &recovery.damage {
    ///     eprintln!("{damage}");
    /// }
    /// # Ok::<(), mothproxy_store::StoreError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] if another process has it open, [`StoreError::Version`] and [`StoreError::Io`]. Damage is not an
    /// error; the [`Recovery`] lists it.
    pub fn open(dir: &Path, options: Options) -> Result<(Store, Recovery), StoreError> {
        let disk =
            RealDisk::open_or_create(dir).map_err(io_error("cannot open", &dir.display().to_string()))?;
        Store::open_on(Arc::new(disk), options)
    }

    /// Opens the store on a disk, real or simulated.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::open`].
    pub fn open_on(disk: Arc<dyn Disk>, options: Options) -> Result<(Store, Recovery), StoreError> {
        let OpenedWriter { writer, shared, recovery, written_at } = writer::open(disk, options)?;
        let salt = writer.salt();
        let unpublished = writer.unpublished();
        let context = Arc::new(StoreContext::new(options, Clock::new(written_at), shared, writer));
        let compactor = Arc::new(Compactor::new(context.clone()));
        let (writes, groups) = WritePipeline::new(context.clone(), compactor.clone(), salt, unpublished);
        let writes = Arc::new(writes);
        let mut threads = Vec::new();
        let pipeline = writes.clone();
        threads.push(spawn("store-write", move || pipeline.run_writer())?);
        let background = compactor.clone();
        threads.push(spawn("store-compact", move || background.run())?);
        let pipeline = writes.clone();
        threads.push(spawn("store-notify", move || pipeline.run_notifier(groups))?);
        Ok((Store { context, writes, compactor, threads }, recovery))
    }

    /// Writes a batch and waits until it is as durable as the [`SyncMode`](crate::SyncMode) promises. The batch takes effect
    /// as a whole or not at all.
    ///
    /// # Errors
    ///
    /// [`StoreError::Invalid`] if the batch is out of bounds, [`StoreError::QueueFull`], [`StoreError::Failing`] if the disk
    /// fails, and [`StoreError::Closed`]. The batch does not take effect then.
    pub fn write(&self, batch: Batch) -> Result<(), StoreError> {
        self.writes.write(batch)
    }

    /// Queues a batch and returns at once. `callback` is called from another thread once the batch is written or has failed.
    ///
    /// ```
    /// # use mothproxy_store::{Batch, Options, Store, StoreError, sim::SimDisk};
    /// # use std::sync::Arc;
    /// # let (store, _) = Store::open_on(Arc::new(SimDisk::new(1)), Options::default())?;
    /// let (sender, receiver) = std::sync::mpsc::channel();
    /// store.submit(Batch::new().put("key", "value"), Box::new(move |result| {
    ///     let _ = sender.send(result.is_ok());
    /// }))?;
    /// assert_eq!(receiver.recv(), Ok(true));
    /// # Ok::<(), StoreError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// The errors of [`Store::write`], except for [`StoreError::Failing`], which `callback` receives. After an error the
    /// batch is not queued, and `callback` is never called.
    pub fn submit(&self, batch: Batch, callback: Callback) -> Result<(), StoreError> {
        self.writes.submit(batch, callback)
    }

    /// The value of a key; `None` if it has none or has expired.
    ///
    /// # Errors
    ///
    /// [`StoreError::InDoubt`] and [`StoreError::Damaged`] if damage concerns the key, [`StoreError::Io`].
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        // Look up under the lock and read without it. A copy of the view would make the next write copy it too.
        let hit = lock(&self.context.view).find(key)?;
        let now = self.context.clock.now();
        match hit.filter(|hit| !hit.location.is_expired(now)) {
            Some(hit) => hit.read(key),
            None => Ok(None),
        }
    }

    /// A snapshot of the current contents, which later writes do not change.
    ///
    /// ```
    /// # use mothproxy_store::{Batch, Options, Store, StoreError, sim::SimDisk};
    /// # use std::sync::Arc;
    /// # let (store, _) = Store::open_on(Arc::new(SimDisk::new(1)), Options::default())?;
    /// store.write(Batch::new().put("a", "1").put("b", "2"))?;
    /// let snapshot = store.snapshot();
    /// store.write(Batch::new().delete("b"))?;
    /// let records = snapshot.iter_from(b"b").collect::<Result<Vec<_>, _>>()?;
    /// assert_eq!(records, [(b"b".to_vec(), b"2".to_vec())]);
    /// # Ok::<(), StoreError>(())
    /// ```
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(view_of(&self.context.view), self.context.clock.now())
    }

    /// The store's time, which never goes back, not even across restarts.
    pub fn now(&self) -> UnixMillis {
        self.context.clock.now()
    }

    /// Compacts all segments into one, and returns the statistics after it.
    ///
    /// ```
    /// # use mothproxy_store::{Batch, DamagedRecords, Options, Store, StoreError, sim::SimDisk};
    /// # use std::sync::Arc;
    /// # let (store, _) = Store::open_on(Arc::new(SimDisk::new(1)), Options::default())?;
    /// store.write(Batch::new().put("a", "1").put("b", "2"))?;
    /// store.write(Batch::new().delete("b"))?;
    /// assert_eq!(store.compact(DamagedRecords::Refuse)?.records, 1);
    /// # Ok::<(), StoreError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// [`StoreError::NeedsRepair`] if the store is damaged and `damaged` is [`DamagedRecords::Refuse`], [`StoreError::Io`]
    /// and [`StoreError::Closed`].
    pub fn compact(&self, damaged: DamagedRecords) -> Result<Stat, StoreError> {
        self.compactor.compact_all(damaged)?;
        self.stat()
    }

    /// Statistics of the store. This visits all keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::Closed`].
    pub fn stat(&self) -> Result<Stat, StoreError> {
        let metrics = self.context.metrics().ok_or(StoreError::Closed)?;
        Ok(Stat { metrics, last_failure: self.last_failure(), ..self.snapshot().stat() })
    }

    /// Counters since the store was opened.
    pub fn metrics(&self) -> Metrics {
        self.context.metrics().unwrap_or_default()
    }

    /// The error of the last write; `None` if the last write succeeded.
    pub fn last_failure(&self) -> Option<Arc<StoreError>> {
        self.context.last_failure()
    }

    /// Writes all queued batches, seals the active segment and unlocks the directory.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the footer of the active segment cannot be written. Acknowledged writes are safe without it.
    pub fn close(mut self) -> Result<(), StoreError> {
        self.shut_down()
    }

    fn shut_down(&mut self) -> Result<(), StoreError> {
        self.writes.close();
        self.compactor.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // the thread reported its own panic
        }
        match self.context.take_writer() {
            Some(mut writer) => writer.seal(&self.context.view, self.context.clock.now()),
            None => Ok(()),
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.shut_down(); // acknowledged writes are safe without the footer
    }
}
