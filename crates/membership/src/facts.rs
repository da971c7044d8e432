//! Facts as registers: for each place, kind and slot the latest that was heard.
//!
//! A place's facts merge as a map of registers, each keeping the greatest stamp, cut to the [`FACT_SLOTS`] greatest stamps.
//! Both are idempotent, commutative and associative, the cut too: a fact is cut only where as many others have greater
//! stamps, and no later merge makes these fewer.

use crate::wire::{Key, Stamp, hash};
use crate::{FACT_SLOTS, Fact};
use std::collections::BTreeMap;
use std::ops::Bound;

#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Facts {
    places: BTreeMap<u16, Place>,
    held: usize,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Place {
    by_key: BTreeMap<Key, (Stamp, Box<[u8]>)>,
    by_stamp: BTreeMap<(Stamp, Key), ()>,
    /// The exclusive or of the hashes of all that is held.
    hash: u64,
}

fn of(key: Key, stamp: Stamp) -> u64 {
    hash(&[key.0.into(), key.1.into(), stamp.epoch, stamp.number])
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merged {
    New,
    /// This or a later one is held.
    Known,
    /// The place has too many with greater stamps.
    Cut,
}

impl Place {
    fn remove(&mut self, key: Key) -> bool {
        let Some((stamp, _)) = self.by_key.remove(&key) else { return false };
        self.by_stamp.remove(&(stamp, key));
        self.hash ^= of(key, stamp);
        true
    }
}

impl Facts {
    pub fn merge(&mut self, place: u16, key: Key, stamp: Stamp, bytes: &[u8]) -> Merged {
        let at = self.places.entry(place).or_default();
        if at.by_key.get(&key).is_some_and(|(held, _)| *held >= stamp) {
            return Merged::Known;
        }
        self.held -= usize::from(at.remove(key));
        if at.by_key.len() >= FACT_SLOTS {
            let least = at.by_stamp.first_key_value().map(|(least, _)| *least);
            match least {
                Some(least) if least < (stamp, key) => self.held -= usize::from(at.remove(least.1)),
                _ => return Merged::Cut,
            }
        }
        at.by_key.insert(key, (stamp, bytes.into()));
        at.by_stamp.insert((stamp, key), ());
        at.hash ^= of(key, stamp);
        self.held += 1;
        Merged::New
    }

    pub fn get(&self, place: u16, key: Key) -> Option<(Stamp, &[u8])> {
        self.places.get(&place)?.by_key.get(&key).map(|(stamp, bytes)| (*stamp, &**bytes))
    }

    /// How many are held in all.
    pub fn held(&self) -> usize {
        self.held
    }

    /// How many are held of a place.
    pub fn of(&self, place: u16) -> usize {
        self.places.get(&place).map_or(0, |at| at.by_key.len())
    }

    /// The earliest stamp held of a place.
    pub fn least(&self, place: u16) -> Option<Stamp> {
        self.places.get(&place)?.by_stamp.first_key_value().map(|((stamp, _), ())| *stamp)
    }

    /// The hash of all that is held of a place, 0 where that is nothing.
    pub fn hash(&self, place: u16) -> u64 {
        self.places.get(&place).map_or(0, |at| at.hash)
    }

    pub fn forget(&mut self, place: u16) {
        self.held -= self.places.remove(&place).map_or(0, |at| at.by_key.len());
    }

    /// Gives the facts of a place that have this epoch another, with the same numbers.
    pub fn move_epoch(&mut self, place: u16, from: u64, to: u64) -> Vec<Key> {
        let Some(at) = self.places.get(&place) else { return Vec::new() };
        let of_epoch = at.by_key.iter().filter(|(_, (stamp, _))| stamp.epoch == from);
        let moved: Vec<_> =
            of_epoch.map(|(key, (stamp, bytes))| (*key, stamp.number, bytes.clone())).collect();
        for (key, number, bytes) in &moved {
            self.merge(place, *key, Stamp { epoch: to, number: *number }, bytes);
        }
        moved.into_iter().map(|(key, ..)| key).collect()
    }

    /// What is held of a place below a stamp, the newest first.
    pub fn below(&self, place: u16, below: Option<Stamp>) -> impl Iterator<Item = (Key, Stamp)> {
        let upper = below.map_or(Bound::Unbounded, |stamp| Bound::Excluded((stamp, (0, 0))));
        let held = self.places.get(&place).into_iter();
        held.flat_map(move |at| {
            at.by_stamp.range((Bound::Unbounded, upper)).rev().map(|((stamp, key), ())| (*key, *stamp))
        })
    }

    /// The hash of what is held of a place below a stamp.
    pub fn hash_below(&self, place: u16, below: Option<Stamp>) -> u64 {
        self.below(place, below).fold(0, |h, (key, stamp)| h ^ of(key, stamp))
    }

    pub fn iter(&self) -> impl Iterator<Item = Fact<'_>> {
        self.places.iter().flat_map(|(place, at)| {
            at.by_key.iter().map(|((kind, slot), (stamp, bytes))| Fact {
                kind: *kind,
                place: *place,
                epoch: stamp.epoch,
                slot: *slot,
                number: stamp.number,
                bytes,
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A fact by its stamp alone: tellers number each fact once.
    fn told(seed: &[(u8, u8, u8, u16)]) -> Vec<(u16, Key, Stamp, Vec<u8>)> {
        let one = |(n, (place, epoch, slot, wide)): (usize, &(u8, u8, u8, u16))| {
            let slot = if wide % 4 == 0 { 0 } else { u32::from(*slot % 8) };
            let stamp = Stamp { epoch: u64::from(epoch % 3), number: n as u64 };
            (u16::from(place % 3), (slot as u8 % 2, slot), stamp, vec![*place, *wide as u8])
        };
        seed.iter().enumerate().map(one).collect()
    }

    fn merged(facts: &[&(u16, Key, Stamp, Vec<u8>)]) -> Facts {
        let mut all = Facts::default();
        for (place, key, stamp, bytes) in facts {
            all.merge(*place, *key, *stamp, bytes);
        }
        all
    }

    proptest! {
        /// Any order, any repetition and any grouping give the same state, with the hash of what is held.
        #[test]
        fn merge_is_a_join(
            seed in prop::collection::vec(any::<(u8, u8, u8, u16)>(), 1..60),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
        ) {
            let facts = told(&seed);
            let once = merged(&facts.iter().collect::<Vec<_>>());
            let mut other: Vec<_> = order.iter().map(|i| i.get(&facts)).collect();
            other.extend(facts.iter().rev());
            let other = merged(&other);
            prop_assert_eq!(&once, &other);
            // Two that each heard a part, and then of each other.
            let (left, right) = facts.split_at(order.len() % facts.len());
            let (left, right) = (merged(&left.iter().collect::<Vec<_>>()), merged(&right.iter().collect::<Vec<_>>()));
            let mut both = right.clone();
            for f in left.iter() {
                both.merge(f.place, (f.kind, f.slot), Stamp { epoch: f.epoch, number: f.number }, f.bytes);
            }
            prop_assert_eq!(&both, &once);
            for place in 0..3 {
                prop_assert_eq!(once.hash(place), once.hash_below(place, None));
            }
            prop_assert_eq!(once.held(), once.iter().count());
        }
    }

    /// The cut to the greatest stamps does not depend on the order either.
    #[test]
    fn a_place_is_cut_to_its_latest_in_any_order() {
        let facts: Vec<_> = (0..FACT_SLOTS as u64 + 300)
            .map(|n| {
                (
                    1_u16,
                    (1, (n % (FACT_SLOTS as u64 + 100)) as u32),
                    Stamp { epoch: 1, number: n + 1 },
                    vec![n as u8],
                )
            })
            .collect();
        let forth = merged(&facts.iter().collect::<Vec<_>>());
        let back = merged(&facts.iter().rev().collect::<Vec<_>>());
        let (evens, odds): (Vec<_>, Vec<_>) = facts.iter().partition(|f| f.2.number % 2 == 0);
        assert_eq!(forth.held(), FACT_SLOTS);
        assert_eq!(forth, back);
        assert_eq!(forth, merged(&[odds, evens].concat()));
    }
}
