//! Stopping dispatchers notify some of their peers, so that each can tell whether all dispatchers stop.

use mothproxy::core::peer_lifecycle::PeerLifecycle;

/// The result of one round of shutdown announcements.
#[derive(Debug, PartialEq, Eq)]
struct Round {
    datagrams: usize,
    /// The number of stopping dispatchers that consider all dispatchers to be stopping.
    detecting_full_stop: usize,
}

/// Runs one round in which each stopping dispatcher notifies its neighbors.
fn run_round(count: u32, stops: impl Fn(u32) -> bool) -> Round {
    let mut lifecycles: Vec<PeerLifecycle> =
        (0..count).map(|index| PeerLifecycle::new(index, count as usize)).collect();
    let stopping: Vec<u32> = (0..count).filter(|number| stops(*number)).collect();
    let mut datagrams = 0;
    for &index in &stopping {
        for to in lifecycles[index as usize].neighbors() {
            let is_mutual = lifecycles[to as usize].neighbors().contains(&index);
            assert!(
                to != index && is_mutual,
                "{index} of {count} dispatchers notifies {to}, which is itself or does not have {index} as a neighbor"
            );
            lifecycles[to as usize].on_stopping(index);
            datagrams += 1;
        }
    }
    let detects_full_stop = |number: &&u32| lifecycles[**number as usize].are_all_stopping();
    let detecting_full_stop = stopping.iter().filter(detects_full_stop).count();
    Round { datagrams, detecting_full_stop }
}

/// If all dispatchers stop, each knows it after one round of a few datagrams each; if only some stop, none considers it a full
/// stop. Guards against a fault with more than 16 dispatchers: none announced its shutdown, and in a full stop each sent its
/// clients to others that stopped too. Announcements to all peers would cost 300 x 299 datagrams per round with 300 dispatchers.
#[test]
fn distinguishes_full_stop_from_rolling_release_at_any_size() {
    for (count, datagrams) in [(2, 2), (16, 240), (17, 136), (300, 2_400), (1_024, 8_192)] {
        let expected = Round { datagrams, detecting_full_stop: count as usize };
        assert_eq!(run_round(count, |_| true), expected, "all {count} stop");
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
            assert_eq!(run_round(count, stops).detecting_full_stop, 0, "{release} of {count}");
        }
    }
}
