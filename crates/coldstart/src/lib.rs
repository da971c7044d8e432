//! Which dispatcher calls discovery when, and what a worker gets at a start. No sockets, no clock.
//!
//! Four state machines, each a struct that takes events and time and returns what to do:
//! [`PollScheduler`] decides when this dispatcher calls the list service; [`SharedObservations`] holds what this dispatcher
//! and the others observed of workers and of that service, as facts that a carrier brings; [`WarmUpBudget`] says when a
//! handshake, a probe or a job may go to a worker so that all dispatchers together stay below a bound;
//! [`HealthConfirmation`] tries few workers at a time of a list that nobody has confirmed since the start.
//!
//! Time is microseconds of the caller's monotonic clock. What dispatchers share is by Unix time: each machine is given at
//! its making which Unix time the caller's zero is, and not again, so that a clock that is set later moves nothing.
//! Dispatchers are named by their **place**: their index among all that are configured. [`simulation`] runs hundreds of them
//! around one service, for tests and the proof.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod health_confirmation;
pub mod poll_scheduler;
pub mod shared_observations;
pub mod simulation;
pub mod warm_up_budget;

pub use health_confirmation::{Admission, HealthConfirmation};
pub use poll_scheduler::{Call, Event, PollScheduler, ServiceStatus};
pub use shared_observations::{
    AbsorbError, Fault, KIND, Observation, Origin, Report, ServiceUpdate, SharedObservations, WorkerStatus,
};
pub use warm_up_budget::{ConnectionQuota, Decision, Request, WarmUpBudget, Worker};

/// Microseconds of the caller's monotonic clock or, where that is said, of Unix time; or a span of them.
pub type Micros = u64;
/// Milliseconds of Unix time, or a span of them.
pub type Millis = u64;
/// What names a worker: the same at every dispatcher.
pub type WorkerTag = u64;

/// Why a machine cannot be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The own place is not one of the places.
    #[error("place {place} is not below the count of places, {places}")]
    Place {
        /// The own place.
        place: u16,
        /// How many places there are.
        places: u16,
    },
    /// A span that has to be longer than nothing is 0.
    #[error("{0} is 0")]
    Zero(&'static str),
    /// A number that has to be positive and finite is not.
    #[error("{0} is not a positive number")]
    NotPositive(&'static str),
}

/// How many invariants of this crate were found violated since the process started: counted in release builds, where a debug
/// build panics.
pub fn violated_invariants() -> u64 {
    mothproxy_invariant::violations(env!("CARGO_PKG_NAME"))
}

fn check_place(place: u16, places: u16) -> Result<(), ConfigError> {
    if place < places { Ok(()) } else { Err(ConfigError::Place { place, places }) }
}

/// Spreads tags that may be close together over all 64 bits (the finishing steps of the 64-bit MurmurHash3).
fn mix(tag: u64) -> u64 {
    let mut x = tag.wrapping_add(0x9e37_79b9_7f4a_7c15);
    for multiplier in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53_u64] {
        x = (x ^ (x >> 33)).wrapping_mul(multiplier);
    }
    x ^ (x >> 33)
}
