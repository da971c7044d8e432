//! A decision module on a virtual clock, which a test drives with events and by advancing the time.
#![allow(dead_code)] // Each test binary uses only a part of this module.

use mothproxy::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The number of microseconds in a millisecond.
pub const MS: Micros = 1_000;

/// The initial time of a [`TestDispatcher`].
pub const CLOCK_START: Micros = 1_000 * MS;

/// The seed of a [`TestDispatcher`] if the test does not choose one.
const DEFAULT_SEED: u64 = 7;

/// The duration of an attempt that [`TestDispatcher::end_attempt`] ends.
const ATTEMPT_TIME: Micros = 5 * MS;

/// The duration of a probe.
const PROBE_TIME: Micros = 300;

/// The expected run time of a job of [`TestDispatcher::arrive`].
const JOB_TIME: Micros = 100 * MS;

/// A timer that the module has set. The order of the fields is the order in which timers fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingTimer {
    /// The time at which the timer fires.
    pub due: Micros,
    /// The number of timers set before this one. Of timers due at the same time, the one set first fires first.
    number: u64,
    id: TimerId,
}

/// The decision module of one dispatcher, with a virtual clock and its pending timers.
pub struct TestDispatcher {
    /// The decision module.
    pub dispatcher: Dispatcher,
    /// The virtual time.
    pub now: Micros,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    timers_set: u64,
    /// The real time that the module has spent on its events.
    pub time_spent: std::time::Duration,
}

impl TestDispatcher {
    /// Creates a module with these settings and the default seed.
    pub fn new(settings: Settings) -> TestDispatcher {
        TestDispatcher::with_seed(settings, DEFAULT_SEED)
    }

    /// Creates a module with these settings and this seed.
    pub fn with_seed(settings: Settings, seed: u64) -> TestDispatcher {
        TestDispatcher {
            dispatcher: Dispatcher::new(settings, seed).expect("inconsistent settings"),
            now: CLOCK_START,
            timers: BinaryHeap::new(),
            timers_set: 0,
            time_spent: std::time::Duration::ZERO,
        }
    }

    /// Feeds one event and returns the resulting actions. Timers are recorded for [`TestDispatcher::advance`].
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let started = std::time::Instant::now();
        self.dispatcher.handle(self.now, event, &mut actions);
        self.time_spent += started.elapsed();
        for action in &actions {
            if let Action::SetTimer(id, after) = action {
                let timer = PendingTimer { due: self.now + after, number: self.timers_set, id: *id };
                self.timers.push(Reverse(timer));
                self.timers_set += 1;
            }
        }
        actions
    }

    /// The time at which the next timer is due, if one is pending.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(timer)| timer.due)
    }

    /// The number of pending timers.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Advances the time by `span`, fires the timers that become due, and returns the resulting actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while let Some(Reverse(timer)) = self.timers.peek().copied().filter(|next| next.0.due <= until) {
            self.timers.pop();
            self.now = self.now.max(timer.due);
            actions.extend(self.feed(Event::Timer(timer.id)));
        }
        self.now = until;
        actions
    }

    /// Feeds a complete endpoint list as if it had been cached before the start.
    pub fn load_cached_list(&mut self, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.feed(Event::EndpointList(ListKind::Cached, entries))
    }

    /// Ends a probe of a worker with a load report of this CPU utilisation (0 to 1) and this many free slots.
    pub fn report_load(&mut self, id: u32, cpu: f64, free_slots: f64) -> Vec<Action> {
        let report = LoadReport { cpu: Some(cpu), free_slots: Some(free_slots), ..LoadReport::default() };
        self.end_probe(id, Outcome::Ok, Some(report))
    }

    /// Reports that a worker is nearly idle, unless it is the worker `silent`.
    pub fn report_idle_unless(&mut self, id: u32, silent: WorkerId) -> Vec<Action> {
        if id == silent.0 { Vec::new() } else { self.report_load(id, 0.1, 4.0) }
    }

    /// Ends a probe of a worker with this outcome.
    pub fn end_probe(&mut self, id: u32, outcome: Outcome, report: Option<LoadReport>) -> Vec<Action> {
        let response = ProbeResponse { worker: WorkerId(id), outcome, elapsed: PROBE_TIME, report };
        self.feed(Event::ProbeResponse(response))
    }

    /// Lets a job of this class arrive, whose client waits for `time_budget`.
    pub fn arrive(&mut self, job: u64, class: u16, time_budget: Micros) -> Vec<Action> {
        self.arrive_sized(job, class, time_budget, JOB_TIME)
    }

    /// Lets a job of this class arrive with a hint at its run time.
    pub fn arrive_sized(&mut self, job: u64, class: u16, time_budget: Micros, hint: Micros) -> Vec<Action> {
        let new = NewJob {
            job: JobId(job),
            class: ClassId(class),
            tenant: None,
            subject: None,
            deadline: self.now + time_budget,
            hint: Some(hint),
            slots: 1.0,
            memory: None,
            is_retry: false,
            estimate: None,
            tenant_weight: None,
        };
        self.feed(Event::Arrived(new))
    }

    /// Ends an attempt as [`attempt_ended`] describes it.
    pub fn end_attempt(&mut self, job: u64, attempt: u32, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        self.feed(Event::AttemptEnded(attempt_ended(job, attempt, worker, outcome)))
    }
}

