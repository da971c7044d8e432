//! One attempt of a request: one forwarding to one worker.

use super::request::RequestId;
use super::timers::{Timer, TimerQueue};
use crate::policy::interface::{AttemptEnded, Event, Micros, Outcome, PriorAttempt, WorkerId};

/// Identifies an attempt among all requests of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// The attempt's number within the request, from 0.
    pub number: u32,
}

impl AttemptId {
    /// The id as one number, for a [`RecordTicket`](super::RecordTicket) and for the learners. It is unique if a request has at
    /// most 256 attempts; the settings allow far fewer.
    pub(super) fn to_number(self) -> u64 {
        self.request_id.0 << 8 | u64::from(self.number & 0xff)
    }
}

impl From<AttemptId> for mothproxy_runtimes::AttemptId {
    fn from(id: AttemptId) -> mothproxy_runtimes::AttemptId {
        mothproxy_runtimes::AttemptId(id.to_number())
    }
}

/// An attempt and how far it has come.
#[derive(Debug)]
pub(super) struct Attempt {
    worker: WorkerId,
    sent_at: Micros,
    /// Kept after the end.
    started_at: Option<Micros>,
    phase: AttemptPhase,
}

/// The phase of an attempt. Only after its end can it be known that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// The decision module is still owed its end. It may still wait for its idempotency record to be persisted.
    InFlight {
        /// When it times out; `None` if that is at the request's deadline.
        timeout_at: Option<Micros>,
    },
    /// It has ended.
    Ended(AttemptEnd),
}

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// It ran, or may have run.
    MayHaveRun,
    /// It never ran: the worker rejected it or was not reached, or its idempotency record could not be persisted.
    NeverRan,
    /// The worker returned it unstarted by a callback, which it may repeat.
    ReturnedByCallback,
    /// It never left this process.
    NeverSent,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> AttemptEnd {
        match outcome {
            Outcome::NeverSent => AttemptEnd::NeverSent,
            Outcome::HandedBack => AttemptEnd::ReturnedByCallback,
            _ if outcome.never_ran() => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        }
    }
}

impl Attempt {
    /// An attempt that is in flight from `now` on.
    pub fn in_flight(worker: WorkerId, now: Micros, timeout_at: Option<Micros>) -> Attempt {
        Attempt { worker, sent_at: now, started_at: None, phase: AttemptPhase::InFlight { timeout_at } }
    }

    /// An attempt that has ended already.
    pub fn ended(worker: WorkerId, sent_at: Micros, end: AttemptEnd) -> Attempt {
        Attempt { worker, sent_at, started_at: None, phase: AttemptPhase::Ended(end) }
    }

    /// Sets when the attempt started; `None` if it has not reported a start.
    pub fn with_start(self, started_at: Option<Micros>) -> Attempt {
        Attempt { started_at, ..self }
    }

    /// The worker that it goes to.
    pub fn worker(&self) -> WorkerId {
        self.worker
    }

    /// When the decision module decided to send it.
    pub fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// When the worker first reported that it runs; kept after its end.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// How far it has come.
    pub fn phase(&self) -> AttemptPhase {
        self.phase
    }

    /// Whether its end is still owed.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, AttemptPhase::InFlight { .. })
    }

    /// Whether it has ended and never ran.
    pub fn has_never_run(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(end) if end != AttemptEnd::MayHaveRun)
    }

    /// When it times out; `None` if it has ended or times out at the request's deadline.
    pub fn timeout_at(&self) -> Option<Micros> {
        match self.phase {
            AttemptPhase::InFlight { timeout_at } => timeout_at,
            AttemptPhase::Ended(_) => None,
        }
    }

    /// Records that its worker reports that it runs. Returns whether this is the first such report.
    pub fn record_start(&mut self, now: Micros) -> bool {
        let is_first = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        is_first
    }

    /// Ends it and cancels its timeout. Returns whether it was in flight: only the first end counts.
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
            is_handed_back: self.phase == AttemptPhase::Ended(AttemptEnd::ReturnedByCallback),
        }
    }
}

/// The event for the end of an attempt whose request is over. It says nothing about the worker's performance.
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
