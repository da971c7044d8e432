//! The assignment of workers to places, and the number of a worker's slots that one place may claim.
//!
//! These two are independent. The assignment ([`owner`], [`assign_groups`]) follows the view: after a death only the workers
//! of the dead member move. The number of slots ([`allotment`], [`SlotClaims`]) does not depend on the view. Every configured
//! place has its part, by a rank that is the same when computed at any place. So the sum over all places is within the limit
//! even while their views differ (docs/design/membership.md has the argument).
//!
//! A worker is identified by a 64-bit tag, which must be the same at all places.

mod search;
mod slot_claims;
#[cfg(test)]
mod tests;

pub use search::worst_overcommit;
pub use slot_claims::{ReportedCapacity, SlotClaims, StalenessBound};

use crate::hash::hash;

/// The score of a place for a worker. The place with the highest score ranks first (rendezvous hashing, Thaler and
/// Ravishankar 1998).
fn score(tag: u64, place: u16) -> u64 {
    hash(&[tag, place.into()])
}

/// The places that hold work, by [`crate::View::holders`].
fn present_places(holders: &[bool]) -> impl Iterator<Item = u16> {
    (0..=u16::MAX).zip(holders).filter(|(_, holds)| **holds).map(|(place, _)| place)
}

/// The owner of a worker: the highest-ranking place among those that may hold work (`holders`, from
/// [`crate::View::holders`]); `None` if there is no such place. When a place dies, only its workers move, each to the place
/// that ranks next.
pub fn owner(tag: u64, holders: &[bool]) -> Option<u16> {
    present_places(holders).max_by_key(|place| (score(tag, *place), *place))
}

/// The group of each worker, in the order of `tags`, where place `p` belongs to group `p % groups`. It is the group of the
/// worker's owner, or of the next place in rank once that group has its share. A group's share is proportional to its
/// remaining members. One death moves about as many workers as one place has.
pub fn assign_groups(tags: &[u64], holders: &[bool], groups: u16) -> Vec<Option<u16>> {
    let groups = groups.max(1);
    let present: Vec<u16> = present_places(holders).collect();
    let mut members = vec![0_usize; groups.into()];
    present.iter().for_each(|place| members[usize::from(place % groups)] += 1);
    let share = |members: &usize| (tags.len() * members).div_ceil(present.len().max(1));
    let mut capacity: Vec<usize> = members.iter().map(share).collect();
    // The order does not depend on that of `tags`, so that an added or removed worker changes few assignments.
    let mut order: Vec<usize> = (0..tags.len()).collect();
    order.sort_unstable_by_key(|worker| (hash(&[tags[*worker]]), tags[*worker], *worker));
    let mut assigned = vec![None; tags.len()];
    for worker in order {
        let available = present.iter().filter(|place| capacity[usize::from(*place % groups)] > 0);
        if let Some(place) = available.max_by_key(|place| (score(tags[worker], **place), **place)) {
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

/// The number of `slots` that the place of this rank may claim: the same floor for all places, and one more for the first
/// ranks. The sum over all ranks is exactly `slots`, even if there are fewer slots than peers. No allotment shrinks as
/// `slots` grows.
pub fn allotment(slots: u32, peers: u16, rank: u16) -> u32 {
    let peers = u32::from(peers).max(1);
    slots / peers + u32::from(u32::from(rank) < slots % peers)
}
