//! What is to be passed on, the least sent and newest first.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct Queue<K> {
    sent: BTreeMap<K, (u32, u64)>,
    order: BTreeSet<(u32, u64, K)>,
    pushed: u64,
    most: usize,
}

impl<K: Ord + Copy> Queue<K> {
    /// A queue of at most so many; beyond that the most sent goes.
    pub fn new(most: usize) -> Queue<K> {
        Queue { sent: BTreeMap::new(), order: BTreeSet::new(), pushed: 0, most }
    }

    /// Is to be sent, from the first time on again if it is here.
    pub fn push(&mut self, key: K) {
        self.remove(key);
        self.pushed += 1;
        self.put(key, 0, u64::MAX - self.pushed);
        if self.sent.len() > self.most {
            let last = self.order.last().map(|(.., key)| *key);
            last.into_iter().for_each(|key| self.remove(key));
        }
    }

    fn put(&mut self, key: K, sent: u32, age: u64) {
        self.sent.insert(key, (sent, age));
        self.order.insert((sent, age, key));
    }

    pub fn remove(&mut self, key: K) {
        if let Some((sent, age)) = self.sent.remove(&key) {
            self.order.remove(&(sent, age, key));
        }
    }

    /// Was sent once more; so many times are enough.
    pub fn sent(&mut self, key: K, enough: u32) {
        if let Some((sent, age)) = self.sent.get(&key).copied() {
            self.remove(key);
            if sent + 1 < enough {
                self.put(key, sent + 1, age);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    pub fn len(&self) -> usize {
        self.sent.len()
    }

    pub fn first(&self, most: usize) -> Vec<K> {
        self.order.iter().take(most).map(|(.., key)| *key).collect()
    }
}
