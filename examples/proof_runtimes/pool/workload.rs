//! The jobs of a simulated pool: few large ones and many small ones.

use crate::SECOND;
use crate::fleet::normal;
use mothproxy_runtimes::JobFeatures;

/// The number of slots of a large job.
pub const LARGE_SLOTS: f64 = 6.0;
const SMALL_SLOTS: f64 = 1.0;
/// The fraction of large jobs.
const LARGE_FRACTION: f64 = 0.03;
/// The number of random jobs from which the mean work is computed.
const SAMPLES: u32 = 20_000;

/// The rate of jobs that occupies `slots` slots on average at a speed of 1, in jobs per second.
pub fn jobs_per_s(seed: u64, effects: &[f64], slots: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let drawn = (0..SAMPLES).map(|_| DrawnJob::draw(&mut rng, effects));
    let slot_time: f64 = drawn.map(|job| job.work * slots_of(job.is_large)).sum();
    slots * SECOND as f64 * f64::from(SAMPLES) / slot_time
}

/// The random properties of a job.
pub struct DrawnJob {
    pub is_large: bool,
    pub subject: usize,
    /// The run time at a speed of 1, in microseconds.
    pub work: f64,
}

impl DrawnJob {
    pub fn draw(rng: &mut fastrand::Rng, effects: &[f64]) -> DrawnJob {
        let is_large = rng.f64() < LARGE_FRACTION;
        let subject = rng.usize(..effects.len());
        let stretch = if is_large { 5f64.ln() + rng.f64() * (29f64 / 5.0).ln() } else { 0.0 };
        let spread = if is_large { 0.5 } else { 1.04 };
        let work = (150_000f64.ln() + effects[subject] + stretch + spread * normal(rng)).exp();
        DrawnJob { is_large, subject, work }
    }
}

/// The number of slots of a job.
pub fn slots_of(is_large: bool) -> f64 {
    if is_large { LARGE_SLOTS } else { SMALL_SLOTS }
}

/// A job that has arrived and not started yet.
pub struct WaitingJob {
    pub id: u64,
    pub arrived_at: u64,
    pub is_large: bool,
    pub features: JobFeatures,
    /// The run time at a speed of 1, in microseconds.
    pub work: f64,
    /// The ratio of an estimate that is not learned to the true run time.
    pub estimate_error: f64,
}

impl WaitingJob {
    /// The time within which the job should end: a second and three times its work. The client leaves after six times this.
    pub fn objective(&self) -> u64 {
        SECOND + (3.0 * self.work) as u64
    }

    /// The time by which the job should end.
    pub fn deadline(&self) -> u64 {
        self.arrived_at + self.objective()
    }
}
