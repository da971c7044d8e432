//! Anti-entropy: members find what dissemination missed by comparing hashes, from the whole state down to single facts.
//!
//! An exchange has these steps:
//!
//! - A `Digest` has the hashes of equal parts of all places. The answer is a `MemberPage` for parts that differ.
//! - A `MemberPage` has the states of consecutive places, and the hash of the facts of each. The answer is the records that
//!   are newer, and a `FactList` for places whose facts differ.
//! - A `FactList` has the newest facts held, and the hash of the rest. The answer is the facts that the sender lacks, a
//!   `FactRequest` for those that the receiver lacks, and, if the rest differs, a `FactList` of the next facts.
//!
//! Neither side keeps any state of an exchange. A lost datagram ends it, and the next exchange continues from there.

use super::{Membership, Priority};
use crate::hash::{hash, salted};
use crate::wire::{
    Body, DIGEST_PARTS, FactKey, FactList, MemberPage, MemberRow, Record, Stamp, StampedKey, StateRecord,
};
use crate::{MAX_DATAGRAM_BYTES, Micros};

/// The maximum number of pages that answer one digest.
const MAX_PAGES: usize = 4;
/// The number of places that always fit into a page. A group of at most this size needs no digest.
const PAGE_PLACES: u16 = 24;
/// The maximum number of places whose facts are compared after one page.
const MAX_PLACES_COMPARED: usize = 8;
/// The maximum number of facts in the first list.
const FIRST_LIST_FACTS: usize = 8;
/// The maximum number of facts in each further list.
const NEXT_LIST_FACTS: usize = 32;
/// The maximum number of facts that answer one list or request.
const MAX_FACTS_SENT: usize = 48;
/// The random delay of an exchange that is brought forward is below this, in microseconds.
const SOON_JITTER: Micros = 100_000;

/// When the next exchange begins, and with whom.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    next_sync: Micros,
    last_sync: Micros,
    /// The member for the next exchange; `None` for a random one.
    partner: Option<u16>,
}

impl AntiEntropy {
    /// The state before the first exchange, which begins at `next_sync`.
    pub fn new(next_sync: Micros) -> AntiEntropy {
        AntiEntropy { next_sync, last_sync: 0, partner: None }
    }

    /// When the next exchange begins.
    pub fn next_sync(&self) -> Micros {
        self.next_sync
    }
}

/// A salted hash that is 0 only for the digest 0, which stands for no facts.
fn salted_nonzero(digest: u64, salt: u16) -> u32 {
    match digest {
        0 => 0,
        digest => salted(digest, salt).max(1),
    }
}

impl Membership {
    /// Brings the next exchange forward, since the last one showed that updates were missed.
    fn sync_soon(&mut self) {
        let jitter = self.rng.u64(0..SOON_JITTER);
        let min_gap = self.config.sync_period / 8;
        let at = (self.anti_entropy.last_sync + min_gap).max(self.now) + jitter;
        self.anti_entropy.next_sync = self.anti_entropy.next_sync.min(at);
    }

    /// Brings the next exchange forward, with a member that has just become present.
    pub(super) fn sync_soon_with(&mut self, partner: u16) {
        self.anti_entropy.partner = Some(partner);
        self.sync_soon();
    }

    /// Begins an exchange if one is due.
    pub(super) fn sync_if_due(&mut self) {
        if self.now < self.anti_entropy.next_sync {
            return;
        }
        let period = self.config.sync_period;
        self.anti_entropy.next_sync = self.now + self.rng.u64(period - period / 4..=period + period / 4);
        self.anti_entropy.last_sync = self.now;
        let partner = self.anti_entropy.partner.take().filter(|place| self.view.state(*place).is_present());
        let Some(partner) = partner.or_else(|| self.random_present(&[])) else { return };
        if !self.budget.has_room_for_background() {
            return;
        }
        self.metrics.syncs += 1;
        let salt = self.rng.u16(..);
        if self.config.peers <= PAGE_PLACES {
            self.send_member_page(partner, salt, 0, self.config.peers);
        } else {
            let hashes = self.digest(salt);
            self.send(partner, &Body::Digest { salt, hashes }, Priority::Background);
        }
    }

    fn member_row(&self, place: u16, salt: u16) -> MemberRow {
        let member = self.view.at(place);
        let facts_hash = salted_nonzero(self.facts.hash(place), salt);
        MemberRow { state: member.state, version: member.version(), facts_hash }
    }

    /// The first place of a part of the digest.
    fn part_start(&self, part: usize) -> u16 {
        (usize::from(self.config.peers) * part / DIGEST_PARTS) as u16
    }

    fn digest(&self, salt: u16) -> Vec<u32> {
        let hash_of_part = |part| {
            let places = self.part_start(part)..self.part_start(part + 1);
            let hashes = places.map(|place| self.place_hash(place));
            salted(hashes.fold(0, |digest, hash| digest ^ hash), salt)
        };
        (0..DIGEST_PARTS).map(hash_of_part).collect()
    }

    /// The hash of the state and the facts of a place.
    fn place_hash(&self, place: u16) -> u64 {
        let member = self.view.at(place);
        let facts = self.facts.hash(place);
        hash(&[place.into(), member.state as u64, member.epoch, member.incarnation.into(), facts])
    }

