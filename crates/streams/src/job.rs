//! One job of a broker: its parameters, its state, and the form in which it is transferred to another process.

use crate::event_log::{EventLog, JobEvent};
use crate::{Micros, PublicJobId, WatchToken, WatcherId};
use serde::{Deserialize, Serialize};

/// The parameters of a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewJob {
    /// The id by which clients name the job.
    pub public_id: PublicJobId,
    /// The secret that lets a client watch the job.
    pub token: WatchToken,
    /// The job's tenant.
    pub tenant: u32,
    /// Whether the job ends once it has had no watcher for [`Limits::unwatched_timeout`](crate::Limits::unwatched_timeout).
    pub ends_unwatched: bool,
}

/// A job in the form in which it is transferred to another process. Watchers and timers are not transferred.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct TransferredJob {
    /// The id by which clients name the job.
    #[serde(rename = "public")]
    pub public_id: PublicJobId,
    /// The secret that lets a client watch the job.
    pub token: WatchToken,
    /// The job's tenant.
    pub tenant: u32,
    /// See [`NewJob::ends_unwatched`].
    pub ends_unwatched: bool,
    /// The kept events, in order.
    pub events: Vec<JobEvent>,
    /// The number of the next event.
    #[serde(rename = "next")]
    pub next_id: u64,
    /// Whether the last of `events` is the final one.
    #[serde(rename = "finished")]
    pub is_finished: bool,
}

impl From<NewJob> for TransferredJob {
    fn from(new: NewJob) -> TransferredJob {
        let NewJob { public_id, token, tenant, ends_unwatched } = new;
        TransferredJob {
            public_id,
            token,
            tenant,
            ends_unwatched,
            events: Vec::new(),
            next_id: 1,
            is_finished: false,
        }
    }
}

/// The phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobPhase {
    /// The job has no final event yet.
    Running,
    /// The final event is in the log.
    Finished,
    /// All events were dropped; only the ids and the token are kept.
    Expired,
}

/// A job of a broker.
pub(crate) struct Job {
    pub public_id: PublicJobId,
    pub token: WatchToken,
    pub tenant: u32,
    pub ends_unwatched: bool,
    pub log: EventLog,
    pub watchers: Vec<WatcherId>,
    /// When the timer of the job fires: for an unwatched job, or for the expiry of the final event or the token.
    pub due: Option<Micros>,
    /// When the final event was added; `None` if there is none.
    pub finished_at: Option<Micros>,
    /// Whether a watcher has received the final event.
    pub is_final_received: bool,
    /// Whether the final event was dropped.
    is_expired: bool,
}

impl Job {
    pub fn new(from: TransferredJob) -> Job {
        Job {
            public_id: from.public_id,
            token: from.token,
            tenant: from.tenant,
            ends_unwatched: from.ends_unwatched,
            log: EventLog::new(from.events, from.next_id, from.is_finished),
            watchers: Vec::new(),
            due: None,
            finished_at: None,
            is_final_received: false,
            is_expired: false,
        }
    }

    pub fn to_transferred(&self) -> TransferredJob {
        TransferredJob {
            public_id: self.public_id,
            token: self.token,
            tenant: self.tenant,
            ends_unwatched: self.ends_unwatched,
            events: self.log.events(),
            next_id: self.log.next_id(),
            is_finished: self.log.is_finished(),
        }
    }

    pub fn phase(&self) -> JobPhase {
        if self.is_expired {
            JobPhase::Expired
        } else if self.log.is_finished() {
            JobPhase::Finished
        } else {
            JobPhase::Running
        }
    }

    /// Drops all events. The ids and the token are kept.
    pub fn expire(&mut self) {
        self.log.clear();
        self.is_expired = true;
    }

    /// Whether the job may be dropped to make room.
    pub fn is_evictable(&self) -> bool {
        self.phase() != JobPhase::Running && self.watchers.is_empty()
    }

    /// Whether the job is running, has no watcher, and ends unwatched.
    pub fn should_end_unwatched(&self) -> bool {
        self.phase() == JobPhase::Running && self.ends_unwatched && self.watchers.is_empty()
    }

    /// Whether the job has a final event that was added after `since` and that no watcher has received.
    pub fn awaits_watcher(&self, since: Micros) -> bool {
        let is_recent = self.finished_at.is_some_and(|at| at >= since);
        self.phase() == JobPhase::Finished && is_recent && !self.is_final_received
    }

    /// Whether nothing is left for a watcher that has received the events up to `received`.
    pub fn has_ended_after(&self, received: u64) -> bool {
        self.is_expired || self.log.final_id().is_some_and(|last| received >= last)
    }
}
