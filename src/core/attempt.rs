//! One attempt of a request: it is forwarded once, to one worker.

use super::request::RequestId;
use super::timers::{Timer, TimerQueue};
use crate::policy::interface::{Micros, Outcome, PriorAttempt, WorkerId};

/// Names an attempt among all requests of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
}

impl AttemptId {
    /// The same as one number, for a [`RecordTicket`] and for what learns of run times. It is unique as long as a request has at most
    /// 256 attempts; the settings allow far fewer.
    ///
    /// [`RecordTicket`]: super::commands::RecordTicket
    pub(super) fn to_number(self) -> u64 {
        self.request_id.0 << 8 | u64::from(self.attempt & 0xff)
    }
}

/// An attempt and how far it has come.
#[derive(Debug)]
pub(super) struct Attempt {
    pub worker: WorkerId,
    /// When it was decided.
    pub sent_at: Micros,
    /// When the worker first reported that it runs. It stays after the end.
    pub started_at: Option<Micros>,
    phase: AttemptPhase,
}

#[derive(Debug)]
enum AttemptPhase {
    /// Its end is still owed to the decision module. It may still wait for its idempotency record to be persisted.
    InFlight {
        /// When it times out, if that is before the request's deadline.
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
    /// It never ran: the worker rejected it, or was not reached, or its record could not be persisted.
    NeverRan,
    /// The worker handed it back by a callback, which it may repeat.
    HandedBack,
    /// It never left this process.
    NeverSent,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> AttemptEnd {
        match outcome {
            Outcome::NeverSent => AttemptEnd::NeverSent,
            Outcome::HandedBack => AttemptEnd::HandedBack,
            _ if outcome.never_ran() => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        }
    }
}

impl Attempt {
    /// One that is in flight from `now` on.
    pub fn in_flight(worker: WorkerId, now: Micros, timeout_at: Option<Micros>) -> Attempt {
        Attempt { worker, sent_at: now, started_at: None, phase: AttemptPhase::InFlight { timeout_at } }
    }

    /// One that has ended already.
    pub fn ended(worker: WorkerId, sent_at: Micros, end: AttemptEnd) -> Attempt {
        Attempt { worker, sent_at, started_at: None, phase: AttemptPhase::Ended(end) }
    }

    /// Whether its end is still owed.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.phase, AttemptPhase::InFlight { .. })
    }

    /// Whether it has ended and never ran.
    pub fn has_never_run(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(end) if end != AttemptEnd::MayHaveRun)
    }

    /// Whether the worker handed it back by a callback.
    pub fn is_handed_back(&self) -> bool {
        self.has_ended_as(AttemptEnd::HandedBack)
    }

    /// Whether it has ended in this way.
    pub fn has_ended_as(&self, end: AttemptEnd) -> bool {
        matches!(self.phase, AttemptPhase::Ended(own) if own == end)
    }

    /// When it times out, if it is in flight and that is before the request's deadline.
    pub fn timeout_at(&self) -> Option<Micros> {
        match self.phase {
            AttemptPhase::InFlight { timeout_at } => timeout_at,
            AttemptPhase::Ended(_) => None,
        }
    }

    /// Ends it and cancels its timeout. Whether it was in flight: only the first end counts.
    pub fn finish(&mut self, id: AttemptId, end: AttemptEnd, timers: &mut TimerQueue) -> bool {
        let AttemptPhase::InFlight { timeout_at } = self.phase else { return false };
        if let Some(at) = timeout_at {
            timers.cancel(at, Timer::AttemptTimeout(id));
        }
        self.phase = AttemptPhase::Ended(end);
        true
    }

    /// It as the decision module adopts it from another process.
    pub fn to_prior(&self) -> PriorAttempt {
        PriorAttempt {
            worker: self.worker,
            at: self.sent_at,
            out: self.is_in_flight(),
            running_since: self.started_at,
            never_ran: self.has_never_run(),
            handed_back: self.is_handed_back(),
        }
    }
}
