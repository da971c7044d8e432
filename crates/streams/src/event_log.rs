//! The bounded log of one job's events: the first event, the final event, and a ring buffer of those between.

use crate::Limits;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One event of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct JobEvent {
    /// The number of the event within the job, from 1.
    pub id: u64,
    /// The name of the event.
    pub name: String,
    /// The data of the event.
    pub data: String,
    /// Whether a later event makes this one obsolete, as with progress.
    #[serde(rename = "stale_soon")]
    pub is_replaceable: bool,
}

impl JobEvent {
    fn bytes(&self) -> usize {
        self.name.len() + self.data.len() + size_of::<JobEvent>()
    }
}

/// Whether a slow watcher receives an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// A slow watcher receives every event of this kind.
    Every,
    /// Of consecutive events of this kind, a slow watcher receives only the latest.
    Latest,
}

/// The kept events of one job.
pub(crate) struct EventLog {
    /// The event with the number 1, which is never evicted.
    first: Option<JobEvent>,
    ring: VecDeque<JobEvent>,
    ring_bytes: usize,
    /// The number of the next event.
    next_id: u64,
    final_event: Option<JobEvent>,
}

impl EventLog {
    /// A log with these events, in order. If `is_finished` is true, the last of them is the final event.
    pub fn new(events: Vec<JobEvent>, next_id: u64, is_finished: bool) -> EventLog {
        let mut ring = VecDeque::from(events);
        let final_event = if is_finished { ring.pop_back() } else { None };
        let has_first = ring.front().is_some_and(|event| event.id == 1);
        let first = if has_first { ring.pop_front() } else { None };
        let ring_bytes = ring.iter().map(JobEvent::bytes).sum();
        EventLog { first, ring, ring_bytes, next_id, final_event }
    }

    /// The size of all kept events, in bytes.
    pub fn bytes(&self) -> usize {
        self.ring_bytes + self.first.iter().chain(&self.final_event).map(JobEvent::bytes).sum::<usize>()
    }

    /// The number of the next event.
    pub fn next_id(&self) -> u64 {
        self.next_id
    }

    /// Whether the final event is in the log.
    pub fn is_finished(&self) -> bool {
        self.final_event.is_some()
    }

    /// The number of the final event, if it is in the log.
    pub fn final_id(&self) -> Option<u64> {
        self.final_event.as_ref().map(|event| event.id)
    }

    /// All events, in order.
    pub fn events(&self) -> Vec<JobEvent> {
        self.first.iter().chain(&self.ring).chain(&self.final_event).cloned().collect()
    }

    /// The event with this number, if it is kept.
    pub fn get(&self, id: u64) -> Option<&JobEvent> {
        let has_id = |event: &&JobEvent| event.id == id;
        let first_or_final = self.first.as_ref().filter(has_id).or(self.final_event.as_ref().filter(has_id));
        first_or_final.or_else(|| self.get_in_ring(id))
    }

    fn get_in_ring(&self, id: u64) -> Option<&JobEvent> {
        let start = self.ring.front()?.id;
        self.ring.get(usize::try_from(id.checked_sub(start)?).ok()?)
    }

    /// The number of the first kept event after an evicted one; that of the next event if there is none.
    pub fn first_kept_after(&self, evicted: u64) -> u64 {
        let in_ring = self.ring.front().map(|event| event.id).filter(|id| *id > evicted);
        in_ring.or(self.final_id()).unwrap_or(self.next_id)
    }

    fn next_event(&mut self, name: &str, data: String, delivery: Delivery) -> JobEvent {
        let is_replaceable = delivery == Delivery::Latest;
        let event = JobEvent { id: self.next_id, name: name.to_owned(), data, is_replaceable };
        self.next_id += 1;
        event
    }

    /// Appends an event, and evicts the oldest events of the ring while it exceeds the limits.
    pub fn push(&mut self, name: &str, data: String, delivery: Delivery, limits: &Limits) {
        let event = self.next_event(name, data, delivery);
        if self.first.is_none() && event.id == 1 {
            self.first = Some(event);
            return;
        }
        self.ring_bytes += event.bytes();
        self.ring.push_back(event);
        while self.ring.len() > limits.ring_events
            || self.ring_bytes > limits.ring_bytes && self.ring.len() > 1
        {
            self.ring_bytes -= self.ring.pop_front().map_or(0, |event| event.bytes());
        }
    }

    /// Appends the final event.
    pub fn finish(&mut self, name: &str, data: String) {
        let event = self.next_event(name, data, Delivery::Every);
        self.final_event = Some(event);
    }

    /// Drops all events. The numbering continues.
    pub fn clear(&mut self) {
        self.first = None;
        self.final_event = None;
        self.ring = VecDeque::new();
        self.ring_bytes = 0;
    }
}
