//! The datagrams that dispatchers send each other, as typed messages and as bytes.
//!
//! The first byte says what a message is. In a load advertisement the number of suspect workers follows, then their short tags,
//! then those of the outstanding work, each in two bytes, the high one first; it is all that its sender has to advertise. If
//! that is more than a message may name, it is sent in parts, with the bit [`PART`] in the first byte. In a part, the first
//! byte is followed by the number of leading bits that the tags of the part have in common and the first such tag; the rest is
//! as above.

use crate::policy::interface::{Micros, ZoneId};
use std::ops::RangeInclusive;

/// The bit of the first byte that marks a part of a load advertisement.
const PART: u8 = 0x20;
/// The first byte of a load advertisement to the sender's group.
const GROUP_LOAD: u8 = b'W';
/// The first byte of a load advertisement to the owner of borrowed slots.
const BORROWER_LOAD: u8 = b'G';
/// The first byte of a request for a slot.
const SLOT_REQUEST: u8 = b'A';
/// The first byte of an offer of a slot.
const SLOT_OFFER: u8 = b'O';
/// The most workers that a message names; it is no longer than a datagram may be.
const MAX_TAGS: usize = 120;

/// Whose workers a load advertisement is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// Those of the sender's own group, to the other dispatchers of it.
    Group,
    /// Those of another group, to the dispatcher of it that offered a slot.
    SlotOwner,
}

/// A message of another dispatcher.
#[derive(Debug)]
pub(super) enum Message {
    Load(Audience, LoadAdvertisement),
    /// A request for a slot, in this zone if there is one.
    SlotRequest(ZoneId),
    /// An offer of a slot at the worker of this short tag.
    SlotOffer(u16),
}

impl Message {
    /// Reads the bytes of a message that arrives at this time; `None` if they are not understood.
    pub fn decode(at: Micros, bytes: &[u8]) -> Option<Message> {
        match bytes {
            [SLOT_REQUEST, zone] => Some(Message::SlotRequest(ZoneId(u16::from(*zone)))),
            [SLOT_OFFER, high, low] => Some(Message::SlotOffer(u16::from_be_bytes([*high, *low]))),
            _ => LoadAdvertisement::decode(at, bytes).map(|(audience, load)| Message::Load(audience, load)),
        }
    }
}

/// The bytes of a request for a slot, in this zone if there is one.
pub(super) fn encode_slot_request(zone: ZoneId) -> Vec<u8> {
    vec![SLOT_REQUEST, zone.0 as u8]
}

/// The bytes of an offer of a slot at the worker of this short tag.
pub(super) fn encode_slot_offer(tag: u16) -> Vec<u8> {
    let [high, low] = tag.to_be_bytes();
    vec![SLOT_OFFER, high, low]
}

/// What a dispatcher says of the workers of a range of short tags, all of them or a part: when, where it has outstanding work,
/// once for each slot, and which of them are suspect; in order.
#[derive(Debug)]
pub(super) struct LoadAdvertisement {
    pub at: Micros,
    pub range: RangeInclusive<u16>,
    pub outstanding: Vec<u16>,
    pub suspects: Vec<u16>,
}

impl LoadAdvertisement {
    /// What a dispatcher advertises at this time of the workers of a range; the tags may be in any order.
    pub fn new(
        at: Micros,
        range: RangeInclusive<u16>,
        mut outstanding: Vec<u16>,
        mut suspects: Vec<u16>,
    ) -> LoadAdvertisement {
        outstanding.sort_unstable();
        suspects.sort_unstable();
        LoadAdvertisement { at, range, outstanding, suspects }
    }

    /// Whether nothing is outstanding and no worker is suspect.
    pub fn is_empty(&self) -> bool {
        self.outstanding.is_empty() && self.suspects.is_empty()
    }

