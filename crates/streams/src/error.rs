//! Why a job cannot be added or watched.

/// Why a job cannot be added or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokerError {
    /// There is no such job, or the token is another's: the caller does not learn which.
    #[error("no such job, or a wrong token")]
    Unknown,
    /// Its final event has been received, or was dropped: there is nothing to come back for.
    #[error("the job's stream is over")]
    Over,
    /// The tenant has as many streams as it may.
    #[error("the tenant has too many streams")]
    TooManyStreams,
    /// There is no room for another job.
    #[error("no room for another job")]
    Full,
}
