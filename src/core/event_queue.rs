//! The queue of events for the decision module, which handles them in batches.

use crate::policy::interface::{Event, ListKind, Micros};

/// The events since the last batch, and the earliest time of the next one.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: Vec<Event>,
    /// The length of the queue right after the last transfer of a request; 0 if there was none since the last batch.
    len_after_transfer: usize,
    /// The earliest start of the next batch.
    next_batch: Micros,
}

impl EventQueue {
    /// Appends an event. Endpoint lists and presences are joined with one right before, because the module indexes all workers
    /// after each of them.
    pub fn push(&mut self, event: Event) {
        match (self.events.last_mut(), event) {
            (Some(Event::EndpointList(_, entries)), Event::EndpointList(ListKind::Delta, changed)) => {
                entries.extend(changed);
            }
            (Some(Event::Peers(presence)), Event::Peers(newer)) => *presence = newer,
            (_, event) => self.events.push(event),
        }
    }

    /// When the next batch is due; `None` if the queue is empty.
    pub fn next_batch(&self) -> Option<Micros> {
        (!self.events.is_empty()).then_some(self.next_batch)
    }

    /// Whether the queue contains nothing but the ends of transferred requests. Only then may another request be transferred,
    /// because no pending event can then lead to a decision about that request.
    pub fn has_only_transfers(&self) -> bool {
        self.events.len() == self.len_after_transfer
    }

    /// Records that the events of a transfer were pushed. [`EventQueue::has_only_transfers`] must have been true before.
    pub fn mark_transfer(&mut self) {
        self.len_after_transfer = self.events.len();
    }

    /// Takes the events of a batch that begins now. The next batch begins `batch_interval` later at the earliest.
    pub fn take_batch(&mut self, now: Micros, batch_interval: Micros) -> Vec<Event> {
        self.len_after_transfer = 0;
        self.next_batch = now + batch_interval;
        std::mem::take(&mut self.events)
    }
}
