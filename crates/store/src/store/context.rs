//! The state that the threads of a store share.

use crate::Options;
use crate::clock::Clock;
use crate::error::StoreError;
use crate::metrics::Metrics;
use crate::shared_view::{SharedView, lock};
use crate::writer::Writer;
use std::sync::{Arc, Mutex};

/// The state that the threads of a store share.
pub(super) struct StoreContext {
    pub options: Options,
    pub clock: Clock,
    /// The view that readers copy.
    pub view: SharedView,
    /// `None` once the store is closed.
    writer: Mutex<Option<Writer>>,
    last_failure: Mutex<Option<Arc<StoreError>>>,
}

impl StoreContext {
    pub fn new(options: Options, clock: Clock, view: SharedView, writer: Writer) -> StoreContext {
        StoreContext {
            options,
            clock,
            view,
            writer: Mutex::new(Some(writer)),
            last_failure: Mutex::default(),
        }
    }

    /// Calls `operation` with the writer, which stays locked until it returns.
    ///
    /// # Errors
    ///
    /// The errors of `operation`, and [`StoreError::Closed`].
    pub fn with_writer<T>(
        &self,
        operation: impl FnOnce(&mut Writer) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut writer = lock(&self.writer);
        operation(writer.as_mut().ok_or(StoreError::Closed)?)
    }

    /// Counters since the store was opened; `None` after it was closed.
    pub fn metrics(&self) -> Option<Metrics> {
        lock(&self.writer).as_ref().map(|writer| writer.metrics)
    }

    /// Removes the writer. Every later call of [`StoreContext::with_writer`] fails.
    pub fn take_writer(&self) -> Option<Writer> {
        lock(&self.writer).take()
    }

    /// The error of the last write; `None` if it succeeded.
    pub fn last_failure(&self) -> Option<Arc<StoreError>> {
        lock(&self.last_failure).clone()
    }

    /// Records that a write succeeded.
    pub fn on_write_succeeded(&self) {
        lock(&self.last_failure).take();
    }

    /// Records why a write failed.
    pub fn on_write_failed(&self, error: StoreError) -> Arc<StoreError> {
        let error = Arc::new(error);
        *lock(&self.last_failure) = Some(error.clone());
        error
    }
}
