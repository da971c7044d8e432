//! The simulated fleet and its jobs: heavy-tailed run times whose true distributions are known.

use crate::{QUANTILES, SECOND};
use mothproxy_runtimes::{JobFeatures, Placement, WorkerKey, WorkerKind, stable_hash};

/// The number of samples from which the true quantiles of a class are computed.
const SAMPLES: usize = 40_000;
/// The speed of each kind of worker.
const KIND_SPEEDS: [f64; 4] = [0.6, 0.85, 1.2, 1.7];
const WORKERS: usize = 40;
/// The probability that a job belongs to the main tenant of its subject.
const MAIN_TENANT_PROBABILITY: f64 = 0.7;

/// A draw from the standard normal distribution (Box-Muller transform).
pub fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// The time to the next event of a Poisson process with this rate, in microseconds.
pub fn next_interval(rng: &mut fastrand::Rng, events_per_s: f64) -> u64 {
    (-(1.0 - rng.f64()).ln() / events_per_s * SECOND as f64) as u64 + 1
}

/// The distribution of the work of a class's jobs, with its coefficient of variation.
#[derive(Clone, Copy)]
enum WorkDistribution {
    Lognormal { cv: f64 },
    Pareto { cv: f64 },
}

impl WorkDistribution {
    /// Draws the logarithm of a job's work relative to the scale of its class. A fraction of `stretched_fraction` of the jobs
    /// takes 5 to 29 times as long.
    fn draw_log(self, stretched_fraction: f64, rng: &mut fastrand::Rng) -> f64 {
        let base = match self {
            WorkDistribution::Lognormal { cv } => (1.0 + cv * cv).ln().sqrt() * normal(rng),
            WorkDistribution::Pareto { cv } => {
                -(1.0 - rng.f64()).ln() / (1.0 + (1.0 + 1.0 / (cv * cv)).sqrt())
            }
        };
        let is_stretched = rng.f64() < stretched_fraction;
        base + if is_stretched { 5f64.ln() + rng.f64() * (29f64 / 5.0).ln() } else { 0.0 }
    }
}

/// The parameters of a class.
struct ClassParameters {
    /// The scale of the work, in seconds: the median for [`WorkDistribution::Lognormal`], the minimum for
    /// [`WorkDistribution::Pareto`].
    scale_s: f64,
    distribution: WorkDistribution,
    stretched_fraction: f64,
}

const CLASSES: [ClassParameters; 6] = [
    ClassParameters {
        scale_s: 0.03,
        distribution: WorkDistribution::Lognormal { cv: 1.4 },
        stretched_fraction: 0.005,
    },
    ClassParameters {
        scale_s: 0.08,
        distribution: WorkDistribution::Lognormal { cv: 1.8 },
        stretched_fraction: 0.03,
    },
    ClassParameters {
        scale_s: 0.15,
        distribution: WorkDistribution::Pareto { cv: 1.4 },
        stretched_fraction: 0.01,
    },
    ClassParameters {
        scale_s: 0.25,
        distribution: WorkDistribution::Lognormal { cv: 2.6 },
        stretched_fraction: 0.01,
    },
    ClassParameters {
        scale_s: 0.5,
        distribution: WorkDistribution::Pareto { cv: 2.6 },
        stretched_fraction: 0.02,
    },
    ClassParameters {
        scale_s: 1.2,
        distribution: WorkDistribution::Lognormal { cv: 1.4 },
        stretched_fraction: 0.005,
    },
];

/// A class of jobs. All effects are logarithms.
struct Class {
    /// The logarithm of the scale of the work in microseconds.
    log_scale: f64,
    distribution: WorkDistribution,
    stretched_fraction: f64,
    tenants: Vec<f64>,
    subjects: Vec<f64>,
    sizes: Vec<f64>,
    /// The true [`QUANTILES`] of the logarithm of the work, relative to the scale and the effects.
    quantiles: [f64; 2],
}

