//! All timers of the program, in one sorted queue.

use super::attempt::AttemptId;
use super::request::RequestId;
use crate::policy::interface::{Micros, TimerId};
use std::collections::BTreeSet;

/// Names a timer of the program round the core. Those that are due at the same time fire in the order of these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// What a timer is for. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A request's client gives up.
    RequestDeadline(RequestId),
    /// The decision module should have ended the request by now: the core does.
    OverdueResponse(RequestId),
    /// A timer of the decision module.
    Policy(TimerId),
    /// A timer of the program round the core.
    Program(TimerToken),
}

/// Timers in the order of their times.
#[derive(Debug, Default)]
pub struct TimerQueue(BTreeSet<(Micros, Timer)>);

impl TimerQueue {
    /// Adds a timer. One that is there already is not added twice.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Removes a timer, if it is there.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// When the earliest is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the earliest that is due, if there is one.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
