//! A turn of the core: timers fire, the decision module handles a batch of events, and its actions are converted to commands.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId, closed_attempt_ended};
use crate::core::commands::{AttemptOutcome, Command, FinalResponse, RecordTicket};
use crate::core::ledger::Completion;
use crate::core::request::{PendingRequest, RequestId};
use crate::core::timers::Timer;
use crate::policy::interface::{Action, Event, Micros, Outcome, WorkerId};
use mothproxy_invariant::invariant;

/// How long after the handling of a request's deadline the core itself fails the request if it is still open, in microseconds.
const OVERDUE_GRACE: Micros = 15_000;

impl Core {
    /// Fires the timers that are due. If the next batch is due or a request's deadline has passed, passes the pending events to
    /// the decision module.
    pub fn turn(&mut self, now: Micros) {
        let mut is_batch_urgent = false;
        while let Some(timer) = self.timers.pop_due(now) {
            is_batch_urgent |= matches!(timer, Timer::RequestDeadline(_));
            self.on_timer(now, timer);
        }
        if self.events.next_batch().is_some_and(|at| now >= at || is_batch_urgent) {
            self.process_batch(now);
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Policy(id) => self.events.push(Event::Timer(id)),
            Timer::Server(token) => self.commands.push_back(Command::TimerFired(token)),
            Timer::AttemptTimeout(id) => self.cancel_attempt(now, id, Outcome::Timeout),
            Timer::RequestDeadline(id) => self.on_request_deadline(now, id),
            Timer::OverdueResponse(id) => {
                // The decision module ends each request in time. This is a safeguard in case it does not.
                invariant!(false, "request {id} is open {OVERDUE_GRACE} us after its deadline was handled");
                self.respond(now, id, FinalResponse::TimedOut, Completion::Failed);
                self.events.push(Event::ClientDisconnected(id.job()));
            }
        }
    }

    fn on_request_deadline(&mut self, now: Micros, request_id: RequestId) {
        let attempts = self.requests.get(request_id).map_or(0, PendingRequest::next_attempt_number);
        for number in 0..attempts {
            self.cancel_attempt(now, AttemptId { request_id, number }, Outcome::Timeout);
        }
        if let Some(request) = self.requests.get_mut(request_id) {
            // The grace period begins now and not at the deadline, so that the module can end the request first even after a
            // late turn.
            let respond_at = now + OVERDUE_GRACE;
            request.mark_overdue(respond_at);
            self.timers.schedule(respond_at, Timer::OverdueResponse(request_id));
        }
    }

    /// Passes the pending events to the decision module and executes the resulting actions.
    pub fn process_batch(&mut self, now: Micros) {
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
            Action::Send { job, worker, timeout } => self.start_attempt(now, job.into(), worker, timeout),
            Action::Cancel { job, attempt } => {
                let id = AttemptId { request_id: job.into(), number: attempt };
                self.cancel_attempt(now, id, Outcome::Cancelled);
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

    /// The response to a request that fails now: a timeout if its deadline has passed or is at most two batch intervals away.
    fn failure_response(&self, now: Micros, id: RequestId) -> FinalResponse {
        let is_late = |deadline| now + 2 * self.batch_interval >= deadline;
        match self.requests.get(id) {
            Some(request) if is_late(request.job().deadline) => FinalResponse::TimedOut,
            _ => FinalResponse::Failed,
        }
    }

    /// Starts an attempt for the decision module. The attempt times out after `timeout`, or at the request's deadline if that
    /// is earlier.
    fn start_attempt(
        &mut self,
        now: Micros,
        request_id: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
    ) {
        let Some(request) = self.requests.get_mut(request_id) else {
            invariant!(false, "an attempt for the unknown request {request_id}");
            return;
        };
        let id = AttemptId { request_id, number: request.next_attempt_number() };
        if !request.is_open() {
            // The request was closed after the module decided. Nothing is sent after the final response.
            request.add_attempt(Attempt::ended(worker, now, AttemptEnd::NeverSent));
            return self.events.push(closed_attempt_ended(id, worker, Outcome::NeverSent));
        }
        let is_duplicate = request.is_in_flight_at(worker);
        invariant!(
            !is_duplicate,
            "request {request_id} already has an attempt in flight at worker {}",
            worker.0
        );
        let timeout_at = timeout.map(|span| now + span).filter(|at| *at < request.job().deadline);
        request.add_attempt(Attempt::in_flight(worker, now, timeout_at));
        let has_key = request.idempotency_key().is_some();
        if let Some(at) = timeout_at {
            self.timers.schedule(at, Timer::AttemptTimeout(id));
        }
        if has_key {
            let ticket = RecordTicket::from(id);
            self.unpersisted.insert(ticket, id);
            self.persist_record(now, request_id, Some(ticket), None);
        } else {
            self.commands.push_back(Command::StartAttempt { attempt: id, worker });
        }
    }

    /// Cancels an attempt that is in flight: a cancellation is sent to the worker, and the attempt ends with this outcome. An
    /// attempt that still waits for its record ends as never sent.
    fn cancel_attempt(&mut self, now: Micros, id: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get(id.request_id) else { return };
        let Some(worker) = request.in_flight(id.number).map(Attempt::worker) else { return };
        let outcome = if self.unpersisted.remove(&RecordTicket::from(id)).is_some() {
            Outcome::NeverSent
        } else {
            let name = request.name().to_owned();
            self.commands.push_back(Command::CancelAttempt { attempt: id, worker, name });
            outcome
        };
        self.on_attempt_ended(now, id, AttemptOutcome::Unserved(outcome), None);
    }
}
