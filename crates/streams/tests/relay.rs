//! The relay by tables and by seeded histories against a model: nothing lost, doubled or out of order.

use mothproxy_streams::{Carried, Denied, Effect, JobEvent, Limits, Next, Relay, WatcherId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TOKEN: u128 = 77;

fn relay(limits: Limits) -> (Relay, u64) {
    let mut relay = Relay::new(limits);
    let job = relay.take(0, 1, TOKEN, 0, false).expect("room");
    (relay, job)
}

fn progress(relay: &mut Relay, job: u64, n: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    relay.publish(job, "progress", n.to_string(), true, &mut effects);
    effects
}

/// All that a watcher gets now: ids of events, and negative counts of what it missed.
fn pulled(relay: &mut Relay, watcher: WatcherId) -> Vec<i64> {
    let mut all = Vec::new();
    loop {
        match relay.pull(watcher) {
            Next::Event { event, .. } => all.push(event.id as i64),
            Next::Missed(n) => all.push(-(n as i64)),
            Next::Nothing => return all,
        }
    }
}

#[test]
fn a_watcher_resumes_exactly_after_what_it_has() {
    let (mut relay, job) = relay(Limits::default());
    relay.publish(job, "started", "{}".into(), false, &mut Vec::new());
    (2..=6).for_each(|n| drop(progress(&mut relay, job, n)));
    // Garbage and ids from the future count as none.
    for (after, first) in [(None, 1), (Some(3), 4), (Some(6), 7), (Some(99), 1)] {
        let watcher = relay.watch(1, TOKEN, after).expect("known");
        assert_eq!(pulled(&mut relay, watcher), (first..7).collect::<Vec<i64>>(), "after {after:?}");
    }
}

#[test]
fn what_was_evicted_is_told_and_the_first_and_last_are_kept() {
    let (mut relay, job) = relay(Limits { ring_events: 3, ..Limits::default() });
    relay.publish(job, "started", "{}".into(), false, &mut Vec::new());
    (2..=10).for_each(|n| drop(progress(&mut relay, job, n)));
    relay.finish(0, job, "done", "x".into(), &mut Vec::new());
    let fresh = relay.watch(1, TOKEN, None).expect("known");
    assert_eq!(pulled(&mut relay, fresh), [1, -6, 8, 9, 10, 11]);
    let later = relay.watch(1, TOKEN, Some(4)).expect("known");
    assert_eq!(pulled(&mut relay, later), [-3, 8, 9, 10, 11]);
    assert_eq!(relay.missed, 9);
}

#[test]
fn a_slow_reader_gets_the_newest_progress_and_always_the_end() {
    let (mut relay, job) = relay(Limits::default());
    let watcher = relay.watch(1, TOKEN, None).expect("known");
    relay.publish(job, "started", "{}".into(), false, &mut Vec::new());
    (2..=9).for_each(|n| drop(progress(&mut relay, job, n)));
    assert_eq!(pulled(&mut relay, watcher), [1, 9]);
    (10..=200).for_each(|n| drop(progress(&mut relay, job, n)));
    relay.finish(0, job, "done", "x".into(), &mut Vec::new());
    assert_eq!(pulled(&mut relay, watcher), [201], "progress before the end is stale");
    assert_eq!(relay.missed, 0);
}

#[test]
fn a_wrong_token_and_an_unknown_job_are_told_alike() {
    let (mut relay, job) = relay(Limits::default());
    for (public, token) in [(1, TOKEN + 1), (2, TOKEN), (1, !TOKEN), (2, 0), (9, u128::MAX)] {
        assert_eq!(relay.watch(public, token, None), Err(Denied::Unknown));
    }
    // A token of another job's is a wrong one.
    relay.take(0, 2, TOKEN + 5, 0, false).expect("room");
    assert_eq!(relay.watch(1, TOKEN + 5, None), Err(Denied::Unknown));
    relay.finish(0, job, "done", "x".into(), &mut Vec::new());
    assert_eq!(relay.watch(1, TOKEN + 1, Some(1)), Err(Denied::Unknown));
}

#[test]
fn after_the_end_come_the_final_event_then_nothing_then_no_knowledge() {
    let limits = Limits::default();
    let (mut relay, job) = relay(limits);
    relay.finish(0, job, "done", "x".into(), &mut Vec::new());
    let again = relay.watch(1, TOKEN, None).expect("known");
    assert_eq!(pulled(&mut relay, again), [1]);
    relay.leave(1, again);
    assert_eq!(relay.watch(1, TOKEN, Some(1)), Err(Denied::Over), "it has it");
    relay.sweep(limits.keep_final, &mut Vec::new());
    assert_eq!(relay.watch(1, TOKEN, None), Err(Denied::Over));
    assert_eq!(relay.watch(1, TOKEN + 1, None), Err(Denied::Unknown));
    assert_eq!(relay.bytes(), 0);
    relay.sweep(limits.keep_final + limits.keep_token, &mut Vec::new());
    assert_eq!((relay.watch(1, TOKEN, None), relay.counts()), (Err(Denied::Unknown), (0, 0)));
}

#[test]
fn a_job_that_ends_unwatched_ends_only_then() {
    let limits = Limits::default();
    let mut relay = Relay::new(limits);
    let job = relay.take(0, 1, TOKEN, 0, true).expect("room");
    let other = relay.take(0, 2, TOKEN, 0, false).expect("room");
    let mut effects = Vec::new();
    let (one, two) =
        (relay.watch(1, TOKEN, None).expect("known"), relay.watch(1, TOKEN, None).expect("known"));
    relay.leave(10, one);
    relay.sweep(10 + limits.unwatched, &mut effects);
    assert_eq!(effects, [], "one still watches");
    relay.leave(20, two);
    let back = relay.watch(1, TOKEN, None).expect("known");
    relay.sweep(20 + limits.unwatched, &mut effects);
    assert_eq!(effects, [], "it came back in time");
    relay.leave(30, back);
    relay.sweep(30 + limits.unwatched, &mut effects);
    assert_eq!(effects, [Effect::End(job)]);
    assert!(relay.jobs().contains(&other));
}

#[test]
fn bounds_hold_and_finished_jobs_give_way_first() {
    let limits = Limits { jobs: 3, streams_per_tenant: 2, ..Limits::default() };
    let mut relay = Relay::new(limits);
    let ids: Vec<u64> = (0..3).map(|n| relay.take(0, n, TOKEN, 0, false).expect("room")).collect();
    assert_eq!(relay.take(0, 9, TOKEN, 0, false), Err(Denied::Full), "none of them is finished");
    relay.finish(5, ids[1], "done", "x".into(), &mut Vec::new());
    relay.take(6, 9, TOKEN, 1, false).expect("the finished one gave way");
    assert_eq!((relay.watch(1, TOKEN, None), relay.evicted), (Err(Denied::Unknown), 1));
    let held = [relay.watch(0, TOKEN, None), relay.watch(2, TOKEN, None)].map(|w| w.expect("room"));
    assert_eq!(relay.watch(0, TOKEN, None), Err(Denied::TooManyStreams));
    assert!(relay.watch(9, TOKEN, None).is_ok(), "another tenant's");
    relay.leave(7, held[0]);
    assert!(relay.watch(0, TOKEN, None).is_ok());
}

/// A client as a browser is: it keeps the id of the last event that it got whole, and comes back with it.
#[derive(Default)]
struct Client {
    watcher: Option<WatcherId>,
    last: Option<u64>,
    names: Vec<String>,
    finals: usize,
    missed: u64,
}

/// Several watchers of one job under drops, evictions, slow reading and carriage to another relay.
fn history(seed: u64) {
    let mut dice = SmallRng::seed_from_u64(seed);
    let limits = Limits { ring_events: 2 + dice.random_range(0..6), ..Limits::default() };
    let mut relay = Relay::new(limits);
    let mut job = relay.take(0, 1, TOKEN, 0, false).expect("room");
    let mut clients: Vec<Client> = (0..4).map(|_| Client::default()).collect();
    let (mut published, total) = (0u64, 2 + dice.random_range(0..40));
    for now in 0..10_000u64 {
        match dice.random_range(0..10) {
            0..3 if published < total => {
                published += 1;
                match published {
                    1 => relay.publish(job, "started", "{}".into(), false, &mut Vec::new()),
                    n if n == total => relay.finish(now, job, "done", "x".into(), &mut Vec::new()),
                    n => drop(progress(&mut relay, job, n)),
                }
            }
            3 if dice.random_ratio(1, 3) => {
                // An upgrade: every stream ends, the job goes to another process.
                let carried: Carried = relay.carry(job).expect("it is there");
                relay = Relay::new(limits);
                job = relay.receive(now, carried).expect("nobody has its id");
                clients.iter_mut().for_each(|c| c.watcher = None);
            }
            _ => {
                let client = &mut clients[dice.random_range(0..4)];
                let Some(watcher) = client.watcher else {
                    match relay.watch(1, TOKEN, client.last) {
                        Ok(watcher) => client.watcher = Some(watcher),
                        Err(Denied::Over) => {
                            assert_eq!(client.finals, 1, "seed {seed}: over without its end")
                        }
                        Err(why) => panic!("seed {seed}: {why:?}"),
                    }
                    continue;
                };
                let drops = dice.random_ratio(1, 6);
                match relay.pull(watcher) {
                    // What was on its way when the client dropped is lost.
                    _ if drops => {
                        relay.leave(now, watcher);
                        client.watcher = None;
                    }
                    Next::Event { event: &JobEvent { id, ref name, .. }, last, .. } => {
                        assert!(
                            client.last.is_none_or(|had| id > had),
                            "seed {seed}: {id} after {:?}",
                            client.last
                        );
                        client.last = Some(id);
                        client.finals += usize::from(last);
                        client.names.push(name.clone());
                        if last {
                            relay.leave(now, watcher);
                            client.watcher = None;
                        }
                    }
                    Next::Missed(n) => client.missed += n,
                    Next::Nothing => {}
                }
            }
        }
        if published == total && clients.iter().all(|c| c.finals == 1) {
            break;
        }
    }
    for client in &clients {
        assert_eq!(client.finals, 1, "seed {seed}: finals");
        assert_eq!(client.last, Some(total), "seed {seed}");
        let starts = client.names.iter().filter(|n| *n == "started").count();
        assert_eq!(starts, usize::from(total > 1), "seed {seed}: the start came {starts} times");
    }
}

#[test]
fn seeded_histories_give_each_client_one_end_and_nothing_twice() {
    let count = std::env::var("STREAM_HISTORIES").ok().and_then(|t| t.parse().ok()).unwrap_or(3_000);
    (0..count).for_each(history);
    println!("histories: {count}");
}
