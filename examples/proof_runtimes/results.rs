//! Runs all simulations in parallel, and collects their results.

use crate::common::run_part;
use crate::day::{self, Scenario, ScenarioResult};
use crate::pool::{self, Comparison, EstimateSource, PoolScenario};
use crate::{costs, slowdown};
use serde_json::Value;
use std::time::Instant;

/// A time limit that few jobs exceed, as a multiple of the scale of their class.
const GENEROUS_LIMIT: f64 = 12.0;
/// A time limit that cuts off a third of the jobs, as a multiple of the scale of their class.
const HARD_LIMIT: f64 = 2.5;
/// The load of the pools.
const LOAD: f64 = 0.8;
/// The load of a nearly full pool.
const FULL_LOAD: f64 = 0.9;
/// The rates of jobs in the simulations of slowdowns, per second.
const SLOWDOWN_RATES: [f64; 2] = [100.0, 20.0];
const ESTIMATE_SOURCES: [EstimateSource; 5] = [
    EstimateSource::True,
    EstimateSource::Learned,
    EstimateSource::Times(2.0),
    EstimateSource::Times(0.5),
    EstimateSource::Random,
];
/// The groups of dispatchers: their number, and whether they share observations.
const GROUPS: [(u16, bool); 7] =
    [(30, true), (10, true), (30, false), (10, false), (3, true), (3, false), (1, false)];
/// The index of the group whose first estimator is used to measure costs.
const COSTS_GROUP: usize = 1;

/// The results of a group of dispatchers.
pub struct GroupResult {
    pub dispatchers: u16,
    /// Whether the dispatchers share observations.
    pub is_sharing: bool,
    pub result: ScenarioResult,
}

/// The results of a pool with one source of estimates.
pub struct PoolResult {
    pub estimate_source: EstimateSource,
    pub comparison: Comparison,
}

/// The results of all simulations and measurements.
pub struct Results {
    pub seed: u64,
    pub started: Instant,
    pub groups: Vec<GroupResult>,
    /// A simulation in which a third of the jobs are cut off.
    pub censored: ScenarioResult,
    /// The simulation of `censored` with the injected fault.
    pub faulty: ScenarioResult,
    /// The results of the slowdowns, in the order of [`SLOWDOWN_RATES`].
    pub slowdowns: Vec<Value>,
    pub pools: Vec<PoolResult>,
    pub full_pool: Comparison,
    pub costs: Value,
    /// Whether the tests of the crate `mothproxy-runtimes` passed.
    pub properties_hold: bool,
}

impl Results {
    /// Runs all simulations with this seed, measures the costs, and runs the tests of the crate.
    pub fn measure(seed: u64, started: Instant) -> Results {
        let mut results = simulate_all(seed, started);
        results.costs = costs::measure(seed, &mut results.groups[COSTS_GROUP].result.first);
        let cargo = ["cargo", "test", "--locked", "--release", "-q", "-p", "mothproxy-runtimes"];
        let properties = run_part("properties of the facts and of the arithmetic", &[], &cargo);
        results.properties_hold = properties.is_some();
        results
    }

    /// The results of the group of this size, or those of the first group if there is no such group.
    pub fn group_result(&self, dispatchers: u16, is_sharing: bool) -> &ScenarioResult {
        let is_match =
            |group: &&GroupResult| (group.dispatchers, group.is_sharing) == (dispatchers, is_sharing);
        &self.groups.iter().find(is_match).unwrap_or(&self.groups[0]).result
    }
}

/// Runs all simulations, each on its own thread.
fn simulate_all(seed: u64, started: Instant) -> Results {
    let alone =
        Scenario { seed, dispatchers: 1, is_sharing: false, time_limit: HARD_LIMIT, has_fault: false };
    std::thread::scope(|scope| {
        let groups = GROUPS.map(|(dispatchers, is_sharing)| {
            let scenario = Scenario { dispatchers, is_sharing, time_limit: GENEROUS_LIMIT, ..alone };
            scope.spawn(move || GroupResult { dispatchers, is_sharing, result: day::simulate(scenario) })
        });
        let censored = scope.spawn(move || day::simulate(alone));
        let faulty = scope.spawn(move || day::simulate(Scenario { has_fault: true, ..alone }));
        let slowdowns = SLOWDOWN_RATES.map(|rate| scope.spawn(move || slowdown::measure(seed, rate)));
        let pools = ESTIMATE_SOURCES.map(|estimate_source| {
            let pool_scenario = PoolScenario { seed, load: LOAD, estimate_source };
            scope.spawn(move || PoolResult { estimate_source, comparison: pool::compare(pool_scenario) })
        });
        let full_scenario = PoolScenario { seed, load: FULL_LOAD, estimate_source: EstimateSource::Learned };
        let full_pool = scope.spawn(move || pool::compare(full_scenario));
        Results {
            seed,
            started,
            groups: groups.map(|thread| thread.join().expect("the simulation of a group finishes")).into(),
            censored: censored.join().expect("the simulation with a hard limit finishes"),
            faulty: faulty.join().expect("the simulation with the injected fault finishes"),
            slowdowns: slowdowns
                .map(|thread| thread.join().expect("the simulation of a slowdown finishes"))
                .into(),
            pools: pools.map(|thread| thread.join().expect("the simulation of a pool finishes")).into(),
            full_pool: full_pool.join().expect("the simulation of the full pool finishes"),
            costs: Value::Null,
            properties_hold: false,
        }
    })
}
