//! The wire format of datagrams.
//!
//! A datagram consists of `version, checksum (4 bytes), kind, the sender's epoch, its incarnation`, the fields of the kind,
//! and then records until the end. Numbers are varints: seven bits per byte, the least significant first. An epoch after the
//! first is encoded as its signed difference from the sender's, since members of one group mostly start within hours. The
//! checksum covers the datagram, both places and the number of peers. So a damaged datagram is refused, and so is one
//! of a group with other peers.
//!
//! [`Writer`] keeps a datagram within [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES). [`read`] decodes a whole datagram or
//! refuses it.

mod reader;
mod writer;

#[cfg(test)]
mod tests;

pub(crate) use reader::{DatagramError, read};
pub(crate) use writer::Writer;

use crate::State;
use crate::hash::{extend, hash};
use crate::view::MemberVersion;

/// The number of hashes in a [`Body::Digest`], each of an equal part of all places.
pub(crate) const DIGEST_PARTS: usize = 32;
/// The position of the checksum.
const CHECKSUM_BYTES: std::ops::Range<usize> = 1..5;
/// The position of the kind. The checksum covers all bytes from here on.
const KIND_OFFSET: usize = 5;
/// The tag of a record that holds a fact; the tag of any other record is the state's rank.
const FACT_TAG: u8 = 5;

/// The values of the kind byte, one for each [`Body`].
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

/// The body of a datagram, by its purpose.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Body {
    /// A probe.
    Ping { seq: u32 },
    /// The answer to a probe, or to a `PingRequest` whose target answered.
    Ack { seq: u32 },
    /// Asks the receiver to probe this place and to forward the answer (SWIM's `ping-req`).
    PingRequest { seq: u32, target: u16 },
    /// The answer to a `PingRequest` whose target did not answer. It shows that the sender of this datagram is alive.
    Nack { seq: u32 },
    /// No body; the datagram carries records only.
    Gossip,
    /// Hashes of the sender's state of [`DIGEST_PARTS`] equal parts of all places.
    Digest { salt: u16, hashes: Vec<u32> },
    /// The sender's state of consecutive places.
    MemberPage(MemberPage),
    /// The keys and stamps of the facts that the sender holds of a place.
    FactList(FactList),
    /// Asks for facts of a place that the sender lacks.
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

/// The sender's state of consecutive places, from `first` on.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MemberPage {
    pub salt: u16,
    pub first: u16,
    pub rows: Vec<MemberRow>,
}

/// The state of one place in a [`MemberPage`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct MemberRow {
    pub state: State,
    pub version: MemberVersion,
    /// The salted hash of the facts of the place; 0 if there are none.
    pub facts_hash: u32,
}

/// The facts held of a place in descending order of stamps, from the newest, or the first below `below`, to the last listed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FactList {
    pub salt: u16,
    pub place: u16,
    /// The list begins below this stamp; with the newest fact if `None`.
    pub below: Option<Stamp>,
    /// The salted hash of all facts below the last one listed.
    pub rest_hash: u32,
    pub held: Vec<StampedKey>,
}

/// The key of a fact of a place. A later fact with the same key replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct FactKey {
    pub kind: u8,
    pub slot: u32,
}

/// The version of a fact; of two facts with one key the one with the greater stamp is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct Stamp {
    pub epoch: u64,
    pub number: u64,
}

/// A fact without its bytes, ordered by stamp.
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

/// The state of a place in the sender's view.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StateRecord {
    pub place: u16,
    pub state: State,
    pub version: MemberVersion,
    /// The members that got no answer from a suspect; empty for other states.
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

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Datagram {
    /// The sender's own version.
    pub sender: MemberVersion,
    pub body: Body,
    pub records: Vec<Record>,
}

/// The sender and the receiver of a datagram, and the number of peers of the group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub from: u16,
    pub to: u16,
    pub peers: u16,
}

impl Route {
    /// The checksum of a datagram on this route. `bytes` are those from the kind on.
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
