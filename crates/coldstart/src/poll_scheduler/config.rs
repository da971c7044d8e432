//! Settings of a scheduler.

use crate::{ConfigError, Micros, Millis, check_place};

/// The default of [`Config::service_time`], in microseconds.
pub const SERVICE_TIME: Micros = 20_000;

/// Settings of a [`PollScheduler`](super::PollScheduler).
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// The number of places, whether or not a dispatcher runs at each of them.
    pub places: u16,
    /// The time that the service needs for a call, in microseconds; [`SERVICE_TIME`] if unknown.
    pub service_time: Micros,
    /// How long a dispatcher without a watch may rely on its list after its last call, in microseconds; four times as long
    /// after a call that failed.
    pub poll_within: Option<Micros>,
    /// The Unix time at which the caller's clock reads 0, in microseconds.
    pub unix_at_zero: Micros,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the statuses of other members can be received at all.
    pub has_membership: bool,
    /// A fault to inject, which the tests must detect: calls are not spread over slots.
    #[doc(hidden)]
    pub skip_scheduling: bool,
}

impl Config {
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        check_place(self.place, self.places)?;
        if self.service_time == 0 { Err(ConfigError::Zero("service_time")) } else { Ok(()) }
    }

    /// Converts a point in the caller's time to Unix time, in milliseconds.
    pub(super) fn unix_ms(&self, at: Micros) -> Millis {
        (self.unix_at_zero + at) / 1_000
    }
}
