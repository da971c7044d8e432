//! What one process of a dispatcher hands to its successor: requests under way, and the decision module's learned state.
//!
//! It travels as JSON, whose keys are kept for other versions. Times are Unix times in microseconds, since the clocks of the two
//! processes start at different moments; classes, tenants and workers go by name, since their numbers may differ.

use super::UnixMicros;
use super::idempotency::IdempotencyKey;
use crate::policy::Learned;
use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// A request under way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferredRequest {
    /// The client's id of the request.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The number of the subject that it concerns.
    pub key: Option<u32>,
    /// When it arrived.
    #[serde(rename = "arrived")]
    pub arrived_at: UnixMicros,
    /// When its client gives up.
    pub deadline: UnixMicros,
    /// Expected work, as time on a standard core.
    pub hint: Option<Micros>,
    /// Slots that it needs.
    pub slots: f64,
    /// Memory that it needs, in the unit in which workers report theirs.
    pub memory: Option<f64>,
    /// Whether its client marked it as a repeat.
    pub repeat: bool,
    /// Whether its client was notified that it has started.
    #[serde(rename = "told_started")]
    pub is_start_notified: bool,
    /// The idempotency key that its client gave it, where such keys are recorded.
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
    /// When it started to run, also of one that has ended.
    pub started_at: Option<UnixMicros>,
    /// How far it has come.
    pub phase: TransferredPhase,
}

/// How far a transferred attempt has come. One that never left its process is not transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferredPhase {
    /// Its end is still to come.
    InFlight,
    /// It has ended, and ran or may have run.
    MayHaveRun,
    /// It has ended and never ran.
    NeverRan,
    /// Its worker returned it unstarted by a callback, which it may repeat.
    ReturnedByCallback,
}

/// The form in which an attempt travels: a flag for each thing that may be known of it.
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
    /// While an attempt is in flight nothing is known of how it ends, whatever the other flags are.
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

/// What the decision module has learned, with the names behind its numbers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    /// The module's clock less Unix time, in microseconds.
    #[serde(rename = "offset")]
    pub clock_offset: i64,
    /// Workers by number.
    pub workers: Vec<String>,
    /// Kinds of machines by number.
    pub kinds: Vec<String>,
    /// Classes by number. Where a class was defined again, its later number counts.
    pub classes: Vec<String>,
    /// What was learned.
    pub learned: Learned,
}
