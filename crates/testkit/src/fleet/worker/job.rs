//! The life cycle of a job at a scripted worker: it waits for a slot, runs or is cancelled, and is reported.

use super::executed_keys::{KeyClaim, KeyExecution, KeyState};
use super::{ScriptedWorker, WorkerScript};
use crate::fleet::event_log::Event;
use crate::fleet::link::Link;
use crate::job_status::JobStatus;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// The minimum speed of a worker.
const MIN_SPEED: f64 = 1e-6;

/// A received job.
pub(super) struct ArrivedJob {
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) work: Duration,
}

/// A waiting or running job.
#[derive(Default)]
pub(super) struct PendingJob {
    is_cancelled: AtomicBool,
    cancelled: Notify,
}

/// A job that was added to the pending jobs, and their number.
pub(super) struct EnqueuedJob {
    pub(super) job: Arc<PendingJob>,
    pub(super) count: usize,
}

/// The waiting and running jobs, by id.
#[derive(Default)]
pub(super) struct PendingJobs {
    jobs: Mutex<HashMap<String, Arc<PendingJob>>>,
}

impl PendingJobs {
    pub(super) fn count(&self) -> usize {
        self.jobs.lock().expect("mutex poisoned").len()
    }

    /// Adds a job; `None` if there are already `max_pending` jobs.
    pub(super) fn enqueue(&self, id: &str, max_pending: usize) -> Option<EnqueuedJob> {
        let mut jobs = self.jobs.lock().expect("mutex poisoned");
        if jobs.len() >= max_pending {
            return None;
        }
        let job = Arc::new(PendingJob::default());
        jobs.insert(id.to_owned(), job.clone());
        Some(EnqueuedJob { job, count: jobs.len() })
    }

    /// Cancels a job. Returns false if it is not pending.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let jobs = self.jobs.lock().expect("mutex poisoned");
        let Some(job) = jobs.get(id) else { return false };
        job.is_cancelled.store(true, Ordering::Relaxed);
        job.cancelled.notify_waiters();
        true
    }

    pub(super) fn clear(&self) {
        self.jobs.lock().expect("mutex poisoned").clear();
    }

    fn remove(&self, id: &str) {
        self.jobs.lock().expect("mutex poisoned").remove(id);
    }
}

/// One job at one worker, from its acceptance to its last report.
pub(super) struct JobRun {
    pub(super) worker: Arc<ScriptedWorker>,
    /// The link through which the job arrived, and to whose dispatcher its status is reported.
    pub(super) link: Arc<Link>,
    pub(super) job: ArrivedJob,
    /// The worker's script when the job arrived.
    pub(super) script: WorkerScript,
    pub(super) pending: Arc<PendingJob>,
}

impl JobRun {
    /// Runs the job; if the worker dies first, the job is lost.
    pub(super) async fn run_until_death(self) {
        let mut deaths = self.worker.subscribe_to_deaths();
        tokio::select! {
            () = self.run() => {}
            // The agent of the worker's machine reports the loss, provided that the machine itself can still be reached.
            _ = deaths.changed() => self.report(JobStatus::Lost).await,
        }
        self.worker.pending.remove(&self.job.id);
    }

    /// Executes the job and reports its result. A key that is being executed or was executed within the cell is not executed
    /// again; the earlier result is reported instead.
    async fn run(&self) {
        let claim = self.job.key.as_ref().map(|key| self.worker.context.keys.claim(self.script.cell, key));
        let mut execution = match claim {
            Some(KeyClaim::Repeat(state)) => return self.repeat(&state).await,
            Some(KeyClaim::Execute(execution)) => Some(execution),
            Some(KeyClaim::Untracked) | None => None,
        };
        if !self.execute(execution.as_mut()).await {
            return;
        }
        self.worker.count(|metrics| metrics.done += 1);
        let result = format!("{} by {}", self.job.id, self.worker.name);
        if let Some(execution) = &execution {
            execution.on_result(&result);
        }
        self.worker.pending.remove(&self.job.id);
        self.report_done(result).await;
    }

    /// Waits for a slot and does the job's work. Returns false if the job was cancelled before it ran.
    async fn execute(&self, execution: Option<&mut KeyExecution<'_>>) -> bool {
        let slots = self.worker.slots.lock().expect("mutex poisoned").clone();
        let cancelled = self.pending.cancelled.notified();
        tokio::pin!(cancelled);
        cancelled.as_mut().enable();
        let _slot = tokio::select! {
            slot = slots.acquire() => slot,
            () = &mut cancelled => return false,
        };
        if self.pending.is_cancelled.load(Ordering::Relaxed) {
            return false;
        }
        if let Some(execution) = execution {
            execution.on_run();
        }
        self.log_execution();
        let _running = RunningJob::count_in(&self.worker.running);
        let duration = self.run_time();
        let working = async { tokio::join!(self.report(JobStatus::Started), tokio::time::sleep(duration)) };
        // A cancelled job is aborted, unless it has a key: then it runs to its end, so that repeats get its result.
        tokio::select! {
            _ = working => true,
            () = &mut cancelled, if self.job.key.is_none() => false,
        }
    }

    fn log_execution(&self) {
        let (worker, id, key) = (self.worker.number, self.job.id.clone(), self.job.key.clone());
        self.worker.context.event_log.add(Event::Executed { worker, id, key });
    }

    /// The time of the job's work at the worker's current speed.
    fn run_time(&self) -> Duration {
        let speed = self.script.speed * self.worker.speed_fraction(&self.script);
        self.job.work.div_f64(speed.max(MIN_SPEED))
    }

    /// Reports the outcome of the earlier execution of the job's key.
    async fn repeat(&self, state: &watch::Sender<KeyState>) {
        self.worker.count(|metrics| metrics.repeats += 1);
        let mut state = state.subscribe();
        let ended = state.wait_for(|state| *state != KeyState::Open).await;
        let ended = ended.map_or(KeyState::NeverRan, |state| state.clone());
        match ended {
            KeyState::Result(result) => {
                self.report(JobStatus::Started).await;
                self.report_done(result).await;
            }
            KeyState::Lost => self.report(JobStatus::Failed).await,
            // The key was removed, so the dispatcher may send the job again.
            KeyState::NeverRan | KeyState::Open => self.report(JobStatus::Returned).await,
        }
    }

    async fn report_done(&self, result: String) {
        let completed =
            Event::Completed { worker: self.worker.number, id: self.job.id.clone(), result: result.clone() };
        self.worker.context.event_log.add(completed);
        self.report(JobStatus::Done { result, load: self.worker.load_report() }).await;
    }

    async fn report(&self, status: JobStatus) {
        let update = status.to_callback(&self.job.id, &self.worker.name);
        if !self.worker.callbacks.deliver(&self.link, &update).await {
            self.worker.count(|metrics| metrics.unanswered_callbacks += 1);
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
