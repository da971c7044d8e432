//! Property tests of the poll scheduler, over random histories of events.

use mothproxy_coldstart::{Event, PollScheduler, ServiceStatus, poll_scheduler};
use proptest::prelude::*;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const UNIX_AT_ZERO: u64 = 1_764_633_600 * SECOND;

fn config(place: u16, places: u16, has_membership: bool) -> poll_scheduler::Config {
    poll_scheduler::Config {
        place,
        places,
        service_time: 20 * MS,
        poll_within: Some(10 * SECOND),
        unix_at_zero: UNIX_AT_ZERO,
        seed: 7,
        has_membership,
        skip_scheduling: false,
    }
}

/// The times of all calls until `end` by dispatchers that start at these times and whose calls all fail after 1 ms.
fn call_times(starts: &[u64], end: u64, skip_scheduling: bool) -> Vec<u64> {
    let count = starts.len() as u16;
    let mut all = Vec::new();
    for (place, start) in starts.iter().enumerate() {
        let settings = poll_scheduler::Config { skip_scheduling, ..config(place as u16, count, false) };
        let mut scheduler = PollScheduler::new(settings, *start, 1).expect("a valid configuration");
        while let Some(at) = scheduler.next_wake().filter(|at| *at < end) {
            if scheduler.tick(at).is_some() {
                all.push(at);
                assert_eq!(
                    (scheduler.tick(at), scheduler.next_wake()),
                    (None, None),
                    "a call is already open"
                );
                scheduler.handle(at + MS, Event::Failed);
            }
        }
    }
    all.sort_unstable();
    all
}

fn max_calls_within(times: &[u64], span: u64) -> usize {
    (0..times.len())
        .map(|n| times[n..].iter().take_while(|at| **at < times[n] + span).count())
        .max()
        .unwrap_or(0)
}

