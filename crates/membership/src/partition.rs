//! Which place deals with which worker, by the view; and how many of a worker's slots one place may claim, whatever the views.
//!
//! The two are apart on purpose. Which place goes to a worker first follows the view ([`owner`], [`assign_groups`]), so that a
//! death moves the dead one's workers and no others. How many it may claim there does not ([`allotment`], [`SlotClaims`]): every
//! configured place has its part, by a rank that all compute alike, so that the sum over all places is the limit even while
//! each of them believes something else of the others (docs/design/membership.md has the argument).

mod search;
mod slot_claims;
#[cfg(test)]
mod tests;

pub use search::worst_overcommit;
pub use slot_claims::{ReportedCapacity, SlotClaims, StalenessBound};

use crate::hash::hash;

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

/// How many of `slots` the place of this rank may claim: an equal floor for all, and one more for the first of them. The sum
/// over all ranks is `slots` exactly, also where there are fewer of them than `peers`; and no allotment falls as `slots` grows.
pub fn allotment(slots: u32, peers: u16, rank: u16) -> u32 {
    let peers = u32::from(peers).max(1);
    slots / peers + u32::from(u32::from(rank) < slots % peers)
}
