//! How long a round is: from what a call costs, who still lacks a list, and what the members say of the service.

use super::call_need::CallNeed;
use super::config::Config;
use super::service_status::MemberStatuses;
use crate::{Micros, Millis};

/// While the service is down, each member calls it once in this time, in microseconds ...
const OUTAGE_TURN: Micros = 26_000_000;
/// ... and the whole group once in this time at least, in microseconds.
const OUTAGE_GROUP_TURN: Micros = 1_000_000;

/// What the length of a round follows from, at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoundLength<'a> {
    pub config: &'a Config,
    pub need: &'a CallNeed,
    pub statuses: &'a MemberStatuses,
    /// The least time that an own call took until its answer, in microseconds.
    pub min_answer_time: Option<Micros>,
    /// The present, in Unix milliseconds.
    pub now_ms: Millis,
}

impl RoundLength<'_> {
    /// The length of one round in microseconds: a slot for each place that may lack a list. Those that had theirs before the
    /// reason for the call arose do not call; those that got it since had a slot in this round.
    pub fn regular(self) -> Micros {
        // Refusals say that a call costs more than was thought; where members say what it costs they add nothing.
        let is_measured = self.statuses.answer_time(self.config.service_time, self.now_ms).is_some();
        let level = if is_measured { 0 } else { self.statuses.backoff_level(self.now_ms) };
        (self.service_time() * (u64::from(self.config.places) - self.list_holders()).max(1)) << level
    }

    /// The length of a round while the service is down, in microseconds: slow, so that turns cost it little, and yet the group
    /// calls often enough to see the end of the outage soon.
    pub fn outage(self) -> Micros {
        OUTAGE_TURN.min(OUTAGE_GROUP_TURN * (self.assumed_others() + 1)).max(self.regular())
    }

    /// Whether calls go by outage turns: the service is down, and others are there to take turns with.
    pub fn takes_outage_turns(self) -> bool {
        self.config.has_membership && self.assumed_others() > 0 && self.statuses.is_service_down(self.now_ms)
    }

    /// Others that hold a list since before the need for the call arose: they need no slot.
    fn list_holders(self) -> u64 {
        let holders = if self.need.may_know_holders() {
            self.statuses.others_with_watch_since_before(self.config.unix_ms(self.need.since))
        } else {
            0
        };
        // Where many ended at once, others may have ended that are still believed to be there.
        if self.need.members_gone * 8 > holders { 0 } else { holders }
    }

    /// Others that are taken to be there: all, as long as no status could have been received.
    fn assumed_others(self) -> u64 {
        let is_early = self.config.has_membership && self.need.rechecks == 0;
        if is_early { u64::from(self.config.places) - 1 } else { self.statuses.present_others() }
    }

    /// What a call costs the service, in microseconds: as the members say, or as configured, less where an own answer came
    /// sooner.
    fn service_time(self) -> Micros {
        let configured = self.config.service_time;
        let own = self.min_answer_time.map_or(configured, |time| time.clamp(configured / 8 + 1, configured));
        self.statuses.answer_time(configured, self.now_ms).unwrap_or(own)
    }
}
