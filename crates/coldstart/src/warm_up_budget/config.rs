//! Settings of the budgets.

use crate::{ConfigError, Micros, check_place};

/// What the settings say.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// How many places there are, whether or not anybody is there.
    pub places: u16,
    /// The Unix time of the caller's zero, in microseconds.
    pub unix_at_zero: Micros,
    /// Clocks differ from true time by this at most, in microseconds.
    pub max_clock_skew: Micros,
    /// The overload window, in microseconds.
    pub overload_window: Micros,
    /// A worker that is sent more than this multiple of its present capacity over the window collapses.
    pub overload_multiple: f64,
    /// A worker starts at this fraction of its capacity ...
    pub initial_capacity: f64,
    /// ... and is warm after this, in microseconds.
    pub warm_up_time: Micros,
    /// The work of a handshake, in requests of mean work.
    pub handshake_work: f64,
    /// The work of a probe, in requests of mean work.
    pub probe_work: f64,
    /// Connections that a worker holds; 0 where nobody knows.
    pub connections: u32,
    /// Where a worker holds fewer connections than there are places, connections change hands among the places this seldom,
    /// in microseconds.
    pub connection_lease: Micros,
    /// A deliberate fault for tests of the tests: every turn counts as this place's.
    #[doc(hidden)]
    pub skip_turns: bool,
}

impl Config {
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        check_place(self.place, self.places)?;
        for (span, name) in
            [(self.overload_window, "overload_window"), (self.connection_lease, "connection_lease")]
        {
            if span == 0 {
                return Err(ConfigError::Zero(name));
            }
        }
        let numbers = [
            (self.overload_multiple, "overload_multiple"),
            (self.handshake_work, "handshake_work"),
            (self.probe_work, "probe_work"),
        ];
        if let Some((_, name)) = numbers.into_iter().find(|(n, _)| !(n.is_finite() && *n > 0.0)) {
            return Err(ConfigError::NotPositive(name));
        }
        if !(0.0..=1.0).contains(&self.initial_capacity) {
            return Err(ConfigError::NotPositive("initial_capacity"));
        }
        Ok(())
    }

    /// How long a window is to a member whose clock is as wrong as may be, in microseconds.
    pub(super) fn skewed_window(&self) -> Micros {
        self.overload_window + 2 * self.max_clock_skew
    }
}
