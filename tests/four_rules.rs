//! Random legal event sequences, checked against the four rules by code that shares nothing with rules.rs.

mod common;
use common::*;
use mothproxy::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MEMORY: Micros = 300 * MS;
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

#[derive(Clone, Debug)]
enum Step {
    Arrive(u16),
    End(usize, usize),
    Start(usize),
    LoadReport(u32, u8, u8),
    Roster(u32, u8),
    HangUp(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u16..4).prop_map(Step::Arrive),
        5 => (any::<usize>(), any::<usize>()).prop_map(|(n, o)| Step::End(n, o)),
        2 => any::<usize>().prop_map(Step::Start),
        3 => (0u32..6, any::<u8>(), 0u8..4).prop_map(|(w, c, f)| Step::LoadReport(w, c, f)),
        1 => (0u32..6, 0u8..4).prop_map(|(w, s)| Step::Roster(w, s)),
        1 => any::<usize>().prop_map(Step::HangUp),
        5 => (1u64..200).prop_map(Step::Pass),
    ]
}

#[derive(Clone, Copy)]
struct Sent {
    at: Micros,
    worker: u32,
    ended: Option<Outcome>,
}

#[derive(Clone)]
struct Owed {
    class: usize,
    deadline: Micros,
    answered: bool,
    over: bool,
    sent: Vec<Sent>,
}

/// The checker: what was told, what was done, and whether that keeps the rules.
struct World {
    node: Node,
    settings: Settings,
    jobs: BTreeMap<u64, Owed>,
    stopped: BTreeMap<u32, Micros>,
    cold: BTreeMap<u32, Micros>,
    cold_sent: Vec<(u32, Micros)>,
    next: u64,
}

fn group_of(worker: u32) -> u16 {
    (worker % 2) as u16
}

fn entry(id: u32, status: Status, started_at: Option<Micros>) -> EndpointEntry {
    EndpointEntry { zone: ZoneId(group_of(id)), status, started_at, ..worker(id) }
}

impl World {
    fn new(copies: bool, reports_start: bool, may_probe: bool) -> World {
        let token = |group| Idempotency::IdempotentWithKey { scope: group, window: MEMORY };
        let effects = [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            token(DeduplicationScope::Zone),
            token(DeduplicationScope::All),
        ];
        let settings = Settings {
            classes: effects.into_iter().map(class).collect(),
            may_hedge: copies,
            reports_start,
            may_probe,
            ..Settings::default()
        };
        let mut node = Node::new(settings.clone());
        let roster = (0..6).map(|id| entry(id, Status::Ready, None)).collect();
        node.roster(roster);
        let (jobs, stopped, cold) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        World { node, settings, jobs, stopped, cold, cold_sent: Vec::new(), next: 0 }
    }

    fn judge(&mut self, actions: Vec<Action>) {
        let now = self.node.now;
        for action in actions {
            match action {
                Action::Send { job, worker, .. } => self.judge_send(now, job.0, worker.0),
                Action::Reject { job, .. } => {
                    self.answer(now, job.0);
                    let job = &self.jobs[&job.0];
                    let proven = job.sent.iter().all(|s| s.ended.is_some_and(Outcome::never_ran));
                    assert!(proven || matches!(job.class, 0 | 3), "refused though it may have run");
                }
                Action::Fail(job) => self.answer(now, job.0),
                _ => {}
            }
        }
    }

    fn answer(&mut self, now: Micros, id: u64) {
        let job = self.jobs.get_mut(&id).expect("a known job");
        assert!(!job.answered && !job.over, "a second final answer");
        assert!(now <= job.deadline + self.settings.response_grace, "answered too late");
        job.answered = true;
    }

    fn judge_send(&mut self, now: Micros, id: u64, worker: u32) {
        let job = self.jobs.get_mut(&id).expect("a known job");
        assert!(!job.answered && !job.over, "sent after the end");
        assert!(job.sent.len() < self.settings.max_attempts as usize, "too many attempts");
        let out = job.sent.iter().any(|s| s.ended.is_none());
        assert!(!out || self.settings.may_hedge, "two attempts out");
        for old in job.sent.iter().filter(|s| !s.ended.is_some_and(Outcome::never_ran)) {
            match job.class {
                0 => {}
                1 => panic!("an unsafe job sent twice"),
                class => {
                    assert!(now <= old.at + MEMORY, "resent after the memory span");
                    assert!(
                        class == 3 || group_of(old.worker) == group_of(worker),
                        "resent outside its group"
                    );
                }
            }
        }
        job.sent.push(Sent { at: now, worker, ended: None });
        if let Some(told) = self.stopped.get(&worker) {
            assert!(now <= told + self.settings.drain_grace, "sent to a stopped worker");
        }
        if let Some(&start) = self.cold.get(&worker).filter(|s| now < **s + self.settings.warm_up_time) {
            self.cold_sent.push((worker, now));
            let since = now.saturating_sub(self.settings.collapse_window).max(start);
            let work = self.cold_sent.iter().filter(|s| s.0 == worker && s.1 > since).count() as f64 * 0.1;
            let grown = (now - start) as f64 / self.settings.warm_up_time as f64;
            let share = self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * grown;
            assert!(work <= self.settings.collapse_multiple * share * 4.0, "a cold worker is pushed over");
        }
    }

