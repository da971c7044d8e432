//! The wait after a call that failed: exponential backoff with decorrelated jitter.
//!
//! Each wait is drawn between a base and three times the wait before, up to a cap (M. Brooker, "Exponential Backoff And
//! Jitter", 2015).

use crate::Micros;

/// The longest wait after a failure is two rounds, yet at least this, in microseconds.
const MIN_CAP: Micros = 2_000_000;
/// No wait after a failure is drawn below this, in microseconds.
pub(super) const MIN_WAIT: Micros = 50_000;
/// A refusal after the time of so many calls, and after [`MIN_BUSY_WAIT`], is of a busy service; a quicker one is of a
/// service that is down.
const BUSY_CALLS: u64 = 5;
/// See [`BUSY_CALLS`], in microseconds.
const MIN_BUSY_WAIT: Micros = 100_000;

/// What ended a call without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The service has too much to do, or says nothing.
    Busy,
    /// The service cannot be reached.
    Down,
}

impl Failure {
    /// What a refusal after a wait says, both spans in microseconds.
    pub fn from_refusal(waited: Micros, service_time: Micros) -> Failure {
        if waited >= MIN_BUSY_WAIT.max(BUSY_CALLS * service_time) { Failure::Busy } else { Failure::Down }
    }
}

/// Whether an answer after this wait is of a service without a long queue, both spans in microseconds.
pub(super) fn is_quick_answer(waited: Micros, service_time: Micros) -> bool {
    waited < BUSY_CALLS * service_time
}

/// The waits of one run of failures, in microseconds.
#[derive(Debug)]
pub(super) struct Backoff {
    /// See [`super::Config::poll_within`].
    poll_within: Option<Micros>,
    /// The last wait, 0 where no call has failed since the last answer.
    last_wait: Micros,
    /// No call before this time: what the last `Retry-After` asked for.
    not_before: Micros,
}

impl Backoff {
    /// No call has failed yet.
    pub fn new(poll_within: Option<Micros>) -> Backoff {
        Backoff { poll_within, last_wait: 0, not_before: 0 }
    }

    /// Whether a call has failed since the last answer.
    pub fn is_active(&self) -> bool {
        self.last_wait > 0
    }

    /// The last wait, 0 where no call has failed since the last answer.
    pub fn last_wait(&self) -> Micros {
        self.last_wait
    }

    /// No call before this time.
    pub fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Begins anew; what `Retry-After` asked for still holds.
    pub fn reset(&mut self) {
        self.last_wait = 0;
    }

    /// Drops what `Retry-After` asked for: it was another service's.
    pub fn forget_retry_after(&mut self) {
        self.not_before = 0;
    }

    /// Draws the wait after a call that failed now, for rounds of this length. `retry_after` is 0 where the answer asked for
    /// nothing.
    pub fn draw(&mut self, rng: &mut fastrand::Rng, now: Micros, round: Micros, retry_after: Micros) {
        let base = (round / 4).max(MIN_WAIT);
        // Changes count as received four times `poll_within` after a call that failed: half of that is left for the next.
        let held = self.poll_within.map_or(u64::MAX, |within| 2 * within);
        let cap = (2 * round).max(MIN_CAP.min(held)).max(base);
        self.last_wait = rng.u64(base..=(3 * self.last_wait.max(base)).min(cap));
        self.not_before = now + retry_after;
    }

    /// The earliest time of the next call, by the wait and by what `Retry-After` asked for.
    pub fn earliest(&self, now: Micros) -> Micros {
        self.not_before.max(now + self.last_wait)
    }
}
