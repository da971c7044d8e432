//! The view that readers take copies of, and how what was written becomes visible in it.

use crate::format::RecordLocation;
use crate::index::{Layer, RunBuilder, View};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The view that readers take copies of.
pub type SharedView = Arc<Mutex<View>>;

/// A copy of the view.
pub fn view_of(shared: &SharedView) -> View {
    lock(shared).clone()
}

/// Locks a mutex. Nothing here leaves half a change behind where it panics, so that a poisoned one is as good.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The keys of a group that was written, with the locations of their records.
pub(crate) type WrittenKeys = Vec<(Box<[u8]>, RecordLocation)>;

/// Groups that were written and are not visible to readers yet, in the order written.
pub(crate) type Unpublished = Arc<Mutex<VecDeque<WrittenKeys>>>;

/// Makes what was written visible to readers, in the order written.
pub(crate) fn publish(shared: &SharedView, unpublished: &Unpublished) {
    let mut view = lock(shared);
    let groups = std::mem::take(&mut *lock(unpublished));
    if !groups.is_empty() {
        Arc::make_mut(&mut view.active_keys).extend(groups.into_iter().flatten());
    }
}

/// Moves what was written to the active segment into a layer of its own; `file_len` is the length of its file.
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
