//! Conformance: what a page asks, clause by clause, as rows of a situation, its events and the decision expected.
//!
//! A table is a file here, `NAME.toml`. [`table`] reads it, [`runner`] plays it, and a driver for each kind of machine turns a
//! row's steps into calls of its public interface and what comes of them into words. How to read and write the tables:
//! `docs/design/conformance.md`.

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

/// The decision module does what the design page asks, or what a clause's `but` says that it does instead.
#[test]
fn design_page_holds() {
    assert_table_holds::<DecisionMachine>("design", DESIGN);
}

/// Drains, refusals, repeats, single answers, workers that are warming up, hedged attempts.
#[test]
fn rules_hold() {
    assert_table_holds::<DecisionMachine>("rules", RULES);
}

/// When a silent watch counts as broken, when the next call is due, when a list is stale.
#[test]
fn watch_liveness_rules_hold() {
    assert_table_holds::<WatchLivenessMachine>("watch_liveness", WATCH_LIVENESS);
}

/// The states of a member and the facts that members publish.
#[test]
fn membership_rules_hold() {
    assert_table_holds::<MembershipMachine>("membership", MEMBERSHIP);
}

/// Estimates of run times, and jobs that may start in a gap.
#[test]
fn runtime_rules_hold() {
    assert_table_holds::<RuntimesMachine>("runtimes", RUNTIMES);
}

/// Use by late reports, and what a tenant's next job counts.
#[test]
fn fair_share_rules_hold() {
    assert_table_holds::<FairshareMachine>("fairshare", FAIRSHARE);
}

/// No row passes when one of its expectations is inverted.
#[test]
fn inverted_expectations_fail() {
    assert_inversions_fail::<DecisionMachine>("design", DESIGN);
    assert_inversions_fail::<DecisionMachine>("rules", RULES);
    assert_inversions_fail::<WatchLivenessMachine>("watch_liveness", WATCH_LIVENESS);
    assert_inversions_fail::<MembershipMachine>("membership", MEMBERSHIP);
    assert_inversions_fail::<RuntimesMachine>("runtimes", RUNTIMES);
    assert_inversions_fail::<FairshareMachine>("fairshare", FAIRSHARE);
}

/// No clause of the page is one that a balancer which never heard of it would meet.
#[test]
fn simple_balancers_miss_every_clause_of_design_page() {
    simple_balancers::assert_each_misses_every_clause("design", DESIGN);
}

/// A table and the fault that must be found in it.
struct FaultyTable {
    text: String,
    fault: &'static str,
}

/// A table is refused for a clause without a row, a row of no clause, a row that expects nothing and a word misspelt.
#[test]
fn rejects_incomplete_tables() {
    let clause = "[[clause]]\nid = \"a\"\nsays = \"x\"\n";
    let row = |of: &str, step: &str| format!("[[row]]\nof = \"{of}\"\nsays = \"y\"\nsteps = [{step}]\n");
    let sound_step = "{ arrive = { job = 1 }, then = [\"1 to 0\"] }";
    let ready = "given = { workers = [{}] }\n";
    let table_with = |step: &str| format!("{clause}{}{ready}", row("a", step));
    let faulty = [
        FaultyTable { text: clause.to_owned(), fault: "no row of clause a" },
        FaultyTable { text: format!("{clause}{}", row("b", sound_step)), fault: "of no clause: b" },
        FaultyTable { text: table_with("{ arrive = { job = 1 } }"), fault: "expects nothing" },
        FaultyTable { text: table_with("{ arive = { job = 1 }, then = [] }"), fault: "arive" },
        FaultyTable { text: table_with("{ arrive = { job = 1 }, than = [] }"), fault: "one verb" },
        FaultyTable {
            text: format!("{clause}{}given = {{ wrkrs = [] }}\n", row("a", sound_step)),
            fault: "wrkrs",
        },
        FaultyTable { text: table_with(&sound_step.replace("1 to 0", "1 waits")), fault: "\"1 to 0\"" },
    ];
    for FaultyTable { text, fault } in faulty {
        let found = found_faults(&text).join("\n");
        assert!(found.contains(fault), "{fault:?} is not what was found: {found}\n{text}");
    }
    assert_eq!(found_faults(&table_with(sound_step)), Vec::<String>::new());
}

fn found_faults(text: &str) -> Vec<String> {
    faults::<DecisionMachine>(text).iter().map(TableFault::to_string).collect()
}
