//! What can be observed of a worker, and what is known of one.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// What can be wrong with a worker, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It breaks connections.
    Resets,
    /// Connections or answers do not come.
    Hangs,
    /// It refuses connections.
    Refuses,
}

/// A worker's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// CPU utilisation, in 255ths.
    pub cpu: u8,
    /// Free slots, 255 for that many or more.
    pub free: u8,
}

/// One thing observed of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It took a connection, or answered.
    Alive,
    /// It showed this fault.
    Fault(Fault),
    /// It answered as one that has just started.
    WarmingUp,
    /// It reported its load (and so is alive).
    Report(Report),
}

/// What is known of a worker at present. Ages are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerStatus {
    /// Its worst fault since the last proof of life, with its age.
    pub fault: Option<(Fault, Micros)>,
    /// The age of the last proof of life.
    pub alive: Option<Micros>,
    /// The age of the last sign that it is warming up.
    pub warming_up: Option<Micros>,
    /// Its last report, with its age.
    pub report: Option<(Report, Micros)>,
    /// How much the newest of these counts now: 1 when it was observed, half of that every 5 s.
    pub weight: f64,
}
