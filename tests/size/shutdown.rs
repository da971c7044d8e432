//! Dispatchers tell some of each other that they stop, so that each knows whether all do.

use mothproxy::core::peer_lifecycle::PeerLifecycle;

/// What a round of shutdown messages leads to.
#[derive(Debug, PartialEq, Eq)]
struct Round {
    datagrams: usize,
    /// The dispatchers that stop and take it that all do.
    believe_all_stop: usize,
}

/// One round in which each dispatcher that stops says so.
fn play_round(count: u32, stops: impl Fn(u32) -> bool) -> Round {
    let mut lifecycles: Vec<PeerLifecycle> =
        (0..count).map(|me| PeerLifecycle::new(me, count as usize)).collect();
    let stopping: Vec<u32> = (0..count).filter(|number| stops(*number)).collect();
    let mut datagrams = 0;
    for &me in &stopping {
        for to in lifecycles[me as usize].neighbors() {
            let is_mutual = lifecycles[to as usize].neighbors().contains(&me);
            assert!(to != me && is_mutual, "{me} tells {to} of {count}");
            lifecycles[to as usize].on_stopping(me);
            datagrams += 1;
        }
    }
    let believes = |number: &&u32| lifecycles[**number as usize].are_all_stopping();
    let believe_all_stop = stopping.iter().filter(believes).count();
    Round { datagrams, believe_all_stop }
}

/// When all stop, each dispatcher knows it after one round, at the price of a few datagrams each; when a part of them stops,
/// none takes it for all. Beyond 16 dispatchers nobody said anything, so that in a stop of all each sent its clients to others
/// that stopped too. Said to all, a release of 300 would cost 300 x 299 datagrams for each time that it is said.
#[test]
fn tells_a_full_stop_from_a_rolling_release_at_any_size() {
    for (count, datagrams) in [(2, 2), (16, 240), (17, 136), (300, 2_400), (1_024, 8_192)] {
        let expected = Round { datagrams, believe_all_stop: count as usize };
        assert_eq!(play_round(count, |_| true), expected, "all {count} stop");
    }
    for count in (17..1_100_u32).step_by(7) {
        let groups = count.div_ceil(10);
        let (tenth, half) = (count.div_ceil(10), count / 2);
        let releases: [(&str, &dyn Fn(u32) -> bool); 6] = [
            ("the first tenth", &|number| number < tenth),
            ("the first half", &|number| number < half),
            ("every third", &|number| number % 3 == 0),
            ("every tenth", &|number| number % 10 == 0),
            ("one group", &|number| number % groups == 0),
            ("one zone of three", &|number| number % 3 == 1 && number < count - 1),
        ];
        for (release, stops) in releases {
            assert_eq!(play_round(count, stops).believe_all_stop, 0, "{release} of {count}");
        }
    }
}
