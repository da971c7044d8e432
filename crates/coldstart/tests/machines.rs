//! What must hold of the four machines, over drawn histories.

use mothproxy_coldstart::pacer::{self, Event, Pacer, Service};
use mothproxy_coldstart::ration::{self, Ration, budget};
use mothproxy_coldstart::{
    AbsorbError, Confirm, Finding, Findings, Origin, Report, Seen, Trouble, Verdict, Wish, WorkerNow, confirm,
};
use proptest::prelude::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const UNIX: u64 = 1_764_633_600 * S;

fn pace(place: u16, count: u16, hears: bool) -> pacer::Config {
    pacer::Config {
        place,
        count,
        service_time: 20 * MS,
        ask_within: Some(10 * S),
        unix: UNIX,
        seed: 7,
        hears,
        ask_without_pacer: false,
    }
}

/// The asks of `count` dispatchers that start at these times, each of whose calls fails at once, until `end`.
fn asks(starts: &[u64], end: u64, ask_without_pacer: bool) -> Vec<u64> {
    let count = starts.len() as u16;
    let mut all = Vec::new();
    for (place, start) in starts.iter().enumerate() {
        let config = pacer::Config { ask_without_pacer, ..pace(place as u16, count, false) };
        let mut pacer = Pacer::new(config, *start, 1).expect("a sound configuration");
        while let Some(at) = pacer.next_wake().filter(|at| *at < end) {
            if pacer.tick(at).is_some() {
                all.push(at);
                assert_eq!((pacer.tick(at), pacer.next_wake()), (None, None), "one call at a time");
                pacer.handle(at + MS, Event::Failed);
            }
        }
    }
    all.sort_unstable();
    all
}

