//! The steps of a row for the decision module. Times are in milliseconds.

use super::situation::ListedWorker;
use mothproxy::*;
use serde::Deserialize;

/// An input to the dispatcher, or a query of its state.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DecisionStep {
    /// A load probe returns the load report of a worker.
    Report(WorkerLoad),
    /// A load probe ends without a report.
    #[serde(rename = "echo")]
    ProbeEnded {
        worker: u32,
        #[serde(rename = "as")]
        outcome: AttemptEnd,
    },
    /// Load probes return these reports `times` times, at intervals of `every` milliseconds.
    Reports {
        every: u64,
        times: u64,
        of: Vec<WorkerLoad>,
    },
    Arrive(NewRequest),
    End(EndedAttempt),
    /// The latest attempt of a job starts.
    Start {
        job: u64,
    },
    /// The client of a job disconnects.
    #[serde(rename = "hang_up")]
    Disconnect(u64),
    /// A snapshot of the endpoint list.
    List(Vec<ListedWorker>),
    /// A delta of the endpoint list.
    Changes(Vec<ListedWorker>),
    /// Fetching the endpoint list fails this many times.
    ListFailed(u32),
    /// Time passes.
    #[serde(rename = "pass")]
    Advance(u64),
    /// The number of different workers among the latest attempts; the argument is the number of attempts.
    Spread(usize),
    /// The capability score of a CPU utilisation and a load.
    Score(f64, f64),
}

/// The end of an attempt of a job; of the latest one unless `attempt` is given.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedAttempt {
    pub job: u64,
    #[serde(rename = "as")]
    pub outcome: AttemptEnd,
    pub attempt: Option<u32>,
    /// Time since it was sent.
    #[serde(default = "default_elapsed", rename = "took")]
    pub elapsed: u64,
    /// The load report that the worker returned with it.
    pub report: Option<Load>,
}

fn default_elapsed() -> u64 {
    5
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    Ok,
    Error,
    Full,
    Timeout,
    NoConnection,
    Broken,
    Cancelled,
}

impl From<AttemptEnd> for Outcome {
    fn from(end: AttemptEnd) -> Outcome {
        match end {
            AttemptEnd::Ok => Outcome::Ok,
            AttemptEnd::Error => Outcome::Error,
            AttemptEnd::Full => Outcome::Rejected,
            AttemptEnd::Timeout => Outcome::Timeout,
            AttemptEnd::NoConnection => Outcome::ConnectFailed,
            AttemptEnd::Broken => Outcome::Reset,
            AttemptEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// The contents of a load report.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    cpu: Option<f64>,
    free: Option<f64>,
    waiting: Option<f64>,
    memory: Option<f64>,
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> LoadReport {
        let Load { cpu, free, waiting, memory } = load;
        LoadReport { cpu, free_slots: free, waiting, free_memory: memory, ..LoadReport::default() }
    }
}

/// A load report and its worker. Repeats the fields of [`Load`], as serde cannot reject unknown fields beside a flattened struct.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLoad {
    pub worker: u32,
    cpu: Option<f64>,
    free: Option<f64>,
    waiting: Option<f64>,
    memory: Option<f64>,
}

impl From<WorkerLoad> for LoadReport {
    fn from(load: WorkerLoad) -> LoadReport {
        let WorkerLoad { worker: _, cpu, free, waiting, memory } = load;
        Load { cpu, free, waiting, memory }.into()
    }
}

/// A new job.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NewRequest {
    pub job: u64,
    pub class: u16,
    #[serde(rename = "patience")]
    pub time_budget: u64,
    /// Its run time; unknown if 0.
    pub work: u64,
    /// The number of slots that it needs.
    pub slots: f64,
    /// The memory that it needs.
    pub memory: Option<f64>,
}

impl Default for NewRequest {
    fn default() -> NewRequest {
        NewRequest { job: 1, class: 0, time_budget: 5_000, work: 100, slots: 1.0, memory: None }
    }
}
