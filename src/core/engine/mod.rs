//! The engine: takes timed events, hands them to the decision module in batches, and turns its actions into commands.
//!
//! [`Core`] owns the parts (requests, endpoints, timers, idempotency records, ledger). This module has its construction, the
//! arrival and the end of requests, and the queries. The submodules handle what else happens:
//! - `turn`: timers, batches, and the module's actions;
//! - `attempts`: reports on attempts, and how they end;
//! - `endpoint_list`: discovery's lists;
//! - `idempotency`: keyed requests and their records;
//! - `restart`: transfer of requests and learned state to a successor process.

mod attempts;
mod endpoint_list;
mod idempotency;
mod restart;
mod turn;

use super::attempt::{Attempt, AttemptEnd, AttemptId};
use super::clock::{CLOCK_START, UnixClock};
use super::commands::{Command, FinalResponse, NewRequest, RecordTicket};
use super::endpoint_table::EndpointTable;
use super::event_queue::EventQueue;
use super::idempotency::{AttemptRecord, IdempotencyStore, LookupResult};
use super::ledger::{ClassTallies, Completion, Ledger, Tally};
use super::names::{job_traits, tenant_name};
use super::request::{PendingRequest, RequestId, RequestPhase, RequestTable};
use super::timers::{Timer, TimerQueue, TimerToken};
use crate::Dispatcher;
use crate::config::SiteNames;
use crate::fleet::Learners;
use crate::policy::interface::{
    Action, Class, ClassId, Event, LoadReport, Micros, NewJob, Outcome, PeerPresence, ProbeResponse,
    Settings, SettingsError, WorkerId,
};
use mothproxy_invariant::invariant;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The core of a dispatcher, as one state machine.
///
/// Events come in through `on_*` methods and [`Core::accept`]; [`Core::turn`] runs what is due, at the time of
/// [`Core::next_wake`]; [`Core::next_command`] hands out what follows. Each accepted request gets exactly one final response,
/// unless its client disconnects or it is transferred.
pub struct Core {
    dispatcher: Dispatcher,
    names: SiteNames,
    clock: UnixClock,
    /// A batch of events is handed to the decision module at most this often.
    batch_interval: Micros,
    /// The endpoint table.
    pub endpoints: EndpointTable,
    /// The ledger of all requests.
    pub ledger: Ledger,
    tallies: ClassTallies,
    requests: RequestTable,
    timers: TimerQueue,
    events: EventQueue,
    /// The module's actions; kept only for its allocation.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// The records of keyed requests, where that is on.
    idempotency: Option<IdempotencyStore>,
    /// Attempts that wait until their record is persisted, by ticket.
    unpersisted: HashMap<RecordTicket, AttemptId>,
    /// What is learned of jobs and shared with other dispatchers, where that is on.
    pub learners: Learners,
    /// Status updates of unknown requests, or of attempts that had ended.
    pub stale_status_updates: u64,
}

