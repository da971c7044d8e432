//! A simulated pool of workers with small and large jobs, with and without reservations for the large ones: whether
//! backfilling helps, and how accurate the estimates must be.

mod workload;

use crate::fleet::{next_interval, normal};
use crate::{EPOCH, SECOND, SEEDS};
use mothproxy_runtimes::backfill::{
    IdleAllowance, OccupiedSlots, Reservation, may_start_before, meets_deadline, reserve,
};
use mothproxy_runtimes::{
    AttemptId, Config, Estimate, JobFeatures, Outcome, Placement, RuntimeEstimator, WorkerKey, WorkerKind,
};
use workload::{DrawnJob, LARGE_SLOTS, WaitingJob, slots_of};

const WORKERS: usize = 8;
const SLOTS: f64 = 8.0;
const SPEEDS: [f64; 4] = [0.6, 0.85, 1.2, 1.7];
/// The maximum number of workers with a reservation at a time.
const MAX_RESERVATIONS: usize = WORKERS / 4;
const SUBJECTS: usize = 20;
/// The fraction of the time of all slots that reservations may keep idle.
const IDLE_FRACTION: f64 = 0.04;
/// The burst of idle time of each slot before [`IDLE_FRACTION`] is applied, in microseconds.
const IDLE_BURST: u64 = 10 * SECOND;
/// The time before which arriving jobs are not counted, in microseconds.
const WARM_UP: u64 = 60 * SECOND;
const END: u64 = 300 * SECOND;

/// The source of the estimates. The names of the variants appear in the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EstimateSource {
    /// The true run times, known beforehand.
    True,
    /// The estimates of a [`RuntimeEstimator`].
    Learned,
    /// The true run times multiplied by this factor.
    Times(f64),
    /// The true run times, each multiplied by a random factor; half of them are wrong by a factor of 2 or more.
    Random,
}

/// The parameters of a simulation.
#[derive(Clone, Copy)]
pub struct PoolScenario {
    pub seed: u64,
    /// The fraction of the capacity of all slots that the jobs need.
    pub load: f64,
    pub estimate_source: EstimateSource,
}

/// The order in which waiting jobs start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    /// Any job that fits starts, in the order of arrival.
    FirstFit,
    /// Waiting large jobs have reservations, and other jobs start before them only if that does not delay them.
    Backfill,
}

/// The fractions of large and small jobs that ended in time.
#[derive(Clone, Copy, Default)]
pub struct InTime {
    pub large: f64,
    pub small: f64,
}

/// The fractions of jobs that ended in time, without and with reservations.
pub struct Comparison {
    pub first_fit: InTime,
    pub backfill: InTime,
}

struct RunningJob {
    id: u64,
    worker: usize,
    slots: f64,
    started_at: u64,
    ends_at: u64,
    /// When the job was expected to end, as estimated at its start.
    estimated_end: u64,
}

/// The capacity of the workers at one time.
struct Capacity {
    /// The number of free slots of each worker.
    free: [f64; WORKERS],
    /// The reservation at each worker, if there is one.
    reserved: [Option<Reservation>; WORKERS],
}

#[derive(Clone, Copy, Default)]
struct InTimeCount {
    in_time: f64,
    jobs: f64,
}

impl InTimeCount {
    fn fraction(self) -> f64 {
        self.in_time / self.jobs
    }
}

struct Simulation {
    estimate_source: EstimateSource,
    order: Order,
    speeds: Vec<f64>,
    /// The logarithmic effects of the subjects.
    effects: Vec<f64>,
    jobs_per_s: f64,
    rng: fastrand::Rng,
    error_rng: fastrand::Rng,
    estimator: RuntimeEstimator,
    waiting: Vec<WaitingJob>,
    running: Vec<RunningJob>,
    allowance: IdleAllowance,
    /// The number of slots that reservations keep idle.
    idle: f64,
    /// Whether the allowance permits reservations.
    may_reserve: bool,
    small: InTimeCount,
    large: InTimeCount,
    now: u64,
    next_job: u64,
    next_id: u64,
}

impl Simulation {
    fn new(scenario: PoolScenario, order: Order) -> Simulation {
        let PoolScenario { seed, load, estimate_source } = scenario;
        let speeds: Vec<f64> = (0..WORKERS).map(|worker| SPEEDS[worker % SPEEDS.len()]).collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let effects: Vec<f64> = (0..SUBJECTS).map(|_| 0.6 * normal(&mut rng)).collect();
        let slot_capacity = load * SLOTS * speeds.iter().sum::<f64>();
        Simulation {
            estimate_source,
            order,
            jobs_per_s: workload::jobs_per_s(seed, &effects, slot_capacity),
            speeds,
            effects,
            rng,
            error_rng: fastrand::Rng::with_seed(seed),
            estimator: RuntimeEstimator::new(Config::new(0, EPOCH), 0).expect("the defaults are valid"),
            waiting: Vec::new(),
            running: Vec::new(),
            allowance: IdleAllowance::new(0, SLOTS * WORKERS as f64, IDLE_FRACTION, IDLE_BURST),
            idle: 0.0,
            may_reserve: true,
            small: InTimeCount::default(),
            large: InTimeCount::default(),
            now: 0,
            next_job: 0,
            next_id: 0,
        }
    }

