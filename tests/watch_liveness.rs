//! The liveness of a watch under random orders of events, and its objects however they are cut.

#[path = "common/lists/mod.rs"]
mod lists;

use lists::scenario::{AbandonedCallCost, Day, MS, S, Scenario};
use lists::simulation::play;
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, ObjectSplitter, WatchFailure, WatchLiveness};

/// A change counts as notified this long after discovery had it and could be reached (PROTOCOL, "Figures").
const NOTIFICATION_DEADLINE: Micros = 6 * S;
/// Discovery gives up a call that has waited for this long; one that it answers is answered by then.
const MAX_QUEUE_TIME: Micros = S;

/// What happens to a call.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// Its connection never comes up.
    NoConnection,
    /// Refused, or its connection reset or ended, this long after it began.
    Refused(Micros),
    /// Not answered.
    Hangs,
    /// This long after it began half an object comes, and no more.
    Partial(Micros),
    /// An empty line comes this long after it began, and its end `then_ends` after that.
    EmptyLine { after: Micros, then_ends: Micros },
    /// A list, this long after it began.
    List(Micros),
}

/// One dispatcher's watch and the calls for it, driven as by the program: whatever is due is waited for, and never missed.
struct Simulation {
    watch: WatchLiveness,
    rng: fastrand::Rng,
    now: Micros,
    /// When each call began.
    calls: Vec<Micros>,
    /// How the last watch ended, and when, if it had sent something.
    lost: Option<(WatchFailure, Micros)>,
    /// No wait is longer.
    max_wait: Micros,
    /// This many calls in a row waited in vain, the last one too: the service may be too slow for all.
    waited_in_vain: u8,
}

impl Simulation {
    fn new(settings: DiscoverySettings, seed: u64) -> Simulation {
        Simulation {
            watch: WatchLiveness::new(settings, seed),
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000 * S,
            calls: Vec::new(),
            lost: None,
            max_wait: call_interval(settings),
            waited_in_vain: 0,
        }
    }

    fn random_failure(&mut self, slowest: Micros) -> CallOutcome {
        let after = self.rng.u64(0..=slowest);
        match self.rng.u8(0..6) {
            0 => CallOutcome::NoConnection,
            1 => CallOutcome::Hangs,
            2 => CallOutcome::Partial(after),
            _ => CallOutcome::Refused(after),
        }
    }

    /// A call is made. Returns when the next is due, or `None` if a list was received.
    fn call(&mut self, outcome: CallOutcome) -> Option<Micros> {
        let earliest = self.calls.last().map_or(0, |last| last + 200 * MS);
        assert!(self.now >= earliest, "sooner after the one before than anybody may call");
        self.calls.push(self.now);
        self.lost = None;
        let waited_in_vain = self.waited_in_vain;
        self.waited_in_vain = match outcome {
            CallOutcome::Refused(after) if after >= 200 * MS => waited_in_vain + 1,
            CallOutcome::Hangs => waited_in_vain + 1,
            _ => 0,
        };
        let began = self.now;
        let connected_by = self.watch.on_call_started(began);
        assert!(connected_by > began && connected_by <= began + 2 * S, "a connection waits for nothing");
        if matches!(outcome, CallOutcome::NoConnection) {
            return Some(self.fail(connected_by, WatchFailure::Unreachable));
        }
        let answered_by = self.watch.on_connected(began + self.rng.u64(0..=MS));
        let max_wait = self.max_wait.max(answer_timeout(waited_in_vain));
        assert!(
            answered_by > began && answered_by <= began + max_wait,
            "an answer is waited for without end"
        );
        self.answer(outcome, began, answered_by)
    }

    /// The connection of a call is up, and its outcome comes, if that is before `answered_by`.
    fn answer(&mut self, outcome: CallOutcome, began: Micros, answered_by: Micros) -> Option<Micros> {
        match outcome {
            CallOutcome::List(after) if began + after < answered_by => {
                self.now = began + after;
                assert!(self.watch.on_list(self.now) <= self.now);
                assert_eq!(self.watch.on_data(self.now), Some(self.now + 2_500 * MS));
                None
            }
            CallOutcome::Partial(after) if began + after < answered_by => {
                self.now = began + after;
                let due = self.watch.on_partial_object(self.now);
                assert!(due > self.now && due <= self.now + S);
                Some(self.fail(due, WatchFailure::Silent))
            }
            CallOutcome::EmptyLine { after, then_ends } if began + after < answered_by => {
                self.now = began + after;
                let live_until = self.watch.on_data(self.now);
                let due = live_until.unwrap_or(answered_by);
                let ends_at = self.now + then_ends;
                let (at, failure) =
                    if ends_at < due { (ends_at, WatchFailure::Ended) } else { (due, WatchFailure::Silent) };
                let next = self.fail(at, failure);
                self.lost = live_until.map(|_| (failure, at));
                Some(next)
            }
            CallOutcome::Refused(after) if began + after < answered_by => {
                Some(self.fail(began + after, WatchFailure::Ended))
            }
            _ => Some(self.fail(answered_by, WatchFailure::Silent)),
        }
    }

    /// Another service counts, which was never called.
    fn move_discovery(&mut self) -> Micros {
        self.calls.clear();
        self.watch.on_discovery_moved(self.now)
    }

    /// The watch fails. Returns when the next call is due.
    fn fail(&mut self, at: Micros, failure: WatchFailure) -> Micros {
        self.now = at;
        let next = self.watch.on_watch_failed(at, failure);
        assert!((at..=at + self.max_wait).contains(&next), "{next} after {at}");
        next
    }
}

