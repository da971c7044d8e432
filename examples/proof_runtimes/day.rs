//! A simulation of a fleet: dispatchers estimate the jobs that they start, alone or sharing their observations, and another
//! dispatcher joins later.

use crate::carrier::FactTransport;
use crate::fleet::{Fleet, Job, next_interval};
use crate::loss::{ClassMean, Loss};
use crate::{EPOCH, SECOND};
use mothproxy_runtimes::{AttemptId, Config, Estimate, Origin, Outcome, RuntimeEstimator};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A period of the simulated time, in seconds from the start.
pub struct Period {
    pub from: u64,
    pub to: u64,
}

/// The periods over which results are averaged.
pub const PERIODS: [Period; 5] = [
    Period { from: 0, to: 10 },
    Period { from: 10, to: 30 },
    Period { from: 30, to: 100 },
    Period { from: 100, to: 150 },
    Period { from: 150, to: 230 },
];
/// The index of the last period.
pub const LAST_PERIOD: usize = PERIODS.len() - 1;
/// The time at which a new dispatcher joins, in seconds from the start.
const JOIN_AT: u64 = 150;
/// The ends of consecutive periods after [`JOIN_AT`], in seconds from [`JOIN_AT`].
const JOINED_PERIOD_ENDS: [u64; 3] = [10, 30, 100];
/// The rate of jobs at all dispatchers together, per second.
const JOBS_PER_S: f64 = 100.0;
/// The fraction of jobs that are cancelled, each at a random time before its end.
const CANCELLED_FRACTION: f64 = 0.02;
/// The interval at which dispatchers publish and receive facts, in microseconds.
const ROUND_INTERVAL: u64 = SECOND / 4;
/// The number of facts that each member receives again every second.
const REPAIRED_FACTS: usize = 25;

/// The parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub seed: u64,
    /// The number of dispatchers at the start.
    pub dispatchers: u16,
    pub is_sharing: bool,
    /// The time limit of jobs, as a multiple of the scale of their class ([`Fleet::class_scale`]).
    pub time_limit: f64,
    /// Whether to inject the fault [`Config::censored_as_short`].
    pub has_fault: bool,
}

/// The losses of estimates in a simulation.
#[derive(Default)]
pub struct Losses {
    /// The losses of the estimators, by period.
    pub learned: [Loss; PERIODS.len()],
    /// The losses of the true quantiles, by period.
    pub oracle: [Loss; PERIODS.len()],
    /// The losses of the class means, by period.
    pub mean: [Loss; PERIODS.len()],
    /// The losses of the dispatcher that joins, by period since it joined.
    pub joined: [Loss; JOINED_PERIOD_ENDS.len()],
    /// The losses of the other dispatchers, by period since one joined.
    pub others: [Loss; JOINED_PERIOD_ENDS.len()],
}

/// The results of a simulation.
pub struct ScenarioResult {
    pub losses: Losses,
    /// The bytes that the first dispatcher published per second.
    pub published_bytes_per_s: f64,
    /// The maximum memory of a dispatcher at the end, in bytes.
    pub memory: usize,
    /// The number of summaries that the first dispatcher holds at the end.
    pub summaries: usize,
    /// The number of deliveries of facts.
    pub facts: u64,
    /// The fraction of the first dispatcher's jobs that were censored.
    pub censored: f64,
    /// The first dispatcher's estimator.
    pub first: RuntimeEstimator,
}

impl ScenarioResult {
    /// The excess of the estimators' loss over that of the true quantiles, as a fraction of the excess of the class mean's
    /// loss: 0 is as good as knowing the distribution, 1 as bad as the class mean.
    pub fn excess(&self, period: usize) -> [f64; 2] {
        let Losses { learned, oracle, mean, .. } = &self.losses;
        let (learned, oracle) = (learned[period].mean_pinball(), oracle[period].mean_pinball());
        let mean = mean[period].mean_pinball();
        [0, 1].map(|index| (learned[index] - oracle[index]) / (mean[index] - oracle[index]).max(1e-9))
    }
}

/// The end of a running job, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobEnd {
    at: u64,
    id: u64,
    dispatcher: usize,
    class: usize,
    /// Whether the job ran to its end, neither cut off by the time limit nor cancelled.
    is_done: bool,
}

struct Simulation {
    scenario: Scenario,
    fleet: Fleet,
    rng: fastrand::Rng,
    transport: FactTransport,
    dispatchers: Vec<RuntimeEstimator>,
    class_means: Vec<ClassMean>,
    ends: BinaryHeap<Reverse<JobEnd>>,
    /// The logarithmic run times of the running jobs.
    log_runtimes: BTreeMap<u64, f64>,
    losses: Losses,
    now: u64,
    next_job: u64,
    next_round: u64,
    next_id: u64,
}

