//! A day of a fleet: dispatchers estimate the jobs that they start, alone or sharing what they learn, and another one joins.

use crate::carrier::Carrier;
use crate::fleet::{Fleet, Job, next_interval};
use crate::loss::{ClassMean, Loss};
use crate::{EPOCH, SECOND};
use mothproxy_runtimes::{AttemptId, Config, Estimate, Origin, Outcome, RuntimeEstimator};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A part of the day, in seconds from its start.
pub struct Part {
    pub from: u64,
    pub to: u64,
}

/// The parts of the day.
pub const PARTS: [Part; 5] = [
    Part { from: 0, to: 10 },
    Part { from: 10, to: 30 },
    Part { from: 30, to: 100 },
    Part { from: 100, to: 150 },
    Part { from: 150, to: 230 },
];
/// The last part of the day.
pub const LAST: usize = PARTS.len() - 1;
/// A new dispatcher joins then, in seconds from the start.
const JOINS_AT: u64 = 150;
/// The ends of the parts of the time after that, in seconds from then.
const JOINED_PARTS: [u64; 3] = [10, 30, 100];
/// Jobs per second of all dispatchers.
const JOBS_PER_S: f64 = 100.0;
/// Jobs that are cancelled anywhere before their end.
const CANCELLED: f64 = 0.02;
/// Dispatchers publish and receive at this interval, in microseconds.
const ROUND_INTERVAL: u64 = SECOND / 4;
/// Facts that each member receives again every second.
const REPAIRED_FACTS: usize = 25;

/// What is simulated.
#[derive(Clone, Copy)]
pub struct DayPlan {
    pub seed: u64,
    /// Dispatchers at the start.
    pub dispatchers: u16,
    pub is_sharing: bool,
    /// Jobs are cut off at so many times the middle of their class.
    pub time_limit: f64,
    /// The seeded fault of [`Config::censored_as_short`].
    pub has_fault: bool,
}

/// The losses of a day.
#[derive(Default)]
pub struct Losses {
    /// Of the estimators, by part of the day.
    pub learned: [Loss; PARTS.len()],
    /// Of the true quantiles.
    pub oracle: [Loss; PARTS.len()],
    /// Of the class means.
    pub mean: [Loss; PARTS.len()],
    /// Of the dispatcher that joins, by the time since then.
    pub joined: [Loss; JOINED_PARTS.len()],
    /// Of the others meanwhile.
    pub others: [Loss; JOINED_PARTS.len()],
}

/// What a day comes to.
pub struct Day {
    pub losses: Losses,
    /// Bytes that the first dispatcher published per second.
    pub published_bytes_per_s: f64,
    /// The most memory of a dispatcher, in bytes.
    pub memory: usize,
    /// Summaries that the first dispatcher keeps.
    pub summaries: usize,
    /// Facts delivered.
    pub facts: u64,
    /// The fraction of jobs that were censored.
    pub censored: f64,
    /// The first dispatcher's estimator.
    pub first: RuntimeEstimator,
}

impl Day {
    /// The loss above that of the true quantiles, as a fraction of what the class mean's is above it: 0 is as good as knowing
    /// the distribution, 1 as bad as the class mean.
    pub fn excess(&self, part: usize) -> [f64; 2] {
        let Losses { learned, oracle, mean, .. } = &self.losses;
        let (learned, oracle) = (learned[part].mean_pinball(), oracle[part].mean_pinball());
        let mean = mean[part].mean_pinball();
        [0, 1].map(|index| (learned[index] - oracle[index]) / (mean[index] - oracle[index]).max(1e-9))
    }
}

/// The end of a job that runs, ordered by its time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobEnd {
    at: u64,
    id: u64,
    dispatcher: usize,
    class: usize,
    /// It was not cut off or cancelled.
    is_done: bool,
}

struct Simulation {
    plan: DayPlan,
    fleet: Fleet,
    rng: fastrand::Rng,
    carrier: Carrier,
    dispatchers: Vec<RuntimeEstimator>,
    class_means: Vec<ClassMean>,
    ends: BinaryHeap<Reverse<JobEnd>>,
    /// The logarithmic run times of the jobs that run.
    log_runtimes: BTreeMap<u64, f64>,
    losses: Losses,
    now: u64,
    next_job: u64,
    next_round: u64,
    next_id: u64,
}

/// Simulates a day.
pub fn simulate(plan: DayPlan) -> Day {
    let mut simulation = Simulation::new(plan);
    let end = PARTS[LAST].to * SECOND;
    while simulation.now < end {
        simulation.advance();
    }
    simulation.into_day()
}

fn new_dispatcher(plan: &DayPlan, place: u16, now: u64) -> RuntimeEstimator {
    let config = Config { censored_as_short: plan.has_fault, ..Config::new(place, EPOCH + now / 1_000) };
    RuntimeEstimator::new(config, now).expect("the defaults are valid")
}

impl Simulation {
    fn new(plan: DayPlan) -> Simulation {
        let fleet = Fleet::new(plan.seed);
        Simulation {
            rng: fastrand::Rng::with_seed(plan.seed.wrapping_mul(31) + u64::from(plan.dispatchers)),
            carrier: Carrier::new(plan.seed ^ 5),
            dispatchers: (0..plan.dispatchers).map(|place| new_dispatcher(&plan, place, 0)).collect(),
            class_means: (0..fleet.class_count()).map(|_| ClassMean::default()).collect(),
            fleet,
            plan,
            ends: BinaryHeap::new(),
            log_runtimes: BTreeMap::new(),
            losses: Losses::default(),
            now: 0,
            next_job: 0,
            next_round: 0,
            next_id: 0,
        }
    }

