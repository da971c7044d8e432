//! The one place that decides whether bytes of an attempt may be sent now.
//!
//! The decision to send an attempt is made earlier, from what was known then. In between, the client may have left, the request
//! may have ended or run out of time, another attempt may have run, and the worker may have begun to drain. Whoever writes bytes
//! of an attempt asks [`Core::check_send`] right before, with a fresh clock, and writes what the [`SendPermit`] says. Reads that
//! bring the facts up to date (clients, the watch of discovery) come before that. [`SendTally`] counts what was withheld, and
//! permits that were out of date by the time they had been used.

use super::attempt::{Attempt, AttemptId};
use super::engine::Core;
use super::request::PendingRequest;
use crate::policy::interface::{Idempotency, Micros};
use std::fmt;

/// A permit must be used within this time, in microseconds: the slack of the time that is told to a worker, and less than the
/// time within which an attempt may begin after its client has left.
pub const MAX_PERMIT_AGE: Micros = 100_000;

/// What the sender knows besides the core.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// How long the last byte may take to arrive, in microseconds.
    pub transit_time: Micros,
    /// Whether the worker takes work, at the address of the connection, according to a list that is not stale.
    pub is_worker_available: bool,
    /// Whether bytes of the attempt have been sent before. The rest may then be sent although the worker drains.
    pub has_begun: bool,
}

/// The permission to send bytes of an attempt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// When the permission was given, in microseconds.
    pub granted_at: Micros,
    /// How long the attempt's result is waited for, in microseconds. The worker is told no more than this.
    pub time_left: Micros,
}

impl SendPermit {
    /// Whether the permit was out of date when its bytes had been written, because the process was held up in between.
    pub fn is_outdated(&self, now: Micros) -> bool {
        now > self.granted_at + MAX_PERMIT_AGE
    }
}

/// Why bytes of an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The request has ended: it was answered, or its client has left.
    RequestEnded,
    /// The attempt has ended: it was cancelled or timed out.
    AttemptEnded,
    /// The time of the attempt or of the request is over.
    TimeOver,
    /// Another attempt may have run, and the class does not allow a repeat, or no longer.
    MayHaveRun,
    /// The worker drains, is gone, has another address, or is on a stale list.
    WorkerUnavailable,
}

/// How often bytes were withheld, by reason, and sent with an outdated permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendTally {
    request_ended: u64,
    attempt_ended: u64,
    time_over: u64,
    may_have_run: u64,
    worker_unavailable: u64,
    outdated: u64,
}

impl SendTally {
    /// Counts bytes that were withheld.
    pub fn record_refusal(&mut self, reason: SendRefusal) {
        *match reason {
            SendRefusal::RequestEnded => &mut self.request_ended,
            SendRefusal::AttemptEnded => &mut self.attempt_ended,
            SendRefusal::TimeOver => &mut self.time_over,
            SendRefusal::MayHaveRun => &mut self.may_have_run,
            SendRefusal::WorkerUnavailable => &mut self.worker_unavailable,
        } += 1;
    }

    /// Counts a permit whose bytes have been written by `now`, if it was out of date by then.
    pub fn record_sent(&mut self, permit: SendPermit, now: Micros) {
        self.outdated += u64::from(permit.is_outdated(now));
    }
}

impl fmt::Display for SendTally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "request_ended={} attempt_ended={} time_over={} may_have_run={} worker_unavailable={} outdated={}",
            self.request_ended,
            self.attempt_ended,
            self.time_over,
            self.may_have_run,
            self.worker_unavailable,
            self.outdated
        )
    }
}

impl Core {
    /// Decides whether bytes of an attempt may be sent now.
    ///
    /// # Errors
    /// The reason why they may not.
    pub fn check_send(
        &self,
        now: Micros,
        id: AttemptId,
        conditions: SendConditions,
    ) -> Result<SendPermit, SendRefusal> {
        let request = self.open_request(id.request_id).ok_or(SendRefusal::RequestEnded)?;
        let attempt = request.in_flight(id.number).ok_or(SendRefusal::AttemptEnded)?;
        let ends_at = attempt.timeout_at().unwrap_or(request.job().deadline);
        if now >= ends_at {
            return Err(SendRefusal::TimeOver);
        }
        let arrives_at = now + self.batch_interval() + conditions.transit_time;
        if !self.may_repeat(request, id, arrives_at) {
            return Err(SendRefusal::MayHaveRun);
        }
        if !conditions.is_worker_available && !conditions.has_begun {
            return Err(SendRefusal::WorkerUnavailable);
        }
        Ok(SendPermit { granted_at: now, time_left: ends_at - now })
    }

    /// Whether the other attempts of a request allow this one, whose last byte arrives at `arrives_at`.
    fn may_repeat(&self, request: &PendingRequest, id: AttemptId, arrives_at: Micros) -> bool {
        let others = (0..).zip(request.attempts()).filter(|(number, _)| *number != id.number);
        let mut may_have_run =
            others.map(|(_, other)| other).filter(|other: &&Attempt| !other.has_never_run());
        match self.request_class(id.request_id).map(|class| class.idempotency) {
            Some(Idempotency::IdempotentWithKey { window, .. }) => {
                may_have_run.all(|other| arrives_at < other.sent_at() + window)
            }
            Some(Idempotency::NonIdempotent) => may_have_run.next().is_none(),
            Some(Idempotency::Idempotent) | None => true,
        }
    }
}
