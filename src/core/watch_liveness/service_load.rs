//! The load of the discovery service, estimated from the dispatcher's own calls, and the backoff from an overloaded service.

use super::settings::{DiscoverySettings, NOTIFICATION_DEADLINE, POLL_INTERVAL};
use crate::policy::interface::Micros;

/// The minimum time between the starts of two calls when a call is moved to an earlier time, in microseconds. A call that failed
/// faster was refused at once, which is no sign of overload.
pub(super) const MIN_CALL_SPACING: Micros = 200_000;
/// The maximum number of times that the answer timeout is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// The maximum backoff, in poll intervals. After a failed call the decision module uses the list for four poll intervals, the
/// last of which is left for the next call.
const MAX_BACKOFF_INTERVALS: Micros = 3;

/// The load of the service, estimated from the outcomes of calls.
#[derive(Debug, Default)]
pub(super) struct ServiceLoad {
    /// The longest wait of a call that was answered or refused, in microseconds.
    longest_wait: Micros,
    /// The consecutive calls that waited and were not answered, so that the service may be overloaded; `None` if there is none.
    overload: Option<Overload>,
    /// When the last call began that failed after more than [`POLL_INTERVAL`]; `None` if a call was answered since.
    long_wait_from: Option<Micros>,
}

/// Consecutive calls that probably waited in the service's queue and were not answered.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// When the first of these calls failed.
    since: Micros,
    /// The number of these calls.
    failed_calls: u32,
}

impl ServiceLoad {
    /// Whether the last call waited and was not answered.
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_some()
    }

    /// Whether at least the last two calls waited and were not answered.
    pub fn is_overloaded_repeatedly(&self) -> bool {
        self.failed_calls() >= 2
    }

    fn failed_calls(&self) -> u32 {
        self.overload.map_or(0, |overload| overload.failed_calls)
    }

    /// Records that a call was answered after `wait`.
    pub fn on_answered(&mut self, wait: Micros) {
        self.longest_wait = self.longest_wait.max(wait);
        self.overload = None;
        self.long_wait_from = None;
    }

    /// Whether a failed call took so long that the next ones must follow sooner, so that one of them is answered within
    /// [`NOTIFICATION_DEADLINE`] of its start.
    pub fn must_catch_up(&self, now: Micros) -> bool {
        self.long_wait_from.is_some_and(|from| now < from + NOTIFICATION_DEADLINE)
    }

    /// Records that a call was refused after `wait`.
    pub fn on_refused(&mut self, now: Micros, wait: Micros) {
        if wait < MIN_CALL_SPACING {
            self.overload = None;
        } else {
            self.longest_wait = self.longest_wait.max(wait);
            self.on_unanswered(now);
        }
    }

    /// Records that a call that began at `called_at` has failed before the watch was live.
    pub fn on_call_failed(&mut self, now: Micros, called_at: Micros) {
        if now.saturating_sub(called_at) > POLL_INTERVAL {
            self.long_wait_from = Some(called_at);
        }
    }

    /// Records that a call timed out without an answer.
    pub fn on_unanswered(&mut self, now: Micros) {
        let previous = self.overload.unwrap_or(Overload { since: now, failed_calls: 0 });
        self.overload = Some(Overload { failed_calls: previous.failed_calls.saturating_add(1), ..previous });
    }

    /// Records that a call failed in a way that shows no overload.
    pub fn clear_overload(&mut self) {
        self.overload = None;
    }

    /// The maximum time between the starts of two calls while the service may be overloaded, in microseconds. The backoff stays
    /// constant for two notification deadlines, because all dispatchers may still be served within one. After that it grows with
    /// the time since the first failure, up to one round of calls at a very slow service.
    pub fn backoff(&self, now: Micros, settings: &DiscoverySettings) -> Micros {
        let overloaded_for = self.overload.map_or(0, |overload| now.saturating_sub(overload.since));
        let while_list_is_valid =
            settings.max_poll_interval.map_or(Micros::MAX, |interval| MAX_BACKOFF_INTERVALS * interval);
        let longest = settings.slow_service_round().min(while_list_is_valid);
        overloaded_for.saturating_sub(2 * NOTIFICATION_DEADLINE).min(longest).max(settings.call_interval())
    }

    /// The timeout for the answer to a call, in microseconds. The timeout doubles with each call that was not answered, as long
    /// as that leaves time for another call, and is at least the backoff.
    pub fn answer_timeout(&self, called_at: Micros, settings: &DiscoverySettings) -> Micros {
        let doublings = self.failed_calls().min(MAX_TIMEOUT_DOUBLINGS);
        let doubled = (POLL_INTERVAL << doublings).min(NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.backoff(called_at, settings).clamp(doubled, 2 * NOTIFICATION_DEADLINE)
    }

    /// The minimum timeout of a call, in microseconds: the longest wait at the service so far, and a quarter more.
    pub fn observed_timeout(&self) -> Micros {
        self.longest_wait + self.longest_wait / 4
    }
}
