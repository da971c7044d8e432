//! The fleet harness: it runs 3 to 30 processes of the built program on loopback, and audits their traffic.
//!
//! Relays forward every datagram between the processes and every connection to the scripted discovery service and the scripted
//! workers. Scripted clients send jobs. Faults can be changed at any time. An auditor checks the recorded traffic. All random
//! choices derive from one seed, which is printed. `docs/design/harness.md` describes the use.
//!
//! Calls block, so they must not be made from within an asynchronous runtime. They panic if a thread of the harness has
//! panicked.

mod address_block;
mod admin;
pub mod auditor;
mod builder;
pub mod clients;
mod datagram_faults;
pub mod datagram_relay;
pub mod discovery;
mod error;
pub mod event_log;
mod faults;
pub mod http;
pub mod link;
pub mod load;
mod outcome;
mod partition;
mod plan;
mod process;
mod process_control;
mod tcp_relay;
pub mod worker;

pub use auditor::{AuditRules, Finding, audit};
pub use clients::{Clients, Job, JobOutcome};
pub use datagram_faults::DatagramFaults;
pub use datagram_relay::{DatagramCount, DatagramRelay, DatagramTotals};
pub use discovery::{DiscoveryMetrics, DiscoveryMode, DiscoveryScript, Endpoint, ScriptedDiscovery};
pub use error::{ConnectionFailed, FleetError};
pub use event_log::{Event, EventLog, Lifecycle, LoggedEvent};
pub use http::HttpMessage;
pub use link::{ConnectBehavior, Link, LinkFaults, LinkTarget};
pub use load::{JobGenerator, LoadPlan, LoadSummary, RunningLoad};
pub use partition::PartitionSide;
pub use plan::{ConfigChange, FleetPlan, MAX_PROCESSES, MAX_WORKERS, seed_from_env_or};
pub use process::LogLine;
pub use worker::{ScriptedWorker, WorkerBehavior, WorkerMetrics, WorkerScript};

use address_block::AddressBlock;
use faults::FleetLinks;
use plan::{CLIENTS_SEED, derive_seed};
use process::Process;
use serde_json::Value;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The number of lines of each log that are printed after a panic.
const PRINTED_LOG_LINES: usize = 40;
/// How long dropping a fleet waits for the threads of the harness.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// A fleet. Dropping it kills its processes and removes their files. After a panic, their logs are printed to standard error
/// first.
///
/// The methods take dispatchers and workers by number from 0. They panic if there is none with that number, or if a thread of
/// the harness has panicked.
pub struct Fleet {
    processes: Vec<Process>,
    /// The configurations, by dispatcher.
    configs: Mutex<Vec<Value>>,
    /// The operators' settings file, the same for all processes.
    settings: Option<String>,
    /// The number of process starts so far.
    starts: AtomicU64,
    /// The datagram relay.
    pub datagrams: Arc<DatagramRelay>,
    /// The discovery service.
    pub discovery: Arc<ScriptedDiscovery>,
    /// The workers.
    pub workers: Vec<Arc<ScriptedWorker>>,
    /// The recorded traffic.
    pub event_log: Arc<EventLog>,
    links: FleetLinks,
    clients: Arc<Clients>,
    block: AddressBlock,
    seed: u64,
    folder: PathBuf,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Fleet {
    /// Prepares everything except the processes, starts all processes and waits until they are up.
    ///
    /// # Errors
    ///
    /// The errors of [`Fleet::prepare`], and if a process cannot be started.
    ///
    /// # Panics
    ///
    /// If a process is not up within [`crate::WAIT_TIMEOUT`].
    pub fn start(plan: FleetPlan) -> Result<Fleet, FleetError> {
        let fleet = Fleet::prepare(plan)?;
        fleet.start_all()?;
        fleet.wait_until_up(&fleet.all());
        Ok(fleet)
    }

    /// Starts the relays, workers, discovery and clients, without starting any process.
    ///
    /// # Errors
    ///
    /// If the plan has too many processes or workers, or if a socket, file or directory cannot be created.
    pub fn prepare(plan: FleetPlan) -> Result<Fleet, FleetError> {
        builder::build(plan)
    }

    fn runtime(&self) -> &tokio::runtime::Handle {
        self.runtime.as_ref().expect("runtime already shut down").handle()
    }

    /// The number of processes of the plan.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// The numbers of all dispatchers.
    pub fn all(&self) -> Vec<usize> {
        (0..self.size()).collect()
    }

    /// The current time of the harness's clock, in microseconds.
    pub fn now(&self) -> u64 {
        self.event_log.clock.now()
    }

    /// Sends a job to a dispatcher and waits for the outcome.
    pub fn send(&self, dispatcher: usize, job: &Job) -> JobOutcome {
        self.runtime().block_on(self.clients.send(dispatcher, job))
    }

    /// Starts a load, which runs in the background.
    pub fn start_load(&self, load: &LoadPlan) -> RunningLoad {
        RunningLoad::start(&self.clients, self.runtime(), load, derive_seed(self.seed, CLIENTS_SEED))
    }

    /// Starts a load of unkeyed jobs at these dispatchers, with `rate` jobs per second at each.
    pub fn start_plain_load(&self, dispatchers: &[usize], rate: f64, duration: Duration) -> RunningLoad {
        let job = Arc::new(|_: &mut fastrand::Rng, _| Job::plain());
        self.start_load(&LoadPlan { dispatchers: dispatchers.to_vec(), rate, duration, job })
    }

    fn print_logs(&self) {
        for dispatcher in 0..self.size() {
            let log = self.log(dispatcher);
            let lines = log.iter().skip(log.len().saturating_sub(PRINTED_LOG_LINES));
            lines.for_each(|line| eprintln!("n{dispatcher} {:>9.3} {}", line.at as f64 / 1e6, line.text));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.processes.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
