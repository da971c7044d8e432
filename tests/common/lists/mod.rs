//! A discovery service and its callers on a virtual clock: one queue that is slow, and as many of the program's own
//! [`WatchLiveness`](mothproxy::core::watch_liveness::WatchLiveness) as there are dispatchers. See `docs/design/lists.md`.
#![allow(dead_code)] // each of its users reads a part of an outcome

pub mod scenario;
mod service;
pub mod simulation;
