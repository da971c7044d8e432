//! When calls are made again: soon enough for every list to come in time, and never in a busy loop.

use crate::calls::*;
use crate::lists::scenario::{MS, S};
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};

/// Random events for a while; at a random moment discovery comes back. From then on it refuses up to two calls, perhaps slowly, or
/// as many as it does with this many dispatchers (at least one, unless it has kept calls waiting in vain; and one less for each
/// call but the first that it has kept so). The next one is answered: whatever came before, that is within 6 s.
#[test]
fn receives_a_list_within_6_s_of_discovery_being_reachable_whatever_happened() {
    let mut latest = 0;
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let mut simulation = Simulation::new(settings, seed);
        simulation.now = simulation.watch.start(simulation.now);
        let back = simulation.now + rng.u64(0..=12 * S);
        random_events_until(back, &mut rng, &mut simulation);
        // A watch that was open at the return: it counts from its end, or from its silence, of which 2.5 s are gone.
        let (back, max_refused) = match simulation.lost {
            Some((WatchFailure::Ended | WatchFailure::Unreachable, at)) => (back.max(at), 2),
            Some((WatchFailure::Silent, _)) => (back, 1),
            None => (back, 2),
        };
        // The first call after the return, and the second, are refused.
        let waited_in_vain = simulation.waited_in_vain;
        let left = max_refusals(settings).saturating_sub(waited_in_vain.saturating_sub(1));
        let left = left.max(u8::from(waited_in_vain == 0));
        for _ in 0..rng.u8(0..=max_refused.min(left)) {
            let after = rng.u64(0..=MAX_QUEUE_TIME);
            simulation.now = simulation.call(CallOutcome::Refused(after)).expect("refused");
        }
        let last = simulation.call(CallOutcome::List(rng.u64(0..=MAX_QUEUE_TIME)));
        assert_eq!(last, None, "seed {seed}: answered in time");
        let took = simulation.now - back;
        latest = latest.max(took);
        assert!(simulation.now <= back + NOTIFICATION_DEADLINE, "seed {seed}: {took} after");
    }
    println!("at the latest {latest} us after the return");
}

/// Calls of random outcomes, and moves of discovery, until a moment at which a call or a watch is over.
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

/// What a silent watch missed counts 6 s after it fell silent, and what a new service has 4 s after the SIGHUP that names it: also
/// where one call is refused, after the longest wait in the queue, or is silent itself.
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
        simulation.now = simulation.call(outcome).expect("it failed");
        let last = simulation.call(CallOutcome::List(MAX_QUEUE_TIME));
        assert_eq!(last, None, "seed {seed}: answered in time");
        let deadline = if moves { 4 * S } else { NOTIFICATION_DEADLINE };
        let took = simulation.now - from;
        assert!(took <= deadline, "seed {seed}: {outcome:?}, {took} after");
    }
}

/// Discovery is down: nobody calls it in a busy loop, and an outage of 8 s costs each dispatcher few calls. Its return meets each
/// dispatcher's call at its own time: no tenth of a second has many more than its part.
#[test]
fn calls_rarely_during_an_outage_and_spreads_calls_over_its_end() {
    let (nodes, outage) = (300, 8 * S);
    let mut calls = 0;
    let mut calls_by_tenth = vec![0_u32; 130];
    for me in 0..nodes {
        let mut simulation = Simulation::new(settings_for(nodes), u64::from(me));
        simulation.call(CallOutcome::List(0));
        simulation.now += 3 * S;
        let from = simulation.now;
        simulation.now = simulation.fail(from, WatchFailure::Ended);
        while simulation.now < from + outage {
            calls_by_tenth[((simulation.now - from) / (100 * MS)) as usize] += 1;
            calls += 1;
            simulation.now = simulation.call(CallOutcome::Refused(MS)).expect("refused");
        }
        calls_by_tenth[((simulation.now - from) / (100 * MS)) as usize] += 1;
    }
    assert!(calls < 4 * nodes, "{calls} calls of {nodes}"); // a slow service would not come round
    // Evenly they would be 7 in a tenth of a second; those of the first half second are 40, for all lost their watches together.
    let peak = |from: usize| *calls_by_tenth[from..].iter().max().expect("some");
    assert!(peak(0) < 70 && peak(60) < 50, "{calls_by_tenth:?}");
}

/// A watch that is opened and lost at once, over and over, is a call that failed: it is not opened in a busy loop.
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

/// An agent that fails for ever is called for ever, about once in 200 ms.
#[test]
fn calls_an_agent_forever_but_not_in_a_busy_loop() {
    let settings = DiscoverySettings { is_pushed: true, max_poll_interval: None, dispatchers: 3 };
    let mut watch = WatchLiveness::new(settings, 1);
    assert!(watch.reconfigure(settings), "one is opened at the start");
    let mut now = 0;
    for call in 0..1_000 {
        now = watch.on_call_started(now);
        let failure = if call % 2 == 0 { WatchFailure::Silent } else { WatchFailure::Ended };
        now = watch.on_watch_failed(now, failure);
    }
    assert!((200 * S..=250 * S).contains(&now), "{now}");
}
