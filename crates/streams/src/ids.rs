//! How a job is named: by its broker, by clients, and by the secret that lets a client watch it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A job, numbered by its broker from 0. The number means nothing to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The id by which clients name a job; random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PublicJobId(pub u64);

/// The secret that lets a client watch a job; random. It is not printed.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchToken(pub u128);

impl WatchToken {
    /// Compares in a time that does not depend on how much is equal.
    pub(crate) fn equals_in_constant_time(self, other: WatchToken) -> bool {
        std::hint::black_box(self.0 ^ other.0) == 0
    }
}

impl fmt::Debug for WatchToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("WatchToken(..)")
    }
}
