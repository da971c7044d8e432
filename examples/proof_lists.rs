//! `make proof-lists`: up to 1,024 callers with the program's own watch implementation at a slow discovery service, on a virtual
//! clock (`docs/design/lists.md`). Each line summarizes 25 simulated services (2 to 50 ms per call; calls wait for at most 0.5 to
//! 6 s) that treat abandoned calls alike. The last line is JSON; the exit code is 1 if a caller is starved. `proof_lists NAME`
//! also prints each service for the scenarios whose names contain NAME.

#[path = "../tests/common/lists/mod.rs"]
mod lists;

use lists::scenario::{AbandonedCallCost, MS, Outcome, RunConfig, Scenario};
use lists::simulation::run;
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::Instant;

const CALLERS: [u32; 6] = [10, 30, 100, 300, 350, 1_024];
const CALLS_MS: [u64; 5] = [2, 5, 10, 20, 50];
const WAITS_MS: [u64; 5] = [500, 1_000, 2_500, 3_000, 6_000];
const SEED: u64 = 7;

/// The outcomes of one scenario with one number of callers, at all services that treat abandoned calls alike.
struct Summary {
    scenario: Scenario,
    callers: u32,
    cost: AbandonedCallCost,
    outcomes: Vec<Outcome>,
}

impl Summary {
    /// Runs the scenario with all services. Prints each outcome if the scenario's name contains `shown`.
    fn run(scenario: Scenario, callers: u32, cost: AbandonedCallCost, shown: Option<&str>) -> Summary {
        let is_shown = shown.is_some_and(|shown| format!("{scenario:?}").contains(shown));
        let mut outcomes = Vec::new();
        for call in CALLS_MS {
            for wait in WAITS_MS {
                let outcome = run(RunConfig {
                    scenario,
                    callers,
                    call_time: call * MS,
                    max_wait: wait * MS,
                    abandoned_call_cost: cost,
                    seed: SEED,
                });
                if is_shown {
                    println!("{call} ms per call, maximum wait {wait} ms, {cost:?}: {outcome:?}");
                }
                outcomes.push(outcome);
            }
        }
        Summary { scenario, callers, cost, outcomes }
    }

    /// The mean of a measure over the services.
    fn mean(&self, measure: fn(&Outcome) -> u64) -> f64 {
        self.outcomes.iter().map(measure).sum::<u64>() as f64 / self.outcomes.len() as f64
    }

    /// The mean of a measure over the services, divided by the number of callers.
    fn per_caller(&self, measure: fn(&Outcome) -> u64) -> f64 {
        self.mean(measure) / f64::from(self.callers)
    }

    fn print(&self) {
        println!(
            "{:16} {:5} {:8} late {:.3} of which {:.3} inevitable, never {:.3}; per caller: \
             calls {:.2} refused {:.2} cut {:.2}; wasted {:6.0} ms; p50 {:6.0} p99 {:6.0} max {:6} ms",
            format!("{:?}", self.scenario),
            self.callers,
            format!("{:?}", self.cost),
            self.per_caller(|outcome| outcome.late.into()),
            self.per_caller(|outcome| outcome.beyond_capacity.into()),
            self.per_caller(|outcome| outcome.never.into()),
            self.per_caller(|outcome| outcome.calls.into()),
            self.per_caller(|outcome| outcome.refused.into()),
            self.per_caller(|outcome| outcome.timed_out.into()),
            self.mean(|outcome| outcome.wasted / MS),
            self.mean(|outcome| outcome.p50 / MS),
            self.mean(|outcome| outcome.p99 / MS),
            self.outcomes.iter().map(|outcome| outcome.max / MS).max().unwrap_or(0),
        );
    }

    /// The number of callers that never get a list; 0 for services that do not notice when a caller has disconnected.
    fn starved(&self) -> u32 {
        if self.cost == AbandonedCallCost::Late {
            return 0;
        }
        self.outcomes.iter().map(|outcome| outcome.never).sum()
    }

    /// The row of this summary in the JSON of the last line.
    fn to_json(&self) -> Value {
        json!([
            format!("{:?}", self.scenario),
            self.callers,
            format!("{:?}", self.cost),
            self.per_caller(|outcome| outcome.late.into()),
            self.per_caller(|outcome| outcome.never.into()),
            self.per_caller(|outcome| outcome.calls.into()),
        ])
    }
}

fn main() -> ExitCode {
    const COSTS: [AbandonedCallCost; 3] =
        [AbandonedCallCost::Nothing, AbandonedCallCost::Gone, AbandonedCallCost::Late];
    let started = Instant::now();
    let shown = std::env::args().nth(1);
    let mut starved = 0;
    let mut rows = Vec::new();
    for scenario in Scenario::ALL {
        for callers in CALLERS {
            for cost in COSTS {
                let summary = Summary::run(scenario, callers, cost, shown.as_deref());
                summary.print();
                starved += summary.starved();
                rows.push(summary.to_json());
            }
        }
    }
    let passed = starved == 0;
    println!(
        "{}",
        json!({"proof": "lists", "held": passed, "seed": SEED, "seconds": started.elapsed().as_secs_f64().round(),
               "scenario, callers, pays, late, never, calls": rows})
    );
    ExitCode::from(u8::from(!passed))
}
