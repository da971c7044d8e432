//! The rule that a worker which is warming up gets no more work than its budget, in any window of time.

use super::outages::OutageHistory;
use super::{AuditRules, Finding};
use crate::fleet::event_log::{Event, Lifecycle, LoggedEvent, NotifiedEndpoint};
use crate::fleet::worker::warm_up_capacity;
use std::collections::{BTreeSet, HashMap};

/// The greatest excess after each start of a worker.
pub(super) fn find(events: &[LoggedEvent], rules: &AuditRules, outages: &OutageHistory) -> Vec<Finding> {
    let greatest_excess = |start: WorkerStart| {
        let arrivals = start.arrivals(events, rules, outages);
        let windows = (0..arrivals.len()).filter_map(|first| start.check_window(rules, &arrivals[first..]));
        windows.max_by(|a, b| a.excess().total_cmp(&b.excess()))
    };
    worker_starts(events).into_iter().filter_map(greatest_excess).map(Excess::into_finding).collect()
}

/// The start of a worker, according to the endpoint list.
struct WorkerStart {
    worker: usize,
    started_ms: u64,
    at: u64,
}

/// A job that reached a worker while it was warming up.
struct Arrival {
    at: u64,
    /// The work of the job, in microseconds.
    work: f64,
    /// Whether its dispatcher had been notified of the worker's start.
    is_informed: bool,
}

/// A window in which a worker got more than its budget.
struct Excess {
    at: u64,
    worker: usize,
    /// The work that arrived, in jobs of mean work.
    jobs: f64,
    /// The maximum work that may arrive, in jobs of mean work.
    allowed: f64,
}

impl Excess {
    fn excess(&self) -> f64 {
        self.jobs - self.allowed
    }

    fn into_finding(self) -> Finding {
        let Excess { at, worker, jobs, allowed } = self;
        Finding::WarmUpExceeded { at, worker, jobs, allowed }
    }
}

/// The starts of workers in the endpoint list, each once.
fn worker_starts(events: &[LoggedEvent]) -> Vec<WorkerStart> {
    let mut seen = BTreeSet::new();
    let start = |logged: &LoggedEvent| match &logged.event {
        Event::EndpointChanged { endpoint, .. }
            if endpoint.lifecycle == Lifecycle::Up && endpoint.started_ms > 0 =>
        {
            let (worker, started_ms) = (endpoint.worker, endpoint.started_ms);
            seen.insert((worker, started_ms)).then_some(WorkerStart { worker, started_ms, at: logged.at })
        }
        _ => None,
    };
    events.iter().filter_map(start).collect()
}

impl WorkerStart {
    fn is_named_by(&self, endpoint: &NotifiedEndpoint) -> bool {
        endpoint.worker == self.worker && endpoint.started_ms >= self.started_ms
    }

    /// The jobs that reached the worker while it was warming up.
    fn arrivals(&self, events: &[LoggedEvent], rules: &AuditRules, outages: &OutageHistory) -> Vec<Arrival> {
        let end = self.at + rules.warm_up_time;
        let mut informed_at: HashMap<usize, u64> = HashMap::new();
        let mut arrivals = Vec::new();
        for LoggedEvent { at, event } in events.iter().take_while(|logged| logged.at <= end) {
            match event {
                Event::Started { dispatcher } => _ = informed_at.remove(dispatcher),
                Event::Notified { dispatcher, endpoints, .. }
                    if endpoints.iter().any(|endpoint| self.is_named_by(endpoint)) =>
                {
                    let known_at = outages.known_at(*dispatcher, *at);
                    informed_at.entry(*dispatcher).or_insert(known_at);
                }
                Event::Reached { dispatcher, worker, work, .. }
                    if *worker == self.worker && *at >= self.at =>
                {
                    let is_informed = informed_at.get(dispatcher).is_some_and(|since| since <= at);
                    arrivals.push(Arrival { at: *at, work: *work as f64, is_informed });
                }
                _ => {}
            }
        }
        arrivals
    }

    /// Checks the window that begins with the first of these arrivals. The work may exceed the budget by chance (two standard
    /// deviations and two jobs). An excess is excused if dispatchers that had not been notified sent more than a third of the
    /// work.
    fn check_window(&self, rules: &AuditRules, arrivals: &[Arrival]) -> Option<Excess> {
        let from = arrivals.first()?.at;
        let (mut work, mut informed_work) = (0.0, 0.0);
        for arrival in arrivals.iter().take_while(|arrival| arrival.at <= from + rules.overload_window) {
            work += arrival.work;
            informed_work += if arrival.is_informed { arrival.work } else { 0.0 };
        }
        let mean_work = rules.mean_work.max(1) as f64;
        let (jobs, mean_allowed) = (work / mean_work, self.budget(rules, from) / mean_work);
        let allowed = mean_allowed + 2.0 * mean_allowed.sqrt() + 2.0;
        let is_exceeded = jobs > allowed && informed_work * 3.0 >= work * 2.0;
        is_exceeded.then_some(Excess { at: from, worker: self.worker, jobs, allowed })
    }

    /// The work that the worker can take in the window that begins at `from`, in microseconds.
    fn budget(&self, rules: &AuditRules, from: u64) -> f64 {
        let progress = (from - self.at) as f64 / rules.warm_up_time.max(1) as f64;
        let capacity_fraction = warm_up_capacity(rules.initial_capacity, progress);
        rules.overload_multiple * capacity_fraction * rules.capacity * rules.overload_window as f64
    }
}
