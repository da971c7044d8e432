//! Which place deals with which worker, by the view; and how much of a worker's limit one place may take, whatever the views.
//!
//! The two are apart on purpose. Which place goes to a worker first follows the view ([`owner`], [`assign_groups`]), so that a
//! death moves the dead one's workers and no others. How much it may take there does not ([`allotment`], [`TakenSlots`]): every
//! configured place has its part, by a rank that all compute alike, so that the sum over all places is the limit even while
//! each of them believes something else of the others (docs/design/membership.md has the argument).

mod search;
#[cfg(test)]
mod tests;

pub use search::worst_overcommit;

use crate::Micros;
use crate::hash::hash;
use std::collections::VecDeque;

/// The score of a place for a worker: the place with the highest gets it first (rendezvous hashing, Thaler and
/// Ravishankar 1998).
fn score(tag: u64, place: u16) -> u64 {
    hash(&[tag, place.into()])
}

/// The places that hold work, by [`crate::View::holders`].
fn present_places(holders: &[bool]) -> impl Iterator<Item = u16> {
    (0..=u16::MAX).zip(holders).filter(|(_, holds)| **holds).map(|(place, _)| place)
}

/// The place that deals with a worker first: of those that may hold work (`holders`, from [`crate::View::holders`]) the one
/// that ranks highest for it. Where one place dies, its workers move, each to another place, and no other worker does.
pub fn owner(tag: u64, holders: &[bool]) -> Option<u16> {
    present_places(holders).max_by_key(|place| (score(tag, *place), *place))
}

/// The group of each worker, where place `p` belongs to group `p % groups`: the group of its owner, or of the next in rank
/// once that group has its part. A group's part grows with the members that it has left; one death moves about as many
/// workers as one place has.
pub fn assign_groups(tags: &[u64], holders: &[bool], groups: u16) -> Vec<Option<u16>> {
    let groups = groups.max(1);
    let present: Vec<u16> = present_places(holders).collect();
    let mut members = vec![0_usize; groups.into()];
    present.iter().for_each(|place| members[usize::from(place % groups)] += 1);
    let part = |members: &usize| (tags.len() * members).div_ceil(present.len().max(1));
    let mut capacity: Vec<usize> = members.iter().map(part).collect();
    // In an order that does not depend on the list's, so that one worker more or less changes little.
    let mut order: Vec<usize> = (0..tags.len()).collect();
    order.sort_unstable_by_key(|worker| (hash(&[tags[*worker]]), tags[*worker], *worker));
    let mut assigned = vec![None; tags.len()];
    for worker in order {
        let open = present.iter().filter(|place| capacity[usize::from(*place % groups)] > 0);
        if let Some(place) = open.max_by_key(|place| (score(tags[worker], **place), **place)) {
            let group = place % groups;
            capacity[usize::from(group)] -= 1;
            assigned[worker] = Some(group);
        }
    }
    assigned
}

/// This place's rank for a worker among all configured places, 0 for the first. Costs time in proportion to `peers`.
pub fn rank(tag: u64, place: u16, peers: u16) -> u16 {
    let key = |place: u16| (score(tag, place), place);
    (0..peers).filter(|other| key(*other) > key(place)).count() as u16
}

/// How many of `slots` the place of this rank may take: an equal floor for all, and one more for the first of them. The sum
/// over all ranks is `slots` exactly, also where there are fewer of them than `peers`; and no allotment falls as `slots` grows.
pub fn allotment(slots: u32, peers: u16, rank: u16) -> u32 {
    let peers = u32::from(peers).max(1);
    slots / peers + u32::from(u32::from(rank) < slots % peers)
}

/// How late reports may be, and what is kept back for it. All places must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// How many places are configured, whether they are there or not.
    pub peers: u16,
    /// The age of the oldest report that anybody decides by, counted from its measuring.
    pub max_report_age: Micros,
    /// The longest time from a decision until the worker's reports show it.
    pub max_flight_time: Micros,
    /// What all places together may take within both of these; so much of the limit stays free in return.
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

/// Slots of a worker that this place took at one time.
#[derive(Debug, Clone, Copy)]
struct Take {
    at: Micros,
    slots: u32,
}

/// What one place has taken of one worker lately, and may still take by what the worker's own reports show.
///
/// What it took within `max_report_age + max_flight_time` and has not ended may be at most its [`allotment`] of the reserve,
/// and at most its allotment of the reported free slots less the reserve. Then no worker ever has more than its limit,
/// whatever each place believes of the others: docs/design/membership.md has the proof. As reports come to show what was
/// taken and what has ended, each frees new slots, so that survivors come to use all of a worker but the reserve, though
/// nobody takes over another's part.
#[derive(Debug, Clone, Default)]
pub struct TakenSlots {
    takes: VecDeque<Take>,
}

impl TakenSlots {
    /// How many more slots the place of this rank may take now.
    pub fn available(
        &mut self,
        now: Micros,
        reported: ReportedCapacity,
        bound: &StalenessBound,
        rank: u16,
    ) -> u32 {
        let lag = bound.max_report_age + bound.max_flight_time;
        while self.takes.front().is_some_and(|take| now.saturating_sub(take.at) >= lag) {
            self.takes.pop_front();
        }
        if now.saturating_sub(reported.measured_at) >= bound.max_report_age {
            return 0;
        }
        let slots = bound.reserve.min(reported.free.saturating_sub(bound.reserve));
        let taken: u32 = self.takes.iter().map(|take| take.slots).sum();
        allotment(slots, bound.peers, rank).saturating_sub(taken)
    }

    /// So many slots were taken.
    pub fn record_taken(&mut self, now: Micros, slots: u32) {
        match self.takes.back_mut().filter(|take| take.at == now) {
            Some(take) => take.slots += slots,
            None if slots > 0 => self.takes.push_back(Take { at: now, slots }),
            None => {}
        }
    }

    /// A job for which a slot was taken then has ended, as the worker's reports show from now on (or it never arrived and
    /// never will).
    pub fn record_ended(&mut self, taken_at: Micros) {
        if let Some(take) = self.takes.iter_mut().find(|take| take.at == taken_at) {
            take.slots = take.slots.saturating_sub(1);
        }
    }
}
