//! What the proof asks of the figures.

use serde_json::{Map, Value, json};

/// Aims by name, and whether each held so far.
#[derive(Default)]
pub struct Aims(Map<String, Value>);

impl Aims {
    /// An aim holds if it held each time that it was checked.
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

/// A figure, or NaN where there is none.
pub fn figure(line: &Value, name: &str) -> f64 {
    line[name].as_f64().unwrap_or(f64::NAN)
}

/// Checks one scenario under one policy, beside the others.
pub fn check(aims: &mut Aims, line: &Value, all: &[Value]) {
    match line["policy"].as_str() {
        Some("Mutated") => aims.check("a report counted twice is caught", line["exact"] == false),
        Some("FairShare") => {
            check_ledgers(aims, line);
            check_fairness(aims, line, all);
            check_against_rivals(aims, line, all);
        }
        _ => {}
    }
}

fn check_ledgers(aims: &mut Aims, line: &Value) {
    let is_restart = line["story"] == "killed";
    aims.check("all members agree in every bit", line["agree"] == true);
    aims.check(
        "what is known is what was used, but for what died untold",
        line["exact"] == true || is_restart,
    );
    aims.check("nothing broken", line["broken"] == 0);
}

fn check_fairness(aims: &mut Aims, line: &Value, all: &[Value]) {
    // In a cut a tenant that reaches one side only can have half of the workers at most, whoever deals.
    let sees_all = all.iter().find(|o| o["story"] == line["story"] && o["policy"] == "OneLedger");
    let least = sees_all.filter(|o| o["story"] == "cut").map_or(0.9, |o| 0.95 * figure(o, "worst"));
    let is_fair = figure(line, "worst") >= least && figure(line, "jain") >= 0.98;
    aims.check("worst tenant at least 0.9 of its due (in a cut: 0.95 of what sees all), Jain 0.98", is_fair);
    aims.check("nobody below half of its due for 10 s after", figure(line, "least_in_10_s") >= 0.5);
    aims.check("a lender has its share back within 2 s", figure(line, "lender_2_to_8_s") >= 0.95);
    let is_cut = line["story"] == "cut";
    let settles = !is_cut || figure(line, "settled_after_s") <= 60.0;
    aims.check("within 5 % at most 60 s after a heal", settles);
    let is_within_bound = !is_cut || figure(line, "beyond_of_bound") <= 1.0;
    aims.check("beyond the share in a cut: within the bound", is_within_bound);
}

fn check_against_rivals(aims: &mut Aims, line: &Value, all: &[Value]) {
    let same = all.iter().filter(|o| o["story"] == line["story"] && o["seed"] == line["seed"]);
    for rival in same.filter(|o| o["policy"] == "Today" || o["policy"] == "QuotaByNode") {
        let is_better = |name: &str| figure(line, name) > figure(rival, name);
        aims.check("better than today and than quotas by node", is_better("worst") && is_better("jain"));
    }
}
