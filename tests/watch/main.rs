//! Jobs that are submitted and watched on separate connections, over real sockets: submission, resumption, final events, edge
//! cases, hot restarts and concurrent load.

#[path = "../common/event_stream.rs"]
mod event_stream;

mod client;
mod edge_cases;
mod final_events;
mod resuming;
mod slow_watchers;
