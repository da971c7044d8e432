//! Tests of the weights, and of the sums of an even flow.

use super::{Decay, FRACTION_BITS, SPAN_BITS};
use crate::clock::{Bucket, SUB_STEPS, Step};

#[test]
fn weights_are_powers_of_two_and_an_even_flow_has_an_even_balance() {
    for half in [1, 2, 8, 32] {
        let decay = Decay::new(half, 60, Bucket(0));
        for step in 0..60 {
            let bucket = decay.weight(Bucket(step)) as f64 / f64::from(1 << FRACTION_BITS);
            let expected = (step as f64 / f64::from(half)).exp2();
            assert!(
                (bucket / expected - 1.0).abs() < 1e-8,
                "half-life {half}, bucket {step}: weight {bucket}, expected {expected}"
            );
        }
        // An even flow has the same balance at every sub-step of a bucket.
        let flow = |step: u64| {
            let complete_buckets: i128 =
                (0..step / SUB_STEPS).map(|b| decay.weight(Bucket(b)) * 16_000).sum();
            let current_bucket = decay.weight(Step(step).bucket()) * (step % SUB_STEPS) as i128 * 1_000;
            decay.decayed(complete_buckets + current_bucket, Step(step)) as f64
                / (decay.memory() as f64 / f64::from(1 << SPAN_BITS) * 16e3)
        };
        for step in 60 * SUB_STEPS..61 * SUB_STEPS {
            assert!(
                (flow(step) - 1.0).abs() < (0.08 / f64::from(half)).max(0.012),
                "half-life {half}, sub-step {step}: balance {} of 1",
                flow(step)
            );
        }
    }
}
