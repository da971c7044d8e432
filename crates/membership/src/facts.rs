//! The facts that a member holds: the latest one for each place, kind and slot.
//!
//! The facts of a place merge as a map of last-writer-wins registers: each register keeps the fact with the greatest stamp,
//! and the map keeps the [`MAX_FACTS_PER_MEMBER`] greatest stamps. Both operations are idempotent, commutative and
//! associative. That holds for the limit too: a fact is dropped only if that many others have greater stamps, and no later
//! merge reduces their number.

#[cfg(test)]
mod tests;

use crate::hash::hash;
use crate::wire::{FactKey, FactRecord, Stamp, StampedKey};
use crate::{Fact, MAX_FACTS_PER_MEMBER};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The facts of all places.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Facts {
    places: BTreeMap<u16, PlaceFacts>,
    count: usize,
}

/// The facts of one place, by key and by stamp.
#[derive(Debug, Default, Clone, PartialEq)]
struct PlaceFacts {
    by_key: BTreeMap<FactKey, HeldFact>,
    by_stamp: BTreeSet<StampedKey>,
    /// The exclusive or of the hashes of all facts, which does not depend on their order.
    hash: u64,
}

/// The latest fact of a key.
#[derive(Debug, Clone, PartialEq)]
struct HeldFact {
    stamp: Stamp,
    bytes: Box<[u8]>,
}

/// The result of merging a fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merged {
    /// The fact was new and is held now.
    New,
    /// The same fact, or a later one with its key, was already held.
    Known,
    /// The fact was refused: the place has [`MAX_FACTS_PER_MEMBER`] facts with greater stamps.
    Refused,
}

impl StampedKey {
    fn hash(&self) -> u64 {
        hash(&[self.key.kind.into(), self.key.slot.into(), self.stamp.epoch, self.stamp.number])
    }
}

impl PlaceFacts {
    fn insert(&mut self, fact: StampedKey, bytes: &[u8]) {
        self.by_key.insert(fact.key, HeldFact { stamp: fact.stamp, bytes: bytes.into() });
        self.by_stamp.insert(fact);
        self.hash ^= fact.hash();
    }

    /// Removes the fact of a key; returns whether there was one.
    fn remove(&mut self, key: FactKey) -> bool {
        let Some(held) = self.by_key.remove(&key) else { return false };
        let fact = StampedKey { stamp: held.stamp, key };
        self.by_stamp.remove(&fact);
        self.hash ^= fact.hash();
        true
    }
}

impl Facts {
    /// Merges a fact, unless the same one or a later one with its key is held.
    pub fn merge(&mut self, place: u16, key: FactKey, stamp: Stamp, bytes: &[u8]) -> Merged {
        let facts = self.places.entry(place).or_default();
        if facts.by_key.get(&key).is_some_and(|held| held.stamp >= stamp) {
            return Merged::Known;
        }
        let fact = StampedKey { stamp, key };
        self.count -= usize::from(facts.remove(key));
        if facts.by_key.len() >= MAX_FACTS_PER_MEMBER {
            match facts.by_stamp.first().copied() {
                Some(oldest) if oldest < fact => self.count -= usize::from(facts.remove(oldest.key)),
                _ => return Merged::Refused,
            }
        }
        facts.insert(fact, bytes);
        self.count += 1;
        Merged::New
    }

    /// The fact of a place and key, with its stamp.
    pub fn get(&self, place: u16, key: FactKey) -> Option<(Stamp, &[u8])> {
        self.places.get(&place)?.by_key.get(&key).map(|held| (held.stamp, &*held.bytes))
    }

    /// The fact of a place and key, as a record to send.
    pub fn record(&self, place: u16, key: FactKey) -> Option<FactRecord> {
        let (stamp, bytes) = self.get(place, key)?;
        Some(FactRecord { place, key, stamp, bytes: bytes.to_vec() })
    }

    /// The number of facts held in total.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The number of facts held of a place.
    pub fn count_of(&self, place: u16) -> usize {
        self.places.get(&place).map_or(0, |facts| facts.by_key.len())
    }

    /// The earliest stamp held of a place.
    pub fn oldest_stamp(&self, place: u16) -> Option<Stamp> {
        self.places.get(&place)?.by_stamp.first().map(|fact| fact.stamp)
    }

    /// The hash of all facts of a place; 0 if there are none.
    pub fn hash(&self, place: u16) -> u64 {
        self.places.get(&place).map_or(0, |facts| facts.hash)
    }

    /// Drops all facts of a place.
    pub fn forget(&mut self, place: u16) {
        self.count -= self.places.remove(&place).map_or(0, |facts| facts.by_key.len());
    }

    /// Changes the epoch of the facts of a place from `from` to `to`, with the same numbers. Returns their keys.
    pub fn move_epoch(&mut self, place: u16, from: u64, to: u64) -> Vec<FactKey> {
        let Some(facts) = self.places.get(&place) else { return Vec::new() };
        let of_epoch = facts.by_key.iter().filter(|(_, held)| held.stamp.epoch == from);
        let moved: Vec<(FactKey, HeldFact)> = of_epoch.map(|(key, held)| (*key, held.clone())).collect();
        for (key, held) in &moved {
            let stamp = Stamp { epoch: to, number: held.stamp.number };
            self.merge(place, *key, stamp, &held.bytes);
        }
        moved.into_iter().map(|(key, _)| key).collect()
    }

    /// The facts of a place below a stamp, the newest first; all of them if `below` is `None`.
    pub fn below(&self, place: u16, below: Option<Stamp>) -> impl Iterator<Item = StampedKey> {
        let first_of = |stamp| StampedKey { stamp, key: FactKey::default() };
        let upper = below.map_or(Bound::Unbounded, |stamp| Bound::Excluded(first_of(stamp)));
        let facts = self.places.get(&place).into_iter();
        facts.flat_map(move |facts| facts.by_stamp.range((Bound::Unbounded, upper)).rev().copied())
    }

    /// The hash of the facts of a place below a stamp.
    pub fn hash_below(&self, place: u16, below: Option<Stamp>) -> u64 {
        self.below(place, below).fold(0, |digest, fact| digest ^ fact.hash())
    }

    /// All facts, by place, kind and slot.
    pub fn iter(&self) -> impl Iterator<Item = Fact<'_>> {
        self.places.iter().flat_map(|(place, facts)| {
            facts.by_key.iter().map(|(key, held)| Fact {
                kind: key.kind,
                place: *place,
                epoch: held.stamp.epoch,
                slot: key.slot,
                number: held.stamp.number,
                bytes: &held.bytes,
            })
        })
    }
}
