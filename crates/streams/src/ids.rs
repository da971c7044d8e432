//! The identifiers of a job: the broker's id, the clients' id, and the secret token that lets a client watch the job.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a job at its broker, from 0. The number has no meaning in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The random id by which clients name a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PublicJobId(pub u64);

/// The random secret that lets a client watch a job. The `Debug` form does not show the secret.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchToken(pub u128);

impl WatchToken {
    /// Compares two tokens in a time that does not depend on their values.
    pub(crate) fn equals_in_constant_time(self, other: WatchToken) -> bool {
        std::hint::black_box(self.0 ^ other.0) == 0
    }
}

impl fmt::Debug for WatchToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("WatchToken(..)")
    }
}
