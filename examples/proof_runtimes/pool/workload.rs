//! The jobs of a pool: few large ones among many small ones.

use crate::SECOND;
use crate::fleet::normal;
use mothproxy_runtimes::JobFeatures;

/// Slots of a large job.
pub const LARGE_SLOTS: f64 = 6.0;
const SMALL_SLOTS: f64 = 1.0;
/// The fraction of large jobs.
const LARGE: f64 = 0.03;
/// Jobs from which the mean work is computed.
const SAMPLES: u32 = 20_000;

/// The rate at which jobs need so many slots at a speed of 1, in jobs per second.
pub fn jobs_per_s(seed: u64, effects: &[f64], slots: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let drawn = (0..SAMPLES).map(|_| DrawnJob::draw(&mut rng, effects));
    let slot_time: f64 = drawn.map(|job| job.work * slots_of(job.is_large)).sum();
    slots * SECOND as f64 * f64::from(SAMPLES) / slot_time
}

/// A job as it is drawn.
pub struct DrawnJob {
    pub is_large: bool,
    pub subject: usize,
    /// Microseconds at a speed of 1.
    pub work: f64,
}

impl DrawnJob {
    pub fn draw(rng: &mut fastrand::Rng, effects: &[f64]) -> DrawnJob {
        let is_large = rng.f64() < LARGE;
        let subject = rng.usize(..effects.len());
        let stretch = if is_large { 5f64.ln() + rng.f64() * (29f64 / 5.0).ln() } else { 0.0 };
        let spread = if is_large { 0.5 } else { 1.04 };
        let work = (150_000f64.ln() + effects[subject] + stretch + spread * normal(rng)).exp();
        DrawnJob { is_large, subject, work }
    }
}

pub fn slots_of(is_large: bool) -> f64 {
    if is_large { LARGE_SLOTS } else { SMALL_SLOTS }
}

pub struct WaitingJob {
    pub id: u64,
    pub arrived_at: u64,
    pub is_large: bool,
    pub features: JobFeatures,
    pub work: f64,
    /// How wrong estimates of it are that are not learned, as a factor.
    pub estimate_error: f64,
}

impl WaitingJob {
    /// The time within which it should end: a second and three times its work. A client leaves after six times that.
    pub fn objective(&self) -> u64 {
        SECOND + (3.0 * self.work) as u64
    }

    pub fn deadline(&self) -> u64 {
        self.arrived_at + self.objective()
    }
}
