//! Retries, hedged attempts and rejections: when a job is sent again, and when it is given up.

use crate::common::*;
use crate::{TIME_BUDGET, class_without_late_weight, dispatcher_for};
use mothproxy::*;

fn is_rejection(action: &Action) -> bool {
    matches!(action, Action::Reject { .. })
}

/// After two rejections the third attempt waits, and is sent before the deadline. Otherwise, during a deployment, workers reject
/// all attempts of a job within milliseconds, and the dispatcher rejects the job.
#[test]
fn retries_after_rejections_are_spread_over_the_time_left() {
    let mut dispatcher = dispatcher_for(Idempotency::NonIdempotent);
    dispatcher.load_cached_list(workers(8));
    let mut sent = sends(&dispatcher.arrive(1, 0, TIME_BUDGET));
    for attempt in 0..2 {
        let to = sent[attempt as usize].1;
        sent.extend(sends(&dispatcher.end_attempt(1, attempt, to, Outcome::Rejected)));
    }
    assert_eq!(sent.len(), 2, "the third attempt waits");
    assert_eq!(sends(&dispatcher.advance(TIME_BUDGET)).len(), 1);
}

/// The number of attempts of a job that followed the end of another one: at once, and within a window after it.
#[derive(Debug, PartialEq, Eq)]
struct FollowingAttempts {
    at_once: usize,
    later: usize,
}

/// An attempt that was never sent does not count towards the maximum number of attempts, however often this happens, and the
/// attempts that follow are spread over time.
#[test]
fn an_unsent_attempt_does_not_count() {
    let mut dispatcher = dispatcher_for(Idempotency::NonIdempotent);
    dispatcher.load_cached_list(workers(8));
    let mut sent = sends(&dispatcher.arrive(1, 0, TIME_BUDGET));
    let mut end_newest = |outcome| {
        let newest = sent.len() - 1;
        let (_, worker) = sent[newest];
        let at_once = sends(&dispatcher.end_attempt(1, newest as u32, worker, outcome));
        let later = sends(&dispatcher.advance(150 * MS));
        sent.extend(at_once.iter().chain(&later));
        FollowingAttempts { at_once: at_once.len(), later: later.len() }
    };
    assert_eq!(end_newest(Outcome::NeverSent), FollowingAttempts { at_once: 1, later: 0 });
    for _ in 0..5 {
        assert_eq!(end_newest(Outcome::NeverSent), FollowingAttempts { at_once: 0, later: 1 });
    }
    let mut more = 0;
    for _ in 0..200 {
        let FollowingAttempts { at_once, later } = end_newest(Outcome::Rejected);
        more += at_once + later;
    }
    assert_eq!(more + 1, Settings::default().max_attempts as usize, "one attempt is already outstanding");
}

/// A job that does not start at a silent worker is hedged after half of its slack, and the first start cancels the other attempt.
/// Otherwise jobs wait at hung workers. A job at a worker that has shown a sign of life since is not hedged: where workers do not
/// honour cancellation, a hedged attempt costs the work of a whole job.
#[test]
fn hedges_an_unstarted_job_at_a_silent_worker_and_cancels_the_other_attempt() {
    let settings = settings_with_start_reports();
    let mut dispatcher = TestDispatcher::new(settings.clone());
    dispatcher.load_cached_list(workers(3));
    let first = sends(&dispatcher.arrive(1, 0, TIME_BUDGET))[0].1;
    assert_eq!(sends(&dispatcher.advance(30 * MS)), [], "it is not hedged at the first delay");
    for id in 0..3 {
        dispatcher.report_idle_unless(id, first);
    }
    let second = sends(&dispatcher.advance(250 * MS))[0].1;
    assert_ne!(first, second);
    let actions = dispatcher.feed(Event::Started { job: JobId(1), attempt: 1 });
    assert!(actions.contains(&Action::Cancel { job: JobId(1), attempt: 0 }));

    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list(workers(3));
    let first = sends(&dispatcher.arrive(1, 0, TIME_BUDGET))[0].1;
    dispatcher.advance(30 * MS);
    for id in 0..3 {
        dispatcher.report_load(id, 0.1, 4.0);
    }
    assert_eq!(sends(&dispatcher.advance(250 * MS)), [], "worker {first:?} has shown a sign of life");
}

/// A job whose response would earn no weight any more is rejected long before its deadline. Under overload, work that starts too
/// late to earn weight delays all other jobs.
#[test]
fn rejects_jobs_that_can_no_longer_earn_weight() {
    let mut dispatcher = TestDispatcher::new(settings_with(class_without_late_weight()));
    dispatcher.load_cached_list(vec![]);
    dispatcher.arrive(1, 0, TIME_BUDGET);
    let actions = dispatcher.advance(1_000 * MS);
    assert!(actions.iter().any(is_rejection), "{actions:?}");
}

/// A job that has been sent is neither rejected nor cancelled before its deadline, even if its response would earn no weight.
/// Where workers do not honour cancellation, the worker would go on with the work of a job that was given up.
#[test]
fn keeps_a_sent_job_until_its_deadline() {
    let mut dispatcher = TestDispatcher::new(settings_with(class_without_late_weight()));
    dispatcher.load_cached_list(vec![worker(0)]);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)).len(), 1);
    let before = dispatcher.advance(4_900 * MS);
    let is_given_up = |action: &Action| is_rejection(action) || matches!(action, Action::Cancel { .. });
    assert!(!before.iter().any(is_given_up), "{before:?}");
    let last = dispatcher.advance(100 * MS);
    assert!(last.iter().any(is_rejection), "{last:?}");
}

/// The `Retry-After` of the first rejection when this many jobs wait.
fn first_retry_after(settings: &Settings, waiting_jobs: u64) -> Micros {
    let mut dispatcher = TestDispatcher::new(settings.clone());
    dispatcher.load_cached_list(vec![worker(0)]);
    dispatcher.arrive(1_000, 0, TIME_BUDGET); // This job does not start, so that no other job is sent.
    dispatcher.advance(25 * MS);
    for job in 0..waiting_jobs {
        dispatcher.arrive(job, 0, TIME_BUDGET);
    }
    let actions = dispatcher.advance(4_000 * MS);
    let first = actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(retry_after.expect("the rejection has no Retry-After")),
        _ => None,
    });
    first.expect("no job was rejected")
}

/// A rejection carries a time after which to retry, which grows with the number of queued jobs up to the maximum of the settings.
/// It carries none if the settings have no maximum.
#[test]
fn rejections_carry_retry_after() {
    const MAX_RETRY_AFTER: Micros = 2_000 * MS;
    let settings = Settings {
        reports_start: true,
        max_retry_after: Some(MAX_RETRY_AFTER),
        ..settings_with(class_without_late_weight())
    };
    let (few, many) = (first_retry_after(&settings, 2), first_retry_after(&settings, 12));
    assert!(few < many, "{few} {many}");
    assert!(first_retry_after(&settings, 200) <= MAX_RETRY_AFTER);
    let mut dispatcher = TestDispatcher::new(Settings { max_retry_after: None, ..settings });
    dispatcher.arrive(1, 0, TIME_BUDGET);
    assert!(dispatcher.advance(TIME_BUDGET).contains(&Action::Reject { job: JobId(1), retry_after: None }));
}
