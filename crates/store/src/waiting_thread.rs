//! A thread that waits for its batch.
//!
//! The threads of a group wake one another, a few each, so that the writing thread can continue with the next group: waking
//! dozens of threads one by one takes longer than a sync.

use crate::shared_view::lock;
use crate::write_queue::WriteResult;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::Thread;

/// The number of other threads of its group that a thread wakes.
const WAKES_PER_THREAD: usize = 2;

/// The result of a thread's batch, and the threads to wake.
struct Completion {
    result: WriteResult,
    /// The threads that this thread wakes.
    wakes: [Option<Arc<WaitingThread>>; WAKES_PER_THREAD],
}

impl Completion {
    fn empty() -> Completion {
        Completion { result: Ok(()), wakes: [const { None }; WAKES_PER_THREAD] }
    }
}

/// A thread that waits for its batch.
pub(crate) struct WaitingThread {
    thread: Thread,
    is_done: AtomicBool,
    completion: Mutex<Completion>,
}

impl WaitingThread {
    /// Represents the calling thread.
    pub fn current() -> Arc<WaitingThread> {
        Arc::new(WaitingThread {
            thread: std::thread::current(),
            is_done: AtomicBool::new(false),
            completion: Mutex::new(Completion::empty()),
        })
    }

    /// Sets the result of all threads of a group, and wakes the first of them.
    pub fn complete(group: &[Arc<WaitingThread>], result: &WriteResult) {
        for (index, waiting) in group.iter().enumerate() {
            let wakes = std::array::from_fn(|nth| group.get(WAKES_PER_THREAD * index + 1 + nth).cloned());
            *lock(&waiting.completion) = Completion { result: result.clone(), wakes };
        }
        group.iter().for_each(|waiting| waiting.is_done.store(true, Ordering::Release));
        if let Some(first) = group.first() {
            first.thread.unpark();
        }
    }

    /// Waits until the batch is complete, then wakes the threads that this one has to wake. Must be called by the thread
    /// itself.
    pub fn wait(&self) -> WriteResult {
        while !self.is_done.load(Ordering::Acquire) {
            std::thread::park();
        }
        let completion = std::mem::replace(&mut *lock(&self.completion), Completion::empty());
        completion.wakes.iter().flatten().for_each(|next| next.thread.unpark());
        completion.result
    }
}
