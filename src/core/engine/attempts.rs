//! Attempts under way: reports of workers and upstream connections on them, and whether they may still be written.

use super::Core;
use crate::core::attempt::{AttemptEnd, AttemptId};
use crate::core::commands::{AttemptOutcome, Command, FinalResponse, JobStatus};
use crate::core::ledger::Completion;
use crate::core::names::job_traits;
use crate::core::request::RequestId;
use crate::policy::interface::{AttemptEnded, Class, Event, Idempotency, LoadReport, Micros, Outcome};

/// An attempt waits for its worker's first answer for at most the class's deadline divided by this: the rest is for another
/// worker.
const ACCEPT_TIMEOUT_DIVISOR: Micros = 2;

impl Core {
    fn request_class(&self, id: RequestId) -> Option<&Class> {
        self.class_settings(self.requests.get(id)?.job.class)
    }

    /// The name of a request, by which an attempt of it can be cancelled at its worker. `None` where the attempt has ended.
    pub fn request_name(&self, id: RequestId, attempt: u32) -> Option<String> {
        let request = self.requests.get(id)?;
        request.in_flight(attempt).map(|_| request.name.clone())
    }

    /// How long from now on an attempt's answer is waited for.
    pub fn time_left(&self, now: Micros, id: RequestId, attempt: u32) -> Micros {
        let Some(request) = self.requests.get(id) else { return 0 };
        let Some(attempt) = request.attempts.get(attempt as usize) else { return 0 };
        attempt.timeout_at().unwrap_or(request.job.deadline).saturating_sub(now)
    }

    /// How long an attempt waits for its worker's first answer, where a connection may take `connect_timeout` to come up. `None`
    /// where it could not be sent again: then it is waited for until its deadline.
    pub fn accept_timeout(&self, id: RequestId, connect_timeout: Micros) -> Option<Micros> {
        let class = self.request_class(id).filter(|class| class.idempotency != Idempotency::NonIdempotent)?;
        Some(connect_timeout.min(class.deadline / ACCEPT_TIMEOUT_DIVISOR))
    }

    /// Whether bytes of an attempt may leave now, since things may have changed after it was decided. The last of them may take
    /// `transit_time` to arrive. Whether the worker has stopped is for the caller to know.
    pub fn may_write(&self, now: Micros, id: RequestId, attempt: u32, transit_time: Micros) -> bool {
        let Some(request) = self.requests.get(id).filter(|request| request.is_open()) else { return false };
        let Some(this) = request.in_flight(attempt) else { return false };
        if now >= this.timeout_at().unwrap_or(request.job.deadline) {
            return false;
        }
        let others = (0..).zip(&request.attempts).filter(|(number, _)| *number != attempt);
        let mut may_have_run = others.map(|(_, other)| other).filter(|other| !other.has_never_run());
        match self.request_class(id).map(|class| class.idempotency) {
            Some(Idempotency::IdempotentWithKey { window, .. }) => {
                let arrives_at = now + self.batch_interval + transit_time;
                may_have_run.all(|other| arrives_at < other.sent_at + window)
            }
            Some(Idempotency::NonIdempotent) => may_have_run.next().is_none(),
            Some(Idempotency::Idempotent) | None => true,
        }
    }

    /// A worker's callback about a job, by the names that the worker uses. Returns whether it changed anything.
    pub fn on_job_status(
        &mut self,
        now: Micros,
        name: &str,
        from: &str,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let result = match &status {
            JobStatus::Done(result) if self.idempotency.is_some() => Some(result.clone()),
            _ => None,
        };
        let attempt = self.endpoints.find(from).and_then(|worker| self.requests.find_attempt(name, worker));
        let is_new = attempt.is_some_and(|AttemptId { request_id, attempt }| match status {
            // Unlike a rejection on the attempt's own connection, a callback may be repeated: the worker gets no other attempt of
            // this request, whose end a repeat could be taken for.
            JobStatus::Returned => {
                let outcome = AttemptOutcome::Unserved(Outcome::HandedBack);
                self.on_attempt_ended(now, request_id, attempt, outcome, report)
            }
            status => self.on_attempt_status(now, request_id, attempt, status, report),
        });
        if !is_new {
            self.stale_status_updates += 1;
            if let Some(result) = result {
                self.persist_late_result(now, name, result);
            }
        }
        is_new
    }

