//! The format of a conformance table: clauses, their rows, and the observations that the rows expect.
//!
//! A table is a TOML file. Each `[[clause]]` has an `id` and a requirement (`says`). Each `[[row]]` names its clause (`of`), the
//! initial state (`given`) and the `steps`. A step is one verb with its arguments, and optionally `then`: all observations that
//! the step must produce, in any order. An observation is a short text such as `1 to 0`. The state machine that runs the table
//! defines the initial state, the verbs and the observations (see [`Machine`](crate::runner::Machine)).
//!
//! The last part of an expected observation may be a choice, `1 to 0|1`, or a range of numbers, `typical 90..115`.

use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;
use toml::{Table, Value};

/// A requirement on the state machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clause {
    pub id: String,
    /// The requirement.
    pub says: String,
    /// How the program deviates from the requirement, if it does; the rows of the clause then check this behaviour.
    #[serde(default)]
    pub but: Option<String>,
}

impl Clause {
    /// Whether one of the texts is blank.
    pub fn has_empty_text(&self) -> bool {
        let but_is_empty = self.but.as_ref().is_some_and(|but| but.trim().is_empty());
        self.says.trim().is_empty() || but_is_empty
    }
}

/// An initial state, and steps with their expected observations.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The id of the clause that the row checks.
    pub of: String,
    /// The case that the row checks.
    pub says: String,
    #[serde(default = "empty_table")]
    pub given: Value,
    pub steps: Vec<Step>,
}

fn empty_table() -> Value {
    Value::Table(Table::new())
}

/// One verb with its arguments, and the observations that it must produce, if they are checked.
#[derive(Clone, Deserialize)]
#[serde(try_from = "Table")]
pub struct Step {
    /// `{ verb = arguments }`.
    pub action: Table,
    pub then: Option<Vec<String>>,
}

/// Why a step cannot be parsed.
#[derive(Debug, Error)]
pub enum StepFormatError {
    #[error(transparent)]
    Expectations(#[from] toml::de::Error),
    #[error("a step must have one verb and optionally `then`: {0}")]
    VerbCount(Table),
}

impl TryFrom<Table> for Step {
    type Error = StepFormatError;

    fn try_from(mut action: Table) -> Result<Step, StepFormatError> {
        let then = action.remove("then").map(Vec::<String>::deserialize).transpose()?;
        if action.len() != 1 {
            return Err(StepFormatError::VerbCount(action));
        }
        Ok(Step { action, then })
    }
}

/// The contents of a table file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConformanceTable {
    #[serde(default, rename = "clause")]
    pub clauses: Vec<Clause>,
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
}

impl ConformanceTable {
    /// Parses a table.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML, or a clause or row has an unknown field.
    pub fn parse(text: &str) -> Result<ConformanceTable, toml::de::Error> {
        toml::from_str(text)
    }

    /// The rows that check a clause.
    pub fn rows_of<'a>(&'a self, clause: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows.iter().filter(move |row| row.of == clause)
    }

    /// The number of clauses with each id.
    pub fn clause_counts_by_id(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for clause in &self.clauses {
            *counts.entry(clause.id.as_str()).or_default() += 1;
        }
        counts
    }
}

/// Whether the observations are the expected ones, in any order.
pub fn observations_match(observed: &[String], expected: &[String]) -> bool {
    let mut unmatched: Vec<&String> = observed.iter().collect();
    for expected in expected {
        let Some(index) = unmatched.iter().position(|observed| observation_matches(observed, expected))
        else {
            return false;
        };
        unmatched.swap_remove(index);
    }
    unmatched.is_empty()
}

/// Whether an observation is the expected one: equal to it, or with a last part that is one of `a|b|c` or a number in `a..b`.
fn observation_matches(observed: &str, expected: &str) -> bool {
    let (Some((observed_head, observed_last)), Some((head, last))) =
        (observed.rsplit_once(' '), expected.rsplit_once(' '))
    else {
        return observed == expected;
    };
    observed_head == head && last_part_matches(observed_last, last)
}

fn last_part_matches(observed: &str, expected: &str) -> bool {
    let number = |text: &str| text.parse::<f64>().ok();
    let range = expected.split_once("..").and_then(|(low, high)| Some(number(low)?..=number(high)?));
    match (range, number(observed)) {
        (Some(range), Some(observed)) => range.contains(&observed),
        _ => expected.split('|').any(|choice| choice == observed),
    }
}

/// An expectation like this one, but with a range of numbers above all that it accepts.
pub fn out_of_range(observation: &str) -> String {
    let Some((head, last)) = observation.rsplit_once(' ') else { return format!("not {observation}") };
    let highest = last.split(['|', '.']).filter_map(|number| number.parse::<u64>().ok()).max();
    match highest {
        Some(highest) => format!("{head} {}..{}", highest + 1, highest + 1_000_000),
        None => format!("{observation}, not"),
    }
}
