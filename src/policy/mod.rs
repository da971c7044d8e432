//! The decision module. It takes events with their times and returns actions. It has no clock and does no I/O; its seed is its
//! only source of randomness.
//!
//! [`Dispatcher`] is the module as its host sees it. `rules` holds every decision and `state` the data that the decisions are
//! based on. [`gossip`] holds what the dispatchers of a group advertise to each other. [`simulator`] hosts the same module
//! behind the simulator's line protocol.

mod context;
mod dispatcher;
pub mod gossip;
pub mod interface;
mod interner;
mod ranking;
pub(crate) mod rules;
pub(crate) mod settings_map;
pub mod simulator;
pub(crate) mod state;
mod timer;

pub use dispatcher::Dispatcher;
pub use rules::capability;
pub use state::{IdMap, Learned};
