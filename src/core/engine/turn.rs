//! What is due at a turn: timers fire, the decision module handles a batch of events, and its actions become commands.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId};
use crate::core::commands::{AttemptOutcome, Command, FinalResponse, RecordTicket};
use crate::core::ledger::Completion;
use crate::core::request::{RequestId, RequestPhase};
use crate::core::timers::Timer;
use crate::policy::interface::{Action, AttemptEnded, Event, Micros, Outcome, WorkerId};
use mothproxy_invariant::invariant;

/// The core itself fails a request that is still open this long after its deadline.
const OVERDUE_GRACE: Micros = 15_000;

impl Core {
    /// Fires the timers that are due and, if the next batch is due, hands the decision module what has come in.
    pub fn turn(&mut self, now: Micros) {
        let mut is_batch_urgent = false;
        while let Some(timer) = self.timers.pop_due(now) {
            is_batch_urgent |= matches!(timer, Timer::RequestDeadline(_));
            self.on_timer(now, timer);
        }
        if self.events.next_batch().is_some_and(|at| now >= at || is_batch_urgent) {
            self.batch(now);
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Policy(id) => self.events.push(Event::Timer(id)),
            Timer::Program(token) => self.commands.push_back(Command::TimerFired(token)),
            Timer::AttemptTimeout(id) => self.cancel_attempt(now, id, Outcome::Timeout),
            Timer::RequestDeadline(id) => self.on_request_deadline(now, id),
            Timer::OverdueResponse(id) => {
                // The module ends a request in time by itself; this guards the rule should it ever not.
                invariant!(false, "request {id} is past its deadline and open");
                self.respond(now, id, FinalResponse::TimedOut, Completion::Failed);
                self.events.push(Event::ClientDisconnected(id.job()));
            }
        }
    }

    fn on_request_deadline(&mut self, now: Micros, request_id: RequestId) {
        let attempts = self.requests.get(request_id).map_or(0, |request| request.attempts.len() as u32);
        for attempt in 0..attempts {
            self.cancel_attempt(now, AttemptId { request_id, attempt }, Outcome::Timeout);
        }
        if let Some(request) = self.requests.get_mut(request_id) {
            // Counted from now: after a turn that came late the module must still be asked first.
            let respond_at = now + OVERDUE_GRACE;
            request.phase = RequestPhase::Overdue { respond_at };
            self.timers.schedule(respond_at, Timer::OverdueResponse(request_id));
        }
    }

    /// Hands the decision module what has come in, and carries out its actions.
    pub fn batch(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for event in self.events.take_batch(now, self.batch_interval) {
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.on_action(now, action);
            }
        }
        self.actions = actions;
        self.requests.remove_finished();
    }

    fn on_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker, limit } => self.start_attempt(now, job.into(), worker, limit),
            Action::Cancel { job, attempt } => {
                self.cancel_attempt(now, AttemptId { request_id: job.into(), attempt }, Outcome::Cancelled);
            }
            Action::Reject { job, retry_after } => {
                self.respond(now, job.into(), FinalResponse::Rejected(retry_after), Completion::Rejected);
            }
            Action::Fail(job) => {
                let response = self.failure_response(now, job.into());
                self.respond(now, job.into(), response, Completion::Failed);
            }
            Action::SetTimer(id, after) => self.timers.schedule(now + after.max(1), Timer::Policy(id)),
            Action::Probe(worker) => self.commands.push_back(Command::Probe(worker)),
            Action::SendToPeer { to, bytes } => self.commands.push_back(Command::SendToPeer(to, bytes)),
            Action::OpenWatch => self.commands.push_back(Command::OpenWatch),
            Action::FetchList => self.commands.push_back(Command::FetchList),
        }
    }

    /// How a request fails now: at its deadline, or within two batches of it, it timed out.
    fn failure_response(&self, now: Micros, id: RequestId) -> FinalResponse {
        let is_late = |deadline| now + 2 * self.batch_interval >= deadline;
        match self.requests.get(id) {
            Some(request) if is_late(request.job.deadline) => FinalResponse::TimedOut,
            _ => FinalResponse::Failed,
        }
    }

    /// The decision module starts an attempt, which times out after `time_limit`, or at the request's deadline.
    fn start_attempt(
        &mut self,
        now: Micros,
        request_id: RequestId,
        worker: WorkerId,
        time_limit: Option<Micros>,
    ) {
        let Some(request) = self.requests.get_mut(request_id) else {
            invariant!(false, "an attempt of request {request_id}, which is no more");
            return;
        };
        let attempt = request.attempts.len() as u32;
        if !request.is_open() {
            // The batch was fixed before its request was closed: nothing is sent after a final response.
            request.attempts.push(Attempt::ended(worker, now, AttemptEnd::NeverSent));
            return self.events.push(Event::AttemptEnded(AttemptEnded {
                job: request_id.job(),
                attempt,
                worker,
                elapsed: 0,
                closed: true,
                outcome: Outcome::NeverSent,
                report: None,
            }));
        }
        let is_doubled = request.is_in_flight_at(worker);
        invariant!(!is_doubled, "worker {} has request {request_id} already", worker.0);
        let timeout_at = time_limit.map(|span| now + span).filter(|at| *at < request.job.deadline);
        request.attempts.push(Attempt::in_flight(worker, now, timeout_at));
        let has_key = request.idempotency_key.is_some();
        let id = AttemptId { request_id, attempt };
        if let Some(at) = timeout_at {
            self.timers.schedule(at, Timer::AttemptTimeout(id));
        }
        if has_key {
            let ticket = RecordTicket(id.to_number());
            self.unpersisted.insert(ticket, id);
            self.persist_record(now, request_id, Some(ticket), None);
        } else {
            self.commands.push_back(Command::StartAttempt { request_id, attempt, worker });
        }
    }

    /// Stops waiting for an attempt that is in flight: its worker is sent a cancel, and it ends with this outcome. One that still
    /// waits for its record has not left, and ends as never sent.
    fn cancel_attempt(&mut self, now: Micros, id: AttemptId, outcome: Outcome) {
        let AttemptId { request_id, attempt } = id;
        let Some(request) = self.requests.get(request_id) else { return };
        let Some(worker) = request.in_flight(attempt).map(|attempt| attempt.worker) else { return };
        let outcome = if self.unpersisted.remove(&RecordTicket(id.to_number())).is_some() {
            Outcome::NeverSent
        } else {
            let name = request.name.clone();
            self.commands.push_back(Command::CancelAttempt { request_id, attempt, worker, name });
            outcome
        };
        self.on_attempt_ended(now, request_id, attempt, AttemptOutcome::Unserved(outcome), None);
    }
}
