//! Cold start of many dispatchers: spreads their calls to discovery, and limits the load that they put on workers.
//!
//! The crate has no sockets and reads no clock. It consists of four state machines, whose methods take events and the time,
//! and return what the caller has to do:
//!
//! - [`PollScheduler`] decides when this dispatcher calls the list service.
//! - [`SharedObservations`] holds what this dispatcher and its peers observed of workers and of the list service. The
//!   observations travel as facts, which the caller carries between dispatchers.
//! - [`WarmUpBudget`] decides when a handshake, a probe or a job may go to a worker, so that all dispatchers together stay
//!   below a bound.
//! - [`HealthConfirmation`] limits how many workers of an unconfirmed list are tried at a time. A list is unconfirmed if no
//!   dispatcher has seen its workers alive since the start.
//!
//! Time is in microseconds of the caller's monotonic clock. Dispatchers coordinate by Unix time: when a state machine is
//! created, it is given the Unix time at which the caller's clock read 0, so that a later change of the system clock has no
//! effect. A dispatcher is identified by its **place**: its index among all configured dispatchers. [`simulation`] runs
//! hundreds of dispatchers against one service, for tests and for the measurements of the design.
//!
//! ```
//! use mothproxy_coldstart::poll_scheduler::{Config, SERVICE_TIME};
//! use mothproxy_coldstart::{Event, PollScheduler};
//!
//! let config = Config {
//!     place: 0,
//!     places: 100,
//!     service_time: SERVICE_TIME,
//!     poll_within: None,
//!     unix_at_zero: 1_764_633_600_000_000,
//!     seed: 1,
//!     has_membership: false,
//!     skip_scheduling: false,
//! };
//! let mut scheduler = PollScheduler::new(config, 0, 0)?;
//! // The first slot of this place lies within the first round, which has one slot for each place.
//! let due_at = scheduler.next_wake().expect("a call is needed");
//! assert!(due_at <= 100 * SERVICE_TIME);
//! assert!(scheduler.tick(due_at).is_some());
//! // The answer opens a watch: no further call is due.
//! scheduler.handle(due_at + 30_000, Event::Answered { generation: 7, waited: 30_000 });
//! assert_eq!(scheduler.next_wake(), None);
//! # Ok::<(), mothproxy_coldstart::ConfigError>(())
//! ```
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

/// Microseconds: a point in time of the caller's monotonic clock (or of Unix time, where stated), or a span.
pub type Micros = u64;
/// Milliseconds of Unix time, or a span of them.
pub type Millis = u64;
/// Identifies a worker. Every dispatcher uses the same tag for the same worker.
pub type WorkerTag = u64;

/// Why a state machine cannot be created from its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// This dispatcher's place is not one of the places.
    #[error("place {place} is out of range: the number of places is {places}")]
    Place {
        /// This dispatcher's place.
        place: u16,
        /// The number of places.
        places: u16,
    },
    /// A span that must be positive is 0. Holds the name of the setting.
    #[error("{0} is 0, but must be positive")]
    Zero(&'static str),
    /// A number that must be positive and finite is not. Holds the name of the setting.
    #[error("{0} is not a positive number")]
    NotPositive(&'static str),
}

/// The number of violated invariants of this crate since the process started. Release builds count them; debug builds panic
/// instead.
pub fn violated_invariants() -> u64 {
    mothproxy_invariant::violations(env!("CARGO_PKG_NAME"))
}

fn check_place(place: u16, places: u16) -> Result<(), ConfigError> {
    if place < places { Ok(()) } else { Err(ConfigError::Place { place, places }) }
}

/// Spreads tags that may be close together over all 64 bits (the finishing steps of the 64-bit MurmurHash3).
fn mix(tag: u64) -> u64 {
    let mut hash = tag.wrapping_add(0x9e37_79b9_7f4a_7c15);
    for multiplier in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53_u64] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(multiplier);
    }
    hash ^ (hash >> 33)
}
