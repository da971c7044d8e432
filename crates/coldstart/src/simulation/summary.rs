//! The measurements of a simulated run, and the summary computed from them.

use super::{MS, Simulation};

/// The window over which peaks of calls are counted.
const PEAK_WINDOW: u64 = 100 * MS;

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationSummary {
    /// All calls to the service.
    pub calls: u64,
    /// The mean number of calls per process.
    pub calls_per_process: f64,
    /// Calls that were refused, reset or timed out.
    pub refused: u64,
    /// The maximum length of the service's queue.
    pub longest_queue: u64,
    /// The maximum number of calls within 100 ms.
    pub peak_calls: u64,
    /// The maximum number of calls within 100 ms after the end of an outage.
    pub peak_calls_after_outage: u64,
    /// The median time until a process holds a list, from its start or from the end of the outage, in microseconds.
    pub list_time_p50: u64,
    /// The 99th percentile of the time until a process holds a list, in microseconds.
    pub list_time_p99: u64,
    /// Processes without a watch at the end.
    pub processes_without_watch: u64,
    /// Silent watches that were not replaced by an answered call within 6 s.
    pub late_watches: u64,
    /// The mean number of handshakes at a live worker in the first 10 s.
    pub mean_handshakes: f64,
    /// The maximum number of handshakes at one live worker in the first 10 s.
    pub max_handshakes: u64,
    /// The mean number of jobs tried at a dead worker in the first 10 s.
    pub mean_tries_at_dead_workers: f64,
    /// How often a worker that warms up collapsed under too much load.
    pub collapses: u64,
    /// The maximum load of a worker that warms up, as a fraction of its limit.
    pub max_budget_fraction: f64,
    /// All jobs.
    pub jobs: u64,
    /// Jobs that found no worker in time.
    pub lost_jobs: u64,
    /// Facts published by all dispatchers.
    pub facts: u64,
    /// The total length of all published facts, in bytes.
    pub fact_bytes: u64,
    /// The maximum number of calls that one dispatcher had open at the same time.
    pub max_open_calls: u64,
}

/// The measurements during a run.
#[derive(Default)]
pub(super) struct Measurements {
    pub processes: u64,
    /// When each call was made.
    call_times: Vec<u64>,
    /// How long each process was without a list.
    list_times: Vec<u64>,
    /// The results that are counted directly.
    counts: SimulationSummary,
}

impl Measurements {
    pub fn record_call(&mut self, now: u64, open_calls: u64) {
        self.call_times.push(now);
        self.counts.max_open_calls = self.counts.max_open_calls.max(open_calls);
    }

    pub fn record_failed_call(&mut self) {
        self.counts.refused += 1;
    }

    pub fn record_queue(&mut self, length: u64) {
        self.counts.longest_queue = self.counts.longest_queue.max(length);
    }

    /// Records how long a process took until it first held a list.
    pub fn record_first_list(&mut self, elapsed: u64) {
        self.list_times.push(elapsed);
    }

    pub fn record_late_watch(&mut self) {
        self.counts.late_watches += 1;
    }

    pub fn record_job(&mut self) {
        self.counts.jobs += 1;
    }

    pub fn record_lost_job(&mut self) {
        self.counts.lost_jobs += 1;
    }

    pub fn record_fact(&mut self, bytes: usize) {
        self.counts.facts += 1;
        self.counts.fact_bytes += bytes as u64;
    }

    /// Records the load of a worker that warms up, as a fraction of its limit.
    pub fn record_warm_up_load(&mut self, fraction: f64, has_collapsed: bool) {
        self.counts.max_budget_fraction = self.counts.max_budget_fraction.max(fraction);
        self.counts.collapses += u64::from(has_collapsed);
    }
}

impl Simulation<'_> {
    /// The results of the run so far.
    pub(super) fn summary(mut self) -> SimulationSummary {
        let Measurements { processes, mut call_times, mut list_times, counts } =
            std::mem::take(&mut self.measurements);
        call_times.sort_unstable();
        list_times.sort_unstable();
        let outage_end = self.scenario.outage_end();
        let calls_after = &call_times[call_times.partition_point(|at| *at < outage_end)..];
        let handshakes: Vec<u64> =
            self.workers.iter().filter(|worker| !worker.is_dead).map(|worker| worker.handshakes).collect();
        let trials: Vec<u64> =
            self.workers.iter().filter(|worker| worker.is_dead).map(|worker| worker.trials).collect();
        let still_silent = self.dispatchers.iter().filter(|dispatcher| dispatcher.is_watch_silent).count();
        SimulationSummary {
            calls: call_times.len() as u64,
            calls_per_process: call_times.len() as f64 / processes.max(1) as f64,
            peak_calls: peak(&call_times),
            peak_calls_after_outage: peak(calls_after),
            list_time_p50: quantile(&list_times, 0.5),
            list_time_p99: quantile(&list_times, 0.99),
            processes_without_watch: self
                .dispatchers
                .iter()
                .filter(|dispatcher| !dispatcher.has_watch)
                .count() as u64,
            // Watches that are still silent at the end are late too.
            late_watches: counts.late_watches + still_silent as u64,
            mean_handshakes: mean(&handshakes),
            mean_tries_at_dead_workers: mean(&trials),
            max_handshakes: handshakes.iter().copied().max().unwrap_or(0),
            ..counts
        }
    }
}

/// The maximum number of these sorted times within one [`PEAK_WINDOW`].
fn peak(times: &[u64]) -> u64 {
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(last, at)| {
        while times[first] + PEAK_WINDOW <= *at {
            first += 1;
        }
        (last - first + 1) as u64
    });
    counts.max().unwrap_or(0)
}

fn quantile(sorted: &[u64], fraction: f64) -> u64 {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}
