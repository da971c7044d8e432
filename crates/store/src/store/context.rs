//! What the threads of a store share: the view, the clock, the writer, and why the last write failed.

use crate::Options;
use crate::clock::Clock;
use crate::error::StoreError;
use crate::metrics::Metrics;
use crate::shared_view::{SharedView, lock};
use crate::writer::Writer;
use std::sync::{Arc, Mutex};

/// What the threads of a store share.
pub(super) struct StoreContext {
    pub options: Options,
    pub clock: Clock,
    /// What readers see.
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

    /// Calls `operation` with the writer, which is locked meanwhile.
    ///
    /// # Errors
    ///
    /// Those of `operation`, and [`StoreError::Closed`].
    pub fn with_writer<T>(
        &self,
        operation: impl FnOnce(&mut Writer) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut writer = lock(&self.writer);
        operation(writer.as_mut().ok_or(StoreError::Closed)?)
    }

    /// Counters since the store was opened; `None` once it is closed.
    pub fn metrics(&self) -> Option<Metrics> {
        lock(&self.writer).as_ref().map(|writer| writer.metrics)
    }

    /// Takes the writer out: every later call of [`StoreContext::with_writer`] fails.
    pub fn take_writer(&self) -> Option<Writer> {
        lock(&self.writer).take()
    }

    /// Why the last write failed, until one succeeds.
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
