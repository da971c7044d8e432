//! Conversion between the decision module's clock and Unix time. Two processes of one dispatcher have different module clocks, so
//! everything that passes between them or is stored is in Unix time.

use crate::policy::interface::{MICROS_PER_MS, Micros};

/// A point in Unix time, in microseconds.
pub type UnixMicros = i64;

/// The first reading of the module's clock, in microseconds. The hour before it represents events before the start of the
/// process, such as the start of a worker. Any earlier event counts as long ago.
pub(super) const CLOCK_START: Micros = 3_600_000_000;

/// Converts between the module's clock and Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnixClock {
    /// The module's time minus Unix time, in microseconds.
    offset: i128,
}

impl UnixClock {
    /// Creates a clock that reads [`CLOCK_START`] at `unix_now`, in microseconds of Unix time.
    pub fn starting_at(unix_now: u128) -> UnixClock {
        UnixClock { offset: CLOCK_START as i128 - unix_now as i128 }
    }

    /// The module's time minus Unix time, in microseconds.
    pub fn offset(self) -> i64 {
        self.offset as i64
    }

    /// Converts the module's time to Unix time.
    pub fn unix_time(self, at: Micros) -> UnixMicros {
        (i128::from(at) - self.offset) as UnixMicros
    }

    /// Converts Unix time to the module's time; 0 if it is before the clock's zero.
    pub fn module_time(self, unix: UnixMicros) -> Micros {
        Micros::try_from(i128::from(unix) + self.offset).unwrap_or(0)
    }

    /// Converts Unix time in milliseconds to the module's time; `None` if it is unset (0) or before the clock's zero.
    pub fn module_time_of_millis(self, unix_millis: f64) -> Option<Micros> {
        let at = Micros::try_from((unix_millis * MICROS_PER_MS as f64) as i128 + self.offset).ok()?;
        (at > 0 && unix_millis > 0.0).then_some(at)
    }
}
