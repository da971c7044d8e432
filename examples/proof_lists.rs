//! `make proof-lists`: up to 1,024 of the program's own clocks of watches before a slow list service, on a virtual clock
//! (`docs/design/lists.md`). Each line sums up 25 services (2 to 50 ms a call; waits of 0.5 to 6 s) as they treat calls that
//! nobody reads; the last line is JSON; exit code 1 where a caller is starved. `proof_lists NAME` also shows each service of the
//! scenarios whose names hold NAME.

#[path = "../tests/common/lists/mod.rs"]
mod lists;

use lists::scenario::{AbandonedCallCost, Day, MS, Outcome, Scenario};
use lists::simulation::play;
use serde_json::json;
use std::process::ExitCode;
use std::time::Instant;

const CALLERS: [u32; 6] = [10, 30, 100, 300, 350, 1_024];
const CALLS_MS: [u64; 5] = [2, 5, 10, 20, 50];
const WAITS_MS: [u64; 5] = [500, 1_000, 2_500, 3_000, 6_000];
const SEED: u64 = 7;

fn main() -> ExitCode {
    let (began, shown) = (Instant::now(), std::env::args().nth(1));
    let (mut starved, mut rows) = (0, Vec::new());
    for scenario in Scenario::ALL {
        let name = format!("{scenario:?}");
        for callers in CALLERS {
            for pays in [AbandonedCallCost::Nothing, AbandonedCallCost::Gone, AbandonedCallCost::Late] {
                let mut all = Vec::new();
                for call in CALLS_MS {
                    for wait in WAITS_MS {
                        let day = Day {
                            scenario,
                            callers,
                            call_time: call * MS,
                            max_wait: wait * MS,
                            abandoned_call_cost: pays,
                            seed: SEED,
                        };
                        let outcome = play(day);
                        if shown.as_ref().is_some_and(|shown| name.contains(shown)) {
                            println!("{call} ms a call, waits {wait} ms, {pays:?}: {outcome:?}");
                        }
                        all.push(outcome);
                    }
                }
                let sum = |of: fn(&Outcome) -> u64| all.iter().map(of).sum::<u64>() as f64 / all.len() as f64;
                let part = |of: fn(&Outcome) -> u64| sum(of) / f64::from(callers);
                let (late, beyond) = (part(|o| o.late.into()), part(|o| o.beyond.into()));
                let never = part(|o| o.never.into());
                let calls = part(|o| o.calls.into());
                let max = all.iter().map(|o| o.max / MS).max();
                println!(
                    "{name:16} {callers:5} {:8} late {late:.3} of which {beyond:.3} inevitable, never {never:.3}; a caller: \
                     calls {calls:.2} refused {:.2} cut {:.2}; wasted {:6.0} ms; p50 {:6.0} p99 {:6.0} max {:6} ms",
                    format!("{pays:?}"),
                    part(|o| o.refused.into()),
                    part(|o| o.cut.into()),
                    sum(|o| o.wasted / MS),
                    sum(|o| o.p50 / MS),
                    sum(|o| o.p99 / MS),
                    max.unwrap_or(0),
                );
                if pays != AbandonedCallCost::Late {
                    starved += all.iter().map(|o| o.never).sum::<u32>();
                }
                rows.push(json!([name, callers, format!("{pays:?}"), late, never, calls]));
            }
        }
    }
    let held = starved == 0;
    println!(
        "{}",
        json!({"proof": "lists", "held": held, "seed": SEED, "seconds": began.elapsed().as_secs_f64().round(),
               "scenario, callers, pays, late, never, calls": rows})
    );
    ExitCode::from(u8::from(!held))
}
