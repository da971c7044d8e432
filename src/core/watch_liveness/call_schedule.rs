//! The timeouts of calls for a watch, and the time of the next call.

use super::service_load::{MIN_CALL_SPACING, ServiceLoad};
use super::settings::{DiscoverySettings, NOTIFICATION_DEADLINE, POLL_INTERVAL};
use super::{WatchFailure, WatchPhase};
use crate::policy::interface::Micros;
use std::ops::RangeInclusive;

/// The part of [`NOTIFICATION_DEADLINE`] that is left for the last call, which is answered, in microseconds. Known services make
/// no call wait for longer.
const LAST_CALL_RESERVE: Micros = 1_000_000;
/// The maximum interval between calls after a refusal, in microseconds. With it, [`NOTIFICATION_DEADLINE`] leaves time for the
/// rest of a wait, one refused call and the last call, with any number of dispatchers.
const MAX_REFUSED_INTERVAL: Micros = (NOTIFICATION_DEADLINE - LAST_CALL_RESERVE) / 2;
/// The minimum delay before the next call after an agent refused or a call used all its time, in microseconds. The delay prevents
/// a busy loop.
pub(super) const MIN_RETRY_INTERVAL: Micros = 50_000;
/// The next call begins at a random time within a window that ends when the call is due, so that dispatchers do not call at the
/// same time. The window's length is the time until the call is due divided by this number.
const RETRY_SPREAD_DIVISOR: Micros = 8;
/// The value of [`RETRY_SPREAD_DIVISOR`] for many dispatchers at a slow service that has not answered them: within a shorter window
/// they would call at the same time again.
const OVERLOAD_SPREAD_DIVISOR: Micros = 2;

/// A watch that has failed, or a call for one.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    /// The start of the call.
    pub called_at: Micros,
    /// When the call or its watch failed.
    pub failed_at: Micros,
    /// The phase at the time of the failure.
    pub phase: WatchPhase,
    /// The reason for the failure.
    pub failure: WatchFailure,
}

impl FailedCall {
    /// Whether the watch had sent data: lists or empty lines.
    pub fn was_live(&self) -> bool {
        matches!(self.phase, WatchPhase::Live { .. })
    }
}

/// The inputs from which timeouts and the times of calls are derived.
#[derive(Debug)]
pub(super) struct CallSchedule<'a> {
    pub settings: &'a DiscoverySettings,
    pub load: &'a ServiceLoad,
    /// From when on the changes that this dispatcher may lack count as notified; `None` if no changes are missing.
    pub notified_from: Option<Micros>,
}

impl CallSchedule<'_> {
    /// How long a call that began at `called_at` may wait for its answer, in microseconds, once its connection is established.
    ///
    /// A call that times out loses its place in the service's queue, and many services spend time on answering it although nobody
    /// reads the answer. So a call times out only when the next call is due, or later if the service has made a call wait for
    /// longer. As long as missed changes can still be received in time, all of that time is used: a call waits until just enough
    /// is left for another one. The last call in time waits as long as any other.
    pub fn answer_timeout(&self, called_at: Micros) -> Micros {
        let unhurried = self.load.answer_timeout(called_at, self.settings);
        let timeout = self.timeout_before_last_call(called_at).unwrap_or(unhurried);
        timeout.max(self.load.observed_timeout())
    }

    /// How long a call that began at `called_at` may wait if another call can still be answered before the missed changes count as
    /// notified, in microseconds. `None` if no changes are missing, or if too little time is left for two calls.
    fn timeout_before_last_call(&self, called_at: Micros) -> Option<Micros> {
        let last_call_at = self.notified_from?.checked_sub(MIN_RETRY_INTERVAL + LAST_CALL_RESERVE)?;
        let timeout = last_call_at.checked_sub(called_at)?;
        (timeout >= POLL_INTERVAL).then_some(timeout)
    }

    /// The window in which the next call after a failed one begins. `None` if the window has passed or is about to pass: the call
    /// then begins after [`MIN_RETRY_INTERVAL`].
    pub fn retry_window(&self, failed: &FailedCall) -> Option<RangeInclusive<Micros>> {
        let call_by = failed.called_at + self.retry_interval(failed);
        let window = if failed.was_live() && call_by <= failed.failed_at {
            self.window_after_common_loss(failed)
        } else {
            self.window_before(call_by, failed.failed_at)?
        };
        Some(self.earlier_window(failed, window))
    }

    /// The maximum time from the start of the failed call to the start of the next one, in microseconds.
    fn retry_interval(&self, failed: &FailedCall) -> Micros {
        // Dispatchers do not take turns before missed changes count as notified, nor after a live watch.
        let is_in_time = self.notified_from.is_some_and(|notified_from| failed.failed_at < notified_from);
        if self.load.must_catch_up(failed.failed_at) && self.settings.may_call_uncoordinated() {
            self.settings.uncoordinated_call_interval().min(LAST_CALL_RESERVE)
        } else if is_in_time || failed.was_live() {
            self.settings.uncoordinated_call_interval()
        } else if self.load.is_overloaded_repeatedly() {
            self.load.backoff(failed.failed_at, self.settings)
        } else {
            self.settings.call_interval().min(MAX_REFUSED_INTERVAL)
        }
    }

    /// The window after a live watch whose retry interval has passed. All dispatchers may have lost their watches together, so
    /// their calls are spread.
    fn window_after_common_loss(&self, failed: &FailedCall) -> RangeInclusive<Micros> {
        let spread = match failed.failure {
            WatchFailure::Silent => self.settings.short_spread(),
            WatchFailure::Ended | WatchFailure::Unreachable => self.settings.spread(),
        };
        failed.failed_at..=failed.failed_at + spread
    }

    /// The window of a call that is due by `call_by`; `None` if that time has passed or is less than [`MIN_RETRY_INTERVAL`] away.
    fn window_before(&self, call_by: Micros, now: Micros) -> Option<RangeInclusive<Micros>> {
        if call_by <= now + MIN_RETRY_INTERVAL {
            return None;
        }
        let is_spread = self.load.is_overloaded() && !self.settings.may_call_uncoordinated();
        let divisor = if is_spread { OVERLOAD_SPREAD_DIVISOR } else { RETRY_SPREAD_DIVISOR };
        let earliest = call_by - (call_by - now) / divisor;
        Some(earliest..=call_by)
    }

    /// The window, moved to an earlier time if missed changes can still be received in time, so that another call fits in after
    /// this one.
    fn earlier_window(&self, failed: &FailedCall, window: RangeInclusive<Micros>) -> RangeInclusive<Micros> {
        let now = failed.failed_at;
        let Some(spare) = self.notified_from.and_then(|at| at.checked_sub(now + POLL_INTERVAL)) else {
            return window;
        };
        let soonest = failed.called_at + MIN_CALL_SPACING;
        let latest = (now + spare / 2).max(soonest);
        if latest < *window.end() { now.max(soonest).min(latest)..=latest } else { window }
    }
}
