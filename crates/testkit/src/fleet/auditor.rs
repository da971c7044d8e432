//! The auditor. It reads what crossed the wires and nothing else, and names what must not have happened. It knows no part
//! of the program.

use super::event_log::{Event, Lifecycle, LoggedEvent, NotifiedEndpoint};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// What must hold, all durations in microseconds. The default is the small deployment of [`crate::site`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditRules {
    /// A dispatcher sends no job to a worker later than this after it was notified that the worker drains or is gone.
    pub stop_deadline: u64,
    /// Every change counts as notified this long after it was made, arrived or not; `None`: only what was written counts.
    pub assume_notified_after: Option<u64>,
    /// A reply comes at most this long after its client's timeout; `None`: only that it comes is checked.
    pub answer_slack: Option<u64>,
    /// A worker that was just started has this fraction of its capacity ...
    pub initial_capacity: f64,
    /// ... and all of it after this time.
    pub warm_up_time: u64,
    /// More work than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... in a window of this length makes a worker that is warming up collapse.
    pub overload_window: u64,
    /// Microseconds of work that a warm worker does in a microsecond: its slots times its speed.
    pub capacity: f64,
    /// The mean work of a job.
    pub mean_work: u64,
}

impl Default for AuditRules {
    fn default() -> Self {
        AuditRules {
            stop_deadline: 450_000,
            assume_notified_after: None,
            answer_slack: None,
            initial_capacity: 0.38,
            warm_up_time: 8_400_000,
            overload_multiple: 4.0,
            overload_window: 1_500_000,
            capacity: 4.0,
            mean_work: 20_000,
        }
    }
}

/// What must not have happened. `at` is a time in microseconds of the harness's clock, `dispatcher` and `worker` are numbers
/// from 0, `id` is a job's, and durations are in microseconds.
#[allow(missing_docs)] // the fields are the same in all variants: documented above
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A job was sent to a worker this long after the dispatcher was notified that it drains or is gone.
    LateSend { at: u64, dispatcher: usize, worker: usize, id: String, after: u64 },
    /// A job that was taken got no whole reply, and its dispatcher had not been killed.
    NeverAnswered { at: u64, dispatcher: usize, id: String },
    /// A job was answered more than once, or bytes came that no request had asked for.
    AnsweredTwice { at: u64, dispatcher: usize, id: String },
    /// A job was answered this long after its client's timeout.
    AnsweredLate { at: u64, dispatcher: usize, id: String, late: u64 },
    /// A job was answered with a result that no worker made for it.
    UnknownResult { at: u64, dispatcher: usize, id: String },
    /// A datagram was too long.
    LongDatagram { at: u64, dispatcher: usize, length: usize },
    /// A key was executed more than once; how often.
    ExecutedTwice { key: String, runs: usize },
    /// A worker that was warming up got more than its budget in one window: jobs of mean work, and how many are allowed.
    WarmUpExceeded { at: u64, worker: usize, jobs: f64, allowed: f64 },
    /// A process exited by itself, or not with code 0.
    Crashed { at: u64, dispatcher: usize },
    /// This many events are missing from the log: nothing is certain.
    Incomplete { missing: u64 },
}

/// Reads events in the order of their times, and returns what must not have happened.
pub fn audit(events: &[LoggedEvent], rules: &AuditRules) -> Vec<Finding> {
    let mut auditor = Auditor { events, rules, outages: outages_by_dispatcher(events), findings: Vec::new() };
    auditor.check_sends();
    auditor.check_replies();
    auditor.check_executions();
    auditor.check_warm_ups();
    auditor.check_exits_and_datagrams();
    auditor.findings
}

/// A span of time in microseconds; an end that has not come is `u64::MAX`.
struct Span {
    begin: u64,
    end: u64,
}

/// One dispatcher's kills and pauses.
#[derive(Default)]
struct Outages {
    /// From each kill to the next start: what a client writes to a dying process is not taken.
    down: Vec<Span>,
    paused: Vec<Span>,
}

impl Outages {
    fn is_down_within(&self, from: u64, to: u64) -> bool {
        self.down.iter().any(|span| span.begin <= to && from < span.end)
    }

    fn is_paused_within(&self, from: u64, to: u64) -> bool {
        self.paused.iter().any(|span| span.begin <= to && from <= span.end)
    }

