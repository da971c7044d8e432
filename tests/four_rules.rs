//! Random legal event sequences, checked against the four rules by code that shares nothing with `src/policy/rules`.

mod common;
use common::*;
use mothproxy::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// How long a worker remembers an idempotency key.
const DEDUPLICATION_WINDOW: Micros = 300 * MS;
/// How long the client of a job waits.
const TIME_BUDGET: Micros = 1_000 * MS;
/// Workers of the list.
const WORKERS: u32 = 6;
/// Slots of a worker, as the module takes them by default.
const SLOTS: f64 = 4.0;
/// The work of a job, in seconds.
const JOB_SECONDS: f64 = 0.1;
/// How an attempt may end; a full worker is twice as likely as any other end.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Full,
];

/// The classes of jobs, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobClass {
    Idempotent,
    NonIdempotent,
    /// Repeated within the window and within one zone only.
    KeyedByZone,
    /// Repeated within the window, anywhere.
    KeyedEverywhere,
}

impl JobClass {
    const ALL: [JobClass; 4] =
        [JobClass::Idempotent, JobClass::NonIdempotent, JobClass::KeyedByZone, JobClass::KeyedEverywhere];

    fn idempotency(self) -> Idempotency {
        let window = DEDUPLICATION_WINDOW;
        match self {
            JobClass::Idempotent => Idempotency::Idempotent,
            JobClass::NonIdempotent => Idempotency::NonIdempotent,
            JobClass::KeyedByZone => {
                Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, window }
            }
            JobClass::KeyedEverywhere => {
                Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window }
            }
        }
    }
}

/// One event. A `pick` chooses among what is there when the step is taken.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: u16 },
    EndAttempt { pick: usize, outcome: usize },
    StartAttempt { pick: usize },
    ReportLoad { worker: u32, cpu: u8, free_slots: u8 },
    ChangeList { worker: u32, change: ListChange },
    Disconnect { pick: usize },
    Advance { milliseconds: u64 },
}

/// What discovery says of a worker.
#[derive(Clone, Copy, Debug)]
enum ListChange {
    Draining,
    Gone,
    /// Ready, and just started.
    Restarted,
    Ready,
}

impl ListChange {
    const ALL: [ListChange; 4] =
        [ListChange::Draining, ListChange::Gone, ListChange::Restarted, ListChange::Ready];
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u16..4).prop_map(|class| Step::Arrive { class }),
        5 => (any::<usize>(), any::<usize>()).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        2 => any::<usize>().prop_map(|pick| Step::StartAttempt { pick }),
        3 => (0..WORKERS, any::<u8>(), 0u8..4)
            .prop_map(|(worker, cpu, free_slots)| Step::ReportLoad { worker, cpu, free_slots }),
        1 => (0..WORKERS, 0u8..4).prop_map(|(worker, change)| {
            Step::ChangeList { worker, change: ListChange::ALL[usize::from(change)] }
        }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        5 => (1u64..200).prop_map(|milliseconds| Step::Advance { milliseconds }),
    ]
}

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
struct Checker {
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
    fn new(settings: Settings) -> Checker {
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
        let latest = self.jobs[&id].deadline + self.settings.answer_slack;
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
        self.dispatcher.feed(Event::AttemptEnded(AttemptEnded { closed, ..ended }))
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

    /// Lets time pass by the millisecond, so that each action is checked at its own time.
    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            let actions = self.dispatcher.advance(MS);
            self.check(&actions);
        }
    }

    fn take(&mut self, step: &Step) {
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

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_128),
        ..ProptestConfig::default()
    })]

    /// Whatever happens in whatever order: each job has one final answer in time, runs as often as its class allows, goes to no
    /// worker that has stopped, and pushes none over that is warming up.
    #[test]
    fn four_rules_hold(
        steps in prop::collection::vec(step(), 1..150),
        may_hedge: bool,
        reports_start: bool,
        may_probe: bool,
    ) {
        let settings = Settings { may_hedge, reports_start, may_probe, ..Settings::default() };
        let mut checker = Checker::new(settings);
        for step in &steps {
            checker.take(step);
        }
        // Longer than any client waits.
        for _ in 0..60 {
            checker.advance(25);
        }
        for (id, job) in &checker.jobs {
            prop_assert!(job.is_finished(), "job {} was lost", id);
        }
    }
}