    fn run(mut self) -> InTime {
        while self.now < END {
            self.advance();
            self.drop_late_jobs();
            self.start_jobs();
        }
        InTime { large: self.large.fraction(), small: self.small.fraction() }
    }

    /// Handles the next end or arrival of a job.
    fn advance(&mut self) {
        let next_end = self.running.iter().enumerate().min_by_key(|(_, run)| (run.ends_at, run.id));
        let next_end = next_end.map(|(index, run)| (index, run.ends_at));
        self.now = self.next_job.min(next_end.map_or(u64::MAX, |(_, at)| at));
        match next_end.filter(|(_, at)| *at == self.now) {
            Some((index, _)) => {
                let ended = self.running.swap_remove(index);
                self.estimator.on_ended(self.now, AttemptId(ended.id), Outcome::Done);
            }
            None => self.on_arrival(),
        }
    }

    fn on_arrival(&mut self) {
        let DrawnJob { is_large, subject, work } = DrawnJob::draw(&mut self.rng, &self.effects);
        let class = JobFeatures::from_class(u64::from(is_large));
        let estimate_error = match self.estimate_source {
            EstimateSource::Times(factor) => factor,
            EstimateSource::Random => normal(&mut self.error_rng).exp(),
            EstimateSource::True | EstimateSource::Learned => 1.0,
        };
        self.waiting.push(WaitingJob {
            id: self.next_id,
            arrived_at: self.now,
            is_large,
            features: JobFeatures { subject: Some(subject as u64), ..class },
            work,
            estimate_error,
        });
        self.next_id += 1;
        self.next_job = self.now + next_interval(&mut self.rng, self.jobs_per_s);
    }

    fn count(&mut self, is_large: bool, is_in_time: bool) {
        let count = if is_large { &mut self.large } else { &mut self.small };
        count.jobs += 1.0;
        count.in_time += f64::from(u8::from(is_in_time));
    }

    /// Drops the jobs whose clients have left.
    fn drop_late_jobs(&mut self) {
        let now = self.now;
        let is_late = |job: &WaitingJob| now > job.arrived_at + 6 * job.objective();
        let (late, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_late);
        self.waiting = waiting;
        let late: Vec<WaitingJob> = late;
        for job in late.iter().filter(|job| job.arrived_at >= WARM_UP) {
            self.count(job.is_large, false);
        }
    }

    /// Starts the waiting jobs that may start, in the order of their arrival, and reserves slots for others.
    fn start_jobs(&mut self) {
        let mut capacity = Capacity { free: [SLOTS; WORKERS], reserved: [None; WORKERS] };
        self.running.iter().for_each(|run| capacity.free[run.worker] -= run.slots);
        if self.order == Order::Backfill {
            self.may_reserve = self.allowance.update(self.now, self.idle);
        }
        let mut index = 0;
        while index < self.waiting.len() {
            match self.best_worker(&self.waiting[index], &capacity) {
                Some(worker) => {
                    let job = self.waiting.remove(index);
                    self.start(&job, worker, &mut capacity);
                }
                None => {
                    self.try_reserve(&self.waiting[index], &mut capacity);
                    index += 1;
                }
            }
        }
        let reserved = (0..WORKERS).filter(|worker| capacity.reserved[*worker].is_some());
        self.idle = reserved.map(|worker| capacity.free[worker]).sum();
        if self.order == Order::Backfill {
            self.allowance.update(self.now, self.idle);
        }
    }

    fn placement(&self, worker: usize) -> Placement {
        Placement {
            kind: WorkerKind((worker % SPEEDS.len()) as u32 + 1),
            worker: WorkerKey(worker as u64 + 1),
        }
    }

    /// How long a job will run at a worker.
    fn estimate(&self, job: &WaitingJob, worker: usize) -> Estimate {
        if self.estimate_source == EstimateSource::Learned {
            return self.estimator.estimate(&job.features, self.placement(worker).kind, None);
        }
        let runtime = (job.work * job.estimate_error / self.speeds[worker]) as u64;
        Estimate { typical: runtime, long: runtime }
    }

