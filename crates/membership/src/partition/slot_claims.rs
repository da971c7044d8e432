//! How many slots of a worker one place may claim by late reports, so that all places together stay within its limit.

use super::allotment;
use crate::Micros;
use std::collections::VecDeque;

/// How late reports may be, and what is kept back for it. All places must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// How many places are configured, whether they are there or not.
    pub peers: u16,
    /// The age of the oldest report that anybody decides by, counted from its measuring.
    pub max_report_age: Micros,
    /// The longest time from a decision until the worker's reports show it.
    pub max_flight_time: Micros,
    /// What all places together may claim within both of these; so much of the limit stays free in return.
    pub reserve: u32,
}

/// The free slots that a worker's report shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCapacity {
    /// Its limit less what it has.
    pub free: u32,
    /// When it was measured, at the earliest, by this place's clock: when it came, less its time under way.
    pub measured_at: Micros,
}

/// Slots of a worker that this place claimed at one time and that have not ended since.
#[derive(Debug, Clone, Copy)]
struct Claim {
    claimed_at: Micros,
    slots: u32,
}

/// The slots that one place has claimed of one worker lately, and how many it may still claim by the worker's own reports.
///
/// What it claimed within `max_report_age + max_flight_time` and has not ended may be at most its [`allotment`] of the reserve,
/// and at most its allotment of the reported free slots less the reserve. Then no worker ever has more than its limit,
/// whatever each place believes of the others: docs/design/membership.md has the proof. As reports come to show what was
/// claimed and what has ended, each frees new slots, so that survivors come to use all of a worker but the reserve, though
/// nobody takes over another's part.
#[derive(Debug, Clone, Default)]
pub struct SlotClaims {
    claims: VecDeque<Claim>,
}

impl SlotClaims {
    /// Forgets the claims that are older than the window.
    pub(super) fn expire(&mut self, now: Micros, window: Micros) {
        while self.claims.front().is_some_and(|claim| now.saturating_sub(claim.claimed_at) >= window) {
            self.claims.pop_front();
        }
    }

    /// How many more slots the place of this rank may claim now.
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

    /// So many slots are claimed now.
    pub fn record_claimed(&mut self, now: Micros, slots: u32) {
        match self.claims.back_mut().filter(|claim| claim.claimed_at == now) {
            Some(claim) => claim.slots += slots,
            None if slots > 0 => self.claims.push_back(Claim { claimed_at: now, slots }),
            None => {}
        }
    }

    /// A job for which a slot was claimed then has ended, as the worker's reports show from now on (or it never arrived and
    /// never will).
    pub fn record_ended(&mut self, claimed_at: Micros) {
        if let Some(claim) = self.claims.iter_mut().find(|claim| claim.claimed_at == claimed_at) {
            claim.slots = claim.slots.saturating_sub(1);
        }
    }
}
