//! The harness of N processes: the built program 3 to 30 times on loopback, relays for every datagram and every connection
//! between them and what surrounds them, a scripted discovery service, scripted workers and clients, faults that can be
//! switched at any time, and an auditor that reads what crossed the wires. Everything random is drawn from one seed, which is
//! printed.
//!
//! `docs/design/harness.md` says how it is used.
//!
//! Calls block. They must not be made from within an asynchronous runtime. They panic if a thread of the harness has panicked.

mod address_block;
pub mod auditor;
mod builder;
pub mod clients;
pub mod datagram_relay;
pub mod discovery;
mod error;
pub mod event_log;
pub mod http;
pub mod link;
pub mod load;
mod plan;
mod process;
mod tcp_relay;
pub mod worker;

pub use auditor::{AuditRules, Finding, audit};
pub use clients::{Clients, Job, JobOutcome};
pub use datagram_relay::{DatagramFaults, DatagramRelay, DatagramTotals};
pub use discovery::{DiscoveryMetrics, DiscoveryMode, DiscoveryScript, Endpoint, ScriptedDiscovery};
pub use error::{ConnectionFailed, FleetError};
pub use event_log::{Event, EventLog, Lifecycle, LoggedEvent};
pub use http::HttpMessage;
pub use link::{ConnectBehavior, Link, LinkFaults, LinkTarget};
pub use load::{JobGenerator, LoadPlan, LoadSummary, RunningLoad};
pub use plan::{ConfigChange, MAX_PROCESSES, MAX_WORKERS, Plan, seed_or};
pub use process::LogLine;
pub use worker::{ScriptedWorker, WorkerBehavior, WorkerMetrics, WorkerScript};

use address_block::AddressBlock;
use plan::{CLIENTS_SEED, FIRST_START_SEED, derive_seed};
use process::Process;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A call to a dispatcher must be answered by then.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Lines of each log that are printed after a panic.
const PRINTED_LOG_LINES: usize = 40;

/// The members on one side of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionSide {
    /// Dispatchers.
    pub dispatchers: Vec<usize>,
    /// Workers.
    pub workers: Vec<usize>,
    /// Whether the discovery service is on this side.
    pub has_discovery: bool,
}

/// The links of the dispatchers, by their numbers.
struct FleetLinks {
    /// By dispatcher, then by worker.
    to_workers: Vec<Vec<Arc<Link>>>,
    to_discovery: Vec<Arc<Link>>,
}

/// A fleet. Dropping it kills its processes and removes their files; after a panic their logs go to standard error first.
pub struct Fleet {
    processes: Vec<Process>,
    configs: Mutex<Vec<Value>>,
    settings: Mutex<Vec<Option<String>>>,
    starts: AtomicU64,
    /// The datagram relay.
    pub datagrams: Arc<DatagramRelay>,
    /// The discovery service.
    pub discovery: Arc<ScriptedDiscovery>,
    /// The workers.
    pub workers: Vec<Arc<ScriptedWorker>>,
    /// What crossed the wires.
    pub event_log: Arc<EventLog>,
    links: FleetLinks,
    clients: Arc<Clients>,
    block: AddressBlock,
    seed: u64,
    folder: PathBuf,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Fleet {
    /// Makes everything around the processes, starts all of them and waits until they are up.
    pub fn start(plan: Plan) -> Result<Fleet, FleetError> {
        let fleet = Fleet::prepare(plan)?;
        fleet.start_all()?;
        fleet.wait_until_up(&fleet.all());
        Ok(fleet)
    }

    /// Makes everything around the processes and starts none.
    pub fn prepare(plan: Plan) -> Result<Fleet, FleetError> {
        builder::build(plan)
    }

    fn runtime(&self) -> &tokio::runtime::Handle {
        self.runtime.as_ref().expect("it is there until the fleet is dropped").handle()
    }

    /// How many processes it was made for.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// The numbers of all dispatchers.
    pub fn all(&self) -> Vec<usize> {
        (0..self.size()).collect()
    }

    /// Microseconds of the harness's clock, which all events use.
    pub fn now(&self) -> u64 {
        self.event_log.clock.now()
    }

    /// Starts a process, with a new seed of its own, at the addresses that are always its own.
    pub fn start_process(&self, i: usize) -> Result<(), FleetError> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let config = {
            let mut configs = self.configs.lock().expect("a lock");
            configs[i]["seed"] = json!(format!("{:016x}", derive_seed(self.seed, FIRST_START_SEED | start)));
            configs[i].clone()
        };
        let settings = self.settings.lock().expect("a lock")[i].clone();
        self.processes[i].start(&config, settings.as_deref())
    }

    /// Starts all, one right after another, and waits for none.
    pub fn start_all(&self) -> Result<(), FleetError> {
        (0..self.size()).try_for_each(|i| self.start_process(i))
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&self, i: usize) {
        self.processes[i].kill();
    }

    /// SIGTERM; [`Fleet::wait_until_exited`] waits for the end.
    pub fn terminate(&self, i: usize) {
        self.processes[i].terminate();
    }

