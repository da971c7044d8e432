//! The core: sessions, dispatches, the server table, the deadlines and the ledger, round the decision module.
//! It knows no wire and no descriptor: timed events go in, commands come out.

pub mod endpoint_table;
pub mod idempotency;
pub mod ledger;
pub mod peer_lifecycle;
pub mod shutdown_plan;
pub mod timers;
pub mod transfer;
pub mod watch_liveness;

use crate::Dispatcher;
use crate::config::{EndpointList, SiteNames};
use crate::fleet::{JobLabels, Learners};
use crate::invariant;
use crate::policy::interface::*;
use endpoint_table::EndpointTable;
use idempotency::{AttemptRecord, IdempotencyKey, IdempotencyStore, Lookup};
use ledger::{Completion, Ledger, Tally};
use std::collections::{BTreeMap, HashMap, VecDeque};
use timers::{Timer, TimerQueue};
use transfer::{LearnedState, TransferredAttempt, TransferredRequest};

/// One session: a request of a client, from its last byte to its final answer.
pub type RequestId = u64;

/// A session is answered by the core itself if it is still open this long after its deadline.
const BACKSTOP: Micros = 15_000;
/// A dispatch waits at most for this part of its class's time for a worker's first answer: the rest is for another worker.
const TAKE_PART: Micros = 2;
/// The module's clock at the start; a worker that started before it counts as started long ago.
const CLOCK_START: Micros = 3_600_000_000;

/// A session as it arrives.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The request's id, as workers name it in call-backs.
    pub name: String,
    /// Whom to answer; the front's own number.
    pub downstream: u64,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// How long its client will wait.
    pub time_budget: Micros,
    /// Expected work, where clients tell it.
    pub hint: Option<Micros>,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs.
    pub memory: Option<f64>,
    /// Whether it is marked as a repeat.
    pub repeat: bool,
    /// The key that its client gave it, where keyed jobs are noted.
    pub token: Option<IdempotencyKey>,
}

/// What a worker tells of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// It has started.
    Started,
    /// The share done.
    Progress(f64),
    /// It is done; the result.
    Done(Vec<u8>),
    /// It failed; it may have run.
    Failed,
    /// It was handed back unstarted.
    Returned,
    /// It was lost; it may have run.
    Lost,
}

/// How a dispatch ended, as its wire saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker gave a result.
    Done(Vec<u8>),
    /// It ended in this other way.
    Unserved(Outcome),
}

/// What a session is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// A worker's result.
    Served(Vec<u8>),
    /// Turned away; when to come back.
    Rejected(Option<Micros>),
    /// Failed.
    Failed,
    /// Failed at its deadline.
    TimedOut,
}

/// What the program round the core must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Begin a dispatch; [`Core::left`] says how long its answer will be waited for.
    StartAttempt {
        /// The session.
        request_id: RequestId,
        /// The dispatch, from 0.
        attempt: u32,
        /// To whom.
        worker: WorkerId,
    },
    /// Note this of a keyed job: `None` forgets the key. Where a ticket comes with it, a dispatch waits:
    /// [`Core::noted`] lets it go, or says that it could not be noted.
    PersistRecord {
        /// What to call [`Core::noted`] with.
        ticket: Option<u64>,
        /// The key.
        key: String,
        /// The note.
        note: Option<Vec<u8>>,
    },
    /// Stop waiting for a dispatch.
    CancelAttempt {
        /// The session.
        request_id: RequestId,
        /// The dispatch.
        attempt: u32,
        /// Who has it.
        worker: WorkerId,
        /// The request's id, as the worker knows it.
        name: String,
    },
    /// Give the final answer.
    Respond {
        /// The session.
        request_id: RequestId,
        /// Whom to answer.
        downstream: u64,
        /// What.
        response: FinalResponse,
    },
    /// Tell a client that listens for it how its job gets on: started, or the share done.
    NotifyProgress {
        /// Whom.
        downstream: u64,
        /// The share done; `None` at the start.
        share: Option<f64>,
    },
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Send bytes to another dispatcher, by its number.
    SendToPeer(u32, Vec<u8>),
    /// Subscribe to changes of the server table.
    OpenWatch,
    /// Ask for the whole table once.
    FetchList,
    /// A deadline set with [`Core::set_timer`] is due.
    TimerFired(u64),
}

struct Attempt {
    worker: WorkerId,
    at: Micros,
    limit: Option<Micros>,
    /// The module is still owed its end.
    out: bool,
    started: Option<Micros>,
    /// It has ended and never ran.
    never_ran: bool,
    /// Its worker handed it back by a call.
    handed_back: bool,
    /// It has ended and never left.
    withheld: bool,
}

impl Attempt {
    fn new(worker: WorkerId, at: Micros) -> Attempt {
        let (out, never_ran, handed_back, withheld) = (false, false, false, false);
        Attempt { worker, at, limit: None, out, started: None, never_ran, handed_back, withheld }
    }

    fn past(&self) -> PriorAttempt {
        let Attempt { worker, at, out, started: running_since, never_ran, handed_back, .. } = *self;
        PriorAttempt { worker, at, out, running_since, never_ran, handed_back }
    }
}

struct PendingRequest {
    name: String,
    new: NewJob,
    arrived: Micros,
    downstream: u64,
    deadline: Micros,
    /// When the core answers by itself, once its deadline has passed.
    backstop: Option<Micros>,
    /// Its final answer is still owed.
    open: bool,
    told_started: bool,
    token: Option<IdempotencyKey>,
    attempts: Vec<Attempt>,
}

