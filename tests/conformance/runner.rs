//! Plays tables on machines, and judges what comes of them.
//!
//! **How a row is played.** A machine is made of the row's situation, once for each seed. It takes the steps in order, and says
//! in words what came of each. A step with `then` holds if these are its words and no others. A step that the machine cannot
//! take (a verb that it does not know, a job that is not there) fails the row.
//!
//! **How a row is inverted.** So that no row passes by chance, each word that it expects is once replaced by its contrary
//! ([`Machine::contrary`]) and once left out; a step that expects nothing is made to expect something. Each row that comes of
//! this must fail, with every seed. The machine plays the row once: what it does does not depend on what is expected.

use crate::table::{Clause, ConformanceTable, Row, words_match};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

/// What a table is played on. One is made for each row and seed.
pub trait Machine: Sized {
    /// Seeds with which every row must give the same.
    const SEEDS: u64 = 16;

    /// The situation, as a row gives it.
    type Given: DeserializeOwned;

    /// A step, `{ verb = what it takes }`.
    type Step: DeserializeOwned;

    /// Makes a machine in this situation.
    fn new(given: Self::Given, seed: u64) -> Result<Self, MachineError>;

    /// Takes a step, and returns what came of it in words.
    fn step(&mut self, step: Self::Step) -> Result<Vec<String>, MachineError>;

    /// A word that says the contrary of this one, as a row might have had it by mistake; for an empty word, any one.
    fn contrary(word: &str) -> String;
}

/// Why a machine cannot be made, or cannot take a step.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The situation or the step is not one of this machine.
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    /// The step is about something that is not there.
    #[error("no such {0}")]
    Missing(&'static str),
    /// What is under test refuses it.
    #[error("refused: {0}")]
    Refused(Box<dyn std::error::Error + Send + Sync>),
}

impl MachineError {
    /// What is under test refuses it for this reason.
    pub fn refused(source: impl std::error::Error + Send + Sync + 'static) -> MachineError {
        MachineError::Refused(Box::new(source))
    }
}

/// Why a row does not hold.
#[derive(Debug, Error)]
pub enum RowError {
    #[error(transparent)]
    Machine(#[from] MachineError),
    #[error("step {step}, {action}: {seen:?}, expected {expected:?}")]
    Unexpected { step: usize, action: Table, seen: Vec<String>, expected: Vec<String> },
}

/// What is wrong with a table.
#[derive(Debug, Error)]
pub enum TableFault {
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    #[error("no row of clause {0}")]
    ClauseWithoutRow(String),
    #[error("clause {0} says nothing, or is there twice")]
    EmptyOrRepeatedClause(String),
    #[error("a row of no clause: {0}")]
    RowWithoutClause(String),
    #[error("{clause}: {row}: it expects nothing")]
    NoExpectation { clause: String, row: String },
    #[error("{clause}: {row}: {source} (seed {seed})")]
    RowFails { clause: String, row: String, seed: u64, source: RowError },
}

/// What came of each step of a row, up to one that could not be taken, and why not.
pub struct PlayedRow {
    seen: Vec<Vec<String>>,
    error: Option<MachineError>,
}

impl PlayedRow {
    /// The first step of which something else came than the row expects.
    fn first_unexpected(&self, row: &Row) -> Option<usize> {
        let mut steps = row.steps.iter().zip(&self.seen);
        steps.position(|(step, seen)| step.then.as_ref().is_some_and(|then| !words_match(seen, then)))
    }

    /// Whether that is what the row expects.
    pub fn passes(&self, row: &Row) -> bool {
        self.error.is_none() && self.first_unexpected(row).is_none()
    }

