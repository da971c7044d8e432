//! Measurements of how fair a simulated outcome is.

use crate::setup::{CAPACITY, DISPATCHERS, LENDER, Policy, Scenario, TENANTS, WITHOUT_QUOTA};
use crate::simulation::{Outcome, simulate};
use serde_json::{Value, json};

/// The ratio of the jobs served to the jobs due over a span of seconds, for each tenant with a quota that was due more than
/// the fraction `above` of the capacity.
fn ratios(outcome: &Outcome, from: u64, to: u64, above: f64) -> Vec<f64> {
    let span = from as usize..to as usize;
    let ratio = |t: usize| {
        let due: f64 = outcome.due[span.clone()].iter().map(|second| second[t]).sum();
        let served: u64 = outcome.served[span.clone()].iter().map(|second| second[t]).sum();
        (due > above * (CAPACITY * (to - from)) as f64).then(|| served as f64 / due)
    };
    (0..TENANTS.len()).filter(|t| *t != WITHOUT_QUOTA).filter_map(ratio).collect()
}

/// The lowest and the highest ratio of the jobs served to the jobs due, and Jain's fairness index.
struct Fairness {
    worst: f64,
    best: f64,
    jain: f64,
}

impl Fairness {
    fn of(ratios: &[f64]) -> Fairness {
        let (total, squares) = (ratios.iter().sum::<f64>(), ratios.iter().map(|r| r * r).sum::<f64>());
        Fairness {
            worst: ratios.iter().copied().fold(f64::MAX, f64::min),
            best: ratios.iter().copied().fold(0.0, f64::max),
            jain: total * total / (ratios.len() as f64 * squares),
        }
    }
}

/// The number of seconds after `from` until each tenant that is due more than 5% of the capacity got its due within 5% over
/// the last 10 s, and still does during the next 10 s.
fn settling_time(outcome: &Outcome, from: u64, until: u64) -> Option<u64> {
    let is_close = |at: u64| ratios(outcome, at - 10, at, 0.05).iter().all(|r| (0.95..=1.05).contains(r));
    (from + 1..until - 10).find(|at| (*at..*at + 10).all(is_close)).map(|at| at - from)
}

/// A tenant's quota in jobs per second.
fn quota(t: usize) -> f64 {
    CAPACITY as f64 * f64::from(TENANTS[t].weight) / 101.0
}

/// The excess of a tenant during a partition, as a fraction of its bound; the maximum over all tenants. The excess is the
/// number of jobs that both sides together served within the quota, minus the quota. The bound is the quota times the duration
/// of the partition plus 2 s, times the number of other sides, which is 1.
fn excess_in_cut(outcome: &Outcome, scenario: &Scenario) -> Option<f64> {
    let cut = scenario.cut?;
    let excess = |t: usize| {
        let served: u64 =
            outcome.within_quota[cut.from as usize..cut.to as usize].iter().map(|second| second[t]).sum();
        let bound = quota(t) * ((cut.to - cut.from) + 2) as f64;
        (served as f64 - quota(t) * (cut.to - cut.from) as f64) / bound
    };
    Some((0..TENANTS.len()).filter(|t| *t != WITHOUT_QUOTA).map(excess).fold(f64::MIN, f64::max))
}

/// Prints the ratios of each 5 s on standard error, if the environment variable `SERIES` is set.
fn print_series(outcome: &Outcome, scenario: &Scenario, policy: Policy) {
    if std::env::var_os("SERIES").is_none() {
        return;
    }
    for at in (0..scenario.seconds).step_by(5) {
        let row: Vec<String> = ratios(outcome, at, at + 5, 0.0).iter().map(|r| format!("{r:.2}")).collect();
        eprintln!("{} {policy:?} {at}: {}", scenario.name, row.join(" "));
    }
}

/// Simulates a scenario under a policy and returns the measurements.
pub fn measure(scenario: &Scenario, policy: Policy, seed: u64) -> Value {
    let outcome = simulate(scenario, policy, seed);
    print_series(&outcome, scenario, policy);
    let (cut, restart) = (scenario.cut, scenario.restart);
    let healed = cut.map(|cut| cut.to).or(restart.map(|restart| restart.restarted)).unwrap_or(60);
    let overall = Fairness::of(&ratios(&outcome, 20, scenario.seconds, 0.0));
    let in_cut = cut.map(|cut| {
        let Fairness { worst, best, jain } = Fairness::of(&ratios(&outcome, cut.from, cut.to, 0.0));
        (worst, best, jain)
    });
    // The lowest ratio of a tenant that is due more than 5% of the capacity, over any 10 s after the fault.
    let windows =
        (healed..scenario.seconds - 10).map(|at| Fairness::of(&ratios(&outcome, at, at + 10, 0.05)).worst);
    let min_worst = windows.fold(f64::MAX, f64::min);
    let lender: u64 = outcome.served[42..48].iter().map(|second| second[LENDER]).sum();
    let member_seconds = scenario.seconds as f64 * DISPATCHERS as f64;
    json!({
        "story": scenario.name, "seed": seed, "policy": format!("{policy:?}"), "worst": overall.worst,
        "best": overall.best, "jain": overall.jain, "in_cut": in_cut,
        "settled_after_s": settling_time(&outcome, healed, scenario.seconds), "least_in_10_s": min_worst,
        "beyond_of_bound": excess_in_cut(&outcome, scenario),
        "lender_2_to_8_s": lender as f64 / (quota(LENDER) * 6.0), "facts": outcome.facts_published,
        "fact_bytes": outcome.bytes_published,
        "bytes_a_second_a_member": outcome.bytes_published as f64 / member_seconds,
        "carried_bytes": outcome.bytes_carried, "agree": outcome.is_agreed, "exact": outcome.is_exact,
        "broken": outcome.broken_invariants,
    })
}
