//! The queue of all timers of the core and the server, sorted by time.

use super::attempt::AttemptId;
use super::request::RequestId;
use crate::policy::interface::{Micros, TimerId};
use std::collections::BTreeSet;

/// Identifies a timer of the server, which chooses the number. Timers of the server that are due at the same time fire in the
/// order of these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// The purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// The deadline of a request, when its client stops waiting.
    RequestDeadline(RequestId),
    /// The core ends a request that the decision module should have ended by now.
    OverdueResponse(RequestId),
    /// A timer of the decision module.
    Policy(TimerId),
    /// A timer of the server.
    Server(TimerToken),
}

/// Timers, sorted by the time at which they are due.
#[derive(Debug, Default)]
pub struct TimerQueue(BTreeSet<(Micros, Timer)>);

impl TimerQueue {
    /// Adds a timer, unless the same timer is already scheduled at the same time.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Removes a timer, if it is scheduled at this time.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// When the earliest timer is due; `None` if there is no timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer that is due; `None` if none is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