    /// SIGHUP, after the configuration was changed.
    pub fn reload(&self, i: usize) -> Result<(), FleetError> {
        let config = self.config(i).to_string();
        self.processes[i].write("config.json", &config)?;
        self.processes[i].hang_up();
        Ok(())
    }

    /// SIGSTOP.
    pub fn pause(&self, i: usize) {
        self.processes[i].set_paused(true);
    }

    /// SIGCONT.
    pub fn resume(&self, i: usize) {
        self.processes[i].set_paused(false);
    }

    /// Starts a process again that was killed or has ended, and waits until it is up.
    pub fn restart(&self, i: usize) -> Result<(), FleetError> {
        self.start_process(i)?;
        self.wait_until_up(&[i]);
        Ok(())
    }

    /// Whether a process runs.
    pub fn is_running(&self, i: usize) -> bool {
        self.processes[i].is_running()
    }

    /// Waits until these processes have ended by themselves.
    pub fn wait_until_exited(&self, which: &[usize]) {
        self.wait_until("the processes end", || which.iter().all(|i| !self.is_running(*i)));
    }

    /// Waits until these processes answer `/up` with 200.
    pub fn wait_until_up(&self, which: &[usize]) {
        self.wait_until("the processes are up", || which.iter().all(|i| self.is_up(*i)));
    }

    /// Whether a process answers `/up` with 200.
    pub fn is_up(&self, i: usize) -> bool {
        self.call(self.block.listen(i), "GET", "/up").is_some_and(|answer| answer.status == 200)
    }

