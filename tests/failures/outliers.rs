//! Outlier detection: which events eject a worker, for how long, and which events end the ejection.

use crate::common::*;
use crate::{TIME_BUDGET, dispatcher_for};
use mothproxy::*;

/// A worker that accepts a job and does not start it gets no other job, whatever load it reports, until some time after the
/// start. Hung workers accept work, start none of it and report low load.
#[test]
fn ejects_a_worker_that_does_not_start_in_time() {
    let settings = Settings {
        may_probe: true,
        reports_start: true,
        load_reporting: LoadReporting::ProbesOnly,
        classes: vec![class(Idempotency::NonIdempotent)],
        ..Settings::default()
    };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.0, 4.0);
    dispatcher.report_load(1, 0.7, 2.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
    dispatcher.advance(100 * MS);
    dispatcher.report_load(0, 0.0, 4.0);
    dispatcher.report_load(1, 0.7, 2.0);
    assert_eq!(sends(&dispatcher.arrive(2, 0, TIME_BUDGET)), [(2, WorkerId(1))]);
    // After the start, the worker stays ejected for as long as the job waited.
    dispatcher.feed(Event::Started { job: JobId(1), attempt: 0 });
    dispatcher.advance(101 * MS);
    dispatcher.report_load(1, 0.7, 2.0);
    dispatcher.report_load(0, 0.01, 4.0);
    assert_eq!(sends(&dispatcher.arrive(3, 0, TIME_BUDGET)), [(3, WorkerId(0))]);
}

/// After one failed connection to another zone, the job waits for a worker of its own zone, even if that is full. Each attempt
/// at an unreachable zone costs a connect timeout.
#[test]
fn ejects_an_unreachable_zone() {
    let mut dispatcher = dispatcher_for(Idempotency::Idempotent);
    let zones = |id: u32| EndpointEntry { zone: ZoneId(u16::from(id > 0)), ..worker(id) };
    dispatcher.load_cached_list((0..6).map(zones).collect());
    dispatcher.report_load(0, 1.0, 0.0);
    let (_, worker) = sends(&dispatcher.arrive(1, 0, TIME_BUDGET))[0];
    assert_ne!(worker, WorkerId(0));
    // Four more workers of that zone have an unknown load, but the job waits for its own zone.
    let mut again = sends(&dispatcher.end_attempt(1, 0, worker, Outcome::ConnectFailed));
    again.extend(sends(&dispatcher.advance(100 * MS)));
    assert!(again.iter().all(|(_, worker)| *worker == WorkerId(0)), "{again:?}");
}

/// A worker in whose queue a job has waited gets no other job for as long as that one waited. Otherwise, under overload, a worker
/// with jobs of other dispatchers in its queue gets the next job as soon as it has started one, and that job waits as long again.
#[test]
fn ejects_a_worker_for_as_long_as_a_job_queued_there() {
    let mut dispatcher = TestDispatcher::new(settings_with_start_reports());
    dispatcher.load_cached_list(vec![worker(0)]);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)).len(), 1);
    dispatcher.advance(100 * MS);
    assert_eq!(sends(&dispatcher.arrive(2, 0, TIME_BUDGET)), [], "the first job waits in the worker's queue");
    assert_eq!(
        sends(&dispatcher.feed(Event::Started { job: JobId(1), attempt: 0 })),
        [],
        "the worker has a queue"
    );
    assert_eq!(sends(&dispatcher.advance(90 * MS)), []);
    assert_eq!(sends(&dispatcher.advance(60 * MS)), [(2, WorkerId(0))]);
}

/// A job waits instead of being sent to an ejected worker while other workers are only full. When ejected workers ranked before
/// full ones, a worker known to hang was sent 3,000 jobs in 5 s, while slots became free at the others.
#[test]
fn ejected_workers_rank_after_full_ones() {
    let settings = Settings { may_hedge: false, ..settings_with(class(Idempotency::Idempotent)) };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.1, 4.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
    for _ in 0..6 {
        dispatcher.end_probe(1, Outcome::Timeout, None);
    }
    dispatcher.report_load(0, 1.0, 0.0); // Worker 0 is full, and worker 1 is ejected for seconds.
    dispatcher.arrive(2, 0, TIME_BUDGET);
    let mut seen = Vec::new();
    for _ in 0..60 {
        seen.extend(dispatcher.advance(5 * MS));
        dispatcher.report_load(0, 1.0, 0.0);
    }
    assert_eq!(sends(&seen), [], "worker 0 has too long a queue, and worker 1 is ejected");
}

/// A probe that times out ejects a worker only if the worker has shown no sign of life since the probe was sent. Where probes
/// wait in a worker's queue like jobs, they time out under overload: such workers were ejected for seconds, so that only 11 of 14
/// workers were used and their queues grew.
#[test]
fn a_probe_timeout_does_not_eject_a_worker_that_responds() {
    for (was_seen, expected_sends) in [(true, 1), (false, 0)] {
        let mut dispatcher = TestDispatcher::new(settings_with_start_reports());
        dispatcher.load_cached_list(vec![worker(0)]);
        dispatcher.report_load(0, 0.1, 4.0);
        dispatcher.arrive(1, 0, TIME_BUDGET);
        dispatcher.advance(5 * MS);
        if was_seen {
            dispatcher.feed(Event::Started { job: JobId(1), attempt: 0 });
        }
        let timed_out =
            ProbeResponse { worker: WorkerId(0), outcome: Outcome::Timeout, elapsed: 4 * MS, report: None };
        dispatcher.feed(Event::ProbeResponse(timed_out));
        let sent = sends(&dispatcher.arrive(2, 0, TIME_BUDGET));
        assert_eq!(sent.len(), expected_sends, "sign of life since the probe: {was_seen}");
    }
}

/// A dispatcher without a group soon sends a job again to a worker that has failed many times, because it can learn only from its
/// own jobs that the worker has recovered. Workers that had recovered after 12 s stayed ejected for up to 10 s more, while the
/// others were overloaded.
#[test]
fn a_dispatcher_without_a_group_soon_retries_a_worker_that_failed_often() {
    let mut dispatcher = dispatcher_for(Idempotency::Idempotent);
    dispatcher.load_cached_list(vec![worker(0)]);
    dispatcher.report_load(0, 0.1, 4.0);
    for _ in 0..8 {
        dispatcher.end_probe(0, Outcome::Timeout, None);
    }
    dispatcher.advance(1_300 * MS); // More than eight freshness windows of 150 ms.
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
}
