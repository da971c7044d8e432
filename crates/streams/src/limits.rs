//! The limits of a broker in size and time.

use crate::Micros;

/// The limits of a broker in size and time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of events in a job's ring.
    pub ring_events: usize,
    /// The maximum size of a job's ring, in bytes.
    pub ring_bytes: usize,
    /// The maximum number of jobs.
    pub jobs: usize,
    /// The total size of the kept events, in bytes, at which a new job is added only if enough finished jobs can be dropped.
    pub bytes: usize,
    /// The maximum number of streams of one tenant.
    pub streams_per_tenant: usize,
    /// How long a final event is kept, in microseconds.
    pub final_event_ttl: Micros,
    /// How long a job's token is kept after the job's final event was dropped, in microseconds.
    pub token_ttl: Micros,
    /// How long a job that ends unwatched may be without a watcher, in microseconds.
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
