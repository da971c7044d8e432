//! The lifecycle of a request: attempts, callbacks, deadlines, and exactly one final response.

use crate::harness::{CoreHarness, MS, StartedAttempt, responses, started};
use mothproxy::core::send_gate::{MAX_PERMIT_AGE, SendConditions, SendPermit, SendRefusal, SendTally};
use mothproxy::core::{AttemptId, AttemptOutcome, Command, FinalResponse, JobStatus, RequestId};
use mothproxy::{Outcome, WorkerId};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn responds_with_the_first_result_and_ignores_later_ones() {
    let mut harness = CoreHarness::new(2);
    let id = harness.accept(0, 5_000 * MS).expect("the request was not accepted");
    let worker = started(&harness.advance(5 * MS))[0].worker;
    // The callback may arrive before the worker's 202 response. A worker tries a callback up to ten times; only the first counts.
    assert!(harness.report_status("job-1", worker, JobStatus::Done(b"ok".to_vec())));
    assert!(!harness.report_status("job-1", worker, JobStatus::Done(b"again".to_vec())));
    let served = FinalResponse::Served(b"ok".to_vec());
    assert_eq!(responses(&harness.advance(20 * MS)), [(id, served)]);
    assert!(!harness.report_status("job-1", worker, JobStatus::Done(b"late".to_vec())));
    assert_eq!(
        (harness.core.ledger().served(), harness.core.ledger().open(), harness.core.stale_status_callbacks()),
        (1, 0, 2)
    );
}

#[test]
fn ignores_status_of_unknown_requests_and_from_other_workers() {
    let mut harness = CoreHarness::new(2);
    harness.accept(0, 5_000 * MS);
    let worker = started(&harness.advance(5 * MS))[0].worker;
    let other = WorkerId(1 - worker.0);
    assert!(!harness.report_status("job-1", other, JobStatus::Done(b"no".to_vec())));
    assert!(!harness.core.on_job_status(harness.now, "job-9", "s-0", JobStatus::Lost, None));
    assert!(!harness.core.on_job_status(harness.now, "job-1", "s-9", JobStatus::Lost, None));
    assert_eq!(responses(&harness.advance(5 * MS)), []);
}

#[test]
fn does_not_accept_the_name_of_an_open_request() {
    let mut harness = CoreHarness::new(1);
    assert!(harness.accept_named("x", 0, 5_000 * MS).is_some());
    assert!(harness.accept_named("x", 0, 5_000 * MS).is_none());
    assert_eq!(harness.core.ledger().accepted(), 1);
}

/// A rejection assures the client that nothing ran, so a request that may have run must fail instead.
#[test]
fn fails_and_does_not_reject_what_may_have_run() {
    let mut harness = CoreHarness::new(1);
    harness.accept(1, 1_000 * MS).expect("the request was not accepted");
    let attempt = started(&harness.advance(5 * MS))[0].id;
    harness.core.on_attempt_ended(harness.now, attempt, AttemptOutcome::Unserved(Outcome::Reset), None);
    let all = responses(&harness.advance(1_050 * MS));
    assert!(matches!(all[..], [(_, FinalResponse::Failed | FinalResponse::TimedOut)]), "{all:?}");
}

/// The decision to send an attempt may be out of date by the time that its bytes can be written.
#[test]
fn writes_only_before_the_deadline_and_within_the_idempotency_window() {
    let mut harness = CoreHarness::new(2);
    let id = harness.accept(1, 5_000 * MS).expect("the request was not accepted");
    let first = started(&harness.advance(5 * MS))[0].id;
    let at = harness.now;
    let check = |harness: &CoreHarness, now, attempt, transit_time| {
        harness.core.check_send(now, attempt, conditions(transit_time)).map(|permit| permit.time_left)
    };
    assert_eq!(check(&harness, at, first, 0), Ok(4_995 * MS), "the time since the arrival is over");
    assert_eq!(check(&harness, at + 5_000 * MS, first, 0), Err(SendRefusal::TimeOver));
    harness.core.on_attempt_ended(harness.now, first, AttemptOutcome::Unserved(Outcome::Reset), None);
    assert_eq!(check(&harness, at, first, 0), Err(SendRefusal::AttemptEnded));
    let second = (0..100).find_map(|_| started(&harness.advance(20 * MS)).pop());
    let second = second.expect("no second attempt in the same cell").id;
    assert!(check(&harness, harness.now, second, 0).is_ok());
    let late = check(&harness, harness.now, second, 40_000 * MS);
    assert_eq!(late, Err(SendRefusal::MayHaveRun), "the attempt would arrive after the window");
    harness.core.on_client_disconnected(harness.now, id);
    assert_eq!(check(&harness, harness.now, second, 0), Err(SendRefusal::RequestEnded));
}

