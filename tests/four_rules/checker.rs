//! Drives the decision module by steps, and asserts that its actions keep the rules.

use crate::common::{self, *};
use crate::steps::*;
use mothproxy::*;
use std::collections::BTreeMap;

/// The time for which the client of a job waits.
const TIME_BUDGET: Micros = 1_000 * MS;
/// The slots of a worker.
const SLOTS: f64 = 4.0;
/// The work of a job, in seconds.
const JOB_SECONDS: f64 = 0.1;

#[derive(Clone, Copy)]
struct Attempt {
    sent_at: Micros,
    worker: u32,
    /// How the attempt ended; `None` while it is outstanding.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the attempt certainly did not run.
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

/// A job, which must get exactly one final response.
struct Job {
    class: JobClass,
    deadline: Micros,
    /// Whether the module has rejected or failed the job.
    is_answered: bool,
    /// Whether a worker has served the job, or its client has disconnected.
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

    /// Asserts that the job's class allows another attempt at this worker, given the attempts that may have run.
    fn assert_may_repeat_at(&self, worker: u32, now: Micros) {
        for earlier in self.attempts.iter().filter(|attempt| !attempt.never_ran()) {
            match self.class {
                JobClass::Idempotent => {}
                JobClass::NonIdempotent => panic!("a non-idempotent job was sent twice"),
                JobClass::KeyedByZone => {
                    assert_within_window(earlier, now);
                    assert_eq!(zone_of(earlier.worker), zone_of(worker), "resent outside its zone");
                }
                JobClass::KeyedEverywhere => assert_within_window(earlier, now),
            }
        }
    }
}

fn assert_within_window(earlier: &Attempt, now: Micros) {
    assert!(now <= earlier.sent_at + DEDUPLICATION_WINDOW, "resent after the deduplication window");
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

/// Feeds a module with events and checks its actions against the rules.
pub struct Checker {
    dispatcher: TestDispatcher,
    settings: Settings,
    jobs: BTreeMap<u64, Job>,
    /// The workers that are listed as draining or gone, and since when they are.
    stopped_since: BTreeMap<u32, Micros>,
    /// The workers that started during the test, and when they started.
    started_at: BTreeMap<u32, Micros>,
    warm_up_attempts: Vec<WarmUpAttempt>,
    arrived_jobs: u64,
}

impl Checker {
    /// Creates the checker of a module with these settings and the classes of [`JobClass`].
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
        self.jobs.get_mut(&id).expect("unknown job")
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { job, worker, .. } => self.check_attempt(job.0, worker.0),
                Action::Reject { job, .. } => self.check_rejection(job.0),
                Action::Fail(job) => self.check_final_response(job.0),
                _ => {}
            }
        }
    }

    /// Checks that a job gets one final response, in time.
    fn check_final_response(&mut self, id: u64) {
        let now = self.dispatcher.now;
        let latest = self.jobs[&id].deadline + self.settings.response_grace;
        let job = self.job_mut(id);
        assert!(!job.is_answered && !job.is_over, "a second final response");
        assert!(now <= latest, "the final response came too late");
        job.is_answered = true;
    }

    /// Checks that a rejected job has not run, or may run again at another dispatcher.
    fn check_rejection(&mut self, id: u64) {
        self.check_final_response(id);
        let job = &self.jobs[&id];
        let has_not_run = job.attempts.iter().all(Attempt::never_ran);
        let may_run_again = matches!(job.class, JobClass::Idempotent | JobClass::KeyedEverywhere);
        assert!(has_not_run || may_run_again, "rejected although it may have run");
    }

    /// Checks that an attempt is allowed by the job's class, the endpoint list and the worker's warm-up budget.
    fn check_attempt(&mut self, id: u64, worker: u32) {
        let now = self.dispatcher.now;
        let (max_attempts, may_hedge) = (self.settings.max_attempts as usize, self.settings.may_hedge);
        let job = self.job_mut(id);
        assert!(!job.is_answered && !job.is_over, "sent after the final response");
        assert!(job.attempts.len() < max_attempts, "too many attempts");
        let has_open_attempt = job.attempts.iter().any(Attempt::is_open);
        assert!(!has_open_attempt || may_hedge, "two attempts are outstanding");
        job.assert_may_repeat_at(worker, now);
        job.attempts.push(Attempt { sent_at: now, worker, outcome: None });
        if let Some(since) = self.stopped_since.get(&worker) {
            assert!(now <= since + self.settings.drain_grace, "sent to a stopped worker");
        }
        self.check_warm_up(worker);
    }

    /// Checks that a worker that is warming up gets no more work within a collapse window than it can bear.
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
        assert!(
            work <= settings.collapse_multiple * capacity * SLOTS,
            "a worker that is warming up is overloaded"
        );
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

    /// Asserts that each job has had its final response, or has ended otherwise.
    pub fn assert_no_job_lost(&self) {
        for (id, job) in &self.jobs {
            assert!(job.is_finished(), "job {id} was lost");
        }
    }

    /// Advances the time in steps of a millisecond, so that each action is checked at its own time.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            let actions = self.dispatcher.advance(MS);
            self.check(&actions);
        }
    }

    /// Takes a step and checks the resulting actions. A step that needs an attempt or a job does nothing if there is none.
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
