//! What datagrams look like.
//!
//! `version, check (4 bytes), kind, the sender's epoch, its incarnation`, what the kind needs, then records until the end.
//! Numbers are varints (seven bits a byte, the least first); an epoch after the first is a signed difference from the
//! sender's, since members of one group mostly start within hours. The check covers the datagram, both places and their
//! number, so that neither a torn datagram nor one of a group with other peers is taken for one of this.

use crate::config::EPOCH_BOUND;
use crate::{FACT_BYTES, MOST, State, VERSION};

/// A datagram holds so many hashes of equal parts of all places.
pub(crate) const ROOTS: usize = 32;
const PING: u8 = 0;
const ACK: u8 = 1;
const RELAY: u8 = 2;
const NACK: u8 = 3;
const GOSSIP: u8 = 4;
const ROOT: u8 = 5;
const PAGE: u8 = 6;
const HAVE: u8 = 7;
const WANT: u8 = 8;
const FACT: u8 = 5;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Body {
    Ping {
        seq: u32,
    },
    Ack {
        seq: u32,
    },
    /// Ping this place for me.
    Relay {
        seq: u32,
        target: u16,
    },
    /// It did not answer me either, but I am here.
    Nack {
        seq: u32,
    },
    Gossip,
    /// Hashes of what the sender holds of equal parts of all places.
    Roots {
        salt: u16,
        roots: Vec<u32>,
    },
    /// What the sender holds of places in a row.
    Page {
        salt: u16,
        lo: u16,
        rows: Vec<Row>,
    },
    /// Which facts of a place the sender holds from its newest (or below `below`) down to the last named; and the hash of
    /// all it holds below that.
    Have {
        salt: u16,
        place: u16,
        below: Option<Stamp>,
        rest: u32,
        held: Vec<(Key, Stamp)>,
    },
    /// Facts of a place that the sender lacks.
    Want {
        place: u16,
        keys: Vec<Key>,
    },
}

/// What is believed of a place, and the hash of the facts held of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Row {
    pub state: State,
    pub epoch: u64,
    pub incarnation: u32,
    pub facts: u32,
}

/// Kind and slot.
pub(crate) type Key = (u8, u32);

/// Which of two facts of one key is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct Stamp {
    pub epoch: u64,
    pub number: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Record {
    State { place: u16, state: State, epoch: u64, incarnation: u32, accusers: Vec<u16> },
    Fact { place: u16, key: Key, stamp: Stamp, bytes: Vec<u8> },
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Datagram {
    pub epoch: u64,
    pub incarnation: u32,
    pub body: Body,
    pub records: Vec<Record>,
}

/// Why a datagram is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    Long,
    Version,
    Foreign,
    Malformed,
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number that looks random, the same everywhere, of several.
pub(crate) fn hash(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |h, p| mix(h ^ p).wrapping_add(0x9e37_79b9_7f4a_7c15))
}

/// Thirty-two bits of a hash, other ones for each salt, so that what is alike by chance once is not so for ever.
pub(crate) fn salted(hash_: u64, salt: u16) -> u32 {
    (hash(&[hash_, salt.into()]) >> 32) as u32
}

/// Who a datagram is from and to, and of how many.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub from: u16,
    pub to: u16,
    pub peers: u16,
}

impl Route {
    fn check(self, bytes: &[u8]) -> [u8; 4] {
        let route = u64::from(self.from) << 32 | u64::from(self.to) << 16 | u64::from(self.peers);
        let mut h = hash(&[route, bytes.len() as u64]);
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            h = mix(h ^ u64::from_le_bytes(word)).wrapping_add(0x9e37_79b9_7f4a_7c15);
        }
        ((h >> 32) as u32).to_le_bytes()
    }
}

/// A datagram that is being written.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    bytes: Vec<u8>,
    epoch: u64,
}