/// The ticket of a dispatch that waits to be noted.
fn ticket(id: RequestId, attempt: u32) -> u64 {
    id << 8 | u64::from(attempt & 0xff)
}

/// The core. `take` and its kin bring events, `turn` runs what is due, `commands` hands out what follows.
pub struct Core {
    dispatcher: Dispatcher,
    tick: Micros,
    names: SiteNames,
    /// The server table.
    pub endpoints: EndpointTable,
    /// The ledger.
    pub ledger: Ledger,
    /// The same by class.
    tallies: Vec<Tally>,
    requests: HashMap<RequestId, PendingRequest>,
    by_name: HashMap<String, RequestId>,
    finished: Vec<RequestId>,
    next_request: RequestId,
    timers: TimerQueue,
    events: Vec<Event>,
    /// How many of them tell of sessions that were handed over.
    release_events: usize,
    next_batch: Micros,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// What is remembered of keyed jobs, where that is on.
    keys: Option<IdempotencyStore>,
    /// Dispatches that wait to be noted, by their tickets.
    unnoted: HashMap<u64, (RequestId, u32)>,
    unix_offset: i128,
    /// What is learned of jobs and shared with other dispatchers, where that is on.
    pub learners: Learners,
    /// News of unknown sessions, or of dispatches that had ended.
    pub stale_status_updates: u64,
}

impl Core {
    /// A core that knows nothing yet. `unix_now` is the Unix time, in microseconds, at which its clock starts.
    pub fn new(
        settings: Settings,
        names: SiteNames,
        seed: u64,
        unix_now: u128,
    ) -> Result<Core, SettingsError> {
        let tick = settings.tick;
        Ok(Core {
            dispatcher: Dispatcher::new(settings, seed)?,
            tick,
            names,
            endpoints: EndpointTable::default(),
            ledger: Ledger::default(),
            tallies: Vec::new(),
            requests: HashMap::new(),
            by_name: HashMap::new(),
            finished: Vec::new(),
            next_request: 0,
            timers: TimerQueue::default(),
            events: Vec::new(),
            release_events: 0,
            next_batch: 0,
            actions: Vec::new(),
            commands: VecDeque::new(),
            keys: None,
            unnoted: HashMap::new(),
            unix_offset: CLOCK_START as i128 - unix_now as i128,
            learners: Learners::default(),
            stale_status_updates: 0,
        })
    }

    /// Goes on under other settings. Classes and tenants must have kept their numbers; one that has vanished, or was defined
    /// anew, keeps its number for the sessions under way.
    pub fn reconfigure(&mut self, settings: Settings, names: SiteNames) -> Result<(), SettingsError> {
        let (tick, before) = (settings.tick, self.names.0.classes.names().len());
        self.dispatcher.reconfigure(settings)?;
        let classes = names.0.classes.names();
        for new in before..classes.len() {
            // A class that was defined anew begins with what was learned of it.
            if let Some(old) = (0..new).rev().find(|old| classes[*old] == classes[new]) {
                self.dispatcher.liken(new, old);
            }
        }
        (self.tick, self.names) = (tick, names);
        Ok(())
    }

