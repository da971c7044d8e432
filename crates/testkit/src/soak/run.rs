//! Plays a run.

use super::addresses::WorkerAddresses;
use super::discovery::{self, Discovery, cell_of};
use super::lag::LagMeter;
use super::plan::SoakPlan;
use super::process::ProcessState;
use super::report::Report;
use super::requests::Requests;
use super::throttle::Throttle;
use super::worker::{self, Behavior, CallbackPool, draw_behavior};
use super::{MICROS_PER_MS, Micros, client, control};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The number of threads of the clients, workers and discovery.
const RUNTIME_THREADS: usize = 4;
/// The number of connections of well-behaved clients at each process.
const CLIENTS_PER_PROCESS: usize = 12;
/// The number of idle and broken clients of a crowd, over all processes.
const CROWD: usize = 1_200;
/// No new work may be sent to a draining worker so long after its process was notified: `StopSendingWithinMs` of the settings,
/// and the slack of all time limits on sockets.
const DRAIN_GRACE: Micros = (400 + 50) * MICROS_PER_MS;
/// How long clients go on before the processes are told to end.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// What the parts of a run share.
pub(super) struct Shared {
    pub plan: SoakPlan,
    pub report: Report,
    pub requests: Requests,
    pub discovery: Discovery,
    pub behaviors: Vec<Behavior>,
    pub lag: LagMeter,
    pub throttle: Throttle,
    /// Where each process listens for clients and callbacks.
    pub listen: Vec<SocketAddr>,
    /// Where each process listens for other dispatchers.
    pub peers: Vec<SocketAddr>,
    /// Where discovery listens for each process.
    pub discovery_addresses: Vec<SocketAddr>,
    pub callbacks: Vec<CallbackPool>,
    pub folder: PathBuf,
    /// Where the logs of the processes are kept; `None` if they are not.
    pub log_folder: Option<PathBuf>,
    pub is_over: AtomicBool,
    pub drain_grace: Micros,
    states: Vec<Mutex<Arc<ProcessState>>>,
    started: Instant,
}

impl Shared {
    /// The time of the run, in microseconds.
    pub(super) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The cell of a worker.
    pub(super) fn cell(&self, worker: usize) -> u32 {
        cell_of(worker)
    }

    /// The present state of a process.
    pub(super) fn state(&self, process: usize) -> Arc<ProcessState> {
        self.states[process].lock().expect("mutex poisoned").clone()
    }

    /// Replaces the state of a process that starts anew.
    pub(super) fn replace_state(&self, process: usize, state: Arc<ProcessState>) {
        *self.states[process].lock().expect("mutex poisoned") = state;
    }
}

/// Plays a run and returns what it found. Logs of the processes go to `log_folder`, if it is given.
///
/// # Errors
/// If sockets or files cannot be created.
pub fn run(plan: &SoakPlan, log_folder: Option<PathBuf>) -> io::Result<Report> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(RUNTIME_THREADS).enable_all().build()?;
    let WorkerAddresses { listeners } = WorkerAddresses::bind(plan.workers)?;
    let discoveries = bind_all(plan.processes)?;
    let shared = Arc::new(share(plan, &listeners, &discoveries, log_folder)?);
    start_simulations(&runtime, &shared, listeners, discoveries)?;
    std::thread::scope(|scope| {
        scope.spawn(|| shared.lag.measure());
        if plan.share < 1.0 {
            scope.spawn(|| shared.throttle.run(plan.share));
        }
        let controls: Vec<_> = (0..plan.processes)
            .map(|number| {
                scope.spawn({
                    let shared = &shared;
                    move || control::run(shared, number)
                })
            })
            .collect();
        std::thread::sleep(plan.duration);
        shared.is_over.store(true, Ordering::Relaxed);
        controls.into_iter().for_each(|control| drop(control.join()));
        std::thread::sleep(SETTLE_TIME);
        shared.throttle.stop();
        shared.lag.stop();
    });
    runtime.shutdown_timeout(SETTLE_TIME);
    let _ = std::fs::remove_dir_all(&shared.folder);
    let shared = Arc::try_unwrap(shared);
    Ok(shared.map_or_else(|shared| shared.report.take(), |shared| shared.report))
}

fn bind_all(count: usize) -> io::Result<Vec<TcpListener>> {
    (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect()
}

/// Addresses of the system's choice, which are free again.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    bind_all(count)?.iter().map(TcpListener::local_addr).collect()
}

fn share(
    plan: &SoakPlan,
    workers: &[TcpListener],
    discoveries: &[TcpListener],
    log_folder: Option<PathBuf>,
) -> io::Result<Shared> {
    let addresses = workers.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
    let mut random = fastrand::Rng::with_seed(plan.seed ^ 0xbad);
    let folder = std::env::temp_dir().join(format!("mothproxy-soak-{}-{}", std::process::id(), plan.seed));
    for number in 0..plan.processes {
        std::fs::create_dir_all(folder.join(number.to_string()))?;
    }
    if let Some(folder) = &log_folder {
        std::fs::create_dir_all(folder)?;
    }
    let peers =
        (0..plan.processes).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<Vec<_>>>()?;
    Ok(Shared {
        plan: plan.clone(),
        report: Report::default(),
        requests: Requests::default(),
        discovery: Discovery::new(&addresses, plan.processes),
        behaviors: (0..plan.workers).map(|_| draw_behavior(&mut random)).collect(),
        lag: LagMeter::default(),
        throttle: Throttle::default(),
        listen: free_addresses(plan.processes)?,
        peers: peers.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?,
        discovery_addresses: discoveries
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<Vec<_>>>()?,
        callbacks: (0..plan.processes).map(|_| CallbackPool::default()).collect(),
        folder,
        log_folder,
        is_over: AtomicBool::new(false),
        drain_grace: DRAIN_GRACE,
        states: (0..plan.processes).map(|_| Mutex::default()).collect(),
        started: Instant::now(),
    })
}

/// Starts the clients, the workers and discovery.
fn start_simulations(
    runtime: &Runtime,
    shared: &Arc<Shared>,
    workers: Vec<TcpListener>,
    discoveries: Vec<TcpListener>,
) -> io::Result<()> {
    let _inside = runtime.enter();
    let plan = &shared.plan;
    for (number, listener) in workers.into_iter().enumerate() {
        runtime.spawn(worker::serve(shared.clone(), number, asynchronous(listener)?));
    }
    for (number, listener) in discoveries.into_iter().enumerate() {
        runtime.spawn(discovery::serve(shared.clone(), number, asynchronous(listener)?));
    }
    for _ in 0..RUNTIME_THREADS {
        let shared = shared.clone();
        runtime.spawn(async move { shared.lag.measure_tasks().await });
    }
    runtime.spawn(discovery::change_lists(shared.clone()));
    if plan.has_discovery_faults {
        runtime.spawn(discovery::disturb(shared.clone()));
    }
    let interval = Duration::from_secs_f64(CLIENTS_PER_PROCESS as f64 / plan.rate);
    for process in 0..plan.processes {
        for number in 0..CLIENTS_PER_PROCESS {
            runtime.spawn(client::run(shared.clone(), process, number, interval));
        }
        for number in 0..if plan.has_crowd { CROWD / plan.processes } else { 0 } {
            runtime.spawn(client::run_crowd(shared.clone(), process, number));
        }
    }
    Ok(())
}

fn asynchronous(listener: TcpListener) -> io::Result<tokio::net::TcpListener> {
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
