//! Identifiers of attempts, workers and kinds of workers.

use crate::stable_hash;
use serde::{Deserialize, Serialize};

/// The caller's number of an attempt that occupies a slot at a worker. It has no meaning at other dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The key of a worker, the same at every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u64);

impl WorkerKey {
    /// The key of the worker with this name.
    pub fn from_name(name: &str) -> WorkerKey {
        WorkerKey(stable_hash(name.as_bytes()))
    }
}

/// A kind of worker, such as a type of machine; all workers of a kind have about the same speed. The number is the same at
/// every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerKind(pub u32);

impl WorkerKind {
    /// Stands for all kinds that do not have a total of their own in a summary.
    pub(crate) const OTHER: WorkerKind = WorkerKind(u32::MAX);

    /// The kind with this name.
    pub fn from_name(name: &str) -> WorkerKind {
        WorkerKind(stable_hash(name.as_bytes()) as u32)
    }
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The kind of the worker.
    pub kind: WorkerKind,
    /// The worker at which the attempt runs.
    pub worker: WorkerKey,
}
