//! Balancers that ignore load reports. A clause whose rows all pass with one of them would not test the decision module.

use super::DecisionMachine;
use crate::runner::{machine_for, run_row};
use crate::table::{ConformanceTable, Row};
use std::collections::BTreeSet;

/// A worker that the endpoint list marks as ready.
#[derive(Clone, Copy)]
pub struct ReadyWorker {
    pub id: u32,
    /// The number of its outstanding jobs.
    pub outstanding: usize,
}

/// Chooses the index of a worker for the job with this id. A job is always sent immediately.
pub type ChooseWorker = fn(&[ReadyWorker], u64) -> usize;

struct SimpleBalancer {
    name: &'static str,
    choose: ChooseWorker,
}

const SIMPLE_BALANCERS: [SimpleBalancer; 4] = [
    SimpleBalancer { name: "the first worker", choose: |_, _| 0 },
    SimpleBalancer { name: "the last worker", choose: |ready, _| ready.len() - 1 },
    SimpleBalancer {
        name: "workers in turn",
        choose: |ready, job| (job as usize + ready.len() - 1) % ready.len(),
    },
    SimpleBalancer {
        name: "the worker with the fewest outstanding jobs",
        choose: |ready, _| {
            let least_loaded = ready.iter().enumerate().min_by_key(|(_, worker)| worker.outstanding);
            least_loaded.map_or(0, |(index, _)| index)
        },
    },
];

/// Whether the row fails when this balancer chooses the workers.
fn row_fails(row: &Row, choose: ChooseWorker) -> bool {
    let machine: DecisionMachine = machine_for(row, 1).expect("invalid initial state");
    !run_row(machine.with_balancer(choose), row).passes(row)
}

/// Asserts that each simple balancer fails at least one row of each clause.
pub fn assert_each_fails_every_clause(name: &str, text: &str) {
    let table = ConformanceTable::parse(text).expect("invalid table");
    let clauses: BTreeSet<&str> = table.rows.iter().map(|row| row.of.as_str()).collect();
    for clause in clauses {
        for SimpleBalancer { name: balancer, choose } in SIMPLE_BALANCERS {
            let is_failed = table.rows_of(clause).any(|row| row_fails(row, choose));
            assert!(
                is_failed,
                "{name}.toml: a balancer that chooses {balancer} passes every row of {clause}"
            );
        }
    }
}
