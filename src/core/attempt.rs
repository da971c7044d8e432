//! One attempt of a request, which is sent to one worker.

use super::request::RequestId;
use super::timers::{Timer, TimerQueue};
use crate::policy::interface::{AttemptEnded, Event, Micros, Outcome, PriorAttempt, WorkerId};

/// Identifies an attempt among all requests of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request_id: RequestId,
    /// The attempt's number within the request, from 0.
    pub number: u32,
}

impl AttemptId {
    /// The id as one number, for a [`RecordTicket`](super::RecordTicket) and for the learners. The number is unique as long as a
    /// request has at most 256 attempts; the settings allow far fewer.
    pub(super) fn to_u64(self) -> u64 {
        self.request_id.0 << 8 | u64::from(self.number & 0xff)
    }
}

impl From<AttemptId> for mothproxy_runtimes::AttemptId {
    fn from(id: AttemptId) -> mothproxy_runtimes::AttemptId {
        mothproxy_runtimes::AttemptId(id.to_u64())
    }
}

/// An attempt and its phase.
#[derive(Debug)]
pub(super) struct Attempt {
    worker: WorkerId,
    sent_at: Micros,
    /// When the worker first reported that the attempt runs; kept after the end.
    started_at: Option<Micros>,
    phase: AttemptPhase,
}

/// The phase of an attempt. Whether an attempt never ran is known only after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// The attempt has not ended. It may still be waiting for its idempotency record to be persisted.
    InFlight {
        /// When the attempt times out; `None` if that is at the request's deadline.
        timeout_at: Option<Micros>,
    },
    /// The attempt has ended.
    Ended(AttemptEnd),
}

/// What the end of an attempt shows about whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The attempt ran or may have run.
    MayHaveRun,
    /// The attempt never ran: the worker rejected it or was not reached, or its idempotency record could not be persisted.
    NeverRan,
    /// The worker returned the job unstarted by a callback. The callback may be repeated.
    ReturnedByCallback,
    /// The attempt was never sent.
    NeverSent,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> AttemptEnd {
        match outcome {
            Outcome::NeverSent => AttemptEnd::NeverSent,
            Outcome::ReturnedByCallback => AttemptEnd::ReturnedByCallback,
            _ if outcome.never_ran() => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        }
    }
}

impl Attempt {
    /// Creates an attempt that is in flight from `now` on.
    pub fn in_flight(worker: WorkerId, now: Micros, timeout_at: Option<Micros>) -> Attempt {
        Attempt { worker, sent_at: now, started_at: None, phase: AttemptPhase::InFlight { timeout_at } }
    }

    /// Creates an attempt that has already ended.
    pub fn ended(worker: WorkerId, sent_at: Micros, end: AttemptEnd) -> Attempt {
        Attempt { worker, sent_at, started_at: None, phase: AttemptPhase::Ended(end) }
    }

    /// Sets when the attempt started; `None` if it has not reported a start.
    pub fn with_start(self, started_at: Option<Micros>) -> Attempt {
        Attempt { started_at, ..self }
    }

    /// The worker that the attempt is sent to.
    pub fn worker(&self) -> WorkerId {
        self.worker
    }

    /// When the decision module decided to send the attempt.
    pub fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// When the worker first reported that the attempt runs; kept after the end.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// The phase of the attempt.
    pub fn phase(&self) -> AttemptPhase {
        self.phase
    }

    /// Whether the attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, AttemptPhase::InFlight { .. })
    }

    /// Whether the attempt has ended without having run.
    pub fn has_never_run(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(end) if end != AttemptEnd::MayHaveRun)
    }

    /// When the attempt times out; `None` if it has ended or times out at the request's deadline.
    pub fn timeout_at(&self) -> Option<Micros> {
        match self.phase {
            AttemptPhase::InFlight { timeout_at } => timeout_at,
            AttemptPhase::Ended(_) => None,
        }
    }

    /// Records the worker's report that the attempt runs. Returns whether this is the first such report.
    pub fn record_start(&mut self, now: Micros) -> bool {
        let is_first = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        is_first
    }

    /// Ends the attempt and cancels its timeout. Returns whether the attempt was in flight: only the first end counts.
    pub fn finish(&mut self, id: AttemptId, end: AttemptEnd, timers: &mut TimerQueue) -> bool {
        let AttemptPhase::InFlight { timeout_at } = self.phase else { return false };
        if let Some(at) = timeout_at {
            timers.cancel(at, Timer::AttemptTimeout(id));
        }
        self.phase = AttemptPhase::Ended(end);
        true
    }

    /// The attempt in the form in which the decision module adopts it from another process.
    pub fn to_prior(&self) -> PriorAttempt {
        PriorAttempt {
            worker: self.worker,
            sent_at: self.sent_at,
            is_outstanding: self.is_in_flight(),
            running_since: self.started_at,
            never_ran: self.has_never_run(),
            is_returned_by_callback: self.phase == AttemptPhase::Ended(AttemptEnd::ReturnedByCallback),
        }
    }
}

/// The event for the end of an attempt whose request is closed. The event carries no information on the worker's performance.
pub(super) fn closed_attempt_ended(id: AttemptId, worker: WorkerId, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        job: id.request_id.job(),
        attempt: id.number,
        worker,
        elapsed: 0,
        is_job_closed: true,
        outcome,
        report: None,
    })
}
