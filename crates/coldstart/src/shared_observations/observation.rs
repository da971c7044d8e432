//! Observations of a worker, and the status computed from them.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A fault of a worker, in order of severity, the least severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The worker resets connections.
    Resets,
    /// A connection attempt or a request to the worker timed out.
    Hangs,
    /// The worker refuses connections.
    Refuses,
}

/// A worker's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// The CPU utilisation, in 255ths.
    pub cpu: u8,
    /// The number of free slots; 255 stands for 255 or more.
    pub free: u8,
}

/// One observation of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The worker accepted a connection or answered.
    Alive,
    /// The worker showed this fault.
    Fault(Fault),
    /// The worker's answer shows that it has just started.
    WarmingUp,
    /// The worker reported its load, and so is alive.
    Report(Report),
}

/// The current status of a worker. Ages are in microseconds; observations that are too old are `None`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerStatus {
    /// The worst fault since the last proof of life, with its age.
    pub fault: Option<(Fault, Micros)>,
    /// The age of the last proof of life.
    pub alive: Option<Micros>,
    /// The age of the last sign that the worker is warming up.
    pub warming_up: Option<Micros>,
    /// The last load report, with its age.
    pub report: Option<(Report, Micros)>,
    /// The weight of the newest of these observations: 1 when it was made, halved every 5 s.
    pub weight: f64,
}
