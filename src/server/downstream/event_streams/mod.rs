//! Event streams: submitted jobs, which outlive the connections that submitted them. This module does the I/O;
//! `mothproxy_streams` makes all decisions.
//!
//! A client submits a job and gets its id and a secret token. With these it watches the job's events, on as many connections
//! as it likes. [`watchers`] serves these connections, and [`transfer`] moves jobs to another process. [`EventStreams`] owns
//! the jobs. A watcher's connection is one of [`ClientConnections`].
//!
//! [`ClientConnections`]: crate::server::downstream::ClientConnections

mod transfer;
pub(super) mod watchers;

use crate::config::SseSettings;
use crate::core::{FinalResponse, NewRequest, RequestId};
use crate::policy::interface::Micros;
use crate::protocol::platform::{RawRequest, Reject};
use crate::protocol::{admin::StreamMetrics, event_streams};
use crate::server::Server;
use crate::server::connection::Connection;
use crate::server::context::{Context, context};
use crate::server::downstream::context::client_context;
use crate::server::downstream::{ClientContext, Downstream};
use crate::server::tokens::{STREAM_SWEEP_TIMER, Token};
use mothproxy_streams::{Effect, EventBroker, JobId, Limits, NewJob, PublicJobId, WatchToken, WatcherId};
use std::collections::HashMap;
use std::rc::Rc;

/// How long a final event that no watcher has received keeps a process from ending, in microseconds: the longest reconnect delay
/// that clients are told, and time to connect.
const FINAL_EVENT_WAIT: Micros = watchers::RECONNECT_DELAY_DRAINING + 500_000;
/// The memory of a submitted job without its events, in bytes.
const JOB_BYTES: usize = 1024;
/// The interval of the broker's timer while the broker has anything due, in microseconds.
const SWEEP_INTERVAL: Micros = 500_000;

/// An event as encoded for a watcher's connection.
struct EncodedEvent {
    job: JobId,
    event_id: u64,
    framing: event_streams::StreamFraming,
    bytes: Rc<Vec<u8>>,
}

/// Submitted jobs and their watchers. This part of the server exists only if the SSE listener is on.
pub(in crate::server) struct EventStreams {
    broker: EventBroker,
    /// The origins whose web pages may use the listener (CORS).
    origins: Vec<String>,
    /// The requests of the jobs that have no final response yet.
    requests: HashMap<JobId, RequestId>,
    /// The watchers' connections.
    tokens: HashMap<WatcherId, Token>,
    /// Whether the sweep timer is set.
    is_sweep_scheduled: bool,
    /// The effects that the broker has requested; they are run at the end of the turn.
    effects: Vec<Effect>,
    /// The event that was encoded last. Watchers of one job share its bytes.
    last_encoded: Option<EncodedEvent>,
    /// The number of jobs submitted so far.
    submitted: u64,
}

impl EventStreams {
    /// Creates event streams without jobs, whose events take about `max_bytes` of memory at most.
    pub fn new(settings: SseSettings, max_bytes: usize) -> EventStreams {
        let limits = Limits {
            streams_per_tenant: settings.streams_per_tenant,
            bytes: max_bytes,
            jobs: Limits::default().jobs.min(max_bytes / JOB_BYTES),
            ..Limits::default()
        };
        EventStreams {
            broker: EventBroker::new(limits),
            origins: settings.origins,
            requests: HashMap::new(),
            tokens: HashMap::new(),
            is_sweep_scheduled: false,
            effects: Vec::new(),
            last_encoded: None,
            submitted: 0,
        }
    }

    /// Publishes the progress of a job: `fraction` is the part that is done; `None` means that the job has started.
    pub fn publish_progress(&mut self, job: JobId, fraction: Option<f64>) {
        match fraction {
            None => self.broker.publish(job, "started", "{}".to_owned(), &mut self.effects),
            Some(fraction) => {
                let data = serde_json::json!({ "share": fraction }).to_string();
                self.broker.publish_progress(job, "progress", data, &mut self.effects);
            }
        }
    }

    /// The metrics of event streams for the admin listener.
    pub fn metrics(&self) -> StreamMetrics {
        let broker = self.broker.metrics();
        StreamMetrics {
            jobs: broker.jobs,
            watchers: broker.watchers,
            bytes: broker.bytes,
            submitted: self.submitted,
            missed: broker.missed,
            coalesced: broker.coalesced,
            evicted: broker.evicted,
        }
    }

    /// Whether a client may still come back for the final event of its job.
    pub fn awaits_watchers(&self, now: Micros) -> bool {
        self.broker.has_unreceived_final_event(now.saturating_sub(FINAL_EVENT_WAIT))
    }

    /// Whether the sweep timer must be set. Returns true only once until [`EventStreams::sweep`].
    fn needs_sweep(&mut self) -> bool {
        let is_needed = !self.is_sweep_scheduled && self.broker.next_due().is_some();
        self.is_sweep_scheduled |= is_needed;
        is_needed
    }

