//! The queue of batches to be written, and the groups in which they are written.

use crate::error::StoreError;
use crate::format::EncodedBatch;
use crate::waiting_thread::WaitingThread;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// The maximum size of a group, in bytes.
const MAX_GROUP_BYTES: usize = 4 << 20;

/// The result of writing a group of batches. All callers of the group share the same error.
pub type WriteResult = Result<(), Arc<StoreError>>;

/// Called once a batch is written or has failed.
pub type Callback = Box<dyn FnOnce(WriteResult) + Send>;

/// The caller to notify about a batch.
pub(crate) enum Waiter {
    Thread(Arc<WaitingThread>),
    Callback(Callback),
}

/// A batch in the queue, with the caller to notify.
pub(crate) struct QueuedBatch {
    pub batch: Arc<EncodedBatch>,
    waiter: Waiter,
}

impl QueuedBatch {
    fn len(&self) -> usize {
        self.batch.bytes.len()
    }
}

/// A group that was written or has failed.
pub(crate) struct WrittenGroup {
    pub batches: Vec<QueuedBatch>,
    pub result: WriteResult,
}

impl WrittenGroup {
    /// Notifies the callers of all batches of the group.
    pub fn notify(self) {
        let WrittenGroup { batches, result } = self;
        let mut threads = Vec::with_capacity(batches.len());
        let mut callbacks = Vec::new();
        for queued in batches {
            match queued.waiter {
                Waiter::Thread(thread) => threads.push(thread),
                Waiter::Callback(callback) => callbacks.push(callback),
            }
        }
        WaitingThread::complete(&threads, &result);
        callbacks.into_iter().for_each(|callback| callback(result.clone()));
    }
}

/// The queue of batches to be written.
#[derive(Default)]
pub(crate) struct WriteQueue {
    waiting: VecDeque<QueuedBatch>,
    bytes: usize,
    /// Whether a thread is writing a group.
    pub is_writing: bool,
    pub is_closed: bool,
    /// When the writing of the oldest batch that is acknowledged and not durable began; `None` if there is none.
    pub unsynced_since: Option<Instant>,
}

impl WriteQueue {
    /// Appends a batch, unless the queue would then exceed `max_bytes`. An empty queue accepts any batch.
    pub fn push(
        &mut self,
        batch: Arc<EncodedBatch>,
        waiter: Waiter,
        max_bytes: usize,
    ) -> Result<(), StoreError> {
        let len = batch.bytes.len();
        if self.is_closed {
            return Err(StoreError::Closed);
        }
        if self.bytes + len > max_bytes && self.bytes > 0 {
            return Err(StoreError::QueueFull);
        }
        self.bytes += len;
        self.waiting.push_back(QueuedBatch { batch, waiter });
        Ok(())
    }

    /// Removes and returns the batches of the next group.
    pub fn pop_group(&mut self) -> Vec<QueuedBatch> {
        let mut group = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.waiting.front() {
            if bytes > 0 && bytes + next.len() > MAX_GROUP_BYTES {
                break;
            }
            bytes += next.len();
            group.extend(self.waiting.pop_front());
        }
        self.bytes -= bytes;
        group
    }

    /// The number of batches in the queue.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
