//! A simulated transport of facts between dispatchers, as unreliable as a membership may be: it loses, delays, repeats and
//! reorders them.

use crate::SECOND;
use mothproxy_runtimes::{Origin, RuntimeEstimator};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The number of times that a fact is delivered to another member, to draw from: a fifth is lost, a tenth is delivered twice.
const COPIES: [usize; 10] = [1, 1, 1, 1, 1, 1, 1, 0, 0, 2];
/// The maximum delay of a delivery, in microseconds.
const MAX_DELAY: u64 = 2 * SECOND;

#[derive(Clone)]
struct Fact {
    origin: Origin,
    number: u64,
    bytes: Vec<u8>,
}

/// A future delivery of a fact, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: u64,
    id: u64,
    to: u16,
}

/// Identifies a slot of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotKey {
    place: u16,
    slot: u32,
}

/// A transport of facts with loss, delay, repetition and reordering.
pub struct FactTransport {
    rng: fastrand::Rng,
    /// The newest fact of each slot.
    slots: BTreeMap<SlotKey, Fact>,
    in_transit: BinaryHeap<Reverse<Delivery>>,
    /// The facts in transit, by the id of their delivery.
    facts: BTreeMap<u64, Fact>,
    /// The number of the last published fact.
    number: u64,
    /// The number of deliveries scheduled so far.
    pub deliveries: u64,
}

impl FactTransport {
    pub fn new(seed: u64) -> FactTransport {
        FactTransport {
            rng: fastrand::Rng::with_seed(seed),
            slots: BTreeMap::new(),
            in_transit: BinaryHeap::new(),
            facts: BTreeMap::new(),
            number: 0,
            deliveries: 0,
        }
    }

    fn send(&mut self, now: u64, to: u16, fact: Fact) {
        let id = self.deliveries;
        self.deliveries += 1;
        self.facts.insert(id, fact);
        self.in_transit.push(Reverse(Delivery { at: now + self.rng.u64(..MAX_DELAY), id, to }));
    }

    /// Sends a fact to all other members.
    pub fn publish(&mut self, now: u64, origin: Origin, slot: u32, bytes: Vec<u8>, members: u16) {
        self.number += 1;
        let fact = Fact { origin, number: self.number, bytes };
        self.slots.insert(SlotKey { place: origin.place, slot }, fact.clone());
        for to in (0..members).filter(|to| *to != origin.place) {
            let copies = COPIES[self.rng.usize(..COPIES.len())];
            (0..copies).for_each(|_| self.send(now, to, fact.clone()));
        }
    }

    /// Sends `facts_each` random facts to each member again, as anti-entropy does.
    pub fn repair(&mut self, now: u64, members: u16, facts_each: usize) {
        let all: Vec<&Fact> = self.slots.values().collect();
        let mut picked = Vec::new();
        for to in 0..members {
            for _ in 0..facts_each.min(all.len()) {
                picked.push((to, all[self.rng.usize(..all.len())].clone()));
            }
        }
        picked.into_iter().for_each(|(to, fact)| self.send(now, to, fact));
    }

    /// Delivers the facts that have arrived by `now`.
    pub fn deliver(&mut self, now: u64, members: &mut [RuntimeEstimator]) {
        while let Some(Reverse(Delivery { at, id, to })) = self.in_transit.peek().copied() {
            if at > now {
                break;
            }
            self.in_transit.pop();
            let Some(Fact { origin, number, bytes }) = self.facts.remove(&id) else { continue };
            let absorbed = members[usize::from(to)].absorb(at, origin, number, &bytes);
            assert_eq!(absorbed, Ok(()), "a published fact must be absorbed");
        }
    }
}
