//! What is still to happen, by time and then by the order in which it was scheduled.

use super::gossip::Fact;
use super::list_service::{Call, Reply};
use super::workers::{Attempt, Job};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// A process of a dispatcher: a killed one is followed by another at its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub place: u16,
    pub incarnation: u32,
}

/// What happens at a time.
pub(super) enum Event {
    /// A process starts at this place.
    Start(u16),
    /// The processes at these places are killed.
    Kill(Vec<u16>),
    /// A dispatcher looks whether a call is due.
    Wake(ProcessId),
    /// A call reaches the service.
    CallArrives(Call),
    /// The end of a call reaches the dispatcher.
    Reply(Call, Reply),
    ServiceDown,
    ServiceUp,
    WatchesFallSilent,
    /// A dispatcher notices that its watch is silent.
    SilenceNoticed(ProcessId),
    GossipRound(ProcessId),
    FactsArrive(u16, Vec<Rc<Fact>>),
    ViewsChange,
    JobArrives(ProcessId),
    /// A job that found no worker looks for one again.
    RetryJob(ProcessId, Job),
    JobEnds(Attempt),
}

impl Event {
    /// The process without which the event means nothing.
    pub fn process(&self) -> Option<ProcessId> {
        match self {
            Event::Wake(process)
            | Event::SilenceNoticed(process)
            | Event::GossipRound(process)
            | Event::JobArrives(process)
            | Event::RetryJob(process, _) => Some(*process),
            Event::Reply(call, _) => Some(call.process),
            Event::JobEnds(attempt) => Some(attempt.process),
            Event::Start(_)
            | Event::Kill(_)
            | Event::CallArrives(_)
            | Event::ServiceDown
            | Event::ServiceUp
            | Event::WatchesFallSilent
            | Event::FactsArrive(..)
            | Event::ViewsChange => None,
        }
    }
}

struct Scheduled {
    at: u64,
    sequence: u64,
    event: Event,
}

impl Scheduled {
    fn key(&self) -> (u64, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest is the greatest, since a heap gives its greatest first.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// The events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.sequence, event });
    }

    /// Takes out the next event, with its time.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
