//! The number of a worker's slots that one place may claim. The number is derived from late reports, so that all places
//! together stay within the worker's limit.

use super::allotment;
use crate::Micros;
use std::collections::VecDeque;

/// The maximum lateness of reports, and the reserve that covers it. All places must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// The number of configured places, whether or not they are present.
    pub peers: u16,
    /// The maximum age of a report that a place may use, from its measurement, in microseconds.
    pub max_report_age: Micros,
    /// The maximum time from a decision until the worker's reports show it, in microseconds.
    pub max_flight_time: Micros,
    /// The number of slots that all places together may claim within the sum of both times. The same number of slots of the
    /// limit stays free.
    pub reserve: u32,
}

/// The free slots that a worker's report shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCapacity {
    /// The worker's limit minus its jobs.
    pub free: u32,
    /// The earliest possible time of the measurement, by this place's clock: the time of arrival minus the time in transit.
    pub measured_at: Micros,
}

/// Slots of a worker that this place claimed at the same time and whose jobs have not ended.
#[derive(Debug, Clone, Copy)]
struct Claim {
    claimed_at: Micros,
    slots: u32,
}

/// The recent claims of one place on the slots of one worker, which determine how many more slots the place may claim.
///
/// Two limits apply to the claims of the last `max_report_age + max_flight_time` whose jobs have not ended: the place's
/// [`allotment`] of the reserve, and its allotment of the reported free slots minus the reserve. No worker then ever exceeds
/// its limit, even while the views of the places differ: docs/design/membership.md has the proof. Each report that shows
/// earlier claims and ended jobs allows new claims. So after a failure the remaining places can use all slots of a worker but
/// the reserve, although no place takes over the part of another.
#[derive(Debug, Clone, Default)]
pub struct SlotClaims {
    claims: VecDeque<Claim>,
}

impl SlotClaims {
    /// Drops the claims that are as old as the window or older.
    pub(super) fn expire(&mut self, now: Micros, window: Micros) {
        while self.claims.front().is_some_and(|claim| now.saturating_sub(claim.claimed_at) >= window) {
            self.claims.pop_front();
        }
    }

    /// The number of slots that the place of this rank may still claim at `now`; 0 if the report is too old.
    pub fn available(
        &mut self,
        now: Micros,
        reported: ReportedCapacity,
        bound: &StalenessBound,
        rank: u16,
    ) -> u32 {
        self.expire(now, bound.max_report_age + bound.max_flight_time);
        if now.saturating_sub(reported.measured_at) >= bound.max_report_age {
            return 0;
        }
        let slots = bound.reserve.min(reported.free.saturating_sub(bound.reserve));
        let claimed: u32 = self.claims.iter().map(|claim| claim.slots).sum();
        allotment(slots, bound.peers, rank).saturating_sub(claimed)
    }

    /// Records a claim of `slots` at `now`.
    pub fn record_claimed(&mut self, now: Micros, slots: u32) {
        match self.claims.back_mut().filter(|claim| claim.claimed_at == now) {
            Some(claim) => claim.slots += slots,
            None if slots > 0 => self.claims.push_back(Claim { claimed_at: now, slots }),
            None => {}
        }
    }

    /// Records the end of a job whose slot was claimed at `claimed_at`. Call it once the worker's reports show the end, or if
    /// the job never arrived and never will.
    pub fn record_ended(&mut self, claimed_at: Micros) {
        if let Some(claim) = self.claims.iter_mut().find(|claim| claim.claimed_at == claimed_at) {
            claim.slots = claim.slots.saturating_sub(1);
        }
    }
}
