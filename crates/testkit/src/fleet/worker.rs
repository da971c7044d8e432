//! Scripted workers: they accept jobs, call back, report load, reject, hang, reset, and count what comes.

use super::ConnectionFailed;
use super::event_log::{Event, EventLog};
use super::executed_keys::{ExecutedKeys, KeyClaim, KeyExecution, KeyState};
use super::http::{self, HttpMessage, HttpReader};
use super::link::{Link, LinkTarget, RelayedConnection};
use super::tcp_relay::{TcpRelay, reset_on_drop};
use super::worker_script::{WorkerBehavior, WorkerMetrics, WorkerScript};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};

const MAX_CALLBACK_ATTEMPTS: u32 = 10;
const CALLBACK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections for callbacks to one dispatcher that are kept.
const MAX_IDLE_CALLBACK_CONNECTIONS: usize = 8;
/// The slowest that a worker can be.
const MIN_SPEED: f64 = 1e-6;

/// What the workers of a fleet share.
pub(super) struct WorkerContext {
    relay: Arc<TcpRelay>,
    event_log: Arc<EventLog>,
    /// Where each dispatcher is called back.
    dispatchers: Vec<SocketAddr>,
    keys: ExecutedKeys,
}

impl WorkerContext {
    pub(super) fn new(
        relay: Arc<TcpRelay>,
        event_log: Arc<EventLog>,
        dispatchers: Vec<SocketAddr>,
    ) -> WorkerContext {
        WorkerContext { relay, event_log, dispatchers, keys: ExecutedKeys::default() }
    }
}

/// A connection for callbacks, and what was read from it and not used.
struct CallbackConnection {
    stream: TcpStream,
    reader: HttpReader,
}

/// A worker.
pub struct ScriptedWorker {
    /// Its number.
    pub number: usize,
    /// Its name in the endpoint list.
    pub name: String,
    script: Mutex<WorkerScript>,
    metrics: Mutex<WorkerMetrics>,
    slots: Mutex<Arc<Semaphore>>,
    /// Jobs that wait or run, by id.
    pending: Mutex<HashMap<String, Arc<PendingJob>>>,
    running: AtomicU64,
    started_at: AtomicU64,
    /// It was started anew, so it warms up.
    is_restarted: AtomicBool,
    /// Counts its deaths.
    incarnation: watch::Sender<u64>,
    idle: Mutex<HashMap<usize, Vec<CallbackConnection>>>,
    rng: Mutex<fastrand::Rng>,
    context: Arc<WorkerContext>,
}

/// A job that waits or runs.
#[derive(Default)]
struct PendingJob {
    is_cancelled: AtomicBool,
    cancelled: Notify,
}

/// A job as it came.
struct ArrivedJob {
    id: String,
    key: Option<String>,
    work: Duration,
}

/// How an exchange goes on.
enum Reply {
    Send(String),
    CloseConnection,
}

impl ScriptedWorker {
    pub(super) fn new(
        number: usize,
        script: WorkerScript,
        seed: u64,
        context: Arc<WorkerContext>,
    ) -> Arc<ScriptedWorker> {
        let zeros = || vec![0; context.dispatchers.len()];
        let metrics =
            WorkerMetrics { connects: zeros(), probes: zeros(), jobs: zeros(), ..WorkerMetrics::default() };
        Arc::new(ScriptedWorker {
            number,
            name: format!("w{number}"),
            slots: Mutex::new(Arc::new(Semaphore::new(script.slots))),
            script: Mutex::new(script),
            metrics: Mutex::new(metrics),
            pending: Mutex::default(),
            running: AtomicU64::new(0),
            started_at: AtomicU64::new(0),
            is_restarted: AtomicBool::new(false),
            incarnation: watch::Sender::new(0),
            idle: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            context,
        })
    }

    /// How it is now.
    pub fn script(&self) -> WorkerScript {
        self.script.lock().expect("a lock").clone()
    }

    /// Changes how it is. A change of `slots` counts for jobs that come from now on.
    pub fn change(&self, change: impl FnOnce(&mut WorkerScript)) {
        let mut script = self.script.lock().expect("a lock");
        let slots = script.slots;
        change(&mut script);
        if script.slots != slots {
            *self.slots.lock().expect("a lock") = Arc::new(Semaphore::new(script.slots));
        }
    }

    /// What it does with jobs from now on.
    pub fn set_behavior(&self, behavior: WorkerBehavior) {
        self.change(|script| script.behavior = behavior);
    }

    /// What it counted so far.
    pub fn metrics(&self) -> WorkerMetrics {
        self.metrics.lock().expect("a lock").clone()
    }

