//! A model of the dissemination of facts by the membership crate: dispatchers keep the latest fact of each slot, and get
//! missing facts from each other.

use crate::setup::{DISPATCHERS, Scenario};
use mothproxy_fairshare::Origin;
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct Fact {
    pub origin: Origin,
    pub slot: u32,
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// A fact in flight to a dispatcher.
pub struct Delivery {
    pub to: usize,
    pub fact: Fact,
}

pub struct Carrier {
    /// The latest fact of each slot, by dispatcher.
    held: Vec<BTreeMap<(Origin, u32), Fact>>,
    in_flight: BTreeMap<u64, Vec<Delivery>>,
    /// The number of bytes of all facts sent and not lost.
    pub bytes: u64,
}

impl Carrier {
    pub fn new() -> Carrier {
        Carrier { held: vec![BTreeMap::new(); DISPATCHERS], in_flight: BTreeMap::new(), bytes: 0 }
    }

    /// Sends a fact. One in twenty is sent twice, and each copy may be lost.
    pub fn send(
        &mut self,
        rng: &mut fastrand::Rng,
        scenario: &Scenario,
        sent_at: u64,
        to: usize,
        fact: &Fact,
    ) {
        for _ in 0..1 + usize::from(rng.f64() < 0.05) {
            if rng.f64() >= scenario.loss {
                self.bytes += fact.bytes.len() as u64;
                let at = sent_at + 1 + rng.u64(0..scenario.delay);
                self.in_flight.entry(at).or_default().push(Delivery { to, fact: fact.clone() });
            }
        }
    }

    /// Drops all facts that a dispatcher holds.
    pub fn forget(&mut self, dispatcher: usize) {
        self.held[dispatcher].clear();
    }

    /// Stores a fact that a dispatcher published itself.
    pub fn hold_own(&mut self, dispatcher: usize, fact: &Fact) {
        self.held[dispatcher].insert((fact.origin, fact.slot), fact.clone());
    }

    /// Stores a fact that a dispatcher received, unless it holds a later one of the same slot.
    pub fn hold_received(&mut self, delivery: &Delivery) {
        let Delivery { to, fact } = delivery;
        let held = self.held[*to].entry((fact.origin, fact.slot)).or_insert_with(|| fact.clone());
        if held.number < fact.number {
            held.clone_from(fact);
        }
    }

    /// The facts that `other` holds and of which a dispatcher holds none or an earlier one.
    pub fn missing(&self, dispatcher: usize, other: usize) -> Vec<Fact> {
        let is_later = |(slot, fact): &(&(Origin, u32), &Fact)| {
            self.held[dispatcher].get(slot).is_none_or(|held| held.number < fact.number)
        };
        self.held[other].iter().filter(is_later).map(|(_, fact)| fact.clone()).collect()
    }

    /// Removes and returns the facts that have arrived by `now`, in order of arrival.
    pub fn take_arrived(&mut self, now: u64) -> Vec<Delivery> {
        let rest = self.in_flight.split_off(&(now + 1));
        std::mem::replace(&mut self.in_flight, rest).into_values().flatten().collect()
    }
}
