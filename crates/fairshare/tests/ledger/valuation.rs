//! The value of one more job, and changes of the shares.

use super::support::{Fleet, key, shares};
use mothproxy_fairshare::{JobValue, Position, Tier};

#[test]
fn each_tier_gives_its_value() {
    let shares = shares(&[("a", 1), ("b", 1), ("idle", 2), ("none", 0)]);
    let mut fleet = Fleet::new(2, &shares);
    // The values of the first and the last of 101 jobs that arrive at the same time.
    let first_and_last = |fleet: &mut Fleet, at: usize, tenant: &str| {
        let (now, ledger) = (fleet.now, &mut fleet.members[at].ledger);
        let first = ledger.job_value(key(tenant), 0, 10, now);
        (first, (0..100).fold(first, |_, _| ledger.job_value(key(tenant), 0, 10, now)))
    };
    // Tenant a uses 240 of its share of 250: at both members its jobs have full value at its pace, and at least 0.9 in a
    // burst.
    let rates = [(0, "a", 120), (1, "a", 120), (0, "b", 500), (1, "none", 40)];
    fleet.run(100, &rates, |_, _| true);
    for at in 0..2 {
        let (first, last) = first_and_last(&mut fleet, at, "a");
        assert_eq!(first, JobValue { fraction: 1.0, tier: Tier::Within });
        assert!(last.tier == Tier::Within && last.fraction >= 0.9, "{last:?}");
    }
    // Unused shares are lent, at values below those within a share. A tenant of weight 0 has the lowest value.
    let ((_, b), (none, _)) = (first_and_last(&mut fleet, 0, "b"), first_and_last(&mut fleet, 1, "none"));
    assert!(b.tier == Tier::Lent && b.fraction > 0.1 && b.fraction < 0.9, "{b:?}");
    assert_eq!((none.tier, none.fraction), (Tier::Over, 0.1));
    assert_eq!(first_and_last(&mut fleet, 0, "unlisted").0.tier, Tier::Over);
    // The idle tenant becomes active: its first job has full value, and as its usage grows, its share is no longer lent.
    assert_eq!(first_and_last(&mut fleet, 1, "idle").0.fraction, 1.0);
    fleet.run(40, &[(0, "a", 240), (0, "b", 500), (1, "idle", 490)], |_, _| true);
    let (_, b) = first_and_last(&mut fleet, 0, "b");
    assert!(b.fraction < 0.2 && b.tier >= Tier::Lent, "{b:?}");
    // During a partition, each member knows only its own usage of a, which is within the share. The possible usage at the
    // other member does not move a to another tier.
    fleet.run(60, &[(0, "a", 240), (1, "a", 240), (0, "b", 240), (1, "idle", 490)], |_, _| false);
    for at in 0..2 {
        let (_, last) = first_and_last(&mut fleet, at, "a");
        assert!(last.tier == Tier::Within && last.fraction >= 0.9, "{last:?}");
    }
    // After the partition heals, a is beyond its share and pays back: jobs within its reduced pace still have full value.
    for (from, to) in [(0, 1), (1, 0)] {
        let (published, now) = (fleet.members[from].published.clone(), fleet.now);
        published.iter().for_each(|f| f.absorb_into(&mut fleet.members[to].ledger, now).unwrap_or(()));
    }
    assert!(first_and_last(&mut fleet, 0, "a").1.tier >= Tier::Lent);
    fleet.run(2, &[], |_, _| true);
    let (first, last) = first_and_last(&mut fleet, 0, "a");
    assert_eq!(first, JobValue { fraction: 1.0, tier: Tier::Floor });
    assert!(last.tier >= Tier::Lent, "{last:?}");
}

#[test]
fn shares_change_while_older_reports_are_in_flight() {
    let (before, after) = (shares(&[("a", 1)]), shares(&[("a", 1), ("b", 3)]));
    let mut fleet = Fleet::new(2, &before);
    // Member 1 has the new shares with tenant b. Member 0 absorbs its reports before it has them.
    fleet.members[1].ledger.set_shares(&after).unwrap();
    fleet.run(30, &[(0, "a", 100), (1, "b", 200)], |_, _| true);
    let now = fleet.now;
    assert_eq!(fleet.members[0].ledger.job_value(key("b"), 0, 1, now).tier, Tier::Over);
    fleet.members[0].ledger.set_shares(&after).unwrap();
    let (late, early) = (0, 1);
    let positions: Vec<Position> =
        [late, early].iter().map(|at| fleet.members[*at].ledger.position(key("b"), now)).collect();
    assert_eq!((positions[0].share, positions[0].used.low > 0), (positions[1].share, true));
    // Tenant b is removed: it has no share any more, and its account is closed once its usage expires. The new tenant c has
    // its share immediately.
    for member in &mut fleet.members {
        member.ledger.set_shares(&shares(&[("a", 1), ("c", 1)])).unwrap();
    }
    fleet.run(1, &[], |_, _| true);
    let position = fleet.members[0].ledger.position(key("b"), fleet.now);
    assert!(position.share == 0 && position.used.low > 0);
    let (a, c) = (key("a"), key("c"));
    let [a, c] = [a, c].map(|k| fleet.members[0].ledger.position(k, fleet.now).share);
    assert_eq!(a, c);
    fleet.run(130, &[(0, "a", 100)], |_, _| true);
    assert_eq!(fleet.members[0].ledger.metrics().tenants, 2);
    assert_eq!(fleet.members[0].ledger.metrics().broken, 0);
}
