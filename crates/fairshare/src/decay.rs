//! Forward decay in whole numbers.
//!
//! Forward decay (Cormode, Shkapenyuk, Srivastava, Xu: "Forward decay: a practical time decay model for streaming systems",
//! ICDE 2009) weighs an item once, by the time from a fixed landmark to the item. A query divides the sum by the weight of
//! the current time. Items are never aged, so a late item changes the sum as if it had arrived on time. The weights are
//! integers, so sums are exact: they do not depend on the order of the additions.

use crate::clock::{Bucket, SUB_STEPS, Step};

/// The number of fractional bits of a weight.
const FRACTION_BITS: u32 = 30;
/// The number of fractional bits of a span of decayed time.
pub(crate) const SPAN_BITS: u32 = 16;
/// The landmark is advanced once sums can be halved this many times without a loss of bits.
const MIN_HALVINGS: u64 = 16;

/// Weights that double every `half_life` buckets, from a landmark.
#[derive(Clone, Debug)]
pub(crate) struct Decay {
    /// Two to the powers from 0 up to 1, for each sub-step of a half-life.
    powers: Vec<u64>,
    half_life: u64,
    landmark: Bucket,
    /// The decayed time up to each age in sub-steps, up to the horizon.
    spans: Vec<u64>,
}

/// Two to the powers 0/n, 1/n .. (n-1)/n, where n is a power of two. Computed by integer square roots, so that the result is
/// the same on every machine.
fn powers(n: u64) -> Vec<u64> {
    const BITS: u32 = 60;
    let mut roots = Vec::new();
    let mut root = 2u128 << BITS;
    for _ in 0..n.ilog2() {
        root = (root << BITS).isqrt();
        roots.push(root);
    }
    let power = |k: u64| {
        let factors = roots.iter().enumerate().filter(|(j, _)| k >> (n.ilog2() - 1 - *j as u32) & 1 == 1);
        factors.fold(1u128 << BITS, |product, (_, root)| (product * root) >> BITS)
    };
    (0..n).map(|k| (power(k) >> (BITS - FRACTION_BITS)) as u64).collect()
}

impl Decay {
    /// Creates the weights. `half_life`, in buckets, must be a power of two; `horizon` is the number of buckets for which
    /// usage counts.
    pub fn new(half_life: u32, horizon: u32, landmark: Bucket) -> Decay {
        let half_life = u64::from(half_life);
        let mut decay =
            Decay { powers: powers(half_life * SUB_STEPS), half_life, landmark: Bucket(0), spans: vec![0] };
        let mut sum = 0;
        for age in 0..u64::from(horizon) * SUB_STEPS {
            sum += decay.fraction_left(age);
            decay.spans.push(sum / SUB_STEPS);
        }
        decay.landmark = landmark;
        decay
    }

    /// The fraction of an amount that is left at an age in sub-steps, with [`SPAN_BITS`] fractional bits.
    fn fraction_left(&self, age: u64) -> u64 {
        let period = self.powers.len() as u64;
        let weight = u128::from(self.powers[(age % period) as usize]) << (age / period).min(64);
        ((1u128 << (FRACTION_BITS + SPAN_BITS)) / weight) as u64
    }

    /// The weight of a bucket, which must not be before the landmark.
    pub fn weight(&self, bucket: Bucket) -> i128 {
        let since = bucket.since(self.landmark);
        i128::from(self.powers[(since % self.half_life * SUB_STEPS) as usize])
            << (since / self.half_life).min(64)
    }

    /// A weighted sum divided by the weight of the current time.
    pub fn decayed(&self, sum: i128, present: Step) -> u64 {
        let since = present.since(self.landmark.start());
        let period = self.powers.len() as u64;
        let weight = i128::from(self.powers[(since % period) as usize]) << (since / period).min(64);
        u64::try_from(sum / weight).unwrap_or(0)
    }

    /// The decayed time between two ages in sub-steps, in buckets with [`SPAN_BITS`] fractional bits.
    pub fn span(&self, from: u64, to: u64) -> u64 {
        let at = |age: u64| self.spans[(age as usize).min(self.spans.len() - 1)];
        at(to).saturating_sub(at(from))
    }

    /// The balance of a steady flow of one unit per bucket, in buckets with [`SPAN_BITS`] fractional bits.
    pub fn memory(&self) -> u64 {
        let buckets = (self.spans.len() as u64 - 1) / SUB_STEPS;
        (1..=buckets).map(|age| self.fraction_left(age * SUB_STEPS)).sum()
    }

    /// Advances the landmark. No sum may include usage of a bucket before `oldest`. Returns the number of bits by which every
    /// sum must then be shifted right. The shift loses nothing, since all remaining weights are multiples of that power of
    /// two.
    pub fn advance(&mut self, oldest: Bucket) -> u32 {
        let halvings = oldest.since(self.landmark) / self.half_life;
        if halvings < MIN_HALVINGS {
            return 0;
        }
        self.landmark = self.landmark.plus(halvings * self.half_life);
        halvings.min(126) as u32
    }
}

#[cfg(test)]
mod tests;
