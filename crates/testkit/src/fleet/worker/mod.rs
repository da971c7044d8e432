//! Scripted workers, which accept jobs, call back, report load, reject, hang, reset connections, and count requests.

mod connection;
mod executed_keys;
mod job;
mod script;
mod status_callback;

pub use script::{WorkerBehavior, WorkerMetrics, WorkerScript};

use super::event_log::EventLog;
use super::link::LinkTarget;
use super::tcp_relay::TcpRelay;
use connection::WorkerConnection;
use executed_keys::ExecutedKeys;
use job::PendingJobs;
use serde_json::{Value, json};
use status_callback::CallbackClient;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

pub(super) use script::warm_up_capacity;

/// The state that the workers of a fleet share.
pub(super) struct WorkerContext {
    relay: Arc<TcpRelay>,
    event_log: Arc<EventLog>,
    /// The addresses of the dispatchers for status callbacks.
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

/// A scripted worker. The methods panic if a thread that held one of its locks has panicked.
pub struct ScriptedWorker {
    /// The number of the worker.
    pub number: usize,
    /// The name of the worker in the endpoint list.
    pub name: String,
    script: Mutex<WorkerScript>,
    metrics: Mutex<WorkerMetrics>,
    slots: Mutex<Arc<Semaphore>>,
    pending: PendingJobs,
    /// The number of running jobs.
    running: AtomicU64,
    started_at: AtomicU64,
    /// Whether the worker was restarted, so that it warms up.
    is_restarted: AtomicBool,
    /// The number of times that the worker died.
    incarnation: watch::Sender<u64>,
    callbacks: CallbackClient,
    rng: Mutex<fastrand::Rng>,
    context: Arc<WorkerContext>,
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
            pending: PendingJobs::default(),
            running: AtomicU64::new(0),
            started_at: AtomicU64::new(0),
            is_restarted: AtomicBool::new(false),
            incarnation: watch::Sender::new(0),
            callbacks: CallbackClient::new(context.dispatchers.clone()),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            context,
        })
    }

    /// The current script.
    pub fn script(&self) -> WorkerScript {
        self.script.lock().expect("mutex poisoned").clone()
    }

    /// Changes the script. A change of `slots` applies to jobs that arrive from now on.
    pub fn change(&self, change: impl FnOnce(&mut WorkerScript)) {
        let mut script = self.script.lock().expect("mutex poisoned");
        let slots = script.slots;
        change(&mut script);
        if script.slots != slots {
            self.replace_slots(script.slots);
        }
    }

    /// Changes what the worker does with jobs from now on.
    pub fn set_behavior(&self, behavior: WorkerBehavior) {
        self.change(|script| script.behavior = behavior);
    }

    /// The counters so far.
    pub fn metrics(&self) -> WorkerMetrics {
        self.metrics.lock().expect("mutex poisoned").clone()
    }

    /// Kills the worker: its connections are reset, and its jobs are lost. If it serves again, it warms up from now on. Its
    /// links determine whether connections are refused in the meantime.
    pub(super) fn die(&self) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        self.pending.clear();
        self.replace_slots(self.script().slots);
        self.started_at.store(self.context.event_log.clock.now(), Ordering::Relaxed);
        self.is_restarted.store(true, Ordering::Relaxed);
    }

    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            // A connection that did not come through a link is not from a dispatcher.
            let relayed = self.context.relay.connection_from(peer);
            let Some(relayed) = relayed.filter(|relayed| relayed.link.to == LinkTarget::Worker(self.number))
            else {
                continue;
            };
            tokio::spawn(WorkerConnection::new(self.clone(), relayed).serve(stream));
        }
    }

    fn replace_slots(&self, slots: usize) {
        *self.slots.lock().expect("mutex poisoned") = Arc::new(Semaphore::new(slots));
    }

    fn count(&self, change: impl FnOnce(&mut WorkerMetrics)) {
        change(&mut self.metrics.lock().expect("mutex poisoned"));
    }

    /// A receiver that is notified of the worker's deaths from now on.
    fn subscribe_to_deaths(&self) -> watch::Receiver<u64> {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        incarnation
    }

    /// The fraction of its full speed that the worker has at present.
    fn speed_fraction(&self, script: &WorkerScript) -> f64 {
        if !self.is_restarted.load(Ordering::Relaxed) || script.warm_up_time.is_zero() {
            return 1.0;
        }
        let since = self.context.event_log.clock.now() - self.started_at.load(Ordering::Relaxed);
        let progress = since as f64 / script.warm_up_time.as_micros() as f64;
        warm_up_capacity(script.initial_speed, progress)
    }

    /// The load report, in the JSON format of load probes and status callbacks.
    fn load_report(&self) -> Value {
        let script = self.script();
        let pending = self.pending.count() as f64;
        let busy = self.running.load(Ordering::Relaxed) as f64;
        let slots = script.slots.max(1) as f64;
        let work_ms = script.work.as_secs_f64() * 1e3;
        let average_ms = work_ms * (1.0 + (pending - slots).max(0.0) / slots);
        json!({
            "cpu": (busy / slots).min(1.0), "x0": (slots - pending).max(0.0), "err_rps": 0.0,
            "avg_ms": average_ms, "active": busy})
    }
}
