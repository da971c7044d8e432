//! Why a report, of another member or of this one, was refused.

use thiserror::Error;

/// Why a fact of another member was refused. Each is counted in [`crate::Metrics`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbsorbError {
    /// It is longer than a fact may be.
    #[error("the fact is too long")]
    TooLong,
    /// It begins with another version.
    #[error("the fact is of another version")]
    Version,
    /// It cannot be read, or its slot contradicts its content.
    #[error("the fact cannot be read")]
    Malformed,
    /// Its place is not among the peers.
    #[error("the fact is of a place that is not listed")]
    Place,
    /// It reports a bucket before the horizon.
    #[error("the fact is older than the horizon")]
    Late,
    /// It is further in the future than clocks may differ.
    #[error("the fact is from the future")]
    Future,
    /// Its place has restarted too often since.
    #[error("the fact is of an epoch that is too far back")]
    Epoch,
    /// There is no room for more tenants.
    #[error("too many tenants")]
    Full,
}

/// Why usage of this member was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// It happened before the horizon.
    #[error("the use is older than the horizon")]
    Late,
    /// It is more than a bucket in the future.
    #[error("the use is from the future")]
    Future,
    /// There is no room for more tenants.
    #[error("too many tenants")]
    Full,
}