    /// Another service of discovery counts from now on. Its versions mean nothing beside the old one's.
    pub fn on_discovery_moved(&mut self) {
        self.endpoints.generation = 0;
        self.events.push(Event::DiscoveryMoved);
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

    /// When `turn` must run next.
    pub fn next_wake(&self) -> Option<Micros> {
        let batch = (!self.events.is_empty()).then_some(self.next_batch);
        batch.into_iter().chain(self.timers.next()).min()
    }

    /// Sets a deadline for the program round the core: [`Command::TimerFired`] comes at it.
    pub fn set_timer(&mut self, at: Micros, token: u64) {
        self.timers.set(at, Timer::Program(token));
    }

    /// Takes such a deadline back.
    pub fn cancel_timer(&mut self, at: Micros, token: u64) {
        self.timers.drop(at, Timer::Program(token));
    }

    /// A session has arrived. `None` where one of its name is still open: its call-backs could not be told
    /// apart.
    pub fn accept(&mut self, now: Micros, new: NewRequest) -> Option<RequestId> {
        if self.by_name.contains_key(&new.name) {
            return None;
        }
        let known = self.look(now, &new);
        let id = self.next_request;
        self.next_request += 1;
        let deadline = now + new.time_budget;
        self.ledger.accepted += 1;
        self.by_name.insert(new.name.clone(), id);
        let job = NewJob {
            job: JobId(id),
            class: new.class,
            tenant: new.tenant,
            key: new.key,
            deadline,
            hint: new.hint,
            slots: new.slots,
            memory: new.memory,
            repeat: new.repeat,
            estimate: self
                .traits(new.class, new.tenant, new.key)
                .and_then(|job| self.learners.estimate(&job)),
            tenant_weight: {
                let tenant = new.tenant.and_then(|t| self.names.0.tenants.names().get(usize::from(t.0)));
                let points =
                    self.dispatcher.set.classes.get(usize::from(new.class.0)).map_or(0.0, |c| c.weight);
                self.learners.tenant_weight(now, tenant.map(String::as_str), new.class.0, points)
            },
        };
        let request = PendingRequest {
            name: new.name,
            new: job,
            arrived: now,
            downstream: new.downstream,
            deadline,
            backstop: None,
            open: true,
            told_started: false,
            token: new.token,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.timers.set(deadline, Timer::RequestDeadline(id));
        match known {
            Lookup::Answered(result) => {
                self.respond(now, id, FinalResponse::Served(result), Completion::Served);
            }
            Lookup::MayHaveRun(first) => {
                // It counts as a dispatch of this session: the module settles whether and where it may be sent again.
                let at = Micros::try_from(i128::from(first.at) + self.unix_offset).unwrap_or(0).min(now);
                let worker = self.endpoints.id_or_placeholder(&first);
                let attempt = Attempt::new(worker, at);
                self.events.push(Event::Adopted { new: job, since: now, past: vec![attempt.past()] });
                if let Some(request) = self.requests.get_mut(&id) {
                    request.attempts.push(attempt);
                }
            }
            Lookup::Unknown => self.events.push(Event::Arrived(job)),
        }
        Some(id)
    }

    /// What a job is called by what learns of it. A subject's number is a hash, the same at every dispatcher.
    fn traits(&self, class: ClassId, tenant: Option<TenantId>, key: Option<KeyId>) -> Option<JobLabels<'_>> {
        let names = &self.names.0;
        let class = names.classes.names().get(usize::from(class.0))?;
        let tenant = tenant.and_then(|t| names.tenants.names().get(usize::from(t.0)));
        Some(JobLabels { class, tenant: tenant.map(String::as_str), subject: key.map(|k| u64::from(k.0)) })
    }

    /// Remembers keyed jobs from now on, beginning with these notes; `clock_sound` unless time may have passed that the
    /// clock does not show. The notes that cannot be read come back, each with the reason.
    pub fn enable_idempotency(
        &mut self,
        now: Micros,
        notes: impl Iterator<Item = (String, Vec<u8>)>,
        clock_sound: bool,
    ) -> Vec<(String, String)> {
        let mut book = IdempotencyStore::default();
        let bad = notes.filter_map(|(key, note)| Some((book.take(now, &key, Some(&note)).err()?, key)));
        let bad = bad.map(|(why, key)| (key, why)).collect();
        if !clock_sound {
            book.distrust_clock();
        }
        self.keys = Some(book);
        bad
    }

    /// What is remembered of keyed jobs, where that is on.
    pub fn idempotency(&self) -> Option<&IdempotencyStore> {
        self.keys.as_ref()
    }

    /// What another process of this dispatcher has noted.
    pub fn load_record(&mut self, now: Micros, key: &str, note: Option<&[u8]>) {
        let read = self.keys.as_mut().map(|book| book.take(now, key, note));
        invariant!(!matches!(read, Some(Err(_))), "a note of the other process that cannot be read");
    }

    fn look(&mut self, now: Micros, new: &NewRequest) -> Lookup {
        let class = self.names.0.classes.names().get(usize::from(new.class.0));
        match (&mut self.keys, &new.token, class) {
            (Some(book), Some(token), Some(class)) => book.look(now, token, class),
            _ => Lookup::Unknown,
        }
    }

    /// Whether the key of this job was given to another one before.
    pub fn is_key_reused(&mut self, now: Micros, new: &NewRequest) -> bool {
        let class = self.names.0.classes.names().get(usize::from(new.class.0));
        match (&mut self.keys, &new.token, class) {
            (Some(book), Some(token), Some(class)) => book.reused(now, token, class),
            _ => false,
        }
    }

    /// Notes how a keyed session stands, with its result if there is one.
    fn note(&mut self, now: Micros, id: RequestId, ticket: Option<u64>, result: Option<Vec<u8>>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some((book, token)) = self.keys.as_mut().zip(request.token.as_ref()) else { return };
        let Some(class) = self.names.0.classes.names().get(usize::from(request.new.class.0)) else { return };
        let offset = self.unix_offset;
        let sent = request.attempts.iter().filter_map(|d| {
            let row = &self.endpoints.get(d.worker)?.row;
            let (worker, cell, zone) = (row.instance_id.clone(), row.cell, row.zone.clone());
            let at = (i128::from(d.at) - offset) as i64;
            Some(AttemptRecord { worker, cell, zone, at, never_ran: d.never_ran })
        });
        let note = book.enter(now, token, (class, &request.name), sent.collect(), result);
        let key = token.key.clone();
        self.commands.push_back(Command::PersistRecord { ticket, key, note });
    }

    /// The tickets that are waited for.
    pub fn pending_tickets(&self) -> Vec<u64> {
        self.unnoted.keys().copied().collect()
    }

    /// Whether a dispatch could be noted: it leaves, or the module gives its job up.
    pub fn on_record_persisted(&mut self, ticket: u64, written: bool) {
        let Some((id, attempt)) = self.unnoted.remove(&ticket) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(this) = request.attempts.get_mut(attempt as usize).filter(|d| d.out) else { return };
        let worker = this.worker;
        if written && request.open {
            return self.commands.push_back(Command::StartAttempt { request_id: id, attempt, worker });
        }
        (this.out, this.never_ran) = (false, true);
        if let Some(at) = this.limit.take() {
            self.timers.drop(at, Timer::AttemptLimit(id, attempt));
        }
        self.events.push(Event::NotPersisted { job: JobId(id), attempt });
        self.forget(id);
    }

    /// Whom a session's answer goes to.
    pub fn downstream(&self, id: RequestId) -> Option<u64> {
        self.requests.get(&id).map(|request| request.downstream)
    }

    /// The client of a session left.
    pub fn client_disconnected(&mut self, now: Micros, id: RequestId) {
        if self.requests.get(&id).is_some_and(|s| s.open) {
            self.close(now, id, Completion::ClientDisconnected);
            self.events.push(Event::ClientDisconnected(JobId(id)));
        }
    }

    /// A list of discovery's, which counts as told since `told`; `cached` where a process that held a watch handed it over.
    pub fn on_endpoint_list(&mut self, told: Micros, list: &EndpointList, cached: bool) {
        let named = self.endpoints.apply(told, list);
        if std::mem::take(&mut self.endpoints.stale) {
            return self.tell_all(ListKind::Snapshot); // so far none of them took work for the module
        }
        self.tell_roster(
            match (cached, list.reset) {
                (true, _) => ListKind::Cached,
                (_, true) => ListKind::Snapshot,
                _ => ListKind::Delta,
            },
            named,
        );
    }

    /// What was known before the start, perhaps long before: its workers have their numbers, its version is what discovery is
    /// asked with, and nothing is sent by it before discovery has told a list, or [`Core::use_stale_list`]. Returns when the last of
    /// its workers started.
    pub fn load_known_list(&mut self, now: Micros, list: &EndpointList) -> Option<Micros> {
        self.endpoints.apply(now, list);
        self.endpoints.stale = true;
        let since_unix = self.since_unix();
        list.rows.iter().filter_map(|row| since_unix(row.started_at_ms)).max()
    }

    /// What was known before the start is used as it is, if that is still to be revalidated.
    pub fn use_stale_list(&mut self) {
        if std::mem::take(&mut self.endpoints.stale) {
            self.tell_all(ListKind::Cached);
        }
    }

    /// Nothing more is sent by what was known before the start until discovery has told a list, or [`Core::use_stale_list`].
    pub fn suspend_stale_list(&mut self) {
        self.endpoints.stale = true;
        self.tell_all(ListKind::Delta);
    }

    fn tell_all(&mut self, kind: ListKind) {
        let all = self.endpoints.iter().map(|(worker, _)| worker).collect();
        self.tell_roster(kind, all);
    }

    /// Unix time in milliseconds as the module's time.
    fn since_unix(&self) -> impl Fn(f64) -> Option<Micros> + Copy + use<> {
        let offset = self.unix_offset;
        move |ms: f64| Micros::try_from((ms * 1000.0) as i128 + offset).ok().filter(|t| *t > 0 && ms > 0.0)
    }

    fn tell_roster(&mut self, kind: ListKind, workers: Vec<WorkerId>) {
        let since_unix = self.since_unix();
        let (endpoints, names) = (&self.endpoints, &mut self.names.0);
        let entries = workers.into_iter().filter_map(|worker| endpoints.to_entry(worker, names, since_unix));
        self.events.push(Event::EndpointList(kind, entries.collect()));
    }

    /// A call to discovery failed, or the watch broke.
    pub fn on_list_failed(&mut self) {
        self.events.push(Event::ListFailed);
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

    /// A message of another dispatcher.
    pub fn on_peer_message(&mut self, from: u32, bytes: Vec<u8>) {
        self.events.push(Event::PeerMessage { from, bytes });
    }

    /// What is believed of each dispatcher, by their numbers.
    pub fn on_peer_presence(&mut self, peers: Vec<PeerPresence>) {
        self.events.push(Event::Peers(peers));
    }

    /// The request's id, by which a dispatch can be given up: none where it has ended and there is nothing to give up.
    pub fn request_name(&self, id: RequestId, attempt: u32) -> Option<String> {
        let request = self.requests.get(&id)?;
        request.attempts.get(attempt as usize).filter(|d| d.out).map(|_| request.name.clone())
    }

    fn class(&self, id: RequestId) -> Option<&Class> {
        self.dispatcher.set.classes.get(usize::from(self.requests.get(&id)?.new.class.0))
    }

    /// How long the answer to a dispatch will be waited for from now on.
    pub fn time_left(&self, now: Micros, id: RequestId, attempt: u32) -> Micros {
        let request = self.requests.get(&id);
        let until = request.and_then(|s| s.attempts.get(attempt as usize)?.limit.or(Some(s.deadline)));
        until.map_or(0, |at| at.saturating_sub(now))
    }

    /// How long a dispatch waits for its worker's first answer, where a connection may take `connect` to come up. `None`
    /// where it could not be sent again: then it is waited for until its deadline.
    pub fn accept_timeout(&self, id: RequestId, connect: Micros) -> Option<Micros> {
        let class = self.class(id).filter(|class| class.idempotency != Idempotency::NonIdempotent)?;
        Some(connect.min(class.deadline / TAKE_PART))
    }

    /// Whether bytes of a dispatch may leave now, as things have come to stand since it was decided; the last of them may be on
    /// its way for so long. A worker that has stopped is for the caller to know.
    pub fn may_write(&self, now: Micros, id: RequestId, attempt: u32, way: Micros) -> bool {
        let Some(request) = self.requests.get(&id).filter(|s| s.open) else { return false };
        let Some(this) = request.attempts.get(attempt as usize).filter(|d| d.out) else { return false };
        let others = (0..).zip(&request.attempts).filter(|(n, _)| *n != attempt);
        let mut risky = others.map(|(_, d)| d).filter(|d| !d.never_ran);
        now < this.limit.unwrap_or(request.deadline)
            && match self.class(id).map(|class| class.idempotency) {
                Some(Idempotency::IdempotentWithKey { window, .. }) => {
                    risky.all(|d| now + self.tick + way < d.at + window)
                }
                Some(Idempotency::NonIdempotent) => risky.next().is_none(),
                Some(Idempotency::Idempotent) | None => true,
            }
    }

    /// News of a job, by the names that the worker uses. Whether they told anything new.
    pub fn on_job_status(
        &mut self,
        now: Micros,
        name: &str,
        from: &str,
        news: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let result = match &news {
            JobStatus::Done(result) if self.keys.is_some() => Some(result.clone()),
            _ => None,
        };
        let found =
            self.by_name.get(name).copied().zip(self.endpoints.find(from)).and_then(|(id, worker)| {
                let attempts = &self.requests.get(&id)?.attempts;
                Some((id, attempts.iter().rposition(|d| d.worker == worker)? as u32))
            });
        let fresh = found.is_some_and(|(id, attempt)| match news {
            JobStatus::Returned => {
                self.on_attempt_ended(now, id, attempt, AttemptOutcome::Unserved(Outcome::HandedBack), report)
            }
            news => self.on_attempt_status(now, id, attempt, news, report),
        });
        self.stale_status_updates += u64::from(!fresh);
        if let (false, Some(book)) = (fresh, &mut self.keys)
            && let Some((key, result)) = book.key_of(name).zip(result)
        {
            // Of a job that an earlier process sent: its client's repeat will ask for it.
            let note = book.enter_result(now, &key, result);
            self.commands.push_back(Command::PersistRecord { ticket: None, key, note });
        }
        fresh
    }

    /// News of one dispatch. Whether they told anything new.
    pub fn on_attempt_status(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        news: JobStatus,
        report: Option<LoadReport>,
    ) -> bool {
        let without = |outcome| AttemptOutcome::Unserved(outcome);
        match news {
            JobStatus::Started => self.started(now, id, attempt, None),
            JobStatus::Progress(share) => self.started(now, id, attempt, Some(share)),
            JobStatus::Done(result) => {
                self.on_attempt_ended(now, id, attempt, AttemptOutcome::Done(result), report)
            }
            JobStatus::Failed => self.on_attempt_ended(now, id, attempt, without(Outcome::Error), report),
            JobStatus::Returned => self.on_attempt_ended(now, id, attempt, without(Outcome::Full), report),
            JobStatus::Lost => self.on_attempt_ended(now, id, attempt, without(Outcome::Reset), report),
        }
    }

    fn started(&mut self, now: Micros, id: RequestId, attempt: u32, share: Option<f64>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let this = request.attempts.get_mut(attempt as usize).filter(|d| d.out);
        let Some(this) = this else { return false };
        let repeated = this.started.is_some() && share.is_none();
        this.started.get_or_insert(now);
        if repeated {
            return false;
        }
        match share {
            None => self.learn_start(now, id, attempt),
            Some(share) => self.learners.on_progress(now, ticket(id, attempt), share),
        }
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.open {
            let downstream = request.downstream;
            if !std::mem::replace(&mut request.told_started, true) {
                self.commands.push_back(Command::NotifyProgress { downstream, share: None });
            }
            if share.is_some() {
                self.commands.push_back(Command::NotifyProgress { downstream, share });
            }
        }
        let job = JobId(id);
        self.events.push(match share {
            None => Event::Started { job, attempt },
            Some(done) => Event::Progress { job, attempt, done },
        });
        true
    }

    /// An attempt has begun to run: what learns of run times is told where, and of what kind that is.
    fn learn_start(&mut self, now: Micros, id: RequestId, attempt: u32) {
        if !self.learners.is_enabled() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let server = request.attempts.get(attempt as usize).and_then(|d| self.endpoints.get(d.worker));
        let new = &request.new;
        let names = &self.names.0;
        let class = names.classes.names().get(usize::from(new.class.0));
        let tenant = new.tenant.and_then(|t| names.tenants.names().get(usize::from(t.0)));
        if let Some((server, class)) = server.zip(class) {
            let (tenant, subject) = (tenant.map(String::as_str), new.key.map(|k| u64::from(k.0)));
            let job = JobLabels { class, tenant, subject };
            let (worker, kind) = (&server.row.instance_id, &server.row.machine_type);
            self.learners.on_started(now, ticket(id, attempt), &job, worker, kind);
        }
    }

    /// A dispatch ended. Only its first end counts; a result is the session's answer as long as none was given.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        fate: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(this) = request.attempts.get_mut(attempt as usize) else { return false };
        let was_out = std::mem::replace(&mut this.out, false);
        let (worker, elapsed) = (this.worker, now.saturating_sub(this.at));
        if let Some(at) = this.limit.take() {
            self.timers.drop(at, Timer::AttemptLimit(id, attempt));
        }
        let (downstream, open) = (request.downstream, request.open);
        if let (AttemptOutcome::Done(result), true) = (&fate, request.token.is_some()) {
            let result = Some(result.clone());
            self.note(now, id, None, result);
        }
        let outcome = match fate {
            AttemptOutcome::Done(result) if open => {
                // A dispatch that was given up may still bring the result: it is as good as any.
                self.commands.push_back(Command::Respond {
                    request_id: id,
                    downstream,
                    response: FinalResponse::Served(result),
                });
                self.close(now, id, Completion::Served);
                if !was_out {
                    self.events.push(Event::ClientDisconnected(JobId(id)));
                    return true;
                }
                Outcome::Ok
            }
            AttemptOutcome::Done(_) => Outcome::Ok,
            AttemptOutcome::Unserved(outcome) => outcome,
        };
        if !was_out {
            return false;
        }
        self.learners.on_ended(now, ticket(id, attempt), outcome == Outcome::Ok);
        if let Some(this) = self.requests.get_mut(&id).and_then(|s| s.attempts.get_mut(attempt as usize)) {
            (this.never_ran, this.handed_back) = (outcome.never_ran(), outcome == Outcome::HandedBack);
            this.withheld = outcome == Outcome::NeverSent;
        }
        self.tell_end(id, attempt, worker, elapsed, outcome, report);
        true
    }

    fn tell_end(
        &mut self,
        id: RequestId,
        attempt: u32,
        worker: WorkerId,
        elapsed: Micros,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let closed = self.requests.get(&id).is_none_or(|s| !s.open);
        let job = JobId(id);
        self.events.push(Event::AttemptEnded(AttemptEnded {
            job,
            attempt,
            worker,
            elapsed,
            closed,
            outcome,
            report,
        }));
        self.forget(id);
    }

    /// Enters a session's end.
    fn close(&mut self, now: Micros, id: RequestId, entry: Completion) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        invariant!(request.open, "session {id} got a second final answer");
        request.open = false;
        self.timers.drop(request.deadline, Timer::RequestDeadline(id));
        if let Some(at) = request.backstop.take() {
            self.timers.drop(at, Timer::Backstop(id));
        }
        if entry == Completion::Served {
            let (new, took) = (request.new, now.saturating_sub(request.arrived));
            let tenant = new.tenant.and_then(|t| self.names.0.tenants.names().get(usize::from(t.0)));
            let points = self.dispatcher.set.classes.get(usize::from(new.class.0)).map_or(0.0, |c| c.weight);
            self.learners.on_served(now, tenant.map(String::as_str), new.class.0, points, took);
        }
        let (class, sent) = (request.new.class, request.token.is_some() && !request.attempts.is_empty());
        if sent && entry != Completion::Served {
            self.note(now, id, None, None);
        }
        self.ledger.enter(entry);
        self.tally(class, entry);
        self.forget(id);
    }