impl Class {
    fn new(
        parameters: &ClassParameters,
        seed: u64,
        mut effects: impl FnMut(usize, f64) -> Vec<f64>,
    ) -> Class {
        let ClassParameters { scale_s, distribution, stretched_fraction } = *parameters;
        let mut rng = fastrand::Rng::with_seed(seed ^ 77);
        let mut logs: Vec<f64> =
            (0..SAMPLES).map(|_| distribution.draw_log(stretched_fraction, &mut rng)).collect();
        logs.sort_by(f64::total_cmp);
        Class {
            log_scale: f64::ln(scale_s * SECOND as f64),
            distribution,
            stretched_fraction,
            tenants: effects(12, 0.4),
            subjects: effects(40, 0.7),
            sizes: effects(4, 0.3),
            quantiles: QUANTILES.map(|quantile| logs[(quantile * SAMPLES as f64) as usize]),
        }
    }
}

struct Worker {
    kind: usize,
    /// How much slower the worker is than its kind, as a logarithm.
    slowness: f64,
}

/// A fleet and the true parameters of its jobs.
pub struct Fleet {
    classes: Vec<Class>,
    /// The logarithmic slowness of each kind.
    kinds: Vec<f64>,
    workers: Vec<Worker>,
}

/// A job and the worker at which it runs.
pub struct Job {
    pub class: usize,
    pub features: JobFeatures,
    pub placement: Placement,
    /// The logarithm of the true run time in microseconds.
    pub log_runtime: f64,
    /// The logarithms of the true [`QUANTILES`] of run times of jobs with the same features and worker.
    pub log_quantiles: [f64; 2],
}

impl Fleet {
    pub fn new(seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut effects = |count: usize, deviation: f64| -> Vec<f64> {
            (0..count).map(|_| deviation * normal(&mut rng)).collect()
        };
        let classes = CLASSES.iter().map(|parameters| Class::new(parameters, seed, &mut effects)).collect();
        let kinds: Vec<f64> = KIND_SPEEDS.iter().map(|speed| -speed.ln()).collect();
        let workers = effects(WORKERS, 0.12).into_iter().enumerate();
        let workers = workers.map(|(n, slowness)| Worker { kind: n % KIND_SPEEDS.len(), slowness }).collect();
        Fleet { classes, kinds, workers }
    }

    /// The number of classes.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// The scale of a class's work, in microseconds.
    pub fn class_scale(&self, class: usize) -> f64 {
        self.classes[class].log_scale.exp()
    }

    /// Draws a job. Popular subjects have most of the jobs, and most of a subject's jobs are of one tenant.
    pub fn draw_job(&self, rng: &mut fastrand::Rng) -> Job {
        let class_index = rng.usize(..self.classes.len());
        let class = &self.classes[class_index];
        let subject = (class.subjects.len() as f64 * rng.f64().powi(2)) as usize;
        let tenant = if rng.f64() < MAIN_TENANT_PROBABILITY {
            subject % class.tenants.len()
        } else {
            rng.usize(..class.tenants.len())
        };
        let size = rng.usize(..class.sizes.len());
        let number = self.draw_worker(subject, rng);
        let worker = &self.workers[number];
        let work = class.log_scale + class.tenants[tenant] + class.subjects[subject] + class.sizes[size];
        let expected = work + self.kinds[worker.kind] + worker.slowness;
        let hash = |what: &str, n: usize| stable_hash(format!("{what}{n}").as_bytes());
        Job {
            class: class_index,
            features: JobFeatures {
                class: hash("class", class_index),
                tenant: Some(hash("tenant", tenant)),
                subject: Some(hash("subject", subject)),
                attributes: [Some(size as u64), None],
            },
            placement: Placement {
                kind: WorkerKind(worker.kind as u32 + 1),
                worker: WorkerKey(number as u64 + 1),
            },
            log_runtime: expected + class.distribution.draw_log(class.stretched_fraction, rng),
            log_quantiles: class.quantiles.map(|quantile| expected + quantile),
        }
    }

    /// Draws the index of a worker. Half of the jobs go to the kind that holds their subject's data.
    fn draw_worker(&self, subject: usize, rng: &mut fastrand::Rng) -> usize {
        let needs_data = rng.bool();
        loop {
            let worker = rng.usize(..self.workers.len());
            if !needs_data || self.workers[worker].kind == subject % self.kinds.len() {
                return worker;
            }
        }
    }
}
