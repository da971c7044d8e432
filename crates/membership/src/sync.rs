//! The exchange of digests: what rumour has missed is found by comparing hashes, from the whole down to single facts.
//!
//! `Roots` (hashes of equal parts of all places) is answered with a `Page` of each part that differs (what is believed of
//! places in a row, and the hash of the facts of each), a page with what is newer and with a `Have` for places whose facts
//! differ (the newest facts held, and the hash of the rest), a `Have` with the facts that the other lacks, a `Want` of those
//! that are missing here, and, where the rest differs, a `Have` of the next. Nobody keeps any state of an exchange, so a
//! lost datagram ends it and the next one goes on from there.

use crate::member::Membership;
use crate::wire::{Body, Key, ROOTS, Record, Row, Stamp, Writer, hash, salted};
use crate::{MOST, State};

/// At most so many pages answer one digest.
const PAGES: usize = 4;
/// Facts of at most so many places are compared after one page.
const PLACES: usize = 8;
/// At first so many facts are named, then so many.
const FIRST: usize = 8;
const NEXT: usize = 32;
/// At most so many facts are sent at once.
const FACTS: usize = 48;

impl Membership {
    /// The next exchange comes soon, since the last showed that something was missed.
    pub(crate) fn sync_soon(&mut self) {
        let (jitter, gap) = (self.rng.u64(0..100_000), self.config.sync_period / 8);
        let at = (self.synced_at + gap).max(self.now) + jitter;
        self.next_sync = self.next_sync.min(at);
    }

    pub(crate) fn sync(&mut self) {
        let period = self.config.sync_period;
        self.next_sync = self.now + self.rng.u64(period - period / 4..=period + period / 4);
        self.synced_at = self.now;
        let present = |m: &Membership, p| matches!(m.view.state(p), State::Alive | State::Suspect);
        let with = self.sync_with.take().filter(|p| present(self, *p)).or_else(|| self.someone(&[]));
        let Some(with) = with.filter(|_| self.may_send_more()) else { return };
        self.figures.syncs += 1;
        let salt = self.rng.u16(..);
        if usize::from(self.config.peers) <= 24 {
            self.send_page(with, salt, 0, self.config.peers);
        } else {
            let roots = self.roots(salt);
            self.send(with, &Body::Roots { salt, roots }, false);
        }
    }

    fn row(&self, place: u16, salt: u16) -> Row {
        let member = &self.view.members[usize::from(place)];
        let facts = match self.facts.hash(place) {
            0 => 0,
            hash => salted(hash, salt).max(1),
        };
        Row { state: member.state, epoch: member.epoch, incarnation: member.incarnation, facts }
    }

    /// Where the parts begin.
    fn part(&self, n: usize) -> u16 {
        (usize::from(self.config.peers) * n / ROOTS) as u16
    }

    fn roots(&self, salt: u16) -> Vec<u32> {
        let one = |n| {
            let places = self.part(n)..self.part(n + 1);
            let all = places.map(|place| {
                let m = &self.view.members[usize::from(place)];
                hash(&[place.into(), m.state as u64, m.epoch, m.incarnation.into(), self.facts.hash(place)])
            });
            salted(all.fold(0, |a, b| a ^ b), salt)
        };
        (0..ROOTS).map(one).collect()
    }

    pub(crate) fn hear_roots(&mut self, from: u16, salt: u16, roots: &[u32]) {
        let mine = self.roots(salt);
        let mut differ: Vec<usize> = (0..ROOTS).filter(|n| mine[*n] != roots[*n]).collect();
        if differ.is_empty() {
            return;
        }
        // From any of them on; a page goes on over the next parts as long as it has room.
        let first = self.rng.usize(0..differ.len());
        differ.rotate_left(first);
        let (mut pages, mut covered) = (0, 0..0);
        for n in differ {
            let (lo, hi) = (self.part(n), self.part(n + 1));
            if pages < PAGES && !(covered.contains(&lo) && hi <= covered.end) {
                // A part that is longer than a page: any stretch of it.
                let lo = if hi - lo > 24 { self.rng.u16(lo..hi) } else { lo };
                covered = lo..self.send_page(from, salt, lo, self.config.peers);
                pages += 1;
            }
        }
    }

