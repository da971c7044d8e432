//! Facts and usage that are refused, and how the refusals are counted.

use super::support::{Fact, Publisher, SECOND, UNIX_AT_ZERO, config, decayed, key, ledger, shares};
use mothproxy_fairshare::{AbsorbError, Config, Ledger, Origin, RecordError, Shares, Usage};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random and damaged facts are absorbed or refused without a panic. Absorbed usage expires with its bucket.
    #[test]
    fn malformed_facts_are_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0..40usize, flip in any::<(usize, u8)>(),
        place: u16, epoch: u64, slot: u32, number: u64,
    ) {
        let shares = shares(&[("a", 1)]);
        let mut publisher = Publisher::new(config(1), &shares, 0);
        (0..30).for_each(|n| publisher.serve(SECOND, &n.to_string(), 1 << n));
        let published = publisher.publish(3 * SECOND);
        let mut ledger = ledger(7, &shares);
        let origin = Origin { place, epoch };
        let _ = ledger.absorb(3 * SECOND, origin, slot, number, &bytes);
        for fact in &published {
            let mut damaged = fact.bytes.clone();
            damaged.truncate(damaged.len().saturating_sub(cut));
            if !damaged.is_empty() {
                let at = flip.0 % damaged.len();
                damaged[at] ^= flip.1;
            }
            let _ = ledger.absorb(3 * SECOND, fact.origin, fact.slot, number, &damaged);
            let longer = [&fact.bytes[..], &[0]].concat();
            prop_assert!(ledger.absorb(3 * SECOND, fact.origin, fact.slot, number, &longer).is_err());
        }
        let metrics = ledger.metrics();
        prop_assert!(metrics.tenants < 100 && metrics.broken == 0);
        ledger.position(key("a"), 300 * SECOND);
        prop_assert_eq!(ledger.metrics().tenants, 1, "the absorbed usage did not expire");
    }
}

/// The page on which a member publishes its usage of one tenant.
fn published_page(shares: &Shares) -> Fact {
    let mut publisher = Publisher::new(config(1), shares, 0);
    publisher.serve(SECOND, "a", 5);
    let facts = publisher.publish(SECOND);
    let (page, head) = (&facts[0], &facts[1]);
    assert_eq!((page.slot > 0, head.slot, facts.len()), (true, 0, 2));
    page.clone()
}

/// A fact that differs from another one.
fn changed(fact: &Fact, change: impl Fn(&mut Fact)) -> Fact {
    let mut fact = fact.clone();
    change(&mut fact);
    fact
}

#[test]
fn refused_facts_give_the_reason() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let mut ledger = ledger(7, &shares);
    let with = |change: &dyn Fn(&mut Fact)| changed(&page, change);
    // The receiver's time, the fact that arrives, and the result.
    let rows = [
        (SECOND, page.clone(), Ok(())),
        (SECOND, with(&|f| f.origin.place = 8), Err(AbsorbError::Place)),
        (SECOND, with(&|f| f.bytes[0] = 2), Err(AbsorbError::Version)),
        (SECOND, with(&|f| f.bytes.truncate(4)), Err(AbsorbError::Malformed)),
        (SECOND, with(&|f| f.slot += 64), Err(AbsorbError::Malformed)),
        (SECOND, with(&|f| f.bytes = vec![1; 161]), Err(AbsorbError::TooLong)),
        (118 * SECOND, with(&|f| f.number = 9), Ok(())),
        (121 * SECOND, with(&|f| f.number = 10), Err(AbsorbError::Late)),
    ];
    for (n, (now, fact, expected)) in rows.iter().enumerate() {
        assert_eq!(fact.absorb_into(&mut ledger, *now), *expected, "row {n}");
    }
}

#[test]
fn facts_beyond_the_maximum_clock_difference_are_refused() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let behind = |by: u64| Config { unix_at_zero: UNIX_AT_ZERO - by * SECOND, ..config(6) };
    for (by, expected) in [(5, Ok(())), (20, Err(AbsorbError::Future))] {
        let mut behind = Ledger::new(behind(by), &shares, 0).unwrap();
        assert_eq!(page.absorb_into(&mut behind, SECOND), expected, "{by} s behind");
        assert_eq!(behind.metrics().future, u64::from(expected.is_err()));
    }
}

/// The eight latest epochs of a place are kept, for any order of arrival of their facts. Their usage counts until it expires.
#[test]
fn the_latest_epochs_of_a_place_are_kept_and_older_ones_refused() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let mut ledger = ledger(7, &shares);
    for epoch in [3, 12, 4, 9, 10, 5, 8, 7, 6, 11] {
        let fact = changed(&page, |f| f.origin.epoch = UNIX_AT_ZERO / 1000 - 100 + epoch);
        let expected = if epoch == 3 || epoch >= 4 { Ok(()) } else { Err(AbsorbError::Epoch) };
        assert_eq!(fact.absorb_into(&mut ledger, SECOND), expected, "epoch {epoch}");
    }
    assert_eq!(
        changed(&page, |f| f.origin.epoch = 1).absorb_into(&mut ledger, SECOND),
        Err(AbsorbError::Epoch)
    );
    assert_eq!(ledger.metrics().members, 8);
    let expected = decayed(&[(SECOND, 8 * 5)], SECOND);
    assert_eq!(ledger.known_usage(key("a"), 0).value, expected as u64);
    let metrics = ledger.metrics();
    assert_eq!((metrics.foreign, metrics.absorbed), (1, 10));
}

#[test]
fn own_usage_outside_the_horizon_is_refused() {
    let mut ledger = ledger(7, &shares(&[("a", 1)]));
    let used = Usage { value: 1, work: 1 };
    assert_eq!(ledger.record(200 * SECOND, 60 * SECOND, key("a"), 0, used), Err(RecordError::Late));
    assert_eq!(ledger.record(200 * SECOND, 300 * SECOND, key("a"), 0, used), Err(RecordError::Future));
}
