//! The decision module: events and time in, actions out. It has no clock, no I/O and no random source but its seed.
//!
//! [`Dispatcher`] is the module as its host sees it. `rules` holds every decision, `state` what they rest on, [`gossip`] what
//! the dispatchers of a group advertise to each other. [`simulator`] hosts the same module behind the simulator's line protocol.

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
