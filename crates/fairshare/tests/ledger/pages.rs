//! More tenants than the pages of one bucket have room for.

use super::support::{Publisher, SECOND, config, key, ledger, shares};

#[test]
fn many_tenants_fit_the_pages_over_time_and_none_is_lost() {
    let names: Vec<String> = (0..10_000).map(|n| format!("t{n}")).collect();
    let weights: Vec<(&str, u32)> = names.iter().map(|n| (n.as_str(), 1)).collect();
    let shares = shares(&weights);
    let mut publisher = Publisher::new(config(1), &shares, 0);
    let mut reader = ledger(7, &shares);
    // All tenants at once, one of them with a thousand times the traffic.
    for (n, name) in names.iter().enumerate() {
        publisher.serve(SECOND, name, if n == 3 { 1_000_000 } else { 1_000 });
    }
    let (mut now, mut slots) = (SECOND, std::collections::HashSet::new());
    while now < 110 * SECOND {
        now += SECOND / 2;
        for fact in publisher.publish(now) {
            slots.insert(fact.slot);
            fact.to(&mut reader, now).unwrap();
        }
    }
    assert!(slots.iter().all(|slot| *slot < 2_305), "{slots:?}");
    let figures = publisher.ledger.metrics();
    assert!(figures.carried > 0 && figures.broken == 0);
    for (n, name) in names.iter().enumerate() {
        let (there, here) =
            (publisher.ledger.known_usage(key(name), now), reader.known_usage(key(name), now));
        assert_eq!(there, here, "{n}");
        assert!(here.value > 0, "{n}: {here:?}");
    }
    // The heavy one went first.
    assert!(reader.known_usage(key("t3"), now).value > 100 * reader.known_usage(key("t4"), now).value);
}
