//! The datagrams that dispatchers send each other, as typed messages and as bytes.
//!
//! The first byte is the message type. In a load advertisement, the second byte is the number of suspect workers. The short tags
//! of the suspect workers follow, then those of the workers with outstanding work, one for each slot. Each tag takes two bytes in
//! big-endian order. The message contains everything that its sender advertises.
//!
//! If there are more than [`MAX_TAGS`] tags, the advertisement is sent in parts, with the bit [`PART`] set in the first byte. In
//! a part, two values follow the first byte: the number of leading bits that the tags of the part have in common, in one byte,
//! and the first tag of the part's range, in two bytes. The rest is the same as in a whole advertisement.

use crate::policy::interface::{Micros, ZoneId};
use std::ops::RangeInclusive;

/// The bit of the first byte that marks a part of a load advertisement.
const PART: u8 = 0x20;
/// The first byte of a load advertisement to the sender's group.
const GROUP_LOAD: u8 = b'W';
/// The first byte of a load advertisement to a slot owner.
const BORROWER_LOAD: u8 = b'G';
/// The first byte of a request for a slot.
const SLOT_REQUEST: u8 = b'A';
/// The first byte of an offer of a slot.
const SLOT_OFFER: u8 = b'O';
/// The maximum number of short tags in a message, so that it fits into the longest datagram allowed.
const MAX_TAGS: usize = 120;

/// The recipients of a load advertisement, which determine whose workers it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// The other dispatchers of the sender's group. The advertisement covers the workers of this group.
    Group,
    /// A dispatcher of another group that offered a slot. The advertisement covers the workers of that group.
    SlotOwner,
}

/// A message of another dispatcher.
#[derive(Debug)]
pub(super) enum Message {
    /// A load advertisement or a part of one.
    Load(Audience, LoadAdvertisement),
    /// A request for a slot, if possible in this zone.
    SlotRequest(ZoneId),
    /// An offer of a slot at the worker with this short tag.
    SlotOffer(u16),
}

impl Message {
    /// Decodes a message that arrives at the time `at`. Returns `None` if the bytes are not a valid message.
    pub fn decode(at: Micros, bytes: &[u8]) -> Option<Message> {
        match bytes {
            [SLOT_REQUEST, zone] => Some(Message::SlotRequest(ZoneId(u16::from(*zone)))),
            [SLOT_OFFER, high, low] => Some(Message::SlotOffer(u16::from_be_bytes([*high, *low]))),
            _ => LoadAdvertisement::decode(at, bytes).map(|(audience, load)| Message::Load(audience, load)),
        }
    }
}

/// Encodes a request for a slot, if possible in this zone. Only the low byte of the zone's number is sent.
pub(super) fn encode_slot_request(zone: ZoneId) -> Vec<u8> {
    vec![SLOT_REQUEST, zone.0 as u8]
}

/// Encodes an offer of a slot at the worker with this short tag.
pub(super) fn encode_slot_offer(tag: u16) -> Vec<u8> {
    let [high, low] = tag.to_be_bytes();
    vec![SLOT_OFFER, high, low]
}

/// The load that a dispatcher advertises for the workers in a range of short tags, which may be all tags.
#[derive(Debug)]
pub(super) struct LoadAdvertisement {
    /// When the advertisement was sent or received.
    pub at: Micros,
    /// The range of short tags that the advertisement covers.
    pub range: RangeInclusive<u16>,
    /// The short tags of workers with outstanding work, one for each slot; sorted.
    pub outstanding: Vec<u16>,
    /// The short tags of suspect workers; sorted.
    pub suspects: Vec<u16>,
}

impl LoadAdvertisement {
    /// Creates an advertisement for the workers in a range of short tags. The tags may be in any order.
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

    /// The number of slots that are occupied at the worker with this short tag.
    pub fn slots_at(&self, tag: u16) -> usize {
        self.outstanding.partition_point(|other| *other <= tag)
            - self.outstanding.partition_point(|other| *other < tag)
    }

    /// Removes the load of the workers in this range.
    pub fn remove(&mut self, range: &RangeInclusive<u16>) {
        self.outstanding.retain(|tag| !range.contains(tag));
        self.suspects.retain(|tag| !range.contains(tag));
    }

    /// Splits the advertisement into parts of at most [`MAX_TAGS`] tags. A range with more tags is halved recursively, so that
    /// there are few parts and a change at one worker changes only one of them. If the dispatcher has more slots outstanding at a
    /// single worker than fit into a message, the excess is left out, because the worker is full in any case.
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

    /// Encodes this advertisement or part.
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

    /// Decodes an advertisement that arrives at the time `at`, and its audience. Returns `None` if the bytes are not valid.
    fn decode(at: Micros, bytes: &[u8]) -> Option<(Audience, LoadAdvertisement)> {
        let (kind, rest) = bytes.split_first()?;
        let (range, rest) = if kind & PART == 0 { (0..=u16::MAX, rest) } else { decode_range(rest)? };
        let audience = match kind & !PART {
            GROUP_LOAD => Audience::Group,
            BORROWER_LOAD => Audience::SlotOwner,
            _ => return None,
        };
        let (suspect_count, tags) = rest.split_first()?;
        let has_whole_tags = tags.len() % 2 == 0;
        let tags: Vec<u16> =
            tags.chunks_exact(2).map(|pair| u16::from_be_bytes([pair[0], pair[1]])).collect();
        let (suspects, outstanding) = tags.split_at_checked(usize::from(*suspect_count))?;
        let is_valid = has_whole_tags && tags.iter().all(|tag| range.contains(tag));
        is_valid
            .then(|| (audience, LoadAdvertisement::new(at, range, outstanding.to_vec(), suspects.to_vec())))
    }
}

/// Decodes the range of short tags of a part. Returns it with the bytes that follow, or `None` if the range is not valid.
fn decode_range(bytes: &[u8]) -> Option<(RangeInclusive<u16>, &[u8])> {
    let [common_bits @ 1..=16, high, low, rest @ ..] = bytes else { return None };
    let first = u16::from_be_bytes([*high, *low]);
    let varying_bits = u16::MAX.checked_shr((*common_bits).into()).unwrap_or(0);
    (first & varying_bits == 0).then_some((first..=first | varying_bits, rest))
}
