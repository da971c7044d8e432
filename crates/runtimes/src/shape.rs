//! How run times of alike jobs lie about their middle: counts in logarithmic bins, ended and censored apart, and the
//! survival curve they give.

/// Bins over the logarithm of a run time beside its expectation.
pub(crate) const BINS: usize = 81;
/// Width of a bin: a factor of 1.16 in time, so that a quantile is within 8 % before interpolation.
pub(crate) const WIDTH: f64 = 0.15;
/// Where no more than this is left, the bins tell little.
const THIN: f64 = 0.005;
const LOW: f64 = -(BINS as f64) / 2.0 * WIDTH;

/// The bin of a logarithmic residual; beyond the ends it is the last one.
pub(crate) fn bin(z: f64) -> u8 {
    ((z - LOW) / WIDTH).clamp(0.0, (BINS - 1) as f64) as u8
}

fn middle(bin: usize) -> f64 {
    LOW + (bin as f64 + 0.5) * WIDTH
}

/// Counts by bin, weighted.
#[derive(Clone, Debug)]
pub(crate) struct Counts {
    pub ended: [f32; BINS],
    pub censored: [f32; BINS],
}

impl Default for Counts {
    fn default() -> Self {
        Counts { ended: [0.0; BINS], censored: [0.0; BINS] }
    }
}

/// A survival curve over residuals, counted from its own mean.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Part that lives beyond the lower edge of each bin, and of the last one's upper edge.
    survival: [f64; BINS + 1],
    /// Mean of the residuals as they were binned, which locations make good already.
    pub mean: f64,
    /// Variance of the residuals.
    pub variance: f64,
}

impl Shape {
    /// A logistic curve with this standard deviation, before anything was seen.
    pub fn prior(deviation: f64) -> Self {
        let scale = deviation * 3f64.sqrt() / std::f64::consts::PI;
        let mut survival = [0.0; BINS + 1];
        for (edge, part) in survival.iter_mut().enumerate() {
            *part = 1.0 / (1.0 + ((LOW + edge as f64 * WIDTH) / scale).exp());
        }
        (survival[0], survival[BINS]) = (1.0, 0.0);
        Shape { survival, mean: 0.0, variance: 0.0 }.measured()
    }

    fn part(&self, bin: usize) -> f64 {
        self.survival[bin] - self.survival[bin + 1]
    }

    fn measured(mut self) -> Self {
        let moment = |f: &dyn Fn(f64) -> f64| (0..BINS).map(|b| self.part(b) * f(middle(b))).sum::<f64>();
        let mean = moment(&|z| z);
        let variance = moment(&|z| (z - mean) * (z - mean));
        (self.mean, self.variance) = (mean, variance.max(WIDTH * WIDTH));
        self
    }

    /// The product-limit curve (Kaplan and Meier 1958) of the counts together with `weight` observations laid out as
    /// `parent`: what is censored moves to the right of where it was last seen, by the weights of what lies there; the
    /// parent has no censored part, so its tail is there to receive what outlived all else.
    pub fn fitted(counts: &Counts, parent: &Shape, weight: f64) -> Self {
        let total: f64 = (0..BINS).map(|b| f64::from(counts.ended[b] + counts.censored[b])).sum();
        if total <= 0.0 {
            return parent.clone();
        }
        let mut survival = [0.0; BINS + 1];
        (survival[0], survival[BINS]) = (1.0, 0.0);
        let mut risk = total + weight;
        for b in 0..BINS - 1 {
            let ended = f64::from(counts.ended[b]) + weight * parent.part(b);
            let censored = f64::from(counts.censored[b]);
            let exposed = risk - censored / 2.0;
            let dies = if exposed > 1e-9 { (ended / exposed).min(1.0) } else { 0.0 };
            survival[b + 1] = survival[b] * (1.0 - dies);
            risk -= ended + censored;
        }
        Shape { survival, mean: 0.0, variance: 0.0 }.measured()
    }

    /// Part that lives beyond `x` (from the mean), never quite 0.
    pub fn beyond(&self, x: f64) -> f64 {
        let at = ((x + self.mean - LOW) / WIDTH).clamp(0.0, BINS as f64);
        let bin = (at as usize).min(BINS - 1);
        let inner = at - bin as f64;
        (self.survival[bin] + inner * (self.survival[bin + 1] - self.survival[bin])).max(1e-6)
    }

    /// Cumulative hazard up to `x`: exponential with mean 1 over whole lives, but that one that outlives all counts for no
    /// more than a few.
    pub fn hazard(&self, x: f64) -> f64 {
        -self.beyond(x).max(THIN).ln()
    }

    /// The `x` (from the mean) that a part `left` lives beyond.
    pub fn where_left(&self, left: f64) -> f64 {
        let bin = self.survival.partition_point(|&s| s > left).clamp(1, BINS) - 1;
        let part = self.part(bin);
        let inner = if part > 0.0 { ((self.survival[bin] - left) / part).clamp(0.0, 1.0) } else { 0.5 };
        LOW + (bin as f64 + inner) * WIDTH - self.mean
    }

    /// Where a part `part` of what lives beyond `x` lives on to. Beyond what the bins tell, as a Pareto tail would have it.
    pub fn later(&self, x: f64, part: f64) -> f64 {
        let left = self.beyond(x);
        if left >= THIN {
            self.where_left(left * part).max(x)
        } else {
            let scale = (self.where_left(THIN) - self.where_left(10.0 * THIN)) / 10f64.ln();
            x - scale * part.ln()
        }
    }

    /// Mean of what lives beyond `x`, both from the mean.
    pub fn mean_beyond(&self, x: f64) -> f64 {
        let z = x + self.mean;
        let first = usize::from(bin(z));
        let inner = (((z - LOW) / WIDTH) - first as f64).clamp(0.0, 1.0);
        let head = self.part(first) * (1.0 - inner);
        let mut mass = head;
        let mut sum = head * (middle(first) + inner * WIDTH / 2.0);
        for b in first + 1..BINS {
            mass += self.part(b);
            sum += self.part(b) * middle(b);
        }
        if mass > 1e-9 { (sum / mass - self.mean).max(x) } else { x + WIDTH }
    }
}
