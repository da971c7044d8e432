//! Exchange of facts between dispatchers: reordering, repetition, late delivery, restarts and partial delivery lead to the
//! same state bit by bit. No job counts twice, and malformed facts do no harm.

use mothproxy_runtimes::{AbsorbError, AttemptId, Config, JobFeatures, Origin, Outcome, Placement};
use mothproxy_runtimes::{RuntimeEstimator, WorkerKey, WorkerKind};
use proptest::prelude::*;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;
const EPOCH: u64 = 1_790_000_000_000;

/// A fact as the membership delivers it.
struct Fact {
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

impl Fact {
    fn absorb_into(&self, estimator: &mut RuntimeEstimator, now: u64) -> Result<(), AbsorbError> {
        estimator.absorb(now, self.origin, self.number, &self.bytes)
    }
}

fn new_estimator(place: u16, epoch: u64, max_received_summaries: usize) -> RuntimeEstimator {
    RuntimeEstimator::new(Config { max_received_summaries, ..Config::new(place, epoch) }, 0)
        .expect("a valid configuration")
}

/// The facts that a dispatcher publishes over a number of jobs, numbered as the membership would number them.
fn published_facts(place: u16, epoch: u64, jobs: u64, seed: u64) -> Vec<Fact> {
    let mut estimator = RuntimeEstimator::new(Config { facts_per_s: 40.0, ..Config::new(place, epoch) }, 0)
        .expect("a valid configuration");
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut facts = Vec::new();
    for id in 0..jobs {
        let now = id * SECOND / 4;
        let features = JobFeatures {
            tenant: Some(rng.u64(..3)),
            subject: Some(rng.u64(..4)),
            attributes: [Some(rng.u64(..2)), None],
            ..JobFeatures::from_class(rng.u64(..2))
        };
        let placement = Placement { kind: WorkerKind(rng.u32(..3)), worker: WorkerKey(rng.u64(..4)) };
        estimator.on_started(now, AttemptId(id), &features, placement);
        let outcome = if rng.u8(..10) == 0 { Outcome::Censored } else { Outcome::Done };
        estimator.on_ended(now + rng.u64(1_000..SECOND / 5), AttemptId(id), outcome);
        while let Some((slot, bytes)) = estimator.publish(now + SECOND / 4) {
            assert!(bytes.len() <= 160, "a fact of {} bytes", bytes.len());
            let (origin, number) = (Origin { place, epoch }, facts.len() as u64 + 1);
            facts.push(Fact { origin, slot, number, bytes });
        }
    }
    facts
}

/// The facts of two members, one of which was restarted, and of an earlier run of the receiver's own place.
fn all_facts(seed: u64) -> Vec<Fact> {
    let mut facts = published_facts(1, EPOCH, 120, seed);
    facts.extend(published_facts(1, EPOCH + 40_000, 60, seed + 1));
    facts.extend(published_facts(2, EPOCH + 7, 120, seed + 2));
    facts.extend(published_facts(0, EPOCH - 90_000, 60, seed + 3));
    facts
}

/// A receiver that has absorbed these facts.
fn receiver_of<'a>(
    max_received_summaries: usize,
    facts: impl IntoIterator<Item = &'a Fact>,
) -> RuntimeEstimator {
    let mut receiver = new_estimator(0, EPOCH, max_received_summaries);
    for (n, fact) in facts.into_iter().enumerate() {
        // The times depend on the order of the facts, since the time of arrival must not matter either.
        let now = SECOND * (n as u64 % 50);
        assert_eq!(fact.absorb_into(&mut receiver, now), Ok(()));
    }
    receiver
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The state is the same bit by bit if facts are shuffled and repeated, and if facts that were lost at first arrive at
    /// the end, also if there are more summaries than a receiver keeps.
    #[test]
    fn facts_in_any_order_give_the_same_bits(
        seed in 0u64..1_000, shuffle in any::<u64>(), has_little_room in any::<bool>(),
    ) {
        let facts = all_facts(seed);
        let max_summaries = if has_little_room { 40 } else { 8_192 };
        let digest_in_order = receiver_of(max_summaries, &facts).digest(60 * SECOND);
        let mut rng = fastrand::Rng::with_seed(shuffle);
        let mut order: Vec<usize> = (0..facts.len()).collect();
        rng.shuffle(&mut order);
        let lost: Vec<usize> = order.iter().copied().filter(|_| rng.u8(..3) == 0).collect();
        let mut delivered: Vec<usize> = order.into_iter().filter(|n| !lost.contains(n)).collect();
        let repeated: Vec<usize> = delivered.iter().copied().filter(|_| rng.u8(..3) == 0).collect();
        delivered.extend(repeated);
        rng.shuffle(&mut delivered);
        delivered.extend(lost);
        let mut receiver = receiver_of(max_summaries, delivered.iter().map(|n| &facts[*n]));
        prop_assert_eq!(receiver.digest(60 * SECOND), digest_in_order);
        // All facts once more, in reverse order, change nothing.
        let absorbed = receiver.metrics().absorbed;
        for fact in facts.iter().rev().filter(|_| !has_little_room) {
            prop_assert_eq!(fact.absorb_into(&mut receiver, 60 * SECOND), Ok(()));
        }
        prop_assert_eq!(receiver.metrics().absorbed, absorbed);
        prop_assert_eq!(receiver.digest(60 * SECOND), digest_in_order);
    }

    /// A later version of a summary replaces an earlier one, so only the last version of each counts.
    #[test]
    fn a_later_version_replaces_an_earlier_one(seed in 0u64..1_000) {
        let facts = all_facts(seed);
        // Slots are not reused in so short a time, so the last fact of a slot is the last version of its summary.
        let last = |fact: &&Fact| {
            let is_same_slot = |other: &Fact| (other.origin, other.slot) == (fact.origin, fact.slot);
            !facts.iter().any(|other| is_same_slot(other) && other.number > fact.number)
        };
        let last_facts: Vec<&Fact> = facts.iter().filter(last).collect();
        prop_assert!(last_facts.len() < facts.len());
        prop_assert_eq!(
            receiver_of(8_192, last_facts).digest(60 * SECOND),
            receiver_of(8_192, &facts).digest(60 * SECOND)
        );
    }

    /// Corrupted and truncated facts are refused or absorbed, and the estimator still returns estimates.
    #[test]
    fn malformed_facts_do_no_harm(
        seed in 0u64..1_000, at in any::<prop::sample::Index>(), byte in any::<u8>(), is_truncated in any::<bool>(),
    ) {
        let mut receiver = new_estimator(0, EPOCH, 64);
        for Fact { origin, number, bytes, .. } in published_facts(1, EPOCH, 40, seed) {
            let mut malformed = bytes.clone();
            let at = at.index(malformed.len());
            malformed[at] = byte;
            if is_truncated {
                malformed.truncate(at);
                prop_assert!(receiver.absorb(SECOND, origin, number, &malformed).is_err());
            }
            let _ = receiver.absorb(SECOND, origin, number, &malformed);
            receiver.advance(number * SECOND);
            let estimate = receiver.estimate(&JobFeatures::from_class(0), WorkerKind(0), Some(WorkerKey(1)));
            prop_assert!(0 < estimate.typical && estimate.typical <= estimate.long);
        }
        prop_assert!(receiver.metrics().summaries <= 64);
        prop_assert_eq!(
            receiver.absorb(SECOND, Origin { place: 1, epoch: EPOCH }, 1, &[9, 1, 1]),
            Err(AbsorbError::Version(9))
        );
    }
}

