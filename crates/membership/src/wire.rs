//! The wire format of datagrams.
//!
//! `version, checksum (4 bytes), kind, the sender's epoch, its incarnation`, what the kind needs, then records until the end.
//! Numbers are varints (seven bits a byte, the least significant first); an epoch after the first is a signed difference from
//! the sender's, since members of one group mostly start within hours. The checksum covers the datagram, both places and the
//! number of peers, so that neither a torn datagram nor one of a group with other peers is taken for one of this group.
//!
//! [`Writer`] writes a datagram within [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES), [`read`] reads one whole or not at all.

mod reader;
mod writer;

#[cfg(test)]
mod tests;

pub(crate) use reader::{DatagramError, read};
pub(crate) use writer::Writer;

use crate::State;
use crate::hash::{extend, hash};
use crate::view::MemberVersion;

/// So many hashes of equal parts of all places fill a [`Body::Digest`].
pub(crate) const DIGEST_PARTS: usize = 32;
/// Where the checksum stands.
const CHECKSUM_BYTES: std::ops::Range<usize> = 1..5;
/// Where the kind stands; the checksum covers all from here on.
const KIND_OFFSET: usize = 5;
/// The tag of a record that holds a fact; the tag of any other record is the state's rank.
const FACT_TAG: u8 = 5;

/// The byte that says what a datagram is.
mod kind {
    pub const PING: u8 = 0;
    pub const ACK: u8 = 1;
    pub const PING_REQUEST: u8 = 2;
    pub const NACK: u8 = 3;
    pub const GOSSIP: u8 = 4;
    pub const DIGEST: u8 = 5;
    pub const MEMBER_PAGE: u8 = 6;
    pub const FACT_LIST: u8 = 7;
    pub const FACT_REQUEST: u8 = 8;
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Body {
    /// A probe.
    Ping { seq: u32 },
    /// The answer to a probe, or to a request for one that was answered.
    Ack { seq: u32 },
    /// Asks for a probe of this place, whose answer is passed on (SWIM's `ping-req`).
    PingRequest { seq: u32, target: u16 },
    /// The requested probe was not answered either, but the sender of this is there.
    Nack { seq: u32 },
    /// Records alone.
    Gossip,
    /// Hashes of what the sender holds of [`DIGEST_PARTS`] equal parts of all places.
    Digest { salt: u16, hashes: Vec<u32> },
    /// What the sender holds of consecutive places.
    MemberPage(MemberPage),
    /// Which facts of a place the sender holds.
    FactList(FactList),
    /// Facts of a place that the sender lacks.
    FactRequest { place: u16, keys: Vec<FactKey> },
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::Ping { .. } => kind::PING,
            Body::Ack { .. } => kind::ACK,
            Body::PingRequest { .. } => kind::PING_REQUEST,
            Body::Nack { .. } => kind::NACK,
            Body::Gossip => kind::GOSSIP,
            Body::Digest { .. } => kind::DIGEST,
            Body::MemberPage(_) => kind::MEMBER_PAGE,
            Body::FactList(_) => kind::FACT_LIST,
            Body::FactRequest { .. } => kind::FACT_REQUEST,
        }
    }
}

/// What the sender holds of the places from `first` on.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MemberPage {
    pub salt: u16,
    pub first: u16,
    pub rows: Vec<MemberRow>,
}

/// What is believed of a place, and the salted hash of the facts held of it (0 for none).
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct MemberRow {
    pub state: State,
    pub version: MemberVersion,
    pub facts_hash: u32,
}

/// The facts held of a place from the newest (or from below `below`) down to the last one listed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FactList {
    pub salt: u16,
    pub place: u16,
    /// The list begins below this stamp; at the newest fact if absent.
    pub below: Option<Stamp>,
    /// The salted hash of all that is held below the last one listed.
    pub rest_hash: u32,
    pub held: Vec<StampedKey>,
}

/// What a fact of a place is about: a later fact of the same key replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct FactKey {
    pub kind: u8,
    pub slot: u32,
}

/// Which of two facts of one key is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct Stamp {
    pub epoch: u64,
    pub number: u64,
}

/// A fact without its bytes. The order is that of stamps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StampedKey {
    pub stamp: Stamp,
    pub key: FactKey,
}

/// An update that is piggybacked on a datagram, about any place.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Record {
    State(StateRecord),
    Fact(FactRecord),
}

/// What the sender believes of a place.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StateRecord {
    pub place: u16,
    pub state: State,
    pub version: MemberVersion,
    /// Who found a suspect not answering.
    pub accusers: Vec<u16>,
}

/// A fact that a place has published.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FactRecord {
    pub place: u16,
    pub key: FactKey,
    pub stamp: Stamp,
    pub bytes: Vec<u8>,
}

/// A datagram as it was read.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Datagram {
    /// The sender's own version.
    pub sender: MemberVersion,
    pub body: Body,
    pub records: Vec<Record>,
}

/// From whom and to whom a datagram is, and among how many peers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub from: u16,
    pub to: u16,
    pub peers: u16,
}

impl Route {
    /// The checksum of a datagram on this route, of its bytes from the kind on.
    fn checksum(self, bytes: &[u8]) -> [u8; 4] {
        let route = u64::from(self.from) << 32 | u64::from(self.to) << 16 | u64::from(self.peers);
        let mut digest = hash(&[route, bytes.len() as u64]);
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            digest = extend(digest, u64::from_le_bytes(word));
        }
        ((digest >> 32) as u32).to_le_bytes()
    }
}