    /// Handles a digest: answers with pages for some of the parts that differ.
    pub(super) fn on_digest(&mut self, from: u16, salt: u16, hashes: &[u32]) {
        let own = self.digest(salt);
        let mut differing: Vec<usize> =
            (0..DIGEST_PARTS).filter(|part| own[*part] != hashes[*part]).collect();
        if differing.is_empty() {
            return;
        }
        // Start with a random part. A page continues over the next parts as long as they fit.
        let first = self.rng.usize(0..differing.len());
        differing.rotate_left(first);
        let mut pages = 0;
        let mut covered = 0..0;
        for part in differing {
            let (start, end) = (self.part_start(part), self.part_start(part + 1));
            if pages < MAX_PAGES && !(covered.contains(&start) && end <= covered.end) {
                // If the part does not fit into a page, begin at a random place of the part.
                let start = if end - start > PAGE_PLACES { self.rng.u16(start..end) } else { start };
                covered = start..self.send_member_page(from, salt, start, self.config.peers);
                pages += 1;
            }
        }
    }

    /// Sends a page of the places from `first` to below `end`, as many as fit into a datagram. Returns the place after the
    /// last one sent.
    fn send_member_page(&mut self, to: u16, salt: u16, first: u16, end: u16) -> u16 {
        let sender = self.own_version();
        let mut page = MemberPage { salt, first, rows: Vec::new() };
        for place in first..end {
            page.rows.push(self.member_row(place, salt));
            if page.datagram_len(sender) > MAX_DATAGRAM_BYTES {
                page.rows.pop();
                break;
            }
        }
        let end = first + page.rows.len() as u16;
        if !page.rows.is_empty() {
            self.send(to, &Body::MemberPage(page), Priority::Background);
        }
        end
    }

    /// Handles a page: merges what is newer in it, sends back what is newer here, and compares the facts that differ.
    pub(super) fn on_member_page(&mut self, from: u16, page: &MemberPage) {
        let salt = page.salt;
        let mut newer_here = Vec::new();
        let mut differing = Vec::new();
        for (place, theirs) in (page.first..).zip(&page.rows) {
            let own = self.member_row(place, salt);
            let rank = |row: &MemberRow| (row.version, row.state);
            if rank(&own) > rank(theirs) {
                newer_here.push(self.state_record(place));
            } else if rank(&own) < rank(theirs) {
                let MemberRow { state, version, .. } = *theirs;
                self.on_state_record(from, &StateRecord { place, state, version, accusers: Vec::new() });
                self.sync_soon();
            }
            if own.facts_hash != theirs.facts_hash && !self.is_forgotten(place) {
                differing.push(place);
            }
        }
        self.send_records(from, &newer_here);
        self.rng.shuffle(&mut differing);
        if !differing.is_empty() {
            let earliest = self.anti_entropy.last_sync + self.config.sync_period / 4;
            self.anti_entropy.next_sync = self.anti_entropy.next_sync.min(self.now.max(earliest));
        }
        for place in differing.into_iter().take(MAX_PLACES_COMPARED) {
            self.send_fact_list(from, salt, place, None, FIRST_LIST_FACTS);
        }
    }

    /// Sends records in as many datagrams as needed, while the budget lasts.
    fn send_records(&mut self, to: u16, records: &[Record]) {
        let mut rest = records;
        while !rest.is_empty() {
            let sent = self.send_with_records(to, &Body::Gossip, Priority::Background, rest);
            if sent == 0 {
                return;
            }
            rest = &rest[sent..];
        }
    }

    fn send_fact_list(&mut self, to: u16, salt: u16, place: u16, below: Option<Stamp>, limit: usize) {
        let sender = self.own_version();
        let held = self.facts.below(place, below).take(limit).collect();
        let mut list = FactList { salt, place, below, rest_hash: 0, held };
        while list.datagram_len(sender) > MAX_DATAGRAM_BYTES {
            list.held.pop();
        }
        let last = list.held.last().map(|fact| fact.stamp);
        list.rest_hash = self.rest_hash(place, last.or(below), salt);
        self.send(to, &Body::FactList(list), Priority::Background);
    }

    /// The salted hash of the facts of a place below a stamp.
    fn rest_hash(&self, place: u16, below: Option<Stamp>, salt: u16) -> u32 {
        salted_nonzero(self.facts.hash_below(place, below), salt)
    }

    /// Handles a list of facts: requests those that are missing here, sends those that the other lacks, and compares the rest.
    pub(super) fn on_fact_list(&mut self, from: u16, list: &FactList) {
        let FactList { salt, place, below, rest_hash, held } = list;
        let (salt, place) = (*salt, *place);
        if self.is_forgotten(place) {
            return;
        }
        let last = held.last().map(|fact| fact.stamp);
        let is_missing = |fact: &&StampedKey| {
            self.facts.get(place, fact.key).is_none_or(|(own_stamp, _)| own_stamp < fact.stamp)
        };
        let missing_here: Vec<FactKey> = held.iter().filter(is_missing).map(|fact| fact.key).collect();
        let compared =
            self.facts.below(place, *below).take_while(|fact| last.is_none_or(|last| fact.stamp >= last));
        let missing_there = compared.filter(|fact| !held.contains(fact)).take(MAX_FACTS_SENT);
        let missing_there: Vec<FactKey> = missing_there.map(|fact| fact.key).collect();
        let records = self.fact_records(place, &missing_there);
        if !missing_here.is_empty() {
            let request = Body::FactRequest { place, keys: missing_here };
            self.send(from, &request, Priority::Background);
        }
        self.send_records(from, &records);
        if last.is_some() && self.rest_hash(place, last, salt) != *rest_hash {
            self.send_fact_list(from, salt, place, last, NEXT_LIST_FACTS);
        }
    }

    /// Handles a request for facts of a place.
    pub(super) fn on_fact_request(&mut self, from: u16, place: u16, keys: &[FactKey]) {
        let records = self.fact_records(place, &keys[..keys.len().min(MAX_FACTS_SENT)]);
        self.send_records(from, &records);
    }

    fn fact_records(&self, place: u16, keys: &[FactKey]) -> Vec<Record> {
        keys.iter().filter_map(|key| self.facts.record(place, *key)).map(Record::Fact).collect()
    }
}