#[test]
fn a_span_far_ahead_is_refused_and_an_expired_one_changes_nothing() {
    let facts = published_facts(1, EPOCH + 3_600_000, 40, 1);
    let mut early = new_estimator(0, EPOCH, 64);
    assert!(matches!(facts[0].absorb_into(&mut early, SECOND), Err(AbsorbError::Future(_))));
    let mut late = new_estimator(0, EPOCH + 24 * 3_600_000, 64);
    assert_eq!(facts[0].absorb_into(&mut late, SECOND), Ok(()));
    assert_eq!((late.metrics().stale, late.metrics().summaries), (1, 0));
}

/// A restarted dispatcher receives the facts of its previous run from the other members, and keeps them in addition to those
/// of its current run. Facts of its current run that it receives are ignored, since it holds those summaries itself.
#[test]
fn facts_of_a_previous_run_are_kept_and_own_facts_are_ignored() {
    let facts_before = published_facts(0, EPOCH - 90_000, 80, 4);
    let mut restarted = receiver_of(8_192, &facts_before);
    let (summaries, absorbed) = (restarted.metrics().summaries, restarted.metrics().absorbed);
    assert!(summaries > 0);
    for fact in published_facts(0, EPOCH, 80, 5) {
        assert_eq!(fact.absorb_into(&mut restarted, 60 * SECOND), Ok(()));
    }
    assert_eq!((restarted.metrics().summaries, restarted.metrics().absorbed), (summaries, absorbed));
    let with_other = receiver_of(8_192, facts_before.iter().chain(&published_facts(1, EPOCH, 80, 5)));
    assert!(with_other.metrics().summaries > summaries);
}
