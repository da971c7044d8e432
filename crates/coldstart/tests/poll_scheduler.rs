//! What must hold of the scheduler of calls, over drawn histories.

use mothproxy_coldstart::{Event, PollScheduler, ServiceStatus, poll_scheduler};
use proptest::prelude::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const UNIX: u64 = 1_764_633_600 * S;

fn config(place: u16, places: u16, has_membership: bool) -> poll_scheduler::Config {
    poll_scheduler::Config {
        place,
        places,
        service_time: 20 * MS,
        poll_within: Some(10 * S),
        unix_at_zero: UNIX,
        seed: 7,
        has_membership,
        skip_scheduling: false,
    }
}

/// When dispatchers that start at these times call, each of whose calls fails at once, until `end`.
fn call_times(starts: &[u64], end: u64, skip_scheduling: bool) -> Vec<u64> {
    let count = starts.len() as u16;
    let mut all = Vec::new();
    for (place, start) in starts.iter().enumerate() {
        let settings = poll_scheduler::Config { skip_scheduling, ..config(place as u16, count, false) };
        let mut scheduler = PollScheduler::new(settings, *start, 1).expect("a sound configuration");
        while let Some(at) = scheduler.next_wake().filter(|at| *at < end) {
            if scheduler.tick(at).is_some() {
                all.push(at);
                assert_eq!((scheduler.tick(at), scheduler.next_wake()), (None, None), "one call at a time");
                scheduler.handle(at + MS, Event::Failed);
            }
        }
    }
    all.sort_unstable();
    all
}

fn most_calls_within(times: &[u64], span: u64) -> usize {
    (0..times.len())
        .map(|n| times[n..].iter().take_while(|at| **at < times[n] + span).count())
        .max()
        .unwrap_or(0)
}

