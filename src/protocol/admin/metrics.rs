//! The content of the admin pages: a snapshot of the metrics of this process, and its view of its peers.

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
    /// Keys with a record.
    pub keys: usize,
    /// Records that could not be written.
    pub failures: u64,
    /// Repeats that were answered with a recorded result.
    pub repeats_answered: u64,
    /// Repeats of requests that may have run. Each was either sent within its deduplication scope or failed.
    pub repeats_bound: u64,
    /// Keys evicted before they expired, because the store was full.
    pub evicted: u64,
}

/// The metrics of submitted jobs, whose events watchers follow on other connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamMetrics {
    /// Submitted jobs that are held.
    pub jobs: usize,
    /// Watchers of these jobs.
    pub watchers: usize,
    /// Bytes that their events occupy.
    pub bytes: usize,
    /// Jobs submitted since the start.
    pub submitted: u64,
    /// Events that were reported to watchers as missed.
    pub missed: u64,
    /// Progress events left out for slow watchers.
    pub coalesced: u64,
    /// Finished jobs evicted before they expired.
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
    /// When its process started, in milliseconds of Unix time; 0 while unknown.
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
    /// The version of the view; it grows by one with every change.
    pub version: u64,
    /// All slots.
    pub members: Vec<MemberRow>,
    /// The metrics of the membership protocol.
    pub membership_metrics: MemberMetrics,
}

/// The metrics of this process, counted from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// The metrics of each class, also of classes without requests.
    pub classes: Vec<ClassMetrics>,
    /// Attempts whose last byte was written to a worker.
    pub attempts_written: u64,
    /// Accepted requests that are still open.
    pub open: u64,
    /// Workers in the endpoint table.
    pub listed: usize,
    /// Listed workers that the decision module sends nothing to.
    pub avoided: usize,
    /// Configurations accepted at SIGHUP.
    pub reloads: u64,
    /// Configurations refused at SIGHUP.
    pub bad_reloads: u64,
    /// The idempotency store; `None` if it is off.
    pub idempotency: Option<IdempotencyMetrics>,
    /// Submitted jobs; `None` if the SSE listener is off.
    pub streams: Option<StreamMetrics>,
    /// The members; `None` if membership is off.
    pub members: Option<MembersPage>,
    /// What is learned of jobs and tenants.
    pub learners: LearnersMetrics,
}
