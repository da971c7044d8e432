//! The ledger: each session taken gets exactly one entry.

use crate::invariant;

/// How a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// With a worker's result.
    Served,
    /// Turned away.
    Denied,
    /// Failed.
    Failed,
    /// Its client left before any answer.
    Gone,
}

/// What became of the sessions of one class. Those that their clients left are in none of these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Served.
    pub served: u64,
    /// Turned away.
    pub denied: u64,
    /// Failed.
    pub failed: u64,
}

impl Tally {
    /// Counts the end of a session of this class.
    pub fn count(&mut self, entry: Entry) {
        match entry {
            Entry::Served => self.served += 1,
            Entry::Denied => self.denied += 1,
            Entry::Failed => self.failed += 1,
            Entry::Gone => {}
        }
    }
}

/// Counts of sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Taken.
    pub taken: u64,
    /// Ended with a worker's result.
    pub served: u64,
    /// Turned away.
    pub denied: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub gone: u64,
    /// Handed to another process of this dispatcher, which owes the answer.
    pub moved: u64,
}

impl Ledger {
    /// Enters the end of a session.
    pub fn enter(&mut self, entry: Entry) {
        *match entry {
            Entry::Served => &mut self.served,
            Entry::Denied => &mut self.denied,
            Entry::Failed => &mut self.failed,
            Entry::Gone => &mut self.gone,
        } += 1;
        invariant!(self.ended() + self.moved <= self.taken, "more final answers than sessions: {self:?}");
    }

    /// Sessions that have their entry.
    pub fn ended(&self) -> u64 {
        self.served + self.denied + self.failed + self.gone
    }

    /// Sessions that are owed one.
    pub fn open(&self) -> u64 {
        self.taken.saturating_sub(self.ended() + self.moved)
    }
}
