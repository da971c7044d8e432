//! All deadlines of the program in one sorted structure, swept each turn.

use crate::policy::interface::{Micros, TimerId};
use std::collections::BTreeSet;

use super::RequestId;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A dispatch's time limit.
    AttemptLimit(RequestId, u32),
    /// The client of a session gives up.
    RequestDeadline(RequestId),
    /// A session that should be over by now.
    Backstop(RequestId),
    /// An alarm of the module.
    Policy(TimerId),
    /// Something of the program round the core; the number is its own.
    Program(u64),
}

/// Deadlines in order of time.
#[derive(Debug, Default)]
pub struct TimerQueue(BTreeSet<(Micros, Timer)>);

impl TimerQueue {
    /// Adds one.
    pub fn set(&mut self, at: Micros, what: Timer) {
        self.0.insert((at, what));
    }

    /// Takes one back.
    pub fn drop(&mut self, at: Micros, what: Timer) {
        self.0.remove(&(at, what));
    }

    /// The earliest.
    pub fn next(&self) -> Option<Micros> {
        self.0.first().map(|first| first.0)
    }

    /// Takes the earliest that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|first| first.1)
    }
}
