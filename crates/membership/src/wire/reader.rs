//! Decoding of datagrams. A datagram is decoded as a whole or refused.

use super::{
    Body, CHECKSUM_BYTES, DIGEST_PARTS, Datagram, FACT_TAG, FactKey, FactList, FactRecord, KIND_OFFSET,
    MemberPage, MemberRow, Record, Route, Stamp, StampedKey, StateRecord, kind,
};
use crate::config::EPOCH_BOUND;
use crate::view::MemberVersion;
use crate::{MAX_DATAGRAM_BYTES, MAX_FACT_BYTES, State, VERSION};

/// All valid incarnations are below this, so that a forged one can still be refuted by a greater one.
const INCARNATION_BOUND: u32 = u32::MAX / 2;
/// All valid numbers of facts are below this, so that later facts can still replace a forged one.
const FACT_NUMBER_BOUND: u64 = u64::MAX / 2;
/// In the first byte of a [`MemberRow`]: the bits of the state.
const ROW_STATE_MASK: u8 = 7;
/// In the first byte of a [`MemberRow`]: whether a hash of facts follows.
const ROW_HAS_FACTS: u8 = 8;

/// Why a datagram is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The first byte is not [`VERSION`].
    #[error("the datagram is of another version")]
    UnknownVersion,
    /// The datagram is from a place that is not among the peers, or names one.
    #[error("the datagram is from or about a place that is not among the peers")]
    ForeignPlace,
    /// The datagram is truncated, its checksum is wrong, or a value in it is out of its range.
    #[error("the datagram is malformed")]
    Malformed,
}

/// Decodes a datagram.
pub(crate) fn read(bytes: &[u8], route: Route) -> Result<Datagram, DatagramError> {
    if route.from >= route.peers || route.from == route.to {
        return Err(DatagramError::ForeignPlace);
    }
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    if bytes.first() != Some(&VERSION) {
        return Err(DatagramError::UnknownVersion);
    }
    let body = bytes.get(KIND_OFFSET..).ok_or(DatagramError::Malformed)?;
    if route.checksum(body) != bytes[CHECKSUM_BYTES] {
        return Err(DatagramError::Malformed);
    }
    let mut reader = Reader { bytes: body, base_epoch: 0, peers: route.peers, names_foreign_place: false };
    let datagram = reader.datagram().ok_or(DatagramError::Malformed)?;
    if reader.names_foreign_place { Err(DatagramError::ForeignPlace) } else { Ok(datagram) }
}

/// The rest of a datagram. Each method takes one value off the front and returns `None` if there is no valid one.
struct Reader<'a> {
    bytes: &'a [u8],
    /// The sender's epoch, to which other epochs are relative.
    base_epoch: u64,
    peers: u16,
    /// Whether a place that is not among the peers was read.
    names_foreign_place: bool,
}

