//! A single timer of a part of the server, kept in the core's timer queue.

use crate::core::{Core, TimerToken};
use crate::policy::interface::Micros;

/// A timer that is set to at most one time. Its owner must call [`TimerSlot::on_fired`] when the core reports it.
pub(in crate::server) struct TimerSlot {
    token: TimerToken,
    at: Option<Micros>,
}

impl TimerSlot {
    /// Creates the timer of a token, not set.
    pub(in crate::server) fn new(token: TimerToken) -> TimerSlot {
        TimerSlot { token, at: None }
    }

    /// Sets the timer to fire at `at`, which replaces the time set before. `None` cancels the timer.
    pub(in crate::server) fn set(&mut self, core: &mut Core, at: Option<Micros>) {
        if at == self.at {
            return;
        }
        if let Some(old) = self.at {
            core.cancel_timer(old, self.token);
        }
        if let Some(new) = at {
            core.set_timer(new, self.token);
        }
        self.at = at;
    }

    pub(in crate::server) fn is_set(&self) -> bool {
        self.at.is_some()
    }

    /// Records that the core has reported the timer as fired: it is no longer set.
    pub(in crate::server) fn on_fired(&mut self) {
        self.at = None;
    }
}

#[cfg(test)]
mod tests;