/// A worker that drains gets no new attempt, and the rest of one that has begun.
#[test]
fn a_draining_worker_gets_only_the_rest_of_what_has_begun() {
    let mut harness = CoreHarness::new(1);
    harness.accept(0, 5_000 * MS).expect("the request was not accepted");
    let attempt = started(&harness.advance(5 * MS))[0].id;
    let draining = SendConditions { is_worker_available: false, ..conditions(0) };
    let withheld = harness.core.check_send(harness.now, attempt, draining);
    assert_eq!(withheld, Err(SendRefusal::WorkerUnavailable));
    let begun = SendConditions { has_begun: true, ..draining };
    assert!(harness.core.check_send(harness.now, attempt, begun).is_ok());
}

/// A permit that is used late, because the process was held up, is counted.
#[test]
fn permits_that_are_used_late_are_counted() {
    let permit = SendPermit { granted_at: 1_000, time_left: 5_000 * MS };
    let mut tally = SendTally::default();
    tally.record_sent(permit, 1_000 + MAX_PERMIT_AGE);
    tally.record_sent(permit, 1_001 + MAX_PERMIT_AGE);
    tally.record_refusal(SendRefusal::TimeOver);
    let text = "request_ended=0 attempt_ended=0 time_over=1 may_have_run=0 worker_unavailable=0 outdated=1";
    assert_eq!(tally.to_string(), text);
}

/// The conditions of an attempt to a worker that takes work, of which nothing was sent.
fn conditions(transit_time: u64) -> SendConditions {
    SendConditions { transit_time, is_worker_available: true, has_begun: false }
}

#[test]
fn times_out_at_the_deadline_when_the_worker_is_silent() {
    let mut harness = CoreHarness::new(1);
    let id = harness.accept(1, 800 * MS).expect("the request was not accepted");
    let from = harness.now;
    assert_eq!(started(&harness.advance(5 * MS)).len(), 1);
    assert_eq!(responses(&harness.advance(780 * MS)), []);
    let all = harness.advance(30 * MS);
    assert_eq!(responses(&all), [(id, FinalResponse::TimedOut)]);
    assert!(
        all.iter().any(|c| matches!(c, Command::CancelAttempt { .. })),
        "no cancellation was sent to the worker"
    );
    assert!(harness.now <= from + 850 * MS);
}

/// Regression: after a late turn, as on an overloaded machine, the core itself responded before the decision module could, and
/// debug builds failed at an invariant.
#[test]
fn the_decision_module_responds_first_after_a_late_turn() {
    let mut harness = CoreHarness::new(1);
    let id = harness.accept(1, 200 * MS).expect("the request was not accepted");
    let worker = started(&harness.advance(10 * MS))[0].worker;
    assert!(harness.report_status("job-1", worker, JobStatus::Started));
    harness.advance(0);
    harness.now += 900 * MS;
    assert_eq!(responses(&harness.advance(0)), [(id, FinalResponse::TimedOut)]);
    assert!(responses(&harness.advance(100 * MS)).is_empty());
}

#[test]
fn serves_an_open_request_with_the_result_of_an_ended_attempt() {
    let mut harness = CoreHarness::new(3);
    let id = harness.accept(0, 7_000 * MS).expect("the request was not accepted");
    let first = started(&harness.advance(5 * MS))[0].worker;
    let attempt = AttemptId { request_id: id, number: 0 };
    harness.core.on_attempt_ended(harness.now, attempt, AttemptOutcome::Unserved(Outcome::Timeout), None);
    assert!(harness.report_status("job-1", first, JobStatus::Done(b"late".to_vec())));
    assert_eq!(responses(&harness.advance(10 * MS)), [(id, FinalResponse::Served(b"late".to_vec()))]);
    assert_eq!(harness.core.ledger().served(), 1);
}

#[test]
fn sends_nothing_after_the_client_disconnected() {
    let mut harness = CoreHarness::new(1);
    let id = harness.accept(0, 5_000 * MS).expect("the request was not accepted");
    harness.core.on_client_disconnected(harness.now, id);
    let all = harness.advance(6_000 * MS);
    assert_eq!((started(&all), responses(&all)), (vec![], vec![]));
    assert_eq!((harness.core.ledger().disconnected(), harness.core.ledger().open()), (1, 0));
}

#[test]
fn the_next_batch_waits_for_the_batch_interval() {
    let mut harness = CoreHarness::new(1);
    harness.advance(10 * MS);
    harness.core.turn(harness.now);
    harness.accept(0, 5_000 * MS);
    harness.core.turn(harness.now);
    let first = std::iter::from_fn(|| harness.core.next_command()).count();
    assert!(first > 0, "an idle core did not handle the event at once");
    harness.accept(0, 5_000 * MS);
    harness.core.turn(harness.now + MS);
    assert_eq!(harness.core.next_command(), None, "the next batch is due 2 ms after the first");
    harness.core.turn(harness.now + 2 * MS);
    assert!(harness.core.next_command().is_some());
}

