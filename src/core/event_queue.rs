//! Events that wait for the decision module, which handles them in batches.

use crate::policy::interface::{Event, Micros};

/// Events that have come in since the last batch.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: Vec<Event>,
    /// So many of them, up to the last, only tell of requests that were transferred.
    transfer_events: usize,
    /// The next batch begins no sooner.
    next_batch: Micros,
}

impl EventQueue {
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// When the next batch is due, if anything waits.
    pub fn next_batch(&self) -> Option<Micros> {
        (!self.events.is_empty()).then_some(self.next_batch)
    }

    /// Whether the module has handled everything but the transfers of requests.
    pub fn has_only_transfers(&self) -> bool {
        self.events.len() == self.transfer_events
    }

    /// Everything that waits now tells of transfers only. Requires that [`EventQueue::has_only_transfers`] held before the
    /// last transfer.
    pub fn mark_transfers(&mut self) {
        self.transfer_events = self.events.len();
    }

    /// Takes the events of a batch that begins now; the next one begins `tick` later at the soonest.
    pub fn take_batch(&mut self, now: Micros, tick: Micros) -> Vec<Event> {
        self.transfer_events = 0;
        self.next_batch = now + tick;
        std::mem::take(&mut self.events)
    }
}
