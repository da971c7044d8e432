//! Drives the decision module by steps, and asserts that what it does keeps the rules.

use crate::common::{self, *};
use crate::steps::*;
use mothproxy::*;
use std::collections::BTreeMap;

/// How long the client of a job waits.
const TIME_BUDGET: Micros = 1_000 * MS;
/// Slots of a worker, as the module takes them by default.
const SLOTS: f64 = 4.0;
/// The work of a job, in seconds.
const JOB_SECONDS: f64 = 0.1;

#[derive(Clone, Copy)]
struct Attempt {
    sent_at: Micros,
    worker: u32,
    /// How it ended, if it has.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it certainly did not run.
    fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// An attempt that has not ended.
#[derive(Clone, Copy)]
struct OpenAttempt {
    job: u64,
    attempt: u32,
    worker: u32,
}

/// A job that is owed one final answer.
struct Job {
    class: JobClass,
    deadline: Micros,
    /// The module has rejected or failed it.
    is_answered: bool,
    /// A worker has served it, or its client has gone.
    is_over: bool,
    attempts: Vec<Attempt>,
}

impl Job {
    fn new(class: JobClass, deadline: Micros) -> Job {
        Job { class, deadline, is_answered: false, is_over: false, attempts: Vec::new() }
    }

    fn is_finished(&self) -> bool {
        self.is_answered || self.is_over
    }

    /// Asserts that a further attempt at this worker breaks no promise, given those that may have run.
    fn assert_may_repeat_at(&self, worker: u32, now: Micros) {
        for earlier in self.attempts.iter().filter(|attempt| !attempt.never_ran()) {
            match self.class {
                JobClass::Idempotent => {}
                JobClass::NonIdempotent => panic!("an unsafe job sent twice"),
                JobClass::KeyedByZone => {
                    assert_within_window(earlier, now);
                    assert_eq!(zone_of(earlier.worker), zone_of(worker), "resent outside its group");
                }
                JobClass::KeyedEverywhere => assert_within_window(earlier, now),
            }
        }
    }
}

fn assert_within_window(earlier: &Attempt, now: Micros) {
    assert!(now <= earlier.sent_at + DEDUPLICATION_WINDOW, "resent after the memory span");
}

fn zone_of(worker: u32) -> u16 {
    (worker % 2) as u16
}

fn entry(id: u32, status: Status, started_at: Option<Micros>) -> EndpointEntry {
    EndpointEntry { zone: ZoneId(zone_of(id)), status, started_at, ..worker(id) }
}

/// An attempt at a worker that was warming up.
struct WarmUpAttempt {
    worker: u32,
    sent_at: Micros,
}

/// The checker: what the module was notified of, what it did, and whether that keeps the rules.
pub struct Checker {
    dispatcher: TestDispatcher,
    settings: Settings,
    jobs: BTreeMap<u64, Job>,
    /// Since when a worker that is listed as draining or gone is.
    stopped_since: BTreeMap<u32, Micros>,
    /// When workers started that did so during the test.
    started_at: BTreeMap<u32, Micros>,
    warm_up_attempts: Vec<WarmUpAttempt>,
    arrived_jobs: u64,
}

impl Checker {
    /// The checker of a module with these settings and the classes of [`JobClass`].
    pub fn new(settings: Settings) -> Checker {
        let settings = Settings {
            classes: JobClass::ALL.iter().map(|class| common::class(class.idempotency())).collect(),
            ..settings
        };
        let mut dispatcher = TestDispatcher::new(settings.clone());
        let list = (0..WORKERS).map(|id| entry(id, Status::Ready, None)).collect();
        dispatcher.load_cached_list(list);
        Checker {
            dispatcher,
            settings,
            jobs: BTreeMap::new(),
            stopped_since: BTreeMap::new(),
            started_at: BTreeMap::new(),
            warm_up_attempts: Vec::new(),
            arrived_jobs: 0,
        }
    }

