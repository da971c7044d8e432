//! A carrier of facts between dispatchers, as unreliable as a membership may be: it loses, delays, repeats and reorders.

use crate::SECOND;
use mothproxy_runtimes::{Origin, RuntimeEstimator};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How often a fact is sent to another member: a fifth is lost, a tenth comes twice.
const COPIES: [usize; 10] = [1, 1, 1, 1, 1, 1, 1, 0, 0, 2];
/// Facts take at most this long, in microseconds.
const MAX_DELAY: u64 = 2 * SECOND;

#[derive(Clone)]
struct Fact {
    origin: Origin,
    number: u64,
    bytes: Vec<u8>,
}

/// A fact on its way, ordered by the time of its delivery.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: u64,
    id: u64,
    to: u16,
}

/// A slot of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotKey {
    place: u16,
    slot: u32,
}

pub struct Carrier {
    rng: fastrand::Rng,
    /// The newest fact of each slot.
    slots: BTreeMap<SlotKey, Fact>,
    under_way: BinaryHeap<Reverse<Delivery>>,
    /// The facts under way by the ids of their deliveries.
    facts: BTreeMap<u64, Fact>,
    number: u64,
    /// Deliveries so far.
    pub deliveries: u64,
}

impl Carrier {
    pub fn new(seed: u64) -> Carrier {
        Carrier {
            rng: fastrand::Rng::with_seed(seed),
            slots: BTreeMap::new(),
            under_way: BinaryHeap::new(),
            facts: BTreeMap::new(),
            number: 0,
            deliveries: 0,
        }
    }

    fn send(&mut self, now: u64, to: u16, fact: Fact) {
        let id = self.deliveries;
        self.deliveries += 1;
        self.facts.insert(id, fact);
        self.under_way.push(Reverse(Delivery { at: now + self.rng.u64(..MAX_DELAY), id, to }));
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

    /// Sends so many random facts to each member again, as anti-entropy does.
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

    /// Delivers what has arrived by now.
    pub fn deliver(&mut self, now: u64, members: &mut [RuntimeEstimator]) {
        while let Some(Reverse(Delivery { at, id, to })) = self.under_way.peek().copied() {
            if at > now {
                break;
            }
            self.under_way.pop();
            let Some(Fact { origin, number, bytes }) = self.facts.remove(&id) else { continue };
            let absorbed = members[usize::from(to)].absorb(at, origin, number, &bytes);
            assert_eq!(absorbed, Ok(()), "a fact that a member published must be readable");
        }
    }
}