/// Runs a simulation to its end.
pub fn simulate(scenario: Scenario) -> ScenarioResult {
    let mut simulation = Simulation::new(scenario);
    let end = PERIODS[LAST_PERIOD].to * SECOND;
    while simulation.now < end {
        simulation.advance();
    }
    simulation.into_result()
}

fn new_dispatcher(scenario: &Scenario, place: u16, now: u64) -> RuntimeEstimator {
    let config = Config { censored_as_short: scenario.has_fault, ..Config::new(place, EPOCH + now / 1_000) };
    RuntimeEstimator::new(config, now).expect("the defaults are valid")
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let fleet = Fleet::new(scenario.seed);
        Simulation {
            rng: fastrand::Rng::with_seed(scenario.seed.wrapping_mul(31) + u64::from(scenario.dispatchers)),
            transport: FactTransport::new(scenario.seed ^ 5),
            dispatchers: (0..scenario.dispatchers).map(|place| new_dispatcher(&scenario, place, 0)).collect(),
            class_means: (0..fleet.class_count()).map(|_| ClassMean::default()).collect(),
            fleet,
            scenario,
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

    /// Lets the new dispatcher join if it is time, and exchanges facts.
    fn on_round(&mut self) {
        let has_joined = self.dispatchers.len() > usize::from(self.scenario.dispatchers);
        if !has_joined && self.now >= JOIN_AT * SECOND {
            self.dispatchers.push(new_dispatcher(&self.scenario, self.scenario.dispatchers, self.now));
        }
        if self.scenario.is_sharing {
            self.exchange_facts();
        }
        self.next_round += ROUND_INTERVAL;
    }

    fn exchange_facts(&mut self) {
        let (now, count) = (self.now, self.dispatchers.len() as u16);
        for (place, dispatcher) in (0..).zip(&mut self.dispatchers) {
            let epoch = if place == self.scenario.dispatchers { EPOCH + JOIN_AT * 1_000 } else { EPOCH };
            while let Some((slot, bytes)) = dispatcher.publish(now) {
                self.transport.publish(now, Origin { place, epoch }, slot, bytes, count);
            }
        }
        if now % SECOND == 0 {
            self.transport.repair(now, count, REPAIRED_FACTS);
        }
        self.transport.deliver(now, &mut self.dispatchers);
    }

    /// Handles the arrival of a job at a dispatcher, which estimates and starts it.
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
        let period = PERIODS.iter().position(|period| self.now < period.to * SECOND).unwrap_or(LAST_PERIOD);
        let since_join = self.now.checked_sub(JOIN_AT * SECOND);
        let joined_period =
            since_join.and_then(|since| JOINED_PERIOD_ENDS.iter().position(|end| since < end * SECOND));
        let losses = &mut self.losses;
        if dispatcher == usize::from(self.scenario.dispatchers) {
            if let Some(joined_period) = joined_period {
                losses.joined[joined_period].add(job, estimate);
            }
            return;
        }
        losses.learned[period].add(job, estimate);
        losses.oracle[period].add(job, job.log_quantiles);
        losses.mean[period].add(job, self.class_means[job.class].estimate());
        if let Some(joined_period) = joined_period {
            losses.others[joined_period].add(job, estimate);
        }
    }

    /// Schedules the end of a job: by itself, at the time limit, or when it is cancelled.
    fn schedule_end(&mut self, job: &Job, dispatcher: usize) {
        let runtime = job.log_runtime.exp();
        let limit = self.fleet.class_scale(job.class) * self.scenario.time_limit;
        let cancelled_after =
            if self.rng.f64() < CANCELLED_FRACTION { runtime * self.rng.f64() } else { f64::INFINITY };
        let observed = runtime.min(limit).min(cancelled_after);
        self.ends.push(Reverse(JobEnd {
            at: self.now + observed as u64 + 1,
            id: self.next_id,
            dispatcher,
            class: job.class,
            is_done: observed >= runtime,
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

    fn into_result(mut self) -> ScenarioResult {
        let first = self.dispatchers[0].metrics();
        let memory = self.dispatchers.iter().map(|dispatcher| dispatcher.metrics().bytes).max();
        ScenarioResult {
            losses: self.losses,
            published_bytes_per_s: first.published_bytes as f64 / PERIODS[LAST_PERIOD].to as f64,
            memory: memory.unwrap_or(0),
            summaries: first.summaries,
            facts: self.transport.deliveries,
            censored: first.censored as f64 / first.seen as f64,
            first: self.dispatchers.swap_remove(0),
        }
    }
}