    fn tally(&mut self, class: ClassId, entry: Completion) {
        let class = usize::from(class.0);
        if self.tallies.len() <= class {
            self.tallies.resize(class + 1, Tally::default());
        }
        self.tallies[class].count(entry);
    }

    /// A session was turned away before it was taken, for want of descriptors: its client sees a refusal like any other.
    pub fn count_rejected(&mut self, class: ClassId) {
        self.tally(class, Completion::Rejected);
    }

    /// What became of the sessions of each class, by its name; of those without sessions, and of those that have vanished
    /// too.
    pub fn tallies(&self) -> BTreeMap<&str, Tally> {
        let mut sums: BTreeMap<&str, Tally> = BTreeMap::new();
        for (n, name) in self.names.0.classes.names().iter().enumerate() {
            let (sum, one) =
                (sums.entry(name).or_default(), self.tallies.get(n).copied().unwrap_or_default());
            sum.served += one.served;
            sum.rejected += one.rejected;
            sum.failed += one.failed;
        }
        sums
    }

    /// The other dispatchers of this one's group, which tell each other of their work.
    pub fn peer_group(&self) -> &[u32] {
        &self.dispatcher.m.share.mates
    }

    /// How many listed workers the module is avoiding.
    pub fn ejected_endpoints(&self, now: Micros) -> usize {
        self.dispatcher.avoided(now)
    }

