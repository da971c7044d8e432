//! The module's clock beside Unix time. Two processes of one dispatcher have different module clocks, so whatever passes between
//! them or is stored is in Unix time.

use crate::policy::interface::{MICROS_PER_MS, Micros};

/// A moment in Unix time, in microseconds.
pub type UnixMicros = i64;

/// The first reading of the module's clock. The hour before it is for what happened before the process started, such as the start
/// of a worker; what lies further back counts as long ago.
pub(super) const CLOCK_START: Micros = 3_600_000_000;

/// Converts between the module's clock and Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnixClock {
    /// The module's time less Unix time, in microseconds.
    offset: i128,
}

impl UnixClock {
    /// A clock that reads [`CLOCK_START`] at this Unix time, in microseconds.
    pub fn starting_at(unix_now: u128) -> UnixClock {
        UnixClock { offset: CLOCK_START as i128 - unix_now as i128 }
    }

    /// The module's time less Unix time, in microseconds.
    pub fn offset(self) -> i64 {
        self.offset as i64
    }

    /// A moment of the module as Unix time.
    pub fn unix_time(self, at: Micros) -> UnixMicros {
        (i128::from(at) - self.offset) as UnixMicros
    }

    /// Unix time as the module's time; what lies before its clock began is 0.
    pub fn module_time(self, unix: UnixMicros) -> Micros {
        Micros::try_from(i128::from(unix) + self.offset).unwrap_or(0)
    }

    /// Unix time in milliseconds as the module's time; `None` where it is unset or lies before the clock began.
    pub fn module_time_of_millis(self, unix_millis: f64) -> Option<Micros> {
        let at = Micros::try_from((unix_millis * MICROS_PER_MS as f64) as i128 + self.offset).ok()?;
        (at > 0 && unix_millis > 0.0).then_some(at)
    }
}
