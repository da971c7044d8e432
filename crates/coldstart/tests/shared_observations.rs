//! What must hold of shared observations, over drawn histories.

use mothproxy_coldstart::shared_observations::MAX_FACT_BYTES;
use mothproxy_coldstart::{
    AbsorbError, Fault, Observation, Origin, Report, SharedObservations, WorkerStatus,
};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const UNIX: u64 = 1_764_633_600 * S;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// Facts in any order, repeated, give one state; what was refuted stays refuted.
    #[test]
    fn facts_merge_in_any_order(
        seen in prop::collection::vec((0..4_u16, 0..40_u64, 0..6_u8, 0..20 * S), 1..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
    ) {
        let mut publishers: Vec<SharedObservations> = (0..4).map(|place| SharedObservations::new(place, UNIX, 0)).collect();
        let mut facts = Vec::new();
        for (n, (place, tag, what, at)) in seen.iter().enumerate() {
            let what = match what {
                0 => Observation::Alive,
                1 => Observation::Fault(Fault::Refuses),
                2 => Observation::Fault(Fault::Hangs),
                3 => Observation::Fault(Fault::Resets),
                4 => Observation::WarmingUp,
                _ => Observation::Report(Report { cpu: n as u8, free: 3 }),
            };
            let publisher = &mut publishers[usize::from(*place)];
            publisher.record(*at, *tag, what);
            while let Some((slot, bytes)) = publisher.publish(*at + n as u64 * S) {
                prop_assert!(bytes.len() <= MAX_FACT_BYTES);
                facts.push((Origin { place: *place, epoch: 1 }, slot, n as u64, bytes));
            }
        }
        let take = |into: &mut SharedObservations, of: &(Origin, u32, u64, Vec<u8>)| into.absorb(90 * S, of.0, of.1, of.2, &of.3);
        let (mut one, mut other) = (SharedObservations::new(9, UNIX, 0), SharedObservations::new(9, UNIX, 0));
        for fact in &facts {
            prop_assert_eq!(take(&mut one, fact), Ok(()));
        }
        for index in order.iter().filter(|_| !facts.is_empty()) {
            prop_assert_eq!(take(&mut other, index.get(&facts)), Ok(()));
        }
        for fact in facts.iter().rev() {
            prop_assert_eq!(take(&mut other, fact), Ok(()));
        }
        prop_assert!(one.state() == other.state());
    }
}

/// A slot, the bytes of a fact, and whether this is why it is refused.
type Row = (u32, Vec<u8>, fn(&AbsorbError) -> bool);

#[test]
fn an_observation_is_refuted_and_decays_and_what_cannot_be_read_is_refused() {
    let (mut here, mut there) = (SharedObservations::new(0, UNIX, 0), SharedObservations::new(1, UNIX, 0));
    here.record(S, 8, Observation::Fault(Fault::Resets));
    here.record(2 * S, 8, Observation::Fault(Fault::Refuses));
    let (slot, bytes) = here.publish(2 * S).expect("a fault is published");
    let origin = Origin { place: 0, epoch: 1 };
    assert_eq!(there.absorb(2 * S, origin, slot, 1, &bytes), Ok(()));
    let known = there.worker_status(8, 3 * S).expect("it is known there");
    assert_eq!(known.fault, Some((Fault::Refuses, S)), "the worst");
    there.record(4 * S, 8, Observation::Alive);
    assert_eq!(there.absorb(5 * S, origin, slot, 1, &bytes), Ok(()), "the same again");
    assert_eq!(
        there.worker_status(8, 5 * S).and_then(|status| status.fault),
        None,
        "a newer proof of life refutes it"
    );
    assert!(there.publish(5 * S).is_some(), "and that is published");
    let weight = |at| there.worker_status(8, at).map(|status: WorkerStatus| status.weight);
    assert!(weight(5 * S) > weight(9 * S) && weight(60 * S).is_none() && there.worker_status(9, S).is_none());
    let table: [Row; 6] = [
        (slot, vec![], |e| *e == AbsorbError::Malformed),
        (slot, vec![9, 0, 0], |e| *e == AbsorbError::Version(9)),
        (slot, vec![1; 161], |e| *e == AbsorbError::TooLong(161)),
        (slot, bytes[..bytes.len() - 1].to_vec(), |e| *e == AbsorbError::Malformed),
        (513, bytes.clone(), |e| *e == AbsorbError::Slot(513)),
        (0, bytes[..3].to_vec(), |e| *e == AbsorbError::Malformed),
    ];
    for (slot, bytes, holds) in table {
        let got = there.absorb(5 * S, origin, slot, 2, &bytes).expect_err("it is refused");
        assert!(holds(&got), "{got}");
    }
    let early = SharedObservations::new(2, UNIX - 60 * S, 0).absorb(0, origin, slot, 1, &bytes);
    assert!(matches!(early, Err(AbsorbError::Future(_))), "{early:?}");
}