    /// When a running job will end.
    fn expected_end(&self, run: &RunningJob) -> u64 {
        match self.estimate_source {
            EstimateSource::True => run.ends_at,
            EstimateSource::Learned => {
                let remaining = self.estimator.remaining(self.now, AttemptId(run.id));
                remaining.map_or(self.now, |left| self.now + left.typical)
            }
            // A job that exceeds its estimate is expected to run for a further quarter of its time so far.
            EstimateSource::Times(_) | EstimateSource::Random => {
                run.estimated_end.max(self.now + (self.now - run.started_at) / 4)
            }
        }
    }

    /// The worker with the most room among those at which a job may start now.
    fn best_worker(&self, job: &WaitingJob, capacity: &Capacity) -> Option<usize> {
        let slots = slots_of(job.is_large);
        // A small job that has used half of its slack ignores reservations: they may cost slack, but not delay a job beyond
        // its deadline.
        let slack = job.objective().saturating_sub(self.estimate(job, 0).typical);
        let has_used_half_of_slack = 2 * (self.now - job.arrived_at) > slack;
        let fits = |&worker: &usize| {
            let may_pass = |reservation: Reservation| {
                let long = self.estimate(job, worker).long;
                has_used_half_of_slack && !job.is_large
                    || may_start_before(self.now, slots, long, &reservation)
            };
            capacity.free[worker] >= slots && capacity.reserved[worker].is_none_or(may_pass)
        };
        let room =
            |worker: &usize| (capacity.free[*worker] * 10.0) as u64 + (self.speeds[*worker] * 10.0) as u64;
        (0..WORKERS).filter(fits).max_by_key(room)
    }

    fn start(&mut self, job: &WaitingJob, worker: usize, capacity: &mut Capacity) {
        let now = self.now;
        let slots = slots_of(job.is_large);
        let ends_at = now + (job.work / self.speeds[worker]) as u64 + 1;
        let estimated_end = now + self.estimate(job, worker).typical;
        self.estimator.on_started(now, AttemptId(job.id), &job.features, self.placement(worker));
        if job.arrived_at >= WARM_UP {
            self.count(job.is_large, ends_at <= job.deadline());
        }
        self.running.push(RunningJob { id: job.id, worker, slots, started_at: now, ends_at, estimated_end });
        capacity.free[worker] -= slots;
        // The job may use slots that the reservation counted as additional, so the reservation is computed again.
        if let Some(reservation) = capacity.reserved[worker] {
            let renewed = self.earliest(worker, LARGE_SLOTS, capacity);
            capacity.reserved[worker] = renewed.or(Some(reservation));
        }
    }

    /// Reserves slots for a large job at the worker where it would end first, if it would end in time there.
    fn try_reserve(&self, job: &WaitingJob, capacity: &mut Capacity) {
        let reservations = capacity.reserved.iter().flatten().count();
        let is_allowed = self.order == Order::Backfill && self.may_reserve;
        if !is_allowed || !job.is_large || reservations >= MAX_RESERVATIONS {
            return;
        }
        let best = (0..WORKERS)
            .filter(|worker| capacity.reserved[*worker].is_none())
            .filter_map(|worker| Some((worker, self.earliest(worker, LARGE_SLOTS, capacity)?)))
            .min_by_key(|(worker, at)| (at.at + (job.work / self.speeds[*worker]) as u64, *worker));
        let Some((worker, reservation)) = best else { return };
        if meets_deadline(&reservation, self.estimate(job, worker).typical, job.deadline()) {
            capacity.reserved[worker] = Some(reservation);
        }
    }

    /// The earliest time at which `slots` slots are expected to be free at a worker.
    fn earliest(&self, worker: usize, slots: f64, capacity: &Capacity) -> Option<Reservation> {
        let running = self.running.iter().filter(|run| run.worker == worker);
        let mut occupied: Vec<OccupiedSlots> =
            running.map(|run| OccupiedSlots { ends_at: self.expected_end(run), slots: run.slots }).collect();
        reserve(self.now, capacity.free[worker], slots, &mut occupied)
    }
}

/// The mean results over [`SEEDS`] consecutive seeds from that of the scenario on, in both orders.
pub fn compare(scenario: PoolScenario) -> Comparison {
    let mean = |order: Order| {
        let runs = (0..SEEDS)
            .map(|n| Simulation::new(PoolScenario { seed: scenario.seed + n, ..scenario }, order).run());
        runs.fold(InTime::default(), |mean, run| InTime {
            large: mean.large + run.large / SEEDS as f64,
            small: mean.small + run.small / SEEDS as f64,
        })
    };
    Comparison { first_fit: mean(Order::FirstFit), backfill: mean(Order::Backfill) }
}
