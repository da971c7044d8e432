//! Slow start: workers that are warming up get no more work than their budget.

use crate::common::*;
use crate::{TIME_BUDGET, dispatcher_for};
use mothproxy::*;

/// The slots of a worker, as the warm worker of the same kind reports them.
const SLOTS: f64 = 4.0;
/// The mean work of a job, in seconds.
const JOB_SECONDS: f64 = 0.1;
/// The worker that has just started; the other one is warm.
const WARMING_UP: WorkerId = WorkerId(0);

/// Feeds a list with a worker that starts now and a warm one, which reports that workers of its kind have four slots.
fn load_list_with_new_worker(dispatcher: &mut TestDispatcher) {
    let started_now = EndpointEntry { started_at: Some(dispatcher.now), ..worker(WARMING_UP.0) };
    dispatcher.load_cached_list(vec![started_now, worker(1)]);
    dispatcher.report_load(1, 0.5, SLOTS);
}

/// The work that a worker may get within a window of one second if it started this long ago, in seconds.
fn window_budget(settings: &Settings, age: Micros) -> f64 {
    let warmed_up = age as f64 / settings.warm_up_time as f64;
    let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * warmed_up;
    settings.collapse_multiple * capacity * SLOTS
}

/// All dispatchers together stay within the budget of a restarted or replaced worker in every window, and it does get work.
#[test]
fn all_dispatchers_keep_a_warming_up_worker_within_its_budget() {
    const DISPATCHERS: u32 = 12;
    let settings =
        Settings { dispatcher_count: DISPATCHERS, ..settings_with(class(Idempotency::Idempotent)) };
    let dispatcher = |index| TestDispatcher::new(Settings { own_place: index, ..settings.clone() });
    let mut fleet: Vec<TestDispatcher> = (0..DISPATCHERS).map(dispatcher).collect();
    let start = fleet[0].now;
    fleet.iter_mut().for_each(load_list_with_new_worker);
    let mut sent_at: Vec<Micros> = Vec::new();
    let mut job = 0;
    for step in 0..100 {
        for dispatcher in &mut fleet {
            dispatcher.now = start + step * 100 * MS;
            job += 1;
            for (job, worker) in sends(&dispatcher.arrive(job, 0, TIME_BUDGET)) {
                if worker == WARMING_UP {
                    sent_at.push(dispatcher.now);
                }
                dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
            }
        }
    }
    assert!(!sent_at.is_empty(), "the worker that is warming up got no work");
    for &from in &sent_at {
        let window = from..from + settings.collapse_window;
        let work: f64 = sent_at.iter().filter(|at| window.contains(at)).map(|_| JOB_SECONDS).sum();
        assert!(work <= window_budget(&settings, from - start), "{work} from {from}");
    }
}

/// Small jobs count as the mean of their class. Otherwise the budget admits so many small jobs that they make a worker collapse
/// that is warming up.
#[test]
fn small_jobs_count_as_the_class_mean_on_a_warming_up_worker() {
    const SMALL_JOB: Micros = MS;
    const LARGE_JOB: Micros = 199 * MS; // Alternates with small jobs, for a mean of 100 ms.
    let mut dispatcher = dispatcher_for(Idempotency::Idempotent);
    let start = dispatcher.now;
    load_list_with_new_worker(&mut dispatcher);
    let mut work = 0.0;
    for job in 0..100 {
        dispatcher.now = start + job * 10 * MS;
        let size = if job % 2 == 0 { LARGE_JOB } else { SMALL_JOB };
        let sent = sends(&dispatcher.arrive_sized(job, 0, TIME_BUDGET, size));
        let at_warming_up = sent.iter().filter(|(_, worker)| *worker == WARMING_UP).count();
        work += JOB_SECONDS * at_warming_up as f64;
        for (_, worker) in sent {
            dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
        }
    }
    assert!(work > 0.0 && work <= window_budget(&Settings::default(), 0), "{work}");
}
