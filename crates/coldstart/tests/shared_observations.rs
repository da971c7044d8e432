//! Tests of shared observations: merging of facts in any order, refutation, decay, and rejection of malformed facts.

use mothproxy_coldstart::shared_observations::MAX_FACT_BYTES;
use mothproxy_coldstart::{
    AbsorbError, Fault, Observation, Origin, Report, SharedObservations, WorkerStatus,
};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
const UNIX_AT_ZERO: u64 = 1_764_633_600 * SECOND;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// Facts absorbed in any order and any number of times give the same state.
    #[test]
    fn facts_merge_in_any_order(
        draws in prop::collection::vec((0..4_u16, 0..40_u64, 0..6_u8, 0..20 * SECOND), 1..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
    ) {
        let mut publishers: Vec<SharedObservations> =
            (0..4).map(|place| SharedObservations::new(place, UNIX_AT_ZERO, 0)).collect();
        let mut facts = Vec::new();
        for (n, (place, tag, observation, at)) in draws.iter().enumerate() {
            let observation = match observation {
                0 => Observation::Alive,
                1 => Observation::Fault(Fault::Refuses),
                2 => Observation::Fault(Fault::Hangs),
                3 => Observation::Fault(Fault::Resets),
                4 => Observation::WarmingUp,
                _ => Observation::Report(Report { cpu: n as u8, free: 3 }),
            };
            let publisher = &mut publishers[usize::from(*place)];
            publisher.record(*at, *tag, observation);
            while let Some((slot, bytes)) = publisher.publish(*at + n as u64 * SECOND) {
                prop_assert!(bytes.len() <= MAX_FACT_BYTES);
                facts.push((Origin { place: *place, epoch: 1 }, slot, n as u64, bytes));
            }
        }
        let absorb_fact = |into: &mut SharedObservations, fact: &(Origin, u32, u64, Vec<u8>)|
            into.absorb(90 * SECOND, fact.0, fact.1, fact.2, &fact.3);
        let (mut in_order, mut in_random_order) =
            (SharedObservations::new(9, UNIX_AT_ZERO, 0), SharedObservations::new(9, UNIX_AT_ZERO, 0));
        for fact in &facts {
            prop_assert_eq!(absorb_fact(&mut in_order, fact), Ok(()));
        }
        for index in order.iter().filter(|_| !facts.is_empty()) {
            prop_assert_eq!(absorb_fact(&mut in_random_order, index.get(&facts)), Ok(()));
        }
        for fact in facts.iter().rev() {
            prop_assert_eq!(absorb_fact(&mut in_random_order, fact), Ok(()));
        }
        prop_assert!(in_order.state() == in_random_order.state());
    }
}

/// A slot, the bytes of a fact, and whether an error is the expected one.
type RejectedFact = (u32, Vec<u8>, fn(&AbsorbError) -> bool);

#[test]
fn observations_are_refuted_and_decay_and_malformed_facts_are_rejected() {
    let (mut publisher, mut receiver) =
        (SharedObservations::new(0, UNIX_AT_ZERO, 0), SharedObservations::new(1, UNIX_AT_ZERO, 0));
    publisher.record(SECOND, 8, Observation::Fault(Fault::Resets));
    publisher.record(2 * SECOND, 8, Observation::Fault(Fault::Refuses));
    let (slot, bytes) = publisher.publish(2 * SECOND).expect("a fault is published");
    let origin = Origin { place: 0, epoch: 1 };
    assert_eq!(receiver.absorb(2 * SECOND, origin, slot, 1, &bytes), Ok(()));
    let status_of_8 = receiver.worker_status(8, 3 * SECOND).expect("the absorbed fact gives a status");
    assert_eq!(status_of_8.fault, Some((Fault::Refuses, SECOND)), "the worst fault counts");
    receiver.record(4 * SECOND, 8, Observation::Alive);
    assert_eq!(receiver.absorb(5 * SECOND, origin, slot, 1, &bytes), Ok(()), "a repeated fact");
    assert_eq!(
        receiver.worker_status(8, 5 * SECOND).and_then(|status| status.fault),
        None,
        "a newer proof of life refutes the fault"
    );
    assert!(receiver.publish(5 * SECOND).is_some(), "the refutation is published");
    let weight = |at| receiver.worker_status(8, at).map(|status: WorkerStatus| status.weight);
    assert!(
        weight(5 * SECOND) > weight(9 * SECOND)
            && weight(60 * SECOND).is_none()
            && receiver.worker_status(9, SECOND).is_none()
    );
    let rejected_facts: [RejectedFact; 6] = [
        (slot, vec![], |e| *e == AbsorbError::Malformed),
        (slot, vec![9, 0, 0], |e| *e == AbsorbError::Version(9)),
        (slot, vec![1; 161], |e| *e == AbsorbError::TooLong(161)),
        (slot, bytes[..bytes.len() - 1].to_vec(), |e| *e == AbsorbError::Malformed),
        (513, bytes.clone(), |e| *e == AbsorbError::Slot(513)),
        (0, bytes[..3].to_vec(), |e| *e == AbsorbError::Malformed),
    ];
    for (slot, bytes, is_expected) in rejected_facts {
        let error = receiver.absorb(5 * SECOND, origin, slot, 2, &bytes).expect_err("the fact is rejected");
        assert!(is_expected(&error), "{error}");
    }
    let early = SharedObservations::new(2, UNIX_AT_ZERO - 60 * SECOND, 0).absorb(0, origin, slot, 1, &bytes);
    assert!(matches!(early, Err(AbsorbError::Future(_))), "{early:?}");
}
