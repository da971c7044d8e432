//! Placement without failures: the fuzzy score, the ranks, the rule against consecutive assignments to one worker, and the choice
//! of a worker if all are full.

mod common;
use common::*;
use mothproxy::policy::capability;
use mothproxy::*;

/// The time for which the client of a job waits.
const TIME_BUDGET: Micros = 5_000 * MS;

/// The fuzzy score of some inputs matches values computed by hand from the rules.
#[test]
fn capability_matches_values_computed_by_hand() {
    // In the corners and in the centre a single rule applies; the centre's output is 3 of 5.
    for (cpu, load, score) in
        [(0.0, 0.0, 1.0), (1.0, 1.0, 0.0), (0.5, 0.5, 0.6), (0.0, 1.0, 0.4), (1.0, 0.0, 0.4)]
    {
        assert!((capability(cpu, load) - score).abs() < 1e-9, "{cpu} {load}");
    }
    // Where both inputs are 0.25, four rules apply equally: (5 + 4 + 4 + 3) / 4 of 5.
    assert!((capability(0.25, 0.25) - 0.8).abs() < 1e-9);
}

/// A lower load of either input never gives a lower score, and all scores are between 0 and 1.
#[test]
fn capability_never_falls_with_less_load() {
    let grid: Vec<f64> = (0..=40).map(|n| f64::from(n) / 40.0).collect();
    for &cpu in &grid {
        for pair in grid.windows(2) {
            assert!(capability(cpu, pair[0]) >= capability(cpu, pair[1]));
            assert!(capability(pair[0], cpu) >= capability(pair[1], cpu));
            assert!((0.0..=1.0).contains(&capability(cpu, pair[0])));
        }
    }
}

/// A class with a long latency objective.
fn class_with_long_objective(idempotency: Idempotency) -> Class {
    Class { latency_objective: 2_000 * MS, ..class(idempotency) }
}

/// Creates a dispatcher that gets load reports with probe responses only.
fn probing_dispatcher() -> TestDispatcher {
    let settings = Settings {
        load_reporting: LoadReporting::ProbesOnly,
        may_probe: true,
        classes: vec![
            class_with_long_objective(Idempotency::NonIdempotent),
            class_with_long_objective(Idempotency::Idempotent),
        ],
        ..Settings::default()
    };
    TestDispatcher::new(settings)
}

/// If all workers have just reported, the one with the best score gets the job.
#[test]
fn picks_the_best_fresh_score() {
    let mut dispatcher = probing_dispatcher();
    dispatcher.load_cached_list(workers(3));
    dispatcher.report_load(0, 0.9, 1.0);
    dispatcher.report_load(1, 0.1, 4.0);
    dispatcher.report_load(2, 0.6, 2.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(1))]);
}

/// A worker that has not reported its load ranks after one with a free slot, and before one that is full.
#[test]
fn unknown_ranks_after_fresh_and_before_full() {
    let mut dispatcher = TestDispatcher::new(settings_with(class(Idempotency::Idempotent)));
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.9, 1.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
    let mut dispatcher = TestDispatcher::new(settings_with(class(Idempotency::Idempotent)));
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.9, 0.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(1))]);
}

/// Old reports are not used: the workers are probed again, and the job waits for the responses.
#[test]
fn load_samples_go_stale() {
    let mut dispatcher = probing_dispatcher();
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.1, 4.0);
    dispatcher.report_load(1, 0.9, 1.0);
    dispatcher.advance(10_000 * MS);
    let actions = dispatcher.arrive(1, 0, TIME_BUDGET);
    assert_eq!((probes(&actions).len(), sends(&actions).len()), (2, 0));
}

/// The worker of the last job gets the next one too only if its reported utilisation has changed and is the lowest of all.
#[test]
fn no_second_assignment_in_a_row_unless_utilisation_changed_and_is_lowest() {
    let mut dispatcher = probing_dispatcher();
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.1, 8.0);
    dispatcher.report_load(1, 0.3, 8.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
    // The report has not changed: the second-best worker is chosen although the first one still has a higher score.
    assert_eq!(sends(&dispatcher.arrive(2, 0, TIME_BUDGET)), [(2, WorkerId(1))]);
    assert_eq!(sends(&dispatcher.arrive(3, 0, TIME_BUDGET)), [(3, WorkerId(0))]);
    // The utilisation has changed and is the lowest of all: the same worker may be chosen again.
    dispatcher.report_load(0, 0.05, 8.0);
    assert_eq!(sends(&dispatcher.arrive(4, 0, TIME_BUDGET)), [(4, WorkerId(0))]);
}

