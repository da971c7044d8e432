//! Facts between dispatchers: any order, any repeats, late redelivery, restarts and merged halves give the same bits; nothing
//! counts twice; nothing unreadable does harm.

use mothproxy_runtimes::{AbsorbError, AttemptId, Config, JobFeatures, Origin, Outcome, Placement};
use mothproxy_runtimes::{RuntimeEstimator, WorkerKey, WorkerKind};
use proptest::prelude::*;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;
const EPOCH: u64 = 1_790_000_000_000;

/// A fact as the membership carries it.
struct Fact {
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

impl Fact {
    fn absorb_into(&self, one: &mut RuntimeEstimator, now: u64) -> Result<(), AbsorbError> {
        one.absorb(now, self.origin, self.number, &self.bytes)
    }
}

fn start(place: u16, epoch: u64, held: usize) -> RuntimeEstimator {
    RuntimeEstimator::new(Config { max_received_summaries: held, ..Config::new(place, epoch) }, 0)
        .expect("the defaults hold")
}

/// What a dispatcher publishes over so many jobs, numbered as its membership would.
fn published(place: u16, epoch: u64, jobs: u64, seed: u64) -> Vec<Fact> {
    let mut one =
        RuntimeEstimator::new(Config { facts_per_s: 40.0, ..Config::new(place, epoch) }, 0).expect("holds");
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
        one.on_started(now, AttemptId(id), &features, placement);
        let outcome = if rng.u8(..10) == 0 { Outcome::Censored } else { Outcome::Done };
        one.on_ended(now + rng.u64(1_000..SECOND / 5), AttemptId(id), outcome);
        while let Some((slot, bytes)) = one.publish(now + SECOND / 4) {
            assert!(bytes.len() <= 160, "a fact of {} bytes", bytes.len());
            let (origin, number) = (Origin { place, epoch }, facts.len() as u64 + 1);
            facts.push(Fact { origin, slot, number, bytes });
        }
    }
    facts
}

/// Two members, one of them restarted, and an earlier run of the listener's own place.
fn all_facts(seed: u64) -> Vec<Fact> {
    let mut facts = published(1, EPOCH, 120, seed);
    facts.extend(published(1, EPOCH + 40_000, 60, seed + 1));
    facts.extend(published(2, EPOCH + 7, 120, seed + 2));
    facts.extend(published(0, EPOCH - 90_000, 60, seed + 3));
    facts
}

