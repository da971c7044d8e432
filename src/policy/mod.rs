//! The decision module. It takes events with their times and returns actions. It has no clock, does no I/O, and draws its
//! random numbers from a generator that is seeded at its creation.
//!
//! [`Dispatcher`] is the module's interface to its host. `rules` contains all decisions, and `state` the data that they are
//! based on. [`gossip`] keeps what the dispatchers of a group advertise to each other. [`simulator`] hosts the same module
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
pub use state::{IdMap, Learned, LearnedByWorker};
