//! Batches that wait to be written, and the groups that they are written in.

use crate::error::StoreError;
use crate::format::EncodedBatch;
use crate::waiting_thread::WaitingThread;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// Most bytes of a group.
const MAX_GROUP_BYTES: usize = 4 << 20;

/// What became of a group of batches; all that wait for one of them get the same error.
pub type WriteResult = Result<(), Arc<StoreError>>;

/// Called once a batch is written, or is known not to be.
pub type Callback = Box<dyn FnOnce(WriteResult) + Send>;

/// Who waits for a batch.
pub(crate) enum Waiter {
    Thread(Arc<WaitingThread>),
    Callback(Callback),
}

/// A batch that waits, with whoever waits for it.
pub(crate) struct QueuedBatch {
    pub batch: Arc<EncodedBatch>,
    waiter: Waiter,
}

impl QueuedBatch {
    fn len(&self) -> usize {
        self.batch.bytes.len()
    }
}

/// A group that was written, or could not be.
pub(crate) struct WrittenGroup {
    pub batches: Vec<QueuedBatch>,
    pub result: WriteResult,
}

impl WrittenGroup {
    /// Notifies everyone who waits for a batch of the group.
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

/// Batches that wait to be written.
#[derive(Default)]
pub(crate) struct WriteQueue {
    waiting: VecDeque<QueuedBatch>,
    bytes: usize,
    /// A thread writes a group.
    pub is_writing: bool,
    pub is_closed: bool,
    /// When the oldest write that is not durable was acknowledged.
    pub exposed_since: Option<Instant>,
}

impl WriteQueue {
    /// Appends a batch, unless more than `max_bytes` would wait then.
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

    /// Takes the batches of the next group.
    pub fn pop_group(&mut self) -> Vec<QueuedBatch> {
        let (mut group, mut bytes) = (Vec::new(), 0);
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

    /// How many batches wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
