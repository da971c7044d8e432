//! How much a broker keeps, and for how long.

use crate::Micros;

/// Bounds of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most events in a job's ring.
    pub ring_events: usize,
    /// Most bytes in a job's ring.
    pub ring_bytes: usize,
    /// Most jobs.
    pub jobs: usize,
    /// Most bytes of all rings and final events.
    pub bytes: usize,
    /// Most streams of one tenant.
    pub streams_per_tenant: usize,
    /// For how long a final event is kept.
    pub final_event_ttl: Micros,
    /// For how long a job's token is known after its final event was dropped.
    pub token_ttl: Micros,
    /// A job that ends unwatched is ended after this long without a watcher.
    pub unwatched_timeout: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            ring_events: 32,
            ring_bytes: 2 << 10,
            jobs: 16_384,
            bytes: 32 << 20,
            streams_per_tenant: 1_024,
            final_event_ttl: 60_000_000,
            token_ttl: 600_000_000,
            unwatched_timeout: 5_000_000,
        }
    }
}
