//! `make proof-lists`: up to 1,024 of the program's own watches before a slow list service, on a virtual clock
//! (`docs/design/lists.md`). Each line sums up 25 services (2 to 50 ms a call; waits of 0.5 to 6 s) as they treat calls that
//! nobody reads; the last line is JSON; exit code 1 where a caller is starved. `proof_lists NAME` also shows each service of the
//! scenarios whose names hold NAME.

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
    /// Plays the days; shows each of them if the scenario's name holds `shown`.
    fn play(scenario: Scenario, callers: u32, cost: AbandonedCallCost, shown: Option<&str>) -> Summary {
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
                    println!("{call} ms a call, waits {wait} ms, {cost:?}: {outcome:?}");
                }
                outcomes.push(outcome);
            }
        }
        Summary { scenario, callers, cost, outcomes }
    }

    /// The mean over the services.
    fn mean(&self, figure: fn(&Outcome) -> u64) -> f64 {
        self.outcomes.iter().map(figure).sum::<u64>() as f64 / self.outcomes.len() as f64
    }

    /// The mean for each caller.
    fn per_caller(&self, figure: fn(&Outcome) -> u64) -> f64 {
        self.mean(figure) / f64::from(self.callers)
    }

    fn print(&self) {
        println!(
            "{:16} {:5} {:8} late {:.3} of which {:.3} inevitable, never {:.3}; a caller: \
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

    /// Callers that never get a list, of services that see when a caller has gone.
    fn starved(&self) -> u32 {
        if self.cost == AbandonedCallCost::Late {
            return 0;
        }
        self.outcomes.iter().map(|outcome| outcome.never).sum()
    }

    /// The row of the last line.
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
                let summary = Summary::play(scenario, callers, cost, shown.as_deref());
                summary.print();
                starved += summary.starved();
                rows.push(summary.to_json());
            }
        }
    }
    let held = starved == 0;
    println!(
        "{}",
        json!({"proof": "lists", "held": held, "seed": SEED, "seconds": started.elapsed().as_secs_f64().round(),
               "scenario, callers, pays, late, never, calls": rows})
    );
    ExitCode::from(u8::from(!held))
}
