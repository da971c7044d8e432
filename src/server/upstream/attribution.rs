//! Which responses on a connection certainly belong to the exchange that awaits a response.
//!
//! A response does not say which request it belongs to, and a worker may send a second copy of one some milliseconds later. A copy
//! that arrives after the next request has been written is taken for the response to that request. From then on each request
//! would be judged by the response to the one before it. Two rules prevent that:
//!
//! - A response is uncertain if its request was written when a copy of a response before it could still arrive. After an uncertain
//!   response the connection rests: if it was a copy, the request's own response arrives before a further request is written.
//!   An acceptance is certain as soon as the worker reports that the job has started.
//! - After a response that is not a success the connection rests too, because a copy of it would reject or fail the next request.

use crate::policy::interface::Micros;

/// The statuses from here on are not successes.
const FIRST_FAILURE_STATUS: u16 = 300;

/// The last response on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastResponse {
    /// The status; `None` if another process has read the response.
    pub status: Option<u16>,
    /// When the response was complete, in microseconds.
    pub read_at: Micros,
}

/// The responses of a connection, as far as they matter for the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attribution {
    last_response: Option<LastResponse>,
    /// From when on no copy of the last response arrives any more.
    settled_at: Micros,
    /// Whether the response to the current exchange may be a copy of a response before it.
    is_uncertain: bool,
    /// Whether the connection must not be used before it is settled.
    needs_rest: bool,
}

impl Attribution {
    /// The state of a connection that another process has handed over. It may have read a response just now.
    pub fn adopted(now: Micros, copy_window: Micros) -> Attribution {
        Attribution {
            last_response: Some(LastResponse { status: None, read_at: now }),
            settled_at: now + copy_window,
            ..Attribution::default()
        }
    }

    pub fn last_response(&self) -> Option<LastResponse> {
        self.last_response
    }

    /// From when on no copy of the last response arrives any more.
    pub fn settled_at(&self) -> Micros {
        self.settled_at
    }

    /// From when on the connection may carry the next exchange.
    pub fn rested_at(&self) -> Micros {
        if self.needs_rest { self.settled_at } else { 0 }
    }

    /// Records the start of an exchange.
    pub fn on_exchange_started(&mut self, now: Micros) {
        self.is_uncertain = now < self.settled_at;
    }

    /// Whether the response to the current exchange may be a copy of a response before it. Then that one was a success, since no
    /// exchange starts while a copy of another response may arrive.
    pub fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    /// Records that the response to the current exchange is complete.
    pub fn on_response(&mut self, status: u16, now: Micros, copy_window: Micros) {
        self.needs_rest = status >= FIRST_FAILURE_STATUS || self.is_uncertain;
        self.last_response = Some(LastResponse { status: Some(status), read_at: now });
        self.settled_at = now + copy_window;
    }
}

#[cfg(test)]
mod tests;
