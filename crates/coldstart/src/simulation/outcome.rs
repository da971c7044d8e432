//! What is measured during a run, and what came of it.

use super::{MS, Simulation};

/// Calls are counted over stretches of this length.
const PEAK_WINDOW: u64 = 100 * MS;

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Calls to the service in all.
    pub calls: u64,
    /// Calls to the service for each process that ran.
    pub calls_each: f64,
    /// Calls refused, reset or timed out.
    pub refused: u64,
    /// The longest queue at the service.
    pub longest_queue: u64,
    /// The most calls within 100 ms.
    pub peak: u64,
    /// The most calls within 100 ms, from the end of an outage on.
    pub peak_after: u64,
    /// Time until half hold a list, from a process' start or the end of the outage, in microseconds.
    pub held_p50: u64,
    /// Time until 99 in 100 hold a list, likewise.
    pub held_p99: u64,
    /// Processes without a watch at the end.
    pub without: u64,
    /// Watches that were broken by silence and not called for again and answered within the 6 s.
    pub late: u64,
    /// Handshakes at a worker that is alive in the first 10 s, the mean.
    pub handshakes: f64,
    /// The most handshakes at one such worker.
    pub most_handshakes: u64,
    /// Jobs tried at a dead worker in the first 10 s, the mean.
    pub tries_at_dead: f64,
    /// Collapses of cold workers.
    pub falls: u64,
    /// The greatest fraction of what it bears that a cold worker was sent.
    pub most_of_budget: f64,
    /// Jobs in all.
    pub jobs: u64,
    /// Jobs that found no worker within their time.
    pub lost: u64,
    /// Facts published by all.
    pub facts: u64,
    /// The bytes of these facts.
    pub fact_bytes: u64,
    /// The most calls that one dispatcher had open at once.
    pub most_out: u64,
}

/// What is measured during a run.
#[derive(Default)]
pub(super) struct Measurements {
    pub processes: u64,
    /// When each call was made.
    call_times: Vec<u64>,
    /// How long each process was without a list.
    list_times: Vec<u64>,
    /// What is counted as it happens.
    counts: Outcome,
}

impl Measurements {
    pub fn record_call(&mut self, now: u64, open_calls: u64) {
        self.call_times.push(now);
        self.counts.most_out = self.counts.most_out.max(open_calls);
    }

    pub fn record_failed_call(&mut self) {
        self.counts.refused += 1;
    }

    pub fn record_queue(&mut self, length: u64) {
        self.counts.longest_queue = self.counts.longest_queue.max(length);
    }

    /// A process holds a list for the first time, after so long.
    pub fn record_first_list(&mut self, after: u64) {
        self.list_times.push(after);
    }

    pub fn record_late_watch(&mut self) {
        self.counts.late += 1;
    }

    pub fn record_job(&mut self) {
        self.counts.jobs += 1;
    }

    pub fn record_lost_job(&mut self) {
        self.counts.lost += 1;
    }

    pub fn record_fact(&mut self, bytes: usize) {
        self.counts.facts += 1;
        self.counts.fact_bytes += bytes as u64;
    }

    /// A cold worker was sent this fraction of what it bears.
    pub fn record_cold_load(&mut self, fraction: f64, has_collapsed: bool) {
        self.counts.most_of_budget = self.counts.most_of_budget.max(fraction);
        self.counts.falls += u64::from(has_collapsed);
    }
}

impl Simulation<'_> {
    /// What came of the run so far.
    pub(super) fn outcome(mut self) -> Outcome {
        let Measurements { processes, mut call_times, mut list_times, counts } =
            std::mem::take(&mut self.measurements);
        call_times.sort_unstable();
        list_times.sort_unstable();
        let outage_end = self.scenario.down.map_or(0, |(_, until)| until);
        let calls_after = &call_times[call_times.partition_point(|at| *at < outage_end)..];
        let handshakes: Vec<u64> =
            self.workers.iter().filter(|worker| !worker.is_dead).map(|worker| worker.handshakes).collect();
        let trials: Vec<u64> =
            self.workers.iter().filter(|worker| worker.is_dead).map(|worker| worker.trials).collect();
        let still_silent = self.dispatchers.iter().filter(|dispatcher| dispatcher.is_watch_silent).count();
        Outcome {
            calls: call_times.len() as u64,
            calls_each: call_times.len() as f64 / processes.max(1) as f64,
            peak: peak(&call_times),
            peak_after: peak(calls_after),
            held_p50: quantile(&list_times, 0.5),
            held_p99: quantile(&list_times, 0.99),
            without: self.dispatchers.iter().filter(|dispatcher| !dispatcher.has_watch).count() as u64,
            // Those that were silent and not called for again by the end are late too.
            late: counts.late + still_silent as u64,
            handshakes: mean(&handshakes),
            tries_at_dead: mean(&trials),
            most_handshakes: handshakes.iter().copied().max().unwrap_or(0),
            ..counts
        }
    }
}

/// The most of these sorted times within a window.
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
