//! Attempts under way: reports of workers and upstream connections on them, and whether they may still be written.

use super::Core;
use crate::core::attempt::{AttemptEnd, AttemptId};
use crate::core::commands::{AttemptOutcome, Command, FinalResponse, JobStatus};
use crate::core::job_labels::job_labels;
use crate::core::ledger::Completion;
use crate::core::request::RequestId;
use crate::fleet::RunEnd;
use crate::policy::interface::{AttemptEnded, Class, Event, Idempotency, LoadReport, Micros, Outcome};

/// An attempt waits for its worker's first answer for at most the class's deadline divided by this: the rest is for another
/// worker.
const ACCEPT_TIMEOUT_DIVISOR: Micros = 2;

impl Core {
    fn request_class(&self, id: RequestId) -> Option<&Class> {
        self.class_settings(self.requests.get(id)?.job().class)
    }

    /// The name of a request, by which an attempt of it can be cancelled at its worker. `None` where the attempt has ended.
    pub fn request_name(&self, id: AttemptId) -> Option<String> {
        let request = self.requests.get(id.request_id)?;
        request.in_flight(id.number).map(|_| request.name().to_owned())
    }

    /// How long from now on an attempt's answer is waited for.
    pub fn time_left(&self, now: Micros, id: AttemptId) -> Micros {
        let Some(request) = self.requests.get(id.request_id) else { return 0 };
        let Some(attempt) = request.attempt(id.number) else { return 0 };
        attempt.timeout_at().unwrap_or(request.job().deadline).saturating_sub(now)
    }

    /// How long an attempt waits for its worker's first answer, where a connection may take `connect_timeout` to come up. `None`
    /// where it could not be sent again: then it is waited for until its deadline.
    pub fn accept_timeout(&self, id: RequestId, connect_timeout: Micros) -> Option<Micros> {
        let class = self.request_class(id).filter(|class| class.idempotency != Idempotency::NonIdempotent)?;
        Some(connect_timeout.min(class.deadline / ACCEPT_TIMEOUT_DIVISOR))
    }

    /// Whether bytes of an attempt may leave now, since things may have changed after it was decided. The last of them may take
    /// `transit_time` to arrive. Whether the worker has stopped is for the caller to know.
    pub fn may_write(&self, now: Micros, id: AttemptId, transit_time: Micros) -> bool {
        let request = self.requests.get(id.request_id).filter(|request| request.is_open());
        let Some(request) = request else { return false };
        let Some(this) = request.in_flight(id.number) else { return false };
        if now >= this.timeout_at().unwrap_or(request.job().deadline) {
            return false;
        }
        let others = (0..).zip(request.attempts()).filter(|(number, _)| *number != id.number);
        let mut may_have_run = others.map(|(_, other)| other).filter(|other| !other.has_never_run());
        match self.request_class(id.request_id).map(|class| class.idempotency) {
            Some(Idempotency::IdempotentWithKey { window, .. }) => {
                let arrives_at = now + self.batch_interval + transit_time;
                may_have_run.all(|other| arrives_at < other.sent_at() + window)
            }
            Some(Idempotency::NonIdempotent) => may_have_run.next().is_none(),
            Some(Idempotency::Idempotent) | None => true,
        }
    }

    /// A worker's callback about a job, by the request's name and the worker's instance id. Returns whether it changed anything; one
    /// that did not is counted, and a result that it has is kept where its request has an idempotency record.
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
            self.stale_status_updates += 1;
            if let Some(result) = result {
                self.persist_late_result(now, request_name, result);
            }
        }
        is_new
    }

    /// A callback about an attempt. Unlike a rejection on the attempt's own connection, it may be repeated: a worker that returns
    /// the job by it gets no other attempt of this request, whose end a repeat could be taken for.
    fn on_callback(
        &mut self,
        now: Micros,
        id: AttemptId,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        if status == JobStatus::Returned {
            let outcome = AttemptOutcome::Unserved(Outcome::HandedBack);
            return self.on_attempt_ended(now, id, outcome, report);
        }
        self.on_attempt_status(now, id, status, report)
    }

    /// A report on one attempt, over the connection that it was sent on. Returns whether it changed anything.
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
            JobStatus::Returned => AttemptOutcome::Unserved(Outcome::Full),
            JobStatus::Lost => AttemptOutcome::Unserved(Outcome::Reset),
        };
        self.on_attempt_ended(now, id, outcome, report)
    }

    /// An attempt has started. Returns whether that is new.
    fn on_started(&mut self, now: Micros, id: AttemptId) -> bool {
        let is_first = self.requests.in_flight_mut(id).is_some_and(|attempt| attempt.record_start(now));
        if is_first {
            self.learn_start(now, id);
            self.notify_progress(id.request_id, None);
            self.events.push(Event::Started { job: id.request_id.job(), attempt: id.number });
        }
        is_first
    }

    /// An attempt has reported its progress, which implies that it has started. Returns whether it is in flight.
    fn on_progress(&mut self, now: Micros, id: AttemptId, fraction: f64) -> bool {
        let Some(attempt) = self.requests.in_flight_mut(id) else { return false };
        attempt.record_start(now);
        self.learners.on_progress(now, id.into(), fraction);
        self.notify_progress(id.request_id, Some(fraction));
        let (job, attempt) = (id.request_id.job(), id.number);
        self.events.push(Event::Progress { job, attempt, done: fraction });
        true
    }

    /// Notifies the client of an open request: once that it has started, and each time of its progress.
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

    /// An attempt has begun to run: what learns of run times needs its worker and that worker's kind of machine.
    fn learn_start(&mut self, now: Micros, id: AttemptId) {
        if !self.learners.is_enabled() {
            return;
        }
        let Some(request) = self.requests.get(id.request_id) else { return };
        let endpoint = self.requests.attempt(id).and_then(|attempt| self.endpoints.get(attempt.worker()));
        let job = request.job();
        let job = job_labels(&self.names, job.class, job.tenant, job.key);
        if let Some((endpoint, job)) = endpoint.zip(job) {
            let (worker, machine_type) = (endpoint.instance_id(), &endpoint.row().machine_type);
            self.learners.on_started(now, id.into(), &job, worker, machine_type);
        }
    }

    /// An attempt ended. Only its first end counts, but a result is the request's final response as long as it has none, also
    /// where it comes after the attempt was given up: it is as good as any. Returns whether it changed anything.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        let AttemptId { request_id, number } = id;
        let Some(this) = self.requests.attempt_mut(id) else { return false };
        let worker = this.worker();
        let elapsed = now.saturating_sub(this.sent_at());
        let (outcome, result) = outcome.into_parts();
        let was_in_flight = this.finish(id, AttemptEnd::from(outcome), &mut self.timers);
        let is_response = result.is_some_and(|result| self.on_result(now, request_id, result));
        if !was_in_flight {
            // The decision module has had this attempt's end before, and may have others in flight: the request is over for it.
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

    /// A worker gave a result. Returns whether it became the request's final response.
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
