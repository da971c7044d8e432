//! The queue of future events, ordered by time and then by the order in which they were scheduled.

use super::gossip::Fact;
use super::list_service::{Call, Reply};
use super::workers::{Attempt, Job};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// Identifies a process of a dispatcher. After a kill, another process with the next incarnation starts at the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub place: u16,
    pub incarnation: u32,
}

/// An event of the simulation.
pub(super) enum Event {
    /// A process starts at this place.
    Start(u16),
    /// The processes at these places are killed.
    Kill(Vec<u16>),
    /// A dispatcher checks whether a call is due.
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
    /// A dispatcher looks again for a worker for a job.
    RetryJob(ProcessId, Job),
    JobEnds(Attempt),
}

impl Event {
    /// The process that handles the event, for events that are dropped if that process has ended.
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
    /// Reversed, since the heap returns its greatest element first.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A queue of future events.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time.
    pub fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.sequence, event });
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
