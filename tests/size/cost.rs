//! The time of a decision in a fleet of a thousand workers and dispatchers.

use crate::common::{MS, TestDispatcher, sends, worker};
use crate::{SIZE, settings};
use mothproxy::*;
use std::time::Duration;

/// The decision module's time per job in the fastest of 20 rounds of 40 jobs. The fastest is used because the machine may do
/// other work during the others.
fn min_time_per_job(dispatcher: &mut TestDispatcher) -> Duration {
    const ROUNDS: u64 = 20;
    const JOBS: u64 = 40;
    let mut run_round = |first: u64| {
        dispatcher.time_spent = Duration::ZERO;
        for job in first..first + JOBS {
            for (job, worker) in sends(&dispatcher.arrive(job, 0, 5_000 * MS)) {
                dispatcher.end_attempt(job, 0, worker, Outcome::Ok);
            }
            dispatcher.advance(MS);
        }
        dispatcher.time_spent / JOBS as u32
    };
    (0..ROUNDS).map(|round| run_round(round * JOBS)).min().unwrap_or_default()
}

/// Dispatcher 0 of a thousand with these settings, and workers of two kinds that have all reported their load.
fn dispatcher_with(settings: Settings) -> TestDispatcher {
    let entry = |id: u32| EndpointEntry { kind: KindId((id % 2) as u16), ..worker(id) };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list((0..SIZE).map(entry).collect());
    for id in 0..SIZE {
        dispatcher.report_load(id, 0.3, 4.0);
    }
    dispatcher
}

/// The time per job must not depend on how many dispatchers have borrowed a slot, nor on whether a class requires a kind of
/// worker. Guards against keeping the messages of every borrower and scanning them for each job (172 us instead of 4 us per job
/// after 1,024 dispatchers had each borrowed a slot), and against summing over all workers for a class with a kind.
#[test]
fn decision_time_does_not_grow_with_borrowers_or_kinds() {
    const BORROWER_MESSAGE: [u8; 4] = [b'G', 0, 0, 1];
    const GROUPS: u32 = SIZE.div_ceil(10);
    let plain = settings(0, SIZE);
    let mut with_kind = plain.clone();
    with_kind.classes.push(Class { kind: Some(KindId(1)), ..plain.classes[0].clone() });
    let mut dispatcher = dispatcher_with(plain);
    let before = min_time_per_job(&mut dispatcher);
    let with_kinds = min_time_per_job(&mut dispatcher_with(with_kind));
    for from in (0..SIZE).filter(|from| from % GROUPS != 0) {
        dispatcher.feed(Event::PeerMessage { from, bytes: BORROWER_MESSAGE.to_vec() });
    }
    dispatcher.advance(11_000 * MS);
    let after = min_time_per_job(&mut dispatcher);
    println!("time per job: {before:?}, with kinds {with_kinds:?}, after borrowing {after:?}");
    assert!(
        after < before * 8,
        "time per job: {before:?}, and {after:?} after 1,014 dispatchers reported a borrowed slot"
    );
    assert!(
        with_kinds < before * 3,
        "time per job: {before:?}, and {with_kinds:?} with a class that requires a kind"
    );
}
