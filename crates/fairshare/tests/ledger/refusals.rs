//! Facts that are refused, and what is counted of them.

use super::support::{Fact, Publisher, SECOND, WALL, config, decayed, key, ledger, shares};
use mothproxy_fairshare::{AbsorbError, Config, Ledger, Origin, RecordError, Shares, Usage};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes from outside is taken or refused, and never held beyond what it says.
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
            let mut bent = fact.bytes.clone();
            bent.truncate(bent.len().saturating_sub(cut));
            if !bent.is_empty() {
                let at = flip.0 % bent.len();
                bent[at] ^= flip.1;
            }
            let _ = ledger.absorb(3 * SECOND, fact.origin, fact.slot, number, &bent);
            let longer = [&fact.bytes[..], &[0]].concat();
            prop_assert!(ledger.absorb(3 * SECOND, fact.origin, fact.slot, number, &longer).is_err());
        }
        let figures = ledger.metrics();
        prop_assert!(figures.tenants < 100 && figures.broken == 0);
        ledger.position(key("a"), 300 * SECOND);
        prop_assert_eq!(ledger.metrics().tenants, 1, "all of it ran out");
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
fn refused_facts_say_why() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let mut ledger = ledger(7, &shares);
    let with = |change: &dyn Fn(&mut Fact)| changed(&page, change);
    // When the receiver's clock shows this, and the report that comes.
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
    for (n, (now, fact, want)) in rows.iter().enumerate() {
        assert_eq!(fact.to(&mut ledger, *now), *want, "row {n}");
    }
}

#[test]
fn clocks_may_differ_by_seconds_and_not_by_more() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let behind = |by: u64| Config { unix_at_zero: WALL - by * SECOND, ..config(6) };
    for (by, want) in [(5, Ok(())), (20, Err(AbsorbError::Future))] {
        let mut behind = Ledger::new(behind(by), &shares, 0).unwrap();
        assert_eq!(page.to(&mut behind, SECOND), want, "{by} s behind");
        assert_eq!(behind.metrics().future, u64::from(want.is_err()));
    }
}

/// The latest eight epochs are held, whichever came first; those of two restarts ago count until they run out.
#[test]
fn the_latest_epochs_of_a_place_are_kept_and_older_ones_refused() {
    let shares = shares(&[("a", 1)]);
    let page = published_page(&shares);
    let mut ledger = ledger(7, &shares);
    for epoch in [3, 12, 4, 9, 10, 5, 8, 7, 6, 11] {
        let fact = changed(&page, |f| f.origin.epoch = WALL / 1000 - 100 + epoch);
        let want = if epoch == 3 || epoch >= 4 { Ok(()) } else { Err(AbsorbError::Epoch) };
        assert_eq!(fact.to(&mut ledger, SECOND), want, "epoch {epoch}");
    }
    assert_eq!(changed(&page, |f| f.origin.epoch = 1).to(&mut ledger, SECOND), Err(AbsorbError::Epoch));
    assert_eq!(ledger.metrics().members, 8);
    let want = decayed(&[(SECOND, 8 * 5)], SECOND);
    assert_eq!(ledger.known_usage(key("a"), 0).value, want as u64);
    let figures = ledger.metrics();
    assert_eq!((figures.foreign, figures.absorbed), (1, 10));
}

#[test]
fn own_usage_is_held_to_the_same_horizon() {
    let mut ledger = ledger(7, &shares(&[("a", 1)]));
    let used = Usage { value: 1, work: 1 };
    assert_eq!(ledger.record(200 * SECOND, 60 * SECOND, key("a"), 0, used), Err(RecordError::Late));
    assert_eq!(ledger.record(200 * SECOND, 300 * SECOND, key("a"), 0, used), Err(RecordError::Future));
}
