//! Runs conformance tables on state machines and checks the results.
//!
//! **Running a row.** For each seed, a state machine is created in the row's initial state. It performs the steps in order and
//! returns the observations of each. A step with `then` passes if the observations are exactly the expected ones. A step that
//! the machine cannot perform (an unknown verb, a job that does not exist) fails the row.
//!
//! **Inverting a row.** To show that no row passes by chance, each expected observation is in turn replaced by a contradicting
//! one ([`Machine::inverse`]) and left out; for a step that expects none, one is added. Each of these inverted rows must fail
//! with every seed. The machine runs the row only once, as its behaviour does not depend on the expectations.

use crate::table::{Clause, ConformanceTable, Row, observations_match};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

/// A state machine under test. A new one is created for each row and seed.
pub trait Machine: Sized {
    /// The number of seeds with which each row is run; the row must pass with all of them.
    const SEEDS: u64 = 16;

    /// The initial state, as given in a row.
    type Given: DeserializeOwned;

    /// A step, `{ verb = arguments }`.
    type Step: DeserializeOwned;

    /// Creates a machine in this initial state.
    fn new(given: Self::Given, seed: u64) -> Result<Self, MachineError>;

    /// Performs a step and returns its observations.
    fn step(&mut self, step: Self::Step) -> Result<Vec<String>, MachineError>;

    /// An expectation that contradicts this one, as a wrong row might have it; any valid one for an empty text.
    fn inverse(observation: &str) -> String;
}

/// Why a machine cannot be created or cannot perform a step.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The initial state or the step is not valid for this machine.
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    /// The step refers to something that does not exist.
    #[error("no such {0}")]
    Missing(&'static str),
    /// The code under test rejects the initial state or the step.
    #[error("rejected: {0}")]
    Rejected(Box<dyn std::error::Error + Send + Sync>),
}

impl MachineError {
    /// An error of the code under test.
    pub fn rejected(source: impl std::error::Error + Send + Sync + 'static) -> MachineError {
        MachineError::Rejected(Box::new(source))
    }
}

/// Why a row fails.
#[derive(Debug, Error)]
pub enum RowError {
    #[error(transparent)]
    Machine(#[from] MachineError),
    #[error("step {step}, {action}: expected {expected:?}, got {observed:?}")]
    Unexpected { step: usize, action: Table, observed: Vec<String>, expected: Vec<String> },
}

/// An error in a table.
#[derive(Debug, Error)]
pub enum TableFault {
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    #[error("clause {0} has no row")]
    ClauseWithoutRow(String),
    #[error("clause {0} has a blank text, or its id is used twice")]
    EmptyOrRepeatedClause(String),
    #[error("row of an unknown clause: {0}")]
    RowWithoutClause(String),
    #[error("{clause}: {row}: the row expects nothing")]
    NoExpectation { clause: String, row: String },
    #[error("{clause}: {row}: {source} (seed {seed})")]
    RowFails { clause: String, row: String, seed: u64, source: RowError },
}

/// The observations of each step of a row, up to the first step that could not be performed, and its error.
pub struct RowRun {
    observed: Vec<Vec<String>>,
    error: Option<MachineError>,
}

impl RowRun {
    /// The index of the first step with unexpected observations.
    fn first_unexpected(&self, row: &Row) -> Option<usize> {
        let mut steps = row.steps.iter().zip(&self.observed);
        steps.position(|(step, observed)| {
            step.then.as_ref().is_some_and(|then| !observations_match(observed, then))
        })
    }

    /// Whether all steps were performed and produced the observations that the row expects.
    pub fn passes(&self, row: &Row) -> bool {
        self.error.is_none() && self.first_unexpected(row).is_none()
    }