fn event(draw: (u8, u64, u16)) -> Event {
    let (kind, x, place) = draw;
    match kind {
        0 => Event::Answered { generation: x % 9, waited: x },
        1 => Event::Refused { waited: x, retry_after: (x % 3 == 0).then_some(x % (5 * S)) },
        2 => Event::Failed,
        3 => Event::TimedOut,
        4 => Event::WatchEnded,
        5 => Event::WatchSilent { deadline: x },
        6 => Event::ServiceMoved { deadline: (x % 2 == 0).then_some(x) },
        7 => Event::Presence((0..place % 40).map(|n| (x >> (n % 60)) & 1 == 0).collect()),
        8 => Event::MemberGone(place),
        9 => Event::ListChanged { generation: x % 9 },
        _ => {
            let ms = |back: u64| (UNIX / MS).saturating_sub(back % 10_000) + x / MS;
            let status = ServiceStatus {
                generation: x % 9,
                is_watching: x % 2 == 0,
                answered_at_ms: ms(x),
                failed_at_ms: ms(x >> 7),
                refused_at_ms: ms(x >> 5),
                waited_ms: (x % 3_000) as u32,
                backoff_level: (x % 9) as u8,
            };
            Event::PeerStatus { place, status }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// Alone, with calls that all fail: whenever processes start, they never call faster than the service can do.
    #[test]
    fn slots_never_overlap(starts in prop::collection::vec(0..20 * S, 2..60)) {
        let times = call_times(&starts, 40 * S, false);
        prop_assert!(times.len() >= starts.len(), "everyone calls");
        prop_assert!(most_calls_within(&times, 100 * MS) <= 6, "{}", most_calls_within(&times, 100 * MS));
    }

    /// Whatever happens: one call at a time, none before `Retry-After`, and it goes on calling until it is answered.
    #[test]
    fn calls_one_at_a_time_until_it_is_answered(
        draws in prop::collection::vec((0..12_u8, 0..40 * S, 0..40_u16, 1..2 * S), 1..60),
        (count, has_membership) in (1..40_u16, any::<bool>()),
    ) {
        let (mut scheduler, mut now) = (PollScheduler::new(config(count / 2, count, has_membership), 0, 1).expect("sound"), 0);
        let (mut out, mut watching, mut not_before) = (false, false, 0);
        for (kind, x, place, step) in draws {
            now += step;
            let event = event((kind, x, place));
            let ends = matches!(event, Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut);
            match &event {
                Event::Answered { .. } if out => watching = true,
                Event::Refused { retry_after: Some(after), .. } if out => not_before = now + after,
                Event::WatchEnded | Event::WatchSilent { .. } => watching = false,
                Event::ServiceMoved { .. } => (watching, not_before) = (false, 0),
                _ => {}
            }
            out &= !(ends || matches!(event, Event::ServiceMoved { .. }));
            scheduler.handle(now, event);
            if scheduler.tick(now).is_some() {
                prop_assert!(!out && !watching && now >= not_before, "a call that may not be");
                out = true;
            }
            prop_assert!(scheduler.next_wake().is_none_or(|at| at >= now));
        }
        if out {
            scheduler.handle(now, Event::Failed);
        }
        if out || !watching {
            // The slowest round, of a busy service that takes sixteen times as long; or the slowest turns.
            let end = now + 3 * (u64::from(count) * 20 * MS * 16).max(30 * S);
            let mut has_called = false;
            for _ in 0..10_000 {
                let Some(at) = scheduler.next_wake().filter(|at| *at < end && !has_called) else { break };
                now = now.max(at);
                has_called = scheduler.tick(now).is_some();
            }
            prop_assert!(has_called, "it waits for ever: {scheduler:?}");
        }
    }

    /// After a silence all call in time, and not at once.
    #[test]
    fn calls_anew_in_time_after_a_silent_watch(count in 20..200_u16, at in 3 * S..9 * S) {
        let by = at + 2_500 * MS;
        let mut times = Vec::new();
        for place in 0..count {
            let mut scheduler = PollScheduler::new(config(place, count, place % 2 == 0), 0, 1).expect("sound");
            let first = (0..9).find_map(|_| scheduler.next_wake().filter(|due| scheduler.tick(*due).is_some()));
            scheduler.handle(first.expect("it calls"), Event::Answered { generation: 2, waited: 20 * MS });
            scheduler.handle(at.max(first.unwrap_or(0)), Event::WatchSilent { deadline: by });
            while let Some(due) = scheduler.next_wake() {
                if scheduler.tick(due).is_some() {
                    times.push(due);
                }
            }
        }
        times.sort_unstable();
        prop_assert_eq!(times.len(), usize::from(count));
        prop_assert!(*times.last().expect("one") <= by, "too late");
        // Half have peers and their slots shifted: each half keeps to the service's pace.
        let even = usize::from(count) * 100 / 2_500;
        prop_assert!(most_calls_within(&times, 100 * MS) <= 4 * even + 2 * 6, "{times:?}");
    }
}

/// Without the slots the calls come too close, and that is seen.
#[test]
fn calls_without_slots_come_too_close() {
    let starts: Vec<u64> = (0..60).map(|n| n * 16 * MS).collect();
    assert!(most_calls_within(&call_times(&starts, 10 * S, true), 100 * MS) > 10, "the mutation is not seen");
}

/// What a recheck learns of a shorter round does not bring a call before the time that `Retry-After` gave.
#[test]
fn shorter_round_does_not_cut_a_retry_after_short() {
    let mut scheduler = PollScheduler::new(config(0, 40, true), 0, 1).expect("a sound configuration");
    let mut next_call = || loop {
        let due = scheduler.next_wake().expect("it has no list yet");
        if scheduler.tick(due).is_some() {
            // A busy service doubles the round for 10 s.
            scheduler.handle(due, Event::Refused { waited: 2 * S, retry_after: Some(30 * S) });
            break due;
        }
    };
    let refused_at = next_call();
    assert!(next_call() >= refused_at + 30 * S, "the service was called before its Retry-After");
}