    /// Its process dies: its connections are reset, its jobs gone without a report. It warms up from now on, if it comes
    /// back; that connections are refused meanwhile is up to its links.
    pub(super) fn die(&self) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        self.pending.lock().expect("a lock").clear();
        let slots = self.script().slots;
        *self.slots.lock().expect("a lock") = Arc::new(Semaphore::new(slots));
        self.started_at.store(self.context.event_log.clock.now(), Ordering::Relaxed);
        self.is_restarted.store(true, Ordering::Relaxed);
    }

    fn count(&self, change: impl FnOnce(&mut WorkerMetrics)) {
        change(&mut self.metrics.lock().expect("a lock"));
    }

    /// The fraction of its speed that it has now.
    fn warmth(&self, script: &WorkerScript) -> f64 {
        if !self.is_restarted.load(Ordering::Relaxed) || script.warm_up_time.is_zero() {
            return 1.0;
        }
        let since = self.context.event_log.clock.now() - self.started_at.load(Ordering::Relaxed);
        let progress = since as f64 / script.warm_up_time.as_micros() as f64;
        (script.initial_speed + (1.0 - script.initial_speed) * progress).min(1.0)
    }

    fn load_report(&self) -> Value {
        let script = self.script();
        let pending = self.pending.lock().expect("a lock").len();
        let busy = self.running.load(Ordering::Relaxed) as f64;
        let slots = script.slots.max(1) as f64;
        let work_ms = script.work.as_secs_f64() * 1e3;
        json!({
            "cpu": (busy / slots).min(1.0), "x0": (slots - pending as f64).max(0.0), "err_rps": 0.0,
            "avg_ms": work_ms * (1.0 + (pending as f64 - slots).max(0.0) / slots), "active": busy})
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            // Whoever does not come by a link is no dispatcher.
            let connection = self.context.relay.connection_from(peer);
            let Some(connection) = connection.filter(|c| c.link.to == LinkTarget::Worker(self.number)) else {
                continue;
            };
            tokio::spawn(self.clone().serve_connection(stream, connection));
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, connection: Arc<RelayedConnection>) {
        let dispatcher = connection.link.dispatcher;
        self.context.event_log.add(Event::Connected { dispatcher, worker: self.number });
        self.count(|metrics| {
            metrics.connects[dispatcher] += 1;
            metrics.open += 1;
            metrics.max_open = metrics.max_open.max(metrics.open);
        });
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        let done = tokio::select! {
            done = self.answer_requests(&mut stream, &connection) => done,
            _ = incarnation.changed() => Err(ConnectionFailed),
        };
        self.count(|metrics| metrics.open -= 1);
        if done.is_err() {
            reset_on_drop(&stream);
        }
    }

    async fn answer_requests(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        connection: &Arc<RelayedConnection>,
    ) -> Result<(), ConnectionFailed> {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::default();
        loop {
            let Some(request) = reader.read_request(stream).await? else { return Ok(()) };
            let at = connection.received_at(request.offset);
            let text = match request.method.as_str() {
                "POST" => match self.on_job(stream, connection, &request, at).await? {
                    Reply::Send(text) => text,
                    Reply::CloseConnection => return Ok(()),
                },
                "DELETE" => {
                    self.cancel(request.target.rsplit('/').next().unwrap_or(""));
                    "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
                }
                _ => self.on_probe(connection.link.dispatcher, &request),
            };
            stream.write_all(text.as_bytes()).await.map_err(|_| ConnectionFailed)?;
        }
    }

    fn on_probe(&self, dispatcher: usize, request: &HttpMessage) -> String {
        let path = request.target.split('?').next().unwrap_or("");
        if !self.script().answers_probes || !matches!(path, "/alive" | "/metrics/load") {
            return http::response("404 Not Found", "", "");
        }
        self.count(|metrics| metrics.probes[dispatcher] += 1);
        self.context.event_log.add(Event::Probed { dispatcher, worker: self.number });
        http::response("200 OK", "Content-Type: application/json\r\n", &self.load_report().to_string())
    }

    fn cancel(&self, id: &str) {
        if let Some(job) = self.pending.lock().expect("a lock").get(id) {
            job.is_cancelled.store(true, Ordering::Relaxed);
            job.cancelled.notify_waiters();
            self.count(|metrics| metrics.cancelled += 1);
        }
    }

    /// Accepts a job, or not. An error resets the connection.
    async fn on_job(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        connection: &Arc<RelayedConnection>,
        request: &HttpMessage,
        at: u64,
    ) -> Result<Reply, ConnectionFailed> {
        let script = self.script();
        let Some(id) = request.field("x-correlation-id").map(str::to_owned) else {
            return Ok(Reply::Send(http::response("404 Not Found", "", "")));
        };
        let key = request.field("idempotency-key").map(str::to_owned);
        let job = ArrivedJob { id, key, work: self.draw_work(&script, &request.body) };
        self.count_arrival(connection.link.dispatcher, &job, at);
        match script.behavior {
            WorkerBehavior::Error => {
                return Ok(Reply::Send(http::response("500 Internal Server Error", "", "")));
            }
            WorkerBehavior::Reset => return Err(ConnectionFailed),
            WorkerBehavior::Hang => {
                let _ = stream.read(&mut [0]).await;
                return Ok(Reply::CloseConnection);
            }
            WorkerBehavior::AcceptLate(wait) => tokio::time::sleep(wait).await,
            WorkerBehavior::Serve | WorkerBehavior::Reject | WorkerBehavior::Forget => {}
        }
        if script.behavior != WorkerBehavior::Forget {
            let Some(pending) = self.enqueue(&script, &job.id) else {
                self.count(|metrics| metrics.rejected += 1);
                let text = http::response("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
                return Ok(Reply::Send(text));
            };
            tokio::spawn(self.clone().run_until_death(connection.link.clone(), job, script, pending));
        }
        Ok(Reply::Send(http::response("202 Accepted", "", "")))
    }

    fn count_arrival(&self, dispatcher: usize, job: &ArrivedJob, at: u64) {
        let work = job.work.as_micros() as u64;
        let reached = Event::Reached { dispatcher, worker: self.number, id: job.id.clone(), work };
        self.context.event_log.add_at(at, reached);
        self.count(|metrics| {
            metrics.jobs[dispatcher] += 1;
            *metrics.per_second.entry(at / 1_000_000).or_default() += 1;
        });
    }

    /// Makes a job pending; `None` if the worker rejects it.
    fn enqueue(&self, script: &WorkerScript, id: &str) -> Option<Arc<PendingJob>> {
        let mut pending = self.pending.lock().expect("a lock");
        let is_full = pending.len() >= script.slots + script.queue;
        if is_full || script.behavior == WorkerBehavior::Reject {
            return None;
        }
        let job = Arc::new(PendingJob::default());
        pending.insert(id.to_owned(), job.clone());
        let count = pending.len();
        self.count(|metrics| metrics.max_pending = metrics.max_pending.max(count));
        Some(job)
    }

    /// A job's work: what its body says, or what the script says.
    fn draw_work(&self, script: &WorkerScript, body: &str) -> Duration {
        let own = body.split_whitespace().find_map(|word| word.strip_prefix("work_us=")?.parse().ok());
        let mean = own.map_or(script.work, Duration::from_micros);
        if own.is_some() || !script.random_work {
            return mean;
        }
        let draw = 1.0 - self.rng.lock().expect("a lock").f64();
        mean.mul_f64(-draw.ln())
    }

    /// Runs a job; if the worker dies first, the job is lost.
    async fn run_until_death(
        self: Arc<Self>,
        link: Arc<Link>,
        job: ArrivedJob,
        script: WorkerScript,
        pending: Arc<PendingJob>,
    ) {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        tokio::select! {
            () = self.run(&link, &job, &script, &pending) => {}
            _ = incarnation.changed() => {
                // The machine's agent saw the process die, where the machine is there.
                self.report(&link, self.status_update(&job.id, "lost")).await;
            }
        }
        self.pending.lock().expect("a lock").remove(&job.id);
    }

    async fn run(&self, link: &Link, job: &ArrivedJob, script: &WorkerScript, pending: &PendingJob) {
        // A key that runs or ran within the cell is not executed again: its result is reported once more.
        let claim = job.key.as_ref().map(|key| self.context.keys.claim(script.cell, key));
        let mut execution = match claim {
            Some(KeyClaim::Repeat(state)) => return self.repeat(link, &job.id, &state).await,
            Some(KeyClaim::Execute(execution)) => Some(execution),
            Some(KeyClaim::Unremembered) | None => None,
        };
        if !self.execute(link, job, script, pending, execution.as_mut()).await {
            return;
        }
        self.count(|metrics| metrics.done += 1);
        let result = format!("{} by {}", job.id, self.name);
        if let Some(execution) = &execution {
            execution.on_result(&result);
        }
        self.pending.lock().expect("a lock").remove(&job.id);
        self.report_done(link, &job.id, result).await;
    }

    /// Waits for a slot and does a job's work; false if the job was cancelled first.
    async fn execute(
        &self,
        link: &Link,
        job: &ArrivedJob,
        script: &WorkerScript,
        pending: &PendingJob,
        execution: Option<&mut KeyExecution<'_>>,
    ) -> bool {
        let slots = self.slots.lock().expect("a lock").clone();
        let cancelled = pending.cancelled.notified();
        tokio::pin!(cancelled);
        cancelled.as_mut().enable();
        let _slot = tokio::select! {
            slot = slots.acquire() => slot,
            () = &mut cancelled => return false,
        };
        if pending.is_cancelled.load(Ordering::Relaxed) {
            return false;
        }
        if let Some(execution) = execution {
            execution.on_run();
        }
        let (worker, id, key) = (self.number, job.id.clone(), job.key.clone());
        self.context.event_log.add(Event::Executed { worker, id, key });
        let _running = RunningJob::count_in(&self.running);
        let duration = job.work.div_f64((script.speed * self.warmth(script)).max(MIN_SPEED));
        let working = async {
            let reported = self.report(link, self.status_update(&job.id, "started"));
            tokio::join!(reported, tokio::time::sleep(duration));
        };
        // What nobody waits for is dropped, unless it has a key: then it runs to its end, and repeats get its result.
        tokio::select! {
            () = working => true,
            () = &mut cancelled, if job.key.is_none() => false,
        }
    }

    /// Reports once more how the execution of a key ends.
    async fn repeat(&self, link: &Link, id: &str, state: &watch::Sender<KeyState>) {
        self.count(|metrics| metrics.repeats += 1);
        let mut state = state.subscribe();
        let ended = state.wait_for(|state| *state != KeyState::Open).await;
        let ended = ended.map_or(KeyState::NeverRan, |state| state.clone());
        match ended {
            KeyState::Result(result) => {
                self.report(link, self.status_update(id, "started")).await;
                self.report_done(link, id, result).await;
            }
            KeyState::Lost => self.report(link, self.status_update(id, "failed")).await,
            // Whoever sends it again has it executed.
            KeyState::NeverRan | KeyState::Open => {
                self.report(link, self.status_update(id, "returned")).await;
            }
        }
    }

    fn status_update(&self, id: &str, state: &str) -> Value {
        json!({"id": id, "from": self.name, "state": state})
    }

    async fn report_done(&self, link: &Link, id: &str, result: String) {
        let completed = Event::Completed { worker: self.number, id: id.to_owned(), result: result.clone() };
        self.context.event_log.add(completed);
        let mut update = self.status_update(id, "done");
        update["result"] = json!(result);
        update["load"] = self.load_report();
        self.report(link, update).await;
    }

    /// Calls back until it is answered, [`MAX_CALLBACK_ATTEMPTS`] times at most. While its link is cut an attempt takes as
    /// long as a connect that does not come up.
    async fn report(&self, link: &Link, update: Value) {
        for _ in 0..MAX_CALLBACK_ATTEMPTS {
            let is_through =
                tokio::time::timeout(CALLBACK_TIMEOUT, link.wait_until_not_silent()).await.is_ok();
            if is_through && self.call_back(link.dispatcher, &update).await.is_ok() {
                return;
            }
            tokio::time::sleep(CALLBACK_RETRY_INTERVAL).await;
        }
        self.count(|metrics| metrics.unanswered_callbacks += 1);
    }

    async fn call_back(&self, dispatcher: usize, update: &Value) -> Result<(), ConnectionFailed> {
        let idle = self.idle.lock().expect("a lock").get_mut(&dispatcher).and_then(Vec::pop);
        let exchange = async {
            let mut connection = match idle {
                Some(idle) => idle,
                None => self.connect_to(dispatcher).await?,
            };
            let text = update.to_string();
            let head = "POST /_jobs/news HTTP/1.1\r\nHost: dispatcher\r\nContent-Type: application/json\r\n";
            let call = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
            connection.stream.write_all(call.as_bytes()).await.map_err(|_| ConnectionFailed)?;
            let reply = connection.reader.read_reply(&mut connection.stream).await?;
            let reply = reply.ok_or(ConnectionFailed)?;
            if !reply.closes_connection() {
                self.keep(dispatcher, connection);
            }
            if matches!(reply.status, 200 | 204) { Ok(()) } else { Err(ConnectionFailed) }
        };
        tokio::time::timeout(CALLBACK_TIMEOUT, exchange).await.map_err(|_| ConnectionFailed)?
    }

    async fn connect_to(&self, dispatcher: usize) -> Result<CallbackConnection, ConnectionFailed> {
        let address = self.context.dispatchers[dispatcher];
        let stream = TcpStream::connect(address).await.map_err(|_| ConnectionFailed)?;
        let _ = stream.set_nodelay(true);
        Ok(CallbackConnection { stream, reader: HttpReader::default() })
    }

    fn keep(&self, dispatcher: usize, connection: CallbackConnection) {
        let mut idle = self.idle.lock().expect("a lock");
        let idle = idle.entry(dispatcher).or_default();
        if idle.len() < MAX_IDLE_CALLBACK_CONNECTIONS {
            idle.push(connection);
        }
    }
}

/// Counts a job as running until it is dropped.
struct RunningJob<'a>(&'a AtomicU64);

impl RunningJob<'_> {
    fn count_in(running: &AtomicU64) -> RunningJob<'_> {
        running.fetch_add(1, Ordering::Relaxed);
        RunningJob(running)
    }
}

impl Drop for RunningJob<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