    /// Runs the broker's timer, for jobs and watchers.
    fn sweep(&mut self, now: Micros) {
        self.is_sweep_scheduled = false;
        self.broker.on_timer(now, &mut self.effects);
    }

    /// Takes the effects that the broker has requested, without duplicates: a watcher whose job made progress several times in
    /// this turn is woken once.
    fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        effects.sort_unstable();
        effects.dedup();
        effects
    }

    /// The token of a watcher's connection.
    fn token(&self, watcher: WatcherId) -> Option<Token> {
        self.tokens.get(&watcher).copied()
    }

    /// Publishes the final response of a job.
    pub fn finish_job(&mut self, context: &mut Context<'_>, job: JobId, response: FinalResponse) {
        self.requests.remove(&job);
        let (name, data) = event_streams::final_event(response);
        self.broker.finish(context.now(), job, name, data, &mut self.effects);
        self.schedule_sweep(context);
    }

    /// Sets the sweep timer, unless it is already set or the broker has nothing due.
    fn schedule_sweep(&mut self, context: &mut Context<'_>) {
        if self.needs_sweep() {
            context.core.set_timer(context.clock.now() + SWEEP_INTERVAL, STREAM_SWEEP_TIMER);
        }
    }
}

/// Cryptographically secure random bytes from the system; `None` if the system provides none.
fn random_bytes<const N: usize>() -> Option<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes)
}

/// Accepts a job that its client will watch later, and writes the job's id and token as the response.
///
/// # Errors
/// - `BadRequest`: the header field that states whether the job ends when nobody watches it has an unknown value.
/// - `NotFound`: event streams are off.
/// - `Overloaded`: the broker has no room, or the system provides no random bytes.
/// - `DuplicateId`: a request with this id is open.
pub(super) fn submit_job(
    context: &mut ClientContext<'_>,
    connection: &mut Connection,
    raw: RawRequest,
    mut request: NewRequest,
    keep_alive: bool,
) -> Result<(), Reject> {
    let ends_unwatched = event_streams::ends_unwatched(&raw).ok_or(Reject::BadRequest)?;
    let streams = context.event_streams.as_mut().ok_or(Reject::NotFound)?;
    let shared = &mut context.shared;
    let cors = event_streams::cors(&raw, &streams.origins);
    let public_id = random_bytes().map(|bytes| PublicJobId(u64::from_le_bytes(bytes)));
    let token = random_bytes().map(|bytes| WatchToken(u128::from_le_bytes(bytes)));
    let (public_id, token) = public_id.zip(token).ok_or(Reject::Overloaded)?;
    let tenant = request.tenant.map_or(0, |tenant| 1 + u32::from(tenant.0));
    let new = NewJob { public_id, token, tenant, ends_unwatched };
    let job = streams.broker.add_job(shared.now(), new);
    let job = job.map_err(|_| Reject::Overloaded)?;
    request.downstream = Downstream::Job(job).to_id();
    let Some(request_id) = shared.core.accept(shared.clock.now(), request) else {
        streams.broker.transfer(job);
        return Err(Reject::DuplicateId);
    };
    streams.requests.insert(job, request_id);
    streams.submitted += 1;
    context.pending.insert(request_id, raw);
    streams.schedule_sweep(shared);
    connection.write_queue.push(event_streams::submitted(public_id, token, &cors, keep_alive));
    Ok(())
}

/// Methods of the server, since they involve the watchers' connections too.
impl Server {
    /// Handles the sweep timer: runs the broker's timer, and sets the next one.
    pub(in crate::server) fn on_stream_sweep_timer(&mut self) {
        let Some(streams) = &mut self.event_streams else { return };
        streams.sweep(self.clock.now());
        self.run_stream_effects();
        if let Some(streams) = &mut self.event_streams {
            streams.schedule_sweep(&mut context!(self));
        }
    }

    /// Runs the effects that the broker has requested. This runs once a turn, so that a woken watcher pulls the newest progress.
    pub(in crate::server) fn run_stream_effects(&mut self) {
        let Some(streams) = &mut self.event_streams else { return };
        for effect in streams.take_effects() {
            match effect {
                Effect::Wake(watcher) => self.wake_watcher(watcher),
                Effect::End(job) => self.cancel_job(job),
            }
        }
    }

    /// Writes the events that a watcher has not received yet.
    fn wake_watcher(&mut self, watcher: WatcherId) {
        let token = self.event_streams.as_ref().and_then(|streams| streams.token(watcher));
        if let Some(token) = token {
            self.clients.advance_token(&mut client_context!(self), token);
        }
    }

    /// Cancels a job that nobody watches and that must not continue unwatched.
    fn cancel_job(&mut self, job: JobId) {
        let Some(streams) = &mut self.event_streams else { return };
        if let Some(request_id) = streams.requests.remove(&job) {
            streams.broker.transfer(job); // removes the job from the broker: nobody can watch it any more
            self.pending.remove(request_id);
            self.core.on_client_disconnected(self.clock.now(), request_id);
        }
    }
}
