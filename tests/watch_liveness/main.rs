//! The liveness of a watch under random sequences of events, and the framing of its objects.

#[path = "../common/lists/mod.rs"]
mod lists;

mod calls;
mod objects;
mod retries;
mod slow_service;
