//! The ledger: the same bits in whatever order of reports, positions beside a model that sees everything, and the hard cases.

use mothproxy_fairshare::{
    AbsorbError, Config, Installation, JobValue, Ledger, Origin, Position, RecordError, Shares, Tenant,
    TenantKey, Tier, Usage,
};
use proptest::prelude::*;
use std::collections::HashMap;

const SECOND: u64 = 1_000_000;
/// Unix time at the models' time 0.
const WALL: u64 = 1_700_000_000 * SECOND;

fn shares(weights: &[(&str, u32)]) -> Shares {
    let tenant =
        |(name, weight): &(&str, u32)| Tenant { name: name.to_string(), weight: *weight, classes: vec![] };
    let home = Installation { name: "home".into(), weight: 1, tenants: weights.iter().map(tenant).collect() };
    Shares { installations: vec![home] }
}

fn config(me: u16) -> Config {
    Config { me, epoch: WALL / 1000, wall_at_zero: WALL, peers: 8, rate: 1_000, ..Config::default() }
}

fn ledger(me: u16, shares: &Shares) -> Ledger {
    Ledger::new(config(me), shares, 0).unwrap()
}

fn key(name: &str) -> TenantKey {
    TenantKey::from_name(name)
}

#[derive(Clone, Debug)]
struct Fact {
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

impl Fact {
    fn to(&self, ledger: &mut Ledger, now: u64) -> Result<(), AbsorbError> {
        ledger.absorb(now, self.origin, self.slot, self.number, &self.bytes)
    }
}

/// A member and all facts that it published.
struct Publisher {
    origin: Origin,
    ledger: Ledger,
    published: Vec<Fact>,
}

impl Publisher {
    fn new(config: Config, shares: &Shares, now: u64) -> Publisher {
        let origin = Origin { place: config.me, epoch: config.epoch };
        Publisher { origin, ledger: Ledger::new(config, shares, now).unwrap(), published: Vec::new() }
    }

    fn serve(&mut self, now: u64, tenant: &str, value: u64) {
        self.ledger.record(now, now, key(tenant), 0, Usage { value, work: value * 3 }).unwrap();
    }

