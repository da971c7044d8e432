//! The messages by which one process of a dispatcher transfers open requests and the decision module's learned state to its
//! successor.
//!
//! They are encoded as JSON, whose keys must stay the same for other versions. Times are Unix times in microseconds, because the
//! clocks of the two processes start at different moments. Classes, tenants and workers are identified by name, because their ids
//! may differ.

use super::UnixMicros;
use super::idempotency::IdempotencyKey;
use crate::policy::Learned;
use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// An open request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferredRequest {
    /// The client's id of the request.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The number of its subject.
    pub key: Option<u32>,
    /// When it arrived.
    #[serde(rename = "arrived")]
    pub arrived_at: UnixMicros,
    /// Its deadline, when its client gives up.
    pub deadline: UnixMicros,
    /// The expected work, as time on a standard core.
    pub hint: Option<Micros>,
    /// Slots that it needs.
    pub slots: f64,
    /// Memory that it needs, in the unit of the workers' reports.
    pub memory: Option<f64>,
    /// Whether its client marked it as a repeat.
    pub repeat: bool,
    /// Whether its client has been notified of its start.
    #[serde(rename = "told_started")]
    pub is_start_notified: bool,
    /// Its idempotency key; `None` if it has none or keys are not recorded.
    #[serde(default, rename = "token")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Its attempts so far, in the order sent.
    #[serde(rename = "dispatches")]
    pub attempts: Vec<TransferredAttempt>,
}

/// An attempt of a transferred request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "AttemptMessage", into = "AttemptMessage")]
pub struct TransferredAttempt {
    /// The worker's instance id.
    pub worker: String,
    /// When it was sent.
    pub sent_at: UnixMicros,
    /// When it started to run; kept after its end.
    pub started_at: Option<UnixMicros>,
    /// Its phase.
    pub phase: TransferredPhase,
}

/// The phase of a transferred attempt. An attempt that was never sent is not transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferredPhase {
    /// It has not ended.
    InFlight,
    /// It has ended, and ran or may have run.
    MayHaveRun,
    /// It has ended and never ran.
    NeverRan,
    /// Its worker returned it unstarted by a callback, which it may repeat.
    ReturnedByCallback,
}

/// The encoded form of an attempt, with one flag for each fact that may be known about it.
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
    /// While an attempt is in flight, the other flags mean nothing.
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

/// What the decision module has learned, with the names of the ids in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    /// The module's clock minus Unix time, in microseconds.
    #[serde(rename = "offset")]
    pub clock_offset: i64,
    /// Names of workers, by id.
    pub workers: Vec<String>,
    /// Names of kinds of machines, by id.
    pub kinds: Vec<String>,
    /// Names of classes, by id. A redefined class has several ids, of which the last one counts.
    pub classes: Vec<String>,
    /// The learned state.
    pub learned: Learned,
}
