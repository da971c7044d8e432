//! What the pages of the admin address show: a snapshot of the metrics of this process, and its view of its peers.

use crate::fleet::LearnersMetrics;
use mothproxy_membership::Metrics as MemberMetrics;

/// The metrics of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassMetrics {
    /// The name of the class.
    pub name: String,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// The metrics of the idempotency store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyMetrics {
    /// Keys that are remembered.
    pub keys: usize,
    /// Records that could not be written.
    pub failures: u64,
    /// Repeats that got a kept result.
    pub repeats_answered: u64,
    /// Repeats of requests that may have run: they were kept within their deduplication scope, or failed.
    pub repeats_bound: u64,
    /// Keys forgotten before their time, for want of space.
    pub evicted: u64,
}

/// The metrics of jobs whose events are watched apart from their submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamMetrics {
    /// Jobs that are known.
    pub jobs: usize,
    /// Streams that watch them.
    pub watchers: usize,
    /// Bytes that their events take.
    pub bytes: usize,
    /// Jobs submitted to be watched.
    pub submitted: u64,
    /// Events that watchers were notified they had missed.
    pub missed: u64,
    /// Progress events left out for slow watchers.
    pub coalesced: u64,
    /// Finished jobs forgotten before their time.
    pub evicted: u64,
}

/// The state of one peer slot, as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The number of the slot.
    pub place: u16,
    /// The peer's address, as this process reaches it.
    pub address: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// The start of the process there, in milliseconds of Unix time; 0 while unknown.
    pub epoch: u64,
    /// How often the member itself has refuted a suspicion.
    pub incarnation: u32,
    /// How long the state has lasted, in milliseconds.
    pub for_ms: u64,
}

/// The members of the peer group, as this process sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembersPage {
    /// The slot of this process.
    pub me: u32,
    /// Grows by one with every change of the view.
    pub version: u64,
    /// All slots.
    pub members: Vec<MemberRow>,
    /// The metrics of the membership protocol.
    pub figures: MemberMetrics,
}

/// The metrics of this process, counted from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// Each class, those without requests included.
    pub classes: Vec<ClassMetrics>,
    /// Attempts written whole to workers.
    pub attempts_written: u64,
    /// Requests accepted and not ended.
    pub open: u64,
    /// Workers in the endpoint table.
    pub listed: usize,
    /// Workers among them that the decision module avoids.
    pub avoided: usize,
    /// Configurations accepted at SIGHUP.
    pub reloads: u64,
    /// Configurations refused at SIGHUP.
    pub bad_reloads: u64,
    /// The idempotency store, where there is one.
    pub idempotency: Option<IdempotencyMetrics>,
    /// Watched jobs, where the SSE listener is on.
    pub streams: Option<StreamMetrics>,
    /// The peer group, where membership is on.
    pub members: Option<MembersPage>,
    /// What is learned of jobs and tenants.
    pub learners: LearnersMetrics,
}
