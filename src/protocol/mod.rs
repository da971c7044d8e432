//! The encoding of the protocols: parsed requests become inputs of the core, and responses of the core become bytes. The module
//! consists of pure functions, without sockets, clock or decisions.

pub mod admin;
pub mod event_streams;
pub mod names;
pub mod platform;
pub mod sse;

mod message;
mod raw_request;
mod reject;
