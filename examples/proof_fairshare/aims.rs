//! The conditions that the measurements must meet.

use serde_json::{Map, Value, json};

/// The conditions by name, and whether each has held so far.
#[derive(Default)]
pub struct Aims(Map<String, Value>);

impl Aims {
    /// Records the result of a check. A condition holds if it held in all checks.
    pub fn check(&mut self, name: &str, holds: bool) {
        let held_before = self.0.get(name).is_none_or(|held| *held == json!(true));
        self.0.insert(name.into(), (holds && held_before).into());
    }

    pub fn all_hold(&self) -> bool {
        self.0.values().all(|held| *held == json!(true))
    }

    pub fn into_json(self) -> Value {
        Value::Object(self.0)
    }
}

/// The measurement with this name; NaN if there is none.
pub fn metric(result: &Value, name: &str) -> f64 {
    result[name].as_f64().unwrap_or(f64::NAN)
}

/// Checks the measurements of one scenario under one policy. `all` are those of all scenarios and policies.
pub fn check(aims: &mut Aims, result: &Value, all: &[Value]) {
    match result["policy"].as_str() {
        Some("Mutated") => aims.check("a report counted twice is detected", result["exact"] == false),
        Some("FairShare") => {
            check_ledgers(aims, result);
            check_fairness(aims, result, all);
            check_against_baselines(aims, result, all);
        }
        _ => {}
    }
}

fn check_ledgers(aims: &mut Aims, result: &Value) {
    let is_restart = result["story"] == "killed";
    aims.check("all members have exactly the same usage", result["agree"] == true);
    aims.check(
        "the known usage is the actual usage, except what a kill lost before it was published",
        result["exact"] == true || is_restart,
    );
    aims.check("no invariant is violated", result["broken"] == 0);
}

fn check_fairness(aims: &mut Aims, result: &Value, all: &[Value]) {
    // During a partition, a tenant whose jobs arrive at one side only can use at most half of the workers under any policy.
    let with_one_ledger = all.iter().find(|o| o["story"] == result["story"] && o["policy"] == "OneLedger");
    let min_worst =
        with_one_ledger.filter(|o| o["story"] == "cut").map_or(0.9, |o| 0.95 * metric(o, "worst"));
    let is_fair = metric(result, "worst") >= min_worst && metric(result, "jain") >= 0.98;
    aims.check(
        "worst tenant at least 0.9 of its due (in a partition 0.95 of that with one ledger), Jain's index 0.98",
        is_fair,
    );
    aims.check(
        "after the fault, no tenant gets less than half of its due over 10 s",
        metric(result, "least_in_10_s") >= 0.5,
    );
    aims.check(
        "a tenant whose share was lent has it back within 2 s",
        metric(result, "lender_2_to_8_s") >= 0.95,
    );
    let is_cut = result["story"] == "cut";
    let settles = !is_cut || metric(result, "settled_after_s") <= 60.0;
    aims.check("at most 60 s after a partition, each tenant gets its due within 5%", settles);
    let is_within_bound = !is_cut || metric(result, "beyond_of_bound") <= 1.0;
    aims.check("usage beyond the share during a partition is within its bound", is_within_bound);
}

fn check_against_baselines(aims: &mut Aims, result: &Value, all: &[Value]) {
    let same = all.iter().filter(|o| o["story"] == result["story"] && o["seed"] == result["seed"]);
    for baseline in same.filter(|o| o["policy"] == "Today" || o["policy"] == "QuotaByNode") {
        let is_better = |name: &str| metric(result, name) > metric(baseline, name);
        aims.check(
            "fairer than without shares and than with quotas by dispatcher",
            is_better("worst") && is_better("jain"),
        );
    }
}
