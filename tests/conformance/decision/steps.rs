//! The steps of a row for the decision module. Times are in milliseconds.

use super::situation::ListedWorker;
use mothproxy::*;
use serde::Deserialize;

/// What happens to the dispatcher, or what is asked of it.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DecisionStep {
    /// A probe brings a worker's load report.
    Report(WorkerLoad),
    /// A probe ended so, without a report.
    Echo {
        worker: u32,
        #[serde(rename = "as")]
        outcome: AttemptEnd,
    },
    /// Probes bring reports of the workers, each `every` milliseconds, so many times.
    Reports {
        every: u64,
        times: u64,
        of: Vec<WorkerLoad>,
    },
    Arrive(NewRequest),
    End(EndedAttempt),
    /// The newest attempt of a job starts.
    Start {
        job: u64,
    },
    /// The client of a job disconnects.
    HangUp(u64),
    /// A whole list.
    List(Vec<ListedWorker>),
    /// Changes of a list.
    Changes(Vec<ListedWorker>),
    /// So many times.
    ListFailed(u32),
    /// So much time goes by.
    Pass(u64),
    /// At how many workers the last so many jobs sent are.
    Spread(usize),
    /// The fuzzy capability of these inputs.
    Score(f64, f64),
}

/// The newest attempt of a job, or this one, ended so.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedAttempt {
    pub job: u64,
    #[serde(rename = "as")]
    pub outcome: AttemptEnd,
    pub attempt: Option<u32>,
    /// Since it was sent.
    #[serde(default = "default_elapsed", rename = "took")]
    pub elapsed: u64,
    /// With it came a report of its worker.
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

/// What a load report says.
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

/// A load report, and whose it is. It repeats the fields of [`Load`], as serde refuses no unknown field beside a flattened one.
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

/// A job that arrives.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NewRequest {
    pub job: u64,
    pub class: u16,
    #[serde(rename = "patience")]
    pub time_budget: u64,
    /// How long it runs; unknown if 0.
    pub work: u64,
    /// The slots that it needs.
    pub slots: f64,
    /// The memory that it needs.
    pub memory: Option<f64>,
}

impl Default for NewRequest {
    fn default() -> NewRequest {
        NewRequest { job: 1, class: 0, time_budget: 5_000, work: 100, slots: 1.0, memory: None }
    }
}
