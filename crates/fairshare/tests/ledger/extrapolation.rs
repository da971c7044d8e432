//! Members whose reports stop, whose pages are lost, or that restart.

use super::support::{Fleet, Publisher, SECOND, UNIX_AT_ZERO, config, is_near, shares};
use mothproxy_fairshare::Config;

#[test]
fn a_silent_member_is_extrapolated_until_its_report_arrives() {
    let shares = shares(&[("a", 1), ("b", 1)]);
    let mut fleet = Fleet::new(2, &shares);
    let rates = [(0, "a", 100), (1, "a", 300), (1, "b", 400)];
    fleet.run(100, &rates, |_, _| true);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(is_near(low, 400.0) && low <= likely && likely <= high, "{low} {likely} {high}");
    // Member 1 continues to serve, but its reports are lost. Its known usage decays with a half-life of 16 s, and is
    // extrapolated at its last rate.
    let mut last = high;
    for _ in 0..4 {
        fleet.run(5, &rates, |from, _| from != 1);
        let [low, likely, high] = fleet.rates(0, "a");
        assert!(is_near(likely, 400.0), "{likely}");
        assert!(low < likely * 0.95 && high > last, "{low} {high} after {last}");
        last = high;
    }
    // All facts that member 1 has published arrive at the same time, the latest first.
    let mut late = fleet.members[1].published.clone();
    late.reverse();
    let now = fleet.now;
    late.iter().for_each(|f| f.absorb_into(&mut fleet.members[0].ledger, now).unwrap_or(()));
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(is_near(low, 400.0) && is_near(likely, 400.0) && is_near(high, 400.0), "{low} {likely} {high}");
    // Member 1 ends without a further report: after the maximum extrapolation and the horizon, none of its usage is left.
    fleet.run(60, &rates[..1], |from, _| from != 1);
    assert!(fleet.rates(0, "a")[1] > 250.0, "not extrapolated any longer after 60 s");
    fleet.run(190, &rates[..1], |from, _| from != 1);
    let [low, _, high] = fleet.rates(0, "a");
    assert!(is_near(low, 100.0) && is_near(high, 100.0), "{low} {high}");
    assert_eq!(fleet.members[0].ledger.metrics().members, 0);
}

#[test]
fn a_lost_page_is_a_gap_and_a_restart_ends_the_extrapolation() {
    let shares = shares(&[("a", 1)]);
    let mut fleet = Fleet::new(2, &shares);
    fleet.run(60, &[(1, "a", 200)], |_, _| true);
    // For 10 s all pages are lost, while the heads arrive.
    for _ in 0..40 {
        fleet.now += SECOND / 4;
        let now = fleet.now;
        fleet.members[1].serve(now, "a", 50);
        for fact in fleet.members[1].publish(now).iter().filter(|f| f.slot == 0) {
            fact.absorb_into(&mut fleet.members[0].ledger, now).unwrap();
        }
    }
    assert!(fleet.members[0].ledger.metrics().gaps >= 4);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(low < 150.0 && is_near(likely, 200.0) && high >= likely, "{low} {likely} {high}");
    // A restart: usage that the old epoch did not report is extrapolated up to the start of the new epoch, not beyond.
    let config = Config { epoch: (UNIX_AT_ZERO + fleet.now) / 1000, ..config(1) };
    fleet.members[1] = Publisher::new(config, &shares, fleet.now);
    fleet.run(2, &[(1, "a", 200)], |_, _| true);
    let [_, likely, _] = fleet.rates(0, "a");
    assert!(is_near(likely, 200.0), "{likely}");
    fleet.run(120, &[(1, "a", 200)], |_, _| true);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(is_near(low, 200.0) && is_near(likely, 200.0) && is_near(high, 200.0), "{low} {likely} {high}");
}
