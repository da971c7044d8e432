//! The clock of the event loop.

use crate::core::Core;
use crate::policy::interface::Micros;
use std::time::Instant;

/// The clock of this process. [`Clock::now`] stays constant while events are handled, unless the clock is updated.
pub(super) struct Clock {
    started: Instant,
    now: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), now: Core::clock_start() }
    }

    /// The time of the last update, in microseconds: when the events of this turn were polled, or later in a long turn.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Sets [`Clock::now`] to the current time.
    pub fn update(&mut self) {
        self.now = self.current_time();
    }

    /// The current time in microseconds, also in the middle of a turn.
    pub fn current_time(&self) -> Micros {
        Core::clock_start() + self.started.elapsed().as_micros() as Micros
    }
}
