//! Reasons for which a report of another member, or usage of this one, is refused.

use thiserror::Error;

/// Why a fact of another member was refused. Each is counted in [`crate::Metrics`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbsorbError {
    /// The fact exceeds the maximum length.
    #[error("the fact exceeds the maximum length")]
    TooLong,
    /// The fact has an unknown version.
    #[error("the fact has an unknown version")]
    Version,
    /// The fact cannot be decoded, or its slot contradicts its contents.
    #[error("the fact is malformed")]
    Malformed,
    /// The fact is from a place that is not among the peers.
    #[error("the fact is from a place that is not among the peers")]
    Place,
    /// The fact reports a bucket before the horizon.
    #[error("the fact is older than the horizon")]
    Late,
    /// The fact is further in the future than clocks may differ.
    #[error("the fact is further in the future than clocks may differ")]
    Future,
    /// The fact is from an old epoch: its place has restarted too often since.
    #[error("the fact is from an epoch older than those kept of its place")]
    Epoch,
    /// There is no room for more tenants.
    #[error("there is no room for more tenants")]
    Full,
}

/// Why usage of this member was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The usage happened before the horizon.
    #[error("the usage is older than the horizon")]
    Late,
    /// The usage is in a later bucket than the current one.
    #[error("the usage is in a later bucket than the current one")]
    Future,
    /// There is no room for more tenants.
    #[error("there is no room for more tenants")]
    Full,
}
