//! The wait after a failed call: exponential backoff with decorrelated jitter.
//!
//! Each wait is drawn between a base and three times the previous wait, up to a cap (M. Brooker, "Exponential Backoff And
//! Jitter", 2015).

use crate::Micros;

/// The cap of a wait is two rounds, or this if two rounds are shorter, in microseconds.
const MIN_CAP: Micros = 2_000_000;
/// The minimum wait after a failure, in microseconds.
pub(super) const MIN_WAIT: Micros = 50_000;
/// A refusal means that the service is busy if it took at least as long as this many calls and at least
/// [`MIN_BUSY_WAIT`]. A quicker refusal means that the service is down.
const BUSY_CALLS: u64 = 5;
/// The minimum time until the refusal of a busy service, in microseconds; see [`BUSY_CALLS`].
const MIN_BUSY_WAIT: Micros = 100_000;

/// Why a call ended without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The service is overloaded, or does not answer.
    Busy,
    /// The service cannot be reached.
    Down,
}

impl Failure {
    /// Classifies a refusal by the time that it took. Both spans are in microseconds.
    pub fn from_refusal(waited: Micros, service_time: Micros) -> Failure {
        if waited >= MIN_BUSY_WAIT.max(BUSY_CALLS * service_time) { Failure::Busy } else { Failure::Down }
    }
}

/// Whether an answer after this wait shows that the service has no long queue. Both spans are in microseconds.
pub(super) fn is_quick_answer(waited: Micros, service_time: Micros) -> bool {
    waited < BUSY_CALLS * service_time
}

/// The waits of consecutive failures, in microseconds.
#[derive(Debug)]
pub(super) struct Backoff {
    /// See [`super::Config::poll_within`].
    poll_within: Option<Micros>,
    /// The last wait; 0 if no call has failed since the last answer.
    last_wait: Micros,
    /// The earliest time of a call that the last `Retry-After` allows.
    not_before: Micros,
}

impl Backoff {
    /// The state before any failure.
    pub fn new(poll_within: Option<Micros>) -> Backoff {
        Backoff { poll_within, last_wait: 0, not_before: 0 }
    }

    /// Whether a call has failed since the last answer.
    pub fn is_active(&self) -> bool {
        self.last_wait > 0
    }

    /// The last wait; 0 if no call has failed since the last answer.
    pub fn last_wait(&self) -> Micros {
        self.last_wait
    }

    /// The earliest time of a call that the last `Retry-After` allows.
    pub fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Resets the backoff after an answer; the last `Retry-After` stays in force.
    pub fn reset(&mut self) {
        self.last_wait = 0;
    }

    /// Drops the last `Retry-After`, which came from another service.
    pub fn forget_retry_after(&mut self) {
        self.not_before = 0;
    }

    /// Draws the wait after a call that failed at `now`, for rounds of this length. `retry_after` is 0 if the response had
    /// no such header.
    pub fn draw(&mut self, rng: &mut fastrand::Rng, now: Micros, round: Micros, retry_after: Micros) {
        let base = (round / 4).max(MIN_WAIT);
        // After a failed call, changes count as received once four times `poll_within` has passed. A wait uses half of that
        // and leaves the other half for the next call.
        let max_wait = self.poll_within.map_or(u64::MAX, |within| 2 * within);
        let cap = (2 * round).max(MIN_CAP.min(max_wait)).max(base);
        self.last_wait = rng.u64(base..=(3 * self.last_wait.max(base)).min(cap));
        self.not_before = now + retry_after;
    }

    /// The earliest time of the next call, by the last wait and the last `Retry-After`.
    pub fn earliest(&self, now: Micros) -> Micros {
        self.not_before.max(now + self.last_wait)
    }
}
