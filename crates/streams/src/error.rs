//! Why a job cannot be added or watched.

/// Why a job cannot be added or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokerError {
    /// There is no such job, or the token is wrong. The error does not tell the client which.
    #[error("no such job, or a wrong token")]
    Unknown,
    /// The client has received the final event, or the event was dropped: there is nothing left to receive.
    #[error("the job's stream has ended")]
    StreamEnded,
    /// The tenant has reached its limit of streams.
    #[error("the tenant has too many streams")]
    TooManyStreams,
    /// There is no room for another job, or its public id is in use.
    #[error("no room for another job")]
    Full,
}
