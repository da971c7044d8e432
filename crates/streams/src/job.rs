//! One job of a broker, how it is added, and the form in which it is transferred to another process.

use crate::event_log::{EventLog, JobEvent};
use crate::{Micros, WatcherId};
use serde::{Deserialize, Serialize};

/// A job to be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewJob {
    /// The id by which clients name it; random.
    pub public_id: u64,
    /// The secret that lets a client watch it; random.
    pub token: u128,
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
    pub public_id: u64,
    /// The secret that lets a client watch it.
    pub token: u128,
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

/// A job of a broker.
pub(crate) struct Job {
    pub public_id: u64,
    pub token: u128,
    pub tenant: u32,
    pub ends_unwatched: bool,
    pub log: EventLog,
    pub watchers: Vec<WatcherId>,
    /// When its timer fires: it is unwatched, or its final event or its token expires.
    pub due: Option<Micros>,
    /// The final event was dropped; only the token is known.
    pub is_expired: bool,
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

    /// Whether its final event is still to come.
    pub fn is_running(&self) -> bool {
        !self.log.is_finished() && !self.is_expired
    }

    /// Whether it may be forgotten to make room.
    pub fn is_evictable(&self) -> bool {
        !self.is_running() && self.watchers.is_empty()
    }
}
