//! One job of a broker, how it is added, and the form in which it is transferred to another process.

use crate::event_log::{EventLog, JobEvent};
use crate::{Micros, PublicJobId, WatchToken, WatcherId};
use serde::{Deserialize, Serialize};

/// A job to be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewJob {
    /// The id by which clients name it.
    pub public_id: PublicJobId,
    /// The secret that lets a client watch it.
    pub token: WatchToken,
    /// Its tenant.
    pub tenant: u32,
    /// It ends when nobody watches it.
    pub ends_unwatched: bool,
}

/// A job as it is transferred to another process. Everything else begins anew there.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct TransferredJob {
    /// The id by which clients name it.
    #[serde(rename = "public")]
    pub public_id: PublicJobId,
    /// The secret that lets a client watch it.
    pub token: WatchToken,
    /// Its tenant.
    pub tenant: u32,
    /// It ends when nobody watches it.
    pub ends_unwatched: bool,
    /// What is kept of its events, in order; the final one last if it is there.
    pub events: Vec<JobEvent>,
    /// The number of its next event.
    #[serde(rename = "next")]
    pub next_id: u64,
    /// The last of the events is its final one.
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

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobPhase {
    /// Its final event is still to come.
    Running,
    /// Its final event is in its log.
    Finished,
    /// Its final event was dropped; only the token is known.
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
    /// When its timer fires: it is unwatched, or its final event or its token expires.
    pub due: Option<Micros>,
    /// The final event was dropped.
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

    /// Drops its events; its token stays known.
    pub fn expire(&mut self) {
        self.log.clear();
        self.is_expired = true;
    }

    /// Whether it may be forgotten to make room.
    pub fn is_evictable(&self) -> bool {
        self.phase() != JobPhase::Running && self.watchers.is_empty()
    }

    /// Whether nobody watches it, it runs, and it was added as one that ends then.
    pub fn should_end_unwatched(&self) -> bool {
        self.phase() == JobPhase::Running && self.ends_unwatched && self.watchers.is_empty()
    }

    /// Whether nothing is left for a watcher that has received the events up to `received`.
    pub fn is_over_after(&self, received: u64) -> bool {
        self.is_expired || self.log.final_id().is_some_and(|last| received >= last)
    }
}