    fn job_mut(&mut self, id: u64) -> &mut Job {
        self.jobs.get_mut(&id).expect("a known job")
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { job, worker, .. } => self.check_attempt(job.0, worker.0),
                Action::Reject { job, .. } => self.check_rejection(job.0),
                Action::Fail(job) => self.check_answer(job.0),
                _ => {}
            }
        }
    }

    /// Each job has one final answer, in time.
    fn check_answer(&mut self, id: u64) {
        let now = self.dispatcher.now;
        let latest = self.jobs[&id].deadline + self.settings.response_grace;
        let job = self.job_mut(id);
        assert!(!job.is_answered && !job.is_over, "a second final answer");
        assert!(now <= latest, "answered too late");
        job.is_answered = true;
    }

    /// A job is rejected only if it has not run, or may run again at another dispatcher.
    fn check_rejection(&mut self, id: u64) {
        self.check_answer(id);
        let job = &self.jobs[&id];
        let has_not_run = job.attempts.iter().all(Attempt::never_ran);
        let may_run_again = matches!(job.class, JobClass::Idempotent | JobClass::KeyedEverywhere);
        assert!(has_not_run || may_run_again, "refused though it may have run");
    }

    /// An attempt is one that the job's class, the list and the worker's warm-up allow.
    fn check_attempt(&mut self, id: u64, worker: u32) {
        let now = self.dispatcher.now;
        let (max_attempts, may_hedge) = (self.settings.max_attempts as usize, self.settings.may_hedge);
        let job = self.job_mut(id);
        assert!(!job.is_answered && !job.is_over, "sent after the end");
        assert!(job.attempts.len() < max_attempts, "too many attempts");
        let has_open_attempt = job.attempts.iter().any(Attempt::is_open);
        assert!(!has_open_attempt || may_hedge, "two attempts out");
        job.assert_may_repeat_at(worker, now);
        job.attempts.push(Attempt { sent_at: now, worker, outcome: None });
        if let Some(since) = self.stopped_since.get(&worker) {
            assert!(now <= since + self.settings.drain_grace, "sent to a stopped worker");
        }
        self.check_warm_up(worker);
    }

    /// A worker that is warming up gets no more work in a window than it can bear.
    fn check_warm_up(&mut self, worker: u32) {
        let now = self.dispatcher.now;
        let settings = &self.settings;
        let Some(&start) = self.started_at.get(&worker) else { return };
        if now >= start + settings.warm_up_time {
            return;
        }
        self.warm_up_attempts.push(WarmUpAttempt { worker, sent_at: now });
        let since = now.saturating_sub(settings.collapse_window).max(start);
        let in_window = |attempt: &&WarmUpAttempt| attempt.worker == worker && attempt.sent_at > since;
        let work = self.warm_up_attempts.iter().filter(in_window).count() as f64 * JOB_SECONDS;
        let warmed_up = (now - start) as f64 / settings.warm_up_time as f64;
        let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * warmed_up;
        assert!(work <= settings.collapse_multiple * capacity * SLOTS, "a cold worker is pushed over");
    }

    fn pick_open_attempt(&self, pick: usize) -> Option<OpenAttempt> {
        let mut open = Vec::new();
        for (job, state) in &self.jobs {
            for (number, attempt) in state.attempts.iter().enumerate().filter(|(_, a)| a.is_open()) {
                open.push(OpenAttempt { job: *job, attempt: number as u32, worker: attempt.worker });
            }
        }
        (!open.is_empty()).then(|| open[pick % open.len()])
    }

    fn pick_open_job(&self, pick: usize) -> Option<u64> {
        let open: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| !job.is_finished()).map(|(id, _)| *id).collect();
        open.get(pick % open.len().max(1)).copied()
    }

    fn arrive(&mut self, class: u16) -> Vec<Action> {
        self.arrived_jobs += 1;
        let deadline = self.dispatcher.now + TIME_BUDGET;
        let job = Job::new(JobClass::ALL[usize::from(class)], deadline);
        self.jobs.insert(self.arrived_jobs, job);
        self.dispatcher.arrive(self.arrived_jobs, class, TIME_BUDGET)
    }

    fn end_attempt(&mut self, open: OpenAttempt, outcome: Outcome) -> Vec<Action> {
        let OpenAttempt { job: id, attempt, worker } = open;
        let job = self.job_mut(id);
        job.attempts[attempt as usize].outcome = Some(outcome);
        job.is_over |= outcome == Outcome::Ok;
        let closed = job.is_finished();
        let ended = attempt_ended(id, attempt, WorkerId(worker), outcome);
        self.dispatcher.feed(Event::AttemptEnded(AttemptEnded { is_job_closed: closed, ..ended }))
    }

    fn change_list(&mut self, worker: u32, change: ListChange) -> Vec<Action> {
        let now = self.dispatcher.now;
        let (status, started_at) = match change {
            ListChange::Draining => (Status::Draining, None),
            ListChange::Gone => (Status::Gone, None),
            ListChange::Restarted => (Status::Ready, Some(now)),
            ListChange::Ready => (Status::Ready, None),
        };
        if status == Status::Ready {
            self.stopped_since.remove(&worker);
        } else {
            self.stopped_since.entry(worker).or_insert(now);
        }
        if let Some(started_at) = started_at {
            self.started_at.insert(worker, started_at);
        }
        let changed = vec![entry(worker, status, started_at)];
        self.dispatcher.feed(Event::EndpointList(ListKind::Delta, changed))
    }

    fn disconnect(&mut self, job: u64) -> Vec<Action> {
        self.job_mut(job).is_over = true;
        self.dispatcher.feed(Event::ClientDisconnected(JobId(job)))
    }

    /// Asserts that each job has had its final answer, or its end.
    pub fn assert_no_job_lost(&self) {
        for (id, job) in &self.jobs {
            assert!(job.is_finished(), "job {id} was lost");
        }
    }

    /// Lets time pass by the millisecond, so that each action is checked at its own time.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            let actions = self.dispatcher.advance(MS);
            self.check(&actions);
        }
    }

    /// Takes a step, if there is what it is about, and checks what comes of it.
    pub fn take(&mut self, step: &Step) {
        let actions = match *step {
            Step::Arrive { class } => self.arrive(class),
            Step::EndAttempt { pick, outcome } => match self.pick_open_attempt(pick) {
                Some(open) => self.end_attempt(open, OUTCOMES[outcome % OUTCOMES.len()]),
                None => return,
            },
            Step::StartAttempt { pick } => match self.pick_open_attempt(pick) {
                Some(OpenAttempt { job, attempt, .. }) => {
                    self.dispatcher.feed(Event::Started { job: JobId(job), attempt })
                }
                None => return,
            },
            Step::ReportLoad { worker, cpu, free_slots } => {
                let cpu = f64::from(cpu) / f64::from(u8::MAX);
                self.dispatcher.report_load(worker, cpu, f64::from(free_slots))
            }
            Step::ChangeList { worker, change } => self.change_list(worker, change),
            Step::Disconnect { pick } => match self.pick_open_job(pick) {
                Some(job) => self.disconnect(job),
                None => return,
            },
            Step::Advance { milliseconds } => return self.advance(milliseconds),
        };
        self.check(&actions);
    }
}
