//! The assignment of workers to groups, and the parts of workers that are reserved for unreachable dispatchers.

use super::ADVERTISEMENT_TTL;
use super::group::{PeerGroup, group_hash};
use super::hash::mix;
use super::short_tags::ShortTags;
use crate::policy::interface::{EndpointEntry, Micros, WorkerId};
use std::collections::{BTreeMap, HashMap};

/// The hashes of so many workers are kept for each ready worker, and of so many more.
const MAX_KNOWN_PER_READY: usize = 2;
const MIN_KNOWN_WORKERS: usize = 1_024;

/// The assignment of the ready workers to the groups.
#[derive(Debug, Default)]
pub(super) struct Assignment {
    /// The workers of this dispatcher's group, by the short tags that messages use for them.
    workers: BTreeMap<u16, WorkerId>,
    /// The group's workers, by ascending id.
    assigned: Vec<WorkerId>,
    /// The positions in `assigned`, in the order of assignment. Random draws use this order.
    positions: Vec<usize>,
    /// Whether a worker is in `workers`, indexed by the worker's id.
    is_member: Vec<bool>,
    /// The group of each ready worker.
    owners: BTreeMap<WorkerId, u32>,
    /// The groups with the highest hash for workers, which stay the same from list to list.
    top_groups: TopGroups,
    /// The group's workers that were reassigned from another group because of a change of presence, with the time of that
    /// change.
    gained_at: BTreeMap<WorkerId, Micros>,
    /// For each of the group's workers, the ranks of the parts that are reserved for unreachable dispatchers. Empty if no
    /// dispatcher is unreachable.
    reserved_ranks: BTreeMap<WorkerId, Vec<u16>>,
    /// When the presence of dispatchers changed, if the workers have not been assigned again since.
    pub presence_changed_at: Option<Micros>,
}

/// The position of a worker's bit in a bit set that has one bit for each position in [`Assignment::assigned`].
struct PositionBit {
    word: usize,
    mask: u64,
}

impl Assignment {
    /// Assigns the ready workers to the groups, zone by zone, the oldest worker first. Each worker is assigned to the group with
    /// the highest hash for it (rendezvous hashing) among those that do not have their full part yet, so that an added or removed
    /// worker moves few others. A worker that is warming up is assigned to the group with the highest hash of all, so that its
    /// group does not depend on the endpoint list and the presences that a dispatcher has.
    pub fn assign(
        &mut self,
        group: &PeerGroup,
        tags: &ShortTags,
        ready: &[EndpointEntry],
        warming_up: &[WorkerId],
    ) {
        let previous = std::mem::take(&mut self.owners);
        let changed_at = self.presence_changed_at.take();
        self.reserved_ranks.clear();
        let mut sorted = ready.to_vec();
        sorted.sort_unstable_by_key(|entry| (entry.zone, entry.started_at, entry.tag));
        let owners = assign_groups(group, &sorted, warming_up, &mut self.top_groups);
        self.owners = sorted.iter().map(|entry| entry.worker).zip(owners.iter().copied()).collect();
        let with_owners = sorted.iter().zip(owners);
        let own: Vec<&EndpointEntry> =
            with_owners.filter(|(_, owner)| *owner == group.index).map(|(entry, _)| entry).collect();
        for entry in &own {
            let was_other_group = previous.get(&entry.worker).is_some_and(|owner| *owner != group.index);
            if let Some(now) = changed_at.filter(|_| was_other_group) {
                self.gained_at.insert(entry.worker, now);
            }
            if group.has_unreachable() {
                self.reserved_ranks.insert(entry.worker, group.reserved_ranks(entry.tag));
            }
        }
        self.gained_at.retain(|worker, _| self.owners.get(worker) == Some(&group.index));
        self.index(tags, &own);
    }

    /// Indexes the workers that were assigned to this dispatcher's group.
    fn index(&mut self, tags: &ShortTags, own: &[&EndpointEntry]) {
        self.workers =
            own.iter().map(|entry| (tags.short_tag(entry.worker, entry.tag), entry.worker)).collect();
        self.assigned = own.iter().map(|entry| entry.worker).collect();
        self.assigned.sort_unstable();
        let position = |entry: &&EndpointEntry| self.assigned.binary_search(&entry.worker).ok();
        self.positions = own.iter().filter_map(position).collect();
        self.is_member = vec![false; self.assigned.last().map_or(0, |worker| worker.0 as usize + 1)];
        self.workers.values().for_each(|worker| self.is_member[worker.0 as usize] = true);
    }