#[test]
fn fails_all_open_requests_at_once() {
    let mut harness = CoreHarness::new(1);
    for _ in 0..5 {
        harness.accept(0, 5_000 * MS);
    }
    harness.advance(10 * MS);
    harness.core.fail_all(harness.now);
    assert_eq!((harness.core.ledger().failed(), harness.core.ledger().open()), (5, 0));
}

/// Random events of requests. Each request has exactly one entry in the ledger and at most one final response, and no attempt is
/// sent after that response. No second attempt is sent to a worker that may run the first, whatever callbacks it repeats.
#[test]
fn each_request_gets_exactly_one_final_response() {
    for seed in 0..150 {
        let random = &mut Gen::from_size_and_seed(32, seed);
        let mut harness = CoreHarness::new(3);
        let mut audit = Audit::default();
        for _ in 0..80 {
            random_event(random, &mut harness, &mut audit);
            audit.check(&harness.advance(u64::from(u8::arbitrary(random)) * MS));
        }
        audit.check(&harness.advance(1_000 * MS));
        let ledger = harness.core.ledger();
        assert_eq!((ledger.accepted(), ledger.open()), (harness.offered, 0), "seed {seed}: {ledger:?}");
        assert!(audit.responses.values().all(|count| *count == 1), "seed {seed}");
        let responses = audit.responses.len() as u64;
        assert_eq!(responses + ledger.disconnected(), ledger.accepted(), "seed {seed}");
    }
}

fn random_event(random: &mut Gen, harness: &mut CoreHarness, audit: &mut Audit) {
    match u8::arbitrary(random) % 9 {
        0..=2 => drop(harness.accept(u16::from(bool::arbitrary(random)), 400 * MS)),
        3 if harness.offered > 0 => {
            let id = RequestId(u64::arbitrary(random) % harness.offered);
            harness.core.on_client_disconnected(harness.now, id);
        }
        4 | 5 if !audit.started.is_empty() => {
            let attempt = audit.random_attempt(random);
            end_attempt(random, harness, audit, attempt);
        }
        7 if !audit.started.is_empty() => {
            let attempt = audit.random_attempt(random);
            harness.report_status(&attempt.request_name(), attempt.worker, JobStatus::Returned);
        }
        6 if !audit.started.is_empty() => {
            let attempt = audit.random_attempt(random).id;
            harness.core.on_attempt_status(harness.now, attempt, JobStatus::Started, None);
        }
        _ => {}
    }
}

fn end_attempt(random: &mut Gen, harness: &mut CoreHarness, audit: &mut Audit, ended: StartedAttempt) {
    let never_ran = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent];
    let outcomes = [&never_ran[..], &[Outcome::Reset, Outcome::Error]].concat();
    let outcome = match random.choose(&outcomes) {
        Some(outcome) if bool::arbitrary(random) => AttemptOutcome::Unserved(*outcome),
        _ => AttemptOutcome::Done(Vec::new()),
    };
    let has_never_run = matches!(outcome, AttemptOutcome::Unserved(outcome) if never_ran.contains(&outcome));
    let StartedAttempt { id, worker } = ended;
    if harness.core.on_attempt_ended(harness.now, id, outcome, None) && has_never_run {
        audit.may_have_run.remove(&(id.request_id, worker));
    }
}

/// The commands of the core so far.
#[derive(Default)]
struct Audit {
    started: Vec<StartedAttempt>,
    /// Requests and the workers that may have run them, or may still run them.
    may_have_run: BTreeSet<(RequestId, WorkerId)>,
    /// The number of final responses to each request.
    responses: BTreeMap<RequestId, u32>,
}

impl Audit {
    fn random_attempt(&self, random: &mut Gen) -> StartedAttempt {
        self.started[usize::arbitrary(random) % self.started.len()]
    }

    fn check(&mut self, commands: &[Command]) {
        for command in commands {
            match *command {
                Command::StartAttempt { attempt, worker } => {
                    let request_id = attempt.request_id;
                    assert!(
                        !self.responses.contains_key(&request_id),
                        "an attempt of request {request_id} was sent after the final response"
                    );
                    let is_first = self.may_have_run.insert((request_id, worker));
                    assert!(
                        is_first,
                        "request {request_id} got a second attempt at worker {} although the first may run",
                        worker.0
                    );
                    self.started.push(StartedAttempt { id: attempt, worker });
                }
                Command::Respond { request_id, .. } => {
                    *self.responses.entry(request_id).or_default() += 1;
                }
                _ => {}
            }
        }
    }
}
