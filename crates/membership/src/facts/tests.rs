//! Merging facts gives the same result in any order, with any repetition and in any grouping.

use super::*;
use proptest::prelude::*;

/// Facts with a distinct number each, so that two facts with the same stamp never differ.
fn records_of(seed: &[(u8, u8, u8, u16)]) -> Vec<FactRecord> {
    let to_record = |(n, (place, epoch, slot, noise)): (usize, &(u8, u8, u8, u16))| {
        let slot = if noise % 4 == 0 { 0 } else { u32::from(*slot % 8) };
        let stamp = Stamp { epoch: u64::from(epoch % 3), number: n as u64 };
        let key = FactKey { kind: slot as u8 % 2, slot };
        FactRecord { place: u16::from(place % 3), key, stamp, bytes: vec![*place, *noise as u8] }
    };
    seed.iter().enumerate().map(to_record).collect()
}

fn merged(facts: &[&FactRecord]) -> Facts {
    let mut all = Facts::default();
    for fact in facts {
        all.merge(fact.place, fact.key, fact.stamp, &fact.bytes);
    }
    all
}

proptest! {
    /// All orders, repetitions and groupings give the same state, and the incremental hash is that of the facts held.
    #[test]
    fn merge_gives_one_state_in_any_order_repetition_and_grouping(
        seed in prop::collection::vec(any::<(u8, u8, u8, u16)>(), 1..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
    ) {
        let facts = records_of(&seed);
        let once = merged(&facts.iter().collect::<Vec<_>>());
        let mut other: Vec<_> = order.iter().map(|i| i.get(&facts)).collect();
        other.extend(facts.iter().rev());
        let other = merged(&other);
        prop_assert_eq!(&once, &other);
        // Two replicas merge one part each, and one of them then merges the facts of the other.
        let (left, right) = facts.split_at(order.len() % facts.len());
        let (left, right) = (merged(&left.iter().collect::<Vec<_>>()), merged(&right.iter().collect::<Vec<_>>()));
        let mut both = right.clone();
        for fact in left.iter() {
            let key = FactKey { kind: fact.kind, slot: fact.slot };
            both.merge(fact.place, key, Stamp { epoch: fact.epoch, number: fact.number }, fact.bytes);
        }
        prop_assert_eq!(&both, &once);
        for place in 0..3 {
            prop_assert_eq!(once.hash(place), once.hash_below(place, None));
        }
        prop_assert_eq!(once.count(), once.iter().count());
    }
}

#[test]
fn keeps_the_latest_facts_of_a_place_in_any_order() {
    let facts: Vec<_> = (0..MAX_FACTS_PER_MEMBER as u64 + 300)
        .map(|n| FactRecord {
            place: 1,
            key: FactKey { kind: 1, slot: (n % (MAX_FACTS_PER_MEMBER as u64 + 100)) as u32 },
            stamp: Stamp { epoch: 1, number: n + 1 },
            bytes: vec![n as u8],
        })
        .collect();
    let forward = merged(&facts.iter().collect::<Vec<_>>());
    let reversed = merged(&facts.iter().rev().collect::<Vec<_>>());
    let (evens, odds): (Vec<_>, Vec<_>) = facts.iter().partition(|fact| fact.stamp.number % 2 == 0);
    assert_eq!(forward.count(), MAX_FACTS_PER_MEMBER);
    assert_eq!(forward, reversed);
    assert_eq!(forward, merged(&[odds, evens].concat()));
}
