//! The queue of updates to disseminate, ordered by how often each was sent, then with the newest first.

use std::collections::{BTreeMap, BTreeSet};

/// The position of an update in the queue; the update with the lowest rank is sent next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    times_sent: u32,
    /// Decreases with each push, so that newer updates come first.
    age: u64,
}

/// A bounded queue of updates, by key.
#[derive(Debug)]
pub(crate) struct UpdateQueue<K> {
    ranks: BTreeMap<K, Rank>,
    order: BTreeSet<(Rank, K)>,
    pushed: u64,
    capacity: usize,
}

impl<K: Ord + Copy> UpdateQueue<K> {
    /// A queue of at most `capacity` updates. Beyond that, the update that was sent most often is dropped.
    pub fn new(capacity: usize) -> UpdateQueue<K> {
        UpdateQueue { ranks: BTreeMap::new(), order: BTreeSet::new(), pushed: 0, capacity }
    }

    /// Adds an update. If it is already queued, its count of transmissions starts at 0 again.
    pub fn push(&mut self, key: K) {
        self.remove(key);
        self.pushed += 1;
        self.insert(key, Rank { times_sent: 0, age: u64::MAX - self.pushed });
        if self.ranks.len() > self.capacity {
            let last = self.order.last().map(|(_, key)| *key);
            last.into_iter().for_each(|key| self.remove(key));
        }
    }

    fn insert(&mut self, key: K, rank: Rank) {
        self.ranks.insert(key, rank);
        self.order.insert((rank, key));
    }

    /// Removes an update, if it is queued.
    pub fn remove(&mut self, key: K) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.order.remove(&(rank, key));
        }
    }

    /// Records that an update was sent, and removes it from the queue once it was sent `limit` times.
    pub fn record_sent(&mut self, key: K, limit: u32) {
        if let Some(rank) = self.ranks.get(&key).copied() {
            self.remove(key);
            let times_sent = rank.times_sent + 1;
            if times_sent < limit {
                self.insert(key, Rank { times_sent, ..rank });
            }
        }
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// The number of queued updates.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// The first `count` updates of the queue.
    pub fn first(&self, count: usize) -> Vec<K> {
        self.order.iter().take(count).map(|(_, key)| *key).collect()
    }
}
