//! What a dispatcher's own calls show of the discovery service's load, and how it backs off from an overloaded one.

use super::settings::{DiscoverySettings, NOTIFICATION_DEADLINE, POLL_INTERVAL};
use crate::policy::interface::Micros;

/// Where calls draw nearer to each other, one begins no sooner than this after the one before. A call that failed sooner was
/// refused at once, and shows no overload.
pub(super) const MIN_CALL_SPACING: Micros = 200_000;
/// The answer timeout is doubled at most this often.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// After a call that failed, the decision module uses the list for four poll intervals, of which the last is left for the next
/// call.
const MAX_BACKOFF_INTERVALS: Micros = 3;

/// How long the service has let calls wait.
#[derive(Debug, Default)]
pub(super) struct ServiceLoad {
    /// The longest that it has let a call wait before it answered or refused it.
    longest_wait: Micros,
    /// Set while calls, one after another, wait and are not answered: perhaps it is overloaded.
    overload: Option<Overload>,
}

/// Calls that waited in the service's queue, as it seems, and were not answered.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// When the first of them failed.
    since: Micros,
    /// How many.
    failed_calls: u32,
}

impl ServiceLoad {
    /// Whether the last call waited and was not answered.
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_some()
    }

    /// Whether that is so of the last two calls, or more.
    pub fn is_overloaded_repeatedly(&self) -> bool {
        self.failed_calls() >= 2
    }

    fn failed_calls(&self) -> u32 {
        self.overload.map_or(0, |overload| overload.failed_calls)
    }

    /// A call was answered after this wait.
    pub fn on_answered(&mut self, wait: Micros) {
        self.longest_wait = self.longest_wait.max(wait);
        self.overload = None;
    }

    /// A call was refused after this wait.
    pub fn on_refused(&mut self, now: Micros, wait: Micros) {
        if wait < MIN_CALL_SPACING {
            self.overload = None;
        } else {
            self.longest_wait = self.longest_wait.max(wait);
            self.on_unanswered(now);
        }
    }

    /// A call was given up without an answer.
    pub fn on_unanswered(&mut self, now: Micros) {
        let before = self.overload.unwrap_or(Overload { since: now, failed_calls: 0 });
        self.overload = Some(Overload { failed_calls: before.failed_calls.saturating_add(1), ..before });
    }

    /// A call failed in a way that shows no overload.
    pub fn clear_overload(&mut self) {
        self.overload = None;
    }

    /// The longest time from one call to the next while the service may be overloaded. For two notification deadlines all
    /// dispatchers may still be served within one; beyond that the wait grows with the time spent in vain, until it is enough
    /// for a very slow service.
    pub fn backoff(&self, now: Micros, settings: &DiscoverySettings) -> Micros {
        let overloaded_for = self.overload.map_or(0, |overload| now.saturating_sub(overload.since));
        let while_list_is_valid =
            settings.max_poll_interval.map_or(Micros::MAX, |interval| MAX_BACKOFF_INTERVALS * interval);
        let longest = settings.slow_turn().min(while_list_is_valid);
        overloaded_for.saturating_sub(2 * NOTIFICATION_DEADLINE).min(longest).max(settings.call_interval())
    }

    /// The timeout of a call's answer that would do for the service: doubled with each call that was in vain, as long as a call
    /// after it has time to be answered, and longer once the backoff is.
    pub fn answer_timeout(&self, called_at: Micros, settings: &DiscoverySettings) -> Micros {
        let doublings = self.failed_calls().min(MAX_TIMEOUT_DOUBLINGS);
        let doubled = (POLL_INTERVAL << doublings).min(NOTIFICATION_DEADLINE - POLL_INTERVAL);
        self.backoff(called_at, settings).clamp(doubled, 2 * NOTIFICATION_DEADLINE)
    }

    /// A call is not given up before this: the service has answered one after such a wait, and a quarter of it.
    pub fn observed_timeout(&self) -> Micros {
        self.longest_wait + self.longest_wait / 4
    }
}