    /// Notes a session that may be over. It is dropped only after the next batch: until the module has been
    /// told, it may still send for it, and that dispatch must get the number that the module gives it.
    fn forget(&mut self, id: RequestId) {
        self.finished.push(id);
    }

    /// Drops sessions that are over, have nothing out and are known to be so by the module.
    fn drop_finished(&mut self) {
        let over = |s: &PendingRequest| !s.open && s.attempts.iter().all(|d| !d.out);
        for id in std::mem::take(&mut self.finished) {
            if self.requests.get(&id).is_some_and(over)
                && let Some(request) = self.requests.remove(&id)
            {
                self.by_name.remove(&request.name);
            }
        }
    }

    fn respond(&mut self, now: Micros, id: RequestId, response: FinalResponse, entry: Completion) {
        let Some(request) = self.requests.get(&id).filter(|s| s.open) else { return };
        let downstream = request.downstream;
        self.commands.push_back(Command::Respond { request_id: id, downstream, response });
        self.close(now, id, entry);
    }

    /// Sweeps the deadlines and, once the tick has come round, hands the module what has come in.
    pub fn turn(&mut self, now: Micros) {
        let mut at_once = false;
        while let Some(deadline) = self.timers.pop_due(now) {
            match deadline {
                Timer::Policy(id) => self.events.push(Event::Timer(id)),
                Timer::Program(token) => self.commands.push_back(Command::TimerFired(token)),
                Timer::AttemptLimit(id, attempt) => self.time_out(now, id, attempt),
                Timer::RequestDeadline(id) => {
                    at_once = true;
                    let out = self.requests.get(&id).map_or(0, |s| s.attempts.len() as u32);
                    (0..out).for_each(|attempt| self.time_out(now, id, attempt));
                    if let Some(request) = self.requests.get_mut(&id) {
                        // Counted from now: after a turn that came late the module is still to be asked first.
                        request.backstop = Some(now + BACKSTOP);
                        self.timers.set(now + BACKSTOP, Timer::Backstop(id));
                    }
                }
                Timer::Backstop(id) => {
                    // The module gives up in time by itself; this guards the rule should it ever not.
                    invariant!(false, "session {id} is past its deadline and open");
                    self.respond(now, id, FinalResponse::TimedOut, Completion::Failed);
                    self.events.push(Event::ClientDisconnected(JobId(id)));
                }
            }
        }
        if self.events.is_empty() || (now < self.next_batch && !at_once) {
            return;
        }
        self.batch(now);
    }

