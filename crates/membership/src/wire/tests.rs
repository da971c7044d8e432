//! Tests that datagrams are decoded as they were encoded, and that other bytes are refused.

use super::*;
use crate::config::EPOCH_BOUND;
use crate::{MAX_DATAGRAM_BYTES, MAX_FACT_BYTES, VERSION};
use proptest::prelude::*;

const ROUTE: Route = Route { from: 3, to: 7, peers: 300 };

fn states() -> impl Strategy<Value = State> {
    prop::sample::select(vec![State::Alive, State::Suspect, State::Dead, State::Left])
}

fn stamps() -> impl Strategy<Value = Stamp> {
    (0..EPOCH_BOUND, 0..u64::MAX / 2).prop_map(|(epoch, number)| Stamp { epoch, number })
}

fn versions() -> impl Strategy<Value = MemberVersion> {
    (0..EPOCH_BOUND, 0..u32::MAX / 2).prop_map(|(epoch, incarnation)| MemberVersion { epoch, incarnation })
}

fn keys() -> impl Strategy<Value = FactKey> {
    (any::<u8>(), any::<u32>()).prop_map(|(kind, slot)| FactKey { kind, slot })
}

fn stamped_keys() -> impl Strategy<Value = StampedKey> {
    (keys(), stamps()).prop_map(|(key, stamp)| StampedKey { stamp, key })
}

fn rows() -> impl Strategy<Value = MemberRow> {
    (states(), versions(), any::<u32>()).prop_map(|(state, version, facts_hash)| MemberRow {
        state,
        version,
        facts_hash,
    })
}

fn bodies() -> impl Strategy<Value = Body> {
    let seq = any::<u32>();
    prop_oneof![
        seq.prop_map(|seq| Body::Ping { seq }),
        seq.prop_map(|seq| Body::Ack { seq }),
        seq.prop_map(|seq| Body::Nack { seq }),
        (seq, 0..300_u16).prop_map(|(seq, target)| Body::PingRequest { seq, target }),
        Just(Body::Gossip),
        (any::<u16>(), prop::collection::vec(any::<u32>(), DIGEST_PARTS))
            .prop_map(|(salt, hashes)| Body::Digest { salt, hashes }),
        (any::<u16>(), 0..290_u16, prop::collection::vec(rows(), 0..10))
            .prop_map(|(salt, first, rows)| Body::MemberPage(MemberPage { salt, first, rows })),
        (any::<u16>(), 0..300_u16, prop::option::of(stamps()), any::<u32>())
            .prop_flat_map(|head| (Just(head), prop::collection::vec(stamped_keys(), 0..6)))
            .prop_map(|((salt, place, below, rest_hash), held)| {
                Body::FactList(FactList { salt, place, below, rest_hash, held })
            }),
        (0..300_u16, prop::collection::vec(keys(), 0..20))
            .prop_map(|(place, keys)| Body::FactRequest { place, keys }),
    ]
}

fn records() -> impl Strategy<Value = Record> {
    let accusers = prop::collection::vec(0..300_u16, 0..4);
    prop_oneof![
        (0..300_u16, states(), versions(), accusers).prop_map(|(place, state, version, mut accusers)| {
            accusers.retain(|_| state == State::Suspect);
            Record::State(StateRecord { place, state, version, accusers })
        }),
        (0..300_u16, keys(), stamps(), prop::collection::vec(any::<u8>(), 0..MAX_FACT_BYTES))
            .prop_map(|(place, key, stamp, bytes)| Record::Fact(FactRecord { place, key, stamp, bytes })),
    ]
}

proptest! {
    /// An encoded datagram decodes to the same values. It is refused if it is truncated, if a bit is flipped, or if its sender
    /// and receiver are swapped.
    #[test]
    fn decodes_encoded_datagrams_and_refuses_altered_ones(
        body in bodies(), records in prop::collection::vec(records(), 0..4), epoch in 0..EPOCH_BOUND, bit in any::<prop::sample::Index>(), cut in any::<prop::sample::Index>(),
    ) {
        let sender = MemberVersion { epoch, incarnation: 5 };
        let mut writer = Writer::new(sender, &body);
        prop_assume!(writer.len() <= MAX_DATAGRAM_BYTES);
        let records: Vec<_> = records.into_iter().filter(|r| writer.add(r)).collect();
        let bytes = writer.finish(ROUTE);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(read(&bytes, ROUTE), Ok(Datagram { sender, body, records }));
        prop_assert!(read(&bytes[..cut.index(bytes.len())], ROUTE).is_err());
        prop_assert_eq!(read(&bytes, Route { from: 7, to: 3, peers: 300 }), Err(DatagramError::Malformed));
        let mut flipped = bytes;
        let bit = bit.index(flipped.len() * 8);
        flipped[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(read(&flipped, ROUTE).is_err());
    }

    /// Random bytes are decoded or refused without a panic. Some have a valid checksum, so that they reach the decoder.
    #[test]
    fn decodes_or_refuses_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300), has_checksum in any::<bool>()) {
        let mut bytes = bytes;
        if has_checksum && bytes.len() > 6 {
            bytes[0] = VERSION;
            bytes[5] %= 9;
            let checksum = ROUTE.checksum(&bytes[5..]);
            bytes[1..5].copy_from_slice(&checksum);
        }
        if let Ok(datagram) = read(&bytes, ROUTE) {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES && datagram.sender.epoch < EPOCH_BOUND);
        }
    }
}

#[test]
fn refuses_datagrams_from_or_about_unknown_places_and_of_wrong_length_or_version() {
    let version = MemberVersion { epoch: 9, incarnation: 0 };
    let mut writer = Writer::new(version, &Body::Gossip);
    let about =
        |place| Record::State(StateRecord { place, state: State::Alive, version, accusers: Vec::new() });
    assert!(writer.add(&about(300)));
    assert_eq!(read(&writer.finish(ROUTE), ROUTE), Err(DatagramError::ForeignPlace));
    assert_eq!(read(&[VERSION; 300], ROUTE), Err(DatagramError::TooLong));
    assert_eq!(read(b"W123", ROUTE), Err(DatagramError::UnknownVersion));
    assert_eq!(read(&[VERSION; 3], ROUTE), Err(DatagramError::Malformed));
    assert_eq!(read(&[VERSION; 9], Route { from: 300, ..ROUTE }), Err(DatagramError::ForeignPlace));
}
