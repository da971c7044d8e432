//! Wording of the protocols: requests to events of the core, and responses of the core to bytes. Pure functions; no
//! sockets, no clock and no decision.

pub mod admin;
pub mod event_streams;
pub mod names;
pub mod platform;
pub mod sse;

mod message;
mod raw_request;
mod reject;
