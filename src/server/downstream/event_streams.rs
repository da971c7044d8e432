//! Jobs apart from their streams, on connections: what `mothproxy_streams` decides is written here, and nothing is decided.

use crate::core::{FinalResponse, NewRequest, RequestId};
use crate::http::Piece;
use crate::policy::interface::Micros;
use crate::protocol::platform::{RawRequest, Reject};
use crate::protocol::{admin::StreamMetrics, event_streams};
use crate::server::connection::Conn;
use crate::server::downstream::{Front, State, Watching};
use crate::server::lifecycle::hot_restart::{Note, TransferredExchange};
use crate::server::{RELAY_TIMER, Role, Server, Token};
use mothproxy_streams::{
    BrokerError, Effect, EventBroker, JobId, Limits, NewJob, Next, TransferredJob, WatcherId,
};
use std::collections::HashMap;
use std::rc::Rc;

/// Frontends of sessions that no connection waits for: this and the job's number.
pub(in crate::server) const JOB: u64 = 1 << 63;
/// Time passes for the relay this often.
const SWEEP: Micros = 500_000;
/// A watcher's connection is given more once it has less than this left to write.
const AHEAD: usize = 2 * 1024;
/// When a client is told to come back: usually, under load, and while this process lets go.
const RETRY: Micros = 500_000;
const RETRY_LOADED: Micros = 2_000_000;
const RETRY_LEAVING: Micros = 3_000_000;

/// What the SSE front is told by its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Streams {
    /// Pages of these origins may use the front.
    pub origins: Vec<String>,
    /// Streams of one tenant.
    pub per_tenant: usize,
}

/// Jobs and their watchers, where the SSE front is on.
pub(in crate::server) struct Watch {
    relay: EventBroker,
    origins: Vec<String>,
    requests: HashMap<JobId, RequestId>,
    /// Connections by watcher.
    tokens: HashMap<WatcherId, Token>,
    sweeping: bool,
    effects: Vec<Effect>,
    /// The event that was worded last: a job's watchers get the same bytes.
    worded: Option<(JobId, u64, event_streams::StreamFraming, Rc<Vec<u8>>)>,
    handed_in: u64,
}

impl Watch {
    pub fn new(streams: Streams) -> Watch {
        let limits = Limits { streams_per_tenant: streams.per_tenant, ..Limits::default() };
        Watch {
            relay: EventBroker::new(limits),
            origins: streams.origins,
            requests: HashMap::new(),
            tokens: HashMap::new(),
            sweeping: false,
            effects: Vec::new(),
            worded: None,
            handed_in: 0,
        }
    }
}

/// Random numbers that nobody can guess; `None` where the system gives none.
fn secret<const N: usize>() -> Option<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes)
}

/// A job with its session, on its way to the younger process.
#[derive(serde::Deserialize, serde::Serialize)]
pub(in crate::server) struct HandedJob {
    job: TransferredJob,
    #[serde(rename = "session")]
    request: Option<TransferredExchange>,
}

impl HandedJob {
    pub fn exchange(&self) -> Option<&TransferredExchange> {
        self.request.as_ref()
    }
}

impl Server {
    /// Takes a job whose client will watch it later. What is written is its answer; an error refuses it.
    pub(in crate::server) fn hand_in(
        &mut self,
        conn: &mut Conn,
        raw: RawRequest,
        mut arrival: NewRequest,
        keep_alive: bool,
    ) -> Result<(), Reject> {
        let ends = event_streams::ends_unwatched(&raw).ok_or(Reject::BadRequest)?;
        let Some(watching) = &mut self.watch_jobs else { return Err(Reject::NoSuchPath) };
        let cors = event_streams::cors(&raw, &watching.origins);
        let (Some(public), Some(token)) = (secret::<8>(), secret::<16>()) else {
            return Err(Reject::Overloaded);
        };
        let (public, token) = (u64::from_le_bytes(public), u128::from_le_bytes(token));
        let tenant = arrival.tenant.map_or(0, |t| 1 + u32::from(t.0));
        let new = NewJob { public_id: public, token, tenant, ends_unwatched: ends };
        let taken = watching.relay.add_job(self.now, new);
        let job = taken.map_err(|_| Reject::Overloaded)?;
        arrival.downstream = JOB | job;
        let Some(request_id) = self.core.accept(self.now, arrival) else {
            watching.relay.transfer(job);
            return Err(Reject::DuplicateId);
        };
        watching.requests.insert(job, request_id);
        watching.handed_in += 1;
        self.requests.insert(request_id, raw);
        self.sweep_later();
        conn.outbox.push(event_streams::submitted(public, token, &cors, keep_alive));
        Ok(())
    }