    fn into_result(mut self, row: &Row) -> Result<(), RowError> {
        if let Some(step) = self.first_unexpected(row) {
            return Err(RowError::Unexpected {
                step,
                action: row.steps[step].action.clone(),
                observed: self.observed.swap_remove(step),
                expected: row.steps[step].then.clone().unwrap_or_default(),
            });
        }
        self.error.map_or(Ok(()), |error| Err(error.into()))
    }
}

/// Creates a machine in the initial state of a row.
pub fn machine_for<M: Machine>(row: &Row, seed: u64) -> Result<M, MachineError> {
    M::new(M::Given::deserialize(row.given.clone())?, seed)
}

/// Performs the steps of a row. The result does not depend on the row's expectations.
pub fn run_row<M: Machine>(mut machine: M, row: &Row) -> RowRun {
    let mut run = RowRun { observed: Vec::new(), error: None };
    for step in &row.steps {
        match perform_step(&mut machine, &step.action) {
            Ok(observed) => run.observed.push(observed),
            Err(error) => {
                run.error = Some(error);
                break;
            }
        }
    }
    run
}

fn perform_step<M: Machine>(machine: &mut M, action: &Table) -> Result<Vec<String>, MachineError> {
    machine.step(M::Step::deserialize(Value::Table(action.clone()))?)
}

fn check_row<M: Machine>(row: &Row, seed: u64) -> Result<(), RowError> {
    let machine = machine_for::<M>(row, seed)?;
    run_row(machine, row).into_result(row)
}

/// All errors in a table.
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
    let counts = table.clause_counts_by_id();
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
    let clause_and_row = || (row.of.clone(), row.says.clone());
    let mut faults = Vec::new();
    if !table.clauses.iter().any(|clause| clause.id == row.of) {
        faults.push(TableFault::RowWithoutClause(row.of.clone()));
    }
    if row.steps.iter().all(|step| step.then.is_none()) {
        let (clause, row) = clause_and_row();
        faults.push(TableFault::NoExpectation { clause, row });
    }
    for seed in 1..=M::SEEDS {
        if let Err(source) = check_row::<M>(row, seed) {
            let (clause, row) = clause_and_row();
            faults.push(TableFault::RowFails { clause, row, seed, source });
            break;
        }
    }
    faults
}

/// Asserts that each clause has a row, and that each row passes with every seed.
pub fn assert_table_holds<M: Machine>(name: &str, text: &str) {
    let faults: Vec<String> = faults::<M>(text).iter().map(TableFault::to_string).collect();
    assert!(faults.is_empty(), "{name}.toml:\n{}", faults.join("\n"));
}

/// The variants of a row with one expectation inverted.
fn inverted_rows<M: Machine>(row: &Row) -> Vec<Row> {
    let mut inverted = Vec::new();
    for (index, step) in row.steps.iter().enumerate() {
        for then in step.then.iter().flat_map(|then| inverted_expectations::<M>(then)) {
            let mut other = row.clone();
            other.steps[index].then = Some(then);
            inverted.push(other);
        }
    }
    inverted
}

/// Variants of the expectations of a step, each with one replaced by a contradicting one or left out; one variant with an
/// arbitrary expectation if there are none.
fn inverted_expectations<M: Machine>(observations: &[String]) -> Vec<Vec<String>> {
    if observations.is_empty() {
        return vec![vec![M::inverse("")]];
    }
    let mut inverted = Vec::new();
    for (index, observation) in observations.iter().enumerate() {
        let mut other = observations.to_vec();
        other[index] = M::inverse(observation);
        inverted.push(other.clone());
        other.remove(index);
        inverted.push(other);
    }
    inverted
}

/// Asserts that each row fails with every seed once any of its expectations is inverted or left out.
pub fn assert_inversions_fail<M: Machine>(name: &str, text: &str) {
    let table = ConformanceTable::parse(text).expect("invalid table");
    let mut count = 0;
    for row in &table.rows {
        let inverted = inverted_rows::<M>(row);
        count += inverted.len();
        for seed in 1..=M::SEEDS {
            let machine = machine_for::<M>(row, seed).expect("invalid initial state");
            let run = run_row(machine, row);
            let passing = inverted.iter().find(|other| run.passes(other));
            let Row { of, says, .. } = row;
            assert!(
                passing.is_none(),
                "{name}.toml, {of}: {says}: passes with an inverted expectation (seed {seed})"
            );
        }
    }
    println!(
        "{name}.toml: {} clauses, {} rows, {count} inverted rows",
        table.clauses.len(),
        table.rows.len()
    );
}
