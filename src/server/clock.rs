//! The clock of the loop.

use crate::core::Core;
use crate::policy::interface::Micros;
use std::time::Instant;

/// The clock of this process. Its present time stands still while events are handled, unless it is updated.
pub(super) struct Clock {
    started: Instant,
    now: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), now: Core::clock_start() }
    }

    /// The time of the last update: when the events of this turn were taken, or later in a long one.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Sets [`Clock::now`] to the present time.
    pub fn update(&mut self) {
        self.now = self.elapsed();
    }

    /// The present time, in the midst of a turn.
    pub fn elapsed(&self) -> Micros {
        Core::clock_start() + self.started.elapsed().as_micros() as Micros
    }
}
