//! The messages by which one process of a dispatcher transfers open requests and the decision module's learned state to its
//! successor.
//!
//! The messages are encoded as JSON, whose keys must stay the same for compatibility with other versions. Times are Unix times in
//! microseconds, because the clocks of the two processes start at different times. Classes, tenants and workers are identified by
//! name, because their ids may differ.

use super::UnixMicros;
use super::idempotency::IdempotencyKey;
use crate::policy::Learned;
use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// An open request that is transferred to another process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferredRequest {
    /// The client's id of the request.
    pub name: String,
    /// The name of the request's class.
    pub class: String,
    /// The name of the request's tenant; `None` if it has none.
    pub tenant: Option<String>,
    /// The number of the request's subject; `None` if it has none.
    #[serde(rename = "key")]
    pub subject: Option<u32>,
    /// When the request arrived.
    #[serde(rename = "arrived")]
    pub arrived_at: UnixMicros,
    /// The deadline, when the client stops waiting.
    pub deadline: UnixMicros,
    /// The expected work, in microseconds on a standard core; `None` if the client does not state it.
    pub hint: Option<Micros>,
    /// The number of slots that the job needs at a worker.
    pub slots: f64,
    /// The memory that the job needs, in the unit of the workers' reports; `None` if memory does not count.
    pub memory: Option<f64>,
    /// Whether the client marked the request as a retry.
    #[serde(rename = "repeat")]
    pub is_retry: bool,
    /// Whether the client has been notified that the job has started.
    #[serde(rename = "told_started")]
    pub is_start_notified: bool,
    /// The idempotency key; `None` if the request has none or keys are not recorded.
    #[serde(default, rename = "token")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// The attempts so far, in the order sent.
    #[serde(rename = "dispatches")]
    pub attempts: Vec<TransferredAttempt>,
}

/// An attempt of a transferred request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "AttemptMessage", into = "AttemptMessage")]
pub struct TransferredAttempt {
    /// The worker's instance id.
    pub worker: String,
    /// When the attempt was sent.
    pub sent_at: UnixMicros,
    /// When the attempt started to run, kept after its end; `None` if it has not reported a start.
    pub started_at: Option<UnixMicros>,
    /// The phase of the attempt.
    pub phase: TransferredPhase,
}

/// The phase of a transferred attempt. An attempt that was never sent is not transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferredPhase {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has ended, and ran or may have run.
    MayHaveRun,
    /// The attempt has ended and never ran.
    NeverRan,
    /// The worker returned the job unstarted by a callback. The callback may be repeated.
    ReturnedByCallback,
}

/// The encoded form of an attempt, in which several flags together represent the phase.
#[derive(Clone, Deserialize, Serialize)]
struct AttemptMessage {
    worker: String,
    #[serde(rename = "at")]
    sent_at: UnixMicros,
    #[serde(rename = "started")]
    started_at: Option<UnixMicros>,
    #[serde(rename = "out")]
    is_in_flight: bool,
    never_ran: bool,
    #[serde(default, rename = "handed_back")]
    is_returned_by_callback: bool,
}

impl From<AttemptMessage> for TransferredAttempt {
    /// Derives the phase from the flags. While an attempt is in flight, the other flags are ignored.
    fn from(message: AttemptMessage) -> TransferredAttempt {
        let phase = if message.is_in_flight {
            TransferredPhase::InFlight
        } else if message.is_returned_by_callback {
            TransferredPhase::ReturnedByCallback
        } else if message.never_ran {
            TransferredPhase::NeverRan
        } else {
            TransferredPhase::MayHaveRun
        };
        let AttemptMessage { worker, sent_at, started_at, .. } = message;
        TransferredAttempt { worker, sent_at, started_at, phase }
    }
}

impl From<TransferredAttempt> for AttemptMessage {
    fn from(attempt: TransferredAttempt) -> AttemptMessage {
        let TransferredAttempt { worker, sent_at, started_at, phase } = attempt;
        let is_returned_by_callback = phase == TransferredPhase::ReturnedByCallback;
        AttemptMessage {
            worker,
            sent_at,
            started_at,
            is_in_flight: phase == TransferredPhase::InFlight,
            never_ran: is_returned_by_callback || phase == TransferredPhase::NeverRan,
            is_returned_by_callback,
        }
    }
}

/// The learned state of the decision module, with the names for the ids in that state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    /// The module's clock minus Unix time, in microseconds.
    #[serde(rename = "offset")]
    pub clock_offset: i64,
    /// The names of the workers, by id.
    pub workers: Vec<String>,
    /// The names of the kinds of machines, by id.
    pub kinds: Vec<String>,
    /// The names of the classes, by id. A redefined class has several ids, of which the last one is the current definition.
    pub classes: Vec<String>,
    /// The learned state.
    pub learned: Learned,
}
