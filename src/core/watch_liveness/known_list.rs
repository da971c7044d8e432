//! The revalidation of the list that the process started with, and the time span in which that list counts as stale.

use super::LIVENESS_TIMEOUT;
use super::settings::{NOTIFICATION_DEADLINE, POLL_INTERVAL};
use crate::policy::interface::Micros;
use std::ops::Range;

/// How long a new process waits for discovery to revalidate the list that it started with, in microseconds. A reachable service
/// that is not overloaded answers the first or second call within this time. A service that has sent nothing by then counts as
/// unreachable, and a list that may be stale is better than none. The timeout is below 6 s, the shortest time that a process is
/// given to become ready.
const REVALIDATION_TIMEOUT: Micros = 3 * POLL_INTERVAL;

/// The state of the list that the process started with, until discovery has revalidated it.
#[derive(Debug, Default)]
pub(super) struct KnownList {
    /// The span in which the list may lack changes that count as notified; `None` once revalidation has ended.
    stale_span: Option<Range<Micros>>,
}

impl KnownList {
    /// Starts the revalidation at `now`. `newest_start` is the latest start of a worker on the list. The list is no older than
    /// that, so the changes that it lacks count as notified [`NOTIFICATION_DEADLINE`] after it at the earliest. With `None` the
    /// list may have any age. Returns the span in which the list must not be used.
    pub fn revalidate(&mut self, now: Micros, newest_start: Option<Micros>) -> Range<Micros> {
        let from = newest_start.map_or(now, |start| start.min(now) + NOTIFICATION_DEADLINE);
        self.stale_span.insert(from.max(now)..now + REVALIDATION_TIMEOUT).clone()
    }

    /// Handles the report that a peer last received a message of the previous process at `at`. That process detected a silent
    /// watch within [`LIVENESS_TIMEOUT`], so it can have lacked only the changes of the [`LIVENESS_TIMEOUT`] before `at`, which
    /// count as notified [`NOTIFICATION_DEADLINE`] after they were made. Returns from when on the list must not be used; `None`
    /// if it need not be revalidated.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        let span = self.stale_span.as_mut()?;
        span.start = span.start.max(at + NOTIFICATION_DEADLINE - LIVENESS_TIMEOUT);
        Some(span.start)
    }

    /// Whether the list must not be used now.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.stale_span.as_ref().is_some_and(|span| span.contains(&now))
    }

    /// Ends the revalidation, because discovery has sent a list or is unreachable.
    pub fn end_revalidation(&mut self) {
        self.stale_span = None;
    }
}
