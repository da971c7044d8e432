//! Why a job cannot be added or watched.

use std::fmt;

/// Why a job cannot be added or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokerError {
    /// There is no such job, or the token is another's: the caller does not learn which.
    Unknown,
    /// Its final event has been received, or was dropped: there is nothing to come back for.
    Over,
    /// The tenant has as many streams as it may.
    TooManyStreams,
    /// There is no room for another job.
    Full,
}

impl fmt::Display for BrokerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BrokerError::Unknown => "no such job, or a wrong token",
            BrokerError::Over => "the job's stream is over",
            BrokerError::TooManyStreams => "the tenant has too many streams",
            BrokerError::Full => "no room for another job",
        })
    }
}

impl std::error::Error for BrokerError {}