    /// When the process knows what is written to it at a time: once it continues, if it is paused.
    fn known_at(&self, at: u64) -> u64 {
        self.paused.iter().find(|span| (span.begin..=span.end).contains(&at)).map_or(at, |span| span.end)
    }
}

fn outages_by_dispatcher(events: &[LoggedEvent]) -> HashMap<usize, Outages> {
    let mut outages: HashMap<usize, Outages> = HashMap::new();
    for LoggedEvent { at, event } in events {
        match *event {
            Event::Killed { dispatcher } => {
                outages.entry(dispatcher).or_default().down.push(Span { begin: *at, end: u64::MAX });
            }
            Event::Started { dispatcher } => {
                if let Some(last) = outages.entry(dispatcher).or_default().down.last_mut() {
                    last.end = last.end.min(*at);
                }
            }
            Event::Paused { dispatcher, is_paused: true } => {
                outages.entry(dispatcher).or_default().paused.push(Span { begin: *at, end: u64::MAX });
            }
            Event::Paused { dispatcher, is_paused: false } => {
                if let Some(last) = outages.entry(dispatcher).or_default().paused.last_mut() {
                    last.end = *at;
                }
            }
            _ => {}
        }
    }
    outages
}

/// What one process was notified of since its start.
#[derive(Default)]
struct NotifiedState {
    started_at: u64,
    /// Workers to which it must send no more, and since when it knows this.
    stopped: HashMap<usize, u64>,
    listed: BTreeSet<usize>,
}

impl NotifiedState {
    fn apply(&mut self, known_at: u64, is_full: bool, endpoints: &[NotifiedEndpoint]) {
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Up {
                self.stopped.remove(&endpoint.worker);
            } else {
                self.stopped.entry(endpoint.worker).or_insert(known_at);
            }
        }
        let now: BTreeSet<usize> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        if is_full {
            for gone in self.listed.difference(&now) {
                self.stopped.entry(*gone).or_insert(known_at);
            }
            self.listed = now;
        } else {
            self.listed.extend(now);
        }
    }
}

/// An endpoint's last change at the discovery service.
struct EndpointChange {
    at: u64,
    lifecycle: Lifecycle,
}

/// A job without a reply so far.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OpenJob {
    dispatcher: usize,
    sent_at: u64,
    timeout: u64,
}

/// A job that reached a worker while it was warming up.
struct Arrival {
    at: u64,
    work: f64,
    /// Its dispatcher had been notified of the worker's start.
    is_informed: bool,
}

/// A worker's start, as the endpoint list names it.
struct WorkerStart {
    worker: usize,
    started_ms: u64,
    at: u64,
}

struct Auditor<'a> {
    events: &'a [LoggedEvent],
    rules: &'a AuditRules,
    outages: HashMap<usize, Outages>,
    findings: Vec<Finding>,
}

impl<'a> Auditor<'a> {
    fn known_at(&self, dispatcher: usize, at: u64) -> u64 {
        self.outages.get(&dispatcher).map_or(at, |outages| outages.known_at(at))
    }

    fn is_down_within(&self, dispatcher: usize, from: u64, to: u64) -> bool {
        self.outages.get(&dispatcher).is_some_and(|outages| outages.is_down_within(from, to))
    }

    fn is_paused_within(&self, dispatcher: usize, from: u64, to: u64) -> bool {
        self.outages.get(&dispatcher).is_some_and(|outages| outages.is_paused_within(from, to))
    }

    fn check_exits_and_datagrams(&mut self) {
        let mut terminated = BTreeSet::new();
        for LoggedEvent { at, event } in self.events {
            match *event {
                Event::LongDatagram { dispatcher, length } => {
                    self.findings.push(Finding::LongDatagram { at: *at, dispatcher, length });
                }
                Event::Started { dispatcher } => _ = terminated.remove(&dispatcher),
                Event::Terminated { dispatcher } => _ = terminated.insert(dispatcher),
                Event::Exited { dispatcher, is_clean } if !is_clean || !terminated.contains(&dispatcher) => {
                    self.findings.push(Finding::Crashed { at: *at, dispatcher });
                }
                _ => {}
            }
        }
    }

