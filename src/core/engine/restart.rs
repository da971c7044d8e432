//! Hot restart: the transfer of open requests and learned state from one process of a dispatcher to its successor.

use super::Core;
use crate::core::attempt::{Attempt, AttemptEnd, AttemptId, AttemptPhase, closed_attempt_ended};
use crate::core::commands::DownstreamId;
use crate::core::job_labels::job_labels;
use crate::core::request::{PendingRequest, RequestId};
use crate::core::timers::Timer;
use crate::core::transfer::{LearnedState, TransferredAttempt, TransferredPhase, TransferredRequest};
use crate::policy::LearnedByWorker;
use crate::policy::interface::{ClassId, Event, NewJob, Outcome, SubjectId};

impl Core {
    /// The state that the decision module has learned, for the successor.
    pub fn learned_state(&self) -> LearnedState {
        let LearnedByWorker { learned, workers } = self.dispatcher.learned();
        let known = workers.into_iter().filter_map(|worker| self.endpoints.get(worker));
        LearnedState {
            clock_offset: self.clock.offset(),
            workers: known.map(|endpoint| endpoint.instance_id().to_owned()).collect(),
            kinds: self.names.kind_names().to_vec(),
            classes: self.names.class_names().to_vec(),
            learned,
        }
    }

    /// Restores the learned state of another process. The endpoint list must be loaded before.
    pub fn restore(&mut self, state: LearnedState) {
        let ids = crate::policy::IdMap {
            workers: state.workers.iter().map(|name| self.endpoints.find(name)).collect(),
            kinds: state.kinds.iter().map(|name| self.names.kind_id(name)).collect(),
            classes: state.classes.iter().map(|name| self.names.class_id(name)).collect(),
        };
        let clock_shift = self.clock.offset().saturating_sub(state.clock_offset);
        self.dispatcher.restore(state.learned, &ids, clock_shift);
    }

    /// Removes an open request from this process, so that another process of this dispatcher can adopt it. Returns `None` if that
    /// is not possible now: an event of any request still waits for the decision module, an attempt of this request waits for its
    /// record, or the request's class or a worker no longer exists and would be unknown to the other process.
    pub fn transfer(&mut self, id: RequestId) -> Option<TransferredRequest> {
        let request = self.requests.get(id).filter(|request| request.is_open())?;
        if !self.events.has_only_transfers()
            || self.unpersisted.values().any(|waiting| waiting.request_id == id)
        {
            return None;
        }
        let transferred = self.to_transferred(request)?;
        let request = self.requests.remove(id)?;
        self.cancel_request_timers(id, request.job().deadline, request.overdue_response_at());
        self.ledger.record_transferred();
        self.events.push(Event::ClientDisconnected(id.job()));
        let in_flight = (0..).zip(request.attempts()).filter(|(_, attempt)| attempt.is_in_flight());
        for (number, attempt) in in_flight {
            let attempt_id = AttemptId { request_id: id, number };
            self.events.push(closed_attempt_ended(attempt_id, attempt.worker(), Outcome::Cancelled));
        }
        self.events.mark_transfer();
        Some(transferred)
    }

    fn to_transferred(&self, request: &PendingRequest) -> Option<TransferredRequest> {
        let job = request.job();
        // A redefined class keeps its old id in this process, but in the other process its name stands for the new definition.
        if !self.names.is_current_class(job.class) {
            return None;
        }
        let class = self.names.class_name(job.class)?;
        let mut attempts = Vec::with_capacity(request.attempts().len());
        for attempt in request.attempts() {
            // An attempt that was never sent is not transferred. The other process numbers the remaining attempts anew.
            if let Some(phase) = transferred_phase(attempt) {
                attempts.push(self.to_transferred_attempt(attempt, phase)?);
            }
        }
        Some(TransferredRequest {
            name: request.name().to_owned(),
            class: class.to_owned(),
            tenant: job.tenant.and_then(|tenant| self.names.tenant_name(tenant)).map(str::to_owned),
            subject: job.subject.map(|subject| subject.0),
            arrived_at: self.clock.unix_time(request.arrived_at()),
            deadline: self.clock.unix_time(job.deadline),
            hint: job.hint,
            slots: job.slots,
            memory: job.memory,
            is_retry: job.is_retry,
            is_start_notified: request.is_start_notified(),
            idempotency_key: request.idempotency_key().cloned(),
            attempts,
        })
    }

