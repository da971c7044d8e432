//! Conformance: what a page asks, clause by clause, as rows of a situation, its events and the decision expected.
//!
//! A table is a file here, `NAME.toml`; [`table`] reads and plays all of them, and a driver for each kind of machine
//! turns a row's steps into calls of its public interface and what comes of them into words. How to read and write the
//! tables: `docs/design/conformance.md`.

#[path = "../common/mod.rs"]
mod common;
mod decision;
mod fairshare;
mod membership;
mod runtimes;
mod table;
mod watch_liveness;

use decision::Decision;
use fairshare::Fair;
use membership::Members;
use runtimes::Estimates;
use table::{hold, report, turn_round};
use watch_liveness::Watch;

const DESIGN: &str = include_str!("design.toml");
const RULES: &str = include_str!("rules.toml");
const FAIRSHARE: &str = include_str!("fairshare.toml");
const MEMBERSHIP: &str = include_str!("membership.toml");
const RUNTIMES: &str = include_str!("runtimes.toml");
const WATCH_LIVENESS: &str = include_str!("watch_liveness.toml");

#[test]
fn the_design_page_holds() {
    hold::<Decision>("design", DESIGN);
}

#[test]
fn the_rules_hold() {
    hold::<Decision>("rules", RULES);
}

#[test]
fn watch_liveness_rules_hold() {
    hold::<Watch>("watch_liveness", WATCH_LIVENESS);
}

#[test]
fn the_states_of_membership_hold() {
    hold::<Members>("membership", MEMBERSHIP);
}

#[test]
fn the_rules_of_run_times_hold() {
    hold::<Estimates>("runtimes", RUNTIMES);
}

#[test]
fn the_rules_of_fair_shares_hold() {
    hold::<Fair>("fairshare", FAIRSHARE);
}

#[test]
fn an_expectation_turned_round_fails() {
    turn_round::<Decision>("design", DESIGN);
    turn_round::<Decision>("rules", RULES);
    turn_round::<Watch>("watch_liveness", WATCH_LIVENESS);
    turn_round::<Members>("membership", MEMBERSHIP);
    turn_round::<Estimates>("runtimes", RUNTIMES);
    turn_round::<Fair>("fairshare", FAIRSHARE);
}

/// No clause of the page is one that a balancer which never heard of it would meet.
#[test]
fn simple_balancers_miss_every_clause_of_the_design_page() {
    decision::rivals("design", DESIGN);
}

/// A table is refused for a clause without a row, a row of no clause, a row that expects nothing and a word misspelt.
#[test]
fn a_table_with_a_hole_is_refused() {
    let clause = "[[clause]]\nid = \"a\"\nsays = \"x\"\n";
    let row = |of: &str, step: &str| format!("[[row]]\nof = \"{of}\"\nsays = \"y\"\nsteps = [{step}]\n");
    let sound = "{ arrive = { job = 1 }, then = [\"1 to 0\"] }";
    let ready = "given = { workers = [{}] }\n";
    let tables = [
        (clause.to_owned(), "no row of clause a"),
        (format!("{clause}{}", row("b", sound)), "of no clause: b"),
        (format!("{clause}{}{ready}", row("a", "{ arrive = { job = 1 } }")), "expects nothing"),
        (format!("{clause}{}{ready}", row("a", "{ arive = { job = 1 }, then = [] }")), "arive"),
        (format!("{clause}{}{ready}", row("a", "{ arrive = { job = 1 }, than = [] }")), "one verb"),
        (format!("{clause}{}given = {{ wrkrs = [] }}\n", row("a", sound)), "wrkrs"),
        (format!("{clause}{}{ready}", row("a", &sound.replace("1 to 0", "1 waits"))), "\"1 to 0\""),
    ];
    for (text, fault) in tables {
        let faults = report::<Decision>(&text).join("\n");
        assert!(faults.contains(fault), "{fault:?} is not what was found: {faults}\n{text}");
    }
    assert_eq!(report::<Decision>(&format!("{clause}{}{ready}", row("a", sound))), Vec::<String>::new());
}
