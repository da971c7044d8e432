//! The result does not depend on the order of the reports.

use super::support::{Fact, Publisher, SECOND, UNIX_AT_ZERO, config, decayed, key, ledger, shares};
use mothproxy_fairshare::{Config, Position, Shares, Usage};
use proptest::prelude::*;
use std::collections::HashMap;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "unlisted"];

#[derive(Clone, Copy, Debug)]
enum Step {
    Serve { member: usize, tenant: usize, amount: u64, ago: u64 },
    Correct { member: usize, tenant: usize, amount: u64, ago: u64 },
    Restart { member: usize },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let operation = || (0..3usize, 0..5usize, 1..200_000u64, 0..20u64);
    let step = prop_oneof![
        6 => operation().prop_map(|(member, tenant, amount, ago)| Step::Serve { member, tenant, amount, ago }),
        2 => operation().prop_map(|(member, tenant, amount, ago)| Step::Correct { member, tenant, amount, ago }),
        1 => (0..3usize).prop_map(|member| Step::Restart { member }),
        3 => (1..3_000u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

/// Members that publish after each step, all facts that they have published, and the actual usage.
struct History {
    shares: Shares,
    now: u64,
    members: Vec<Publisher>,
    facts: Vec<Fact>,
    /// The actual usage by tenant: the time and the amount of each use.
    actual: HashMap<usize, Vec<(u64, i64)>>,
}

impl History {
    fn new(shares: Shares) -> History {
        let now = 60 * SECOND;
        let members = (0..3).map(|place| Publisher::new(config(place), &shares, now)).collect();
        History { shares, now, members, facts: Vec::new(), actual: HashMap::new() }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Serve { member, tenant, amount, ago } => {
                let at = self.now - ago * SECOND;
                let used = Usage { value: amount, work: amount / 7 };
                self.members[member].ledger.record(self.now, at, key(NAMES[tenant]), 0, used).unwrap();
                self.actual.entry(tenant).or_default().push((at, amount as i64));
            }
            Step::Correct { member, tenant, amount, ago } => {
                let at = self.now - ago * SECOND;
                let excess = Usage { value: amount, work: 0 };
                let ledger = &mut self.members[member].ledger;
                let taken = ledger.correct(self.now, at, key(NAMES[tenant]), 0, excess).unwrap();
                assert!(taken.value <= amount);
                self.actual.entry(tenant).or_default().push((at, -(taken.value as i64)));
            }
            Step::Restart { member } => {
                // A restart loses unpublished usage, so the member publishes first.
                self.now += 2 * SECOND;
                self.facts.extend(self.members[member].publish(self.now));
                let config = Config { epoch: (UNIX_AT_ZERO + self.now) / 1000, ..config(member as u16) };
                self.members[member] = Publisher::new(config, &self.shares, self.now);
            }
            Step::Wait(ms) => self.now += ms * 1000,
        }
        self.publish();
    }

    fn publish(&mut self) {
        for member in &mut self.members {
            self.facts.extend(member.publish(self.now));
        }
    }

    /// Checks that the known usage of a ledger that absorbed all facts is the actual usage.
    fn check_known(&self, known: &[Usage]) {
        for (tenant, known) in known.iter().enumerate() {
            let expected = self.actual.get(&tenant).map_or(0.0, |uses| decayed(uses, self.now));
            let difference = (known.value as f64 - expected).abs();
            assert!(difference <= 1.0 + expected * 1e-6, "tenant {tenant}: {known:?}, expected {expected}");
        }
    }
}

/// The results of all queries of a ledger about the tenants.
#[derive(Debug, PartialEq)]
struct LedgerState {
    known: [Usage; 5],
    positions: [Position; 5],
    /// The bits of the value of one more job.
    job_values: [u64; 5],
}

/// The state of a ledger that absorbed these facts at `now`: the known usage at that time, and the rest 5 s later.
fn absorb_all(facts: Vec<Fact>, shares: &Shares, now: u64) -> LedgerState {
    let mut ledger = ledger(7, shares);
    for fact in facts {
        assert_eq!(fact.absorb_into(&mut ledger, now), Ok(()));
    }
    let known = NAMES.map(|name| ledger.known_usage(key(name), now));
    let later = now + 5 * SECOND;
    let rest = NAMES.map(|name| {
        let position = ledger.position(key(name), later);
        (position, ledger.job_value(key(name), 0, 1, later).fraction.to_bits())
    });
    assert_eq!(ledger.metrics().broken, 0);
    LedgerState {
        known,
        positions: rest.map(|(position, _)| position),
        job_values: rest.map(|(_, value)| value),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Ledgers that absorb the same reports in order, shuffled with duplicates, or only the last one of each slot, have
    /// exactly the same state. If no report was lost, the known usage is the actual usage.
    #[test]
    fn the_state_does_not_depend_on_the_order_of_reports(steps in steps(), seed: u64, loss in 0..3u32) {
        let mut history = History::new(shares(&[("a", 3), ("b", 1), ("c", 0), ("d", 2)]));
        steps.into_iter().for_each(|step| history.apply(step));
        history.now += 2 * SECOND;
        history.publish();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut facts = history.facts.clone();
        facts.retain(|_| loss < 2 || rng.u32(0..4) > 0);
        let has_loss = facts.len() < history.facts.len();
        let mut shuffled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
        rng.shuffle(&mut shuffled);
        let mut last = HashMap::new();
        for fact in &facts {
            last.insert((fact.origin, fact.slot), fact.clone());
        }
        let orders = [facts, shuffled, last.into_values().collect()];
        let states = orders.map(|facts| absorb_all(facts, &history.shares, history.now));
        if !has_loss {
            states.iter().for_each(|state| history.check_known(&state.known));
        }
        prop_assert_eq!(&states[0], &states[1]);
        prop_assert_eq!(&states[0], &states[2]);
    }
}