/// In its queue the service keeps as many calls as there are dispatchers: more of them have as long as a turn of all takes; and
/// each that was in vain says that a turn may take twice as long.
fn answer_timeout(waited_in_vain: u8) -> Micros {
    if waited_in_vain == 0 { 2 * S } else { ((1_500 * MS) << waited_in_vain.min(2)).min(4_500 * MS) }
}

fn settings_for(dispatchers: u32) -> DiscoverySettings {
    DiscoverySettings { is_pushed: false, max_poll_interval: Some(10 * S), dispatchers }
}

fn random_settings(rng: &mut fastrand::Rng) -> DiscoverySettings {
    let nodes = if rng.bool() { rng.u32(1..=10) } else { rng.u32(1..=300) };
    let max_poll_interval = Some(rng.u64(3..=60) * S);
    DiscoverySettings { is_pushed: false, max_poll_interval, dispatchers: nodes }
}

/// How many refused calls the 6 s hold beside one that is answered, though the service may be too slow for all: two up to ten
/// dispatchers; more of them call less often.
fn max_refusals(settings: DiscoverySettings) -> u8 {
    ((NOTIFICATION_DEADLINE - 1_500 * MS) / call_interval(settings) - 1) as u8
}

/// The longest time from one call to the next: up to ten dispatchers may call in 1.5 s.
fn call_interval(settings: DiscoverySettings) -> Micros {
    (150 * MS * u64::from(settings.dispatchers)).clamp(1_500 * MS, 4_500 * MS)
}

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

/// Hundreds of dispatchers before a service that cannot answer all within the 6 s: as many as it can answer are notified in time,
/// the last not long after the service's own time for all, and it hardly works for calls that nobody reads.
#[test]
fn hundreds_of_callers_are_all_served_by_a_slow_service() {
    for scenario in Scenario::ALL {
        for (callers, call) in [(300, 20), (350, 50), (1_024, 20)] {
            for (wait, pays) in [
                (500, AbandonedCallCost::Gone),
                (2_500, AbandonedCallCost::Gone),
                (6_000, AbandonedCallCost::Gone),
                (3_000, AbandonedCallCost::Nothing),
            ] {
                let day = Day {
                    scenario,
                    callers,
                    call_time: call * MS,
                    max_wait: wait * MS,
                    abandoned_call_cost: pays,
                    seed: 11,
                };
                let outcome = play(day);
                let service_time = u64::from(callers) * call * MS * 2;
                // A call that may be dead is given up before a service that waits for 6 s has come to it: its place is lost.
                let is_hurried = matches!(scenario, Scenario::Silent | Scenario::Moved);
                let (max_wasted, late_divisor) =
                    if wait > 4_500 { (2, 2) } else { (1, if is_hurried { 3 } else { 4 }) };
                let is_served = outcome.never == 0 && outcome.max <= 4 * service_time;
                assert!(is_served && outcome.wasted <= max_wasted * service_time, "{day:?}: {outcome:?}");
                let max_late = if scenario == Scenario::Restarts {
                    callers
                } else {
                    outcome.beyond + callers / late_divisor
                };
                assert!(outcome.late <= max_late && outcome.calls <= 10 * callers, "{day:?}: {outcome:?}");
            }
        }
    }
}

/// In one deployment a service took 0.2 s a call, and let calls wait for 3 s: a few dispatchers are enough for it. Given up
/// after 1.5 s each time, their calls kept it busy with what nobody read, and some were never notified.
#[test]
fn a_few_callers_are_all_served_by_a_very_slow_service() {
    for scenario in Scenario::ALL {
        for (callers, call) in [(5, 500), (10, 250), (10, 400)] {
            let day = Day {
                scenario,
                callers,
                call_time: call * MS,
                max_wait: 3 * S,
                abandoned_call_cost: AbandonedCallCost::Gone,
                seed: 11,
            };
            let outcome = play(day);
            let turn = u64::from(callers) * call * MS;
            assert!(
                outcome.never == 0 && outcome.max <= 6 * turn && outcome.calls <= 10 * callers,
                "{day:?}: {outcome:?}"
            );
        }
    }
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

/// Objects of a watch are split alike wherever its bytes are cut; empty lines between them are seen.
#[test]
fn splits_objects_however_they_are_cut_and_indented() {
    let text =
        b"\n{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}\n\nnot a list\n{\"d\":2}\n";
    let expected: [&[u8]; 4] =
        [b"{\"a\":1}", b"{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}", b"not a list", b"{\"d\":2}"];
    for size in 1..text.len() {
        let mut objects = ObjectSplitter::default();
        let (mut split, mut empty_lines) = (Vec::new(), 0);
        for piece in text.chunks(size) {
            objects.feed(piece);
            split.extend(std::iter::from_fn(|| objects.next_object()));
            empty_lines += usize::from(objects.take_empty_line());
        }
        assert_eq!(split, expected, "in pieces of {size}");
        assert!(!objects.is_partial() && objects.is_empty(), "{objects:?}");
        let is_exact = empty_lines == 3;
        assert!(
            empty_lines <= 3 && (size > 1 || is_exact),
            "three empty lines: {empty_lines} in pieces of {size}"
        );
    }
}

/// Spaces, and parts of a line that begins no object, are no sign of life: a watch that sends only those is silent.
#[test]
fn counts_only_lines_and_objects_as_signs_of_life() {
    for text in ["   ", "\t", "nothing", "{\"a\":1}\n", "junk\n"] {
        let mut objects = ObjectSplitter::default();
        objects.feed(text.as_bytes());
        while objects.next_object().is_some() {}
        assert!(!objects.take_empty_line(), "{text:?}");
    }
}
