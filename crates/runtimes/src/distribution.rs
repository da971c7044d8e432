//! The distribution of run times of similar jobs about their mean: a histogram with logarithmic bins, complete and censored
//! observations apart, and the survival curve by the Kaplan-Meier (product-limit) estimator. All residuals are differences of
//! natural logarithms.

/// Bins over the residual: the logarithm of a run time minus its expectation.
pub(crate) const BIN_COUNT: usize = 81;
/// Width of a bin: a factor of 1.16 in time, so that a quantile is within 8 % before interpolation.
pub(crate) const BIN_WIDTH: f64 = 0.15;
/// Below this survival the bins say little.
const MIN_SURVIVAL: f64 = 0.005;
/// The lower edge of the first bin.
const LOWEST: f64 = -(BIN_COUNT as f64) / 2.0 * BIN_WIDTH;

/// The bin of a residual; beyond either end it is the outermost one.
pub(crate) fn bin_of(residual: f64) -> u8 {
    ((residual - LOWEST) / BIN_WIDTH).clamp(0.0, (BIN_COUNT - 1) as f64) as u8
}

/// The residual in the middle of a bin.
fn bin_middle(bin: usize) -> f64 {
    LOWEST + (bin as f64 + 0.5) * BIN_WIDTH
}

/// Weighted numbers by bin.
#[derive(Clone, Debug)]
pub(crate) struct BinCounts {
    pub ended: [f32; BIN_COUNT],
    pub censored: [f32; BIN_COUNT],
}

impl Default for BinCounts {
    fn default() -> Self {
        BinCounts { ended: [0.0; BIN_COUNT], censored: [0.0; BIN_COUNT] }
    }
}

impl BinCounts {
    /// Adds other counts, bin by bin.
    pub fn add(&mut self, other: &BinCounts) {
        self.ended.iter_mut().zip(other.ended).for_each(|(sum, count)| *sum += count);
        self.censored.iter_mut().zip(other.censored).for_each(|(sum, count)| *sum += count);
    }
}

/// A survival curve over residuals, counted from its own mean.
#[derive(Clone, Debug)]
pub(crate) struct RuntimeDistribution {
    /// Survival at the lower edge of each bin, and at the upper edge of the last one.
    survival: [f64; BIN_COUNT + 1],
    /// Mean of the residuals as they were binned; the residuals that this type takes and returns are counted from it.
    pub mean: f64,
    /// Variance of the residuals.
    pub variance: f64,
}

impl RuntimeDistribution {
    /// A logistic distribution with this standard deviation, before anything was seen.
    pub fn prior(deviation: f64) -> Self {
        let scale = deviation * 3f64.sqrt() / std::f64::consts::PI;
        let mut survival = [0.0; BIN_COUNT + 1];
        for (edge, survival) in survival.iter_mut().enumerate() {
            *survival = 1.0 / (1.0 + ((LOWEST + edge as f64 * BIN_WIDTH) / scale).exp());
        }
        survival[0] = 1.0;
        survival[BIN_COUNT] = 0.0;
        RuntimeDistribution { survival, mean: 0.0, variance: 0.0 }.with_moments()
    }

    /// The probability of a bin.
    fn mass(&self, bin: usize) -> f64 {
        self.survival[bin] - self.survival[bin + 1]
    }

    /// With mean and variance computed from the curve.
    fn with_moments(mut self) -> Self {
        let expected_value = |function: &dyn Fn(f64) -> f64| {
            (0..BIN_COUNT).map(|bin| self.mass(bin) * function(bin_middle(bin))).sum::<f64>()
        };
        let mean = expected_value(&|residual| residual);
        let variance = expected_value(&|residual| (residual - mean) * (residual - mean));
        self.mean = mean;
        self.variance = variance.max(BIN_WIDTH * BIN_WIDTH);
        self
    }