    /// A report on one attempt, over the connection that it was sent on. Returns whether it changed anything.
    pub fn on_attempt_status(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        status: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let outcome = match status {
            JobStatus::Started => return self.on_started(now, id, attempt, None),
            JobStatus::Progress(fraction) => return self.on_started(now, id, attempt, Some(fraction)),
            JobStatus::Done(result) => AttemptOutcome::Done(result),
            JobStatus::Failed => AttemptOutcome::Unserved(Outcome::Error),
            JobStatus::Returned => AttemptOutcome::Unserved(Outcome::Full),
            JobStatus::Lost => AttemptOutcome::Unserved(Outcome::Reset),
        };
        self.on_attempt_ended(now, id, attempt, outcome, report)
    }

    /// An attempt has started, or has reported its progress, which implies that it has. Returns whether that is new.
    fn on_started(
        &mut self,
        now: Micros,
        request_id: RequestId,
        attempt: u32,
        fraction: Option<f64>,
    ) -> bool {
        let id = AttemptId { request_id, attempt };
        let Some(this) = self.requests.attempt_mut(id).filter(|attempt| attempt.is_in_flight()) else {
            return false;
        };
        let is_repeated = this.started_at.is_some() && fraction.is_none();
        this.started_at.get_or_insert(now);
        if is_repeated {
            return false;
        }
        match fraction {
            None => self.learn_start(now, id),
            Some(fraction) => self.learners.on_progress(now, id.to_number(), fraction),
        }
        self.notify_progress(request_id, fraction);
        let job = request_id.job();
        self.events.push(match fraction {
            None => Event::Started { job, attempt },
            Some(done) => Event::Progress { job, attempt, done },
        });
        true
    }

    /// Notifies the client of an open request: once that it has started, and each time of its progress.
    fn notify_progress(&mut self, id: RequestId, fraction: Option<f64>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.is_open()) else { return };
        let downstream = request.downstream;
        if !std::mem::replace(&mut request.is_start_notified, true) {
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
        let endpoint = self.requests.attempt(id).and_then(|attempt| self.endpoints.get(attempt.worker));
        let job = job_traits(&self.names, request.job.class, request.job.tenant, request.job.key);
        if let Some((endpoint, job)) = endpoint.zip(job) {
            let (worker, machine_type) = (&endpoint.row.instance_id, &endpoint.row.machine_type);
            self.learners.on_started(now, id.to_number(), &job, worker, machine_type);
        }
    }

    /// An attempt ended. Only its first end counts, but a result is the request's final response as long as it has none, also
    /// where it comes after the attempt was given up: it is as good as any. Returns whether it changed anything.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        request_id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        let id = AttemptId { request_id, attempt };
        let Some(this) = self.requests.attempt_mut(id) else { return false };
        let worker = this.worker;
        let elapsed = now.saturating_sub(this.sent_at);
        let (outcome, result) = match outcome {
            AttemptOutcome::Done(result) => (Outcome::Ok, Some(result)),
            AttemptOutcome::Unserved(outcome) => (outcome, None),
        };
        let was_in_flight = this.finish(id, AttemptEnd::from(outcome), &mut self.timers);
        let is_response = result.is_some_and(|result| self.on_result(now, request_id, result));
        if !was_in_flight {
            // The decision module has had this attempt's end before, and may have others in flight: the request is over for it.
            if is_response {
                self.events.push(Event::ClientDisconnected(request_id.job()));
            }
            return is_response;
        }
        self.learners.on_ended(now, id.to_number(), outcome == Outcome::Ok);
        let closed = self.requests.get(request_id).is_none_or(|request| !request.is_open());
        let job = request_id.job();
        let ended = AttemptEnded { job, attempt, worker, elapsed, closed, outcome, report };
        self.events.push(Event::AttemptEnded(ended));
        self.requests.mark_finished(request_id);
        true
    }

    /// A worker gave a result. Returns whether it became the request's final response.
    fn on_result(&mut self, now: Micros, id: RequestId, result: Vec<u8>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let is_open = request.is_open();
        if request.idempotency_key.is_some() {
            self.persist_record(now, id, None, Some(result.clone()));
        }
        if is_open {
            self.respond(now, id, FinalResponse::Served(result), Completion::Served);
        }
        is_open
    }
}