impl Writer {
    pub fn new(epoch: u64, incarnation: u32, body: &Body) -> Writer {
        let mut w = Writer { bytes: Vec::with_capacity(64), epoch };
        w.bytes.extend([VERSION, 0, 0, 0, 0, 0]);
        w.number(epoch);
        w.number(incarnation.into());
        let kind = match body {
            Body::Ping { seq } => w.seq(PING, *seq),
            Body::Ack { seq } => w.seq(ACK, *seq),
            Body::Nack { seq } => w.seq(NACK, *seq),
            Body::Relay { seq, target } => {
                w.number((*target).into());
                w.seq(RELAY, *seq)
            }
            Body::Gossip => GOSSIP,
            Body::Roots { salt, roots } => {
                w.bytes.extend(salt.to_le_bytes());
                roots.iter().for_each(|r| w.bytes.extend(r.to_le_bytes()));
                ROOT
            }
            Body::Page { salt, lo, rows } => {
                w.bytes.extend(salt.to_le_bytes());
                w.number((*lo).into());
                w.bytes.push(rows.len() as u8);
                rows.iter().for_each(|row| w.row(row));
                PAGE
            }
            Body::Have { salt, place, below, rest, held } => {
                w.bytes.extend(salt.to_le_bytes());
                w.number((*place).into());
                w.bytes.push(below.is_some().into());
                if let Some(below) = below {
                    w.stamp(*below);
                }
                w.bytes.extend(rest.to_le_bytes());
                w.bytes.push(held.len() as u8);
                for (key, stamp) in held {
                    w.key(*key);
                    w.stamp(*stamp);
                }
                HAVE
            }
            Body::Want { place, keys } => {
                w.number((*place).into());
                w.bytes.push(keys.len() as u8);
                keys.iter().for_each(|key| w.key(*key));
                WANT
            }
        };
        w.bytes[5] = kind;
        w
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Writes a record, unless the datagram would get too long.
    pub fn add(&mut self, record: &Record) -> bool {
        let before = self.bytes.len();
        match record {
            Record::State { place, state, epoch, incarnation, accusers } => {
                self.bytes.push(rank(*state));
                self.number((*place).into());
                self.epoch(*epoch);
                self.number((*incarnation).into());
                if *state == State::Suspect {
                    self.bytes.push(accusers.len() as u8);
                    accusers.iter().for_each(|a| self.number((*a).into()));
                }
            }
            Record::Fact { place, key, stamp, bytes } => {
                self.bytes.push(FACT);
                self.number((*place).into());
                self.key(*key);
                self.stamp(*stamp);
                self.bytes.push(bytes.len() as u8);
                self.bytes.extend(bytes);
            }
        }
        let fits = self.bytes.len() <= MOST;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    pub fn finish(mut self, route: Route) -> Vec<u8> {
        let check = route.check(&self.bytes[5..]);
        self.bytes[1..5].copy_from_slice(&check);
        self.bytes
    }

    fn seq(&mut self, kind: u8, seq: u32) -> u8 {
        self.number(seq.into());
        kind
    }

    fn number(&mut self, mut n: u64) {
        while n >= 0x80 {
            self.bytes.push(n as u8 | 0x80);
            n >>= 7;
        }
        self.bytes.push(n as u8);
    }

    fn epoch(&mut self, epoch: u64) {
        let d = epoch.wrapping_sub(self.epoch) as i64;
        self.number((d << 1 ^ d >> 63) as u64);
    }

    fn key(&mut self, (kind, slot): Key) {
        self.bytes.push(kind);
        self.number(slot.into());
    }

    fn stamp(&mut self, stamp: Stamp) {
        self.epoch(stamp.epoch);
        self.number(stamp.number);
    }

    fn row(&mut self, row: &Row) {
        let facts = row.facts != 0;
        self.bytes.push(rank(row.state) | u8::from(facts) << 3);
        if row.state != State::Unknown {
            self.epoch(row.epoch);
            self.number(row.incarnation.into());
        }
        if facts {
            self.bytes.extend(row.facts.to_le_bytes());
        }
    }
}

fn rank(state: State) -> u8 {
    state as u8
}

fn state(rank: u8) -> Option<State> {
    [State::Unknown, State::Alive, State::Suspect, State::Dead, State::Left].get(usize::from(rank)).copied()
}

struct Reader<'a> {
    bytes: &'a [u8],
    epoch: u64,
    peers: u16,
    foreign: bool,
}

impl Reader<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        Some(*first)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.bytes.split_first_chunk::<N>()?;
        self.bytes = rest;
        Some(*first)
    }

    fn number(&mut self) -> Option<u64> {
        let mut n = 0_u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if shift == 63 && bits > 1 {
                return None;
            }
            n |= bits << shift;
            if byte < 0x80 {
                return Some(n);
            }
        }
        None
    }

    fn small<T: TryFrom<u64>>(&mut self) -> Option<T> {
        T::try_from(self.number()?).ok()
    }

    fn place(&mut self) -> Option<u16> {
        let place = self.small::<u16>()?;
        self.foreign |= place >= self.peers;
        Some(place)
    }

    fn epoch(&mut self) -> Option<u64> {
        let n = self.number()?;
        let d = (n >> 1) as i64 ^ -((n & 1) as i64);
        Some(self.epoch.wrapping_add(d as u64)).filter(|e| *e < EPOCH_BOUND)
    }

    fn key(&mut self) -> Option<Key> {
        Some((self.byte()?, self.small()?))
    }

    fn stamp(&mut self) -> Option<Stamp> {
        let stamp = Stamp { epoch: self.epoch()?, number: self.number()? };
        Some(stamp).filter(|s| s.number < u64::MAX / 2)
    }

    fn row(&mut self) -> Option<Row> {
        let head = self.byte()?;
        let state = state(head & 7).filter(|_| head < 16)?;
        let (epoch, incarnation) = match state {
            State::Unknown => (0, 0),
            _ => (self.epoch()?, self.incarnation()?),
        };
        let facts = if head & 8 != 0 { u32::from_le_bytes(self.array()?) } else { 0 };
        Some(Row { state, epoch, incarnation, facts })
    }

    fn incarnation(&mut self) -> Option<u32> {
        self.small::<u32>().filter(|i| *i < u32::MAX / 2)
    }

    fn many<T>(&mut self, mut one: impl FnMut(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        (0..self.byte()?).map(|_| one(self)).collect()
    }

    fn body(&mut self, kind: u8) -> Option<Body> {
        Some(match kind {
            PING => Body::Ping { seq: self.small()? },
            ACK => Body::Ack { seq: self.small()? },
            NACK => Body::Nack { seq: self.small()? },
            RELAY => Body::Relay { target: self.place()?, seq: self.small()? },
            GOSSIP => Body::Gossip,
            ROOT => Body::Roots {
                salt: u16::from_le_bytes(self.array()?),
                roots: (0..ROOTS).map(|_| self.array().map(u32::from_le_bytes)).collect::<Option<_>>()?,
            },
            PAGE => {
                let (salt, lo) = (u16::from_le_bytes(self.array()?), self.place()?);
                let rows = self.many(Self::row)?;
                self.foreign |= usize::from(lo) + rows.len() > usize::from(self.peers);
                Body::Page { salt, lo, rows }
            }
            HAVE => {
                let (salt, place) = (u16::from_le_bytes(self.array()?), self.place()?);
                let below = match self.byte()? {
                    0 => None,
                    1 => Some(self.stamp()?),
                    _ => return None,
                };
                let rest = u32::from_le_bytes(self.array()?);
                Body::Have { salt, place, below, rest, held: self.many(|r| Some((r.key()?, r.stamp()?)))? }
            }
            WANT => Body::Want { place: self.place()?, keys: self.many(Self::key)? },
            _ => return None,
        })
    }

    fn record(&mut self) -> Option<Record> {
        let tag = self.byte()?;
        let place = self.place()?;
        if tag == FACT {
            let (key, stamp, len) = (self.key()?, self.stamp()?, usize::from(self.byte()?));
            let (bytes, rest) = self.bytes.split_at_checked(len).filter(|_| len <= FACT_BYTES)?;
            self.bytes = rest;
            return Some(Record::Fact { place, key, stamp, bytes: bytes.to_vec() });
        }
        let state = state(tag).filter(|s| *s != State::Unknown)?;
        let (epoch, incarnation) = (self.epoch()?, self.incarnation()?);
        let accusers = if state == State::Suspect { self.many(Self::place)? } else { Vec::new() };
        Some(Record::State { place, state, epoch, incarnation, accusers })
    }
}