    /// A process's id at the system, if it runs.
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.processes[i].pid()
    }

    /// The latest lines of a process's log, over all its starts.
    pub fn log(&self, i: usize) -> Vec<LogLine> {
        self.processes[i].log()
    }

    /// A process's configuration, as it will be at its next start or reload.
    pub fn config(&self, i: usize) -> Value {
        self.configs.lock().expect("a lock")[i].clone()
    }

    /// Changes it; it counts from the next start or reload.
    pub fn change_config(&self, i: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.configs.lock().expect("a lock")[i]);
    }

    /// What a process will know at its next start: the list as the service holds it now, or as `list` makes it.
    pub fn set_known(&self, i: usize, list: Option<Value>) {
        let known = list.unwrap_or_else(|| self.discovery.full_list(i));
        self.change_config(i, |config| config["known"] = known);
    }

    /// A process's operators' file from its next start on.
    pub fn set_settings(&self, i: usize, text: Option<String>) {
        self.settings.lock().expect("a lock")[i] = text;
    }

    /// GET at a process's admin address; `None` if it does not answer.
    pub fn admin(&self, i: usize, path: &str) -> Option<HttpMessage> {
        self.call(self.block.admin(i), "GET", path)
    }

    /// PUT there.
    pub fn admin_put(&self, i: usize, path: &str) -> Option<HttpMessage> {
        self.call(self.block.admin(i), "PUT", path)
    }

    /// The counters of `/control/counters` by their names without `dispatcher.`; empty if it does not answer.
    pub fn counters(&self, i: usize) -> BTreeMap<String, f64> {
        let answer = self.admin(i, "/control/counters").filter(|answer| answer.status == 200);
        let body = answer.map_or(String::new(), |answer| answer.body);
        let counter = |line: &str| {
            let (name, value) = line.strip_prefix("dispatcher.")?.rsplit_once(':')?;
            Some((name.to_owned(), value.split('|').next()?.parse().ok()?))
        };
        body.lines().filter_map(counter).collect()
    }

    fn call(&self, at: SocketAddr, method: &str, path: &str) -> Option<HttpMessage> {
        let call = format!("{method} {path} HTTP/1.1\r\nHost: dispatcher\r\nContent-Length: 0\r\n\r\n");
        let exchange = async {
            let mut stream = TcpStream::connect(at).await.ok()?;
            stream.write_all(call.as_bytes()).await.ok()?;
            http::HttpReader::default().read_reply(&mut stream).await.ok().flatten()
        };
        self.runtime().block_on(async { tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten() })
    }

    /// Sends a job to a dispatcher and waits for the outcome.
    pub fn send(&self, i: usize, job: &Job) -> JobOutcome {
        self.runtime().block_on(self.clients.send(i, job))
    }

    /// Starts a load, which runs beside the test.
    pub fn start_load(&self, load: &LoadPlan) -> RunningLoad {
        RunningLoad::start(&self.clients, self.runtime(), load, derive_seed(self.seed, CLIENTS_SEED))
    }

    /// Starts a load of unkeyed jobs at these dispatchers.
    pub fn start_plain_load(&self, dispatchers: &[usize], rate: f64, duration: Duration) -> RunningLoad {
        let job = Arc::new(|_: &mut fastrand::Rng, _| Job::plain());
        self.start_load(&LoadPlan { dispatchers: dispatchers.to_vec(), rate, duration, job })
    }

    /// The link from a dispatcher to a worker.
    pub fn link(&self, dispatcher: usize, worker: usize) -> &Link {
        &self.links.to_workers[dispatcher][worker]
    }

    /// The link from a dispatcher to the discovery service.
    pub fn discovery_link(&self, dispatcher: usize) -> &Link {
        &self.links.to_discovery[dispatcher]
    }

    /// Cuts between dispatchers and workers, or ends that.
    pub fn set_cut(&self, dispatchers: &[usize], workers: &[usize], on: bool) {
        for link in dispatchers.iter().flat_map(|i| workers.iter().map(|w| self.link(*i, *w))) {
            link.set_cut(on);
        }
    }

    /// Cuts a worker off from all dispatchers, or ends that.
    pub fn set_worker_cut(&self, worker: usize, on: bool) {
        self.set_cut(&self.all(), &[worker], on);
    }

    /// Cuts these dispatchers off from the discovery service, or ends that.
    pub fn set_discovery_cut(&self, dispatchers: &[usize], on: bool) {
        dispatchers.iter().for_each(|i| self.discovery_link(*i).set_cut(on));
    }

    /// Cuts between these sides: datagrams, connections to workers and to the discovery service. What is on no side can be
    /// reached by all. Any earlier partition is healed first.
    pub fn partition(&self, sides: &[PartitionSide]) {
        self.heal();
        let dispatchers: Vec<&[usize]> = sides.iter().map(|side| side.dispatchers.as_slice()).collect();
        self.datagrams.partition(&dispatchers);
        for (n, side) in sides.iter().enumerate() {
            for (_, other) in sides.iter().enumerate().filter(|(m, _)| *m != n) {
                self.set_cut(&side.dispatchers, &other.workers, true);
                if other.has_discovery {
                    self.set_discovery_cut(&side.dispatchers, true);
                }
            }
        }
    }

    /// Ends all cuts; other faults stay.
    pub fn heal(&self) {
        self.datagrams.heal();
        let links = self.links.to_workers.iter().flatten().chain(&self.links.to_discovery);
        links.for_each(|link| link.set_cut(false));
    }

    /// A worker's process dies: connections are reset and new ones refused. The endpoint list does not change.
    pub fn kill_worker(&self, worker: usize) {
        for i in 0..self.size() {
            let link = self.link(i, worker);
            link.set(LinkFaults { connect: ConnectBehavior::Refused, ..LinkFaults::default() });
            if !link.is_silent() {
                link.reset();
            }
        }
        self.workers[worker].die();
    }

    /// Starts a worker anew: it warms up, and the endpoint list says so. Returns the list's new generation.
    pub fn revive_worker(&self, worker: usize) -> u64 {
        self.workers[worker].die();
        (0..self.size()).for_each(|i| self.link(i, worker).set(LinkFaults::default()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.discovery.change(worker, |endpoint| {
            endpoint.lifecycle = Lifecycle::Up;
            endpoint.started_ms = (unix.as_millis() as u64).max(endpoint.started_ms + 1);
        })
    }

    /// When each dispatcher was first notified of a generation or a later one, since a time: microseconds of the harness's
    /// clock. `None` for those that were not.
    pub fn notified_at(&self, generation: u64, since: u64) -> Vec<Option<u64>> {
        let mut notified_at = vec![None; self.size()];
        self.event_log.for_each(|logged| match logged.event {
            Event::Notified { dispatcher, generation: of_list, .. }
                if of_list >= generation && logged.at >= since =>
            {
                notified_at[dispatcher].get_or_insert(logged.at);
            }
            _ => {}
        });
        notified_at
    }

    /// Waits until these dispatchers have been notified of a generation or a later one since a time.
    pub fn wait_until_notified(&self, which: &[usize], generation: u64, since: u64) {
        let what = format!("generation {generation} reaches {which:?}");
        self.wait_until(&what, || {
            let notified_at = self.notified_at(generation, since);
            which.iter().all(|i| notified_at[*i].is_some())
        });
    }

    /// What must not have happened, by these rules. Loads should have been finished.
    pub fn audit(&self, rules: &AuditRules) -> Vec<Finding> {
        self.clients.check_idle_connections();
        (0..self.size()).for_each(|i| _ = self.is_running(i)); // logs those that have exited
        let (events, missing) = self.event_log.events();
        let mut findings = audit(&events, rules);
        if missing > 0 {
            findings.push(Finding::Incomplete { missing });
        }
        findings
    }

    /// As [`crate::wait_until`].
    ///
    /// # Panics
    ///
    /// If the condition does not hold within [`crate::WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, holds: impl FnMut() -> bool) {
        crate::wait_until(what, holds);
    }

    /// Waits for a condition, at most for `limit`. Returns after which time it held, if it did.
    pub fn time_until(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> Option<Duration> {
        let started = Instant::now();
        loop {
            if holds() {
                return Some(started.elapsed());
            }
            if started.elapsed() > limit {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for i in 0..self.size() {
                let log = self.log(i);
                let lines = log.iter().skip(log.len().saturating_sub(PRINTED_LOG_LINES));
                lines.for_each(|line| eprintln!("n{i} {:>9.3} {}", line.at as f64 / 1e6, line.text));
            }
        }
        self.processes.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