    /// Hands the module what has come in.
    pub fn batch(&mut self, now: Micros) {
        self.release_events = 0;
        self.next_batch = now + self.tick;
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.events) {
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.actions = actions;
        self.drop_finished();
    }

    /// A dispatch has had its time: its worker is told, the module too.
    fn time_out(&mut self, now: Micros, id: RequestId, attempt: u32) {
        self.give_up(now, id, attempt, Outcome::Timeout);
    }

    fn give_up(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let this = request.attempts.get(attempt as usize).filter(|d| d.out);
        if let Some(worker) = this.map(|d| d.worker) {
            if self.unnoted.remove(&ticket(id, attempt)).is_some() {
                // It waits to be noted and has not left.
                self.on_attempt_ended(now, id, attempt, AttemptOutcome::Unserved(Outcome::NeverSent), None);
                return;
            }
            let name = request.name.clone();
            self.commands.push_back(Command::CancelAttempt { request_id: id, attempt, worker, name });
            self.on_attempt_ended(now, id, attempt, AttemptOutcome::Unserved(outcome), None);
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker, limit } => self.send(now, job.0, worker, limit),
            Action::Cancel { job, attempt } => {
                self.give_up(now, job.0, attempt, Outcome::Cancelled);
            }
            Action::Reject { job, retry_after } => {
                self.respond(now, job.0, FinalResponse::Rejected(retry_after), Completion::Rejected);
            }
            Action::Fail(job) => {
                let late = self.requests.get(&job.0).is_some_and(|s| now + 2 * self.tick >= s.deadline);
                let answer = if late { FinalResponse::TimedOut } else { FinalResponse::Failed };
                self.respond(now, job.0, answer, Completion::Failed);
            }
            Action::SetTimer(id, after) => self.timers.set(now + after.max(1), Timer::Policy(id)),
            Action::Probe(worker) => self.commands.push_back(Command::Probe(worker)),
            Action::SendToPeer { to, bytes } => self.commands.push_back(Command::SendToPeer(to, bytes)),
            Action::OpenWatch => self.commands.push_back(Command::OpenWatch),
            Action::FetchList => self.commands.push_back(Command::FetchList),
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, limit: Option<Micros>) {
        let Some(request) = self.requests.get_mut(&id) else {
            invariant!(false, "a dispatch of session {id}, which is no more");
            return;
        };
        let attempt = request.attempts.len() as u32;
        if !request.open {
            // The batch was fixed before its session ended: nothing goes out after a final answer.
            request.attempts.push(Attempt { never_ran: true, ..Attempt::new(worker, now) });
            let (job, outcome) = (JobId(id), Outcome::NeverSent);
            let ended =
                AttemptEnded { job, attempt, worker, elapsed: 0, closed: true, outcome, report: None };
            return self.events.push(Event::AttemptEnded(ended));
        }
        let doubled = request.attempts.iter().any(|d| d.worker == worker && d.out);
        invariant!(!doubled, "worker {} has session {id} already", worker.0);
        let limit = limit.map(|span| now + span).filter(|at| *at < request.deadline);
        if let Some(at) = limit {
            self.timers.set(at, Timer::AttemptLimit(id, attempt));
        }
        request.attempts.push(Attempt { limit, out: true, ..Attempt::new(worker, now) });
        if request.token.is_some() {
            let ticket = ticket(id, attempt);
            self.unnoted.insert(ticket, (id, attempt));
            return self.note(now, id, Some(ticket), None);
        }
        self.commands.push_back(Command::StartAttempt { request_id: id, attempt, worker });
    }