    fn into_result(mut self, row: &Row) -> Result<(), RowError> {
        if let Some(step) = self.first_unexpected(row) {
            return Err(RowError::Unexpected {
                step,
                action: row.steps[step].action.clone(),
                seen: self.seen.swap_remove(step),
                expected: row.steps[step].then.clone().unwrap_or_default(),
            });
        }
        self.error.map_or(Ok(()), |error| Err(error.into()))
    }
}

/// Makes a machine in the situation of a row.
pub fn machine_for<M: Machine>(row: &Row, seed: u64) -> Result<M, MachineError> {
    M::new(M::Given::deserialize(row.given.clone())?, seed)
}

/// Takes all steps of a row; what they lead to does not depend on what is expected.
pub fn play<M: Machine>(mut machine: M, row: &Row) -> PlayedRow {
    let mut played = PlayedRow { seen: Vec::new(), error: None };
    for step in &row.steps {
        match take_step(&mut machine, &step.action) {
            Ok(seen) => played.seen.push(seen),
            Err(error) => {
                played.error = Some(error);
                break;
            }
        }
    }
    played
}

fn take_step<M: Machine>(machine: &mut M, action: &Table) -> Result<Vec<String>, MachineError> {
    machine.step(M::Step::deserialize(Value::Table(action.clone()))?)
}

fn check_row<M: Machine>(row: &Row, seed: u64) -> Result<(), RowError> {
    let machine = machine_for::<M>(row, seed)?;
    play(machine, row).into_result(row)
}

/// Everything that is wrong with a table.
pub fn faults<M: Machine>(text: &str) -> Vec<TableFault> {
    let table = match ConformanceTable::parse(text) {
        Ok(table) => table,
        Err(error) => return vec![error.into()],
    };
    let mut faults = clause_faults(&table);
    for row in &table.rows {
        faults.extend(row_faults::<M>(&table, row));
    }
    faults
}

fn clause_faults(table: &ConformanceTable) -> Vec<TableFault> {
    let counts = table.clauses_by_id();
    let mut faults = Vec::new();
    for clause in &table.clauses {
        let Clause { id, .. } = clause;
        if table.rows_of(id).next().is_none() {
            faults.push(TableFault::ClauseWithoutRow(id.clone()));
        }
        if clause.has_empty_text() || counts[id.as_str()] > 1 {
            faults.push(TableFault::EmptyOrRepeatedClause(id.clone()));
        }
    }
    faults
}

fn row_faults<M: Machine>(table: &ConformanceTable, row: &Row) -> Vec<TableFault> {
    let names = || (row.of.clone(), row.says.clone());
    let mut faults = Vec::new();
    if !table.clauses.iter().any(|clause| clause.id == row.of) {
        faults.push(TableFault::RowWithoutClause(row.of.clone()));
    }
    if row.steps.iter().all(|step| step.then.is_none()) {
        let (clause, row) = names();
        faults.push(TableFault::NoExpectation { clause, row });
    }
    for seed in 1..=M::SEEDS {
        if let Err(source) = check_row::<M>(row, seed) {
            let (clause, row) = names();
            faults.push(TableFault::RowFails { clause, row, seed, source });
            break;
        }
    }
    faults
}

/// Asserts that each clause has a row, and each row holds with every seed.
pub fn assert_table_holds<M: Machine>(name: &str, text: &str) {
    let faults: Vec<String> = faults::<M>(text).iter().map(TableFault::to_string).collect();
    assert!(faults.is_empty(), "{name}.toml:\n{}", faults.join("\n"));
}

/// The rows that come of this one when one expectation is inverted.
fn inverted_rows<M: Machine>(row: &Row) -> Vec<Row> {
    let mut inverted = Vec::new();
    for (number, step) in row.steps.iter().enumerate() {
        for then in step.then.iter().flat_map(|then| inverted_words::<M>(then)) {
            let mut other = row.clone();
            other.steps[number].then = Some(then);
            inverted.push(other);
        }
    }
    inverted
}

/// Words that must not be what comes of a step of which these come: each one replaced by its contrary, and each left out; some
/// word if there is none.
fn inverted_words<M: Machine>(words: &[String]) -> Vec<Vec<String>> {
    if words.is_empty() {
        return vec![vec![M::contrary("")]];
    }
    let mut inverted = Vec::new();
    for (place, word) in words.iter().enumerate() {
        let mut other = words.to_vec();
        other[place] = M::contrary(word);
        inverted.push(other.clone());
        other.remove(place);
        inverted.push(other);
    }
    inverted
}

/// Asserts that each row fails, with every seed, once any word that it expects says the contrary or is left out.
pub fn assert_inversions_fail<M: Machine>(name: &str, text: &str) {
    let table = ConformanceTable::parse(text).expect("a table");
    let mut count = 0;
    for row in &table.rows {
        let inverted = inverted_rows::<M>(row);
        count += inverted.len();
        for seed in 1..=M::SEEDS {
            let machine = machine_for::<M>(row, seed).expect("a situation");
            let played = play(machine, row);
            let passing = inverted.iter().find(|other| played.passes(other));
            let Row { of, says, .. } = row;
            assert!(passing.is_none(), "{name}.toml, {of}: {says}: passes turned round (seed {seed})");
        }
    }
    println!("{name}.toml: {} clauses, {} rows, {count} turned round", table.clauses.len(), table.rows.len());
}
