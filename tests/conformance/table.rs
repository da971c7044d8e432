//! The form of a table: clauses, their rows, and the words that the rows expect.
//!
//! A table is a TOML file. Each `[[clause]]` has an `id` and `says` what is asked. Each `[[row]]` names its clause (`of`), the
//! situation (`given`) and the `steps`. A step is one verb with what it takes, and perhaps `then`: the words for everything
//! that must come of it, in any order. What the situation and the verbs look like is up to the machine that plays the table
//! (see [`Machine`](crate::runner::Machine)).
//!
//! The last part of a word may be a choice, `1 to 0|1`, or a range of numbers, `typical 90..115`.

use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;
use toml::{Table, Value};

/// What is asked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clause {
    pub id: String,
    /// What is asked, in our words.
    pub says: String,
    /// Where the program does otherwise, what it does; such a clause's rows show that.
    #[serde(default)]
    pub but: Option<String>,
}

impl Clause {
    /// Whether a text is there but empty.
    pub fn has_empty_text(&self) -> bool {
        let but_is_empty = self.but.as_ref().is_some_and(|but| but.trim().is_empty());
        self.says.trim().is_empty() || but_is_empty
    }
}

/// A situation, and what must come of each step in it.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The clause that it is of.
    pub of: String,
    /// What it shows.
    pub says: String,
    #[serde(default = "empty_table")]
    pub given: Value,
    pub steps: Vec<Step>,
}

fn empty_table() -> Value {
    Value::Table(Table::new())
}

/// One verb with what it takes, and the words for all that must come of it, if that is asked.
#[derive(Clone, Deserialize)]
#[serde(try_from = "Table")]
pub struct Step {
    /// `{ verb = what it takes }`.
    pub action: Table,
    pub then: Option<Vec<String>>,
}

/// Why a step cannot be read.
#[derive(Debug, Error)]
pub enum StepFormatError {
    #[error(transparent)]
    Words(#[from] toml::de::Error),
    #[error("a step has one verb and perhaps `then`: {0}")]
    Verbs(Table),
}

impl TryFrom<Table> for Step {
    type Error = StepFormatError;

    fn try_from(mut action: Table) -> Result<Step, StepFormatError> {
        let then = action.remove("then").map(Vec::<String>::deserialize).transpose()?;
        if action.len() != 1 {
            return Err(StepFormatError::Verbs(action));
        }
        Ok(Step { action, then })
    }
}

/// A file of clauses and rows.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConformanceTable {
    #[serde(default, rename = "clause")]
    pub clauses: Vec<Clause>,
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
}

impl ConformanceTable {
    /// Reads a table.
    ///
    /// # Errors
    ///
    /// The text is no TOML, or has a field that no clause or row has.
    pub fn parse(text: &str) -> Result<ConformanceTable, toml::de::Error> {
        toml::from_str(text)
    }

    /// The rows of a clause.
    pub fn rows_of<'a>(&'a self, clause: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows.iter().filter(move |row| row.of == clause)
    }

    /// How many clauses have each id.
    pub fn clauses_by_id(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for clause in &self.clauses {
            *counts.entry(clause.id.as_str()).or_default() += 1;
        }
        counts
    }
}

/// Whether these are the words expected, in any order.
pub fn words_match(seen: &[String], expected: &[String]) -> bool {
    let mut unmatched: Vec<&String> = seen.iter().collect();
    for expected in expected {
        let Some(place) = unmatched.iter().position(|seen| word_matches(seen, expected)) else {
            return false;
        };
        unmatched.swap_remove(place);
    }
    unmatched.is_empty()
}

/// Whether a word is what was expected: the same, or its last part is one of `a|b|c`, or a number in `a..b`.
fn word_matches(seen: &str, expected: &str) -> bool {
    let (Some((seen_head, seen_last)), Some((head, last))) =
        (seen.rsplit_once(' '), expected.rsplit_once(' '))
    else {
        return seen == expected;
    };
    seen_head == head && last_part_matches(seen_last, last)
}

fn last_part_matches(seen: &str, expected: &str) -> bool {
    let number = |text: &str| text.parse::<f64>().ok();
    let range = expected.split_once("..").and_then(|(low, high)| Some(number(low)?..=number(high)?));
    match (range, number(seen)) {
        (Some(range), Some(seen)) => range.contains(&seen),
        _ => expected.split('|').any(|choice| choice == seen),
    }
}

/// The same word with a number, or a choice of numbers, beyond those that would do.
pub fn beyond(word: &str) -> String {
    let Some((head, last)) = word.rsplit_once(' ') else { return format!("not {word}") };
    let highest = last.split(['|', '.']).filter_map(|number| number.parse::<u64>().ok()).max();
    match highest {
        Some(highest) => format!("{head} {}..{}", highest + 1, highest + 1_000_000),
        None => format!("{word}, not"),
    }
}
