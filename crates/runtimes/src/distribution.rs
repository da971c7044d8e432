//! The distribution of run times of similar jobs around their mean.
//!
//! A histogram with logarithmic bins counts complete and censored observations separately. The Kaplan-Meier (product-limit)
//! estimator computes the survival curve from these counts. A residual is the logarithm of a run time minus its expectation;
//! all logarithms are natural.

/// The number of bins of residuals.
pub(crate) const BIN_COUNT: usize = 81;
/// The width of a bin: a factor of 1.16 in time, so that a quantile is within 8 % before interpolation.
pub(crate) const BIN_WIDTH: f64 = 0.15;
/// The survival below which the bins are not reliable.
const MIN_SURVIVAL: f64 = 0.005;
/// The lower edge of the first bin.
const LOWEST: f64 = -(BIN_COUNT as f64) / 2.0 * BIN_WIDTH;
/// Numbers of observations, and probabilities, up to this value count as 0.
const MIN_MASS: f64 = 1e-9;

/// The bin of a residual. Residuals beyond either end are in the outermost bin.
pub(crate) fn bin_of(residual: f64) -> u8 {
    ((residual - LOWEST) / BIN_WIDTH).clamp(0.0, (BIN_COUNT - 1) as f64) as u8
}

/// The residual in the middle of a bin.
fn bin_middle(bin: usize) -> f64 {
    LOWEST + (bin as f64 + 0.5) * BIN_WIDTH
}

/// Weighted numbers of complete and of censored observations, by bin.
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

/// A survival curve over residuals, relative to its own mean.
#[derive(Clone, Debug)]
pub(crate) struct RuntimeDistribution {
    /// The survival at the lower edge of each bin, and at the upper edge of the last bin.
    survival: [f64; BIN_COUNT + 1],
    /// The mean of the binned residuals. The residuals that methods take and return are relative to it.
    pub mean: f64,
    /// The variance of the residuals.
    pub variance: f64,
}

impl RuntimeDistribution {
    /// The distribution before any observation: a logistic distribution with this standard deviation.
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

    /// Computes the mean and the variance from the curve.
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

    /// The product-limit curve (Kaplan and Meier 1958) of the counts and of `weight` further observations distributed as
    /// `parent`, which act as a prior. The estimator redistributes a censored observation to the right of its bound, in
    /// proportion to the observations there. Since the parent has no censored observations, its tail receives those that
    /// outlived all others.
    pub fn fitted(counts: &BinCounts, parent: &RuntimeDistribution, weight: f64) -> Self {
        let total: f64 = (0..BIN_COUNT).map(|bin| f64::from(counts.ended[bin] + counts.censored[bin])).sum();
        if total <= 0.0 {
            return parent.clone();
        }
        let mut survival = [0.0; BIN_COUNT + 1];
        survival[0] = 1.0;
        survival[BIN_COUNT] = 0.0;
        let mut at_risk = total + weight;
        for bin in 0..BIN_COUNT - 1 {
            let ended = f64::from(counts.ended[bin]) + weight * parent.mass(bin);
            let censored = f64::from(counts.censored[bin]);
            let exposed = at_risk - censored / 2.0;
            let hazard = if exposed > MIN_MASS { (ended / exposed).min(1.0) } else { 0.0 };
            survival[bin + 1] = survival[bin] * (1.0 - hazard);
            at_risk -= ended + censored;
        }
        RuntimeDistribution { survival, mean: 0.0, variance: 0.0 }.with_moments()
    }

    /// The survival at a residual, always above 0.
    pub fn survival_at(&self, residual: f64) -> f64 {
        let position = ((residual + self.mean - LOWEST) / BIN_WIDTH).clamp(0.0, BIN_COUNT as f64);
        let bin = (position as usize).min(BIN_COUNT - 1);
        let inner = position - bin as f64;
        (self.survival[bin] + inner * (self.survival[bin + 1] - self.survival[bin])).max(1e-6)
    }

    /// The cumulative hazard up to a residual. Over whole run times it is exponentially distributed with mean 1, but it is
    /// bounded here, so that a single job that outlives all others does not count for more than a few.
    pub fn cumulative_hazard(&self, residual: f64) -> f64 {
        -self.survival_at(residual).max(MIN_SURVIVAL).ln()
    }

    /// The residual at which the survival is `survival`.
    pub fn residual_at(&self, survival: f64) -> f64 {
        let bin = self.survival.partition_point(|&edge| edge > survival).clamp(1, BIN_COUNT) - 1;
        let mass = self.mass(bin);
        let inner = if mass > 0.0 { ((self.survival[bin] - survival) / mass).clamp(0.0, 1.0) } else { 0.5 };
        LOWEST + (bin as f64 + inner) * BIN_WIDTH - self.mean
    }

    /// The residual that the given fraction of the jobs surviving `residual` survives too. Beyond the reliable bins it follows
    /// a Pareto tail.
    pub fn conditional_residual(&self, residual: f64, fraction: f64) -> f64 {
        let survival = self.survival_at(residual);
        if survival >= MIN_SURVIVAL {
            self.residual_at(survival * fraction).max(residual)
        } else {
            let scale = (self.residual_at(MIN_SURVIVAL) - self.residual_at(10.0 * MIN_SURVIVAL)) / 10f64.ln();
            residual - scale * fraction.ln()
        }
    }

    /// The mean residual of the jobs that survive `residual`.
    pub fn mean_beyond(&self, residual: f64) -> f64 {
        let binned = residual + self.mean;
        let first = usize::from(bin_of(binned));
        let inner = (((binned - LOWEST) / BIN_WIDTH) - first as f64).clamp(0.0, 1.0);
        let head = self.mass(first) * (1.0 - inner);
        let mut mass = head;
        let mut sum = head * (bin_middle(first) + inner * BIN_WIDTH / 2.0);
        for bin in first + 1..BIN_COUNT {
            mass += self.mass(bin);
            sum += self.mass(bin) * bin_middle(bin);
        }
        if mass > MIN_MASS { (sum / mass - self.mean).max(residual) } else { residual + BIN_WIDTH }
    }
}
