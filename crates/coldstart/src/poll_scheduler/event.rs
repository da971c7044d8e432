//! What goes into a scheduler, and what comes out.

use super::ServiceStatus;
use crate::Micros;

/// One call that has to be made now. Its end comes back as an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number at this scheduler, from 1.
    pub number: u64,
}

/// What a scheduler has to know of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The call was answered by a list; its watch is open.
    Answered {
        /// The list's generation.
        generation: u64,
        /// From the call's first byte to the list, in microseconds.
        waited: Micros,
    },
    /// The watch brought a newer list.
    ListChanged {
        /// Its generation.
        generation: u64,
    },
    /// The call was refused (503).
    Refused {
        /// From the call's first byte to the refusal, in microseconds.
        waited: Micros,
        /// What the answer's `Retry-After` says, in microseconds.
        retry_after: Option<Micros>,
    },
    /// The call failed: no connection, a reset, an end.
    Failed,
    /// No answer came in time. That says nothing of the service for others: a watch may be silent by itself.
    TimedOut,
    /// The watch has ended.
    WatchEnded,
    /// The watch has fallen silent and counts as broken.
    WatchSilent {
        /// The latest time for the next call, in the caller's microseconds.
        deadline: Micros,
    },
    /// The service is another one from now on; what was learned of the old one is void.
    ServiceMoved {
        /// The latest time for the next call, in the caller's microseconds, if there is one.
        deadline: Option<Micros>,
    },
    /// Which places may be there.
    Presence(Vec<bool>),
    /// The process at this place has ended, or another has taken its place: what it said is void.
    MemberGone(u16),
    /// A member said this of the service.
    PeerStatus {
        /// Its place.
        place: u16,
        /// What it said.
        status: ServiceStatus,
    },
}

impl Event {
    /// Whether this is the end of a call.
    pub(super) fn ends_call(&self) -> bool {
        matches!(self, Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut)
    }
}

/// What was counted since the start.
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
    /// Times that a call was put off because of what others said.
    pub deferred: u64,
    /// Events that fitted no call or watch.
    pub stray: u64,
}
