//! The content of the admin pages: a snapshot of the metrics of this process, and the process's view of the other members.

use crate::fleet::LearnersMetrics;
use mothproxy_membership::Metrics as MemberMetrics;

/// The metrics of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassMetrics {
    /// The name of the class.
    pub name: String,
    /// The number of requests served.
    pub served: u64,
    /// The number of requests rejected.
    pub rejected: u64,
    /// The number of requests failed.
    pub failed: u64,
}

/// The metrics of the idempotency store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyMetrics {
    /// The number of keys with a record.
    pub keys: usize,
    /// The number of records that could not be written.
    pub failures: u64,
    /// The number of repeated requests that were answered with a recorded result.
    pub repeats_answered: u64,
    /// The number of repeats of requests that may have run. Each was either sent within its deduplication scope or failed.
    pub restricted_repeats: u64,
    /// The number of keys evicted before they expired, because the store was full.
    pub evicted: u64,
}

/// The metrics of submitted jobs and of the event streams of their watchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamMetrics {
    /// The number of submitted jobs in memory.
    pub jobs: usize,
    /// The number of watchers of these jobs.
    pub watchers: usize,
    /// The number of bytes that the events of these jobs occupy.
    pub bytes: usize,
    /// The number of jobs submitted since the start.
    pub submitted: u64,
    /// The number of events that were reported to watchers as missed.
    pub missed: u64,
    /// The number of progress events that were not sent to slow watchers.
    pub coalesced: u64,
    /// The number of finished jobs evicted before they expired.
    pub evicted: u64,
}

/// The state of the member at one place, as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The number of the place.
    pub place: u16,
    /// The address to which this process sends datagrams for the member.
    pub address: String,
    /// The member's state: `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// When the member's process started, in milliseconds of Unix time; 0 while unknown.
    pub epoch: u64,
    /// The number of suspicions that the member itself has refuted.
    pub incarnation: u32,
    /// How long the member has been in this state, in milliseconds.
    pub state_age_ms: u64,
}

/// The members of the peer group, as this process sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembersPage {
    /// The place of this process.
    pub own_place: u32,
    /// The version of the view, which grows by one with every change.
    pub version: u64,
    /// The members at all places, in their order.
    pub members: Vec<MemberRow>,
    /// The metrics of the membership protocol.
    pub membership_metrics: MemberMetrics,
}

/// The metrics of this process, counted from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// The metrics of each class, including classes without requests.
    pub classes: Vec<ClassMetrics>,
    /// The number of attempts that were written to a worker up to the last byte.
    pub attempts_written: u64,
    /// The number of accepted requests that are still open.
    pub open: u64,
    /// The number of workers on discovery's list.
    pub listed_workers: usize,
    /// The number of listed workers to which the decision module sends nothing.
    pub unavailable_workers: usize,
    /// The number of configurations accepted at SIGHUP.
    pub reloads: u64,
    /// The number of configurations rejected at SIGHUP.
    pub bad_reloads: u64,
    /// The metrics of the idempotency store; `None` if it is off.
    pub idempotency: Option<IdempotencyMetrics>,
    /// The metrics of submitted jobs; `None` if the SSE listener is off.
    pub streams: Option<StreamMetrics>,
    /// The members and their states; `None` if membership is off.
    pub members: Option<MembersPage>,
    /// The metrics of the learners of run times and of tenants' shares.
    pub learners: LearnersMetrics,
}