    /// Sends what is held of places in a row, as many as a datagram has room for; returns where it ends.
    fn send_page(&mut self, to: u16, salt: u16, lo: u16, hi: u16) -> u16 {
        let me = self.me();
        let mut rows = Vec::new();
        for place in lo..hi {
            rows.push(self.row(place, salt));
            let body = Body::Page { salt, lo, rows };
            let fits = Writer::new(me.epoch, me.incarnation, &body).len() <= MOST;
            let Body::Page { rows: back, .. } = body else { return hi };
            rows = back;
            if !fits {
                rows.pop();
                break;
            }
        }
        let end = lo + rows.len() as u16;
        if !rows.is_empty() {
            self.send(to, &Body::Page { salt, lo, rows }, false);
        }
        end
    }

    pub(crate) fn hear_page(&mut self, from: u16, salt: u16, lo: u16, rows: &[Row]) {
        let (mut newer, mut differ) = (Vec::new(), Vec::new());
        for (place, theirs) in (lo..).zip(rows) {
            let mine = self.row(place, salt);
            let order = |r: &Row| (r.epoch, r.incarnation, r.state);
            if order(&mine) > order(theirs) {
                newer.push(self.state_record(place));
            } else if order(&mine) < order(theirs) {
                self.hear_state(from, place, theirs.state, theirs.epoch, theirs.incarnation, &[]);
                self.sync_soon();
            }
            if mine.facts != theirs.facts && !self.forgotten(place) {
                differ.push(place);
            }
        }
        self.send_records(from, newer);
        self.rng.shuffle(&mut differ);
        if !differ.is_empty() {
            self.next_sync = self.next_sync.min(self.now.max(self.synced_at + self.config.sync_period / 4));
        }
        for place in differ.into_iter().take(PLACES) {
            self.send_have(from, salt, place, None, FIRST);
        }
    }

    /// Sends records by themselves, in as many datagrams as it takes, while the budget lasts.
    fn send_records(&mut self, to: u16, records: Vec<Record>) {
        let mut rest = &records[..];
        while !rest.is_empty() {
            let went = self.send_with(to, &Body::Gossip, false, rest);
            if went == 0 {
                return;
            }
            rest = &rest[went..];
        }
    }

    fn send_have(&mut self, to: u16, salt: u16, place: u16, below: Option<Stamp>, most: usize) {
        let me = self.me();
        let all: Vec<(Key, Stamp)> = self.facts.below(place, below).take(most).collect();
        let mut body = Body::Have { salt, place, below, rest: 0, held: all };
        while Writer::new(me.epoch, me.incarnation, &body).len() > MOST {
            let Body::Have { held, .. } = &mut body else { return };
            held.pop();
        }
        if let Body::Have { rest, held, .. } = &mut body {
            *rest = match held.last() {
                Some((_, least)) => self.rest(place, Some(*least), salt),
                None => self.rest(place, below, salt),
            };
        }
        self.send(to, &body, false);
    }

    fn rest(&self, place: u16, below: Option<Stamp>, salt: u16) -> u32 {
        match self.facts.hash_below(place, below) {
            0 => 0,
            hash => salted(hash, salt).max(1),
        }
    }

    pub(crate) fn hear_have(
        &mut self,
        from: u16,
        salt: u16,
        place: u16,
        below: Option<Stamp>,
        rest: u32,
        held: &[(Key, Stamp)],
    ) {
        if self.forgotten(place) {
            return;
        }
        let least = held.last().map(|(_, stamp)| *stamp);
        let lacks =
            |(key, stamp): &&(Key, Stamp)| self.facts.get(place, *key).is_none_or(|(mine, _)| mine < *stamp);
        let keys: Vec<Key> = held.iter().filter(lacks).map(|(key, _)| *key).collect();
        let window =
            self.facts.below(place, below).take_while(|(_, stamp)| least.is_none_or(|l| *stamp >= l));
        let extra = window.filter(|mine| !held.contains(mine)).take(FACTS);
        let extra: Vec<Record> = extra.filter_map(|(key, _)| self.fact_record(place, key)).collect();
        if !keys.is_empty() {
            self.send(from, &Body::Want { place, keys }, false);
        }
        self.send_records(from, extra);
        if least.is_some() && self.rest(place, least, salt) != rest {
            self.send_have(from, salt, place, least, NEXT);
        }
    }

    pub(crate) fn hear_want(&mut self, from: u16, place: u16, keys: &[Key]) {
        let records = keys.iter().take(FACTS).filter_map(|key| self.fact_record(place, *key)).collect();
        self.send_records(from, records);
    }
}
