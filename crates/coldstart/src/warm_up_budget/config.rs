//! Settings of the budgets.

use crate::{ConfigError, Micros, check_place};

/// Settings of a [`WarmUpBudget`](super::WarmUpBudget).
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// The number of places, whether or not a dispatcher runs at each of them.
    pub places: u16,
    /// The Unix time at which the caller's clock reads 0, in microseconds.
    pub unix_at_zero: Micros,
    /// The maximum difference of a clock from true time, in microseconds.
    pub max_clock_skew: Micros,
    /// The overload window, in microseconds.
    pub overload_window: Micros,
    /// A worker collapses if it is sent more than this multiple of its current capacity over the window.
    pub overload_multiple: f64,
    /// The fraction of its capacity with which a worker starts.
    pub initial_capacity: f64,
    /// The time from the start of a worker until it is warm, in microseconds.
    pub warm_up_time: Micros,
    /// The work of a handshake, in requests of mean work.
    pub handshake_work: f64,
    /// The work of a probe, in requests of mean work.
    pub probe_work: f64,
    /// The maximum number of connections of a worker; 0 if unknown.
    pub connections: u32,
    /// How long a place may keep a connection before it passes to another place, in microseconds. Used if a worker's limit
    /// of connections is below the number of places.
    pub connection_lease: Micros,
    /// A fault to inject, which the tests must detect: this place uses every turn as if it owned it.
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
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if let Some((_, name)) = numbers.into_iter().find(|(number, _)| !is_positive(*number)) {
            return Err(ConfigError::NotPositive(name));
        }
        if !(0.0..=1.0).contains(&self.initial_capacity) {
            return Err(ConfigError::NotPositive("initial_capacity"));
        }
        Ok(())
    }

    /// The length of the overload window as measured by clocks that differ by the maximum, in microseconds.
    pub(super) fn skewed_window(&self) -> Micros {
        self.overload_window + 2 * self.max_clock_skew
    }
}