impl Reader<'_> {
    fn datagram(&mut self) -> Option<Datagram> {
        let kind = self.byte()?;
        self.base_epoch = self.varint().filter(|epoch| *epoch < EPOCH_BOUND)?;
        let sender = MemberVersion { epoch: self.base_epoch, incarnation: self.incarnation()? };
        let body = self.body(kind)?;
        let mut records = Vec::new();
        while !self.bytes.is_empty() {
            records.push(self.record()?);
        }
        Some(Datagram { sender, body, records })
    }

    fn body(&mut self, kind: u8) -> Option<Body> {
        Some(match kind {
            kind::PING => Body::Ping { seq: self.narrow_varint()? },
            kind::ACK => Body::Ack { seq: self.narrow_varint()? },
            kind::NACK => Body::Nack { seq: self.narrow_varint()? },
            kind::PING_REQUEST => Body::PingRequest { target: self.place()?, seq: self.narrow_varint()? },
            kind::GOSSIP => Body::Gossip,
            kind::DIGEST => Body::Digest {
                salt: self.salt()?,
                hashes: (0..DIGEST_PARTS).map(|_| self.hash()).collect::<Option<_>>()?,
            },
            kind::MEMBER_PAGE => {
                let (salt, first) = (self.salt()?, self.place()?);
                let rows = self.list(Self::member_row)?;
                self.names_foreign_place |= usize::from(first) + rows.len() > usize::from(self.peers);
                Body::MemberPage(MemberPage { salt, first, rows })
            }
            kind::FACT_LIST => Body::FactList(self.fact_list()?),
            kind::FACT_REQUEST => {
                Body::FactRequest { place: self.place()?, keys: self.list(Self::fact_key)? }
            }
            _ => return None,
        })
    }

    fn fact_list(&mut self) -> Option<FactList> {
        let (salt, place) = (self.salt()?, self.place()?);
        let below = match self.byte()? {
            0 => None,
            1 => Some(self.stamp()?),
            _ => return None,
        };
        let rest_hash = self.hash()?;
        let held = self.list(Self::stamped_key)?;
        Some(FactList { salt, place, below, rest_hash, held })
    }

    fn member_row(&mut self) -> Option<MemberRow> {
        let head = self.byte()?;
        let state = state(head & ROW_STATE_MASK).filter(|_| head <= ROW_STATE_MASK | ROW_HAS_FACTS)?;
        let version = match state {
            State::Unknown => MemberVersion::default(),
            _ => self.version()?,
        };
        let has_facts = head & ROW_HAS_FACTS != 0;
        let facts_hash = if has_facts { self.hash()? } else { 0 };
        Some(MemberRow { state, version, facts_hash })
    }

    fn record(&mut self) -> Option<Record> {
        let tag = self.byte()?;
        let place = self.place()?;
        if tag == FACT_TAG {
            return self.fact_record(place).map(Record::Fact);
        }
        let state = state(tag).filter(|state| *state != State::Unknown)?;
        let version = self.version()?;
        let accusers = if state == State::Suspect { self.list(Self::place)? } else { Vec::new() };
        Some(Record::State(StateRecord { place, state, version, accusers }))
    }

    fn fact_record(&mut self, place: u16) -> Option<FactRecord> {
        let (key, stamp, length) = (self.fact_key()?, self.stamp()?, usize::from(self.byte()?));
        let (bytes, rest) = self.bytes.split_at_checked(length).filter(|_| length <= MAX_FACT_BYTES)?;
        self.bytes = rest;
        Some(FactRecord { place, key, stamp, bytes: bytes.to_vec() })
    }

    /// A place. Sets `names_foreign_place` if it is not among the peers.
    fn place(&mut self) -> Option<u16> {
        let place = self.narrow_varint::<u16>()?;
        self.names_foreign_place |= place >= self.peers;
        Some(place)
    }

    fn version(&mut self) -> Option<MemberVersion> {
        Some(MemberVersion { epoch: self.epoch()?, incarnation: self.incarnation()? })
    }

    /// An epoch, decoded from its zigzag-encoded difference from the sender's epoch.
    fn epoch(&mut self) -> Option<u64> {
        let number = self.varint()?;
        let difference = (number >> 1) as i64 ^ -((number & 1) as i64);
        Some(self.base_epoch.wrapping_add(difference as u64)).filter(|epoch| *epoch < EPOCH_BOUND)
    }

    fn incarnation(&mut self) -> Option<u32> {
        self.narrow_varint::<u32>().filter(|incarnation| *incarnation < INCARNATION_BOUND)
    }

    fn stamped_key(&mut self) -> Option<StampedKey> {
        let key = self.fact_key()?;
        Some(StampedKey { stamp: self.stamp()?, key })
    }

    fn fact_key(&mut self) -> Option<FactKey> {
        Some(FactKey { kind: self.byte()?, slot: self.narrow_varint()? })
    }

    fn stamp(&mut self) -> Option<Stamp> {
        let stamp = Stamp { epoch: self.epoch()?, number: self.varint()? };
        Some(stamp).filter(|stamp| stamp.number < FACT_NUMBER_BOUND)
    }

    fn salt(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn hash(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    /// A list that begins with its length.
    fn list<T>(&mut self, mut read_item: impl FnMut(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        (0..self.byte()?).map(|_| read_item(self)).collect()
    }

    /// A varint, as a smaller type; `None` if it does not fit.
    fn narrow_varint<T: TryFrom<u64>>(&mut self) -> Option<T> {
        T::try_from(self.varint()?).ok()
    }

    /// A varint; `None` if it does not fit into 64 bits.
    fn varint(&mut self) -> Option<u64> {
        let mut number = 0_u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if shift == 63 && bits > 1 {
                return None;
            }
            number |= bits << shift;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.bytes.split_first_chunk::<N>()?;
        self.bytes = rest;
        Some(*first)
    }

    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        Some(*first)
    }
}

/// The state with this rank, which is the discriminant of [`State`].
fn state(rank: u8) -> Option<State> {
    [State::Unknown, State::Alive, State::Suspect, State::Dead, State::Left].get(usize::from(rank)).copied()
}
