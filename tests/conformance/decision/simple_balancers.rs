//! Balancers that know nothing of load reports. A clause whose rows one of them meets would say nothing.

use super::DecisionMachine;
use crate::runner::{machine_for, play};
use crate::table::{ConformanceTable, Row};
use std::collections::BTreeSet;

/// A worker that the list calls ready.
#[derive(Clone, Copy)]
pub struct ReadyWorker {
    pub id: u32,
    /// The jobs that it has.
    pub outstanding: usize,
}

/// Chooses a worker, by its place, for the job of this number. It always sends at once.
pub type ChooseWorker = fn(&[ReadyWorker], u64) -> usize;

struct SimpleBalancer {
    name: &'static str,
    choose: ChooseWorker,
}

const SIMPLE_BALANCERS: [SimpleBalancer; 4] = [
    SimpleBalancer { name: "the first", choose: |_, _| 0 },
    SimpleBalancer { name: "the last", choose: |ready, _| ready.len() - 1 },
    SimpleBalancer { name: "in turn", choose: |ready, job| (job as usize + ready.len() - 1) % ready.len() },
    SimpleBalancer {
        name: "the fewest out",
        choose: |ready, _| {
            let least = ready.iter().enumerate().min_by_key(|(_, worker)| worker.outstanding);
            least.map_or(0, |(place, _)| place)
        },
    },
];

/// Whether the row fails when this balancer decides.
fn row_fails(row: &Row, choose: ChooseWorker) -> bool {
    let machine: DecisionMachine = machine_for(row, 1).expect("a situation");
    !play(machine.with_balancer(choose), row).passes(row)
}

/// Asserts that each clause has a row that each simple balancer fails: no clause is met by chance.
pub fn assert_each_misses_every_clause(name: &str, text: &str) {
    let table = ConformanceTable::parse(text).expect("a table");
    let clauses: BTreeSet<&str> = table.rows.iter().map(|row| row.of.as_str()).collect();
    for clause in clauses {
        for SimpleBalancer { name: balancer, choose } in SIMPLE_BALANCERS {
            let is_caught = table.rows_of(clause).any(|row| row_fails(row, choose));
            assert!(is_caught, "{name}.toml: a balancer that takes {balancer} meets every row of {clause}");
        }
    }
}