/// The end of an attempt after [`ATTEMPT_TIME`], without a load report. An attempt that succeeds closes its job.
pub fn attempt_ended(job: u64, attempt: u32, worker: WorkerId, outcome: Outcome) -> AttemptEnded {
    AttemptEnded {
        job: JobId(job),
        attempt,
        worker,
        elapsed: ATTEMPT_TIME,
        is_job_closed: outcome == Outcome::Ok,
        outcome,
        report: None,
    }
}

/// The list entry of a ready worker of weight 1 in zone, kind and cell 0 that started long ago.
pub fn worker(id: u32) -> EndpointEntry {
    EndpointEntry {
        worker: WorkerId(id),
        tag: u64::from(id),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        status: Status::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// The list entries of `count` ready workers, numbered from 0.
pub fn workers(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(worker).collect()
}

/// The attempts that the module sends: each job with its worker.
pub fn sends(actions: &[Action]) -> Vec<(u64, WorkerId)> {
    let send = |action: &Action| match action {
        Action::Send { job, worker, .. } => Some((job.0, *worker)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The workers that the module probes.
pub fn probes(actions: &[Action]) -> Vec<WorkerId> {
    let probe = |action: &Action| match action {
        Action::Probe(worker) => Some(*worker),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

/// A datagram that the module sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDatagram {
    /// The index of the receiving peer.
    pub to: u32,
    /// The content of the datagram.
    pub bytes: Vec<u8>,
}

/// The datagrams that the module sends to its peers.
pub fn peer_datagrams(actions: &[Action]) -> Vec<PeerDatagram> {
    let datagram = |action: &Action| match action {
        Action::SendToPeer { to, bytes } => Some(PeerDatagram { to: *to, bytes: bytes.clone() }),
        _ => None,
    };
    actions.iter().filter_map(datagram).collect()
}

/// The content of the datagrams that the module sends to this peer.
pub fn datagrams_to(actions: &[Action], peer: u32) -> Vec<Vec<u8>> {
    peer_datagrams(actions).into_iter().filter(|datagram| datagram.to == peer).map(|d| d.bytes).collect()
}

/// The default class with this idempotency. A late response keeps half of its weight.
pub fn class(idempotency: Idempotency) -> Class {
    Class { idempotency, late_weight: 0.5, ..Settings::default().classes[0].clone() }
}

/// The default settings with this one class of jobs.
pub fn settings_with(class: Class) -> Settings {
    Settings { classes: vec![class], ..Settings::default() }
}

/// The default settings for workers that report the start of jobs, with one class of idempotent jobs.
pub fn settings_with_start_reports() -> Settings {
    Settings { reports_start: true, ..settings_with(class(Idempotency::Idempotent)) }
}
