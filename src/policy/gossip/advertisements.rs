//! The load advertisements that a dispatcher has received and sent.

use super::messages::LoadAdvertisement;
use super::{ADVERTISEMENT_TTL, REPEAT_INTERVAL};
use crate::policy::interface::Micros;
use std::collections::BTreeMap;

/// A dispatcher that has outstanding work and has not advertised it again after this is silent: one and a half times the
/// interval at which it should.
const SILENT_AFTER: Micros = ADVERTISEMENT_TTL / 4 * 3;
/// It no longer counts as silent after this: by then the work of a dead one has ended, and one that is back has advertised.
const SILENT_UNTIL: Micros = 5 * ADVERTISEMENT_TTL / 2;

/// To whom an advertisement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Recipient {
    /// The other dispatchers of the group.
    Group,
    /// A dispatcher of another group at whose worker this dispatcher uses a borrowed slot.
    SlotOwner(u32),
}

/// The parts of an advertisement, sorted by whether they must be sent.
#[derive(Debug, Default)]
pub(super) struct Parts {
    /// All of them, with the times at which they were sent.
    pub all: Vec<LoadAdvertisement>,
    /// The indices in `all` of those that have changed or are due again.
    pub due: Vec<usize>,
}

/// What each dispatcher has advertised, in parts that do not overlap, and what this dispatcher has sent last.
#[derive(Debug, Default)]
pub(super) struct Advertisements {
    received: BTreeMap<u32, Vec<LoadAdvertisement>>,
    sent: BTreeMap<Recipient, Vec<LoadAdvertisement>>,
}

impl Advertisements {
    /// Takes an advertisement: it replaces what its sender has advertised of the workers of its range.
    pub fn receive(&mut self, from: u32, advertisement: LoadAdvertisement) {
        let parts = self.received.entry(from).or_default();
        parts.iter_mut().for_each(|part| part.remove(&advertisement.range));
        parts.retain(|part| !part.is_empty() && advertisement.at < part.at + SILENT_UNTIL);
        parts.push(advertisement);
    }

    /// The advertisements that are still valid, with their senders.
    pub fn valid(&self, now: Micros) -> impl Iterator<Item = (u32, &LoadAdvertisement)> {
        let parts =
            self.received.iter().flat_map(|(sender, parts)| parts.iter().map(move |part| (*sender, part)));
        parts.filter(move |(_, part)| now < part.at + ADVERTISEMENT_TTL)
    }

    /// Drops the expired advertisements of dispatchers other than these. Every dispatcher of a large fleet may have sent some,
    /// and each job looks through those that are kept.
    pub fn drop_expired(&mut self, now: Micros, peers: &[u32]) {
        let is_valid =
            |parts: &[LoadAdvertisement]| parts.iter().any(|part| now < part.at + ADVERTISEMENT_TTL);
        self.received.retain(|sender, parts| peers.contains(sender) || is_valid(parts));
    }

    /// Whether a peer that had outstanding work when it last advertised has missed advertising it again.
    pub fn has_silent(&self, peers: &[u32], now: Micros) -> bool {
        let is_silent =
            |part: &LoadAdvertisement| now >= part.at + SILENT_AFTER && now < part.at + SILENT_UNTIL;
        let mut parts = peers.iter().filter_map(|peer| self.received.get(peer)).flatten();
        parts.any(|part| !part.outstanding.is_empty() && is_silent(part))
    }

    /// How many of the peers have advertised within this span.
    pub fn recent_count(&self, peers: &[u32], now: Micros, span: Micros) -> usize {
        let is_recent = |parts: &&Vec<LoadAdvertisement>| parts.iter().any(|part| now < part.at + span);
        peers.iter().filter_map(|peer| self.received.get(peer)).filter(is_recent).count()
    }

    /// Splits an advertisement into parts, and finds those that the recipient does not have, or that are due again.
    pub fn parts_for(&mut self, recipient: Recipient, advertisement: LoadAdvertisement) -> Parts {
        let now = advertisement.at;
        let previous = self.sent.remove(&recipient).unwrap_or_default();
        let mut parts = Parts::default();
        for part in advertisement.into_parts() {
            match unchanged_since(&previous, &part) {
                Some(at) if part.outstanding.is_empty() || now < at + REPEAT_INTERVAL => {
                    parts.all.push(LoadAdvertisement { at, ..part });
                }
                _ => {
                    parts.due.push(parts.all.len());
                    parts.all.push(part);
                }
            }
        }
        parts
    }

    /// Notes the parts last sent to a recipient, with their times.
    pub fn record_sent(&mut self, recipient: Recipient, parts: Vec<LoadAdvertisement>) {
        self.sent.insert(recipient, parts);
    }
}

/// When this part was last sent, if it is still the same. An empty part counts as sent to a recipient that has been sent
/// nothing yet.
fn unchanged_since(previous: &[LoadAdvertisement], part: &LoadAdvertisement) -> Option<Micros> {
    let Some(last) = previous.iter().find(|last| last.range == part.range) else {
        return (previous.is_empty() && part.is_empty()).then_some(0);
    };
    let is_same = last.outstanding == part.outstanding && last.suspects == part.suspects;
    is_same.then_some(last.at)
}
