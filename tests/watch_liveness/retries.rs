//! The times of repeated calls: soon enough for every list to arrive in time, and never in a busy loop.

use crate::calls::*;
use crate::lists::scenario::{MS, S};
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};

/// Random events happen until discovery becomes reachable at a random time. From then on it refuses up to two calls, perhaps
/// slowly, but no more than `max_refusals` allows. That number is reduced by one for each unanswered call before except the
/// first, and is at least one if there was none. The next call is answered, which must be within 6 s regardless of the earlier
/// events.
#[test]
fn receives_a_list_within_6_s_of_discovery_being_reachable_after_any_events() {
    let mut latest = 0;
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let mut simulation = Simulation::new(settings, seed);
        simulation.now = simulation.watch.start(simulation.now);
        let reachable_at = simulation.now + rng.u64(0..=12 * S);
        random_events_until(reachable_at, &mut rng, &mut simulation);
        // If a watch was open at that time, the 6 s run from its end, or from the start of its silence, which was 2.5 s ago.
        let (reachable_at, max_refused) = match simulation.lost {
            Some((WatchFailure::Ended | WatchFailure::Unreachable, at)) => (reachable_at.max(at), 2),
            Some((WatchFailure::Silent, _)) => (reachable_at, 1),
            None => (reachable_at, 2),
        };
        // The first and the second call after that time may be refused.
        let unanswered_calls = simulation.unanswered_calls;
        let remaining_refusals = max_refusals(settings).saturating_sub(unanswered_calls.saturating_sub(1));
        let remaining_refusals = remaining_refusals.max(u8::from(unanswered_calls == 0));
        for _ in 0..rng.u8(0..=max_refused.min(remaining_refusals)) {
            let after = rng.u64(0..=MAX_QUEUE_TIME);
            simulation.now = simulation.call(CallOutcome::Refused(after)).expect("the call was not refused");
        }
        let last = simulation.call(CallOutcome::List(rng.u64(0..=MAX_QUEUE_TIME)));
        assert_eq!(last, None, "seed {seed}: the last call was not answered in time");
        let took = simulation.now - reachable_at;
        latest = latest.max(took);
        assert!(
            simulation.now <= reachable_at + NOTIFICATION_DEADLINE,
            "seed {seed}: the list came after {took} us"
        );
    }
    println!("the latest list came {latest} us after discovery was reachable");
}

/// Makes calls with random outcomes and moves of discovery, until the first end of a call or watch at or after `end`.
fn random_events_until(end: Micros, rng: &mut fastrand::Rng, simulation: &mut Simulation) {
    loop {
        if rng.u8(0..12) == 0 {
            simulation.now = simulation.move_discovery();
        }
        if simulation.now >= end {
            return;
        }
        let outcome = match rng.u8(0..8) {
            0 => CallOutcome::EmptyLine { after: rng.u64(0..=MAX_QUEUE_TIME), then_ends: rng.u64(0..=2 * S) },
            1 if simulation.now + 3 * S < end => CallOutcome::List(rng.u64(0..=MAX_QUEUE_TIME)),
            _ => simulation.random_failure(MAX_QUEUE_TIME),
        };
        simulation.now = match simulation.call(outcome) {
            Some(next) => next,
            None => {
                let failure = if rng.bool() { WatchFailure::Ended } else { WatchFailure::Silent };
                let after = if failure == WatchFailure::Ended { rng.u64(0..=2 * S) } else { 2_500 * MS };
                let next = simulation.fail(simulation.now + after, failure);
                simulation.lost = Some((failure, simulation.now));
                next
            }
        };
    }
}

/// Changes that a silent watch missed count as notified 6 s after the watch fell silent, and those of a new service 4 s after the
/// SIGHUP. The list must arrive by then even if one call fails: refused after the longest wait in the queue, or never answered.
#[test]
fn a_failed_call_leaves_time_for_another_after_a_silence_and_after_a_move() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let moves = rng.bool();
        let mut simulation = Simulation::new(random_settings(&mut rng), seed);
        simulation.call(CallOutcome::List(0));
        let from = simulation.now;
        simulation.now = if moves {
            simulation.move_discovery()
        } else {
            simulation.fail(from + 2_500 * MS, WatchFailure::Silent)
        };
        let outcome = simulation.random_failure(MAX_QUEUE_TIME);
        simulation.now = simulation.call(outcome).expect("the call did not fail");
        let last = simulation.call(CallOutcome::List(MAX_QUEUE_TIME));
        assert_eq!(last, None, "seed {seed}: the last call was not answered in time");
        let deadline = if moves { 4 * S } else { NOTIFICATION_DEADLINE };
        let took = simulation.now - from;
        assert!(took <= deadline, "seed {seed}: {outcome:?}, the list came after {took} us");
    }
}

/// While discovery is down, no dispatcher calls it in a busy loop, and an outage of 8 s costs each dispatcher few calls. The
/// calls of the dispatchers are spread over time: no tenth of a second has far more than the average.
#[test]
fn calls_rarely_during_an_outage_and_spreads_calls_over_its_end() {
    let (dispatchers, outage) = (300, 8 * S);
    let mut calls = 0;
    let mut calls_by_tenth = vec![0_u32; 130];
    for own_number in 0..dispatchers {
        let mut simulation = Simulation::new(settings_for(dispatchers), u64::from(own_number));
        simulation.call(CallOutcome::List(0));
        simulation.now += 3 * S;
        let from = simulation.now;
        simulation.now = simulation.fail(from, WatchFailure::Ended);
        while simulation.now < from + outage {
            calls_by_tenth[((simulation.now - from) / (100 * MS)) as usize] += 1;
            calls += 1;
            simulation.now = simulation.call(CallOutcome::Refused(MS)).expect("the call was not refused");
        }
        calls_by_tenth[((simulation.now - from) / (100 * MS)) as usize] += 1;
    }
    assert!(calls < 4 * dispatchers, "{calls} calls of {dispatchers} dispatchers"); // more would overload a slow service
    // Evenly spread, there would be 7 calls in a tenth of a second. In the first half second there are 40, because all
    // dispatchers lost their watches together.
    let peak =
        |from: usize| *calls_by_tenth[from..].iter().max().expect("no tenth of a second left in the outage");
    assert!(peak(0) < 70 && peak(60) < 50, "{calls_by_tenth:?}");
}

/// A watch that is lost as soon as it is opened counts as a failed call, so it is not reopened in a busy loop.
#[test]
fn does_not_reopen_a_failing_watch_in_a_busy_loop() {
    let mut simulation = Simulation::new(settings_for(1), 1);
    let from = simulation.now;
    while simulation.now < from + 60 * S {
        simulation.call(CallOutcome::List(MS));
        simulation.now = simulation.fail(simulation.now + MS, WatchFailure::Ended);
    }
    assert!(simulation.calls.len() <= 60, "{} calls in a minute", simulation.calls.len());
}

/// An agent that always fails is called forever, about once in 200 ms.
#[test]
fn calls_an_agent_forever_but_not_in_a_busy_loop() {
    let settings = DiscoverySettings { is_list_pushed: true, max_poll_interval: None, dispatchers: 3 };
    let mut watch = WatchLiveness::new(settings, 1);
    assert!(watch.reconfigure(settings), "no watch was opened at the start");
    let mut now = 0;
    for call in 0..1_000 {
        now = watch.on_call_started(now);
        let failure = if call % 2 == 0 { WatchFailure::Silent } else { WatchFailure::Ended };
        now = watch.on_watch_failed(now, failure);
    }
    assert!((200 * S..=250 * S).contains(&now), "1,000 calls took {now} us");
}