/// If all workers are full, the job is sent to the one that has responded fastest so far.
#[test]
fn picks_the_fastest_worker_when_all_are_full() {
    let mut dispatcher = probing_dispatcher();
    dispatcher.load_cached_list(workers(2));
    for (job, slow, elapsed) in [(1, 0, 700 * MS), (2, 1, 90 * MS)] {
        dispatcher.report_load(slow, 0.1, 4.0);
        dispatcher.report_load(1 - slow, 0.9, 1.0);
        assert_eq!(sends(&dispatcher.arrive(job, 1, TIME_BUDGET)), [(job, WorkerId(slow))]);
        let (job, worker, outcome) = (JobId(job), WorkerId(slow), Outcome::Ok);
        let end =
            AttemptEnded { job, attempt: 0, worker, elapsed, is_job_closed: true, outcome, report: None };
        dispatcher.feed(Event::AttemptEnded(end));
    }
    dispatcher.report_load(0, 1.0, 0.0);
    dispatcher.report_load(1, 1.0, 0.0);
    let mut sent = sends(&dispatcher.arrive(3, 0, TIME_BUDGET));
    for _ in 0..300 {
        dispatcher.report_load(0, 1.0, 0.0);
        dispatcher.report_load(1, 1.0, 0.0);
        sent.extend(sends(&dispatcher.advance(5 * MS)));
    }
    assert_eq!(sent.first(), Some(&(3, WorkerId(1))));
}

/// A job that needs two slots is not sent to a worker with one free slot, even if that worker is idle.
#[test]
fn a_worker_with_too_few_free_slots_counts_as_full() {
    let mut dispatcher = TestDispatcher::new(settings_with(class(Idempotency::Idempotent)));
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.0, 1.0);
    dispatcher.report_load(1, 0.8, 3.0);
    let new = NewJob {
        job: JobId(1),
        class: ClassId(0),
        tenant: None,
        subject: None,
        deadline: dispatcher.now + TIME_BUDGET,
        hint: None,
        slots: 2.0,
        memory: None,
        is_retry: false,
        estimate: None,
        tenant_weight: None,
    };
    assert_eq!(sends(&dispatcher.feed(Event::Arrived(new))), [(1, WorkerId(1))]);
}

/// A job waits for a worker of its own zone for a fraction of its slack: the ratio of the price of crossing zones to the weight
/// lost by being late. Without that wait, half of all jobs crossed zones although a slot in their own zone became free well
/// within their slack.
#[test]
fn crosses_zones_only_after_the_wait_that_the_price_allows() {
    for (price, late_weight, wait) in
        [(0.0, 0.5, 0), (0.1, 0.5, 60 * MS), (0.2, 0.5, 120 * MS), (0.2, 0.0, 60 * MS)]
    {
        let classes = vec![Class { late_weight, ..class(Idempotency::Idempotent) }];
        let mut dispatcher =
            TestDispatcher::new(Settings { classes, price_cross_zone: price, ..Settings::default() });
        let zones = |id: u32| EndpointEntry { zone: ZoneId(id as u16), ..worker(id) };
        dispatcher.load_cached_list((0..2).map(zones).collect());
        dispatcher.report_load(0, 1.0, 0.0);
        dispatcher.report_load(1, 0.1, 4.0);
        let begun = dispatcher.now;
        let mut sent = sends(&dispatcher.arrive(1, 0, TIME_BUDGET)); // The job must start within 300 ms.
        while sent.is_empty() && dispatcher.now < begun + 300 * MS {
            sent = sends(&dispatcher.advance(5 * MS));
            dispatcher.report_load(0, 1.0, 0.0);
            dispatcher.report_load(1, 0.1, 4.0);
        }
        let waited = dispatcher.now - begun;
        assert_eq!(sent, [(1, WorkerId(1))], "price {price}");
        assert!(
            (wait..=wait + 25 * MS).contains(&waited),
            "price {price}, late weight {late_weight}: waited {waited} us"
        );
    }
}

/// Jobs that can still be in time are sent before late ones. Under overload, when late jobs were sent first and made the next ones
/// late too, 64 % of the responses were late.
#[test]
fn late_jobs_are_queued_behind_those_that_can_be_in_time() {
    let settings = settings_with_start_reports();
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list(vec![worker(0)]);
    let mut actions = Vec::new();
    for job in 1..=6 {
        actions.extend(dispatcher.arrive(job, 0, TIME_BUDGET));
        actions.extend(dispatcher.feed(Event::Started { job: JobId(job), attempt: 0 }));
        actions.extend(dispatcher.advance(MS));
    }
    assert_eq!(
        sends(&actions),
        [(1, WorkerId(0)), (2, WorkerId(0))],
        "as many as are sent to a worker of unknown load"
    );
    dispatcher.advance(400 * MS); // The other jobs had to start within 300 ms.
    dispatcher.arrive(7, 0, TIME_BUDGET);
    assert_eq!(sends(&dispatcher.end_attempt(1, 0, WorkerId(0), Outcome::Ok)), [(7, WorkerId(0))]);
    dispatcher.feed(Event::Started { job: JobId(7), attempt: 0 });
    assert_eq!(
        sends(&dispatcher.end_attempt(2, 0, WorkerId(0), Outcome::Ok)),
        [(6, WorkerId(0))],
        "late jobs follow, the newest first"
    );
}
