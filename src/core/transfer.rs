//! A session on its way from one process of a dispatcher to another. Times are Unix times in microseconds: the two clocks
//! start at different moments.

use crate::policy::Learned;
use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// The session.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferredRequest {
    /// The request's id.
    pub name: String,
    /// Its class, by name: the other process may number them otherwise.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// What it concerns.
    pub key: Option<u32>,
    /// When it arrived.
    pub arrived: i64,
    /// When its client gives up.
    pub deadline: i64,
    /// Expected work.
    pub hint: Option<Micros>,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs.
    pub memory: Option<f64>,
    /// Whether it is marked as a repeat.
    pub repeat: bool,
    /// Whether its client has been told that it started.
    pub told_started: bool,
    /// The key that its client gave it, where keyed jobs are noted.
    #[serde(default)]
    pub token: Option<super::idempotency::IdempotencyKey>,
    /// What became of it so far.
    #[serde(rename = "dispatches")]
    pub attempts: Vec<TransferredAttempt>,
}

/// One of its dispatches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferredAttempt {
    /// The worker, by discovery's name.
    pub worker: String,
    /// When it was sent.
    pub at: i64,
    /// When it started to run.
    pub started: Option<i64>,
    /// Its end is still to come.
    pub out: bool,
    /// It has ended and never ran.
    pub never_ran: bool,
    /// Its worker handed it back by a call.
    #[serde(default)]
    pub handed_back: bool,
}

/// What the module of one process has learned, with the names behind its numbers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    /// Its clock less Unix time.
    pub offset: i64,
    /// Workers by number.
    pub workers: Vec<String>,
    /// Kinds by number.
    pub kinds: Vec<String>,
    /// Classes by number. Where one was defined anew, the later number counts.
    pub classes: Vec<String>,
    /// What was learned.
    pub learned: Learned,
}
