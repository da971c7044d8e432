//! The parts of the proof, run side by side, and what they come to.

use crate::common::run_part;
use crate::day::{self, Day, DayPlan};
use crate::pool::{self, Comparison, Guess, PoolPlan};
use crate::{costs, slowdown};
use serde_json::Value;
use std::time::Instant;

/// A time limit that few jobs exceed, in times the middle of their class.
const GENEROUS_LIMIT: f64 = 12.0;
/// A time limit that cuts off a third of the jobs.
const HARD_LIMIT: f64 = 2.5;
/// The load of the pools, and of a nearly full one.
const LOAD: f64 = 0.8;
const FULL_LOAD: f64 = 0.9;
/// Rates of the slowdowns, in jobs per second.
const SLOWDOWN_RATES: [f64; 2] = [100.0, 20.0];
const GUESSES: [Guess; 5] =
    [Guess::True, Guess::Learned, Guess::Times(2.0), Guess::Times(0.5), Guess::Random];
/// Dispatchers of the days, and whether they share.
const DAYS: [(u16, bool); 7] =
    [(30, true), (10, true), (30, false), (10, false), (3, true), (3, false), (1, false)];
/// The day whose first estimator is measured.
const COSTS_DAY: usize = 1;

/// A day of dispatchers that share what they learn or do not.
pub struct SharedDay {
    pub dispatchers: u16,
    pub is_sharing: bool,
    pub day: Day,
}

/// A pool with estimates of one source.
pub struct GuessedPool {
    pub guess: Guess,
    pub comparison: Comparison,
}

/// What all parts come to.
pub struct Results {
    pub seed: u64,
    pub started: Instant,
    pub days: Vec<SharedDay>,
    /// A day on which a third of the jobs are cut off.
    pub censored: Day,
    /// The same with the seeded fault.
    pub faulty: Day,
    /// By the rates of the jobs.
    pub slowdowns: Vec<Value>,
    pub pools: Vec<GuessedPool>,
    pub full_pool: Comparison,
    pub costs: Value,
    /// Whether the crate's own tests pass.
    pub properties_hold: bool,
}

impl Results {
    /// Runs all parts with this seed.
    pub fn measure(seed: u64, started: Instant) -> Results {
        let mut results = simulate_all(seed, started);
        results.costs = costs::measure(seed, &mut results.days[COSTS_DAY].day.first);
        let cargo = ["cargo", "test", "--locked", "--release", "-q", "-p", "mothproxy-runtimes"];
        let properties = run_part("properties of the facts and of the arithmetic", &[], &cargo);
        results.properties_hold = properties.is_some();
        results
    }

    /// The day of so many dispatchers; the first one where there is none.
    pub fn day(&self, dispatchers: u16, is_sharing: bool) -> &Day {
        let is_meant = |day: &&SharedDay| (day.dispatchers, day.is_sharing) == (dispatchers, is_sharing);
        &self.days.iter().find(is_meant).unwrap_or(&self.days[0]).day
    }
}

/// Runs the simulations, each on a thread of its own.
fn simulate_all(seed: u64, started: Instant) -> Results {
    let alone = DayPlan { seed, dispatchers: 1, is_sharing: false, time_limit: HARD_LIMIT, has_fault: false };
    std::thread::scope(|scope| {
        let days = DAYS.map(|(dispatchers, is_sharing)| {
            let plan = DayPlan { dispatchers, is_sharing, time_limit: GENEROUS_LIMIT, ..alone };
            scope.spawn(move || SharedDay { dispatchers, is_sharing, day: day::simulate(plan) })
        });
        let censored = scope.spawn(move || day::simulate(alone));
        let faulty = scope.spawn(move || day::simulate(DayPlan { has_fault: true, ..alone }));
        let slowdowns = SLOWDOWN_RATES.map(|rate| scope.spawn(move || slowdown::measure(seed, rate)));
        let pools = GUESSES.map(|guess| {
            let plan = PoolPlan { seed, load: LOAD, guess };
            scope.spawn(move || GuessedPool { guess, comparison: pool::compare(plan) })
        });
        let full_plan = PoolPlan { seed, load: FULL_LOAD, guess: Guess::Learned };
        let full_pool = scope.spawn(move || pool::compare(full_plan));
        Results {
            seed,
            started,
            days: days.map(|thread| thread.join().expect("a day")).into(),
            censored: censored.join().expect("the day with a hard limit"),
            faulty: faulty.join().expect("the day with the fault"),
            slowdowns: slowdowns.map(|thread| thread.join().expect("a slowdown")).into(),
            pools: pools.map(|thread| thread.join().expect("a pool")).into(),
            full_pool: full_pool.join().expect("the full pool"),
            costs: Value::Null,
            properties_hold: false,
        }
    })
}
