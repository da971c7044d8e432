//! The path of a batch from its caller to the disk and back: a queue, groups that share one sync, and notifications.
//!
//! If no thread is writing, a caller writes its batch itself. Otherwise the writing thread writes all queued batches as one
//! group, and the notifying thread notifies their callers while the next group is written.

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

/// Queues batches, writes them in groups and notifies their callers.
pub(super) struct WritePipeline {
    context: Arc<StoreContext>,
    compactor: Arc<Compactor>,
    /// The salt with which batches are encoded.
    salt: u64,
    unpublished: Unpublished,
    queue: Mutex<WriteQueue>,
    /// Signals the writing thread that it has something to do.
    write_needed: Condvar,
    /// The channel for groups from the writing thread to the notifying thread; `None` once the writing thread has ended.
    written: Mutex<Option<Sender<WrittenGroup>>>,
}

impl WritePipeline {
    /// Creates a pipeline that encodes batches with `salt`, and the receiver for [`WritePipeline::run_notifier`].
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

    /// Queues a batch and returns at once; `callback` is called from another thread.
    pub fn submit(&self, batch: Batch, callback: Callback) -> Result<(), StoreError> {
        let operations = batch.into_operations(self.context.clock.now())?;
        let batch = Arc::new(EncodedBatch::new(&operations, self.salt));
        let mut queue = self.queue();
        queue.push(batch, Waiter::Callback(callback), self.context.options.max_queued_bytes)?;
        drop(queue);
        self.write_needed.notify_one();
        Ok(())
    }

    /// Refuses further batches. The threads end once the queued ones are written.
    pub fn close(&self) {
        self.queue().is_closed = true;
        self.write_needed.notify_all();
    }

    /// Writes the caller's own batch, which is the only one in the queue.
    fn write_own_batch<'a>(&'a self, queue: MutexGuard<'a, WriteQueue>) {
        let (queue, written) = self.write_next_group(queue);
        let has_more = !queue.is_empty() || queue.is_closed || queue.unsynced_since.is_some();
        drop(queue);
        if has_more {
            self.write_needed.notify_one();
        }
        self.acknowledge(written);
    }

    /// Wakes the writing thread if no thread is writing. A thread that is writing checks the queue again when it is done, and
    /// each wake is expensive.
    fn wake_writing_thread(&self, queue: MutexGuard<'_, WriteQueue>) {
        let is_writing = queue.is_writing;
        drop(queue);
        if !is_writing {
            self.write_needed.notify_one();
        }
    }

    /// Writes the next group of queued batches. The caller has to pass it to [`WritePipeline::acknowledge`].
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
            queue.unsynced_since.get_or_insert(started);
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

    /// Makes a group visible to readers and notifies its callers.
    fn acknowledge(&self, group: WrittenGroup) {
        publish(&self.context.view, &self.unpublished);
        group.notify();
    }

    /// The body of the notifying thread: notifies the callers of the groups that the writing thread has written.
    pub fn run_notifier(&self, groups: Receiver<WrittenGroup>) {
        groups.into_iter().for_each(|group| self.acknowledge(group));
    }

    /// The body of the writing thread: writes queued batches, and syncs in mode [`SyncMode::Interval`].
    pub fn run_writer(&self) {
        let interval = match self.context.options.sync {
            SyncMode::Interval(interval) => Some(interval),
            SyncMode::Always | SyncMode::Never => None,
        };
        let mut queue = self.queue();
        loop {
            let sync_due = interval.zip(queue.unsynced_since).map(|(interval, since)| since + interval);
            let is_sync_due =
                |queue: &WriteQueue| sync_due.is_some_and(|due| Instant::now() >= due || queue.is_closed);
            queue = if queue.is_writing {
                self.wait(queue, None)
            } else if !queue.is_empty() {
                self.write_for_others(queue)
            } else if is_sync_due(&queue) {
                self.sync_acknowledged(queue)
            } else if queue.is_closed {
                lock(&self.written).take(); // ends the notifying thread
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
        // Notifying the callers takes about as long as a sync, so another thread does it in the meantime.
        if let Some(notifier) = &*lock(&self.written) {
            let _ = notifier.send(written); // the notifying thread ends only after this one
        }
        queue
    }

    /// Syncs the writes that were acknowledged without a sync.
    fn sync_acknowledged<'a>(&'a self, mut queue: MutexGuard<'a, WriteQueue>) -> MutexGuard<'a, WriteQueue> {
        queue.unsynced_since = None;
        drop(queue);
        let now = self.context.clock.now();
        let result = self.context.with_writer(|writer| writer.sync(&self.context.view, now));
        let has_failed = result.is_err();
        if let Err(error) = result {
            self.context.on_write_failed(error);
        }
        let mut queue = self.queue();
        if has_failed && !queue.is_closed {
            queue.unsynced_since = Some(Instant::now()); // the next group writes again what may be lost
        }
        queue
    }
}
