//! What the tests share: a hand-driven dispatcher.
#![allow(dead_code)]

use mothproxy::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const MS: Micros = 1_000;

pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    /// When they are due, the first set first, and how many were set.
    pub timers: BinaryHeap<Reverse<(Micros, u64, TimerId)>>,
    pub timers_set: u64,
    /// The time that the module has taken.
    pub spent: std::time::Duration,
}

impl Node {
    pub fn new(settings: Settings) -> Node {
        Node::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Node {
        let dispatcher = Dispatcher::new(settings, seed).expect("settings agree");
        let spent = std::time::Duration::ZERO;
        Node { dispatcher, now: 1_000 * MS, timers: BinaryHeap::new(), timers_set: 0, spent }
    }

    /// Feeds one event and returns what it led to; timers are kept for `pass`.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let begun = std::time::Instant::now();
        self.dispatcher.handle(self.now, event, &mut actions);
        self.spent += begun.elapsed();
        for action in &actions {
            if let Action::SetTimer(id, after) = action {
                self.timers.push(Reverse((self.now + after, self.timers_set, *id)));
                self.timers_set += 1;
            }
        }
        actions
    }

    /// Lets time pass and fires the timers that fall due.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(Reverse((at, _, id))) = self.timers.peek().copied().filter(|next| next.0.0 <= until) {
            self.timers.pop();
            self.now = self.now.max(at);
            all.extend(self.feed(Event::Timer(id)));
        }
        self.now = until;
        all
    }

    pub fn roster(&mut self, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.feed(Event::EndpointList(ListKind::Cached, entries))
    }

    pub fn report(&mut self, id: u32, cpu: f64, free: f64) -> Vec<Action> {
        let report = LoadReport { cpu: Some(cpu), free_slots: Some(free), ..LoadReport::default() };
        self.echo(id, Outcome::Ok, Some(report))
    }

    /// A report of an idle worker, unless it is this one.
    pub fn report_unless(&mut self, id: u32, silent: WorkerId) -> Vec<Action> {
        if id == silent.0 { Vec::new() } else { self.report(id, 0.1, 4.0) }
    }

    pub fn echo(&mut self, id: u32, outcome: Outcome, report: Option<LoadReport>) -> Vec<Action> {
        self.feed(Event::ProbeResponse(ProbeResponse { worker: WorkerId(id), outcome, elapsed: 300, report }))
    }

    pub fn arrive(&mut self, job: u64, class: u16, time_budget: Micros) -> Vec<Action> {
        self.arrive_sized(job, class, time_budget, 100 * MS)
    }

    pub fn arrive_sized(&mut self, job: u64, class: u16, time_budget: Micros, hint: Micros) -> Vec<Action> {
        let new = NewJob {
            job: JobId(job),
            class: ClassId(class),
            tenant: None,
            key: None,
            deadline: self.now + time_budget,
            hint: Some(hint),
            slots: 1.0,
            memory: None,
            repeat: false,
            estimate: None,
            tenant_weight: None,
        };
        self.feed(Event::Arrived(new))
    }

    pub fn end(&mut self, job: u64, attempt: u32, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        self.end_told(job, attempt, worker, outcome, 5 * MS, None)
    }

    /// An attempt ends after this long, with a report of its worker perhaps.
    pub fn end_told(
        &mut self,
        job: u64,
        attempt: u32,
        worker: WorkerId,
        outcome: Outcome,
        elapsed: Micros,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let (job, is_job_closed) = (JobId(job), outcome == Outcome::Ok);
        self.feed(Event::AttemptEnded(AttemptEnded {
            job,
            attempt,
            worker,
            elapsed,
            is_job_closed,
            outcome,
            report,
        }))
    }
}

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

pub fn sends(actions: &[Action]) -> Vec<(u64, WorkerId)> {
    let send = |a: &Action| match a {
        Action::Send { job, worker, .. } => Some((job.0, *worker)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn probes(actions: &[Action]) -> Vec<WorkerId> {
    actions.iter().filter_map(|a| if let Action::Probe(w) = a { Some(*w) } else { None }).collect()
}

pub fn class(effect: Idempotency) -> Class {
    Class { idempotency: effect, late_weight: 0.5, ..Settings::default().classes[0].clone() }
}
