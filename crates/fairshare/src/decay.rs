//! Forward decay in whole numbers.
//!
//! Forward decay (Cormode, Shkapenyuk, Srivastava, Xu: "Forward decay: a practical time decay model for streaming systems",
//! ICDE 2009) weighs an item once, by how long after a fixed landmark it happened, and divides by the weight of the present
//! when the sum is asked for. Nothing is aged, so an item that comes late changes the sum as if it had come on time. Here
//! the weights are integers, so sums are exact: they do not depend on the order of what was added.

/// Parts of a bucket that the present is told apart by.
pub(crate) const STEPS: u64 = 16;
/// Weights have this many bits behind the point.
const FRACTION: u32 = 30;
/// Spans of decayed time have this many bits behind the point.
pub(crate) const SPAN: u32 = 16;
/// The landmark is moved once sums could be divided by two this often.
const MOVE_AFTER: u64 = 16;

/// Weights that double every `half` buckets, from a landmark.
#[derive(Clone, Debug)]
pub(crate) struct Decay {
    /// Two to the power of 0 up to 1, by sub-steps of a half-life.
    powers: Vec<u64>,
    half: u64,
    landmark: u64,
    /// Decayed time by age in sub-steps, up to the horizon.
    spans: Vec<u64>,
}

/// Two to the powers 0/n, 1/n .. (n-1)/n for n a power of two, by square roots of integers: the same on every machine.
fn powers(n: u64) -> Vec<u64> {
    const BITS: u32 = 60;
    let mut roots = Vec::new();
    let mut root = 2u128 << BITS;
    for _ in 0..n.ilog2() {
        root = (root << BITS).isqrt();
        roots.push(root);
    }
    let power = |k: u64| {
        let set = roots.iter().enumerate().filter(|(j, _)| k >> (n.ilog2() - 1 - *j as u32) & 1 == 1);
        set.fold(1u128 << BITS, |product, (_, root)| (product * root) >> BITS)
    };
    (0..n).map(|k| (power(k) >> (BITS - FRACTION)) as u64).collect()
}

impl Decay {
    /// `half` is a power of two; `horizon` is how many buckets back anything counts.
    pub fn new(half: u32, horizon: u32, landmark: u64) -> Decay {
        let half = u64::from(half);
        let mut decay = Decay { powers: powers(half * STEPS), half, landmark: 0, spans: vec![0] };
        let mut sum = 0;
        for age in 0..u64::from(horizon) * STEPS {
            sum += decay.part(age);
            decay.spans.push(sum / STEPS);
        }
        decay.landmark = landmark;
        decay
    }

    /// What is left after so many sub-steps, in parts of two to the power of [`SPAN`].
    fn part(&self, age: u64) -> u64 {
        let period = self.powers.len() as u64;
        let weight = u128::from(self.powers[(age % period) as usize]) << (age / period).min(64);
        ((1u128 << (FRACTION + SPAN)) / weight) as u64
    }

    /// The weight of a bucket; the landmark is not after it.
    pub fn weight(&self, bucket: u64) -> i128 {
        let since = bucket.saturating_sub(self.landmark);
        i128::from(self.powers[(since % self.half * STEPS) as usize]) << (since / self.half).min(64)
    }

    /// A sum as it stands at this sub-step.
    pub fn settle(&self, sum: i128, step: u64) -> u64 {
        let (since, period) = (step.saturating_sub(self.landmark * STEPS), self.powers.len() as u64);
        let weight = i128::from(self.powers[(since % period) as usize]) << (since / period).min(64);
        u64::try_from(sum / weight).unwrap_or(0)
    }

    /// Decayed time from one age in sub-steps to a greater one, in buckets, [`SPAN`] bits behind the point.
    pub fn span(&self, from: u64, to: u64) -> u64 {
        let at = |age: u64| self.spans[(age as usize).min(self.spans.len() - 1)];
        at(to).saturating_sub(at(from))
    }

    /// What one unit a bucket comes to in the long run, in buckets, [`SPAN`] bits behind the point.
    pub fn memory(&self) -> u64 {
        let buckets = (self.spans.len() as u64 - 1) / STEPS;
        (1..=buckets).map(|age| self.part(age * STEPS)).sum()
    }

    /// Moves the landmark up, where nothing that counts is before `oldest`; sums must then be shifted right by the answer,
    /// which loses nothing: all that they hold was shifted left by as much.
    pub fn advance(&mut self, oldest: u64) -> u32 {
        let halvings = oldest.saturating_sub(self.landmark) / self.half;
        if halvings < MOVE_AFTER {
            return 0;
        }
        self.landmark += halvings * self.half;
        halvings.min(126) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weights_are_the_powers_of_two_that_they_stand_for() {
        for half in [1, 2, 8, 32] {
            let decay = Decay::new(half, 60, 0);
            for step in 0..60 {
                let bucket = decay.weight(step) as f64 / f64::from(1 << FRACTION);
                let want = (step as f64 / f64::from(half)).exp2();
                assert!((bucket / want - 1.0).abs() < 1e-8, "{half} {step}: {bucket} {want}");
            }
            // An even flow reads the same at every moment of a bucket.
            let flow = |step: u64| {
                let whole: i128 = (0..step / STEPS).map(|b| decay.weight(b) * 16_000).sum();
                let begun = decay.weight(step / STEPS) * (step % STEPS) as i128 * 1_000;
                decay.settle(whole + begun, step) as f64
                    / (decay.memory() as f64 / f64::from(1 << SPAN) * 16e3)
            };
            for step in 60 * STEPS..61 * STEPS {
                assert!(
                    (flow(step) - 1.0).abs() < (0.08 / f64::from(half)).max(0.012),
                    "{half} {}",
                    flow(step)
                );
            }
        }
    }
}
