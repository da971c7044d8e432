//! The ledger: each session taken gets exactly one entry.

use crate::invariant;

/// How a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// With a worker's result.
    Served,
    /// Turned away.
    Rejected,
    /// Failed.
    Failed,
    /// Its client left before any answer.
    ClientDisconnected,
}

/// What became of the sessions of one class. Those that their clients left are in none of these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Served.
    pub served: u64,
    /// Turned away.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

impl Tally {
    /// Counts the end of a session of this class.
    pub fn count(&mut self, entry: Completion) {
        match entry {
            Completion::Served => self.served += 1,
            Completion::Rejected => self.rejected += 1,
            Completion::Failed => self.failed += 1,
            Completion::ClientDisconnected => {}
        }
    }
}

/// Counts of sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Taken.
    pub accepted: u64,
    /// Ended with a worker's result.
    pub served: u64,
    /// Turned away.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub disconnected: u64,
    /// Handed to another process of this dispatcher, which owes the answer.
    pub transferred: u64,
}

impl Ledger {
    /// Enters the end of a session.
    pub fn enter(&mut self, entry: Completion) {
        *match entry {
            Completion::Served => &mut self.served,
            Completion::Rejected => &mut self.rejected,
            Completion::Failed => &mut self.failed,
            Completion::ClientDisconnected => &mut self.disconnected,
        } += 1;
        invariant!(
            self.ended() + self.transferred <= self.accepted,
            "more final answers than sessions: {self:?}"
        );
    }

    /// Sessions that have their entry.
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.failed + self.disconnected
    }

    /// Sessions that are owed one.
    pub fn open(&self) -> u64 {
        self.accepted.saturating_sub(self.ended() + self.transferred)
    }
}