impl Core {
    /// A core without endpoints and requests. `unix_now` is the Unix time, in microseconds, at which its clock starts.
    ///
    /// # Errors
    /// If the settings contradict themselves.
    pub fn new(
        settings: Settings,
        names: SiteNames,
        seed: u64,
        unix_now: u128,
    ) -> Result<Core, SettingsError> {
        let batch_interval = settings.tick;
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed)?,
            names,
            clock: UnixClock::starting_at(unix_now),
            batch_interval,
            endpoints: EndpointTable::default(),
            ledger: Ledger::default(),
            tallies: ClassTallies::default(),
            requests: RequestTable::default(),
            timers: TimerQueue::default(),
            events: EventQueue::default(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            idempotency: None,
            unpersisted: HashMap::new(),
            learners: Learners::default(),
            stale_status_updates: 0,
        })
    }

    /// Continues under other settings. Classes and tenants must have kept their numbers; one that has vanished, or was defined
    /// again, keeps its number for the requests under way.
    ///
    /// # Errors
    /// If the settings contradict themselves or lack a class; then nothing changes.
    pub fn reconfigure(&mut self, settings: Settings, names: SiteNames) -> Result<(), SettingsError> {
        let batch_interval = settings.tick;
        let known_classes = self.names.0.classes.names().len();
        self.dispatcher.reconfigure(settings)?;
        let classes = names.0.classes.names();
        for new in known_classes..classes.len() {
            // A class that was defined again begins with what was learned of it.
            if let Some(old) = (0..new).rev().find(|old| classes[*old] == classes[new]) {
                self.dispatcher.copy_class(new, old);
            }
        }
        self.batch_interval = batch_interval;
        self.names = names;
        Ok(())
    }

    /// The clock's first reading.
    pub fn clock_start() -> Micros {
        CLOCK_START
    }

    /// The names behind the settings' numbers.
    pub fn names(&self) -> &SiteNames {
        &self.names
    }

    /// The next thing to do, in order.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::turn`] must run next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.events.next_batch().into_iter().chain(self.timers.next_due()).min()
    }

    /// Sets a timer for the program round the core: [`Command::TimerFired`] comes at that time.
    pub fn set_timer(&mut self, at: Micros, token: TimerToken) {
        self.timers.schedule(at, Timer::Program(token));
    }

    /// Cancels such a timer.
    pub fn cancel_timer(&mut self, at: Micros, token: TimerToken) {
        self.timers.cancel(at, Timer::Program(token));
    }

    /// A request has arrived. `None` where one of its name is still open: their callbacks could not be distinguished.
    pub fn accept(&mut self, now: Micros, request: NewRequest) -> Option<RequestId> {
        if self.knows(&request.name) {
            return None;
        }
        let known = self.look_up_key(now, &request);
        let id = self.requests.allocate_id();
        self.ledger.accepted += 1;
        let job = self.new_job(now, id, &request);
        let pending = PendingRequest {
            name: request.name,
            job,
            arrived_at: now,
            downstream: request.downstream,
            phase: RequestPhase::Open,
            is_start_notified: false,
            idempotency_key: request.idempotency_key,
            attempts: Vec::new(),
        };
        self.requests.insert(id, pending);
        self.timers.schedule(job.deadline, Timer::RequestDeadline(id));
        match known {
            LookupResult::Answered(result) => {
                self.respond(now, id, FinalResponse::Served(result), Completion::Served);
            }
            LookupResult::MayHaveRun(first) => self.adopt_recorded_attempt(now, job, &first),
            LookupResult::Unknown => self.events.push(Event::Arrived(job)),
        }
        Some(id)
    }

    /// The request as the decision module sees it.
    fn new_job(&mut self, now: Micros, id: RequestId, request: &NewRequest) -> NewJob {
        let NewRequest { class, tenant, key, .. } = *request;
        let traits = job_traits(&self.names, class, tenant, key);
        let estimate = traits.and_then(|job| self.learners.estimate(&job));
        let class_weight = self.class_settings(class).map_or(0.0, |class| class.weight);
        let tenant_name = tenant_name(&self.names, tenant);
        NewJob {
            job: id.job(),
            class,
            tenant,
            key,
            deadline: now + request.time_budget,
            hint: request.hint,
            slots: request.slots,
            memory: request.memory,
            repeat: request.repeat,
            estimate,
            tenant_weight: self.learners.tenant_weight(now, tenant_name, class.0, class_weight),
        }
    }

    /// An earlier request with the same idempotency key may have run. That counts as an attempt of this request: the decision
    /// module decides whether and where it may be sent again.
    fn adopt_recorded_attempt(&mut self, now: Micros, job: NewJob, first: &AttemptRecord) {
        let sent_at = self.clock.module_time(first.sent_at).min(now);
        let worker = self.endpoints.id_or_placeholder(first);
        let attempt = Attempt::ended(worker, sent_at, AttemptEnd::MayHaveRun);
        self.events.push(Event::Adopted { new: job, since: now, past: vec![attempt.to_prior()] });
        if let Some(request) = self.requests.get_mut(job.job.into()) {
            request.attempts.push(attempt);
        }
    }

    /// The client of a request disconnected.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(id).is_some_and(PendingRequest::is_open) {
            self.close(now, id, Completion::ClientDisconnected);
            self.events.push(Event::ClientDisconnected(id.job()));
        }
    }

    /// A probe came back.
    pub fn on_probe_response(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        elapsed: Micros,
        report: Option<LoadReport>,
    ) {
        self.events.push(Event::ProbeResponse(ProbeResponse { worker, outcome, elapsed, report }));
    }

    /// A message of another dispatcher, by its number.
    pub fn on_peer_message(&mut self, from: u32, bytes: Vec<u8>) {
        self.events.push(Event::PeerMessage { from, bytes });
    }

    /// What is believed of each dispatcher, by their numbers.
    pub fn on_peer_presence(&mut self, peers: Vec<PeerPresence>) {
        self.events.push(Event::Peers(peers));
    }

    /// Fails every open request: it is past its deadline, and the process ends.
    pub fn fail_all(&mut self, now: Micros) {
        for id in self.open_requests() {
            self.respond(now, id, FinalResponse::Failed, Completion::Failed);
            self.events.push(Event::ClientDisconnected(id.job()));
        }
    }

    /// Sends the final response, unless there was one.
    fn respond(&mut self, now: Micros, id: RequestId, response: FinalResponse, completion: Completion) {
        let Some(request) = self.requests.get(id).filter(|request| request.is_open()) else { return };
        let downstream = request.downstream;
        self.commands.push_back(Command::Respond { request_id: id, downstream, response });
        self.close(now, id, completion);
    }

    /// Closes an open request and counts its end.
    fn close(&mut self, now: Micros, id: RequestId, completion: Completion) {
        let Some(request) = self.requests.get_mut(id) else { return };
        invariant!(request.is_open(), "request {id} got a second final response");
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Closed);
        let job = request.job;
        let latency = now.saturating_sub(request.arrived_at);
        let has_record = request.idempotency_key.is_some() && !request.attempts.is_empty();
        self.cancel_request_timers(id, job.deadline, phase);
        if completion == Completion::Served {
            let class_weight = self.class_settings(job.class).map_or(0.0, |class| class.weight);
            let tenant = tenant_name(&self.names, job.tenant);
            self.learners.on_served(now, tenant, job.class.0, class_weight, latency);
        } else if has_record {
            self.persist_record(now, id, None, None);
        }
        self.ledger.record(completion);
        self.tallies.record(job.class, completion);
        self.requests.mark_finished(id);
    }

    fn cancel_request_timers(&mut self, id: RequestId, deadline: Micros, phase: RequestPhase) {
        self.timers.cancel(deadline, Timer::RequestDeadline(id));
        if let RequestPhase::Overdue { respond_at } = phase {
            self.timers.cancel(respond_at, Timer::OverdueResponse(id));
        }
    }

    fn class_settings(&self, class: ClassId) -> Option<&Class> {
        self.dispatcher.settings().classes.get(usize::from(class.0))
    }

    /// Where a request's final response goes.
    pub fn downstream(&self, id: RequestId) -> Option<u64> {
        self.requests.get(id).map(|request| request.downstream)
    }

    /// The open requests, in the order of their arrival.
    pub fn open_requests(&self) -> Vec<RequestId> {
        self.requests.open_ids()
    }

    /// The names of the requests that are open here.
    pub fn open_request_names(&self) -> Vec<String> {
        self.requests.names().cloned().collect()
    }

    /// Whether a request of this name is open, or has an attempt in flight.
    pub fn knows(&self, name: &str) -> bool {
        self.requests.find(name).is_some()
    }

    /// A request was rejected before it was accepted, for want of descriptors: its client sees a rejection like any other.
    pub fn count_rejected(&mut self, class: ClassId) {
        self.tallies.record(class, Completion::Rejected);
    }

    /// How the requests of each class ended, by its name; of classes without requests, and of those that have vanished, too.
    pub fn tallies(&self) -> BTreeMap<&str, Tally> {
        self.tallies.by_name(self.names.0.classes.names())
    }

    /// The other dispatchers of this one's group, which share their loads with each other.
    pub fn peer_group(&self) -> &[u32] {
        self.dispatcher.group_peers()
    }

    /// How many listed workers the decision module sends nothing to.
    pub fn ejected_endpoints(&self, now: Micros) -> usize {
        self.dispatcher.unavailable_count(now)
    }
}
