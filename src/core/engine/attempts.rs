//! Attempts in flight: reports on them from workers and upstream connections, and the check whether they may still be written.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId};
use crate::core::commands::{AttemptOutcome, Command, FinalResponse, JobStatus};
use crate::core::job_labels::job_labels;
use crate::core::ledger::Completion;
use crate::core::request::PendingRequest;
use crate::core::request::RequestId;
use crate::fleet::RunEnd;
use crate::policy::interface::{AttemptEnded, Class, Event, Idempotency, LoadReport, Micros, Outcome};

/// The divisor of a class's deadline that gives the maximum wait for a worker's first response. The rest of the time is left for
/// an attempt at another worker.
const ACCEPT_TIMEOUT_DIVISOR: Micros = 2;

impl Core {
    /// A request that has no final response yet.
    pub(in crate::core) fn open_request(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(id).filter(|request| request.is_open())
    }

    /// The minimum interval between batches of decisions, in microseconds.
    pub(in crate::core) fn batch_interval(&self) -> Micros {
        self.batch_interval
    }

    pub(in crate::core) fn request_class(&self, id: RequestId) -> Option<&Class> {
        self.class_settings(self.requests.get(id)?.job().class)
    }

    /// The name of an attempt's request, which the worker needs to cancel the attempt. `None` if the attempt has ended.
    pub fn request_name(&self, id: AttemptId) -> Option<String> {
        let request = self.requests.get(id.request_id)?;
        request.in_flight(id.number).map(|_| request.name().to_owned())
    }

    /// Whether the worker has reported the start of an attempt of a known request.
    pub fn has_started(&self, id: AttemptId) -> bool {
        self.requests.attempt(id).is_some_and(|attempt| attempt.started_at().is_some())
    }

    /// Whether an attempt is in flight and its worker has not reported its start.
    pub fn is_awaiting_start(&self, id: AttemptId) -> bool {
        let is_in_flight = self.requests.attempt(id).is_some_and(Attempt::is_in_flight);
        is_in_flight && !self.has_started(id)
    }

    /// Whether a request may be repeated at any worker, whatever has run before.
    pub fn may_repeat_anywhere(&self, id: RequestId) -> bool {
        self.request_class(id).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// How long an attempt waits for its worker's first response, in microseconds. `connect_timeout` is how long a connection may
    /// take to be established. `None` if the request may not be repeated: the attempt then waits until its deadline.
    pub fn accept_timeout(&self, id: RequestId, connect_timeout: Micros) -> Option<Micros> {
        let class = self.request_class(id).filter(|class| class.idempotency != Idempotency::NonIdempotent)?;
        Some(connect_timeout.min(class.deadline / ACCEPT_TIMEOUT_DIVISOR))
    }

    /// Handles a worker's status callback, by the request's name and the worker's instance id. Returns whether the callback
    /// changed the state. A callback without effect is counted, and its result is kept if the request has an idempotency record.
    pub fn on_job_status(
        &mut self,
        now: Micros,
        request_name: &str,
        instance_id: &str,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let result = match &status {
            JobStatus::Done(result) if self.idempotency.is_some() => Some(result.clone()),
            _ => None,
        };
        let worker = self.endpoints.find(instance_id);
        let attempt = worker.and_then(|worker| self.requests.find_attempt(request_name, worker));
        let is_new = attempt.is_some_and(|id| self.on_callback(now, id, status, report));
        if !is_new {
            self.stale_status_callbacks += 1;
            if let Some(result) = result {
                self.persist_late_result(now, request_name, result);
            }
        }
        is_new
    }

    /// Handles a callback about an attempt. Unlike a rejection on the attempt's own connection, a callback may be repeated. So a
    /// worker that returns the job by a callback gets no other attempt of this request: a repeated callback could be mistaken for
    /// the end of the second attempt.
    fn on_callback(
        &mut self,
        now: Micros,
        id: AttemptId,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        if status == JobStatus::Returned {
            let outcome = AttemptOutcome::Unserved(Outcome::ReturnedByCallback);
            return self.on_attempt_ended(now, id, outcome, report);
        }
        self.on_attempt_status(now, id, status, report)
    }

    /// Handles a status of an attempt from the connection that the attempt was sent on. Returns whether the status changed the
    /// state.
    pub fn on_attempt_status(
        &mut self,
        now: Micros,
        id: AttemptId,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let outcome = match status {
            JobStatus::Started => return self.on_started(now, id),
            JobStatus::Progress(fraction) => return self.on_progress(now, id, fraction),
            JobStatus::Done(result) => AttemptOutcome::Done(result),
            JobStatus::Failed => AttemptOutcome::Unserved(Outcome::Error),
            JobStatus::Returned => AttemptOutcome::Unserved(Outcome::Rejected),
            JobStatus::Lost => AttemptOutcome::Unserved(Outcome::Reset),
        };
        self.on_attempt_ended(now, id, outcome, report)
    }

    /// Handles the start of an attempt. Returns whether this is the first report of the start.
    fn on_started(&mut self, now: Micros, id: AttemptId) -> bool {
        let is_first = self.requests.in_flight_mut(id).is_some_and(|attempt| attempt.record_start(now));
        if is_first {
            self.learn_start(now, id);
            self.notify_progress(id.request_id, None);
            self.events.push(Event::Started { job: id.request_id.job(), attempt: id.number });
        }
        is_first
    }

    /// Handles the progress of an attempt, which implies that the attempt has started. Returns whether the attempt is in flight.
    fn on_progress(&mut self, now: Micros, id: AttemptId, fraction: f64) -> bool {
        let Some(attempt) = self.requests.in_flight_mut(id) else { return false };
        attempt.record_start(now);
        self.learners.on_progress(now, id.into(), fraction);
        self.notify_progress(id.request_id, Some(fraction));
        self.events.push(Event::Progress { job: id.request_id.job(), attempt: id.number, done: fraction });
        true
    }

    /// Notifies the client of an open request: once of the start, and of each progress report.
    fn notify_progress(&mut self, id: RequestId, fraction: Option<f64>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.is_open()) else { return };
        let downstream = request.downstream();
        if request.mark_start_notified() {
            self.commands.push_back(Command::NotifyProgress { downstream, fraction: None });
        }
        if fraction.is_some() {
            self.commands.push_back(Command::NotifyProgress { downstream, fraction });
        }
    }

