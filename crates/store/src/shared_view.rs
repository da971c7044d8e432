//! The view that readers copy, and how writes become visible in it.

use crate::format::RecordLocation;
use crate::index::{Layer, RunBuilder, View};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The view that readers copy.
pub type SharedView = Arc<Mutex<View>>;

/// A copy of the view.
pub fn view_of(shared: &SharedView) -> View {
    lock(shared).clone()
}

/// Locks a mutex, even if it is poisoned: no code of this crate leaves an incomplete change behind when it panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The keys of a written group, with the locations of their records.
pub(crate) type WrittenKeys = Vec<(Box<[u8]>, RecordLocation)>;

/// Groups that were written and are not visible to readers yet, in the order in which they were written.
pub(crate) type Unpublished = Arc<Mutex<VecDeque<WrittenKeys>>>;

/// Makes all written groups visible to readers, in the order in which they were written.
pub(crate) fn publish(shared: &SharedView, unpublished: &Unpublished) {
    let mut view = lock(shared);
    let groups = std::mem::take(&mut *lock(unpublished));
    if !groups.is_empty() {
        Arc::make_mut(&mut view.active_keys).extend(groups.into_iter().flatten());
    }
}

/// Moves the keys of the active segment into a new layer. `file_len` is the length of the segment's file, in bytes.
pub(crate) fn retire_active(shared: &SharedView, file_len: u64) {
    let mut view = lock(shared);
    let Some(segment) = view.active.take() else { return };
    let keys = std::mem::take(&mut view.active_keys);
    let mut builder = RunBuilder::with_capacity(keys.len(), 0);
    for (key, location) in &*keys {
        builder.add(crate::format::IndexEntry { key, location: *location });
    }
    let run = builder.finish_sorted(segment, file_len);
    view.layers.push(Layer::Run(Arc::new(run)));
}
