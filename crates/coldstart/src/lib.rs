//! Who asks discovery when, and what of a worker is rationed at a start. No sockets, no clock.
//!
//! Four machines, each a struct that takes events and time and gives wishes:
//! [`Pacer`] decides when this dispatcher calls the list service; [`Findings`] holds what this dispatcher and the others
//! found of workers and of that service, as facts that a carrier brings; [`Ration`] says when a handshake, a probe or
//! a job may go to a worker so that all dispatchers together stay below a bound; [`Confirm`] tries few workers at a
//! time of a list that nobody has confirmed since the start.
//!
//! Time is microseconds of the caller's monotonic clock. What dispatchers share is by Unix time: each machine is told at
//! its making which Unix time the caller's zero is, and is not told again, so that a clock that is set later moves nothing.
//! [`model`] plays hundreds of dispatchers around one service, for tests and the proof.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod confirm;
pub mod findings;
pub mod invariant;
pub mod model;
pub mod pacer;
pub mod ration;

pub use confirm::Confirm;
pub use findings::{AbsorbError, Finding, Findings, KIND, Origin, Report, Seen, Trouble};
pub use pacer::{Ask, Event, Pacer, Service};
pub use ration::{Ration, Verdict, Wish, WorkerNow};

/// Why a machine cannot be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The own place is not one of the places.
    #[error("place {place} is not below the count of places, {count}")]
    Place {
        /// The own place.
        place: u16,
        /// How many places there are.
        count: u16,
    },
    /// A span that has to be longer than nothing is 0.
    #[error("{0} is 0")]
    Zero(&'static str),
    /// A number that has to be positive and finite is not.
    #[error("{0} is not a positive number")]
    NotPositive(&'static str),
}

fn check_place(place: u16, count: u16) -> Result<(), ConfigError> {
    if place < count { Ok(()) } else { Err(ConfigError::Place { place, count }) }
}

/// Spreads tags that may be close together over all 64 bits (the finishing steps of the 64-bit MurmurHash3).
fn mix(tag: u64) -> u64 {
    let mut x = tag.wrapping_add(0x9e37_79b9_7f4a_7c15);
    for by in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53_u64] {
        x = (x ^ (x >> 33)).wrapping_mul(by);
    }
    x ^ (x >> 33)
}