    /// Answers every open session as failed: it is past its deadline, and the process ends.
    pub fn fail_all(&mut self, now: Micros) {
        for id in self.open_requests() {
            self.respond(now, id, FinalResponse::Failed, Completion::Failed);
            self.events.push(Event::ClientDisconnected(JobId(id)));
        }
    }

    /// What the module has learned, for the process that goes on in this one's place.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            offset: self.unix_offset as i64,
            workers: self.endpoints.iter().map(|(_, s)| s.row.instance_id.clone()).collect(),
            kinds: self.names.0.kinds.names().to_vec(),
            classes: self.names.0.classes.names().to_vec(),
            learned: self.dispatcher.learned(),
        }
    }

    /// Begins with what another process has learned. The server table must have been taken already.
    pub fn restore(&mut self, lesson: LearnedState) {
        let names = &self.names.0;
        let places = crate::policy::state::Places {
            workers: lesson.workers.iter().map(|name| self.endpoints.find(name)).collect(),
            kinds: lesson.kinds.iter().map(|k| names.kinds.find(k).map(|n| KindId(n as u16))).collect(),
            classes: lesson
                .classes
                .iter()
                .map(|c| names.classes.find(c).map(|n| ClassId(n as u16)))
                .collect(),
        };
        self.dispatcher.recall(
            lesson.learned,
            &places,
            (self.unix_offset as i64).saturating_sub(lesson.offset),
        );
    }

    /// The open sessions, in the order of their arrival.
    pub fn open_requests(&self) -> Vec<RequestId> {
        let mut open: Vec<RequestId> =
            self.requests.iter().filter(|(_, s)| s.open).map(|(id, _)| *id).collect();
        open.sort_unstable();
        open
    }

    /// The ids of the requests that are open here.
    pub fn open_request_names(&self) -> Vec<String> {
        self.by_name.keys().cloned().collect()
    }

    /// Whether a session of this name is open, or something of it is still out.
    pub fn knows(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Hands an open session to another process of this dispatcher. Nothing more is done for it here. `None` where the
    /// module has yet to hear of something first, or where the class is no more: the other could not know it.
    pub fn transfer(&mut self, id: RequestId) -> Option<TransferredRequest> {
        let (offset, classes) = (self.unix_offset, &self.names.0.classes);
        let unix = |at: Micros| (i128::from(at) - offset) as i64;
        let request =
            self.requests.get(&id).filter(|s| s.open && self.events.len() == self.release_events)?;
        if self.unnoted.values().any(|(of, _)| *of == id) {
            return None;
        }
        let class = classes.names().get(usize::from(request.new.class.0))?.clone();
        if classes.find(&class) != Some(u32::from(request.new.class.0)) {
            return None;
        }
        let tenants = self.names.0.tenants.names();
        let tenant = request.new.tenant.and_then(|t| tenants.get(usize::from(t.0)).cloned());
        let attempt = |d: &Attempt| {
            let worker = self.endpoints.get(d.worker)?.row.instance_id.clone();
            let (at, started) = (unix(d.at), d.started.map(unix));
            let (out, never_ran, handed_back) = (d.out, d.never_ran, d.handed_back);
            Some(TransferredAttempt { worker, at, started, out, never_ran, handed_back })
        };
        let moved = TransferredRequest {
            name: request.name.clone(),
            class,
            tenant,
            key: request.new.key.map(|k| k.0),
            arrived: unix(request.arrived),
            deadline: unix(request.deadline),
            hint: request.new.hint,
            slots: request.new.slots,
            memory: request.new.memory,
            repeat: request.new.repeat,
            told_started: request.told_started,
            token: request.token.clone(),
            // What never left is no attempt there either, and both sides number them anew.
            attempts: request.attempts.iter().filter(|d| !d.withheld).map(attempt).collect::<Option<_>>()?,
        };
        let request = self.requests.remove(&id)?;
        self.by_name.remove(&request.name);
        self.timers.drop(request.deadline, Timer::RequestDeadline(id));
        if let Some(at) = request.backstop {
            self.timers.drop(at, Timer::Backstop(id));
        }
        self.ledger.transferred += 1;
        let job = JobId(id);
        self.events.push(Event::ClientDisconnected(job));
        for (attempt, d) in (0..).zip(&request.attempts).filter(|(_, d)| d.out) {
            let (worker, outcome) = (d.worker, Outcome::Cancelled);
            let ended =
                AttemptEnded { job, attempt, worker, elapsed: 0, closed: true, outcome, report: None };
            self.events.push(Event::AttemptEnded(ended));
        }
        self.release_events = self.events.len();
        Some(moved)
    }

    /// Takes over a session that another process of this dispatcher has released.
    pub fn adopt(&mut self, moved: TransferredRequest, downstream: u64) -> Option<RequestId> {
        let offset = self.unix_offset;
        let here = |unix: i64| Micros::try_from(i128::from(unix) + offset).unwrap_or(0);
        let class = ClassId(self.names.0.classes.find(&moved.class)? as u16);
        if self.by_name.contains_key(&moved.name) {
            return None;
        }
        let tenant = moved.tenant.and_then(|t| self.names.0.tenants.find(&t)).map(|t| TenantId(t as u16));
        let attempt = |d: &TransferredAttempt| {
            let (worker, started) = (self.endpoints.find(&d.worker)?, d.started.map(here));
            let (never_ran, handed_back) = (d.never_ran, d.handed_back);
            let new = Attempt::new(worker, here(d.at));
            Some(Attempt { out: d.out, started, never_ran, handed_back, ..new })
        };
        let attempts: Vec<Attempt> = moved.attempts.iter().map(attempt).collect::<Option<_>>()?;
        let id = self.next_request;
        self.next_request += 1;
        self.ledger.accepted += 1;
        let (arrived, deadline) = (here(moved.arrived), here(moved.deadline));
        let new = NewJob {
            job: JobId(id),
            class,
            tenant,
            key: moved.key.map(KeyId),
            deadline,
            hint: moved.hint,
            slots: moved.slots,
            memory: moved.memory,
            repeat: moved.repeat,
            estimate: self
                .traits(class, tenant, moved.key.map(KeyId))
                .and_then(|job| self.learners.estimate(&job)),
            tenant_weight: None,
        };
        let past = attempts.iter().map(Attempt::past).collect();
        self.events.push(Event::Adopted { new, since: arrived, past });
        self.by_name.insert(moved.name.clone(), id);
        self.timers.set(deadline, Timer::RequestDeadline(id));
        let request = PendingRequest {
            name: moved.name,
            new,
            arrived,
            downstream,
            deadline,
            backstop: None,
            open: true,
            told_started: moved.told_started,
            token: moved.token.filter(|_| self.keys.is_some()),
            attempts,
        };
        self.requests.insert(id, request);
        Some(id)
    }
}