fn absorbed<'a>(held: usize, facts: impl IntoIterator<Item = &'a Fact>) -> RuntimeEstimator {
    let mut one = start(0, EPOCH, held);
    for (n, fact) in facts.into_iter().enumerate() {
        // At times of its own: when a fact comes must not matter either.
        let now = SECOND * (n as u64 % 50);
        assert_eq!(fact.absorb_into(&mut one, now), Ok(()));
    }
    one
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Shuffled, repeated, and with what was lost at first delivered at the end, the state is the same bit by bit; also
    /// where there are more summaries than room. A half that received only some, merged with the rest, comes to the same.
    #[test]
    fn any_order_gives_the_same_bits(seed in 0u64..1_000, shuffle in any::<u64>(), tight in any::<bool>()) {
        let facts = all_facts(seed);
        let held = if tight { 40 } else { 8_192 };
        let straight = absorbed(held, &facts).digest(60 * SECOND);
        let mut rng = fastrand::Rng::with_seed(shuffle);
        let mut order: Vec<usize> = (0..facts.len()).collect();
        rng.shuffle(&mut order);
        let lost: Vec<usize> = order.iter().copied().filter(|_| rng.u8(..3) == 0).collect();
        let mut delivered: Vec<usize> = order.into_iter().filter(|n| !lost.contains(n)).collect();
        let again: Vec<usize> = delivered.iter().copied().filter(|_| rng.u8(..3) == 0).collect();
        delivered.extend(again);
        rng.shuffle(&mut delivered);
        delivered.extend(lost);
        let mut other = absorbed(held, delivered.iter().map(|n| &facts[*n]));
        prop_assert_eq!(other.digest(60 * SECOND), straight);
        // And once more all of it, backwards: nothing is new.
        let taken = other.metrics().absorbed;
        for fact in facts.iter().rev().filter(|_| !tight) {
            prop_assert_eq!(fact.absorb_into(&mut other, 60 * SECOND), Ok(()));
        }
        prop_assert_eq!(other.metrics().absorbed, taken);
        prop_assert_eq!(other.digest(60 * SECOND), straight);
    }

    /// A later version replaces the earlier one: only the last of each counts.
    #[test]
    fn a_later_fact_covers_the_earlier(seed in 0u64..1_000) {
        let facts = all_facts(seed);
        // Slots are not used again in so short a time, so that the last of a slot is the last of its summary.
        let last = |fact: &&Fact| {
            let is_same_slot = |other: &Fact| (other.origin, other.slot) == (fact.origin, fact.slot);
            !facts.iter().any(|other| is_same_slot(other) && other.number > fact.number)
        };
        let lasts: Vec<&Fact> = facts.iter().filter(last).collect();
        prop_assert!(lasts.len() < facts.len());
        prop_assert_eq!(absorbed(8_192, lasts).digest(60 * SECOND), absorbed(8_192, &facts).digest(60 * SECOND));
    }

    /// Bytes of any kind are refused or taken, and leave it able to answer.
    #[test]
    fn foreign_bytes_do_no_harm(seed in 0u64..1_000, at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut one = start(0, EPOCH, 64);
        for Fact { origin, number, bytes, .. } in published(1, EPOCH, 40, seed) {
            let mut bad = bytes.clone();
            let at = at.index(bad.len());
            bad[at] = byte;
            if cut {
                bad.truncate(at);
                prop_assert!(one.absorb(SECOND, origin, number, &bad).is_err());
            }
            let _ = one.absorb(SECOND, origin, number, &bad);
            one.advance(number * SECOND);
            let estimate = one.estimate(&JobFeatures::from_class(0), WorkerKind(0), Some(WorkerKey(1)));
            prop_assert!(0 < estimate.typical && estimate.typical <= estimate.long);
        }
        prop_assert!(one.metrics().summaries <= 64);
        prop_assert_eq!(one.absorb(SECOND, Origin { place: 1, epoch: EPOCH }, 1, &[9, 1, 1]), Err(AbsorbError::Version(9)));
    }
}

#[test]
fn a_span_far_ahead_is_refused_and_one_long_past_changes_nothing() {
    let facts = published(1, EPOCH + 3_600_000, 40, 1);
    let mut early = start(0, EPOCH, 64);
    assert!(matches!(facts[0].absorb_into(&mut early, SECOND), Err(AbsorbError::Future(_))));
    let mut late = start(0, EPOCH + 24 * 3_600_000, 64);
    assert_eq!(facts[0].absorb_into(&mut late, SECOND), Ok(()));
    assert_eq!((late.metrics().stale, late.metrics().summaries), (1, 0));
}

/// A restarted dispatcher receives from the others what it had published itself, and what it publishes now counts beside it,
/// not in its place; its own facts of this run, received again, count nothing.
#[test]
fn a_restart_keeps_what_was_published_and_counts_it_once() {
    let before = published(0, EPOCH - 90_000, 80, 4);
    let mut one = absorbed(8_192, &before);
    let (known, taken) = (one.metrics().summaries, one.metrics().absorbed);
    assert!(known > 0);
    for fact in published(0, EPOCH, 80, 5) {
        assert_eq!(fact.absorb_into(&mut one, 60 * SECOND), Ok(()));
    }
    assert_eq!((one.metrics().summaries, one.metrics().absorbed), (known, taken));
    let with_other = absorbed(8_192, before.iter().chain(&published(1, EPOCH, 80, 5)));
    assert!(with_other.metrics().summaries > known);
}
