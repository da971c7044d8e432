//! The liveness of a watch under random orders of events, and its objects however they are cut.

#[path = "../common/lists/mod.rs"]
mod lists;

mod calls;
mod objects;
mod retries;
mod slow_service;
