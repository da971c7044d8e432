//! The decision module's time per job at 10, 100, 1,000 and 10,000 workers: `make bench-decision`.
//!
//! Each job is one complete cycle through [`Dispatcher::handle`]: the job arrives, is sent, and ends served with a load report;
//! then the clock advances by a millisecond, timers that are due fire, and probes are answered at once. The dispatcher is one of
//! 30 in a fleet, so that the workers are assigned to groups (`src/policy/gossip`). The last line of the output gives the ratio of
//! the time per job at 10,000 workers to that at 10 (issue 21 requires at most 4).

#[path = "../tests/common/mod.rs"]
mod common;

use common::{MS, TestDispatcher, attempt_ended, worker};
use criterion::{BenchmarkId, Criterion, Throughput};
use mothproxy::policy::interface::*;
use std::time::Duration;

/// The numbers of workers.
const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
/// The number of jobs before the measurement.
const WARM_UP: u64 = 2_000;

/// One of 30 dispatchers in steady state, past the cold start and the first probes: it has finished [`WARM_UP`] jobs at workers
/// that answer at once.
fn steady_dispatcher(workers: u32) -> TestDispatcher {
    let mut dispatcher = TestDispatcher::new(Settings {
        dispatcher_count: 30,
        may_probe: true,
        may_message_peers: true,
        ..Settings::default()
    });
    let entry = |w: u32| EndpointEntry {
        tag: u64::from(w).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        zone: ZoneId((w % 3) as u16),
        cell: CellId(w % 16),
        ..worker(w)
    };
    let list = (0..workers).map(entry).collect();
    let actions = dispatcher.feed(Event::EndpointList(ListKind::Snapshot, list));
    perform(&mut dispatcher, actions);
    (0..WARM_UP).for_each(|job| run_job(&mut dispatcher, job));
    dispatcher
}

/// Performs actions and those that result from them: answers probes and serves attempts, each with a load report.
fn perform(dispatcher: &mut TestDispatcher, mut actions: Vec<Action>) {
    let report =
        LoadReport { cpu: Some(0.3), free_slots: Some(4.0), active: Some(1.0), ..LoadReport::default() };
    while let Some(action) = actions.pop() {
        actions.extend(match action {
            Action::Probe(worker) => dispatcher.end_probe(worker.0, Outcome::Ok, Some(report)),
            // All attempts are served, so that each is the first of its job.
            Action::Send { job, worker, .. } => {
                let ended = attempt_ended(job.0, 0, worker, Outcome::Ok);
                dispatcher.feed(Event::AttemptEnded(AttemptEnded {
                    elapsed: 50 * MS,
                    report: Some(report),
                    ..ended
                }))
            }
            _ => Vec::new(),
        });
    }
}

/// Runs one job through its complete cycle, and advances the clock by a millisecond.
fn run_job(dispatcher: &mut TestDispatcher, job: u64) {
    let actions = dispatcher.arrive_sized(job, 0, 5_000 * MS, 50 * MS);
    perform(dispatcher, actions);
    let actions = dispatcher.advance(MS);
    perform(dispatcher, actions);
}

/// The mean time per job in nanoseconds that criterion has written; `None` if it has written none.
fn mean_ns(workers: u32) -> Option<f64> {
    let path = format!("target/criterion/decision/{workers}/new/estimates.json");
    let text = std::fs::read_to_string(path).ok()?;
    let value: serde_json::Value = serde_json::from_str(&text).ok()?;
    value["mean"]["point_estimate"].as_f64()
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_secs(1))
        .measurement_time(Duration::from_secs(3))
        .configure_from_args();
    let mut group = criterion.benchmark_group("decision");
    group.throughput(Throughput::Elements(1));
    for workers in SIZES {
        let (mut dispatcher, mut job) = (steady_dispatcher(workers), WARM_UP);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &workers, |b, _| {
            b.iter_custom(|jobs| {
                dispatcher.time_spent = Duration::ZERO;
                for _ in 0..jobs {
                    run_job(&mut dispatcher, job);
                    job += 1;
                }
                dispatcher.time_spent
            });
        });
    }
    group.finish();
    criterion.final_summary();
    let times: Vec<String> = SIZES
        .iter()
        .map(|&w| mean_ns(w).map_or_else(|| format!("{w}: -"), |ns| format!("{w}: {:.1} us", ns / 1e3)))
        .collect();
    match (mean_ns(SIZES[0]), mean_ns(SIZES[3])) {
        (Some(small), Some(large)) => {
            println!(
                "decision time per job: {}; ratio of 10000 to 10 workers {:.2}",
                times.join(", "),
                large / small
            );
        }
        _ => println!("decision time per job: {}; ratio unknown: no estimates written", times.join(", ")),
    }
}
