//! What a decision costs: time of the module, links, probes and datagrams, by the size of the fleet.

use crate::common::*;
use crate::simulation::{ARRIVAL_INTERVAL, Fleet};
use crate::*;
use std::time::Duration;

/// Jobs of one size of the fleet.
const JOBS: u32 = 1_000;
/// How long a job runs.
const JOB_DURATION: Micros = 300 * MS;
/// A job ends when this many have come after it.
const JOBS_IN_FLIGHT: u32 = (JOB_DURATION / ARRIVAL_INTERVAL) as u32;

/// Submits [`JOBS`] jobs of [`JOB_DURATION`] to the dispatchers in turn.
fn run_jobs(fleet: &mut Fleet, dispatchers: u32) {
    let mut workers = Vec::new();
    for job in 0..JOBS {
        fleet.submit(job % dispatchers, u64::from(job));
        workers.push(fleet.worker_of(u64::from(job)));
        // Jobs end in the order they came; one that found no room at once is not waited for.
        let due = job.checked_sub(JOBS_IN_FLIGHT);
        if let Some(worker) = due.and_then(|due| workers[due as usize]) {
            fleet.end_oldest_job(worker);
        }
    }
}

/// The discovery service fails, and refuses all calls for 4 s: the calls in each 50 ms.
fn calls_while_discovery_refuses(fleet: &mut Fleet) -> Vec<usize> {
    const INTERVALS: usize = 80;
    const INTERVAL: Micros = 50 * MS;
    fleet.for_each(|dispatcher| dispatcher.feed(Event::ListFailed));
    let mut calls = Vec::new();
    for _ in 0..INTERVALS {
        let before = fleet.counters.watch_calls;
        fleet.advance(INTERVAL);
        calls.push(fleet.counters.watch_calls - before);
    }
    calls
}

/// What the same traffic costs when more dispatchers share it: 1,000 jobs of 300 ms, one each 3 ms, over 60 workers with 240
/// slots; then discovery refuses everybody for 4 s. `--nocapture` prints the table of `docs/design/fleet.md`.
#[test]
fn decision_time_is_bounded_however_many_dispatchers_there_are() {
    println!(
        "| dispatchers | microseconds a job | links | probes a job | datagrams a job | calls in 4 s | in 50 ms |"
    );
    for count in [3, 10, 30, 100] {
        let mut fleet = Fleet::with_size(count);
        for dispatcher in &mut fleet.dispatchers {
            dispatcher.time_spent = Duration::ZERO;
        }
        run_jobs(&mut fleet, count);
        let per_job = |total: usize| total as f64 / f64::from(JOBS);
        let time_spent: Duration = fleet.dispatchers.iter().map(|dispatcher| dispatcher.time_spent).sum();
        let micros = time_spent.as_micros() as f64 / f64::from(JOBS);
        let links = fleet.counters.links.len();
        let probes = per_job(fleet.counters.probes);
        let datagrams = per_job(fleet.counters.datagrams);
        assert!(fleet.counters.attempts >= JOBS as usize, "{} attempts", fleet.counters.attempts);
        fleet.assert_within_slots();
        // A start and an end, each to the other nine of the group.
        assert!(
            datagrams <= 2.5 * 9.0 && probes <= 0.1,
            "{count}: {datagrams} datagrams and {probes} probes a job"
        );
        let calls = calls_while_discovery_refuses(&mut fleet);
        let all = calls.iter().sum::<usize>();
        let max = calls.iter().max().copied().unwrap_or(0);
        println!("| {count} | {micros:.0} | {links} | {probes:.2} | {datagrams:.1} | {all} | {max} |");
        assert!(all > 0 && max <= count as usize / 2 + 2, "{max} of {count} called within 50 ms");
    }
}

/// The least time of the module over five rounds, in one of 30 dispatchers among this many workers that report:
/// the least, so that a busy machine slows both sides of a comparison alike.
fn least_of_five(workers: u32, mut play_round: impl FnMut(&mut TestDispatcher, u64)) -> Duration {
    const ROUNDS: u64 = 5;
    let mut dispatcher = TestDispatcher::new(Settings { dispatcher_count: 30, ..settings(0) });
    dispatcher.load_cached_list((0..workers).map(worker).collect());
    for id in 0..workers {
        dispatcher.report_load(id, 0.3, SLOTS);
    }
    let mut least = Duration::MAX;
    for round in 0..ROUNDS {
        dispatcher.time_spent = Duration::ZERO;
        play_round(&mut dispatcher, round);
        least = least.min(dispatcher.time_spent);
    }
    least
}

/// The module's time a job must not follow the size of the group's part of the fleet (issue 21). Every worker of the
/// part was ranked and sorted for each job: at 10,000 workers and 30 dispatchers 750 times as long as at 10
/// (`make bench-decision`). Compared here at 20 and 2,000 workers. Ranking the whole part: 107 times as slow in a debug
/// build, 73 in release; ranking at most `RANKED` of it: 22 and 10.
#[test]
fn decision_time_with_2000_workers_is_about_that_with_20() {
    const JOBS_PER_ROUND: u64 = 200;
    let run_round = |dispatcher: &mut TestDispatcher, round: u64| {
        let first = round * JOBS_PER_ROUND;
        for job in first..first + JOBS_PER_ROUND {
            for (job, worker) in sends(&dispatcher.arrive(job, 0, TIME_BUDGET)) {
                dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
            }
            dispatcher.advance(MS);
        }
    };
    let small = least_of_five(20, run_round);
    let large = least_of_five(2_000, run_round);
    assert!(large < small * 50, "a job: {small:?} at 20 workers, {large:?} at 2,000 (200 jobs)");
}

/// Advertising what is out walked every worker each time: 58 % of a job's time at 10,000 workers
/// (`make bench-decision`). Now only those with work out or in doubt: with none, 200 advertisements cost about the same among
/// 20 workers as among 4,000 (1.2 to 1.5 times in a debug build; 82 times when every worker was walked).
#[test]
fn advertising_skips_workers_without_outstanding_work() {
    let advertisement_timer = || Event::Timer(TimerId(u64::MAX)); // the module's own
    let run_round = |dispatcher: &mut TestDispatcher, _| {
        for _ in 0..=200 {
            dispatcher.feed(advertisement_timer());
        }
    };
    let small = least_of_five(20, run_round);
    let large = least_of_five(4_000, run_round);
    assert!(large < small * 10, "200 advertisements: {small:?} among 20 workers, {large:?} among 4,000");
}
