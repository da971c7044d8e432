//! The load advertisements that a dispatcher has received and sent.

use super::messages::LoadAdvertisement;
use super::{ADVERTISEMENT_TTL, REPEAT_INTERVAL};
use crate::policy::interface::Micros;
use std::collections::BTreeMap;

/// A dispatcher with outstanding work counts as silent if it has not advertised the work again for this long, which is one and a
/// half times [`REPEAT_INTERVAL`].
const SILENT_AFTER: Micros = ADVERTISEMENT_TTL / 4 * 3;
/// A silent dispatcher no longer counts as silent after this time: by then the work of a dead dispatcher has ended, and one that
/// has returned has advertised again.
const SILENT_UNTIL: Micros = 5 * ADVERTISEMENT_TTL / 2;

/// The recipients of an advertisement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Recipient {
    /// The other dispatchers of the group.
    Group,
    /// A dispatcher of another group at whose worker this dispatcher uses a borrowed slot.
    SlotOwner(u32),
}

/// The parts of an advertisement, with a selection of those that must be sent.
#[derive(Debug, Default)]
pub(super) struct Parts {
    /// All parts, with the times at which they were sent.
    pub all: Vec<LoadAdvertisement>,
    /// The indices in `all` of the parts that have changed or are due again.
    pub due: Vec<usize>,
}

/// The advertisements of other dispatchers, and those that this dispatcher last sent to each recipient.
#[derive(Debug, Default)]
pub(super) struct Advertisements {
    /// The advertisements by sender, in parts that do not overlap.
    received: BTreeMap<u32, Vec<LoadAdvertisement>>,
    /// The parts that were last sent to each recipient.
    sent: BTreeMap<Recipient, Vec<LoadAdvertisement>>,
}

impl Advertisements {
    /// Stores an advertisement, which replaces earlier advertisements of its sender for the workers in its range of short tags.
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

    /// Drops the advertisements of dispatchers that are not among `peers` and have no valid one. In a large fleet every
    /// dispatcher may have sent some, and all that are kept are searched for each job.
    pub fn drop_expired(&mut self, now: Micros, peers: &[u32]) {
        let is_valid =
            |parts: &[LoadAdvertisement]| parts.iter().any(|part| now < part.at + ADVERTISEMENT_TTL);
        self.received.retain(|sender, parts| peers.contains(sender) || is_valid(parts));
    }

    /// Whether one of the peers is silent: it had outstanding work when it last advertised, and has not advertised it again in
    /// time.
    pub fn has_silent(&self, peers: &[u32], now: Micros) -> bool {
        let is_silent =
            |part: &LoadAdvertisement| now >= part.at + SILENT_AFTER && now < part.at + SILENT_UNTIL;
        let mut parts = peers.iter().filter_map(|peer| self.received.get(peer)).flatten();
        parts.any(|part| !part.outstanding.is_empty() && is_silent(part))
    }

    /// The number of peers that have advertised within the last `span` microseconds.
    pub fn recent_count(&self, peers: &[u32], now: Micros, span: Micros) -> usize {
        let is_recent = |parts: &&Vec<LoadAdvertisement>| parts.iter().any(|part| now < part.at + span);
        peers.iter().filter_map(|peer| self.received.get(peer)).filter(is_recent).count()
    }

    /// Splits an advertisement into parts, and selects those that the recipient does not have yet or that are due again.
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

    /// Records the parts last sent to a recipient, with their times.
    pub fn record_sent(&mut self, recipient: Recipient, parts: Vec<LoadAdvertisement>) {
        self.sent.insert(recipient, parts);
    }
}

/// When a part was last sent, if it has not changed since. If nothing has been sent to the recipient yet, an empty part counts
/// as sent at time 0.
fn unchanged_since(previous: &[LoadAdvertisement], part: &LoadAdvertisement) -> Option<Micros> {
    let Some(last) = previous.iter().find(|last| last.range == part.range) else {
        return (previous.is_empty() && part.is_empty()).then_some(0);
    };
    let is_same = last.outstanding == part.outstanding && last.suspects == part.suspects;
    is_same.then_some(last.at)
}
