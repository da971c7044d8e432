//! Random loads: jobs at random times, determined by one seed per load.

use super::clients::{Clients, Job, JobOutcome};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The maximum number of jobs of a load in flight at one dispatcher. Further arrivals wait.
const MAX_OPEN_JOBS: u32 = 4096;
/// The minimum rate for which times are drawn, in jobs per second.
const MIN_RATE: f64 = 1e-9;

/// Generates the next job; the number counts the jobs at one dispatcher.
pub type JobGenerator = Arc<dyn Fn(&mut fastrand::Rng, u64) -> Job + Send + Sync>;

/// A load: jobs at random times (a Poisson process) at each of some dispatchers.
#[derive(Clone)]
pub struct LoadPlan {
    /// The dispatchers that get the load.
    pub dispatchers: Vec<usize>,
    /// The mean rate at each dispatcher, in jobs per second.
    pub rate: f64,
    /// The duration of the load, unless it is stopped earlier.
    pub duration: Duration,
    /// Generates the jobs.
    pub job: JobGenerator,
}

/// The outcomes of a load's jobs.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// All jobs of the load.
    pub jobs: u64,
    /// Replies by status.
    pub replies_by_status: BTreeMap<u16, u64>,
    /// Jobs that no process accepted.
    pub unreachable: u64,
    /// Jobs that were sent and got no complete reply.
    pub unanswered: u64,
    /// The times until replies with status 200, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadSummary {
    fn new() -> LoadSummary {
        let latency = Histogram::new_with_bounds(1, 120_000_000, 3).expect("invalid histogram bounds");
        LoadSummary { jobs: 0, replies_by_status: BTreeMap::new(), unreachable: 0, unanswered: 0, latency }
    }

    fn add(&mut self, outcome: &JobOutcome) {
        self.jobs += 1;
        match outcome {
            JobOutcome::Answer { status, latency, .. } => {
                *self.replies_by_status.entry(*status).or_default() += 1;
                if *status == 200 {
                    self.latency.saturating_record(latency.as_micros() as u64);
                }
            }
            JobOutcome::Unreachable => self.unreachable += 1,
            JobOutcome::NoAnswer => self.unanswered += 1,
        }
    }

    /// The number of jobs answered with status 200.
    pub fn served(&self) -> u64 {
        self.replies_by_status.get(&200).copied().unwrap_or(0)
    }
}

/// A running load. The methods panic if a task of the load has panicked.
pub struct RunningLoad {
    tasks: Vec<JoinHandle<()>>,
    is_stopped: Arc<AtomicBool>,
    summary: Arc<Mutex<LoadSummary>>,
    runtime: Handle,
}

impl RunningLoad {
    /// Starts a load. The jobs of each dispatcher have their own seed.
    pub(super) fn start(clients: &Arc<Clients>, runtime: &Handle, plan: &LoadPlan, seed: u64) -> RunningLoad {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let summary = Arc::new(Mutex::new(LoadSummary::new()));
        let start = |&dispatcher: &usize| {
            let seed = seed ^ (dispatcher as u64 + 1).wrapping_mul(0xd134_2543_de82_ef95);
            let part = LoadPart {
                clients: clients.clone(),
                plan: plan.clone(),
                dispatcher,
                rng: fastrand::Rng::with_seed(seed),
                is_stopped: is_stopped.clone(),
                summary: summary.clone(),
            };
            runtime.spawn(part.run())
        };
        let tasks = plan.dispatchers.iter().map(start).collect();
        RunningLoad { tasks, is_stopped, summary, runtime: runtime.clone() }
    }

    /// The outcomes of the jobs so far.
    pub fn summary(&self) -> LoadSummary {
        self.summary.lock().expect("mutex poisoned").clone()
    }

    /// The number of jobs answered with status 200 so far.
    pub fn served(&self) -> u64 {
        self.summary.lock().expect("mutex poisoned").served()
    }

    /// Waits until the load and all its jobs have ended. Returns the outcomes.
    pub fn finish(self) -> LoadSummary {
        for task in self.tasks {
            let _ = self.runtime.block_on(task);
        }
        Arc::try_unwrap(self.summary).map_or_else(
            |shared| shared.lock().expect("mutex poisoned").clone(),
            |summary| summary.into_inner().expect("mutex poisoned"),
        )
    }

    /// Stops sending jobs, waits until those in flight have ended, and returns the outcomes.
    pub fn stop(self) -> LoadSummary {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.finish()
    }
}

/// The part of a load for one dispatcher.
struct LoadPart {
    clients: Arc<Clients>,
    plan: LoadPlan,
    dispatcher: usize,
    rng: fastrand::Rng,
    is_stopped: Arc<AtomicBool>,
    summary: Arc<Mutex<LoadSummary>>,
}

impl LoadPart {
    /// Sends jobs until the duration is over or the load is stopped. Waits until all jobs have ended.
    async fn run(mut self) {
        let permits = Arc::new(Semaphore::new(MAX_OPEN_JOBS as usize));
        let started = Instant::now();
        let (mut at, mut number) = (Duration::ZERO, 0);
        loop {
            at += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / self.plan.rate.max(MIN_RATE));
            if at > self.plan.duration {
                break;
            }
            tokio::time::sleep_until(started + at).await;
            if self.is_stopped.load(Ordering::Relaxed) {
                break;
            }
            let job = (self.plan.job)(&mut self.rng, number);
            number += 1;
            let Ok(permit) = permits.clone().acquire_owned().await else { break };
            let (clients, summary, dispatcher) =
                (self.clients.clone(), self.summary.clone(), self.dispatcher);
            tokio::spawn(async move {
                let outcome = clients.send(dispatcher, &job).await;
                summary.lock().expect("mutex poisoned").add(&outcome);
                drop(permit);
            });
        }
        let _ = permits.acquire_many(MAX_OPEN_JOBS).await;
    }
}
