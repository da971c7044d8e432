//! Usage of more tenants than the pages of one bucket have room for is carried over to later buckets.

use super::support::{Publisher, SECOND, config, key, ledger, shares};

#[test]
fn usage_beyond_the_pages_is_carried_over_and_none_is_lost() {
    let names: Vec<String> = (0..10_000).map(|n| format!("t{n}")).collect();
    let weights: Vec<(&str, u32)> = names.iter().map(|n| (n.as_str(), 1)).collect();
    let shares = shares(&weights);
    let mut publisher = Publisher::new(config(1), &shares, 0);
    let mut reader = ledger(7, &shares);
    // All tenants are served in the same bucket, one of them with 1,000 times the usage of the others.
    for (n, name) in names.iter().enumerate() {
        publisher.serve(SECOND, name, if n == 3 { 1_000_000 } else { 1_000 });
    }
    let (mut now, mut slots) = (SECOND, std::collections::HashSet::new());
    while now < 110 * SECOND {
        now += SECOND / 2;
        for fact in publisher.publish(now) {
            slots.insert(fact.slot);
            fact.absorb_into(&mut reader, now).unwrap();
        }
    }
    assert!(slots.iter().all(|slot| *slot < 2_305), "{slots:?}");
    let metrics = publisher.ledger.metrics();
    assert!(metrics.carried > 0 && metrics.broken == 0);
    for (n, name) in names.iter().enumerate() {
        let (published, received) =
            (publisher.ledger.known_usage(key(name), now), reader.known_usage(key(name), now));
        assert_eq!(published, received, "tenant {n}");
        assert!(received.value > 0, "tenant {n}: {received:?}");
    }
    // The largest amount was carried over first.
    assert!(reader.known_usage(key("t3"), now).value > 100 * reader.known_usage(key("t4"), now).value);
}
