//! All deadlines of the program in one sorted structure, swept each turn.

use crate::interface::{Micros, TimerId};
use std::collections::BTreeSet;

use super::SessionId;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// A dispatch's time limit.
    Limit(SessionId, u32),
    /// The client of a session gives up.
    Session(SessionId),
    /// A session that should be over by now.
    Backstop(SessionId),
    /// An alarm of the module.
    Policy(TimerId),
    /// Something of the program round the core; the number is its own.
    Outer(u64),
}

/// Deadlines in order of time.
#[derive(Debug, Default)]
pub struct Deadlines(BTreeSet<(Micros, Deadline)>);

impl Deadlines {
    /// Adds one.
    pub fn set(&mut self, at: Micros, what: Deadline) {
        self.0.insert((at, what));
    }

    /// Takes one back.
    pub fn drop(&mut self, at: Micros, what: Deadline) {
        self.0.remove(&(at, what));
    }

    /// The earliest.
    pub fn next(&self) -> Option<Micros> {
        self.0.first().map(|first| first.0)
    }

    /// Takes the earliest that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Deadline> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|first| first.1)
    }
}