fn most_within(times: &[u64], span: u64) -> usize {
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
        5 => Event::WatchSilent { by: x },
        6 => Event::Moved { by: (x % 2 == 0).then_some(x) },
        7 => Event::View((0..place % 40).map(|n| (x >> (n % 60)) & 1 == 0).collect()),
        8 => Event::Gone(place),
        9 => Event::Listed { generation: x % 9 },
        _ => {
            let ms = |back: u64| (UNIX / MS).saturating_sub(back % 10_000) + x / MS;
            let news = Service {
                generation: x % 9,
                watching: x % 2 == 0,
                answered: ms(x),
                failed: ms(x >> 7),
                refused: ms(x >> 5),
                waited: (x % 3_000) as u32,
                level: (x % 9) as u8,
            };
            Event::Peer { place, news }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// Alone, with calls that all fail: whenever processes start, they never ask faster than the service can do.
    #[test]
    fn slots_never_overlap(starts in prop::collection::vec(0..20 * S, 2..60)) {
        let times = asks(&starts, 40 * S, false);
        prop_assert!(times.len() >= starts.len(), "everyone asks");
        prop_assert!(most_within(&times, 100 * MS) <= 6, "{}", most_within(&times, 100 * MS));
    }

    /// Whatever happens: one call at a time, none before `Retry-After`, and it goes on asking until it is answered.
    #[test]
    fn whatever_comes_it_asks_again(
        draws in prop::collection::vec((0..12_u8, 0..40 * S, 0..40_u16, 1..2 * S), 1..60),
        (count, hears) in (1..40_u16, any::<bool>()),
    ) {
        let (mut pacer, mut now) = (Pacer::new(pace(count / 2, count, hears), 0, 1).expect("sound"), 0);
        let (mut out, mut watching, mut not_before) = (false, false, 0);
        for (kind, x, place, step) in draws {
            now += step;
            let event = event((kind, x, place));
            let ends = matches!(event, Event::Answered { .. } | Event::Refused { .. } | Event::Failed | Event::TimedOut);
            match &event {
                Event::Answered { .. } if out => watching = true,
                Event::Refused { retry_after: Some(after), .. } if out => not_before = now + after,
                Event::WatchEnded | Event::WatchSilent { .. } => watching = false,
                Event::Moved { .. } => (watching, not_before) = (false, 0),
                _ => {}
            }
            out &= !(ends || matches!(event, Event::Moved { .. }));
            pacer.handle(now, event);
            if pacer.tick(now).is_some() {
                prop_assert!(!out && !watching && now >= not_before, "a call that may not be");
                out = true;
            }
            prop_assert!(pacer.next_wake().is_none_or(|at| at >= now));
        }
        if out {
            pacer.handle(now, Event::Failed);
        }
        if out || !watching {
            // The slowest round, of a busy service that takes sixteen times as long; or the slowest turns.
            let end = now + 3 * (u64::from(count) * 20 * MS * 16).max(30 * S);
            let mut asked = false;
            for _ in 0..10_000 {
                let Some(at) = pacer.next_wake().filter(|at| *at < end && !asked) else { break };
                now = now.max(at);
                asked = pacer.tick(now).is_some();
            }
            prop_assert!(asked, "it waits for ever: {pacer:?}");
        }
    }

    /// After a silence all ask in time, and not at once.
    #[test]
    fn a_silent_watch_is_asked_anew_in_time(count in 20..200_u16, at in 3 * S..9 * S) {
        let by = at + 2_500 * MS;
        let mut times = Vec::new();
        for place in 0..count {
            let mut pacer = Pacer::new(pace(place, count, place % 2 == 0), 0, 1).expect("sound");
            let first = (0..9).find_map(|_| pacer.next_wake().filter(|due| pacer.tick(*due).is_some()));
            pacer.handle(first.expect("it asks"), Event::Answered { generation: 2, waited: 20 * MS });
            pacer.handle(at.max(first.unwrap_or(0)), Event::WatchSilent { by });
            while let Some(due) = pacer.next_wake() {
                if pacer.tick(due).is_some() {
                    times.push(due);
                }
            }
        }
        times.sort_unstable();
        prop_assert_eq!(times.len(), usize::from(count));
        prop_assert!(*times.last().expect("one") <= by, "too late");
        // Half hear others and have their slots shifted: each half keeps to the service's pace.
        let even = usize::from(count) * 100 / 2_500;
        prop_assert!(most_within(&times, 100 * MS) <= 4 * even + 2 * 6, "{times:?}");
    }

    /// Facts in any order, repeated, give one state; what was refuted stays refuted.
    #[test]
    fn facts_merge_in_any_order(
        seen in prop::collection::vec((0..4_u16, 0..40_u64, 0..6_u8, 0..20 * S), 1..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
    ) {
        let mut tellers: Vec<Findings> = (0..4).map(|place| Findings::new(place, UNIX, 0)).collect();
        let mut facts = Vec::new();
        for (n, (place, tag, what, at)) in seen.iter().enumerate() {
            let what = match what {
                0 => Seen::Alive,
                1 => Seen::Trouble(Trouble::Refuses),
                2 => Seen::Trouble(Trouble::Hangs),
                3 => Seen::Trouble(Trouble::Resets),
                4 => Seen::Cold,
                _ => Seen::Report(Report { cpu: n as u8, free: 3 }),
            };
            let teller = &mut tellers[usize::from(*place)];
            teller.note(*at, *tag, what);
            while let Some((slot, bytes)) = teller.publish(*at + n as u64 * S) {
                prop_assert!(bytes.len() <= mothproxy_coldstart::findings::MOST_BYTES);
                facts.push((Origin { place: *place, epoch: 1 }, slot, n as u64, bytes));
            }
        }
        let take = |into: &mut Findings, of: &(Origin, u32, u64, Vec<u8>)| into.absorb(90 * S, of.0, of.1, of.2, &of.3);
        let (mut one, mut other) = (Findings::new(9, UNIX, 0), Findings::new(9, UNIX, 0));
        for fact in &facts {
            prop_assert_eq!(take(&mut one, fact), Ok(()));
        }
        for index in order.iter().filter(|_| !facts.is_empty()) {
            prop_assert_eq!(take(&mut other, index.get(&facts)), Ok(()));
        }
        for fact in facts.iter().rev() {
            prop_assert_eq!(take(&mut other, fact), Ok(()));
        }
        prop_assert!(one.state() == other.state());
    }

    /// The bound: whichever processes live, whenever they start, however their clocks differ.
    #[test]
    fn a_cold_worker_never_gets_more_than_its_budget(
        count in 1..300_u16,
        lives in prop::collection::vec((any::<u16>(), 0..9 * S, 0..6 * S, -50_000..=50_000_i64), 1..50),
        (per_second, tag, handshake) in (0.5..60.0, any::<u64>(), 0.01..0.9),
    ) {
        let set = |place, unix| ration::Config { unix, handshake, probe: handshake, ..rations(place, count) };
        let worker = WorkerNow { tag, started: Some(UNIX), per_second };
        let mut spent: Vec<(u64, f64)> = Vec::new();
        // One process at a place at a time: the next one starts when the one before has ended.
        let mut free = vec![0_u64; usize::from(count)];
        for (n, (place, start, span, skew)) in lives.into_iter().enumerate() {
            let place = place % count;
            let start = start.max(free[usize::from(place)]);
            free[usize::from(place)] = start + span;
            let mut ration = Ration::new(set(place, UNIX.saturating_add_signed(skew)), start).expect("sound");
            let mut at = start;
            while at < (start + span).min(8_400 * MS) {
                let (wish, units) = match (at / 7 + n as u64) % 4 {
                    0 => (Wish::Handshake, handshake),
                    1 => (Wish::Probe, handshake),
                    2 => (Wish::First, 1.0 + handshake),
                    _ => (Wish::Job(1.7), 1.7),
                };
                let would = ration.would(at, &worker, wish);
                match ration.ask(at, &worker, wish) {
                    Verdict::Go => spent.push((at, units)),
                    Verdict::Wait(until) => prop_assert!(until > at),
                    Verdict::TooLarge => {}
                }
                prop_assert!(!would || spent.last().is_some_and(|(last, _)| *last == at));
                at += 3 * MS + (at / MS * 31) % (40 * MS);
            }
        }
        spent.sort_by_key(|(at, _)| *at);
        let bounds = Ration::new(set(0, UNIX), 0).expect("sound");
        for (n, (from, _)) in spent.iter().enumerate() {
            let window = spent[n..].iter().take_while(|(at, _)| at - from <= 1_500 * MS);
            let sum: f64 = window.map(|(_, units)| units).sum();
            let bound = bounds.cold_budget(&worker, *from) as f64;
            prop_assert!(sum <= bound + 1e-6, "{sum} of {bound} from {from}");
        }
    }

    /// All together hold no more connections than there are, also where some are in the next lease already.
    #[test]
    fn connections_stay_within_what_a_worker_holds(
        (count, connections) in (1..300_u16, 0..400_u32),
        (tag, at, skew) in (any::<u64>(), 0..60 * S, prop::collection::vec(0..2_u64, 300)),
    ) {
        let mut sum = 0;
        for place in 0..count {
            // Some clocks are just past the end of a lease.
            let unix = UNIX + skew[usize::from(place)] * 10 * S;
            let config = ration::Config { unix, connections, ..rations(place, count) };
            let held = Ration::new(config, 0).expect("sound").connections(at, tag);
            prop_assert_eq!(held.is_none(), connections == 0);
            sum += held.map_or(0, |(held, _)| held);
        }
        prop_assert!(sum <= connections);
        // Where all clocks are on one side of a lease's end somebody may hold one.
        let one = |place| Ration::new(ration::Config { connections, ..rations(place, count) }, 0).expect("sound");
        let held = (0..count).filter_map(|place| one(place).connections(at, tag));
        prop_assert!(connections < 2 || held.map(|(held, _)| held).sum::<u32>() > 0, "nobody may hold any");
    }
}

fn rations(place: u16, count: u16) -> ration::Config {
    ration::Config {
        place,
        count,
        unix: UNIX,
        skew: 50 * MS,
        window: 1_500 * MS,
        multiple: 4.0,
        cold_from: 0.38,
        cold_time: 8_400 * MS,
        handshake: 0.1,
        probe: 0.05,
        connections: 0,
        lease: 10 * S,
        without_turns: false,
    }
}

/// Each place has its turn at each worker, a large job too; without turns the bound breaks, and that is seen.
#[test]
fn everyone_has_a_turn_and_a_fault_in_it_is_seen() {
    for started in [None, Some(UNIX + 3 * S)] {
        let worker = WorkerNow { tag: 5, started, per_second: 40.0 };
        for place in 0..100 {
            let mut ration = Ration::new(rations(place, 100), 0).expect("sound");
            for wish in [Wish::Handshake, Wish::Probe, Wish::First] {
                let turn = (0..600).any(|n| ration.ask(S + n * 50 * MS, &worker, wish) == Verdict::Go);
                assert!(turn, "place {place} never has a turn for {wish:?}");
            }
        }
    }
    let worker = WorkerNow { tag: 5, started: Some(UNIX), per_second: 40.0 };
    let sum = |without_turns| -> usize {
        let of = |place| ration::Config { without_turns, ..rations(place, 300) };
        let all = (0..300).map(|place| Ration::new(of(place), 0).expect("sound"));
        all.map(|mut r| {
            (0..15).filter(|n| r.ask(n * 100 * MS, &worker, Wish::Job(1.0)) == Verdict::Go).count()
        })
        .sum()
    };
    let bound = budget(4.0 * 0.38 * 40.0 * 1.5) as usize;
    assert!(sum(false) <= bound && sum(false) > bound / 3, "{} of {bound}", sum(false));
    assert!(sum(true) > bound, "the mutation is not seen");
    // Without the pacer's slots the asks come too close.
    let starts: Vec<u64> = (0..60).map(|n| n * 16 * MS).collect();
    assert!(most_within(&asks(&starts, 10 * S, true), 100 * MS) > 10, "the mutation is not seen");
}

/// A slot, the bytes of a fact, and whether this is why it is refused.
type Row = (u32, Vec<u8>, fn(&AbsorbError) -> bool);

#[test]
fn a_finding_is_refuted_decays_and_what_cannot_be_read_is_refused() {
    let (mut here, mut there) = (Findings::new(0, UNIX, 0), Findings::new(1, UNIX, 0));
    here.note(S, 8, Seen::Trouble(Trouble::Resets));
    here.note(2 * S, 8, Seen::Trouble(Trouble::Refuses));
    let (slot, bytes) = here.publish(2 * S).expect("trouble is told");
    let origin = Origin { place: 0, epoch: 1 };
    assert_eq!(there.absorb(2 * S, origin, slot, 1, &bytes), Ok(()));
    let told = there.finding(8, 3 * S).expect("it is known there");
    assert_eq!(told.trouble, Some((Trouble::Refuses, S)), "the worst");
    there.note(4 * S, 8, Seen::Alive);
    assert_eq!(there.absorb(5 * S, origin, slot, 1, &bytes), Ok(()), "the same again");
    assert_eq!(there.finding(8, 5 * S).and_then(|f| f.trouble), None, "a newer proof of life refutes it");
    assert!(there.publish(5 * S).is_some(), "and that is told");
    let weight = |at| there.finding(8, at).map(|f: Finding| f.weight);
    assert!(weight(5 * S) > weight(9 * S) && weight(60 * S).is_none() && there.finding(9, S).is_none());
    let table: [Row; 6] = [
        (slot, vec![], |e| *e == AbsorbError::Malformed),
        (slot, vec![9, 0, 0], |e| *e == AbsorbError::Version(9)),
        (slot, vec![1; 161], |e| *e == AbsorbError::TooLong(161)),
        (slot, bytes[..bytes.len() - 1].to_vec(), |e| *e == AbsorbError::Malformed),
        (513, bytes.clone(), |e| *e == AbsorbError::Slot(513)),
        (0, bytes[..3].to_vec(), |e| *e == AbsorbError::Malformed),
    ];
    for (slot, bytes, holds) in table {
        let got = there.absorb(5 * S, origin, slot, 2, &bytes).expect_err("it is refused");
        assert!(holds(&got), "{got}");
    }
    let early = Findings::new(2, UNIX - 60 * S, 0).absorb(0, origin, slot, 1, &bytes);
    assert!(matches!(early, Err(AbsorbError::Future(_))), "{early:?}");
}

#[test]
fn unconfirmed_workers_are_tried_few_at_a_time() {
    let (mut confirm, mut now) = (Confirm::new(0..200, 3, 10), 0);
    let (mut tried, mut most) = (0, 0);
    let mut under_way = Vec::new();
    while tried < 200 {
        now += 10 * MS;
        for tag in 0..200 {
            if confirm.usable(tag, None, now) == confirm::Use::Try {
                confirm.tried(tag);
                under_way.push(tag);
                tried += 1;
            }
        }
        most = most.max(confirm.trying());
        under_way.drain(..).for_each(|tag| confirm.ended(tag, false, now));
        assert!(now < 10 * S, "a list of dead workers is gone through quickly");
    }
    assert!(most <= 32 && confirm.trying() == 0 && confirm.unconfirmed() == 200);
    let mut findings = Findings::new(0, UNIX, 0);
    findings.note(now, 7, Seen::Alive);
    findings.note(now, 8, Seen::Trouble(Trouble::Hangs));
    let use_of = |tag: u64| confirm.usable(tag, findings.finding(tag, now).as_ref(), now);
    assert_eq!(
        (use_of(7), use_of(8), use_of(300)),
        (confirm::Use::Free, confirm::Use::No, confirm::Use::Free)
    );
    confirm.listed(9);
    assert_eq!(confirm.usable(9, None, now), confirm::Use::Free);
}
