//! The cost of a decision by the size of the fleet: the module's time, links, probes and datagrams.

use crate::common::*;
use crate::simulation::{ARRIVAL_INTERVAL, Fleet};
use crate::*;
use std::time::Duration;

/// The number of jobs for each size of the fleet.
const JOBS: u32 = 1_000;
/// The run time of a job.
const JOB_DURATION: Micros = 300 * MS;
/// The number of jobs that arrive while a job runs.
const JOBS_IN_FLIGHT: u32 = (JOB_DURATION / ARRIVAL_INTERVAL) as u32;

/// Submits [`JOBS`] jobs of [`JOB_DURATION`] to the dispatchers in turn.
fn run_jobs(fleet: &mut Fleet, dispatchers: u32) {
    let mut workers = Vec::new();
    for job in 0..JOBS {
        fleet.submit(job % dispatchers, u64::from(job));
        workers.push(fleet.worker_of(u64::from(job)));
        // Jobs end in the order of their arrival. A job that was not sent at once is skipped.
        let due = job.checked_sub(JOBS_IN_FLIGHT);
        if let Some(worker) = due.and_then(|due| workers[due as usize]) {
            fleet.end_oldest_job(worker);
        }
    }
}

/// The numbers of discovery calls in intervals of 50 ms while the discovery service refuses all calls for 4 s.
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

/// The cost of the same traffic stays bounded when more dispatchers share it: 1,000 jobs of 300 ms, one every 3 ms, over 60
/// workers with 240 slots. Afterwards the discovery service refuses all calls for 4 s, and only a part of the dispatchers may call
/// it within 50 ms. `--nocapture` prints the table of `docs/design/fleet.md`.
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
        // The start and the end of a job are each advertised to the other nine dispatchers of the group.
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

/// The shortest time that the module needs for a round, out of five rounds, in one of 30 dispatchers with this many workers that
/// report their load. The shortest time depends least on other load of the machine.
fn least_of_five(workers: u32, mut run_round: impl FnMut(&mut TestDispatcher, u64)) -> Duration {
    const ROUNDS: u64 = 5;
    let mut dispatcher = TestDispatcher::new(Settings { dispatcher_count: 30, ..settings(0) });
    dispatcher.load_cached_list((0..workers).map(worker).collect());
    for id in 0..workers {
        dispatcher.report_load(id, 0.3, SLOTS);
    }
    let mut shortest = Duration::MAX;
    for round in 0..ROUNDS {
        dispatcher.time_spent = Duration::ZERO;
        run_round(&mut dispatcher, round);
        shortest = shortest.min(dispatcher.time_spent);
    }
    shortest
}

/// The module's time per job must not grow with the number of workers of the group (issue 21). When every worker of the group was
/// ranked and sorted for each job, a job took 750 times as long at 10,000 workers and 30 dispatchers as at 10 workers
/// (`make bench-decision`). This test compares 20 and 2,000 workers: ranking all workers takes 107 times as long in a debug build
/// and 73 times in a release build, ranking at most `MAX_RANKED` of them 22 and 10 times.
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
    assert!(large < small * 50, "200 jobs took {small:?} at 20 workers and {large:?} at 2,000");
}

/// An advertisement must not walk over all workers, only over those that have outstanding work or are suspect. The walk took 58 %
/// of the time per job at 10,000 workers (`make bench-decision`). If no worker has outstanding work, 200 advertisements cost about
/// the same with 4,000 workers as with 20: 1.2 to 1.5 times as much in a debug build, and 82 times as much with the walk.
#[test]
fn advertising_skips_workers_without_outstanding_work() {
    let advertisement_timer = || Event::Timer(TimerId(u64::MAX)); // The id of the module's advertisement timer.
    let run_round = |dispatcher: &mut TestDispatcher, _| {
        for _ in 0..=200 {
            dispatcher.feed(advertisement_timer());
        }
    };
    let small = least_of_five(20, run_round);
    let large = least_of_five(4_000, run_round);
    assert!(large < small * 10, "200 advertisements took {small:?} at 20 workers and {large:?} at 4,000");
}
