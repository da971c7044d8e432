//! Compaction of an open store: in the background where it pays off, and on request.

use super::context::StoreContext;
use crate::compaction::{Compaction, DamagedRecords, SegmentSet};
use crate::error::StoreError;
use crate::index::View;
use crate::plan;
use crate::segment_usage::segment_usage;
use crate::shared_view::{lock, view_of};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// The signal to the compacting thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Idle,
    /// There may be something to compact.
    Requested,
    /// The store is closing: the thread ends.
    Closing,
}

/// The result of one attempt to compact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CompactionOutcome {
    Compacted,
    NothingToDo,
}

/// Compacts an open store.
pub(super) struct Compactor {
    context: Arc<StoreContext>,
    signal: Mutex<Signal>,
    signal_changed: Condvar,
    /// Held during a compaction, so that only one runs at a time.
    in_progress: Mutex<()>,
}

impl Compactor {
    pub fn new(context: Arc<StoreContext>) -> Compactor {
        let compactor = Compactor {
            context,
            signal: Mutex::new(Signal::Idle),
            signal_changed: Condvar::new(),
            in_progress: Mutex::new(()),
        };
        compactor.request(); // the segments of an earlier process may be worth a compaction
        compactor
    }

    /// Wakes the compacting thread, unless the options forbid compactions in the background.
    pub fn request(&self) {
        let mut signal = lock(&self.signal);
        if self.context.options.compacts && *signal != Signal::Closing {
            *signal = Signal::Requested;
            self.signal_changed.notify_all();
        }
    }

    /// Ends the compacting thread after the current compaction.
    pub fn close(&self) {
        *lock(&self.signal) = Signal::Closing;
        self.signal_changed.notify_all();
    }

    /// The body of the compacting thread: compacts where it pays off, each time a segment was sealed.
    pub fn run(&self) {
        while self.wait_for_request() {
            // A failed compaction changes nothing. It is tried again once the next segment is sealed.
            while matches!(self.compact_best(), Ok(CompactionOutcome::Compacted)) && !self.is_closing() {}
        }
    }

    fn is_closing(&self) -> bool {
        *lock(&self.signal) == Signal::Closing
    }

    /// Waits until there may be something to compact; `false` once the store is closing.
    fn wait_for_request(&self) -> bool {
        let mut signal = lock(&self.signal);
        while *signal == Signal::Idle {
            signal = self.signal_changed.wait(signal).unwrap_or_else(PoisonError::into_inner);
        }
        if *signal == Signal::Closing {
            return false;
        }
        *signal = Signal::Idle;
        true
    }

    /// Compacts the segments with the greatest gain, if there are any.
    fn compact_best(&self) -> Result<CompactionOutcome, StoreError> {
        let _one_at_a_time = lock(&self.in_progress);
        let view = view_of(&self.context.view);
        let Some(compaction) = self.plan_best(&view)? else { return Ok(CompactionOutcome::NothingToDo) };
        self.carry_out(&compaction, DamagedRecords::Refuse)?;
        Ok(CompactionOutcome::Compacted)
    }

    /// Plans a compaction that pays off; `None` if there is none. This visits all keys without holding the writer's lock.
    fn plan_best(&self, view: &View) -> Result<Option<Compaction>, StoreError> {
        let now = self.context.clock.now();
        let min_dead_bytes = self.context.with_writer(|writer| Ok(writer.min_dead_bytes()))?;
        let Some(range) = plan::range_to_compact(&segment_usage(view, now), min_dead_bytes) else {
            return Ok(None);
        };
        self.context.with_writer(|writer| Ok(writer.compaction_of(view, range, SegmentSet::Some, now)))
    }

    /// Compacts all segments, including the active one.
    ///
    /// # Errors
    ///
    /// [`StoreError::NeedsRepair`] if the store is damaged and `damaged` is [`DamagedRecords::Refuse`], [`StoreError::Io`]
    /// and [`StoreError::Closed`].
    pub fn compact_all(&self, damaged: DamagedRecords) -> Result<(), StoreError> {
        let _one_at_a_time = lock(&self.in_progress);
        let places = view_of(&self.context.view).layers.iter().filter(|layer| layer.is_damaged()).count();
        if places > 0 && damaged == DamagedRecords::Refuse {
            return Err(StoreError::NeedsRepair(places));
        }
        let (view, now) = (&self.context.view, self.context.clock.now());
        let compaction = self.context.with_writer(|writer| {
            writer.seal(view, now)?;
            Ok(writer.plan_full_compaction(&view_of(view), now))
        })?;
        compaction.map_or(Ok(()), |compaction| self.carry_out(&compaction, damaged))
    }

    fn carry_out(&self, compaction: &Compaction, damaged: DamagedRecords) -> Result<(), StoreError> {
        let merged = compaction.run(damaged)?;
        self.context.with_writer(|writer| writer.install(&self.context.view, merged))
    }
}