    fn to_transferred_attempt(
        &self,
        attempt: &Attempt,
        phase: TransferredPhase,
    ) -> Option<TransferredAttempt> {
        Some(TransferredAttempt {
            worker: self.endpoints.get(attempt.worker())?.instance_id().to_owned(),
            sent_at: self.clock.unix_time(attempt.sent_at()),
            started_at: attempt.started_at().map(|at| self.clock.unix_time(at)),
            phase,
        })
    }

    /// Adopts a request that another process of this dispatcher has transferred. The final response goes to `downstream`. Returns
    /// `None` if the class or a worker is unknown in this process, or a request with the same name is open or has attempts in
    /// flight.
    pub fn adopt(&mut self, transferred: TransferredRequest, downstream: DownstreamId) -> Option<RequestId> {
        let class = self.names.class_id(&transferred.class)?;
        if self.has_request(&transferred.name) {
            return None;
        }
        let attempts = transferred.attempts.iter().map(|attempt| self.to_attempt(attempt));
        let attempts: Vec<Attempt> = attempts.collect::<Option<_>>()?;
        let id = self.requests.allocate_id();
        self.ledger.record_accepted();
        let job = self.adopted_job(id, class, &transferred);
        let arrived_at = self.clock.module_time(transferred.arrived_at);
        let prior_attempts = attempts.iter().map(Attempt::to_prior).collect();
        self.events.push(Event::Adopted { request: job, arrived_at, prior_attempts });
        self.timers.schedule(job.deadline, Timer::RequestDeadline(id));
        let key = transferred.idempotency_key.filter(|_| self.idempotency.is_some());
        let mut request =
            PendingRequest::new(transferred.name, job, arrived_at, downstream, key).with_attempts(attempts);
        if transferred.is_start_notified {
            request.mark_start_notified();
        }
        self.requests.insert(id, request);
        Some(id)
    }

    /// The job that represents a transferred request in the decision module of this process.
    fn adopted_job(&self, id: RequestId, class: ClassId, transferred: &TransferredRequest) -> NewJob {
        let tenant = transferred.tenant.as_ref().and_then(|name| self.names.tenant_id(name));
        let subject = transferred.subject.map(SubjectId);
        NewJob {
            job: id.job(),
            class,
            tenant,
            subject,
            deadline: self.clock.module_time(transferred.deadline),
            hint: transferred.hint,
            slots: transferred.slots,
            memory: transferred.memory,
            is_retry: transferred.is_retry,
            estimate: job_labels(&self.names, class, tenant, subject)
                .and_then(|job| self.learners.estimate(&job)),
            tenant_weight: None,
        }
    }

    fn to_attempt(&self, transferred: &TransferredAttempt) -> Option<Attempt> {
        let worker = self.endpoints.find(&transferred.worker)?;
        let sent_at = self.clock.module_time(transferred.sent_at);
        let attempt = match attempt_end(transferred.phase) {
            None => Attempt::in_flight(worker, sent_at, None),
            Some(end) => Attempt::ended(worker, sent_at, end),
        };
        Some(attempt.with_start(transferred.started_at.map(|at| self.clock.module_time(at))))
    }
}

/// The phase in which an attempt is transferred; `None` if the attempt was never sent.
fn transferred_phase(attempt: &Attempt) -> Option<TransferredPhase> {
    match attempt.phase() {
        AttemptPhase::InFlight { .. } => Some(TransferredPhase::InFlight),
        AttemptPhase::Ended(AttemptEnd::MayHaveRun) => Some(TransferredPhase::MayHaveRun),
        AttemptPhase::Ended(AttemptEnd::NeverRan) => Some(TransferredPhase::NeverRan),
        AttemptPhase::Ended(AttemptEnd::ReturnedByCallback) => Some(TransferredPhase::ReturnedByCallback),
        AttemptPhase::Ended(AttemptEnd::NeverSent) => None,
    }
}

/// The end of a transferred attempt; `None` if the attempt is in flight.
fn attempt_end(phase: TransferredPhase) -> Option<AttemptEnd> {
    match phase {
        TransferredPhase::InFlight => None,
        TransferredPhase::MayHaveRun => Some(AttemptEnd::MayHaveRun),
        TransferredPhase::NeverRan => Some(AttemptEnd::NeverRan),
        TransferredPhase::ReturnedByCallback => Some(AttemptEnd::ReturnedByCallback),
    }
}
