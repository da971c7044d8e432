//! What a decision costs among a thousand workers and dispatchers.

use crate::common::{MS, TestDispatcher, sends, worker};
use crate::{SIZE, settings};
use mothproxy::*;
use std::time::Duration;

/// The least time of the module for a job, over twenty rounds of 40 that start and end: a round in which the machine did other work
/// does not count.
fn least_time_per_job(dispatcher: &mut TestDispatcher) -> Duration {
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

/// Dispatcher 0 of a thousand with these settings, over workers of two kinds that have all reported.
fn dispatcher_with(settings: Settings) -> TestDispatcher {
    let entry = |id: u32| EndpointEntry { kind: KindId((id % 2) as u16), ..worker(id) };
    let mut dispatcher = TestDispatcher::new(settings);
    dispatcher.load_cached_list((0..SIZE).map(entry).collect());
    for id in 0..SIZE {
        dispatcher.report_load(id, 0.3, 4.0);
    }
    dispatcher
}

/// A job costs about the same whether or not a thousand dispatchers have each been lent a slot once, and whether or not a
/// class has a kind of worker. What every dispatcher of other groups had ever said was kept and looked through for each job: of
/// 1,024 that had each been lent a slot once, a job took 172 us instead of 4. And where a class has a kind of worker, all
/// workers were summed up.
#[test]
fn decision_time_does_not_grow_with_borrowers_or_kinds() {
    const BORROWER_MESSAGE: [u8; 4] = [b'G', 0, 0, 1];
    const GROUPS: u32 = SIZE.div_ceil(10);
    let plain = settings(0, SIZE);
    let mut with_kind = plain.clone();
    with_kind.classes.push(Class { kind: Some(KindId(1)), ..plain.classes[0].clone() });
    let mut dispatcher = dispatcher_with(plain);
    let before = least_time_per_job(&mut dispatcher);
    let with_kinds = least_time_per_job(&mut dispatcher_with(with_kind));
    for from in (0..SIZE).filter(|from| from % GROUPS != 0) {
        dispatcher.feed(Event::PeerMessage { from, bytes: BORROWER_MESSAGE.to_vec() });
    }
    dispatcher.advance(11_000 * MS);
    let after = least_time_per_job(&mut dispatcher);
    println!("{before:?}, {with_kinds:?}, {after:?}");
    assert!(after < before * 8, "a job: {before:?}, and {after:?} after 1,014 nodes were lent a slot");
    assert!(with_kinds < before * 3, "a job: {before:?}, and {with_kinds:?} where a class has a kind");
}
