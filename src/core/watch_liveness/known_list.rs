//! For how long the list that the program started with counts as stale.

use super::LIVENESS_TIMEOUT;
use super::settings::{NOTIFICATION_DEADLINE, POLL_INTERVAL};
use crate::policy::interface::Micros;
use std::ops::Range;

/// A process that has just started waits this long for discovery to revalidate the list that it started with: a service that can be
/// reached, and is not overloaded, has then answered it in the first of its calls or the next. One that sends nothing counts as one
/// that cannot be reached, and a list that may be stale is better than none. The process is ready by then, within the 6 s of the
/// shortest days.
const REVALIDATION_TIMEOUT: Micros = 3 * POLL_INTERVAL;

/// The list that the program started with, until discovery has revalidated it.
#[derive(Debug, Default)]
pub(super) struct KnownList {
    /// While it is to be revalidated: in this span it may lack changes that count as notified.
    stale_span: Option<Range<Micros>>,
}

impl KnownList {
    /// It is to be revalidated, from `now` on. `newest` is the latest start of a worker on it: the list is no older, so what it
    /// lacks counts as notified [`NOTIFICATION_DEADLINE`] after that at the soonest; `None` where it may be of any age. Returns the
    /// span in which nothing may be sent by it.
    pub fn revalidate(&mut self, now: Micros, newest: Option<Micros>) -> Range<Micros> {
        let from = newest.map_or(now, |start| start.min(now) + NOTIFICATION_DEADLINE);
        self.stale_span.insert(from.max(now)..now + REVALIDATION_TIMEOUT).clone()
    }

    /// At this time the process before this one lacked no more than what it had not noticed to miss, within [`LIVENESS_TIMEOUT`];
    /// that counts [`NOTIFICATION_DEADLINE`] after. Returns from when on nothing may be sent by the list, if it is still to be
    /// revalidated.
    pub fn on_predecessor_seen(&mut self, at: Micros) -> Option<Micros> {
        let span = self.stale_span.as_mut()?;
        span.start = span.start.max(at + NOTIFICATION_DEADLINE - LIVENESS_TIMEOUT);
        Some(span.start)
    }

    /// Whether nothing may be sent by it now.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.stale_span.as_ref().is_some_and(|span| span.contains(&now))
    }

    /// Discovery has sent a list, or cannot be reached: it need not be revalidated any longer.
    pub fn release(&mut self) {
        self.stale_span = None;
    }
}