    /// A request at a job's place, or a preflight. False where it is neither.
    pub(in crate::server) fn watch_request(
        &mut self,
        token: Token,
        conn: &mut Conn,
        front: &mut Front,
        raw: &RawRequest,
        keep: bool,
    ) -> bool {
        let Some(watching) = &mut self.watch_jobs else { return false };
        let cors = event_streams::cors(raw, &watching.origins);
        let method = &raw.bytes[raw.head.method.clone()];
        let Some(wanted) = event_streams::stream_request(raw) else {
            if method == b"OPTIONS" {
                conn.outbox.push(event_streams::preflight(&cors, keep));
            }
            return method == b"OPTIONS";
        };
        let body = method != b"HEAD";
        match method {
            b"GET" | b"HEAD" => {}
            b"OPTIONS" => {
                conn.outbox.push(event_streams::preflight(&cors, keep));
                return true;
            }
            _ => {
                conn.outbox.push(event_streams::wrong_method(keep));
                return true;
            }
        }
        if !event_streams::accepts_event_stream(raw) {
            let text = "it comes as text/event-stream only";
            conn.outbox.push(event_streams::plain("406 Not Acceptable", &cors, text, keep, body));
            return true;
        }
        // An id or token that cannot be read is as wrong as any other.
        let (public, secret) = (wanted.public_id.unwrap_or(0), wanted.token.unwrap_or(0));
        let watched = match (wanted.public_id, wanted.token) {
            (Some(_), Some(_)) => watching.relay.watch(public, secret, wanted.last_event_id),
            _ => Err(BrokerError::Unknown),
        };
        let watcher = match watched {
            Ok(watcher) => watcher,
            Err(why) => {
                let answer = match why {
                    BrokerError::Unknown => event_streams::plain(
                        "403 Forbidden",
                        &cors,
                        "no such stream for this token",
                        keep,
                        body,
                    ),
                    BrokerError::Over => event_streams::plain("204 No Content", &cors, "", keep, false),
                    BrokerError::TooManyStreams | BrokerError::Full => {
                        let extra = format!("Retry-After: 2\r\n{cors}");
                        event_streams::plain("429 Too Many Requests", &extra, "too many streams", keep, body)
                    }
                };
                conn.outbox.push(answer);
                return true;
            }
        };
        let frame = if event_streams::is_http_1_0(raw) {
            event_streams::StreamFraming::UntilClose
        } else {
            event_streams::StreamFraming::Chunked
        };
        let keep = keep && frame == event_streams::StreamFraming::Chunked;
        if !body {
            watching.relay.remove_watcher(self.now, watcher);
            conn.outbox.push(event_streams::stream_head(frame, &cors, keep));
            return true;
        }
        watching.tokens.insert(watcher, token);
        conn.outbox.push(event_streams::stream_head(frame, &cors, keep));
        conn.outbox.push(event_streams::retry(frame, self.retry()));
        front.state = State::Watching(Watching { watcher, keep, frame, last: self.now });
        true
    }

    /// How long a client that loses its stream now should stay away.
    fn retry(&self) -> Micros {
        if self.takes_leave() || self.handed {
            RETRY_LEAVING
        } else if self.fronts * 4 >= self.budget.fronts * 3 {
            RETRY_LOADED
        } else {
            RETRY
        }
    }

