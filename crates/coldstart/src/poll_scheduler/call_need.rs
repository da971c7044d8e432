//! Why a call is needed, and what this dispatcher has learned of the other members since then.

use super::slots::MAX_FIRST_CALLS_SPAN;
use crate::Micros;

/// Why a call became due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallReason {
    /// The process or the service is new. Others that already hold a list need no slot in the round.
    Start,
    /// The watch has ended; the watches of the others may have ended too.
    WatchEnded,
}

/// The need for a call, from the time at which it arose until a call is answered.
#[derive(Debug)]
pub(super) struct CallNeed {
    pub reason: CallReason,
    /// When the reason arose, in the caller's microseconds.
    pub since: Micros,
    /// When to reconsider the time of the call, in the caller's microseconds: by then the statuses of others have had time
    /// to arrive. `u64::MAX`, that is never, without membership.
    pub next_recheck: Micros,
    /// How often the time of the call has been reconsidered.
    pub rechecks: u32,
    /// The number of members whose processes ended since the reason arose.
    pub members_gone: u64,
    /// Whether the call was deferred once because the service is distributing a new list.
    pub was_deferred_for_list: bool,
}

impl CallNeed {
    /// Creates a need that arises at `now`.
    pub fn new(reason: CallReason, now: Micros, has_membership: bool) -> CallNeed {
        let next_recheck = if has_membership { now + MAX_FIRST_CALLS_SPAN } else { u64::MAX };
        CallNeed {
            reason,
            since: now,
            next_recheck,
            rechecks: 0,
            members_gone: 0,
            was_deferred_for_list: false,
        }
    }

    /// Records that the time of the call is reconsidered at `now`, and sets the next time to do so.
    pub fn record_recheck(&mut self, now: Micros) {
        self.rechecks += 1;
        self.next_recheck = now + 2 * MAX_FIRST_CALLS_SPAN;
    }

    /// Whether others may have held a list before the need arose, and their statuses have had time to arrive.
    pub fn may_know_holders(&self) -> bool {
        self.reason == CallReason::Start && self.rechecks > 1
    }
}
