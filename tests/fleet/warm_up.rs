//! Slow start: each worker that is warming up gets work, and all dispatchers together send it no more than it can run.

use crate::common::*;
use crate::simulation::Fleet;
use crate::*;

/// Without messages, some dispatchers but not many at once may send a large job to a worker that has just started. When each
/// dispatcher had an equal part of such a worker's budget, a large job exceeded that part, and no dispatcher ever sent one.
#[test]
fn a_budget_smaller_than_a_job_still_admits_one() {
    const SMALL_JOB: Micros = 100 * MS;
    const LARGE_JOB: Micros = 2_000 * MS;
    const SMALL_JOBS: u64 = 10;
    let warming_up = EndpointEntry { started_at: Some(CLOCK_START), ..worker(0) };
    let warm = worker(1);
    let mut sent = 0;
    for index in 0..DISPATCHERS {
        let mut dispatcher = TestDispatcher::new(settings_without_messages(index));
        dispatcher.load_cached_list(vec![warming_up, warm]);
        // The small jobs keep the mean work far below that of the large job.
        for job in 0..SMALL_JOBS {
            dispatcher.arrive_sized(job, 0, TIME_BUDGET, SMALL_JOB);
            dispatcher.feed(Event::ClientDisconnected(JobId(job)));
        }
        dispatcher.report_load(1, 0.5, SLOTS); // Workers of this kind have four slots.
        dispatcher.report_load(1, 1.0, 0.0); // The warm worker is full.
        dispatcher.arrive_sized(SMALL_JOBS, 0, TIME_BUDGET, LARGE_JOB);
        let idle = load_report(0.0, SLOTS, 0.0);
        sent += sends(&dispatcher.end_probe(0, Outcome::Ok, idle)).len();
    }
    assert!(sent > 0, "no dispatcher of {DISPATCHERS} may send a large job to a worker that is warming up");
    assert!(sent < 10, "{sent} of {DISPATCHERS} dispatchers send one at once");
}

/// In groups, all dispatchers send jobs to workers that are warming up, and together send each no more than it can run.
#[test]
fn a_group_keeps_a_warming_up_worker_within_its_capacity() {
    let mut fleet = Fleet::new();
    let started_at = Some(CLOCK_START - 100 * MS);
    for dispatcher in &mut fleet.dispatchers {
        let entry = |id| EndpointEntry { started_at, ..worker(id) };
        dispatcher.load_cached_list((0..WORKERS).map(entry).collect());
    }
    fleet.submit_to_each(2);
    assert!(fleet.running_jobs() > 0);
    let max = fleet.counters.max_jobs_per_worker;
    assert!(max <= 2, "{max} jobs on one worker at two fifths of its capacity");
}