    /// Gives a watcher's connection what comes next, as much as it can write soon.
    pub(in crate::server) fn pump(&mut self, conn: &mut Conn, front: &mut Front) {
        let State::Watching(held) = &mut front.state else { return };
        let Some(watching) = &mut self.watch_jobs else { return };
        while conn.outbox.len() < AHEAD {
            let pieces = match watching.relay.pull(held.watcher) {
                Next::Nothing => return,
                Next::Missed(count) => event_streams::missed(held.frame, count),
                Next::Event { job, event, last } => {
                    let known =
                        watching.worded.take().filter(|w| (w.0, w.1, w.2) == (job, event.id, held.frame));
                    let worded = known.unwrap_or_else(|| {
                        (job, event.id, held.frame, event_streams::event(held.frame, event))
                    });
                    let piece = Piece::Shared(worded.3.clone(), 0..worded.3.len());
                    watching.worded = Some(worded);
                    if last {
                        conn.outbox.push(vec![piece]);
                        conn.outbox.push(held.frame.end());
                        watching.relay.remove_watcher(self.now, held.watcher);
                        watching.tokens.remove(&held.watcher);
                        front.state = if held.keep { State::Reading } else { State::Ending { since: None } };
                        return;
                    }
                    vec![piece]
                }
            };
            conn.outbox.push(pieces);
            held.last = self.now;
        }
    }

    /// Whether a watcher could be given more at once.
    pub(in crate::server) fn has_more(&self, front: &Front) -> bool {
        let State::Watching(held) = &front.state else { return false };
        self.watch_jobs.as_ref().is_some_and(|w| w.relay.has_more(held.watcher))
    }

    /// A watcher's connection is over.
    pub(in crate::server) fn watcher_gone(&mut self, watcher: WatcherId) {
        let now = self.now;
        if let Some(watching) = &mut self.watch_jobs {
            watching.tokens.remove(&watcher);
            watching.relay.remove_watcher(now, watcher);
            self.sweep_later();
        }
    }

    /// A job without a connection of its own has got on.
    pub(in crate::server) fn job_told(&mut self, job: JobId, share: Option<f64>) {
        let Some(watching) = &mut self.watch_jobs else { return };
        let effects = &mut watching.effects;
        match share {
            None => watching.relay.publish(job, "started", "{}".to_owned(), effects),
            Some(share) => {
                let data = serde_json::json!({ "share": share }).to_string();
                watching.relay.publish_progress(job, "progress", data, effects);
            }
        }
    }

    /// A job without a connection of its own has its final answer.
    pub(in crate::server) fn job_answered(&mut self, job: JobId, answer: FinalResponse) {
        let now = self.now;
        let Some(watching) = &mut self.watch_jobs else { return };
        watching.requests.remove(&job);
        let (name, data) = event_streams::final_event(answer);
        watching.relay.finish(now, job, name, data, &mut watching.effects);
        self.sweep_later();
    }

    /// Once a turn: a watcher whose job got on several times meanwhile is woken once, and pulls the newest progress.
    pub(in crate::server) fn wake_watchers(&mut self) {
        let Some(watching) = self.watch_jobs.as_mut().filter(|w| !w.effects.is_empty()) else { return };
        let mut effects = std::mem::take(&mut watching.effects);
        effects.sort_unstable();
        effects.dedup();
        for effect in effects {
            let Some(watching) = &mut self.watch_jobs else { return };
            match effect {
                Effect::Wake(watcher) => {
                    let Some(token) = watching.tokens.get(&watcher).copied() else { continue };
                    match self.take(token) {
                        Some((conn, Role::Front(front))) => self.front_go_on(token, conn, front),
                        Some((conn, role)) => self.put(token, conn, role),
                        None => {} // in use right now: it pulls before it is put back
                    }
                }
                Effect::End(job) => {
                    if let Some(request_id) = watching.requests.remove(&job) {
                        watching.relay.transfer(job); // nobody can ask for it any more
                        self.drop_request(request_id);
                        self.core.on_client_disconnected(self.now, request_id);
                    }
                }
            }
        }
    }

    fn sweep_later(&mut self) {
        if let Some(watching) =
            self.watch_jobs.as_mut().filter(|w| !w.sweeping && w.relay.next_due().is_some())
        {
            watching.sweeping = true;
            self.core.set_timer(self.now + SWEEP, RELAY_TIMER);
        }
    }

