//! Slots that groups lend each other: a node whose group's workers are full uses a slot of another group's worker.

use crate::policy::interface::{Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// A slot that was offered is reserved for this long, for a node that does not say whether it uses it.
const OFFER_RESERVED_FOR: Micros = 60_000;
/// An offer may be used for this long: less, so that the use is advertised while the slot is still reserved.
const OFFER_VALID_FOR: Micros = OFFER_RESERVED_FOR / 2;

/// A slot that this node has offered to another one and that is not known to be used.
#[derive(Debug)]
struct GrantedOffer {
    to: u32,
    tag: u16,
    until: Micros,
}

/// A slot that another node has offered.
#[derive(Debug)]
struct ReceivedOffer {
    lender: u32,
    until: Micros,
}

/// The slots that are on offer or lent.
#[derive(Debug, Default)]
pub(super) struct BorrowedSlots {
    granted: Vec<GrantedOffer>,
    received: BTreeMap<WorkerId, ReceivedOffer>,
    /// The node that lent the slot at a worker where this node has work.
    lenders: BTreeMap<WorkerId, u32>,
}

impl BorrowedSlots {
    /// This node offers a slot at the worker of this short tag.
    pub fn grant(&mut self, now: Micros, to: u32, tag: u16) {
        self.granted.push(GrantedOffer { to, tag, until: now + OFFER_RESERVED_FOR });
    }

    /// A borrower has said what it uses.
    pub fn end_grants_to(&mut self, borrower: u32) {
        self.granted.retain(|offer| offer.to != borrower);
    }

    /// The short tags of the workers at which slots are reserved, once for each slot.
    pub fn reserved_tags(&self, now: Micros) -> impl Iterator<Item = u16> {
        self.granted.iter().filter(move |offer| now < offer.until).map(|offer| offer.tag)
    }

    /// Another node offers a slot.
    pub fn receive(&mut self, now: Micros, worker: WorkerId, lender: u32) {
        self.received.insert(worker, ReceivedOffer { lender, until: now + OFFER_VALID_FOR });
    }

    /// The workers at which slots are on offer.
    pub fn offered_workers(&self, now: Micros) -> impl Iterator<Item = WorkerId> {
        self.received.iter().filter(move |(_, offer)| now < offer.until).map(|(worker, _)| *worker)
    }

    /// The node that offers a slot at this worker.
    pub fn offering_node(&self, worker: WorkerId, now: Micros) -> Option<u32> {
        self.received.get(&worker).filter(|offer| now < offer.until).map(|offer| offer.lender)
    }

    /// The offer for this worker, if there is one, is used.
    pub fn use_offer(&mut self, worker: WorkerId) {
        if let Some(offer) = self.received.remove(&worker) {
            self.lenders.insert(worker, offer.lender);
        }
    }

    pub fn drop_expired(&mut self, now: Micros) {
        self.granted.retain(|offer| now < offer.until);
        self.received.retain(|_, offer| now < offer.until);
    }

    /// The node that lent the slot at this worker.
    pub fn lender(&self, worker: WorkerId) -> Option<u32> {
        self.lenders.get(&worker).copied()
    }

    pub fn set_lender(&mut self, worker: WorkerId, lender: u32) {
        self.lenders.insert(worker, lender);
    }

    pub fn clear_lender(&mut self, worker: WorkerId) {
        self.lenders.remove(&worker);
    }

    /// All nodes that have lent a slot.
    pub fn lenders(&self) -> BTreeSet<u32> {
        self.lenders.values().copied().collect()
    }

    /// A lender has been notified that nothing is used any more.
    pub fn forget_lender(&mut self, lender: u32) {
        self.lenders.retain(|_, by| *by != lender);
    }
}
