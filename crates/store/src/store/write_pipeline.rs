//! The way of a batch from a caller to the disk and back: a queue, groups that share one sync, and the notification of those
//! who wait.
//!
//! A caller that finds nobody writing writes its batch itself. Else the writing thread writes all that waits as one group, and
//! the notifying thread notifies the writers of a group while the next one is written.

use super::compactor::Compactor;
use super::context::StoreContext;
use crate::SyncMode;
use crate::batch::Batch;
use crate::error::StoreError;
use crate::format::EncodedBatch;
use crate::shared_view::{Unpublished, lock, publish};
use crate::waiting_thread::WaitingThread;
use crate::write_queue::{Callback, QueuedBatch, Waiter, WriteQueue, WriteResult, WrittenGroup};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Takes batches, writes them in groups and notifies those who wait for them.
pub(super) struct WritePipeline {
    context: Arc<StoreContext>,
    compactor: Arc<Compactor>,
    /// The salt with which batches are encoded.
    salt: u64,
    unpublished: Unpublished,
    queue: Mutex<WriteQueue>,
    /// The writing thread has something to do.
    write_needed: Condvar,
    /// Where the writing thread passes on groups that it has written; `None` once it has ended.
    written: Mutex<Option<Sender<WrittenGroup>>>,
}

impl WritePipeline {
    /// A pipeline whose batches are encoded with `salt`, and the groups that [`WritePipeline::run_notifier`] takes.
    pub fn new(
        context: Arc<StoreContext>,
        compactor: Arc<Compactor>,
        salt: u64,
        unpublished: Unpublished,
    ) -> (WritePipeline, Receiver<WrittenGroup>) {
        let (written, groups) = channel();
        let pipeline = WritePipeline {
            context,
            compactor,
            salt,
            unpublished,
            queue: Mutex::default(),
            write_needed: Condvar::new(),
            written: Mutex::new(Some(written)),
        };
        (pipeline, groups)
    }

    fn queue(&self) -> MutexGuard<'_, WriteQueue> {
        lock(&self.queue)
    }

    /// Writes a batch and waits until it is as durable as the mode promises.
    pub fn write(&self, batch: Batch) -> Result<(), StoreError> {
        let operations = batch.into_operations(self.context.clock.now())?;
        if operations.is_empty() {
            return Ok(());
        }
        let batch = Arc::new(EncodedBatch::new(&operations, self.salt));
        let thread = WaitingThread::current();
        let mut queue = self.queue();
        queue.push(batch, Waiter::Thread(thread.clone()), self.context.options.max_queued_bytes)?;
        if !queue.is_writing && queue.len() == 1 {
            self.write_own_batch(queue);
        } else {
            self.wake_writing_thread(queue);
        }
        thread.wait().map_err(StoreError::Failing)
    }

    /// Takes a batch and returns at once; `callback` is called from another thread.
    pub fn submit(&self, batch: Batch, callback: Callback) -> Result<(), StoreError> {
        let operations = batch.into_operations(self.context.clock.now())?;
        let batch = Arc::new(EncodedBatch::new(&operations, self.salt));
        let mut queue = self.queue();
        queue.push(batch, Waiter::Callback(callback), self.context.options.max_queued_bytes)?;
        drop(queue);
        self.write_needed.notify_one();
        Ok(())
    }

    /// Takes no more batches. The threads end once what waits is written.
    pub fn close(&self) {
        self.queue().is_closed = true;
        self.write_needed.notify_all();
    }

    /// Writes the batch of the caller, which nothing else waits beside.
    fn write_own_batch<'a>(&'a self, queue: MutexGuard<'a, WriteQueue>) {
        let (queue, written) = self.write_next_group(queue);
        let has_more = !queue.is_empty() || queue.is_closed || queue.exposed_since.is_some();
        drop(queue);
        if has_more {
            self.write_needed.notify_one();
        }
        self.acknowledge(written);
    }

    /// Wakes the writing thread if nobody is writing: who is looks at the queue again when done, and each call to wake costs.
    fn wake_writing_thread(&self, queue: MutexGuard<'_, WriteQueue>) {
        let is_writing = queue.is_writing;
        drop(queue);
        if !is_writing {
            self.write_needed.notify_one();
        }
    }

    /// Writes a group of what waits. Its writers are still to be notified: see [`WritePipeline::acknowledge`].
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
        if result.is_ok() && matches!(self.context.options.sync, SyncMode::Interval(_)) {
            queue.exposed_since.get_or_insert(started);
        }
        (queue, WrittenGroup { batches, result })
    }

    fn write_group(&self, group: &[QueuedBatch]) -> WriteResult {
        let batches: Vec<Arc<EncodedBatch>> = group.iter().map(|queued| queued.batch.clone()).collect();
        let layer_count = || lock(&self.context.view).layers.len();
        let mut has_new_layer = false;
        let result = self.context.with_writer(|writer| {
            let layers_before = layer_count();
            let result = writer.write_group(&self.context.view, &batches, self.context.clock.now());
            has_new_layer = layer_count() != layers_before;
            result
        });
        if has_new_layer {
            self.compactor.request();
        }
        match result {
            Ok(()) => {
                self.context.on_write_succeeded();
                Ok(())
            }
            Err(error) => Err(self.context.on_write_failed(error)),
        }
    }

    /// Makes a group visible to readers and notifies its writers.
    fn acknowledge(&self, group: WrittenGroup) {
        publish(&self.context.view, &self.unpublished);
        group.notify();
    }

    /// The notifying thread: notifies the writers of groups that the writing thread has written.
    pub fn run_notifier(&self, groups: Receiver<WrittenGroup>) {
        groups.into_iter().for_each(|group| self.acknowledge(group));
    }

    /// The writing thread: writes for those that do not wait, and syncs in mode `interval`.
    pub fn run_writer(&self) {
        let interval = match self.context.options.sync {
            SyncMode::Interval(interval) => Some(interval),
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
        let now = self.context.clock.now();
        let result = self.context.with_writer(|writer| writer.sync(&self.context.view, now));
        let has_failed = result.is_err();
        if let Err(error) = result {
            self.context.on_write_failed(error);
        }
        let mut queue = self.queue();
        if has_failed && !queue.is_closed {
            queue.exposed_since = Some(Instant::now()); // what may be lost is written again with the next group
        }
        queue
    }
}