    /// Handles the next event.
    fn advance(&mut self) {
        let next_end = self.ends.peek().map_or(u64::MAX, |end| end.0.at);
        self.now = self.next_job.min(self.next_round).min(next_end);
        if self.next_round == self.now {
            self.on_round();
        } else if self.next_job == self.now {
            self.on_job();
        } else if let Some(Reverse(end)) = self.ends.pop() {
            self.on_end(end);
        }
    }

    /// Another dispatcher joins if it is time, and facts are exchanged.
    fn on_round(&mut self) {
        let has_joined = self.dispatchers.len() > usize::from(self.plan.dispatchers);
        if !has_joined && self.now >= JOINS_AT * SECOND {
            self.dispatchers.push(new_dispatcher(&self.plan, self.plan.dispatchers, self.now));
        }
        if self.plan.is_sharing {
            self.exchange_facts();
        }
        self.next_round += ROUND_INTERVAL;
    }

    fn exchange_facts(&mut self) {
        let (now, count) = (self.now, self.dispatchers.len() as u16);
        for (place, dispatcher) in (0..).zip(&mut self.dispatchers) {
            let epoch = if place == self.plan.dispatchers { EPOCH + JOINS_AT * 1_000 } else { EPOCH };
            while let Some((slot, bytes)) = dispatcher.publish(now) {
                self.carrier.publish(now, Origin { place, epoch }, slot, bytes, count);
            }
        }
        if now % SECOND == 0 {
            self.carrier.repair(now, count, REPAIRED_FACTS);
        }
        self.carrier.deliver(now, &mut self.dispatchers);
    }

    /// A job arrives at a dispatcher, which estimates and starts it.
    fn on_job(&mut self) {
        let job = self.fleet.draw_job(&mut self.rng);
        let index = self.rng.usize(..self.dispatchers.len());
        let dispatcher = &mut self.dispatchers[index];
        let Estimate { typical, long } =
            dispatcher.estimate(&job.features, job.placement.kind, Some(job.placement.worker));
        dispatcher.on_started(self.now, AttemptId(self.next_id), &job.features, job.placement);
        self.record(&job, index, [(typical as f64).ln(), (long as f64).ln()]);
        self.schedule_end(&job, index);
        self.next_id += 1;
        self.next_job = self.now + next_interval(&mut self.rng, JOBS_PER_S);
    }

    /// Records the losses of a dispatcher's estimate.
    fn record(&mut self, job: &Job, dispatcher: usize, estimate: [f64; 2]) {
        let part = PARTS.iter().position(|part| self.now < part.to * SECOND).unwrap_or(LAST);
        let since_join = self.now.checked_sub(JOINS_AT * SECOND);
        let joined_part =
            since_join.and_then(|since| JOINED_PARTS.iter().position(|end| since < end * SECOND));
        let losses = &mut self.losses;
        if dispatcher == usize::from(self.plan.dispatchers) {
            if let Some(joined_part) = joined_part {
                losses.joined[joined_part].add(job, estimate);
            }
            return;
        }
        losses.learned[part].add(job, estimate);
        losses.oracle[part].add(job, job.log_quantiles);
        losses.mean[part].add(job, self.class_means[job.class].estimate());
        if let Some(joined_part) = joined_part {
            losses.others[joined_part].add(job, estimate);
        }
    }

    /// A job ends by itself, or is cut off or cancelled before.
    fn schedule_end(&mut self, job: &Job, dispatcher: usize) {
        let runtime = job.log_runtime.exp();
        let limit = self.fleet.class_middle(job.class) * self.plan.time_limit;
        let cancelled_after =
            if self.rng.f64() < CANCELLED { runtime * self.rng.f64() } else { f64::INFINITY };
        let seen = runtime.min(limit).min(cancelled_after);
        self.ends.push(Reverse(JobEnd {
            at: self.now + seen as u64 + 1,
            id: self.next_id,
            dispatcher,
            class: job.class,
            is_done: seen >= runtime,
        }));
        self.log_runtimes.insert(self.next_id, job.log_runtime);
    }

    fn on_end(&mut self, end: JobEnd) {
        let JobEnd { id, dispatcher, class, is_done, .. } = end;
        let log_runtime = self.log_runtimes.remove(&id).unwrap_or_default();
        let outcome = if is_done { Outcome::Done } else { Outcome::Censored };
        self.dispatchers[dispatcher].on_ended(self.now, AttemptId(id), outcome);
        if is_done {
            self.class_means[class].add(log_runtime);
        }
    }

    fn into_day(mut self) -> Day {
        let first = self.dispatchers[0].metrics();
        let memory = self.dispatchers.iter().map(|dispatcher| dispatcher.metrics().bytes).max();
        Day {
            losses: self.losses,
            published_bytes_per_s: first.published_bytes as f64 / PARTS[LAST].to as f64,
            memory: memory.unwrap_or(0),
            summaries: first.summaries,
            facts: self.carrier.deliveries,
            censored: first.censored as f64 / first.seen as f64,
            first: self.dispatchers.swap_remove(0),
        }
    }
}
