//! The length of a round. It depends on the time of a call, on the members that still lack a list, and on the members'
//! statuses of the service.

use super::call_need::CallNeed;
use super::config::Config;
use super::service_status::MemberStatuses;
use crate::{Micros, Millis};

/// The maximum time from one call of a member to its next one while the service is down, in microseconds, unless a regular
/// round is longer.
const OUTAGE_TURN: Micros = 26_000_000;
/// The mean time between two calls of the whole group while the service is down, in microseconds. Groups that are too large
/// for [`OUTAGE_TURN`] call more often.
const OUTAGE_GROUP_TURN: Micros = 1_000_000;

/// The inputs from which the length of a round is computed, at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoundLength<'a> {
    pub config: &'a Config,
    pub need: &'a CallNeed,
    pub statuses: &'a MemberStatuses,
    /// The shortest time from a call of this dispatcher to its answer, in microseconds.
    pub min_answer_time: Option<Micros>,
    /// The current time, in Unix milliseconds.
    pub now_ms: Millis,
}

impl RoundLength<'_> {
    /// The length of one round in microseconds: a slot for each place that may lack a list. Members that held a list before
    /// the need for the call arose do not call. Members that received a list since then had a slot in this round.
    pub fn regular(self) -> Micros {
        // Refusals show that a call takes longer than assumed, which adds nothing if the members have measured that time.
        let is_measured = self.statuses.answer_time(self.config.service_time, self.now_ms).is_some();
        let level = if is_measured { 0 } else { self.statuses.backoff_level(self.now_ms) };
        (self.service_time() * (u64::from(self.config.places) - self.list_holders()).max(1)) << level
    }

    /// The length of a round while the service is down, in microseconds: long enough to put little load on the service, and
    /// short enough for the group to notice the end of the outage soon.
    pub fn outage(self) -> Micros {
        OUTAGE_TURN.min(OUTAGE_GROUP_TURN * (self.assumed_others() + 1)).max(self.regular())
    }

    /// Whether calls are made in outage turns: the service is down, and other members are present to take turns with.
    pub fn takes_outage_turns(self) -> bool {
        self.config.has_membership && self.assumed_others() > 0 && self.statuses.is_service_down(self.now_ms)
    }

    /// The number of other members that already held a list when the need for the call arose, and so need no slot.
    fn list_holders(self) -> u64 {
        let holders = if self.need.may_know_holders() {
            self.statuses.others_with_watch_since_before(self.config.unix_ms(self.need.since))
        } else {
            0
        };
        // If many members ended at once, more may have ended that still count as present.
        if self.need.members_gone * 8 > holders { 0 } else { holders }
    }

    /// The number of other members that are assumed to be present: all of them until statuses have had time to arrive.
    fn assumed_others(self) -> u64 {
        let is_early = self.config.has_membership && self.need.rechecks == 0;
        if is_early { u64::from(self.config.places) - 1 } else { self.statuses.present_others() }
    }

    /// The time that the service needs for a call, in microseconds: the members' measurement if there is one, or else the
    /// configured time, or less if a call of this dispatcher was answered sooner.
    fn service_time(self) -> Micros {
        let configured = self.config.service_time;
        let own = self.min_answer_time.map_or(configured, |time| time.clamp(configured / 8 + 1, configured));
        self.statuses.answer_time(configured, self.now_ms).unwrap_or(own)
    }
}
