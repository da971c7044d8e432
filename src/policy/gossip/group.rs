//! The groups of nodes, and which of them has a worker: rendezvous hashing over the worker's tag, which every node works out
//! alike.

use super::hash::mix;
use crate::policy::interface::{PeerPresence, Settings};

/// The most nodes of a group: each message goes to all but one of them.
const MAX_GROUP_SIZE: u32 = 10;
/// What the hashes are mixed with that choose which node holds a worker.
const HOLDER_SALT: u64 = 0x6d6f_7468_0000_0000;
/// And those by which nodes rank each other for a worker.
const RANK_SALT: u64 = 0x7061_7274_0000_0000;

/// A node's place among those that may send to a worker that is warming up.
pub(crate) struct SlowStartRank {
    /// From 0.
    pub rank: u32,
    /// How many nodes may send to it.
    pub nodes: u32,
}

impl SlowStartRank {
    /// The rank of the node of this index among so many, which differs from worker to worker.
    fn new(tag: u64, index: u32, nodes: u32) -> SlowStartRank {
        let first = (mix(tag ^ RANK_SALT) % u64::from(nodes)) as u32;
        SlowStartRank { rank: (index + first) % nodes, nodes }
    }
}

/// The group of a node, and the presence of all nodes.
#[derive(Debug, Default)]
pub(super) struct PeerGroup {
    pub nodes: u32,
    pub own_node: u32,
    /// The index of the group, of so many.
    pub index: u32,
    pub count: u32,
    /// The other nodes of the group.
    pub peers: Vec<u32>,
    /// The presence of each node by index; all of them are present where it is empty.
    presence: Vec<PeerPresence>,
}

impl PeerGroup {
    /// The group of a node. A node by itself, or one that may send no messages or probe no worker, has no peers.
    pub fn new(settings: &Settings) -> PeerGroup {
        let count = settings.dispatcher_count.div_ceil(MAX_GROUP_SIZE).max(1);
        let index = settings.own_index % count;
        let is_allowed = settings.may_message_peers && settings.may_probe;
        let nodes = (index..settings.dispatcher_count).step_by(count as usize);
        let peers = nodes.filter(|node| is_allowed && *node != settings.own_index).collect();
        PeerGroup {
            nodes: settings.dispatcher_count,
            own_node: settings.own_index,
            index,
            count,
            peers,
            presence: Vec::new(),
        }
    }

    /// Whether the two have the same nodes.
    pub fn has_same_nodes(&self, other: &PeerGroup) -> bool {
        self.peers == other.peers && self.nodes == other.nodes
    }

    /// Whether there is a group.
    pub fn is_grouped(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Whether there are other groups to ask for a slot.
    pub fn can_borrow(&self) -> bool {
        self.is_grouped() && self.count > 1
    }

    /// Takes the presence of each node. Whether that has changed anything. A list that is not of this many nodes, or in which
    /// this one is not present, is ignored.
    pub fn set_presence(&mut self, presence: &[PeerPresence]) -> bool {
        let is_valid = presence.len() == self.nodes as usize
            && presence.get(self.own_node as usize) == Some(&PeerPresence::Present);
        let are_all_present = presence.iter().all(|node| *node == PeerPresence::Present);
        let presence = if are_all_present { &[][..] } else { presence };
        let is_changed = is_valid && self.is_grouped() && self.presence != presence;
        if is_changed {
            self.presence = presence.to_vec();
        }
        is_changed
    }

    /// Whether a node takes work.
    pub fn is_present(&self, node: u32) -> bool {
        self.presence.get(node as usize).is_none_or(|presence| *presence == PeerPresence::Present)
    }

    /// Whether a node is unreachable.
    pub fn has_unreachable(&self) -> bool {
        self.presence.contains(&PeerPresence::Unreachable)
    }

    /// The group that has a worker which is this group's while all nodes are present. Each worker is held by one node of its
    /// group; where that one is gone, by the first of a sequence of nodes, the worker's own, that is not. So the end of one of
    /// n nodes moves the workers it held, about one in n of all, and its return moves these back, and no other.
    pub fn owning_group(&self, tag: u64, group: u32) -> u32 {
        if self.presence.is_empty() {
            return group;
        }
        let size = self.size_of(group);
        let first = group + (mix(tag ^ mix(HOLDER_SALT)) % u64::from(size)) as u32 * self.count;
        let next = |n: u64| (mix(tag ^ mix(HOLDER_SALT + n)) % u64::from(self.nodes)) as u32;
        // As many tries as there are nodes find one of three in ten that are left in all but a few cases; then in order.
        let tries = (1..=u64::from(self.nodes)).map(next);
        let mut sequence = std::iter::once(first).chain(tries).chain(0..self.nodes);
        sequence.find(|node| self.is_present(*node)).map_or(group, |node| self.group_of(node))
    }

    /// The ranks of those nodes whose part of a worker is reserved for unreachable nodes. All nodes rank each other alike for
    /// a worker. The part of a node that is gone is that of the next in rank that is not: whoever believes it gone, on
    /// whatever side of a partition, gives it to the same one.
    pub fn reserved_ranks(&self, tag: u64) -> Vec<u16> {
        let mut order: Vec<u32> = (0..self.nodes).collect();
        order.sort_unstable_by_key(|node| (mix(tag ^ mix(RANK_SALT + u64::from(*node))), *node));
        let presence = |node: &u32| self.presence[*node as usize];
        let presence_from = |rank: usize| order.iter().cycle().skip(rank).take(order.len()).map(presence);
        let is_reserved = |rank: &usize| {
            let holder = presence_from(*rank).find(|presence| *presence != PeerPresence::Gone);
            holder == Some(PeerPresence::Unreachable)
        };
        (0..order.len()).filter(is_reserved).filter_map(|rank| u16::try_from(rank).ok()).collect()
    }

    /// The group of a worker that is warming up.
    pub fn slow_start_group(&self, tag: u64) -> u32 {
        (0..self.count).max_by_key(|group| mix(tag ^ group_hash(u64::from(*group)))).unwrap_or(0)
    }

    /// This node's rank for a worker that is warming up, of so many that may send to it: those of its group, or where there
    /// are no groups all of them; `None` for one of another group. It follows from the settings and the worker's tag alone.
    pub fn slow_start_rank(&self, tag: u64) -> Option<SlowStartRank> {
        if !self.is_grouped() {
            return Some(SlowStartRank::new(tag, self.own_node, self.nodes.max(1)));
        }
        let group_size = self.peers.len() as u32 + 1;
        let is_own = self.slow_start_group(tag) == self.index;
        is_own.then(|| SlowStartRank::new(tag, self.own_node / self.count, group_size))
    }

    /// The group of a node.
    pub fn group_of(&self, node: u32) -> u32 {
        node % self.count
    }

    /// A node of this group, chosen by a random number; one that is present if there is any.
    pub fn node_of(&self, group: u32, random: u32) -> u32 {
        let size = self.size_of(group);
        let node = |n: u32| group + (random % size + n) % size * self.count;
        (0..size).map(node).find(|node| self.is_present(*node)).unwrap_or_else(|| node(0))
    }

    /// How many nodes a group has.
    fn size_of(&self, group: u32) -> u32 {
        (self.nodes - group).div_ceil(self.count)
    }
}

/// The hash of a group, for its rank at a worker.
pub(super) fn group_hash(group: u64) -> u64 {
    mix(group + 1)
}