    fn check_sends(&mut self) {
        let mut notified: HashMap<usize, NotifiedState> = HashMap::new();
        let mut changes: BTreeMap<usize, EndpointChange> = BTreeMap::new();
        for LoggedEvent { at, event } in self.events {
            match event {
                Event::Started { dispatcher } => {
                    let state = NotifiedState { started_at: *at, ..NotifiedState::default() };
                    notified.insert(*dispatcher, state);
                }
                Event::EndpointChanged { endpoint, .. } => {
                    let change = EndpointChange { at: *at, lifecycle: endpoint.lifecycle };
                    changes.insert(endpoint.worker, change);
                }
                Event::Notified { dispatcher, is_full, endpoints, .. } => {
                    let known_at = self.known_at(*dispatcher, *at);
                    notified.entry(*dispatcher).or_default().apply(known_at, *is_full, endpoints);
                }
                Event::Reached { dispatcher, worker, id, .. } => {
                    let state = notified.entry(*dispatcher).or_default();
                    let stopped = self.stopped_at(state, *worker, changes.get(worker));
                    if let Some(since) = stopped.filter(|since| *at > since + self.rules.stop_deadline) {
                        self.findings.push(Finding::LateSend {
                            at: *at,
                            dispatcher: *dispatcher,
                            worker: *worker,
                            id: id.clone(),
                            after: at - since,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    /// Since when a dispatcher knows that it must not send to a worker, or counts as knowing it.
    fn stopped_at(
        &self,
        state: &NotifiedState,
        worker: usize,
        change: Option<&EndpointChange>,
    ) -> Option<u64> {
        let notified = state.stopped.get(&worker).copied();
        let assumed = self.rules.assume_notified_after.zip(change).and_then(|(after, change)| {
            (change.lifecycle != Lifecycle::Up).then_some(change.at.max(state.started_at) + after)
        });
        notified.into_iter().chain(assumed).min()
    }

    fn check_replies(&mut self) {
        let mut open: HashMap<&str, OpenJob> = HashMap::new();
        let mut answered: HashSet<&str> = HashSet::new();
        let mut results: HashSet<(&str, &str)> = HashSet::new();
        for LoggedEvent { at, event } in self.events {
            let at = *at;
            match event {
                Event::Sent { dispatcher, id, timeout } => {
                    open.insert(id, OpenJob { dispatcher: *dispatcher, sent_at: at, timeout: *timeout });
                }
                Event::Completed { id, result, .. } => _ = results.insert((id, result)),
                Event::Answered { dispatcher, id, status, body } => {
                    let dispatcher = *dispatcher;
                    let job = open.remove(id.as_str());
                    if job.is_none() || !answered.insert(id) {
                        self.findings.push(Finding::AnsweredTwice { at, dispatcher, id: id.clone() });
                    }
                    if *status == 200 && !results.contains(&(id, body)) {
                        self.findings.push(Finding::UnknownResult { at, dispatcher, id: id.clone() });
                    }
                    self.check_reply_time(at, dispatcher, id, job.as_ref());
                }
                Event::UnexpectedBytes { dispatcher, id } => {
                    let (dispatcher, id) = (*dispatcher, id.clone());
                    self.findings.push(Finding::AnsweredTwice { at, dispatcher, id });
                }
                Event::Unanswered { dispatcher, id } => {
                    let (dispatcher, sent_at) =
                        (*dispatcher, open.remove(id.as_str()).map_or(0, |job| job.sent_at));
                    if !self.is_down_within(dispatcher, sent_at, at)
                        && !self.is_paused_within(dispatcher, sent_at, at)
                    {
                        self.findings.push(Finding::NeverAnswered { at, dispatcher, id: id.clone() });
                    }
                }
                // Its dispatcher closed before any byte of a reply, and nobody took the job when it was sent once more.
                Event::Unreachable { id, .. } => _ = open.remove(id.as_str()),
                _ => {}
            }
        }
        self.check_open_jobs(open);
    }

    fn check_reply_time(&mut self, at: u64, dispatcher: usize, id: &str, job: Option<&OpenJob>) {
        let Some((job, slack)) = job.zip(self.rules.answer_slack) else { return };
        let late = at.saturating_sub(job.sent_at + job.timeout);
        if late > slack && !self.is_paused_within(dispatcher, job.sent_at, at) {
            self.findings.push(Finding::AnsweredLate { at, dispatcher, id: id.to_owned(), late });
        }
    }

    /// Jobs of which nothing more is known at the end of the log.
    fn check_open_jobs(&mut self, open: HashMap<&str, OpenJob>) {
        let end = self.events.last().map_or(0, |logged| logged.at);
        let mut open: Vec<(&str, OpenJob)> = open.into_iter().collect();
        open.sort_unstable();
        for (id, OpenJob { dispatcher, sent_at, .. }) in open {
            if !self.is_down_within(dispatcher, sent_at, end) {
                self.findings.push(Finding::NeverAnswered { at: end, dispatcher, id: id.to_owned() });
            }
        }
    }

    fn check_executions(&mut self) {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for logged in self.events {
            if let Event::Executed { key: Some(key), .. } = &logged.event {
                *runs.entry(key).or_default() += 1;
            }
        }
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        let findings = repeated.map(|(key, runs)| Finding::ExecutedTwice { key: key.to_owned(), runs });
        self.findings.extend(findings);
    }

    /// Each start of a worker that the endpoint list named, once.
    fn worker_starts(&self) -> Vec<WorkerStart> {
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
        self.events.iter().filter_map(start).collect()
    }

    fn check_warm_ups(&mut self) {
        for start in self.worker_starts() {
            let arrivals = self.arrivals_while_warming_up(&start);
            // The widest excess over windows that begin with an arrival: one finding at most for each start.
            let excess = |finding: &Finding| match finding {
                Finding::WarmUpExceeded { jobs, allowed, .. } => jobs - allowed,
                _ => 0.0,
            };
            let exceeded = (0..arrivals.len()).filter_map(|n| self.check_window(&start, &arrivals[n..]));
            let widest = exceeded.max_by(|a, b| excess(a).total_cmp(&excess(b)));
            self.findings.extend(widest);
        }
    }

    fn arrivals_while_warming_up(&self, start: &WorkerStart) -> Vec<Arrival> {
        let end = start.at + self.rules.warm_up_time;
        let mut informed_at: HashMap<usize, u64> = HashMap::new();
        let mut arrivals = Vec::new();
        let names_start = |endpoint: &NotifiedEndpoint| {
            endpoint.worker == start.worker && endpoint.started_ms >= start.started_ms
        };
        for LoggedEvent { at, event } in self.events.iter().take_while(|logged| logged.at <= end) {
            match event {
                Event::Started { dispatcher } => _ = informed_at.remove(dispatcher),
                Event::Notified { dispatcher, endpoints, .. } if endpoints.iter().any(names_start) => {
                    let known_at = self.known_at(*dispatcher, *at);
                    informed_at.entry(*dispatcher).or_insert(known_at);
                }
                Event::Reached { dispatcher, worker, work, .. }
                    if *worker == start.worker && *at >= start.at =>
                {
                    let is_informed = informed_at.get(dispatcher).is_some_and(|since| since <= at);
                    arrivals.push(Arrival { at: *at, work: *work as f64, is_informed });
                }
                _ => {}
            }
        }
        arrivals
    }

    /// The window that begins with the first of these arrivals. It may exceed the mean by chance (two standard deviations and
    /// two jobs), and by work of dispatchers that had not been notified, if that is more than a third.
    fn check_window(&self, start: &WorkerStart, arrivals: &[Arrival]) -> Option<Finding> {
        let rules = self.rules;
        let from = arrivals.first()?.at;
        let (mut work, mut informed_work) = (0.0, 0.0);
        for arrival in arrivals.iter().take_while(|arrival| arrival.at <= from + rules.overload_window) {
            work += arrival.work;
            informed_work += if arrival.is_informed { arrival.work } else { 0.0 };
        }
        let progress = (from - start.at) as f64 / rules.warm_up_time.max(1) as f64;
        let warmth = (rules.initial_capacity + (1.0 - rules.initial_capacity) * progress).min(1.0);
        let budget = rules.overload_multiple * warmth * rules.capacity * rules.overload_window as f64;
        let mean_work = rules.mean_work.max(1) as f64;
        let (jobs, mean_allowed) = (work / mean_work, budget / mean_work);
        let allowed = mean_allowed + 2.0 * mean_allowed.sqrt() + 2.0;
        let is_exceeded = jobs > allowed && informed_work * 3.0 >= work * 2.0;
        is_exceeded.then_some(Finding::WarmUpExceeded { at: from, worker: start.worker, jobs, allowed })
    }
}
