//! Borrowed slots. A dispatcher whose group's workers are full can use a slot at a worker of another group if a dispatcher of
//! that group has offered the slot.

use crate::policy::interface::{Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The time for which an offered slot is reserved, unless the borrower advertises earlier which slots it uses.
const OFFER_RESERVED_FOR: Micros = 60_000;
/// The time within which an offer may be used. It is shorter than the reservation, so that the borrower advertises the use while
/// the slot is still reserved.
const OFFER_VALID_FOR: Micros = OFFER_RESERVED_FOR / 2;

/// A slot that this dispatcher has offered to another dispatcher and that is not known to be used.
#[derive(Debug)]
struct SentOffer {
    to: u32,
    tag: u16,
    until: Micros,
}

/// A slot that another dispatcher has offered.
#[derive(Debug)]
struct ReceivedOffer {
    from: u32,
    until: Micros,
}

/// The slots that this dispatcher has offered or borrowed.
#[derive(Debug, Default)]
pub(super) struct BorrowedSlots {
    sent: Vec<SentOffer>,
    received: BTreeMap<WorkerId, ReceivedOffer>,
    /// The slot owner (the dispatcher that offered the slot) for each worker of another group at which this dispatcher has work.
    slot_owners: BTreeMap<WorkerId, u32>,
}

impl BorrowedSlots {
    /// Records that this dispatcher offers to `to` a slot at the worker with this short tag.
    pub fn record_sent(&mut self, now: Micros, to: u32, tag: u16) {
        self.sent.push(SentOffer { to, tag, until: now + OFFER_RESERVED_FOR });
    }

    /// Ends the offers to a borrower that has advertised which of the slots it uses.
    pub fn end_offers_to(&mut self, borrower: u32) {
        self.sent.retain(|offer| offer.to != borrower);
    }

    /// The short tags of the workers at which offered slots are reserved, with one entry for each slot.
    pub fn reserved_tags(&self, now: Micros) -> impl Iterator<Item = u16> {
        self.sent.iter().filter(move |offer| now < offer.until).map(|offer| offer.tag)
    }

    /// Records that the dispatcher `from` offers a slot at a worker.
    pub fn record_received(&mut self, now: Micros, worker: WorkerId, from: u32) {
        self.received.insert(worker, ReceivedOffer { from, until: now + OFFER_VALID_FOR });
    }

    /// The workers at which other dispatchers offer a slot now.
    pub fn offered_workers(&self, now: Micros) -> impl Iterator<Item = WorkerId> {
        self.received.iter().filter(move |(_, offer)| now < offer.until).map(|(worker, _)| *worker)
    }

    /// The dispatcher that offers a slot at this worker now, if there is one.
    pub fn offered_by(&self, worker: WorkerId, now: Micros) -> Option<u32> {
        self.received.get(&worker).filter(|offer| now < offer.until).map(|offer| offer.from)
    }

    /// Uses the offer for this worker, if there is one, and records the slot as borrowed.
    pub fn use_offer(&mut self, worker: WorkerId) {
        if let Some(offer) = self.received.remove(&worker) {
            self.slot_owners.insert(worker, offer.from);
        }
    }

    /// Drops the offers that have expired.
    pub fn drop_expired(&mut self, now: Micros) {
        self.sent.retain(|offer| now < offer.until);
        self.received.retain(|_, offer| now < offer.until);
    }

    /// The slot owner at a worker, if this dispatcher borrows a slot there.
    pub fn slot_owner(&self, worker: WorkerId) -> Option<u32> {
        self.slot_owners.get(&worker).copied()
    }

    /// Records that this dispatcher uses a slot at a worker as if `owner` had offered it.
    pub fn set_slot_owner(&mut self, worker: WorkerId, owner: u32) {
        self.slot_owners.insert(worker, owner);
    }

    /// Records that this dispatcher borrows no slot at a worker.
    pub fn clear_slot_owner(&mut self, worker: WorkerId) {
        self.slot_owners.remove(&worker);
    }

    /// All dispatchers whose slots this dispatcher borrows.
    pub fn slot_owners(&self) -> BTreeSet<u32> {
        self.slot_owners.values().copied().collect()
    }

    /// Forgets the borrowed slots of an owner that has been sent the advertisement that none of them is used any more.
    pub fn forget_slot_owner(&mut self, owner: u32) {
        self.slot_owners.retain(|_, slot_owner| *slot_owner != owner);
    }
}
