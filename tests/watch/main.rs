//! Jobs apart from their streams, over real sockets: handing in, resuming, the end, the edges, upgrades, and many at once.

#[path = "../common/event_stream.rs"]
mod event_stream;

mod client;
mod edge_cases;
mod final_events;
mod resuming;
mod slow_watchers;
