//! The module's time for one job, at 10, 100, 1,000 and 10,000 workers: `make bench-decision`.
//!
//! Each job is one whole cycle through [`Dispatcher::handle`]: it arrives, is sent, ends served with a load report,
//! and the clock moves on by a millisecond, ringing whatever alarms fall due and answering probes at once. The
//! dispatcher is one of 30 in a fleet, so that the groups of `src/share.rs` are dealt and reviewed as on the mass
//! days. The last line gives the ratio of the time a job at 10,000 workers to that at 10 (issue 21 asks 4 or less).

use criterion::{BenchmarkId, Criterion, Throughput};
use mothproxy::interface::*;
use mothproxy::rules::Dispatcher;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
const MS: Micros = 1_000;

/// A hand-driven dispatcher whose workers answer at once.
struct Rig {
    dispatcher: Dispatcher,
    now: Micros,
    alarms: BinaryHeap<Reverse<(Micros, u64)>>,
    attempts: HashMap<u64, u32>,
    acts: Vec<Action>,
    next: u64,
}

fn report() -> Report {
    Report { cpu: Some(0.3), free_slots: Some(4.0), active: Some(1.0), ..Report::default() }
}

impl Rig {
    fn new(workers: u32) -> Rig {
        let settings = Settings { me: 0, nodes: 30, may_probe: true, may_tell: true, ..Settings::default() };
        let dispatcher = Dispatcher::new(settings, 7).expect("the default settings agree");
        let mut rig = Rig {
            dispatcher,
            now: 1_000 * MS,
            alarms: BinaryHeap::new(),
            attempts: HashMap::new(),
            acts: Vec::new(),
            next: 0,
        };
        let entries = (0..workers)
            .map(|w| RosterEntry {
                worker: WorkerId(w),
                tag: u64::from(w).wrapping_mul(0x9E37_79B9_7F4A_7C15),
                zone: ZoneId((w % 3) as u16),
                kind: KindId(0),
                cell: CellId(w % 16),
                status: Status::Ready,
                weight: 1.0,
                started_at: None,
            })
            .collect();
        rig.feed(Event::Roster(RosterKind::Whole, entries));
        // Past the cold start and the first probes, into the steady state.
        (0..2_000).for_each(|_| rig.job());
        rig
    }

    /// Feeds one event and everything that it leads to at once.
    fn feed(&mut self, first: Event) {
        let mut pending = vec![first];
        while let Some(event) = pending.pop() {
            self.dispatcher.handle(self.now, event, &mut self.acts);
            for act in self.acts.drain(..) {
                match act {
                    Action::SetAlarm(id, after) => self.alarms.push(Reverse((self.now + after.max(1), id.0))),
                    Action::Probe(worker) => pending.push(Event::Probed(Probed {
                        worker,
                        outcome: Outcome::Ok,
                        elapsed: 300,
                        report: Some(report()),
                    })),
                    Action::Send { job, worker, .. } => {
                        let attempt = self.attempts.entry(job.0).or_insert(0);
                        pending.push(Event::Ended(Ended {
                            job,
                            attempt: *attempt,
                            worker,
                            elapsed: 50 * MS,
                            closed: true,
                            outcome: Outcome::Ok,
                            report: Some(report()),
                        }));
                        *attempt += 1;
                    }
                    Action::Refuse { job, .. } | Action::Fail(job) => {
                        self.attempts.remove(&job.0);
                    }
                    _ => {}
                }
            }
        }
    }

    /// One job's whole cycle, and a millisecond of the clock.
    fn job(&mut self) {
        let job = JobId(self.next);
        self.next += 1;
        self.feed(Event::Arrived(NewJob {
            job,
            class: ClassId(0),
            tenant: None,
            key: None,
            deadline: self.now + 5_000 * MS,
            hint: Some(50 * MS),
            slots: 1.0,
            memory: None,
            repeat: false,
            estimate: None,
            worth: None,
        }));
        self.attempts.remove(&job.0);
        self.now += MS;
        while let Some(&Reverse((at, id))) = self.alarms.peek() {
            if at > self.now {
                break;
            }
            self.alarms.pop();
            self.feed(Event::Alarm(AlarmId(id)));
        }
    }
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
        let mut rig = Rig::new(workers);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &workers, |b, _| b.iter(|| rig.job()));
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
            )
        }
        _ => println!("decision a job, {}; ratio unknown: no estimates written", times.join(", ")),
    }
}
