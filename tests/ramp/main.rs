//! The warm-up budget of a worker holds for the sum of the calls of all dispatchers.
//!
//! Many instances of the decision module run side by side, without sockets. Their workers are replaced while endpoint lists
//! arrive late and at different times, processes of dispatchers restart, and dispatchers get the messages of some or none of the
//! others. Within any collapse window, a worker that is warming up gets at most N + 2 sqrt(N) + 2 calls, where N follows from the
//! settings and the worker's age. `cargo test --release --test ramp -- --nocapture` prints the results.

#[path = "../common/mod.rs"]
mod common;

mod scenario;
mod simulation;
mod worker;

use scenario::{CASES, Scenario};
use simulation::Simulation;
use worker::Window;

/// The results of one case over all seeds.
struct CaseResult {
    /// The fullest window of each worker that started during the simulation, in ascending order.
    windows: Vec<Window>,
    /// The calls that these workers got while warming up, as a fraction of those that they could have run; the mean over the
    /// seeds.
    capacity_used: f64,
}

impl CaseResult {
    /// Simulates a case with each seed.
    fn run(scenario: Scenario, seeds: &[u64]) -> CaseResult {
        let mut result = CaseResult { windows: Vec::new(), capacity_used: 0.0 };
        for seed in seeds {
            let outcome = Simulation::new(Scenario { seed: *seed, ..scenario }).run();
            result.windows.extend(outcome.windows);
            result.capacity_used += outcome.capacity_used / seeds.len() as f64;
        }
        result.windows.sort_by(|a, b| a.fill.total_cmp(&b.fill));
        result
    }

    /// The number of windows that exceed the budget.
    fn overfull(&self) -> usize {
        self.windows.iter().filter(|window| window.fill > 1.0).count()
    }

    /// The row of the case in the table.
    fn row(&self, scenario: &Scenario, case: &str) -> String {
        let Scenario { dispatchers, window_calls, .. } = scenario;
        let median = self.windows[self.windows.len() / 2].fill;
        let Window { fill, calls } = self.windows[self.windows.len() - 1];
        format!(
            "| {dispatchers} | {window_calls} | {case} | {} of {} | {median:.2} | {fill:.2} | {calls} | {:.2} |",
            self.overfull(),
            self.windows.len(),
            self.capacity_used
        )
    }
}

/// Prints the table of all cases for each number of dispatchers and of calls. Returns the rows with a window that exceeds the
/// budget.
fn overfull_rows(dispatchers: &[u32], window_calls: &[f64], seeds: &[u64]) -> Vec<String> {
    let mut overfull = Vec::new();
    println!(
        "| dispatchers | N | case | windows over budget | median fill | greatest fill | calls in it | capacity used |"
    );
    for &dispatchers in dispatchers {
        for &window_calls in window_calls {
            for case in CASES {
                let mut scenario = Scenario::new(dispatchers, window_calls);
                (case.change)(&mut scenario);
                let result = CaseResult::run(scenario, seeds);
                let row = result.row(&scenario, case.name);
                println!("{row}");
                if result.overfull() > 0 {
                    overfull.push(row);
                }
            }
        }
    }
    overfull
}

fn assert_budget_holds(dispatchers: &[u32], window_calls: &[f64]) {
    let overfull = overfull_rows(dispatchers, window_calls, &[1]);
    assert!(overfull.is_empty(), "more than N + 2 sqrt(N) + 2 calls in a window:\n{}", overfull.join("\n"));
}

/// In all cases, with few and with many dispatchers, no window contains more calls than the budget of the worker allows. When
/// newly started processes took the latency objective of a job for its run time and did not limit themselves to their part of the
/// budget, there were 11 calls in a window that may contain eight.
#[test]
fn warm_up_budget_holds_for_all_dispatchers_together() {
    assert_budget_holds(&[3, 20], &[3.0]);
}

/// The same property at larger sizes of the fleet and of the budget.
#[test]
#[ignore = "takes some minutes in a release build: make proof-ramp"]
fn warm_up_budget_holds_at_every_size() {
    assert_budget_holds(&[3, 20, 30, 100, 300], &[3.0, 10.0, 30.0]);
}