    /// How many slots are occupied at the worker of this short tag.
    pub fn slots_at(&self, tag: u16) -> usize {
        self.outstanding.partition_point(|t| *t <= tag) - self.outstanding.partition_point(|t| *t < tag)
    }

    /// Forgets what is said of the workers of this range.
    pub fn remove(&mut self, range: &RangeInclusive<u16>) {
        self.outstanding.retain(|tag| !range.contains(tag));
        self.suspects.retain(|tag| !range.contains(tag));
    }

    /// Splits it into as few messages as may name so many workers, each of a half, a quarter and so on of the range of tags, so
    /// that a change at one worker changes one message. If one dispatcher has more outstanding at a single worker than a
    /// message can name, the rest is left out: the worker is full in any case.
    pub fn into_parts(self) -> Vec<LoadAdvertisement> {
        let (first, last) = self.range.clone().into_inner();
        if self.outstanding.len() + self.suspects.len() <= MAX_TAGS || first == last {
            let outstanding = self.outstanding.into_iter().take(MAX_TAGS - self.suspects.len()).collect();
            return vec![LoadAdvertisement { outstanding, ..self }];
        }
        let middle = first + (last - first) / 2;
        let halves = [first..=middle, middle + 1..=last];
        let half = |range: RangeInclusive<u16>| {
            let within = |tags: &[u16]| tags.iter().copied().filter(|tag| range.contains(tag)).collect();
            LoadAdvertisement {
                at: self.at,
                outstanding: within(&self.outstanding),
                suspects: within(&self.suspects),
                range: range.clone(),
            }
        };
        halves.into_iter().flat_map(|range| half(range).into_parts()).collect()
    }

    /// The bytes of this part.
    pub fn encode(&self, audience: Audience) -> Vec<u8> {
        let kind = match audience {
            Audience::Group => GROUP_LOAD,
            Audience::SlotOwner => BORROWER_LOAD,
        };
        let (first, last) = self.range.clone().into_inner();
        let [high, low] = first.to_be_bytes();
        let common_bits = (last - first).leading_zeros() as u8;
        let head = if common_bits == 0 { vec![kind] } else { vec![kind | PART, common_bits, high, low] };
        let tags = self.suspects.iter().chain(&self.outstanding).flat_map(|tag| tag.to_be_bytes());
        head.into_iter().chain([self.suspects.len() as u8]).chain(tags).collect()
    }

    /// Reads an advertisement that arrives at this time, and whom it is for.
    fn decode(at: Micros, bytes: &[u8]) -> Option<(Audience, LoadAdvertisement)> {
        let (kind, rest) = bytes.split_first()?;
        let (range, rest) = if kind & PART == 0 { (0..=u16::MAX, rest) } else { decode_range(rest)? };
        let audience = match kind & !PART {
            GROUP_LOAD => Audience::Group,
            BORROWER_LOAD => Audience::SlotOwner,
            _ => return None,
        };
        let (suspect_count, tags) = rest.split_first()?;
        let is_whole = tags.len() % 2 == 0;
        let tags: Vec<u16> = tags.chunks_exact(2).map(|t| u16::from_be_bytes([t[0], t[1]])).collect();
        let (suspects, outstanding) = tags.split_at_checked(usize::from(*suspect_count))?;
        let is_valid = is_whole && tags.iter().all(|tag| range.contains(tag));
        is_valid
            .then(|| (audience, LoadAdvertisement::new(at, range, outstanding.to_vec(), suspects.to_vec())))
    }
}

/// The range of tags of a part, and the bytes that follow it.
fn decode_range(bytes: &[u8]) -> Option<(RangeInclusive<u16>, &[u8])> {
    let [common_bits @ 1..=16, high, low, rest @ ..] = bytes else { return None };
    let first = u16::from_be_bytes([*high, *low]);
    let others = u16::MAX.checked_shr((*common_bits).into()).unwrap_or(0);
    (first & others == 0).then_some((first..=first | others, rest))
}
