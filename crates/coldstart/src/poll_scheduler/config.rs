//! Settings of a scheduler.

use crate::{ConfigError, Micros, Millis, check_place};

/// What a call costs the service where nobody knows, in microseconds.
pub const SERVICE_TIME: Micros = 20_000;

/// What a scheduler has to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place, from 0.
    pub place: u16,
    /// How many places there are, whether or not anybody is there.
    pub places: u16,
    /// What a call costs the service, in microseconds; [`SERVICE_TIME`] where nobody knows.
    pub service_time: Micros,
    /// Without a watch a dispatcher is held to its list for this long from its last call, and four times as long from one
    /// that failed, in microseconds.
    pub poll_within: Option<Micros>,
    /// The Unix time of the caller's zero, in microseconds.
    pub unix_at_zero: Micros,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the statuses of others can be received at all.
    pub has_membership: bool,
    /// A deliberate fault for tests of the tests: calls are not spread over slots.
    #[doc(hidden)]
    pub skip_scheduling: bool,
}

impl Config {
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        check_place(self.place, self.places)?;
        if self.service_time == 0 { Err(ConfigError::Zero("service_time")) } else { Ok(()) }
    }

    /// The Unix time of a moment of the caller's time, in milliseconds.
    pub(super) fn unix_ms(&self, at: Micros) -> Millis {
        (self.unix_at_zero + at) / 1_000
    }
}
