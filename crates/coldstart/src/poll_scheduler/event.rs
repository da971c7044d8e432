//! The inputs, outputs and counters of a scheduler.

use super::ServiceStatus;
use crate::Micros;

/// A call to make now. The caller reports its end as an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The number of the call at this scheduler, from 1.
    pub number: u64,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The call was answered with a list; its watch is open.
    Answered {
        /// The list's generation.
        generation: u64,
        /// The time from the call's first byte to the list, in microseconds.
        waited: Micros,
    },
    /// The watch delivered a newer list.
    ListChanged {
        /// The generation of the newer list.
        generation: u64,
    },
    /// The call was refused (503).
    Refused {
        /// The time from the call's first byte to the refusal, in microseconds.
        waited: Micros,
        /// The wait that the answer's `Retry-After` header asks for, in microseconds.
        retry_after: Option<Micros>,
    },
    /// The call failed: it could not connect, or the connection was reset or closed.
    Failed,
    /// The call timed out. This does not count as evidence of an outage, since a single watch may be silent.
    TimedOut,
    /// The watch has ended.
    WatchEnded,
    /// The watch has been silent for too long and counts as broken.
    WatchSilent {
        /// The latest time for the next call, in the caller's microseconds.
        deadline: Micros,
    },
    /// The configuration now names another service; everything learned of the old one is discarded.
    ServiceMoved {
        /// The latest time for the next call, in the caller's microseconds, if there is one.
        deadline: Option<Micros>,
    },
    /// Which members may be present, by place.
    Presence(Vec<bool>),
    /// The process at this place has ended or was replaced; its status is discarded.
    MemberGone(u16),
    /// A member's status of the service was received.
    PeerStatus {
        /// The member's place.
        place: u16,
        /// The member's status.
        status: ServiceStatus,
    },
}

impl Event {
    /// Whether this is the end of a call.
    pub(super) fn ends_call(&self) -> bool {
        matches!(self, Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut)
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Calls begun.
    pub calls: u64,
    /// Calls answered by a list.
    pub answered: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls that failed or timed out.
    pub failed: u64,
    /// How often a due call was deferred because of the others' statuses.
    pub deferred: u64,
    /// Events that matched no open call or watch.
    pub stray: u64,
}
