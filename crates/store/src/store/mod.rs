//! The store with its threads: one writes, one notifies those whose batches were written, one compacts.

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

/// Starts a thread of the store.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StoreError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map_err(io_error("cannot start a thread for", "the store"))
}

impl Store {
    /// Opens a directory, created if it is not there.
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
        let (salt, unpublished) = (writer.salt(), writer.unpublished());
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

    /// Writes a batch and waits until it is as durable as the mode promises. All of the batch takes effect, or nothing.
    ///
    /// # Errors
    ///
    /// [`StoreError::Invalid`] where the batch is out of bounds, [`StoreError::QueueFull`], [`StoreError::Failing`] where the
    /// disk fails, and [`StoreError::Closed`]. Nothing of the batch takes effect then.
    pub fn write(&self, batch: Batch) -> Result<(), StoreError> {
        self.writes.write(batch)
    }

    /// Takes a batch and returns at once; `callback` is called from another thread.
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
    /// Those of [`Store::write`] but [`StoreError::Failing`], which goes to `callback`: the batch was not taken, and `callback`
    /// is never called.
    pub fn submit(&self, batch: Batch, callback: Callback) -> Result<(), StoreError> {
        self.writes.submit(batch, callback)
    }

    /// The value of a key.
    ///
    /// # Errors
    ///
    /// [`StoreError::InDoubt`] and [`StoreError::Damaged`] where damage concerns the key, [`StoreError::Io`].
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        // Found under the lock, read without it: a copy of the view would make the next write copy too.
        let hit = lock(&self.context.view).find(key)?;
        let now = self.context.clock.now();
        match hit.filter(|hit| !hit.location.is_expired(now)) {
            Some(hit) => hit.read(key),
            None => Ok(None),
        }
    }

    /// The present contents; later writes do not change them.
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

    /// The store's time, never less than it has seen.
    pub fn now(&self) -> UnixMillis {
        self.context.clock.now()
    }

    /// Compacts all there is into one segment, and returns the statistics after it.
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
    /// [`StoreError::NeedsRepair`] where it is damaged and `damaged` refuses that, [`StoreError::Io`] and
    /// [`StoreError::Closed`].
    pub fn compact(&self, damaged: DamagedRecords) -> Result<Stat, StoreError> {
        self.compactor.compact_all(damaged)?;
        self.stat()
    }

    /// Its statistics. It walks through all keys.
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

    /// Why the last write failed; `None` once one has succeeded since.
    pub fn last_failure(&self) -> Option<Arc<StoreError>> {
        self.context.last_failure()
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
        self.writes.close();
        self.compactor.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // a panic there was reported there
        }
        match self.context.take_writer() {
            Some(mut writer) => writer.seal(&self.context.view, self.context.clock.now()),
            None => Ok(()),
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.shut_down(); // what was acknowledged is there without the seal too
    }
}