fn event(draw: (u8, u64, u16)) -> Event {
    let (kind, value, place) = draw;
    match kind {
        0 => Event::Answered { generation: value % 9, waited: value },
        1 => Event::Refused { waited: value, retry_after: (value % 3 == 0).then_some(value % (5 * SECOND)) },
        2 => Event::Failed,
        3 => Event::TimedOut,
        4 => Event::WatchEnded,
        5 => Event::WatchSilent { deadline: value },
        6 => Event::ServiceMoved { deadline: (value % 2 == 0).then_some(value) },
        7 => Event::Presence((0..place % 40).map(|n| (value >> (n % 60)) & 1 == 0).collect()),
        8 => Event::MemberGone(place),
        9 => Event::ListChanged { generation: value % 9 },
        _ => {
            let ms = |back: u64| (UNIX_AT_ZERO / MS).saturating_sub(back % 10_000) + value / MS;
            let status = ServiceStatus {
                generation: value % 9,
                is_watching: value % 2 == 0,
                answered_at_ms: ms(value),
                failed_at_ms: ms(value >> 7),
                refused_at_ms: ms(value >> 5),
                waited_ms: (value % 3_000) as u32,
                backoff_level: (value % 9) as u8,
            };
            Event::PeerStatus { place, status }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// Without statuses of others and with calls that all fail, the processes together never exceed the rate of the service,
    /// regardless of when they start.
    #[test]
    fn slots_never_overlap(starts in prop::collection::vec(0..20 * SECOND, 2..60)) {
        let times = call_times(&starts, 40 * SECOND, false);
        prop_assert!(times.len() >= starts.len(), "{} calls by {} dispatchers", times.len(), starts.len());
        prop_assert!(max_calls_within(&times, 100 * MS) <= 6, "{}", max_calls_within(&times, 100 * MS));
    }

    /// After any events, the scheduler makes one call at a time and none before `Retry-After`, and keeps calling until it is
    /// answered.
    #[test]
    fn makes_one_call_at_a_time_until_answered(
        draws in prop::collection::vec((0..12_u8, 0..40 * SECOND, 0..40_u16, 1..2 * SECOND), 1..60),
        (count, has_membership) in (1..40_u16, any::<bool>()),
    ) {
        let (mut scheduler, mut now) = (
            PollScheduler::new(config(count / 2, count, has_membership), 0, 1).expect("a valid configuration"),
            0,
        );
        let (mut has_open_call, mut has_watch, mut not_before) = (false, false, 0);
        for (kind, value, place, step) in draws {
            now += step;
            let event = event((kind, value, place));
            let ends = matches!(event, Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut);
            match &event {
                Event::Answered { .. } if has_open_call => has_watch = true,
                Event::Refused { retry_after: Some(after), .. } if has_open_call => not_before = now + after,
                Event::WatchEnded | Event::WatchSilent { .. } => has_watch = false,
                Event::ServiceMoved { .. } => (has_watch, not_before) = (false, 0),
                _ => {}
            }
            has_open_call &= !(ends || matches!(event, Event::ServiceMoved { .. }));
            scheduler.handle(now, event);
            if scheduler.tick(now).is_some() {
                prop_assert!(
                    !has_open_call && !has_watch && now >= not_before,
                    "a call at {now}, with open call: {has_open_call}, watch: {has_watch}, not before {not_before}"
                );
                has_open_call = true;
            }
            prop_assert!(scheduler.next_wake().is_none_or(|at| at >= now));
        }
        if has_open_call {
            scheduler.handle(now, Event::Failed);
        }
        if has_open_call || !has_watch {
            // Three times the longest round, that of a busy service that takes sixteen times as long, or the longest outage
            // turn.
            let end = now + 3 * (u64::from(count) * 20 * MS * 16).max(30 * SECOND);
            let mut has_called = false;
            for _ in 0..10_000 {
                let Some(at) = scheduler.next_wake().filter(|at| *at < end && !has_called) else { break };
                now = now.max(at);
                has_called = scheduler.tick(now).is_some();
            }
            prop_assert!(has_called, "no call until {end}: {scheduler:?}");
        }
    }

    /// After a silent watch, all dispatchers call before the deadline, and spread their calls.
    #[test]
    fn calls_before_the_deadline_after_a_silent_watch(count in 20..200_u16, at in 3 * SECOND..9 * SECOND) {
        let deadline = at + 2_500 * MS;
        let mut times = Vec::new();
        for place in 0..count {
            let mut scheduler = PollScheduler::new(config(place, count, place % 2 == 0), 0, 1).expect("a valid configuration");
            let first = (0..9).find_map(|_| scheduler.next_wake().filter(|due| scheduler.tick(*due).is_some()));
            scheduler.handle(first.expect("a first call is due"), Event::Answered { generation: 2, waited: 20 * MS });
            scheduler.handle(at.max(first.unwrap_or(0)), Event::WatchSilent { deadline });
            while let Some(due) = scheduler.next_wake() {
                if scheduler.tick(due).is_some() {
                    times.push(due);
                }
            }
        }
        times.sort_unstable();
        prop_assert_eq!(times.len(), usize::from(count));
        prop_assert!(*times.last().expect("at least one call") <= deadline, "a call after the deadline");
        // Half of the dispatchers have membership and so shifted slots. Each half keeps to the rate of the service.
        let evenly_spread_calls = usize::from(count) * 100 / 2_500;
        prop_assert!(max_calls_within(&times, 100 * MS) <= 4 * evenly_spread_calls + 2 * 6, "{times:?}");
    }
}

/// The check of the tests above detects calls that are not spread over slots.
#[test]
fn calls_without_slots_exceed_the_service_rate() {
    let starts: Vec<u64> = (0..60).map(|n| n * 16 * MS).collect();
    assert!(
        max_calls_within(&call_times(&starts, 10 * SECOND, true), 100 * MS) > 10,
        "the check misses the fault"
    );
}

/// A recheck that finds a shorter round must not move a call to a time before the one that `Retry-After` allows.
#[test]
fn shorter_round_does_not_override_retry_after() {
    let mut scheduler = PollScheduler::new(config(0, 40, true), 0, 1).expect("a valid configuration");
    let mut next_call = || loop {
        let due = scheduler.next_wake().expect("a call is needed without a list");
        if scheduler.tick(due).is_some() {
            // A busy service doubles the round for 10 s.
            scheduler.handle(due, Event::Refused { waited: 2 * SECOND, retry_after: Some(30 * SECOND) });
            break due;
        }
    };
    let refused_at = next_call();
    assert!(next_call() >= refused_at + 30 * SECOND, "the service was called before its Retry-After");
}
