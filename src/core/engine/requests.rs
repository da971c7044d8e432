//! Requests as clients see them: their arrival, and their end by the one final response or by a disconnect.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd};
use crate::core::commands::{Command, DownstreamId, FinalResponse, NewRequest};
use crate::core::idempotency::{AttemptRecord, LookupResult};
use crate::core::job_labels::job_labels;
use crate::core::ledger::Completion;
use crate::core::request::{PendingRequest, RequestId};
use crate::core::timers::Timer;
use crate::policy::interface::{ClassId, Event, Micros, NewJob};
use mothproxy_invariant::invariant;

impl Core {
    /// Accepts a request that has arrived. Returns `None` if the name belongs to a request that is open or has attempts in
    /// flight, or whose client has left while it may have run, because the callbacks of the two could not be distinguished.
    pub fn accept(&mut self, now: Micros, request: NewRequest) -> Option<RequestId> {
        if self.has_request(&request.name) || self.departed.contains(now, &request.name) {
            return None;
        }
        let lookup = self.look_up_record(now, &request);
        let id = self.requests.allocate_id();
        self.ledger.record_accepted();
        let job = self.new_job(now, id, &request);
        let NewRequest { name, downstream, idempotency_key, .. } = request;
        let pending = PendingRequest::new(name, job, now, downstream, idempotency_key);
        self.requests.insert(id, pending);
        self.timers.schedule(job.deadline, Timer::RequestDeadline(id));
        match lookup {
            LookupResult::Answered(result) => {
                self.respond(now, id, FinalResponse::Served(result), Completion::Served);
            }
            LookupResult::MayHaveRun(recorded) => self.adopt_recorded_attempt(now, job, &recorded),
            LookupResult::Unknown => self.events.push(Event::Arrived(job)),
        }
        Some(id)
    }

    /// The job that represents a request in the decision module.
    fn new_job(&mut self, now: Micros, id: RequestId, request: &NewRequest) -> NewJob {
        let NewRequest { class, tenant, subject, .. } = *request;
        let labels = job_labels(&self.names, class, tenant, subject);
        let estimate = labels.and_then(|job| self.learners.estimate(&job));
        let class_weight = self.class_settings(class).map_or(0.0, |class| class.weight);
        let tenant_name = tenant.and_then(|tenant| self.names.tenant_name(tenant));
        NewJob {
            job: id.job(),
            class,
            tenant,
            subject,
            deadline: now + request.time_budget,
            hint: request.hint,
            slots: request.slots,
            memory: request.memory,
            is_retry: request.is_retry,
            estimate,
            tenant_weight: self.learners.tenant_weight(now, tenant_name, class, class_weight),
        }
    }

    /// Adopts the attempt of an earlier request with the same idempotency key that may have run. That attempt counts as one of
    /// this request, and the decision module decides whether and where to send another.
    fn adopt_recorded_attempt(&mut self, now: Micros, job: NewJob, recorded: &AttemptRecord) {
        let sent_at = self.clock.module_time(recorded.sent_at).min(now);
        let worker = self.endpoints.id_or_placeholder(recorded);
        let attempt = Attempt::ended(worker, sent_at, AttemptEnd::MayHaveRun);
        let prior_attempts = vec![attempt.to_prior()];
        self.events.push(Event::Adopted { request: job, arrived_at: now, prior_attempts });
        if let Some(request) = self.requests.get_mut(job.job.into()) {
            request.add_attempt(attempt);
        }
    }

    /// Handles the disconnect of a request's client.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(id).is_some_and(PendingRequest::is_open) {
            self.remember_departed_request(now, id);
            self.close(now, id, Completion::ClientDisconnected);
            self.events.push(Event::ClientDisconnected(id.job()));
        }
    }

    /// Remembers the name of an open request whose client has left, if the request may have run.
    fn remember_departed_request(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.attempts().iter().any(|attempt| !attempt.has_never_run()) {
            self.departed.insert(now, request.name());
        }
    }

    /// Remembers the name of a request of another process that has ended, and that may have run.
    pub fn remember_departed_name(&mut self, now: Micros, name: &str) {
        self.departed.insert(now, name);
    }

    /// Counts a request that was rejected before it was accepted, because no file descriptors were left. The client sees the same
    /// rejection as for any other reason.
    pub fn count_rejected(&mut self, class: ClassId) {
        self.tallies.record(class, Completion::Rejected);
    }

    /// Fails all open requests, because the process ends and their deadlines have passed.
    pub fn fail_all(&mut self, now: Micros) {
        for id in self.open_requests() {
            self.respond(now, id, FinalResponse::Failed, Completion::Failed);
            self.events.push(Event::ClientDisconnected(id.job()));
        }
    }

    /// Sends the final response to a request, unless the request is closed.
    pub(super) fn respond(
        &mut self,
        now: Micros,
        id: RequestId,
        response: FinalResponse,
        completion: Completion,
    ) {
        let Some(request) = self.requests.get(id).filter(|request| request.is_open()) else { return };
        let downstream = request.downstream();
        self.commands.push_back(Command::Respond { request_id: id, downstream, response });
        self.close(now, id, completion);
    }

    /// Closes an open request and counts the completion.
    fn close(&mut self, now: Micros, id: RequestId, completion: Completion) {
        let Some(request) = self.requests.get_mut(id) else { return };
        invariant!(request.is_open(), "request {id} got a second final response");
        let overdue_response_at = request.overdue_response_at();
        request.close();
        let job = *request.job();
        let latency = now.saturating_sub(request.arrived_at());
        let has_record = request.idempotency_key().is_some() && !request.attempts().is_empty();
        self.cancel_request_timers(id, job.deadline, overdue_response_at);
        if completion == Completion::Served {
            let class_weight = self.class_settings(job.class).map_or(0.0, |class| class.weight);
            let tenant = job.tenant.and_then(|tenant| self.names.tenant_name(tenant));
            self.learners.on_served(now, tenant, job.class, class_weight, latency);
        } else if has_record {
            self.persist_record(now, id, None, None);
        }
        self.ledger.record(completion);
        self.tallies.record(job.class, completion);
        self.requests.mark_finished(id);
    }

    pub(super) fn cancel_request_timers(
        &mut self,
        id: RequestId,
        deadline: Micros,
        overdue_response_at: Option<Micros>,
    ) {
        self.timers.cancel(deadline, Timer::RequestDeadline(id));
        if let Some(at) = overdue_response_at {
            self.timers.cancel(at, Timer::OverdueResponse(id));
        }
    }

    /// The receiver of a request's final response.
    pub fn downstream(&self, id: RequestId) -> Option<DownstreamId> {
        self.requests.get(id).map(PendingRequest::downstream)
    }

    /// The open requests, in order of arrival.
    pub fn open_requests(&self) -> Vec<RequestId> {
        self.requests.open_ids()
    }

    /// The names of requests that must not be accepted: those in the table, and those whose clients have left while they may have
    /// run.
    pub fn reserved_names(&self) -> impl Iterator<Item = &String> {
        self.requests.names().chain(self.departed.names())
    }

    /// Whether a request with this name is open or has an attempt in flight.
    pub fn has_request(&self, name: &str) -> bool {
        self.requests.find(name).is_some()
    }
}
