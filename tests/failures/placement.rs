//! Placement: which worker gets a job, and when the job waits instead.

use crate::common::*;
use crate::{TIME_BUDGET, dispatcher_for};
use mothproxy::*;

/// A worker that reports nearly one free slot gets a job. Reports are noisy: a free slot was reported as 0.96 and counted as none.
#[test]
fn rounds_noisy_free_slots() {
    let mut dispatcher = dispatcher_for(Idempotency::Idempotent);
    dispatcher.load_cached_list(workers(2));
    dispatcher.report_load(0, 0.4, 0.96);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)), [(1, WorkerId(0))]);
}

/// Jobs that any kind of worker can run avoid the kind that other jobs need. Otherwise they fill that kind while the others are
/// free.
#[test]
fn spares_a_kind_that_other_jobs_need() {
    const ANY_KIND: u16 = 0;
    const BOUND: u16 = 1;
    let free = class(Idempotency::Idempotent);
    let bound = Class { kind: Some(KindId(1)), ..free.clone() };
    let mut dispatcher = TestDispatcher::new(Settings { classes: vec![free, bound], ..Settings::default() });
    let kind_of = |id: u32| (id % 2) as u16;
    let entry = |id: u32| EndpointEntry { kind: KindId(kind_of(id)), ..worker(id) };
    dispatcher.load_cached_list((0..8).map(entry).collect());
    let mut free_at_bound_kind = 0;
    let mut job = 0;
    for _ in 0..200 {
        for class in [ANY_KIND, BOUND] {
            job += 1;
            let (_, worker) = sends(&dispatcher.arrive(job, class, TIME_BUDGET))[0];
            free_at_bound_kind += u32::from(class == ANY_KIND && kind_of(worker.0) == 1);
            dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
        }
    }
    assert!(free_at_bound_kind < 50, "{free_at_bound_kind} of 200 went to the kind that the bound jobs need");
}

/// A worker that has not started a job gets no second one, however many free slots it reports, until some time after the start.
/// With a limit that followed the usual wait for a start, the limit and the queues at the workers grew together under overload.
#[test]
fn sends_no_second_job_to_a_worker_that_has_not_started_the_first() {
    let mut dispatcher = TestDispatcher::new(settings_with_start_reports());
    dispatcher.load_cached_list(vec![worker(0)]);
    dispatcher.report_load(0, 0.2, 8.0);
    assert_eq!(sends(&dispatcher.arrive(1, 0, TIME_BUDGET)).len(), 1);
    dispatcher.advance(25 * MS);
    dispatcher.report_load(0, 0.2, 8.0);
    assert_eq!(sends(&dispatcher.arrive(2, 0, TIME_BUDGET)), [], "the first job has not started yet");
    // The start shows free capacity again, and the queued job is sent after as long a time as the first one waited.
    assert_eq!(sends(&dispatcher.feed(Event::Started { job: JobId(1), attempt: 0 })), []);
    assert_eq!(sends(&dispatcher.advance(60 * MS)), [(2, WorkerId(0))]);
}

/// A worker whose slots all run this dispatcher's jobs gets one more at once, then none until that one starts, and none after a
/// failure. When the running jobs counted as a queue, jobs were held until the worker reported free slots, up to a second later.
/// When a worker that had just failed also got one more job at a time, 67 jobs waited at a hung worker.
#[test]
fn queues_one_job_at_a_full_worker_and_none_at_a_failed_one() {
    let mut dispatcher = TestDispatcher::new(settings_with_start_reports());
    dispatcher.load_cached_list(vec![worker(0)]);
    dispatcher.report_load(0, 0.1, 8.0);
    for job in 1..=8 {
        assert_eq!(sends(&dispatcher.arrive(job, 0, TIME_BUDGET)).len(), 1);
        dispatcher.feed(Event::Started { job: JobId(job), attempt: 0 });
    }
    dispatcher.report_load(0, 1.0, 0.0);
    assert_eq!(
        sends(&dispatcher.arrive(9, 0, TIME_BUDGET)),
        [(9, WorkerId(0))],
        "one more job must be sent at once"
    );
    dispatcher.advance(25 * MS);
    dispatcher.report_load(0, 1.0, 0.0);
    assert_eq!(sends(&dispatcher.arrive(10, 0, TIME_BUDGET)), [], "one job is queued at the worker");
    dispatcher.feed(Event::Started { job: JobId(9), attempt: 0 });
    dispatcher.end_attempt(9, 0, WorkerId(0), Outcome::Error);
    assert_eq!(sends(&dispatcher.arrive(11, 0, TIME_BUDGET)), [], "the worker has just failed");
}

/// Where probes are allowed, a job is sent to another zone only after a probe has shown capacity there. Under overload, half of
/// all jobs were sent to other zones without a probe, where they queued at workers as full as those of their own zone.
#[test]
fn crosses_zones_only_to_known_capacity() {
    let base = settings_with(class(Idempotency::Idempotent));
    let mut dispatcher = TestDispatcher::new(Settings { may_probe: true, price_cross_zone: 0.1, ..base });
    let elsewhere = EndpointEntry { zone: ZoneId(1), ..worker(1) };
    dispatcher.load_cached_list(vec![worker(0), elsewhere]);
    dispatcher.report_load(0, 1.0, 0.0);
    let mut actions = dispatcher.arrive(1, 0, TIME_BUDGET);
    for _ in 0..18 {
        actions.extend(dispatcher.advance(5 * MS));
        actions.extend(dispatcher.report_load(0, 1.0, 0.0));
    }
    assert_eq!((sends(&actions).len(), probes(&actions).contains(&WorkerId(1))), (0, true));
    assert_eq!(sends(&dispatcher.report_load(1, 0.1, 4.0)), [(1, WorkerId(1))]);
}
