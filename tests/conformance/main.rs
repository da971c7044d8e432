//! Conformance tests: requirements as clauses, and rows that check each clause with an initial state, a sequence of steps and
//! the expected results.
//!
//! Each table is a file `NAME.toml` in this folder. [`table`] parses it and [`runner`] runs it. For each state machine under test
//! a driver turns the steps of a row into calls of its public interface, and the results into text. The format is described
//! in `docs/design/conformance.md`.

#[path = "../common/mod.rs"]
mod common;
mod decision;
mod fairshare;
mod membership;
mod runner;
mod runtimes;
mod table;
mod watch_liveness;

use decision::{DecisionMachine, simple_balancers};
use fairshare::FairshareMachine;
use membership::MembershipMachine;
use runner::{TableFault, assert_inversions_fail, assert_table_holds, faults};
use runtimes::RuntimesMachine;
use watch_liveness::WatchLivenessMachine;

const DESIGN: &str = include_str!("design.toml");
const RULES: &str = include_str!("rules.toml");
const FAIRSHARE: &str = include_str!("fairshare.toml");
const MEMBERSHIP: &str = include_str!("membership.toml");
const RUNTIMES: &str = include_str!("runtimes.toml");
const WATCH_LIVENESS: &str = include_str!("watch_liveness.toml");

/// The decision module meets the clauses of the design page, or deviates from them as a clause's `but` states.
#[test]
fn design_page_holds() {
    assert_table_holds::<DecisionMachine>("design", DESIGN);
}

/// Drains, rejections, repeats, final responses, workers that are warming up, hedged attempts.
#[test]
fn rules_hold() {
    assert_table_holds::<DecisionMachine>("rules", RULES);
}

/// When a silent watch counts as failed, when the next call is due, when a list is stale.
#[test]
fn watch_liveness_rules_hold() {
    assert_table_holds::<WatchLivenessMachine>("watch_liveness", WATCH_LIVENESS);
}

/// The states of a member and the facts that members publish.
#[test]
fn membership_rules_hold() {
    assert_table_holds::<MembershipMachine>("membership", MEMBERSHIP);
}

/// Run time estimates, reservations and backfilling.
#[test]
fn runtime_rules_hold() {
    assert_table_holds::<RuntimesMachine>("runtimes", RUNTIMES);
}

/// Usage computed from late reports, and the value of a tenant's next job.
#[test]
fn fair_share_rules_hold() {
    assert_table_holds::<FairshareMachine>("fairshare", FAIRSHARE);
}

/// Every row fails when one of its expectations is inverted.
#[test]
fn inverted_expectations_fail() {
    assert_inversions_fail::<DecisionMachine>("design", DESIGN);
    assert_inversions_fail::<DecisionMachine>("rules", RULES);
    assert_inversions_fail::<WatchLivenessMachine>("watch_liveness", WATCH_LIVENESS);
    assert_inversions_fail::<MembershipMachine>("membership", MEMBERSHIP);
    assert_inversions_fail::<RuntimesMachine>("runtimes", RUNTIMES);
    assert_inversions_fail::<FairshareMachine>("fairshare", FAIRSHARE);
}

/// No clause of the design page is met by a simple balancer that ignores load reports.
#[test]
fn simple_balancers_fail_every_clause_of_design_page() {
    simple_balancers::assert_each_fails_every_clause("design", DESIGN);
}

/// A table and the text of an error that must be reported for it.
struct FaultyTable {
    text: String,
    fault: &'static str,
}

/// Rejects a table with a clause without rows, a row of an unknown clause, a row without expectations, or a misspelt key.
#[test]
fn rejects_incomplete_tables() {
    let clause = "[[clause]]\nid = \"a\"\nsays = \"x\"\n";
    let row = |of: &str, step: &str| format!("[[row]]\nof = \"{of}\"\nsays = \"y\"\nsteps = [{step}]\n");
    let valid_step = "{ arrive = { job = 1 }, then = [\"1 to 0\"] }";
    let one_worker = "given = { workers = [{}] }\n";
    let table_with = |step: &str| format!("{clause}{}{one_worker}", row("a", step));
    let faulty = [
        FaultyTable { text: clause.to_owned(), fault: "clause a has no row" },
        FaultyTable { text: format!("{clause}{}", row("b", valid_step)), fault: "unknown clause: b" },
        FaultyTable { text: table_with("{ arrive = { job = 1 } }"), fault: "expects nothing" },
        FaultyTable { text: table_with("{ arive = { job = 1 }, then = [] }"), fault: "arive" },
        FaultyTable { text: table_with("{ arrive = { job = 1 }, than = [] }"), fault: "one verb" },
        FaultyTable {
            text: format!("{clause}{}given = {{ wrkrs = [] }}\n", row("a", valid_step)),
            fault: "wrkrs",
        },
        FaultyTable { text: table_with(&valid_step.replace("1 to 0", "1 waits")), fault: "\"1 to 0\"" },
    ];
    for FaultyTable { text, fault } in faulty {
        let found = found_faults(&text).join("\n");
        assert!(found.contains(fault), "expected an error with {fault:?}, got: {found}\n{text}");
    }
    assert_eq!(found_faults(&table_with(valid_step)), Vec::<String>::new());
}

fn found_faults(text: &str) -> Vec<String> {
    faults::<DecisionMachine>(text).iter().map(TableFault::to_string).collect()
}
