//! The groups of dispatchers, and the mapping from workers to groups. All dispatchers compute the same mapping, by rendezvous
//! hashing of the workers' tags.

use super::hash::mix;
use crate::policy::interface::{PeerPresence, Settings};

/// The maximum number of dispatchers in a group. Each advertisement is sent to all other members.
const MAX_GROUP_SIZE: u32 = 10;
/// The salt of the hashes that choose which dispatcher holds a worker.
const HOLDER_SALT: u64 = 0x6d6f_7468_0000_0000;
/// The salt of the hashes by which dispatchers rank each other for a worker.
const RANK_SALT: u64 = 0x7061_7274_0000_0000;

/// A dispatcher's rank among those that may send to a worker that is warming up.
pub(crate) struct SlowStartRank {
    /// The rank, from 0.
    pub rank: u32,
    /// The number of dispatchers that may send to the worker.
    pub candidate_count: u32,
}

impl SlowStartRank {
    /// The rank of the dispatcher with this index, among `candidate_count` dispatchers, for the worker with this tag. A
    /// dispatcher's ranks differ from worker to worker.
    fn new(tag: u64, index: u32, candidate_count: u32) -> SlowStartRank {
        let first = (mix(tag ^ RANK_SALT) % u64::from(candidate_count)) as u32;
        SlowStartRank { rank: (index + first) % candidate_count, candidate_count }
    }
}

/// The group of a dispatcher, and the presence of all dispatchers.
#[derive(Debug, Default)]
pub(super) struct PeerGroup {
    pub dispatcher_count: u32,
    pub own_place: u32,
    /// The index of the group.
    pub index: u32,
    /// The number of groups.
    pub count: u32,
    /// The places of the other dispatchers of the group.
    pub peers: Vec<u32>,
    /// The presence of each dispatcher, by place. Empty if all dispatchers are present.
    presence: Vec<PeerPresence>,
}

impl PeerGroup {
    /// Creates the group of this dispatcher. A single dispatcher, or one that may not message peers or not probe workers, has
    /// no peers.
    pub fn new(settings: &Settings) -> PeerGroup {
        let count = settings.dispatcher_count.div_ceil(MAX_GROUP_SIZE).max(1);
        let index = settings.own_place % count;
        let is_allowed = settings.may_message_peers && settings.may_probe;
        let members = (index..settings.dispatcher_count).step_by(count as usize);
        let peers = members.filter(|member| is_allowed && *member != settings.own_place).collect();
        PeerGroup {
            dispatcher_count: settings.dispatcher_count,
            own_place: settings.own_place,
            index,
            count,
            peers,
            presence: Vec::new(),
        }
    }

    /// Whether the other group has the same peers in a fleet of the same size.
    pub fn has_same_members(&self, other: &PeerGroup) -> bool {
        self.peers == other.peers && self.dispatcher_count == other.dispatcher_count
    }