    /// Lets time pass for jobs and watchers.
    pub(in crate::server) fn sweep_jobs(&mut self) {
        let now = self.now;
        let Some(watching) = &mut self.watch_jobs else { return };
        watching.sweeping = false;
        watching.relay.on_timer(now, &mut watching.effects);
        self.wake_watchers();
        self.sweep_later();
    }

    /// Hands jobs over to the younger process, and tells their watchers to come back there.
    pub(in crate::server) fn hand_jobs(&mut self) {
        let jobs = self.watch_jobs.as_ref().map_or(Vec::new(), |w| w.relay.jobs());
        for job in jobs {
            let request_id = self.watch_jobs.as_ref().and_then(|w| w.requests.get(&job).copied());
            let mut raw = None;
            let mut handed = None;
            if let Some(request_id) = request_id {
                if self.dispatching.keys().any(|(s, _)| *s == request_id) {
                    continue; // its 202 is still to come
                }
                let Some(request) = self.requests.get(&request_id).cloned() else { continue };
                let Some(moved) = self.core.transfer(request_id) else { continue };
                let broken = self.broken.contains(&request_id);
                handed = Some(TransferredExchange::new(moved, &request, false, None, broken));
                raw = Some(request);
            }
            self.dismiss(job);
            let Some(watching) = &mut self.watch_jobs else { return };
            let Some(carried) = watching.relay.transfer(job) else { continue };
            watching.requests.remove(&job);
            let bytes: Vec<&[u8]> = raw.iter().flat_map(TransferredExchange::request).collect();
            let note = Note::Job(HandedJob { job: carried, request: handed });
            let sent = self.send_twin(&note, &bytes);
            if let Some(request_id) = request_id {
                self.drop_request(request_id);
            }
            if let (false, Note::Job(back)) = (sent, note) {
                self.take_job(back, raw); // the link is full or gone: it stays here
                return;
            }
        }
    }

    /// Ends the streams of a job's watchers in an orderly way.
    fn dismiss(&mut self, job: JobId) {
        let Some(watching) = &self.watch_jobs else { return };
        for watcher in watching.relay.watchers(job) {
            let token = self.watch_jobs.as_ref().and_then(|w| w.tokens.get(&watcher).copied());
            match token.and_then(|token| Some((token, self.take(token)?))) {
                Some((token, (mut conn, Role::Front(mut front)))) => {
                    if let State::Watching(held) = &front.state {
                        conn.outbox.push(event_streams::retry(held.frame, RETRY));
                        conn.outbox.push(held.frame.end());
                    }
                    front.state = State::Ending { since: None };
                    self.watcher_gone(watcher);
                    self.front_go_on(token, conn, front);
                }
                Some((token, (conn, role))) => self.put(token, conn, role),
                None => self.watcher_gone(watcher),
            }
        }
    }

    /// Takes over a job that the elder hands over.
    pub(in crate::server) fn take_job(&mut self, handed: HandedJob, raw: Option<RawRequest>) {
        let HandedJob { job, request: request_id } = handed;
        let Some(watching) = &mut self.watch_jobs else {
            self.metrics.rejects += 1;
            return;
        };
        let Some(job) = watching.relay.restore(self.now, job) else { return };
        if let Some((request_id, raw)) = request_id.zip(raw) {
            if let Some(twin) = &mut self.twin {
                twin.forget_name(&request_id.moved.name);
            }
            match self.core.adopt(request_id.moved, JOB | job) {
                Some(id) => {
                    watching.requests.insert(job, id);
                    self.requests.insert(id, raw);
                    if request_id.broken {
                        self.note_broken(id);
                    }
                }
                // Nothing here could serve it: its watchers are told so at once.
                None => self.job_answered(job, FinalResponse::Failed),
            }
        }
        self.sweep_later();
    }

    /// What the second address tells of streams, where they are on.
    pub(in crate::server) fn stream_figures(&self) -> Option<StreamMetrics> {
        let watching = self.watch_jobs.as_ref()?;
        let (jobs, watchers) = watching.relay.counts();
        Some(StreamMetrics {
            jobs,
            watchers,
            bytes: watching.relay.bytes(),
            submitted: watching.handed_in,
            missed: watching.relay.missed,
            coalesced: watching.relay.coalesced,
            evicted: watching.relay.evicted,
        })
    }
}
