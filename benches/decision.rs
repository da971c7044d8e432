//! The module's time for one job, at 10, 100, 1,000 and 10,000 workers: `make bench-decision`.
//!
//! Each job is one whole cycle through [`Dispatcher::handle`]: it arrives, is sent, ends served with a load report,
//! and the clock moves on by a millisecond, firing the timers that fall due and answering probes at once. The
//! dispatcher is one of 30 in a fleet, so that the groups of `src/policy/gossip` are assigned and reviewed as on the mass
//! days. The last line gives the ratio of the time a job at 10,000 workers to that at 10 (issue 21 asks 4 or less).

#[path = "../tests/common/mod.rs"]
mod common;

use common::{MS, TestDispatcher, attempt_ended, worker};
use criterion::{BenchmarkId, Criterion, Throughput};
use mothproxy::policy::interface::*;
use std::time::Duration;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
const WARM_UP: u64 = 2_000;

/// One of 30 dispatchers over workers that answer at once, past the cold start and the first probes.
fn steady(workers: u32) -> TestDispatcher {
    let mut node = TestDispatcher::new(Settings {
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
    let actions = node.feed(Event::EndpointList(ListKind::Snapshot, list));
    follow(&mut node, actions);
    (0..WARM_UP).for_each(|n| cycle(&mut node, n));
    node
}

/// Does what was asked, and what that leads to: probes and jobs are answered, with a report.
fn follow(node: &mut TestDispatcher, mut actions: Vec<Action>) {
    let report =
        LoadReport { cpu: Some(0.3), free_slots: Some(4.0), active: Some(1.0), ..LoadReport::default() };
    while let Some(action) = actions.pop() {
        actions.extend(match action {
            Action::Probe(worker) => node.end_probe(worker.0, Outcome::Ok, Some(report)),
            // Each attempt is served, so it is its job's first.
            Action::Send { job, worker, .. } => {
                let ended = attempt_ended(job.0, 0, worker, Outcome::Ok);
                node.feed(Event::AttemptEnded(AttemptEnded {
                    elapsed: 50 * MS,
                    report: Some(report),
                    ..ended
                }))
            }
            _ => Vec::new(),
        });
    }
}

/// One job's whole cycle, and a millisecond of the clock.
fn cycle(node: &mut TestDispatcher, job: u64) {
    let actions = node.arrive_sized(job, 0, 5_000 * MS, 50 * MS);
    follow(node, actions);
    let actions = node.advance(MS);
    follow(node, actions);
}

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
        let (mut node, mut job) = (steady(workers), WARM_UP);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &workers, |b, _| {
            b.iter_custom(|jobs| {
                node.time_spent = Duration::ZERO;
                for _ in 0..jobs {
                    cycle(&mut node, job);
                    job += 1;
                }
                node.time_spent
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
                "decision a job, {}; ratio of 10000 to 10 workers {:.2}",
                times.join(", "),
                large / small
            );
        }
        _ => println!("decision a job, {}; ratio unknown: no estimates written", times.join(", ")),
    }
}