    /// The product-limit curve (Kaplan and Meier 1958) of the counts together with `weight` observations distributed as
    /// `parent`, which act as a prior. A censored observation is redistributed to the right of its bound in proportion to what
    /// lies there; since the parent has no censored ones, its tail receives those that outlived all others.
    pub fn fitted(counts: &BinCounts, parent: &RuntimeDistribution, weight: f64) -> Self {
        let total: f64 = (0..BIN_COUNT).map(|b| f64::from(counts.ended[b] + counts.censored[b])).sum();
        if total <= 0.0 {
            return parent.clone();
        }
        let mut survival = [0.0; BIN_COUNT + 1];
        survival[0] = 1.0;
        survival[BIN_COUNT] = 0.0;
        let mut at_risk = total + weight;
        for b in 0..BIN_COUNT - 1 {
            let ended = f64::from(counts.ended[b]) + weight * parent.mass(b);
            let censored = f64::from(counts.censored[b]);
            let exposed = at_risk - censored / 2.0;
            let hazard = if exposed > 1e-9 { (ended / exposed).min(1.0) } else { 0.0 };
            survival[b + 1] = survival[b] * (1.0 - hazard);
            at_risk -= ended + censored;
        }
        RuntimeDistribution { survival, mean: 0.0, variance: 0.0 }.with_moments()
    }

    /// Survival at the residual `x`, never quite 0.
    pub fn survival_at(&self, x: f64) -> f64 {
        let at = ((x + self.mean - LOWEST) / BIN_WIDTH).clamp(0.0, BIN_COUNT as f64);
        let bin = (at as usize).min(BIN_COUNT - 1);
        let inner = at - bin as f64;
        (self.survival[bin] + inner * (self.survival[bin + 1] - self.survival[bin])).max(1e-6)
    }

    /// Cumulative hazard up to the residual `x`: exponentially distributed with mean 1 over whole lives, but bounded, so that
    /// one job that outlives all others does not count for more than a few.
    pub fn cumulative_hazard(&self, x: f64) -> f64 {
        -self.survival_at(x).max(MIN_SURVIVAL).ln()
    }

    /// The residual at which the survival is `survival`.
    pub fn residual_at(&self, survival: f64) -> f64 {
        let bin = self.survival.partition_point(|&edge| edge > survival).clamp(1, BIN_COUNT) - 1;
        let mass = self.mass(bin);
        let inner = if mass > 0.0 { ((self.survival[bin] - survival) / mass).clamp(0.0, 1.0) } else { 0.5 };
        LOWEST + (bin as f64 + inner) * BIN_WIDTH - self.mean
    }

    /// The residual that a fraction `fraction` of what survives `x` survives as well. Beyond what the bins say it follows a
    /// Pareto tail.
    pub fn conditional_residual(&self, x: f64, fraction: f64) -> f64 {
        let survival = self.survival_at(x);
        if survival >= MIN_SURVIVAL {
            self.residual_at(survival * fraction).max(x)
        } else {
            let scale = (self.residual_at(MIN_SURVIVAL) - self.residual_at(10.0 * MIN_SURVIVAL)) / 10f64.ln();
            x - scale * fraction.ln()
        }
    }

    /// Mean residual of what survives the residual `x`.
    pub fn mean_beyond(&self, x: f64) -> f64 {
        let z = x + self.mean;
        let first = usize::from(bin_of(z));
        let inner = (((z - LOWEST) / BIN_WIDTH) - first as f64).clamp(0.0, 1.0);
        let head = self.mass(first) * (1.0 - inner);
        let mut mass = head;
        let mut sum = head * (bin_middle(first) + inner * BIN_WIDTH / 2.0);
        for b in first + 1..BIN_COUNT {
            mass += self.mass(b);
            sum += self.mass(b) * bin_middle(b);
        }
        if mass > 1e-9 { (sum / mass - self.mean).max(x) } else { x + BIN_WIDTH }
    }
}