    /// Publishes what there is; returns these facts.
    fn publish(&mut self, now: u64) -> Vec<Fact> {
        let from = self.published.len();
        while let Some((slot, bytes)) = self.ledger.publish(now) {
            assert!(bytes.len() <= 160, "{} bytes", bytes.len());
            self.published.push(Fact {
                origin: self.origin,
                slot,
                number: self.published.len() as u64 + 1,
                bytes,
            });
        }
        self.published[from..].to_vec()
    }
}

/// What a use of long ago counts now, by the definition.
fn decayed(uses: &[(u64, i64)], now: u64) -> f64 {
    let Config { bucket, half_life, .. } = Config::default();
    let begun = |at: u64| ((WALL + at) / bucket * bucket) as f64;
    let now = ((WALL + now) / (bucket / 16) * (bucket / 16)) as f64; // the present has a resolution of sixteenths
    let age = |at: u64| (now - begun(at)) / (bucket * u64::from(half_life)) as f64;
    uses.iter().map(|(at, amount)| *amount as f64 * (-age(*at)).exp2()).sum()
}

#[derive(Clone, Debug)]
enum Step {
    Serve { member: usize, tenant: usize, amount: u64, ago: u64 },
    Correct { member: usize, tenant: usize, amount: u64, ago: u64 },
    Restart { member: usize },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let of = || (0..3usize, 0..5usize, 1..200_000u64, 0..20u64);
    let step = prop_oneof![
        6 => of().prop_map(|(member, tenant, amount, ago)| Step::Serve { member, tenant, amount, ago }),
        2 => of().prop_map(|(member, tenant, amount, ago)| Step::Correct { member, tenant, amount, ago }),
        1 => (0..3usize).prop_map(|member| Step::Restart { member }),
        3 => (1..3_000u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Ledgers that took the same reports, in order, shuffled with repeats, or only the last of each slot, agree in every
    /// bit, and where nothing was lost with what was really used.
    #[test]
    fn the_order_of_reports_does_not_matter(steps in steps(), seed: u64, lose in 0..3u32) {
        let names = ["a", "b", "c", "d", "unlisted"];
        let shares = shares(&[("a", 3), ("b", 1), ("c", 0), ("d", 2)]);
        let mut now = 60 * SECOND;
        let mut members: Vec<Publisher> = (0..3).map(|me| Publisher::new(config(me), &shares, now)).collect();
        let (mut facts, mut truth) = (Vec::new(), HashMap::<usize, Vec<(u64, i64)>>::new());
        for step in steps {
            match step {
                Step::Serve { member, tenant, amount, ago } => {
                    let at = now - ago * SECOND;
                    let used = Usage { value: amount, work: amount / 7 };
                    members[member].ledger.record(now, at, key(names[tenant]), 0, used).unwrap();
                    truth.entry(tenant).or_default().push((at, amount as i64));
                }
                Step::Correct { member, tenant, amount, ago } => {
                    let at = now - ago * SECOND;
                    let less = Usage { value: amount, work: 0 };
                    let taken = members[member].ledger.correct(now, at, key(names[tenant]), 0, less).unwrap();
                    prop_assert!(taken.value <= amount);
                    truth.entry(tenant).or_default().push((at, -(taken.value as i64)));
                }
                Step::Restart { member } => {
                    // What it has not published is lost with it: let it publish first.
                    now += 2 * SECOND;
                    facts.extend(members[member].publish(now));
                    let config = Config { epoch: (WALL + now) / 1000, ..config(member as u16) };
                    members[member] = Publisher::new(config, &shares, now);
                }
                Step::Wait(ms) => now += ms * 1000,
            }
            for member in &mut members {
                facts.extend(member.publish(now));
            }
        }
        now += 2 * SECOND;
        for member in &mut members {
            facts.extend(member.publish(now));
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let all = facts.len();
        facts.retain(|_| lose < 2 || rng.u32(0..4) > 0);
        let lost = facts.len() < all;
        let mut shuffled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
        rng.shuffle(&mut shuffled);
        let mut last = HashMap::new();
        for fact in &facts {
            last.insert((fact.origin, fact.slot), fact.clone());
        }
        let orders = [facts, shuffled, last.into_values().collect()];
        let later = now + 5 * SECOND;
        let mut views = Vec::new();
        for facts in orders {
            let mut ledger = ledger(7, &shares);
            for fact in facts {
                prop_assert_eq!(fact.to(&mut ledger, now), Ok(()));
            }
            let known = names.map(|name| ledger.known_usage(key(name), now));
            for (tenant, known) in known.iter().enumerate().filter(|_| !lost) {
                let want = truth.get(&tenant).map_or(0.0, |uses| decayed(uses, now));
                prop_assert!((known.value as f64 - want).abs() <= 1.0 + want * 1e-6, "{tenant}: {known:?} {want}");
            }
            let rest = names.map(|name| {
                (ledger.position(key(name), later), ledger.job_value(key(name), 0, 1, later).fraction.to_bits())
            });
            let view = (known, rest);
            prop_assert_eq!(ledger.metrics().broken, 0);
            views.push(view);
        }
        prop_assert_eq!(&views[0], &views[1]);
        prop_assert_eq!(&views[0], &views[2]);
    }

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

#[test]
fn refused_facts_are_counted() {
    let shares = shares(&[("a", 1)]);
    let mut publisher = Publisher::new(config(1), &shares, 0);
    publisher.serve(SECOND, "a", 5);
    let facts = publisher.publish(SECOND);
    let (page, head) = (&facts[0], &facts[1]);
    assert_eq!((page.slot > 0, head.slot, facts.len()), (true, 0, 2));
    let mut ledger = ledger(7, &shares);
    let with = |change: &dyn Fn(&mut Fact)| {
        let mut fact = page.clone();
        change(&mut fact);
        fact
    };
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
    // Clocks off by seconds are lived with, by more they are not.
    let behind = |by: u64| Config { wall_at_zero: WALL - by * SECOND, ..config(6) };
    for (by, want) in [(5, Ok(())), (20, Err(AbsorbError::Future))] {
        let mut behind = Ledger::new(behind(by), &shares, 0).unwrap();
        assert_eq!(page.to(&mut behind, SECOND), want, "{by} s behind");
        assert_eq!(behind.metrics().future, u64::from(want.is_err()));
    }
    // Epochs: the latest eight are held, whichever came first; those of two restarts ago count until they run out.
    let mut ledger = Ledger::new(config(7), &shares, 0).unwrap();
    for epoch in [3, 12, 4, 9, 10, 5, 8, 7, 6, 11] {
        let fact = with(&|f| f.origin.epoch = WALL / 1000 - 100 + epoch);
        let want = if epoch == 3 || epoch >= 4 { Ok(()) } else { Err(AbsorbError::Epoch) };
        assert_eq!(fact.to(&mut ledger, SECOND), want, "epoch {epoch}");
    }
    assert_eq!(with(&|f| f.origin.epoch = 1).to(&mut ledger, SECOND), Err(AbsorbError::Epoch));
    assert_eq!(ledger.metrics().members, 8);
    let want = decayed(&[(SECOND, 8 * 5)], SECOND);
    assert_eq!(ledger.known_usage(key("a"), 0).value, want as u64);
    let figures = ledger.metrics();
    assert_eq!((figures.foreign, figures.absorbed), (1, 10));
    // Own use is held to the same horizon.
    let used = Usage { value: 1, work: 1 };
    assert_eq!(ledger.record(200 * SECOND, 60 * SECOND, key("a"), 0, used), Err(RecordError::Late));
    assert_eq!(ledger.record(200 * SECOND, 300 * SECOND, key("a"), 0, used), Err(RecordError::Future));
}

/// Members that serve tenants at even rates and tell each other, but for what a case holds back.
struct Fleet {
    members: Vec<Publisher>,
    now: u64,
}

impl Fleet {
    fn new(members: u16, shares: &Shares) -> Fleet {
        Fleet { members: (0..members).map(|me| Publisher::new(config(me), shares, 0)).collect(), now: 0 }
    }

    /// For so many seconds, each member serves what `rates` says a second; `is_delivered(from, to)` says whose facts arrive.
    fn run(
        &mut self,
        seconds: u64,
        rates: &[(usize, &str, u64)],
        is_delivered: impl Fn(usize, usize) -> bool,
    ) {
        for _ in 0..seconds * 4 {
            self.now += SECOND / 4;
            for (member, tenant, rate) in rates {
                self.members[*member].serve(self.now, tenant, rate / 4);
            }
            for from in 0..self.members.len() {
                let facts = self.members[from].publish(self.now);
                for to in (0..self.members.len()).filter(|to| *to != from && is_delivered(from, *to)) {
                    facts.iter().for_each(|f| f.to(&mut self.members[to].ledger, self.now).unwrap());
                }
            }
        }
    }

    /// A tenant's position at a member, in units a second.
    fn rates(&mut self, at: usize, tenant: &str) -> [f64; 3] {
        let ledger = &mut self.members[at].ledger;
        let (used, memory) = (ledger.position(key(tenant), self.now).used, ledger.memory() as f64 / 1e6);
        [used.low, used.likely, used.high].map(|n| n as f64 / memory)
    }
}

fn near(is: f64, want: f64) -> bool {
    (is - want).abs() <= want.abs() * 0.03
}

#[test]
fn a_silent_member_is_extrapolated_until_its_report_arrives() {
    let shares = shares(&[("a", 1), ("b", 1)]);
    let mut fleet = Fleet::new(2, &shares);
    let rates = [(0, "a", 100), (1, "a", 300), (1, "b", 400)];
    fleet.run(100, &rates, |_, _| true);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(near(low, 400.0) && low <= likely && likely <= high, "{low} {likely} {high}");
    // Member 1 falls silent and goes on: half of what it did is forgotten in 16 s, and extrapolated at its last rate.
    let mut last = high;
    for _ in 0..4 {
        fleet.run(5, &rates, |from, _| from != 1);
        let [low, likely, high] = fleet.rates(0, "a");
        assert!(near(likely, 400.0), "{likely}");
        assert!(low < likely * 0.95 && high > last, "{low} {high} after {last}");
        last = high;
    }
    // All that it published meanwhile arrives at once, the latest first.
    let mut late = fleet.members[1].published.clone();
    late.reverse();
    let now = fleet.now;
    late.iter().for_each(|f| f.to(&mut fleet.members[0].ledger, now).unwrap_or(()));
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(near(low, 400.0) && near(likely, 400.0) && near(high, 400.0), "{low} {likely} {high}");
    // It ends for good without a report: after the time over which it is extrapolated, nothing of it is left.
    fleet.run(60, &rates[..1], |from, _| from != 1);
    assert!(fleet.rates(0, "a")[1] > 250.0, "still extrapolated after a minute");
    fleet.run(190, &rates[..1], |from, _| from != 1);
    let [low, _, high] = fleet.rates(0, "a");
    assert!(near(low, 100.0) && near(high, 100.0), "{low} {high}");
    assert_eq!(fleet.members[0].ledger.metrics().members, 0);
}

#[test]
fn a_lost_page_is_a_gap_and_a_restart_ends_the_extrapolation() {
    let shares = shares(&[("a", 1)]);
    let mut fleet = Fleet::new(2, &shares);
    fleet.run(60, &[(1, "a", 200)], |_, _| true);
    // A bucket whose page is lost while the head comes.
    for _ in 0..40 {
        fleet.now += SECOND / 4;
        let now = fleet.now;
        fleet.members[1].serve(now, "a", 50);
        for fact in fleet.members[1].publish(now).iter().filter(|f| f.slot == 0) {
            fact.to(&mut fleet.members[0].ledger, now).unwrap();
        }
    }
    assert!(fleet.members[0].ledger.metrics().gaps >= 4);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(low < 150.0 && near(likely, 200.0) && high >= likely, "{low} {likely} {high}");
    // A restart: what the old epoch did not publish is extrapolated up to the new one's start, not beyond.
    let config = Config { epoch: (WALL + fleet.now) / 1000, ..config(1) };
    fleet.members[1] = Publisher::new(config, &shares, fleet.now);
    fleet.run(2, &[(1, "a", 200)], |_, _| true);
    let [_, likely, _] = fleet.rates(0, "a");
    assert!(near(likely, 200.0), "{likely}");
    fleet.run(120, &[(1, "a", 200)], |_, _| true);
    let [low, likely, high] = fleet.rates(0, "a");
    assert!(near(low, 200.0) && near(likely, 200.0) && near(high, 200.0), "{low} {likely} {high}");
}

#[test]
fn each_tier_keeps_its_promise() {
    let shares = shares(&[("a", 1), ("b", 1), ("idle", 2), ("none", 0)]);
    let mut fleet = Fleet::new(2, &shares);
    // The value of the first of many jobs at once, and of the last.
    let first_and_last = |fleet: &mut Fleet, at: usize, tenant: &str| {
        let (now, ledger) = (fleet.now, &mut fleet.members[at].ledger);
        let first = ledger.job_value(key(tenant), 0, 10, now);
        (first, (0..100).fold(first, |_, _| ledger.job_value(key(tenant), 0, 10, now)))
    };
    // Within the share of 250: full value at its pace, and hardly less for a burst, here and there.
    let rates = [(0, "a", 120), (1, "a", 120), (0, "b", 500), (1, "none", 40)];
    fleet.run(100, &rates, |_, _| true);
    for at in 0..2 {
        let (first, last) = first_and_last(&mut fleet, at, "a");
        assert_eq!(first, JobValue { fraction: 1.0, tier: Tier::Within });
        assert!(last.tier == Tier::Within && last.fraction >= 0.9, "{last:?}");
    }
    // What nobody uses is lent, below all that is promised; a weight of 0 is last.
    let ((_, b), (none, _)) = (first_and_last(&mut fleet, 0, "b"), first_and_last(&mut fleet, 1, "none"));
    assert!(b.tier == Tier::Lent && b.fraction > 0.1 && b.fraction < 0.9, "{b:?}");
    assert_eq!((none.tier, none.fraction), (Tier::Over, 0.1));
    assert_eq!(first_and_last(&mut fleet, 0, "unlisted").0.tier, Tier::Over);
    // The lender comes back: its first job has full value, and what was lent is given back as it fills its share.
    assert_eq!(first_and_last(&mut fleet, 1, "idle").0.fraction, 1.0);
    fleet.run(40, &[(0, "a", 240), (0, "b", 500), (1, "idle", 490)], |_, _| true);
    let (_, b) = first_and_last(&mut fleet, 0, "b");
    assert!(b.fraction < 0.2 && b.tier >= Tier::Lent, "{b:?}");
    // Without reports from the other side, a tenant is within its share on both sides: never refused for what might be.
    fleet.run(60, &[(0, "a", 240), (1, "a", 240), (0, "b", 240), (1, "idle", 490)], |_, _| false);
    for at in 0..2 {
        let (_, last) = first_and_last(&mut fleet, at, "a");
        assert!(last.tier == Tier::Within && last.fraction >= 0.9, "{last:?}");
    }
    // Healed, it pays back: beyond its share, but its first job of a second, of those it has left, at full value.
    for (from, to) in [(0, 1), (1, 0)] {
        let (published, now) = (fleet.members[from].published.clone(), fleet.now);
        published.iter().for_each(|f| f.to(&mut fleet.members[to].ledger, now).unwrap_or(()));
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
    // Member 1 has b already; 0 takes its reports before it knows of b.
    fleet.members[1].ledger.set_shares(&after).unwrap();
    fleet.run(30, &[(0, "a", 100), (1, "b", 200)], |_, _| true);
    let now = fleet.now;
    assert_eq!(fleet.members[0].ledger.job_value(key("b"), 0, 1, now).tier, Tier::Over);
    fleet.members[0].ledger.set_shares(&after).unwrap();
    let (here, there) = (0, 1);
    let positions: Vec<Position> =
        [here, there].iter().map(|at| fleet.members[*at].ledger.position(key("b"), now)).collect();
    assert_eq!((positions[0].share, positions[0].used.low > 0), (positions[1].share, true));
    // Removed: no share, use runs out, the book is closed; given another share: at once.
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
