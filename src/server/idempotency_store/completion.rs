//! Reports from the store's threads to the event loop: a queue of completions, and a socket that wakes the loop.

use crate::core::RecordTicket;
use mothproxy_store::StoreError;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a record could not be written.
#[derive(Clone, Debug, thiserror::Error)]
pub(in crate::server) enum RecordWriteError {
    /// The store is not open, and no error of an attempt to open it is known.
    #[error("the store is not open")]
    NotOpen,
    /// The store could not be opened.
    #[error(transparent)]
    Open(Arc<StoreError>),
    /// The store rejected the write.
    #[error(transparent)]
    Submit(Arc<StoreError>),
    /// The store accepted the write and reported that it failed.
    #[error(transparent)]
    Write(Arc<StoreError>),
}

/// The party that waits for a record to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::server) enum Waiter {
    /// No party waits; the result is only counted.
    Nobody,
    /// The core of this process, which identifies the write by the ticket.
    Core(RecordTicket),
    /// The predecessor, whose core identifies the write by the ticket.
    Predecessor(RecordTicket),
}

/// The result of a write, and the party that waits for it.
#[derive(Debug)]
pub(in crate::server) struct WriteCompletion {
    pub(in crate::server) waiter: Waiter,
    pub(in crate::server) result: Result<(), RecordWriteError>,
}

/// The sending end of the queue, for the store's threads.
#[derive(Clone)]
pub(super) struct CompletionSender {
    queue: Arc<Mutex<Vec<WriteCompletion>>>,
    waker: Arc<UnixStream>,
}

/// The receiving end of the queue, for the event loop.
pub(super) struct CompletionReceiver {
    queue: Arc<Mutex<Vec<WriteCompletion>>>,
    woken: UnixStream,
}

/// Creates a queue, and returns its two ends.
///
/// # Errors
/// If the socket pair cannot be created or made non-blocking.
pub(super) fn completion_queue() -> std::io::Result<(CompletionSender, CompletionReceiver)> {
    let (woken, waker) = UnixStream::pair()?;
    woken.set_nonblocking(true)?;
    waker.set_nonblocking(true)?;
    let queue = Arc::default();
    let sender = CompletionSender { queue: Arc::clone(&queue), waker: Arc::new(waker) };
    Ok((sender, CompletionReceiver { queue, woken }))
}

impl CompletionSender {
    /// Queues a completion. Wakes the event loop if the queue was empty before.
    pub(super) fn send(&self, completion: WriteCompletion) {
        let mut queue = lock(&self.queue);
        queue.push(completion);
        if queue.len() == 1 {
            let _ = (&*self.waker).write(&[1]); // if the socket's buffer is full, the loop has been woken already
        }
    }
}

impl CompletionReceiver {
    /// The socket that the event loop watches. It is readable while there may be completions.
    pub(super) fn socket(&self) -> &UnixStream {
        &self.woken
    }

    /// Empties the socket, and removes and returns all completions.
    pub(super) fn drain(&mut self) -> Vec<WriteCompletion> {
        let mut buffer = [0; 64];
        while matches!((&self.woken).read(&mut buffer), Ok(length) if length > 0) {}
        std::mem::take(&mut lock(&self.queue))
    }
}

/// Locks the queue, also after a thread has panicked while holding the lock.
fn lock(queue: &Mutex<Vec<WriteCompletion>>) -> MutexGuard<'_, Vec<WriteCompletion>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