    /// Draws `max` of the group's workers at random, and returns them in the order of their ids; every set of that size is equally
    /// likely. If there are no more than `max` workers, returns all of them without drawing a random number.
    ///
    /// Uses Floyd's algorithm (Bentley and Floyd, "A sample of brilliance", CACM 30(9), 1987), which needs `max` random numbers
    /// and no walk over the workers, so that its cost does not grow with the fleet.
    pub fn sample(&self, random: &mut fastrand::Rng, max: usize) -> Vec<WorkerId> {
        let assigned = &self.assigned;
        if assigned.len() <= max {
            return assigned.clone();
        }
        let mut drawn = vec![0_u64; assigned.len().div_ceil(64)];
        for last in assigned.len() - max..assigned.len() {
            let drawn_bit = self.position_bit(random.usize(..=last));
            let is_new = drawn[drawn_bit.word] & drawn_bit.mask == 0;
            let bit = if is_new { drawn_bit } else { self.position_bit(last) };
            drawn[bit.word] |= bit.mask;
        }
        let mut sample = Vec::with_capacity(max);
        for (word, mut bits) in drawn.into_iter().enumerate() {
            while bits != 0 {
                sample.push(assigned[word * 64 + bits.trailing_zeros() as usize]);
                bits &= bits - 1;
            }
        }
        sample
    }

    /// The bit of the worker at this index in the order of assignment.
    fn position_bit(&self, index: usize) -> PositionBit {
        let position = self.positions[index];
        PositionBit { word: position / 64, mask: 1 << (position % 64) }
    }

    /// The group's workers, by ascending id.
    pub fn assigned(&self) -> &[WorkerId] {
        &self.assigned
    }

    /// The group's workers, in the order of their short tags.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.values().copied()
    }

    /// Whether this worker is assigned to the group under this short tag.
    pub fn has(&self, tag: u16, worker: WorkerId) -> bool {
        self.workers.get(&tag) == Some(&worker)
    }

    /// Whether a listed worker is assigned to the group. Unlike [`Assignment::has`], this takes constant time.
    pub fn is_member(&self, worker: WorkerId) -> bool {
        self.is_member.get(worker.0 as usize).is_some_and(|is_member| *is_member)
    }

    /// The group that a ready worker is assigned to; `None` for a worker that is not ready.
    pub fn owning_group(&self, worker: WorkerId) -> Option<u32> {
        self.owners.get(&worker).copied()
    }

    /// Whether a worker was reassigned from another group so recently that other dispatchers may not know this yet.
    pub fn is_newly_gained(&self, worker: WorkerId, now: Micros) -> bool {
        self.gained_at.get(&worker).is_some_and(|since| now < since + ADVERTISEMENT_TTL)
    }

    /// The ranks of the parts of a worker that are reserved for unreachable dispatchers.
    pub fn reserved_ranks(&self, worker: WorkerId) -> &[u16] {
        self.reserved_ranks.get(&worker).map_or(&[], Vec::as_slice)
    }
}

/// The group with the highest hash for each worker, by the worker's tag. Computing it takes a hash for each group.
#[derive(Debug, Default)]
struct TopGroups {
    by_tag: HashMap<u64, u32>,
    /// The number of groups for which they were computed.
    group_count: u64,
}

impl TopGroups {
    /// Forgets the workers if the groups have changed, or if most of the known workers are no longer ready.
    fn prepare(&mut self, group_count: u64, ready: usize) {
        if self.group_count != group_count
            || self.by_tag.len() > ready * MAX_KNOWN_PER_READY + MIN_KNOWN_WORKERS
        {
            self.by_tag.clear();
            self.group_count = group_count;
        }
    }

    /// The group with the highest hash for a worker.
    fn top(&mut self, tag: u64, hashes: &[u64]) -> u32 {
        *self.by_tag.entry(tag).or_insert_with(|| highest(tag, hashes, |_| true))
    }
}

/// The group with the highest hash for a worker among those that are `open`.
fn highest(tag: u64, hashes: &[u64], open: impl Fn(usize) -> bool) -> u32 {
    let open = (0..hashes.len()).filter(|group| open(*group));
    open.max_by_key(|group| mix(tag ^ hashes[*group])).unwrap_or(0) as u32
}

/// The group of each worker in a list sorted by zone, in the order of the list.
fn assign_groups(
    group: &PeerGroup,
    sorted: &[EndpointEntry],
    warming_up: &[WorkerId],
    top_groups: &mut TopGroups,
) -> Vec<u32> {
    let group_count = u64::from(group.count.max(1));
    let hashes: Vec<u64> = (0..group_count).map(group_hash).collect();
    top_groups.prepare(group_count, sorted.len());
    let mut owners = Vec::with_capacity(sorted.len());
    for zone in sorted.chunk_by(|entry, next| entry.zone == next.zone) {
        let part = zone.len().div_ceil(group_count as usize);
        let mut counts = vec![0; group_count as usize];
        for entry in zone {
            let is_warming_up = warming_up.binary_search(&entry.worker).is_ok();
            let top = top_groups.top(entry.tag, &hashes);
            let best = if is_warming_up || counts[top as usize] < part {
                top
            } else {
                highest(entry.tag, &hashes, |group| counts[group] < part)
            };
            counts[best as usize] += 1;
            owners.push(if is_warming_up { best } else { group.owning_group(entry.tag, best) });
        }
    }
    owners
}