    fn pick_out(&self, n: usize) -> Option<(u64, u32, u32)> {
        let outs = self.jobs.iter().flat_map(|(id, job)| {
            let open = job.sent.iter().enumerate().filter(|(_, s)| s.ended.is_none());
            open.map(move |(a, s)| (*id, a as u32, s.worker))
        });
        let outs: Vec<_> = outs.collect();
        (!outs.is_empty()).then(|| outs[n % outs.len()])
    }

    fn end(&mut self, (id, attempt, worker): (u64, u32, u32), outcome: Outcome) {
        let job = self.jobs.get_mut(&id).expect("a known job");
        job.sent[attempt as usize].ended = Some(outcome);
        let done = job.answered || job.over || outcome == Outcome::Ok;
        job.over |= outcome == Outcome::Ok;
        let (job, worker) = (JobId(id), WorkerId(worker));
        let end = AttemptEnded {
            job,
            attempt,
            worker,
            elapsed: 5 * MS,
            is_job_closed: done,
            outcome,
            report: None,
        };
        let actions = self.node.feed(Event::AttemptEnded(end));
        self.judge(actions);
    }

    #[allow(clippy::needless_pass_by_value, reason = "callers pass what they have just made")]
    fn take(&mut self, step: Step) {
        let actions = match step {
            Step::Arrive(class) => {
                self.next += 1;
                let deadline = self.node.now + 1_000 * MS;
                let (class_no, sent) = (usize::from(class), Vec::new());
                let owed = Owed { class: class_no, deadline, answered: false, over: false, sent };
                self.jobs.insert(self.next, owed);
                self.node.arrive(self.next, class, 1_000 * MS)
            }
            Step::End(n, outcome) => {
                if let Some(out) = self.pick_out(n) {
                    self.end(out, OUTCOMES[outcome % OUTCOMES.len()]);
                }
                return;
            }
            Step::Start(n) => match self.pick_out(n) {
                Some((job, attempt, _)) => self.node.feed(Event::Started { job: JobId(job), attempt }),
                None => return,
            },
            Step::LoadReport(id, cpu, free) => self.node.report(id, f64::from(cpu) / 255.0, f64::from(free)),
            Step::Roster(id, status) => {
                let now = self.node.now;
                let (status, started) = match status {
                    0 => (Status::Draining, None),
                    1 => (Status::Gone, None),
                    2 => (Status::Ready, Some(now)),
                    _ => (Status::Ready, None),
                };
                if status == Status::Ready {
                    self.stopped.remove(&id);
                    started.map(|s| self.cold.insert(id, s));
                } else {
                    self.stopped.entry(id).or_insert(now);
                }
                self.node.feed(Event::EndpointList(ListKind::Delta, vec![entry(id, status, started)]))
            }
            Step::HangUp(n) => {
                let open: Vec<u64> =
                    self.jobs.iter().filter(|(_, j)| !j.answered && !j.over).map(|(id, _)| *id).collect();
                let Some(id) = open.get(n % open.len().max(1)) else { return };
                self.jobs.get_mut(id).expect("a known job").over = true;
                self.node.feed(Event::ClientDisconnected(JobId(*id)))
            }
            Step::Pass(span) => {
                // Step by step, so that each action is judged at its own time.
                for _ in 0..span {
                    let actions = self.node.pass(MS);
                    self.judge(actions);
                }
                return;
            }
        };
        self.judge(actions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_128),
        ..ProptestConfig::default()
    })]

    #[test]
    fn four_rules_hold(
        steps in prop::collection::vec(step(), 1..150),
        copies: bool,
        reports_start: bool,
        may_probe: bool,
    ) {
        let mut world = World::new(copies, reports_start, may_probe);
        for step in steps {
            world.take(step);
        }
        for _ in 0..60 {
            world.take(Step::Pass(25));
        }
        for (id, job) in &world.jobs {
            prop_assert!(job.answered || job.over, "job {} was lost", id);
        }
    }
}