/// Reads a datagram, whole or not at all.
pub(crate) fn read(bytes: &[u8], route: Route) -> Result<Datagram, Refusal> {
    if route.from >= route.peers || route.from == route.to {
        return Err(Refusal::Foreign);
    }
    if bytes.len() > MOST {
        return Err(Refusal::Long);
    }
    if bytes.first() != Some(&VERSION) {
        return Err(Refusal::Version);
    }
    let body = bytes.get(5..).ok_or(Refusal::Malformed)?;
    if route.check(body) != bytes[1..5] {
        return Err(Refusal::Malformed);
    }
    let mut r = Reader { bytes: body, epoch: 0, peers: route.peers, foreign: false };
    let datagram = (|| {
        let kind = r.byte()?;
        r.epoch = r.number().filter(|e| *e < EPOCH_BOUND)?;
        let (epoch, incarnation) = (r.epoch, r.incarnation()?);
        let body = r.body(kind)?;
        let mut records = Vec::new();
        while !r.bytes.is_empty() {
            records.push(r.record()?);
        }
        Some(Datagram { epoch, incarnation, body, records })
    })();
    match datagram {
        Some(_) if r.foreign => Err(Refusal::Foreign),
        Some(datagram) => Ok(datagram),
        None => Err(Refusal::Malformed),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ROUTE: Route = Route { from: 3, to: 7, peers: 300 };

    fn states() -> impl Strategy<Value = State> {
        prop::sample::select(vec![State::Alive, State::Suspect, State::Dead, State::Left])
    }

    fn stamps() -> impl Strategy<Value = Stamp> {
        (0..EPOCH_BOUND, 0..u64::MAX / 2).prop_map(|(epoch, number)| Stamp { epoch, number })
    }

    fn keys() -> impl Strategy<Value = Key> {
        (any::<u8>(), any::<u32>())
    }

    fn rows() -> impl Strategy<Value = Row> {
        (states(), 0..EPOCH_BOUND, 0..u32::MAX / 2, any::<u32>())
            .prop_map(|(state, epoch, incarnation, facts)| Row { state, epoch, incarnation, facts })
    }

    fn bodies() -> impl Strategy<Value = Body> {
        let seq = any::<u32>();
        prop_oneof![
            seq.prop_map(|seq| Body::Ping { seq }),
            seq.prop_map(|seq| Body::Ack { seq }),
            seq.prop_map(|seq| Body::Nack { seq }),
            (seq, 0..300_u16).prop_map(|(seq, target)| Body::Relay { seq, target }),
            Just(Body::Gossip),
            (any::<u16>(), prop::collection::vec(any::<u32>(), ROOTS))
                .prop_map(|(salt, roots)| Body::Roots { salt, roots }),
            (any::<u16>(), 0..290_u16, prop::collection::vec(rows(), 0..10))
                .prop_map(|(salt, lo, rows)| Body::Page { salt, lo, rows }),
            (any::<u16>(), 0..300_u16, prop::option::of(stamps()), any::<u32>())
                .prop_flat_map(|head| (Just(head), prop::collection::vec((keys(), stamps()), 0..6)))
                .prop_map(|((salt, place, below, rest), held)| Body::Have { salt, place, below, rest, held }),
            (0..300_u16, prop::collection::vec(keys(), 0..20))
                .prop_map(|(place, keys)| Body::Want { place, keys }),
        ]
    }

    fn records() -> impl Strategy<Value = Record> {
        let accusers = prop::collection::vec(0..300_u16, 0..4);
        prop_oneof![
            (0..300_u16, states(), 0..EPOCH_BOUND, 0..u32::MAX / 2, accusers).prop_map(
                |(place, state, epoch, incarnation, mut accusers)| {
                    accusers.retain(|_| state == State::Suspect);
                    Record::State { place, state, epoch, incarnation, accusers }
                }
            ),
            (0..300_u16, keys(), stamps(), prop::collection::vec(any::<u8>(), 0..FACT_BYTES))
                .prop_map(|(place, key, stamp, bytes)| Record::Fact { place, key, stamp, bytes }),
        ]
    }

    proptest! {
        /// What is written is read back; a datagram cut short, flipped in a bit or from another way round is refused.
        #[test]
        fn read_back(
            body in bodies(), records in prop::collection::vec(records(), 0..4), epoch in 0..EPOCH_BOUND, bit in any::<prop::sample::Index>(), cut in any::<prop::sample::Index>(),
        ) {
            let mut writer = Writer::new(epoch, 5, &body);
            prop_assume!(writer.len() <= MOST);
            let records: Vec<_> = records.into_iter().filter(|r| writer.add(r)).collect();
            let bytes = writer.finish(ROUTE);
            prop_assert!(bytes.len() <= MOST);
            prop_assert_eq!(read(&bytes, ROUTE), Ok(Datagram { epoch, incarnation: 5, body, records }));
            prop_assert!(read(&bytes[..cut.index(bytes.len())], ROUTE).is_err());
            prop_assert_eq!(read(&bytes, Route { from: 7, to: 3, peers: 300 }), Err(Refusal::Malformed));
            let mut flipped = bytes;
            let bit = bit.index(flipped.len() * 8);
            flipped[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(read(&flipped, ROUTE).is_err());
        }

        /// Whatever comes is read or refused; with a true check too, so that the reader itself is met.
        #[test]
        fn anything(bytes in prop::collection::vec(any::<u8>(), 0..300), checked in any::<bool>()) {
            let mut bytes = bytes;
            if checked && bytes.len() > 6 {
                bytes[0] = VERSION;
                bytes[5] %= 9;
                let check = ROUTE.check(&bytes[5..]);
                bytes[1..5].copy_from_slice(&check);
            }
            if let Ok(datagram) = read(&bytes, ROUTE) {
                prop_assert!(bytes.len() <= MOST && datagram.epoch < EPOCH_BOUND);
            }
        }
    }

    #[test]
    fn a_record_about_a_place_that_is_none_is_foreign() {
        let mut writer = Writer::new(9, 0, &Body::Gossip);
        let about = |place| Record::State {
            place,
            state: State::Alive,
            epoch: 9,
            incarnation: 0,
            accusers: Vec::new(),
        };
        assert!(writer.add(&about(300)));
        assert_eq!(read(&writer.finish(ROUTE), ROUTE), Err(Refusal::Foreign));
        assert_eq!(read(&[VERSION; 300], ROUTE), Err(Refusal::Long));
        assert_eq!(read(b"W123", ROUTE), Err(Refusal::Version));
        assert_eq!(read(&[VERSION; 3], ROUTE), Err(Refusal::Malformed));
        assert_eq!(read(&[VERSION; 9], Route { from: 300, ..ROUTE }), Err(Refusal::Foreign));
    }
}
