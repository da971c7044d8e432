//! Events that wait for the decision module, which handles them in batches.

use crate::policy::interface::{Event, Micros};

/// Events that have come in since the last batch.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: Vec<Event>,
    /// How many there were right after the last transfer of a request, or 0 if none was since the last batch.
    len_after_transfer: usize,
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

    /// Whether the module has handled everything but the ends of requests that were transferred. Then another one may be: the
    /// module decides nothing more that concerns it.
    pub fn has_only_transfers(&self) -> bool {
        self.events.len() == self.len_after_transfer
    }

    /// A transfer's events were pushed. Requires that [`EventQueue::has_only_transfers`] held before it.
    pub fn mark_transfer(&mut self) {
        self.len_after_transfer = self.events.len();
    }

    /// Takes the events of a batch that begins now; the next one begins `tick` later at the soonest.
    pub fn take_batch(&mut self, now: Micros, tick: Micros) -> Vec<Event> {
        self.len_after_transfer = 0;
        self.next_batch = now + tick;
        std::mem::take(&mut self.events)
    }
}