    /// Reports the start of an attempt to the learner of run times, with the worker and its kind of machine.
    fn learn_start(&mut self, now: Micros, id: AttemptId) {
        if !self.learners.is_enabled() {
            return;
        }
        let Some(request) = self.requests.get(id.request_id) else { return };
        let endpoint = self.requests.attempt(id).and_then(|attempt| self.endpoints.get(attempt.worker()));
        let job = request.job();
        let job = job_labels(&self.names, job.class, job.tenant, job.subject);
        if let Some((endpoint, job)) = endpoint.zip(job) {
            let machine_type = &endpoint.row().machine_type;
            self.learners.on_started(now, id.into(), &job, endpoint.instance_id(), machine_type);
        }
    }

    /// Handles the end of an attempt. Only the first end counts. A result, however, becomes the final response of an open request
    /// even if it arrives after the attempt was cancelled, because it is still valid. Returns whether the end changed the state.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        let AttemptId { request_id, number } = id;
        let Some(attempt) = self.requests.attempt_mut(id) else { return false };
        let worker = attempt.worker();
        let elapsed = now.saturating_sub(attempt.sent_at());
        let (outcome, result) = outcome.into_parts();
        let was_in_flight = attempt.finish(id, AttemptEnd::from(outcome), &mut self.timers);
        let is_response = result.is_some_and(|result| self.on_result(now, request_id, result));
        if !was_in_flight {
            // The decision module has already handled this attempt's end and may have other attempts in flight. This event ends
            // the request in the module.
            if is_response {
                self.events.push(Event::ClientDisconnected(request_id.job()));
            }
            return is_response;
        }
        let run_end = if outcome == Outcome::Ok { RunEnd::Completed } else { RunEnd::CutShort };
        self.learners.on_ended(now, id.into(), run_end);
        let is_job_closed = self.requests.get(request_id).is_none_or(|request| !request.is_open());
        let job = request_id.job();
        let ended = AttemptEnded { job, attempt: number, worker, elapsed, is_job_closed, outcome, report };
        self.events.push(Event::AttemptEnded(ended));
        self.requests.mark_finished(request_id);
        true
    }

    /// Handles a worker's result. Returns whether the result became the request's final response.
    fn on_result(&mut self, now: Micros, id: RequestId, result: Vec<u8>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let is_open = request.is_open();
        if request.idempotency_key().is_some() {
            self.persist_record(now, id, None, Some(result.clone()));
        }
        if is_open {
            self.respond(now, id, FinalResponse::Served(result), Completion::Served);
        }
        is_open
    }
}
