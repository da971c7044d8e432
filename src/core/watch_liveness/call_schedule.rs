//! When a call for a watch is given up, and when the next one begins.

use super::service_load::{MIN_CALL_SPACING, ServiceLoad};
use super::settings::{DiscoverySettings, NOTIFICATION_DEADLINE, POLL_INTERVAL};
use super::{WatchFailure, WatchPhase};
use crate::policy::interface::Micros;
use std::ops::RangeInclusive;

/// The last call that fits into [`NOTIFICATION_DEADLINE`], which is answered, is given this much of it: services are known that let
/// none wait for longer.
const LAST_CALL_RESERVE: Micros = 1_000_000;
/// However many dispatchers there are, a refusal is made good within [`NOTIFICATION_DEADLINE`]: the rest of a wait under way,
/// one call that is refused, and the last.
const MAX_REFUSED_INTERVAL: Micros = (NOTIFICATION_DEADLINE - LAST_CALL_RESERVE) / 2;
/// Nobody is called in a busy loop: the next call comes this long after an agent refused, or after a call that took its whole time.
pub(super) const MIN_RETRY_INTERVAL: Micros = 50_000;
/// The next call begins within the last eighth of the time until it is due: not all dispatchers call at the same moment.
const RETRY_SPREAD_DIVISOR: Micros = 8;
/// Where many of them wait for a slow service in vain it is the last half, or they would come together again.
const OVERLOAD_SPREAD_DIVISOR: Micros = 2;

/// A watch, or a call for one, that is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    /// When the call began.
    pub called_at: Micros,
    /// When it failed.
    pub failed_at: Micros,
    /// How far it had come.
    pub phase: WatchPhase,
    /// Why it is over.
    pub failure: WatchFailure,
}

impl FailedCall {
    /// Whether the watch had sent lists or empty lines.
    fn was_live(&self) -> bool {
        matches!(self.phase, WatchPhase::Live { .. })
    }
}

/// What the times of calls are derived from.
#[derive(Debug)]
pub(super) struct CallSchedule<'a> {
    pub settings: &'a DiscoverySettings,
    pub load: &'a ServiceLoad,
    /// From when on what this dispatcher may lack counts as notified, if it may lack anything.
    pub counts_from: Option<Micros>,
}

impl CallSchedule<'_> {
    /// How long a call that began at `called_at` may wait for its answer, once its connection is up. Given up, it would lose its
    /// place in the service's queue, and many services would answer it though nobody reads it. So it is given up only once the
    /// next one is due, and later where the service has let a call wait for longer; but while what was missed can still be
    /// received in time, there must be time for another call.
    pub fn answer_timeout(&self, called_at: Micros) -> Micros {
        let longest = self.load.answer_timeout(called_at, self.settings);
        let timeout = match self.counts_from {
            Some(counts_from) if called_at < counts_from => counts_from
                .saturating_sub(called_at + MIN_RETRY_INTERVAL + LAST_CALL_RESERVE)
                .clamp(POLL_INTERVAL, longest),
            _ => longest,
        };
        timeout.max(self.load.observed_timeout())
    }

    /// When the call after one that failed may begin. `None` where its time is over or near: then it begins after
    /// [`MIN_RETRY_INTERVAL`].
    pub fn retry_window(&self, failed: &FailedCall) -> Option<RangeInclusive<Micros>> {
        let call_by = failed.called_at + self.retry_interval(failed);
        let window = if failed.was_live() && call_by <= failed.failed_at {
            self.window_after_common_loss(failed)
        } else {
            self.window_before(call_by, failed.failed_at)?
        };
        Some(self.hurried_window(failed, window))
    }

    /// The longest time from the call that failed to the next one.
    fn retry_interval(&self, failed: &FailedCall) -> Micros {
        // Until what was missed counts, and after a watch that was live, turns are not waited for.
        let is_in_time = self.counts_from.is_some_and(|counts_from| failed.failed_at < counts_from);
        if is_in_time || failed.was_live() {
            self.settings.hurried_call_interval()
        } else if self.load.is_overloaded_repeatedly() {
            self.load.backoff(failed.failed_at, self.settings)
        } else {
            self.settings.call_interval().min(MAX_REFUSED_INTERVAL)
        }
    }

    /// The window after a watch that was live and whose interval is over: all dispatchers may have lost theirs together.
    fn window_after_common_loss(&self, failed: &FailedCall) -> RangeInclusive<Micros> {
        let spread = match failed.failure {
            WatchFailure::Silent => self.settings.hurried_spread(),
            WatchFailure::Ended | WatchFailure::Unreachable => self.settings.spread(),
        };
        failed.failed_at..=failed.failed_at + spread
    }

    /// The window of a call that is due by `call_by`; `None` where that is over or near.
    fn window_before(&self, call_by: Micros, now: Micros) -> Option<RangeInclusive<Micros>> {
        if call_by <= now + MIN_RETRY_INTERVAL {
            return None;
        }
        let is_spread = self.load.is_overloaded() && !self.settings.are_few();
        let divisor = if is_spread { OVERLOAD_SPREAD_DIVISOR } else { RETRY_SPREAD_DIVISOR };
        let earliest = call_by - (call_by - now) / divisor;
        Some(earliest..=call_by)
    }

    /// The window, moved forward if what was missed can still be received in time: then there is time for another call after this
    /// one.
    fn hurried_window(&self, failed: &FailedCall, window: RangeInclusive<Micros>) -> RangeInclusive<Micros> {
        let now = failed.failed_at;
        let Some(spare) = self.counts_from.and_then(|at| at.checked_sub(now + POLL_INTERVAL)) else {
            return window;
        };
        let soonest = failed.called_at + MIN_CALL_SPACING;
        let latest = (now + spare / 2).max(soonest);
        if latest < *window.end() { now.max(soonest).min(latest)..=latest } else { window }
    }
}
