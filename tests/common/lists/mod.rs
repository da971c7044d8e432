//! A simulation of a slow discovery service and its callers on a virtual clock. The service has one queue, and each dispatcher is
//! a [`WatchLiveness`](mothproxy::core::watch_liveness::WatchLiveness) of the program. See `docs/design/lists.md`.
#![allow(dead_code)] // each user of the module reads only some fields of an outcome

pub mod scenario;
mod service;
pub mod simulation;