    /// Whether this dispatcher has peers.
    pub fn is_grouped(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Whether there are other groups from which slots can be borrowed.
    pub fn can_borrow(&self) -> bool {
        self.is_grouped() && self.count > 1
    }

    /// Applies the presence of each dispatcher, by place. Returns whether anything has changed. A list of the wrong length, or
    /// one in which this dispatcher is not present, is ignored.
    pub fn set_presence(&mut self, presence: &[PeerPresence]) -> bool {
        let is_valid = presence.len() == self.dispatcher_count as usize
            && presence.get(self.own_place as usize) == Some(&PeerPresence::Present);
        let are_all_present = presence.iter().all(|presence| *presence == PeerPresence::Present);
        let presence = if are_all_present { &[][..] } else { presence };
        let is_changed = is_valid && self.is_grouped() && self.presence != presence;
        if is_changed {
            self.presence = presence.to_vec();
        }
        is_changed
    }

    /// Whether a dispatcher is present.
    pub fn is_present(&self, dispatcher: u32) -> bool {
        self.presence.get(dispatcher as usize).is_none_or(|presence| *presence == PeerPresence::Present)
    }

    /// Whether any dispatcher is unreachable.
    pub fn has_unreachable(&self) -> bool {
        self.presence.contains(&PeerPresence::Unreachable)
    }

    /// The group that has a worker now; `group` is the one that has it while all dispatchers are present.
    ///
    /// Each worker has one dispatcher of `group` as its holder. If that dispatcher is not present, the worker's tag determines a
    /// sequence of dispatchers, and the first one present becomes the holder. The loss of one of n dispatchers therefore moves
    /// only the workers that it held, about one n-th of all, and its return moves them back.
    pub fn owning_group(&self, tag: u64, group: u32) -> u32 {
        if self.presence.is_empty() {
            return group;
        }
        let size = self.size_of(group);
        let first = group + (mix(tag ^ mix(HOLDER_SALT)) % u64::from(size)) as u32 * self.count;
        let next = |n: u64| (mix(tag ^ mix(HOLDER_SALT + n)) % u64::from(self.dispatcher_count)) as u32;
        // Even if only 30 % of the dispatchers are present, as many tries as there are dispatchers nearly always find one.
        // Otherwise all dispatchers are tried in order.
        let tries = (1..=u64::from(self.dispatcher_count)).map(next);
        let mut sequence = std::iter::once(first).chain(tries).chain(0..self.dispatcher_count);
        sequence.find(|holder| self.is_present(*holder)).map_or(group, |holder| self.group_of(holder))
    }

    /// The ranks of the dispatchers whose part of a worker is reserved for unreachable dispatchers.
    ///
    /// All dispatchers compute the same ranks for a worker. The part of a dispatcher that is gone goes to the next dispatcher in
    /// rank that is not gone, so that both sides of a network partition give it to the same dispatcher.
    ///
    /// # Panics
    ///
    /// Panics if all dispatchers are present, because the list of presences is then empty.
    pub fn reserved_ranks(&self, tag: u64) -> Vec<u16> {
        let mut order: Vec<u32> = (0..self.dispatcher_count).collect();
        order.sort_unstable_by_key(|place| (mix(tag ^ mix(RANK_SALT + u64::from(*place))), *place));
        let presence = |place: &u32| self.presence[*place as usize];
        let presence_from = |rank: usize| order.iter().cycle().skip(rank).take(order.len()).map(presence);
        let is_reserved = |rank: &usize| {
            let holder = presence_from(*rank).find(|presence| *presence != PeerPresence::Gone);
            holder == Some(PeerPresence::Unreachable)
        };
        (0..order.len()).filter(is_reserved).filter_map(|rank| u16::try_from(rank).ok()).collect()
    }

    /// The group that may send to a worker that is warming up.
    pub fn slow_start_group(&self, tag: u64) -> u32 {
        (0..self.count).max_by_key(|group| mix(tag ^ group_hash(u64::from(*group)))).unwrap_or(0)
    }

    /// This dispatcher's rank for a worker that is warming up, among the dispatchers that may send to it: those of its group,
    /// or all dispatchers if there are no groups. `None` if the worker belongs to another group. The result depends only on the
    /// settings and the worker's tag.
    pub fn slow_start_rank(&self, tag: u64) -> Option<SlowStartRank> {
        if !self.is_grouped() {
            return Some(SlowStartRank::new(tag, self.own_place, self.dispatcher_count.max(1)));
        }
        let group_size = self.peers.len() as u32 + 1;
        let is_own = self.slow_start_group(tag) == self.index;
        is_own.then(|| SlowStartRank::new(tag, self.own_place / self.count, group_size))
    }

    /// The group of a dispatcher.
    pub fn group_of(&self, dispatcher: u32) -> u32 {
        dispatcher % self.count
    }

    /// A dispatcher of `group`, chosen by a random number. A member that is present is preferred.
    pub fn member_of(&self, group: u32, random: u32) -> u32 {
        let size = self.size_of(group);
        let member = |n: u32| group + (random % size + n) % size * self.count;
        (0..size).map(member).find(|member| self.is_present(*member)).unwrap_or_else(|| member(0))
    }

    /// The number of dispatchers in a group.
    fn size_of(&self, group: u32) -> u32 {
        (self.dispatcher_count - group).div_ceil(self.count)
    }
}

/// The hash of a group, from which its rank for a worker is computed.
pub(super) fn group_hash(group: u64) -> u64 {
    mix(group + 1)
}
