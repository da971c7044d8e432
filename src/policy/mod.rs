//! The decision module: events and time in, actions out. It has no clock, no I/O and no random source but its seed.
//!
//! [`rules`] holds every decision, [`state`] what they rest on, [`gossip`] what the dispatchers of a group say to each other.
//! [`simulator`] hosts the same module behind the simulator's line protocol.

pub mod gossip;
pub mod interface;
pub mod rules;
pub mod simulator;
pub(crate) mod state;
