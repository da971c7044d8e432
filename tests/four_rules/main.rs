//! Random legal event sequences, checked against the four rules by code that shares nothing with `src/policy/rules`.

#[path = "../common/mod.rs"]
mod common;

mod checker;
mod steps;

use checker::Checker;
use mothproxy::Settings;
use proptest::prelude::*;
use steps::step;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_128),
        ..ProptestConfig::default()
    })]

    /// For any sequence of events: each job gets one final response in time and runs no more often than its class allows; no job
    /// is sent to a worker that is draining or gone, and no worker that is warming up is overloaded.
    #[test]
    fn four_rules_hold(
        steps in prop::collection::vec(step(), 1..150),
        may_hedge: bool,
        reports_start: bool,
        may_probe: bool,
    ) {
        let settings = Settings { may_hedge, reports_start, may_probe, ..Settings::default() };
        let mut checker = Checker::new(settings);
        for step in &steps {
            checker.take(step);
        }
        // 1.5 s, which is longer than any client waits.
        for _ in 0..60 {
            checker.advance(25);
        }
        checker.assert_no_job_lost();
    }
}
