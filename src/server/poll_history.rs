//! What the polls of the event loop say about time: how old the knowledge of the sockets is, and since when the bytes that a poll
//! reports may have been waiting.

use crate::policy::interface::Micros;

/// The event loop waits for events no longer than this, in microseconds. A wait that takes much longer shows that the process
/// was held up.
pub(super) const MAX_WAIT: Micros = 100_000;
/// A wait that ends this long after its timeout was held up, in microseconds.
const MAX_WAKE_DELAY: Micros = 20_000;
/// The knowledge of a poll is too old for a send after this time, in microseconds: a quarter of the time within which an attempt
/// may begin after its client has disconnected.
const MAX_POLL_AGE: Micros = 25_000;

/// A poll for events that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// Whether nothing had occurred when the poll began, so that it waited.
    pub had_to_wait: bool,
    pub began: Micros,
    pub ended: Micros,
    /// The longest time that the wait was to take.
    pub timeout: Micros,
    /// Whether more events may be waiting than it returned.
    pub is_partial: bool,
}

impl Wait {
    /// Whether the process was held up in the wait, so that its end says little about when events occurred.
    fn was_held_up(self) -> bool {
        self.ended.saturating_sub(self.began) > self.timeout + MAX_WAKE_DELAY
    }

    /// Whether the wait ended because of an event that occurred in it.
    fn has_slept(self) -> bool {
        self.had_to_wait && !self.was_held_up()
    }
}

/// The polls so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PollHistory {
    /// When the last poll ended.
    polled_at: Micros,
    is_partial: bool,
    /// Everything that had occurred by then was reported by the last poll or an earlier one.
    complete_until: Micros,
    /// See [`PollHistory::earliest_arrival`].
    earliest_arrival: Micros,
}

impl PollHistory {
    /// Creates the history of a process that began to listen at `started`.
    pub fn new(started: Micros) -> PollHistory {
        PollHistory { complete_until: started, earliest_arrival: started, ..PollHistory::default() }
    }

    /// Records a poll of all sockets.
    pub fn record(&mut self, wait: Wait) {
        self.earliest_arrival = if wait.has_slept() { wait.ended } else { self.complete_until };
        if !wait.is_partial {
            self.complete_until = if wait.has_slept() { wait.ended } else { wait.began };
        }
        self.polled_at = wait.ended;
        self.is_partial = wait.is_partial;
    }

    /// Records a poll after which only hang-ups and the watch of discovery were handled. Everything else that it reported waits
    /// for the next poll, and counts from before this one.
    pub fn record_refresh(&mut self, ended: Micros, is_partial: bool) {
        self.polled_at = ended;
        self.is_partial = is_partial;
    }

    /// The earliest time at which what the last poll reported may have occurred. Bytes that arrive while a turn of the event loop
    /// lasts, or while the process is held up, are reported only afterwards.
    pub fn earliest_arrival(&self) -> Micros {
        self.earliest_arrival
    }

    /// The earliest time at which bytes may have arrived that are read now without having been reported by a poll.
    pub fn earliest_unreported(&self) -> Micros {
        self.complete_until
    }

    /// Whether the last poll is too old, or was too incomplete, to show that a client is still connected or that a worker still
    /// takes work.
    pub fn is_old(&self, now: Micros) -> bool {
        self.is_partial || now > self.polled_at + MAX_POLL_AGE
    }
}

#[cfg(test)]
mod tests;
